package core

import (
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// Entry is one entry of a target group as a front lists it.
type Entry struct {
	Name        string // unique within its front
	Addr        string
	Destination snowjunction.DestinationID
	Zone, Kind  int
	Phase       snowjunction.Phase
	Weight      float64
}

// Target is an endpoint that can be called.
type Target interface {
	// Call makes one attempt. done is called once with its result, unless it
	// is given up, and never within Call itself.
	Call(m *store.Message, timeout time.Duration, done func(Result)) Call
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
}

// routes is the target groups.
type routes struct {
	byID   map[snowjunction.EndpointID]*listed
	byName map[name]*listed
	heard  map[snowjunction.DestinationID]bool // destinations that a list has named
	last   snowjunction.EndpointID
}

type name struct {
	front int
	name  string
}

// listed is an endpoint in the list, under the number the module knows.
type listed struct {
	Entry
	id     snowjunction.EndpointID
	target Target // nil once it has left
	goneAt time.Time
}

// goneKept is how long an endpoint that left keeps its number: listed again
// within it, it is the same to the module.
const goneKept = time.Minute

func newRoutes() routes {
	return routes{
		byID: map[snowjunction.EndpointID]*listed{}, byName: map[name]*listed{},
		heard: map[snowjunction.DestinationID]bool{},
	}
}

// Listed takes news of a front's target group: the entries that changed, or
// the full list. The module is told of changes only, as each front's full
// list says nothing of another's.
func (c *Core) Listed(front int, full bool, entries []Entry) {
	for n, l := range c.routes.byName {
		if l.Phase == snowjunction.Gone && c.Loop.Now().Sub(l.goneAt) >= goneKept {
			c.routes.drop(n, l)
		}
	}
	var news []snowjunction.Endpoint
	named := map[string]bool{}
	for _, e := range entries {
		named[e.Name] = true
		news = append(news, c.list(front, e)...)
	}
	for n, l := range c.routes.byName {
		if full && l.Phase != snowjunction.Gone && n.front == front && !named[n.name] {
			news = append(news, c.unlist(l))
		}
	}
	if len(news) > 0 {
		c.feed(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: news})
	}
}

// list takes one entry. An endpoint that moves to another destination is
// another one to the module.
func (c *Core) list(front int, e Entry) (news []snowjunction.Endpoint) {
	n := name{front, e.Name}
	l := c.routes.byName[n]
	if e.Phase == snowjunction.Gone {
		if l == nil || l.Phase == snowjunction.Gone {
			return nil
		}
		return []snowjunction.Endpoint{c.unlist(l)}
	}
	c.routes.heard[e.Destination] = true
	if l != nil && l.Destination != e.Destination {
		if l.Phase != snowjunction.Gone {
			news = append(news, c.unlist(l))
		}
		c.routes.drop(n, l)
		l = nil
	}
	if l == nil {
		c.routes.last++
		l = &listed{Entry: e, id: c.routes.last}
		c.routes.byID[l.id], c.routes.byName[n] = l, l
	}
	if l.target != nil && (l.Addr != e.Addr || e.Phase != snowjunction.Ready) {
		l.target.Leave()
		l.target = nil
	}
	l.Entry = e
	if l.target == nil && e.Phase == snowjunction.Ready {
		l.target = c.Fronts[front].Target(e)
	}
	return append(news, l.entry())
}

func (c *Core) unlist(l *listed) snowjunction.Endpoint {
	if l.target != nil {
		l.target.Leave()
		l.target = nil
	}
	l.Phase, l.goneAt = snowjunction.Gone, c.Loop.Now()
	return l.entry()
}

func (r *routes) drop(n name, l *listed) {
	delete(r.byName, n)
	delete(r.byID, l.id)
}

func (l *listed) entry() snowjunction.Endpoint {
	return snowjunction.Endpoint{
		ID: l.id, Destination: l.Destination, Zone: l.Zone, Kind: l.Kind, Phase: l.Phase, Weight: l.Weight,
	}
}

// target is the target of an attempt of f, or nil if it must not go there:
// the list may have changed since the module decided.
func (c *Core) target(f *flow, id snowjunction.EndpointID) Target {
	l := c.routes.byID[id]
	if l == nil || l.target == nil || uint32(l.Destination) != f.msg.Destination {
		return nil
	}
	return l.target
}
