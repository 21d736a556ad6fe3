package core

import (
	"iter"
	"math"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/groups"
	"snowjunction/internal/store"
)

// Entry is one endpoint of a target group as a front lists it.
type Entry = groups.Entry

// Target is an endpoint that can be called.
type Target interface {
	// Call makes one attempt. done is called once with its result, unless the call is given up, and
	// never before Call returns. may is called when the first byte is about to be sent; if it
	// returns false, nothing is sent and the outcome is NotSent. If that happens within Call, Call
	// may return nil instead of reporting a result.
	Call(m *store.Message, shape Shape, timeout time.Duration, may func() bool, done func(Result)) Call
	// CloseIdle closes idle connections.
	CloseIdle()
	// Retire closes idle connections now, and the others when their calls end. The target is no
	// longer in its group.
	Retire()
}

// Call is an attempt in flight.
type Call interface {
	// Sent reports whether the last byte of the request may have been sent.
	Sent() bool
	// IdleBefore returns how long the connection had been idle before the call; 0 for a new connection.
	IdleBefore() time.Duration
	// GiveUp abandons the call. done is not called after that.
	GiveUp()
}

// Result is the result of an attempt.
type Result struct {
	Outcome    snowjunction.Outcome
	RetryAfter time.Duration // retry-after delay of a rejected call
	Unwanted   bool          // the endpoint says that the message is no longer wanted
	Report     []float64
	// WrongEndpoint is set if the server answered that it is not the endpoint that was called.
	WrongEndpoint bool
	Answer        *Reply // the original answer if it came completely; nil otherwise
}

// Reply is an answer as received.
type Reply struct {
	Status  int
	Headers []HeaderField
	Body    []byte
}

// routes holds the target groups. Listed endpoints are kept in compact tables, one per front; only
// loaded destinations have further state.
type routes struct {
	tables   []*groups.Table
	byID     map[snowjunction.EndpointID]*loadedEndpoint
	loaded   map[snowjunction.DestinationID]*group
	delisted delisted
	lastID   snowjunction.EndpointID
}

// group is a loaded destination, that is one that flows have called for and that the module knows.
type group struct {
	destination snowjunction.DestinationID
	flows       int // flows that the module holds
	members     []*loadedEndpoint
	unloading   bool    // the module has been asked to unload it
	loading     bool    // its snapshot is being fetched from the external store
	parked      []*flow // flows that wait for the snapshot
}

// loadedEndpoint is an endpoint of a loaded destination, with its number in the module.
type loadedEndpoint struct {
	Entry
	front       int
	id          snowjunction.EndpointID
	target      Target // nil unless the endpoint can be called
	goneAt      time.Time
	standing    confidence.Level
	excluded    bool          // by an operator
	excludedFor time.Duration // how long it had been excluded, if it was included again recently; otherwise 0
}

type messageRef struct {
	front int
	id    string
}

// goneRetention is how long an endpoint that left the list keeps its number. If it is listed again
// within that time, the module treats it as the same endpoint.
const goneRetention = time.Minute

func newRoutes(fronts int) routes {
	r := routes{byID: map[snowjunction.EndpointID]*loadedEndpoint{}, loaded: map[snowjunction.DestinationID]*group{}}
	for range fronts {
		r.tables = append(r.tables, groups.New())
	}
	return r
}

