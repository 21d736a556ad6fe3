// Package plausibility checks the plausibility of a directory's lists by defined conditions, each with
// an entry and an exit threshold apart from each other (hysteresis). It does no I/O, reads no clock
// and starts no goroutine: times are passed in, as the time since a moment of the caller's choice.
//
//	collapsed  a full list omits more than a share of the endpoints that were Ready.
//	           Left when a list omits less than a smaller share of them, when several
//	           lists in a row are identical over some time, or after a maximum time.
//	flapping   lists alternate between two answers several times within a window.
//	           Left after a time without such a change.
//	ambiguous  a list cannot be used: it names something twice, or one address for
//	           several endpoints. Left with the first list that can be used.
//
// Endpoints that a list names as draining or gone are always taken as listed: conditions only
// decide about endpoints that a list omits or adds.
package plausibility

import (
	"fmt"
	"time"
)

// Config holds the thresholds.
type Config struct {
	RetainOmitted bool // retain the endpoints that a collapsed list omits, with reduced confidence; otherwise the list is accepted as it is

	MinEndpoints  int           // minimum number of Ready endpoints for a loss to count
	MaxLoss       float64       // a collapse begins when a larger share of the Ready endpoints is omitted
	RecoveredLoss float64       // and ends when a smaller share than this is omitted,
	Agree         int           // after this many identical lists in a row,
	AgreeFor      time.Duration // if they span at least this time,
	MaxCollapsed  time.Duration // or after this time
	Recheck       time.Duration // interval between requests for the full list during a collapse

	FlapTurns  int           // flapping begins after this many changes back to the list before the previous one
	FlapWithin time.Duration // within this time
	FlapQuiet  time.Duration // and ends after this time without such a change
}

// Default returns the thresholds that apply without an operator file.
func Default() Config {
	return Config{
		MinEndpoints: 4, MaxLoss: 0.5, RecoveredLoss: 0.25, Agree: 3, AgreeFor: 10 * time.Second, MaxCollapsed: 10 * time.Minute,
		Recheck: 2 * time.Second, FlapTurns: 3, FlapWithin: time.Minute, FlapQuiet: 30 * time.Second,
	}
}

// Condition is a state of doubt about a directory's lists.
type Condition int

// The conditions, see the package comment.
const (
	Collapsed Condition = iota
	Flapping
	Ambiguous
	conditionCount
)

// String returns the name of the condition.
func (c Condition) String() string { return [...]string{"collapsed", "flapping", "ambiguous"}[c] }

// Transition is the entry into or exit from a condition.
type Transition struct {
	Condition Condition
	Entered   bool
	Reason    string
}

// Comparison compares a full list with the one in use.
type Comparison struct {
	InUse   int // Ready endpoints in use
	Omitted int // of these, endpoints that the list does not name
	Listed  int // Ready endpoints in the list
	Sum     uint64
}

// Checker tracks the lists of one directory.
type Checker struct {
	cfg       Config
	active    [conditionCount]bool
	enteredAt [conditionCount]time.Duration // when the condition was entered

	lastSum        uint64 // of the previous list
	previousSum    uint64 // of the list before that
	listCount      int
	identical      int // consecutive identical lists while Collapsed
	identicalSince time.Duration
	reversals      []time.Duration // when a list was the same as the one before the previous
}

// New returns a checker that has seen no list.
func New(cfg Config) *Checker { return &Checker{cfg: cfg} }

// Holds reports whether a condition holds.
func (j *Checker) Holds(c Condition) bool { return j.active[c] }

// Since returns when a condition that holds was entered.
func (j *Checker) Since(c Condition) time.Duration { return j.enteredAt[c] }

// RetainsOmitted reports whether endpoints that the last list omits are retained.
func (j *Checker) RetainsOmitted() bool { return j.cfg.RetainOmitted && j.active[Collapsed] }

// RecheckDelay returns the delay until the full list is requested again. Zero means that this is not
// needed.
func (j *Checker) RecheckDelay() time.Duration {
	if j.active[Collapsed] && j.cfg.RetainOmitted {
		return j.cfg.Recheck
	}
	return 0
}

