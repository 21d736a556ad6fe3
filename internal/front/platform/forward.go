package platform

import (
	"bytes"
	"container/list"
	"slices"
	"strconv"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/proto/resp"
	"snowjunction/internal/store"
)

// ForwardKind is the kind of the connections that carry messages to the couriers that own them.
const ForwardKind = "forward"

const (
	// clientTimeout is the client's own timeout from command to answer.
	clientTimeout = 400 * time.Millisecond
	// forwardDialTimeout leaves time to try another owner if one does not respond. An owner
	// that takes longer to connect could not answer in time either.
	forwardDialTimeout = clientTimeout / 2
	// forwardIdleTimeout is how long an idle connection is reused. The other courier closes it
	// after its clientIdleTimeout, and a command that crosses that close has an unknown outcome.
	forwardIdleTimeout = 5 * time.Second
	// forwardConnShare is the share of all connections that may go to other couriers. At most half
	// of these go to a single courier.
	forwardConnShare = 0.25
	// forwardRetryAfter is the retry-after delay sent to a client if no connection is free to
	// forward its message.
	forwardRetryAfter = 200 * time.Millisecond
)

// forwarder holds the messages that are being forwarded to other couriers, and the connections to
// these couriers.
type forwarder struct {
	front       *Front
	conns       map[*forwardConn]bool     // all connections
	connsByAddr map[string]int            // number of connections by address
	idleByAddr  map[string][]*forwardConn // idle connections by address, most recently used last
	inFlight    int                       // messages that are being forwarded and have no answer yet
	queued      int                       // messages that wait to be forwarded
	paused      bool                      // no further message is forwarded
	keyQueues   map[uint64]*keyQueue
	idleList    *list.List  // idle connections of all addresses, longest idle first
	expiryTimer *core.Timer // runs while any connection is idle
}

// keyQueue orders the messages of a key until it is known which courier has the last one. On two
// connections they could overtake each other.
type keyQueue struct {
	local      int // messages being submitted to this courier's core, which keeps their order itself
	forwarding *forwardedMessage
	waiting    []*forwardedMessage
}

// forwardedMessage is a message on its way to the courier that accepts it, this one or another.
type forwardedMessage struct {
	front    *Front
	request  core.Request
	routing  partition.Message
	deadline time.Time // when its time is over
	tried    []string
	owner    partition.Member
	conn     *forwardConn // the connection that carries it; nil if none
	inFlight bool         // it is being forwarded
	queued   bool         // it waits to be forwarded
	local    bool         // the local core answers
	timer    *core.Timer
	answer   func(text []byte) bool // nil once answered or if nobody waits
}

// forwardConn is a connection to another courier. It carries one command at a time.
type forwardConn struct {
	front       *Front
	addr        string
	conn        *net.Conn
	parser      resp.ReplyParser
	current     *forwardedMessage // nil while idle
	sent        bool              // bytes of the command may have left this process
	lastUsed    time.Time
	idleElement *list.Element // in idleList; nil if not idle
	dialTimer   *core.Timer   // runs while connecting
}

func newForwarder(f *Front) forwarder {
	return forwarder{
		front: f, conns: map[*forwardConn]bool{}, connsByAddr: map[string]int{}, idleByAddr: map[string][]*forwardConn{}, idleList: list.New(), keyQueues: map[uint64]*keyQueue{},
	}
}

// Submit submits a message like a client's command does, but without a client connection: the
// message is accepted here or forwarded. It calls answer once, possibly before it returns, with the
// text that a client would be sent. A nil text means that the outcome is unknown; a client's
// connection would be closed. Submit returns an error if the message is invalid; answer is then not
// called.
func (f *Front) Submit(r core.Request, answer func(text []byte)) error {
	_, err := f.submit(r, func(text []byte) bool {
		answer(text)
		return true
	})
	return err
}

