package rules

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// replay makes a call at each of the times, from couriers that are informed of the outage or not,
// and returns the index of the call at which the destination collapses, or -1.
func replay(r *RampCounter, n float64, informed func(i int) bool, at ...time.Duration) (collapsedAt int, violated bool) {
	collapsedAt = -1
	for i, t := range at {
		if informed(i) {
			r.Failed(int32(i), 1)
		}
		if collapses, violates := r.Call(t, int32(i), 1, n); collapses {
			collapsedAt, violated = i, violates
		}
	}
	return collapsedAt, violated
}

func allInformed(int) bool  { return true }
func noneInformed(int) bool { return false }

// spaced returns n times that are apart by the given duration.
func spaced(n int, interval time.Duration) (at []time.Duration) {
	for i := range n {
		at = append(at, time.Hour+time.Duration(i)*interval)
	}
	return at
}

// The bound is N + 2*sqrt(N) + 2 calls in a sliding window, from any courier.
func TestRampBound(t *testing.T) {
	for _, tc := range []struct {
		n        float64
		maxCalls int // calls without a collapse
	}{{0, 2}, {0.25, 3}, {1, 5}, {4, 10}, {9, 17}, {10, 18}, {100, 122}} {
		collapsedAt, _ := replay(NewRampCounter(1500*ms), tc.n, allInformed, spaced(tc.maxCalls, ms)...)
		assert.Equal(t, -1, collapsedAt, "%v: calls at the bound", tc.n)
		collapsedAt, violated := replay(NewRampCounter(1500*ms), tc.n, allInformed, spaced(tc.maxCalls+1, ms)...)
		assert.Equal(t, tc.maxCalls, collapsedAt, "%v: one call over the bound", tc.n)
		assert.True(t, violated)
		collapsedAt, _ = replay(NewRampCounter(1500*ms), tc.n, allInformed, spaced(50*tc.maxCalls, 1501*ms/time.Duration(tc.maxCalls))...)
		assert.Equal(t, -1, collapsedAt, "%v: calls at the bound in every window", tc.n)
	}
	r := NewRampCounter(1500 * ms)
	late := append(spaced(3, 0), time.Hour+1400*ms, time.Hour+1400*ms, time.Hour+1501*ms, time.Hour+1600*ms, time.Hour+1600*ms, time.Hour+1700*ms)
	collapsedAt, _ := replay(r, 1, allInformed, late...)
	assert.Equal(t, 8, collapsedAt, "the sixth call in a sliding window, though no aligned window has over five")
	assert.InDelta(t, 6.0/5, r.Peak(), 1e-9)
	collapses, _ := r.Call(time.Hour+1800*ms, 1, 1, 1)
	assert.False(t, collapses, "the destination has collapsed already")
	r.Reset(1)
	collapsedAt, _ = replay(r, 1, allInformed, spaced(6, ms)...)
	assert.Equal(t, 5, collapsedAt, "collapse after another outage")
}

// A collapse violates the rule if over two thirds of its calls come from informed couriers.
func TestRampInformedShare(t *testing.T) {
	for _, tc := range []struct {
		informed func(i int) bool
		violated bool
	}{
		{noneInformed, false}, {allInformed, true},
		{func(i int) bool { return i < 4 }, false}, // two thirds of six
		{func(i int) bool { return i < 5 }, true},
	} {
		collapsedAt, broken := replay(NewRampCounter(1500*ms), 1, tc.informed, spaced(6, ms)...)
		assert.Equal(t, 5, collapsedAt)
		assert.Equal(t, tc.violated, broken)
	}
	r := NewRampCounter(1500 * ms)
	for i := range 6 {
		r.Failed(int32(i), 1)
	}
	r.Failed(0, 2)
	r.CourierReset(0)
	r.CourierReset(1)
	for i := range 6 {
		if collapses, broken := r.Call(time.Hour, int32(i), 1, 1); collapses {
			assert.False(t, broken, "two of six couriers have restarted without state")
			assert.Equal(t, 5, i)
		}
	}
	r.Reset(1)
	collapsedAt, broken := replay(r, 1, noneInformed, spaced(6, ms)...)
	assert.Equal(t, 5, collapsedAt)
	assert.False(t, broken, "failures of an earlier outage do not count")
}

// For any sequence of calls, the destination collapses at the first call with more than the bound in
// its window.
func TestRampAnySeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Float64Range(0, 30).Draw(t, "n")
		now, want := time.Hour, -1
		var at []time.Duration
		for i := range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * ms
			at = append(at, now)
			in := 0
			for _, x := range at {
				if now-x <= 1500*ms {
					in++
				}
			}
			if want < 0 && float64(in) > n+2*math.Sqrt(n)+2 {
				want = i
			}
		}
		collapsedAt, _ := replay(NewRampCounter(1500*ms), n, allInformed, at...)
		if collapsedAt != want {
			t.Fatalf("collapses at call %d, want %d", collapsedAt, want)
		}
	})
}