// Next returns when the passage of time may change a condition. Zero means that only a new list
// can.
func (j *Checker) Next() (at time.Duration) {
	soonest := func(t time.Duration) {
		if at == 0 || t < at {
			at = t
		}
	}
	if j.active[Collapsed] {
		soonest(j.enteredAt[Collapsed] + j.cfg.MaxCollapsed)
	}
	if j.active[Flapping] {
		soonest(j.lastReversal() + j.cfg.FlapQuiet)
	}
	return at
}

func (j *Checker) lastReversal() time.Duration {
	if n := len(j.reversals); n > 0 {
		return j.reversals[n-1]
	}
	return j.enteredAt[Flapping]
}

func (j *Checker) enter(transitions []Transition, c Condition, now time.Duration, why string, args ...any) []Transition {
	if j.active[c] {
		return transitions
	}
	j.active[c], j.enteredAt[c] = true, now
	return append(transitions, Transition{c, true, fmt.Sprintf(why, args...)})
}

func (j *Checker) leave(transitions []Transition, c Condition, why string, args ...any) []Transition {
	if !j.active[c] {
		return transitions
	}
	j.active[c] = false
	return append(transitions, Transition{c, false, fmt.Sprintf(why, args...)})
}

// CheckList checks a usable full list and returns the conditions that it enters or leaves.
func (j *Checker) CheckList(now time.Duration, v Comparison) (transitions []Transition) {
	transitions = j.leave(transitions, Ambiguous, "a usable list arrived")
	transitions = append(transitions, j.countReversal(now, v)...)
	lost := 0.0
	if v.InUse > 0 {
		lost = float64(v.Omitted) / float64(v.InUse)
	}
	switch {
	case !j.active[Collapsed]:
		if v.InUse >= j.cfg.MinEndpoints && lost > j.cfg.MaxLoss {
			j.identical, j.identicalSince = 1, now
			transitions = j.enter(transitions, Collapsed, now, "%d of %d endpoints are left out, %d are listed", v.Omitted, v.InUse, v.Listed)
		}
	case lost < j.cfg.RecoveredLoss:
		transitions = j.leave(transitions, Collapsed, "%d of %d endpoints are left out", v.Omitted, v.InUse)
	case v.Sum != j.lastSum:
		j.identical, j.identicalSince = 1, now
	default:
		if j.identical++; j.identical >= j.cfg.Agree && now-j.identicalSince >= j.cfg.AgreeFor {
			transitions = j.leave(transitions, Collapsed, "%d lists agree over %v", j.identical, (now - j.identicalSince).Round(time.Millisecond))
		}
	}
	j.lastSum, j.previousSum = v.Sum, j.lastSum
	j.listCount++
	return append(transitions, j.Advance(now)...)
}

// countReversal counts a change back to the list before the previous one.
func (j *Checker) countReversal(now time.Duration, v Comparison) (transitions []Transition) {
	if j.listCount < 2 || v.Sum != j.previousSum || v.Sum == j.lastSum {
		return nil
	}
	j.reversals = append(j.reversals, now)
	for len(j.reversals) > 0 && (now-j.reversals[0] > j.cfg.FlapWithin || len(j.reversals) > 4*j.cfg.FlapTurns) {
		j.reversals = j.reversals[1:]
	}
	if len(j.reversals) >= j.cfg.FlapTurns {
		transitions = j.enter(transitions, Flapping, now, "%d turns between two answers within %v", len(j.reversals), j.cfg.FlapWithin)
	}
	return transitions
}

// RecordUnusable records a list that cannot be used.
func (j *Checker) RecordUnusable(now time.Duration, why error) []Transition {
	return j.enter(nil, Ambiguous, now, "%v", why)
}

// Advance returns what has changed through the passage of time alone.
func (j *Checker) Advance(now time.Duration) (transitions []Transition) {
	if j.active[Collapsed] && now-j.enteredAt[Collapsed] >= j.cfg.MaxCollapsed {
		transitions = j.leave(transitions, Collapsed, "it has lasted %v: the directory's list is accepted", j.cfg.MaxCollapsed)
	}
	if j.active[Flapping] && now-j.lastReversal() >= j.cfg.FlapQuiet {
		transitions = j.leave(transitions, Flapping, "no turn for %v", j.cfg.FlapQuiet)
	}
	return transitions
}
