package push

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/core"
	"snowjunction/internal/describe"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/h2"
	"snowjunction/internal/store"
)

// client is a listener's connection.
type client struct {
	front *Front
	conn  *net.Conn
	h2    *h2.Conn
	idle  *core.Timer
	since time.Time // without streams
}

// waiter is a GET that waits for a message's end.
type waiter struct {
	client *client
	stream uint32
	id     string
	wait   int // seconds asked for
	timer  *core.Timer
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	c := &client{front: f, conn: conn, h2: h2.NewServer(limits(f.API.Submit.MaxBody))}
	if len(f.clients) >= f.Push.MaxConns && !f.spareClient() {
		conn.Close(net.Limit)
		return c
	}
	f.clients[c] = true
	if f.draining {
		c.h2.GoAway()
	}
	c.write()
	return c
}

// spareClient makes room for another: the client without streams goes that has
// had none for longest.
func (f *Front) spareClient() bool {
	var spare *client
	for c := range f.clients {
		idle := c.h2.Open() == 0 && f.Loop.Now().Sub(c.since) >= spareAfter
		if idle && (spare == nil || c.since.Before(spare.since)) && !c.conn.Unread() {
			spare = c
		}
	}
	if spare == nil {
		return false
	}
	spare.bye(net.Spared)
	return true
}

// Opened is for dialled connections only.
func (c *client) Opened() {}

// Closed forgets the client's waiters. A message it handed in lives on.
func (c *client) Closed(net.Code) {
	c.idle.Stop()
	delete(c.front.clients, c)
	for id, list := range c.front.waiting {
		c.front.unwait(id, list, func(w *waiter) bool { return w.client == c })
	}
}

func (f *Front) unwait(id string, list []*waiter, gone func(*waiter) bool) {
	list = slices.DeleteFunc(list, func(w *waiter) bool {
		if !gone(w) {
			return false
		}
		w.timer.Stop()
		return true
	})
	if f.waiting[id] = list; len(list) == 0 {
		delete(f.waiting, id)
	}
}

// Data takes what has come.
func (c *client) Data(b []byte) {
	events, err := c.h2.Feed(c.front.Loop.Now(), b)
	for _, ev := range events {
		switch ev := ev.(type) {
		case h2.Message:
			c.request(ev)
		case h2.Reset:
			for id, list := range c.front.waiting {
				c.front.unwait(id, list, func(w *waiter) bool { return w.client == c && w.stream == ev.Stream })
			}
		}
	}
	c.write()
	var failed *h2.ConnError
	if errors.As(err, &failed) {
		code := net.Protocol
		if failed.Code == h2.EnhanceYourCalm {
			code = net.Abuse
		}
		c.conn.Close(code)
		c.Closed(code)
	}
}

// write sends what is due, and ends the connection once it has nothing left to
// do.
func (c *client) write() {
	if out := c.h2.Output(); len(out) > 0 {
		c.conn.Write(out)
	}
	c.idle.Stop()
	switch {
	case c.h2.Open() > 0:
	case c.front.draining:
		if !c.unanswered() { // a close over what has come would be a reset, and take the GOAWAY with it
			c.end(net.Shutdown)
		}
	default:
		c.since = c.front.Loop.Now()
		c.idle = c.front.Loop.After(idleAfter, func() { c.bye(net.Idle) })
	}
}

// unanswered tells that a request has come, or begun to come, and has no answer yet: one that
// is above the last of a GOAWAY has its answer there, once it has been read.
func (c *client) unanswered() bool {
	bytes, _ := c.conn.Look()
	return bytes || c.h2.Open() > 0 || c.h2.Begun()
}

// bye ends a connection without streams, in due form.
func (c *client) bye(code net.Code) {
	c.h2.GoAway()
	c.conn.Write(c.h2.Output())
	c.end(code)
}

func (c *client) end(code net.Code) {
	if c.conn.Up() {
		c.conn.Close(code)
		c.Closed(code)
	}
}

// request routes a whole request.
func (c *client) request(m h2.Message) {
	api := c.front.API
	path, _, _ := strings.Cut(h2.Get(m.Fields, ":path"), "?")
	method := h2.Get(m.Fields, ":method")
	if m.TooBig && h2.Get(m.Fields, ":path") == "" {
		c.problem(m.Stream, 431, "the headers are too big")
		return
	}
	var allow []string
	for _, route := range []struct {
		op     *describe.Operation
		handle func(h2.Message, map[string]string)
	}{{&api.Submit, c.submit}, {&api.Status, c.ask}, {&api.Delete, c.delete}} {
		params, ok := route.op.Match(path)
		if !ok || route.op.Method == "" {
			continue
		}
		if method != route.op.Method {
			allow = append(allow, route.op.Method)
			continue
		}
		if err := readHeaders(route.op, m.Fields, params); err != nil {
			c.problem(m.Stream, 400, err.Error())
			return
		}
		route.handle(m, params)
		return
	}
	if len(allow) > 0 {
		c.problem(m.Stream, 405, "the method is not allowed here", h2.Field{Name: "allow", Value: strings.Join(allow, ", ")})
		return
	}
	c.problem(m.Stream, 404, "nothing is here")
}

