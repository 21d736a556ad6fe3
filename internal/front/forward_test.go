package front_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/front/console"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/handover"
	"snowjunction/internal/net"
	"snowjunction/internal/partition"
	"snowjunction/internal/proto/resp"
)

// few are settings for one partition, which each member of a region owns a copy of.
func few(t *testing.T, members ...partition.Member) *partition.Membership {
	t.Helper()
	m, err := partition.New(1, max(1, min(len(members), partition.CopiesMax)), members)
	require.NoError(t, err)
	return m
}

// sees gives a site its view of who owns what. It holds the list of what it owns.
func (s *site) sees(self string, m *partition.Membership) *partition.Router {
	r := partition.NewRouter(partition.Options{Self: self, Region: "r1", Longest: 20 * time.Second}, m, -time.Hour)
	r.Held(r.Wanted())
	s.front.Router = r
	return r
}

// forwarder is a site that owns nothing, with stand-ins for those who do, in the order in which
// it turns to them.
type forwarder struct {
	*site
	router *partition.Router
	owners []*peer
	names  []string
}

// newForwarder has owners in the regions named, dead ones where that is said; it stands in r1.
func newForwarder(t *testing.T, regions ...string) *forwarder {
	f := &forwarder{site: newSite(t)}
	by, members := map[string]*peer{}, []partition.Member(nil)
	for i, region := range regions {
		p, name := newPeer(t), fmt.Sprintf("n%d", i)
		region, gone := strings.CutSuffix(region, " dead")
		addr := p.l.Addr().String()
		if gone {
			addr = dead(t)
		}
		by[name] = p
		members = append(members, partition.Member{Name: name, Addr: addr, Region: region})
	}
	m := few(t, members...)
	for _, o := range m.Owners(0, "r1") {
		f.owners, f.names = append(f.owners, by[o.Name]), append(f.names, o.Name)
	}
	f.router = f.sees("f", m)
	return f
}

// goes waits until a message has come to an owner, and returns the connection it came on.
func (f *forwarder) goes(id string, owner int) *end {
	f.t.Helper()
	f.until(id+" goes to its owner", func() bool { return f.owners[owner].with(command(id)) != nil })
	return f.owners[owner].with(command(id))
}

// hears waits until a client has been sent all that text, and nothing else.
func (s *site) hears(c *end, text string) {
	s.t.Helper()
	s.until("the client is answered", func() bool { return len(c.heard()) >= len(text) })
	require.Equal(s.t, text, c.heard())
}

// heard is what has come so far, without the greeting.
func (e *end) heard() string {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	return strings.TrimPrefix(string(e.got), "+PONG\r\n")
}

// command is how a message's command begins, behind its key.
func command(id string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(id), id) }

// dead is an address that refuses connections, and is nobody else's meanwhile.
func dead(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

func debit(id string) string { return add(id, "debit", 20*time.Second) }

func outAdd(args ...string) string {
	all := [][]byte{[]byte("OUT.ADD")}
	for _, a := range args {
		all = append(all, []byte(a))
	}
	return string(resp.Command(all...))
}

// forwarded is a message that another courier forwards.
func forwarded(id string) string { return outAdd("5", id, "c=debit,d=20000,dest=7,fwd=1", "body") }

// A message goes to its owner as it came, but for the time that has gone by, and the owner's
// answer is the client's. The connection is kept for the next.
func TestForwarded(t *testing.T) {
	f := newForwarder(t, "r1")
	c := f.client()
	for i, text := range []string{"+OK\r\n", "-BUSY\r\n", "-BUSY 40\r\n", "-ERR failed\r\n", "+OK\r\n"} {
		id := fmt.Sprintf("m%d", i)
		c.say(t, outAdd("0002af", id, "zone=x,c=debit,d=900.5,k=k1,dest=7,r=1,t=,again=0,x=", "bo\r\ndy "))
		e := f.goes(id, 0)
		f.until("the body comes", func() bool { return f.owners[0].took(0, "$7\r\nbo\r\ndy \r\n", i+1) })
		assert.Contains(t, string(e.got), outAdd("2af", id, "c=debit,d=900.5,dest=7,k=k1,again=1,fwd=1", "bo\r\ndy "))
		e.say(t, text)
		f.until("the client is answered", func() bool { return strings.HasSuffix(c.heard(), text) && strings.Count(c.heard(), "\r\n") == i+1 })
	}
	assert.Nil(t, f.owners[0].at(1), "one connection has carried all")
	assert.Zero(t, f.core.Counters.In, "the forwarder owes nothing")
	assert.EqualValues(t, 5, f.core.Counters.Forwarded)

	c.say(t, add("m9", "nothing", time.Second)+add("m9", "debit", -time.Second))
	f.until("what is wrong is answered here", func() bool { return strings.Count(c.heard(), "-ERR invalid message") == 2 })
	assert.EqualValues(t, 2, f.core.Counters.Malformed)
	assert.Nil(t, f.owners[0].with(command("m9")))
}

// Time that passes before a message leaves is taken off what is left of it; one that has none
// left does not leave.
func TestForwardedLater(t *testing.T) {
	f := newForwarder(t, "r1", "r2")
	f.owners[0].shut(t)
	c, d := f.client(), f.client()
	c.say(t, add("m1", "debit", time.Second))
	d.say(t, add("m2", "debit", 200*time.Millisecond))
	f.until("both are on their way", func() bool { return f.engine.Kinds()[platform.ForwardKind] == 2 })
	f.after(201 * time.Millisecond)
	e := f.goes("m1", 1)
	f.until("its names come", func() bool { return f.owners[1].with(",d=799,") == e })
	f.hears(d, "-ERR failed\r\n")
	assert.Nil(t, f.owners[1].with(command("m2")))
	f.owners[0].open(t)
}

// Where the command has surely not left, or the courier owns nothing, the next one is asked; and
// who cannot be reached is passed over for a while.
func TestNextOwner(t *testing.T) {
	for name, row := range map[string]struct {
		first  string
		before func(f *forwarder)
		while  func(f *forwarder)
		over   bool // the first is passed over next
	}{
		"the first is dead":     {first: "r1 dead", over: true},
		"it does not come up":   {first: "r1", before: func(f *forwarder) { f.owners[0].shut(f.t) }, while: func(f *forwarder) { f.after(201 * time.Millisecond) }, over: true},
		"it does not own that":  {first: "r1", while: func(f *forwarder) { f.goes("m1", 0).say(f.t, "-MOVED\r\n") }},
		"it says why it cannot": {first: "r1", while: func(f *forwarder) { f.goes("m1", 0).say(f.t, "-MOVED to n7\r\n") }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, row.first, "r2")
			if row.before != nil {
				row.before(f)
			}
			c := f.client()
			c.say(t, debit("m1"))
			if row.while != nil {
				f.until("it is on its way", func() bool { return f.engine.Kinds()[platform.ForwardKind] > 0 })
				row.while(f)
			}
			f.goes("m1", 1).say(t, "+OK\r\n")
			f.hears(c, "+OK\r\n")
			assert.EqualValues(t, 1, f.core.Counters.Vain)
			c.say(t, debit("m2"))
			if row.over {
				f.goes("m2", 1)
				assert.EqualValues(t, 1, f.core.Counters.Vain, "it is not tried")
			} else {
				f.goes("m2", 0)
			}
		})
	}
}

