package core

import (
	"iter"
	"math"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/belief"
	"snowjunction/internal/groups"
	"snowjunction/internal/store"
)

// Entry is one entry of a target group as a front lists it.
type Entry = groups.Entry

// Target is an endpoint that can be called.
type Target interface {
	// Call makes one attempt. done is called once with its result, unless it
	// is given up, and never within Call itself. May is asked at the moment when
	// its first byte can leave: if it says no, none leaves and the result is Moot.
	// Where that is within Call, nil may be returned in place of the result.
	Call(m *store.Message, shape Shape, timeout time.Duration, may func() bool, done func(Result)) Call
	// CloseIdle ends idle connections.
	CloseIdle()
	// Leave ends idle connections, and the others with their calls: the
	// target is no longer in its group.
	Leave()
}

// Call is an attempt that is out.
type Call interface {
	// Left tells whether its last byte may have left.
	Left() bool
	// Kept is how long the call's connection had been idle before; 0: it is a
	// new one.
	Kept() time.Duration
	// GiveUp stops waiting. done is not called any more.
	GiveUp()
}

// Result is how an attempt ended.
type Result struct {
	Outcome snowjunction.Outcome
	Wait    time.Duration // with Full: the told wait
	Over    bool          // nothing more is owed for the message
	Report  []float64
	// Elsewhere: whoever answered says that it is not who was called.
	Elsewhere bool
	Answer    *Reply // as it came, if one came whole; else nil
}

// Reply is an answer as it came.
type Reply struct {
	Status  int
	Headers []HeaderField
	Body    []byte
}

// routes is the target groups. What is listed stands in compact tables, one for
// each front; only destinations that flows have called for are more than that.
type routes struct {
	tables []*groups.Table
	byID   map[snowjunction.EndpointID]*listed
	awake  map[snowjunction.DestinationID]*group
	heard  heard
	last   snowjunction.EndpointID
}

// group is a destination that flows have called for: the module knows of it.
type group struct {
	dest    snowjunction.DestinationID
	flows   int // that the module holds
	members []*listed
	leaving bool    // the module has been asked to hand it out
	waiting bool    // its memento is yet to come from beyond memory
	parked  []*flow // until then
}

// listed is an endpoint of an awake destination, under the number the module
// knows.
type listed struct {
	Entry
	front    int
	id       snowjunction.EndpointID
	target   Target // nil once it has left
	goneAt   time.Time
	standing belief.Standing
	out      bool          // by hand
	wasOut   time.Duration // it came back from that a while ago; 0: it did not
}

type name struct {
	front int
	name  string
}

// goneKept is how long an endpoint that left keeps its number: listed again
// within it, it is the same to the module.
const goneKept = time.Minute

func newRoutes(fronts int) routes {
	r := routes{byID: map[snowjunction.EndpointID]*listed{}, awake: map[snowjunction.DestinationID]*group{}}
	for range fronts {
		r.tables = append(r.tables, groups.New())
	}
	return r
}

// listedAnywhere tells whether any front lists endpoints of a destination.
func (r *routes) listedAnywhere(d snowjunction.DestinationID) bool {
	for _, t := range r.tables {
		if t.Has(d) {
			return true
		}
	}
	return false
}

func (r *routes) destinations() (n int) {
	for _, t := range r.tables {
		n += t.Destinations()
	}
	return n
}

// destinations is about how many there are, those included that other couriers list.
func (c *Core) destinations() int {
	if c.ListedShare == nil {
		return c.routes.destinations()
	}
	n := 0.0
	for front, t := range c.routes.tables {
		n += math.Round(float64(t.Destinations()) / c.ListedShare(front))
	}
	return int(n)
}

// Calling yields the destinations for which the module holds flows, or flows wait.
func (c *Core) Calling() iter.Seq[snowjunction.DestinationID] {
	return func(yield func(snowjunction.DestinationID) bool) {
		for d, g := range c.routes.awake {
			if (g.flows > 0 || len(g.parked) > 0) && !yield(d) {
				return
			}
		}
	}
}

