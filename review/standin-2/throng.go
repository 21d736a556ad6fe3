package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["failback-fleet"] = failbackFleet }

// shutAnswer answers like coldPartner, but the outage is one in which the partner is shut: it refuses all calls
// and tells most callers until when.
func (k *coldPartner) shutAnswer(opens func() float64) func(c *incoming) (int, map[string]string) {
	return func(c *incoming) (int, map[string]string) {
		k.mu.Lock()
		shut := k.silent
		k.mu.Unlock()
		if shut {
			time.Sleep(5 * time.Millisecond)
			k.mu.Lock()
			k.told[c.body] = true
			k.mu.Unlock()
			if rand.Float64() < 0.89 {
				return 429, map[string]string{"X-RateLimit-Wait-Ms": strconv.Itoa(max(1, int(opens()-k.play.now())))}
			}
			return 503, nil
		}
		return k.answer(c)
	}
}

// failbackFleet has thirty couriers call one partner with no limit but its capacity, half a message a second
// each and a clump now and then. It is shut for 10 s, tells most callers until when, and comes back cold.
func failbackFleet(p *play) {
	const (
		n        = 30
		rate     = 0.55 // messages a second at each courier
		clumped  = 57   // messages of a clump, spread over the couriers: what it takes in 3.2 s
		capacity = 18   // 1.2 times its calls at full load
	)
	k := &coldPartner{play: p, capacity: capacity, told: map[string]bool{}}
	opensAt := 0.0
	kitchen := p.newEndpoint("kitchen", 1, k.shutAnswer(func() float64 { return opensAt }))
	f := p.newPlatform([]instance{kitchen.entry()})
	var couriers []*courier
	var starting sync.WaitGroup
	for i := range n {
		s := settings(n, i)
		s["tenants"] = []object{{"name": "town", "quota-rps": 15}}
		c := p.newCourier(fmt.Sprintf("n%d", i), f.addr, s)
		couriers = append(couriers, c)
		starting.Go(c.start)
	}
	starting.Wait()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, c := range couriers {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		clients.Go(func() {
			for no := 0; ; no++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
				}
				m := message{id: fmt.Sprintf("%s-%d", c.name, no), class: "order", key: uint64(i)<<32 | uint64(no+1), dest: 1, time: 12 * time.Second, token: fmt.Sprintf("t-%s-%d", c.name, no), body: c.name}
				p.handIn(c, m)
			}
		})
	}
	clump := func(name string) {
		for no := range clumped {
			i := no % n
			c := couriers[i]
			clients.Go(func() {
				key := uint64(i)<<32 | uint64(no+100000) + uint64(len(name))<<20
				p.handIn(c, message{id: fmt.Sprintf("%s-%s-%d", c.name, name, no), class: "order", key: key, dest: 1, time: 12 * time.Second, token: fmt.Sprintf("t-%s-%s-%d", c.name, name, no), body: c.name})
			})
		}
	}
	time.Sleep(12 * time.Second)
	clump("early")
	time.Sleep(10 * time.Second)
	if p.trouble {
		k.mu.Lock()
		k.silent = true
		k.mu.Unlock()
		opensAt = p.now() + 10000
		p.note("kitchen is shut")
		time.Sleep(8 * time.Second)
		clump("late")
		time.Sleep(2 * time.Second)
		k.mu.Lock()
		k.silent, k.backAt = false, p.now()
		k.mu.Unlock()
		p.note("kitchen is open, cold")
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()
	p.note("couriers that were refused in the outage: %d", len(k.told))
	at, most := 0.0, 0.0
	for _, a := range k.arrivals {
		n, _ := k.inSpan(a.at)
		if r := float64(n) / k.allowed(a.at); r > most {
			at, most = a.at-k.backAt, r
		}
	}
	p.note("most calls in a span, those after a fall counted: %.2f of what it withstands, %.0f ms after its return", most, at)
}
