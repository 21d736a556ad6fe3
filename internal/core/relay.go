package core

import (
	"context"
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/store"
)

// readAnswer has the plug-ins interpret an answer, then completes the attempt. If no plug-in
// answers in time, the result from the protocol is used.
func (c *Core) readAnswer(a *attempt, r Result) {
	if a.flow.attempt != a || a.answered {
		return
	}
	a.answered = true
	if c.recordRetryAfter(a, r) {
		c.trace("told to wait", a.flow.msg)
		if c.Plugins != nil && c.Plugins.ReadsAnswers(a.flow.msg) {
			// The plug-ins may take some time, but the delay applies at once.
			c.queueEvent(snowjunction.RetryAfterReceived{Endpoint: a.endpoint, RetryAfter: r.RetryAfter})
		}
	}
	var to Entry
	if l := c.routes.byID[a.endpoint]; l != nil {
		to = l.Entry
	}
	if c.Plugins == nil || !c.Plugins.Read(a.flow.msg, to, r, func(r Result) { c.completeAttempt(a, r) }) {
		c.completeAttempt(a, r)
	}
}

// recordRetryAfter reports whether an answer has a retry-after delay. Until the module has been
// told of it, nothing more is sent to the destination.
func (c *Core) recordRetryAfter(a *attempt, r Result) bool {
	if r.RetryAfter <= 0 || r.Outcome != snowjunction.Rejected && r.Outcome != snowjunction.Error {
		return false
	}
	c.retryAfterReceived[a.flow.msg.Destination] = true
	return true
}

// completeAttempt passes the result of an attempt to the journal and the module.
func (c *Core) completeAttempt(a *attempt, r Result) {
	f := a.flow
	if f.attempt != a {
		return
	}
	a.timeoutTimer.Stop()
	a.connectTimer.Stop()
	f.attempt = nil
	c.openCalls--
	c.Counters.result(r.Outcome)
	mayRun := mayHaveRun(r.Outcome)
	switch {
	case r.Outcome == snowjunction.OK && f.ended:
		c.Counters.Late++
		c.recordOutcome(a, true)
	case r.Outcome == snowjunction.OK && c.tooLate(f):
		c.Counters.Overdue++
		c.finish(f, store.Failed, 0)
	case r.Outcome == snowjunction.OK:
		c.finish(f, store.Delivered, 0)
	case r.Unwanted && !f.ended:
		c.recordOutcome(a, mayRun)
		c.finish(f, store.Withdrawn, 0)
	default:
		c.recordOutcome(a, mayRun)
		if r.Outcome == snowjunction.NotSent && !f.ended && !c.inWindow(f) { // cannot be sent any more
			c.finish(f, store.Failed, 0)
		}
	}
	if !mayRun && !f.msg.MayHaveRun {
		c.attemptedKeys.NotRun(f.idempotencyKey(), f.msg.ID)
	}
	c.recordRetryAfter(a, r) // a plug-in may have added the delay
	c.recordEvidence(a, r)
	c.stateChanged(snowjunction.DestinationID(f.msg.Destination))
	ended := snowjunction.AttemptEnded{
		Request: f.id, Endpoint: a.endpoint, Attempt: a.number, Outcome: r.Outcome,
		Took: c.Loop.Now().Sub(a.startedAt), RetryAfter: r.RetryAfter, Done: f.ended, Report: r.Report,
	}
	if !a.sentAt.IsZero() {
		ended.SetupTook = a.sentAt.Sub(a.startedAt)
	}
	if a.call != nil {
		ended.ConnIdle = a.call.IdleBefore()
		ended.NewConn = ended.ConnIdle == 0
	}
	c.traceAttempt(a, &ended)
	c.queueEvent(ended)
	c.forget(f)
	c.checkIdle()
}

// submitSlack is how much earlier a message's deadline may pass for its client than for the
// courier: the client counts from sending, the courier from reading.
const submitSlack = 10 * time.Millisecond

// tooLate reports whether a message's deadline has passed or may have passed for its client. A
// delivery after that counts as failed, and the client still gets a final result.
func (c *Core) tooLate(f *flow) bool {
	return c.Loop.Now().After(f.msg.Deadline.Add(-submitSlack))
}

// trace logs an event of a message at debug level. Such lines are in the order in which the courier
// saw the events, which may differ from the order at the destination.
func (c *Core) trace(event string, m *store.Message) {
	if c.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.Log.Debug(event, "id", m.ID, "dest", m.Destination)
	}
}

// traceAttempt logs one attempt at debug level. Totals over a fleet can be computed from these
// lines; each courier's counters alone do not give them.
func (c *Core) traceAttempt(a *attempt, ev *snowjunction.AttemptEnded) {
	if !c.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	m := a.flow.msg
	c.Log.Debug("attempt", "id", m.ID, "key", m.IdempotencyKey, "dest", m.Destination, "class", m.Class, "endpoint", a.endpoint, "no", a.number,
		"outcome", outcomes[ev.Outcome], "took_ms", ev.Took.Milliseconds(), "wait_ms", ev.RetryAfter.Milliseconds(),
		"kept_ms", ev.ConnIdle.Milliseconds(), "report", ev.Report)
}

// traceEnd logs a final result at debug level.
func (c *Core) traceEnd(f *flow, result string, retryAfter time.Duration) {
	if !c.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	m := f.msg
	c.Log.Debug("end", "id", m.ID, "key", m.IdempotencyKey, "ran", m.MayHaveRun, "dest", m.Destination, "class", m.Class, "attempts", m.Attempts, "as", result,
		"left_ms", m.Deadline.Sub(c.Loop.Now()).Milliseconds(), "after_ms", retryAfter.Milliseconds(), "held", c.openFlows)
}

func mayHaveRun(o snowjunction.Outcome) bool {
	switch o {
	case snowjunction.Rejected, snowjunction.ConnectFailed, snowjunction.NotSent:
		return false
	}
	return true
}
