package backoff

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// asks is how often couriers ask in a minute, all turned away from the start on, each
// turn taking as long as a refused call does.
func asks(fleet int, took time.Duration) (n int) {
	for i := range fleet {
		b := New(fleet, uint64(i))
		for at := time.Duration(0); at < time.Minute; at += took + b.Refused(0, took) {
			n++
		}
	}
	return n
}

// A large fleet that is turned away asks no more often than a small one does.
func TestFleetAsksNoMoreOften(t *testing.T) {
	small := asks(2, 0)
	for _, fleet := range []int{8, 80, 800} {
		n := asks(fleet, 0)
		assert.LessOrEqual(t, n, max(2*small, fleet*(1+int(time.Minute/(MaxPause/2)))), "fleet %d", fleet)
		assert.GreaterOrEqual(t, n, fleet*int(time.Minute/MaxPause), "fleet %d is still told", fleet)
	}
}

// What is turned away together does not come back together.
func TestPausesSpread(t *testing.T) {
	seen, least, most := map[time.Duration]bool{}, MaxPause, time.Duration(0)
	for i := range 80 {
		d := New(80, uint64(i)).Refused(0, 0)
		seen[d], least, most = true, min(least, d), max(most, d)
	}
	assert.Greater(t, len(seen), 70)
	assert.GreaterOrEqual(t, least, time.Second)
	assert.LessOrEqual(t, most, 2*time.Second)
	assert.Greater(t, most-least, 800*time.Millisecond)
}

func TestPausesGrowAndEnd(t *testing.T) {
	b := New(2, 1).Within(2 * time.Second)
	for i := range 40 {
		most := min(pause<<min(i, 16), MaxPause)
		d := b.Refused(0, 0)
		assert.GreaterOrEqual(t, d, most/2)
		assert.LessOrEqual(t, d, most)
	}
	b.Reset()
	assert.LessOrEqual(t, b.Refused(0, 0), pause)
	for range 40 {
		assert.LessOrEqual(t, b.Disconnected(0), pause, "a broken connection does not add up")
		assert.LessOrEqual(t, b.Unreadable(0), MaxPause)
	}
	assert.GreaterOrEqual(t, b.Unreadable(0), MaxPause/2, "lists that cannot be taken do")
}

// What an answer tells to wait is kept, and spread, while the bound has room for it.
func TestToldWaits(t *testing.T) {
	const grace = time.Second
	room := New(300, 0).Within(grace).Bound() - attempt
	for _, fleet := range []int{1, 300, 3000} {
		for wait, bounds := range map[time.Duration][2]time.Duration{
			time.Second:     {time.Second, room},
			2 * time.Second: {2 * time.Second, room},
			time.Hour:       {room * 3 / 4, room},
		} {
			least, most := time.Hour, time.Duration(0)
			for seed := range uint64(300) {
				d := New(fleet, seed).Within(grace).Refused(wait, 0)
				least, most = min(least, d), max(most, d)
			}
			assert.GreaterOrEqual(t, least, bounds[0], "fleet %d, %v", fleet, wait)
			assert.LessOrEqual(t, most, bounds[1], "fleet %d, %v", fleet, wait)
			assert.Greater(t, most-least, 400*time.Millisecond, "not all at once")
		}
	}
}

// In a large fleet each kind of pause is that of the fleet in the end, and the first ones after
// what is no refusal are within half of the grace.
func TestPausesGrowInALargeFleet(t *testing.T) {
	const grace = time.Second
	for name, again := range map[string]func(*Backoff) time.Duration{
		"broken connections":         func(b *Backoff) time.Duration { return b.Disconnected(0) },
		"lists that cannot be taken": func(b *Backoff) time.Duration { return b.Unreadable(0) },
	} {
		b := New(300, 7).Within(grace)
		room := b.Bound() - attempt
		for range 2 {
			most := grace / 2
			for range 8 {
				d := again(b)
				assert.GreaterOrEqual(t, d, most/2, name)
				assert.LessOrEqual(t, d, most, name)
				most = min(2*most, room)
			}
			assert.Equal(t, room, most, name)
			b.Reset()
		}
	}
	b := New(300, 7).Within(grace)
	for range 8 {
		assert.LessOrEqual(t, b.TimedOut(ConnectTimeout), grace/2, "silence is a pause of its own")
		b.Refused(0, 0)
		d := b.TimedOut(ConnectTimeout)
		assert.GreaterOrEqual(t, d, time.Second, "but who is turned away is not asked sooner for it")
		assert.LessOrEqual(t, d, b.Bound()-attempt-ConnectTimeout)
		b.Reset()
	}
}

