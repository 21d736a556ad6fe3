package front_test

import (
	"fmt"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"snowjunction"
)

// heardWithin is the bound: a change counts as told 6 s after discovery had it and could be
// reached, and half of the grace (1 s) is left for what is on its way.
const heardWithin = 6500 * time.Millisecond

// What an attempt that succeeds may take: its connection and its answer are late.
const (
	lateUp     = 990 * time.Millisecond
	lateAnswer = 1990 * time.Millisecond
)

// shut keeps connections from coming up, as those to a machine that has vanished: nobody says
// no. It returns once that is so.
func (p *peer) shut(t *testing.T) {
	t.Helper()
	require.NoError(t, p.l.(*stdnet.TCPListener).SetDeadline(time.Unix(1, 0)))
	<-p.parked
	p.backlog(t, 0)
	c, err := stdnet.Dial("tcp", p.l.Addr().String()) // the one that the queue has room for
	require.NoError(t, err)
	p.filler = c
}

// open ends that. The next connection is that which took the room.
func (p *peer) open(t *testing.T) {
	t.Helper()
	p.backlog(t, 128)
	require.NoError(t, p.l.(*stdnet.TCPListener).SetDeadline(time.Time{}))
	p.resume <- struct{}{}
	require.NoError(t, p.filler.Close())
}

func (p *peer) backlog(t *testing.T, n int) {
	t.Helper()
	raw, err := p.l.(*stdnet.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) }))
	require.NoError(t, err)
}

// outage is a site whose discovery fails in one way after another.
type outage struct {
	*site
	conn  int       // the number of the connection on which the next ask comes
	since time.Time // the step began that is failing
}

// pass lets the clock go on from one timer to the next, until something has come or the time is
// over.
func (o *outage) pass(limit time.Duration, come func() bool) {
	for end := o.now.Add(limit); ; {
		next, waiting := o.loop.Turn()
		if come() || !o.now.Before(end) {
			return
		}
		if o.now = end; waiting && next.Before(end) {
			o.now = next
		}
	}
}

func (o *outage) open() bool { return o.front.Engine.Open() > 0 }

// asked waits for the pause to end and the next ask to come, on a new connection.
func (o *outage) asked() *end {
	o.t.Helper()
	o.pass(heardWithin, o.open)
	require.True(o.t, o.open(), "discovery is not asked again within %v", heardWithin)
	o.until("the ask comes", func() bool { return o.discovery.took(o.conn, ask, 1) })
	o.since = o.now
	o.conn++
	return o.discovery.at(o.conn - 1)
}

// ended waits until the courier has ended a connection, or heard its end, after n others.
func (o *outage) ended(n int) {
	o.t.Helper()
	o.until("the connection ends", func() bool { return len(o.ends) > n })
}

func broken(o *outage) {
	e, n := o.asked(), len(o.ends)
	require.NoError(o.t, e.SetLinger(0))
	require.NoError(o.t, e.Close())
	o.ended(n)
}