// Once a command has left, its outcome is known by its answer alone: without one the client's
// connection ends unanswered, with all that the client waits for, and no other owner is asked.
func TestNoAnswer(t *testing.T) {
	says := func(text string) func(f *forwarder, e *end) {
		return func(f *forwarder, e *end) { e.say(f.t, text) }
	}
	for name, row := range map[string]struct {
		happens func(f *forwarder, e *end)
		code    net.Code
	}{
		"killed":          {func(f *forwarder, e *end) { require.NoError(f.t, e.SetLinger(0)); e.Close() }, net.PeerReset},
		"ended":           {func(f *forwarder, e *end) { e.finish(f.t) }, net.PeerClosed},
		"silent":          {func(f *forwarder, e *end) { f.after(400 * time.Millisecond) }, net.CallTimeout},
		"part of one":     {func(f *forwarder, e *end) { e.say(f.t, "+OK\r"); f.settle(); f.after(400 * time.Millisecond) }, net.CallTimeout},
		"another answer":  {says("+PONG\r\n"), net.Protocol},
		"another error":   {says("-LOADING not ready\r\n"), net.Protocol},
		"OKAY":            {says("+OKAY\r\n"), net.Protocol},
		"a bulk string":   {says("$3\r\n+OK\r\n"), net.Protocol},
		"nonsense":        {says("HTTP/1.1 200 OK\r\n"), net.Protocol},
		"without its end": {func(f *forwarder, e *end) { e.say(f.t, "-BUSY"); e.finish(f.t) }, net.PeerClosed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, "r1", "r2")
			other, c, d := f.client(), f.client(), f.client()
			other.say(t, debit("m0"))
			f.goes("m0", 0).say(t, "+OK\r\n")
			f.hears(other, "+OK\r\n") // its connection rests
			d.say(t, debit("m1"))     // and is used
			f.goes("m1", 0)
			f.after(time.Millisecond)
			c.say(t, debit("m2")+debit("m3")+add("m4", "order", time.Second)+add("m5", "order", time.Second)+"*1\r\n$4\r\nPING\r\n")
			for _, id := range []string{"m2", "m3", "m4"} {
				f.goes(id, 0)
			}
			f.goes("m1", 0).say(t, "+OK\r\n")
			f.hears(d, "+OK\r\n")
			row.happens(f, f.goes("m2", 0))
			f.until("the client's connection ends", func() bool { return c.p.ended(0) })
			assert.Empty(t, c.heard())
			assert.Contains(t, f.codes["client"], string(net.Unknown))
			assert.Contains(t, f.codes[platform.ForwardKind], string(row.code))
			assert.Contains(t, f.codes[platform.ForwardKind], string(net.Dropped), "what rests would swallow the next")
			assert.Zero(t, f.engine.Kinds()[platform.ForwardKind], "and the client's other commands are called off")
			assert.True(t, f.front.Hushed())
			assert.Nil(t, f.owners[0].with(command("m5")), "and what waits behind them")
			assert.Nil(t, f.owners[1].at(0), "no other owner is asked")
			assert.EqualValues(t, 1, f.core.Counters.Unknown)
			d.say(t, debit("m6"))
			if row.code == net.CallTimeout {
				f.goes("m6", 1) // a silent one is passed over for a while
				d.say(t, add("m7", "order", time.Second))
				f.until("m4 may be with it", func() bool {
					return strings.Contains(d.heard(), "-BUSY 501") || f.front.Unanswered() && f.core.Counters.Unrouted == 1
				})
			} else {
				f.goes("m6", 0)
			}
		})
	}
}

