package h2pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var threeConnections = Config{MaxConnections: 3, IdleTimeout: time.Second, MaxAge: time.Minute}

func ready(open, room int) Connection {
	return Connection{Ready: true, OpenStreams: open, FreeStreams: room}
}

func TestPickAndRetire(t *testing.T) {
	for name, tc := range map[string]struct {
		links []Connection
		v     Decision
		at    int
	}{
		"no connections":                                         {nil, Dial, -1},
		"the fullest with a free stream":                         {[]Connection{ready(2, 98), ready(7, 93), ready(0, 100)}, Use, 1},
		"a connecting one takes as many as its expected streams": {[]Connection{ready(100, 0), {FreeStreams: 100, QueuedCalls: 3}}, Use, 1},
		"but not more":                                           {[]Connection{ready(100, 0), {FreeStreams: 3, QueuedCalls: 3}}, Dial, -1},
		"closing or too old ones are not used":                   {[]Connection{{Ready: true, FreeStreams: 9, Closing: true}, {Ready: true, FreeStreams: 9, DialedAt: -time.Hour}}, Dial, -1},
		"at the limit, the one that frees a stream first": {[]Connection{{Ready: true, OpenStreams: 10, QueuedCalls: 20}, ready(4, 0), ready(10, 0),
			{Ready: true, FreeStreams: 50, Closing: true}}, Queue, 2},
	} {
		v, at := Pick(threeConnections, 0, tc.links)
		assert.Equal(t, [2]any{tc.v, tc.at}, [2]any{v, at}, name)
	}
	for l, want := range map[Connection]RetireReason{
		{Ready: true, OpenStreams: 1}: Keep, {Ready: true, QueuedCalls: 1, Closing: true}: Keep, {Ready: true, LastUsed: -time.Second}: Idle,
		{Ready: true, LastUsed: -time.Second + 1}: Keep, {LastUsed: -time.Hour}: Keep, {Ready: true, Closing: true}: Exhausted,
		{Ready: true, DialedAt: -time.Minute}: Exhausted,
	} {
		assert.Equal(t, want, Retire(threeConnections, 0, l), "%+v", l)
	}
}

// With random calls, the pool never exceeds the connection limit and never uses a connection without
// a free stream.
func TestPoolKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{MaxConnections: rapid.IntRange(0, 5).Draw(t, "most"), IdleTimeout: time.Second, MaxAge: 10 * time.Second}
		peer, now := rapid.IntRange(1, 8).Draw(t, "streams"), time.Duration(0)
		var links []Connection
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond
			i := rapid.IntRange(0, max(len(links)-1, 0)).Draw(t, "link")
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what < 2: // a call
				v, at := Pick(c, now, links)
				if v == Dial {
					links, at = append(links, Connection{FreeStreams: peer, DialedAt: now, LastUsed: now}), len(links)
				}
				l := &links[at]
				assert.True(t, c.acceptsStreams(now, *l) && (v == Queue || l.FreeStreams > l.QueuedCalls), "%v", v)
				if v == Use && l.Ready {
					l.OpenStreams, l.FreeStreams, l.LastUsed = l.OpenStreams+1, l.FreeStreams-1, now
				} else {
					l.QueuedCalls++
				}
			case len(links) == 0:
			case !links[i].Ready: // it becomes ready, and waiting calls use its streams
				l := &links[i]
				l.Ready, l.OpenStreams, l.QueuedCalls = true, min(l.QueuedCalls, peer), max(l.QueuedCalls-peer, 0)
				l.FreeStreams = peer - l.OpenStreams
			case links[i].OpenStreams > 0: // a stream ends, and a waiting call uses it
				l := &links[i]
				if l.LastUsed = now; l.QueuedCalls > 0 {
					l.QueuedCalls--
				} else {
					l.OpenStreams, l.FreeStreams = l.OpenStreams-1, l.FreeStreams+1
				}
			}
			kept, live := links[:0], 0
			for _, l := range links {
				if Retire(c, now, l) == Keep {
					kept = append(kept, l)
					if c.acceptsStreams(now, l) {
						live++
					}
				}
			}
			links = kept
			assert.LessOrEqual(t, live, max(c.MaxConnections, 1))
		}
	})
}
