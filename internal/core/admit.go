package core

import (
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// drainAfter is when a client refused by a courier that ends may come back: by
// then it reaches another.
const drainAfter = 400 * time.Millisecond

// admit has the plug-ins asked, then looks at the journal's room and asks the
// module. The client is answered after the module's first look, within about a
// tick: what it gives up at once was never taken on.
func (c *Core) admit(f *flow) {
	if c.draining || c.frozen {
		c.refuse(f, drainAfter)
		return
	}
	if c.full() {
		c.refuse(f, c.Settings.MaxRetry/2)
		return
	}
	c.ids[f.name()] = f
	if c.Plugins == nil {
		c.admitted(f)
		return
	}
	c.asked++
	// A plug-in that is asked about one message of a key and not about the next
	// must not let that overtake.
	key := f.msg.Key
	if !f.class.InOrder {
		key = 0
	}
	if key != 0 {
		if waiting, asked := c.asking[key]; asked {
			c.asking[key] = append(waiting, f)
			return
		}
		c.asking[key] = nil
	}
	c.ask(f, key)
}

// full tells that no further flow can be held, with those counted that wait for
// plug-ins.
func (c *Core) full() bool {
	return c.Settings.MaxHeld > 0 && c.held+c.asked >= c.Settings.MaxHeld
}

// ask asks the plug-ins about a flow, then goes on with it and with the next of
// its key.
func (c *Core) ask(f *flow, key uint64) {
	next := func() {
		if key == 0 {
			return
		}
		if waiting := c.asking[key]; len(waiting) > 0 {
			c.asking[key] = waiting[1:]
			c.ask(waiting[0], key)
			return
		}
		delete(c.asking, key)
	}
	asked := c.Plugins.Admit(f.msg, func(pass bool, after time.Duration) {
		c.asked--
		if pass {
			c.admitted(f)
		} else {
			c.Counters.Hooked++
			c.refuse(f, after)
		}
		next()
	})
	if !asked {
		c.asked--
		c.admitted(f)
		next()
	}
}

// admitted goes on with a flow that no plug-in has refused.
func (c *Core) admitted(f *flow) {
	if c.draining || c.frozen {
		c.refuse(f, drainAfter)
		return
	}
	// No list has ever named such a destination: a message for it could only
	// wait for its deadline.
	dest := snowjunction.DestinationID(f.msg.Destination)
	unheard := c.routes.awake[dest] == nil && !c.routes.listedAnywhere(dest) && !c.routes.heard.has(dest, c.Loop.Now())
	if c.full() || unheard || !c.Journal.Room(len(f.msg.Body)+len(f.msg.ID)+len(f.msg.IdempotencyKey)) {
		c.refuse(f, c.Settings.MaxRetry/2)
		return
	}
	if c.routes.awake[dest] == nil {
		if room, after := c.book.Room(c.since()); !room { // all that is kept of others binds
			c.Counters.Crowded++
			c.refuse(f, min(after, c.Settings.MaxRetry))
			return
		}
	}
	if at, ran := c.ran.Since(f.idempotencyKey(), c.since()); ran && f.keyed() {
		f.msg.Ran, f.msg.RanSince = true, c.start.Add(at) // under another id: its window goes on
	}
	f.fresh = true
	c.hand(f)
}

// hand files a flow and gives it to the module.
func (c *Core) hand(f *flow) {
	c.Counters.serial++
	f.id = snowjunction.RequestID(c.Counters.serial)
	c.flows[f.id], c.ids[f.name()] = f, f
	if f.keyed() {
		c.keys[f.idempotencyKey()] = append(c.keys[f.idempotencyKey()], f)
	}
	c.held++
	if g := c.hold(f); g.waiting {
		g.parked = append(g.parked, f)
		return
	}
	c.submit(f)
}

// submit gives the module a flow whose destination it knows.
func (c *Core) submit(f *flow) {
	if f.ended {
		return
	}
	if f.fresh {
		c.fresh = append(c.fresh, f)
	}
	m := f.msg
	ev := snowjunction.Request{
		ID: f.id, Destination: snowjunction.DestinationID(m.Destination), Class: c.classes[m.Class],
		Tenant: c.tenant(m.Tenant), Key: m.Key, Again: m.Again, Attempts: m.Attempts, Ran: m.Ran,
	}
	if f.going != nil {
		ev.OutOn = c.goOn(f)
	}
	c.feed(ev)
}

// timely is the events as the module is told them now. A request may have waited for the
// directory's word, and the module counts its times from when it hears of them: they are
// those of this moment, or its window and its deadline would end later than they do.
func (c *Core) timely(events []snowjunction.Event) []snowjunction.Event {
	now := c.Loop.Now()
	for i, e := range events {
		ev, ok := e.(snowjunction.Request)
		f := c.flows[ev.ID]
		if !ok || f == nil {
			continue
		}
		ev.Deadline = f.msg.Deadline.Sub(now)
		if f.msg.Ran {
			if ev.RanFor = now.Sub(f.msg.RanSince); ev.RanFor < 0 { // the clock was set back: it may be any time ago
				ev.RanFor = f.class.Window
			}
		}
		if ev.OutOn != 0 && f.attempt != nil {
			ev.OutFor = now.Sub(f.attempt.began)
		}
		events[i] = ev
	}
	return events
}

func (c *Core) tenant(name string) int {
	if no, ok := c.tenants[name]; ok {
		return no
	}
	return -1
}

// Until tells until when a settled message of which an attempt may have run binds others: its
// idempotency key while its window lasts, as its client reckons it, and the next of its key
// while the attempt may be running. For store.Options.
func Until(s snowjunction.Settings) func(m *store.Message) time.Time {
	classes := map[string]snowjunction.Class{}
	for _, cl := range s.Classes {
		classes[cl.Name] = cl
	}
	return func(m *store.Message) (until time.Time) {
		class, since := classes[m.Class], m.RanSince
		if !m.Ran {
			since = m.OutSince
		}
		if class.Effect == snowjunction.Keyed && m.IdempotencyKey != "" {
			until = since.Add(class.Window + windowSlack)
		}
		if rests := m.OutSince.Add(class.Deadline); class.InOrder && m.Key != 0 && !over(m) && rests.After(until) {
			until = rests
		}
		return until
	}
}

// over tells that a settled message's attempts surely are: its only one was answered.
func over(m *store.Message) bool { return m.State == store.Delivered && m.Attempts == 1 }

// Remember takes up the settled messages of an earlier process that may have run: handed in
// again, they go within the first one's window, and their keys rest where an attempt may be
// running still. It is called before Restore.
func (c *Core) Remember(messages []*store.Message) {
	slices.SortStableFunc(messages, func(a, b *store.Message) int { return a.RanSince.Compare(b.RanSince) })
	for _, m := range messages {
		no, known := c.classes[m.Class]
		if !known {
			continue
		}
		class := &c.Settings.Classes[no]
		c.ranBefore(&flow{msg: m, class: class})
		if !over(m) && c.Loop.Now().Sub(m.OutSince) < class.Deadline {
			c.restFor(class, m.Key)
		}
	}
}

// ranBefore has it remembered that an earlier process's message may have run. Where its clock
// was ahead of this one's it may be any time ago, and its client may come for as long as ever.
func (c *Core) ranBefore(f *flow) {
	at, window := f.msg.RanSince.Sub(c.start), f.class.Window
	if now := c.since(); at > now {
		at, window = now-window, 2*window
	}
	c.left(f, at, window)
	if f.keyed() && f.msg.State != store.Open && c.before[f.idempotencyKey()] == nil {
		c.before[f.idempotencyKey()] = f.msg
	}
}

// restFor has a key rest as after an attempt that may run still: an earlier process may have
// ended just now with one out.
func (c *Core) restFor(class *snowjunction.Class, key uint64) {
	if class.InOrder && key != 0 {
		c.feed(snowjunction.Rests{Key: key, For: c.Settings.OrderSettle})
	}
}

// tried counts that a flow which a restart found untried has been tried, or is given up so.
func (c *Core) tried(f *flow, is bool) {
	if !f.untried {
		return
	}
	f.untried = false
	if is {
		c.Counters.Tried++
	} else {
		c.Counters.GivenUp++
	}
	if n := &c.Counters; n.Tried+n.GivenUp == n.Untried {
		c.Log.Info("what the restart found untried is through", "untried", n.Untried, "tried", n.Tried, "given_up", n.GivenUp)
	}
}

// Restore takes up what an earlier process left in the journal, in the order
// of taking: open messages go to the module, ends that nobody may have heard
// of are told once more.
func (c *Core) Restore(messages []*store.Message) {
	for _, m := range messages {
		no, known := c.classes[m.Class]
		if known && m.Ran { // whatever became of it, its window goes on
			c.ranBefore(&flow{msg: m, class: &c.Settings.Classes[no]})
			if now := c.Loop.Now(); m.RanSince.After(now) { // by the time it is heard of this would be some of its window
				m.RanSince = now.Add(-c.Settings.Classes[no].Window)
			}
			if _, goes := c.going[m.Seq]; !goes && !m.Settled {
				c.restFor(&c.Settings.Classes[no], m.Key)
			}
		}
		switch {
		case m.Settled:
		case int(m.Origin) >= len(c.Fronts):
			c.Log.Error("a message in the journal came by a front that is not there", "id", m.ID)
		case m.State == store.Open && known:
			c.Counters.Restored++
			f := &flow{msg: m, class: &c.Settings.Classes[no], untried: m.Attempts == 0}
			if first := c.before[f.idempotencyKey()]; first != nil && f.keyed() && !m.Ran {
				c.ranUnderAnother(f, first.RanSince)
			}
			if f.untried {
				c.Counters.Untried++
			}
			if call, ok := c.going[m.Seq]; ok && m.Out {
				f.going = &call
				delete(c.going, m.Seq)
			}
			c.hand(f)
		default:
			f := &flow{msg: m, class: &snowjunction.Class{}}
			if known {
				f.class = &c.Settings.Classes[no]
			}
			if m.State == store.Open { // a class that this configuration does not know
				c.end(f, store.Failed, 0)
			} else {
				c.tell(f)
			}
		}
	}
	clear(c.before)
}

// admitFresh takes on what the module has seen and kept.
func (c *Core) admitFresh() {
	fresh := c.fresh
	c.fresh = nil
	for _, f := range fresh {
		if f.answer != nil && !f.ended {
			c.take(f)
		}
	}
}

// take writes a flow to the journal, then tells the client. It returns false
// where that failed and the flow is over.
func (c *Core) take(f *flow) bool {
	answer := f.answer
	if answer == nil {
		return true
	}
	f.answer = nil
	if err := c.Journal.Take(f.msg); err != nil {
		c.Log.Error("not taken on", "id", f.msg.ID, "err", err)
		c.Counters.Refused++
		c.of(f).throttled++
		answer(Answer{Verdict: Fixed, After: c.Settings.MaxRetry / 2}, nil)
		c.forgo(f)
		return false
	}
	c.Counters.Taken++
	if !answer(Answer{Verdict: Taken}, f.msg) {
		c.Counters.Gone++
		c.forgo(f)
		c.end(f, store.Withdrawn, 0)
		return false
	}
	return true
}

// forgo has the module forget a flow that nobody waits for.
func (c *Core) forgo(f *flow) {
	c.drop(f)
	c.feed(snowjunction.Withdrawn{Request: f.id})
}

// refuse gives a flow that is not taken on its fixed response.
func (c *Core) refuse(f *flow, after time.Duration) {
	c.Counters.Refused++
	c.of(f).throttled++
	c.traceEnd(f, "turned_away", after)
	if c.ids[f.name()] == f && f.id == 0 {
		delete(c.ids, f.name())
	}
	if f.answer != nil {
		f.answer(Answer{Verdict: Fixed, After: after}, nil)
		f.answer = nil
	}
}
