package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stress"] = stress }

type sCall struct {
	id, k    string
	ep       *sEndpoint
	first    time.Time // first byte
	start    time.Time // last byte
	end      time.Time // answer written or connection ended
	status   int       // 0: none written whole
	wait     time.Duration
	byClient bool // connection ended by the courier
	epoch    int
}

type sMsg struct {
	id, k, class string
	key          uint64
	seq          int
	dest         int
	sent         time.Time
	answered     time.Time
	deadline     time.Time
	ok           bool
	answer       string
	calls        []*sCall
	over         time.Time // delivered or notice answered
	how          string
	gone         bool
	epoch        int
	push         bool
	told         string
	toldAt       time.Time
	withdrawnAt  time.Time
}

type sEndpoint struct {
	name, addr, zone string
	dest             int
	w                *world
	l                net.Listener
	drainedAt        time.Time
	excludedAt       time.Time
	h2               bool
	goAway           func()
}

type world struct {
	g      *rig
	rng    *rand.Rand
	mu     sync.Mutex
	msgs   map[string]*sMsg
	order  map[uint64][]*sMsg
	mood   map[int]string // by destination
	calls  []*sCall
	eps    []*sEndpoint
	waits  map[int]*sCall
	epoch  int
	excuse []span
	stop   bool
	nEp    int
	nDest  int
	fleet  bool                 // of several couriers: waits bind each by itself and are not checked
	again  []*sMsg              // keyed messages that a client may hand in again
	ranAt  map[string]time.Time // by idempotency key: the first call that may have run
	d      *discovery
}

type span struct{ from, to time.Time }

func (w *world) rnd(n int) int { w.mu.Lock(); defer w.mu.Unlock(); return w.rng.IntN(n) }

type firstByte struct {
	net.Conn
	at time.Time
}

func (c *firstByte) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.at.IsZero() {
		c.at = time.Now()
	}
	return n, err
}

