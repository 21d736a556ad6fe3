package front_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	stdnet "net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"snowjunction"
	"snowjunction/internal/belief"
	"snowjunction/internal/config"
	"snowjunction/internal/core"
	"snowjunction/internal/distrust"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/store"
)

// site is a core with the platform's front on real connections. Its loop turns only while the
// test waits for something, and its clock goes only when told: whatever the others send comes
// between two lines of the test, and between no others.
type site struct {
	t         *testing.T
	now       time.Time
	loop      *core.Loop
	engine    *net.Engine
	core      *core.Core
	front     *platform.Front
	discovery *peer
	target    *peer
	ends      []string            // codes of the connections to discovery that have ended
	codes     map[string][]string // of all, by kind
	posted    atomic.Int64
}

// peer is a stand-in on a real address.
type peer struct {
	l      stdnet.Listener
	mu     sync.Mutex
	conns  []*end
	away   bool          // who comes is turned away at once
	parked chan struct{} // nobody accepts from now on
	resume chan struct{}
	filler stdnet.Conn // takes the room of the queue meanwhile
}

// end is the stand-in's end of a connection.
type end struct {
	*stdnet.TCPConn
	p    *peer
	got  []byte
	over bool
	err  error // it ended with
}

func newPeer(t *testing.T) *peer {
	l, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{l: l, parked: make(chan struct{}), resume: make(chan struct{})}
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, e := range p.conns {
			e.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				p.parked <- struct{}{}
				<-p.resume
				continue
			}
			if err != nil {
				return
			}
			e := &end{TCPConn: c.(*stdnet.TCPConn), p: p}
			p.mu.Lock()
			away := p.away
			if !away {
				p.conns = append(p.conns, e)
			}
			p.mu.Unlock()
			if away {
				c.Close()
				continue
			}
			go e.read()
		}
	}()
	return p
}

func (e *end) read() {
	b := make([]byte, 4096)
	for {
		n, err := e.Read(b)
		e.p.mu.Lock()
		e.got = append(e.got, b[:n]...)
		e.over, e.err = err != nil, err
		e.p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// at is the connection of that number, from 0; nil: there is none yet.
func (p *peer) at(i int) *end {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i >= len(p.conns) {
		return nil
	}
	return p.conns[i]
}

// with is the youngest connection that has been sent some text; nil: there is none yet.
func (p *peer) with(text string) *end {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range slices.Backward(p.conns) {
		if bytes.Contains(e.got, []byte(text)) {
			return e
		}
	}
	return nil
}

// turnAway has who comes turned away, or taken again.
func (p *peer) turnAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = away
}

// took tells whether the connection of that number has been sent some text n times.
func (p *peer) took(i int, text string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return i < len(p.conns) && bytes.Count(p.conns[i].got, []byte(text)) >= n
}

func (p *peer) ended(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return i < len(p.conns) && p.conns[i].over
}

// say sends text and returns once it lies in the other side's socket.
func (e *end) say(t *testing.T, text string) {
	t.Helper()
	_, err := e.Write([]byte(text))
	require.NoError(t, err)
	arrived(t, e.TCPConn, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err != nil || n == 0
	})
}

// finish ends what is sent, and returns once the other side's system knows.
func (e *end) finish(t *testing.T) {
	t.Helper()
	require.NoError(t, e.CloseWrite())
	arrived(t, e.TCPConn, func(fd int) bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err != nil || info.State != 4 // FIN_WAIT1: not acknowledged yet
	})
}

func arrived(t *testing.T, c *stdnet.TCPConn, yet func(fd int) bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	for done := false; !done; {
		require.NoError(t, raw.Control(func(fd uintptr) { done = yet(int(fd)) }))
	}
}

// ends is a log that notes with which code connections to discovery ended.
type ends struct {
	slog.Handler
	codes *[]string
	all   map[string][]string // by kind
}

func (e ends) Enabled(context.Context, slog.Level) bool { return true }

func (e ends) Handle(_ context.Context, r slog.Record) error {
	of := map[string]string{}
	r.Attrs(func(a slog.Attr) bool {
		of[a.Key] = a.Value.String()
		return true
	})
	if r.Message != "connection ended" {
		return nil
	}
	if e.all[of["kind"]] = append(e.all[of["kind"]], of["code"]); of["kind"] == "discovery" {
		*e.codes = append(*e.codes, of["code"])
	}
	return nil
}

