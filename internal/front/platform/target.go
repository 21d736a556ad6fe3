package platform

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/front"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
	"snowjunction/internal/store"
)

// target is an endpoint with its connections. Each connection carries one call at a time.
type target struct {
	front   *Front
	entry   core.Entry
	idle    []*targetConn // most recently used last
	removed bool          // no longer in its target group
}

// targetConn is a connection to a target. It is also the core.Call in progress, because it carries
// at most one.
type targetConn struct {
	target      *target
	conn        *net.Conn
	parser      http1.Parser
	request     []byte      // the request, until it is written
	messageID   string      // of the message
	maySend     func() bool // whether the decision to send is still valid
	done        func(core.Result)
	sent        bool        // the request may have left this process
	wantWhole   bool        // the caller wants the complete answer, if it comes soon
	answerTimer *core.Timer // runs while an answer is incomplete
	answer      front.AnswerMemory
	lastUsed    time.Time
	answeredAt  time.Time     // when the latest answer was complete; zero if none was
	idleBefore  time.Duration // idle time before the current call; zero for a new connection
}

const (
	maxAnswerBytes = 64 << 10
	// reuseShare is the share of the target's idle timeout during which a connection is reused. A
	// later request could cross the target's close of the connection and end in a reset.
	reuseShare = 0.85
	// answerRestTimeout is how long the rest of a started answer may take: its length may be wrong,
	// or its header may never end.
	answerRestTimeout = 500 * time.Millisecond
	// answerSettleTime is how long a connection rests between an answer and the next call. A second
	// copy of the answer, or noise after it, must arrive while no call is out: nothing in HTTP/1.1 tells
	// it from the answer to the next call.
	answerSettleTime = 50 * time.Millisecond
)

// Call makes an attempt on the most recently used idle connection, or on a new one.
func (t *target) Call(m *store.Message, shape core.Shape, timeout time.Duration, maySend func() bool, done func(core.Result)) core.Call {
	headers := []string{
		front.HeaderRequestID, m.ID,
		front.HeaderTimeout, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10),
	}
	if m.IdempotencyKey != "" {
		headers = append(headers, front.HeaderIdempotencyKey, m.IdempotencyKey)
	}
	body := m.Body
	if shape.HasBody {
		body = shape.Body
	}
	for _, h := range shape.Headers {
		headers = append(headers, h.Name, h.Value)
	}
	request := http1.Request("POST", front.InboxPath, t.entry.Addr, body, headers...)
	t.closeExpired()
	if t.reusableConn() >= 0 {
		if !maySend() {
			return nil
		}
		if i := t.reusableConn(); i >= 0 { // checked again: recording the attempt may take long
			c := t.idle[i]
			t.idle = slices.Delete(t.idle, i, i+1)
			c.idleBefore = max(t.front.Loop.Now().Sub(c.lastUsed), 1)
			c.startCall(m.ID, request, shape.BufferAnswer, done)
			c.writeRequest()
			return c
		}
	}
	c := &targetConn{target: t, parser: http1.Parser{MaxBodyBytes: maxAnswerBytes}}
	c.startCall(m.ID, request, shape.BufferAnswer, done)
	c.maySend = maySend
	c.conn = t.front.Engine.Dial("target", t.entry.Addr, c)
	return c
}

