package main

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["failback"] = failback }

// The partner system of the case, and the rule's figures from the settings (fall-multiple, fall-ms,
// cold-share, warm-up-ms).
const (
	partnerCapacity = 8.0 // calls a second
	partnerLatency  = 200 * time.Millisecond
	outage          = 7800 * time.Millisecond
	fallMultiple    = 2.0
	fallTime        = 1500 * time.Millisecond
	coldShare       = 0.2
	warmUp          = 14 * time.Second
)

// recovering is a partner system that is silent, comes back cold and falls when it gets too much.
type recovering struct {
	mu       sync.Mutex
	rec      *recorder
	silent   bool
	met      int // calls that met the silence
	backAt   time.Time
	arrivals []time.Time
	worst    float64 // most calls in fallTime, as a multiple of what it stands
	fall     string
	resumes  chan struct{}
}

// withstands is how many calls within fallTime it stands: N + 3 x root of N + 3 (N under 30).
func (p *recovering) withstands(now time.Time) float64 {
	share := min(1, coldShare+(1-coldShare)*now.Sub(p.backAt).Seconds()/warmUp.Seconds())
	n := fallMultiple * share * partnerCapacity * fallTime.Seconds()
	return n + 3*math.Sqrt(n) + 3
}

func (p *recovering) inbox(endpoint string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		p.mu.Lock()
		now := time.Now()
		if p.silent {
			p.met++
			p.rec.f("endpoint %s: call %s gets no answer", endpoint, id)
			p.mu.Unlock()
			select {
			case <-r.Context().Done(): // the courier gives it up
				p.rec.f("endpoint %s: call %s was given up", endpoint, id)
				return
			case <-p.resumes: // it goes on with the calls that it holds
				p.rec.f("endpoint %s: call %s is answered after all", endpoint, id)
				w.WriteHeader(200)
				return
			}
		}
		p.arrivals = append(p.arrivals, now)
		for now.Sub(p.arrivals[0]) > fallTime {
			p.arrivals = p.arrivals[1:]
		}
		load := float64(len(p.arrivals)) / p.withstands(now)
		p.rec.f("endpoint %s: call %s, %d calls within %v, it stands %.1f", endpoint, id, len(p.arrivals), fallTime, p.withstands(now))
		p.worst = max(p.worst, load)
		if load > 1 && p.fall == "" {
			p.fall = fmt.Sprintf("%d calls within %v, %v after it came back, where it stands %.1f", len(p.arrivals), fallTime, now.Sub(p.backAt).Round(time.Millisecond), p.withstands(now))
		}
		p.mu.Unlock()
		time.Sleep(partnerLatency)
		w.WriteHeader(200)
	}
}

// failback: a partner system that the courier has not called yet is silent for some seconds. An
// upgrade falls into that time. Then the partner comes back cold.
func failback(g *rig) {
	p := &recovering{rec: g.rec, silent: true, resumes: make(chan struct{})}
	other := g.newPartners()
	list := []instance{ready("s-other", other.endpoint(g, "s-other"), 1)}
	for _, name := range []string{"s-a", "s-b"} {
		l, err := net.Listen("tcp", g.ip+":0")
		g.must(err)
		mux := http.NewServeMux()
		mux.HandleFunc("POST /inbox", p.inbox(name))
		go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
		list = append(list, ready(name, l.Addr().String(), 2))
	}
	d := g.newDiscovery("first", 41, list)
	listen, cfg := g.freeAddr(), filepath.Join(g.tmp, "config.json")
	g.writeJSON(cfg, config(listen, d.addr, d.whole()))
	consoles := []string{g.freeAddr(), g.freeAddr()}
	start := func(name, console string) *proc {
		return g.start(name, "GW_CONFIG="+cfg, "GW_STATE="+filepath.Join(g.tmp, "state"), "GW_NAME=n0", "GW_CONSOLE="+console)
	}
	old := start("old", consoles[0])
	g.need(g.waitReady(listen, 30*time.Second), "the courier is not ready")
	time.Sleep(3 * time.Second)
	began := time.Now()
	at := func(t time.Duration) { time.Sleep(time.Until(began.Add(t))) }
	g.rec.f("partner two is silent")
	c := &client{rec: g.rec, addr: listen}
	c.add("m0", "status", 2, 8*time.Second)
	at(900 * time.Millisecond)
	c.add("m1", "status", 2, 8*time.Second)
	at(1750 * time.Millisecond)
	if g.trouble { // an upgrade
		start("new", consoles[1])
		g.need(g.waitYes(consoles[1], 6*time.Second), "the new process is not ready")
		old.signal(syscall.SIGTERM)
	}
	for n := 2; time.Since(began) < outage+4*time.Second; n++ {
		time.Sleep(time.Until(began.Add(1750*time.Millisecond + time.Duration(n)*250*time.Millisecond)))
		if p.silent && time.Since(began) >= outage {
			p.mu.Lock()
			p.silent, p.backAt = false, time.Now()
			close(p.resumes)
			p.mu.Unlock()
			g.rec.f("partner two is back, cold; %d calls met its silence", p.met)
		}
		c.add(fmt.Sprintf("m%d", n), "status", 2, 8*time.Second)
	}
	time.Sleep(2 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	g.need(p.met > 0, "no call met the outage")
	g.rec.f("calls that met the silence %d; at most %.2f of what the partner stands", p.met, p.worst)
	if p.fall != "" {
		g.breakRule("failback: the partner got %s", p.fall)
	}
}
