package patience

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// asks is how often couriers ask in a minute, all turned away from the start on, each
// turn taking as long as a refused call does.
func asks(fleet int, took time.Duration) (n int) {
	for i := range fleet {
		p := New(fleet, uint64(i))
		for at := time.Duration(0); at < time.Minute; at += took + p.Refused(0) {
			n++
		}
	}
	return n
}

// A large fleet that is turned away asks no more often than a small one does.
func TestFleetAsksNoMoreOften(t *testing.T) {
	small := asks(2, 0)
	for _, fleet := range []int{8, 80, 800} {
		n := asks(fleet, 0)
		assert.LessOrEqual(t, n, max(2*small, fleet*(1+int(time.Minute/(Most/2)))), "fleet %d", fleet)
		assert.GreaterOrEqual(t, n, fleet*int(time.Minute/Most), "fleet %d is still told", fleet)
	}
}

// What is turned away together does not come back together.
func TestPausesSpread(t *testing.T) {
	seen, least, most := map[time.Duration]bool{}, Most, time.Duration(0)
	for i := range 80 {
		d := New(80, uint64(i)).Refused(0)
		seen[d], least, most = true, min(least, d), max(most, d)
	}
	assert.Greater(t, len(seen), 70)
	assert.GreaterOrEqual(t, least, time.Second)
	assert.LessOrEqual(t, most, 2*time.Second)
	assert.Greater(t, most-least, 800*time.Millisecond)
}

func TestPausesGrowAndEnd(t *testing.T) {
	p := New(2, 1)
	for i := range 40 {
		most := min(pause<<min(i, 16), Most)
		d := p.Refused(0)
		assert.GreaterOrEqual(t, d, most/2)
		assert.LessOrEqual(t, d, most)
	}
	p.Served()
	assert.LessOrEqual(t, p.Refused(0), pause)
	assert.Equal(t, 2*time.Second, p.Refused(2*time.Second), "a told pause is kept")
	assert.Equal(t, Most, p.Refused(time.Hour), "but not for ever")
	for range 40 {
		assert.LessOrEqual(t, p.Lost(), pause, "a broken connection does not add up")
		assert.LessOrEqual(t, p.Unread(), unreadMost)
	}
	assert.Greater(t, p.Unread(), unreadMost/3)
}

// A connection that broke is made anew within half of the grace, whatever the fleet; only
// where that fails again and again are the pauses those of a large fleet.
func TestLostConnection(t *testing.T) {
	for within, half := range map[time.Duration]time.Duration{0: firstMost, 400 * time.Millisecond: 200 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond} {
		p := New(300, 7).Within(within)
		for range 3 {
			assert.LessOrEqual(t, max(p.First(), p.Lost()), half)
			assert.GreaterOrEqual(t, p.Lost(), half/2)
			for range 10 {
				p.Lost()
			}
			assert.GreaterOrEqual(t, p.Lost(), Most/2)
			p.Served()
		}
	}
}

// Settings without a fleet size, or with one that cannot be, are those of a lone courier.
func TestFleetOfNone(t *testing.T) {
	for _, fleet := range []int{-3, 0, 1, 2} {
		assert.LessOrEqual(t, New(fleet, 1).Lost(), pause)
	}
	assert.LessOrEqual(t, New(1<<40, 1).Lost(), Most)
	assert.Positive(t, New(1<<40, 1).Lost())
}

// Couriers that start together ask one after another; a few ask at once.
func TestFirstAsksSpread(t *testing.T) {
	early, late := 0, 0
	for i := range 80 {
		d := New(80, uint64(i)).First()
		assert.LessOrEqual(t, d, firstMost)
		if d < firstMost/4 {
			early++
		} else if d > firstMost*3/4 {
			late++
		}
	}
	assert.InDelta(t, 20, early, 12)
	assert.InDelta(t, 20, late, 12)
	for fleet := range few + 1 {
		assert.Zero(t, New(fleet, 1).First())
	}
	assert.Less(t, New(1<<40, 1).First(), firstMost)
}