// submit submits a message for a caller that may disconnect before the answer. The answer function
// returns whether the answer was delivered.
func (f *Front) submit(r core.Request, answer func(text []byte) bool) (*forwardedMessage, error) {
	if f.Router == nil || !f.core.Accepting() {
		return nil, f.submitLocal(r, answer)
	}
	class, err := f.core.Validate(r)
	if err != nil {
		f.core.Counters.Malformed++
		return nil, err
	}
	m := &forwardedMessage{
		front: f, request: r, deadline: f.Loop.Now().Add(r.TimeLeft), answer: answer,
		routing: partition.Message{Destination: r.Destination, Forwarded: r.Forwarded, Remaining: r.TimeLeft},
	}
	if class.InOrder && !r.Forwarded { // messages forwarded by another courier arrive in order
		m.routing.Key = r.Key
	}
	if m.routing.Key == 0 {
		m.route()
	} else {
		queue := f.forwarder.keyQueues[r.Key]
		if queue == nil {
			queue = &keyQueue{}
			f.forwarder.keyQueues[r.Key] = queue
		}
		queue.waiting = append(queue.waiting, m)
		f.forwarder.advance(r.Key)
	}
	if m.answer == nil || m.local {
		return m, nil
	}
	m.timer = f.Loop.After(clientTimeout, m.expire)
	if !m.inFlight { // waits for its key or a handover; bounded like those in flight
		m.queued = true
		if f.forwarder.queued++; f.forwarder.queued > f.forwarder.maxConns() {
			m.refuse(forwardRetryAfter)
		}
	}
	return m, nil
}

// submitLocal submits a message to this courier's own core.
func (f *Front) submitLocal(r core.Request, answer func(text []byte) bool) error {
	return f.core.Submit(r, func(x core.Answer, _ *store.Message) bool { return answer(renderAnswer(x)) })
}

// advance routes the waiting messages of a key as far as their order allows.
func (f *forwarder) advance(key uint64) {
	queue := f.keyQueues[key]
	if queue == nil {
		return
	}
	for queue.forwarding == nil && len(queue.waiting) > 0 {
		m := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		if queue.local > 0 {
			m.acceptHere()
			continue
		}
		queue.forwarding = m
		m.route()
	}
	if queue.forwarding == nil && queue.local == 0 && len(queue.waiting) == 0 && f.keyQueues[key] == queue {
		delete(f.keyQueues, key)
	}
}

// route decides where the message goes next. Nothing of it has been sent so far.
func (m *forwardedMessage) route() {
	f := m.front
	if f.forwarder.paused && !m.inFlight {
		return // it will be handed over or time out
	}
	if m.routing.Remaining = m.deadline.Sub(f.Loop.Now()); m.routing.Remaining <= 0 {
		m.finish(renderAnswer(core.Answer{Verdict: core.Failed}))
		return
	}
	if !f.core.Accepting() {
		m.acceptHere()
		return
	}
	switch x := f.Router.Route(m.routing, m.tried, f.routerTime()); x.Action {
	case partition.Local:
		m.acceptHere()
	case partition.Forward:
		m.send(x.To)
	case partition.Moved:
		f.core.Counters.Moved++
		m.finish(resp.Error("MOVED"))
	default:
		m.refuse(x.After)
	}
}

// refuse answers that the message may be submitted again after a delay.
func (m *forwardedMessage) refuse(after time.Duration) {
	m.front.core.Counters.Unrouted++
	m.finish(renderAnswer(core.Answer{Verdict: core.FixedResponse, RetryAfter: after}))
}

// acceptHere submits the message to this courier's core.
func (m *forwardedMessage) acceptHere() {
	f := m.front
	m.clearInFlight()
	m.local = true
	queue := f.forwarder.keyQueues[m.routing.Key]
	if m.routing.Key != 0 {
		if queue.forwarding == m {
			queue.forwarding = nil
		}
		queue.local++
	}
	done := func() {
		if m.routing.Key != 0 {
			queue.local--
			f.forwarder.advance(m.routing.Key)
		}
	}
	if m.request.TimeLeft = m.deadline.Sub(f.Loop.Now()); m.request.TimeLeft <= 0 {
		m.reply(renderAnswer(core.Answer{Verdict: core.Failed}))
		done()
		return
	}
	err := f.core.Submit(m.request, func(x core.Answer, _ *store.Message) bool {
		if x.Verdict == core.Accepted {
			m.routing.Remaining = m.deadline.Sub(f.Loop.Now())
			f.Router.RecordAccepted(m.routing, f.Router.Self(), f.routerTime())
		}
		delivered := m.reply(renderAnswer(x))
		done()
		return delivered
	})
	if err != nil { // the message was checked before, so no error is expected
		m.reply(resp.Error("ERR " + err.Error()))
		done()
	}
}

