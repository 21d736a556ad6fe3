// Package confidence tracks the confidence in endpoints while the directory does not confirm them:
// after a start from a list that was stored on disk, and while the directory does not answer. It
// does no I/O, reads no clock and starts no goroutine: times are passed in, as the time since a
// moment of the caller's choice.
//
// While the directory answers, only its list counts: every listed endpoint is at level told.
// Otherwise the confidence in an endpoint starts from the age of the last confirmation, and the
// results of calls change it:
//
//	told       the directory confirms it
//	confirmed  a call to it was answered since the directory's last answer
//	probable   the last confirmation is recent
//	doubtful   the last confirmation is old, or the endpoint was unreachable
//	refuted    the endpoint is gone, while another of its destination is not
//
// As soon as the directory answers, these results are discarded: a call shows that somebody answers
// at an address, not who.
package confidence

import (
	"fmt"
	"time"

	"snowjunction"
)

// Level is the level of confidence in an endpoint.
type Level int

// The levels of confidence, see the package comment.
const (
	Listed Level = iota
	Confirmed
	Probable
	Doubtful
	Refuted
)

// String returns the name of the level.
func (s Level) String() string {
	return [...]string{"told", "confirmed", "probable", "doubtful", "refuted"}[s]
}

// Source is the origin of the endpoint list.
type Source int

// The sources.
const (
	NoList     Source = iota // there is no list
	Live                     // the directory has answered this process
	Cached                   // the list stored on disk
	Configured               // the list of the configuration
)

// String returns the name of the source.
func (s Source) String() string { return [...]string{"nothing", "live", "cached", "known"}[s] }

// Config holds the thresholds.
type Config struct {
	FreshFor    time.Duration // confirmations younger than this make endpoints Probable, older ones Doubtful
	SilentAfter time.Duration // a directory without an answer for this long counts as silent

	// An endpoint becomes Doubtful after RefuteFails consecutive failed connections, and Refuted if
	// they span RefuteAfter or more and another endpoint of its destination is Confirmed.
	RefuteFails int
	RefuteAfter time.Duration
}

// Default returns the thresholds that apply without an operator file.
func Default() Config {
	return Config{FreshFor: 10 * time.Minute, SilentAfter: 45 * time.Second, RefuteFails: 3, RefuteAfter: 5 * time.Second}
}

// Evidence is what a call has shown about an endpoint.
type Evidence int

// The kinds of evidence.
const (
	NoEvidence    Evidence = iota
	Answered               // it accepted a call, or rejected one as the protocol specifies
	Unreachable            // no connection could be set up
	OtherEndpoint          // it answered that it is not the endpoint that was called
)

// EvidenceOf returns what an outcome shows. Errors show nothing, because a process that reuses the
// address of a removed endpoint may return them as well; neither do timeouts and broken
// connections, which may be caused by the network, nor calls that were not sent.
func EvidenceOf(o snowjunction.Outcome) Evidence {
	switch o {
	case snowjunction.OK, snowjunction.Rejected:
		return Answered
	case snowjunction.ConnectFailed:
		return Unreachable
	}
	return NoEvidence
}

// endpointState is the state of one endpoint, as calls have shown it.
type endpointState struct {
	dest     snowjunction.DestinationID
	standing Level
	reason   string
	since    time.Duration
	fails    int // consecutive failed connections
	failedAt time.Duration
	retained bool // omitted by a list that is not trusted: that list alone leaves it at most Doubtful
}

// Tracker tracks the confidence in the endpoints of one front.
type Tracker struct {
	cfg         Config
	source      Source
	confirmedAt time.Duration // when the directory last confirmed the list
	since       time.Duration // when source became current
	live        bool
	stale       bool // the confirmation is too old for the level probable
	states      map[string]*endpointState
	confirmed   map[snowjunction.DestinationID]int
}

// New returns a tracker without a list.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, states: map[string]*endpointState{}, confirmed: map[snowjunction.DestinationID]int{}}
}

// Start sets the list at the start of the process, which the directory confirmed age ago. A
// negative age, as after a clock was set back, counts as old.
func (b *Tracker) Start(s Source, age, now time.Duration) {
	b.source, b.since, b.live = s, now, false
	b.confirmedAt = now - age
	b.stale = age < 0 || age >= b.cfg.FreshFor
	if age < 0 {
		b.confirmedAt = now - b.cfg.FreshFor
	}
}

// DirectoryConfirmed records that the directory has confirmed the list. It returns true if this changes the
// confidence: all endpoints are at level told from now on, except those that are retained although
// the list omits them.
func (b *Tracker) DirectoryConfirmed(now time.Duration) (changed bool) {
	changed = !b.live
	b.confirmedAt = now
	if !changed {
		return false
	}
	b.source, b.since, b.live, b.stale = Live, now, true, false
	for name, m := range b.states {
		if !m.retained {
			delete(b.states, name)
		} else {
			m.standing, m.fails = Doubtful, 0
		}
	}
	clear(b.confirmed)
	return true
}

// Change is a change of confidence in all endpoints at once.
type Change int

// The changes that the passage of time causes.
const (
	Unchanged Change = iota
	Silent
	Aged
)