// reusableConn returns the index of the most recently used idle connection that can carry a call, or
// -1. It closes idle connections on which a call would fail: one that the target has closed would
// break under a request that may have run, and unsolicited bytes would be taken for the answer to the
// next request.
func (t *target) reusableConn() int {
	now := t.front.Loop.Now()
	for i := len(t.idle) - 1; i >= 0; i-- {
		c := t.idle[i]
		bytes, ended := c.conn.Pending()
		switch {
		case bytes:
			c.conn.Close(net.Unsolicited)
		case ended:
			c.conn.Close(net.Stale)
		case c.settled(now):
			return i
		default:
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
	}
	return -1
}

// settled reports whether the latest answer was long enough ago for the next call.
func (c *targetConn) settled(now time.Time) bool {
	return c.answeredAt.IsZero() || now.Sub(c.answeredAt) >= cmp.Or(c.target.front.AnswerSettleTime, answerSettleTime)
}

// closeExpired closes the connections that have been idle for too long to be reused.
func (t *target) closeExpired() {
	limit := time.Duration(float64(t.front.Settings.ConnIdle) * reuseShare)
	if limit <= 0 {
		return
	}
	now, n := t.front.Loop.Now(), 0
	for n < len(t.idle) && now.Sub(t.idle[n].lastUsed) >= limit {
		t.idle[n].conn.Close(net.Idle)
		n++
	}
	t.idle = t.idle[n:]
}

// CloseIdle closes the idle connections.
func (t *target) CloseIdle() { t.closeAllIdle(net.Dropped) }

// Retire closes the idle connections now, and the others when their calls end.
func (t *target) Retire() {
	t.removed = true
	delete(t.front.targets, t)
	t.closeAllIdle(net.Drained)
}

// closeOldestIdleTarget closes the target connection that has been idle longest. It returns false
// if none is idle.
func (f *Front) closeOldestIdleTarget() bool {
	var oldest *target
	for t := range f.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].lastUsed.Before(oldest.idle[0].lastUsed)) {
			oldest = t
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].conn.Close(net.Evicted)
	oldest.idle = oldest.idle[1:]
	return true
}

// closeAllIdle closes the idle connections with a close code.
func (t *target) closeAllIdle(code net.Code) {
	for _, c := range t.idle {
		c.conn.Close(code)
	}
	t.idle = nil
}

func (c *targetConn) startCall(messageID string, request []byte, wantWhole bool, done func(core.Result)) {
	c.messageID, c.request, c.wantWhole, c.done, c.sent = messageID, request, wantWhole, done, false
	c.parser.DiscardBody = !wantWhole
}

// writeRequest writes the request. If the socket accepts none of it, Closed is called while sent is
// false.
func (c *targetConn) writeRequest() {
	request := c.request
	c.request = nil
	c.sent = c.conn.Write(request)
	c.target.front.Log.Debug("request", "id", c.messageID, "to", c.target.entry.Addr, "taken", c.sent, "kept_ms", c.idleBefore.Milliseconds())
}

// Sent reports whether the request's last byte may have been sent.
func (c *targetConn) Sent() bool { return c.sent }

// IdleBefore returns how long the connection was idle before the call.
func (c *targetConn) IdleBefore() time.Duration { return c.idleBefore }

// GiveUp closes the connection, which lets the target notice that the call is abandoned.
func (c *targetConn) GiveUp() {
	c.done = nil
	if c.sent {
		c.closeConn(net.CallTimeout)
	} else {
		c.closeConn(net.DialTimeout)
	}
}

func (c *targetConn) closeConn(code net.Code) {
	c.endAnswer()
	c.conn.Close(code)
}

// endAnswer ends the wait for the rest of an answer.
func (c *targetConn) endAnswer() {
	c.answerTimer.Stop()
	c.answerTimer = nil
	c.target.front.answers.Release(&c.answer)
}

// Opened writes the request on a new connection. It sends nothing if the target left its group in
// the meantime: the endpoint is draining or gone, and connecting may have taken longer than the
// grace period in which it may still be sent requests. It sends nothing either if the decision to
// send is no longer valid; the connection is then kept for the next call.
func (c *targetConn) Opened() {
	if c.target.removed {
		c.closeConn(net.Drained)
		c.finish(core.Result{Outcome: snowjunction.NotSent})
		return
	}
	if !c.maySend() {
		c.request = nil
		c.markIdle()
		c.finish(core.Result{Outcome: snowjunction.NotSent})
		return
	}
	c.writeRequest()
}

// markIdle makes the connection available to the next call.
func (c *targetConn) markIdle() {
	c.lastUsed = c.target.front.Loop.Now()
	c.target.idle = append(c.target.idle, c)
}

