package lease

import (
	"math"
	"time"
)

// This file limits the load on a destination that recovers from an outage where no owner adds up
// the calls of the fleet. The settings allow the fleet n calls within the collapse window; the
// destination collapses above a threshold a little over n. Each courier has a share of n, often
// less than one call. The couriers that saw the outage return to the destination together, and one
// call of each may already be too much.

const (
	outageLoadFactor = 2.0 // calls sent during an outage, as a multiple of the capacity; includes retries, also by clients
	chanceDeviations = 2.0 // square roots of n that the rule attributes to chance (STANDING.md)
	chanceAllowance  = 2.0 // calls that are allowed on top
)

// CollapseThreshold returns how many calls within the collapse window a destination that recovers from an
// outage tolerates if the settings allow n.
func CollapseThreshold(n float64) float64 { return n + chanceDeviations*math.Sqrt(n) + chanceAllowance }

// OutageObservers estimates how many couriers of a fleet have seen an outage of a destination with a capacity
// in calls per second: every call that the fleet made during the outage came from one of them.
func OutageObservers(fleet, capacity float64, outage time.Duration) float64 {
	return math.Max(1, fleet*(1-math.Exp(-outageLoadFactor*capacity*outage.Seconds()/fleet)))
}

// Spread spaces one courier's calls to an unhealthy destination if the courier's share is less than
// one call within the collapse window.
type Spread struct {
	lastCall time.Duration // last call; before the first, a randomly drawn time in its place
	interval time.Duration // shortest interval seen since the last call; zero means none yet
	started  bool          // lastCall is set
}

// Called records a call.
func (s *Spread) Called(now time.Duration) { s.lastCall, s.interval, s.started = now, 0, true }

// Reset forgets the outage.
func (s *Spread) Reset() { *s = Spread{} }

// Allow reports whether a call may be made now, with the given interval between calls. The first
// call waits for a random part of the interval (draw returns a number from 0 to 1), so that the
// calls of all couriers are spread evenly. The shortest interval since the last call is kept:
// during an outage the estimated number of couriers that saw it grows, and the next call would
// otherwise be postponed faster than time passes.
func (s *Spread) Allow(now, interval time.Duration, draw func() float64) bool {
	if !s.started {
		s.Called(now - time.Duration(draw()*float64(interval)))
	}
	if s.interval == 0 || interval < s.interval {
		s.interval = interval
	}
	return now-s.lastCall >= s.interval
}
