package core

import (
	"time"

	"snowjunction"
	"snowjunction/internal/dormancy"
	"snowjunction/internal/memento"
)

// wake has the module know a destination that a flow calls for.
func (c *Core) wake(d snowjunction.DestinationID) *group {
	g := c.routes.awake[d]
	if g != nil {
		c.stay(g)
		return g
	}
	g = &group{dest: d}
	c.routes.awake[d] = g
	c.waken(g, c.book.Wake(d, c.since()))
	return g
}

// waken tells the module of a destination, with what was kept of it.
func (c *Core) waken(g *group, w dormancy.Woken) {
	ev := snowjunction.Wake{
		Destination: g.dest, Slept: w.Slept, Caution: w.Caution, Destinations: c.routes.destinations(),
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
func (c *Core) hold(f *flow) {
	g := c.wake(snowjunction.DestinationID(f.msg.Destination))
	g.flows++
	c.book.Busy(g.dest)
	if c.book.Over() { // too many are awake: the longest idle need not wait for their time
		c.resting.Stop()
		c.resting = nil
		c.rest()
	}
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
	m := &memento.Memento{}
	if a.State != nil {
		m.State = *a.State
		for _, e := range a.State.EndpointsSeen {
			var n memento.Name
			if l := c.routes.byID[e.ID]; l != nil {
				n = memento.NameOf(l.Name)
			}
			m.Names = append(m.Names, n)
		}
	}
	for _, l := range g.members {
		if l.target != nil {
			l.target.Leave()
			l.target = nil
		}
		delete(c.routes.byID, l.id)
	}
	delete(c.routes.awake, g.dest)
	for _, e := range c.book.Keep(g.dest, m, c.since()) {
		c.evicted(e)
	}
}

// evicted passes on a memento for which there is no room.
func (c *Core) evicted(dormancy.Evicted) {}
