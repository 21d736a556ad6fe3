package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["long-list"] = longList }

// longList: a new configuration moves discovery; the new agent answers the request for the whole
// list, of 3,200 endpoints, with Connection: close. What is not in that list is gone.
func longList(g *rig) {
	p := g.newPartners()
	list := []instance{ready("s-stays", p.endpoint(g, "s-stays"), 1), ready("s-leaves", p.endpoint(g, "s-leaves"), 1)}
	for i := range 3198 {
		list = append(list, ready(fmt.Sprintf("s-%08x", i), fmt.Sprintf("127.1.%d.%d:6379", i/250, 1+i%250), 2+i%1000))
	}
	first, second := g.newDiscovery("first", 41, list), g.newDiscovery("second", 42, append([]instance{list[0]}, list[2:]...))
	second.closeAfter = g.trouble
	listen, state, cfg := g.freeAddr(), filepath.Join(g.tmp, "state"), filepath.Join(g.tmp, "config.json")
	g.writeJSON(cfg, config(listen, first.addr, first.whole()))
	old := g.start("courier", "GW_CONFIG="+cfg, "GW_STATE="+state, "GW_NAME=n0")
	if !g.waitReady(listen, 30*time.Second) {
		panic(couldNotRun{fmt.Errorf("the courier is not ready")})
	}
	c := &client{rec: g.rec, addr: listen}
	send := func(name string, n int) {
		for i := range n {
			c.add(fmt.Sprintf("%s%d", name, i), "status", 1, 4*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	send("a", 20)
	g.writeJSON(cfg, config(listen, second.addr, second.whole()))
	old.signal(syscall.SIGHUP)
	told := time.Now().Add(4 * time.Second)
	first.leave()
	time.Sleep(12 * time.Second)
	send("b", 200)
	time.Sleep(5 * time.Second)
	for _, x := range p.callsTo("s-leaves", told.Add(1050*time.Millisecond)) {
		g.breakRule("drain: call %s to s-leaves, %v after it was told", x.id, x.at.Sub(told).Round(time.Millisecond))
	}
}
