package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/belief"
	"snowjunction/internal/handover"
	"snowjunction/internal/idempotency"
	"snowjunction/internal/memento"
	"snowjunction/internal/store"
)

// Handing is a Call whose connection another process can go on with.
type Handing interface {
	// Hand takes the connection out of this process's hands; false: it cannot be handed over.
	Hand() (handover.Call, bool)
	// Rest is what had been read of the answer, once the engine has come to a halt.
	Rest() []byte
}

// Adopting is a Target that can go on with another process's call.
type Adopting interface {
	Adopt(m *store.Message, from handover.Call, done func(Result)) Call
}

// Hush stops deciding, for another process of this courier to go on. Results and messages
// are taken in still.
func (c *Core) Hush() {
	c.hushed = true
	c.due.Stop()
	c.due = nil
}

// Unready is what would be lost if everything was handed over now: calls on connections that
// cannot be, and what waits for plug-ins or the disk.
func (c *Core) Unready() int {
	n := c.asked + c.outs
	for _, f := range c.flows {
		if a := f.attempt; a != nil && a.call != nil {
			if _, ok := a.call.(Handing); a.reading || !ok && a.call.Left() {
				n++
			}
		}
	}
	return n
}

// Hand gives up what is out, each call to the estate where its connection can be handed over.
// What has not left is recorded as never made. The function returned fills the rest in, once
// the engine has come to a halt; nothing may be asked of the core after that.
func (c *Core) Hand() func(e *handover.Estate) {
	now := c.Loop.Now()
	for _, f := range c.flows { // clients of other fronts than the first are not handed over
		if f.answer != nil && f.msg.Origin != 0 {
			c.refuse(f, drainAfter)
		}
	}
	rests := map[uint64]time.Time{}
	var calls []handover.Call
	var handed []Handing
	for _, id := range slices.Sorted(maps.Keys(c.flows)) {
		f := c.flows[id]
		a := f.attempt
		if a == nil || a.call == nil {
			continue
		}
		h, can := a.call.(Handing)
		l := c.routes.byID[a.endpoint]
		switch {
		case f.ended: // nobody waits for it, but its key
			if a.call.GiveUp(); f.class.InOrder && f.msg.Key != 0 {
				rests[f.msg.Key] = now.Add(c.Settings.OrderSettle)
			}
			continue
		case !a.call.Left():
			a.call.GiveUp()
			c.came(a, false)
			continue
		case !can || a.reading || l == nil:
			continue // the journal says that it may have run
		}
		if x, ok := h.Hand(); ok {
			x.Seq, x.Began, x.Until = f.msg.Seq, a.began, a.began.Add(a.timeout)
			x.Endpoint = handover.Endpoint{
				Front: l.front, Name: l.Name, Addr: l.Addr, Destination: uint32(l.Destination), Zone: l.Zone, Kind: l.Kind, Weight: l.Weight,
			}
			calls, handed = append(calls, x), append(handed, h)
		}
	}
	return func(e *handover.Estate) {
		for i, h := range handed {
			calls[i].Bytes = h.Rest()
		}
		e.Calls = calls
		c.last(e)
		c.ran.Each(c.since(), func(k idempotency.Key, id string, at, until time.Duration) {
			e.Keys = append(e.Keys, handover.Key{
				Destination: k.Destination, Text: k.Text, ID: id, At: c.start.Add(at), Until: c.start.Add(until),
			})
		})
		c.courier.Resting(func(key uint64, left time.Duration) {
			if until := c.Loop.Now().Add(left); until.After(rests[key]) {
				rests[key] = until
			}
		})
		for _, key := range slices.Sorted(maps.Keys(rests)) {
			e.Rests = append(e.Rests, handover.Rest{Key: key, Until: rests[key]})
		}
	}
}

