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

// client is a listener's connection. Answers go out in the order of requests,
// as RESP2 clients may send several at once.
type client struct {
	front  *Front
	conn   *net.Conn
	parser resp.Parser
	due    []*answer // in the order of the requests
	taking bool      // it is being taken over: no answer goes yet
	quit   bool      // ends after the answers that are due
	opened time.Time
	served bool      // has sent a command that makes sense
	handed bool      // has handed a message in
	since  time.Time // the last command began, or was answered
}

type answer struct {
	text  []byte       // nil: not known yet
	asked core.Request // until then
	until time.Time    // its deadline
	no    uint64       // of the front's requests
	way   *forward     // of the request, where a router finds it
}

// pipelineMost bounds the answers one connection may be waiting for.
const pipelineMost = 256

// A connection between requests may be ended: clients open another at need.
// Without a bound those that are kept for nothing would use up the descriptors.
const (
	senseWithin = 2 * time.Second        // from its opening, to the first command that makes sense
	wholeWithin = 2 * time.Second        // from a command's first byte to its last
	idleMost    = 10 * time.Second       // between commands
	spareAfter  = 100 * time.Millisecond // between commands, where others need the room
	sweepEvery  = 250 * time.Millisecond
	crowdShare  = 0.25 // of all connections: with more clients, idle ones make room already
)

// idle tells for how long a client has had no open request, and how long it
// may; a client with one has no limit.
func (c *client) idle(now time.Time) (idle, most time.Duration) {
	switch {
	case len(c.due) > 0:
		return 0, idleMost
	case !c.served:
		return now.Sub(c.opened), senseWithin
	case !c.parser.Idle():
		return now.Sub(c.since), wholeWithin
	}
	return now.Sub(c.since), idleMost
}

// sweep ends the connections that are kept for nothing.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for c := range f.clients {
		if idle, most := c.idle(now); idle >= most && !c.conn.Unread() {
			c.end(net.Idle)
		}
	}
	f.Loop.After(sweepEvery, f.sweep)
}

// spareClient makes room for another: of those that can be spared the one goes that is farthest
// over its time. A request that crosses this is sent again; to turn a new client away fails its
// request. Who has sent nothing that makes sense goes first, and of these who has sent nothing at
// all: those who connect at need send at once, and a flood of silent ones would keep them out.
// Where it is full those go before their time who have handed nothing in, or they would shut the
// others out where they come faster than it passes. Whose message has been answered just now is
// left: a close could take the answer with it.
func (f *Front) spareClient(full bool) bool {
	now := f.Loop.Now()
	var spare *client
	var over time.Duration
	for c := range f.clients {
		if len(c.due) > 0 {
			continue
		}
		idle, _ := c.idle(now)
		may := idle >= spareAfter || full && !c.handed
		if !c.served {
			idle += idleMost
		}
		if !c.served && c.parser.Idle() {
			idle += senseWithin
		}
		if may && idle >= over && !c.conn.Unread() {
			spare, over = c, idle
		}
	}
	if spare == nil {
		return false
	}
	spare.end(net.Spared)
	return true
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	// Clients hold a third of the descriptors at most: those that ask once and
	// stay for a while would use that up, and no further request could come.
	if float64(len(f.clients)) >= crowdShare*float64(f.Engine.Most()) {
		f.spareClient(false)
	}
	now := f.Loop.Now()
	c := &client{front: f, conn: conn, opened: now, since: now}
	f.clients[c] = true
	return c
}

func (c *client) Opened() {}

func (c *client) Closed(net.Code) {
	delete(c.front.clients, c)
	c.abandon()
}

// abandon ends the ways of the requests that nobody waits for any more, the last first: an
// earlier one that ends has the next of its key go on.
func (c *client) abandon() {
	due := c.due
	c.due = nil
	for _, a := range slices.Backward(due) {
		if a.way != nil {
			a.way.abandon()
		}
	}
}

// forwarding tells that a request of it is being forwarded.
func (c *client) forwarding() bool {
	return slices.ContainsFunc(c.due, func(a *answer) bool { return a.way != nil && a.way.begun })
}

func (c *client) Data(b []byte) {
	if c.parser.Idle() {
		c.since = c.front.Loop.Now()
	}
	c.parser.Feed(b)
	for !c.quit {
		args, err := c.parser.Next()
		if err != nil {
			c.say(resp.Error("ERR " + err.Error()))
			c.quit = true
			break
		}
		if args == nil {
			break
		}
		c.command(args)
	}
	c.flush()
}

