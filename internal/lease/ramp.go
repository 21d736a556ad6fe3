package lease

import (
	"math"
	"time"
)

// What a destination stands that is back from an outage, where nobody adds the fleet's
// calls up. The settings allow the fleet n calls in the fall time; it falls at more than
// Stands(n). Each courier has a part of n, often less than a call: those that saw the
// outage come back to it together, and a first call of each may be more than it stands.

const (
	tries       = 2.0 // of the capacity: what the fleet sends in an outage, with repeats and clients' own
	chanceRoots = 2.0 // times the root of n, which the rule puts down to chance (STANDING.md)
	chanceCalls = 2.0 // and so many calls
)

// Stands is the most calls in the fall time that a destination back from an outage stands
// where the settings allow n.
func Stands(n float64) float64 { return n + chanceRoots*math.Sqrt(n) + chanceCalls }

// Saw is how many couriers of a fleet have seen an outage of a destination that takes
// capacity calls a second, if it was out for so long: each call that the fleet made while
// it lasted came from one of them.
func Saw(fleet, capacity float64, out time.Duration) float64 {
	return math.Max(1, fleet*(1-math.Exp(-tries*capacity*out.Seconds()/fleet)))
}

// Spread spaces one courier's calls to a destination that is not well, of which its part
// is under a call in the fall time.
type Spread struct {
	last  time.Duration // call, or what stands for one before the first
	apart time.Duration // least time to the next, as found since; 0: not yet
	drawn bool
}

// Called counts a call.
func (s *Spread) Called(now time.Duration) { s.last, s.apart, s.drawn = now, 0, true }

// Reset forgets the outage.
func (s *Spread) Reset() { *s = Spread{} }

// Room tells whether a call may go now, each so far apart. The first waits for a drawn
// part of that, draw being from 0 to 1: the calls of all come evenly then. What has been
// found to be enough stays so: as an outage goes on more are taken to have seen it, and a
// call would move away faster than time goes by.
func (s *Spread) Room(now, apart time.Duration, draw func() float64) bool {
	if !s.drawn {
		s.Called(now - time.Duration(draw()*float64(apart)))
	}
	if s.apart == 0 || apart < s.apart {
		s.apart = apart
	}
	return now-s.last >= s.apart
}
