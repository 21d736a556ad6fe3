package core

import (
	"context"
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// read asks the plug-ins what an answer means, then takes it further. The safe
// reading, where none says anything in time, is the protocol's own.
func (c *Core) read(a *attempt, r Result) {
	if a.flow.attempt != a || a.reading {
		return
	}
	a.reading = true
	if c.told(a, r) {
		c.trace("told to wait", a.flow.msg)
		if c.Plugins != nil && c.Plugins.Reads(a.flow.msg) {
			c.feed(snowjunction.WaitTold{Endpoint: a.endpoint, Wait: r.Wait}) // the plug-ins may take their time
		}
	}
	var to Entry
	if l := c.routes.byID[a.endpoint]; l != nil {
		to = l.Entry
	}
	if c.Plugins == nil || !c.Plugins.Read(a.flow.msg, to, r, func(r Result) { c.relay(a, r) }) {
		c.relay(a, r)
	}
}

// told tells whether an answer names a wait. Until the module has heard of that, nothing more
// leaves for its destination.
func (c *Core) told(a *attempt, r Result) bool {
	if r.Wait <= 0 || r.Outcome != snowjunction.Full && r.Outcome != snowjunction.Error {
		return false
	}
	c.waitTold[a.flow.msg.Destination] = true
	return true
}

// relay takes an attempt's result to the journal and the module.
func (c *Core) relay(a *attempt, r Result) {
	f := a.flow
	if f.attempt != a {
		return
	}
	a.limit.Stop()
	a.connect.Stop()
	f.attempt = nil
	c.calls--
	c.Counters.result(r.Outcome)
	ran := mayHaveRun(r.Outcome)
	switch {
	case r.Outcome == snowjunction.OK && f.ended:
		c.Counters.Late++
		c.came(a, true)
	case r.Outcome == snowjunction.OK && c.tooLate(f):
		c.Counters.Overdue++
		c.end(f, store.Failed, 0)
	case r.Outcome == snowjunction.OK:
		c.end(f, store.Delivered, 0)
	case r.Over && !f.ended:
		c.came(a, ran)
		c.end(f, store.Withdrawn, 0)
	default:
		c.came(a, ran)
		if r.Outcome == snowjunction.Moot && !f.ended && !c.inWindow(f) { // nor does it go any more
			c.end(f, store.Failed, 0)
		}
	}
	if !ran && !f.msg.Ran {
		c.ran.Never(f.idempotencyKey(), f.msg.ID)
	}
	c.told(a, r) // by a plug-in, it may be
	c.evidence(a, r)
	c.learn(snowjunction.DestinationID(f.msg.Destination))
	ev := snowjunction.AttemptEnded{
		Request: f.id, Endpoint: a.endpoint, Attempt: a.no, Outcome: r.Outcome,
		Took: c.Loop.Now().Sub(a.began), Wait: r.Wait, Done: f.ended, Report: r.Report,
	}
	if !a.left.IsZero() {
		ev.Dialled = a.left.Sub(a.began)
	}
	if a.call != nil {
		ev.Kept = a.call.Kept()
		ev.Fresh = ev.Kept == 0
	}
	c.traceAttempt(a, &ev)
	c.feed(ev)
	c.forget(f)
	c.checkIdle()
}

// handInSlack is how much earlier a message's time may be over for its client than it is here:
// the client counts from its sending, the courier from its reading.
const handInSlack = 10 * time.Millisecond

// tooLate tells that a message's time is over, or may be. What is delivered then is not
// delivered for its client, which is owed its end all the same.
func (c *Core) tooLate(f *flow) bool {
	return c.Loop.Now().After(f.msg.Deadline.Add(-handInSlack))
}

// trace tells at level debug of something that befalls a message. The order of such lines is that
// in which it came about here, however late the partner sees of it.
func (c *Core) trace(what string, m *store.Message) {
	if c.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.Log.Debug(what, "id", m.ID, "dest", m.Destination)
	}
}

// traceAttempt tells of one attempt at level debug: counted over a fleet, such lines
// show what each courier's own counters cannot.
func (c *Core) traceAttempt(a *attempt, ev *snowjunction.AttemptEnded) {
	if !c.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	m := a.flow.msg
	c.Log.Debug("attempt", "id", m.ID, "key", m.IdempotencyKey, "dest", m.Destination, "class", m.Class, "endpoint", a.endpoint, "no", a.no,
		"outcome", outcomes[ev.Outcome], "took_ms", ev.Took.Milliseconds(), "wait_ms", ev.Wait.Milliseconds(),
		"kept_ms", ev.Kept.Milliseconds(), "report", ev.Report)
}

// traceEnd tells of an end, as traceAttempt of an attempt.
func (c *Core) traceEnd(f *flow, how string, after time.Duration) {
	if !c.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	m := f.msg
	c.Log.Debug("end", "id", m.ID, "key", m.IdempotencyKey, "ran", m.Ran, "dest", m.Destination, "class", m.Class, "attempts", m.Attempts, "as", how,
		"left_ms", m.Deadline.Sub(c.Loop.Now()).Milliseconds(), "after_ms", after.Milliseconds(), "held", c.held)
}

func mayHaveRun(o snowjunction.Outcome) bool {
	switch o {
	case snowjunction.Full, snowjunction.ConnectFailed, snowjunction.Moot:
		return false
	}
	return true
}