// What an answer brings that comes too late, or twice, is nobody else's.
func TestAnswersAreNobodyElses(t *testing.T) {
	for name, meanwhile := range map[string]func(e *end){
		"a second answer":       func(e *end) { e.say(t, "+OK\r\n") },
		"part of one":           func(e *end) { e.say(t, "+O") },
		"its end":               func(e *end) { e.finish(t) },
		"an answer and its end": func(e *end) { e.say(t, "-BUSY 7\r\n"); e.finish(t) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, "r1")
			c := f.client()
			c.say(t, debit("m1"))
			f.goes("m1", 0).say(t, "+OK\r\n")
			f.hears(c, "+OK\r\n")
			e := f.owners[0].at(0)
			// The loop stands still: the command comes to it before what has come on that connection.
			var answers []string
			meanwhile(e)
			require.NoError(t, f.front.HandIn(core.Request{ID: "m2", Class: "debit", Destination: 7, Left: time.Second}, func(text []byte) {
				answers = append(answers, string(text))
			}))
			f.goes("m2", 0)
			assert.False(t, f.owners[0].took(0, command("m2"), 1), "it goes on another connection")
			assert.Empty(t, answers, "and has no answer yet")
			f.owners[0].at(1).say(t, "-BUSY 9\r\n")
			f.until("its own is its answer", func() bool { return len(answers) == 1 })
			assert.Equal(t, "-BUSY 9\r\n", answers[0])
		})
	}
	f := newForwarder(t, "r1")
	c := f.client()
	c.say(t, debit("m1"))
	f.goes("m1", 0).say(t, "+OK\r\n+OK\r\n")
	f.hears(c, "+OK\r\n")
	c.say(t, debit("m2"))
	f.goes("m2", 0)
	assert.NotNil(t, f.owners[0].at(1), "a connection with two answers is not used again")
}

// An idle connection is ended long before the other side would end it.
func TestForwardConnectionThatRests(t *testing.T) {
	f := newForwarder(t, "r1")
	c := f.client()
	c.say(t, debit("m1"))
	f.goes("m1", 0).say(t, "+OK\r\n")
	f.hears(c, "+OK\r\n")
	f.after(4900 * time.Millisecond)
	c.say(t, debit("m2"))
	f.goes("m2", 0).say(t, "+OK\r\n")
	f.hears(c, "+OK\r\n+OK\r\n")
	assert.Nil(t, f.owners[0].at(1))
	c.say(t, debit("m3")+debit("m4"))
	f.goes("m3", 0).say(t, "+OK\r\n")
	f.goes("m4", 0)
	f.until("the first rests", func() bool { return strings.Count(c.heard(), "+OK") == 3 })
	f.after(time.Millisecond)
	f.goes("m4", 0).say(t, "+OK\r\n")
	f.until("so does the second", func() bool { return strings.Count(c.heard(), "+OK") == 4 })
	f.after(5*time.Second - time.Millisecond)
	f.until("the first ends", func() bool { return f.owners[0].ended(0) })
	assert.Equal(t, 1, f.engine.Kinds()[platform.ForwardKind], "the one that has rested for longest goes first")
	f.after(time.Millisecond)
	f.until("the second ends", func() bool { return f.owners[0].ended(1) })
	assert.Zero(t, f.engine.Kinds()[platform.ForwardKind])
}

// A client that goes takes its command's connection along, and the key's next message goes on,
// to the courier that may have the last.
func TestClientGoesWhileForwarding(t *testing.T) {
	f := newForwarder(t, "r1", "r2")
	c, d := f.client(), f.client()
	c.say(t, add("m1", "order", 20*time.Second)+add("m2", "order", 20*time.Second))
	f.goes("m1", 0)
	d.say(t, add("m3", "order", 20*time.Second))
	f.settle()
	c.Close()
	f.until("the owner sees it go", func() bool { return f.owners[0].ended(0) })
	f.goes("m3", 0)
	assert.Nil(t, f.owners[0].with(command("m2")), "what had not left does not")
	assert.Equal(t, []string{string(net.ClientGone)}, f.codes[platform.ForwardKind])
	f.goes("m3", 0).say(t, "-MOVED\r\n")
	f.until("it is refused", func() bool { return strings.HasPrefix(d.heard(), "-BUSY ") })
	assert.Nil(t, f.owners[1].at(0), "m1 may be with the first owner")
}

