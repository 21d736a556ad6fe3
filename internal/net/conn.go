package net

import (
	stdnet "net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Conn is one connection. It belongs to the loop's goroutine.
type Conn struct {
	engine   *Engine
	kind     string
	peer     string
	since    time.Time
	handler  Handler
	nc       *nbio.Conn // nil until a dialled connection is up
	up       bool
	over     bool
	accepted bool
	in, out  int
	cancel   func() // calls off the dialling
}

// Peer is the other side's address.
func (c *Conn) Peer() string { return c.peer }

// Up tells whether the connection is established and not ended.
func (c *Conn) Up() bool { return c.up && !c.over }

// Write sends b and tells whether the socket took it: if not, none of it has
// left and Closed follows.
func (c *Conn) Write(b []byte) bool {
	if !c.Up() {
		return false
	}
	if _, err := c.nc.Write(b); err != nil {
		return false
	}
	c.out += len(b)
	return true
}

// Close ends the connection for the reason given. The handler hears nothing
// of it. Later calls do nothing.
func (c *Conn) Close(code Code) {
	if c.over {
		return
	}
	c.end(code)
	if c.cancel != nil {
		c.cancel()
	}
	if c.nc != nil {
		_ = c.nc.Close()
	}
}

// attach gives the connection to the engine. All of that happens on the loop's
// goroutine, so that neither data nor an end can come before its handler.
func (c *Conn) attach(raw stdnet.Conn) bool {
	// nbio duplicates the descriptor for whatever process is started next to
	// inherit: a plug-in's host would keep the connection open after its end
	// here, and the poller would turn for ever on what is no connection any more.
	syscall.ForkLock.RLock()
	nc, err := nbio.NBConn(raw)
	if err == nil {
		syscall.CloseOnExec(nc.Hash()) // which is the descriptor
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		raw.Close()
		return false
	}
	nc.SetSession(c)
	if _, err := c.engine.nb.AddConn(nc); err != nil {
		return false
	}
	c.nc, c.up = nc, true
	return true
}

func (c *Conn) data(b []byte) {
	if c.over || c.handler == nil {
		return
	}
	c.in += len(b)
	c.handler.Data(b)
}

// ended is the other side's end, or the network's.
func (c *Conn) ended(code Code) {
	if c.over {
		return
	}
	if !c.up && code != Limit {
		code = DialFailed
	}
	c.end(code)
	if c.handler != nil {
		c.handler.Closed(code)
	}
}

// end books the end and leaves the connection's one line in the log.
func (c *Conn) end(code Code) {
	c.over = true
	c.engine.open--
	if c.accepted {
		c.engine.accepted--
	}
	c.engine.cfg.Log.Info("connection ended", "kind", c.kind, "peer", c.peer, "code", string(code),
		"in", c.in, "out", c.out, "ms", time.Since(c.since).Milliseconds())
}