// readHeaders checks the parameters of a request, adding its headers to them.
func readHeaders(op *describe.Operation, fields []h2.Field, params map[string]string) error {
	for _, p := range op.Params {
		value, there := params[p.Name], true
		if p.In == "header" {
			i := slices.IndexFunc(fields, func(f h2.Field) bool { return f.Name == p.Name })
			if there = i >= 0; there {
				value = fields[i].Value
			}
		}
		if !there {
			if p.Required {
				return fmt.Errorf("%s: missing", p.Name)
			}
			continue
		}
		if err := p.Schema.Check(value); err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		params[p.Name] = value
	}
	return nil
}

// submit hands a message in. It is answered once the journal has it.
func (c *client) submit(m h2.Message, params map[string]string) {
	f := c.front
	if m.TooBig {
		c.problem(m.Stream, 413, fmt.Sprintf("the body must be %d bytes at most", f.API.Submit.MaxBody))
		return
	}
	r, err := parseSubmit(params)
	if err != nil {
		f.core.Counters.Malformed++
		c.problem(m.Stream, 400, err.Error())
		return
	}
	r.Origin, r.Body = f.Number, m.Body
	if known := f.messages[r.ID]; known != nil { // handed in before, and taken on
		c.created(m.Stream, known)
		return
	}
	share, ok := urgencies[params["urgency"]]
	if !ok {
		f.core.Counters.Malformed++
		c.problem(m.Stream, 400, "urgency: very-low, low, normal or high")
		return
	}
	if most := f.Settings.MaxHeld; most > 0 && float64(f.core.Held()) >= share*float64(most) {
		f.core.Counters.Refused++ // what is less urgent gives way while much is held
		c.refused(m.Stream, f.Settings.MaxRetry/2)
		return
	}
	err = f.core.TakeIn(r, func(a core.Answer, taken *store.Message) bool {
		if !c.conn.Up() {
			return false
		}
		switch a.Verdict {
		case core.Taken:
			f.messages[r.ID] = taken
			f.replace(topic{r.Destination, r.Tenant, params["topic"]}, r.ID)
			c.created(m.Stream, taken)
		case core.Fixed:
			c.refused(m.Stream, a.After)
		default:
			c.problem(m.Stream, 422, "it cannot be delivered in its time")
		}
		c.write()
		return true
	})
	if err != nil {
		c.problem(m.Stream, 400, err.Error())
	}
}

// urgencies are the shares of the messages that may be held (Settings.MaxHeld) beyond
// which one of that urgency (RFC 8030, 5.3) is turned away; normal and high take all.
var urgencies = map[string]float64{"": 1, "very-low": 0.5, "low": 0.75, "normal": 1, "high": 1}

func parseSubmit(params map[string]string) (core.Request, error) {
	r := core.Request{
		ID: params["message-id"], IdempotencyKey: params["idempotency-key"],
		Class: params["message-class"], Tenant: params["tenant"],
	}
	dest, err := strconv.ParseUint(params["destination"], 10, 32)
	if err != nil {
		return r, errors.New("destination: a number is wanted")
	}
	ttl, err := strconv.Atoi(params["ttl"])
	if err != nil {
		return r, errors.New("ttl: a number of seconds is wanted")
	}
	if key := params["order-key"]; key != "" {
		if r.Key, err = strconv.ParseUint(key, 16, 64); err != nil {
			return r, errors.New("order-key: a hexadecimal number of 64 bits is wanted")
		}
	}
	r.Destination, r.Left = uint32(dest), time.Duration(ttl)*time.Second
	return r, nil
}

func (c *client) created(stream uint32, m *store.Message) {
	left := max(0, int(math.Ceil(m.Deadline.Sub(c.front.Loop.Now()).Seconds())))
	c.respond(stream, 201, nil,
		h2.Field{Name: "location", Value: c.front.API.Status.Link(m.ID)},
		h2.Field{Name: "ttl", Value: strconv.Itoa(left)})
}

// refused is the fixed response. Retry-After counts whole seconds, so the body
// tells the milliseconds.
func (c *client) refused(stream uint32, after time.Duration) {
	status := 429
	if c.front.draining {
		status = 503
	}
	ms := max(after.Milliseconds(), 1)
	c.problem(stream, status, fmt.Sprintf("come back after %d ms", ms),
		h2.Field{Name: "retry-after", Value: strconv.Itoa(int(math.Ceil(float64(ms) / 1000)))})
}

