// Package console is the front for operators, on an address of its own. Each connection carries one
// call and gets one answer, done or error, whatever the load: answers consist of counters that are
// at hand, and wait for nothing but the disk if a change has to be persisted.
package console

import (
	"encoding/json"
	"errors"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/oneline"
)

const (
	callTimeout  = 5 * time.Second // from connecting to the end of the call's line
	maxCallBytes = oneline.MaxLineBytes + 4
	maxCallers   = 32 // at the limit, the oldest caller without a complete call is evicted
)

// Config holds the front's dependencies and settings.
type Config struct {
	Loop    *core.Loop
	Engine  *net.Engine
	Listen  string
	Ready   func() bool                   // whether messages are accepted
	Figures func(done func(core.Figures)) // returns the courier's figures
	// SetExcluded takes an endpoint out of service or back in. It calls done once the change is
	// persisted, or with the error.
	SetExcluded func(id string, out bool, done func(error))
}

// Front is the console front. It belongs to the loop's goroutine.
type Front struct {
	Config
	addr    string
	callers []*caller // oldest first
	paused  bool      // calls are left to the next process
}

// Start starts to listen.
func Start(cfg Config) (*Front, error) {
	f := &Front{Config: cfg}
	var err error
	cfg.Engine.AllowHalfClose(ListenerKind)
	f.addr, err = cfg.Engine.Listen(ListenerKind, cfg.Listen, f.accept, f.evictCaller)
	return f, err
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() string { return f.addr }

// caller is an accepted connection.
type caller struct {
	front    *Front
	conn     *net.Conn
	parser   oneline.Parser
	received []byte // received bytes of an unanswered call
	complete bool   // the call is complete
	timer    *core.Timer
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	c := &caller{front: f, conn: conn}
	if len(f.callers) >= maxCallers && !f.evictCaller() {
		conn.Close(net.Limit)
		return c
	}
	f.addCaller(c)
	return c
}

func (f *Front) addCaller(c *caller) {
	c.timer = f.Loop.After(callTimeout, func() { c.closeConn(net.Idle) })
	f.callers = append(f.callers, c)
}

// evictCaller closes the oldest connection whose call is incomplete. It returns false if there is
// none.
func (f *Front) evictCaller() bool {
	for _, c := range f.callers {
		if !c.complete && !c.conn.HasUnread() {
			c.closeConn(net.Evicted)
			return true
		}
	}
	return false
}

// Opened is called for dialled connections only.
func (c *caller) Opened() {}

// Closed removes the caller.
func (c *caller) Closed(net.Code) { c.remove() }

// Data reads the call and answers it.
func (c *caller) Data(b []byte) {
	if c.received = append(c.received, b[:min(len(b), maxCallBytes)]...); c.front.paused {
		return
	}
	if len(c.received) > maxCallBytes {
		c.received = c.received[:maxCallBytes]
	}
	call, ok, err := c.parser.Feed(b)
	if !ok && err == nil {
		return
	}
	c.complete = true
	if err != nil {
		c.answer("", err)
		return
	}
	c.front.dispatch(call, c.answer)
}

// HalfClosed keeps a caller whose call is complete, and closes any other.
func (c *caller) HalfClosed() {
	if !c.complete && !c.front.paused {
		c.closeConn(net.PeerClosed)
	}
}

// answer answers the call. A caller that has disconnected gets no answer.
func (c *caller) answer(text string, err error) {
	if err != nil {
		c.conn.Write([]byte("error " + err.Error() + "\n"))
		c.closeConn(net.Protocol)
		return
	}
	c.conn.Write([]byte(text))
	c.closeConn(net.Finished)
}

func (c *caller) closeConn(code net.Code) {
	c.conn.Close(code)
	c.remove()
}

func (c *caller) remove() {
	c.timer.Stop()
	for i, x := range c.front.callers {
		if x == c {
			c.front.callers = append(c.front.callers[:i], c.front.callers[i+1:]...)
			return
		}
	}
}

var (
	errNotReady    = errors.New("not ready")
	errUnknownCall = errors.New("unknown call")
	errMissingID   = errors.New("the endpoint's id is wanted")
)

// dispatch executes a call. Calls that change something are answered once the change is persisted.
func (f *Front) dispatch(c oneline.Call, answer func(string, error)) {
	switch out := c.Command == "exclude"; {
	case c.Command == "readyz" && c.Arg == "":
		if !f.Ready() {
			answer("", errNotReady)
			return
		}
		answer("done\n", nil)
	case c.Command == "telemetry" && c.Arg == "":
		f.Figures(func(x core.Figures) {
			b, err := json.Marshal(x)
			answer(string(b)+"\nend\n", err)
		})
	case (out || c.Command == "include") && c.Arg == "":
		answer("", errMissingID)
	case out || c.Command == "include":
		f.SetExcluded(c.Arg, out, func(err error) { answer("done\n", err) })
	default:
		answer("", errUnknownCall)
	}
}
