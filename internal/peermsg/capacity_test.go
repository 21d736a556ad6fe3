package peermsg

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
		note snowjunction.PeerMessage
	}{
		{"ask", snowjunction.PeerMessage{Destination: dest, RequestsGrant: true, Calls: 1, Rank: 150}},
		{"ask-with-limit", snowjunction.PeerMessage{Destination: dest, RequestsGrant: true, Calls: 1, Rank: 150, Limit: 12.5}},
		{"grant", snowjunction.PeerMessage{Destination: dest, IsGrant: true, Calls: 1}},
		{"failing", snowjunction.PeerMessage{Destination: dest, RequestsGrant: true, Calls: 1, Rank: 150, Unreachable: true}},
	} {
		b.Run(x.name, func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				text := Encode([]snowjunction.PeerMessage{x.note})[0]
				bytes = len(text)
				if _, err := Decode(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "B/note")
		})
	}
}
