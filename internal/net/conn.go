package net

import (
	"errors"
	stdnet "net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"snowjunction/internal/handover"
)

// Conn is one connection. It belongs to the loop's goroutine.
type Conn struct {
	engine   *Engine
	kind     string
	peer     string
	since    time.Time
	handler  Handler
	nc       *nbio.Conn // nil until a dialled connection is up
	plain    *plain     // in its place, where its other side may close alone
	up       bool
	over     bool
	accepted bool
	booked   bool // it counts as open
	halves   bool // its other side may close its sending side and still be answered
	in, out  int
	written  atomic.Int64 // of out, what the kernel has taken
	coming   atomic.Int64 // pieces read and not looked at
	base     uint64       // bytes that earlier owners of the socket have read
	handed   int          // bytes that its handler has been given since
	cancel   func()       // calls off the dialling
	detached bool
	rest     []byte // what came while it was being detached
}

// Detach takes the connection from the engine, for another process to go on with: its socket
// stays open under the descriptor returned. ok is false where it is not up, or bytes written
// to it have not left yet. The handler hears nothing more; what had been read already is Rest,
// once the engine has come to a halt.
func (c *Conn) Detach() (from handover.Conn, ok bool) {
	if !c.Up() || c.nc != nil && c.written.Load() != int64(c.out) {
		return from, false
	}
	fd, err := -1, error(nil)
	if c.plain != nil {
		fd, err = copyOf(c.plain.raw)
	} else {
		fd, err = handover.Copy(c.nc.Hash())
	}
	if err != nil {
		return from, false
	}
	// The engine's reader may have closed it meanwhile, which the loop is yet to hear: then its
	// number may be another socket's by now, and the copy is of that.
	if c.nc != nil && c.gone() {
		_ = unix.Close(fd)
		return from, false
	}
	c.detached = true
	c.end(HandedOver)
	if c.plain != nil {
		c.plain.raw.Close()
	} else {
		_ = c.nc.Close()
	}
	return handover.Conn{FD: fd, Peer: c.peer, Since: c.since, In: c.in, Out: c.out}, true
}

// Rest is what was read of a detached connection and never handed to its handler.
func (c *Conn) Rest() []byte { return c.rest }

// Peer is the other side's address.
func (c *Conn) Peer() string { return c.peer }

// Up tells whether the connection is established and not ended.
func (c *Conn) Up() bool { return c.up && !c.over }

// Unread tells that bytes have come which its handler has not been given yet: in the socket, or
// on their way to the loop.
func (c *Conn) Unread() bool {
	bytes, _ := c.Look()
	return bytes
}

// Look tells what has come on a connection that its handler has not been given yet: bytes, or the
// other side's end. The system's own count of what has come is the one witness that cannot be
// between two hands, as bytes are that the reader has taken and not counted yet. Where there is
// no such count the socket and the reader are asked; where these do not tell, nothing has come.
func (c *Conn) Look() (bytes, ended bool) {
	switch {
	case !c.Up():
		return false, true
	case c.nc == nil: // a plain one's end comes by itself
		c.plain.control(func(fd int) {
			n, _, ok := received(fd)
			if bytes = n-c.base != uint64(c.handed); !ok {
				bytes, _ = c.peek(fd)
			}
		})
		return bytes, false
	}
	received, ended, ok := received(c.nc.Hash())
	bytes = received-c.base != uint64(c.handed)
	if !ok {
		bytes, ended = c.peek(c.nc.Hash())
	}
	if c.gone() { // what was looked at may be another's by now
		return bytes && !ok, true
	}
	return bytes, ended
}

// peek asks the socket and the reader.
func (c *Conn) peek(fd int) (bytes, ended bool) {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if c.coming.Load() > 0 {
		return true, false
	}
	return n > 0, err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

// received is the system's count of the bytes that have come on a socket, and whether the other
// side has ended it, which counts for one more; ok is false where the system does not count.
func received(fd int) (n uint64, ended, ok bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Bytes_received == 0 { // or nothing has come: then the socket tells as well
		return 0, false, false
	}
	if ended = info.State != established; ended {
		return info.Bytes_received - 1, true, true
	}
	return info.Bytes_received, false, true
}

// established is the state of a connection that neither side has ended, by Linux.
const established = 1

// count notes what earlier owners of a socket have read from it.
func (c *Conn) count(fd int) {
	for {
		before, ended, ok := received(fd)
		in, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		after, _, _ := received(fd)
		if !ok || err != nil || ended {
			return
		}
		if before == after {
			c.base = before - uint64(in)
			return
		}
	}
}

// gone tells that the engine has closed the connection. It marks one as closed before it gives
// its descriptor back, so that one which is not gone had its own until now.
func (c *Conn) gone() bool {
	closed, _ := c.nc.IsClosed()
	return closed
}

// Write sends b and tells whether the socket took it: if not, none of it has
// left and Closed follows.
func (c *Conn) Write(b []byte) bool {
	if !c.Up() {
		return false
	}
	if c.plain != nil {
		if !c.plain.write(b) {
			return false
		}
	} else if _, err := c.nc.Write(b); err != nil {
		return false
	}
	c.out += len(b)
	return true
}

// Close ends the connection for the reason given. The handler hears nothing
// of it. Later calls do nothing.
func (c *Conn) Close(code Code) {
	if c == nil || c.over {
		return
	}
	c.end(code)
	if c.cancel != nil {
		c.cancel()
	}
	if c.nc != nil {
		_ = c.nc.Close()
	}
	if c.plain != nil {
		c.plain.raw.Close()
	}
}

// attach gives the connection to the engine. All of that happens on the loop's
// goroutine, so that neither data nor an end can come before its handler.
func (c *Conn) attach(raw stdnet.Conn) bool {
	if c.halves {
		c.attachPlain(raw)
		return true
	}
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
	c.count(nc.Hash())
	c.engine.meet()
	if _, err := c.engine.nb.AddConn(nc); err != nil {
		return false
	}
	c.nc, c.up = nc, true
	return true
}

func (c *Conn) data(b []byte) {
	if c.detached {
		c.rest = append(c.rest, b...)
		return
	}
	if c.over || c.handler == nil {
		return
	}
	c.in += len(b)
	c.handed += len(b)
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
	if c.booked {
		c.engine.book(c, -1)
	}
	c.engine.cfg.Log.Info("connection ended", "kind", c.kind, "peer", c.peer, "code", string(code),
		"in", c.in, "out", c.out, "ms", time.Since(c.since).Milliseconds())
}
