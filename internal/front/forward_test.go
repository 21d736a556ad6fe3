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

// singlePartition returns a membership with one partition, which each member of a region owns a
// copy of.
func singlePartition(t *testing.T, members ...partition.Member) *partition.Membership {
	t.Helper()
	m, err := partition.New(1, max(1, min(len(members), partition.CopiesMax)), members)
	require.NoError(t, err)
	return m
}

// setMembership gives a courier its view of the membership. It holds the list of the partitions
// that it owns.
func (s *testCourier) setMembership(self string, m *partition.Membership) *partition.Router {
	r := partition.NewRouter(partition.Options{Self: self, Region: "r1", MaxDeadline: 20 * time.Second}, m, -time.Hour)
	r.MarkListReceived(r.AwaitingList())
	s.front.Router = r
	return r
}

// forwardingCourier is a courier that owns nothing, with fake owners in the order in which it tries
// them.
type forwardingCourier struct {
	*testCourier
	router *partition.Router
	owners []*fakeServer
	names  []string
}

// newForwardingCourier has owners in the named regions; those marked as dead refuse connections.
// The courier itself is in r1.
func newForwardingCourier(t *testing.T, regions ...string) *forwardingCourier {
	f := &forwardingCourier{testCourier: newTestCourier(t)}
	by, members := map[string]*fakeServer{}, []partition.Member(nil)
	for i, region := range regions {
		p, name := newFakeServer(t), fmt.Sprintf("n%d", i)
		region, gone := strings.CutSuffix(region, " dead")
		addr := p.listener.Addr().String()
		if gone {
			addr = refusingAddr(t)
		}
		by[name] = p
		members = append(members, partition.Member{Name: name, Addr: addr, Region: region})
	}
	m := singlePartition(t, members...)
	for _, o := range m.Owners(0, "r1") {
		f.owners, f.names = append(f.owners, by[o.Name]), append(f.names, o.Name)
	}
	f.router = f.setMembership("f", m)
	return f
}

// waitForwarded waits until a message arrives at an owner, and returns its connection.
func (f *forwardingCourier) waitForwarded(id string, owner int) *testConn {
	f.t.Helper()
	f.until(id+" arrives at its owner", func() bool { return f.owners[owner].with(commandStart(id)) != nil })
	return f.owners[owner].with(commandStart(id))
}

// expectAnswer waits until a client has received this text, and nothing else.
func (s *testCourier) expectAnswer(c *testConn, text string) {
	s.t.Helper()
	s.until("the client gets an answer", func() bool { return len(c.answers()) >= len(text) })
	require.Equal(s.t, text, c.answers())
}

// answers returns what was received so far, without the answer to the first PING.
func (e *testConn) answers() string {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	return strings.TrimPrefix(string(e.received), "+PONG\r\n")
}

// commandStart returns the start of a message's command after its key.
func commandStart(id string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(id), id) }

// refusingAddr returns an address that refuses connections and is reserved meanwhile.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

func debitCommand(id string) string { return addCommand(id, "debit", 20*time.Second) }

func outAddCommand(args ...string) string {
	all := [][]byte{[]byte("OUT.ADD")}
	for _, a := range args {
		all = append(all, []byte(a))
	}
	return string(resp.Command(all...))
}

// forwardedCommand is the command of a message forwarded by another courier.
func forwardedCommand(id string) string {
	return outAddCommand("5", id, "c=debit,d=20000,dest=7,fwd=1", "body")
}

// A message must arrive at its owner unchanged, except for the time that has passed, and the
// owner's answer must reach the client. The connection is reused for the next message.
func TestForwardToOwner(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	c := f.client()
	for i, text := range []string{"+OK\r\n", "-BUSY\r\n", "-BUSY 40\r\n", "-ERR failed\r\n", "+OK\r\n"} {
		id := fmt.Sprintf("m%d", i)
		c.send(t, outAddCommand("0002af", id, "zone=x,c=debit,d=900.5,k=k1,dest=7,r=1,t=,again=0,x=", "bo\r\ndy "))
		e := f.waitForwarded(id, 0)
		f.until("the body arrives", func() bool { return f.owners[0].hasReceived(0, "$7\r\nbo\r\ndy \r\n", i+1) })
		assert.Contains(t, string(e.received), outAddCommand("2af", id, "c=debit,d=900.5,dest=7,k=k1,again=1,fwd=1", "bo\r\ndy "))
		e.send(t, text)
		f.until("the client gets an answer", func() bool { return strings.HasSuffix(c.answers(), text) && strings.Count(c.answers(), "\r\n") == i+1 })
	}
	assert.Nil(t, f.owners[0].at(1), "all messages use one connection")
	assert.Zero(t, f.core.Counters.In, "the forwarder accepts no message itself")
	assert.EqualValues(t, 5, f.core.Counters.Forwarded)

	c.send(t, addCommand("m9", "nothing", time.Second)+addCommand("m9", "debit", -time.Second))
	f.until("invalid messages are answered by the forwarder", func() bool { return strings.Count(c.answers(), "-ERR invalid message") == 2 })
	assert.EqualValues(t, 2, f.core.Counters.Malformed)
	assert.Nil(t, f.owners[0].with(commandStart("m9")))
}

