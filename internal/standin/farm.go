// Package standin plays what a courier serves, on loopback addresses: partner
// systems over HTTP/1.1 and HTTP/2, and the directory that lists them and takes
// notices, by the platform's protocol. What a partner does is decided by package
// partner; here are the sockets.
package standin

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"snowjunction/internal/standin/partner"
)

// Spec is one partner of a farm.
type Spec struct {
	Destination uint32
	Endpoints   int
	HTTP2       bool // over HTTP/2 with prior knowledge; else HTTP/1.1
	Profile     partner.Profile
	Seed        uint64
}

// Endpoint is where a partner can be called.
type Endpoint struct {
	Name        string
	Addr        string
	Destination uint32
	HTTP2       bool
}

// Farm is partners on sockets. Its clock begins with it.
type Farm struct {
	begun   time.Time
	server  *http.Server
	byDest  map[uint32]*host
	byAddr  map[string]*host
	ends    []Endpoint
	wg      sync.WaitGroup
	closing chan struct{}

	mu     sync.Mutex
	drains map[string]time.Time // by address: since when
	calls  map[string]int       // by address
	opened map[string]net.Listener
	taken  []Taken
	keeps  bool     // every call that is taken
	shaped []string // X-Kitchen and the query of the last call that had them
}

// host is a partner with the lock that its connections share.
type host struct {
	mu          sync.Mutex
	p           *partner.Partner
	destination uint32
}

// Taken is a call as a partner has taken it.
type Taken struct {
	Destination uint32
	ID          string
	At          time.Duration // of the farm
	Wait        time.Duration // that its answer tells; 0: none
}

// Keep has the farm keep every call that its partners take from now on.
func (f *Farm) Keep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keeps = true
}

// Taken are the calls that were kept: those of a partner in the order in which it took them.
func (f *Farm) Taken() []Taken {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.taken)
}

// NewFarm opens the partners' endpoints. An error names the first that cannot
// be opened; none is open then.
func NewFarm(specs []Spec) (*Farm, error) {
	f := &Farm{
		calls: map[string]int{}, opened: map[string]net.Listener{},
		begun: time.Now(), byDest: map[uint32]*host{}, byAddr: map[string]*host{}, closing: make(chan struct{}),
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{
		Handler: http.HandlerFunc(f.serve), Protocols: &protocols, ErrorLog: log.New(io.Discard, "", 0),
		ReadHeaderTimeout: 5 * time.Second,
	}
	var listeners []net.Listener
	for _, s := range specs {
		h := &host{p: partner.New(s.Profile, s.Seed), destination: s.Destination}
		f.byDest[s.Destination] = h
		for i := range s.Endpoints {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				for _, l := range listeners {
					l.Close()
				}
				return nil, fmt.Errorf("open endpoint %d: %w", len(listeners), err)
			}
			listeners = append(listeners, l)
			addr := l.Addr().String()
			f.byAddr[addr] = h
			f.opened[addr] = l
			f.ends = append(f.ends, Endpoint{
				Name: fmt.Sprintf("p%d-%d", s.Destination, i), Addr: addr, Destination: s.Destination, HTTP2: s.HTTP2,
			})
		}
	}
	for _, l := range listeners {
		f.wg.Go(func() { _ = f.server.Serve(l) })
	}
	return f, nil
}

// Endpoints are all of the farm's, partner by partner.
func (f *Farm) Endpoints() []Endpoint { return f.ends }

// Now is the farm's time: that of its partners' faults.
func (f *Farm) Now() time.Duration { return time.Since(f.begun) }

// With calls do with the partner of a destination, while it takes no call.
func (f *Farm) With(destination uint32, do func(p *partner.Partner)) error {
	h := f.byDest[destination]
	if h == nil {
		return fmt.Errorf("no partner has number %d", destination)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	do(h.p)
	return nil
}

// Each calls do with every partner in turn.
func (f *Farm) Each(do func(destination uint32, p *partner.Partner)) {
	for d, h := range f.byDest {
		h.mu.Lock()
		do(d, h.p)
		h.mu.Unlock()
	}
}

// Calls is how many calls the endpoint of that name has got.
func (f *Farm) Calls(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[f.addr(name)]
}

func (f *Farm) addr(name string) string {
	for _, e := range f.ends {
		if e.Name == name {
			return e.Addr
		}
	}
	return ""
}

// Remove closes the endpoint of that name for good: new connections to it fail.
func (f *Farm) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.opened[f.addr(name)]; l != nil {
		l.Close()
	}
}

// Give has the partner of another destination answer at the endpoint of that name, as
// where an address is used again.
func (f *Farm) Give(name string, destination uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddr[f.addr(name)] = f.byDest[destination]
}

// Drains notes that an endpoint's draining is told now.
func (f *Farm) Drains(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drains == nil {
		f.drains = map[string]time.Time{}
	}
	f.drains[addr] = time.Now()
}

// drained tells whether an endpoint should get nothing any more.
func (f *Farm) drained(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.drains[addr]
	return ok && time.Since(at) > drainGrace
}

