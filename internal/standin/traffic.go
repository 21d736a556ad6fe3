package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
	"unsafe"
)

// mapEntryBytes is the memory of an entry in the map of positions by name.
const mapEntryBytes = 32

// Traffic counts what a directory has exchanged with its clients.
type Traffic struct {
	Calls     int64         // requests for the list
	In, Out   int64         // bytes over its connections, notices included
	Answering time.Duration // time spent building and writing responses, summed over all goroutines
	Bytes     int           // memory of the list and of the cached responses
}

type trafficCounter struct{ calls, in, out, answering atomic.Int64 }

// countBytes wraps a listener so that the bytes over its connections are counted.
func (t *trafficCounter) countBytes(l net.Listener) net.Listener { return countedListener{l, t} }

type countedListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept returns the next connection, with its bytes counted.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *trafficCounter
}

// Read counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write counts the bytes sent. It counts them before the write, so that the count includes them once
// the peer has received them.
func (c countedConn) Write(b []byte) (int, error) {
	c.counter.out.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n - len(b)))
	return n, err
}

// Traffic returns the traffic since the directory was started.
func (d *Directory) Traffic() Traffic {
	t := Traffic{
		Calls: d.traffic.calls.Load(), In: d.traffic.in.Load(), Out: d.traffic.out.Load(),
		Answering: time.Duration(d.traffic.answering.Load()),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.list {
		t.Bytes += int(unsafe.Sizeof(x)) + len(x.InstanceID) + len(x.HostPort) + mapEntryBytes
	}
	for _, b := range d.cache {
		t.Bytes += len(b)
	}
	return t
}

// OnWatch sets a function to be called for each watch request with the connection that it came
// over, the generation that the client has, and a function that reports whether the watch covers a
// destination. onWatch may be called concurrently.
func (d *Directory) OnWatch(onWatch func(from string, generation uint64, concerns func(destination uint32) bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onWatch = onWatch
}

// DedicatedAddress is a dedicated additional address of a directory for a single client, whose traffic is
// counted separately.
type DedicatedAddress struct {
	Addr            string
	traffic         trafficCounter
	sentBeforeStart atomic.Int64 // bytes sent before the client's last start
	sentAtStart     atomic.Int64 // bytes sent at the first watch after the client's first request; -1 until then
}

// OpenDedicatedAddress opens an additional address. It is closed with the directory.
func (d *Directory) OpenDedicatedAddress() (*DedicatedAddress, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open an additional address of the directory: %w", err)
	}
	x := &DedicatedAddress{Addr: l.Addr().String()}
	x.sentAtStart.Store(-1)
	d.serving.Go(func() { _ = d.server.Serve(dedicatedListener{x.traffic.countBytes(d.traffic.countBytes(l)), x}) })
	return x, nil
}

// ResetStart prepares for a restart of the client, which must not be connected.
func (x *DedicatedAddress) ResetStart() {
	x.traffic.calls.Store(0)
	x.sentAtStart.Store(-1)
	x.sentBeforeStart.Store(x.traffic.out.Load())
}

// StartBytes returns the number of bytes sent for the client's last start: up to the watch that
// follows the first response, or up to now.
func (x *DedicatedAddress) StartBytes() int64 {
	n := x.sentAtStart.Load()
	if n < 0 {
		n = x.traffic.out.Load()
	}
	return n - x.sentBeforeStart.Load()
}

type dedicatedListener struct {
	net.Listener
	dedicated *DedicatedAddress
}

type dedicatedConn struct {
	net.Conn
	dedicated *DedicatedAddress
}

// Accept returns the next connection, marked with its dedicated address.
func (l dedicatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return dedicatedConn{c, l.dedicated}, nil
}

type dedicatedContextKey struct{}

// withDedicatedAddress adds the address that a connection came through to the context of its
// requests.
func withDedicatedAddress(ctx context.Context, c net.Conn) context.Context {
	if x, ok := c.(dedicatedConn); ok {
		return context.WithValue(ctx, dedicatedContextKey{}, x.dedicated)
	}
	return ctx
}

// countRequest counts a request for the list at its dedicated address, if it came through one.
func countRequest(r *http.Request, watching bool) {
	if x, ok := r.Context().Value(dedicatedContextKey{}).(*DedicatedAddress); ok && x.traffic.calls.Add(1) > 1 && watching {
		x.sentAtStart.CompareAndSwap(-1, x.traffic.out.Load())
	}
}

// connectionName names the connection of a request by both addresses: the remote address alone may
// be equal for connections through two addresses.
func connectionName(r *http.Request) string {
	at, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if at == nil {
		return r.RemoteAddr
	}
	return r.RemoteAddr + " " + at.String()
}
