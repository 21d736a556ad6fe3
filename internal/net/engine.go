// Package net owns the sockets: the nbio engine, the limit on connections and
// the codes with which connections end. Its callbacks only hand work to the
// loop's goroutine; a Conn and its Handler belong to that goroutine.
package net

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	stdnet "net"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"snowjunction/internal/handover"
)

// Code is the reason for which a connection ended; docs/oncall.md lists them.
type Code string

// The codes.
const (
	PeerClosed  Code = "peer_closed"  // the other side ended it
	PeerReset   Code = "peer_reset"   // it broke
	DialFailed  Code = "dial_failed"  // it never came up: refused or unreachable
	DialTimeout Code = "dial_timeout" // it never came up: silence
	CallTimeout Code = "call_timeout" // the call on it was given up
	Protocol    Code = "protocol"     // the other side broke its protocol
	Idle        Code = "idle"         // unused for too long
	Stale       Code = "stale"        // an idle one that its other side has ended, or sent something on
	Dropped     Code = "dropped"      // an idle one that the module no longer trusts
	Drained     Code = "drained"      // its target leaves the target group
	Moved       Code = "moved"        // the platform is at another address now
	Finished    Code = "finished"     // one side had asked for an end after this exchange
	Spared      Code = "spared"       // ended to make room for another
	Limit       Code = "limit"        // no room for another connection
	Slow        Code = "slow"         // the other side does not read what it is sent
	Abuse       Code = "abuse"        // too much of what costs only this side
	Shutdown    Code = "shutdown"     // the courier ends
	Unknown     Code = "unknown"      // a message from it was forwarded, and what became of that is not known
	ClientGone  Code = "client_gone"  // who handed in the message that was forwarded on it has gone
	HandedOver  Code = "handed_over"  // another process of this courier goes on with it
)

// Handler is told what happens on a connection, on the loop's goroutine.
type Handler interface {
	Opened()          // a dialled connection is up
	Data(b []byte)    // b is the handler's to keep
	Closed(code Code) // the last call; not made for a Close of one's own
}

// Config is what an engine needs to know.
type Config struct {
	Post     func(func()) // hands work to the loop's goroutine
	Log      *slog.Logger
	MaxConns int // connections open at once, listeners' and targets' together
	// Kept are connections, by kind, that are kept for it whatever the others need: clients that
	// rest and calls to targets could else cut the courier off from those that it has to hear.
	Kept map[string]int
}

// Engine opens and accepts connections.
type Engine struct {
	cfg       Config
	nb        *nbio.Engine
	open      int
	opened    map[string]int // of these, by kind
	accepted  int            // of these, by listeners
	listeners []listener
	idle      []func() bool // each ends a dialled connection that is not in use, if there is one
	accepting sync.WaitGroup
	reading   sync.WaitGroup // of plain connections
	plains    map[*plain]bool
	halves    map[string]bool // kinds whose connections are plain
	inherited map[string]stdnet.Listener
	halting   atomic.Bool
	stopped   chan struct{}

	mu      sync.Mutex
	looked  *sync.Cond // something pending has been looked at
	pending int        // bytes
}

// acceptShare of the connections may be listeners'. The rest is kept for
// targets and the platform, or clients could cut the courier off from both.
const acceptShare = 0.7

// pendingMost bounds what has been read and not been looked at: a peer that
// sends faster than the loop reads would have it pile up in memory.
const pendingMost = 512 << 10

const (
	readBuffer  = 16 << 10
	readTimes   = 8       // the engine drops what it has not read when the other side has closed: a whole answer must fit
	writeBuffer = 1 << 20 // a peer that lets more pile up is too slow
)