// Guards against forwarding a message with its original time left. Time spent before it is sent
// must be subtracted, and a message without time left must not be sent.
func TestForwardReducesTimeLeft(t *testing.T) {
	f := newForwardingCourier(t, "r1", "r2")
	f.owners[0].blockConnects(t)
	c, d := f.client(), f.client()
	c.send(t, addCommand("m1", "debit", time.Second))
	d.send(t, addCommand("m2", "debit", 200*time.Millisecond))
	f.until("both are being dialled", func() bool { return f.engine.OpenByKind()[platform.ForwardKind] == 2 })
	f.after(201 * time.Millisecond)
	e := f.waitForwarded("m1", 1)
	f.until("the fields arrive", func() bool { return f.owners[1].with(",d=799,") == e })
	f.expectAnswer(d, "-ERR failed\r\n")
	assert.Nil(t, f.owners[1].with(commandStart("m2")))
	f.owners[0].unblockConnects(t)
}

// If the command was certainly not sent, or the courier does not own the destination, the next
// owner must be tried. An owner that cannot be reached is skipped for some time.
func TestForwardToNextOwner(t *testing.T) {
	for name, row := range map[string]struct {
		first   string
		before  func(f *forwardingCourier)
		during  func(f *forwardingCourier)
		skipped bool // the first owner is skipped next time
	}{
		"connection refused":       {first: "r1 dead", skipped: true},
		"connect timeout":          {first: "r1", before: func(f *forwardingCourier) { f.owners[0].blockConnects(f.t) }, during: func(f *forwardingCourier) { f.after(201 * time.Millisecond) }, skipped: true},
		"not the owner":            {first: "r1", during: func(f *forwardingCourier) { f.waitForwarded("m1", 0).send(f.t, "-MOVED\r\n") }},
		"not the owner, with text": {first: "r1", during: func(f *forwardingCourier) { f.waitForwarded("m1", 0).send(f.t, "-MOVED to n7\r\n") }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardingCourier(t, row.first, "r2")
			if row.before != nil {
				row.before(f)
			}
			c := f.client()
			c.send(t, debitCommand("m1"))
			if row.during != nil {
				f.until("the message is being forwarded", func() bool { return f.engine.OpenByKind()[platform.ForwardKind] > 0 })
				row.during(f)
			}
			f.waitForwarded("m1", 1).send(t, "+OK\r\n")
			f.expectAnswer(c, "+OK\r\n")
			assert.EqualValues(t, 1, f.core.Counters.ForwardFailed)
			c.send(t, debitCommand("m2"))
			if row.skipped {
				f.waitForwarded("m2", 1)
				assert.EqualValues(t, 1, f.core.Counters.ForwardFailed, "the first owner is not tried")
			} else {
				f.waitForwarded("m2", 0)
			}
		})
	}
}

// Guards against duplicates after a forwarded command was sent: only its answer tells the outcome.
// Without one, the client's connection must close unanswered, with all other requests of the
// client, and no other owner may be tried.
func TestForwardWithoutAnswer(t *testing.T) {
	says := func(text string) func(f *forwardingCourier, e *testConn) {
		return func(f *forwardingCourier, e *testConn) { e.send(f.t, text) }
	}
	for name, row := range map[string]struct {
		happens func(f *forwardingCourier, e *testConn)
		code    net.Code
	}{
		"reset":   {func(f *forwardingCourier, e *testConn) { require.NoError(f.t, e.SetLinger(0)); e.Close() }, net.PeerReset},
		"close":   {func(f *forwardingCourier, e *testConn) { e.halfClose(f.t) }, net.PeerClosed},
		"timeout": {func(f *forwardingCourier, e *testConn) { f.after(400 * time.Millisecond) }, net.CallTimeout},
		"part of an answer": {func(f *forwardingCourier, e *testConn) {
			e.send(f.t, "+OK\r")
			f.settle()
			f.after(400 * time.Millisecond)
		}, net.CallTimeout},
		"another answer":    {says("+PONG\r\n"), net.Protocol},
		"another error":     {says("-LOADING not ready\r\n"), net.Protocol},
		"OKAY":              {says("+OKAY\r\n"), net.Protocol},
		"a bulk string":     {says("$3\r\n+OK\r\n"), net.Protocol},
		"other protocol":    {says("HTTP/1.1 200 OK\r\n"), net.Protocol},
		"incomplete answer": {func(f *forwardingCourier, e *testConn) { e.send(f.t, "-BUSY"); e.halfClose(f.t) }, net.PeerClosed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardingCourier(t, "r1", "r2")
			other, c, d := f.client(), f.client(), f.client()
			other.send(t, debitCommand("m0"))
			f.waitForwarded("m0", 0).send(t, "+OK\r\n")
			f.expectAnswer(other, "+OK\r\n") // its connection becomes idle
			d.send(t, debitCommand("m1"))    // and is used again
			f.waitForwarded("m1", 0)
			f.after(time.Millisecond)
			c.send(t, debitCommand("m2")+debitCommand("m3")+addCommand("m4", "order", time.Second)+addCommand("m5", "order", time.Second)+"*1\r\n$4\r\nPING\r\n")
			for _, id := range []string{"m2", "m3", "m4"} {
				f.waitForwarded(id, 0)
			}
			f.waitForwarded("m1", 0).send(t, "+OK\r\n")
			f.expectAnswer(d, "+OK\r\n")
			row.happens(f, f.waitForwarded("m2", 0))
			f.until("the client's connection is closed", func() bool { return c.server.connClosed(0) })
			assert.Empty(t, c.answers())
			assert.Contains(t, f.closeCodes["client"], string(net.OutcomeUnknown))
			assert.Contains(t, f.closeCodes[platform.ForwardKind], string(row.code))
			assert.Contains(t, f.closeCodes[platform.ForwardKind], string(net.Dropped), "idle connections to the courier are closed")
			assert.Zero(t, f.engine.OpenByKind()[platform.ForwardKind], "the client's other commands are abandoned")
			assert.True(t, f.front.OutgoingIdle())
			assert.Nil(t, f.owners[0].with(commandStart("m5")), "queued commands are abandoned")
			assert.Nil(t, f.owners[1].at(0), "no other owner is tried")
			assert.EqualValues(t, 1, f.core.Counters.ForwardUnknown)
			d.send(t, debitCommand("m6"))
			if row.code == net.CallTimeout {
				f.waitForwarded("m6", 1) // an owner that did not answer is skipped for some time
				d.send(t, addCommand("m7", "order", time.Second))
				f.until("the key is held because the owner may have m4", func() bool {
					return strings.Contains(d.answers(), "-BUSY 501") || f.front.HasUnanswered() && f.core.Counters.Unrouted == 1
				})
			} else {
				f.waitForwarded("m6", 0)
			}
		})
	}
}