func (w *world) newEndpoint(dest int, zone string) *sEndpoint {
	l, err := net.Listen("tcp", w.g.ip+":0")
	w.g.must(err)
	w.nEp++
	e := &sEndpoint{name: fmt.Sprintf("s-%04d", w.nEp), addr: l.Addr().String(), zone: zone, dest: dest, w: w, l: l}
	w.eps = append(w.eps, e)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *sEndpoint) serve(raw net.Conn) {
	defer raw.Close()
	fb := &firstByte{Conn: raw}
	in := bufio.NewReader(fb)
	type received struct {
		c    *sCall
		body string
	}
	reqs, closed, quit := make(chan received), make(chan struct{}), make(chan struct{})
	defer close(quit)
	go func() { // reads requests, and the connection's end while a call is out
		defer close(closed)
		for {
			fb.at = time.Time{}
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			c := &sCall{id: req.Header.Get("X-Request-Id"), k: req.Header.Get("Idempotency-Key"), ep: e, first: fb.at, start: time.Now()}
			select {
			case reqs <- received{c, string(body)}:
			case <-quit:
				return
			}
		}
	}()
	for {
		var r received
		select {
		case r = <-reqs:
		case <-closed:
			return
		}
		c := r.c
		act, delay := e.w.began(c, r.body)
		select {
		case <-closed:
			e.w.ended(c, 0, 0, true)
			return
		case <-time.After(delay):
		}
		write := func(status int, head, body string) bool {
			e.w.ended(c, status, 0, false)
			_, err := fmt.Fprintf(raw, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
			return err == nil
		}
		switch act {
		case "ok":
			if !write(200, "X-Server-Load: x0=0.9,x1=50\r\n", "") {
				return
			}
		case "error":
			if !write(500, "", "no") {
				return
			}
		case "full":
			wait := time.Duration(300+e.w.rnd(1500)) * time.Millisecond
			e.w.ended(c, 429, wait, false)
			if _, err := fmt.Fprintf(raw, "HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: %d\r\nContent-Length: 0\r\n\r\n", wait.Milliseconds()); err != nil {
				return
			}
		case "shut":
			if !write(503, "", "") {
				return
			}
		case "reset":
			raw.(*net.TCPConn).SetLinger(0)
			e.w.ended(c, 0, 0, false)
			return
		case "close":
			e.w.ended(c, 0, 0, false)
			return
		case "half":
			e.w.ended(c, 200, 0, false)
			fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			time.Sleep(50 * time.Millisecond)
			return
		case "silent":
			<-closed
			e.w.ended(c, 0, 0, true)
			return
		}
		if e.w.rnd(12) == 0 {
			return // closes an idle connection
		}
	}
}

func (w *world) began(c *sCall, body string) (string, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.epoch = w.epoch
	w.calls = append(w.calls, c)
	m := w.msgs[c.id]
	if m == nil || strings.TrimRight(body, "~") != "body of "+c.id || m.k != c.k || m.dest != c.ep.dest {
		w.g.breakRule("foreign: call %s k=%s at %s dest %d: nobody sent it so", c.id, c.k, c.ep.name, c.ep.dest)
		return "ok", 0
	}
	for _, x := range m.calls {
		if x.end.IsZero() {
			w.g.breakRule("copies: %s called at %s while its call at %s is out", c.id, c.ep.name, x.ep.name)
		}
		ran := x.status != 429 && x.status != 503
		if ran && (m.class == "pay" || m.class == "slip") {
			w.g.breakRule("duplicate: %s (%s) called again %v after a call that may have run, status %d", c.id, m.class, c.start.Sub(x.start), x.status)
		}
		if ran && (m.class == "order" || m.class == "zoned") && c.start.Sub(x.start) > stressWindow()+50*time.Millisecond {
			w.g.breakRule("duplicate: %s (%s) called again %v after a call that may have run: past its window", c.id, m.class, c.start.Sub(x.start))
		}
		if ran && m.class == "zoned" && x.ep.zone != c.ep.zone {
			w.g.breakRule("duplicate: %s (zoned) called again in another zone", c.id)
		}
	}
	if m.key != 0 {
		for _, x := range w.order[m.key] {
			if x == m {
				break
			}
			if x.ok && x.over.IsZero() && !x.gone && !x.push {
				w.g.breakRule("order: %s of key %x called while %s taken earlier is not over", c.id, m.key, x.id)
			}
			for _, y := range x.calls {
				if y.end.IsZero() {
					w.g.breakRule("order: %s of key %x called while a call of %s is out", c.id, m.key, x.id)
				} else if y.byClient && c.start.Sub(y.end) < 90*time.Millisecond && len(m.calls) == 0 {
					w.g.breakRule("order: %s of key %x called %v after a call of %s was given up", c.id, m.key, c.start.Sub(y.end), x.id)
				}
			}
		}
	}
	if x := w.waits[c.ep.dest]; x != nil && x.epoch == w.epoch && !w.fleet {
		if since := c.start.Sub(x.end); since > 160*time.Millisecond && since < x.wait-3*time.Millisecond {
			w.g.breakRule("wait: %s called dest %d %v after it was told to wait %v", c.id, c.ep.dest, since, x.wait)
		}
	}
	if !m.withdrawnAt.IsZero() {
		w.g.breakRule("withdrawn: %s called %v after its DELETE was answered 204", c.id, c.start.Sub(m.withdrawnAt))
	}
	if e := c.ep; !e.drainedAt.IsZero() && c.first.Sub(e.drainedAt) > 1050*time.Millisecond {
		w.g.breakRule("drain: %s sent to %s %v after it was told", c.id, e.name, c.first.Sub(e.drainedAt))
	}
	if e := c.ep; !e.excludedAt.IsZero() && c.first.Sub(e.excludedAt) > 1050*time.Millisecond {
		w.g.breakRule("exclude: %s sent to %s %v after the yes", c.id, e.name, c.first.Sub(e.excludedAt))
	}
	if ran := w.ranAt[c.k]; c.k != "" && !ran.IsZero() && c.start.Sub(ran) > stressWindow()+50*time.Millisecond {
		w.g.breakRule("twice: %s with key %s called %v after a call with that key that may have run", c.id, c.k, c.start.Sub(ran))
	}
	m.calls = append(m.calls, c)
	mood := w.mood[c.ep.dest]
	r := w.rng.IntN(100)
	delay := time.Duration(10+w.rng.IntN(120)) * time.Millisecond
	act := "ok"
	switch mood {
	case "errors":
		if r < 60 {
			act = "error"
		}
	case "limit":
		if r < 40 {
			act = "full"
		}
	case "shut":
		act = "shut"
	case "resets":
		if r < 40 {
			act = "reset"
		} else if r < 50 {
			act = "close"
		}
	case "silent":
		act = "silent"
	case "slow":
		delay *= 15
	case "half":
		if r < 40 {
			act = "half"
		}
	}
	w.g.rec.f("call %s at %s dest %d no %d: %s", c.id, c.ep.name, c.ep.dest, len(m.calls), act)
	return act, delay
}

func (w *world) ended(c *sCall, status int, wait time.Duration, byClient bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.end.IsZero() {
		return
	}
	c.end, c.status, c.wait, c.byClient = time.Now(), status, wait, byClient
	w.g.rec.f("end of call %s: %d wait %v byClient %v", c.id, status, wait, byClient)
	if ran := status != 429 && status != 503; ran && c.k != "" && w.ranAt[c.k].IsZero() {
		w.ranAt[c.k] = c.start
	}
	if wait > 0 {
		if x := w.waits[c.ep.dest]; x == nil || x.epoch != w.epoch || x.end.Add(x.wait).Before(c.end.Add(wait)) {
			c.epoch = w.epoch
			w.waits[c.ep.dest] = c
		}
	}
	if m := w.msgs[c.id]; m != nil && status == 200 && m.over.IsZero() {
		m.over, m.how = c.end, "delivered"
	}
}

// padding returns how much longer a body is made.
func (w *world) padding() int {
	most, _ := strconv.Atoi(os.Getenv("BODY"))
	if most == 0 {
		return 0
	}
	return w.rnd(most)
}

// watchFolder checks the size of the folder that lasts.
func (w *world) watchFolder(dir string, most float64) {
	peak := 0.0
	for !w.stopped() {
		total := 0.0
		_ = filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
			if err == nil && i.Mode().IsRegular() {
				total += float64((i.Size() + 511) / 512 * 512)
			}
			return nil
		})
		if peak = max(peak, total); total > most*1e6 {
			w.mu.Lock()
			w.g.breakRule("crash: the folder holds %v bytes", total)
			w.mu.Unlock()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.g.rec.f("the folder held %v bytes at most", peak)
}

func (w *world) stopped() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.stop }

