package measure

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/front"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/peermsg"
	"snowjunction/internal/plausibility"
	"snowjunction/internal/scale"
	"snowjunction/internal/standin"
	"snowjunction/internal/store"
)

// shard is hollow couriers that share a loop and an engine, as a process does.
type shard struct {
	loop   *core.Loop
	engine *net.Engine
	ended  chan struct{}
}

func newShard(conns int) (*shard, error) {
	s := &shard{loop: core.NewLoop(time.Now), ended: make(chan struct{})}
	var err error
	if s.engine, err = net.New(net.Config{Post: s.loop.Post, Log: slog.New(slog.DiscardHandler), MaxConns: conns}); err != nil {
		return nil, err
	}
	go func() {
		defer close(s.ended)
		runtime.LockOSThread() // its processor time is asked for
		s.loop.Run()
	}()
	return s, nil
}

// on has f done on the shard's loop and waits for it.
func (s *shard) on(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// cpu is the processor time that the shard's loop has had: decisions, lists and what is
// sent, but not what the kernel does for those that read.
func (s *shard) cpu() (d time.Duration) {
	s.on(func() {
		var u unix.Rusage
		if unix.Getrusage(unix.RUSAGE_THREAD, &u) == nil {
			d = time.Duration(u.Utime.Nano() + u.Stime.Nano())
		}
	})
	return d
}

func (s *shard) close() {
	s.loop.Post(s.loop.End)
	<-s.ended
	s.engine.Stop()
}

// wires are what all couriers of a run share.
type wires struct {
	plan      scale.Plan
	farm      *standin.Farm
	discovery string
	lists     platform.ListLimits
	names     config.Names
	columns   []string
	peers     *net.Peers
	each      []string
	members   *partition.Membership // nil: no partitions
	may       []int32               // with them: the destinations that have messages
	parted    atomic.Int64          // the number of the region that is cut off, and one; 0: none is
	cut       atomic.Int64          // datagrams that met a cut
	told      atomic.Int64          // datagrams that hollow couriers have sent
	greetings atomic.Int64          // of these, with nothing in them but that their sender is there
}

// cuts tells whether no note passes between two couriers now.
func (w *wires) cuts(a, b int) bool {
	n := int(w.parted.Load()) - 1
	x, y := w.plan.Region(a), w.plan.Region(b)
	return n >= 0 && x != y && (x == n || y == n)
}

// part is what went to and fro in one role. Where a datagram has notes of both, each has
// its part of it.
type part struct{ Sent, SentBytes, Received, ReceivedBytes float64 }

// hollow is a courier without clients and endpoints: the core, with the module in it, and
// the front's watch are the product's own, and the notes go over a socket of its own. What
// becomes of calls is drawn by the stand-in partners without a wire between. It belongs to
// its shard's loop.
type hollow struct {
	*wires
	shard     *shard
	number    int
	discovery string // its own address of the directory
	settings  snowjunction.Settings
	arrivals  *scale.Arrivals
	holds     func() // the list has come

	front  *platform.Front
	core   *core.Core
	socket *net.Datagrams
	past   net.DatagramCounts // of its earlier lives
	passed map[string]float64 // what its earlier lives have forwarded
	unread uint64
	serial int
	life   int
	alive  bool
	flows  bool // messages come, in each life
	asks   part // as a carrier
	grants part // as a keeper
}

func newHollow(w *wires, s *shard, number int, settings map[string]any, holds func()) (*hollow, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	h := &hollow{
		wires: w, shard: s, number: number, discovery: w.discovery, holds: holds,
		arrivals: w.plan.Arrivals(number, w.plan.Destinations),
	}
	if w.may != nil {
		h.arrivals = w.plan.ArrivalsAt(number, w.may)
	}
	h.settings, err = config.ParseSettings(courierSeed(w.plan, number), text)
	h.settings.PeerMessages = true
	return h, err
}

// courierSeed is a courier's own.
func courierSeed(p scale.Plan, number int) uint64 {
	return (p.Seed+1)*0x9e3779b97f4a7c15 ^ uint64(number+1)*0xbf58476d1ce4e5b9
}

// begin starts a life.
func (h *hollow) begin() (err error) {
	h.life++
	log := slog.New(slog.DiscardHandler)
	if h.socket, err = net.ListenDatagrams(h.each[h.number], h.peers, peermsg.MaxBytes, h.shard.loop.Post, log, h.noted); err != nil {
		return err
	}
	h.front = platform.New(platform.Config{
		Loop: h.shard.loop, Engine: h.shard.engine, Log: log, Discovery: h.discovery, Names: h.names,
		ReportColumns: h.columns, Settings: h.settings, Lists: h.lists, Listen: h.clients(h.number), Router: h.router(),
	})
	h.core, err = core.New(core.Config{
		Loop: h.shard.loop, Log: log, Journal: &store.Memory{}, Settings: h.settings,
		Fronts:      []core.Front{hollowFront{h.front, h}},
		Directories: map[int]core.Directory{0: {Confidence: confidence.Default(), Plausibility: plausibility.Default()}},
		Fleet:       h, OnListChange: func(int) { h.holds() },
	})
	if err != nil {
		return err
	}
	if err := h.front.Start(h.core, platform.InitialList{}); err != nil {
		return err
	}
	h.alive = true
	if h.flows {
		h.next()
	}
	return nil
}

// end is as SIGKILL to it.
func (h *hollow) end() {
	h.life, h.alive = h.life+1, false
	h.core.Freeze(func() {})
	h.shard.engine.Unlisten(h.clients(h.number))
	h.front.Close()
	h.socket.Close()
	h.passed = sumOf(h.passed, h.forwardedNow())
	h.past = sum(h.past, h.socket.Counts())
	h.unread += h.core.Counters.PeerMessagesInvalid
}

func sum(a, b net.DatagramCounts) net.DatagramCounts {
	return net.DatagramCounts{
		Sent: a.Sent + b.Sent, SentBytes: a.SentBytes + b.SentBytes, Received: a.Received + b.Received,
		ReceivedBytes: a.ReceivedBytes + b.ReceivedBytes, UnknownSender: a.UnknownSender + b.UnknownSender,
		Oversize: a.Oversize + b.Oversize, Overflow: a.Overflow + b.Overflow,
	}
}

// next has the next message of its traffic come, when it is due.
func (h *hollow) next() {
	after, _, _ := h.arrivals.Next()
	h.arrive(after)
}

// arrive has messages come from then on.
func (h *hollow) arrive(after time.Duration) {
	life := h.life
	h.shard.loop.After(after, func() {
		if h.life != life {
			return
		}
		next, dest, keyed := h.arrivals.Next()
		h.serial++
		m := message(h.number, h.serial, dest, keyed)
		r := core.Request{
			ID: m.ID, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, TimeLeft: m.Left,
			Body: standin.Body(0, 0, time.Now().Add(m.Left)),
		}
		if m.Keyed {
			r.IdempotencyKey = m.ID
		}
		if h.members != nil {
			h.handIn(r)
		} else if h.front.Ready() {
			_ = h.core.Submit(r, func(core.Answer, *store.Message) bool { return true }) // it is well-formed
		}
		h.arrive(next)
	})
}

// Send sends notes to another courier.
func (h *hollow) Send(peer int, items []snowjunction.PeerMessage) {
	granted := granted(items)
	for _, b := range peermsg.Encode(items) {
		if h.cuts(h.number, peer) {
			h.cut.Add(1)
			continue
		}
		h.socket.Send(peer, b)
		h.told.Add(1)
		if len(items) == 0 {
			h.greetings.Add(1)
		}
		h.asks.Sent, h.asks.SentBytes = h.asks.Sent+1-granted, h.asks.SentBytes+(1-granted)*float64(len(b))
		h.grants.Sent, h.grants.SentBytes = h.grants.Sent+granted, h.grants.SentBytes+granted*float64(len(b))
	}
}

// granted is the share of notes that are a keeper's; a greeting has none.
func granted(items []snowjunction.PeerMessage) float64 {
	if len(items) == 0 {
		return 0
	}
	n := 0
	for _, x := range items {
		if x.IsGrant {
			n++
		}
	}
	return float64(n) / float64(len(items))
}

// noted reads what a peer has told. What cannot be read is dropped, and counted.
func (h *hollow) noted(peer int, b []byte) {
	if peer == h.number {
		return
	}
	if h.cuts(h.number, peer) {
		h.cut.Add(1)
		return
	}
	items, err := peermsg.Decode(b)
	if err != nil {
		h.core.Counters.PeerMessagesInvalid++
		return
	}
	granted := granted(items)
	h.asks.Received, h.asks.ReceivedBytes = h.asks.Received+granted, h.asks.ReceivedBytes+granted*float64(len(b))
	h.grants.Received, h.grants.ReceivedBytes = h.grants.Received+1-granted, h.grants.ReceivedBytes+(1-granted)*float64(len(b))
	h.core.ReceivePeerMessages(peer, items)
}

// hollowFront is the platform's front but for its targets.
type hollowFront struct {
	*platform.Front
	h *hollow
}

// Target makes a target whose answers are drawn.
func (f hollowFront) Target(e core.Entry) core.Target {
	return &drawnTarget{h: f.h, dest: uint32(e.Destination)}
}

type drawnTarget struct {
	h    *hollow
	dest uint32
	idle []time.Time // when each connection that it would have was last used
}

// kept takes the connection last used, as a real target would, and tells how long it has
// been idle; 0: there is none.
func (t *drawnTarget) kept(now time.Time) time.Duration {
	most := time.Duration(connUse * float64(t.h.settings.ConnIdle))
	for len(t.idle) > 0 && now.Sub(t.idle[0]) >= most {
		t.idle = t.idle[1:]
	}
	n := len(t.idle)
	if n == 0 {
		return 0
	}
	d := max(now.Sub(t.idle[n-1]), 1)
	t.idle = t.idle[:n-1]
	return d
}

// connUse is the share of the time that a connection may be idle for which it is used again.
const connUse = 0.85

// CloseIdle ends idle connections.
func (t *drawnTarget) CloseIdle() { t.idle = nil }

// Retire ends idle connections.
func (t *drawnTarget) Retire() { t.idle = nil }

type drawnCall struct {
	left bool
	kept time.Duration
	done func(core.Result) // nil once it is over
	end  func(delivered bool)
}

// Call makes an attempt.
func (t *drawnTarget) Call(m *store.Message, _ core.Shape, _ time.Duration, may func() bool, done func(core.Result)) core.Call {
	loop := t.h.shard.loop
	x := &drawnCall{done: done, kept: t.kept(loop.Now())}
	if x.kept > 0 {
		t.leave(x, m)
		return x
	}
	loop.After(0, func() {
		switch {
		case x.done == nil:
		case !may():
			t.idle = append(t.idle, loop.Now())
			x.finish(core.Result{Outcome: snowjunction.NotSent})
		default:
			t.leave(x, m)
		}
	})
	return x
}

func (t *drawnTarget) leave(x *drawnCall, m *store.Message) {
	x.left = true
	a, end, err := t.h.farm.Begin(t.dest, m.ID, m.Body)
	loop := t.h.shard.loop
	if err != nil {
		loop.After(0, func() { x.finish(core.Result{Outcome: snowjunction.ConnectFailed}) })
		return
	}
	x.end = end
	if a.Status == 0 && !a.Reset {
		return // silent: the call is given up
	}
	loop.After(a.After, func() {
		if x.done == nil {
			return
		}
		if a.Reset {
			x.finish(core.Result{Outcome: snowjunction.Reset})
			return
		}
		x.end(a.Status == 200)
		x.end = nil
		t.idle = append(t.idle, loop.Now())
		x.finish(front.ResultFromAnswer(a.Status, func(name string) string { return standin.Header(a, name) }, t.h.columns))
	})
}

// Sent tells whether its last byte would have left.
func (x *drawnCall) Sent() bool { return x.left }

// IdleBefore is how long its connection would have been idle.
func (x *drawnCall) IdleBefore() time.Duration { return x.kept }

// GiveUp stops waiting.
func (x *drawnCall) GiveUp() {
	x.done = nil
	x.over()
}

func (x *drawnCall) over() {
	if x.end != nil {
		x.end(false)
		x.end = nil
	}
}

func (x *drawnCall) finish(r core.Result) {
	x.over()
	done := x.done
	x.done = nil
	done(r)
}

// starts starts couriers one after another, with so many at once that have no list yet.
type starts struct {
	room chan struct{}
	wg   sync.WaitGroup
}

const startsAtOnce = shardsMost // a long list keeps a loop busy, and has to come within its time

func newStarts() *starts { return &starts{room: make(chan struct{}, startsAtOnce)} }

// one waits for room. The courier calls what it returns once it holds a list.
func (s *starts) one() (held func()) {
	s.room <- struct{}{}
	s.wg.Add(1)
	return sync.OnceFunc(func() {
		<-s.room
		s.wg.Done()
	})
}

// wait waits until all hold one.
func (s *starts) wait(most time.Duration) error {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(most):
		return fmt.Errorf("some of the couriers hold no list after %v", most)
	}
}

// listBytes bounds what a list of so many entries may take as it is told.
func listBytes(entries int) int { return 1<<20 + entries*int(math.Ceil(entryBytes)) }

const entryBytes = 220.0 // in JSON, at most: names are short