// listedAnywhere reports whether any front lists endpoints of a destination.
func (r *routes) listedAnywhere(d snowjunction.DestinationID) bool {
	for _, t := range r.tables {
		if t.HasDestination(d) {
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

// destinations returns the approximate number of destinations of the fleet, including those that
// only other couriers list.
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

// ActiveDestinations yields the destinations for which flows are held by the module or wait for a snapshot.
func (c *Core) ActiveDestinations() iter.Seq[snowjunction.DestinationID] {
	return func(yield func(snowjunction.DestinationID) bool) {
		for destination, g := range c.routes.loaded {
			if (g.flows > 0 || len(g.parked) > 0) && !yield(destination) {
				return
			}
		}
	}
}

// UpdateList applies an update of a front's target group: a set of changes or the full list. Only
// changes to loaded destinations go further than the table. It returns an error if the update is
// invalid; draining and gone endpoints are then still applied and everything else stays unchanged.
func (c *Core) UpdateList(front int, l *groups.List) error {
	table := c.routes.tables[front]
	if err := table.CheckChanges(l); err != nil {
		c.ApplyLeaving(front, l)
		return err
	}
	var updates []snowjunction.Endpoint
	if l.Full {
		c.checkPlausibility(front, l)
		updates = c.replaceList(front, l)
		c.queueEndpoints(updates)
		c.listChanged(front)
		return nil
	}
	started := c.Loop.Now()
	for e := range l.Entries.EntriesFrom(0) {
		c.clearRetained(front, e.Name)
		updates = append(updates, c.applyEntry(front, e)...)
	}
	c.queueEndpoints(updates)
	c.listChanged(front)
	c.updates.count++
	c.updates.took += c.Loop.Now().Sub(started)
	return nil
}

// ApplyLeaving applies only what an otherwise rejected update says of draining and gone endpoints: they get
// no new calls.
func (c *Core) ApplyLeaving(front int, l *groups.List) {
	var updates []snowjunction.Endpoint
	for _, n := range l.Leaving {
		if e, ok := c.routes.tables[front].Get(n); ok && e.Phase == snowjunction.Ready {
			e.Phase = snowjunction.Draining
			updates = append(updates, c.applyEntry(front, e)...)
		}
	}
	c.queueEndpoints(updates)
	c.listChanged(front)
}

func (c *Core) listChanged(front int) {
	if c.OnListChange != nil {
		c.OnListChange(front)
	}
}

func (c *Core) queueEndpoints(updates []snowjunction.Endpoint) {
	if len(updates) > 0 {
		c.queueEvent(snowjunction.List{
			Kind: snowjunction.ListDelta, Endpoints: updates, Destinations: c.destinations(),
		})
	}
}

// applyEntry applies one changed entry.
func (c *Core) applyEntry(front int, e Entry) (updates []snowjunction.Endpoint) {
	table := c.routes.tables[front]
	var old Entry
	var replaced bool
	if e.Phase == snowjunction.Gone {
		old, replaced = table.Remove(e.Name)
	} else {
		old, replaced = table.Set(e)
	}
	if replaced && (e.Phase == snowjunction.Gone || old.Destination != e.Destination) {
		if !table.HasDestination(old.Destination) {
			c.routes.delisted.add(old.Destination, c.Loop.Now())
		}
		if g := c.routes.loaded[old.Destination]; g != nil {
			updates = c.removeEndpoint(g, front, e.Name, updates)
		}
	}
	if g := c.routes.loaded[e.Destination]; g != nil && !g.loading && e.Phase != snowjunction.Gone {
		updates = append(updates, c.updateEndpoint(g, front, e)...)
	}
	return updates
}

// replaceList replaces a front's list by a full list. The immediate cost depends on the loaded
// destinations only; the rest of the old list is scanned in slices.
func (c *Core) replaceList(front int, l *groups.List) (updates []snowjunction.Endpoint) {
	old := c.routes.tables[front]
	for _, n := range l.Leaving {
		if e, ok := l.Entries.Get(n); ok && e.Phase == snowjunction.Gone {
			l.Entries.Remove(n)
		}
	}
	table := l.Entries
	c.routes.tables[front] = table
	for _, g := range c.routes.loaded {
		if g.loading {
			continue
		}
		for _, m := range g.members {
			if e, ok := table.Get(m.Name); m.front == front && (!ok || e.Destination != g.destination) {
				updates = c.removeEndpoint(g, front, m.Name, updates)
			}
		}
		for e := range table.ByDestination(g.destination) {
			updates = append(updates, c.updateEndpoint(g, front, e)...)
		}
	}
	at := 0
	c.Loop.RunSliced(func() bool {
		for d := range old.DestinationsFrom(at, at+sliceSize) {
			if !c.routes.tables[front].HasDestination(d) {
				c.routes.delisted.add(d, c.Loop.Now())
			}
		}
		at += sliceSize
		return at < old.Len()
	})
	return updates
}

// sliceSize is the number of entries scanned in one slice.
const sliceSize = 2048

// updateEndpoint applies a front's entry for an endpoint of a loaded destination. An endpoint that
// is not Ready and that the module does not know is ignored.
func (c *Core) updateEndpoint(g *group, front int, entry Entry) []snowjunction.Endpoint {
	member := g.find(front, entry.Name)
	if member == nil {
		if entry.Phase != snowjunction.Ready {
			return nil
		}
		c.routes.lastID++
		member = &loadedEndpoint{front: front, id: c.routes.lastID}
		g.members = append(g.members, member)
		c.routes.byID[member.id] = member
	}
	excluded, excludedFor := c.exclusionOf(front, entry.Name)
	if member.target != nil && (member.Addr != entry.Addr || entry.Phase != snowjunction.Ready || excluded) {
		member.target.Retire()
		member.target = nil
	}
	before, known := member.moduleView(), member.Name != ""
	member.Entry, member.standing, member.excluded, member.excludedFor = entry, c.confidenceIn(front, entry.Name), excluded, excludedFor
	if member.target == nil && entry.Phase == snowjunction.Ready && !excluded {
		member.target = c.Fronts[front].Target(entry)
	}
	if after := member.moduleView(); after != before || !known {
		return []snowjunction.Endpoint{after}
	}
	return nil
}

func (g *group) find(front int, name string) *loadedEndpoint {
	for _, m := range g.members {
		if m.front == front && m.Name == name {
			return m
		}
	}
	return nil
}

// removeEndpoint marks an endpoint of a loaded destination as gone.
func (c *Core) removeEndpoint(g *group, front int, name string, updates []snowjunction.Endpoint) []snowjunction.Endpoint {
	m := g.find(front, name)
	if m == nil || m.Phase == snowjunction.Gone {
		return updates
	}
	if m.target != nil {
		m.target.Retire()
		m.target = nil
	}
	m.Phase, m.goneAt = snowjunction.Gone, c.Loop.Now()
	c.Loop.After(goneRetention, func() {
		if m.Phase == snowjunction.Gone && c.Loop.Now().Sub(m.goneAt) >= goneRetention {
			c.forgetEndpoint(g, m)
		}
	})
	return append(updates, m.moduleView())
}

// forgetEndpoint drops an endpoint that has been gone for goneRetention.
func (c *Core) forgetEndpoint(g *group, m *loadedEndpoint) {
	delete(c.routes.byID, m.id)
	g.members = slices.DeleteFunc(g.members, func(x *loadedEndpoint) bool { return x == m })
}

// moduleView returns the endpoint as the module sees it: a refuted or excluded endpoint is shown as
// draining.
func (l *loadedEndpoint) moduleView() snowjunction.Endpoint {
	e := snowjunction.Endpoint{
		ID: l.id, Destination: l.Destination, Zone: l.Zone, Kind: l.Kind, Phase: l.Phase, Weight: l.Weight,
		Doubtful: l.standing == confidence.Doubtful, ExcludedFor: l.excludedFor,
	}
	if (l.excluded || l.standing == confidence.Refuted) && e.Phase == snowjunction.Ready {
		e.Phase = snowjunction.Draining
	}
	return e
}

// target returns the target for an attempt of f, or nil if the attempt must not be sent there: the
// list may have changed since the module's decision.
func (c *Core) target(f *flow, id snowjunction.EndpointID) Target {
	l := c.routes.byID[id]
	if l == nil || l.target == nil || uint32(l.Destination) != f.msg.Destination || l.standing == confidence.Refuted {
		return nil
	}
	return l.target
}

// delisted remembers destinations that recently lost their last endpoint. For some minutes their
// messages may wait for new endpoints.
type delisted struct {
	current, previous map[snowjunction.DestinationID]struct{}
	rotatedAt         time.Time
}

// Retention time and maximum number of remembered destinations, for each of two generations.
const (
	delistedRetention = 5 * time.Minute
	maxDelisted       = 16384
)

func (h *delisted) add(d snowjunction.DestinationID, now time.Time) {
	if now.Sub(h.rotatedAt) >= delistedRetention || len(h.current) >= maxDelisted {
		h.previous, h.current, h.rotatedAt = h.current, nil, now
	}
	if h.current == nil {
		h.current = map[snowjunction.DestinationID]struct{}{}
	}
	h.current[d] = struct{}{}
}

func (h *delisted) has(d snowjunction.DestinationID, now time.Time) bool {
	age := now.Sub(h.rotatedAt)
	_, inCurrent := h.current[d]
	_, inPrevious := h.previous[d]
	return inCurrent && age < 2*delistedRetention || inPrevious && age < delistedRetention
}