// Messages of a key leave one after another, each with its own client: on two connections they
// could overtake each other. Others do not wait.
func TestKeyIsForwardedInOrder(t *testing.T) {
	f := newForwarder(t, "r1")
	c := f.client()
	c.say(t, add("m1", "order", 20*time.Second)+add("m2", "order", 20*time.Second)+add("m3", "order", 20*time.Second)+debit("m4"))
	f.goes("m1", 0)
	f.goes("m4", 0).say(t, "-BUSY 4\r\n")
	f.settle()
	assert.Nil(t, f.owners[0].with(command("m2")))
	f.goes("m1", 0).say(t, "+OK\r\n")
	f.goes("m2", 0).say(t, "-BUSY 2\r\n")
	f.goes("m3", 0).say(t, "+OK\r\n")
	f.hears(c, "+OK\r\n-BUSY 2\r\n+OK\r\n-BUSY 4\r\n")
}

// No more wait for others of their key than may be out.
func TestKeyThatWaits(t *testing.T) {
	f := newForwarder(t, "r1")
	c := f.client()
	const most = 16 // of 64
	var all string
	for i := range most + 3 {
		all += add(fmt.Sprintf("m%d", i), "order", 20*time.Second)
	}
	c.say(t, all)
	f.goes("m0", 0)
	f.until("the last ones are refused", func() bool { return f.core.Counters.Unrouted == 2 })
	f.after(400 * time.Millisecond)
	f.until("what became of the first is not known", func() bool { return c.p.ended(0) })
	assert.Empty(t, c.heard())

	d, e := f.client(), f.client()
	f.after(500 * time.Millisecond)
	d.say(t, add("n0", "order", 20*time.Second))
	f.goes("n0", 0)
	f.after(200 * time.Millisecond)
	e.say(t, add("n1", "order", 20*time.Second))
	f.settle()
	f.after(200 * time.Millisecond)
	f.until("the first has none", func() bool { return d.p.ended(0) })
	f.hears(e, "-BUSY 501\r\n")
	assert.Nil(t, f.owners[0].with(command("n1")))
}

// A region is cut off: its messages go to the other region's owner, and back once it is reached.
// A key's go where its last one is, until its time is over; and are refused where that courier
// cannot be reached.
func TestRegionIsCut(t *testing.T) {
	f := newForwarder(t, "r2", "r1")
	c := f.client()
	said := 0
	answers := func(id string, owner int) {
		t.Helper()
		f.goes(id, owner).say(t, "+OK\r\n")
		said++
		f.until("it is answered", func() bool { return strings.Count(c.heard(), "+OK\r\n") == said })
	}
	say := func(id, class string, owner int) {
		t.Helper()
		c.say(t, add(id, class, 3*time.Second))
		answers(id, owner)
	}
	say("m1", "debit", 0)
	f.after(5 * time.Second)               // its connection has gone
	silent := func(id string, owner int) { // nobody is at that owner's address
		t.Helper()
		f.owners[owner].shut(t)
		posted := f.posted.Load()
		c.say(t, add(id, "order", 3*time.Second))
		f.until("it is dialled", func() bool { return f.engine.Kinds()[platform.ForwardKind] == 1 })
		f.after(201 * time.Millisecond)
		f.until("dialling is called off", func() bool { return f.posted.Load() > posted+1 })
	}
	silent("m2", 0)
	answers("m2", 1)
	say("m3", "debit", 1)
	f.owners[0].open(t)
	f.after(501 * time.Millisecond)
	say("m4", "debit", 0)
	say("m5", "order", 1)
	f.after(2500 * time.Millisecond)
	say("m6", "order", 1) // m5 may be open still
	f.after(3001 * time.Millisecond)
	say("m7", "order", 0)
	f.after(5001 * time.Millisecond)
	f.until("what rests has gone", func() bool { return f.engine.Kinds()[platform.ForwardKind] == 0 })
}

// A key's messages are refused where the courier that has its last one cannot be reached, though
// the first owner is back.
func TestKeyStaysWithItsOwner(t *testing.T) {
	f := newForwarder(t, "r1", "r2")
	c := f.client()
	f.owners[0].shut(t)
	order := func(id string) {
		t.Helper()
		c.say(t, add(id, "order", 3*time.Second))
		f.until("it is dialled", func() bool { return f.engine.Kinds()[platform.ForwardKind] == 1 })
		f.after(201 * time.Millisecond)
	}
	order("m1")
	f.goes("m1", 1).say(t, "+OK\r\n")
	f.hears(c, "+OK\r\n")
	f.owners[1].with(command("m1")).finish(t)
	f.until("its connection goes", func() bool { return f.engine.Kinds()[platform.ForwardKind] == 0 })
	f.owners[1].shut(t)
	f.owners[0].open(t)
	f.after(501 * time.Millisecond)
	order("m2")
	f.hears(c, "+OK\r\n-BUSY 501\r\n")
	c.say(t, debit("m3"))
	f.goes("m3", 0)
	f.owners[1].open(t)
}

// A key's message of which it is not known what became may be with its owner.
func TestKeyAfterAnUnknownOutcome(t *testing.T) {
	f := newForwarder(t, "r1", "r2")
	c, d := f.client(), f.client()
	c.say(t, add("m1", "order", 3*time.Second))
	f.goes("m1", 0).finish(t)
	f.until("it is not known", func() bool { return c.p.ended(0) })
	d.say(t, add("m2", "order", 3*time.Second))
	f.goes("m2", 0).say(t, "-MOVED\r\n")
	f.hears(d, "-BUSY 501\r\n")
	assert.Nil(t, f.owners[1].at(0))
}

