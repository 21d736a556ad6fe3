package front_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/front/console"
	"snowjunction/internal/front/platform"
	"snowjunction/internal/net"
	"snowjunction/internal/store"
)

// tight are the connections of a courier with 256 descriptors, as the daemon divides them.
var tight = net.Config{MaxConns: 224, Kept: map[string]int{platform.WatchKind: 1, platform.NoticeKind: 1, console.ListenerKind: 2}}

// calls makes calls to so many endpoints and has them answered, or leaves them out.
func (s *site) calls(n int, answered bool) {
	s.t.Helper()
	for i := range n {
		id, done := fmt.Sprintf("x%d", i), false
		target := s.front.Target(core.Entry{Name: id, Addr: s.target.l.Addr().String()})
		target.Call(&store.Message{ID: id}, core.Shape{}, 10*time.Second, always, func(r core.Result) { done = true })
		s.until("a call comes", func() bool { return s.target.with("X-Request-ID: "+id+"\r") != nil })
		if answered {
			s.target.with("X-Request-ID: "+id+"\r").say(s.t, answer("200 OK", ""))
			s.until("and is answered", func() bool { return done })
		}
	}
}

// Clients that are there for nothing, and connections to endpoints, use up all descriptors while
// discovery is down. What the courier has to hear and tell gets its own all the same, and so does
// a client with a message.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const ping, wrong = "*1\r\n$4\r\nPING\r\n", "*1\r\n$4\r\nPONG\r\n"
	for name, crowd := range map[string]struct {
		says, hears string        // each client
		every       time.Duration // from one to the next; 0: they come faster than time passes
		out         bool          // the calls that use up the rest get no answer; else their connections rest
	}{
		"that rest":                     {says: ping, hears: "+PONG", every: 700 * time.Microsecond},
		"that rest, calls out":          {says: ping, hears: "+PONG", every: 700 * time.Microsecond, out: true},
		"that rest, faster":             {says: ping, hears: "+PONG"},
		"that say nothing":              {},
		"that say nothing, calls out":   {out: true},
		"that send one byte":            {says: "*"},
		"that send one byte, calls out": {says: "*", out: true},
		"that begin after an error":     {says: wrong + "*", hears: "-ERR", every: 700 * time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSiteOf(t, tight)
			second, err := console.Start(console.Config{Loop: s.loop, Engine: s.engine, Listen: "127.0.0.1:0", Ready: s.front.Ready})
			require.NoError(t, err)
			s.until("the list is watched", func() bool { return s.discovery.took(0, ask, 1) })
			early := s.connect(s.front.Addr(), add("early", "debit", 20*time.Second))
			s.until("a request is read, and not answered yet", func() bool { return s.core.Counters.In == 1 })

			s.discovery.turnAway(true)
			s.discovery.at(0).Close()
			var clients []*end
			for range 300 {
				c := s.connect(s.front.Addr(), crowd.says)
				if clients = append(clients, c); crowd.hears != "" {
					s.until("it is answered", func() bool { return c.p.took(0, crowd.hears, 1) })
					s.after(crowd.every)
				}
			}
			s.until("all have been let in, and some have gone", func() bool {
				n := s.engine.Kinds()[platform.ListenerKind] - 1
				for _, c := range clients {
					if c.p.ended(0) {
						n++
					}
				}
				return n >= len(clients)-1 // the early one may be among those that rest and have gone
			})
			if crowd.every > 0 {
				s.after(100 * time.Millisecond) // or they were answered just now
			}
			s.until("discovery is lost", func() bool { return s.engine.Kinds()[platform.WatchKind] == 0 })
			room := tight.MaxConns - s.engine.Open()
			s.calls(room+6, !crowd.out)
			assert.LessOrEqual(t, s.engine.Open(), tight.MaxConns)

			for range 2 {
				s.connect(second.Addr(), "tele")
			}
			q := s.connect(second.Addr(), "readyz\n")
			s.until("staff is answered", func() bool { return q.p.took(0, "done\n", 1) })
			s.front.Ended(&store.Message{ID: "m0", State: store.Failed})
			s.until("a notice is turned away", func() bool { return s.engine.Kinds()[platform.NoticeKind] == 0 })

			s.discovery.turnAway(false)
			s.after(50 * time.Millisecond) // the longest pause of a courier alone
			s.until("discovery is asked anew", func() bool { return s.discovery.with(ask) != s.discovery.at(0) })
			s.discovery.with(ask).say(t, answer("200 OK", `{"generation":2,"reset":false,"instances":[]}`))
			s.until("and heard", func() bool {
				generation, _, _ := s.front.Told()
				return generation == 2
			})
			s.until("the notice goes", func() bool { return s.discovery.with(`{"id":"m0","state":"failed"}`) != nil })
			s.discovery.with(`{"id":"m0"`).say(t, "HTTP/1.1 204 No Content\r\n\r\n")
			s.until("and is told", s.front.Quiet)

			late := s.connect(s.front.Addr(), add("late", "debit", 20*time.Second))
			s.until("a client with a message is read", func() bool { return s.core.Counters.In == 2 })
			s.after(5 * time.Millisecond)
			s.until("it is taken on", func() bool { return late.p.took(0, "+OK\r\n", 1) })
			s.until("and what was read first, too", func() bool { return early.p.took(0, "+OK\r\n", 1) })
			s.until("both go", func() bool {
				return s.target.with("X-Request-ID: early\r") != nil && s.target.with("X-Request-ID: late\r") != nil
			})
			assert.LessOrEqual(t, s.engine.Open(), tight.MaxConns)
		})
	}
}

