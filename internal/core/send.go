package core

import (
	"time"

	"snowjunction"
)

// attempt is one Send action of the module, from the decision to its outcome.
type attempt struct {
	flow         *flow
	endpoint     snowjunction.EndpointID
	number       int
	startedAt    time.Time
	timeout      time.Duration
	timeoutTimer *Timer // ends the attempt at its timeout
	connectTimer *Timer // ends the attempt if nothing could be sent within the connect timeout
	call         Call   // nil while it waits for its key or a plug-in
	recorded     bool
	sentAt       time.Time // when its first byte was sent, at the latest; zero if none was
	answered     bool      // its answer has arrived and plug-ins are interpreting it
}

// maxDecisionAge is the maximum age of a send decision when its key becomes free. The destination
// may have sent a retry-after delay or its circuit breaker may have opened since, so the module
// decides again.
const maxDecisionAge = 50 * time.Millisecond

// send executes a Send action. The first Send of a flow also accepts it.
func (c *Core) send(s snowjunction.Send) {
	f := c.flows[s.Request]
	if f == nil || f.ended || f.attempt != nil {
		c.Log.Error("the module sent a message that is not held or already in flight", "request", s.Request)
		return
	}
	if !c.accept(f) { // nothing was sent, but the module's call must be closed
		c.queueEvent(snowjunction.AttemptEnded{
			Request: f.id, Endpoint: s.Endpoint, Attempt: f.msg.Attempts, Outcome: snowjunction.NotSent, Done: true,
		})
		return
	}
	a := &attempt{flow: f, endpoint: s.Endpoint, number: f.msg.Attempts, startedAt: c.Loop.Now(), timeout: s.Timeout}
	f.attempt = a
	c.openCalls++
	a.timeoutTimer = c.Loop.After(s.Timeout, func() { c.expire(a, snowjunction.TimedOut) })
	if c.awaitsKey(f) {
		c.awaitingSettlement[f.msg.Key] = append(c.awaitingSettlement[f.msg.Key], f)
		return
	}
	c.prepare(a)
}

// awaitsKey reports whether an earlier message of f's key has an end that the sender has not
// confirmed. Until then that message is not over, and sending would break the key's order.
func (c *Core) awaitsKey(f *flow) bool {
	return f.class.InOrder && f.msg.Key != 0 && c.unsettledEnds[f.msg.Key] > 0
}

// prepare has the plug-ins shape an attempt's request, then dispatches it. The target is checked
// again after that.
func (c *Core) prepare(a *attempt) {
	l := c.routes.byID[a.endpoint]
	handled := c.Plugins != nil && l != nil && c.Plugins.Shape(a.flow.msg, l.Entry, func(s Shape) {
		if a.flow.attempt == a && a.call == nil {
			c.dispatch(a, s)
		}
	})
	if !handled {
		c.dispatch(a, Shape{})
	}
}

// dispatch starts an attempt's call. Its bytes are sent as soon as the connection is up.
func (c *Core) dispatch(a *attempt, shape Shape) {
	f := a.flow
	target := c.target(f, a.endpoint)
	if target == nil {
		c.reportUnsent(a)
		return
	}
	shape.BufferAnswer = c.Plugins != nil && c.Plugins.ReadsAnswers(f.msg)
	waited := c.Loop.Now().Sub(a.startedAt)
	remaining := a.timeout - waited
	if remaining <= 0 || waited > c.MaxDecisionAge || !c.stillValid(f) {
		c.reportUnsent(a)
		return
	}
	if a.call = target.Call(f.msg, shape, remaining, func() bool { return c.mayStart(a) }, func(r Result) { c.readAnswer(a, r) }); a.call == nil {
		c.reportUnsent(a)
		return
	}
	a.connectTimer = c.Loop.After(c.Settings.ConnectTimeout, func() {
		if !a.call.Sent() {
			c.expire(a, snowjunction.ConnectFailed)
		}
	})
}

func (c *Core) stillValid(f *flow) bool {
	return !c.retryAfterReceived[f.msg.Destination] && c.courier.MayStillSend(c.elapsed(), f.id) && c.inWindow(f)
}

// mayStart reports whether an attempt's first byte may be sent now, and if so records the attempt.
// An attempt whose connection is still being established has no record: if the process ends, it has
// not run. The window of an attempt begins when its bytes are sent.
func (c *Core) mayStart(a *attempt) bool {
	f := a.flow
	if f.attempt != a || !c.stillValid(f) {
		return false
	}
	if !a.recorded {
		if f.msg.Attempts != a.number { // recording failed
			return false
		}
		if err := c.Journal.RecordAttempt(f.msg, c.Loop.Now()); err != nil {
			// An unrecorded attempt could be sent again after a restart.
			c.Log.Error("attempt not sent: journal write failed", "id", f.msg.ID, "err", err)
			return false
		}
		if a.recorded = true; !c.stillValid(f) { // the journal write may have taken long
			return false
		}
	}
	if a.sentAt.IsZero() {
		c.Counters.Sent++
		c.countTried(f, true)
		c.attemptsSent++
	}
	a.sentAt = c.Loop.Now()
	c.trace("leaves", f.msg)
	c.rememberAttempt(f, c.elapsed(), f.class.Window)
	return true
}

// reportUnsent reports an attempt that was never sent.
func (c *Core) reportUnsent(a *attempt) {
	c.Counters.Unsent++
	c.completeAttempt(a, Result{Outcome: snowjunction.NotSent})
}

// recordOutcome records the outcome of an attempt. One that was never sent has no record yet; the
// module counts it as made, so the journal must count it too.
func (c *Core) recordOutcome(a *attempt, mayHaveRun bool) {
	m := a.flow.msg
	if m.Attempts == a.number {
		if err := c.Journal.RecordAttempt(m, c.Loop.Now()); err != nil {
			c.Log.Error("journal", "err", err)
		}
	}
	if err := c.Journal.RecordOutcome(m, mayHaveRun, a.sentAt); err != nil {
		c.Log.Error("journal", "err", err)
	}
}

// expire ends an attempt after its timeout. If none of its bytes were sent, it certainly has not
// run.
func (c *Core) expire(a *attempt, outcome snowjunction.Outcome) {
	switch {
	case a.flow.attempt != a, a.answered:
		return
	case a.call == nil:
		c.reportUnsent(a)
		return
	default:
		if !a.call.Sent() {
			outcome = snowjunction.ConnectFailed
		}
		a.call.GiveUp()
	}
	c.completeAttempt(a, Result{Outcome: outcome})
}

// cancel abandons an attempt at the module's request.
func (c *Core) cancel(x snowjunction.Cancel) {
	if f := c.flows[x.Request]; f != nil && f.attempt != nil && f.attempt.number == x.Attempt {
		c.expire(f.attempt, snowjunction.Cancelled)
	}
}