// begin makes the clock, the loop, and what a core and a front are built on.
func (s *site) begin(limits net.Config) *store.Journal {
	s.now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	s.loop = core.NewLoop(func() time.Time { return s.now })
	s.codes = map[string][]string{}
	limits.Log, limits.Post = slog.New(ends{log.Handler(), &s.ends, s.codes}), func(f func()) {
		s.posted.Add(1)
		s.loop.Post(f)
	}
	var err error
	s.engine, err = net.New(limits)
	require.NoError(s.t, err)
	s.t.Cleanup(s.engine.Stop)
	journal, _, err := store.Load(store.Options{Dir: s.t.TempDir(), Bytes: 3e6, Log: log})
	require.NoError(s.t, err)
	s.t.Cleanup(func() { journal.Close() })
	return journal
}

var log = slog.New(slog.DiscardHandler)

// newSite is a courier alone, unless its settings are changed.
func newSite(t *testing.T, change ...func(*snowjunction.Settings)) *site {
	return newSiteOf(t, net.Config{MaxConns: 64}, change...)
}

// newSiteOf is one with so many connections.
func newSiteOf(t *testing.T, limits net.Config, change ...func(*snowjunction.Settings)) *site {
	s := prepared(t, limits, nil, change...)
	s.start(platform.Begin{Watch: true, List: config.List{Held: true, Full: true, Generation: 1, Targets: s.known()}})
	return s
}

// known is the one entry of the list that a site starts with.
func (s *site) known() []core.Entry {
	return []core.Entry{{Name: "s-1", Addr: s.target.l.Addr().String(), Destination: 7, Weight: 1, Phase: snowjunction.Ready}}
}

func (s *site) start(known platform.Begin) {
	require.NoError(s.t, s.front.Start(s.core, known))
	s.t.Cleanup(s.front.Close)
}

// prepared is one that has not started yet, perhaps with a router.
func prepared(t *testing.T, limits net.Config, router *partition.Router, change ...func(*snowjunction.Settings)) *site {
	s := &site{t: t, discovery: newPeer(t), target: newPeer(t)}
	journal := s.begin(limits)
	settings := snowjunction.Settings{
		Seed: 1, Fleet: 1, Tick: 5 * time.Millisecond, Slots: 8, MaxHeld: 10, MaxAttempts: 6, RetryAfter: true, MaxRetry: 3 * time.Second,
		ConnectTimeout: time.Second, ConnIdle: 15 * time.Second, OrderSettle: 100 * time.Millisecond, DrainGrace: time.Second,
		Kinds: []snowjunction.Kind{{BundleMax: 1}},
		Classes: []snowjunction.Class{
			{Name: "order", Effect: snowjunction.Keyed, Window: 5 * time.Second, Aim: time.Second, Deadline: 20 * time.Second, Worth: 1, InOrder: true},
			{Name: "debit", Effect: snowjunction.Unsafe, Aim: time.Second, Deadline: 20 * time.Second, Worth: 1},
		},
	}
	for _, c := range change {
		c(&settings)
	}
	s.front = platform.New(platform.Config{
		Loop: s.loop, Engine: s.engine, Log: log, Listen: "127.0.0.1:0", Discovery: s.discovery.l.Addr().String(), Settings: settings, Router: router,
	})
	var err error
	s.core, err = core.New(core.Config{
		Loop: s.loop, Log: log, Journal: journal, Settings: settings, Fronts: []core.Front{s.front},
		Directories: map[int]core.Directory{0: {Belief: belief.Default(), Trust: distrust.Default()}},
	})
	require.NoError(t, err)
	return s
}

// until turns the loop until what is awaited has come. Only a failure runs into the limit.
func (s *site) until(what string, come func() bool) {
	s.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	s.loop.RunUntil(func() bool { return come() || time.Now().After(limit) })
	require.True(s.t, come(), what)
}

// after lets the clock go on at once; what is due then is done.
func (s *site) after(d time.Duration) {
	s.now = s.now.Add(d)
	s.loop.Turn()
}

// client connects a client that has been answered once.
func (s *site) client() *end {
	s.t.Helper()
	e := s.connect(s.front.Addr(), "*1\r\n$4\r\nPING\r\n")
	s.until("a client is answered", func() bool { return e.p.took(0, "+PONG\r\n", 1) })
	return e
}