// hand hands messages in for one key, one after another.
func (w *world) hand(no int, listen string) {
	c := &client{rec: w.g.rec, addr: listen}
	n := 0
	var again *sMsg
	for !w.stopped() {
		w.mu.Lock()
		class := []string{"order", "status", "pay", "slip", "zoned"}[w.rng.IntN(5)]
		left := time.Duration(1500+w.rng.IntN(3500)) * time.Millisecond
		if os.Getenv("SHORT") != "" && w.rng.IntN(3) == 0 {
			left = time.Duration(1+w.rng.IntN(50)) * time.Millisecond
		}
		if len(w.again) > 0 && w.rng.IntN(3) == 0 { // the newest that a client may hand in again
			again = w.again[len(w.again)-1]
			w.again = w.again[:len(w.again)-1]
			class = again.class
			if ran := w.ranAt[again.k]; !ran.IsZero() && time.Since(ran) > stressWindow()-100*time.Millisecond || again.class == "zoned" && !ran.IsZero() {
				again = nil // not inside its window any more
			}
		}
		n++
		m := &sMsg{id: fmt.Sprintf("m%03d-%05d", no, n), class: class, dest: w.rng.IntN(w.nDest), seq: n, epoch: w.epoch}
		if class == "order" || class == "slip" {
			m.key = uint64(no + 1)
			if w.fleet && os.Getenv("ANYDEST") == "" { // the messages of a key go to one destination
				m.dest = no % w.nDest
			}
		}
		if class == "order" || class == "zoned" {
			m.k = fmt.Sprintf("k%03d-%05d", no, n)
		}
		mark := ""
		if again != nil {
			if !w.fleet || m.key == 0 || again.dest == m.dest {
				m.k, m.dest, mark = again.k, again.dest, ",r=1"
			}
			again = nil
		}
		m.sent = time.Now()
		m.deadline = m.sent.Add(left)
		w.msgs[m.id] = m
		if m.key != 0 {
			w.order[m.key] = append(w.order[m.key], m)
		}
		w.mu.Unlock()
		names := fmt.Sprintf("c=%s,t=city-takeaway,d=%d,dest=%d", class, left.Milliseconds(), m.dest)
		if m.k != "" {
			names += ",k=" + m.k
		}
		names += mark
		answer := c.command("OUT.ADD", fmt.Sprintf("%016x", m.key), m.id, names, "body of "+m.id+strings.Repeat("~", w.padding()))
		w.mu.Lock()
		m.answered, m.answer = time.Now(), answer
		m.ok = strings.HasPrefix(answer, "+")
		if !m.ok {
			m.gone = true
			if m.k != "" && !strings.HasPrefix(answer, "-ERR") {
				w.again = append(w.again, m)
			}
		}
		w.mu.Unlock()
		w.g.rec.f("client %s %s key %x: %q", m.id, names, m.key, answer)
		if w.rnd(30) == 0 {
			c.close()
		}
		time.Sleep(time.Duration(20+w.rnd(600)) * time.Millisecond)
	}
	c.close()
}

