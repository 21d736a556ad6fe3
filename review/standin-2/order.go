package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["order-restart"] = orderRestart }

// handed is a message of a key that was taken on.
type handed struct {
	message
	dest *endpoint
}

// checkOrder checks the rule on the order of keys: when a call of a message begins, each message of its key
// that was handed in before it has been delivered or has ended by a notice.
func (p *play) checkOrder(f *platform, key uint64, list []handed) {
	for j, later := range list {
		for _, c := range later.dest.received() {
			if c.id != later.id {
				continue
			}
			for _, earlier := range list[:j] {
				if !overAt(f, earlier, c.began) {
					p.breach("key %x: call of %s began at %.1f, while %s, handed in before it, was neither delivered nor ended", key, later.id, c.began, earlier.id)
				}
			}
			break // its first call shows it
		}
	}
}

// overAt reports whether a message was delivered before a time, or has ended by a notice.
func overAt(f *platform, m handed, at float64) bool {
	if f.notice(m.id) != "" {
		return true
	}
	for _, c := range m.dest.received() {
		if c.id == m.id && c.status == 200 && c.over > 0 && c.over <= at {
			return true
		}
	}
	return false
}

// orderRestart hands in messages of a few keys, each first for one destination that has slept, and then for
// another one. The courier is killed while the first call of each key is out, and restarted.
func orderRestart(p *play) {
	var mu sync.Mutex
	ran := map[string]bool{}
	kitchen := p.newEndpoint("kitchen", 1, func(c *incoming) (int, map[string]string) {
		mu.Lock()
		known := ran[c.token]
		ran[c.token] = true
		mu.Unlock()
		if !known { // a repeat is dropped
			time.Sleep(300 * time.Millisecond)
		}
		select {
		case <-c.clientGone: // its answer cannot be written
			return 0, nil
		default:
			return 200, nil
		}
	})
	rider := p.newEndpoint("rider", 2, after(200*time.Millisecond))
	f := p.newPlatform([]instance{kitchen.entry(), rider.entry()})
	idle := p.writeJSON("idle.json", object{"sleep_after_s": 1, "store": filepath.Join(p.dir, "idle.db")})
	c := p.newCourier("n0", f.addr, settings(1, 0), "SNOWJUNCTION_IDLE="+idle)
	c.start()
	if !p.handInUntilTaken(c, message{id: "first", class: "order", key: 99, dest: 1, time: 10 * time.Second, token: "t-first", body: "x"}, 5) {
		p.cannotRun("the first message was not taken on")
	}
	time.Sleep(3 * time.Second) // delivered, and its destination sleeps
	keys := map[uint64][]handed{}
	for k := uint64(1); k <= 3; k++ {
		for n, to := range []*endpoint{kitchen, kitchen, rider} {
			m := message{id: fmt.Sprintf("k%d-m%d", k, n+1), class: "order", key: k, dest: to.dest, time: 10 * time.Second, token: fmt.Sprintf("t%d-%d", k, n+1), body: "x"}
			if p.handIn(c, m) != "+OK" {
				p.cannotRun("%s was not taken on", m.id)
			}
			keys[k] = append(keys[k], handed{m, to})
		}
	}
	if p.trouble {
		c.kill()
		time.Sleep(600 * time.Millisecond)
		c.start()
	}
	time.Sleep(5 * time.Second)
	for k := uint64(1); k <= 3; k++ {
		p.checkOrder(f, k, keys[k])
	}
}