// Guards against taking a late or duplicate answer for the answer to the next command.
func TestUnsolicitedAnswerIsIgnored(t *testing.T) {
	for name, event := range map[string]func(e *testConn){
		"a second answer":       func(e *testConn) { e.send(t, "+OK\r\n") },
		"part of an answer":     func(e *testConn) { e.send(t, "+O") },
		"a close":               func(e *testConn) { e.halfClose(t) },
		"an answer and a close": func(e *testConn) { e.send(t, "-BUSY 7\r\n"); e.halfClose(t) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardingCourier(t, "r1")
			c := f.client()
			c.send(t, debitCommand("m1"))
			f.waitForwarded("m1", 0).send(t, "+OK\r\n")
			f.expectAnswer(c, "+OK\r\n")
			e := f.owners[0].at(0)
			// The loop is stopped here, so it handles the command before the data received on that
			// connection.
			var answers []string
			event(e)
			require.NoError(t, f.front.Submit(core.Request{ID: "m2", Class: "debit", Destination: 7, TimeLeft: time.Second}, func(text []byte) {
				answers = append(answers, string(text))
			}))
			f.waitForwarded("m2", 0)
			assert.False(t, f.owners[0].hasReceived(0, commandStart("m2"), 1), "the second message uses another connection")
			assert.Empty(t, answers, "the second message has no answer yet")
			f.owners[0].at(1).send(t, "-BUSY 9\r\n")
			f.until("the second message gets its own answer", func() bool { return len(answers) == 1 })
			assert.Equal(t, "-BUSY 9\r\n", answers[0])
		})
	}
	f := newForwardingCourier(t, "r1")
	c := f.client()
	c.send(t, debitCommand("m1"))
	f.waitForwarded("m1", 0).send(t, "+OK\r\n+OK\r\n")
	f.expectAnswer(c, "+OK\r\n")
	c.send(t, debitCommand("m2"))
	f.waitForwarded("m2", 0)
	assert.NotNil(t, f.owners[0].at(1), "a connection with two answers is not reused")
}

// Guards against reusing a connection that the other courier is about to close for being idle.
func TestIdleForwardConnectionCloses(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	c := f.client()
	c.send(t, debitCommand("m1"))
	f.waitForwarded("m1", 0).send(t, "+OK\r\n")
	f.expectAnswer(c, "+OK\r\n")
	f.after(4900 * time.Millisecond)
	c.send(t, debitCommand("m2"))
	f.waitForwarded("m2", 0).send(t, "+OK\r\n")
	f.expectAnswer(c, "+OK\r\n+OK\r\n")
	assert.Nil(t, f.owners[0].at(1))
	c.send(t, debitCommand("m3")+debitCommand("m4"))
	f.waitForwarded("m3", 0).send(t, "+OK\r\n")
	f.waitForwarded("m4", 0)
	f.until("the first connection is idle", func() bool { return strings.Count(c.answers(), "+OK") == 3 })
	f.after(time.Millisecond)
	f.waitForwarded("m4", 0).send(t, "+OK\r\n")
	f.until("the second connection is idle", func() bool { return strings.Count(c.answers(), "+OK") == 4 })
	f.after(5*time.Second - time.Millisecond)
	f.until("the first connection is closed", func() bool { return f.owners[0].connClosed(0) })
	assert.Equal(t, 1, f.engine.OpenByKind()[platform.ForwardKind], "the longest idle connection is closed first")
	f.after(time.Millisecond)
	f.until("the second connection is closed", func() bool { return f.owners[0].connClosed(1) })
	assert.Zero(t, f.engine.OpenByKind()[platform.ForwardKind])
}

// If a client disconnects, its command's connection must be closed, and the key's next message must
// go to the courier that may have the last one.
func TestClientDisconnectsDuringForward(t *testing.T) {
	f := newForwardingCourier(t, "r1", "r2")
	c, d := f.client(), f.client()
	c.send(t, addCommand("m1", "order", 20*time.Second)+addCommand("m2", "order", 20*time.Second))
	f.waitForwarded("m1", 0)
	d.send(t, addCommand("m3", "order", 20*time.Second))
	f.settle()
	c.Close()
	f.until("the owner's connection is closed", func() bool { return f.owners[0].connClosed(0) })
	f.waitForwarded("m3", 0)
	assert.Nil(t, f.owners[0].with(commandStart("m2")), "a queued message is not sent")
	assert.Equal(t, []string{string(net.ClientGone)}, f.closeCodes[platform.ForwardKind])
	f.waitForwarded("m3", 0).send(t, "-MOVED\r\n")
	f.until("the message is rejected", func() bool { return strings.HasPrefix(d.answers(), "-BUSY ") })
	assert.Nil(t, f.owners[1].at(0), "the first owner may have m1")
}

