package main

import (
	"fmt"
	"strconv"
	"time"

	"snowjunction/internal/partition"
)

func init() { cases["order-partitions"] = orderPartitions }

// fleet is three couriers that divide the destinations, each with two owners.
type fleet struct {
	couriers []*courier
	owners   func(dest int) []int // numbers of the couriers that own a destination, the preferred one first
}

func (p *play) newFleet(discovery string, copies int) *fleet {
	const partitions = 64
	f := &fleet{}
	var members []partition.Member
	var listed []object
	for n := range 3 {
		c := p.newCourier("n"+strconv.Itoa(n), discovery, settings(3, n))
		f.couriers = append(f.couriers, c)
		members = append(members, partition.Member{Name: c.name, Addr: c.listen, Region: "south"})
		listed = append(listed, object{"name": c.name, "addr": c.listen, "region": "south"})
	}
	file := p.writeJSON("partitions.json", object{"enabled": true, "partitions": partitions, "copies": copies, "members": listed})
	for _, c := range f.couriers {
		c.env = append(c.env, "SNOWJUNCTION_PARTITIONS="+file)
	}
	m, err := partition.New(partitions, copies, members)
	p.must(err)
	f.owners = func(dest int) (out []int) {
		for _, o := range m.Owners(partition.Of(uint32(dest), partitions), "south") {
			n, _ := strconv.Atoi(o.Name[1:])
			out = append(out, n)
		}
		return out
	}
	return f
}

// destOf returns a destination with these owners, the preferred one first.
func (f *fleet) destOf(owners ...int) int {
	for dest := 1; ; dest++ {
		if fmt.Sprint(f.owners(dest)) == fmt.Sprint(owners) {
			return dest
		}
	}
}

// orderPartitions hands in two messages of each of a few keys at courier n0, which forwards them. Couriers n1
// and n0 are restarted one after another. The partner is shut meanwhile and tells until when.
func orderPartitions(p *play) {
	shutUntil := 0.0
	answer := func(*incoming) (int, map[string]string) {
		if left := shutUntil - p.now(); left > 0 {
			return 429, map[string]string{"X-RateLimit-Wait-Ms": strconv.Itoa(int(left) + 1)}
		}
		time.Sleep(200 * time.Millisecond)
		return 200, nil
	}
	kitchen := p.newEndpoint("kitchen", 0, answer)
	f := p.newPlatform(nil)
	fl := p.newFleet(f.addr, 2)
	kitchen.dest = fl.destOf(1, 2)
	f.change(kitchen.entry())
	p.note("destination %d is owned by n1, then n2", kitchen.dest)
	n0, n1 := fl.couriers[0], fl.couriers[1]
	for _, c := range fl.couriers {
		c.start()
	}
	// For the longest deadline after its start a courier sends ordered messages to first owners only.
	time.Sleep(13 * time.Second)
	shutUntil = p.now() + 8000
	if p.trouble {
		n1.kill()
		time.Sleep(100 * time.Millisecond)
	}
	keys := map[uint64][]handed{}
	handInAll := func(no int) {
		for k := uint64(1); k <= 3; k++ {
			m := message{id: fmt.Sprintf("k%d-m%d", k, no), class: "order", key: k, dest: kitchen.dest, time: 12 * time.Second, token: fmt.Sprintf("t%d-%d", k, no), body: "x"}
			for try := 0; ; try++ {
				if try > 0 {
					m.id = fmt.Sprintf("k%d-m%d-%d", k, no, try)
				}
				answer := p.handIn(n0, m)
				if answer == "+OK" {
					keys[k] = append(keys[k], handed{m, kitchen})
					break
				}
				if try == 40 {
					p.note("%s is not taken on", m.id)
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	handInAll(1)
	if p.trouble {
		time.Sleep(500 * time.Millisecond)
		n1.start()
		time.Sleep(300 * time.Millisecond)
		n0.kill()
		time.Sleep(600 * time.Millisecond)
		n0.start()
	}
	handInAll(2)
	time.Sleep(time.Duration(shutUntil-p.now())*time.Millisecond + 4*time.Second)
	for k := uint64(1); k <= 3; k++ {
		p.checkOrder(f, k, keys[k])
	}
}
