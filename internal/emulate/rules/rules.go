// Package rules checks what couriers do against the rules that hold everywhere. It
// hears what happens, one thing after another, and keeps books of its own: it
// shares no code with the decision module or what hosts it.
//
// Couriers, destinations, endpoints, messages and keys are numbers. Times are
// those of the run.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Rule names one.
type Rule string

// The rules.
const (
	SingleResult  Rule = "one end"     // one final answer each, in time
	SingleAttempt Rule = "one out"     // never two attempts out
	SafeRetry     Rule = "repeat"      // what may have run goes again only as its class allows
	MaxAttempts   Rule = "attempts"    // so many at most
	DrainGrace    Rule = "drain"       // nothing new to an endpoint after its grace
	KeyOrder      Rule = "order"       // one of a key at a time, in order, after its rest
	RetryAfter    Rule = "wait"        // told waits heeded
	ColdCollapse  Rule = "cold"        // a cold partner is not pushed over
	RampCollapse  Rule = "cold ramp"   // nor by those that were told of its outage, beyond chance (Ramp)
	WrongEndpoint Rule = "wrong place" // only endpoints that its list has named, of its destination
)

// Class is what a class of messages allows.
type Class struct {
	Safe    bool          // may be repeated freely
	Window  time.Duration // may be repeated for so long after it may have run; 0: never
	InOrder bool
}

// Config are the figures of the rules.
type Config struct {
	Classes      []Class
	Attempts     int
	DrainGrace   time.Duration // after hearing of a drain
	OrderSettle  time.Duration // of a key, after an attempt that may still run
	ResultSlack  time.Duration // by which an end may be late
	RestartGrace time.Duration // after a restart, in which no end is overdue
}

// Violation is one broken rule.
type Violation struct {
	At   time.Duration
	Rule Rule
	Text string
}

// Checker hears of a run.
type Checker struct {
	cfg                Config
	messages           map[int32]*message
	keys               map[courierKey]*key
	finishedSinceSweep int                           // ends since keys were last looked through
	drainingSince      map[courierPair]time.Duration // courier and endpoint: when it heard
	listed             map[courierPair]int32         // courier and endpoint: destination
	retryAfterUntil    map[courierPair]time.Duration // courier and destination: until then
	resultsDueFrom     map[int32]time.Duration       // courier: its ends are not overdue before
	Counts             map[Rule]int
	First              []Violation // the first few
}

type courierPair struct{ courier, other int32 }

// courierKey is a key at a courier: those of one key go in the order of their taking by
// that one.
type courierKey struct {
	courier int32
	key     uint64
}

func (m *message) courierKey() courierKey { return courierKey{m.courier, m.key} }

type message struct {
	courier, dest        int32
	class                int
	key                  uint64
	deadline             time.Duration
	attempts             int
	inFlight             bool
	mayHaveRun           bool
	mayHaveRunAt, sentAt time.Duration
	finished             bool
}

type key struct {
	pending   []int32 // of the messages that are not over
	settledAt time.Duration
}

const maxRecorded = 20

// New returns a checker that has heard nothing.
func New(cfg Config) *Checker {
	return &Checker{
		cfg: cfg, messages: map[int32]*message{}, keys: map[courierKey]*key{}, drainingSince: map[courierPair]time.Duration{},
		listed: map[courierPair]int32{}, retryAfterUntil: map[courierPair]time.Duration{}, resultsDueFrom: map[int32]time.Duration{}, Counts: map[Rule]int{},
	}
}

func (c *Checker) report(now time.Duration, r Rule, format string, args ...any) {
	c.Counts[r]++
	if len(c.First) < maxRecorded {
		c.First = append(c.First, Violation{now, r, fmt.Sprintf(format, args...)})
	}
}

// Listed tells that a courier has heard of an endpoint: ready, or leaving.
func (c *Checker) Listed(now time.Duration, courier, endpoint, dest int32, ready bool) {
	p := courierPair{courier, endpoint}
	c.listed[p] = dest
	if ready {
		delete(c.drainingSince, p)
	} else if _, ok := c.drainingSince[p]; !ok {
		c.drainingSince[p] = now
	}
}

// Accepted tells that a courier has taken a message on: from now on it owes its end.
func (c *Checker) Accepted(now time.Duration, courier, id, dest int32, class int, k uint64, deadline time.Duration) {
	if old := c.messages[id]; old != nil && !old.finished {
		c.report(now, SingleResult, "message %d is taken on twice", id)
	}
	m := &message{courier: courier, dest: dest, class: class, deadline: deadline}
	if c.cfg.Classes[class].InOrder {
		m.key = k
	}
	c.messages[id] = m
	if m.key != 0 {
		x := c.keys[m.courierKey()]
		if x == nil {
			x = &key{}
			c.keys[m.courierKey()] = x
		}
		x.pending = append(x.pending, id)
	}
}

