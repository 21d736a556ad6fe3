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
	front   *Front
	entry   core.Entry
	conns   []*targetConn // connections that accept further calls, oldest first
	removed bool          // no longer in its target group
}

// targetConn is a connection to a target.
type targetConn struct {
	target   *target
	conn     *net.Conn
	h2       *h2.Conn
	up       bool
	calls    map[uint32]*call
	waiting  []*call // calls that wait for the connection to open or for a free stream
	lastUsed time.Time
	openedAt time.Time
	retired  bool               // accepts no further calls
	input    front.AnswerMemory // what is held of an incomplete frame or header block
}

// call is one attempt, on a stream of its own.
type call struct {
	conn        *targetConn
	fields      []h2.Field
	body        []byte
	stream      uint32 // zero until sent
	status      int    // status of a started answer; zero if none
	answerTimer *core.Timer
	answer      front.AnswerMemory
	idleBefore  time.Duration // idle time of the connection before the call; zero for a new one
	wantWhole   bool          // the caller wants the complete answer, if it comes soon
	maySend     func() bool   // whether the decision to send is still valid
	done        func(core.Result)
}

// errStale means that a call must not be sent any more.
var errStale = errors.New("decision to send is no longer valid")

const (
	maxAnswerBytes = 64 << 10
	// reuseShare is the share of the target's idle timeout during which a connection is reused.
	reuseShare = 0.85
	// answerRestTimeout is how long the rest of a started answer may take.
	answerRestTimeout = 500 * time.Millisecond
)

// Call makes an attempt on a connection with room, or on a new one.
func (t *target) Call(m *store.Message, shape core.Shape, timeout time.Duration, maySend func() bool, done func(core.Result)) core.Call {
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
	x := &call{maySend: maySend, done: done, body: body, wantWhole: shape.BufferAnswer, fields: []h2.Field{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: t.entry.Addr}, {Name: ":path", Value: path},
		{Name: lower(front.HeaderRequestID), Value: m.ID},
		{Name: lower(front.HeaderTimeout), Value: strconv.FormatInt(max(timeout.Milliseconds(), 1), 10)},
		{Name: "content-length", Value: strconv.Itoa(len(body))},
	}}
	for _, h := range shape.Headers {
		x.fields = append(x.fields, h2.Field{Name: lower(h.Name), Value: h.Value})
	}
	if m.IdempotencyKey != "" {
		x.fields = append(x.fields, h2.Field{Name: lower(front.HeaderIdempotencyKey), Value: m.IdempotencyKey})
	}
	c := t.pickConn()
	x.conn = c
	if c.up {
		x.idleBefore = max(t.front.Loop.Now().Sub(c.lastUsed), 1)
	}
	if c.waiting = append(c.waiting, x); c.up {
		c.sendQueued()
	}
	return x
}

// pickConn returns the connection for a call as the target's pool decides: one with a free stream,
// a new one, or, at the connection limit, one on which the call waits for a stream. It closes idle
// and expired connections that carry nothing.
func (t *target) pickConn() *targetConn {
	now := t.front.Loop.Now()
	pool := t.front.poolConfig()
	var views []h2pool.Connection
	for _, c := range append([]*targetConn(nil), t.conns...) {
		view := c.poolView(now)
		if c.up && c.peerClosed() { // what is written now may be lost
			if c.retire(); len(c.calls) == 0 {
				c.conn.Close(net.Stale)
			}
			continue
		}
		switch h2pool.Retire(pool, 0, view) {
		case h2pool.Idle:
			c.closeConn(net.Idle)
		case h2pool.Exhausted:
			c.closeConn(net.Finished)
		default:
			views = append(views, view)
		}
	}
	if verdict, index := h2pool.Pick(pool, 0, views); verdict != h2pool.Dial {
		return t.conns[index]
	}
	c := &targetConn{target: t, h2: h2.NewClient(h2Limits(maxAnswerBytes)), calls: map[uint32]*call{}, lastUsed: now, openedAt: now}
	t.conns = append(t.conns, c)
	c.conn = t.front.Engine.Dial("push target", t.entry.Addr, c)
	return c
}

// peerClosed reports whether the target has closed the connection, even if the close has not been
// handled yet.
func (c *targetConn) peerClosed() bool {
	_, ended := c.conn.Pending()
	return ended
}

// poolView returns the pool's view of the connection, with times relative to now.
func (c *targetConn) poolView(now time.Time) h2pool.Connection {
	view := h2pool.Connection{
		Ready: c.up, OpenStreams: len(c.calls), QueuedCalls: len(c.waiting), Closing: c.retired || c.h2.Closing(),
		DialedAt: -now.Sub(c.openedAt), LastUsed: -now.Sub(c.lastUsed), FreeStreams: h2Limits(maxAnswerBytes).MaxStreams,
	}
	if c.up {
		view.FreeStreams = c.h2.FreeStreams()
	}
	return view
}

