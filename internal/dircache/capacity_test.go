package dircache

import (
	"fmt"
	"testing"

	"snowjunction"
	"snowjunction/internal/gauge"
	"snowjunction/internal/groups"
)

const listSize = 130_000

func encodedList() []byte {
	w := NewWriter(Head{Zones: []string{"a"}, Kinds: []string{"m2"}}, 1<<30)
	for i := range listSize {
		w.Add(groups.Entry{
			Name: fmt.Sprintf("s-%08x", uint32(i)*0x9e3779b1), Addr: fmt.Sprintf("10.%d.%d.%d:6379", 19+i>>16&255, i>>8&255, i&255),
			Destination: snowjunction.DestinationID(600_000 + i/2), Phase: snowjunction.Ready, Weight: 1,
		})
	}
	return w.Bytes()
}

// Disk space and decoding time per entry.
func BenchmarkListOnDisk(b *testing.B) {
	text := encodedList()
	gauge.CPUPerItem(b, listSize, "entry", func() {
		if _, err := Decode(text); err != nil {
			b.Fatal(err)
		}
	})
	b.ReportMetric(float64(len(text))/listSize, "B/entry")
}