// New starts an engine.
func New(cfg Config) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	// The engine keeps a table of this size; its default is for two million.
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, cfg.MaxConns+4096)
	e := &Engine{cfg: cfg, opened: map[string]int{}, stopped: make(chan struct{}), plains: map[*plain]bool{}, halves: map[string]bool{}, nb: nbio.NewEngine(nbio.Config{
		NPoller: 1, ReadBufferSize: readBuffer, MaxWriteBufferSize: writeBuffer,
		MaxConnReadTimesPerEventLoop: readTimes,
	})}
	e.looked = sync.NewCond(&e.mu)
	e.nb.OnData(func(nc *nbio.Conn, data []byte) {
		c, ok := nc.Session().(*Conn)
		if !ok {
			return
		}
		b := append([]byte(nil), data...)
		e.queue(len(b))
		c.coming.Add(1)
		cfg.Post(func() {
			c.coming.Add(-1)
			c.data(b)
			e.unqueue(len(b))
		})
	})
	e.nb.OnClose(func(nc *nbio.Conn, err error) {
		if c, ok := nc.Session().(*Conn); ok {
			code := codeOf(err)
			if e.halting.Load() {
				code = Shutdown
			}
			cfg.Post(func() { c.ended(code) })
		}
	})
	e.nb.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*Conn); ok {
			e.meet()
			c.written.Add(int64(n))
		}
	})
	if err := e.nb.Start(); err != nil {
		return nil, fmt.Errorf("start the network engine: %w", err)
	}
	return e, nil
}

// meet orders what the loop has done to a connection before what the engine's reader does: nbio
// passes it between them by the kernel alone.
func (e *Engine) meet() {
	e.mu.Lock()
	defer e.mu.Unlock()
}

// queue makes the engine's reader wait while too much is pending. The loop
// never waits for the reader, so this ends.
func (e *Engine) queue(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.pending >= pendingMost {
		e.looked.Wait()
	}
	e.pending += n
}

func (e *Engine) unqueue(n int) {
	e.mu.Lock()
	e.pending -= n
	e.mu.Unlock()
	e.looked.Signal()
}

// Halves lets the other sides of a kind's accepted connections end what they send and still be
// answered: their handlers are HalfClosed. It is called before the kind is listened for.
func (e *Engine) Halves(kind string) { e.halves[kind] = true }

// Stop closes the listeners; connections are their owners' to close.
func (e *Engine) Stop() {
	select {
	case <-e.stopped:
		return
	default:
		close(e.stopped)
	}
	for _, l := range e.listeners {
		l.Close()
	}
	e.listeners = nil
	e.Disinherit()
}

// Unlisten closes the listener on an address. What it has accepted goes on.
func (e *Engine) Unlisten(addr string) {
	e.listeners = slices.DeleteFunc(e.listeners, func(l listener) bool {
		if l.Addr().String() != addr {
			return false
		}
		l.Close()
		return true
	})
}

type listener struct {
	stdnet.Listener
	kind  string
	spare func() bool
}

// Reserve binds the address that Listen will listen on for a kind, unless a listener has been
// inherited for that.
func (e *Engine) Reserve(kind, addr string) error {
	l := e.inherited[kind]
	if l != nil && same(l.Addr().String(), addr) {
		return nil
	}
	if l != nil {
		l.Close()
		delete(e.inherited, kind)
	}
	l, err := stdnet.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", kind, err)
	}
	e.inherit(kind, l)
	return nil
}

// Free tells whether an address can be listened on, or why it cannot.
func Free(kind, addr string) error {
	l, err := stdnet.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", kind, err)
	}
	return l.Close()
}

// same tells whether a listener at have is what want asks for, which may leave the port open.
func same(have, want string) bool {
	host, port, err := stdnet.SplitHostPort(want)
	if err == nil && port == "0" {
		at, _, _ := stdnet.SplitHostPort(have)
		return at == host
	}
	return have == want
}

func (e *Engine) inherit(kind string, l stdnet.Listener) {
	if e.inherited == nil {
		e.inherited = map[string]stdnet.Listener{}
	}
	e.inherited[kind] = l
}

// Inherit has Listen go on, for a kind, with a socket that another process has listened on.
// The descriptor is the engine's from then on.
func (e *Engine) Inherit(kind string, fd int) error {
	f := os.NewFile(uintptr(fd), kind)
	defer f.Close()
	l, err := stdnet.FileListener(f)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", kind, err)
	}
	e.inherit(kind, l)
	return nil
}