func stress(g *rig) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length := 60 * time.Second
	if s, err := time.ParseDuration(os.Getenv("LENGTH")); err == nil {
		length = s
	}
	ops := strings.Split(os.Getenv("OPS"), ",")
	if len(ops) == 1 && ops[0] == "" {
		ops = []string{"kill", "term", "upgrade", "hup", "drain", "drain", "exclude"}
	}
	w := &world{g: g, rng: rand.New(rand.NewPCG(seed, 7)), msgs: map[string]*sMsg{}, order: map[uint64][]*sMsg{}, mood: map[int]string{}, waits: map[int]*sCall{}, nDest: 6, ranAt: map[string]time.Time{}}
	zones := []string{"east", "west"}
	entry := func(e *sEndpoint) instance {
		i := ready(e.name, e.addr, e.dest)
		i.Zone = e.zone
		return i
	}
	var list []instance
	for d := range 6 {
		for z := range 2 {
			list = append(list, entry(w.newEndpoint(d, zones[z])))
		}
	}
	pushFile, pushListen := filepath.Join(g.tmp, "push.json"), g.freeAddr()
	pushConf := func() map[string]any {
		targets := []instance{}
		for _, e := range w.eps {
			if e.h2 && e.drainedAt.IsZero() {
				targets = append(targets, entry(e))
			}
		}
		return map[string]any{"listen": pushListen, "openapi": filepath.Join(g.root, "deploy", "openapi.json"), "asyncapi": filepath.Join(g.root, "deploy", "asyncapi.json"), "targets": targets}
	}
	if os.Getenv("PUSH") == "1" {
		for d := 6; d < 9; d++ {
			for z := range 2 {
				w.newH2Endpoint(d, zones[z])
			}
		}
		w.nDest = 9
		g.writeJSON(pushFile, pushConf())
	} else {
		g.writeJSON(pushFile, map[string]any{})
	}
	idleFile, pluginsFile := filepath.Join(g.tmp, "idle.json"), filepath.Join(g.tmp, "plugins.json")
	g.writeJSON(idleFile, map[string]any{})
	if os.Getenv("IDLE") != "" {
		g.writeJSON(idleFile, map[string]any{"sleep_after_s": 1, "awake_most": 3, "store": filepath.Join(g.tmp, "idle.store")})
	}
	g.writeJSON(pluginsFile, map[string]any{})
	if os.Getenv("PLUG") != "" {
		folder := filepath.Join(g.tmp, "plugins", "odd")
		g.must(os.MkdirAll(folder, 0o700))
		g.must(os.WriteFile(filepath.Join(folder, "odd.star"), []byte(oddPlugin), 0o600))
		g.writeJSON(filepath.Join(folder, "manifest.json"), map[string]any{
			"name": "odd", "version": "1.0.0", "protocol": 1, "engine": "starlark", "code": "odd.star", "hooks": []string{"admit", "shape", "read", "ended"},
			"touches": map[string]any{"headers": true}, "budget": map[string]any{"time_ms": 20, "steps": 100000000},
		})
		g.writeJSON(pluginsFile, map[string]any{"folder": filepath.Join(g.tmp, "plugins")})
	}
	w.d = g.newDiscovery("d0", 41, list)
	w.d.onNotice = w.noticeCame
	listen, state, cfg := g.freeAddr(), filepath.Join(g.tmp, "state"), filepath.Join(g.tmp, "config.json")
	known := w.d.whole()
	conf := func() map[string]any {
		c := config(listen, w.d.addr, known)
		s := c["settings"].(map[string]any)
		s["dcs"] = zones
		if mb, err := strconv.ParseFloat(os.Getenv("DISK"), 64); err == nil {
			c["limits"].(map[string]any)["disk_mb"] = mb
		}
		s["classes"] = stressClasses()
		return c
	}
	g.writeJSON(cfg, conf())
	consoleN := g.freeAddr()
	start := func(name, con string) *proc {
		return g.start(name, "GW_CONFIG="+cfg, "GW_STATE="+state, "GW_NAME=n0", "GW_CONSOLE="+con, "SNOWJUNCTION_PUSH="+pushFile, "SNOWJUNCTION_IDLE="+idleFile, "SNOWJUNCTION_PLUGINS="+pluginsFile)
	}
	cur := start("p0", consoleN)
	if !g.waitReady(listen, 20*time.Second) {
		panic(couldNotRun{fmt.Errorf("not ready")})
	}
	var wg sync.WaitGroup
	disk, err := strconv.ParseFloat(os.Getenv("DISK"), 64)
	if err != nil {
		disk = 3
	}
	go w.watchFolder(state, disk)
	for i := range 12 {
		wg.Add(1)
		go func() { defer wg.Done(); w.hand(i, listen) }()
	}
	for i := range 8 * (w.nDest / 9) {
		wg.Add(1)
		go func() { defer wg.Done(); w.handPush(i, "http://"+pushListen) }()
	}
	wg.Add(1)
	go func() { defer wg.Done(); w.moods() }()
	until := time.Now().Add(length)
	nproc := 0
	lastHup := time.Now()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(1500+w.rnd(2500)) * time.Millisecond)
		op := ops[w.rnd(len(ops))]
		g.rec.f("OP %s", op)
		nproc++
		switch op {
		case "kill", "term":
			from := time.Now()
			if op == "term" {
				cur.signal(syscall.SIGTERM)
				select {
				case <-cur.done:
				case <-time.After(3700 * time.Millisecond):
				}
				if r := time.Until(from.Add(3700 * time.Millisecond)); r > 0 {
					time.Sleep(r)
				}
			}
			cur.kill()
			w.mu.Lock()
			w.epoch++
			w.mu.Unlock()
			time.Sleep(600 * time.Millisecond)
			if os.Getenv("OLDKNOWN") == "" {
				known = w.d.whole()
				g.writeJSON(cfg, conf())
			}
			consoleN = g.freeAddr()
			cur = start(fmt.Sprintf("p%d", nproc), consoleN)
			g.waitReady(listen, 20*time.Second)
			w.mu.Lock()
			w.excuse = append(w.excuse, span{from, time.Now().Add(1500 * time.Millisecond)})
			w.mu.Unlock()
		case "upgrade":
			next := g.freeAddr()
			p := start(fmt.Sprintf("p%d", nproc), next)
			if !g.waitYes(next, 6*time.Second) {
				g.breakRule("upgrade: no yes within 6 s")
			}
			cur.signal(syscall.SIGTERM)
			select {
			case <-cur.done:
			case <-time.After(3700 * time.Millisecond):
				cur.kill()
			}
			cur, consoleN = p, next
		case "killnew", "killold", "stopnew":
			from := time.Now()
			next := g.freeAddr()
			p := start(fmt.Sprintf("p%d", nproc), next)
			time.Sleep(time.Duration(w.rnd(120000)) * time.Microsecond)
			switch op {
			case "stopnew":
				p.signal(syscall.SIGSTOP)
				time.Sleep(150 * time.Millisecond)
				p.signal(syscall.SIGCONT)
				if !g.waitYes(next, 6*time.Second) {
					g.breakRule("upgrade: no yes within 6 s")
				}
				cur.signal(syscall.SIGTERM)
				select {
				case <-cur.done:
				case <-time.After(3700 * time.Millisecond):
					cur.kill()
				}
				cur, consoleN = p, next
			case "killnew":
				p.kill()
			case "killold":
				cur.kill()
				cur, consoleN = p, next
			}
			w.mu.Lock()
			w.epoch++
			w.mu.Unlock()
			if op != "stopnew" {
				g.waitReady(listen, 20*time.Second)
				w.mu.Lock()
				w.excuse = append(w.excuse, span{from, time.Now().Add(1500 * time.Millisecond)})
				w.mu.Unlock()
			}
		case "updrain", "upterm", "up2", "upinclude":
			next := g.freeAddr()
			w.mu.Lock()
			var live, back []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && e.excludedAt.IsZero() && !e.h2 {
					live = append(live, e)
				}
				if e.drainedAt.IsZero() && !e.excludedAt.IsZero() {
					back = append(back, e)
				}
			}
			e := live[w.rng.IntN(len(live))]
			wait := time.Duration(w.rng.IntN(120000)) * time.Microsecond
			w.mu.Unlock()
			from := time.Now()
			p := start(fmt.Sprintf("p%d", nproc), next)
			var extra *proc
			extraConsole := g.freeAddr()
			switch op {
			case "up2":
				time.Sleep(wait / 8)
				extra = start(fmt.Sprintf("p%dx", nproc), extraConsole)
			case "upterm":
				time.Sleep(wait)
				cur.signal(syscall.SIGTERM)
			case "updrain":
				time.Sleep(wait)
				w.mu.Lock()
				nu := w.newEndpoint(e.dest, e.zone)
				w.mu.Unlock()
				i := entry(e)
				i.Lifecycle = "Terminating"
				w.d.change(i, entry(nu))
				w.mu.Lock()
				e.drainedAt = time.Now().Add(2 * time.Second)
				w.mu.Unlock()
			}
			if extra != nil {
				time.Sleep(1500 * time.Millisecond)
				w.mu.Lock()
				w.excuse = append(w.excuse, span{from, time.Now().Add(1500 * time.Millisecond)})
				w.mu.Unlock()
				switch {
				case strings.HasPrefix(console(extraConsole, "readyz"), "done"):
					p.signal(syscall.SIGTERM)
					p, next = extra, extraConsole
				case strings.HasPrefix(console(next, "readyz"), "done"):
					extra.signal(syscall.SIGTERM)
				default:
					g.breakRule("upgrade: neither of two new processes says yes")
				}
			} else if !g.waitYes(next, 6*time.Second) {
				g.breakRule("upgrade: no yes within 6 s")
			}
			if op == "upterm" {
				w.mu.Lock()
				w.epoch++
				w.excuse = append(w.excuse, span{from, time.Now().Add(1500 * time.Millisecond)})
				w.mu.Unlock()
			}
			cur.signal(syscall.SIGTERM)
			select {
			case <-cur.done:
			case <-time.After(3700 * time.Millisecond):
				cur.kill()
			}
			cur, consoleN = p, next
		case "upexclude":
			next := g.freeAddr()
			w.mu.Lock()
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && e.excludedAt.IsZero() && !e.h2 {
					live = append(live, e)
				}
			}
			var back []*sEndpoint
			for _, e := range w.eps {
				if !e.excludedAt.IsZero() {
					back = append(back, e)
				}
			}
			w.mu.Unlock()
			p := start(fmt.Sprintf("p%d", nproc), next)
			var calls sync.WaitGroup
			oldConsole := consoleN
			if len(back) > 2 {
				live = nil
			}
			for i := range min(3, len(live)) {
				e := live[i*len(live)/3]
				wait := time.Duration(w.rnd(150000)) * time.Microsecond
				calls.Add(1)
				go func() {
					defer calls.Done()
					time.Sleep(wait)
					called := time.Now()
					g.rec.f("console exclude %s is called", e.name)
					a := console(oldConsole, "exclude "+e.name)
					g.rec.f("console exclude %s: %q after %v", e.name, a, time.Since(called))
					w.mu.Lock()
					e.excludedAt = called.Add(time.Second)
					if strings.HasPrefix(a, "done") {
						e.excludedAt = time.Now()
					}
					w.mu.Unlock()
				}()
			}
			yes := g.waitYes(next, 6*time.Second)
			calls.Wait()
			if !yes {
				g.breakRule("upgrade: no yes within 6 s")
			}
			cur.signal(syscall.SIGTERM)
			select {
			case <-cur.done:
			case <-time.After(3700 * time.Millisecond):
				cur.kill()
			}
			cur, consoleN = p, next
			time.Sleep(2500 * time.Millisecond)
			for _, e := range back {
				w.mu.Lock()
				e.excludedAt = time.Time{}
				w.mu.Unlock()
				g.rec.f("console include %s: %q", e.name, console(consoleN, "include "+e.name))
			}
		case "crowded": // discovery refuses for 4 s; what it gets to tell then counts 6 s after its end
			w.d.setCrowded(true)
			time.Sleep(2 * time.Second)
			w.mu.Lock()
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && e.excludedAt.IsZero() && !e.h2 {
					live = append(live, e)
				}
			}
			e := live[w.rng.IntN(len(live))]
			nu := w.newEndpoint(e.dest, e.zone)
			w.mu.Unlock()
			i := entry(e)
			i.Lifecycle = "Terminating"
			w.d.change(i, entry(nu))
			time.Sleep(2 * time.Second)
			w.d.setCrowded(false)
			w.mu.Lock()
			e.drainedAt = time.Now().Add(6 * time.Second)
			w.mu.Unlock()
		case "hold": // the courier is held up for up to 0.15 s, ten times
			for range 10 {
				cur.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(w.rnd(150)) * time.Millisecond)
				cur.signal(syscall.SIGCONT)
				time.Sleep(time.Duration(w.rnd(100)) * time.Millisecond)
			}
		case "hups": // ten new configurations a second, some of them invalid; the last one moves discovery
			for i := range 50 {
				switch i % 5 {
				case 1:
					g.must(os.WriteFile(cfg, []byte("{\"name\":"), 0o600))
				case 3:
					c := conf()
					c["settings"].(map[string]any)["classes"] = []any{}
					g.writeJSON(cfg, c)
				default:
					g.writeJSON(cfg, conf())
				}
				cur.signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond)
			}
			old := w.d
			d := g.newDiscovery(fmt.Sprintf("d%d", nproc), old.generation+1, old.whole()["instances"].([]instance))
			d.onNotice = old.onNotice
			w.mu.Lock()
			w.d = d
			w.mu.Unlock()
			g.writeJSON(cfg, conf())
			cur.signal(syscall.SIGHUP)
			old.leave()
			time.Sleep(4 * time.Second)
		case "dark", "darkkill":
			time.Sleep(500 * time.Millisecond)
			w.d.setDark(true)
			from := time.Now()
			if op == "darkkill" {
				cur.kill()
				w.mu.Lock()
				w.epoch++
				w.mu.Unlock()
				time.Sleep(600 * time.Millisecond)
				consoleN = g.freeAddr()
				cur = start(fmt.Sprintf("p%d", nproc), consoleN)
				g.waitReady(listen, 20*time.Second)
				w.mu.Lock()
				w.excuse = append(w.excuse, span{from, time.Now().Add(1500 * time.Millisecond)})
				w.mu.Unlock()
			}
			time.Sleep(2 * time.Second)
			w.mu.Lock() // a drain that is told at the return
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && e.excludedAt.IsZero() && !e.h2 {
					live = append(live, e)
				}
			}
			e := live[w.rng.IntN(len(live))]
			nu := w.newEndpoint(e.dest, e.zone)
			w.mu.Unlock()
			i := entry(e)
			i.Lifecycle = "Terminating"
			w.d.change(i, entry(nu))
			time.Sleep(3 * time.Second)
			w.d.setDark(false)
			w.mu.Lock()
			e.drainedAt = time.Now()
			w.mu.Unlock()
		case "hup":
			if time.Since(lastHup) < 8*time.Second {
				continue
			}
			lastHup = time.Now()
			old := w.d
			var l []instance
			for _, i := range old.whole()["instances"].([]instance) {
				l = append(l, i)
			}
			d := g.newDiscovery(fmt.Sprintf("d%d", nproc), old.generation+1, l)
			d.onNotice = old.onNotice
			w.mu.Lock()
			w.d = d
			w.mu.Unlock()
			g.writeJSON(cfg, conf())
			cur.signal(syscall.SIGHUP)
			old.leave()
			time.Sleep(4 * time.Second)
		case "drain":
			w.mu.Lock()
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && e.excludedAt.IsZero() && !e.h2 {
					live = append(live, e)
				}
			}
			e := live[w.rng.IntN(len(live))]
			nu := w.newEndpoint(e.dest, e.zone)
			how := []string{"Terminating", "Gone"}[w.rng.IntN(2)]
			w.mu.Unlock()
			i := entry(e)
			i.Lifecycle = how
			w.d.change(i, entry(nu))
			w.mu.Lock()
			e.drainedAt = time.Now()
			w.mu.Unlock()
		case "goaway", "retarget":
			w.mu.Lock()
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && e.h2 {
					live = append(live, e)
				}
			}
			if len(live) == 0 {
				w.mu.Unlock()
				continue
			}
			e := live[w.rng.IntN(len(live))]
			w.mu.Unlock()
			if op == "goaway" {
				e.goAway()
				continue
			}
			w.mu.Lock()
			w.newH2Endpoint(e.dest, e.zone)
			e.drainedAt = time.Now().Add(4 * time.Second)
			conf := pushConf()
			w.mu.Unlock()
			g.writeJSON(pushFile, conf)
			cur.signal(syscall.SIGHUP)
			time.Sleep(3 * time.Second)
		case "exclude":
			w.mu.Lock()
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() && !e.h2 {
					live = append(live, e)
				}
			}
			e := live[w.rng.IntN(len(live))]
			out := e.excludedAt.IsZero()
			if !out {
				e.excludedAt = time.Time{}
			}
			w.mu.Unlock()
			word := "include"
			if out {
				word = "exclude"
			}
			a := console(consoleN, word+" "+e.name)
			g.rec.f("console %s %s: %q", word, e.name, a)
			if out && strings.HasPrefix(a, "done") {
				w.mu.Lock()
				e.excludedAt = time.Now()
				w.mu.Unlock()
			}
		}
	}
	w.mu.Lock()
	w.stop = true
	w.mu.Unlock()
	wg.Wait()
	time.Sleep(7 * time.Second)
	w.report(seed)
}