// Listed takes news of a front's target group: what changed, or the full list.
// Only what concerns destinations that are awake goes further than the table.
// An error says why the news cannot be taken: what it says of endpoints that
// drain or go is heeded even so, and everything else stays as it was.
func (c *Core) Listed(front int, l *groups.List) error {
	table := c.routes.tables[front]
	if err := table.Fits(l); err != nil {
		c.Heed(front, l)
		return err
	}
	var news []snowjunction.Endpoint
	if l.Full {
		c.judge(front, l)
		news = c.replace(front, l)
		c.changed(news)
		c.heard(front)
		return nil
	}
	begun := c.Loop.Now()
	for e := range l.Entries.From(0) {
		c.named(front, e.Name)
		news = append(news, c.list(front, e)...)
	}
	c.changed(news)
	c.heard(front)
	c.updates.n++
	c.updates.took += c.Loop.Now().Sub(begun)
	return nil
}

// Heed takes from news that are not taken else what they say of endpoints that
// drain or are gone: those get nothing more.
func (c *Core) Heed(front int, l *groups.List) {
	var news []snowjunction.Endpoint
	for _, n := range l.Leaving {
		if e, ok := c.routes.tables[front].Get(n); ok && e.Phase == snowjunction.Ready {
			e.Phase = snowjunction.Draining
			news = append(news, c.list(front, e)...)
		}
	}
	c.changed(news)
	c.heard(front)
}

func (c *Core) heard(front int) {
	if c.Heard != nil {
		c.Heard(front)
	}
}

func (c *Core) changed(news []snowjunction.Endpoint) {
	if len(news) > 0 {
		c.feed(snowjunction.List{
			Kind: snowjunction.ListDelta, Endpoints: news, Destinations: c.destinations(),
		})
	}
}

// list takes one changed entry.
func (c *Core) list(front int, e Entry) (news []snowjunction.Endpoint) {
	table := c.routes.tables[front]
	var old Entry
	var was bool
	if e.Phase == snowjunction.Gone {
		old, was = table.Remove(e.Name)
	} else {
		old, was = table.Set(e)
	}
	if was && (e.Phase == snowjunction.Gone || old.Destination != e.Destination) {
		if !table.Has(old.Destination) {
			c.routes.heard.add(old.Destination, c.Loop.Now())
		}
		if g := c.routes.awake[old.Destination]; g != nil {
			news = c.unlist(g, front, e.Name, news)
		}
	}
	if g := c.routes.awake[e.Destination]; g != nil && !g.waiting && e.Phase != snowjunction.Gone {
		news = append(news, c.member(g, front, e)...)
	}
	return news
}

// replace puts a front's full list in the place of the one held. It costs what
// is awake; the rest of the old list is looked through in slices.
func (c *Core) replace(front int, l *groups.List) (news []snowjunction.Endpoint) {
	old := c.routes.tables[front]
	for _, n := range l.Leaving {
		if e, ok := l.Entries.Get(n); ok && e.Phase == snowjunction.Gone {
			l.Entries.Remove(n)
		}
	}
	table := l.Entries
	c.routes.tables[front] = table
	for _, g := range c.routes.awake {
		if g.waiting {
			continue
		}
		for _, m := range g.members {
			if e, ok := table.Get(m.Name); m.front == front && (!ok || e.Destination != g.dest) {
				news = c.unlist(g, front, m.Name, news)
			}
		}
		for e := range table.Of(g.dest) {
			news = append(news, c.member(g, front, e)...)
		}
	}
	at := 0
	c.Loop.Slices(func() bool {
		for d := range old.DestinationsFrom(at, at+sliceOf) {
			if !c.routes.tables[front].Has(d) {
				c.routes.heard.add(d, c.Loop.Now())
			}
		}
		at += sliceOf
		return at < old.Len()
	})
	return news
}

// sliceOf is how many entries are looked through at once.
const sliceOf = 2048