// A key's messages stay with this courier while it may have the last one, or takes it in just
// now, whoever owns them from now on.
func TestKeyStaysHere(t *testing.T) {
	f := newForwarder(t, "r1")
	others := f.router.Membership()
	router := f.sees("f", few(t, partition.Member{Name: "f", Addr: "f", Region: "r1"}))
	c := f.client()
	c.say(t, debit("m0"))
	f.hears(c, "+OK\r\n") // and the next look is a tick away
	c.say(t, add("m1", "order", 3*time.Second))
	f.until("it is being taken in", func() bool { return f.core.Counters.In == 2 })
	router.Adopt(others, f.now.Sub(f.now))
	router.Expire(time.Hour, func(int) bool { return true }) // as long as it has messages
	c.say(t, add("m2", "order", 3*time.Second)+debit("m3"))
	f.goes("m3", 0).say(t, "-BUSY 3\r\n")
	f.after(5 * time.Millisecond)
	f.hears(c, "+OK\r\n+OK\r\n+OK\r\n-BUSY 3\r\n")
	c.say(t, add("m4", "order", 3*time.Second))
	f.until("it is read here", func() bool { return f.core.Counters.In == 4 || f.owners[0].with(command("m4")) != nil })
	assert.EqualValues(t, 4, f.core.Counters.In)
}

// Who has answered is trusted as ever: the next silence counts as a first one.
func TestOwnerIsBack(t *testing.T) {
	f := newForwarder(t, "r1", "r2")
	silent := func(id string) {
		c := f.client()
		c.say(t, debit(id))
		f.goes(id, 0)
		f.after(400 * time.Millisecond)
		f.until("it is not known", func() bool { return c.p.ended(0) })
		f.after(501 * time.Millisecond)
	}
	silent("m1")
	c := f.client()
	c.say(t, debit("m2"))
	f.goes("m2", 0).say(t, "+OK\r\n")
	f.hears(c, "+OK\r\n")
	silent("m3")
	c.say(t, debit("m4"))
	f.until("it goes", func() bool { return f.owners[0].with(command("m4")) != nil || f.owners[1].at(0) != nil })
	assert.Nil(t, f.owners[1].at(0))
}

// No room for a connection here says nothing of the owner.
func TestNoRoomToForward(t *testing.T) {
	s, owner := newSiteOf(t, net.Config{MaxConns: 8}), newPeer(t)
	s.until("the list is watched", func() bool { return s.discovery.took(0, ask, 1) })
	s.sees("f", few(t, partition.Member{Name: "n0", Addr: owner.l.Addr().String(), Region: "r1"}))
	c := s.client()
	s.calls(8-s.engine.Open(), false)
	c.say(t, debit("m1"))
	s.hears(c, "-BUSY 501\r\n")
	s.target.at(0).say(t, answer("200 OK", ""))
	s.settle()
	c.say(t, debit("m2"))
	s.until("it goes at once", func() bool { return owner.with(command("m2")) != nil })
}

// Answers go in the order of the requests, whoever takes them.
func TestForwardedAndOwnInOrder(t *testing.T) {
	s, owner := newSite(t), newPeer(t)
	m, err := partition.New(64, 1, []partition.Member{
		{Name: "self", Addr: s.front.Addr(), Region: "r1"}, {Name: "n1", Addr: owner.l.Addr().String(), Region: "r1"},
	})
	require.NoError(t, err)
	own := func(name string) uint32 {
		for d := uint32(0); ; d++ {
			if m.Owners(partition.Of(d, 64), "r1")[0].Name == name {
				return d
			}
		}
	}
	s.sees("self", m)
	c := s.client()
	to := func(id string, dest uint32) string {
		return outAdd("5", id, fmt.Sprintf("c=debit,d=900,dest=%d", dest), "body")
	}
	c.say(t, to("m1", own("n1"))+to("m2", own("self"))+"*1\r\n$4\r\nPING\r\n"+to("m3", own("n1"))+to("m4", own("self")))
	comes := func(id string) *end {
		s.until(id+" comes", func() bool { return owner.with(command(id)) != nil })
		return owner.with(command(id))
	}
	comes("m3").say(t, "-BUSY 3\r\n")
	comes("m1")
	s.after(5 * time.Millisecond)
	s.settle()
	require.Empty(t, c.heard(), "nothing goes before the first")
	comes("m1").say(t, "-ERR one\r\n")
	s.until("all are answered", func() bool { return strings.Count(c.heard(), "\r\n") == 5 })
	assert.Equal(t, "-ERR one\r\n-BUSY 1501\r\n+PONG\r\n-BUSY 3\r\n-BUSY 1501\r\n", c.heard(), "own ones are for destinations that no list names")
	assert.EqualValues(t, 2, s.core.Counters.In)
}

// pair are two couriers, and a client of the first.
type pair struct {
	a, b *site
	c    *end
}

