package store

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"snowjunction/internal/gauge"
)

// newBacklog opens a journal of so many held events with bodies of 256 bytes, each sent once.
func newBacklog(b *testing.B, dir string, n int) *Journal {
	j, _, err := Load(Options{Dir: dir, Bytes: 1 << 40, Log: slog.New(slog.DiscardHandler)})
	for i := range n {
		m := &Message{
			ID: fmt.Sprintf("%016x", i), IdempotencyKey: fmt.Sprintf("%016x", i), Key: uint64(i), Destination: uint32(i % 1_300_000), Class: "order",
			Tenant: "town", Deadline: time.UnixMilli(1_800_000_000_000), Body: make([]byte, 256),
		}
		if err == nil {
			err = j.Accept(m)
		}
		if err == nil {
			err = j.RecordAttempt(m, m.Deadline)
		}
		if err == nil {
			err = j.RecordOutcome(m, false, time.Time{})
		}
	}
	if err != nil {
		b.Fatal(err)
	}
	return j
}

// Heap and disk space that the journal uses per pending event.
func BenchmarkHeldEvent(b *testing.B) {
	const n = 100_000
	var disk int64
	gauge.HeapPerItem(b, n, "event", func() any {
		j := newBacklog(b, b.TempDir(), n)
		disk = j.Size()
		b.Cleanup(func() { j.Close() })
		return j
	})
	b.ReportMetric(float64(disk)/n, "disk-B/event")
}

// Time to load a journal of a given size at a start.
func BenchmarkReadJournal(b *testing.B) {
	for _, n := range []int{5_000, 50_000, 500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			j := newBacklog(b, dir, n)
			size := float64(j.Size()) / 1e6
			j.Close()
			gauge.CPUPerItem(b, n, "event", func() {
				j, left, err := Load(Options{Dir: dir, Bytes: 1 << 40, Log: slog.New(slog.DiscardHandler)})
				if err != nil || len(left) != n {
					b.Fatal(err, len(left))
				}
				j.Close()
			})
			b.ReportMetric(size, "MB")
			b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(b.N)/size, "wall-ms/MB")
		})
	}
}