// report checks what became of all messages and prints the sums.
func (w *world) report(seed uint64) {
	g := w.g
	w.mu.Lock()
	defer w.mu.Unlock()
	taken, delivered, noticed, refused, none := 0, 0, 0, 0, 0
	var ids []string
	for id := range w.msgs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := w.msgs[id]
		switch {
		case !m.ok && m.answer == "" || m.push && !m.ok:
			none++
			continue
		case !m.ok:
			refused++
			continue
		}
		taken++
		due := m.deadline.Add(lostSlack)
		for _, s := range w.excuse {
			if !due.Before(s.from) && due.Before(s.to) {
				due = s.to
			}
		}
		if m.push {
			w.checkPush(m, due)
			delivered++
			continue
		}
		switch {
		case m.over.IsZero():
			g.breakRule("lost: %s (%s) never ended", m.id, m.class)
		case m.over.After(due):
			g.breakRule("lost: %s (%s) ended by %s %v after its time", m.id, m.class, m.how, m.over.Sub(m.deadline))
		case m.how == "delivered":
			delivered++
		default:
			noticed++
		}
	}
	g.rec.f("taken %d delivered %d noticed %d refused %d unanswered %d calls %d", taken, delivered, noticed, refused, none, len(w.calls))
	fmt.Printf("seed %d: taken %d delivered %d noticed %d refused %d unanswered %d calls %d broken %d\n", seed, taken, delivered, noticed, refused, none, len(w.calls), len(g.broken))
	for _, b := range g.broken[:min(len(g.broken), 12)] {
		fmt.Println("   ", b)
	}
}