// drainGrace is how long calls to an endpoint that drains are let through.
const drainGrace = time.Second

// LastShaped is the header X-Kitchen and the query of the last call that had that
// header.
func (f *Farm) LastShaped() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shaped
}

// Close ends all connections and waits for the listeners' ends.
func (f *Farm) Close() {
	close(f.closing)
	_ = f.server.Close()
	f.wg.Wait()
}

// bodyMost is the platform's bound.
const bodyMost = 64 << 10

// Body is a message's body that tells a partner of its key, its place among those
// of the key and when it is late, so that it can mind all that.
func Body(key, seq uint64, due time.Time) []byte {
	return fmt.Appendf(nil, "%016x %d %d message", key, seq, due.UnixMilli())
}

// call reads what Body has written; another body tells nothing.
func (f *Farm) call(id string, body []byte) partner.Call {
	c := partner.Call{ID: id}
	words := strings.Fields(string(body[:min(len(body), 80)]))
	if len(words) < 3 {
		return c
	}
	key, err := strconv.ParseUint(words[0], 16, 64)
	seq, err2 := strconv.ParseUint(words[1], 10, 64)
	due, err3 := strconv.ParseInt(words[2], 10, 64)
	if err == nil && err2 == nil && err3 == nil {
		c.Key, c.Seq, c.Due = key, seq, max(time.UnixMilli(due).Sub(f.begun), 1)
	}
	return c
}

func (f *Farm) serve(w http.ResponseWriter, r *http.Request) {
	addr, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	f.mu.Lock()
	f.calls[addr.String()]++
	h := f.byAddr[addr.String()]
	f.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if h == nil || r.Method != http.MethodPost || r.URL.Path != "/inbox" || id == "" {
		http.Error(w, "no such thing", http.StatusBadRequest)
		return
	}
	if k := r.Header.Get("X-Kitchen"); k != "" {
		f.mu.Lock()
		f.shaped = []string{k, r.URL.RawQuery}
		f.mu.Unlock()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyMost+1))
	if err != nil || len(body) > bodyMost {
		http.Error(w, "too big", http.StatusBadRequest)
		return
	}
	a, end := f.begin(h, id, body, f.drained(addr.String()))
	written := false
	defer func() { end(written) }()
	if a.Status == 0 && !a.Reset {
		f.wait(r.Context(), time.Hour)
		panic(http.ErrAbortHandler)
	}
	if !f.wait(r.Context(), a.After) {
		panic(http.ErrAbortHandler)
	}
	if a.Reset {
		end(false) // before its caller can know: what the caller does next comes after it
		end = func(bool) {}
		f.reset(w)
		panic(http.ErrAbortHandler)
	}
	if a.Limit > 0 {
		w.Header().Set(headerLoad, load(a))
	}
	if a.Status == http.StatusTooManyRequests {
		w.Header().Set(headerWait, wait(a))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(a.Status)
	written = a.Status == http.StatusOK
}

const (
	headerLoad = "X-Server-Load"
	headerWait = "X-RateLimit-Wait-Ms"
)

func load(a partner.Answer) string { return fmt.Sprintf("x0=%.3f,x1=%g", a.Left, a.Limit) }

func wait(a partner.Answer) string { return strconv.FormatInt(a.Wait.Milliseconds(), 10) }

// Header is what an answer's header says where it goes over no wire; "": it has none of
// that name.
func Header(a partner.Answer, name string) string {
	switch {
	case name == headerLoad && a.Limit > 0:
		return load(a)
	case name == headerWait && a.Status == http.StatusTooManyRequests:
		return wait(a)
	}
	return ""
}

func (f *Farm) begin(h *host, id string, body []byte, drained bool) (a partner.Answer, end func(delivered bool)) {
	c := f.call(id, body)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := f.Now()
	a = h.p.Begin(now, c)
	f.mu.Lock()
	if f.keeps {
		f.taken = append(f.taken, Taken{Destination: h.destination, ID: id, At: now, Wait: a.Wait})
	}
	f.mu.Unlock()
	if drained {
		h.p.Counts.Drained++
	}
	return a, func(delivered bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.p.End(f.Now(), c, delivered)
	}
}

// Begin has the partner of a destination take a call that comes over no wire. end is to be
// called once the answer has been given, or given up.
func (f *Farm) Begin(destination uint32, id string, body []byte) (a partner.Answer, end func(delivered bool), err error) {
	h := f.byDest[destination]
	if h == nil {
		return a, nil, fmt.Errorf("no partner has number %d", destination)
	}
	a, end = f.begin(h, id, body, false)
	return a, end, nil
}

// wait returns false where the caller gives up, or the farm closes, before d
// has passed.
func (f *Farm) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-f.closing:
	}
	return false
}

// reset breaks an HTTP/1.1 connection; over HTTP/2 aborting the handler resets
// the stream.
func (f *Farm) reset(w http.ResponseWriter) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hj.Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