func newPair(t *testing.T) *pair {
	p := &pair{a: newSite(t), b: newSite(t)}
	p.c = p.a.client()
	return p
}

func (p *pair) member(name string) partition.Member {
	s := p.a
	if name == "b" {
		s = p.b
	}
	return partition.Member{Name: name, Addr: s.front.Addr(), Region: "r1"}
}

// until turns both loops.
func (p *pair) until(what string, come func() bool) {
	p.a.t.Helper()
	p.a.until(what, func() bool {
		p.b.loop.Turn()
		return come()
	})
}

// Each thinks that the other owns it: nothing goes round, and nobody takes it.
func TestEachThinksTheOtherOwns(t *testing.T) {
	p := newPair(t)
	p.a.sees("a", few(t, p.member("b")))
	p.b.sees("b", few(t, p.member("a")))
	p.c.say(t, debit("m1"))
	p.until("it is refused", func() bool { return strings.HasPrefix(p.c.heard(), "-BUSY 5") })
	assert.EqualValues(t, 1, p.b.core.Counters.Moved)
	assert.Zero(t, p.a.core.Counters.In+p.b.core.Counters.In+p.b.core.Counters.Vain)
}

// Both think that they own it: whoever gets it first keeps it.
func TestBothThinkTheyOwn(t *testing.T) {
	p := newPair(t)
	p.a.sees("a", few(t, p.member("a")))
	p.b.sees("b", few(t, p.member("b")))
	d := p.b.client()
	p.c.say(t, debit("m1"))
	d.say(t, debit("m2"))
	p.until("both are read", func() bool { return p.a.core.Counters.In+p.b.core.Counters.In == 2 })
	p.a.after(5 * time.Millisecond)
	p.b.after(5 * time.Millisecond)
	p.until("each is taken on once", func() bool { return p.c.heard() == "+OK\r\n" && d.heard() == "+OK\r\n" })
	p.until("and goes once", func() bool { return p.a.target.with("ID: m1\r") != nil && p.b.target.with("ID: m2\r") != nil })
	assert.Nil(t, p.a.target.with("ID: m2\r"))
	assert.EqualValues(t, 1, p.a.core.Counters.Taken)
	assert.EqualValues(t, 1, p.b.core.Counters.Taken)
	assert.Zero(t, p.a.engine.Kinds()[platform.ForwardKind]+p.b.engine.Kinds()[platform.ForwardKind])
}

// Whatever three couriers think of who owns what, and hold of it: a message that a client was
// answered is taken on by one of them, one that was refused by none.
func TestAnyViews(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var sites []*site
		var clients []*end
		var members []partition.Member
		for i := range 3 {
			s := newSite(t, func(s *snowjunction.Settings) { s.MaxHeld = 100 })
			sites, clients = append(sites, s), append(clients, s.client())
			members = append(members, partition.Member{Name: fmt.Sprintf("n%d", i), Addr: s.front.Addr(), Region: fmt.Sprintf("r%d", rng.IntN(2))})
		}
		for i, s := range sites {
			var seen []partition.Member
			for _, m := range members {
				if rng.IntN(2) > 0 {
					seen = append(seen, m)
				}
			}
			r := partition.NewRouter(partition.Options{Self: members[i].Name, Region: "r1", Longest: 20 * time.Second}, few(t, seen...), -time.Hour*time.Duration(rng.IntN(2)))
			if rng.IntN(4) > 0 {
				r.Held(r.Wanted())
			}
			s.front.Router = r
		}
		count := func(of func(*site) uint64) (n uint64) {
			for _, s := range sites {
				n += of(s)
			}
			return n
		}
		heard := func(text string) (n uint64) {
			for _, c := range clients {
				n += uint64(strings.Count(c.heard(), text))
			}
			return n
		}
		until := func(what string, come func() bool) {
			t.Helper()
			sites[0].until(what, func() bool {
				sites[1].loop.Turn()
				sites[2].loop.Turn()
				return come()
			})
		}
		const rounds = 8
		for round := range uint64(rounds) {
			for i, c := range clients {
				c.say(t, add(fmt.Sprintf("m%d-%d", round, i), []string{"debit", "order"}[rng.IntN(2)], 20*time.Second))
			}
			all := 3 * (round + 1)
			until("all are read where they are taken", func() bool {
				return count(func(s *site) uint64 { return s.core.Counters.In })+heard("-BUSY ") == all
			})
			for _, s := range sites {
				s.after(5 * time.Millisecond)
			}
			until("all are answered", func() bool { return heard("+OK\r\n")+heard("-BUSY ") == all })
		}
		assert.Equal(t, heard("+OK\r\n"), count(func(s *site) uint64 { return s.core.Counters.Taken }), "seed %d", seed)
		assert.Equal(t, heard("-BUSY "), count(func(s *site) uint64 { return s.core.Counters.Unrouted }), "seed %d", seed)
		assert.Zero(t, count(func(s *site) uint64 { return s.core.Counters.Unknown }), "seed %d", seed)
	}
}