// Guards against messages of a key overtaking each other on two connections: each one must wait for
// the answer to the one before. Other messages do not wait.
func TestForwardKeepsKeyOrder(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	c := f.client()
	c.send(t, addCommand("m1", "order", 20*time.Second)+addCommand("m2", "order", 20*time.Second)+addCommand("m3", "order", 20*time.Second)+debitCommand("m4"))
	f.waitForwarded("m1", 0)
	f.waitForwarded("m4", 0).send(t, "-BUSY 4\r\n")
	f.settle()
	assert.Nil(t, f.owners[0].with(commandStart("m2")))
	f.waitForwarded("m1", 0).send(t, "+OK\r\n")
	f.waitForwarded("m2", 0).send(t, "-BUSY 2\r\n")
	f.waitForwarded("m3", 0).send(t, "+OK\r\n")
	f.expectAnswer(c, "+OK\r\n-BUSY 2\r\n+OK\r\n-BUSY 4\r\n")
}

// Guards against an unbounded queue: no more messages may wait for others of their key than may be
// in flight.
func TestKeyQueueIsBounded(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	c := f.client()
	const maxInFlight = 16 // of 64
	var all string
	for i := range maxInFlight + 3 {
		all += addCommand(fmt.Sprintf("m%d", i), "order", 20*time.Second)
	}
	c.send(t, all)
	f.waitForwarded("m0", 0)
	f.until("the last messages are rejected", func() bool { return f.core.Counters.Unrouted == 2 })
	f.after(400 * time.Millisecond)
	f.until("the outcome of the first message is unknown", func() bool { return c.server.connClosed(0) })
	assert.Empty(t, c.answers())

	d, e := f.client(), f.client()
	f.after(500 * time.Millisecond)
	d.send(t, addCommand("n0", "order", 20*time.Second))
	f.waitForwarded("n0", 0)
	f.after(200 * time.Millisecond)
	e.send(t, addCommand("n1", "order", 20*time.Second))
	f.settle()
	f.after(200 * time.Millisecond)
	f.until("the first message has no answer", func() bool { return d.server.connClosed(0) })
	f.expectAnswer(e, "-BUSY 501\r\n")
	assert.Nil(t, f.owners[0].with(commandStart("n1")))
}

// If a region is unreachable, its messages must go to the owner in the other region, and back when
// it can be reached again. Messages of a key must go where the last one went until its time is
// over.
func TestRegionUnreachable(t *testing.T) {
	f := newForwardingCourier(t, "r2", "r1")
	c := f.client()
	accepted := 0
	accept := func(id string, owner int) {
		t.Helper()
		f.waitForwarded(id, owner).send(t, "+OK\r\n")
		accepted++
		f.until("the message is answered", func() bool { return strings.Count(c.answers(), "+OK\r\n") == accepted })
	}
	sendAccepted := func(id, class string, owner int) {
		t.Helper()
		c.send(t, addCommand(id, class, 3*time.Second))
		accept(id, owner)
	}
	sendAccepted("m1", "debit", 0)
	f.after(5 * time.Second)                          // its idle connection is closed
	sendToUnreachable := func(id string, owner int) { // nothing answers at that owner's address
		t.Helper()
		f.owners[owner].blockConnects(t)
		posted := f.posted.Load()
		c.send(t, addCommand(id, "order", 3*time.Second))
		f.until("the owner is dialled", func() bool { return f.engine.OpenByKind()[platform.ForwardKind] == 1 })
		f.after(201 * time.Millisecond)
		f.until("the dial is cancelled", func() bool { return f.posted.Load() > posted+1 })
	}
	sendToUnreachable("m2", 0)
	accept("m2", 1)
	sendAccepted("m3", "debit", 1)
	f.owners[0].unblockConnects(t)
	f.after(501 * time.Millisecond)
	sendAccepted("m4", "debit", 0)
	sendAccepted("m5", "order", 1)
	f.after(2500 * time.Millisecond)
	sendAccepted("m6", "order", 1) // m5 may still be open
	f.after(3001 * time.Millisecond)
	sendAccepted("m7", "order", 0)
	f.after(5001 * time.Millisecond)
	f.until("the idle connections are closed", func() bool { return f.engine.OpenByKind()[platform.ForwardKind] == 0 })
}

// Guards against losing the order of a key: its messages must be rejected while the courier that
// has the last one cannot be reached, even if the first owner is back.
func TestKeyStaysWithLastOwner(t *testing.T) {
	f := newForwardingCourier(t, "r1", "r2")
	c := f.client()
	f.owners[0].blockConnects(t)
	sendToUnreachable := func(id string) {
		t.Helper()
		c.send(t, addCommand(id, "order", 3*time.Second))
		f.until("the owner is dialled", func() bool { return f.engine.OpenByKind()[platform.ForwardKind] == 1 })
		f.after(201 * time.Millisecond)
	}
	sendToUnreachable("m1")
	f.waitForwarded("m1", 1).send(t, "+OK\r\n")
	f.expectAnswer(c, "+OK\r\n")
	f.owners[1].with(commandStart("m1")).halfClose(t)
	f.until("the connection is closed", func() bool { return f.engine.OpenByKind()[platform.ForwardKind] == 0 })
	f.owners[1].blockConnects(t)
	f.owners[0].unblockConnects(t)
	f.after(501 * time.Millisecond)
	sendToUnreachable("m2")
	f.expectAnswer(c, "+OK\r\n-BUSY 501\r\n")
	c.send(t, debitCommand("m3"))
	f.waitForwarded("m3", 0)
	f.owners[1].unblockConnects(t)
}

