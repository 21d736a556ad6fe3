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

// ListenerKind is the front's listener, in a handover.
const ListenerKind = "client"

// Hush begins no further request to discovery for notices, and forwards no further message: those
// that come from now on are handed over. Hushed tells that none is out.
func (f *Front) Hush() { f.notices.held, f.forwards.held = true, true }

// Hushed tells that no notice and no message that is being forwarded waits for its answer.
func (f *Front) Hushed() bool { return f.notices.out == 0 && f.forwards.out == 0 }

// Hand takes the clients' connections from the engine. What they have sent and not been
// answered goes along. One that cannot be handed over is ended with the front, as is one of which
// a message is being forwarded: to be taken in anew it must have no other end. The function
// returned adds what the engine had read meanwhile, once that has come to a halt.
func (f *Front) Hand() func() []handover.Client {
	var handed []*client
	var out []handover.Client
	for c := range f.clients {
		if c.quit || c.forwarding() {
			continue
		}
		conn, ok := c.conn.Detach()
		if !ok {
			continue
		}
		delete(f.clients, c)
		x := handover.Client{Conn: conn, Served: c.served, Changed: c.since}
		for _, a := range c.due {
			d := handover.Due{Text: a.text}
			if r := a.asked; a.text == nil {
				d.Request = &handover.Request{
					ID: r.ID, IdempotencyKey: r.IdempotencyKey, Key: r.Key, Class: r.Class, Tenant: r.Tenant,
					Destination: r.Destination, Deadline: a.until, Again: r.Again, Forwarded: r.Forwarded, Order: a.no, Body: r.Body,
				}
			}
			x.Due = append(x.Due, d)
		}
		handed, out = append(handed, c), append(out, x)
	}
	return func() []handover.Client {
		for i, c := range handed {
			out[i].Bytes = append(c.parser.Rest(), c.conn.Rest()...)
		}
		return out
	}
}

// TakeOver goes on with clients of another process of this courier. Their descriptors are the
// front's from then on.
func (f *Front) TakeOver(clients []handover.Client) {
	type handed struct {
		c *client
		a *answer
		r *handover.Request
	}
	var requests []handed
	var taken []*client
	var bytes [][]byte
	for _, x := range clients {
		c := &client{front: f, opened: x.Since, since: x.Changed, served: x.Served, handed: x.Served, taking: true}
		if c.conn = f.Engine.Adopt("client", true, x.Conn, c); c.conn == nil {
			continue
		}
		f.clients[c] = true
		for _, d := range x.Due {
			a := &answer{text: d.Text}
			if c.due = append(c.due, a); d.Request != nil {
				a.text = nil
				requests = append(requests, handed{c, a, d.Request})
			}
		}
		taken, bytes = append(taken, c), append(bytes, x.Bytes)
	}
	slices.SortFunc(requests, func(x, y handed) int { return cmp.Compare(x.r.Order, y.r.Order) })
	for _, x := range requests {
		left := x.r.Deadline.Sub(f.Loop.Now())
		if left <= 0 {
			x.a.text = render(core.Answer{Verdict: core.Failed})
			continue
		}
		x.c.take(x.a, core.Request{
			Origin: f.Number, ID: x.r.ID, IdempotencyKey: x.r.IdempotencyKey, Key: x.r.Key, Class: x.r.Class, Tenant: x.r.Tenant,
			Destination: x.r.Destination, Left: left, Again: x.r.Again, Forwarded: x.r.Forwarded, Body: x.r.Body,
		})
	}
	for i, c := range taken {
		c.taking = false
		c.Data(bytes[i])
	}
}

// Hand takes the connection of a call whose request has left from the engine.
func (l *link) Hand() (handover.Call, bool) {
	if !l.sent || l.done == nil {
		return handover.Call{}, false
	}
	conn, ok := l.conn.Detach()
	if !ok {
		return handover.Call{}, false
	}
	l.rest.Stop()
	l.done = nil
	return handover.Call{Conn: conn, Kept: l.kept, WholeWants: l.whole}, true
}

// Rest is what had been read of a call's answer when it was handed over.
func (l *link) Rest() []byte { return append(l.read, l.conn.Rest()...) }

// Adopt goes on with a call of another process of this courier. done is called once with its
// result, unless it is given up, and never within Adopt.
func (t *target) Adopt(m *store.Message, from handover.Call, done func(core.Result)) core.Call {
	l := &link{target: t, parser: http1.Parser{MaxBody: maxAnswer}, id: m.ID, sent: true, whole: from.WholeWants, done: done, kept: from.Kept, used: time.Now()}
	l.conn = t.front.Engine.Adopt("target", false, from.Conn, l)
	if l.conn == nil {
		t.front.Loop.Post(func() { l.Closed(net.PeerReset) })
		return l
	}
	if l.read = from.Bytes; len(l.read) > 0 { // what comes next comes behind it
		l.parser.Feed(l.read)
		t.front.Loop.Post(func() {
			if l.done != nil {
				l.Data(nil)
			}
		})
	}
	return l
}
