package push

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/front"
	"snowjunction/internal/h2pool"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/h2"
	"snowjunction/internal/store"
)

// target is an endpoint that speaks HTTP/2. Calls share its connections.
type target struct {
	front *Front
	entry core.Entry
	links []*link // that may take further calls, the oldest first
	left  bool    // no longer in its group
}

// link is a connection to a target.
type link struct {
	target *target
	conn   *net.Conn
	h2     *h2.Conn
	up     bool
	calls  map[uint32]*call
	queue  []*call // until the connection is up, or a stream of it is free
	used   time.Time
	opened time.Time
	gone   bool // takes no further call
}

// call is one attempt, on a stream of its own.
type call struct {
	link   *link
	fields []h2.Field
	body   []byte
	stream uint32 // 0: not on its way yet
	status int    // of the answer that has begun; 0: none
	rest   *core.Timer
	kept   time.Duration // its connection had been idle; 0: a new one
	whole  bool          // the answer is to come whole, if it does soon
	may    func() bool   // whether it may still leave
	done   func(core.Result)
}

var errStale = errors.New("the decision to send does not stand any more")

const (
	maxAnswer = 64 << 10
	// reuseWithin is the share of the time a connection may sit idle within
	// which it is used again.
	reuseWithin = 0.85
	// restWithin is how long the rest of an answer may take that has begun.
	restWithin = 500 * time.Millisecond
)

// Call makes an attempt on a connection with room, or a new one.
func (t *target) Call(m *store.Message, shape core.Shape, timeout time.Duration, may func() bool, done func(core.Result)) core.Call {
	lower := strings.ToLower
	body, path := m.Body, front.InboxPath
	if shape.HasBody {
		body = shape.Body
	}
	if shape.Suffix != "" {
		path += "/" + strings.TrimPrefix(shape.Suffix, "/")
	}
	if shape.Query != "" {
		path += "?" + shape.Query
	}
	x := &call{may: may, done: done, body: body, whole: shape.Whole, fields: []h2.Field{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: t.entry.Addr}, {Name: ":path", Value: path},
		{Name: lower(front.HeaderID), Value: m.ID},
		{Name: lower(front.HeaderTimeout), Value: strconv.FormatInt(max(timeout.Milliseconds(), 1), 10)},
		{Name: "content-length", Value: strconv.Itoa(len(body))},
	}}
	for _, h := range shape.Headers {
		x.fields = append(x.fields, h2.Field{Name: lower(h.Name), Value: h.Value})
	}
	if m.IdempotencyKey != "" {
		x.fields = append(x.fields, h2.Field{Name: lower(front.HeaderKey), Value: m.IdempotencyKey})
	}
	l := t.link()
	x.link = l
	if l.up {
		x.kept = max(t.front.Loop.Now().Sub(l.used), 1)
	}
	if l.queue = append(l.queue, x); l.up {
		l.send()
	}
	return x
}

// link is the connection that a call goes on, as the target's pool decides: one with a
// free stream, a new one, or, at the most, one on which the call waits for a stream.
// Connections that carry nothing and are idle or spent end here.
func (t *target) link() *link {
	now := t.front.Loop.Now()
	pool := t.front.pool()
	var told []h2pool.Link
	for _, l := range append([]*link(nil), t.links...) {
		x := l.told(now)
		if l.up && l.ended() { // what is written now may be lost
			if l.leave(); len(l.calls) == 0 {
				l.conn.Close(net.Stale)
			}
			continue
		}
		switch h2pool.Retire(pool, 0, x) {
		case h2pool.Idle:
			l.end(net.Idle)
		case h2pool.Spent:
			l.end(net.Finished)
		default:
			told = append(told, x)
		}
	}
	if v, at := h2pool.Pick(pool, 0, told); v != h2pool.Dial {
		return t.links[at]
	}
	l := &link{target: t, h2: h2.NewClient(limits(maxAnswer)), calls: map[uint32]*call{}, used: now, opened: now}
	t.links = append(t.links, l)
	l.conn = t.front.Engine.Dial("push target", t.entry.Addr, l)
	return l
}

// ended tells that the other side has ended the connection, whether or not that has been heard.
func (l *link) ended() bool {
	_, ended := l.conn.Look()
	return ended
}

