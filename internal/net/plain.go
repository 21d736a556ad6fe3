package net

import (
	"errors"
	"io"
	stdnet "net"
	"syscall"
	"time"
)

// HalfClosed is a Handler whose other side may end what it sends and still wait for an answer,
// as programs do that send a line from a pipe. The engine ends such connections at once; for
// kinds of few connections and short answers the standard library's are used in its place.
type HalfClosed interface {
	// HalfClosed tells that nothing more comes. The connection is the handler's to close.
	HalfClosed()
}

// plain is a connection of the standard library's, with a goroutine that reads it.
type plain struct{ raw stdnet.Conn }

// writeWithin bounds a write: an answer fits into the socket's buffer, or its reader is too slow.
const writeWithin = 20 * time.Millisecond

const plainBuffer = 1 << 10

func (p *plain) write(b []byte) bool {
	_ = p.raw.SetWriteDeadline(time.Now().Add(writeWithin))
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

// attachPlain reads the connection for a handler that hears of a half close.
func (c *Conn) attachPlain(raw stdnet.Conn) {
	p, e := &plain{raw}, c.engine
	c.plain, c.up, e.plains[p] = p, true, true
	p.control(c.count)
	e.reading.Add(1)
	go func() {
		defer e.reading.Done()
		buf := make([]byte, plainBuffer)
		for {
			n, err := raw.Read(buf)
			if n > 0 {
				b := append([]byte(nil), buf[:n]...)
				e.queue(n)
				c.coming.Add(1)
				e.cfg.Post(func() {
					c.coming.Add(-1)
					c.data(b)
					e.unqueue(n)
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
				delete(e.plains, p)
				h, ok := c.handler.(HalfClosed)
				if ok && errors.Is(err, io.EOF) && !c.over {
					h.HalfClosed()
				} else {
					raw.Close()
					c.ended(code)
				}
			})
			return
		}
	}()
}
