package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/handover"
	"snowjunction/internal/idempotency"
	"snowjunction/internal/snapshot"
	"snowjunction/internal/store"
)

// CallHandover is a Call whose connection can be handed over to another process.
type CallHandover interface {
	// Detach detaches the connection from this process. It returns false if it cannot be handed over.
	Detach() (handover.Call, bool)
	// BufferedAnswer returns the part of the answer that had been read. It is valid once the engine has
	// stopped.
	BufferedAnswer() []byte
}

// CallAdopter is a Target that can continue another process's call.
type CallAdopter interface {
	Adopt(m *store.Message, from handover.Call, done func(Result)) Call
}

// Suspend stops all decisions, so that another process of this courier can continue. Results and
// messages are still accepted.
func (c *Core) Suspend() {
	c.suspended = true
	c.handleTimer.Stop()
	c.handleTimer = nil
}

// UnmovableCalls returns the number of calls in flight on connections that cannot be handed over. A
// handover loses their results.
func (c *Core) UnmovableCalls() (n int) {
	for _, f := range c.flows {
		if a := f.attempt; a != nil && a.call != nil && !isMovable(a.call) && a.call.Sent() {
			n++
		}
	}
	return n
}

func isMovable(call Call) bool {
	_, ok := call.(CallHandover)
	return ok
}

// HandoverPending returns the number of items that a handover would lose now: calls on connections that
// cannot be handed over, and work that waits for plug-ins or the disk.
func (c *Core) HandoverPending() int {
	n := c.awaitingPlugins + c.unwrittenExclusions
	for _, f := range c.flows {
		if a := f.attempt; a != nil && a.call != nil {
			if a.answered || !isMovable(a.call) && a.call.Sent() {
				n++
			}
		}
	}
	return n
}

// HandOver releases all calls in flight, each to the handover state if its connection can be handed
// over. Attempts that have not been sent are recorded as not run. The returned function fills in
// the remaining state and must be called after the engine has stopped. The core must not be used
// after that.
func (c *Core) HandOver() func(e *handover.State) {
	now := c.Loop.Now()
	for _, f := range c.flows { // only clients of the first front are handed over
		if f.answer != nil && f.msg.Origin != 0 {
			c.refuse(f, drainAfter)
		}
	}
	heldKeys := map[uint64]time.Time{}
	var calls []handover.Call
	var handed []CallHandover
	for _, id := range slices.Sorted(maps.Keys(c.flows)) {
		f := c.flows[id]
		a := f.attempt
		if a == nil || a.call == nil {
			continue
		}
		h, ok := a.call.(CallHandover)
		l := c.routes.byID[a.endpoint]
		switch {
		case f.ended: // only its ordering key still depends on the call
			if a.call.GiveUp(); f.class.InOrder && f.msg.Key != 0 {
				heldKeys[f.msg.Key] = now.Add(c.Settings.OrderSettle)
			}
			continue
		case !a.call.Sent():
			a.call.GiveUp()
			c.recordOutcome(a, false)
			continue
		case !ok || a.answered || l == nil:
			continue // the journal says that it may have run
		}
		if x, ok := h.Detach(); ok {
			x.Seq, x.Began, x.Deadline = f.msg.Seq, a.startedAt, a.startedAt.Add(a.timeout)
			x.Endpoint = handover.Endpoint{
				Front: l.front, Name: l.Name, Addr: l.Addr, Destination: uint32(l.Destination), Zone: l.Zone, Kind: l.Kind, Weight: l.Weight,
			}
			calls, handed = append(calls, x), append(handed, h)
		}
	}
	return func(e *handover.State) {
		for i, h := range handed {
			calls[i].Unprocessed = h.BufferedAnswer()
		}
		e.Calls = calls
		c.finalSnapshot(e)
		c.attemptedKeys.Each(c.elapsed(), func(k idempotency.Key, id string, at, until time.Duration) {
			e.Keys = append(e.Keys, handover.Key{
				Destination: k.Destination, Text: k.Text, ID: id, At: c.start.Add(at), Until: c.start.Add(until),
			})
		})
		c.courier.SettlingKeys(func(key uint64, left time.Duration) {
			if until := c.Loop.Now().Add(left); until.After(heldKeys[key]) {
				heldKeys[key] = until
			}
		})
		for _, key := range slices.Sorted(maps.Keys(heldKeys)) {
			e.KeyPauses = append(e.KeyPauses, handover.KeyPause{Key: key, Until: heldKeys[key]})
		}
	}
}

