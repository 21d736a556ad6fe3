// Package rules checks the behaviour of couriers against the rules that always hold.
// It is notified of each event in order and keeps its own state: it shares no code
// with the decision module or its host.
//
// Couriers, destinations, endpoints, messages and keys are identified by numbers.
// Times are virtual times of the run.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Rule is the name of a rule.
type Rule string

// The rules.
const (
	SingleResult  Rule = "one end"     // each message has one final result, in time
	SingleAttempt Rule = "one out"     // a message never has two attempts in flight
	SafeRetry     Rule = "repeat"      // retries after a possible run only as the class allows
	MaxAttempts   Rule = "attempts"    // no more attempts than configured
	DrainGrace    Rule = "drain"       // no new call to a draining endpoint after the grace period
	KeyOrder      Rule = "order"       // messages of a key go one at a time, in order
	RetryAfter    Rule = "wait"        // retry-after delays are respected
	ColdCollapse  Rule = "cold"        // a recovering partner does not collapse under overload
	RampCollapse  Rule = "cold ramp"   // nor because of informed couriers (RampCounter)
	WrongEndpoint Rule = "wrong place" // only listed endpoints of its destination are called
)

// Class describes the retries and the order that a class of messages allows.
type Class struct {
	Safe    bool          // may always be retried
	Window  time.Duration // may be retried for this time after it may have run; zero means never
	InOrder bool
}

// Config holds the parameters of the rules.
type Config struct {
	Classes      []Class
	Attempts     int
	DrainGrace   time.Duration // after the courier has received a drain notice
	OrderSettle  time.Duration // delay of a key after an attempt that may still run
	ResultSlack  time.Duration // how late a final result may be
	RestartGrace time.Duration // time after a restart during which no final result is overdue
}

// Violation is one violation of a rule.
type Violation struct {
	At   time.Duration
	Rule Rule
	Text string
}

// Checker checks the events of a run.
type Checker struct {
	cfg                Config
	messages           map[int32]*message
	keys               map[courierKey]*key
	finishedSinceSweep int                           // final results since idle keys were last dropped
	drainingSince      map[courierPair]time.Duration // by courier and endpoint: when the courier received the notice
	listed             map[courierPair]int32         // by courier and endpoint: the destination
	retryAfterUntil    map[courierPair]time.Duration // by courier and destination
	resultsDueFrom     map[int32]time.Duration       // by courier: no final result is overdue before this time
	Counts             map[Rule]int
	First              []Violation // the first maxRecorded violations
}

// courierPair is a courier and an endpoint or a destination.
type courierPair struct{ courier, other int32 }

// courierKey is a key at a courier, which sends the messages of a key in the order in which
// it accepted them.
type courierKey struct {
	courier int32
	key     uint64
}

func (m *message) courierKey() courierKey { return courierKey{m.courier, m.key} }

// message is a message without a final result or with an attempt in flight.
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

// key is the state of a key at a courier.
type key struct {
	pending   []int32 // messages without a final result, in order
	settledAt time.Duration
}

const maxRecorded = 20

// New returns a checker without events.
func New(cfg Config) *Checker {
	return &Checker{
		cfg: cfg, messages: map[int32]*message{}, keys: map[courierKey]*key{}, drainingSince: map[courierPair]time.Duration{},
		listed: map[courierPair]int32{}, retryAfterUntil: map[courierPair]time.Duration{}, resultsDueFrom: map[int32]time.Duration{}, Counts: map[Rule]int{},
	}
}

// report counts a violation and records the first ones.
func (c *Checker) report(now time.Duration, r Rule, format string, args ...any) {
	c.Counts[r]++
	if len(c.First) < maxRecorded {
		c.First = append(c.First, Violation{now, r, fmt.Sprintf(format, args...)})
	}
}

// Listed records that a courier has received an update of an endpoint: ready, or draining
// or gone.
func (c *Checker) Listed(now time.Duration, courier, endpoint, dest int32, ready bool) {
	p := courierPair{courier, endpoint}
	c.listed[p] = dest
	if ready {
		delete(c.drainingSince, p)
	} else if _, ok := c.drainingSince[p]; !ok {
		c.drainingSince[p] = now
	}
}

// Accepted records that a courier has accepted a message, which now needs a final result.
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

// Sent checks an attempt that a courier starts.
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

// AttemptEnded records the outcome of an attempt: whether it may have run, whether it may
// still run (unsure), and the retry-after delay, if any.
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
		// The delay also binds calls sent in the tick in which the response is received.
		p := courierPair{courier, m.dest}
		c.retryAfterUntil[p] = max(c.retryAfterUntil[p], now+wait)
	}
	c.forget(id, m)
}

// Finished records and checks the final result of a message.
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

// forget drops a message with a final result and no attempt in flight.
func (c *Checker) forget(id int32, m *message) {
	if m.finished && !m.inFlight {
		delete(c.messages, id)
	}
}

// dropIdleKeys drops keys without messages whose last attempt has settled.
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

// Crashed records a crash of a courier: its attempts are no longer in flight and may have
// run. It loses its retry-after delays and its endpoint list.
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

// Restarted records the restart of a courier.
func (c *Checker) Restarted(now time.Duration, courier int32) {
	c.resultsDueFrom[courier] = now + c.cfg.RestartGrace
}

// Collapsed reports that a recovering destination has collapsed under overload.
func (c *Checker) Collapsed(now time.Duration, dest int32) {
	c.report(now, ColdCollapse, "destination %d is pushed over while cold", dest)
}

// CollapsedInRamp reports that couriers informed of a destination's outage have overloaded it
// during its recovery.
func (c *Checker) CollapsedInRamp(now time.Duration, dest int32) {
	c.report(now, RampCollapse, "destination %d is pushed over by couriers that were told of its outage", dest)
}

// RunEnded records the end of the run and reports the messages without a final result.
func (c *Checker) RunEnded(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.messages)) {
		m := c.messages[id]
		if !m.finished && now > max(m.deadline+c.cfg.ResultSlack, c.resultsDueFrom[m.courier]) {
			c.report(now, SingleResult, "message %d has no end", id)
		}
	}
}