// reply answers the message, at most once, and reports whether the answer was delivered.
func (m *forwardedMessage) reply(text []byte) bool {
	answer := m.answer
	m.answer = nil
	return answer != nil && answer(text)
}

// markInFlight counts the message as being forwarded.
func (m *forwardedMessage) markInFlight() {
	if m.inFlight {
		return
	}
	if m.inFlight = true; m.queued {
		m.queued = false
		m.front.forwarder.queued--
	}
	m.front.forwarder.inFlight++
}

// clearInFlight ends the forwarding of the message.
func (m *forwardedMessage) clearInFlight() {
	m.timer.Stop()
	m.markInFlight()
	m.conn, m.inFlight = nil, false
	m.front.forwarder.inFlight--
}

// finish answers the message and lets the next one of its key proceed.
func (m *forwardedMessage) finish(text []byte) {
	m.clearInFlight()
	m.reply(text)
	m.leaveQueue()
}

// leaveQueue removes the message from its key queue.
func (m *forwardedMessage) leaveQueue() {
	p := &m.front.forwarder
	if queue := p.keyQueues[m.routing.Key]; m.routing.Key != 0 && queue != nil {
		if queue.forwarding == m {
			queue.forwarding = nil
		}
		queue.waiting = slices.DeleteFunc(queue.waiting, func(x *forwardedMessage) bool { return x == m })
		p.advance(m.routing.Key)
	}
}

// abandon stops forwarding a message whose client has disconnected. The courier that may have
// received it sees its connection close, as it would for its own client.
func (m *forwardedMessage) abandon() {
	if m.answer == nil {
		return
	}
	m.answer = nil
	if m.local {
		return // the core notices when it answers
	}
	if c := m.conn; c != nil {
		if c.sent {
			m.recordOwner()
		}
		c.current = nil
		c.closeConn(net.ClientGone)
	}
	m.clearInFlight()
	m.leaveQueue()
}

// recordOwner records that the courier the message was sent to may have accepted it.
func (m *forwardedMessage) recordOwner() {
	m.front.Router.RecordAccepted(m.routing, m.owner.Name, m.front.routerTime())
}

// expire gives up on the message when the client's timeout is over.
func (m *forwardedMessage) expire() {
	if c := m.conn; c != nil {
		if c.sent { // a courier that does not respond would not answer the next command either
			m.front.Router.MarkUnreachable(m.owner.Name, m.front.routerTime())
			c.failSent(net.CallTimeout)
			return
		}
		c.current = nil
		c.closeConn(net.DialTimeout)
	}
	if !m.front.Loop.Now().Before(m.deadline) {
		m.finish(renderAnswer(core.Answer{Verdict: core.Failed}))
		return
	}
	m.refuse(forwardRetryAfter)
}

// tryNextOwner routes the message to another courier. The last one has certainly not accepted it.
func (m *forwardedMessage) tryNextOwner() {
	m.front.core.Counters.ForwardFailed++
	m.conn = nil
	m.tried = append(m.tried, m.owner.Name)
	m.route()
}

// send forwards the message on an idle connection or on a new one.
func (m *forwardedMessage) send(to partition.Member) {
	f := m.front
	p := &f.forwarder
	m.owner = to
	m.markInFlight()
	for c := p.takeIdle(to.Addr); c != nil; c = p.takeIdle(to.Addr) {
		if m.conn, c.current = c, m; c.writeCommand() {
			return
		}
		c.current, m.conn = nil, nil
		c.closeConn(net.Stale)
	}
	maxConns := p.maxConns()
	if p.connsByAddr[to.Addr] >= maxConns/2 {
		m.tryNextOwner()
		return
	}
	if len(p.conns) >= maxConns && !p.closeOldestIdle() {
		m.refuse(forwardRetryAfter)
		return
	}
	c := &forwardConn{front: f, addr: to.Addr, current: m}
	m.conn = c
	p.conns[c] = true
	p.connsByAddr[to.Addr]++
	c.dialTimer = f.Loop.After(forwardDialTimeout, c.dialTimedOut)
	c.conn = f.Engine.Dial(ForwardKind, to.Addr, c)
}

