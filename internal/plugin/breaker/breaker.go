// Package breaker implements the circuit breaker that quarantines a failing
// plug-in. It does no I/O, reads no clock and starts no goroutine; the caller
// passes the current time as the duration since an origin of its choice.
//
// While the breaker is closed, every call goes to the plug-in. It opens when
// MaxFailures of the last WindowCalls calls have failed, or MaxConsecutive calls
// in a row. While it is open, calls skip the plug-in: for MinOpenTime at first,
// and for twice as long each time it opens again, up to MaxOpenTime. It then
// becomes half open: one probe call at a time goes to the plug-in. The breaker
// closes after ProbeSuccesses successful probes in a row and opens again after a
// failed one. A call that succeeds ResetAfter or more after the breaker closed
// resets the open time to MinOpenTime.
package breaker

import (
	"math/bits"
	"time"
)

// Config holds the thresholds and durations of a breaker.
type Config struct {
	WindowCalls    int           // number of recent calls taken into account, 1 to 64
	MaxFailures    int           // failures among them that open the breaker
	MaxConsecutive int           // consecutive failures that open the breaker
	ProbeSuccesses int           // consecutive successful probes that close the breaker
	MinOpenTime    time.Duration // first open time
	MaxOpenTime    time.Duration // limit of the doubling open time
	ResetAfter     time.Duration // time since closing after which a success resets the open time
}

// DefaultConfig is the configuration used for plug-ins.
var DefaultConfig = Config{
	WindowCalls: 50, MaxFailures: 10, MaxConsecutive: 3, ProbeSuccesses: 5, MinOpenTime: 5 * time.Second, MaxOpenTime: 5 * time.Minute, ResetAfter: 10 * time.Minute,
}

// State is the state of a breaker.
type State int

// The states.
const (
	Closed State = iota
	Open
	HalfOpen
)

// String returns "closed", "open" or "half open".
func (s State) String() string { return [...]string{"closed", "open", "half open"}[s] }

// Breaker is the circuit breaker of one plug-in.
type Breaker struct {
	cfg                 Config
	state               State
	failureBits         uint64        // results of the last calls, one bit each, set for a failure
	consecutiveFailures int           // consecutive failures
	probeSuccesses      int           // consecutive successful probes
	probing             bool          // a probe is running
	epoch               uint64        // incremented on a state change; results of earlier epochs are ignored
	openTime            time.Duration // next open time
	openUntil           time.Duration // when the breaker becomes half open
	closedAt            time.Duration // when it last closed
}

// New returns a closed breaker.
func New(cfg Config) *Breaker {
	cfg.WindowCalls = min(max(cfg.WindowCalls, 1), 64)
	return &Breaker{cfg: cfg, openTime: cfg.MinOpenTime}
}

// State returns the state at the given time.
func (b *Breaker) State(now time.Duration) State {
	if b.state == Open && now >= b.openUntil {
		return HalfOpen
	}
	return b.state
}

// OpenUntil returns when an open breaker allows the first probe.
func (b *Breaker) OpenUntil() time.Duration { return b.openUntil }

// Ticket identifies an allowed call. It is passed back with the result of the call.
type Ticket struct {
	epoch uint64
	probe bool
}

// Allow reports whether a call may go to the plug-in. Each allowed call must be
// ended with Record, or with Release if it was not made.
func (b *Breaker) Allow(now time.Duration) (Ticket, bool) {
	if b.state == Open && now >= b.openUntil {
		b.state, b.probeSuccesses, b.probing = HalfOpen, 0, false
		b.epoch++
	}
	switch {
	case b.state == Open, b.state == HalfOpen && b.probing:
		return Ticket{}, false
	case b.state == HalfOpen:
		b.probing = true
		return Ticket{b.epoch, true}, true
	}
	return Ticket{epoch: b.epoch}, true
}

// Record records the result of a call. It returns true if the state has changed.
func (b *Breaker) Record(now time.Duration, t Ticket, ok bool) (changed bool) {
	if t.epoch != b.epoch {
		return false
	}
	if t.probe {
		b.probing = false
		if !ok {
			b.open(now)
			return true
		}
		if b.probeSuccesses++; b.probeSuccesses >= b.cfg.ProbeSuccesses {
			b.state, b.failureBits, b.consecutiveFailures, b.closedAt = Closed, 0, 0, now
			b.epoch++
			return true
		}
		return false
	}
	b.failureBits = b.failureBits << 1 & (1<<b.cfg.WindowCalls - 1)
	b.consecutiveFailures++
	if ok {
		b.consecutiveFailures = 0
		if now-b.closedAt >= b.cfg.ResetAfter {
			b.openTime = b.cfg.MinOpenTime
		}
	} else {
		b.failureBits |= 1
	}
	if b.consecutiveFailures >= b.cfg.MaxConsecutive || bits.OnesCount64(b.failureBits) >= b.cfg.MaxFailures {
		b.open(now)
		return true
	}
	return false
}

// Release returns the ticket of an allowed call that was not made.
func (b *Breaker) Release(t Ticket) {
	if t.probe && t.epoch == b.epoch {
		b.probing = false
	}
}

func (b *Breaker) open(now time.Duration) {
	b.state, b.openUntil = Open, now+b.openTime
	b.openTime = min(2*b.openTime, b.cfg.MaxOpenTime)
	b.failureBits, b.consecutiveFailures = 0, 0
	b.epoch++
}