// CloseIdle closes the connections without calls.
func (t *target) CloseIdle() { t.closeAllIdle(net.Dropped) }

// Retire closes the idle connections now, and the others when their calls end.
func (t *target) Retire() {
	t.removed = true
	t.closeAllIdle(net.Drained)
}

// closeAllIdle closes the connections without calls with a close code.
func (t *target) closeAllIdle(code net.Code) {
	for _, c := range append([]*targetConn(nil), t.conns...) {
		c.closeIfIdle(code)
	}
}

// closeIfIdle closes a connection without calls.
func (c *targetConn) closeIfIdle(code net.Code) {
	if len(c.calls) == 0 && len(c.waiting) == 0 && c.conn.Up() {
		c.h2.GoAway()
		c.conn.Write(c.h2.Output())
		c.closeConn(code)
	}
}

func (c *targetConn) closeConn(code net.Code) {
	c.conn.Close(code)
	c.target.front.answers.Release(&c.input)
	c.retire()
}

// retire removes the connection from its target: no further call uses it.
func (c *targetConn) retire() {
	c.retired = true
	for i, x := range c.target.conns {
		if x == c {
			c.target.conns = append(c.target.conns[:i], c.target.conns[i+1:]...)
			return
		}
	}
}

// Opened sends the calls that waited for the connection. It sends none if the target left its group
// in the meantime.
func (c *targetConn) Opened() {
	c.up = true
	if c.target.removed {
		queue := c.waiting
		c.waiting = nil
		c.closeConn(net.Drained)
		for _, x := range queue {
			x.finish(core.Result{Outcome: snowjunction.NotSent})
		}
		return
	}
	c.sendQueued()
}

