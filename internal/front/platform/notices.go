package platform

import (
	"strconv"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
	"snowjunction/internal/store"
)

// notices tells the platform of ends that are no delivery. Each is repeated
// until its 204: a notice that says the same again does no harm, one that is
// lost loses the message.
type notices struct {
	front  *Front
	queue  []*store.Message
	out    int // of the queue's first, in the request that is out
	single bool
	conn   *net.Conn
	up     bool
	parser http1.Parser
	limit  *core.Timer
	pause  *core.Timer
	closed bool
	held   bool // no further request begins
	silent int  // times in a row that no answer came
}

const (
	noticeMost  = 100 // in one request
	noticeAgain = 20 * time.Millisecond
	// The platform answers at once, and a notice is overdue 300 ms after its message's time: a
	// connection that has fallen silent must not cost more than half of that. Where it is slow
	// all the same, each silence has the next answer waited for longer.
	noticeFirst = 120 * time.Millisecond
	noticeLimit = 500 * time.Millisecond
)

// within is how long an answer, or a connection, is waited for.
func (n *notices) within() time.Duration { return min(noticeFirst<<min(n.silent, 4), noticeLimit) }

func (n *notices) add(m *store.Message) {
	n.queue = append(n.queue, m)
	n.next()
}

// next sends what is queued, unless a request is out.
func (n *notices) next() {
	if n.out > 0 || len(n.queue) == 0 || n.pause != nil || n.closed || n.held {
		return
	}
	if n.conn == nil {
		n.up = false
		n.parser = http1.Parser{MaxBody: maxAnswer}
		n.conn = n.front.Engine.Dial(NoticeKind, n.front.Discovery, n)
		n.limit = n.front.Loop.After(n.within(), func() { n.unanswered(net.DialTimeout) })
		return
	}
	if !n.up {
		return
	}
	n.out = min(len(n.queue), noticeMost)
	if n.single {
		n.out = 1
	}
	var body []byte
	for _, m := range n.queue[:n.out] {
		body = appendNotice(body, m)
	}
	n.limit.Stop()
	n.limit = n.front.Loop.After(n.within(), func() { n.unanswered(net.CallTimeout) })
	n.conn.Write(http1.Request("POST", "/v1/outcomes", n.front.Discovery, body,
		"Content-Type", "application/x-ndjson"))
}

func appendNotice(b []byte, m *store.Message) []byte {
	b = append(append(b, `{"id":"`...), m.ID...) // the id is plain: takein lets no other through
	b = append(append(b, `","state":"`...), m.State.String()...)
	b = append(b, '"')
	if m.State == store.Returned && m.After > 0 {
		b = strconv.AppendInt(append(b, `,"after_ms":`...), m.After.Milliseconds()+1, 10)
	}
	return append(b, "}\n"...)
}

// Opened sends on a new connection.
func (n *notices) Opened() {
	n.up = true
	n.limit.Stop()
	n.next()
}

// Closed repeats what was out on a new connection.
func (n *notices) Closed(net.Code) {
	n.conn = nil
	n.again(net.PeerClosed)
}

// unanswered gives up what nothing has come of in its time.
func (n *notices) unanswered(code net.Code) {
	n.silent++
	n.again(code)
}

func (n *notices) again(code net.Code) {
	if n.conn != nil {
		n.conn.Close(code)
		n.conn = nil
	}
	n.limit.Stop()
	if n.out = 0; n.pause == nil && len(n.queue) > 0 {
		n.pause = n.front.Loop.After(noticeAgain, func() {
			n.pause = nil
			n.next()
		})
	}
}

// Data reads the answer.
func (n *notices) Data(b []byte) {
	n.parser.Feed(b)
	r, err := n.parser.Next()
	if err != nil || r != nil && n.out == 0 {
		n.again(net.Protocol)
		return
	}
	if r == nil {
		return
	}
	n.limit.Stop()
	n.silent = 0
	if r.Close {
		n.conn.Close(net.Finished)
		n.conn = nil
	}
	told := n.queue[:n.out]
	switch {
	case r.Status == 204 || r.Status == 200:
		n.single = false
	case r.Status == 400 && n.out > 1: // one of them cannot be read: find out which
		n.single = true
		n.again(net.Finished)
		return
	case r.Status == 400:
		n.front.Log.Error("a notice cannot be read", "id", told[0].ID, "state", told[0].State.String())
	default:
		n.front.Log.Warn("notices are not taken", "status", r.Status)
		n.again(net.Finished)
		return
	}
	n.queue, n.out = n.queue[n.out:], 0
	for _, m := range told {
		n.front.core.Settled(m)
	}
	n.next()
}

func (n *notices) close() {
	n.closed = true
	n.limit.Stop()
	n.pause.Stop()
	if n.conn != nil {
		n.conn.Close(net.Shutdown)
	}
}
