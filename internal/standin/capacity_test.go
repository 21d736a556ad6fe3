package standin

import (
	"fmt"
	"testing"
)

// The bytes that entries take on the wire, in the form of the protocol's page.
func BenchmarkListOnTheWire(b *testing.B) {
	entry := func(i int) Instance {
		return Instance{
			InstanceID: fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1), HostPort: fmt.Sprintf("10.%d.%d.%d:6379", i>>16&255, i>>8&255, i&255),
			Zone: "a", MachineType: "m2", Cell: uint32(i / 2), Lifecycle: "Ready", Weight: 1,
		}
	}
	const n = 130_000
	d := &Directory{generation: 41, changes: []change{{generation: 42, instance: entry(1_300_000)}}}
	for i := range n {
		d.list = append(d.list, entry(1_200_000+i))
	}
	whole, one := 0, 0
	for b.Loop() {
		whole = len(d.answer(0, false, parts{}))
		one = len(d.answer(41, true, parts{}))
	}
	b.ReportMetric(float64(whole)/n, "B/entry")
	b.ReportMetric(float64(one), "B/change")
}
