package scale

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction/internal/partition"
)

func addrs(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("127.1.%d.%d:1", i>>8, i&0xff))
	}
	return out
}

// Check names the flag of each invalid value.
func TestCheckPartitions(t *testing.T) {
	require.NoError(t, plan(func(p *Plan) { p.Partitions, p.Copies = 512, 2 }).Check())
	for flag, change := range map[string]func(p *Plan){
		"--partitions: -1":    func(p *Plan) { p.Partitions = -1 },
		"--partitions: 65537": func(p *Plan) { p.Partitions = 65537 },
		"--partitions: 8192":  func(p *Plan) { p.Partitions, p.Regions = 8192, 10 }, // three couriers in each region
		"--copies: 0":         func(p *Plan) { p.Copies = 0 },
		"--copies: 5":         func(p *Plan) { p.Partitions, p.Copies = 16, 5 },
		"--copies: 2 ":        func(p *Plan) { p.Copies = 2 },
	} {
		err := plan(change).Check()
		require.Error(t, err, flag)
		assert.True(t, strings.HasPrefix(err.Error(), flag), "%s: %v", flag, err)
		assert.NotContains(t, err.Error(), "\n")
	}
}

// Real couriers can deliver every message they receive: of the destinations that real couriers own,
// only listening ones get messages. Destinations that they do not own get messages regardless.
func TestListeners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(func(p *Plan) {
			p.Regions = rapid.IntRange(1, 4).Draw(t, "regions")
			p.Couriers = rapid.IntRange(4, 60).Draw(t, "couriers")
			p.Real = rapid.IntRange(0, p.Couriers/p.Regions).Draw(t, "real")
			p.Partitions = rapid.IntRange(0, 800).Draw(t, "partitions")
			p.Destinations = rapid.IntRange(1, 6000).Draw(t, "destinations")
			if p.Partitions > 0 {
				p.Copies = rapid.IntRange(1, 4).Draw(t, "copies")
			}
		})
		require.NoError(t, p.Check())
		if p.Partitions == 0 {
			listens, allowed := p.Listeners(large, nil)
			assert.Nil(t, allowed)
			for d := range listens {
				assert.Equal(t, d < p.Listening(large), listens[d], "the first destinations listen")
			}
			return
		}
		m, err := partition.New(p.Partitions, p.Copies, p.Members(addrs(p.Couriers)))
		require.NoError(t, err)
		owned := p.OwnedDestinations(m)
		listens, allowed := p.Listeners(large, owned)
		mayReceive := map[int32]bool{}
		for _, d := range allowed {
			mayReceive[d] = true
		}
		n := 0
		for d := range p.Destinations {
			real := false
			for _, o := range m.Owners(partition.Of(uint32(d+1), p.Partitions), "r0") {
				var number int
				_, _ = fmt.Sscanf(o.Name, "n%d", &number)
				real = real || p.IsReal(number)
			}
			assert.Equal(t, real, owned[d])
			assert.Equal(t, !owned[d] || listens[d], mayReceive[int32(d)])
			if listens[d] {
				assert.True(t, owned[d], "only destinations of real couriers listen")
				n++
			}
		}
		assert.LessOrEqual(t, n, p.Listening(large))
		if len(allowed) == 0 {
			return
		}
		a, b := p.ArrivalsAt(1, allowed), p.ArrivalsAt(1, allowed)
		for range 20 {
			after, dest, keyed := a.Next()
			after2, dest2, keyed2 := b.Next()
			assert.Equal(t, []any{after, dest, keyed}, []any{after2, dest2, keyed2})
			assert.True(t, mayReceive[int32(dest)])
		}
	})
}

// With partitions each courier holds a part of the list, so larger runs fit into memory. Listeners
// and forwarding connections need file descriptors.
func TestCheckMachinePartitions(t *testing.T) {
	big := func(p *Plan) { p.Couriers, p.Destinations, p.Endpoints = 3400, 130_000, 1 }
	assert.ErrorContains(t, plan(big).CheckMachine(large), "half of this machine's memory")
	parts := func(p *Plan) {
		big(p)
		p.Partitions = 16384
	}
	assert.NoError(t, plan(parts).CheckMachine(large))
	assert.Less(t, plan(parts).Memory(), plan(big).Memory()/10)
	assert.Less(t, plan(parts).Memory(), plan(func(p *Plan) { parts(p); p.Copies = 2 }).Memory())
	for words, change := range map[string]func(p *Plan){
		"descriptors":                   func(p *Plan) { p.Couriers, p.Destinations, p.Partitions, p.Events = 3400, 1000, 16384, 600 },
		"half of this machine's memory": func(p *Plan) { p.Couriers, p.Destinations, p.Partitions = 3400, 10_000_000, 16384 },
	} {
		p := plan(change)
		assert.ErrorContains(t, p.CheckMachine(large), words)
		if p.Partitions = 0; words == "descriptors" {
			assert.NoError(t, p.CheckMachine(large))
		}
	}
	assert.NoError(t, plan(func(p *Plan) {
		p.Couriers, p.Real, p.Destinations, p.Endpoints, p.Partitions, p.Events = 3400, 4, 13_000, 1, 65536, 1
	}).CheckMachine(large))
	assert.Zero(t, plan(nil).ForwardConnections())
	assert.Equal(t, 360.0, plan(func(p *Plan) { p.Couriers, p.Partitions = 300, 512 }).ForwardConnections(), "60 messages a second, each connection kept for 6 s")
	assert.Equal(t, 6.0, plan(func(p *Plan) { p.Couriers, p.Partitions, p.Regions = 3, 512, 1 }).ForwardConnections(), "each courier has two peers")
}
