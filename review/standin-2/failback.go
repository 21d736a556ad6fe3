package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

func init() { cases["failback-restart"] = failbackRestart }

// n0 is one of three couriers. The others carry traffic for other partners, and are not played.

// coldPartner is a partner system with one endpoint that falls silent and comes back cold.
type coldPartner struct {
	play     *play
	capacity float64 // calls a second
	mu       sync.Mutex
	silent   bool
	backAt   float64 // ms; 0 before the outage is over
	arrivals []arrival
	told     map[string]bool // couriers that had a call refused in the outage; nil: all
	down     bool
}

// arrival is a call after the return.
type arrival struct {
	at      float64
	courier string
}

const (
	coldShare    = 0.2
	warmUpMs     = 14000.0
	fallMultiple = 2.0
	fallMs       = 1500.0
)

// allowed returns how many calls in fallMs the partner withstands at a time after its return.
func (k *coldPartner) allowed(at float64) float64 {
	share := math.Min(1, coldShare+(1-coldShare)*(at-k.backAt)/warmUpMs)
	n := fallMultiple * share * k.capacity * fallMs / 1000
	return n + 3*math.Sqrt(n) + 3
}

// inSpan returns the calls in the span that ends at a time, and those of them that came from couriers that had
// been told of the outage.
func (k *coldPartner) inSpan(end float64) (n, told int) {
	for _, a := range k.arrivals {
		if a.at > end-fallMs && a.at <= end {
			if n++; k.told == nil || k.told[a.courier] {
				told++
			}
		}
	}
	return n, told
}

func (k *coldPartner) answer(c *incoming) (int, map[string]string) {
	k.mu.Lock()
	silent, down := k.silent, k.down
	if k.backAt > 0 && c.began < k.backAt+warmUpMs {
		k.arrivals = append(k.arrivals, arrival{c.began, c.body})
		n, told := k.inSpan(c.began)
		if most := k.allowed(c.began); !down && float64(n) > most {
			k.down = true
			if line := fmt.Sprintf("%d calls within %.0f ms, %.0f ms after its return, %d of them from couriers that had been told; it withstands %.1f: it falls over", n, fallMs, c.began-k.backAt, told, most); 3*told > 2*n {
				k.play.breach("%s", line)
			} else {
				k.play.note("%s", line)
			}
		}
	}
	k.mu.Unlock()
	if silent || down {
		<-c.clientGone
		return 0, nil
	}
	time.Sleep(250 * time.Millisecond)
	return 200, nil
}

func failbackRestart(p *play) {
	k := &coldPartner{play: p, capacity: 4}
	kitchen := p.newEndpoint("kitchen", 1, k.answer)
	f := p.newPlatform([]instance{kitchen.entry()})
	s := settings(3, 0)
	s["tenants"] = []object{{"name": "town", "quota-rps": 9}}
	c := p.newCourier("n0", f.addr, s)
	c.start()
	handIn := func(name string) {
		p.handInUntilTaken(c, message{id: name, class: "order", key: uint64(len(name))*1000 + uint64(time.Now().UnixMicro()%1000000), dest: 1, time: 12 * time.Second, token: "t-" + name, body: "x"}, 1)
	}
	for n := range 2 {
		handIn(fmt.Sprintf("before-%d", n))
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	k.mu.Lock()
	k.silent = true
	k.mu.Unlock()
	silentAt := p.now()
	p.note("kitchen falls silent")
	for n := range 5 { // ordinary traffic
		handIn(fmt.Sprintf("during-%d", n))
		time.Sleep(700 * time.Millisecond)
	}
	for n := range 12 { // a clump: what it takes in three seconds
		handIn(fmt.Sprintf("clump-%d", n))
	}
	time.Sleep(time.Duration(silentAt+7500-p.now()) * time.Millisecond)
	if p.trouble {
		c.kill()
	}
	time.Sleep(time.Duration(silentAt+8000-p.now()) * time.Millisecond)
	k.mu.Lock()
	k.silent, k.backAt = false, p.now()
	k.mu.Unlock()
	p.note("kitchen is back, cold")
	if p.trouble {
		time.Sleep(100 * time.Millisecond)
		c.start()
	}
	time.Sleep(8 * time.Second)
}