// sendQueued assigns the waiting calls to streams.
func (c *targetConn) sendQueued() {
	if c.target.front.callsPaused {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	var rejected []*call
	for _, x := range waiting {
		if c.h2.FreeStreams() == 0 && !c.h2.Closing() { // wait for a stream to end
			c.waiting = append(c.waiting, x)
			continue
		}
		var id uint32
		err := errStale
		if x.maySend() && !c.peerClosed() { // recording the attempt may have taken long
			id, err = c.h2.Request(x.fields, x.body)
		}
		if err != nil { // not sent: no further stream, or the decision is no longer valid
			rejected = append(rejected, x)
			continue
		}
		if !x.wantWhole {
			c.h2.DiscardBody(id)
		}
		x.stream = id
		c.calls[id] = x
	}
	c.lastUsed = c.target.front.Loop.Now()
	if c.conn.Write(c.h2.Output()) || len(rejected) > 0 {
		for _, x := range rejected {
			// Posted, because the core does not expect the result before Call returns.
			c.target.front.Loop.Post(func() { x.finish(core.Result{Outcome: snowjunction.NotSent}) })
		}
		return
	}
	// The socket accepted nothing: Closed follows, and nothing of these calls was sent.
	stillWaiting := c.waiting
	c.waiting = nil
	for _, x := range waiting {
		if x.stream != 0 {
			delete(c.calls, x.stream)
			x.stream = 0
			c.waiting = append(c.waiting, x)
		}
	}
	c.waiting = append(c.waiting, stillWaiting...)
}

// Sent reports whether the request may have been sent.
func (x *call) Sent() bool { return x.stream != 0 }

// IdleBefore returns how long the connection was idle before the call.
func (x *call) IdleBefore() time.Duration { return x.idleBefore }

// GiveUp resets the stream, which lets the target notice that the call is abandoned. Other calls on
// the connection continue.
func (x *call) GiveUp() {
	c := x.conn
	x.done = nil
	x.endAnswer()
	if x.stream != 0 {
		c.h2.Reset(x.stream, h2.Cancel)
		delete(c.calls, x.stream)
		c.conn.Write(c.h2.Output())
		c.retire() // the connection itself may be unresponsive, so the next call uses another one
	} else {
		for i, queued := range c.waiting {
			if queued == x {
				c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
				break
			}
		}
	}
	if len(c.calls) == 0 && len(c.waiting) == 0 {
		code := net.CallTimeout
		if !c.up {
			code = net.DialTimeout
		}
		c.closeConn(code)
	}
}

// lostResult returns the result of a call whose answer stays incomplete. A received status of 200
// still counts; otherwise the request may have run.
func (x *call) lostResult() core.Result {
	if x.status == 200 {
		return core.Result{Outcome: snowjunction.OK}
	}
	return core.Result{Outcome: snowjunction.Reset}
}

// endAnswer ends the wait for the rest of an answer.
func (x *call) endAnswer() {
	x.answerTimer.Stop()
	x.conn.target.front.answers.Release(&x.answer)
}

// abandonAnswer gives up the rest of an answer.
func (x *call) abandonAnswer() {
	c := x.conn
	x.endAnswer()
	c.h2.Reset(x.stream, h2.Cancel)
	delete(c.calls, x.stream)
	c.conn.Write(c.h2.Output())
	x.finish(x.lostResult())
	if c.retired || c.target.removed {
		c.closeIfIdle(net.Finished)
	}
}

// finish reports the call's result, at most once.
func (x *call) finish(r core.Result) {
	if done := x.done; done != nil {
		x.done = nil
		done(r)
	}
}

// Closed ends the calls in flight.
func (c *targetConn) Closed(code net.Code) {
	unsent := snowjunction.ConnectFailed
	if code == net.Limit || c.up { // local limit or no free stream: says nothing about the target
		unsent = snowjunction.NotSent
	}
	c.retire()
	c.target.front.answers.Release(&c.input)
	queue, calls := c.waiting, c.calls
	c.waiting, c.calls = nil, map[uint32]*call{}
	for _, x := range queue {
		x.finish(core.Result{Outcome: unsent})
	}
	for _, x := range calls {
		x.endAnswer()
		x.finish(x.lostResult())
	}
}

// Data reads answers.
func (c *targetConn) Data(b []byte) {
	events, err := c.h2.Feed(c.target.front.Loop.Now(), b)
	var begun []*call
	for _, ev := range events {
		switch ev := ev.(type) {
		case h2.ResponseHead:
			if x := c.calls[ev.Stream]; x != nil {
				x.status, _ = strconv.Atoi(h2.Get(ev.Fields, ":status"))
				begun = append(begun, x)
			}
		case h2.Message:
			c.finishCall(ev)
		case h2.Reset:
			c.resetCall(ev)
		case h2.GoAwayReceived:
			c.retire()
		}
	}
	// Streams have ended and waiting calls can use them, or no stream will become free and the
	// calls go to another connection.
	if c.up && len(c.waiting) > 0 && (c.h2.FreeStreams() > 0 || c.h2.Closing()) {
		c.sendQueued()
	}
	for _, x := range begun {
		if c.calls[x.stream] != x { // the answer is complete
			continue
		}
		x.answerTimer = c.target.front.Loop.After(answerRestTimeout, x.abandonAnswer)
		if x.status == 200 && !x.wantWhole {
			x.finish(core.Result{Outcome: snowjunction.OK})
		}
	}
	if out := c.h2.Output(); len(out) > 0 {
		c.conn.Write(out)
	}
	var failed *h2.ConnError
	switch {
	case errors.As(err, &failed):
		c.breakOff(net.Protocol)
	case c.retired || c.target.removed:
		code := net.Finished
		if c.target.removed {
			code = net.Drained
		}
		c.closeIfIdle(code)
	}
	c.limitAnswers()
}

// breakOff closes the connection and ends the calls in flight.
func (c *targetConn) breakOff(code net.Code) {
	c.conn.Close(code)
	c.Closed(code)
}

// limitAnswers limits the memory that incomplete answers hold.
func (c *targetConn) limitAnswers() {
	if !c.conn.Up() {
		return
	}
	budget := &c.target.front.answers
	if n := c.h2.PartialInput(); n > 0 {
		budget.Update(&c.input, n, func() { c.breakOff(net.Evicted) })
	} else {
		budget.Release(&c.input)
	}
	for id, x := range c.calls {
		if x.status != 0 {
			budget.Update(&x.answer, c.h2.StreamInput(id), x.abandonAnswer)
		}
	}
	budget.Enforce()
}

// finishCall ends a call with its complete answer.
func (c *targetConn) finishCall(m h2.Message) {
	x := c.calls[m.Stream]
	delete(c.calls, m.Stream)
	c.lastUsed = c.target.front.Loop.Now()
	if x == nil {
		return
	}
	x.endAnswer()
	status, err := strconv.Atoi(h2.Get(m.Fields, ":status"))
	if err != nil {
		status = 500
	}
	r := front.ResultFromAnswer(status, func(name string) string {
		return h2.Get(m.Fields, strings.ToLower(name))
	}, c.target.front.ReportColumns)
	if x.wantWhole {
		r.Answer = &core.Reply{Status: status, Body: m.Body}
		for _, f := range m.Fields {
			if !strings.HasPrefix(f.Name, ":") {
				r.Answer.Headers = append(r.Answer.Headers, core.HeaderField{Name: f.Name, Value: f.Value})
			}
		}
	}
	x.finish(r)
}

// resetCall ends one call. A stream that was refused, or is above the last one of a GOAWAY, never
// ran; after any other reset the request may have run.
func (c *targetConn) resetCall(r h2.Reset) {
	x := c.calls[r.Stream]
	delete(c.calls, r.Stream)
	if x == nil {
		return
	}
	x.endAnswer()
	res := x.lostResult()
	switch {
	case r.NotRun && c.h2.PeerSentGoAway(): // the connection ends, but the target may be healthy
		res.Outcome = snowjunction.NotSent
	case r.NotRun:
		res.Outcome = snowjunction.Rejected
	}
	x.finish(res)
}
