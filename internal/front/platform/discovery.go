package platform

import (
	"strconv"
	"time"

	"snowjunction/internal/core"
	"snowjunction/internal/net"
	"snowjunction/internal/proto/http1"
)

// discovery watches the target group. One watch is always open: the next
// follows its answer at once.
type discovery struct {
	front      *Front
	generation uint64
	known      bool // a list is held: its generation may be 0 at first
	conn       *net.Conn
	parser     http1.Parser
	limit      *core.Timer
	closed     bool
}

const (
	watchFor     = 20 * time.Second
	watchSlack   = 3 * time.Second // past which a watch without an answer is lost
	watchAgain   = 50 * time.Millisecond
	openWithin   = time.Second     // past which a connection will not come up
	listWithin   = 2 * time.Second // past which a list asked for at once is lost
	maxDiscovery = 4 << 20
)

// watch asks for what is newer than the list held, on the connection there is
// or a new one.
func (d *discovery) watch() {
	if d.closed {
		return
	}
	if d.conn == nil {
		d.parser = http1.Parser{MaxBody: maxDiscovery}
		d.conn = d.front.Engine.Dial("discovery", d.front.Discovery, d)
		d.await(openWithin, net.DialTimeout)
		return
	}
	d.ask()
}

// await gives the connection up after a time. Each step has its own: a watch
// may be silent for long, but a connection that does not come up would leave
// the courier without a list for as long.
func (d *discovery) await(t time.Duration, code net.Code) {
	d.limit.Stop()
	d.limit = d.front.Loop.After(t, func() { d.again(code) })
}

func (d *discovery) ask() {
	path := "/discovery/hosts"
	d.await(listWithin, net.CallTimeout)
	if d.known {
		d.await(watchFor+watchSlack, net.CallTimeout)
		path += "?after=" + strconv.FormatUint(d.generation, 10) +
			"&wait_ms=" + strconv.FormatInt(watchFor.Milliseconds(), 10)
	}
	d.conn.Write(http1.Request("GET", path, d.front.Discovery, nil))
}

// Opened asks on a new connection.
func (d *discovery) Opened() { d.ask() }

// Closed begins anew.
func (d *discovery) Closed(net.Code) {
	d.conn = nil
	d.again(net.PeerClosed)
}

// again gives the connection up and watches anew a moment later.
func (d *discovery) again(code net.Code) {
	if d.conn != nil {
		d.conn.Close(code)
		d.conn = nil
	}
	d.limit.Stop()
	d.limit = d.front.Loop.After(watchAgain, d.watch)
}

// move begins anew at another address. Its agent may count generations on its
// own, so the whole list is asked for; the one held stays until it comes.
func (d *discovery) move() {
	if d.closed {
		return
	}
	d.known = false
	if d.conn != nil {
		d.conn.Close(net.Moved)
		d.conn = nil
	}
	d.limit.Stop()
	d.watch()
}

// Data reads an answer and watches on.
func (d *discovery) Data(b []byte) {
	d.parser.Feed(b)
	r, err := d.parser.Next()
	if err != nil {
		d.again(net.Protocol)
		return
	}
	if r == nil {
		return
	}
	if r.Close {
		d.conn.Close(net.Finished)
		d.conn = nil
	}
	if r.Status != 200 {
		d.front.Log.Warn("discovery answers with an error", "status", r.Status)
		d.again(net.Finished)
		return
	}
	list, err := d.front.Names.List(r.Body)
	if err != nil {
		d.front.Log.Warn("discovery's list cannot be read", "err", err)
		d.known = false
		d.again(net.Protocol)
		return
	}
	d.generation, d.known = list.Generation, true
	d.front.core.Listed(d.front.Number, list.Full, list.Targets)
	d.front.ready = true
	d.watch()
}

func (d *discovery) close() {
	d.closed = true
	d.limit.Stop()
	if d.conn != nil {
		d.conn.Close(net.Shutdown)
	}
}
