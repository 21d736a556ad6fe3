// Package gauge reports benchmark metrics for docs/CAPACITY.md: bytes of live heap per item, and CPU
// time, which other load on the machine distorts less than wall-clock time.
package gauge

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// HeapPerItem reports the bytes of live heap per item for the n items that build returns, as the metric
// heap-B/ITEM.
func HeapPerItem(b *testing.B, n int, item string, build func() any) {
	b.Helper()
	var total float64
	for b.Loop() {
		before := heapBytes()
		items := build()
		total += heapBytes() - before
		runtime.KeepAlive(items)
	}
	b.ReportMetric(total/float64(b.N)/float64(n), "heap-B/"+item)
}

// heapBytes returns the bytes of live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // a second cycle frees objects with finalizers
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// CPUPerItem reports the CPU time of this process per item for the n items that f processes, as the metric
// cpu-ns/ITEM. The time includes the garbage collector's.
func CPUPerItem(b *testing.B, n int, item string, f func()) {
	b.Helper()
	var total time.Duration
	for b.Loop() {
		before := cpuTime()
		f()
		total += cpuTime() - before
	}
	b.ReportMetric(float64(total)/float64(b.N)/float64(n), "cpu-ns/"+item)
}

// cpuTime returns the user and system CPU time of this process, or 0 on an error.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