// outage plays one courier's calls, whatever they meet, until the directory has news and can be
// reached, and returns how long after that they are heard. A step that begins then or later
// succeeds, in its time; one that began before may still fail as late as it can.
func outage(t *rapid.T, b *Backoff) time.Duration {
	upTo := func(name string, most time.Duration) time.Duration {
		return rapid.OneOf(rapid.Just(time.Duration(0)), rapid.Just(most), rapid.Map(rapid.Int64Range(0, int64(most)),
			func(n int64) time.Duration { return time.Duration(n) })).Draw(t, name)
	}
	steps := rapid.IntRange(0, 20).Draw(t, "steps before")
	now, reach := time.Duration(0), time.Hour
	begin := func() time.Duration {
		if steps--; steps < 0 && reach == time.Hour { // most often just as a step has begun
			reach = now + 1 + upTo("into the step", b.AskTimeout())
		}
		return now
	}
	for connected := false; ; {
		begun := begin()
		if !connected {
			up := begun >= reach || rapid.Bool().Draw(t, "up")
			switch took := upTo("connect", ConnectTimeout); {
			case up:
				now += took
			case rapid.Bool().Draw(t, "refused at the port"):
				now += took
				now += b.Disconnected(now - begun)
				continue
			default:
				now += ConnectTimeout
				now += b.TimedOut(now - begun)
				continue
			}
			connected, begun = true, begin()
		}
		if begun >= reach {
			return now + upTo("answer", AnswerTimeout) - reach
		}
		took := upTo("whole", b.AskTimeout())
		switch rapid.SampledFrom([]string{"served", "error", "broken", "unreadable", "silent", "drips"}).Draw(t, "meets") {
		case "served":
			now = min(now+took, reach)
			b.Reset()
			continue
		case "error":
			now += took
			now += b.Refused(upTo("wait", time.Hour), took)
		case "broken":
			now += took
			now += b.Disconnected(took)
		case "unreadable":
			now += took
			now += b.Unreadable(took)
		case "silent":
			took = min(AnswerTimeout, b.AskTimeout())
			now += took
			now += b.TimedOut(took)
		case "drips":
			now += b.AskTimeout()
			now += b.TimedOut(b.AskTimeout())
		}
		connected = false
	}
}

// Whatever failed before, in whatever order: news are heard within 6 s and half of the grace.
func TestHeardInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(1, 3000)).Draw(t, "fleet")
		grace := time.Duration(rapid.IntRange(0, 3000).Draw(t, "grace")) * time.Millisecond
		b := New(fleet, rapid.Uint64().Draw(t, "seed")).Within(grace)
		if late := outage(t, b); late > 6*time.Second+grace/2 {
			t.Fatalf("heard %v after the directory could be reached", late)
		}
	})
}

