package platform

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/resp"
)

// client is an accepted connection. Answers are sent in the order of the requests, because RESP2
// clients may pipeline several.
type client struct {
	front           *Front
	conn            *net.Conn
	parser          resp.Parser
	pending         []*pendingAnswer // in the order of the requests
	restoring       bool             // it is being restored after a handover: no answer is sent yet
	closing         bool             // close after the pending answers
	openedAt        time.Time
	validCommand    bool      // has sent a valid command
	submitted       bool      // has submitted a message
	lastActive      time.Time // when the last command began or was answered
	incompleteBytes int       // held by its incomplete command
}

// pendingAnswer is a request of a client and its answer, once that is known.
type pendingAnswer struct {
	text      []byte            // nil until known
	request   core.Request      // until answered
	deadline  time.Time         // deadline of the request
	sequence  uint64            // position among all requests of the front
	forwarded *forwardedMessage // the forwarded message, if a router is used
}

// maxPipelined bounds the unanswered requests of one connection.
const maxPipelined = 256

// Connections between requests may be closed: clients open another one when they need it. Without
// these limits, idle connections would use up the file descriptors.
const (
	firstCommandTimeout = 2 * time.Second        // from opening to the first valid command
	commandTimeout      = 2 * time.Second        // from the first byte of a command to its last
	clientIdleTimeout   = 10 * time.Second       // between commands
	evictableAfter      = 100 * time.Millisecond // between commands, if other connections need the room
	idleCheckInterval   = 250 * time.Millisecond
	evictionShare       = 0.25 // of all connections; above it, new clients evict idle ones
)

// idleTime returns how long a client has had no open request, and how long it may have none. A
// client with an open request has no limit.
func (c *client) idleTime(now time.Time) (idle, limit time.Duration) {
	switch {
	case len(c.pending) > 0:
		return 0, clientIdleTimeout
	case !c.validCommand:
		return now.Sub(c.openedAt), firstCommandTimeout
	case !c.parser.Idle():
		return now.Sub(c.lastActive), commandTimeout
	}
	return now.Sub(c.lastActive), clientIdleTimeout
}

// closeIdleClients closes the connections that exceed their idle limit.
func (f *Front) closeIdleClients() {
	now := f.Loop.Now()
	for c := range f.clients {
		if idle, limit := c.idleTime(now); idle >= limit && !c.conn.HasUnread() {
			c.closeConn(net.Idle)
		}
	}
	f.Loop.After(idleCheckInterval, f.closeIdleClients)
}