// Nobody owns it, or nobody holds its list yet: it may be handed in again.
func TestNobodyOwns(t *testing.T) {
	p := newPair(t)
	p.a.sees("a", few(t))
	p.c.say(t, debit("m1"))
	p.until("it is refused", func() bool { return strings.HasPrefix(p.c.heard(), "-BUSY 5") })

	both := few(t, p.member("a"), p.member("b"))
	p.a.front.Router = partition.NewRouter(partition.Options{Self: "a"}, both, 0)
	p.b.front.Router = partition.NewRouter(partition.Options{Self: "b"}, both, 0)
	p.c.say(t, debit("m2"))
	p.until("it is refused", func() bool { return strings.Count(p.c.heard(), "-BUSY 5") == 2 })
	assert.EqualValues(t, 1, p.b.core.Counters.Moved)
	assert.EqualValues(t, 2, p.a.core.Counters.Unrouted)
	assert.Zero(t, p.a.core.Counters.In+p.b.core.Counters.In)
}

// A forwarded message is taken on by its owner alone, which owes the end. What the owner's door
// says, and that it ends, is passed on.
func TestOwnerTakesAndDrains(t *testing.T) {
	p := newPair(t)
	p.a.sees("a", few(t, p.member("b")))
	p.b.sees("b", few(t, p.member("b")))
	p.c.say(t, debit("m1"))
	p.until("it comes", func() bool { return p.b.core.Counters.In == 1 })
	p.b.after(5 * time.Millisecond)
	p.until("it is taken on", func() bool { return p.c.heard() == "+OK\r\n" })
	p.until("and goes", func() bool { return p.b.target.with("ID: m1\r") != nil })
	assert.Zero(t, p.a.core.Counters.In)
	p.c.say(t, debit("m2"))
	p.until("the next comes", func() bool { return p.b.core.Counters.In == 2 })
	p.b.core.Drain()
	p.b.front.Drain()
	p.b.after(5 * time.Millisecond)
	p.until("it is taken on: it came before", func() bool { return p.c.heard() == "+OK\r\n+OK\r\n" })
	p.c.say(t, debit("m3"))
	p.until("what comes later is refused with a wait", func() bool { return strings.HasSuffix(p.c.heard(), "+OK\r\n-BUSY 401\r\n") })
	assert.EqualValues(t, 3, p.b.core.Counters.In)
}

// A courier that ends waits for the answers to what it has forwarded, for as long as a client
// does, and forwards nothing new.
func TestForwardsCrossTheEnd(t *testing.T) {
	f := newForwarder(t, "r1", "r2")
	clients := []*end{f.client(), f.client(), f.client()}
	for i, c := range clients {
		c.say(t, debit(fmt.Sprintf("m%d", i)))
		f.goes(fmt.Sprintf("m%d", i), 0)
	}
	f.core.Drain()
	f.front.Drain()
	f.owners[0].with(command("m0")).say(t, "+OK\r\n")
	f.hears(clients[0], "+OK\r\n")
	f.owners[0].with(command("m1")).say(t, "-MOVED\r\n")
	f.hears(clients[1], "-BUSY 401\r\n")
	assert.Nil(t, f.owners[1].at(0))
	assert.True(t, f.front.Unanswered())
	f.after(400 * time.Millisecond)
	f.until("all have gone", func() bool { return clients[0].p.ended(0) && clients[1].p.ended(0) && clients[2].p.ended(0) })
	assert.False(t, f.front.Unanswered())
	assert.Empty(t, clients[2].heard())
}

// handOver ends a site that has been hushed, and returns what the next process gets.
func (s *site) handOver() (clients []handover.Client) {
	s.t.Helper()
	retired, halted := false, false
	s.engine.Retire(func(map[string]int) { retired = true })
	s.until("nobody is accepted", func() bool { return retired })
	rest := s.front.Hand()
	s.front.Close()
	s.engine.Halt(func() { halted = true })
	s.until("the engine ends", func() bool { return halted })
	return rest()
}

// A handover waits for what has been forwarded. What has not been goes along, and is forwarded by
// the next process; what is still out has no second way.
func TestForwardsInAHandover(t *testing.T) {
	f := newForwarder(t, "r1")
	out, c, lost := f.client(), f.client(), f.client()
	out.say(t, debit("m1"))
	lost.say(t, debit("m2")+"*1\r\n$4\r\nPING\r\n")
	f.goes("m1", 0)
	f.goes("m2", 0)
	f.core.Hush()
	f.front.Hush()
	assert.False(t, f.front.Hushed(), "the handover waits")
	c.say(t, add("m3", "order", 20*time.Second)+debit("m4"))
	f.settle()
	f.goes("m1", 0).say(t, "+OK\r\n")
	f.hears(out, "+OK\r\n")
	assert.False(t, f.front.Hushed())
	clients := f.handOver()
	assert.Nil(t, f.owners[0].with(command("m3")), "nothing new is forwarded")
	f.until("whose message is out is ended", func() bool { return lost.p.ended(0) })
	assert.Empty(t, lost.heard())

	var handed []string
	for _, x := range clients {
		for _, d := range x.Due {
			require.NotNil(t, d.Request)
			handed = append(handed, d.Request.ID)
		}
	}
	assert.Equal(t, []string{"m3", "m4"}, handed)
	next := newSite(t)
	next.front.Router = f.router
	next.front.TakeOver(clients)
	for _, id := range handed {
		next.until(id+" goes", func() bool { return f.owners[0].with(command(id)) != nil })
		f.owners[0].with(command(id)).say(t, "+OK\r\n")
	}
	next.hears(c, "+OK\r\n+OK\r\n")
}

