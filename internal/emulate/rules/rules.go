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
	OneEnd   Rule = "one end"     // one final answer each, in time
	OneOut   Rule = "one out"     // never two attempts out
	Repeat   Rule = "repeat"      // what may have run goes again only as its class allows
	Attempts Rule = "attempts"    // so many at most
	Drain    Rule = "drain"       // nothing new to an endpoint after its grace
	Order    Rule = "order"       // one of a key at a time, in order, after its rest
	Wait     Rule = "wait"        // told waits heeded
	Cold     Rule = "cold"        // a cold partner is not pushed over
	Pushed   Rule = "cold ramp"   // nor by those that were told of its outage, beyond chance (Ramp)
	Place    Rule = "wrong place" // only endpoints that its list has named, of its destination
)

// Class is what a class of messages allows.
type Class struct {
	Again   bool          // may be repeated freely
	Window  time.Duration // may be repeated for so long after it may have run; 0: never
	InOrder bool
}

// Config are the figures of the rules.
type Config struct {
	Classes  []Class
	Attempts int
	Grace    time.Duration // after hearing of a drain
	Rest     time.Duration // of a key, after an attempt that may still run
	Slack    time.Duration // by which an end may be late
	Back     time.Duration // after a restart, in which no end is overdue
}

// Breach is one broken rule.
type Breach struct {
	At   time.Duration
	Rule Rule
	Text string
}

// Checker hears of a run.
type Checker struct {
	cfg      Config
	messages map[int32]*message
	keys     map[turn]*key
	looked   int                     // ends since keys were last looked through
	drains   map[pair]time.Duration  // courier and endpoint: when it heard
	listed   map[pair]int32          // courier and endpoint: destination
	waits    map[pair]time.Duration  // courier and destination: until then
	back     map[int32]time.Duration // courier: its ends are not overdue before
	Counts   map[Rule]int
	First    []Breach // the first few
}

type pair struct{ courier, other int32 }

// turn is a key at a courier: those of one key go in the order of their taking by
// that one.
type turn struct {
	courier int32
	key     uint64
}

func (m *message) turn() turn { return turn{m.courier, m.key} }

type message struct {
	courier, dest int32
	class         int
	key           uint64
	deadline      time.Duration
	attempts      int
	out           bool
	ran           bool
	ranAt, sentAt time.Duration
	ended         bool
}

type key struct {
	order []int32 // of the messages that are not over
	rest  time.Duration
}

const firstMost = 20

// New returns a checker that has heard nothing.
func New(cfg Config) *Checker {
	return &Checker{
		cfg: cfg, messages: map[int32]*message{}, keys: map[turn]*key{}, drains: map[pair]time.Duration{},
		listed: map[pair]int32{}, waits: map[pair]time.Duration{}, back: map[int32]time.Duration{}, Counts: map[Rule]int{},
	}
}

func (c *Checker) breach(now time.Duration, r Rule, format string, args ...any) {
	c.Counts[r]++
	if len(c.First) < firstMost {
		c.First = append(c.First, Breach{now, r, fmt.Sprintf(format, args...)})
	}
}

// Listed tells that a courier has heard of an endpoint: ready, or leaving.
func (c *Checker) Listed(now time.Duration, courier, endpoint, dest int32, ready bool) {
	p := pair{courier, endpoint}
	c.listed[p] = dest
	if ready {
		delete(c.drains, p)
	} else if _, ok := c.drains[p]; !ok {
		c.drains[p] = now
	}
}

// Taken tells that a courier has taken a message on: from now on it owes its end.
func (c *Checker) Taken(now time.Duration, courier, id, dest int32, class int, k uint64, deadline time.Duration) {
	if old := c.messages[id]; old != nil && !old.ended {
		c.breach(now, OneEnd, "message %d is taken on twice", id)
	}
	m := &message{courier: courier, dest: dest, class: class, deadline: deadline}
	if c.cfg.Classes[class].InOrder {
		m.key = k
	}
	c.messages[id] = m
	if m.key != 0 {
		x := c.keys[m.turn()]
		if x == nil {
			x = &key{}
			c.keys[m.turn()] = x
		}
		x.order = append(x.order, id)
	}
}

