package core

import (
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// drainAfter is the retry delay for clients refused by a courier that is shutting down. By then
// they reach another courier.
const drainAfter = 400 * time.Millisecond

// admit asks the plug-ins, then checks the capacity and asks the module. The client is answered
// after the module's first decision, within about one tick; a message that the module refuses then
// is never accepted.
func (c *Core) admit(f *flow) {
	if c.draining || c.frozen {
		c.refuse(f, drainAfter)
		return
	}
	if c.atCapacity() {
		c.refuse(f, c.Settings.MaxRetryAfter/2)
		return
	}
	c.flowsByRef[f.ref()] = f
	if c.Plugins == nil {
		c.admitChecked(f)
		return
	}
	c.awaitingPlugins++
	// Messages of one key must not overtake each other if a plug-in is asked about the first and
	// not about the second.
	key := f.msg.Key
	if !f.class.InOrder {
		key = 0
	}
	if key != 0 {
		if waiting, busy := c.pluginQueues[key]; busy {
			c.pluginQueues[key] = append(waiting, f)
			return
		}
		c.pluginQueues[key] = nil
	}
	c.askPlugins(f, key)
}

// atCapacity reports whether no further flow can be held, counting those that wait for plug-ins.
func (c *Core) atCapacity() bool {
	return c.Settings.MaxHeld > 0 && c.openFlows+c.awaitingPlugins >= c.Settings.MaxHeld
}

// askPlugins asks the plug-ins about a flow, then continues with it and with the next flow of its
// key.
func (c *Core) askPlugins(f *flow, key uint64) {
	next := func() {
		if key == 0 {
			return
		}
		if waiting := c.pluginQueues[key]; len(waiting) > 0 {
			c.pluginQueues[key] = waiting[1:]
			c.askPlugins(waiting[0], key)
			return
		}
		delete(c.pluginQueues, key)
	}
	handled := c.Plugins.Admit(f.msg, func(pass bool, after time.Duration) {
		c.awaitingPlugins--
		if pass {
			c.admitChecked(f)
		} else {
			c.Counters.RefusedByPlugin++
			c.refuse(f, after)
		}
		next()
	})
	if !handled {
		c.awaitingPlugins--
		c.admitChecked(f)
		next()
	}
}

// admitChecked continues with a flow that no plug-in has refused.
func (c *Core) admitChecked(f *flow) {
	if c.draining || c.frozen {
		c.refuse(f, drainAfter)
		return
	}
	// No list has recently named this destination: a message for it could only wait for its
	// deadline.
	destination := snowjunction.DestinationID(f.msg.Destination)
	unlisted := c.routes.loaded[destination] == nil && !c.routes.listedAnywhere(destination) && !c.routes.delisted.has(destination, c.Loop.Now())
	if c.atCapacity() || unlisted || !c.Journal.HasRoom(len(f.msg.Body)+len(f.msg.ID)+len(f.msg.IdempotencyKey)) {
		c.refuse(f, c.Settings.MaxRetryAfter/2)
		return
	}
	if c.routes.loaded[destination] == nil {
		if room, after := c.idleTracker.HasRoom(c.elapsed()); !room { // all stored snapshots are binding
			c.Counters.RefusedCrowded++
			c.refuse(f, min(after, c.Settings.MaxRetryAfter))
			return
		}
	}
	if at, known := c.attemptedKeys.FirstAttempt(f.idempotencyKey(), c.elapsed()); known && f.keyed() {
		f.msg.MayHaveRun, f.msg.MayHaveRunSince = true, c.start.Add(at) // already sent under another id
	}
	f.needsAdmission = true
	c.register(f)
}

// register files a flow and passes it to the module.
func (c *Core) register(f *flow) {
	c.Counters.lastFlow++
	f.id = snowjunction.RequestID(c.Counters.lastFlow)
	c.flows[f.id], c.flowsByRef[f.ref()] = f, f
	if f.keyed() {
		c.flowsByIdempotencyKey[f.idempotencyKey()] = append(c.flowsByIdempotencyKey[f.idempotencyKey()], f)
	}
	c.openFlows++
	c.submitInOrder(f)
}

// submit passes a flow to the module. Its destination is loaded.
func (c *Core) submit(f *flow) {
	if f.ended {
		return
	}
	if f.needsAdmission {
		c.awaitingAdmission = append(c.awaitingAdmission, f)
	}
	m := f.msg
	event := snowjunction.Request{
		ID: f.id, Destination: snowjunction.DestinationID(m.Destination), Class: c.classes[m.Class],
		Tenant: c.tenant(m.Tenant), Key: m.Key, Resubmitted: m.Resubmitted, Attempts: m.Attempts, MayHaveRun: m.MayHaveRun,
	}
	if f.adoptedCall != nil {
		event.OpenEndpoint = c.adopt(f)
	}
	c.queueEvent(event)
}

// refreshTimes recomputes the relative times of queued requests just before the module is called. A
// request may have waited for the directory, and the module counts from the moment when it receives
// the event: with the old values its window and its deadline would end too late.
func (c *Core) refreshTimes(events []snowjunction.Event) []snowjunction.Event {
	now := c.Loop.Now()
	for i, e := range events {
		request, ok := e.(snowjunction.Request)
		f := c.flows[request.ID]
		if !ok || f == nil {
			continue
		}
		request.Deadline = f.msg.Deadline.Sub(now)
		if f.msg.MayHaveRun {
			// A negative time means that the clock was set back: the true time is unknown.
			if request.SinceRun = now.Sub(f.msg.MayHaveRunSince); request.SinceRun < 0 {
				request.SinceRun = f.class.Window
			}
		}
		if request.OpenEndpoint != 0 && f.attempt != nil {
			request.OpenFor = now.Sub(f.attempt.startedAt)
		}
		events[i] = request
	}
	return events
}

func (c *Core) tenant(name string) int {
	if index, ok := c.tenants[name]; ok {
		return index
	}
	return -1
}

// Until returns a function for store.Options. It returns the time until which a settled message
// that may have run still constrains others: its idempotency key for the length of the window as
// the client counts it, and the next message of its ordering key while an attempt may be running.
func Until(s snowjunction.Settings) func(m *store.Message) time.Time {
	classes := map[string]snowjunction.Class{}
	for _, cl := range s.Classes {
		classes[cl.Name] = cl
	}
	return func(m *store.Message) (until time.Time) {
		class, since := classes[m.Class], m.MayHaveRunSince
		if !m.MayHaveRun {
			since = m.InFlightSince
		}
		if class.Effect == snowjunction.Keyed && m.IdempotencyKey != "" {
			until = since.Add(class.Window + windowSlack)
		}
		if holdEnd := m.InFlightSince.Add(class.Deadline); class.InOrder && m.Key != 0 && !attemptsOver(m) && holdEnd.After(until) {
			until = holdEnd
		}
		return until
	}
}

// attemptsOver reports whether no attempt of a settled message can be running: its only one was
// answered.
func attemptsOver(m *store.Message) bool { return m.State == store.Delivered && m.Attempts == 1 }

// RestoreSettled restores settled messages of a previous process that may have run. A resubmission stays
// within the first one's window, and the ordering key is held while an attempt may still be
// running. It must be called before Restore.
func (c *Core) RestoreSettled(messages []*store.Message) {
	slices.SortStableFunc(messages, func(a, b *store.Message) int { return a.MayHaveRunSince.Compare(b.MayHaveRunSince) })
	for _, m := range messages {
		classIndex, known := c.classes[m.Class]
		if !known {
			continue
		}
		class := &c.Settings.Classes[classIndex]
		c.rememberRun(&flow{msg: m, class: class})
		if !attemptsOver(m) && c.Loop.Now().Sub(m.InFlightSince) < class.Deadline {
			c.holdKey(class, m.Key)
		}
	}
}

// rememberRun remembers that a message of a previous process may have run. If that process's clock
// was ahead of this one, the time since is unknown. The run is then dated one window back, so that
// nothing is sent with its key, and remembered for another window, in which the client may
// resubmit.
func (c *Core) rememberRun(f *flow) {
	at, window := f.msg.MayHaveRunSince.Sub(c.start), f.class.Window
	if now := c.elapsed(); at > now {
		at, window = now-window, 2*window
	}
	c.rememberAttempt(f, at, window)
	if f.keyed() && f.msg.State != store.Open && c.endedBefore[f.idempotencyKey()] == nil {
		c.endedBefore[f.idempotencyKey()] = f.msg
	}
}

// holdKey holds an ordering key as after an attempt that may still run: the previous process may
// have ended just now with one in flight.
func (c *Core) holdKey(class *snowjunction.Class, key uint64) {
	if class.InOrder && key != 0 {
		c.queueEvent(snowjunction.KeySettling{Key: key, For: c.Settings.OrderSettle})
	}
}

// countTried counts whether a flow that was restored without an attempt has been attempted, or has
// ended without one.
func (c *Core) countTried(f *flow, attempted bool) {
	if !f.untried {
		return
	}
	f.untried = false
	if attempted {
		c.Counters.UntriedAttempted++
	} else {
		c.Counters.UntriedAbandoned++
	}
	if n := &c.Counters; n.UntriedAttempted+n.UntriedAbandoned == n.RestoredUntried {
		c.Log.Info("all restored messages without an earlier attempt have been attempted or ended", "untried", n.RestoredUntried, "tried", n.UntriedAttempted, "given_up", n.UntriedAbandoned)
	}
}

// Restore resumes the messages that a previous process left in the journal, in the order of
// acceptance. Open messages go to the module; unsettled ends are reported again.
func (c *Core) Restore(messages []*store.Message) {
	for _, m := range messages {
		classIndex, known := c.classes[m.Class]
		if known && m.MayHaveRun { // its window continues, whatever its state
			c.rememberRun(&flow{msg: m, class: &c.Settings.Classes[classIndex]})
			// The clock was set back. MayHaveRunSince may have passed by the time the module sees the
			// message; its window would then seem to have just begun.
			if now := c.Loop.Now(); m.MayHaveRunSince.After(now) {
				m.MayHaveRunSince = now.Add(-c.Settings.Classes[classIndex].Window)
			}
			if _, inFlight := c.adoptedCalls[m.Seq]; !inFlight && !m.Settled {
				c.holdKey(&c.Settings.Classes[classIndex], m.Key)
			}
		}
		switch {
		case m.Settled:
		case int(m.Origin) >= len(c.Fronts):
			c.Log.Error("journal message belongs to an unknown front", "id", m.ID)
		case m.State == store.Open && known:
			c.Counters.Restored++
			f := &flow{msg: m, class: &c.Settings.Classes[classIndex], untried: m.Attempts == 0}
			if first := c.endedBefore[f.idempotencyKey()]; first != nil && f.keyed() && !m.MayHaveRun {
				c.markRanUnderOtherID(f, first.MayHaveRunSince)
			}
			if f.untried {
				c.Counters.RestoredUntried++
			}
			if call, ok := c.adoptedCalls[m.Seq]; ok && m.InFlight {
				f.adoptedCall = &call
				delete(c.adoptedCalls, m.Seq)
			}
			c.register(f)
		default:
			f := &flow{msg: m, class: &snowjunction.Class{}}
			if known {
				f.class = &c.Settings.Classes[classIndex]
			}
			if m.State == store.Open { // its class is not in this configuration
				c.finish(f, store.Failed, 0)
			} else {
				c.notifyFront(f)
			}
		}
	}
	clear(c.endedBefore)
}

// acceptAdmitted accepts the flows that the module has seen and not refused.
func (c *Core) acceptAdmitted() {
	admitted := c.awaitingAdmission
	c.awaitingAdmission = nil
	for _, f := range admitted {
		if f.answer != nil && !f.ended {
			c.accept(f)
		}
	}
}

// accept writes a flow to the journal and answers the client. It returns false if that failed, in
// which case the flow is over.
func (c *Core) accept(f *flow) bool {
	answer := f.answer
	if answer == nil {
		return true
	}
	f.answer = nil
	if err := c.Journal.Accept(f.msg); err != nil {
		c.Log.Error("message not accepted: journal write failed", "id", f.msg.ID, "err", err)
		c.Counters.Refused++
		c.tallyOf(f).refused++
		answer(Answer{Verdict: FixedResponse, RetryAfter: c.Settings.MaxRetryAfter / 2}, nil)
		c.withdraw(f)
		return false
	}
	c.Counters.Accepted++
	if !answer(Answer{Verdict: Accepted}, f.msg) {
		c.Counters.ClientGone++
		c.withdraw(f)
		c.finish(f, store.Withdrawn, 0)
		return false
	}
	return true
}

// withdraw removes a flow that no client waits for, here and in the module.
func (c *Core) withdraw(f *flow) {
	c.closeFlow(f)
	c.queueEvent(snowjunction.Withdrawn{Request: f.id})
}

// refuse answers a flow that is not accepted with a fixed response.
func (c *Core) refuse(f *flow, retryAfter time.Duration) {
	c.Counters.Refused++
	c.tallyOf(f).refused++
	c.traceEnd(f, "turned_away", retryAfter)
	if c.flowsByRef[f.ref()] == f && f.id == 0 {
		delete(c.flowsByRef, f.ref())
	}
	if f.answer != nil {
		f.answer(Answer{Verdict: FixedResponse, RetryAfter: retryAfter}, nil)
		f.answer = nil
	}
}
