package platform

import (
	"strconv"
	"time"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/front"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
	"snowjunction/internal/store"
)

// target is an endpoint with its connections. Each carries one call at a time.
type target struct {
	front *Front
	entry core.Entry
	idle  []*link // the last used at the end
	left  bool    // no longer in its group
}

// link is a connection to a target. It is a core.Call too, as it carries one
// at most.
type link struct {
	target *target
	conn   *net.Conn
	parser http1.Parser
	out    []byte      // the request, until it leaves
	id     string      // of its message
	may    func() bool // whether the first request may leave
	done   func(core.Result)
	sent   bool        // the request may have left
	whole  bool        // the answer is to come whole, if it does soon
	rest   *core.Timer // runs while an answer has begun and is not whole
	used   time.Time
	kept   time.Duration // idle before the call that is out; 0: new
	read   []byte        // of an answer that is not whole
}

const (
	maxAnswer = 64 << 10
	// reuseWithin is the share of the time a connection may sit idle within
	// which it is used again: later the request could cross the other side's
	// end of it, which would be a reset.
	reuseWithin = 0.85
	// restWithin is how long the rest of an answer may take: the length may be
	// wrong, or the head have no end.
	restWithin = 500 * time.Millisecond
)

// Call makes an attempt on the connection last used, or a new one.
func (t *target) Call(m *store.Message, shape core.Shape, timeout time.Duration, may func() bool, done func(core.Result)) core.Call {
	headers := []string{
		front.HeaderID, m.ID,
		front.HeaderTimeout, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10),
	}
	if m.IdempotencyKey != "" {
		headers = append(headers, front.HeaderKey, m.IdempotencyKey)
	}
	body := m.Body
	if shape.HasBody {
		body = shape.Body
	}
	for _, h := range shape.Headers {
		headers = append(headers, h.Name, h.Value)
	}
	out := http1.Request("POST", front.InboxPath, t.entry.Addr, body, headers...)
	t.expire()
	if l := t.fit(); l != nil {
		t.idle = append(t.idle, l)
		if !may() {
			return nil
		}
		if l = t.fit(); l != nil { // the attempt's record may have taken a while
			l.kept = max(t.front.Loop.Now().Sub(l.used), 1)
			l.begin(m.ID, out, shape.Whole, done)
			l.write()
			return l
		}
	}
	l := &link{target: t, parser: http1.Parser{MaxBody: maxAnswer}}
	l.begin(m.ID, out, shape.Whole, done)
	l.may = may
	l.conn = t.front.Engine.Dial("target", t.entry.Addr, l)
	return l
}

// fit takes the idle connection last used. One that its other side has ended would only break
// under a request that may then have run; and what has come unasked would be taken for the
// request's answer.
func (t *target) fit() *link {
	for n := len(t.idle); n > 0; n = len(t.idle) {
		l := t.idle[n-1]
		t.idle = t.idle[:n-1]
		if bytes, ended := l.conn.Look(); !bytes && !ended {
			return l
		}
		l.conn.Close(net.Stale)
	}
	return nil
}

// expire ends the connections that have been idle for too long to be used.
func (t *target) expire() {
	limit := time.Duration(float64(t.front.Settings.ConnIdle) * reuseWithin)
	if limit <= 0 {
		return
	}
	now, n := t.front.Loop.Now(), 0
	for n < len(t.idle) && now.Sub(t.idle[n].used) >= limit {
		t.idle[n].conn.Close(net.Idle)
		n++
	}
	t.idle = t.idle[n:]
}

// CloseIdle ends the idle connections.
func (t *target) CloseIdle() { t.drop(net.Dropped) }

// Leave ends the idle connections now and the others with their calls.
func (t *target) Leave() {
	t.left = true
	delete(t.front.targets, t)
	t.drop(net.Drained)
}

// spareTarget ends the connection to a target that has been idle for longest, and tells whether
// there was one.
func (f *Front) spareTarget() bool {
	var oldest *target
	for t := range f.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].used.Before(oldest.idle[0].used)) {
			oldest = t
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].conn.Close(net.Spared)
	oldest.idle = oldest.idle[1:]
	return true
}

func (t *target) drop(code net.Code) {
	for _, l := range t.idle {
		l.conn.Close(code)
	}
	t.idle = nil
}

func (l *link) begin(id string, out []byte, whole bool, done func(core.Result)) {
	l.id, l.out, l.whole, l.done, l.sent = id, out, whole, done, false
}

