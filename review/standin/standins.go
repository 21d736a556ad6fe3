package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

func ready(id, addr string, cell int) instance {
	return instance{ID: id, HostPort: addr, Zone: "almaty-dc1", Machine: "couriers", Cell: cell, Lifecycle: "Ready", Weight: 1}
}

// notice is a final result told to the platform.
type notice struct {
	ID    string `json:"id"`
	State string `json:"state"`
	at    time.Time
}

// discovery is a discovery agent: lists, watches and notices.
type discovery struct {
	name       string
	rec        *recorder
	addr       string
	listener   net.Listener
	server     *http.Server
	closeAfter bool // answers to requests for the list close their connection
	mu         sync.Mutex
	generation int
	list       map[string]instance
	changedAt  map[string]int
	changed    chan struct{}
	notices    map[string]notice
	requests   int
	onNotice   func(id, state string)
	dark       bool // silent towards requests for the list
	crowded    bool // answers requests for the list with 503
}

func (g *rig) newDiscovery(name string, generation int, list []instance) *discovery {
	d := &discovery{name: name, rec: g.rec, generation: generation, list: map[string]instance{}, changedAt: map[string]int{}, changed: make(chan struct{}), notices: map[string]notice{}}
	for _, i := range list {
		d.list[i.ID] = i
	}
	l, err := net.Listen("tcp", g.ip+":0")
	g.must(err)
	d.listener, d.addr = l, l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.hosts)
	mux.HandleFunc("POST /v1/outcomes", d.outcomes)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()
	g.rec.f("discovery %s listens at %s", name, d.addr)
	return d
}

// change applies changed entries; an entry with lifecycle Gone is removed.
func (d *discovery) change(list ...instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, i := range list {
		d.rec.f("discovery %s: generation %d, %s is %s", d.name, d.generation, i.ID, i.Lifecycle)
		d.list[i.ID] = i
		d.changedAt[i.ID] = d.generation
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) isDark() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dark
}

func (d *discovery) isCrowded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crowded
}

func (d *discovery) setCrowded(crowded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = crowded
	close(d.changed) // open watches are answered
	d.changed = make(chan struct{})
	d.rec.f("discovery %s crowded: %v", d.name, crowded)
}

func (d *discovery) setDark(dark bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dark = dark
	d.rec.f("discovery %s dark: %v", d.name, dark)
}

