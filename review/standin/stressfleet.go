package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stress-fleet"] = stressFleet }

// stressFleet plays random troubles against three couriers that divide the destinations.
func stressFleet(g *rig) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length := 60 * time.Second
	if s, err := time.ParseDuration(os.Getenv("LENGTH")); err == nil {
		length = s
	}
	ops := strings.Split(os.Getenv("OPS"), ",")
	w := &world{g: g, rng: rand.New(rand.NewPCG(seed, 9)), msgs: map[string]*sMsg{}, order: map[uint64][]*sMsg{}, mood: map[int]string{}, waits: map[int]*sCall{}, nDest: 6, ranAt: map[string]time.Time{}, fleet: true}
	zones := []string{"east", "west"}
	entry := func(e *sEndpoint) instance {
		i := ready(e.name, e.addr, e.dest)
		i.Zone = e.zone
		return i
	}
	var list []instance
	for d := range w.nDest {
		for z := range 2 {
			list = append(list, entry(w.newEndpoint(d, zones[z])))
		}
	}
	w.d = g.newDiscovery("d0", 41, list)
	w.d.onNotice = w.noticeCame
	const n = 3
	type node struct {
		listen, console, cfg, state, parts string
		p                                  *proc
	}
	nodes := make([]*node, n)
	for i := range nodes {
		dir := filepath.Join(g.tmp, fmt.Sprintf("n%d", i))
		g.must(os.MkdirAll(dir, 0o700))
		nodes[i] = &node{listen: g.freeAddr(), cfg: filepath.Join(dir, "config.json"), state: filepath.Join(dir, "state"), parts: filepath.Join(dir, "partitions.json")}
		c := config(nodes[i].listen, w.d.addr, w.d.whole())
		c["name"] = fmt.Sprintf("n%d", i)
		s := c["settings"].(map[string]any)
		s["dcs"], s["fleet-size"], s["my-number"] = zones, n, i
		s["classes"] = stressClasses()
		g.writeJSON(nodes[i].cfg, c)
	}
	copies, _ := strconv.Atoi(os.Getenv("COPIES"))
	members := func(without int) map[string]any {
		var list []any
		for i, x := range nodes {
			if i != without {
				list = append(list, map[string]any{"name": fmt.Sprintf("n%d", i), "addr": x.listen, "region": "r", "zone": fmt.Sprint("z", i)})
			}
		}
		return map[string]any{"enabled": true, "partitions": 32, "copies": max(copies, 1), "linger_s": 5, "members": list}
	}
	started := 0
	start := func(i int) {
		x := nodes[i]
		x.console = g.freeAddr()
		started++
		x.p = g.start(fmt.Sprintf("n%d-%d", i, started), "GW_CONFIG="+x.cfg, "GW_STATE="+x.state, "GW_CONSOLE="+x.console, "SNOWJUNCTION_PARTITIONS="+x.parts)
	}
	for i, x := range nodes {
		g.writeJSON(x.parts, members(-1))
		start(i)
	}
	for _, x := range nodes {
		g.need(g.waitReady(x.listen, 20*time.Second), "not ready")
	}
	var wg sync.WaitGroup
	for i := range 15 {
		wg.Add(1)
		go func() { defer wg.Done(); w.hand(i, nodes[i%n].listen) }()
	}
	wg.Add(1)
	go func() { defer wg.Done(); w.moods() }()
	without := -1
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(time.Duration(1500+w.rnd(2500)) * time.Millisecond)
		op := ops[w.rnd(len(ops))]
		g.rec.f("OP %s", op)
		from := time.Now()
		i := w.rnd(n)
		x := nodes[i]
		switch op {
		case "members":
			if without = without + 1; without == n {
				without = -1
			}
			for _, k := range w.perm(n) {
				g.writeJSON(nodes[k].parts, members(without))
				nodes[k].p.signal(syscall.SIGHUP)
				time.Sleep(time.Duration(w.rnd(600)) * time.Millisecond)
			}
		case "kill", "term":
			if op == "term" {
				x.p.signal(syscall.SIGTERM)
				time.Sleep(3700 * time.Millisecond)
			}
			x.p.kill()
			time.Sleep(600 * time.Millisecond)
			start(i)
			g.waitReady(x.listen, 20*time.Second)
			w.mu.Lock()
			w.excuse = append(w.excuse, span{from, time.Now().Add(1500 * time.Millisecond)})
			w.mu.Unlock()
		case "upgrade":
			old := x.p
			start(i)
			if !g.waitYes(x.console, 6*time.Second) {
				g.breakRule("upgrade: no yes within 6 s")
			}
			old.signal(syscall.SIGTERM)
			select {
			case <-old.done:
			case <-time.After(3700 * time.Millisecond):
				old.kill()
			}
		case "drain":
			w.mu.Lock()
			var live []*sEndpoint
			for _, e := range w.eps {
				if e.drainedAt.IsZero() {
					live = append(live, e)
				}
			}
			e := live[w.rng.IntN(len(live))]
			nu := w.newEndpoint(e.dest, e.zone)
			w.mu.Unlock()
			leaves := entry(e)
			leaves.Lifecycle = "Terminating"
			w.d.change(leaves, entry(nu))
			w.mu.Lock()
			e.drainedAt = time.Now()
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	w.stop = true
	w.mu.Unlock()
	wg.Wait()
	time.Sleep(7 * time.Second)
	w.report(seed)
}