// Disinherit closes what was inherited or reserved and that nothing listens on.
func (e *Engine) Disinherit() {
	for _, l := range e.inherited {
		l.Close()
	}
	e.inherited = nil
}

// Retire stops accepting and calls done with copies of the listening sockets, by kind, once
// all that has been accepted has its handler. What waits in their queues stays there.
func (e *Engine) Retire(done func(fds map[string]int)) {
	fds := map[string]int{}
	for _, l := range e.listeners {
		if fd, err := copyOf(l.Listener); err == nil {
			fds[l.kind] = fd
		}
		l.Close()
	}
	e.listeners = nil
	go func() {
		e.accepting.Wait()
		e.cfg.Post(func() { done(fds) })
	}()
}

// Halt ends the engine, with all connections that have not been detached, and calls done once
// all that had been read has been looked at.
func (e *Engine) Halt(done func()) {
	e.halting.Store(true)
	for p := range e.plains {
		p.raw.Close()
	}
	go func() {
		e.nb.Stop()
		e.reading.Wait()
		e.cfg.Post(done)
	}()
}

func copyOf(x any) (int, error) {
	sc, ok := x.(syscall.Conn)
	if !ok {
		return -1, errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return -1, err
	}
	fd, cerr := -1, error(nil)
	if err := rc.Control(func(p uintptr) { fd, cerr = handover.Copy(int(p)) }); err != nil {
		return -1, err
	}
	return fd, cerr
}

// Adopt goes on with a connection that another process has had, whose descriptor is the
// engine's from then on. kind and accepted are as for any; handler hears of what comes. It is
// nil where there is no room or the descriptor is none.
func (e *Engine) Adopt(kind string, accepted bool, from handover.Conn, handler Handler) *Conn {
	f := os.NewFile(uintptr(from.FD), kind)
	raw, err := stdnet.FileConn(f)
	f.Close()
	if err != nil {
		e.cfg.Log.Warn("a connection could not be taken over", "kind", kind, "peer", from.Peer, "err", err)
		return nil
	}
	c := &Conn{engine: e, kind: kind, peer: from.Peer, since: from.Since, accepted: accepted, handler: handler, in: from.In, out: from.Out, halves: e.halves[kind]}
	c.written.Store(int64(from.Out))
	e.book(c, 1)
	if !c.attach(raw) {
		c.end(Limit)
		return nil
	}
	return c
}

// book counts a connection that is opened, 1, or ends, -1.
func (e *Engine) book(c *Conn, n int) {
	c.booked = n > 0
	e.open += n
	e.opened[c.kind] += n
	if c.accepted {
		e.accepted += n
	}
}

// over tells that a kind has more connections than there is room for, with what is kept for others.
func (e *Engine) over(kind string) bool {
	most := e.cfg.MaxConns
	for k, n := range e.cfg.Kept {
		if k != kind {
			most -= max(0, n-e.opened[k])
		}
	}
	return e.open > most
}

// SpareIdle has a connection that is dialled and not in use make room for others; spare ends one
// and tells whether it has.
func (e *Engine) SpareIdle(spare func() bool) { e.idle = append(e.idle, spare) }

// spareIdle makes room by a dialled connection that is not in use.
func (e *Engine) spareIdle() bool {
	for _, spare := range e.idle {
		if spare() {
			return true
		}
	}
	return false
}

// spareAccepted makes room for a kind by an accepted connection that is not needed: its own first,
// then another's, if none are kept for that.
func (e *Engine) spareAccepted(kind string) bool {
	for _, own := range []bool{true, false} {
		for _, l := range e.listeners {
			if (l.kind == kind) == own && (own || e.cfg.Kept[l.kind] == 0) && l.spare() {
				return true
			}
		}
	}
	return false
}

// Most is the number of connections that may be open at once.
func (e *Engine) Most() int { return e.cfg.MaxConns }

// Open is the number of connections that are open or being opened.
func (e *Engine) Open() int { return e.open }

// Kinds is the same number, by kind.
func (e *Engine) Kinds() map[string]int { return maps.Clone(e.opened) }