// maxConns returns how many connections to other couriers are allowed.
func (f *forwarder) maxConns() int {
	return max(2, int(forwardConnShare*float64(f.front.Engine.MaxConns())))
}

// encode returns the client's command in the form sent to another courier.
func (m *forwardedMessage) encode(left time.Duration) []byte {
	r := &m.request
	names := "c=" + r.Class
	if r.Tenant != "" {
		names += ",t=" + r.Tenant
	}
	names += ",d=" + strconv.FormatFloat(float64(left.Microseconds())/1000, 'f', -1, 64) +
		",dest=" + strconv.FormatUint(uint64(r.Destination), 10)
	if r.IdempotencyKey != "" {
		names += ",k=" + r.IdempotencyKey
	}
	if r.Resubmitted {
		names += ",again=1"
	}
	names += ",fwd=1"
	return resp.Command([]byte("OUT.ADD"), strconv.AppendUint(nil, r.Key, 16), []byte(r.ID), []byte(names), r.Body)
}

// takeIdle returns the most recently used idle connection to an address. It closes connections that
// the other courier has closed or sent unsolicited bytes on, because a command on these would be
// lost.
func (f *forwarder) takeIdle(addr string) *forwardConn {
	for {
		idle := f.idleByAddr[addr]
		if len(idle) == 0 {
			return nil
		}
		c := idle[len(idle)-1]
		f.removeIdle(c)
		if f.front.Loop.Now().Sub(c.lastUsed) >= forwardIdleTimeout {
			c.closeConn(net.Idle)
		} else if bytes, ended := c.conn.Pending(); bytes {
			c.closeConn(net.Unsolicited)
		} else if ended {
			c.closeConn(net.Stale)
		} else {
			return c
		}
	}
}

// removeIdle removes a connection from the idle ones.
func (f *forwarder) removeIdle(c *forwardConn) {
	if c.idleElement == nil {
		return
	}
	f.idleList.Remove(c.idleElement)
	c.idleElement = nil
	idle := slices.DeleteFunc(f.idleByAddr[c.addr], func(x *forwardConn) bool { return x == c })
	if f.idleByAddr[c.addr] = idle; len(idle) == 0 {
		delete(f.idleByAddr, c.addr)
	}
}

// oldestIdle returns the connection that has been idle longest, or nil.
func (f *forwarder) oldestIdle() *forwardConn {
	if f.idleList.Len() == 0 {
		return nil
	}
	return f.idleList.Front().Value.(*forwardConn)
}

// closeOldestIdle closes that connection. It returns false if none is idle.
func (f *forwarder) closeOldestIdle() bool {
	c := f.oldestIdle()
	if c != nil {
		c.closeConn(net.Evicted)
	}
	return c != nil
}

// closeExpired closes the connections that have been idle for too long to be reused.
func (f *forwarder) closeExpired() {
	f.expiryTimer = nil
	for c := f.oldestIdle(); c != nil; c = f.oldestIdle() {
		if left := forwardIdleTimeout - f.front.Loop.Now().Sub(c.lastUsed); left > 0 {
			f.expiryTimer = f.front.Loop.After(left, f.closeExpired)
			return
		}
		c.closeConn(net.Idle)
	}
}

// closeIdleTo closes all idle connections to an address.
func (f *forwarder) closeIdleTo(addr string) {
	for _, c := range slices.Clone(f.idleByAddr[addr]) {
		c.closeConn(net.Dropped)
	}
}

func (f *forwarder) close() {
	f.expiryTimer.Stop()
	for c := range f.conns {
		c.dialTimer.Stop()
		c.conn.Close(net.Shutdown)
	}
}