// failures are the ways in which a call to discovery fails.
var failures = map[string]func(o *outage){
	"refused": func(o *outage) {
		n := len(o.ends)
		o.asked().say(o.t, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
		o.ended(n)
	},
	"refused late": func(o *outage) {
		e, n := o.asked(), len(o.ends)
		o.after(lateAnswer)
		e.say(o.t, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
		o.ended(n)
	},
	"not up": func(o *outage) {
		if o.open() { // this one may be up already
			broken(o)
		}
		o.discovery.shut(o.t)
		o.pass(heardWithin, o.open)
		require.True(o.t, o.open(), "discovery is not called again within %v", heardWithin)
		o.since = o.now
		posted := o.posted.Load()
		o.pass(heardWithin, func() bool { return !o.open() })
		require.False(o.t, o.open(), "a connection is waited for longer than %v", heardWithin)
		o.until("dialling is called off", func() bool { return o.posted.Load() > posted })
		o.discovery.open(o.t)
		o.until("connections are accepted", func() bool { return o.discovery.at(o.conn) != nil })
		o.conn++
	},
	"broken": broken,
	"silent": func(o *outage) {
		o.asked()
		o.pass(heardWithin, func() bool { return !o.open() })
		require.False(o.t, o.open(), "an answer is waited for longer than %v", heardWithin)
	},
	"unreadable": func(o *outage) {
		n := len(o.ends)
		o.asked().say(o.t, answer("200 OK", `{"generation":2,"reset":true,"instances":[{]`))
		o.ended(n)
	},
	"without a generation": func(o *outage) {
		n := len(o.ends)
		o.asked().say(o.t, answer("200 OK", `{"reset":true,"instances":[]}`))
		o.ended(n)
	},
	"drips": func(o *outage) {
		e, n := o.asked(), len(o.ends)
		e.say(o.t, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{")
		for len(o.ends) == n {
			o.settle()
			o.until("that is read", func() bool { return o.front.Engine.Open() <= 1 })
			o.pass(500*time.Millisecond, func() bool { return len(o.ends) > n })
			if len(o.ends) == n {
				e.say(o.t, " ")
			}
			require.Less(o.t, o.now.Sub(o.since), heardWithin, "a list that drips is waited for")
		}
	},
}

// heard has discovery answer from now on, late: what became news when the last step began is
// heard in time.
func (o *outage) heard() {
	o.t.Helper()
	reach := o.since
	e, n := o.asked(), len(o.ends)
	o.after(lateAnswer)
	require.Len(o.t, o.ends, n, "a late answer is waited for")
	e.say(o.t, answer("200 OK", fmt.Sprintf(`{"generation":2,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"cell":7,`+
		`"lifecycle":"Terminating","zone":"a","machineType":"k"}]}`, o.target.l.Addr())))
	o.until("the change is heard", func() bool {
		generation, _, _ := o.front.Told()
		return generation == 2
	})
	assert.LessOrEqual(o.t, o.now.Sub(reach)+lateUp, heardWithin)
}

func newOutage(t *testing.T, fleet int, seed uint64) *outage {
	o := &outage{site: newSite(t, func(s *snowjunction.Settings) { s.Fleet, s.Seed = fleet, seed })}
	o.since = o.now
	return o
}

// Whatever failed how often, in a small fleet and a large one: what becomes news just as the last
// of the failing steps begins is heard within 6 s and half of the grace.
func TestHeardAfterFailures(t *testing.T) {
	rows := [][]string{
		{"refused", "silent", "drips"}, {"refused", "drips", "not up", "silent"}, {"drips", "unreadable", "refused", "broken"},
		{"unreadable", "not up", "unreadable", "silent"},
	}
	for name := range failures {
		rows = append(rows, []string{name}, []string{name, name, name, name, name})
	}
	for _, row := range rows {
		for _, fleet := range []int{1, 300} {
			t.Run(fmt.Sprintf("%s, fleet of %d", strings.Join(row, ", "), fleet), func(t *testing.T) {
				for seed := range uint64(3) {
					o := newOutage(t, fleet, seed)
					for _, name := range row {
						failures[name](o)
					}
					o.heard()
				}
			})
		}
	}
}

// A watch that waits, as it should, falls silent with the change.
func TestWatchSilentWithTheChange(t *testing.T) {
	for _, fleet := range []int{1, 300} {
		t.Run(fmt.Sprintf("fleet of %d", fleet), func(t *testing.T) {
			o := newOutage(t, fleet, 1)
			e := o.asked()
			for asks := 2; asks < 5; asks++ {
				e.say(t, answer("200 OK", nothingNew))
				o.until("it is watched", func() bool { return o.discovery.took(0, ask, asks) })
				o.since = o.now
				o.after(2500 * time.Millisecond)
				require.Empty(t, o.ends, "a watch may wait for as long as it has asked to")
			}
			o.pass(heardWithin, func() bool { return len(o.ends) > 0 })
			o.heard()
		})
	}
}

// A new configuration moves discovery in the middle of an outage, and the new one fails too.
func TestHeardAfterMoves(t *testing.T) {
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			o := newOutage(t, 300, 1)
			for range 3 {
				failure(o)
				o.discovery, o.conn = newPeer(t), 0
				o.front.Move(o.discovery.l.Addr().String())
				o.since = o.now
			}
			failure(o)
			failure(o)
			o.heard()
		})
	}
}

// What an answer that never ends has said of an endpoint that drains is heeded when the answer is
// given up, or its connection breaks.
func TestDrainInAnAnswerThatNeverEnds(t *testing.T) {
	givenUp := func(o *outage, _ *end) { o.pass(heardWithin, func() bool { return len(o.ends) > 0 }) }
	for name, row := range map[string]struct {
		lifecycle string
		end       func(o *outage, e *end)
		sent      bool
	}{
		"given up":          {"Terminating", givenUp, false},
		"broken":            {"Terminating", func(o *outage, e *end) { e.finish(o.t); o.ended(0) }, false},
		"of one that stays": {"Ready", givenUp, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOutage(t, 1, 1)
			e := o.asked()
			e.say(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+`{"generation":2,"reset":false,"instances":[{"instanceId":"s-1",`+
				`"hostPort":%q,"cell":7,"lifecycle":%q,"zone":"a","machineType":"k"},`, o.target.l.Addr(), row.lifecycle))
			o.settle()
			row.end(o, e)
			c := o.client()
			c.say(t, add("m1", "debit", time.Second))
			o.until("it is read", func() bool { return o.core.Counters.In == 1 })
			o.after(5 * time.Millisecond)
			o.until("it is taken on, or sent back", func() bool { return c.p.took(0, "+OK", 1) || c.p.took(0, "-BUSY", 1) })
			if row.sent {
				o.until("and goes", func() bool { return o.target.took(0, "m1", 1) })
				return
			}
			o.pass(time.Second, func() bool { return false })
			assert.Zero(t, o.core.Counters.Sent, "nothing goes to it any more")
		})
	}
}

// Lists that cannot be taken are asked for less and less often, however they are spoilt: pauses
// grow from half of the grace to what the bound leaves.
func TestUnreadableListsGrow(t *testing.T) {
	for _, name := range []string{"unreadable", "without a generation"} {
		t.Run(name, func(t *testing.T) {
			o := newOutage(t, 300, 1)
			failures[name](o)
			for _, most := range []time.Duration{500, 1000, 2000, 3500, 3500} {
				failed := o.now
				failures[name](o)
				assert.LessOrEqual(t, o.now.Sub(failed), most*time.Millisecond)
				assert.GreaterOrEqual(t, o.now.Sub(failed), most*time.Millisecond/2)
			}
		})
	}
}