// told is what the pool is told of a link, its times before now.
func (l *link) told(now time.Time) h2pool.Link {
	x := h2pool.Link{
		Up: l.up, Open: len(l.calls), Queued: len(l.queue), Away: l.gone || l.h2.Closing(),
		Opened: -now.Sub(l.opened), Used: -now.Sub(l.used), Room: limits(maxAnswer).Streams,
	}
	if l.up {
		x.Room = l.h2.Free()
	}
	return x
}

// CloseIdle ends the connections without calls.
func (t *target) CloseIdle() { t.drop(net.Dropped) }

// Leave ends the idle connections now and the others with their calls.
func (t *target) Leave() {
	t.left = true
	t.drop(net.Drained)
}

func (t *target) drop(code net.Code) {
	for _, l := range append([]*link(nil), t.links...) {
		l.rest(code)
	}
}

// rest ends a link that has no calls.
func (l *link) rest(code net.Code) {
	if len(l.calls) == 0 && len(l.queue) == 0 && l.conn.Up() {
		l.h2.GoAway()
		l.conn.Write(l.h2.Output())
		l.end(code)
	}
}

func (l *link) end(code net.Code) {
	l.conn.Close(code)
	l.leave()
}

// leave takes the link off its target: no further call goes on it.
func (l *link) leave() {
	l.gone = true
	for i, x := range l.target.links {
		if x == l {
			l.target.links = append(l.target.links[:i], l.target.links[i+1:]...)
			return
		}
	}
}

// Opened lets the calls go that have waited for the connection. Where the target has
// left its group meanwhile none does.
func (l *link) Opened() {
	l.up = true
	if l.target.left {
		queue := l.queue
		l.queue = nil
		l.end(net.Drained)
		for _, x := range queue {
			x.finish(core.Result{Outcome: snowjunction.Moot})
		}
		return
	}
	l.send()
}

// send puts the waiting calls on their streams.
func (l *link) send() {
	queue := l.queue
	l.queue = nil
	var back []*call
	for _, x := range queue {
		if l.h2.Free() == 0 && !l.h2.Closing() { // it waits for a stream to end
			l.queue = append(l.queue, x)
			continue
		}
		var id uint32
		err := errStale
		if x.may() && !l.ended() { // the attempt's record may have taken a while
			id, err = l.h2.Request(x.fields, x.body)
		}
		if err != nil { // it takes no further stream, or x has waited too long: not sent
			back = append(back, x)
			continue
		}
		x.stream = id
		l.calls[id] = x
	}
	l.used = l.target.front.Loop.Now()
	if l.conn.Write(l.h2.Output()) || len(back) > 0 {
		for _, x := range back {
			// Not within Call: the core does not expect its answer there.
			l.target.front.Loop.Post(func() { x.finish(core.Result{Outcome: snowjunction.Moot}) })
		}
		return
	}
	// The socket took nothing: Closed follows, and nothing of these has left.
	waiting := l.queue
	l.queue = nil
	for _, x := range queue {
		if x.stream != 0 {
			delete(l.calls, x.stream)
			x.stream = 0
			l.queue = append(l.queue, x)
		}
	}
	l.queue = append(l.queue, waiting...)
}

// Left tells whether the request may have left.
func (x *call) Left() bool { return x.stream != 0 }

// Kept is how long the connection had been idle.
func (x *call) Kept() time.Duration { return x.kept }

// GiveUp resets the stream, which tells the target. Other calls on the
// connection go on.
func (x *call) GiveUp() {
	l := x.link
	x.done = nil
	x.rest.Stop()
	if x.stream != 0 {
		l.h2.Reset(x.stream, h2.Cancel)
		delete(l.calls, x.stream)
		l.conn.Write(l.h2.Output())
		l.leave() // silence may be the connection's: the next call tries another
	} else {
		for i, q := range l.queue {
			if q == x {
				l.queue = append(l.queue[:i], l.queue[i+1:]...)
				break
			}
		}
	}
	if len(l.calls) == 0 && len(l.queue) == 0 {
		code := net.CallTimeout
		if !l.up {
			code = net.DialTimeout
		}
		l.end(code)
	}
}

