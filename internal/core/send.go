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
	written  bool   // its bytes have left, or leave
	reading  bool   // its answer has come and plug-ins are asked about it
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

// depart records an attempt, then lets its bytes go.
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
	may := func() bool { return c.courier.Stands(c.Loop.Now().Sub(c.start), f.id) }
	if left <= 0 || waited > parkMost || !may() {
		c.unsent(a)
		return
	}
	if err := c.Journal.Sent(f.msg, c.Loop.Now()); err != nil {
		// Unrecorded it could be sent again after a restart.
		c.Log.Error("not sent", "id", f.msg.ID, "err", err)
		c.unsent(a)
		return
	}
	if !may() { // the journal took its time
		c.unsent(a)
		return
	}
	c.left(f, c.since())
	c.Counters.Sent++
	c.tried(f, true)
	later := func() bool {
		if !may() {
			return false
		}
		if a.call != nil {
			c.wrote(a)
		}
		return true
	}
	if a.call = to.Call(f.msg, shape, left, later, func(r Result) { c.read(a, r) }); a.call.Left() {
		c.wrote(a)
	}
	a.connect = c.Loop.After(c.Settings.ConnectTimeout, func() {
		if !a.call.Left() {
			c.expire(a, snowjunction.ConnectFailed)
		}
	})
}

// unsent reports an attempt that never left. It counts for the module as one
// made; the journal's count follows.
func (c *Core) unsent(a *attempt) {
	c.Counters.Unsent++
	if a.flow.msg.Attempts == a.no {
		if err := c.Journal.Sent(a.flow.msg, c.Loop.Now()); err != nil {
			c.Log.Error("journal", "err", err)
		}
	}
	c.relay(a, Result{Outcome: snowjunction.Moot})
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