// member takes what a front says of an endpoint of an awake destination. One
// that is not Ready and that the module has not heard of need not be told.
func (c *Core) member(g *group, front int, e Entry) []snowjunction.Endpoint {
	m := g.find(front, e.Name)
	if m == nil {
		if e.Phase != snowjunction.Ready {
			return nil
		}
		c.routes.last++
		m = &listed{front: front, id: c.routes.last}
		g.members = append(g.members, m)
		c.routes.byID[m.id] = m
	}
	out, wasOut := c.outOf(front, e.Name)
	if m.target != nil && (m.Addr != e.Addr || e.Phase != snowjunction.Ready || out) {
		m.target.Leave()
		m.target = nil
	}
	was, known := m.entry(), m.Name != ""
	m.Entry, m.standing, m.out, m.wasOut = e, c.standing(front, e.Name), out, wasOut
	if m.target == nil && e.Phase == snowjunction.Ready && !out {
		m.target = c.Fronts[front].Target(e)
	}
	if is := m.entry(); is != was || !known {
		return []snowjunction.Endpoint{is}
	}
	return nil
}

func (g *group) find(front int, name string) *listed {
	for _, m := range g.members {
		if m.front == front && m.Name == name {
			return m
		}
	}
	return nil
}

// unlist takes an endpoint out of an awake destination's group.
func (c *Core) unlist(g *group, front int, name string, news []snowjunction.Endpoint) []snowjunction.Endpoint {
	m := g.find(front, name)
	if m == nil || m.Phase == snowjunction.Gone {
		return news
	}
	if m.target != nil {
		m.target.Leave()
		m.target = nil
	}
	m.Phase, m.goneAt = snowjunction.Gone, c.Loop.Now()
	c.Loop.After(goneKept, func() {
		if m.Phase == snowjunction.Gone && c.Loop.Now().Sub(m.goneAt) >= goneKept {
			c.lose(g, m)
		}
	})
	return append(news, m.entry())
}

// lose forgets an endpoint that has been gone for long.
func (c *Core) lose(g *group, m *listed) {
	delete(c.routes.byID, m.id)
	g.members = slices.DeleteFunc(g.members, func(x *listed) bool { return x == m })
}

// entry is an endpoint as the module is to see it: one that is refuted, or out by hand, as draining.
func (l *listed) entry() snowjunction.Endpoint {
	e := snowjunction.Endpoint{
		ID: l.id, Destination: l.Destination, Zone: l.Zone, Kind: l.Kind, Phase: l.Phase, Weight: l.Weight,
		Doubtful: l.standing == belief.Doubtful, WasOut: l.wasOut,
	}
	if (l.out || l.standing == belief.Refuted) && e.Phase == snowjunction.Ready {
		e.Phase = snowjunction.Draining
	}
	return e
}

// target is the target of an attempt of f, or nil if it must not go there:
// the list may have changed since the module decided.
func (c *Core) target(f *flow, id snowjunction.EndpointID) Target {
	l := c.routes.byID[id]
	if l == nil || l.target == nil || uint32(l.Destination) != f.msg.Destination || l.standing == belief.Refuted {
		return nil
	}
	return l.target
}

// heard remembers destinations that no list names any more: for a while their
// messages may wait for new endpoints.
type heard struct {
	now, before map[snowjunction.DestinationID]struct{}
	since       time.Time
}

// How long and how many destinations are remembered, in each of two parts.
const (
	heardFor  = 5 * time.Minute
	heardMost = 16384
)

func (h *heard) add(d snowjunction.DestinationID, now time.Time) {
	if now.Sub(h.since) >= heardFor || len(h.now) >= heardMost {
		h.before, h.now, h.since = h.now, nil, now
	}
	if h.now == nil {
		h.now = map[snowjunction.DestinationID]struct{}{}
	}
	h.now[d] = struct{}{}
}

func (h *heard) has(d snowjunction.DestinationID, now time.Time) bool {
	age := now.Sub(h.since)
	_, late := h.now[d]
	_, early := h.before[d]
	return late && age < 2*heardFor || early && age < heardFor
}