// write lets the request go. Where the socket takes none of it, Closed comes
// and sent says that nothing left.
func (l *link) write() {
	out := l.out
	l.out = nil
	l.sent = l.conn.Write(out)
	l.target.front.Log.Debug("request", "id", l.id, "to", l.target.entry.Addr, "taken", l.sent, "kept_ms", l.kept.Milliseconds())
}

// Left tells whether the request's last byte may have left.
func (l *link) Left() bool { return l.sent }

// Kept is how long the connection had been idle.
func (l *link) Kept() time.Duration { return l.kept }

// GiveUp ends the connection, which tells the target.
func (l *link) GiveUp() {
	l.done = nil
	if l.sent {
		l.end(net.CallTimeout)
	} else {
		l.end(net.DialTimeout)
	}
}

func (l *link) end(code net.Code) {
	l.rest.Stop()
	l.conn.Close(code)
}

// Opened lets the request go on a new connection. Where the target has left its group
// meanwhile it does not: the endpoint drains or is gone, and coming up may have taken
// longer than it may still get anything. Nor does it where the decision does not stand
// any more; the connection is kept for the next.
func (l *link) Opened() {
	if l.target.left {
		l.end(net.Drained)
		l.finish(core.Result{Outcome: snowjunction.Moot})
		return
	}
	if !l.may() {
		l.out = nil
		l.rests()
		l.finish(core.Result{Outcome: snowjunction.Moot})
		return
	}
	l.write()
}

// rests puts the connection with those that the next call may go on.
func (l *link) rests() {
	l.used = l.target.front.Loop.Now()
	l.target.idle = append(l.target.idle, l)
}

// Closed ends the call that is out, if any.
func (l *link) Closed(code net.Code) {
	l.rest.Stop()
	if code == net.Limit { // no room here: it says nothing of the target
		l.finish(core.Result{Outcome: snowjunction.Moot})
		return
	}
	if l.done == nil {
		for i, x := range l.target.idle {
			if x == l {
				l.target.idle = append(l.target.idle[:i], l.target.idle[i+1:]...)
				break
			}
		}
		return
	}
	if r := l.parser.End(); r != nil && l.sent {
		l.finish(l.target.result(r, l.whole))
		return
	}
	l.lost()
}

func (l *link) lost() {
	o := snowjunction.ConnectFailed
	switch {
	case l.sent && l.parser.Status() == 200:
		o = snowjunction.OK
	case l.sent:
		o = snowjunction.Reset
	}
	l.finish(core.Result{Outcome: o})
}

// finish tells a call's result, once.
func (l *link) finish(r core.Result) {
	if done := l.done; done != nil {
		l.done = nil
		done(r)
	}
}

// Data reads the answer. What its first line says is true if that is 200: the
// message is delivered, though the rest may be spoilt or never come. Any other
// answer that is not whole says nothing: the request may have run.
func (l *link) Data(b []byte) {
	begun := l.parser.Begun()
	l.parser.Feed(b)
	l.read = append(l.read, b...)
	if l.done == nil && !begun || !l.sent { // nothing was asked
		l.end(net.Protocol)
		l.Closed(net.Protocol)
		return
	}
	r, err := l.parser.Next()
	if err != nil {
		l.spoilt()
		return
	}
	t := l.target
	if r == nil {
		if l.parser.Status() == 200 && !l.whole {
			l.finish(core.Result{Outcome: snowjunction.OK})
		}
		if l.rest == nil && l.parser.Begun() {
			l.rest = t.front.Loop.After(restWithin, l.spoilt)
		}
		return
	}
	l.rest.Stop()
	l.rest, l.read = nil, nil
	switch {
	case r.Close:
		l.conn.Close(net.Finished)
	case l.parser.Begun():
		l.conn.Close(net.Protocol)
	case t.left:
		l.conn.Close(net.Drained)
	default:
		l.rests()
	}
	l.finish(t.result(r, l.whole))
}

// spoilt gives up the rest of an answer, and the connection with it.
func (l *link) spoilt() {
	l.end(net.Protocol)
	o := snowjunction.Reset
	if l.parser.Status() == 200 {
		o = snowjunction.OK
	}
	l.finish(core.Result{Outcome: o})
}

// result maps an answer; shown, it goes along as it came.
func (t *target) result(r *http1.Response, shown bool) core.Result {
	x := front.Result(r.Status, r.Get, t.front.Columns)
	if !shown {
		return x
	}
	x.Answer = &core.Reply{Status: r.Status, Body: r.Body}
	r.Each(func(name, value string) {
		x.Answer.Headers = append(x.Answer.Headers, core.HeaderField{Name: name, Value: value})
	})
	return x
}
