package platform

import (
	"cmp"
	"slices"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/handover"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
	"snowjunction/internal/store"
)

// ListenerKind is the kind of the front's listener in a handover.
const ListenerKind = "client"

// PauseOutgoing stops sending notices and forwarding messages; those that come from now on are handed over.
func (f *Front) PauseOutgoing() { f.notices.paused, f.forwarder.paused = true, true }

// OutgoingIdle reports whether no notice and no forwarded message waits for an answer.
func (f *Front) OutgoingIdle() bool { return f.notices.inFlight == 0 && f.forwarder.inFlight == 0 }

// DetachClients detaches the clients' connections from the engine, together with their unanswered requests.
// A connection that cannot be handed over is closed with the front, and so is one with a message
// that is being forwarded: such a message must not be submitted again while its outcome is open.
// The returned function adds the bytes that the engine read in the meantime; call it after the
// engine has stopped.
func (f *Front) DetachClients() func() []handover.Client {
	var handed []*client
	var out []handover.Client
	for c := range f.clients {
		if c.closing || c.forwarding() {
			continue
		}
		conn, ok := c.conn.Detach()
		if !ok {
			continue
		}
		delete(f.clients, c)
		x := handover.Client{Conn: conn, Served: c.validCommand, Changed: c.lastActive}
		for _, a := range c.pending {
			d := handover.Reply{Text: a.text}
			if r := a.request; a.text == nil {
				d.Request = &handover.Request{
					ID: r.ID, IdempotencyKey: r.IdempotencyKey, Key: r.Key, Class: r.Class, Tenant: r.Tenant,
					Destination: r.Destination, Deadline: a.deadline, Resubmitted: r.Resubmitted, Forwarded: r.Forwarded, Order: a.sequence, Body: r.Body,
				}
			}
			x.Replies = append(x.Replies, d)
		}
		handed, out = append(handed, c), append(out, x)
	}
	return func() []handover.Client {
		for i, c := range handed {
			out[i].Unprocessed = append(c.parser.Unparsed(), c.conn.Leftover()...)
		}
		return out
	}
}

// AdoptClients continues with the clients of the previous process run of this courier. The front owns
// their file descriptors from then on.
func (f *Front) AdoptClients(clients []handover.Client) {
	type handed struct {
		c *client
		a *pendingAnswer
		r *handover.Request
	}
	var requests []handed
	var taken []*client
	var bytes [][]byte
	for _, x := range clients {
		c := &client{front: f, openedAt: x.Since, lastActive: x.Changed, validCommand: x.Served, submitted: x.Served, restoring: true}
		if c.conn = f.Engine.Adopt("client", true, x.Conn, c); c.conn == nil {
			continue
		}
		f.clients[c] = true
		for _, d := range x.Replies {
			a := &pendingAnswer{text: d.Text}
			if c.pending = append(c.pending, a); d.Request != nil {
				a.text = nil
				requests = append(requests, handed{c, a, d.Request})
			}
		}
		taken, bytes = append(taken, c), append(bytes, x.Unprocessed)
	}
	slices.SortFunc(requests, func(x, y handed) int { return cmp.Compare(x.r.Order, y.r.Order) })
	for _, x := range requests {
		left := x.r.Deadline.Sub(f.Loop.Now())
		if left <= 0 {
			x.a.text = renderAnswer(core.Answer{Verdict: core.Failed})
			continue
		}
		x.c.submit(x.a, core.Request{
			Origin: f.FrontIndex, ID: x.r.ID, IdempotencyKey: x.r.IdempotencyKey, Key: x.r.Key, Class: x.r.Class, Tenant: x.r.Tenant,
			Destination: x.r.Destination, TimeLeft: left, Resubmitted: x.r.Resubmitted, Forwarded: x.r.Forwarded, Body: x.r.Body,
		})
	}
	for i, c := range taken {
		c.restoring = false
		c.Data(bytes[i])
	}
}

// Detach detaches the connection of a call whose request was sent from the engine.
func (c *targetConn) Detach() (handover.Call, bool) {
	if !c.sent || c.done == nil {
		return handover.Call{}, false
	}
	conn, ok := c.conn.Detach()
	if !ok {
		return handover.Call{}, false
	}
	c.endAnswer()
	c.done = nil
	return handover.Call{Conn: conn, IdleTime: c.idleBefore, WantsWholeAnswer: c.wantWhole}, true
}

// BufferedAnswer returns what is kept of a call's answer that had been read in part when it was handed over.
func (c *targetConn) BufferedAnswer() []byte {
	return append(c.parser.Unparsed(), c.conn.Leftover()...)
}

// Adopt continues a call of the previous process run of this courier. It calls done once with the
// result, unless the call is given up, and never before Adopt returns.
func (t *target) Adopt(m *store.Message, from handover.Call, done func(core.Result)) core.Call {
	c := &targetConn{target: t, parser: http1.Parser{MaxBodyBytes: maxAnswerBytes}, idleBefore: from.IdleTime, lastUsed: time.Now()}
	c.startCall(m.ID, nil, from.WantsWholeAnswer, done)
	c.sent = true
	c.conn = t.front.Engine.Adopt("target", false, from.Conn, c)
	if c.conn == nil {
		t.front.Loop.Post(func() { c.Closed(net.PeerReset) })
		return c
	}
	if len(from.Unprocessed) > 0 { // bytes that arrive later are appended to these
		c.parser.Feed(from.Unprocessed)
		t.front.Loop.Post(func() {
			if c.done != nil {
				c.Data(nil)
			}
		})
	}
	return c
}