// Connections to endpoints that rest make room for clients; and where every connection is in use,
// by requests without an answer and calls that are out, watch, notices and staff get theirs.
func TestAllInUse(t *testing.T) {
	s := newSiteOf(t, tight)
	var waiting []func(error)
	second, err := console.Start(console.Config{
		Loop: s.loop, Engine: s.engine, Listen: "127.0.0.1:0", Ready: s.front.Ready,
		Exclude: func(_ string, _ bool, done func(error)) { waiting = append(waiting, done) },
	})
	require.NoError(t, err)
	s.until("the list is watched", func() bool { return s.discovery.took(0, ask, 1) })
	s.discovery.turnAway(true)
	s.discovery.at(0).Close()
	s.until("discovery is lost", func() bool { return s.engine.Kinds()[platform.WatchKind] == 0 })

	s.calls(tight.MaxConns, true)
	const most = 156 // clients, of 224 connections
	var clients []*end
	for i := range most {
		clients = append(clients, s.connect(s.front.Addr(), add(fmt.Sprintf("m%d", i), "debit", 20*time.Second)))
	}
	s.until("all are read", func() bool { return s.core.Counters.In == most })
	s.calls(tight.MaxConns-4-most, false)
	moot := false
	s.front.Target(core.Entry{Name: "more", Addr: s.target.l.Addr().String()}).Call(
		&store.Message{ID: "more"}, core.Shape{}, 10*time.Second, always, func(r core.Result) { moot = r.Outcome == snowjunction.Moot })
	s.until("one more has no room, and has not left", func() bool { return moot })

	staff := []*end{s.connect(second.Addr(), "exclude s-1\n"), s.connect(second.Addr(), "exclude s-2\n")}
	s.until("staff is heard", func() bool { return len(waiting) == 2 })
	more := s.connect(second.Addr(), "readyz\n")
	s.until("who waits for an answer is not ended for another", func() bool { return more.p.ended(0) })
	for _, done := range waiting {
		done(nil)
	}
	for _, q := range staff {
		s.until("and is answered", func() bool { return q.p.took(0, "done\n", 1) })
	}

	s.discovery.turnAway(false)
	s.front.Ended(&store.Message{ID: "m-1", State: store.Failed})
	s.until("a notice goes", func() bool { return s.discovery.with(`{"id":"m-1","state":"failed"}`) != nil })
	s.after(50 * time.Millisecond)
	s.until("discovery is asked anew", func() bool { return s.discovery.with(ask) != s.discovery.at(0) })
	for _, c := range clients {
		s.until("and every client is answered", func() bool { return c.p.took(0, "+OK\r\n", 1) || c.p.took(0, "-BUSY", 1) })
	}
	assert.LessOrEqual(t, s.engine.Open(), tight.MaxConns)
}
