package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["throng"] = throng }

// The fleet of the case and its partners: figures from the site file, and within it.
const (
	throngCouriers  = 30
	throngLoad      = 16.0                   // messages a second for each of the two partners
	throngLimit     = throngLoad * 0.9       // calls a second that a partner takes (headroom 0.88 and more)
	throngCapacity  = throngLimit * 1.2      // calls a second that it can do (spare 1.2 and more)
	throngWork      = 250 * time.Millisecond // of a call
	throngOutage    = 10 * time.Second
	throngTellsWait = 0.3  // of the refusals above the limit (0.25 to 0.55)
	throngFall      = 1.5  // times what it can do, for throngFallTime
	throngCold      = 0.23 // of its capacity at its return
	throngWarm      = 13.0 // seconds until it has all of it
)

const throngFallTime = 1500 * time.Millisecond

// arrival is a call that has reached a partner, with its courier.
type arrival struct {
	at      time.Time
	courier string
}

// throngPartner is a partner system with a limit, which it enforces, and a capacity. It is shut for
// some seconds and comes back cold.
type throngPartner struct {
	mu       sync.Mutex
	rec      *recorder
	name     string
	shut     bool
	backAt   time.Time
	told     map[string]bool // couriers that were refused while it was shut
	arrivals []arrival
	tokens   float64
	filledAt time.Time
	inside   int
	worst    float64
	fall     string
}

// stands returns what it stands within throngFallTime, and its share of its capacity.
func (p *throngPartner) stands(now time.Time) (bound, share float64) {
	share = 1
	if !p.backAt.IsZero() {
		share = math.Min(1, throngCold+(1-throngCold)*now.Sub(p.backAt).Seconds()/throngWarm)
	}
	n := throngFall * share * throngCapacity * throngFallTime.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3, share
	}
	return n + 2*math.Sqrt(n) + 2, share
}

// count counts a call against what the partner stands.
func (p *throngPartner) count(now time.Time, id string) (share float64) {
	p.arrivals = append(p.arrivals, arrival{now, id[:3]})
	for now.Sub(p.arrivals[0].at) > throngFallTime {
		p.arrivals = p.arrivals[1:]
	}
	bound, share := p.stands(now)
	if share == 1 {
		return share
	}
	n, told := len(p.arrivals), 0
	for _, a := range p.arrivals {
		if p.told[a.courier] {
			told++
		}
	}
	p.rec.f("%s: call %s, %d in %v, it stands %.1f at %.2f of its capacity", p.name, id, n, throngFallTime, bound, share)
	p.worst = math.Max(p.worst, float64(n)/bound)
	if float64(n) > bound && 3*told > 2*n && p.fall == "" {
		p.fall = fmt.Sprintf("%s got %d calls in %v, %d of them from couriers that it had refused, %v after it came back, where it stands %.1f", p.name, n, throngFallTime, told, now.Sub(p.backAt).Round(time.Millisecond), bound)
	}
	return share
}

func (p *throngPartner) inbox(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	p.mu.Lock()
	now := time.Now()
	p.tokens = math.Min(p.tokens+now.Sub(p.filledAt).Seconds()*throngLimit, throngLimit/2)
	p.filledAt = now
	w.Header().Set("X-Server-Load", fmt.Sprintf("x0=%.3f,x1=%.2f", math.Max(0, p.tokens/(throngLimit/2)), throngLimit))
	if p.shut {
		p.told[id[:3]] = true
		p.mu.Unlock()
		w.WriteHeader(503)
		return
	}
	share := p.count(now, id)
	switch {
	case p.tokens < 1: // above its limit; a part of the refusals tells a wait
		if rand.Float64() < throngTellsWait {
			w.Header().Set("X-RateLimit-Wait-Ms", fmt.Sprintf("%.0f", math.Max(250, (1-p.tokens)/throngLimit*1000)))
		}
		p.mu.Unlock()
		w.WriteHeader(429)
		return
	case float64(p.inside) >= math.Ceil(throngCapacity*share*throngWork.Seconds()*2.5): // its queue is full
		p.tokens--
		p.mu.Unlock()
		w.WriteHeader(503)
		return
	}
	p.tokens--
	p.inside++
	p.mu.Unlock()
	time.Sleep(throngWork)
	p.mu.Lock()
	p.inside--
	p.mu.Unlock()
	w.WriteHeader(200)
}

