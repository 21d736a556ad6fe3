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

// Conn is a connection. It belongs to the loop's goroutine.
type Conn struct {
	engine        *Engine
	kind          string
	peer          string
	since         time.Time
	handler       Handler
	nc            *nbio.Conn // nil until a dialed connection is up
	plain         *plain     // used instead of nc for kinds that may be half-closed
	up            bool
	closed        bool
	slow          bool // about to be closed, because the peer reads too slowly
	accepted      bool
	counted       bool // counted as open
	halfClose     bool // the peer may close its sending side and still be answered
	in, out       int
	kernelWritten atomic.Int64 // bytes of out that the kernel has accepted
	unprocessed   atomic.Int64 // chunks that were read and not yet processed by the loop
	readBefore    uint64       // bytes that earlier owners of the socket read
	delivered     int          // bytes passed to the handler by this owner
	cancel        func()       // cancels dialing
	detached      bool
	leftover      []byte // bytes read while the connection was being detached
}

// Detach removes the connection from the engine so that another process can continue it: the socket
// stays open under the returned descriptor. ok is false if the connection is not up or not all
// written bytes have been sent. The handler receives no more events; bytes that had been read
// become available once the engine has halted.
func (c *Conn) Detach() (from handover.Conn, ok bool) {
	if !c.Up() || c.nc != nil && c.kernelWritten.Load() != int64(c.out) {
		return from, false
	}
	fd, err := -1, error(nil)
	if c.plain != nil {
		fd, err = dupSocket(c.plain.raw)
	} else {
		fd, err = handover.DupDescriptor(c.nc.Hash())
	}
	if err != nil {
		return from, false
	}
	// The engine's reader may have closed the connection before the loop was notified. The
	// descriptor number may then belong to another socket, and the duplicate would be of that
	// socket.
	if c.nc != nil && c.closedByEngine() {
		_ = unix.Close(fd)
		return from, false
	}
	c.detached = true
	c.finish(HandedOver)
	if c.plain != nil {
		c.plain.raw.Close()
	} else {
		_ = c.nc.Close()
	}
	return handover.Conn{FD: fd, Peer: c.peer, Since: c.since, In: c.in, Out: c.out}, true
}

// Leftover returns the bytes that were read from a detached connection and not passed to its handler.
func (c *Conn) Leftover() []byte { return c.leftover }

// Peer returns the peer's address.
func (c *Conn) Peer() string { return c.peer }

// Up reports whether the connection is established and not closed.
func (c *Conn) Up() bool { return c.up && !c.closed }

// HasUnread reports whether bytes have arrived that have not been passed to the handler: in the
// socket, or on their way to the loop.
func (c *Conn) HasUnread() bool {
	bytes, _ := c.Pending()
	return bytes
}

// Pending reports what has arrived on a connection and has not been passed to its handler: bytes, or
// the end of the stream. The kernel's count of received bytes is the only reliable source: bytes
// that the reader has taken and not yet counted show up nowhere else. If the kernel does not count,
// the socket and the reader are asked; if these show nothing, nothing is reported.
func (c *Conn) Pending() (bytes, ended bool) {
	switch {
	case !c.Up():
		return false, true
	case c.nc == nil: // the end of a plain connection is reported by its reader
		c.plain.control(func(fd int) {
			n, _, ok := receivedBytes(fd)
			if bytes = n-c.readBefore != uint64(c.delivered); !ok {
				bytes, _ = c.peek(fd)
			}
		})
		return bytes, false
	}
	received, ended, ok := receivedBytes(c.nc.Hash())
	bytes = received-c.readBefore != uint64(c.delivered)
	if !ok {
		bytes, ended = c.peek(c.nc.Hash())
	}
	if c.closedByEngine() { // the descriptor that was examined may belong to another socket
		return bytes && !ok, true
	}
	return bytes, ended
}

// peek looks for unread bytes or an end in the socket and in the reader's queue.
func (c *Conn) peek(fd int) (bytes, ended bool) {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if c.unprocessed.Load() > 0 {
		return true, false
	}
	return n > 0, err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

// receivedBytes returns the kernel's count of bytes received on a socket and whether the peer has
// closed it; the end of the stream counts as one byte in the kernel and is subtracted. ok is false
// if the kernel does not count.
func receivedBytes(fd int) (n uint64, ended, ok bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	// A count of 0 may also mean that nothing arrived, which peeking at the socket shows as well.
	if err != nil || info.Bytes_received == 0 {
		return 0, false, false
	}
	if ended = info.State != tcpEstablished; ended {
		return info.Bytes_received - 1, true, true
	}
	return info.Bytes_received, false, true
}

// tcpEstablished is Linux's TCP_ESTABLISHED: neither side has closed the connection.
const tcpEstablished = 1

// recordReadBefore determines how many bytes earlier owners of a socket read from it.
func (c *Conn) recordReadBefore(fd int) {
	for {
		before, ended, ok := receivedBytes(fd)
		in, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		after, _, _ := receivedBytes(fd)
		if !ok || err != nil || ended {
			return
		}
		if before == after {
			c.readBefore = before - uint64(in)
			return
		}
	}
}

// closedByEngine reports whether the engine has closed the connection. The engine marks a
// connection as closed before it releases the descriptor, so a connection that is not marked still
// owns its descriptor.
func (c *Conn) closedByEngine() bool {
	closed, _ := c.nc.IsClosed()
	return closed
}

// Write sends b and reports whether the socket accepted it. If not, nothing was sent and Closed
// follows.
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
	c.engine.limitUnsent(c)
	return true
}

// Close closes the connection with the given code. The handler is not called. Further calls do
// nothing.
func (c *Conn) Close(code Code) {
	if c == nil || c.closed {
		return
	}
	c.finish(code)
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

// attach adds the connection to the engine. It runs on the loop's goroutine, so that neither data
// nor an end can arrive before the handler is set.
func (c *Conn) attach(raw stdnet.Conn) bool {
	if c.halfClose {
		c.attachPlain(raw)
		return true
	}
	// nbio duplicates the descriptor without close-on-exec. A child process such as a plug-in's
	// host would inherit it and keep the connection open after it is closed here, and the poller
	// would spin on the dead descriptor.
	syscall.ForkLock.RLock()
	nc, err := nbio.NBConn(raw)
	if err == nil {
		syscall.CloseOnExec(nc.Hash()) // Hash returns the descriptor
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		raw.Close()
		return false
	}
	nc.SetSession(c)
	c.recordReadBefore(nc.Hash())
	c.engine.synchronize()
	if _, err := c.engine.nb.AddConn(nc); err != nil {
		return false
	}
	c.nc, c.up = nc, true
	return true
}

func (c *Conn) data(b []byte) {
	if c.detached {
		c.leftover = append(c.leftover, b...)
		return
	}
	if c.closed || c.handler == nil {
		return
	}
	c.in += len(b)
	c.delivered += len(b)
	c.handler.Data(b)
}

// remoteClosed handles an end caused by the peer or the network.
func (c *Conn) remoteClosed(code Code) {
	if c.closed {
		return
	}
	if !c.up && code != Limit {
		code = DialFailed
	}
	c.finish(code)
	if c.handler != nil {
		c.handler.Closed(code)
	}
}

// finish updates the counts and logs the connection's one log line.
func (c *Conn) finish(code Code) {
	c.closed = true
	delete(c.engine.unsent, c)
	if c.counted {
		c.engine.countOpen(c, -1)
	}
	c.engine.cfg.Log.Info("connection ended", "kind", c.kind, "peer", c.peer, "code", string(code),
		"in", c.in, "out", c.out, "ms", time.Since(c.since).Milliseconds())
}
