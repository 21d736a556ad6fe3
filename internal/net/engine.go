// Package net owns the sockets: the nbio engine, the limit on connections and the codes with which
// connections end. Engine callbacks only post work to the loop's goroutine; a Conn and its Handler
// belong to that goroutine.
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

// Code is the reason why a connection ended; docs/oncall.md lists the codes.
type Code string

// The connection end codes.
const (
	PeerClosed     Code = "peer_closed"  // the peer closed the connection
	PeerReset      Code = "peer_reset"   // the connection broke
	DialFailed     Code = "dial_failed"  // dial failed: refused or unreachable
	DialTimeout    Code = "dial_timeout" // dial failed: no answer in time
	CallTimeout    Code = "call_timeout" // the call on the connection timed out
	Protocol       Code = "protocol"     // the peer violated its protocol
	Unsolicited    Code = "unsolicited"  // the peer sent more than the answer that it owed
	Idle           Code = "idle"         // idle for too long
	Stale          Code = "stale"        // an idle connection that the peer closed
	Dropped        Code = "dropped"      // an idle connection that the decision module no longer trusts
	Drained        Code = "drained"      // its target is leaving the target group
	Moved          Code = "moved"        // the platform has moved to another address
	Finished       Code = "finished"     // one side asked to close after this exchange
	Evicted        Code = "spared"       // evicted to make room for another connection
	Limit          Code = "limit"        // the connection limit is reached
	SlowPeer       Code = "slow"         // the peer does not read what it is sent
	Abuse          Code = "abuse"        // too many requests that are costly for this side only
	Shutdown       Code = "shutdown"     // the courier is shutting down
	OutcomeUnknown Code = "unknown"      // a message from this connection was forwarded and its outcome is unknown
	ClientGone     Code = "client_gone"  // the client of the message that was forwarded on this connection is gone
	HandedOver     Code = "handed_over"  // another process of this courier took over the connection
)

// Handler receives the events of a connection, on the loop's goroutine.
type Handler interface {
	Opened()          // a dialed connection is established
	Data(b []byte)    // the handler owns b
	Closed(code Code) // last call; not made after the handler's own Close
}

// Config configures an Engine.
type Config struct {
	Post     func(func()) // posts work to the loop's goroutine
	Log      *slog.Logger
	MaxConns int // limit on open connections, accepted and dialed together
	// Reserved is the number of connections, by kind, that are reserved for that kind. Without a
	// reservation, idle clients and calls to targets could take all connections and cut the courier
	// off from those it depends on.
	Reserved map[string]int
	// MaxUnsentBytes limits what all peers together leave unread of what they were sent, besides the kernel's
	// buffers. Zero means no limit.
	MaxUnsentBytes int
}

// Engine opens and accepts connections.
type Engine struct {
	cfg           Config
	nb            *nbio.Engine
	openCount     int
	openByKind    map[string]int // open connections by kind
	unsent        map[*Conn]bool // connections with unsent bytes after their latest write
	acceptedCount int            // open connections that listeners accepted
	listeners     []listener
	idleEvictors  []func() bool // each closes one idle dialed connection and returns true, or returns false
	accepting     sync.WaitGroup
	plainReaders  sync.WaitGroup // readers of plain connections
	plainConns    map[*plain]bool
	halfClose     map[string]bool // kinds whose connections are plain and may be half-closed
	inherited     map[string]stdnet.Listener
	halting       atomic.Bool
	stopped       chan struct{}

	mu           sync.Mutex
	processed    *sync.Cond // signaled when pending bytes have been processed
	pendingBytes int        // bytes read and not yet processed by the loop
}

// maxAcceptedShare is the share of connections that listeners may accept. The rest is reserved for
// targets and the platform: otherwise clients could cut the courier off from both.
const maxAcceptedShare = 0.7

// maxPendingBytes limits the bytes that are read and not yet processed: data of a peer that sends
// faster than the loop processes would otherwise pile up in memory.
const maxPendingBytes = 512 << 10