// After an unknown outcome, the owner may have the message, so the key must stay with that owner.
func TestKeyAfterUnknownOutcome(t *testing.T) {
	f := newForwardingCourier(t, "r1", "r2")
	c, d := f.client(), f.client()
	c.send(t, addCommand("m1", "order", 3*time.Second))
	f.waitForwarded("m1", 0).halfClose(t)
	f.until("the outcome is unknown", func() bool { return c.server.connClosed(0) })
	d.send(t, addCommand("m2", "order", 3*time.Second))
	f.waitForwarded("m2", 0).send(t, "-MOVED\r\n")
	f.expectAnswer(d, "-BUSY 501\r\n")
	assert.Nil(t, f.owners[1].at(0))
}

// Guards against losing the order of a key when its partition moves: messages must stay with this
// courier while it may have the last one or is just accepting it.
func TestKeyStaysWithThisCourier(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	others := f.router.Membership()
	router := f.setMembership("f", singlePartition(t, partition.Member{Name: "f", Addr: "f", Region: "r1"}))
	c := f.client()
	c.send(t, debitCommand("m0"))
	f.expectAnswer(c, "+OK\r\n") // the next tick is still to come
	c.send(t, addCommand("m1", "order", 3*time.Second))
	f.until("the message is being accepted", func() bool { return f.core.Counters.In == 2 })
	router.SetMembership(others, f.now.Sub(f.now))
	router.Expire(time.Hour, func(int) bool { return true }) // stays as long as it has messages
	c.send(t, addCommand("m2", "order", 3*time.Second)+debitCommand("m3"))
	f.waitForwarded("m3", 0).send(t, "-BUSY 3\r\n")
	f.after(5 * time.Millisecond)
	f.expectAnswer(c, "+OK\r\n+OK\r\n+OK\r\n-BUSY 3\r\n")
	c.send(t, addCommand("m4", "order", 3*time.Second))
	f.until("the message is read by this courier", func() bool { return f.core.Counters.In == 4 || f.owners[0].with(commandStart("m4")) != nil })
	assert.EqualValues(t, 4, f.core.Counters.In)
}

// An owner that has answered must be trusted again: its next timeout counts as the first one.
func TestOwnerAnswersAgain(t *testing.T) {
	f := newForwardingCourier(t, "r1", "r2")
	sendUnanswered := func(id string) {
		c := f.client()
		c.send(t, debitCommand(id))
		f.waitForwarded(id, 0)
		f.after(400 * time.Millisecond)
		f.until("the outcome is unknown", func() bool { return c.server.connClosed(0) })
		f.after(501 * time.Millisecond)
	}
	sendUnanswered("m1")
	c := f.client()
	c.send(t, debitCommand("m2"))
	f.waitForwarded("m2", 0).send(t, "+OK\r\n")
	f.expectAnswer(c, "+OK\r\n")
	sendUnanswered("m3")
	c.send(t, debitCommand("m4"))
	f.until("the message is sent", func() bool { return f.owners[0].with(commandStart("m4")) != nil || f.owners[1].at(0) != nil })
	assert.Nil(t, f.owners[1].at(0))
}

// Guards against blaming an owner for this courier's own connection limit.
func TestForwardAtConnectionLimit(t *testing.T) {
	s, owner := newTestCourierWith(t, net.Config{MaxConns: 8}), newFakeServer(t)
	s.until("the list is watched", func() bool { return s.discovery.hasReceived(0, discoveryPath, 1) })
	s.setMembership("f", singlePartition(t, partition.Member{Name: "n0", Addr: owner.listener.Addr().String(), Region: "r1"}))
	c := s.client()
	done := s.makeCall("answered")
	s.makeCalls(8-s.engine.OpenCount(), false)
	c.send(t, debitCommand("m1"))
	s.expectAnswer(c, "-BUSY 501\r\n")
	s.answerCall("answered", done) // until then the client of settle would not be accepted either
	s.settle()
	c.send(t, debitCommand("m2"))
	s.until("the message is sent at once", func() bool { return owner.with(commandStart("m2")) != nil })
}

// Answers must be sent in the order of the requests, whichever courier accepts them.
func TestAnswersInRequestOrder(t *testing.T) {
	s, owner := newTestCourier(t), newFakeServer(t)
	m, err := partition.New(64, 1, []partition.Member{
		{Name: "self", Addr: s.front.Addr(), Region: "r1"}, {Name: "n1", Addr: owner.listener.Addr().String(), Region: "r1"},
	})
	require.NoError(t, err)
	destinationOf := func(name string) uint32 {
		for d := uint32(0); ; d++ {
			if m.Owners(partition.Of(d, 64), "r1")[0].Name == name {
				return d
			}
		}
	}
	s.setMembership("self", m)
	c := s.client()
	commandTo := func(id string, dest uint32) string {
		return outAddCommand("5", id, fmt.Sprintf("c=debit,d=900,dest=%d", dest), "body")
	}
	c.send(t, commandTo("m1", destinationOf("n1"))+commandTo("m2", destinationOf("self"))+"*1\r\n$4\r\nPING\r\n"+commandTo("m3", destinationOf("n1"))+commandTo("m4", destinationOf("self")))
	waitForwarded := func(id string) *testConn {
		s.until(id+" arrives", func() bool { return owner.with(commandStart(id)) != nil })
		return owner.with(commandStart(id))
	}
	waitForwarded("m3").send(t, "-BUSY 3\r\n")
	waitForwarded("m1")
	s.after(5 * time.Millisecond)
	s.settle()
	require.Empty(t, c.answers(), "no answer before the first one")
	waitForwarded("m1").send(t, "-ERR one\r\n")
	s.until("all messages are answered", func() bool { return strings.Count(c.answers(), "\r\n") == 5 })
	assert.Equal(t, "-ERR one\r\n-BUSY 1501\r\n+PONG\r\n-BUSY 3\r\n-BUSY 1501\r\n", c.answers(), "messages for unlisted destinations get a retry-after delay")
	assert.EqualValues(t, 2, s.core.Counters.In)
}

