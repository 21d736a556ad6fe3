package h2pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var threeConnections = Config{Most: 3, Idle: time.Second, Age: time.Minute}

func ready(open, room int) Link { return Link{Up: true, Open: open, Room: room} }

func TestPickAndRetire(t *testing.T) {
	for name, tc := range map[string]struct {
		links []Link
		v     Decision
		at    int
	}{
		"no connections":                                         {nil, Dial, -1},
		"the fullest with a free stream":                         {[]Link{ready(2, 98), ready(7, 93), ready(0, 100)}, Use, 1},
		"a connecting one takes as many as its expected streams": {[]Link{ready(100, 0), {Room: 100, Queued: 3}}, Use, 1},
		"but not more":                                           {[]Link{ready(100, 0), {Room: 3, Queued: 3}}, Dial, -1},
		"closing or too old ones are not used":                   {[]Link{{Up: true, Room: 9, Away: true}, {Up: true, Room: 9, Opened: -time.Hour}}, Dial, -1},
		"at the limit, the one that frees a stream first": {[]Link{{Up: true, Open: 10, Queued: 20}, ready(4, 0), ready(10, 0),
			{Up: true, Room: 50, Away: true}}, Queue, 2},
	} {
		v, at := Pick(threeConnections, 0, tc.links)
		assert.Equal(t, [2]any{tc.v, tc.at}, [2]any{v, at}, name)
	}
	for l, want := range map[Link]RetireReason{
		{Up: true, Open: 1}: Keep, {Up: true, Queued: 1, Away: true}: Keep, {Up: true, Used: -time.Second}: Idle,
		{Up: true, Used: -time.Second + 1}: Keep, {Used: -time.Hour}: Keep, {Up: true, Away: true}: Spent,
		{Up: true, Opened: -time.Minute}: Spent,
	} {
		assert.Equal(t, want, Retire(threeConnections, 0, l), "%+v", l)
	}
}

// With random calls, the pool never exceeds the connection limit and never uses a connection without
// a free stream.
func TestPoolKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Most: rapid.IntRange(0, 5).Draw(t, "most"), Idle: time.Second, Age: 10 * time.Second}
		peer, now := rapid.IntRange(1, 8).Draw(t, "streams"), time.Duration(0)
		var links []Link
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond
			i := rapid.IntRange(0, max(len(links)-1, 0)).Draw(t, "link")
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what < 2: // a call
				v, at := Pick(c, now, links)
				if v == Dial {
					links, at = append(links, Link{Room: peer, Opened: now, Used: now}), len(links)
				}
				l := &links[at]
				assert.True(t, c.acceptsStreams(now, *l) && (v == Queue || l.Room > l.Queued), "%v", v)
				if v == Use && l.Up {
					l.Open, l.Room, l.Used = l.Open+1, l.Room-1, now
				} else {
					l.Queued++
				}
			case len(links) == 0:
			case !links[i].Up: // it becomes ready, and waiting calls use its streams
				l := &links[i]
				l.Up, l.Open, l.Queued = true, min(l.Queued, peer), max(l.Queued-peer, 0)
				l.Room = peer - l.Open
			case links[i].Open > 0: // a stream ends, and a waiting call uses it
				l := &links[i]
				if l.Used = now; l.Queued > 0 {
					l.Queued--
				} else {
					l.Open, l.Room = l.Open-1, l.Room+1
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
			assert.LessOrEqual(t, live, max(c.Most, 1))
		}
	})
}