// Listen accepts connections on addr; accept gives each its handler. Where
// there is no room, spare may end one that is not needed, and tells whether it
// has. Listen returns the address, which tells the port where addr leaves it
// open.
func (e *Engine) Listen(kind, addr string, accept func(*Conn) Handler, spare func() bool) (string, error) {
	if err := e.Reserve(kind, addr); err != nil {
		return "", err
	}
	l := e.inherited[kind]
	delete(e.inherited, kind)
	e.listeners = append(e.listeners, listener{l, kind, spare})
	e.accepting.Add(1)
	go func() {
		defer e.accepting.Done()
		for {
			raw, err := l.Accept()
			switch {
			case errors.Is(err, stdnet.ErrClosed):
				return
			case err != nil: // out of descriptors, say: the next may do better
				time.Sleep(10 * time.Millisecond)
				continue
			}
			e.admit(kind, raw, accept)
		}
	}()
	return l.Addr().String(), nil
}

// roomTries is how often room is looked for, for one that has been accepted: what the others have
// sent lies unread for no longer, and none of them can be spared before.
const roomTries = 3

// admit has the loop accept a connection. One at a time: in a burst those not looked at yet would
// hold descriptors that nothing counts.
func (e *Engine) admit(kind string, raw stdnet.Conn, accept func(*Conn) Handler) {
	for n := 1; ; n++ {
		in := make(chan bool, 1)
		e.cfg.Post(func() { in <- e.accept(kind, raw, accept, n >= roomTries) })
		select {
		case ok := <-in:
			if ok {
				return
			}
		case <-e.stopped:
			e.cfg.Post(func() { // which the loop does after the other
				if !<-in {
					e.accept(kind, raw, accept, true)
				}
			})
			return
		}
		runtime.Gosched() // to who reads
	}
}

// accept gives a connection its handler. Where there is no room it is closed, if this is the last
// try, or else false is returned.
func (e *Engine) accept(kind string, raw stdnet.Conn, accept func(*Conn) Handler, last bool) bool {
	c := &Conn{engine: e, kind: kind, peer: raw.RemoteAddr().String(), since: time.Now(), accepted: true, halves: e.halves[kind]}
	e.book(c, 1)
	crowded := float64(e.accepted) > acceptShare*float64(e.cfg.MaxConns) && e.opened[kind] > e.cfg.Kept[kind]
	if crowded && !e.spareAccepted(kind) || e.over(kind) && !e.spareIdle() && !e.spareAccepted(kind) {
		if !last {
			e.book(c, -1)
			return false
		}
		c.end(Limit)
		raw.Close()
		return true
	}
	if !c.attach(raw) {
		c.end(Limit)
		return true
	}
	c.handler = accept(c)
	return true
}

// Dial opens a connection; where there is no room, one that is not needed makes it. The handler
// learns of its fate later, never within this call.
//
// The engine's own DialAsync puts the first four bytes of a 16-byte address on
// the wire, which are zeros for IPv4, so the standard library dials.
func (e *Engine) Dial(kind, addr string, h Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{engine: e, kind: kind, peer: addr, since: time.Now(), handler: h, cancel: cancel}
	e.book(c, 1)
	if e.over(kind) && !e.spareIdle() && !e.spareAccepted(kind) {
		e.book(c, -1) // before it hears of that: the next may be one that has room kept for it
		e.cfg.Post(func() { c.ended(Limit) })
		return c
	}
	go func() {
		var d stdnet.Dialer
		raw, err := d.DialContext(ctx, "tcp", addr)
		e.cfg.Post(func() {
			switch {
			case err != nil:
				c.ended(DialFailed)
			case c.over: // closed while it was being opened
				raw.Close()
			case c.attach(raw):
				c.handler.Opened()
			default:
				c.ended(DialFailed)
			}
		})
	}()
	return c
}

func codeOf(err error) Code {
	switch {
	case errors.Is(err, nbio.ErrOverflow):
		return Slow
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return PeerReset
	}
	return PeerClosed
}
