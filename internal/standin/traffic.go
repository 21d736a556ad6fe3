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

// nameBytes are those of an entry in the table of names.
const nameBytes = 32

// Traffic is what a directory has exchanged with its watchers.
type Traffic struct {
	Calls     int64         // asks for the list
	In, Out   int64         // bytes over its connections, notices included
	Answering time.Duration // in which answers were made and written, of all its goroutines
	Bytes     int           // of the list, and of the answers made of it as it stands
}

type traffic struct{ calls, in, out, answering atomic.Int64 }

// listen has what goes over a listener's connections counted.
func (t *traffic) listen(l net.Listener) net.Listener { return countedListener{l, t} }

type countedListener struct {
	net.Listener
	t *traffic
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.t}, nil
}

type countedConn struct {
	net.Conn
	t *traffic
}

// Read counts what comes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.in.Add(int64(n))
	return n, err
}

// Write counts what goes, before whoever reads it can ask.
func (c countedConn) Write(b []byte) (int, error) {
	c.t.out.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.t.out.Add(int64(n - len(b)))
	return n, err
}

// Traffic tells what has gone to and fro since the directory was opened.
func (d *Directory) Traffic() Traffic {
	t := Traffic{
		Calls: d.traffic.calls.Load(), In: d.traffic.in.Load(), Out: d.traffic.out.Load(),
		Answering: time.Duration(d.traffic.answering.Load()),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.list {
		t.Bytes += int(unsafe.Sizeof(x)) + len(x.InstanceID) + len(x.HostPort) + nameBytes
	}
	for _, b := range d.texts {
		t.Bytes += len(b)
	}
	return t
}

// Watched has f told of each watch: which connection it comes from, which generation is held there,
// and which destinations it is about. It may be called by many goroutines at once.
func (d *Directory) Watched(f func(from string, generation uint64, concerns func(destination uint32) bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched = f
}

// Door is another address of a directory, for one watcher whose traffic is to be told apart.
type Door struct {
	Addr    string
	traffic traffic
	before  atomic.Int64 // bytes out before its watcher's start
	start   atomic.Int64 // bytes out when the first watch came that was no first ask; -1: not yet
}

// Door opens one. It is closed with the directory.
func (d *Directory) Door() (*Door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open a door of the directory: %w", err)
	}
	x := &Door{Addr: l.Addr().String()}
	x.start.Store(-1)
	d.started.Go(func() { _ = d.server.Serve(doorListener{x.traffic.listen(d.traffic.listen(l)), x}) })
	return x, nil
}

// Again tells that its watcher, which is not there, will start again.
func (x *Door) Again() {
	x.traffic.calls.Store(0)
	x.start.Store(-1)
	x.before.Store(x.traffic.out.Load())
}

// Started is how many bytes have gone through it at its watcher's last start: until the watch that
// follows the first answer, or up to now.
func (x *Door) Started() int64 {
	n := x.start.Load()
	if n < 0 {
		n = x.traffic.out.Load()
	}
	return n - x.before.Load()
}

type doorListener struct {
	net.Listener
	door *Door
}

type doorConn struct {
	net.Conn
	door *Door
}

// Accept waits for the next connection.
func (l doorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return doorConn{c, l.door}, nil
}

type doorKey struct{}

// behind has a request tell through which door it has come.
func behind(ctx context.Context, c net.Conn) context.Context {
	if x, ok := c.(doorConn); ok {
		return context.WithValue(ctx, doorKey{}, x.door)
	}
	return ctx
}

// asked notes an ask for the list at the door that it has come through, if any.
func asked(r *http.Request, watching bool) {
	if x, ok := r.Context().Value(doorKey{}).(*Door); ok && x.traffic.calls.Add(1) > 1 && watching {
		x.start.CompareAndSwap(-1, x.traffic.out.Load())
	}
}

// from names the connection of a request: by its other side alone it could be mistaken for one
// through another door.
func from(r *http.Request) string {
	at, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if at == nil {
		return r.RemoteAddr
	}
	return r.RemoteAddr + " " + at.String()
}
