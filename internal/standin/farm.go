// Package standin simulates the environment of a courier on loopback addresses: partner systems
// over HTTP/1.1 and HTTP/2, and the directory that lists them and receives notices with the
// platform's protocol. Package partner models the behavior of a partner; this package adds the
// sockets.
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

// Spec describes one partner of a farm.
type Spec struct {
	Destination uint32
	Endpoints   int
	HTTP2       bool // HTTP/2 with prior knowledge instead of HTTP/1.1
	Profile     partner.Profile
	Seed        uint64
}

// Endpoint is an address of a partner.
type Endpoint struct {
	Name        string
	Addr        string
	Destination uint32
	HTTP2       bool
}

// Farm serves simulated partners on sockets. Its clock starts with it.
type Farm struct {
	startedAt          time.Time
	server             *http.Server
	hostsByDestination map[uint32]*host
	hostsByAddr        map[string]*host
	endpoints          []Endpoint
	wg                 sync.WaitGroup
	closing            chan struct{}

	mu              sync.Mutex
	drainingSince   map[string]time.Time // by address: when draining was announced
	callsByAddr     map[string]int
	listeners       map[string]net.Listener
	recordedCalls   []RecordedCall
	recordsCalls    bool     // whether calls are added to recordedCalls
	lastKitchenCall []string // X-Kitchen header and query of the last call with that header
}

// host is a partner and the lock that serializes its calls.
type host struct {
	mu          sync.Mutex
	partner     *partner.Partner
	destination uint32
}

// RecordedCall is a recorded call to a partner.
type RecordedCall struct {
	Destination uint32
	ID          string
	At          time.Duration // by the farm's clock
	RetryAfter  time.Duration // retry-after delay in the response; 0 means none
}

// RecordCalls makes the farm record every call to its partners from now on.
func (f *Farm) RecordCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordsCalls = true
}

// RecordedCalls returns the recorded calls. Those to a partner are in the order in which it processed them.
func (f *Farm) RecordedCalls() []RecordedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.recordedCalls)
}

// NewFarm opens the partners' endpoints. An error names the first endpoint that could not be
// opened; all others are closed again.
func NewFarm(specs []Spec) (*Farm, error) {
	f := &Farm{
		callsByAddr: map[string]int{}, listeners: map[string]net.Listener{},
		startedAt: time.Now(), hostsByDestination: map[uint32]*host{}, hostsByAddr: map[string]*host{}, closing: make(chan struct{}),
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
		h := &host{partner: partner.New(s.Profile, s.Seed), destination: s.Destination}
		f.hostsByDestination[s.Destination] = h
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
			f.hostsByAddr[addr] = h
			f.listeners[addr] = l
			f.endpoints = append(f.endpoints, Endpoint{
				Name: fmt.Sprintf("p%d-%d", s.Destination, i), Addr: addr, Destination: s.Destination, HTTP2: s.HTTP2,
			})
		}
	}
	for _, l := range listeners {
		f.wg.Go(func() { _ = f.server.Serve(l) })
	}
	return f, nil
}

// Endpoints returns all endpoints of the farm, grouped by partner.
func (f *Farm) Endpoints() []Endpoint { return f.endpoints }

// Now returns the time by the farm's clock, which its partners' faults use.
func (f *Farm) Now() time.Duration { return time.Since(f.startedAt) }

// With calls visit with the partner of a destination, which processes no call meanwhile.
func (f *Farm) With(destination uint32, visit func(p *partner.Partner)) error {
	h := f.hostsByDestination[destination]
	if h == nil {
		return fmt.Errorf("no partner for destination %d", destination)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	visit(h.partner)
	return nil
}

// Each calls visit with every partner, one at a time.
func (f *Farm) Each(visit func(destination uint32, p *partner.Partner)) {
	for d, h := range f.hostsByDestination {
		h.mu.Lock()
		visit(d, h.partner)
		h.mu.Unlock()
	}
}

// Calls returns the number of calls that the named endpoint has received.
func (f *Farm) Calls(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callsByAddr[f.addr(name)]
}

func (f *Farm) addr(name string) string {
	for _, e := range f.endpoints {
		if e.Name == name {
			return e.Addr
		}
	}
	return ""
}

// Remove closes the named endpoint permanently: new connections to it fail.
func (f *Farm) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.listeners[f.addr(name)]; l != nil {
		l.Close()
	}
}

// Reassign makes the partner of another destination answer at the named endpoint, as if the address
// had been reassigned.
func (f *Farm) Reassign(name string, destination uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostsByAddr[f.addr(name)] = f.hostsByDestination[destination]
}

// MarkDraining records that the draining of an endpoint is announced now.
func (f *Farm) MarkDraining(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainingSince == nil {
		f.drainingSince = map[string]time.Time{}
	}
	f.drainingSince[addr] = time.Now()
}

// drainGraceOver reports whether an endpoint should no longer receive calls.
func (f *Farm) drainGraceOver(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.drainingSince[addr]
	return ok && time.Since(at) > drainGrace
}

// drainGrace is how long calls to a draining endpoint are still allowed.
const drainGrace = time.Second

// LastKitchenCall returns the X-Kitchen header and the query of the last call with that header, which a
// plug-in has set.
func (f *Farm) LastKitchenCall() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastKitchenCall
}

