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

// client is an accepted connection.
type client struct {
	front     *Front
	conn      *net.Conn
	h2        *h2.Conn
	idleTimer *core.Timer
	idleSince time.Time // when its last stream ended
	// stallTimer runs while a request is incomplete or an answer waits for the client's window.
	stallTimer      *core.Timer
	ending          bool // close the connection once it has no streams
	incompleteBytes int  // held by its incomplete requests
}

// waiter is a GET that waits for a message to end.
type waiter struct {
	client *client
	stream uint32
	id     string
	wait   int // requested wait in seconds
	timer  *core.Timer
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	c := &client{front: f, conn: conn, h2: h2.NewServer(serverLimits(f.API.Submit.MaxBodyBytes))}
	if len(f.clients) >= f.Push.MaxConns && !f.evictClient() {
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

// evictClient makes room for another client: it closes the connection that has been idle or stalled for
// longest. Clients that wait for an answer are spared. It returns false if there is none to close.
func (f *Front) evictClient() bool {
	var oldest *client
	var oldestSince time.Time
	for c := range f.clients {
		since, evictable := c.evictableSince(f.Loop.Now())
		if evictable && (oldest == nil || since.Before(oldestSince)) && !c.conn.HasUnread() {
			oldest, oldestSince = c, since
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeGracefully(net.Evicted)
	return true
}

// evictableSince returns since when the connection has been idle or stalled, and whether it may be closed
// if its place is needed.
func (c *client) evictableSince(now time.Time) (since time.Time, evictable bool) {
	if since, stalled := c.h2.StalledSince(); stalled {
		return since, now.Sub(since) >= stalledEvictableAfter
	}
	return c.idleSince, c.h2.OpenStreams() == 0 && now.Sub(c.idleSince) >= evictableAfter
}

// Opened is called for dialled connections only.
func (c *client) Opened() {}

// Closed removes the client's waiters. Messages that it submitted are still delivered.
func (c *client) Closed(net.Code) {
	c.idleTimer.Stop()
	c.stallTimer.Stop()
	delete(c.front.clients, c)
	c.countIncomplete()
	for id, list := range c.front.waiting {
		c.front.removeWaiters(id, list, func(w *waiter) bool { return w.client == c })
	}
}

// removeWaiters stops and removes those waiters of a message for which remove returns true.
func (f *Front) removeWaiters(id string, list []*waiter, remove func(*waiter) bool) {
	list = slices.DeleteFunc(list, func(w *waiter) bool {
		if !remove(w) {
			return false
		}
		w.timer.Stop()
		return true
	})
	if f.waiting[id] = list; len(list) == 0 {
		delete(f.waiting, id)
	}
}

// Data handles received bytes.
func (c *client) Data(b []byte) {
	events, err := c.h2.Feed(c.front.Loop.Now(), b)
	c.handleEvents(events)
	c.write()
	c.front.limitIncomplete()
	var failed *h2.ConnError
	if errors.As(err, &failed) {
		code := net.Protocol
		if failed.Code == h2.EnhanceYourCalm {
			code = net.Abuse
		}
		c.closeConn(code)
	}
}

func (c *client) handleEvents(events []h2.Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case h2.Message:
			c.request(ev)
		case h2.Reset:
			for id, list := range c.front.waiting {
				c.front.removeWaiters(id, list, func(w *waiter) bool { return w.client == c && w.stream == ev.Stream })
			}
		}
	}
}

// write ends stalled requests, sends pending output, and closes the connection when there is nothing
// left to do.
func (c *client) write() {
	now := c.front.Loop.Now()
	events, next, err := c.h2.Expire(now)
	c.handleEvents(events)
	if out := c.h2.Output(); len(out) > 0 {
		c.conn.Write(out)
	}
	c.countIncomplete()
	c.stallTimer.Stop()
	if err != nil {
		c.closeConn(net.Idle)
		return
	}
	if !next.IsZero() {
		c.stallTimer = c.front.Loop.After(next.Sub(now), c.write)
	}
	c.idleTimer.Stop()
	switch {
	case c.h2.OpenStreams() > 0:
	case c.ending:
		c.closeConn(net.Idle)
	case c.front.draining:
		if !c.unanswered() { // a close with unread bytes resets, and may discard the GOAWAY
			c.closeConn(net.Shutdown)
		}
	default:
		c.idleSince = c.front.Loop.Now()
		c.idleTimer = c.front.Loop.After(clientIdleTimeout, func() { c.closeGracefully(net.Idle) })
	}
}

// unanswered reports whether a request has arrived, completely or in part, and has no answer yet. A
// request above the last stream of a GOAWAY counts as answered once it has been read.
func (c *client) unanswered() bool {
	bytes, _ := c.conn.Pending()
	return bytes || c.h2.OpenStreams() > 0 || c.h2.HasPartialInput()
}

// closeGracefully sends a GOAWAY and closes a connection without streams.
func (c *client) closeGracefully(code net.Code) {
	c.h2.GoAway()
	c.conn.Write(c.h2.Output())
	c.closeConn(code)
}

func (c *client) closeConn(code net.Code) {
	if c.conn.Up() {
		c.conn.Close(code)
		c.Closed(code)
	}
}

// request routes a complete request.
func (c *client) request(m h2.Message) {
	api := c.front.API
	path, _, _ := strings.Cut(h2.Get(m.Fields, ":path"), "?")
	method := h2.Get(m.Fields, ":method")
	if m.TimedOut { // the connection ends as well, so that the client gives up its place
		c.problem(m.Stream, 408, "the rest of the request did not come in time")
		c.h2.GoAway()
		c.ending = true
		return
	}
	if m.TooBig && h2.Get(m.Fields, ":path") == "" {
		c.problem(m.Stream, 431, "the headers are too big")
		return
	}
	var allow []string
	for _, route := range []struct {
		op     *describe.Operation
		handle func(h2.Message, map[string]string)
	}{{&api.Submit, c.submit}, {&api.Status, c.getStatus}, {&api.Delete, c.delete}} {
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

// readHeaders validates the parameters of a request and adds its headers to them.
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

// submit submits a message. It is answered once the message is in the journal.
func (c *client) submit(m h2.Message, params map[string]string) {
	f := c.front
	if m.TooBig {
		c.problem(m.Stream, 413, fmt.Sprintf("the body must be %d bytes at most", f.API.Submit.MaxBodyBytes))
		return
	}
	r, err := parseSubmit(params)
	if err != nil {
		f.core.Counters.Malformed++
		c.problem(m.Stream, 400, err.Error())
		return
	}
	r.Origin, r.Body = f.FrontIndex, m.Body
	if earlier := f.messages[r.ID]; earlier != nil { // submitted and accepted before
		c.respondCreated(m.Stream, earlier)
		return
	}
	share, ok := urgencyShares[params["urgency"]]
	if !ok {
		f.core.Counters.Malformed++
		c.problem(m.Stream, 400, "urgency: very-low, low, normal or high")
		return
	}
	if maxHeld := f.Settings.MaxHeld; maxHeld > 0 && float64(f.core.Held()) >= share*float64(maxHeld) {
		f.core.Counters.Refused++ // less urgent messages are rejected first when many are held
		c.respondRejected(m.Stream, f.Settings.MaxRetryAfter/2)
		return
	}
	err = f.core.Submit(r, func(a core.Answer, accepted *store.Message) bool {
		if !c.conn.Up() {
			return false
		}
		switch a.Verdict {
		case core.Accepted:
			f.messages[r.ID] = accepted
			f.replace(topic{r.Destination, r.Tenant, params["topic"]}, r.ID)
			c.respondCreated(m.Stream, accepted)
		case core.FixedResponse:
			c.respondRejected(m.Stream, a.RetryAfter)
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

// urgencyShares are the shares of Settings.MaxHeld above which a message of that urgency (RFC 8030,
// 5.3) is rejected. Normal and high urgency may use all of it.
var urgencyShares = map[string]float64{"": 1, "very-low": 0.5, "low": 0.75, "normal": 1, "high": 1}

// parseSubmit returns the request that the parameters of a submit describe.
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
	r.Destination, r.TimeLeft = uint32(dest), time.Duration(ttl)*time.Second
	return r, nil
}

// respondCreated answers that a message was accepted, with its location and remaining time.
func (c *client) respondCreated(stream uint32, m *store.Message) {
	left := max(0, int(math.Ceil(m.Deadline.Sub(c.front.Loop.Now()).Seconds())))
	c.respond(stream, 201, nil,
		h2.Field{Name: "location", Value: c.front.API.Status.BuildPath(m.ID)},
		h2.Field{Name: "ttl", Value: strconv.Itoa(left)})
}

// respondRejected sends the fixed response. Retry-After has whole seconds, so the body has the
// milliseconds.
func (c *client) respondRejected(stream uint32, after time.Duration) {
	status := 429
	if c.front.draining {
		status = 503
	}
	ms := max(after.Milliseconds(), 1)
	c.problem(stream, status, fmt.Sprintf("come back after %d ms", ms),
		h2.Field{Name: "retry-after", Value: strconv.Itoa(int(math.Ceil(float64(ms) / 1000)))})
}

// getStatus answers with a message's state, at once or, with Prefer: wait, when it ends.
func (c *client) getStatus(m h2.Message, params map[string]string) {
	f := c.front
	f.forgetExpired()
	msg := f.messages[params["id"]]
	if msg == nil {
		c.respondUnknown(m.Stream, params["id"])
		return
	}
	wait := preferredWait(params["prefer"])
	if wait == 0 || msg.State != store.Open || f.draining {
		c.respondStatus(m.Stream, msg, wait)
		return
	}
	w := &waiter{client: c, stream: m.Stream, id: msg.ID, wait: wait}
	w.timer = f.Loop.After(time.Duration(wait)*time.Second, func() {
		f.removeWaiters(w.id, f.waiting[w.id], func(x *waiter) bool { return x == w })
		c.respondStatus(w.stream, msg, wait)
		c.write()
	})
	f.waiting[msg.ID] = append(f.waiting[msg.ID], w)
}

// delete withdraws a message unless an attempt of it is in flight. A message with an attempt in
// flight continues to its final state, which can be queried.
func (c *client) delete(m h2.Message, params map[string]string) {
	f := c.front
	switch f.core.Delete(f.FrontIndex, params["id"]) {
	case core.Deleted:
		c.respond(m.Stream, 204, nil)
	case core.InFlight:
		c.problem(m.Stream, 409, "an attempt is out and may deliver it: ask for its end")
	default:
		if msg := f.messages[params["id"]]; msg != nil && msg.State != store.Open {
			c.problem(m.Stream, 409, "it has ended: "+c.stateText(msg))
			return
		}
		c.respondUnknown(m.Stream, params["id"])
	}
}

// respondUnknown answers for an unknown message: 410 if its final state was kept and is forgotten,
// else 404.
func (c *client) respondUnknown(stream uint32, id string) {
	if c.front.gone[id] {
		c.problem(stream, 410, "its end is past and no longer kept")
		return
	}
	c.problem(stream, 404, "no such message, or its end is long past")
}

// stateText returns the state reported for a message that has ended.
func (c *client) stateText(m *store.Message) string {
	switch {
	case m.State == store.Withdrawn: // its time was over at the target
		return store.Failed.String()
	case m.State == store.Deleted && slices.Contains(c.front.Lifecycle.Final.States, describe.StateWithdrawn):
		return describe.StateWithdrawn
	case m.State == store.Deleted:
		return store.Failed.String()
	}
	return m.State.String()
}

// maxWaitSeconds bounds the wait of a Prefer header.
const maxWaitSeconds = 60

// preferredWait returns the wait of a Prefer header (RFC 7240) in seconds. It skips unknown
// preferences, as the RFC requires.
func preferredWait(header string) int {
	for _, p := range strings.Split(header, ",") {
		p, _, _ = strings.Cut(p, ";")
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if strings.EqualFold(strings.TrimSpace(name), "wait") {
			if n, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`)); err == nil && n > 0 {
				return min(n, maxWaitSeconds)
			}
		}
	}
	return 0
}

// respondStatus writes the status that the AsyncAPI document defines.
func (c *client) respondStatus(stream uint32, m *store.Message, waited int) {
	var a fastjson.Arena
	body, notice := a.NewObject(), &c.front.Lifecycle.Accepted
	state := "taken"
	if m.State != store.Open {
		notice, state = &c.front.Lifecycle.Final, c.stateText(m)
	}
	for _, field := range notice.Fields {
		switch {
		case field == "id":
			body.Set(field, a.NewString(m.ID))
		case field == "state":
			body.Set(field, a.NewString(state))
		case field == "at" && m.State != store.Open:
			body.Set(field, a.NewString(m.EndedAt.UTC().Format(time.RFC3339Nano)))
		case field == "after_ms" && m.State == store.Returned && m.RetryAfter > 0:
			body.Set(field, a.NewNumberInt(int(m.RetryAfter.Milliseconds()+1)))
		}
	}
	fields := []h2.Field{{Name: "content-type", Value: "application/json"}}
	if waited > 0 {
		fields = append(fields, h2.Field{Name: "preference-applied", Value: "wait=" + strconv.Itoa(waited)})
	}
	c.respond(stream, 200, body.MarshalTo(nil), fields...)
}

// problem sends an error answer (RFC 9457).
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