// Sent tells that an attempt has left.
func (c *Checker) Sent(now time.Duration, courier, id, endpoint int32) {
	m := c.messages[id]
	if m == nil || m.ended {
		c.breach(now, OneEnd, "message %d is sent and not held", id)
		return
	}
	p := pair{courier, endpoint}
	if d, ok := c.listed[p]; !ok || d != m.dest {
		c.breach(now, Place, "message %d for %d goes to endpoint %d of %d", id, m.dest, endpoint, d)
	}
	if at, ok := c.drains[p]; ok && now > at+c.cfg.Grace {
		c.breach(now, Drain, "endpoint %d is sent message %d %v after courier %d heard that it leaves", endpoint, id, now-at, courier)
	}
	if until, ok := c.waits[pair{courier, m.dest}]; ok && now < until {
		c.breach(now, Wait, "destination %d is sent message %d by courier %d, told to wait %v longer", m.dest, id, courier, until-now)
	}
	if m.out {
		c.breach(now, OneOut, "message %d has two attempts out", id)
	}
	if m.attempts++; c.cfg.Attempts > 0 && m.attempts > c.cfg.Attempts {
		c.breach(now, Attempts, "message %d has its attempt %d", id, m.attempts)
	}
	if x := c.cfg.Classes[m.class]; m.ran && !x.Again && (x.Window == 0 || now > m.ranAt+x.Window) {
		c.breach(now, Repeat, "message %d goes again %v after it may have run", id, now-m.ranAt)
	}
	if m.key != 0 {
		k := c.keys[m.turn()]
		if k.order[0] != id {
			c.breach(now, Order, "message %d goes before %d of its key", id, k.order[0])
		}
		if now < k.rest && m.attempts == 1 {
			c.breach(now, Order, "message %d goes %v before its key has rested", id, k.rest-now)
		}
	}
	m.out, m.sentAt = true, now
}

// Came tells that a courier has heard how an attempt ended: whether it may have
// run, whether it may run still, and what wait it was told.
func (c *Checker) Came(now time.Duration, courier, id int32, ran, unsure bool, wait time.Duration) {
	m := c.messages[id]
	if m == nil {
		return
	}
	m.out = false
	if ran && !m.ran {
		m.ran, m.ranAt = true, m.sentAt
	}
	if unsure && m.key != 0 && !m.ended {
		c.keys[m.turn()].rest = now + c.cfg.Rest
	}
	if wait > 0 {
		// What leaves in the very turn in which the answer is heard is judged by it.
		p := pair{courier, m.dest}
		c.waits[p] = max(c.waits[p], now+wait)
	}
	c.forget(id, m)
}

// Ended tells a message's final answer.
func (c *Checker) Ended(now time.Duration, id int32) {
	m := c.messages[id]
	switch {
	case m == nil || m.ended:
		c.breach(now, OneEnd, "message %d ends again", id)
		return
	case now > max(m.deadline+c.cfg.Slack, c.back[m.courier]):
		c.breach(now, OneEnd, "message %d ends %v late", id, now-m.deadline)
	}
	m.ended = true
	c.lookThrough(now)
	if m.key != 0 {
		k := c.keys[m.turn()]
		for i, x := range k.order {
			if x == id {
				k.order = append(k.order[:i], k.order[i+1:]...)
				break
			}
		}
	}
	c.forget(id, m)
}

func (c *Checker) forget(id int32, m *message) {
	if m.ended && !m.out {
		delete(c.messages, id)
	}
}

// lookThrough drops keys that have nothing open and are rested.
func (c *Checker) lookThrough(now time.Duration) {
	if c.looked++; c.looked < 4096 {
		return
	}
	c.looked = 0
	for t, k := range c.keys {
		if len(k.order) == 0 && now >= k.rest {
			delete(c.keys, t)
		}
	}
}

// Died tells that a courier is gone: what it had out is out no more, and may have
// run; its waits end, and what it was told it has to hear anew.
func (c *Checker) Died(now time.Duration, courier int32) {
	for _, m := range c.messages {
		if m.courier == courier && m.out {
			m.out = false
			if !m.ran {
				m.ran, m.ranAt = true, m.sentAt
			}
		}
	}
	for p := range c.waits {
		if p.courier == courier {
			delete(c.waits, p)
		}
	}
	for p := range c.listed {
		if p.courier == courier {
			delete(c.listed, p)
			delete(c.drains, p)
		}
	}
}

// Back tells that a courier is there again.
func (c *Checker) Back(now time.Duration, courier int32) { c.back[courier] = now + c.cfg.Back }

// Fell tells that a cold destination has been pushed over.
func (c *Checker) Fell(now time.Duration, dest int32) {
	c.breach(now, Cold, "destination %d is pushed over while cold", dest)
}

// Pushed tells that those who were told of a destination's outage have pushed it over.
func (c *Checker) Pushed(now time.Duration, dest int32) {
	c.breach(now, Pushed, "destination %d is pushed over by couriers that were told of its outage", dest)
}

// Over tells that the run is over at a time: what is held still has no end.
func (c *Checker) Over(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.messages)) {
		m := c.messages[id]
		if !m.ended && now > max(m.deadline+c.cfg.Slack, c.back[m.courier]) {
			c.breach(now, OneEnd, "message %d has no end", id)
		}
	}
}
