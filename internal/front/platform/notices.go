package platform

import (
	"strconv"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
	"snowjunction/internal/store"
)

// noticeQueue reports messages that ended without a delivery to the platform. Each notice is
// repeated until it is answered with 204: a duplicate notice does no harm, but a lost one loses the
// message.
type noticeQueue struct {
	front      *Front
	queue      []*store.Message
	inFlight   int  // number of notices at the head of the queue that are in flight
	single     bool // send one notice per request, to find a malformed one
	conn       *net.Conn
	up         bool
	parser     http1.Parser
	timeout    *core.Timer
	retryTimer *core.Timer
	closed     bool
	paused     bool // no further request is sent
	timeouts   int  // consecutive requests without an answer
}

const (
	noticeBatchSize  = 100 // in one request
	noticeRetryDelay = 20 * time.Millisecond
	// The platform answers at once, and a notice is overdue 300 ms after its message's deadline, so
	// an unresponsive connection must not cost more than half of that. If the platform is merely
	// slow, each timeout doubles the next one, up to noticeMaxTimeout.
	noticeMinTimeout = 120 * time.Millisecond
	noticeMaxTimeout = 500 * time.Millisecond
)

// answerTimeout returns the timeout for an answer or for a new connection.
func (n *noticeQueue) answerTimeout() time.Duration {
	return min(noticeMinTimeout<<min(n.timeouts, 4), noticeMaxTimeout)
}

func (n *noticeQueue) add(m *store.Message) {
	n.queue = append(n.queue, m)
	n.sendNext()
}

// sendNext sends queued notices unless a request is in flight.
func (n *noticeQueue) sendNext() {
	if n.inFlight > 0 || len(n.queue) == 0 || n.retryTimer != nil || n.closed || n.paused {
		return
	}
	if n.conn == nil {
		n.up = false
		n.parser = http1.Parser{MaxBodyBytes: maxAnswerBytes, DiscardBody: true}
		n.conn = n.front.Engine.Dial(NoticeKind, n.front.Discovery, n)
		n.timeout = n.front.Loop.After(n.answerTimeout(), func() { n.timedOut(net.DialTimeout) })
		return
	}
	if !n.up {
		return
	}
	if bytes, _ := n.conn.Pending(); bytes { // they would be taken for the answer to the request
		n.retryLater(net.Unsolicited)
		return
	}
	n.inFlight = min(len(n.queue), noticeBatchSize)
	if n.single {
		n.inFlight = 1
	}
	var body []byte
	for _, m := range n.queue[:n.inFlight] {
		body = appendNotice(body, m)
	}
	n.timeout.Stop()
	n.timeout = n.front.Loop.After(n.answerTimeout(), func() { n.timedOut(net.CallTimeout) })
	n.conn.Write(http1.Request("POST", "/v1/outcomes", n.front.Discovery, body,
		"Content-Type", "application/x-ndjson"))
}

// appendNotice appends the line of JSON that reports a message.
func appendNotice(b []byte, m *store.Message) []byte {
	b = append(append(b, `{"id":"`...), m.ID...) // the id needs no escaping: the core accepts no other
	b = append(append(b, `","state":"`...), m.State.String()...)
	b = append(b, '"')
	if m.State == store.Returned && m.RetryAfter > 0 {
		b = strconv.AppendInt(append(b, `,"after_ms":`...), m.RetryAfter.Milliseconds()+1, 10)
	}
	return append(b, "}\n"...)
}

// Opened sends notices on a new connection.
func (n *noticeQueue) Opened() {
	n.up = true
	n.timeout.Stop()
	n.sendNext()
}

// Closed repeats the notices in flight on a new connection.
func (n *noticeQueue) Closed(net.Code) {
	n.conn = nil
	n.retryLater(net.PeerClosed)
}

// timedOut abandons a connection or request that got no response in time.
func (n *noticeQueue) timedOut(code net.Code) {
	n.timeouts++
	n.retryLater(code)
}

// retryLater closes the connection and sends the notices in flight again after a pause.
func (n *noticeQueue) retryLater(code net.Code) {
	n.closeConn(code)
	n.timeout.Stop()
	if n.inFlight = 0; n.retryTimer == nil && len(n.queue) > 0 {
		n.retryTimer = n.front.Loop.After(noticeRetryDelay, func() {
			n.retryTimer = nil
			n.sendNext()
		})
	}
}

// closeConn closes the connection, if there is one.
func (n *noticeQueue) closeConn(code net.Code) {
	n.conn.Close(code)
	n.conn = nil
}

// Data reads the answer.
func (n *noticeQueue) Data(b []byte) {
	if n.inFlight == 0 {
		n.retryLater(net.Unsolicited)
		return
	}
	n.parser.Feed(b)
	r, err := n.parser.Next()
	if err != nil {
		n.retryLater(net.Protocol)
		return
	}
	if r == nil {
		return
	}
	n.timeout.Stop()
	n.timeouts = 0
	switch {
	case r.Close:
		n.closeConn(net.Finished)
	case n.parser.HasPartialResponse(): // more than the answer
		n.closeConn(net.Unsolicited)
	}
	sent := n.queue[:n.inFlight]
	switch {
	case r.Status == 204 || r.Status == 200:
		n.single = false
	case r.Status == 400 && n.inFlight > 1: // one notice is malformed: send them one by one to find it
		n.single = true
		n.retryLater(net.Finished)
		return
	case r.Status == 400:
		n.front.Log.Error("discovery agent rejected a notice as malformed", "id", sent[0].ID, "state", sent[0].State.String())
	default:
		n.front.Log.Warn("discovery agent did not accept notices; sending them again", "status", r.Status)
		n.retryLater(net.Finished)
		return
	}
	n.queue, n.inFlight = n.queue[n.inFlight:], 0
	for _, m := range sent {
		n.front.core.Settled(m)
	}
	n.sendNext()
}

func (n *noticeQueue) close() {
	n.closed = true
	n.timeout.Stop()
	n.retryTimer.Stop()
	n.conn.Close(net.Shutdown)
}