const oddPlugin = `
def pick(call, n):
    return hash(call.id + str(call.attempts)) % n

def spin(call):
    if pick(call, 17) == 3:
        for i in range(100000000):
            pass
    if pick(call, 19) == 4:
        return 1 // 0
    return None

def admit(call):
    spin(call)
    if pick(call, 23) == 5:
        return {"after_ms": 50}
    return None

def shape(call):
    spin(call)
    return {"headers": {"X-Odd": "1", "X-Request-ID": "other", "Transfer-Encoding": "chunked"}}

def read(call):
    spin(call)
    if call.status == 200 and pick(call, 7) == 2:
        return {"outcome": "error"}
    if call.status == 503:
        return {"wait_ms": 700, "outcome": "ok"}
    return None

def ended(call):
    spin(call)
    return None
`

// stressWindow is the window for repeats of the keyed classes.
func stressWindow() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("WINDOW")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 2 * time.Second
}

// stressClasses are classes of each effect, with a short window.
func stressClasses() []any {
	class := func(name, semantics, scope string, inOrder bool) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "key-scope": scope, "in-order": inOrder, "promise-ms": 1000, "deadline-ms": 5000, "importance": 1, "late-share": 0.3, "window-ms": stressWindow().Milliseconds()}
	}
	return []any{class("order", "token", "all", true), class("status", "pure", "all", false), class("pay", "side_effect", "all", false), class("slip", "side_effect", "all", true), class("zoned", "token", "zone", false)}
}

// noticeCame records a notice.
func (w *world) noticeCame(id, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.msgs[id]; m != nil && m.over.IsZero() {
		m.over, m.how = time.Now(), "notice"
		if state == "returned" && m.k != "" {
			w.again = append(w.again, m)
		}
	}
}

// moods changes how partners behave.
func (w *world) moods() {
	for !w.stopped() {
		w.mu.Lock()
		d := w.rng.IntN(w.nDest)
		w.mood[d] = []string{"", "", "errors", "limit", "limit", "shut", "resets", "silent", "slow", "half"}[w.rng.IntN(10)]
		w.g.rec.f("mood of %d: %s", d, w.mood[d])
		w.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
	}
}

func (w *world) perm(n int) []int { w.mu.Lock(); defer w.mu.Unlock(); return w.rng.Perm(n) }