// connect connects to an address and sends some text, if any. What comes back is the first
// connection's of a peer of its own.
func (s *site) connect(addr, text string) *end {
	s.t.Helper()
	c, err := stdnet.Dial("tcp", addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	e := &end{TCPConn: c.(*stdnet.TCPConn), p: &peer{}}
	e.p.conns = append(e.p.conns, e)
	go e.read()
	if text != "" {
		e.say(s.t, text)
	}
	return e
}

func add(id, class string, left time.Duration) string {
	out := ""
	args := []string{"OUT.ADD", "5", id, fmt.Sprintf("c=%s,d=%d,k=%s,dest=7", class, left.Milliseconds(), id), "body"}
	for _, a := range args {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return fmt.Sprintf("*%d\r\n%s", len(args), out)
}

func answer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const (
	nothingNew = `{"generation":1,"reset":false,"instances":[]}`
	ask        = "GET /discovery/hosts"
)

// A watch that says nothing is given up so soon that a connection that comes up late and an
// answer that comes late still bring what it misses before 6 s and half of the grace are over:
// from the first one on, however far its answer has come, and again when the next one is silent
// too.
func TestWatchesThatFallSilent(t *testing.T) {
	for name, said := range map[string]struct {
		first  bool   // the first ask, which need not wait, is answered
		begins string // of the answer that falls silent
		after  time.Duration
	}{
		"from the first second":   {after: 3251 * time.Millisecond},
		"with a head":             {begins: "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", after: 3251 * time.Millisecond},
		"in the middle of a list": {begins: "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\":2,\n  \"reset\":true,\"instances\":[{", after: 2001 * time.Millisecond},
		"while it waits":          {first: true, after: 3251 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			asks := 1
			for n := range 3 {
				s.until("the list is asked for", func() bool { return s.discovery.took(n, ask, 1) })
				if asks = 1; said.first && n == 0 {
					s.discovery.at(n).say(t, answer("200 OK", nothingNew))
					asks = 2
				}
				s.until("and watched", func() bool { return s.discovery.took(n, ask, asks) })
				if said.begins != "" {
					s.discovery.at(n).say(t, said.begins)
					s.settle()
				}
				s.after(said.after)
				s.until("a silent one is given up", func() bool { return s.discovery.ended(n) })
				s.after(250 * time.Millisecond)
			}
		})
	}
}

// settle has all that has been said so far read: one reader takes what has come in its order.
func (s *site) settle() {
	c := s.client() // whose bytes come through the same reader, behind those
	c.Close()
}

// An answer that drips is not waited for without end.
func TestListThatDrips(t *testing.T) {
	s := newSite(t)
	s.until("the list is asked for", func() bool { return s.discovery.took(0, ask, 1) })
	s.discovery.at(0).say(t, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{")
	s.settle()
	for range 3 {
		s.after(1050 * time.Millisecond)
		require.False(t, s.discovery.ended(0), "while something comes it may be a long list")
		s.discovery.at(0).say(t, " ")
		s.settle()
	}
	s.after(101 * time.Millisecond)
	s.until("it is given up 3.25 s from its asking", func() bool { return s.discovery.ended(0) })
}

// A long list that comes at a megabyte a second and more is taken, though that is later than the
// bound: it would never be, if it were asked for anew each time.
func TestLongListGoesOn(t *testing.T) {
	const steps, step, piece = 40, 110 * time.Millisecond, 128 << 10
	s := newSite(t)
	s.until("the list is asked for", func() bool { return s.discovery.took(0, ask, 1) })
	const list = `{"generation":2,"reset":false,"instances":[]}`
	e := s.discovery.at(0)
	e.say(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", steps*piece+len(list)))
	for range steps {
		for range 2 {
			e.say(t, strings.Repeat(" ", piece/2))
			s.settle()
		}
		s.after(step)
		require.Empty(t, s.ends, "it is not given up")
	}
	e.say(t, list)
	s.until("the next watch", func() bool { return s.discovery.took(0, "after=2", 1) })
}

// A notice goes again in time, though the connection it went on has fallen silent.
func TestNoticeOnASilentConnection(t *testing.T) {
	s := newSite(t)
	s.until("the list is watched", func() bool { return s.discovery.took(0, ask, 1) })
	s.front.Ended(&store.Message{ID: "m1", State: store.Failed})
	const notice = `{"id":"m1","state":"failed"}`
	s.until("the notice goes", func() bool { return s.discovery.took(1, notice, 1) })
	s.after(121 * time.Millisecond)
	s.after(21 * time.Millisecond)
	s.until("and again, on a new connection", func() bool { return s.discovery.took(2, notice, 1) })
	s.discovery.at(2).say(t, "HTTP/1.1 204 No Content\r\n\r\n")
	s.until("until it is answered", s.front.Quiet)
}

// What comes on an idle connection before its next call is not that call's answer, and one that
// its other side has ended is not written to: nothing has left, whatever the class.
func TestIdleConnectionThatIsNoneAnyMore(t *testing.T) {
	for name, meanwhile := range map[string]func(e *end){
		"a second answer":       func(e *end) { e.say(t, answer("200 OK", "")) },
		"part of one":           func(e *end) { e.say(t, "HTTP/1.1 200 O") },
		"its end":               func(e *end) { e.finish(t) },
		"an answer and its end": func(e *end) { e.say(t, answer("200 OK", "")); e.finish(t) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			target := s.front.Target(core.Entry{Name: "s-1", Addr: s.target.l.Addr().String()})
			var results []core.Result
			call := func(id string) core.Call {
				return target.Call(&store.Message{ID: id}, core.Shape{}, 10*time.Second, always, func(r core.Result) { results = append(results, r) })
			}
			call("m1")
			s.until("the first call comes", func() bool { return s.target.took(0, "m1", 1) })
			s.target.at(0).say(t, answer("200 OK", ""))
			s.until("and is answered", func() bool { return len(results) == 1 })
			meanwhile(s.target.at(0))
			call("m2")
			s.until("the second comes on another connection", func() bool { return s.target.took(1, "m2", 1) })
			assert.False(t, s.target.took(0, "m2", 1))
			assert.Len(t, results, 1, "and has no answer yet")
			s.target.at(1).say(t, answer("503 Service Unavailable", ""))
			s.until("its own is its answer", func() bool { return len(results) == 2 })
			assert.Equal(t, snowjunction.Full, results[1].Outcome)
		})
	}
}

// An idle connection ends while the attempt that is to go on it is recorded: nothing of it leaves
// there.
func TestEndedWhileItIsRecorded(t *testing.T) {
	s := newSite(t)
	target := s.front.Target(core.Entry{Name: "s-1", Addr: s.target.l.Addr().String()})
	var results []core.Result
	call := func(id string, may func() bool) core.Call {
		return target.Call(&store.Message{ID: id}, core.Shape{}, 10*time.Second, may, func(r core.Result) { results = append(results, r) })
	}
	call("m1", always)
	s.until("the first call comes", func() bool { return s.target.took(0, "m1", 1) })
	s.target.at(0).say(t, answer("200 OK", ""))
	s.until("and is answered", func() bool { return len(results) == 1 })
	finished := false
	call("m2", func() bool { // asked again on the next connection, which may not have been accepted yet
		if !finished {
			finished = true
			s.target.at(0).finish(t)
		}
		return true
	})
	s.until("the second comes on another connection", func() bool { return s.target.took(1, "m2", 1) })
	assert.False(t, s.target.took(0, "m2", 1))
	assert.Len(t, results, 1)
}

// Requests that have come when the courier begins to end are answered, whatever has been read
// of them; only then do their connections end.
func TestRequestsThatCrossTheEnd(t *testing.T) {
	whole := add("m1", "debit", time.Second)
	for name, read := range map[string]int{"not read": 0, "half read": len(whole) / 2, "read but for a byte": len(whole) - 1} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			c := s.client()
			if read > 0 {
				c.say(t, whole[:read])
				s.until("a part is read", s.front.Unanswered)
				s.settle()
			}
			c.say(t, whole[read:])
			s.core.Drain()
			s.front.Drain()
			assert.True(t, s.front.Unanswered(), "the process waits for that")
			s.until("it is answered", func() bool { return c.p.took(0, "-BUSY 40", 1) })
			s.until("and ended", func() bool { return c.p.ended(0) })
			assert.False(t, s.front.Unanswered())
		})
	}
}