// courierPair is two couriers and a client of the first.
type courierPair struct {
	a, b   *testCourier
	client *testConn
}

func newCourierPair(t *testing.T) *courierPair {
	p := &courierPair{a: newTestCourier(t), b: newTestCourier(t)}
	p.client = p.a.client()
	return p
}

func (p *courierPair) member(name string) partition.Member {
	s := p.a
	if name == "b" {
		s = p.b
	}
	return partition.Member{Name: name, Addr: s.front.Addr(), Region: "r1"}
}

// until runs both loops until a condition holds.
func (p *courierPair) until(what string, done func() bool) {
	p.a.t.Helper()
	p.a.until(what, func() bool {
		p.b.loop.Turn()
		return done()
	})
}

// Guards against a forwarding loop: each courier regards the other one as the owner. The message
// must be rejected and not be forwarded again.
func TestForwardLoopIsRejected(t *testing.T) {
	p := newCourierPair(t)
	p.a.setMembership("a", singlePartition(t, p.member("b")))
	p.b.setMembership("b", singlePartition(t, p.member("a")))
	p.client.send(t, debitCommand("m1"))
	p.until("the message is rejected", func() bool { return strings.HasPrefix(p.client.answers(), "-BUSY 5") })
	assert.EqualValues(t, 1, p.b.core.Counters.Moved)
	assert.Zero(t, p.a.core.Counters.In+p.b.core.Counters.In+p.b.core.Counters.ForwardFailed)
}

// Both couriers regard themselves as the owner: the one that receives a message first must keep it.
func TestTwoOwners(t *testing.T) {
	p := newCourierPair(t)
	p.a.setMembership("a", singlePartition(t, p.member("a")))
	p.b.setMembership("b", singlePartition(t, p.member("b")))
	d := p.b.client()
	p.client.send(t, debitCommand("m1"))
	d.send(t, debitCommand("m2"))
	p.until("both messages are read", func() bool { return p.a.core.Counters.In+p.b.core.Counters.In == 2 })
	p.a.after(5 * time.Millisecond)
	p.b.after(5 * time.Millisecond)
	p.until("each message is accepted once", func() bool { return p.client.answers() == "+OK\r\n" && d.answers() == "+OK\r\n" })
	p.until("each message is sent once", func() bool { return p.a.target.with("ID: m1\r") != nil && p.b.target.with("ID: m2\r") != nil })
	assert.Nil(t, p.a.target.with("ID: m2\r"))
	assert.EqualValues(t, 1, p.a.core.Counters.Accepted)
	assert.EqualValues(t, 1, p.b.core.Counters.Accepted)
	assert.Zero(t, p.a.engine.OpenByKind()[platform.ForwardKind]+p.b.engine.OpenByKind()[platform.ForwardKind])
}

// Three couriers have random views of the membership and of the lists they hold. Each message with
// a positive answer must be accepted by exactly one of them, and a rejected one by none.
func TestInconsistentMemberships(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var sites []*testCourier
		var clients []*testConn
		var members []partition.Member
		for i := range 3 {
			s := newTestCourier(t, func(s *snowjunction.Settings) { s.MaxHeld = 100 })
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
			r := partition.NewRouter(partition.Options{Self: members[i].Name, Region: "r1", MaxDeadline: 20 * time.Second}, singlePartition(t, seen...), -time.Hour*time.Duration(rng.IntN(2)))
			if rng.IntN(4) > 0 {
				r.MarkListReceived(r.AwaitingList())
			}
			s.front.Router = r
		}
		count := func(of func(*testCourier) uint64) (n uint64) {
			for _, s := range sites {
				n += of(s)
			}
			return n
		}
		countAnswers := func(text string) (n uint64) {
			for _, c := range clients {
				n += uint64(strings.Count(c.answers(), text))
			}
			return n
		}
		until := func(what string, done func() bool) {
			t.Helper()
			sites[0].until(what, func() bool {
				sites[1].loop.Turn()
				sites[2].loop.Turn()
				return done()
			})
		}
		const rounds = 8
		for round := range uint64(rounds) {
			for i, c := range clients {
				c.send(t, addCommand(fmt.Sprintf("m%d-%d", round, i), []string{"debit", "order"}[rng.IntN(2)], 20*time.Second))
			}
			all := 3 * (round + 1)
			until("all messages are read where they are accepted", func() bool {
				return count(func(s *testCourier) uint64 { return s.core.Counters.In })+countAnswers("-BUSY ") == all
			})
			for _, s := range sites {
				s.after(5 * time.Millisecond)
			}
			until("all messages are answered", func() bool { return countAnswers("+OK\r\n")+countAnswers("-BUSY ") == all })
		}
		assert.Equal(t, countAnswers("+OK\r\n"), count(func(s *testCourier) uint64 { return s.core.Counters.Accepted }), "seed %d", seed)
		assert.Equal(t, countAnswers("-BUSY "), count(func(s *testCourier) uint64 { return s.core.Counters.Unrouted }), "seed %d", seed)
		assert.Zero(t, count(func(s *testCourier) uint64 { return s.core.Counters.ForwardUnknown }), "seed %d", seed)
	}
}