// A message of another courier stays one in a handover: it is not forwarded by the next process.
func TestForwardedIsHandedOver(t *testing.T) {
	s := newSite(t)
	self := few(t, partition.Member{Name: "s", Addr: "s", Region: "r1"})
	s.sees("s", self)
	c := s.client()
	s.core.Hush()
	c.say(t, forwarded("m1"))
	s.until("it is read", func() bool { return s.core.Counters.In == 1 })
	s.front.Hush()
	clients := s.handOver()
	f := newForwarder(t, "r1")
	f.front.TakeOver(clients)
	f.hears(c, "-MOVED\r\n")
	assert.Nil(t, f.owners[0].at(0))
}

// There are so many connections to other couriers and no more: half of them to one, and beyond
// that the clients are told at once. Those that are idle give way to who needs one.
func TestForwardsShareDescriptors(t *testing.T) {
	s, first, second, third := newSiteOf(t, tight), newPeer(t), newPeer(t), newPeer(t)
	s.until("the list is watched", func() bool { return s.discovery.took(0, ask, 1) })
	var members []partition.Member
	for i, p := range []*peer{first, second, third} { // with one partition the others follow in the order of their regions
		members = append(members, partition.Member{Name: fmt.Sprintf("n%d", i), Addr: p.l.Addr().String(), Region: fmt.Sprintf("r%d", i+1)})
	}
	s.sees("f", few(t, members...))
	c := s.client()
	const most = 56 // of 224
	var commands []string
	for i := range most + 1 {
		commands = append(commands, debit(fmt.Sprintf("m%d", i)))
	}
	c.say(t, strings.Join(commands, ""))
	count := func(p *peer) (n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, e := range p.conns {
			n += bytes.Count(e.got, []byte("fwd=1"))
		}
		return n
	}
	s.until("both are full", func() bool { return count(first) == most/2 && count(second) == most/2 })
	d := s.client()
	d.say(t, debit("more"))
	s.hears(d, "-BUSY 201\r\n")
	assert.Equal(t, most, s.engine.Kinds()[platform.ForwardKind])
	assert.Nil(t, third.at(0))
	for _, p := range []*peer{first, second} {
		for i := range most / 2 {
			p.at(i).say(t, "+OK\r\n")
		}
	}
	s.hears(c, strings.Repeat("+OK\r\n", most)+"-BUSY 201\r\n")

	kept := tight.Kept[platform.NoticeKind] + tight.Kept[console.ListenerKind]
	s.calls(tight.MaxConns-kept-s.engine.Open()+most-1, false)
	assert.Equal(t, 1, s.engine.Kinds()[platform.ForwardKind], "the idle ones have given way")
	assert.LessOrEqual(t, s.engine.Open(), tight.MaxConns)
	c.say(t, debit("last"))
	s.until("the last one carries on", func() bool { return first.with(command("last")) != nil || second.with(command("last")) != nil })
}

// Without a router nothing is different: what another courier says is a client's word.
func TestWithoutARouter(t *testing.T) {
	s := newSite(t)
	c := s.client()
	c.say(t, forwarded("m1"))
	s.until("it is read", func() bool { return s.core.Counters.In == 1 })
	s.after(5 * time.Millisecond)
	s.hears(c, "+OK\r\n")
}

// A front that no client reaches hands in all the same.
func TestHandIn(t *testing.T) {
	f := newForwarder(t, "r1")
	var answers []string
	hand := func(id string) {
		require.NoError(t, f.front.HandIn(core.Request{ID: id, Class: "debit", Destination: 7, Left: time.Second, Body: []byte("b")}, func(text []byte) {
			if answers = append(answers, string(text)); text == nil {
				answers[len(answers)-1] = "unknown"
			}
		}))
	}
	hand("m1")
	f.goes("m1", 0).say(t, "+OK\r\n")
	f.until("it is answered", func() bool { return len(answers) == 1 })
	hand("m2")
	f.goes("m2", 0).finish(t)
	f.until("or not", func() bool { return len(answers) == 2 })
	assert.Equal(t, []string{"+OK\r\n", "unknown"}, answers)
	assert.Error(t, f.front.HandIn(core.Request{ID: "m3", Class: "nothing"}, func([]byte) { t.Error("an error is the answer") }))
	f.sees("f", few(t, partition.Member{Name: "f", Addr: "f", Region: "r1"}))
	hand("m4")
	f.after(5 * time.Millisecond)
	assert.Equal(t, "+OK\r\n", answers[len(answers)-1])
	assert.EqualValues(t, 1, f.core.Counters.Taken)
	f.sees("f", few(t, partition.Member{Name: "n0", Addr: f.owners[0].l.Addr().String(), Region: "r1"}))
	hand("m5")
	f.goes("m5", 0)
	f.front.Close()
	assert.Zero(t, f.engine.Kinds()[platform.ForwardKind])
}
