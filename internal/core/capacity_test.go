package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"snowjunction"
	"snowjunction/internal/gauge"
	"snowjunction/internal/groups"
	"snowjunction/internal/store"
)

// BenchmarkHeldMessage measures the memory of one waiting message in the core, the module and the
// journal. It has a body of 256 bytes and its own key, and its destination's only slot is in use.
func BenchmarkHeldMessage(b *testing.B) {
	const n = 20_000
	gauge.HeapPerItem(b, n, "event", func() any {
		x := newHarnessWith(&harness{t: b, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, journalBytes: 1 << 30}, func(s *snowjunction.Settings) {
			s.MaxHeld, s.Slots = 0, 1
			s.Classes[0].TargetLatency, s.Classes[0].Deadline = time.Hour, 2*time.Hour
		})
		for i := range n {
			id := fmt.Sprintf("%016x", i)
			err := x.c.Submit(Request{ID: id, Class: "order", Key: uint64(i + 1), IdempotencyKey: id, Destination: 7, TimeLeft: time.Hour, Body: make([]byte, 256)},
				func(Answer, *store.Message) bool { return true })
			if err != nil {
				b.Fatal(err)
			}
			if i%100 == 99 {
				x.advance(5 * ms)
			}
		}
		if x.advance(5 * ms); x.c.Held() != n {
			b.Fatalf("%d messages held, want %d", x.c.Held(), n)
		}
		return x
	})
}

// BenchmarkWholeList measures the cost of a full list for a core that already holds the same list,
// and the peak heap while it is applied.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{20_000, 200_000, 2_600_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := newHarnessWith(&harness{t: b, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)}, nil)
			peak := uint64(0)
			gauge.CPUPerItem(b, n, "entry", func() {
				l := groups.NewList(true)
				for i := range n {
					err := l.Add(Entry{
						Name: fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1), Addr: fmt.Sprintf("10.%d.%d.%d:%d", i>>16&255, i>>8&255, i&255, 6379+i>>24),
						Destination: snowjunction.DestinationID(i / 2), Phase: snowjunction.Ready, Weight: 1,
					})
					if err != nil {
						b.Fatal(err)
					}
				}
				if err := x.c.UpdateList(0, l); err != nil {
					b.Fatal(err)
				}
				var s runtime.MemStats
				runtime.ReadMemStats(&s)
				peak = max(peak, s.HeapAlloc)
				x.advance(ms)
			})
			b.ReportMetric(float64(peak)/float64(n), "peak-heap-B/entry")
		})
	}
}