// Without an owner, or with owners that have not loaded the list yet, a message must be rejected
// with a retry-after delay.
func TestNoOwner(t *testing.T) {
	p := newCourierPair(t)
	p.a.setMembership("a", singlePartition(t))
	p.client.send(t, debitCommand("m1"))
	p.until("the message is rejected", func() bool { return strings.HasPrefix(p.client.answers(), "-BUSY 5") })

	both := singlePartition(t, p.member("a"), p.member("b"))
	p.a.front.Router = partition.NewRouter(partition.Options{Self: "a"}, both, 0)
	p.b.front.Router = partition.NewRouter(partition.Options{Self: "b"}, both, 0)
	p.client.send(t, debitCommand("m2"))
	p.until("the message is rejected", func() bool { return strings.Count(p.client.answers(), "-BUSY 5") == 2 })
	assert.EqualValues(t, 1, p.b.core.Counters.Moved)
	assert.EqualValues(t, 2, p.a.core.Counters.Unrouted)
	assert.Zero(t, p.a.core.Counters.In+p.b.core.Counters.In)
}

// A forwarded message must be accepted by its owner alone, which reports the final result. The
// owner's rejections, and its drain, are passed on.
func TestOwnerAcceptsAndDrains(t *testing.T) {
	p := newCourierPair(t)
	p.a.setMembership("a", singlePartition(t, p.member("b")))
	p.b.setMembership("b", singlePartition(t, p.member("b")))
	p.client.send(t, debitCommand("m1"))
	p.until("the message arrives", func() bool { return p.b.core.Counters.In == 1 })
	p.b.after(5 * time.Millisecond)
	p.until("the message is accepted", func() bool { return p.client.answers() == "+OK\r\n" })
	p.until("the message is sent", func() bool { return p.b.target.with("ID: m1\r") != nil })
	assert.Zero(t, p.a.core.Counters.In)
	p.client.send(t, debitCommand("m2"))
	p.until("the next message arrives", func() bool { return p.b.core.Counters.In == 2 })
	p.b.core.Drain()
	p.b.front.Drain()
	p.b.after(5 * time.Millisecond)
	p.until("the message is accepted because it arrived before the drain", func() bool { return p.client.answers() == "+OK\r\n+OK\r\n" })
	p.client.send(t, debitCommand("m3"))
	p.until("a later message is rejected with a retry-after delay", func() bool { return strings.HasSuffix(p.client.answers(), "+OK\r\n-BUSY 401\r\n") })
	assert.EqualValues(t, 3, p.b.core.Counters.In)
}

// A draining courier must wait for the answers to forwarded messages as long as a client does, and
// must forward nothing new.
func TestForwardDuringDrain(t *testing.T) {
	f := newForwardingCourier(t, "r1", "r2")
	clients := []*testConn{f.client(), f.client(), f.client()}
	for i, c := range clients {
		c.send(t, debitCommand(fmt.Sprintf("m%d", i)))
		f.waitForwarded(fmt.Sprintf("m%d", i), 0)
	}
	f.core.Drain()
	f.front.Drain()
	f.owners[0].with(commandStart("m0")).send(t, "+OK\r\n")
	f.expectAnswer(clients[0], "+OK\r\n")
	f.owners[0].with(commandStart("m1")).send(t, "-MOVED\r\n")
	f.expectAnswer(clients[1], "-BUSY 401\r\n")
	assert.Nil(t, f.owners[1].at(0))
	assert.True(t, f.front.HasUnanswered())
	f.after(400 * time.Millisecond)
	f.until("all connections are closed", func() bool {
		return clients[0].server.connClosed(0) && clients[1].server.connClosed(0) && clients[2].server.connClosed(0)
	})
	assert.False(t, f.front.HasUnanswered())
	assert.Empty(t, clients[2].answers())
}

// handOver stops a paused courier, and returns what the next process receives.
func (s *testCourier) handOver() (clients []handover.Client) {
	s.t.Helper()
	retired, halted := false, false
	s.engine.StopAccepting(func(map[string]int) { retired = true })
	s.until("the listener is closed", func() bool { return retired })
	rest := s.front.DetachClients()
	s.front.Close()
	s.engine.Halt(func() { halted = true })
	s.until("the engine has stopped", func() bool { return halted })
	return rest()
}

// A handover must wait for forwarded messages. Those not forwarded yet must be handed over and
// forwarded by the next process; those still in flight must not be sent a second time.
func TestForwardDuringHandover(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	out, c, lost := f.client(), f.client(), f.client()
	out.send(t, debitCommand("m1"))
	lost.send(t, debitCommand("m2")+"*1\r\n$4\r\nPING\r\n")
	f.waitForwarded("m1", 0)
	f.waitForwarded("m2", 0)
	f.core.Suspend()
	f.front.PauseOutgoing()
	assert.False(t, f.front.OutgoingIdle(), "the handover waits for the answer")
	c.send(t, addCommand("m3", "order", 20*time.Second)+debitCommand("m4"))
	f.settle()
	f.waitForwarded("m1", 0).send(t, "+OK\r\n")
	f.expectAnswer(out, "+OK\r\n")
	assert.False(t, f.front.OutgoingIdle())
	clients := f.handOver()
	assert.Nil(t, f.owners[0].with(commandStart("m3")), "nothing new is forwarded")
	f.until("a client with a message in flight is closed", func() bool { return lost.server.connClosed(0) })
	assert.Empty(t, lost.answers())

	var handed []string
	for _, x := range clients {
		for _, d := range x.Replies {
			require.NotNil(t, d.Request)
			handed = append(handed, d.Request.ID)
		}
	}
	assert.Equal(t, []string{"m3", "m4"}, handed)
	next := newTestCourier(t)
	next.front.Router = f.router
	next.front.AdoptClients(clients)
	for _, id := range handed {
		next.until(id+" is forwarded", func() bool { return f.owners[0].with(commandStart(id)) != nil })
		f.owners[0].with(commandStart(id)).send(t, "+OK\r\n")
	}
	next.expectAnswer(c, "+OK\r\n+OK\r\n")
}

