package notes

import (
	"testing"

	"snowjunction"
)

// BenchmarkNote measures the cost of writing and reading one peer message, and its size. Each
// message has one item, as is usual for a courier with three thousand peers.
func BenchmarkNote(b *testing.B) {
	const dest = 1_200_000
	for _, x := range []struct {
		name string
		note snowjunction.Note
	}{
		{"ask", snowjunction.Note{Destination: dest, Asks: true, Calls: 1, Rank: 150}},
		{"ask-with-limit", snowjunction.Note{Destination: dest, Asks: true, Calls: 1, Rank: 150, Limit: 12.5}},
		{"grant", snowjunction.Note{Destination: dest, Grants: true, Calls: 1}},
		{"failing", snowjunction.Note{Destination: dest, Asks: true, Calls: 1, Rank: 150, Failing: true}},
	} {
		b.Run(x.name, func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				text := Write([]snowjunction.Note{x.note})[0]
				bytes = len(text)
				if _, err := Read(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "B/note")
		})
	}
}
