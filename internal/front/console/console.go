// Package console is the second address: staff ask there how the courier does. Each
// connection carries one call and gets one answer, done or error, whatever the load: it
// is made of counts that are there, and waits for nothing but the disk, where what staff
// wants is to last.
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
	silentFor   = 5 * time.Second // that a caller may take for its line
	readMost    = oneline.Most + 4
	callersMost = 32 // beyond, the one goes that has been there for longest without its call
)

// Config is what the front needs.
type Config struct {
	Loop    *core.Loop
	Engine  *net.Engine
	Listen  string
	Ready   func() bool                   // whether messages are taken
	Figures func(done func(core.Figures)) // what is counted
	// Exclude takes an endpoint out, or lets it serve again. done is called once that
	// lasts, or with why it is not so.
	Exclude func(id string, out bool, done func(error))
}

// Front is the second address. It belongs to the loop's goroutine.
type Front struct {
	Config
	addr    string
	callers []*caller // the oldest first
	hushed  bool      // calls wait for whoever goes on
}

// Start listens; an error says why it cannot.
func Start(cfg Config) (*Front, error) {
	f := &Front{Config: cfg}
	var err error
	cfg.Engine.Halves(ListenerKind)
	f.addr, err = cfg.Engine.Listen(ListenerKind, cfg.Listen, f.accept, f.spare)
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() string { return f.addr }

type caller struct {
	front  *Front
	conn   *net.Conn
	parser oneline.Parser
	read   []byte // of a call that is not answered
	asked  bool   // a whole call has come
	limit  *core.Timer
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	c := &caller{front: f, conn: conn}
	if len(f.callers) >= callersMost && !f.spare() {
		conn.Close(net.Limit)
		return c
	}
	f.join(c)
	return c
}

func (f *Front) join(c *caller) {
	c.limit = f.Loop.After(silentFor, func() { c.end(net.Idle) })
	f.callers = append(f.callers, c)
}

// spare ends the caller that has been there for longest, of those whose call has not come.
func (f *Front) spare() bool {
	for _, c := range f.callers {
		if !c.asked && !c.conn.Unread() {
			c.end(net.Spared)
			return true
		}
	}
	return false
}

func (c *caller) Opened() {}

func (c *caller) Closed(net.Code) { c.leave() }

// Data reads the call and answers it.
func (c *caller) Data(b []byte) {
	if c.read = append(c.read, b[:min(len(b), readMost)]...); c.front.hushed {
		return
	}
	if len(c.read) > readMost {
		c.read = c.read[:readMost]
	}
	call, ok, err := c.parser.Feed(b)
	if !ok && err == nil {
		return
	}
	c.asked = true
	if err != nil {
		c.answer("", err)
		return
	}
	c.front.ask(call, c.answer)
}

// HalfClosed leaves a caller that has sent its call, and ends one that has not.
func (c *caller) HalfClosed() {
	if !c.asked && !c.front.hushed {
		c.end(net.PeerClosed)
	}
}

// answer answers the call. A caller that has gone meanwhile hears nothing.
func (c *caller) answer(text string, err error) {
	if err != nil {
		c.conn.Write([]byte("error " + err.Error() + "\n"))
		c.end(net.Protocol)
		return
	}
	c.conn.Write([]byte(text))
	c.end(net.Finished)
}

func (c *caller) end(code net.Code) {
	c.conn.Close(code)
	c.leave()
}

func (c *caller) leave() {
	c.limit.Stop()
	for i, x := range c.front.callers {
		if x == c {
			c.front.callers = append(c.front.callers[:i], c.front.callers[i+1:]...)
			return
		}
	}
}

var (
	errReady = errors.New("not ready")
	errCall  = errors.New("unknown call")
	errID    = errors.New("the endpoint's id is wanted")
)

// ask carries a call out. Those that change something are answered once that lasts.
func (f *Front) ask(c oneline.Call, answer func(string, error)) {
	switch out := c.Word == "exclude"; {
	case c.Word == "readyz" && c.Arg == "":
		if !f.Ready() {
			answer("", errReady)
			return
		}
		answer("done\n", nil)
	case c.Word == "telemetry" && c.Arg == "":
		f.Figures(func(x core.Figures) {
			b, err := json.Marshal(x)
			answer(string(b)+"\nend\n", err)
		})
	case (out || c.Word == "include") && c.Arg == "":
		answer("", errID)
	case out || c.Word == "include":
		f.Exclude(c.Arg, out, func(err error) { answer("done\n", err) })
	default:
		answer("", errCall)
	}
}