// Guards against forwarding a message twice: one that came from another courier must keep that mark
// in a handover, so that the next process does not forward it.
func TestForwardedMessageInHandover(t *testing.T) {
	s := newTestCourier(t)
	self := singlePartition(t, partition.Member{Name: "s", Addr: "s", Region: "r1"})
	s.setMembership("s", self)
	c := s.client()
	s.core.Suspend()
	c.send(t, forwardedCommand("m1"))
	s.until("the message is read", func() bool { return s.core.Counters.In == 1 })
	s.front.PauseOutgoing()
	clients := s.handOver()
	f := newForwardingCourier(t, "r1")
	f.front.AdoptClients(clients)
	f.expectAnswer(c, "-MOVED\r\n")
	assert.Nil(t, f.owners[0].at(0))
}

// Connections to other couriers are limited, with at most half of them to a single one. Beyond
// that, clients must be answered at once. Idle connections must make room for others.
func TestForwardConnectionLimits(t *testing.T) {
	s, first, second, third := newTestCourierWith(t, tightLimits), newFakeServer(t), newFakeServer(t), newFakeServer(t)
	s.until("the list is watched", func() bool { return s.discovery.hasReceived(0, discoveryPath, 1) })
	var members []partition.Member
	for i, p := range []*fakeServer{first, second, third} { // with one partition, the other owners follow in the order of their regions
		members = append(members, partition.Member{Name: fmt.Sprintf("n%d", i), Addr: p.listener.Addr().String(), Region: fmt.Sprintf("r%d", i+1)})
	}
	s.setMembership("f", singlePartition(t, members...))
	c := s.client()
	const maxConns = 56 // of 224
	var commands []string
	for i := range maxConns + 1 {
		commands = append(commands, debitCommand(fmt.Sprintf("m%d", i)))
	}
	c.send(t, strings.Join(commands, ""))
	count := func(p *fakeServer) (n int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, e := range p.conns {
			n += bytes.Count(e.received, []byte("fwd=1"))
		}
		return n
	}
	s.until("both owners have their maximum", func() bool { return count(first) == maxConns/2 && count(second) == maxConns/2 })
	d := s.client()
	d.send(t, debitCommand("more"))
	s.expectAnswer(d, "-BUSY 201\r\n")
	assert.Equal(t, maxConns, s.engine.OpenByKind()[platform.ForwardKind])
	assert.Nil(t, third.at(0))
	for _, p := range []*fakeServer{first, second} {
		for i := range maxConns / 2 {
			p.at(i).send(t, "+OK\r\n")
		}
	}
	s.expectAnswer(c, strings.Repeat("+OK\r\n", maxConns)+"-BUSY 201\r\n")

	reserved := tightLimits.Reserved[platform.NoticeKind] + tightLimits.Reserved[console.ListenerKind]
	s.makeCalls(tightLimits.MaxConns-reserved-s.engine.OpenCount()+maxConns-1, false)
	assert.Equal(t, 1, s.engine.OpenByKind()[platform.ForwardKind], "the idle connections were closed")
	assert.LessOrEqual(t, s.engine.OpenCount(), tightLimits.MaxConns)
	c.send(t, debitCommand("last"))
	s.until("the last connection is reused", func() bool {
		return first.with(commandStart("last")) != nil || second.with(commandStart("last")) != nil
	})
}

// Without a router, a message from another courier must be handled like a client's.
func TestForwardedWithoutRouter(t *testing.T) {
	s := newTestCourier(t)
	c := s.client()
	c.send(t, forwardedCommand("m1"))
	s.until("the message is read", func() bool { return s.core.Counters.In == 1 })
	s.after(5 * time.Millisecond)
	s.expectAnswer(c, "+OK\r\n")
}

// A front without a listener must still accept messages from within the process.
func TestHandIn(t *testing.T) {
	f := newForwardingCourier(t, "r1")
	var answers []string
	submit := func(id string) {
		require.NoError(t, f.front.Submit(core.Request{ID: id, Class: "debit", Destination: 7, TimeLeft: time.Second, Body: []byte("b")}, func(text []byte) {
			if answers = append(answers, string(text)); text == nil {
				answers[len(answers)-1] = "unknown"
			}
		}))
	}
	submit("m1")
	f.waitForwarded("m1", 0).send(t, "+OK\r\n")
	f.until("the message is answered", func() bool { return len(answers) == 1 })
	submit("m2")
	f.waitForwarded("m2", 0).halfClose(t)
	f.until("the message has no answer", func() bool { return len(answers) == 2 })
	assert.Equal(t, []string{"+OK\r\n", "unknown"}, answers)
	assert.Error(t, f.front.Submit(core.Request{ID: "m3", Class: "nothing"}, func([]byte) { t.Error("answer called in spite of an error") }))
	f.setMembership("f", singlePartition(t, partition.Member{Name: "f", Addr: "f", Region: "r1"}))
	submit("m4")
	f.after(5 * time.Millisecond)
	assert.Equal(t, "+OK\r\n", answers[len(answers)-1])
	assert.EqualValues(t, 1, f.core.Counters.Accepted)
	f.setMembership("f", singlePartition(t, partition.Member{Name: "n0", Addr: f.owners[0].listener.Addr().String(), Region: "r1"}))
	submit("m5")
	f.waitForwarded("m5", 0)
	f.front.Close()
	assert.Zero(t, f.engine.OpenByKind()[platform.ForwardKind])
}