const (
	readBufferSize   = 16 << 10
	maxReadsPerEvent = 8       // nbio drops unread data once the peer has closed, so this must cover a whole answer
	maxWriteBuffer   = 1 << 20 // bytes; a peer that leaves more unread is too slow
)

// New starts an engine.
func New(cfg Config) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	// nbio allocates a table of this size; its default is two million entries.
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, cfg.MaxConns+4096)
	e := &Engine{cfg: cfg, openByKind: map[string]int{}, unsent: map[*Conn]bool{}, stopped: make(chan struct{}), plainConns: map[*plain]bool{}, halfClose: map[string]bool{}, nb: nbio.NewEngine(nbio.Config{
		NPoller: 1, ReadBufferSize: readBufferSize, MaxWriteBufferSize: maxWriteBuffer,
		MaxConnReadTimesPerEventLoop: maxReadsPerEvent,
	})}
	e.processed = sync.NewCond(&e.mu)
	e.nb.OnData(func(nc *nbio.Conn, data []byte) {
		c, ok := nc.Session().(*Conn)
		if !ok {
			return
		}
		b := append([]byte(nil), data...)
		e.reservePending(len(b))
		c.unprocessed.Add(1)
		cfg.Post(func() {
			c.unprocessed.Add(-1)
			c.data(b)
			e.releasePending(len(b))
		})
	})
	e.nb.OnClose(func(nc *nbio.Conn, err error) {
		if c, ok := nc.Session().(*Conn); ok {
			code := codeOf(err)
			if e.halting.Load() {
				code = Shutdown
			}
			cfg.Post(func() { c.remoteClosed(code) })
		}
	})
	e.nb.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*Conn); ok {
			e.synchronize()
			c.kernelWritten.Add(int64(n))
		}
	})
	if err := e.nb.Start(); err != nil {
		return nil, fmt.Errorf("start the network engine: %w", err)
	}
	return e, nil
}

// synchronize makes what the loop did to a connection happen before what the engine's reader does
// next (in terms of the memory model): nbio passes connections between them through the kernel
// only.
func (e *Engine) synchronize() {
	e.mu.Lock()
	defer e.mu.Unlock()
}

// reservePending blocks the engine's reader while too many bytes are pending. The loop never waits
// for the reader, so this cannot deadlock.
func (e *Engine) reservePending(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.pendingBytes >= maxPendingBytes {
		e.processed.Wait()
	}
	e.pendingBytes += n
}

func (e *Engine) releasePending(n int) {
	e.mu.Lock()
	e.pendingBytes -= n
	e.mu.Unlock()
	e.processed.Signal()
}

// AllowHalfClose allows the peers of a kind's accepted connections to close their sending side and still be
// answered; their handlers implement HalfClosed. It must be called before Listen for that kind.
func (e *Engine) AllowHalfClose(kind string) { e.halfClose[kind] = true }

// Stop closes the listeners. Connections are closed by their owners.
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
	e.CloseInherited()
}

// Unlisten closes the listener on an address. Connections that it accepted stay open.
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
	evict func() bool
}

