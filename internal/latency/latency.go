// Package latency records durations in HDR histograms with a lowest value of one microsecond.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram counts durations. A duration outside the histogram's bounds counts as the nearest bound.
type Histogram struct{ h *hdrhistogram.Histogram }

// New returns an empty histogram for durations up to maxDuration that keeps the given number of
// significant digits.
func New(maxDuration time.Duration, digits int) *Histogram {
	return &Histogram{hdrhistogram.New(1, maxDuration.Microseconds(), digits)}
}

// Add records one duration.
func (h *Histogram) Add(d time.Duration) {
	// No error is possible: the value is clamped to the bounds.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), h.h.HighestTrackableValue()))
}

// Merge adds the recorded values of another histogram.
func (h *Histogram) Merge(other *Histogram) { h.h.Merge(other.h) }

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.h.TotalCount() }

// MeanMs returns the mean in milliseconds.
func (h *Histogram) MeanMs() float64 { return h.h.Mean() / 1000 }

// MaxMs returns the longest duration in milliseconds.
func (h *Histogram) MaxMs() float64 { return float64(h.h.Max()) / 1000 }

// PercentileMs returns the value at a percentile (0 to 100) in milliseconds.
func (h *Histogram) PercentileMs(percentile float64) float64 {
	return float64(h.h.ValueAtQuantile(percentile)) / 1000
}

// Bucket is the number of durations between two bounds in milliseconds.
type Bucket struct {
	FromMs float64 `json:"from_ms"`
	ToMs   float64 `json:"to_ms"`
	Count  int64   `json:"n"`
}

// firstBucketMicros is the width of the first bucket in microseconds.
const firstBucketMicros = 128

// Buckets returns the whole histogram in adjacent buckets. The upper bound of each bucket is twice
// that of the bucket before it.
func (h *Histogram) Buckets() (out []Bucket) {
	if h.Count() == 0 {
		return nil
	}
	from, to := int64(0), int64(firstBucketMicros)
	b := Bucket{ToMs: float64(to) / 1000}
	for _, bar := range h.h.Distribution() {
		for bar.From >= to && bar.Count > 0 {
			out = append(out, b)
			from, to = to, 2*to
			b = Bucket{FromMs: float64(from) / 1000, ToMs: float64(to) / 1000}
		}
		b.Count += bar.Count
	}
	return append(out, b)
}
