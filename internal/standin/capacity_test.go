package standin

import (
	"fmt"
	"testing"
)

// Measures the encoded size of an entry of the list and of a change, in the protocol's format.
func BenchmarkEncodedList(b *testing.B) {
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
		whole = len(d.encodeAnswer(0, false, partitionFilter{}))
		one = len(d.encodeAnswer(41, true, partitionFilter{}))
	}
	b.ReportMetric(float64(whole)/n, "B/entry")
	b.ReportMetric(float64(one), "B/change")
}
