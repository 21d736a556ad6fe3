package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stress-cold"] = stressCold }

// coldPartner is a partner system with a capacity, which fails for some seconds and comes back cold.
type coldPartner struct {
	mu       sync.Mutex
	g        *rig
	dest     int
	capacity float64 // calls a second, of both endpoints together
	down     string  // the kind of the outage; empty: it serves
	backAt   time.Time
	arrivals []time.Time
	waiting  []chan struct{}
	fell     bool
	seen     int // calls that met the outage
	most     float64
}

const coldTime = 12 * time.Second

// share is what it can do now, as a share of its capacity.
func (c *coldPartner) share(now time.Time) float64 {
	if c.backAt.IsZero() {
		return 1
	}
	return math.Min(1, 0.2+0.8*now.Sub(c.backAt).Seconds()/coldTime.Seconds())
}

// arrived counts a call and tells how it is answered.
func (c *coldPartner) arrived(id string) (string, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.down != "" {
		c.seen++
		c.g.rec.f("dest %d down (%s): call %s", c.dest, c.down, id)
		gone := make(chan struct{})
		c.waiting = append(c.waiting, gone)
		return c.down, gone
	}
	c.arrivals = append(c.arrivals, now)
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) > 1500*time.Millisecond {
		c.arrivals = c.arrivals[1:]
	}
	share := c.share(now)
	n := 2 * share * c.capacity * 1.5
	limit := n + 3*math.Sqrt(n) + 3
	if share < 1 {
		c.most = math.Max(c.most, float64(len(c.arrivals))/limit)
		c.g.rec.f("dest %d cold, share %.2f: call %s, %d of %.1f in 1.5 s", c.dest, share, id, len(c.arrivals), limit)
		if float64(len(c.arrivals)) > limit && c.seen > 0 && !c.fell {
			c.fell = true
			c.g.breakRule("failback: dest %d got %d calls in 1.5 s, where %.1f bring it down, %v after it came back", c.dest, len(c.arrivals), limit, now.Sub(c.backAt))
		}
	}
	return "ok", nil
}

func stressCold(g *rig) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length := 90 * time.Second
	if s, err := time.ParseDuration(os.Getenv("LENGTH")); err == nil {
		length = s
	}
	ops := strings.Split(os.Getenv("OPS"), ",")
	rng := rand.New(rand.NewPCG(seed, 11))
	var mu sync.Mutex
	rnd := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
	var parts []*coldPartner
	var list []instance
	tells := os.Getenv("TELLS") != "0"
	for d := range 3 {
		c := &coldPartner{g: g, dest: d, capacity: 8}
		parts = append(parts, c)
		for e := range 2 {
			l, err := net.Listen("tcp", g.ip+":0")
			g.must(err)
			mux := http.NewServeMux()
			mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
				if tells {
					w.Header().Set("X-Server-Load", "x0=0.8,x1=8")
				}
				switch how, gone := c.arrived(r.Header.Get("X-Request-Id")); how {
				case "ok":
					time.Sleep(120 * time.Millisecond)
					w.WriteHeader(200)
				case "silent":
					select {
					case <-r.Context().Done():
					case <-gone:
					}
					panic(http.ErrAbortHandler)
				case "shut":
					w.WriteHeader(503)
				case "errors":
					w.WriteHeader(500)
				case "resets":
					panic(http.ErrAbortHandler)
				}
			})
			go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
			list = append(list, ready(fmt.Sprintf("s-%d%d", d, e), l.Addr().String(), d))
		}
	}
	d0 := g.newDiscovery("d0", 41, list)
	listen, cfg, state, idle := g.freeAddr(), filepath.Join(g.tmp, "config.json"), filepath.Join(g.tmp, "state"), filepath.Join(g.tmp, "idle.json")
	c := config(listen, d0.addr, d0.whole())
	c["settings"].(map[string]any)["tenants"] = []any{map[string]any{"name": "city-takeaway", "quota-rps": 24, "portion": 1}}
	g.writeJSON(cfg, c)
	g.writeJSON(idle, map[string]any{})
	if os.Getenv("IDLE") != "" {
		g.writeJSON(idle, map[string]any{"sleep_after_s": 1})
	}
	started := 0
	var con string
	start := func() *proc {
		started++
		con = g.freeAddr()
		return g.start(fmt.Sprintf("p%d", started), "GW_CONFIG="+cfg, "GW_STATE="+state, "GW_CONSOLE="+con, "SNOWJUNCTION_IDLE="+idle)
	}
	cur := start()
	g.need(g.waitReady(listen, 20*time.Second), "not ready")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl := &client{rec: &recorder{out: nullWriter{}, start: time.Now()}, addr: listen}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(300+rnd(700)) * time.Millisecond):
				}
				cl.add(fmt.Sprintf("c%02d-%05d", i, n), []string{"order", "status"}[rnd(2)], rnd(3), 8*time.Second)
			}
		}()
	}
	first := os.Getenv("FIRST")
	for until := time.Now().Add(length); time.Now().Before(until); {
		x := parts[rnd(3)]
		if first != "" {
			x = parts[2]
		}
		x.mu.Lock()
		if x.down == "" && (x.backAt.IsZero() || time.Since(x.backAt) > coldTime) {
			x.down, x.seen, x.arrivals, x.fell = []string{"silent", "shut", "errors", "resets", "silent"}[rnd(5)], 0, nil, false
			if first != "" {
				x.down = first
			}
			g.rec.f("dest %d goes down: %s", x.dest, x.down)
			time.AfterFunc(time.Duration(6000+rnd(7000))*time.Millisecond, func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				g.rec.f("dest %d comes back cold", x.dest)
				x.down, x.backAt = "", time.Now()
				for _, w := range x.waiting {
					select {
					case <-w:
					default:
						close(w)
					}
				}
				x.waiting = nil
			})
		}
		x.mu.Unlock()
		time.Sleep(time.Duration(1500+rnd(2500)) * time.Millisecond)
		op := ops[rnd(len(ops))]
		g.rec.f("OP %s", op)
		switch op {
		case "kill", "term":
			if op == "term" {
				cur.signal(syscall.SIGTERM)
				time.Sleep(3700 * time.Millisecond)
			}
			cur.kill()
			time.Sleep(600 * time.Millisecond)
			cur = start()
			g.waitReady(listen, 20*time.Second)
		case "upgrade":
			old := cur
			cur = start()
			g.waitYes(con, 6*time.Second)
			old.signal(syscall.SIGTERM)
		case "killnew":
			was := con
			p := start()
			time.Sleep(time.Duration(rnd(100)) * time.Millisecond)
			p.kill()
			con = was
			g.waitReady(listen, 20*time.Second)
		}
	}
	close(stop)
	wg.Wait()
	most := 0.0
	for _, x := range parts {
		most = math.Max(most, x.most)
	}
	fmt.Printf("seed %d: most %.2f of what brings a cold partner down, broken %d\n", seed, most, len(g.broken))
	for _, b := range g.broken[:min(len(g.broken), 8)] {
		fmt.Println("   ", b)
	}
}

type nullWriter struct{}

func (nullWriter) Write(b []byte) (int, error) { return len(b), nil }
