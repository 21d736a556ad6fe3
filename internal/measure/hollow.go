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

// shard is a group of simulated couriers that share an event loop and a network engine.
type shard struct {
	loop   *core.Loop
	engine *net.Engine
	ended  chan struct{}
}

func newShard(maxConns int) (*shard, error) {
	s := &shard{loop: core.NewLoop(time.Now), ended: make(chan struct{})}
	var err error
	if s.engine, err = net.New(net.Config{Post: s.loop.Post, Log: slog.New(slog.DiscardHandler), MaxConns: maxConns}); err != nil {
		return nil, err
	}
	go func() {
		defer close(s.ended)
		runtime.LockOSThread() // cpu reads the time of this thread
		s.loop.Run()
	}()
	return s, nil
}

// on runs f on the shard's loop and waits for it.
func (s *shard) on(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// cpu returns the processor time of the shard's loop: decisions, lists and sending, but not the
// kernel's work for the reading goroutines.
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

// sharedState holds what all couriers of a run share.
type sharedState struct {
	plan          scale.Plan
	farm          *standin.Farm
	discovery     string
	lists         platform.ListLimits
	names         config.Names
	columns       []string
	peers         *net.Peers
	addrs         []string
	members       *partition.Membership // nil without partitions
	allowed       []int32               // with partitions: destinations that receive messages
	cutRegion     atomic.Int64          // number of the region that is cut off, plus one; zero means no cut
	cutDatagrams  atomic.Int64          // datagrams dropped by a cut
	sentDatagrams atomic.Int64          // datagrams sent by simulated couriers
	announcements atomic.Int64          // of these, announcements without a message
}

// separated reports whether a cut currently separates two couriers.
func (w *sharedState) separated(a, b int) bool {
	cutOff := int(w.cutRegion.Load()) - 1
	regionA, regionB := w.plan.Region(a), w.plan.Region(b)
	return cutOff >= 0 && regionA != regionB && (regionA == cutOff || regionB == cutOff)
}

// roleTraffic counts the datagrams sent and received in one role. A datagram with messages of both
// roles counts for each role by its share of the messages.
type roleTraffic struct{ Sent, SentBytes, Received, ReceivedBytes float64 }

// simulatedCourier is a simulated courier without clients and endpoints. The core with its decision
// module and the front's directory watch are the product's own code, and peer messages go over a
// socket of its own. Call results are drawn by the stand-in partners without a network connection.
// It belongs to its shard's loop.
type simulatedCourier struct {
	*sharedState
	shard     *shard
	number    int
	discovery string // its own address of the directory
	settings  snowjunction.Settings
	arrivals  *scale.Arrivals
	onList    func() // called when the list has arrived

	front           *platform.Front
	core            *core.Core
	socket          *net.Datagrams
	pastDatagrams   net.DatagramCounts // of its previous runs
	pastForwarded   map[string]float64 // forwarding counters of its previous runs
	invalidMessages uint64
	serial          int
	runNumber       int
	running         bool
	hasTraffic      bool        // messages arrive, also after a restart
	requestTraffic  roleTraffic // as a courier that requests quota
	ownerTraffic    roleTraffic // as a lease owner
}

func newSimulatedCourier(w *sharedState, s *shard, number int, settings map[string]any, onList func()) (*simulatedCourier, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	c := &simulatedCourier{
		sharedState: w, shard: s, number: number, discovery: w.discovery, onList: onList,
		arrivals: w.plan.Arrivals(number, w.plan.Destinations),
	}
	if w.allowed != nil {
		c.arrivals = w.plan.ArrivalsAt(number, w.allowed)
	}
	c.settings, err = config.ParseSettings(courierSeed(w.plan, number), text)
	c.settings.PeerMessages = true
	return c, err
}

// courierSeed returns the random seed of a courier.
func courierSeed(p scale.Plan, number int) uint64 {
	return (p.Seed+1)*0x9e3779b97f4a7c15 ^ uint64(number+1)*0xbf58476d1ce4e5b9
}

// start starts the courier, with no state from its previous run.
func (c *simulatedCourier) start() (err error) {
	c.runNumber++
	log := slog.New(slog.DiscardHandler)
	if c.socket, err = net.ListenDatagrams(c.addrs[c.number], c.peers, peermsg.MaxBytes, c.shard.loop.Post, log, c.receive); err != nil {
		return err
	}
	c.front = platform.New(platform.Config{
		Loop: c.shard.loop, Engine: c.shard.engine, Log: log, Discovery: c.discovery, Names: c.names,
		ReportColumns: c.columns, Settings: c.settings, Lists: c.lists, Listen: c.clientAddr(c.number), Router: c.newRouter(),
	})
	c.core, err = core.New(core.Config{
		Loop: c.shard.loop, Log: log, Journal: &store.Memory{}, Settings: c.settings,
		Fronts:      []core.Front{simulatedFront{c.front, c}},
		Directories: map[int]core.Directory{0: {Confidence: confidence.Default(), Plausibility: plausibility.Default()}},
		Fleet:       c, OnListChange: func(int) { c.onList() },
	})
	if err != nil {
		return err
	}
	if err := c.front.Start(c.core, platform.InitialList{}); err != nil {
		return err
	}
	c.running = true
	if c.hasTraffic {
		c.scheduleNext()
	}
	return nil
}

// kill stops the courier as SIGKILL would.
func (c *simulatedCourier) kill() {
	c.runNumber, c.running = c.runNumber+1, false
	c.core.Freeze(func() {})
	c.shard.engine.Unlisten(c.clientAddr(c.number))
	c.front.Close()
	c.socket.Close()
	c.pastForwarded = addCounters(c.pastForwarded, c.currentForwarded())
	c.pastDatagrams = addDatagramCounts(c.pastDatagrams, c.socket.Counts())
	c.invalidMessages += c.core.Counters.PeerMessagesInvalid
}

func addDatagramCounts(a, b net.DatagramCounts) net.DatagramCounts {
	return net.DatagramCounts{
		Sent: a.Sent + b.Sent, SentBytes: a.SentBytes + b.SentBytes, Received: a.Received + b.Received,
		ReceivedBytes: a.ReceivedBytes + b.ReceivedBytes, UnknownSender: a.UnknownSender + b.UnknownSender,
		Oversize: a.Oversize + b.Oversize, Overflow: a.Overflow + b.Overflow,
	}
}

// scheduleNext schedules the next message of its traffic.
func (c *simulatedCourier) scheduleNext() {
	after, _, _ := c.arrivals.Next()
	c.scheduleAfter(after)
}

// scheduleAfter schedules its traffic from the given delay on.
func (c *simulatedCourier) scheduleAfter(after time.Duration) {
	run := c.runNumber
	c.shard.loop.After(after, func() {
		if c.runNumber != run {
			return
		}
		next, destination, keyed := c.arrivals.Next()
		c.serial++
		m := newMessage(c.number, c.serial, destination, keyed)
		r := core.Request{
			ID: m.ID, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, TimeLeft: m.TTL,
			Body: standin.Body(0, 0, time.Now().Add(m.TTL)),
		}
		if m.HasIdempotencyKey {
			r.IdempotencyKey = m.ID
		}
		if c.members != nil {
			c.submit(r)
		} else if c.front.Ready() {
			_ = c.core.Submit(r, func(core.Answer, *store.Message) bool { return true }) // the request is well-formed
		}
		c.scheduleAfter(next)
	})
}

// Send sends peer messages to another courier.
func (c *simulatedCourier) Send(peer int, items []snowjunction.PeerMessage) {
	grantShare := grantShare(items)
	for _, b := range peermsg.Encode(items) {
		if c.separated(c.number, peer) {
			c.cutDatagrams.Add(1)
			continue
		}
		c.socket.Send(peer, b)
		c.sentDatagrams.Add(1)
		if len(items) == 0 {
			c.announcements.Add(1)
		}
		c.requestTraffic.Sent, c.requestTraffic.SentBytes = c.requestTraffic.Sent+1-grantShare, c.requestTraffic.SentBytes+(1-grantShare)*float64(len(b))
		c.ownerTraffic.Sent, c.ownerTraffic.SentBytes = c.ownerTraffic.Sent+grantShare, c.ownerTraffic.SentBytes+grantShare*float64(len(b))
	}
}

// grantShare returns the share of messages sent as a lease owner; an announcement has none.
func grantShare(items []snowjunction.PeerMessage) float64 {
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

// receive handles a datagram from a peer. Invalid datagrams are counted and dropped.
func (c *simulatedCourier) receive(peer int, b []byte) {
	if peer == c.number {
		return
	}
	if c.separated(c.number, peer) {
		c.cutDatagrams.Add(1)
		return
	}
	items, err := peermsg.Decode(b)
	if err != nil {
		c.core.Counters.PeerMessagesInvalid++
		return
	}
	grantShare := grantShare(items)
	c.requestTraffic.Received, c.requestTraffic.ReceivedBytes = c.requestTraffic.Received+grantShare, c.requestTraffic.ReceivedBytes+grantShare*float64(len(b))
	c.ownerTraffic.Received, c.ownerTraffic.ReceivedBytes = c.ownerTraffic.Received+1-grantShare, c.ownerTraffic.ReceivedBytes+(1-grantShare)*float64(len(b))
	c.core.ReceivePeerMessages(peer, items)
}

// simulatedFront is the platform front with simulated targets.
type simulatedFront struct {
	*platform.Front
	courier *simulatedCourier
}

// Target returns a target whose call results are drawn at random.
func (f simulatedFront) Target(e core.Entry) core.Target {
	return &simulatedTarget{courier: f.courier, destination: uint32(e.Destination)}
}

type simulatedTarget struct {
	courier     *simulatedCourier
	destination uint32
	idle        []time.Time // last use of each connection that a real target would have
}

// takeConnection takes the most recently used connection, as a real target would, and returns how
// long it was idle, or zero if there is no connection.
func (t *simulatedTarget) takeConnection(now time.Time) time.Duration {
	maxIdle := time.Duration(reusableIdleShare * float64(t.courier.settings.ConnIdle))
	for len(t.idle) > 0 && now.Sub(t.idle[0]) >= maxIdle {
		t.idle = t.idle[1:]
	}
	n := len(t.idle)
	if n == 0 {
		return 0
	}
	idle := max(now.Sub(t.idle[n-1]), 1)
	t.idle = t.idle[:n-1]
	return idle
}

// reusableIdleShare is the share of the idle timeout for which a connection is reused.
const reusableIdleShare = 0.85

// CloseIdle closes idle connections.
func (t *simulatedTarget) CloseIdle() { t.idle = nil }

// Retire closes idle connections.
func (t *simulatedTarget) Retire() { t.idle = nil }

type simulatedCall struct {
	sent       bool
	idleBefore time.Duration
	onResult   func(core.Result) // nil after the call has finished
	onEnd      func(delivered bool)
}

// Call starts an attempt.
func (t *simulatedTarget) Call(m *store.Message, _ core.Shape, _ time.Duration, allowed func() bool, done func(core.Result)) core.Call {
	loop := t.courier.shard.loop
	call := &simulatedCall{onResult: done, idleBefore: t.takeConnection(loop.Now())}
	if call.idleBefore > 0 {
		t.send(call, m)
		return call
	}
	loop.After(0, func() {
		switch {
		case call.onResult == nil:
		case !allowed():
			t.idle = append(t.idle, loop.Now())
			call.finish(core.Result{Outcome: snowjunction.NotSent})
		default:
			t.send(call, m)
		}
	})
	return call
}

func (t *simulatedTarget) send(call *simulatedCall, m *store.Message) {
	call.sent = true
	answer, end, err := t.courier.farm.Begin(t.destination, m.ID, m.Body)
	loop := t.courier.shard.loop
	if err != nil {
		loop.After(0, func() { call.finish(core.Result{Outcome: snowjunction.ConnectFailed}) })
		return
	}
	call.onEnd = end
	if answer.Status == 0 && !answer.Reset {
		return // silent partner: the call ends with the caller's timeout
	}
	loop.After(answer.Delay, func() {
		if call.onResult == nil {
			return
		}
		if answer.Reset {
			call.finish(core.Result{Outcome: snowjunction.Reset})
			return
		}
		call.onEnd(answer.Status == 200)
		call.onEnd = nil
		t.idle = append(t.idle, loop.Now())
		call.finish(front.ResultFromAnswer(answer.Status, func(name string) string { return standin.Header(answer, name) }, t.courier.columns))
	})
}

// Sent reports whether the last byte of the request would have been sent.
func (c *simulatedCall) Sent() bool { return c.sent }

// IdleBefore returns how long the connection would have been idle.
func (c *simulatedCall) IdleBefore() time.Duration { return c.idleBefore }

// GiveUp cancels the call.
func (c *simulatedCall) GiveUp() {
	c.onResult = nil
	c.release()
}

func (c *simulatedCall) release() {
	if c.onEnd != nil {
		c.onEnd(false)
		c.onEnd = nil
	}
}

func (c *simulatedCall) finish(r core.Result) {
	c.release()
	done := c.onResult
	c.onResult = nil
	done(r)
}

// startLimiter limits how many couriers start at the same time without holding a list yet.
type startLimiter struct {
	slots chan struct{}
	wg    sync.WaitGroup
}

const concurrentStarts = maxShards // a long list keeps a loop busy and has to arrive before its timeout

func newStartLimiter() *startLimiter {
	return &startLimiter{slots: make(chan struct{}, concurrentStarts)}
}

// acquire waits for a free slot. The courier calls the returned function when it holds a list.
func (s *startLimiter) acquire() (release func()) {
	s.slots <- struct{}{}
	s.wg.Add(1)
	return sync.OnceFunc(func() {
		<-s.slots
		s.wg.Done()
	})
}

// awaitAll waits until all started couriers hold a list.
func (s *startLimiter) awaitAll(timeout time.Duration) error {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("some couriers hold no list after %v", timeout)
	}
}

// maxListBytes returns an upper bound for the encoded size of a list.
func maxListBytes(entries int) int { return 1<<20 + entries*int(math.Ceil(maxEntryBytes)) }

const maxEntryBytes = 220.0 // in JSON, at most, since names are short