// Advance returns what has changed through the passage of time alone, and how long to wait before the
// next call. A wait of zero means that only new information can change something.
func (b *Tracker) Advance(now time.Duration) (c Change, wait time.Duration) {
	if b.source == NoList {
		return Unchanged, 0
	}
	if b.live {
		if left := b.confirmedAt + b.cfg.SilentAfter - now; left > 0 {
			return Unchanged, left
		}
		b.live, b.since, c = false, now, Silent
	}
	if b.stale {
		return c, 0
	}
	left := b.confirmedAt + b.cfg.FreshFor - now
	if left > 0 {
		return c, left
	}
	b.stale = true
	return Aged, 0
}

// DirectoryChanged records that another directory agent is used from now on. Until it has answered, the list
// is not confirmed.
func (b *Tracker) DirectoryChanged(now time.Duration) (changed bool) {
	changed = b.live
	b.live = false
	if changed {
		b.since = now
	}
	return changed
}

// Live reports whether the directory currently confirms the list.
func (b *Tracker) Live() bool { return b.live }

// Source returns the origin of the list.
func (b *Tracker) Source() Source { return b.source }

// ConfirmedAt returns when the directory last confirmed the list.
func (b *Tracker) ConfirmedAt() time.Duration { return b.confirmedAt }

// Level returns the confidence in a listed endpoint.
func (b *Tracker) Level(name string) Level {
	if m := b.states[name]; m != nil {
		return m.standing
	}
	return b.defaultLevel()
}

// defaultLevel returns the confidence in an endpoint without results of calls.
func (b *Tracker) defaultLevel() Level {
	switch {
	case b.live:
		return Listed
	case b.stale:
		return Doubtful
	}
	return Probable
}

// RecordCall records what a call has shown about an endpoint. It returns the confidence before and
// after, with the reason of a change.
func (b *Tracker) RecordCall(dest snowjunction.DestinationID, name string, e Evidence, now time.Duration) (was, is Level, why string) {
	m := b.states[name]
	if e == NoEvidence || b.live && m == nil {
		return b.Level(name), b.Level(name), ""
	}
	if m == nil {
		m = &endpointState{dest: dest, standing: b.defaultLevel(), since: now}
		b.states[name] = m
	}
	was = m.standing
	switch {
	case was == Refuted: // from a call sent earlier: only the directory's answer ends this state
	case e == OtherEndpoint:
		b.setLevel(m, Refuted, "it answered that it is another endpoint", now)
	case e == Answered:
		m.fails = 0
		b.setLevel(m, Confirmed, "it answered a call", now)
	case e == Unreachable:
		if m.fails++; m.fails == 1 {
			m.failedAt = now
		}
		switch down := now - m.failedAt; {
		case was == Confirmed: // it answered recently: an outage, which the circuit breaker handles
		case m.fails >= b.cfg.RefuteFails && down >= b.cfg.RefuteAfter && b.confirmed[m.dest] > 0:
			b.setLevel(m, Refuted, fmt.Sprintf("%d consecutive connections failed over %v while another endpoint of the destination serves", m.fails, down.Round(time.Millisecond)), now)
		case was == Probable && m.fails >= b.cfg.RefuteFails:
			b.setLevel(m, Doubtful, "it is unreachable", now)
		}
	}
	if m.standing == was {
		return was, was, ""
	}
	return was, m.standing, m.reason
}

func (b *Tracker) setLevel(m *endpointState, to Level, why string, now time.Duration) {
	if m.standing == to {
		return
	}
	if m.standing == Confirmed {
		b.confirmed[m.dest]--
	}
	if to == Confirmed {
		b.confirmed[m.dest]++
	}
	m.standing, m.reason, m.since = to, why, now
}

// Retain retains an endpoint that a list omits: it is Doubtful, even while the directory answers,
// until a call confirms it or it is removed.
func (b *Tracker) Retain(dest snowjunction.DestinationID, name, why string, now time.Duration) {
	m := b.states[name]
	if m == nil {
		m = &endpointState{dest: dest, standing: b.defaultLevel(), since: now}
		b.states[name] = m
	}
	m.retained = true
	if m.standing < Doubtful {
		b.setLevel(m, Doubtful, why, now)
	}
}

// Remove removes the state of an endpoint, because the directory lists it again or it is gone.
func (b *Tracker) Remove(name string) {
	if m := b.states[name]; m != nil {
		if m.standing == Confirmed {
			b.confirmed[m.dest]--
		}
		delete(b.states, name)
	}
}

// Explanation explains the confidence in one endpoint.
type Explanation struct {
	Level       Level
	Source      Source
	Since       time.Duration // when it reached this level
	ConfirmedAt time.Duration // when the directory last confirmed the list
	Reason      string
}

// Explain returns the confidence in an endpoint and its reason.
func (b *Tracker) Explain(name string) Explanation {
	a := Explanation{Level: b.Level(name), Source: b.source, Since: b.since, ConfirmedAt: b.confirmedAt}
	if m := b.states[name]; m != nil && m.reason != "" {
		a.Since, a.Reason = m.since, m.reason
		return a
	}
	switch {
	case b.live:
		a.Reason = "the directory lists it"
	case b.stale:
		a.Reason = "the list is old"
	default:
		a.Reason = "the list is young"
	}
	return a
}