// last has the module take in what has come since it was hushed, and tell what it knows. What
// it decides on top of that is not done: the next process decides from the same.
func (c *Core) last(e *handover.Estate) {
	now := c.Loop.Now()
	events := c.events
	for _, d := range slices.Sorted(maps.Keys(c.routes.awake)) {
		if g := c.routes.awake[d]; !g.waiting {
			events = append(events, snowjunction.Look{Destination: d})
		}
	}
	for _, a := range c.courier.Handle(c.since(), c.timely(events)) {
		switch a := a.(type) {
		case snowjunction.Seen:
			if a.State != nil {
				e.Known = append(e.Known, handover.Known{
					Destination: uint32(a.Destination), At: now, Text: memento.Encode(nil, c.memento(a.State)), Awake: true,
				})
			}
		case snowjunction.Log:
			c.do(a)
		}
	}
	c.book.Each(func(d snowjunction.DestinationID, text []byte, at time.Duration, restart bool) {
		e.Known = append(e.Known, handover.Known{Destination: uint32(d), At: c.start.Add(at), Text: text, Restart: restart})
	})
	slices.SortFunc(e.Known, func(a, b handover.Known) int { return cmp.Compare(a.Destination, b.Destination) })
}

// Counts are what a core has counted since its process began.
type Counts struct {
	tallies []tally
	relayed uint64
}

// Counted is what has been counted so far.
func (c *Core) Counted() Counts { return Counts{slices.Clone(c.tallies), c.relayed} }

// Carry goes on with the counts of an earlier core of this process.
func (c *Core) Carry(n Counts) { c.tallies, c.relayed = n.tallies, n.relayed }

// TakeOver takes up what another process of this courier knows, before Restore.
func (c *Core) TakeOver(e *handover.Estate) {
	for _, k := range e.Known {
		c.book.Hand(snowjunction.DestinationID(k.Destination), k.Text, k.At.Sub(c.start), c.since(), k.Awake, k.Restart)
	}
	for _, k := range e.Keys {
		c.ran.Left(idempotency.Key{Destination: k.Destination, Text: k.Text}, k.ID, k.At.Sub(c.start), k.Until.Sub(k.At))
	}
	for _, r := range e.Rests {
		if left := r.Until.Sub(c.Loop.Now()); left > 0 {
			c.feed(snowjunction.Rests{Key: r.Key, For: left})
		}
	}
	c.going = map[uint64]handover.Call{}
	for _, x := range e.Calls {
		c.going[x.Seq] = x
	}
}

// Forgone are calls that were taken over and that no message is open for.
func (c *Core) Forgone() map[uint64]handover.Call { return c.going }

// goOn goes on with the attempt of a flow that has been taken over, and tells the module's
// number of its endpoint. One that has left the list meanwhile gets nothing new.
func (c *Core) goOn(f *flow) snowjunction.EndpointID {
	x := *f.going
	f.going = nil
	front, dest := x.Endpoint.Front, snowjunction.DestinationID(f.msg.Destination)
	g := c.routes.awake[dest]
	l := g.find(front, x.Endpoint.Name)
	if l == nil {
		c.routes.last++
		l = &listed{front: front, id: c.routes.last, standing: belief.Told, Entry: Entry{
			Name: x.Endpoint.Name, Addr: x.Endpoint.Addr, Destination: dest, Zone: x.Endpoint.Zone, Kind: x.Endpoint.Kind,
			Phase: snowjunction.Draining, Weight: x.Endpoint.Weight,
		}}
		g.members = append(g.members, l)
		c.routes.byID[l.id] = l
		c.changed([]snowjunction.Endpoint{l.entry()})
	}
	t := l.target
	if t == nil {
		t = c.Fronts[front].Target(l.Entry)
		t.Leave()
	}
	a := &attempt{
		flow: f, endpoint: l.id, no: f.msg.Attempts - 1, began: x.Began, timeout: x.Until.Sub(x.Began), recorded: true, left: f.msg.OutSince,
	}
	f.attempt = a
	c.calls++
	a.limit = c.Loop.After(x.Until.Sub(c.Loop.Now()), func() { c.expire(a, snowjunction.TimedOut) })
	a.call = t.(Adopting).Adopt(f.msg, x, func(r Result) { c.read(a, r) })
	return l.id
}