// lost is the result of a call whose answer will not be whole. A status 200
// that has come is true all the same; anything else may have run.
func (x *call) lost() core.Result {
	if x.status == 200 {
		return core.Result{Outcome: snowjunction.OK}
	}
	return core.Result{Outcome: snowjunction.Reset}
}

// spoilt gives up the rest of an answer.
func (x *call) spoilt() {
	l := x.link
	l.h2.Reset(x.stream, h2.Cancel)
	delete(l.calls, x.stream)
	l.conn.Write(l.h2.Output())
	x.finish(x.lost())
	if l.gone || l.target.left {
		l.rest(net.Finished)
	}
}

func (x *call) finish(r core.Result) {
	if done := x.done; done != nil {
		x.done = nil
		done(r)
	}
}

// Closed ends the calls that are out.
func (l *link) Closed(code net.Code) {
	never := snowjunction.ConnectFailed
	if code == net.Limit || l.up { // no room here, or a stream was awaited: it says nothing of the target
		never = snowjunction.Moot
	}
	l.leave()
	queue, calls := l.queue, l.calls
	l.queue, l.calls = nil, map[uint32]*call{}
	for _, x := range queue {
		x.finish(core.Result{Outcome: never})
	}
	for _, x := range calls {
		x.rest.Stop()
		x.finish(x.lost())
	}
}

// Data reads answers.
func (l *link) Data(b []byte) {
	events, err := l.h2.Feed(l.target.front.Loop.Now(), b)
	var begun []*call
	for _, ev := range events {
		switch ev := ev.(type) {
		case h2.Head:
			if x := l.calls[ev.Stream]; x != nil {
				x.status, _ = strconv.Atoi(h2.Get(ev.Fields, ":status"))
				begun = append(begun, x)
			}
		case h2.Message:
			l.answer(ev)
		case h2.Reset:
			l.reset(ev)
		case h2.Farewell:
			l.leave()
		}
	}
	// Streams have ended, and who waits takes them; or none will come, and it goes elsewhere.
	if l.up && len(l.queue) > 0 && (l.h2.Free() > 0 || l.h2.Closing()) {
		l.send()
	}
	for _, x := range begun {
		if l.calls[x.stream] != x { // it came whole
			continue
		}
		x.rest = l.target.front.Loop.After(restWithin, x.spoilt)
		if x.status == 200 && !x.whole {
			x.finish(core.Result{Outcome: snowjunction.OK})
		}
	}
	if out := l.h2.Output(); len(out) > 0 {
		l.conn.Write(out)
	}
	var failed *h2.ConnError
	switch {
	case errors.As(err, &failed):
		l.conn.Close(net.Protocol)
		l.Closed(net.Protocol)
	case l.gone || l.target.left:
		code := net.Finished
		if l.target.left {
			code = net.Drained
		}
		l.rest(code)
	}
}

func (l *link) answer(m h2.Message) {
	x := l.calls[m.Stream]
	delete(l.calls, m.Stream)
	l.used = l.target.front.Loop.Now()
	if x == nil {
		return
	}
	x.rest.Stop()
	status, err := strconv.Atoi(h2.Get(m.Fields, ":status"))
	if err != nil {
		status = 500
	}
	r := front.Result(status, func(name string) string {
		return h2.Get(m.Fields, strings.ToLower(name))
	}, l.target.front.Columns)
	if x.whole {
		r.Answer = &core.Reply{Status: status, Body: m.Body}
		for _, f := range m.Fields {
			if !strings.HasPrefix(f.Name, ":") {
				r.Answer.Headers = append(r.Answer.Headers, core.HeaderField{Name: f.Name, Value: f.Value})
			}
		}
	}
	x.finish(r)
}

// reset ends one call. A stream refused, or above the last of a GOAWAY, never
// ran; after any other reset it may have.
func (l *link) reset(r h2.Reset) {
	x := l.calls[r.Stream]
	delete(l.calls, r.Stream)
	if x == nil {
		return
	}
	x.rest.Stop()
	res := x.lost()
	switch {
	case r.NotRun && l.h2.Left(): // the connection ends, the target may be well: it counts for nothing
		res.Outcome = snowjunction.Moot
	case r.NotRun:
		res.Outcome = snowjunction.Full
	}
	x.finish(res)
}
