package partition

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"snowjunction/internal/gauge"
)

// The planned fleet: three regions, with one owner of each partition in each.
const (
	plannedMembers = 3400
	plannedRegions = 3
	partitions     = 1 << 14
)

func plannedMembership(b *testing.B) *Membership {
	return membership(b, partitions, 1, fleet(plannedMembers, plannedRegions, 4))
}

// BenchmarkMembershipAnew measures the processor time of creating a membership, as at a start.
func BenchmarkMembershipAnew(b *testing.B) {
	all := fleet(plannedMembers, plannedRegions, 4)
	gauge.CPUPerItem(b, 1, "membership", func() { membership(b, partitions, 1, all) })
}

// BenchmarkMembershipChange measures what each courier spends when one member leaves or returns.
func BenchmarkMembershipChange(b *testing.B) {
	all := fleet(plannedMembers, plannedRegions, 4)
	m := membership(b, partitions, 1, all)
	without := slices.Delete(slices.Clone(all), 1700, 1701)
	const turns = 10
	gauge.CPUPerItem(b, 2*turns, "change", func() {
		for range turns {
			for _, members := range [][]Member{without, all} {
				var err error
				if m, err = m.WithMembers(members); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}

// BenchmarkMembershipHeld measures the heap size of a membership, names and addresses included, and
// the size in bytes of its members in an operator file without spaces.
func BenchmarkMembershipHeld(b *testing.B) {
	gauge.HeapPerItem(b, 1, "membership", func() any { return plannedMembership(b) })
	n := 0
	for _, x := range fleet(plannedMembers, plannedRegions, 4) {
		n += len(fmt.Sprintf(`{"name":%q,"addr":%q,"region":%q,"zone":%q},`, x.Name, x.Addr, x.Region, x.Zone))
	}
	b.ReportMetric(float64(n), "file-B/membership")
}

// BenchmarkPartitionsMoved measures how many partitions get another owner when one member leaves:
// the mean over 34 members.
func BenchmarkPartitionsMoved(b *testing.B) {
	all := fleet(plannedMembers, plannedRegions, 4)
	before := membership(b, partitions, 1, all)
	n, removed := 0, 0
	for b.Loop() {
		for i := 0; i < plannedMembers; i += 100 {
			after, err := before.WithMembers(slices.Delete(slices.Clone(all), i, i+1))
			if err != nil {
				b.Fatal(err)
			}
			n += len(movedPartitions(before, after))
			removed++
		}
	}
	b.ReportMetric(float64(n)/float64(removed), "partitions/member")
}

// BenchmarkRoute measures the routing of an event at a courier of the planned fleet, which forwards
// nearly all events: without a key, and with a key, which is remembered. Events arrive at 2,300 per
// second.
func BenchmarkRoute(b *testing.B) {
	for name, keyed := range map[string]bool{"no key": false, "keys": true} {
		b.Run(name, func(b *testing.B) {
			r := NewRouter(Options{Self: "n7", ServeAfterLoss: serveAfterLoss, MaxDeadline: maxDeadline}, plannedMembership(b), 0)
			r.MarkListReceived(r.AwaitingList())
			const events = 1 << 16
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			now, n := longAfterStart, uint32(0)
			gauge.CPUPerItem(b, events, "event", func() {
				for range events {
					n++
					now += time.Second / 2300
					m := Message{Destination: n * 2654435761 % 1300000, Remaining: maxDeadline}
					if keyed {
						m.Key = uint64(n%40000) + 1
					}
					way := r.Route(m, nil, now)
					if way.Action == Forward {
						r.RecordAccepted(m, way.To.Name, now)
					}
				}
			})
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/events, "heap-B/event")
		})
	}
}
