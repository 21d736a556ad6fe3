// Package console is the second address: staff ask there how the courier does. Each
// connection carries one call and gets one answer, done or error, whatever the load: it
// is made of counts that are there, and waits for nothing.
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
	callersMost = 32              // beyond, the one that has been there for longest goes
)

// Config is what the front needs.
type Config struct {
	Loop    *core.Loop
	Engine  *net.Engine
	Listen  string
	Ready   func() bool         // whether messages are taken
	Figures func() core.Figures // what is counted
}

// Front is the second address. It belongs to the loop's goroutine.
type Front struct {
	Config
	addr    string
	callers []*caller // the oldest first
}

// Start listens; an error says why it cannot.
func Start(cfg Config) (*Front, error) {
	f := &Front{Config: cfg}
	var err error
	f.addr, err = cfg.Engine.Listen("console", cfg.Listen, f.accept, f.spare)
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() string { return f.addr }

type caller struct {
	front  *Front
	conn   *net.Conn
	parser oneline.Parser
	limit  *core.Timer
}

func (f *Front) accept(conn *net.Conn) net.Handler {
	if len(f.callers) >= callersMost {
		f.spare()
	}
	c := &caller{front: f, conn: conn}
	c.limit = f.Loop.After(silentFor, func() { c.end(net.Idle) })
	f.callers = append(f.callers, c)
	return c
}

// spare ends the caller that has been there for longest.
func (f *Front) spare() bool {
	if len(f.callers) == 0 {
		return false
	}
	f.callers[0].end(net.Spared)
	return true
}

func (c *caller) Opened() {}

func (c *caller) Closed(net.Code) { c.leave() }

// Data reads the call and answers it.
func (c *caller) Data(b []byte) {
	call, ok, err := c.parser.Feed(b)
	if !ok && err == nil {
		return
	}
	text := ""
	if err == nil {
		text, err = c.front.answer(call)
	}
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
)

func (f *Front) answer(c oneline.Call) (string, error) {
	switch {
	case c.Word == "readyz" && c.Arg == "":
		if !f.Ready() {
			return "", errReady
		}
		return "done\n", nil
	case c.Word == "telemetry" && c.Arg == "":
		b, err := json.Marshal(f.Figures())
		return string(b) + "\nend\n", err
	}
	return "", errCall
}