// untrack removes a closed connection from the bookkeeping.
func (c *forwardConn) untrack() {
	p := &c.front.forwarder
	c.dialTimer.Stop()
	if !p.conns[c] {
		return
	}
	delete(p.conns, c)
	if p.connsByAddr[c.addr]--; p.connsByAddr[c.addr] == 0 {
		delete(p.connsByAddr, c.addr)
	}
	p.removeIdle(c)
}

func (c *forwardConn) closeConn(code net.Code) {
	c.untrack()
	c.conn.Close(code)
}

// Opened sends the command on a new connection.
func (c *forwardConn) Opened() {
	c.dialTimer.Stop()
	c.writeCommand() // if this fails, Closed follows
}

// writeCommand sends the command and reports whether the connection accepted it. A command whose
// time is over is not sent.
func (c *forwardConn) writeCommand() bool {
	m := c.current
	left := m.deadline.Sub(c.front.Loop.Now())
	if left < time.Microsecond {
		c.current = nil
		c.markIdle()
		m.finish(renderAnswer(core.Answer{Verdict: core.Failed}))
		return true
	}
	text := m.encode(left)
	if c.sent = c.conn.Write(text); c.sent {
		c.front.core.Counters.ForwardedBytes += uint64(len(text))
	}
	return c.sent
}

// markIdle makes the connection available to the next command.
func (c *forwardConn) markIdle() {
	p := &c.front.forwarder
	c.sent, c.lastUsed = false, c.front.Loop.Now()
	p.idleByAddr[c.addr] = append(p.idleByAddr[c.addr], c)
	c.idleElement = p.idleList.PushBack(c)
	if p.expiryTimer == nil {
		p.expiryTimer = c.front.Loop.After(forwardIdleTimeout, p.closeExpired)
	}
}

// dialTimedOut gives up on a connection that does not open.
func (c *forwardConn) dialTimedOut() {
	c.closeConn(net.DialTimeout)
	c.failUnsent(net.DialTimeout)
}

// failUnsent tries the next owner for a command that was not sent.
func (c *forwardConn) failUnsent(code net.Code) {
	m := c.current
	c.current = nil
	if code != net.Limit { // a local connection limit: says nothing about the other courier
		c.front.Router.MarkUnreachable(m.owner.Name, c.front.routerTime())
	}
	m.tryNextOwner()
}

// Closed ends the command in flight, if any.
func (c *forwardConn) Closed(code net.Code) {
	c.untrack()
	switch {
	case c.current == nil:
	case c.sent:
		c.failSent(code)
	default:
		c.failUnsent(code)
	}
}

// failSent ends a connection whose command was sent and got no answer: the outcome is unknown. Idle
// connections to the same courier are closed, because further commands on them would be lost too.
func (c *forwardConn) failSent(code net.Code) {
	m := c.current
	c.current = nil
	c.closeConn(code)
	c.front.forwarder.closeIdleTo(c.addr)
	c.front.core.Counters.ForwardUnknown++
	m.recordOwner()
	m.finish(nil)
}

// Data reads the answer.
func (c *forwardConn) Data(b []byte) {
	c.parser.Feed(b)
	m := c.current
	if m == nil || !c.sent {
		c.closeConn(net.Unsolicited)
		return
	}
	reply, err := c.parser.Next()
	if reply == nil && err == nil {
		return
	}
	word, _, _ := bytes.Cut(bytes.TrimRight(reply, "\r\n"), []byte(" "))
	answer := string(word)
	if err != nil || answer != "+OK" && answer != "-BUSY" && answer != "-ERR" && answer != "-MOVED" {
		c.failSent(net.Protocol)
		return
	}
	c.front.Router.MarkReachable(m.owner.Name)
	c.current = nil
	if c.parser.Idle() {
		c.markIdle()
	} else { // more bytes than the answer
		c.closeConn(net.Unsolicited)
	}
	if answer == "-MOVED" {
		m.tryNextOwner()
		return
	}
	if answer == "+OK" {
		m.recordOwner()
	}
	c.front.core.Counters.Forwarded++
	m.finish(reply)
}
