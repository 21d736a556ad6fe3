// Package breaker decides when a plug-in is in quarantine: a circuit breaker. It
// does no I/O, reads no clock and starts no goroutine; times are handed in, as
// the time since a moment of the caller's choice.
//
// Closed, every call goes to the plug-in. Once Failures of the last Window calls
// have failed, or Row in a row, it opens: calls pass the plug-in by, for Rest at
// first and twice as long each time it opens again, up to RestMost. Then it is
// half open: one call at a time goes to the plug-in, as a trial, and after Trials
// good ones in a row the breaker closes; a bad one opens it anew. A plug-in that
// has kept well for Forgive begins at Rest again.
package breaker

import (
	"math/bits"
	"time"
)

// Config are the breaker's bounds.
type Config struct {
	Window   int // calls that are looked back on, 1 to 64
	Failures int // of these, that open it
	Row      int // failures in a row that open it
	Trials   int // good calls in a row that close it
	Rest     time.Duration
	RestMost time.Duration
	Forgive  time.Duration
}

// Default are the bounds of plug-ins.
var Default = Config{
	Window: 50, Failures: 10, Row: 3, Trials: 5, Rest: 5 * time.Second, RestMost: 5 * time.Minute, Forgive: 10 * time.Minute,
}

// State is a breaker's state.
type State int

// The states.
const (
	Closed State = iota
	Open
	HalfOpen
)

func (s State) String() string { return [...]string{"closed", "open", "half open"}[s] }

// Breaker is one plug-in's.
type Breaker struct {
	cfg    Config
	state  State
	past   uint64 // the last calls, a bit each: set where it failed
	row    int    // failures in a row
	good   int    // trials in a row
	trying bool
	epoch  uint64 // calls of an earlier one say nothing any more
	rest   time.Duration
	until  time.Duration
	closed time.Duration // when it closed last
}

// New returns a closed breaker.
func New(cfg Config) *Breaker {
	cfg.Window = min(max(cfg.Window, 1), 64)
	return &Breaker{cfg: cfg, rest: cfg.Rest}
}

// State is the state at a time.
func (b *Breaker) State(now time.Duration) State {
	if b.state == Open && now >= b.until {
		return HalfOpen
	}
	return b.state
}

// Until is when a breaker that is open lets a trial through.
func (b *Breaker) Until() time.Duration { return b.until }

// Ticket is a call's, to be handed back with its outcome.
type Ticket struct {
	epoch uint64
	trial bool
}

// Allow tells whether a call may go to the plug-in. Each call that may must be
// handed back with Done.
func (b *Breaker) Allow(now time.Duration) (Ticket, bool) {
	if b.state == Open && now >= b.until {
		b.state, b.good, b.trying = HalfOpen, 0, false
		b.epoch++
	}
	switch {
	case b.state == Open, b.state == HalfOpen && b.trying:
		return Ticket{}, false
	case b.state == HalfOpen:
		b.trying = true
		return Ticket{b.epoch, true}, true
	}
	return Ticket{epoch: b.epoch}, true
}

// Done tells how a call went. It returns true where that has changed the state.
func (b *Breaker) Done(now time.Duration, t Ticket, ok bool) (changed bool) {
	if t.epoch != b.epoch {
		return false
	}
	if t.trial {
		b.trying = false
		if !ok {
			b.open(now)
			return true
		}
		if b.good++; b.good >= b.cfg.Trials {
			b.state, b.past, b.row, b.closed = Closed, 0, 0, now
			b.epoch++
			return true
		}
		return false
	}
	b.past = b.past << 1 & (1<<b.cfg.Window - 1)
	b.row++
	if ok {
		b.row = 0
		if now-b.closed >= b.cfg.Forgive {
			b.rest = b.cfg.Rest
		}
	} else {
		b.past |= 1
	}
	if b.row >= b.cfg.Row || bits.OnesCount64(b.past) >= b.cfg.Failures {
		b.open(now)
		return true
	}
	return false
}

// Undo hands back the ticket of a call that did not go to the plug-in after all.
func (b *Breaker) Undo(t Ticket) {
	if t.trial && t.epoch == b.epoch {
		b.trying = false
	}
}

func (b *Breaker) open(now time.Duration) {
	b.state, b.until = Open, now+b.rest
	b.rest = min(2*b.rest, b.cfg.RestMost)
	b.past, b.row = 0, 0
	b.epoch++
}