// A delivery that is told when its message's time is over is none: the client is owed its end,
// and the next of the key waits until that is known.
func TestDeliveredTooLate(t *testing.T) {
	s := newSite(t)
	s.until("the list is asked for", func() bool { return s.discovery.took(0, ask, 1) })
	s.discovery.at(0).say(t, answer("200 OK", nothingNew))
	c := s.client()
	c.say(t, add("m1", "order", time.Second))
	s.until("it is read", func() bool { return s.core.Counters.In == 1 })
	s.after(5 * time.Millisecond)
	s.until("taken on", func() bool { return c.p.took(0, "+OK", 1) })
	s.until("and sent", func() bool { return s.target.took(0, "m1", 1) })
	c.say(t, add("m2", "order", 20*time.Second))
	s.until("the next is read", func() bool { return s.core.Counters.In == 2 })
	s.now = s.now.Add(986 * time.Millisecond) // of 1000, and the client counts from its sending
	s.target.at(0).say(t, answer("200 OK", ""))
	s.until("the end is told", func() bool { return s.discovery.took(1, `{"id":"m1","state":"failed"}`, 1) })
	s.after(5 * time.Millisecond)
	assert.False(t, s.target.took(0, "m2", 1), "the key waits for that")
	s.discovery.at(1).say(t, "HTTP/1.1 204 No Content\r\n\r\n")
	s.until("the end is known", s.front.Quiet)
	s.after(5 * time.Millisecond)
	s.after(5 * time.Millisecond)
	s.until("and the next goes", func() bool { return s.target.took(0, "m2", 1) || s.target.took(1, "m2", 1) })
	assert.Equal(t, 1, strings.Count(string(s.target.at(0).got), "X-Request-ID: m1\r"))
}