// 300 couriers that meet the same outage from the same moment on are no flood: after some
// seconds an outage that answers hears 240 in any second at most, and one that does not as many
// as there are couriers.
func TestOutageOfALargeFleet(t *testing.T) {
	const fleet, answered = 300, 240
	for name, kind := range map[string]struct {
		again func(*Backoff) time.Duration
		most  int
	}{
		"refused":       {func(b *Backoff) time.Duration { return b.Refused(0, 0) }, answered},
		"told to wait":  {func(b *Backoff) time.Duration { return b.Refused(30*time.Second, 0) }, answered},
		"broken":        {func(b *Backoff) time.Duration { return b.Disconnected(0) }, answered},
		"unreadable":    {func(b *Backoff) time.Duration { return b.Unreadable(0) }, answered},
		"silent":        {func(b *Backoff) time.Duration { return b.AskTimeout() + b.TimedOut(b.AskTimeout()) }, fleet},
		"not connected": {func(b *Backoff) time.Duration { return ConnectTimeout + b.TimedOut(ConnectTimeout) }, fleet},
		"late errors":   {func(b *Backoff) time.Duration { return AnswerTimeout + b.Refused(0, AnswerTimeout) }, answered},
	} {
		t.Run(name, func(t *testing.T) {
			var asks []time.Duration
			for i := range fleet {
				b := New(fleet, uint64(i)).Within(time.Second)
				for at := b.Initial(); at < 2*time.Minute; at += kind.again(b) {
					asks = append(asks, at)
				}
			}
			slices.Sort(asks)
			top := 0
			for i, at := range asks {
				end, _ := slices.BinarySearch(asks, at+time.Second)
				if at >= 10*time.Second {
					top = max(top, end-i)
				}
			}
			t.Logf("%d calls at most in a second, %d in the mean", top, len(asks)/120)
			assert.LessOrEqual(t, top, kind.most)
		})
	}
}

// A connection that broke is made anew within half of the grace, whatever the fleet; only
// where that fails again and again are the pauses those of a large fleet.
func TestLostConnection(t *testing.T) {
	for within, half := range map[time.Duration]time.Duration{0: firstMost, 400 * time.Millisecond: 200 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond} {
		b := New(300, 7).Within(within)
		for range 3 {
			assert.LessOrEqual(t, max(b.Initial(), b.Disconnected(0)), half)
			assert.GreaterOrEqual(t, b.Disconnected(0), half/2)
			for range 10 {
				b.Disconnected(0)
			}
			assert.GreaterOrEqual(t, b.Disconnected(0), MaxPause/2)
			b.Reset()
		}
	}
}

// Settings without a fleet size, or with one that cannot be, are those of a lone courier.
func TestFleetOfNone(t *testing.T) {
	for _, fleet := range []int{-3, 0, 1, 2} {
		assert.LessOrEqual(t, New(fleet, 1).Disconnected(0), pause)
	}
	assert.LessOrEqual(t, New(1<<40, 1).Disconnected(0), MaxPause)
	assert.Positive(t, New(1<<40, 1).Disconnected(0))
}

// Couriers that start together ask one after another; a few ask at once.
func TestFirstAsksSpread(t *testing.T) {
	early, late := 0, 0
	for i := range 80 {
		d := New(80, uint64(i)).Initial()
		assert.LessOrEqual(t, d, firstMost)
		if d < firstMost/4 {
			early++
		} else if d > firstMost*3/4 {
			late++
		}
	}
	assert.InDelta(t, 20, early, 12)
	assert.InDelta(t, 20, late, 12)
	for fleet := range few + 1 {
		assert.Zero(t, New(fleet, 1).Initial())
	}
	assert.Less(t, New(1<<40, 1).Initial(), firstMost)
}

// An answer that is short or comes slowly has the time of the bound; one that is long goes on
// while it comes fast, and may pause no longer than any.
func TestRestOfAnswer(t *testing.T) {
	b := New(300, 1).Within(time.Second)
	for _, size := range []int{0, 1, shortList} {
		assert.Equal(t, b.AskTimeout()-3*time.Second, b.RestOfAnswer(3*time.Second, size))
	}
	assert.Equal(t, AnswerTimeout, b.RestOfAnswer(0, 1))
	assert.Equal(t, AnswerTimeout, b.RestOfAnswer(10*time.Second, 200<<20), "20 MB a second")
	assert.Negative(t, b.RestOfAnswer(15*time.Second, 10<<20), "under 1 MB a second")
}
