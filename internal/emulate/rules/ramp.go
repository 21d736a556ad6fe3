package rules

import (
	"math"
	"time"
)

// RampCounter counts the calls to destinations that recover from an outage, from all couriers, and
// finds those that collapse: a destination collapses when it gets more than
// N + 2*sqrt(N) + 2 calls within the collapse time (STANDING.md), where N is the number of
// calls that the settings allow then. The first collapse violates the rule if over two thirds
// of the calls came from informed couriers: those of which a call had failed or been refused
// there during the outage or the recovery.
type RampCounter struct {
	collapseTime time.Duration
	dests        map[int32]*rampState
}

// rampState is the state of one destination.
type rampState struct {
	calls     []rampCall // within the collapse time, oldest first
	informed  map[int32]bool
	collapsed bool
	peak      float64
}

type rampCall struct {
	at       time.Duration
	informed bool
}

const (
	slackRoots    = 2.0       // multiple of the square root of N allowed for random variation
	slackCalls    = 2.0       // calls allowed in addition
	informedShare = 2.0 / 3.0 // share of the calls above which the informed couriers count as the cause
)

// NewRampCounter returns a counter with a sliding window of the given length.
func NewRampCounter(collapseTime time.Duration) *RampCounter {
	return &RampCounter{collapseTime: collapseTime, dests: map[int32]*rampState{}}
}

// Bound returns the maximum number of calls within the collapse time that a recovering
// destination handles, where the settings allow n.
func Bound(n float64) float64 { return n + slackRoots*math.Sqrt(n) + slackCalls }

// state returns the state of a destination, created if necessary.
func (r *RampCounter) state(dest int32) *rampState {
	x := r.dests[dest]
	if x == nil {
		x = &rampState{informed: map[int32]bool{}}
		r.dests[dest] = x
	}
	return x
}

// Failed records that a call or a probe of a courier has failed or been refused at a
// destination during an outage or the recovery: the courier is informed of the outage.
func (r *RampCounter) Failed(courier, dest int32) { r.state(dest).informed[courier] = true }

// CourierReset records that a courier has restarted without state: it is informed of no outage.
func (r *RampCounter) CourierReset(courier int32) {
	for _, x := range r.dests {
		delete(x.informed, courier)
	}
}

// Reset clears the state of a destination that has recovered fully or at which an outage
// begins: earlier calls and failures no longer count.
func (r *RampCounter) Reset(dest int32) {
	if x := r.dests[dest]; x != nil {
		x.calls, x.collapsed = nil, false
		clear(x.informed)
	}
}

// Call counts a call that reaches a recovering destination, where the settings allow n within
// the collapse time. It reports whether the destination collapses, and whether that violates
// the rule. After a collapse no call counts until Reset.
func (r *RampCounter) Call(now time.Duration, courier, dest int32, n float64) (collapses, violates bool) {
	x := r.state(dest)
	if x.collapsed {
		return false, false
	}
	x.calls = append(x.calls, rampCall{now, x.informed[courier]})
	for now-x.calls[0].at > r.collapseTime {
		x.calls = x.calls[1:]
	}
	x.peak = math.Max(x.peak, float64(len(x.calls))/Bound(n))
	if float64(len(x.calls)) <= Bound(n) {
		return false, false
	}
	informed := 0
	for _, c := range x.calls {
		if c.informed {
			informed++
		}
	}
	x.collapsed = true
	return true, float64(informed) > informedShare*float64(len(x.calls))
}

// Peak returns the maximum number of calls that any recovering destination got within the
// collapse time, as a multiple of Bound.
func (r *RampCounter) Peak() (peak float64) {
	for _, x := range r.dests {
		peak = math.Max(peak, x.peak)
	}
	return peak
}