func (c *client) command(args [][]byte) {
	switch name := strings.ToUpper(string(args[0])); {
	case len(c.due) >= pipelineMost:
		c.say(resp.Error("BUSY"))
	case name == "OUT.ADD":
		c.add(args[1:])
	case name == "PING" && (!c.front.ready || c.front.draining):
		c.say(resp.Error("LOADING not ready"))
	case name == "PING" && len(args) == 1:
		c.served = true
		c.say(resp.Simple("PONG"))
	case name == "PING" && len(args) == 2:
		c.say(resp.Bulk(args[1]))
	case name == "QUIT":
		c.say(resp.Simple("OK"))
		c.quit = true
	default:
		c.say(resp.Error(fmt.Sprintf("ERR unknown command or wrong number of arguments for '%.32s'", name)))
	}
}

func (c *client) say(text []byte) { c.due = append(c.due, &answer{text: text}) }

// add hands a message in: key, id, names and values, body.
func (c *client) add(args [][]byte) {
	r, err := parseAdd(args)
	if err != nil {
		c.front.core.Counters.Malformed++
		c.say(resp.Error("ERR " + err.Error()))
		return
	}
	r.Origin = c.front.Number
	c.hand(r)
}

func (c *client) hand(r core.Request) {
	a := &answer{}
	c.due = append(c.due, a)
	c.take(a, r)
}

// take hands a message in whose answer has its place already.
func (c *client) take(a *answer, r core.Request) {
	c.front.requests++
	a.asked, a.until, a.no = r, c.front.Loop.Now().Add(r.Left), c.front.requests
	served, handed := c.served, c.handed
	c.served, c.handed = true, true // already: what it has to make room for may be decided within
	var err error
	a.way, err = c.front.handIn(r, func(text []byte) bool {
		if text == nil { // as at a courier that has died
			c.end(net.Unknown)
			return false
		}
		a.text, a.asked = text, core.Request{}
		return c.conn.Up() && c.flush()
	})
	if err != nil {
		a.text = resp.Error("ERR " + err.Error())
		c.served, c.handed = served, handed
	}
}

func render(x core.Answer) []byte {
	switch {
	case x.Verdict == core.Taken:
		return resp.Simple("OK")
	case x.Verdict == core.Failed:
		return resp.Error("ERR failed")
	case x.After > 0:
		return resp.Error("BUSY " + strconv.FormatInt(x.After.Milliseconds()+1, 10))
	}
	return resp.Error("BUSY")
}

// flush sends the answers that are known, up to the first that is not, and tells whether the
// socket took them. That the connection ends behind them is no reason to think them unheard.
func (c *client) flush() (sent bool) {
	if c.taking {
		return true
	}
	n := 0
	var out []byte
	for ; n < len(c.due) && c.due[n].text != nil; n++ {
		out = append(out, c.due[n].text...)
	}
	c.due = c.due[n:]
	if sent = true; len(out) > 0 {
		c.since = c.front.Loop.Now()
		sent = c.conn.Write(out)
	}
	if c.quit && len(c.due) == 0 {
		c.end(net.Finished)
	} else if c.front.draining {
		c.release()
	}
	return sent
}

// release ends a connection that is between requests. One whose next request has come already
// is read first, and answered.
func (c *client) release() {
	if !c.unanswered() {
		c.end(net.Shutdown)
	}
}

// unanswered tells that a request has come, or begun to come, and has no answer yet.
func (c *client) unanswered() bool {
	if len(c.due) > 0 || !c.parser.Idle() {
		return true
	}
	bytes, _ := c.conn.Look()
	return bytes
}

func (c *client) end(code net.Code) {
	c.conn.Close(code)
	delete(c.front.clients, c)
	c.abandon()
}

var errAdd = errors.New("OUT.ADD wants a key, an id, names and values, and a body")

func parseAdd(args [][]byte) (core.Request, error) {
	if len(args) != 4 {
		return core.Request{}, errAdd
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
			r.Left, seen.left = time.Duration(ms*float64(time.Millisecond)), true
		case "dest":
			dest, err := strconv.ParseUint(value, 10, 32)
			if err != nil {
				return r, errors.New("dest must be the number of a destination")
			}
			r.Destination, seen.dest = uint32(dest), true
		case "k":
			r.IdempotencyKey = value
		case "r", "again":
			r.Again = r.Again || value == "1"
		case "fwd":
			r.Forwarded = value == "1"
		}
	}
	if !seen.class || !seen.left || !seen.dest {
		return r, errors.New("c, d and dest are wanted")
	}
	return r, nil
}
