package rules

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// replay plays calls at these moments, all of couriers that were told or not, and returns
// at which of them the destination falls; -1: at none.
func replay(r *Ramp, n float64, told func(i int) bool, at ...time.Duration) (fell int, broken bool) {
	fell = -1
	for i, t := range at {
		if told(i) {
			r.Failed(int32(i), 1)
		}
		if falls, breaks := r.Call(t, int32(i), 1, n); falls {
			fell, broken = i, breaks
		}
	}
	return fell, broken
}

func all(int) bool  { return true }
func none(int) bool { return false }

// spaced returns n moments, so far apart.
func spaced(n int, apart time.Duration) (at []time.Duration) {
	for i := range n {
		at = append(at, time.Hour+time.Duration(i)*apart)
	}
	return at
}

// The bound is N + 2 x root of N + 2, over windows that slide, whoever sends.
func TestRampBound(t *testing.T) {
	for _, tc := range []struct {
		n    float64
		most int // calls that it stands
	}{{0, 2}, {0.25, 3}, {1, 5}, {4, 10}, {9, 17}, {10, 18}, {100, 122}} {
		fell, _ := replay(NewRamp(1500*ms), tc.n, all, spaced(tc.most, ms)...)
		assert.Equal(t, -1, fell, "%v: as many as it stands", tc.n)
		fell, broken := replay(NewRamp(1500*ms), tc.n, all, spaced(tc.most+1, ms)...)
		assert.Equal(t, tc.most, fell, "%v: one more", tc.n)
		assert.True(t, broken)
		fell, _ = replay(NewRamp(1500*ms), tc.n, all, spaced(50*tc.most, 1501*ms/time.Duration(tc.most))...)
		assert.Equal(t, -1, fell, "%v: as many again and again", tc.n)
	}
	r := NewRamp(1500 * ms)
	late := append(spaced(3, 0), time.Hour+1400*ms, time.Hour+1400*ms, time.Hour+1501*ms, time.Hour+1600*ms, time.Hour+1600*ms, time.Hour+1700*ms)
	fell, _ := replay(r, 1, all, late...)
	assert.Equal(t, 8, fell, "five in no window that begins with a multiple, six in one that slides")
	assert.InDelta(t, 6.0/5, r.Peak(), 1e-9)
	falls, _ := r.Call(time.Hour+1800*ms, 1, 1, 1)
	assert.False(t, falls, "it is down")
	r.Reset(1)
	fell, _ = replay(r, 1, all, spaced(6, ms)...)
	assert.Equal(t, 5, fell, "another outage")
}

// It takes over two thirds of the calls from couriers that were told.
func TestRampInformedShare(t *testing.T) {
	for _, tc := range []struct {
		told   func(i int) bool
		broken bool
	}{
		{none, false}, {all, true},
		{func(i int) bool { return i < 4 }, false}, // two thirds of six
		{func(i int) bool { return i < 5 }, true},
	} {
		fell, broken := replay(NewRamp(1500*ms), 1, tc.told, spaced(6, ms)...)
		assert.Equal(t, 5, fell)
		assert.Equal(t, tc.broken, broken)
	}
	r := NewRamp(1500 * ms)
	for i := range 6 {
		r.Failed(int32(i), 1)
	}
	r.Failed(0, 2)
	r.CourierReset(0)
	r.CourierReset(1)
	for i := range 6 {
		if falls, broken := r.Call(time.Hour, int32(i), 1, 1); falls {
			assert.False(t, broken, "two of six have begun anew")
			assert.Equal(t, 5, i)
		}
	}
	r.Reset(1)
	fell, broken := replay(r, 1, none, spaced(6, ms)...)
	assert.Equal(t, 5, fell)
	assert.False(t, broken, "what was told of an outage before")
}

// However calls come, it falls with the first window that has more than it stands.
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
		fell, _ := replay(NewRamp(1500*ms), n, all, at...)
		if fell != want {
			t.Fatalf("falls at %d, want %d", fell, want)
		}
	})
}