// throng: thirty couriers that share nothing, and a partner that is shut for 10 s and comes back
// cold.
func throng(g *rig) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 13))
	var parts []*throngPartner
	var list []instance
	for d := range 2 {
		p := &throngPartner{rec: g.rec, name: fmt.Sprintf("partner %d", d), told: map[string]bool{}, filledAt: time.Now()}
		parts = append(parts, p)
		for e := range 2 {
			l, err := net.Listen("tcp", g.ip+":0")
			g.must(err)
			mux := http.NewServeMux()
			mux.HandleFunc("POST /inbox", p.inbox)
			go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
			i := ready(fmt.Sprintf("s-%d%d", d, e), l.Addr().String(), d)
			i.Machine, i.Weight = "agent", throngLimit*(0.75+0.5*rng.Float64())
			list = append(list, i)
		}
	}
	d0 := g.newDiscovery("first", 41, list)
	class := func(name, semantics string, aim, deadline, worth, late float64) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "key-scope": "all", "promise-ms": aim, "deadline-ms": deadline, "importance": worth, "late-share": late, "window-ms": 15000}
	}
	var listens []string
	for i := range throngCouriers {
		dir := filepath.Join(g.tmp, fmt.Sprintf("n%d", i))
		listens = append(listens, g.freeAddr())
		c := config(listens[i], d0.addr, d0.whole())
		c["name"], c["seed"] = fmt.Sprintf("n%d", i), fmt.Sprintf("%x", rng.Uint64())
		s := c["settings"].(map[string]any)
		s["fleet-size"], s["my-number"], s["models"], s["weights"] = throngCouriers, i, []string{"principal", "agent"}, "rough"
		s["classes"] = []any{class("session-record", "token", 4000, 28000, 1, 0.5), class("session-status", "pure", 1000, 5000, 3, 0.1)}
		s["tenants"] = []any{map[string]any{"name": "city-takeaway", "quota-rps": throngLoad * 2.4, "portion": 1}}
		s["family-info"] = map[string]any{"bundle-max": []int{1, 1}, "max-calls": 5, "routes-apart": []bool{false, false}, "late": "halving"}
		l := s["limits"].(map[string]any)
		l["conn-idle-ms"], l["connect-timeout-ms"], l["max-attempts"], l["most-held"] = 5000, 1000, 8, 16
		k := s["contract"].(map[string]any)
		k["cold-share"], k["fall-multiple"], k["stop-sending-within-ms"], k["warm-up-ms"] = throngCold, throngFall, 2000, throngWarm*1000
		g.must(mkdir(dir))
		g.writeJSON(filepath.Join(dir, "config.json"), c)
		g.start(fmt.Sprintf("n%d", i), "GW_CONFIG="+filepath.Join(dir, "config.json"), "GW_STATE="+filepath.Join(dir, "state"), "GW_NAME="+fmt.Sprintf("n%d", i))
	}
	for _, l := range listens {
		g.need(g.waitReady(l, 30*time.Second), "a courier is not ready")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for i, l := range listens {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{rec: g.rec, addr: l}
			for n := 0; ; n++ {
				mu.Lock()
				wait := time.Duration(rng.ExpFloat64() * throngCouriers / (2 * throngLoad) * float64(time.Second))
				dest, record := rng.IntN(2), rng.IntN(10) < 6
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(min(wait, 5*time.Second)):
				}
				id := fmt.Sprintf("c%02d-%05d", i, n)
				names := fmt.Sprintf("c=session-status,t=city-takeaway,d=5000,dest=%d", dest)
				if record {
					names = fmt.Sprintf("c=session-record,t=city-takeaway,d=28000,k=%s,dest=%d", id, dest)
				}
				answer := c.command("OUT.ADD", "0000000000000000", id, names, "body of "+id)
				word, _, _ := strings.Cut(answer, " ")
				mu.Lock()
				answers[word]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(15 * time.Second)
	if p := parts[0]; g.trouble {
		g.rec.f("partner 0 is shut")
		p.mu.Lock()
		p.shut = true
		p.mu.Unlock()
		time.Sleep(throngOutage)
		p.mu.Lock()
		p.shut, p.backAt, p.arrivals = false, time.Now(), nil
		g.rec.f("partner 0 is back, cold; it had refused %d of %d couriers", len(p.told), throngCouriers)
		p.mu.Unlock()
	} else {
		time.Sleep(throngOutage)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	g.rec.f("clients' answers: %v", answers)
	g.need(answers["+OK"] > 200, "hardly any message was taken on")
	for _, p := range parts {
		p.mu.Lock()
		g.rec.f("%s: at most %.2f of what it stands while cold", p.name, p.worst)
		if p.fall != "" {
			g.breakRule("failback: %s", p.fall)
		}
		p.mu.Unlock()
	}
}