// Closed ends the current call, if any.
func (c *targetConn) Closed(code net.Code) {
	c.endAnswer()
	if code == net.Limit { // a local connection limit: says nothing about the target
		c.finish(core.Result{Outcome: snowjunction.NotSent})
		return
	}
	if c.done == nil {
		for i, x := range c.target.idle {
			if x == c {
				c.target.idle = append(c.target.idle[:i], c.target.idle[i+1:]...)
				break
			}
		}
		return
	}
	if r := c.parser.End(); r != nil && c.sent {
		c.finish(c.target.mapResult(r, c.wantWhole))
		return
	}
	c.finishBroken()
}

// finishBroken reports the result of a call whose connection broke before a complete answer.
func (c *targetConn) finishBroken() {
	outcome := snowjunction.ConnectFailed
	switch {
	case c.sent && c.parser.Status() == 200:
		outcome = snowjunction.OK
	case c.sent:
		outcome = snowjunction.Reset
	}
	c.finish(core.Result{Outcome: outcome})
}

// finish reports a call's result, at most once.
func (c *targetConn) finish(r core.Result) {
	if done := c.done; done != nil {
		c.done = nil
		done(r)
	}
}

// Data reads the answer. A status line with 200 is final: the message is delivered, even if the
// rest of the answer is malformed or never comes. Any other incomplete answer is inconclusive: the
// request may have run.
func (c *targetConn) Data(b []byte) {
	begun := c.parser.HasPartialResponse()
	c.parser.Feed(b)
	if c.done == nil && !begun || !c.sent {
		c.closeConn(net.Unsolicited)
		c.Closed(net.Unsolicited)
		return
	}
	r, err := c.parser.Next()
	if err != nil {
		c.abandonAnswer(net.Protocol)
		return
	}
	t := c.target
	if r == nil {
		if c.parser.Status() == 200 && !c.wantWhole {
			c.finish(core.Result{Outcome: snowjunction.OK})
		}
		c.limitAnswer()
		return
	}
	c.endAnswer()
	switch {
	case r.Close:
		c.conn.Close(net.Finished)
	case c.parser.HasPartialResponse():
		c.conn.Close(net.Unsolicited)
	case t.removed:
		c.conn.Close(net.Drained)
	default:
		c.markIdle()
		c.answeredAt = c.lastUsed
	}
	c.finish(t.mapResult(r, c.wantWhole))
}

// limitAnswer limits the time that the rest of an answer may take, and its memory. An interim response that is
// complete leaves the call without a started answer.
func (c *targetConn) limitAnswer() {
	if !c.parser.HasPartialResponse() {
		c.endAnswer()
		return
	}
	f := c.target.front
	if c.answerTimer == nil {
		c.answerTimer = f.Loop.After(answerRestTimeout, func() { c.abandonAnswer(net.Protocol) })
	}
	f.answers.Update(&c.answer, c.parser.Buffered(), func() { c.abandonAnswer(net.Evicted) })
	f.answers.Enforce()
}

// abandonAnswer gives up the rest of an answer and closes the connection.
func (c *targetConn) abandonAnswer(code net.Code) {
	c.closeConn(code)
	outcome := snowjunction.Reset
	if c.parser.Status() == 200 {
		outcome = snowjunction.OK
	}
	c.finish(core.Result{Outcome: outcome})
}

// mapResult maps an answer to a result. If withAnswer is true, the result includes the answer
// unchanged.
func (t *target) mapResult(response *http1.Response, withAnswer bool) core.Result {
	result := front.ResultFromAnswer(response.Status, response.Header, t.front.ReportColumns)
	if !withAnswer {
		return result
	}
	result.Answer = &core.Reply{Status: response.Status, Body: response.Body}
	response.EachHeader(func(name, value string) {
		result.Answer.Headers = append(result.Answer.Headers, core.HeaderField{Name: name, Value: value})
	})
	return result
}
