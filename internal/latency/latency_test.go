package latency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Buckets are adjacent and count each duration once, in the bucket whose bounds contain it.
func TestBuckets(t *testing.T) {
	assert.Empty(t, New(time.Minute, 3).Buckets())
	rapid.Check(t, func(t *rapid.T) {
		h, want := New(time.Minute, 3), map[float64]int64{}
		for _, us := range rapid.SliceOfN(rapid.IntRange(1, 1_000_000), 1, 50).Draw(t, "us") {
			h.Add(time.Duration(us) * time.Microsecond)
			to := 128
			for us >= to {
				to *= 2
			}
			want[float64(to)/1000]++
		}
		last, n := 0.0, int64(0)
		for _, b := range h.Buckets() {
			assert.Equal(t, last, b.FromMs)
			assert.Equal(t, want[b.ToMs], b.Count)
			last = b.ToMs
			n += b.Count
		}
		assert.Equal(t, h.Count(), n)
	})
}

// Durations out of bounds count as the nearest bound, and Merge adds the counts.
func TestBounds(t *testing.T) {
	a, b := New(time.Second, 2), New(time.Second, 2)
	a.Add(0)
	b.Add(time.Hour)
	a.Merge(b)
	assert.Equal(t, int64(2), a.Count())
	assert.InDelta(t, 0.001, a.PercentileMs(50), 1e-9)
	assert.InDelta(t, 1000, a.MaxMs(), 20)
	assert.InDelta(t, 500, a.MeanMs(), 10)
}