// evictClient closes a client connection to make room for another: among those that may be closed,
// the one idle longest. A request that crosses this close is sent again by its client, while
// rejecting a new client fails that client's request.
//
// Connections without a valid command go first, and among these the ones that have sent nothing at
// all: clients that connect on demand send at once, and a flood of silent connections would keep
// them out. If full is true, connections that have not submitted a message are closed regardless of
// their idle time; otherwise they would block new clients if they come faster than the idle time
// passes. A client whose message was answered just now is kept, because the close could discard the
// answer.
func (f *Front) evictClient(full bool) bool {
	now := f.Loop.Now()
	var oldest *client
	var longest time.Duration
	for c := range f.clients {
		if len(c.pending) > 0 {
			continue
		}
		idle, _ := c.idleTime(now)
		evictable := idle >= evictableAfter || full && !c.submitted
		if !c.validCommand {
			idle += clientIdleTimeout
		}
		if !c.validCommand && c.parser.Idle() {
			idle += firstCommandTimeout
		}
		if evictable && idle >= longest && !c.conn.HasUnread() {
			oldest, longest = c, idle
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeConn(net.Evicted)
	return true
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	// This keeps clients to about a third of the file descriptors. Clients that send one request
	// and stay connected would otherwise use them up, and no further request could be accepted.
	if float64(len(f.clients)) >= evictionShare*float64(f.Engine.MaxConns()) {
		f.evictClient(false)
	}
	now := f.Loop.Now()
	c := &client{front: f, conn: conn, openedAt: now, lastActive: now}
	f.clients[c] = true
	return c
}

// Opened is called for dialled connections only.
func (c *client) Opened() {}

// Closed removes the client and abandons its unanswered requests.
func (c *client) Closed(net.Code) {
	delete(c.front.clients, c)
	c.parser = resp.Parser{}
	c.countIncomplete()
	c.abandon()
}

// abandon stops the requests that nobody waits for any more, the last one first: stopping an
// earlier one lets the next of its key proceed.
func (c *client) abandon() {
	pending := c.pending
	c.pending = nil
	for _, a := range slices.Backward(pending) {
		if a.forwarded != nil {
			a.forwarded.abandon()
		}
	}
}

// forwarding reports whether a request of the client is being forwarded.
func (c *client) forwarding() bool {
	return slices.ContainsFunc(c.pending, func(a *pendingAnswer) bool { return a.forwarded != nil && a.forwarded.inFlight })
}

func (c *client) Data(b []byte) {
	if c.closing { // what comes now is not read any more
		return
	}
	if c.parser.Idle() {
		c.lastActive = c.front.Loop.Now()
	}
	c.parser.Feed(b)
	for !c.closing {
		args, err := c.parser.Next()
		if err != nil {
			c.reply(resp.Error("ERR " + err.Error()))
			c.closing = true
			break
		}
		if args == nil {
			break
		}
		c.command(args)
	}
	c.countIncomplete()
	c.front.limitIncomplete()
	c.flush()
}

// command executes a command.
func (c *client) command(args [][]byte) {
	switch name := strings.ToUpper(string(args[0])); {
	case len(c.pending) >= maxPipelined:
		c.reply(resp.Error("BUSY"))
	case name == "OUT.ADD":
		c.submitArgs(args[1:])
	case name == "PING" && (!c.front.ready || c.front.draining):
		c.reply(resp.Error("LOADING not ready"))
	case name == "PING" && len(args) == 1:
		c.validCommand = true
		c.reply(resp.Simple("PONG"))
	case name == "PING" && len(args) == 2:
		c.reply(resp.Bulk(args[1]))
	case name == "QUIT":
		c.reply(resp.Simple("OK"))
		c.closing = true
	default:
		c.reply(resp.Error(fmt.Sprintf("ERR unknown command or wrong number of arguments for '%.32s'", name)))
	}
}

func (c *client) reply(text []byte) { c.pending = append(c.pending, &pendingAnswer{text: text}) }

// submitArgs submits a message. The arguments are key, id, names and values, body.
func (c *client) submitArgs(args [][]byte) {
	r, err := parseOutAdd(args)
	if err != nil {
		c.front.core.Counters.Malformed++
		c.reply(resp.Error("ERR " + err.Error()))
		return
	}
	r.Origin = c.front.FrontIndex
	c.enqueue(r)
}

func (c *client) enqueue(r core.Request) {
	a := &pendingAnswer{}
	c.pending = append(c.pending, a)
	c.submit(a, r)
}

// submit submits a message whose answer already has its place in pending.
func (c *client) submit(a *pendingAnswer, r core.Request) {
	c.front.requestCount++
	a.request, a.deadline, a.sequence = r, c.front.Loop.Now().Add(r.TimeLeft), c.front.requestCount
	validCommand, submitted := c.validCommand, c.submitted
	c.validCommand, c.submitted = true, true // set first: the call may evict a client
	var err error
	a.forwarded, err = c.front.submit(r, func(text []byte) bool {
		if text == nil { // unknown outcome: same as a courier that crashed
			c.closeConn(net.OutcomeUnknown)
			return false
		}
		a.text, a.request = text, core.Request{}
		return c.conn.Up() && c.flush()
	})
	if err != nil {
		a.text = resp.Error("ERR " + err.Error())
		c.validCommand, c.submitted = validCommand, submitted
	}
}

// renderAnswer returns the RESP2 form of the core's answer.
func renderAnswer(x core.Answer) []byte {
	switch {
	case x.Verdict == core.Accepted:
		return resp.Simple("OK")
	case x.Verdict == core.Failed:
		return resp.Error("ERR failed")
	case x.RetryAfter > 0:
		return resp.Error("BUSY " + strconv.FormatInt(x.RetryAfter.Milliseconds()+1, 10))
	}
	return resp.Error("BUSY")
}

// flush sends the known answers, up to the first unknown one, and reports whether the socket
// accepted them. Closing the connection after them does not mean that they were not delivered.
func (c *client) flush() (sent bool) {
	if c.restoring {
		return true
	}
	n := 0
	var out []byte
	for ; n < len(c.pending) && c.pending[n].text != nil; n++ {
		out = append(out, c.pending[n].text...)
	}
	c.pending = c.pending[n:]
	if sent = true; len(out) > 0 {
		c.lastActive = c.front.Loop.Now()
		sent = c.conn.Write(out)
	}
	if c.closing && len(c.pending) == 0 {
		c.closeConn(net.Finished)
	} else if c.front.draining {
		c.closeIfIdle()
	}
	return sent
}

// closeIfIdle closes a connection that is between requests. A request that has already arrived is
// read and answered first.
func (c *client) closeIfIdle() {
	if !c.unanswered() {
		c.closeConn(net.Shutdown)
	}
}

// unanswered reports whether a request has arrived, completely or in part, and has no answer yet.
func (c *client) unanswered() bool {
	if len(c.pending) > 0 || !c.parser.Idle() {
		return true
	}
	bytes, _ := c.conn.Pending()
	return bytes
}

func (c *client) closeConn(code net.Code) {
	c.conn.Close(code)
	delete(c.front.clients, c)
	c.abandon()
}

var errOutAddArgs = errors.New("OUT.ADD wants a key, an id, names and values, and a body")

// parseOutAdd parses the arguments of OUT.ADD: key, id, names and values, body.
func parseOutAdd(args [][]byte) (core.Request, error) {
	if len(args) != 4 {
		return core.Request{}, errOutAddArgs
	}
	key, err := strconv.ParseUint(string(args[0]), 16, 64)
	if err != nil {
		return core.Request{}, errors.New("the key must be a hexadecimal number of 64 bits")
	}
	r := core.Request{Key: key, ID: string(args[1]), Body: args[3]}
	var seen struct{ class, left, dest bool }
	for _, pair := range strings.Split(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return r, fmt.Errorf("%.32q is no name and value", pair)
		}
		switch name {
		case "c":
			r.Class, seen.class = value, true
		case "t":
			r.Tenant = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(ms) || math.Abs(ms) > 1e12 {
				return r, errors.New("d must be a number of milliseconds")
			}
			r.TimeLeft, seen.left = time.Duration(ms*float64(time.Millisecond)), true
		case "dest":
			dest, err := strconv.ParseUint(value, 10, 32)
			if err != nil {
				return r, errors.New("dest must be the number of a destination")
			}
			r.Destination, seen.dest = uint32(dest), true
		case "k":
			r.IdempotencyKey = value
		case "r", "again":
			r.Resubmitted = r.Resubmitted || value == "1"
		case "fwd":
			r.Forwarded = value == "1"
		}
	}
	if !seen.class || !seen.left || !seen.dest {
		return r, errors.New("c, d and dest are wanted")
	}
	return r, nil
}
