package partition

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"snowjunction/internal/gauge"
)

// The fleet to come, in three regions, with one owner of each partition in each.
const (
	toCome     = 3400
	toComeIn   = 3
	partitions = 1 << 14
)

func fleetToCome(b *testing.B) *Membership {
	return membership(b, partitions, 1, fleet(toCome, toComeIn, 4))
}

// BenchmarkMembershipAnew is what a start costs: processor time of a membership.
func BenchmarkMembershipAnew(b *testing.B) {
	all := fleet(toCome, toComeIn, 4)
	gauge.CPU(b, 1, "membership", func() { membership(b, partitions, 1, all) })
}

// BenchmarkMembershipChange is what one member that leaves or comes back costs each courier.
func BenchmarkMembershipChange(b *testing.B) {
	all := fleet(toCome, toComeIn, 4)
	m := membership(b, partitions, 1, all)
	without := slices.Delete(slices.Clone(all), 1700, 1701)
	const turns = 10
	gauge.CPU(b, 2*turns, "change", func() {
		for range turns {
			for _, members := range [][]Member{without, all} {
				var err error
				if m, err = m.With(members); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}

// BenchmarkMembershipHeld is the heap that one takes, names and addresses included, and the bytes
// of its members in an operator file without a space.
func BenchmarkMembershipHeld(b *testing.B) {
	gauge.Held(b, 1, "membership", func() any { return fleetToCome(b) })
	n := 0
	for _, x := range fleet(toCome, toComeIn, 4) {
		n += len(fmt.Sprintf(`{"name":%q,"addr":%q,"region":%q,"zone":%q},`, x.Name, x.Addr, x.Region, x.Zone))
	}
	b.ReportMetric(float64(n), "file-B/membership")
}

// BenchmarkPartitionsMoved is how many places of a partition pass to another owner where one member
// leaves: the mean over 34 of them.
func BenchmarkPartitionsMoved(b *testing.B) {
	all := fleet(toCome, toComeIn, 4)
	before := membership(b, partitions, 1, all)
	n, gone := 0, 0
	for b.Loop() {
		for i := 0; i < toCome; i += 100 {
			after, err := before.With(slices.Delete(slices.Clone(all), i, i+1))
			if err != nil {
				b.Fatal(err)
			}
			n += len(moved(before, after))
			gone++
		}
	}
	b.ReportMetric(float64(n)/float64(gone), "partitions/member")
}

// BenchmarkRoute is what the way of an event costs a courier of the fleet to come that forwards
// nearly all: of no key, and of a key, which is remembered. Events come at 2,300 a second.
func BenchmarkRoute(b *testing.B) {
	for name, keyed := range map[string]bool{"no key": false, "keys": true} {
		b.Run(name, func(b *testing.B) {
			r := NewRouter(Options{Self: "n7", Linger: linger, Longest: longest}, fleetToCome(b), 0)
			r.Held(r.Wanted())
			const events = 1 << 16
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			now, n := late, uint32(0)
			gauge.CPU(b, events, "event", func() {
				for range events {
					n++
					now += time.Second / 2300
					m := Message{Destination: n * 2654435761 % 1300000, Left: longest}
					if keyed {
						m.Key = uint64(n%40000) + 1
					}
					way := r.Route(m, nil, now)
					if way.Way == Forward {
						r.Took(m, way.To.Name, now)
					}
				}
			})
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/events, "heap-B/event")
		})
	}
}
