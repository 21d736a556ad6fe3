package core

import (
	"time"

	"snowjunction"
)

// attempt is a Send of the module's from its decision to its outcome.
type attempt struct {
	flow     *flow
	endpoint snowjunction.EndpointID
	no       int
	began    time.Time
	timeout  time.Duration
	limit    *Timer // to give the attempt up
	connect  *Timer // to give it up if no byte of it could leave
	call     Call   // nil while it waits for its key's turn or a plug-in
	recorded bool
	left     time.Time // its first byte left then, or a little later; zero: none has
	reading  bool      // its answer has come and plug-ins are asked about it
}

// parkMost is how old a decision to send may be when its key's turn comes. The
// destination may have told a wait or shut since: the module decides anew.
const parkMost = 50 * time.Millisecond

// send carries out a Send. A flow's first one takes it on.
func (c *Core) send(s snowjunction.Send) {
	f := c.flows[s.Request]
	if f == nil || f.ended || f.attempt != nil {
		c.Log.Error("the module sends what is not held or already out", "request", s.Request)
		return
	}
	if !c.take(f) { // nothing left: the module's call is closed all the same
		c.feed(snowjunction.AttemptEnded{
			Request: f.id, Endpoint: s.Endpoint, Attempt: f.msg.Attempts, Outcome: snowjunction.Moot, Done: true,
		})
		return
	}
	a := &attempt{flow: f, endpoint: s.Endpoint, no: f.msg.Attempts, began: c.Loop.Now(), timeout: s.Timeout}
	f.attempt = a
	c.calls++
	a.limit = c.Loop.After(s.Timeout, func() { c.expire(a, snowjunction.TimedOut) })
	if c.waits(f) {
		c.owing[f.msg.Key] = append(c.owing[f.msg.Key], f)
		return
	}
	c.leave(a)
}

// waits tells whether an earlier message of f's key has an end that the
// platform has not confirmed: until then it is not over, and the key's order
// would break.
func (c *Core) waits(f *flow) bool {
	return f.class.InOrder && f.msg.Key != 0 && c.unknown[f.msg.Key] > 0
}

// leave has the plug-ins shape an attempt's request, then lets it go. Where it
// may go is looked at again after that.
func (c *Core) leave(a *attempt) {
	l := c.routes.byID[a.endpoint]
	asked := c.Plugins != nil && l != nil && c.Plugins.Shape(a.flow.msg, l.Entry, func(s Shape) {
		if a.flow.attempt == a && a.call == nil {
			c.depart(a, s)
		}
	})
	if !asked {
		c.depart(a, Shape{})
	}
}

// depart lets an attempt go, as soon as its bytes can.
func (c *Core) depart(a *attempt, shape Shape) {
	f := a.flow
	to := c.target(f, a.endpoint)
	if to == nil {
		c.unsent(a)
		return
	}
	shape.Whole = c.Plugins != nil && c.Plugins.Reads(f.msg)
	waited := c.Loop.Now().Sub(a.began)
	left := a.timeout - waited
	if left <= 0 || waited > c.ParkMost || !c.stands(f) {
		c.unsent(a)
		return
	}
	if a.call = to.Call(f.msg, shape, left, func() bool { return c.goes(a) }, func(r Result) { c.read(a, r) }); a.call == nil {
		c.unsent(a)
		return
	}
	a.connect = c.Loop.After(c.Settings.ConnectTimeout, func() {
		if !a.call.Left() {
			c.expire(a, snowjunction.ConnectFailed)
		}
	})
}

func (c *Core) stands(f *flow) bool {
	return !c.waitTold[f.msg.Destination] && c.courier.Stands(c.since(), f.id) && c.inWindow(f)
}

// goes tells whether an attempt's first byte may leave now, and records the attempt if so. An
// attempt whose connection is coming up has no record: if the process ends, it has not run, and
// the window of one that has begins with its bytes.
func (c *Core) goes(a *attempt) bool {
	f := a.flow
	if f.attempt != a || !c.stands(f) {
		return false
	}
	if !a.recorded {
		if f.msg.Attempts != a.no { // its record has failed
			return false
		}
		if err := c.Journal.Sent(f.msg, c.Loop.Now()); err != nil {
			// Unrecorded it could be sent again after a restart.
			c.Log.Error("not sent", "id", f.msg.ID, "err", err)
			return false
		}
		if a.recorded = true; !c.stands(f) { // the journal took its time
			return false
		}
	}
	if a.left.IsZero() {
		c.Counters.Sent++
		c.tried(f, true)
		c.relayed++
	}
	a.left = c.Loop.Now()
	c.trace("leaves", f.msg)
	c.left(f, c.since(), f.class.Window)
	return true
}

// unsent reports an attempt that never left.
func (c *Core) unsent(a *attempt) {
	c.Counters.Unsent++
	c.relay(a, Result{Outcome: snowjunction.Moot})
}

// came records an attempt's outcome. One that never left has no record yet: it counts for the
// module as one made, and the journal's count follows.
func (c *Core) came(a *attempt, mayHaveRun bool) {
	m := a.flow.msg
	if m.Attempts == a.no {
		if err := c.Journal.Sent(m, c.Loop.Now()); err != nil {
			c.Log.Error("journal", "err", err)
		}
	}
	if err := c.Journal.Came(m, mayHaveRun, a.left); err != nil {
		c.Log.Error("journal", "err", err)
	}
}

// expire gives an attempt up after its time. One whose bytes never left proves
// that it did not run.
func (c *Core) expire(a *attempt, o snowjunction.Outcome) {
	switch {
	case a.flow.attempt != a, a.reading:
		return
	case a.call == nil:
		c.unsent(a)
		return
	default:
		if !a.call.Left() {
			o = snowjunction.ConnectFailed
		}
		a.call.GiveUp()
	}
	c.relay(a, Result{Outcome: o})
}

// cancel stops waiting for an attempt, as the module wishes.
func (c *Core) cancel(x snowjunction.Cancel) {
	if f := c.flows[x.Request]; f != nil && f.attempt != nil && f.attempt.no == x.Attempt {
		c.expire(f.attempt, snowjunction.Cancelled)
	}
}