// Reserve binds the address that Listen will use for a kind, unless a listener was inherited for
// it.
func (e *Engine) Reserve(kind, addr string) error {
	l := e.inherited[kind]
	if l != nil && sameAddress(l.Addr().String(), addr) {
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

// CheckAddress returns an error if an address cannot be listened on.
func CheckAddress(kind, addr string) error {
	l, err := stdnet.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", kind, err)
	}
	return l.Close()
}

// sameAddress reports whether a listener at have satisfies the address want, whose port may be 0
// (any port).
func sameAddress(have, want string) bool {
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

// Inherit makes Listen use, for a kind, a socket on which another process listened. The engine
// takes ownership of the descriptor.
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

// CloseInherited closes the listeners that were inherited or reserved and not used by Listen.
func (e *Engine) CloseInherited() {
	for _, l := range e.inherited {
		l.Close()
	}
	e.inherited = nil
}

// StopAccepting stops accepting and calls done with duplicates of the listening sockets, by kind, once
// every accepted connection has its handler. Connections in the accept queues stay there.
func (e *Engine) StopAccepting(done func(fds map[string]int)) {
	fds := map[string]int{}
	for _, l := range e.listeners {
		if fd, err := dupSocket(l.Listener); err == nil {
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

// Halt stops the engine and all connections that are not detached, and calls done once all data
// that was read has been processed.
func (e *Engine) Halt(done func()) {
	e.halting.Store(true)
	for p := range e.plainConns {
		p.raw.Close()
	}
	go func() {
		e.nb.Stop()
		e.plainReaders.Wait()
		e.cfg.Post(done)
	}()
}

func dupSocket(x any) (int, error) {
	sc, ok := x.(syscall.Conn)
	if !ok {
		return -1, errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return -1, err
	}
	fd, cerr := -1, error(nil)
	if err := rc.Control(func(p uintptr) { fd, cerr = handover.DupDescriptor(int(p)) }); err != nil {
		return -1, err
	}
	return fd, cerr
}

// Adopt continues a connection of another process. The engine takes ownership of its descriptor.
// kind and accepted have the same meaning as for other connections; handler receives the events.
// Adopt returns nil if there is no room or the descriptor is invalid.
func (e *Engine) Adopt(kind string, accepted bool, from handover.Conn, handler Handler) *Conn {
	f := os.NewFile(uintptr(from.FD), kind)
	raw, err := stdnet.FileConn(f)
	f.Close()
	if err != nil {
		e.cfg.Log.Warn("cannot take over a connection", "kind", kind, "peer", from.Peer, "err", err)
		return nil
	}
	c := &Conn{engine: e, kind: kind, peer: from.Peer, since: from.Since, accepted: accepted, handler: handler, in: from.In, out: from.Out, halfClose: e.halfClose[kind]}
	c.kernelWritten.Store(int64(from.Out))
	e.countOpen(c, 1)
	if !c.attach(raw) {
		c.finish(Limit)
		return nil
	}
	return c
}

// countOpen adds n to the counts of open connections: 1 for a connection that opens, -1 for one
// that ends.
func (e *Engine) countOpen(c *Conn, n int) {
	c.counted = n > 0
	e.openCount += n
	e.openByKind[c.kind] += n
	if c.accepted {
		e.acceptedCount += n
	}
}

// overLimit reports whether a kind has more connections than the limit allows, given the
// reservations of other kinds.
func (e *Engine) overLimit(kind string) bool {
	limit := e.cfg.MaxConns
	for k, n := range e.cfg.Reserved {
		if k != kind {
			limit -= max(0, n-e.openByKind[k])
		}
	}
	return e.openCount > limit
}

// AddIdleEvictor registers a function that closes an idle dialed connection to make room. It returns
// false if there is none.
func (e *Engine) AddIdleEvictor(evict func() bool) { e.idleEvictors = append(e.idleEvictors, evict) }

// evictIdle closes an idle dialed connection to make room. It returns false if there is none.
func (e *Engine) evictIdle() bool {
	for _, evict := range e.idleEvictors {
		if evict() {
			return true
		}
	}
	return false
}

// evictAccepted closes an accepted connection that is not needed to make room for one of a kind:
// first one of the same kind, then one of a kind without reservations.
func (e *Engine) evictAccepted(kind string) bool {
	for _, own := range []bool{true, false} {
		for _, l := range e.listeners {
			if (l.kind == kind) == own && (own || e.cfg.Reserved[l.kind] == 0) && l.evict() {
				return true
			}
		}
	}
	return false
}

// MaxConns returns the limit on open connections.
func (e *Engine) MaxConns() int { return e.cfg.MaxConns }

// OpenCount returns the number of connections that are open or being opened.
func (e *Engine) OpenCount() int { return e.openCount }

// OpenByKind returns the number of open connections by kind.
func (e *Engine) OpenByKind() map[string]int { return maps.Clone(e.openByKind) }

// Listen accepts connections on addr; accept returns the handler of each. If there is no room,
// evict may close a connection that is not needed and then returns true. Listen returns the bound
// address, which includes the port if addr leaves it open.
func (e *Engine) Listen(kind, addr string, accept func(*Conn) Handler, evict func() bool) (string, error) {
	if err := e.Reserve(kind, addr); err != nil {
		return "", err
	}
	l := e.inherited[kind]
	delete(e.inherited, kind)
	e.listeners = append(e.listeners, listener{l, kind, evict})
	e.accepting.Add(1)
	go func() {
		defer e.accepting.Done()
		for {
			raw, err := l.Accept()
			switch {
			case errors.Is(err, stdnet.ErrClosed):
				return
			case err != nil: // for example, out of descriptors: a later attempt may succeed
				time.Sleep(10 * time.Millisecond)
				continue
			}
			e.admit(kind, raw, accept)
		}
	}()
	return l.Addr().String(), nil
}

// maxAdmitTries is how often room is looked for before an accepted connection is closed.
// Connections show that they can be evicted only once their unread data has been processed.
const maxAdmitTries = 3

// admit makes the loop accept a connection and waits for the result, one connection at a time: in a
// burst, pending ones would hold descriptors that are not counted.
func (e *Engine) admit(kind string, raw stdnet.Conn, accept func(*Conn) Handler) {
	for n := 1; ; n++ {
		accepted := make(chan bool, 1)
		e.cfg.Post(func() { accepted <- e.accept(kind, raw, accept, n >= maxAdmitTries) })
		select {
		case ok := <-accepted:
			if ok {
				return
			}
		case <-e.stopped:
			e.cfg.Post(func() { // runs on the loop after the first attempt
				if !<-accepted {
					e.accept(kind, raw, accept, true)
				}
			})
			return
		}
		runtime.Gosched() // let the readers run
	}
}

// accept gives a connection its handler. If there is no room, it closes the connection on the last
// try and returns false on earlier ones.
func (e *Engine) accept(kind string, raw stdnet.Conn, accept func(*Conn) Handler, lastTry bool) bool {
	c := &Conn{engine: e, kind: kind, peer: raw.RemoteAddr().String(), since: time.Now(), accepted: true, halfClose: e.halfClose[kind]}
	e.countOpen(c, 1)
	overShare := float64(e.acceptedCount) > maxAcceptedShare*float64(e.cfg.MaxConns) && e.openByKind[kind] > e.cfg.Reserved[kind]
	if overShare && !e.evictAccepted(kind) || e.overLimit(kind) && !e.evictIdle() && !e.evictAccepted(kind) {
		if !lastTry {
			e.countOpen(c, -1)
			return false
		}
		c.finish(Limit)
		raw.Close()
		return true
	}
	if !c.attach(raw) {
		c.finish(Limit)
		return true
	}
	c.handler = accept(c)
	return true
}

// Dial opens a connection; if there is no room, it evicts one that is not needed. The handler is
// called later, never within Dial.
//
// nbio's DialAsync puts the first four bytes of a 16-byte address on the wire, which are zeros for
// IPv4, so the standard library dials.
func (e *Engine) Dial(kind, addr string, h Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{engine: e, kind: kind, peer: addr, since: time.Now(), handler: h, cancel: cancel}
	e.countOpen(c, 1)
	if e.overLimit(kind) && !e.evictIdle() && !e.evictAccepted(kind) {
		e.countOpen(c, -1) // uncount before the handler runs: its next connection may have a reservation
		e.cfg.Post(func() { c.remoteClosed(Limit) })
		return c
	}
	go func() {
		var d stdnet.Dialer
		raw, err := d.DialContext(ctx, "tcp", addr)
		e.cfg.Post(func() {
			switch {
			case err != nil:
				c.remoteClosed(DialFailed)
			case c.closed: // closed while dialing
				raw.Close()
			case c.attach(raw):
				c.handler.Opened()
			default:
				c.remoteClosed(DialFailed)
			}
		})
	}()
	return c
}

func codeOf(err error) Code {
	switch {
	case errors.Is(err, nbio.ErrOverflow):
		return SlowPeer
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return PeerReset
	}
	return PeerClosed
}