// finalSnapshot passes the events since Suspend to the module and collects its state. Other
// resulting actions are dropped: the next process decides from the same state.
func (c *Core) finalSnapshot(e *handover.State) {
	now := c.Loop.Now()
	events := c.events
	for _, d := range slices.Sorted(maps.Keys(c.routes.loaded)) {
		if g := c.routes.loaded[d]; !g.loading {
			events = append(events, snowjunction.Inspect{Destination: d})
		}
	}
	for _, a := range c.courier.Handle(c.elapsed(), c.refreshTimes(events)) {
		switch a := a.(type) {
		case snowjunction.Inspected:
			if a.Snapshot != nil {
				e.Destinations = append(e.Destinations, handover.DestinationState{
					Destination: uint32(a.Destination), At: now, Snapshot: snapshot.Encode(nil, c.memento(a.Snapshot)), Loaded: true,
				})
			}
		case snowjunction.Log:
			c.execute(a)
		}
	}
	c.idleTracker.Each(func(d snowjunction.DestinationID, text []byte, at time.Duration, restart bool) {
		e.Destinations = append(e.Destinations, handover.DestinationState{Destination: uint32(d), At: c.start.Add(at), Snapshot: text, FromRestart: restart})
	})
	slices.SortFunc(e.Destinations, func(a, b handover.DestinationState) int { return cmp.Compare(a.Destination, b.Destination) })
}

// Counts are the figures that a core has counted since its process started.
type Counts struct {
	tallies      []tally
	attemptsSent uint64
}

// Counts returns the counts so far.
func (c *Core) Counts() Counts { return Counts{slices.Clone(c.tallies), c.attemptsSent} }

// RestoreCounts continues the counts of an earlier core of this process.
func (c *Core) RestoreCounts(n Counts) { c.tallies, c.attemptsSent = n.tallies, n.attemptsSent }

// TakeOver loads the state handed over by another process of this courier. It must be called before
// Restore.
func (c *Core) TakeOver(e *handover.State) {
	c.takeOverDestinations(e.Destinations)
	for _, k := range e.Keys {
		c.attemptedKeys.AttemptSent(idempotency.Key{Destination: k.Destination, Text: k.Text}, k.ID, k.At.Sub(c.start), k.Until.Sub(k.At))
	}
	for _, r := range e.KeyPauses {
		if left := r.Until.Sub(c.Loop.Now()); left > 0 {
			c.queueEvent(snowjunction.KeySettling{Key: r.Key, For: left})
		}
	}
	c.adoptedCalls = map[uint64]handover.Call{}
	for _, x := range e.Calls {
		c.adoptedCalls[x.Seq] = x
	}
}

// takeOverDestinations takes over the state of destinations. If there is not enough room, what no rule needs
// gives way first, the oldest before the others.
func (c *Core) takeOverDestinations(destinations []handover.DestinationState) {
	byAge := slices.SortedStableFunc(slices.Values(destinations), func(a, b handover.DestinationState) int { return a.At.Compare(b.At) })
	for _, k := range byAge {
		c.idleTracker.AddHandedOver(snowjunction.DestinationID(k.Destination), k.Snapshot, k.At.Sub(c.start), c.elapsed(), k.Loaded, k.FromRestart)
	}
	if n := c.idleTracker.Counts.BindingDropped; n > 0 {
		c.Log.Warn("no room for all delays and outages of the previous process", "destinations", n)
	}
}

// UnclaimedCalls returns the calls taken over for which no message is open.
func (c *Core) UnclaimedCalls() map[uint64]handover.Call { return c.adoptedCalls }

// adopt continues an attempt that was taken over, and returns the module's number of its endpoint.
// An endpoint that has left the list meanwhile is entered as draining and gets nothing new.
func (c *Core) adopt(f *flow) snowjunction.EndpointID {
	call := *f.adoptedCall
	f.adoptedCall = nil
	front, destination := call.Endpoint.Front, snowjunction.DestinationID(f.msg.Destination)
	g := c.routes.loaded[destination]
	l := g.find(front, call.Endpoint.Name)
	if l == nil {
		c.routes.lastID++
		l = &loadedEndpoint{front: front, id: c.routes.lastID, standing: confidence.Listed, Entry: Entry{
			Name: call.Endpoint.Name, Addr: call.Endpoint.Addr, Destination: destination, Zone: call.Endpoint.Zone, Kind: call.Endpoint.Kind,
			Phase: snowjunction.Draining, Weight: call.Endpoint.Weight,
		}}
		g.members = append(g.members, l)
		c.routes.byID[l.id] = l
		c.queueEndpoints([]snowjunction.Endpoint{l.moduleView()})
	}
	t := l.target
	if t == nil {
		t = c.Fronts[front].Target(l.Entry)
		t.Retire()
	}
	a := &attempt{
		flow: f, endpoint: l.id, number: f.msg.Attempts - 1, startedAt: call.Began, timeout: call.Deadline.Sub(call.Began), recorded: true, sentAt: f.msg.InFlightSince,
	}
	f.attempt = a
	c.openCalls++
	a.timeoutTimer = c.Loop.After(call.Deadline.Sub(c.Loop.Now()), func() { c.expire(a, snowjunction.TimedOut) })
	a.call = t.(CallAdopter).Adopt(f.msg, call, func(r Result) { c.readAnswer(a, r) })
	return l.id
}