// Sent tells that an attempt has left.
func (c *Checker) Sent(now time.Duration, courier, id, endpoint int32) {
	m := c.messages[id]
	if m == nil || m.finished {
		c.report(now, SingleResult, "message %d is sent and not held", id)
		return
	}
	p := courierPair{courier, endpoint}
	if d, ok := c.listed[p]; !ok || d != m.dest {
		c.report(now, WrongEndpoint, "message %d for %d goes to endpoint %d of %d", id, m.dest, endpoint, d)
	}
	if at, ok := c.drainingSince[p]; ok && now > at+c.cfg.DrainGrace {
		c.report(now, DrainGrace, "endpoint %d is sent message %d %v after courier %d heard that it leaves", endpoint, id, now-at, courier)
	}
	if until, ok := c.retryAfterUntil[courierPair{courier, m.dest}]; ok && now < until {
		c.report(now, RetryAfter, "destination %d is sent message %d by courier %d, told to wait %v longer", m.dest, id, courier, until-now)
	}
	if m.inFlight {
		c.report(now, SingleAttempt, "message %d has two attempts out", id)
	}
	if m.attempts++; c.cfg.Attempts > 0 && m.attempts > c.cfg.Attempts {
		c.report(now, MaxAttempts, "message %d has its attempt %d", id, m.attempts)
	}
	if x := c.cfg.Classes[m.class]; m.mayHaveRun && !x.Safe && (x.Window == 0 || now > m.mayHaveRunAt+x.Window) {
		c.report(now, SafeRetry, "message %d goes again %v after it may have run", id, now-m.mayHaveRunAt)
	}
	if m.key != 0 {
		k := c.keys[m.courierKey()]
		if k.pending[0] != id {
			c.report(now, KeyOrder, "message %d goes before %d of its key", id, k.pending[0])
		}
		if now < k.settledAt && m.attempts == 1 {
			c.report(now, KeyOrder, "message %d goes %v before its key has rested", id, k.settledAt-now)
		}
	}
	m.inFlight, m.sentAt = true, now
}

// AttemptEnded tells that a courier has heard how an attempt ended: whether it may have
// run, whether it may run still, and what wait it was told.
func (c *Checker) AttemptEnded(now time.Duration, courier, id int32, ran, unsure bool, wait time.Duration) {
	m := c.messages[id]
	if m == nil {
		return
	}
	m.inFlight = false
	if ran && !m.mayHaveRun {
		m.mayHaveRun, m.mayHaveRunAt = true, m.sentAt
	}
	if unsure && m.key != 0 && !m.finished {
		c.keys[m.courierKey()].settledAt = now + c.cfg.OrderSettle
	}
	if wait > 0 {
		// What leaves in the very turn in which the answer is heard is judged by it.
		p := courierPair{courier, m.dest}
		c.retryAfterUntil[p] = max(c.retryAfterUntil[p], now+wait)
	}
	c.forget(id, m)
}

// Finished tells a message's final answer.
func (c *Checker) Finished(now time.Duration, id int32) {
	m := c.messages[id]
	switch {
	case m == nil || m.finished:
		c.report(now, SingleResult, "message %d ends again", id)
		return
	case now > max(m.deadline+c.cfg.ResultSlack, c.resultsDueFrom[m.courier]):
		c.report(now, SingleResult, "message %d ends %v late", id, now-m.deadline)
	}
	m.finished = true
	c.dropIdleKeys(now)
	if m.key != 0 {
		k := c.keys[m.courierKey()]
		for i, x := range k.pending {
			if x == id {
				k.pending = append(k.pending[:i], k.pending[i+1:]...)
				break
			}
		}
	}
	c.forget(id, m)
}

func (c *Checker) forget(id int32, m *message) {
	if m.finished && !m.inFlight {
		delete(c.messages, id)
	}
}

// dropIdleKeys drops keys that have nothing open and are rested.
func (c *Checker) dropIdleKeys(now time.Duration) {
	if c.finishedSinceSweep++; c.finishedSinceSweep < 4096 {
		return
	}
	c.finishedSinceSweep = 0
	for t, k := range c.keys {
		if len(k.pending) == 0 && now >= k.settledAt {
			delete(c.keys, t)
		}
	}
}

// Crashed tells that a courier is gone: what it had out is out no more, and may have
// run; its waits end, and what it was told it has to hear anew.
func (c *Checker) Crashed(now time.Duration, courier int32) {
	for _, m := range c.messages {
		if m.courier == courier && m.inFlight {
			m.inFlight = false
			if !m.mayHaveRun {
				m.mayHaveRun, m.mayHaveRunAt = true, m.sentAt
			}
		}
	}
	for p := range c.retryAfterUntil {
		if p.courier == courier {
			delete(c.retryAfterUntil, p)
		}
	}
	for p := range c.listed {
		if p.courier == courier {
			delete(c.listed, p)
			delete(c.drainingSince, p)
		}
	}
}

// Restarted tells that a courier is there again.
func (c *Checker) Restarted(now time.Duration, courier int32) {
	c.resultsDueFrom[courier] = now + c.cfg.RestartGrace
}

// Collapsed tells that a cold destination has been pushed over.
func (c *Checker) Collapsed(now time.Duration, dest int32) {
	c.report(now, ColdCollapse, "destination %d is pushed over while cold", dest)
}

// CollapsedInRamp tells that those who were told of a destination's outage have pushed it over.
func (c *Checker) CollapsedInRamp(now time.Duration, dest int32) {
	c.report(now, RampCollapse, "destination %d is pushed over by couriers that were told of its outage", dest)
}

// RunEnded tells that the run is over at a time: what is held still has no end.
func (c *Checker) RunEnded(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.messages)) {
		m := c.messages[id]
		if !m.finished && now > max(m.deadline+c.cfg.ResultSlack, c.resultsDueFrom[m.courier]) {
			c.report(now, SingleResult, "message %d has no end", id)
		}
	}
}