// Close closes all connections and listeners and waits until the listeners have stopped.
func (f *Farm) Close() {
	close(f.closing)
	_ = f.server.Close()
	f.wg.Wait()
}

// maxBodyBytes is the platform's maximum size of a message body in bytes.
const maxBodyBytes = 64 << 10

// Body returns a message body that contains the ordering key, the sequence number within the key
// and the deadline, so that a simulated partner can check them.
func Body(key, seq uint64, due time.Time) []byte {
	return fmt.Appendf(nil, "%016x %d %d message", key, seq, due.UnixMilli())
}

// parseCall parses a body made by Body. For any other body only the ID is set.
func (f *Farm) parseCall(id string, body []byte) partner.Call {
	c := partner.Call{ID: id}
	words := strings.Fields(string(body[:min(len(body), 80)]))
	if len(words) < 3 {
		return c
	}
	key, err := strconv.ParseUint(words[0], 16, 64)
	seq, err2 := strconv.ParseUint(words[1], 10, 64)
	due, err3 := strconv.ParseInt(words[2], 10, 64)
	if err == nil && err2 == nil && err3 == nil {
		c.Key, c.Seq, c.Due = key, seq, max(time.UnixMilli(due).Sub(f.startedAt), 1)
	}
	return c
}

// serve handles a call over HTTP.
func (f *Farm) serve(w http.ResponseWriter, r *http.Request) {
	addr, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	f.mu.Lock()
	f.callsByAddr[addr.String()]++
	h := f.hostsByAddr[addr.String()]
	f.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if h == nil || r.Method != http.MethodPost || r.URL.Path != "/inbox" || id == "" {
		http.Error(w, "expected POST /inbox with an X-Request-ID header", http.StatusBadRequest)
		return
	}
	if k := r.Header.Get("X-Kitchen"); k != "" {
		f.mu.Lock()
		f.lastKitchenCall = []string{k, r.URL.RawQuery}
		f.mu.Unlock()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		http.Error(w, "the body is too large", http.StatusBadRequest)
		return
	}
	a, end := f.beginCall(h, id, body, f.drainGraceOver(addr.String()))
	written := false
	defer func() { end(written) }()
	if a.Status == 0 && !a.Reset {
		f.sleep(r.Context(), time.Hour)
		panic(http.ErrAbortHandler)
	}
	if !f.sleep(r.Context(), a.Delay) {
		panic(http.ErrAbortHandler)
	}
	if a.Reset {
		end(false) // before the caller sees the reset, so that the caller's next call comes after the end
		end = func(bool) {}
		f.resetConnection(w)
		panic(http.ErrAbortHandler)
	}
	if a.Limit > 0 {
		w.Header().Set(loadHeader, formatLoad(a))
	}
	if a.Status == http.StatusTooManyRequests {
		w.Header().Set(retryAfterHeader, formatRetryAfter(a))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(a.Status)
	written = a.Status == http.StatusOK
}

const (
	loadHeader       = "X-Server-Load"
	retryAfterHeader = "X-RateLimit-Wait-Ms"
)

func formatLoad(a partner.Response) string {
	return fmt.Sprintf("x0=%.3f,x1=%g", a.RemainingShare, a.Limit)
}

func formatRetryAfter(a partner.Response) string {
	return strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)
}

// Header returns a header of an answer that is not sent over HTTP, or "" if it has no such header.
func Header(a partner.Response, name string) string {
	switch {
	case name == loadHeader && a.Limit > 0:
		return formatLoad(a)
	case name == retryAfterHeader && a.Status == http.StatusTooManyRequests:
		return formatRetryAfter(a)
	}
	return ""
}

// beginCall passes a call to a partner. The caller must call end once, as for Begin.
func (f *Farm) beginCall(h *host, id string, body []byte, draining bool) (a partner.Response, end func(delivered bool)) {
	c := f.parseCall(id, body)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := f.Now()
	a = h.partner.Begin(now, c)
	f.mu.Lock()
	if f.recordsCalls {
		f.recordedCalls = append(f.recordedCalls, RecordedCall{Destination: h.destination, ID: id, At: now, RetryAfter: a.RetryAfter})
	}
	f.mu.Unlock()
	if draining {
		h.partner.Counts.AfterDrain++
	}
	return a, func(delivered bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.partner.End(f.Now(), c, delivered)
	}
}

// Begin passes a call to the partner of a destination without a network connection. The caller
// must call end once the answer has been used or abandoned.
func (f *Farm) Begin(destination uint32, id string, body []byte) (a partner.Response, end func(delivered bool), err error) {
	h := f.hostsByDestination[destination]
	if h == nil {
		return a, nil, fmt.Errorf("no partner for destination %d", destination)
	}
	a, end = f.beginCall(h, id, body, false)
	return a, end, nil
}

// sleep waits for d. It returns false if the caller gave up or the farm was closed before.
func (f *Farm) sleep(ctx context.Context, d time.Duration) bool {
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

// resetConnection resets an HTTP/1.1 connection. Over HTTP/2 it does nothing, since aborting the
// handler resets the stream.
func (f *Farm) resetConnection(w http.ResponseWriter) {
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