// ask tells what became of a message, if wished once it has ended.
func (c *client) ask(m h2.Message, params map[string]string) {
	f := c.front
	f.expire()
	msg := f.messages[params["id"]]
	if msg == nil {
		c.unknown(m.Stream, params["id"])
		return
	}
	wait := preference(params["prefer"])
	if wait == 0 || msg.State != store.Open || f.draining {
		c.status(m.Stream, msg, wait)
		return
	}
	w := &waiter{client: c, stream: m.Stream, id: msg.ID, wait: wait}
	w.timer = f.Loop.After(time.Duration(wait)*time.Second, func() {
		f.unwait(w.id, f.waiting[w.id], func(x *waiter) bool { return x == w })
		c.status(w.stream, msg, wait)
		c.write()
	})
	f.waiting[msg.ID] = append(f.waiting[msg.ID], w)
}

// delete withdraws a message that is not wanted any more, where none of it is out; one
// that may be out is left to its end, which can be asked for.
func (c *client) delete(m h2.Message, params map[string]string) {
	f := c.front
	switch f.core.Delete(f.Number, params["id"]) {
	case core.Deleted:
		c.respond(m.Stream, 204, nil)
	case core.Out:
		c.problem(m.Stream, 409, "an attempt is out and may deliver it: ask for its end")
	default:
		if msg := f.messages[params["id"]]; msg != nil && msg.State != store.Open {
			c.problem(m.Stream, 409, "it has ended: "+c.word(msg))
			return
		}
		c.unknown(m.Stream, params["id"])
	}
}

// unknown answers for a message that is not known here: 410 where its end was kept
// and is forgotten, 404 otherwise.
func (c *client) unknown(stream uint32, id string) {
	if c.front.gone[id] {
		c.problem(stream, 410, "its end is past and no longer kept")
		return
	}
	c.problem(stream, 404, "no such message, or its end is long past")
}

// word is the state told of a message that has ended.
func (c *client) word(m *store.Message) string {
	switch {
	case m.State == store.Withdrawn: // its time was up at the target
		return store.Failed.String()
	case m.State == store.Deleted && slices.Contains(c.front.Life.Ended.States, describe.Withdrawn):
		return describe.Withdrawn
	case m.State == store.Deleted:
		return store.Failed.String()
	}
	return m.State.String()
}

// waitMost bounds what Prefer: wait can ask for, in seconds.
const waitMost = 60

// preference is the wait of a Prefer header (RFC 7240), in seconds; what it
// does not know it skips, as that RFC wishes.
func preference(header string) int {
	for _, p := range strings.Split(header, ",") {
		p, _, _ = strings.Cut(p, ";")
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if strings.EqualFold(strings.TrimSpace(name), "wait") {
			if n, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`)); err == nil && n > 0 {
				return min(n, waitMost)
			}
		}
	}
	return 0
}

// status writes what the AsyncAPI document says of a message's life.
func (c *client) status(stream uint32, m *store.Message, waited int) {
	var a fastjson.Arena
	body, notice := a.NewObject(), &c.front.Life.Taken
	state := "taken"
	if m.State != store.Open {
		notice, state = &c.front.Life.Ended, c.word(m)
	}
	for _, field := range notice.Fields {
		switch {
		case field == "id":
			body.Set(field, a.NewString(m.ID))
		case field == "state":
			body.Set(field, a.NewString(state))
		case field == "at" && m.State != store.Open:
			body.Set(field, a.NewString(m.EndedAt.UTC().Format(time.RFC3339Nano)))
		case field == "after_ms" && m.State == store.Returned && m.After > 0:
			body.Set(field, a.NewNumberInt(int(m.After.Milliseconds()+1)))
		}
	}
	fields := []h2.Field{{Name: "content-type", Value: "application/json"}}
	if waited > 0 {
		fields = append(fields, h2.Field{Name: "preference-applied", Value: "wait=" + strconv.Itoa(waited)})
	}
	c.respond(stream, 200, body.MarshalTo(nil), fields...)
}

// problem is an error answer (RFC 9457).
func (c *client) problem(stream uint32, status int, detail string, fields ...h2.Field) {
	var a fastjson.Arena
	body := a.NewObject()
	body.Set("status", a.NewNumberInt(status))
	body.Set("detail", a.NewString(detail))
	c.respond(stream, status, body.MarshalTo(nil),
		append(fields, h2.Field{Name: "content-type", Value: "application/problem+json"})...)
}

func (c *client) respond(stream uint32, status int, body []byte, fields ...h2.Field) {
	all := append([]h2.Field{{Name: ":status", Value: strconv.Itoa(status)}}, fields...)
	all = append(all, h2.Field{Name: "content-length", Value: strconv.Itoa(len(body))})
	c.h2.Respond(stream, all, body)
}
