package core

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/dormancy"
	"snowjunction/internal/memento"
)

// Beyond keeps mementos for which there is no memory, or that are to outlast the
// process. None of its calls wait.
type Beyond interface {
	Put(dest uint32, at time.Time, text []byte)
	Has(dest uint32) bool
	Len() int
	// Take has done called on the loop's goroutine, later, unless it returns
	// false.
	Take(dest uint32, done func(text []byte, at time.Time, ok bool)) bool
}

// beyondWithin is how long flows wait for a memento from beyond memory. After
// it they go on without: it is knowledge, nothing more.
const beyondWithin = 50 * time.Millisecond

// wake has the module know a destination that a flow calls for.
func (c *Core) wake(d snowjunction.DestinationID) *group {
	g := c.routes.awake[d]
	if g != nil {
		c.stay(g)
		return g
	}
	g = &group{dest: d}
	c.routes.awake[d] = g
	if c.Beyond == nil || c.book.Keeping(d) || !c.Beyond.Has(uint32(d)) {
		c.waken(g, c.book.Wake(d, c.since()))
		return g
	}
	g.waiting = true
	limit := c.Loop.After(beyondWithin, func() { c.recalled(g, nil, time.Time{}) })
	asked := c.Beyond.Take(uint32(d), func(text []byte, at time.Time, ok bool) {
		limit.Stop()
		c.recalled(g, text, at)
	})
	if !asked {
		limit.Stop()
		c.recalled(g, nil, time.Time{})
	}
	return g
}

// recalled goes on with the flows that have waited for a memento. One that
// cannot be read is none.
func (c *Core) recalled(g *group, text []byte, at time.Time) {
	if !g.waiting {
		return
	}
	g.waiting = false
	w := dormancy.Woken{}
	if m, err := memento.Decode(text); err == nil {
		w = c.book.WakeWith(m, c.Loop.Now().Sub(at))
	} else {
		w = c.book.Wake(g.dest, c.since())
	}
	c.waken(g, w)
	parked := g.parked
	g.parked = nil
	for _, f := range parked {
		c.submit(f)
	}
}

// waken tells the module of a destination, with what was kept of it.
func (c *Core) waken(g *group, w dormancy.Woken) {
	ev := snowjunction.Wake{
		Destination: g.dest, Slept: w.Slept, Caution: w.Caution, Destinations: c.destinations(),
	}
	names := map[memento.Name]snowjunction.EndpointID{}
	for front, t := range c.routes.tables {
		for e := range t.Of(g.dest) {
			for _, x := range c.member(g, front, e) {
				ev.Endpoints = append(ev.Endpoints, x)
				names[memento.NameOf(e.Name)] = x.ID
			}
		}
	}
	if w.Memento != nil {
		ev.State = &w.Memento.State
		for i := range ev.State.EndpointsSeen { // an endpoint that is gone keeps the number 0, which none has
			ev.State.EndpointsSeen[i].ID = names[w.Memento.Names[i]]
		}
	}
	c.feed(ev)
}

// stay calls off the sleep of a destination that the module has not yet handed
// out.
func (c *Core) stay(g *group) {
	if !g.leaving {
		return
	}
	g.leaving = false
	for i, ev := range c.events {
		if s, ok := ev.(snowjunction.Sleep); ok && s.Destination == g.dest {
			c.events = append(c.events[:i], c.events[i+1:]...)
			return
		}
	}
}

// hold counts a flow that the module holds; release one that it holds no more.
func (c *Core) hold(f *flow) *group {
	g := c.wake(snowjunction.DestinationID(f.msg.Destination))
	g.flows++
	c.book.Busy(g.dest)
	if c.book.Over() { // too many are awake: the longest idle need not wait for their time
		c.resting.Stop()
		c.resting = nil
		c.rest()
	}
	return g
}

func (c *Core) release(f *flow) {
	g := c.routes.awake[snowjunction.DestinationID(f.msg.Destination)]
	if g == nil {
		return
	}
	if g.flows--; g.flows == 0 {
		c.book.Idle(g.dest, c.since())
		c.rest()
	}
}

// since is the time on the book's clock.
func (c *Core) since() time.Duration { return c.Loop.Now().Sub(c.start) }

// rest has destinations that are due go to sleep, and looks again when the next
// may be. While destinations are listed and silent nothing is looked at.
func (c *Core) rest() {
	if c.resting != nil {
		return
	}
	c.book.Stale(c.since(), restMost)
	for range restMost {
		d, due, wait := c.book.Due(c.since())
		if !due {
			if wait >= 0 {
				c.resting = c.Loop.After(max(wait, restLeast), func() {
					c.resting = nil
					c.rest()
				})
			}
			return
		}
		g := c.routes.awake[d]
		c.book.Busy(d)
		if g != nil && g.flows == 0 && !g.leaving && !c.frozen {
			g.leaving = true
			c.feed(snowjunction.Sleep{Destination: d})
		}
	}
	c.resting = c.Loop.After(restLeast, func() {
		c.resting = nil
		c.rest()
	})
}

const (
	restMost  = 32 // destinations that go to sleep at once
	restLeast = 20 * time.Millisecond
)

// asleep takes what the module hands out: from now on there is a memento and
// nothing else, no target, connection or number.
func (c *Core) asleep(a snowjunction.Asleep) {
	g := c.routes.awake[a.Destination]
	if g == nil || !g.leaving {
		c.Log.Error("the module hands out what was not asked for", "destination", a.Destination)
		return
	}
	g.leaving = false
	if a.Busy || a.State == nil && g.flows > 0 {
		c.book.Idle(g.dest, c.since())
		c.rest()
		return
	}
	m := c.memento(a.State)
	for _, l := range g.members {
		if l.target != nil {
			l.target.Leave()
			l.target = nil
		}
		delete(c.routes.byID, l.id)
	}
	delete(c.routes.awake, g.dest)
	text := c.book.Keep(g.dest, m, c.since())
	c.sleeps(g.dest, text)
	if c.Beyond != nil {
		c.Beyond.Put(uint32(g.dest), c.Loop.Now(), text)
	}
}

// Dormant tells of the target groups and the destinations that sleep.
func (c *Core) Dormant() slog.Value {
	n, endpoints, bytes := c.book.Counts, 0, 0
	for _, t := range c.routes.tables {
		endpoints += t.Len()
		bytes += t.Bytes()
	}
	u := c.updates
	c.updates = updates{}
	mean, beyond := int64(0), 0
	if c.Beyond != nil {
		beyond = c.Beyond.Len()
	}
	if u.n > 0 {
		mean = u.took.Nanoseconds() / int64(u.n)
	}
	return slog.GroupValue(
		slog.Int("listed", endpoints), slog.Int("destinations", c.routes.destinations()), slog.Int("table_bytes", bytes),
		slog.Int("awake", c.book.Awake()), slog.Int("mementos", c.book.Asleep()), slog.Int("memento_bytes", c.book.Bytes()),
		slog.Uint64("slept", n.Slept), slog.Uint64("woke", n.Woke), slog.Uint64("known", n.Known),
		slog.Int("beyond", beyond), slog.Uint64("dropped", n.Dropped), slog.Uint64("full", n.Full),
		slog.Int("changes", u.n), slog.Int64("change_ns", mean),
	)
}

// updates are the changes of lists, but full ones, since they were last told.
type updates struct {
	n    int
	took time.Duration
}
