package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestCollapseLimitAndObservers(t *testing.T) {
	assert.Equal(t, 2.0, CollapseThreshold(0))
	assert.Equal(t, 17.0, CollapseThreshold(9))
	assert.InDelta(t, 1, OutageObservers(30, 10, 0), 1e-9, "at least this courier")
	assert.InDelta(t, 30, OutageObservers(30, 10, 30*time.Second), 1e-6, "all couriers see a long outage")
	assert.InDelta(t, 0.2, OutageObservers(300, 0.1, time.Second), 0.9, "few couriers see it if few call")
	assert.Less(t, OutageObservers(300, 10, time.Second), OutageObservers(300, 10, 2*time.Second))
}

// Couriers that start at the same moment spread their calls evenly: the first calls within one
// interval, later ones exactly one interval apart, whatever the draws.
func TestSpreadIsEven(t *testing.T) {
	const apart = 5 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	var quarter [8]int
	for range 400 {
		var s Spread
		var at []time.Duration
		for now := time.Hour; now < time.Hour+2*apart; now += 10 * ms {
			if s.Allow(now, apart, rng.Float64) {
				at = append(at, now)
				quarter[4*(now-time.Hour)/apart]++
				s.Called(now)
			}
		}
		assert.Len(t, at, 2)
		assert.Equal(t, apart, at[1]-at[0])
	}
	for _, n := range quarter {
		assert.InDelta(t, 100, n, 40)
	}
}

// The interval grows during an outage and shrinks as a destination warms up. A call waits exactly
// for the shortest interval seen since the last call.
func TestSpreadKeepsShortestInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Spread
		now := time.Hour
		s.Called(now)
		least, last := time.Duration(1<<62), now
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "after")) * ms
			apart := time.Duration(rapid.IntRange(100, 9000).Draw(t, "apart")) * ms
			least = min(least, apart)
			if got := s.Allow(now, apart, nil); got != (now-last >= least) {
				t.Fatalf("allowed=%v %v after the last call with a shortest interval of %v", got, now-last, least)
			}
			if now-last >= least && rapid.Bool().Draw(t, "calls") {
				s.Called(now)
				least, last = 1<<62, now
			}
		}
		s.Reset()
		if s.Allow(now, time.Second, func() float64 { return 0.5 }) || !s.Allow(now+500*ms, time.Second, nil) {
			t.Fatal("the first call of another outage must wait for a new draw")
		}
	})
}
