package groups

import (
	"fmt"
	"testing"

	"snowjunction"
	"snowjunction/internal/gauge"
)

// fleetTable returns a table with two endpoints for each destination.
func fleetTable(destinations int) *Table {
	t := New()
	for i := range 2 * destinations {
		t.Set(Entry{
			Name: fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1), Addr: fmt.Sprintf("10.%d.%d.%d:%d", i>>16&255, i>>8&255, i&255, 6379+i>>24),
			Destination: snowjunction.DestinationID(i / 2), Phase: snowjunction.Ready, Weight: 1,
		})
	}
	return t
}

// BenchmarkListedDestination measures the memory of a listed destination with two endpoints.
func BenchmarkListedDestination(b *testing.B) {
	for _, n := range []int{10_000, 32_768, 130_000, 400_000, 1_300_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			gauge.HeapPerItem(b, n, "destination", func() any { return fleetTable(n) })
		})
	}
}
