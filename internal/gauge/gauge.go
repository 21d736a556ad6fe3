// Package gauge has benchmarks report what docs/CAPACITY.md counts with: bytes of heap
// that things hold, and processor time, which other load on the machine alters less than
// the time that passes.
package gauge

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// Held reports the bytes of heap that each of n things holds which build returns.
func Held(b *testing.B, n int, thing string, build func() any) {
	b.Helper()
	var total float64
	for b.Loop() {
		before := heap()
		things := build()
		total += heap() - before
		runtime.KeepAlive(things)
	}
	b.ReportMetric(total/float64(b.N)/float64(n), "heap-B/"+thing)
}

func heap() float64 {
	runtime.GC()
	runtime.GC() // what had finalizers
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// CPU reports the processor time of this process, the collector's included, for each of n
// things that f does.
func CPU(b *testing.B, n int, thing string, f func()) {
	b.Helper()
	var total time.Duration
	for b.Loop() {
		before := spent()
		f()
		total += spent() - before
	}
	b.ReportMetric(float64(total)/float64(b.N)/float64(n), "cpu-ns/"+thing)
}

func spent() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