func (d *discovery) whole() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []instance{}
	for _, i := range d.list {
		if i.Lifecycle != "Gone" {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return map[string]any{"generation": d.generation, "reset": true, "instances": out}
}

func (d *discovery) since(after int) (map[string]any, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []instance{}
	for id, at := range d.changedAt {
		if at > after {
			out = append(out, d.list[id])
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return map[string]any{"generation": d.generation, "reset": false, "instances": out}, d.generation
}

func (d *discovery) hosts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.mu.Lock()
	d.requests++
	d.mu.Unlock()
	if d.isCrowded() {
		time.Sleep(300 * time.Millisecond)
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(503)
		return
	}
	var answer map[string]any
	if after, err := strconv.Atoi(q.Get("after")); err == nil {
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for done := false; !done; {
			d.mu.Lock()
			newer, changed := d.generation > after && !d.dark, d.changed
			dark := d.dark
			d.mu.Unlock()
			if dark {
				select {
				case <-time.After(20 * time.Millisecond):
				case <-r.Context().Done():
					return
				}
				continue
			}
			if newer {
				break
			}
			select {
			case <-changed:
			case <-limit:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		answer, _ = d.since(after)
	} else {
		for d.isDark() {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		answer = d.whole()
	}
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if d.closeAfter {
		w.Header().Set("Connection", "close")
	}
	n, err := w.Write(b)
	d.rec.f("discovery %s: %s?%s answered generation %v reset %v, %d bytes, written %d %v", d.name, r.URL.Path, r.URL.RawQuery, answer["generation"], answer["reset"], len(b), n, err)
}

func (d *discovery) outcomes(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d.mu.Lock()
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var n notice
		if json.Unmarshal([]byte(line), &n) != nil {
			d.mu.Unlock()
			w.WriteHeader(400)
			return
		}
		if n.at = time.Now(); d.notices[n.ID].ID == "" {
			d.notices[n.ID] = n
		}
		d.rec.f("discovery %s: notice %s", d.name, line)
		if d.onNotice != nil {
			d.onNotice(n.ID, n.State)
		}
	}
	d.mu.Unlock()
	w.WriteHeader(204)
}

// leave takes no new connections and closes the open ones after 1.5 s, as the old address does
// after SIGHUP.
func (d *discovery) leave() {
	d.rec.f("discovery %s takes no new connections", d.name)
	_ = d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		d.rec.f("discovery %s closes its open connections", d.name)
		_ = d.server.Close()
	})
}

// call is a call that an endpoint has received whole.
type call struct {
	id, endpoint string
	at           time.Time
	status       int
}

// partners are the partner systems: endpoints that record all calls.
type partners struct {
	rec   *recorder
	mu    sync.Mutex
	calls []call
	shut  map[string]bool // endpoints that refuse all calls
}

func (g *rig) newPartners() *partners { return &partners{rec: g.rec, shut: map[string]bool{}} }

// endpoint starts an endpoint and returns its address.
func (p *partners) endpoint(g *rig, name string) string {
	l, err := net.Listen("tcp", g.ip+":0")
	g.must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c := call{id: r.Header.Get("X-Request-Id"), endpoint: name, at: time.Now(), status: 200}
		p.mu.Lock()
		if p.shut[name] {
			c.status = 503
		}
		p.calls = append(p.calls, c)
		p.mu.Unlock()
		p.rec.f("endpoint %s: call %s answered %d", name, c.id, c.status)
		if c.status == 200 {
			time.Sleep(30 * time.Millisecond)
		}
		w.WriteHeader(c.status)
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	g.rec.f("endpoint %s listens at %s", name, l.Addr())
	return l.Addr().String()
}

// delivered reports whether a message was answered 200.
func (p *partners) delivered(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.calls {
		if c.id == id && c.status == 200 {
			return true
		}
	}
	return false
}

// callsTo returns the calls to an endpoint since a moment.
func (p *partners) callsTo(endpoint string, since time.Time) (out []call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.calls {
		if c.endpoint == endpoint && c.at.After(since) {
			out = append(out, c)
		}
	}
	return out
}

// client is a RESP2 client on one connection.
type client struct {
	rec  *recorder
	addr string
	conn net.Conn
	in   *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// command sends a command and returns the answer's line; "" if there is none within 400 ms.
func (c *client) command(args ...string) string {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, 400*time.Millisecond)
		if err != nil {
			return ""
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	_ = c.conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return ""
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.close()
		return ""
	}
	return strings.TrimSpace(line)
}

// message is a message handed in, with its answer.
type message struct {
	id       string
	sentAt   time.Time
	deadline time.Time
	answer   string
}

// add hands a message in once.
func (c *client) add(id, class string, dest int, left time.Duration) message {
	m := message{id: id, sentAt: time.Now()}
	m.deadline = m.sentAt.Add(left)
	names := fmt.Sprintf("c=%s,t=city-takeaway,d=%d,dest=%d", class, left.Milliseconds(), dest)
	m.answer = c.command("OUT.ADD", "0000000000000000", id, names, "body of "+id)
	c.rec.f("client: %s (%s) answered %q", id, names, m.answer)
	return m
}

// waitReady waits until the courier answers PING with PONG on a new connection.
func (g *rig) waitReady(addr string, within time.Duration) bool {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		c := &client{rec: g.rec, addr: addr}
		answer := c.command("PING")
		c.close()
		if answer == "+PONG" {
			g.rec.f("courier answers PING at %s", addr)
			return true
		}
	}
	return false
}

// console asks at the second address and returns the first line of the answer.
func console(addr, line string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return ""
	}
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

// waitYes waits until the second address says yes to readyz.
func (g *rig) waitYes(addr string, within time.Duration) bool {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if strings.HasPrefix(console(addr, "readyz"), "done") {
			g.rec.f("second address %s says yes", addr)
			return true
		}
	}
	return false
}
