package net

import (
	"errors"
	"io"
	stdnet "net"
	"syscall"
	"time"
)

// HalfClosed is a Handler whose peer may close its sending side and still wait for an answer, as
// programs that send a line from a pipe do. nbio closes such connections at once; for kinds with
// few connections and short answers, standard library connections are used instead.
type HalfClosed interface {
	// HalfClosed is called when the peer has closed its sending side. The handler closes the
	// connection.
	HalfClosed()
}

// plain is a standard library connection with a goroutine that reads from it.
type plain struct{ raw stdnet.Conn }

// writeTimeout limits a write: an answer fits into the socket's buffer unless the peer reads too
// slowly.
const writeTimeout = 20 * time.Millisecond

const plainReadBuffer = 1 << 10

func (p *plain) write(b []byte) bool {
	_ = p.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := p.raw.Write(b)
	return err == nil
}

// control calls f with the descriptor, unless the connection is closed.
func (p *plain) control(f func(fd int)) {
	if sc, ok := p.raw.(syscall.Conn); ok {
		if rc, err := sc.SyscallConn(); err == nil {
			_ = rc.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}

// attachPlain starts reading the connection for a handler that is notified of a half-close.
func (c *Conn) attachPlain(raw stdnet.Conn) {
	p, e := &plain{raw}, c.engine
	c.plain, c.up, e.plainConns[p] = p, true, true
	p.control(c.recordReadBefore)
	e.plainReaders.Add(1)
	go func() {
		defer e.plainReaders.Done()
		buf := make([]byte, plainReadBuffer)
		for {
			n, err := raw.Read(buf)
			if n > 0 {
				b := append([]byte(nil), buf[:n]...)
				e.reservePending(n)
				c.unprocessed.Add(1)
				e.cfg.Post(func() {
					c.unprocessed.Add(-1)
					c.data(b)
					e.releasePending(n)
				})
			}
			if err == nil {
				continue
			}
			code := PeerClosed
			if errors.Is(err, syscall.ECONNRESET) {
				code = PeerReset
			}
			e.cfg.Post(func() {
				delete(e.plainConns, p)
				h, ok := c.handler.(HalfClosed)
				if ok && errors.Is(err, io.EOF) && !c.closed {
					h.HalfClosed()
				} else {
					raw.Close()
					c.remoteClosed(code)
				}
			})
			return
		}
	}()
}
