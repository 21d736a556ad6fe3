package backoff

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// requests returns how many requests the couriers of a fleet send in a minute if all are rejected
// from the start, each after the given time.
func requests(fleet int, took time.Duration) (n int) {
	for i := range fleet {
		b := New(fleet, uint64(i))
		for at := time.Duration(0); at < time.Minute; at += took + b.Rejected(0, took) {
			n++
		}
	}
	return n
}

// A large fleet whose requests are rejected sends them no more often than a small one.
func TestLargeFleetRequestRate(t *testing.T) {
	small := requests(2, 0)
	for _, fleet := range []int{8, 80, 800} {
		n := requests(fleet, 0)
		assert.LessOrEqual(t, n, max(2*small, fleet*(1+int(time.Minute/(MaxPause/2)))), "fleet %d", fleet)
		assert.GreaterOrEqual(t, n, fleet*int(time.Minute/MaxPause), "fleet %d still sends requests", fleet)
	}
}

// Couriers that are rejected together do not retry together.
func TestPausesSpread(t *testing.T) {
	distinct, least, most := map[time.Duration]bool{}, MaxPause, time.Duration(0)
	for i := range 80 {
		d := New(80, uint64(i)).Rejected(0, 0)
		distinct[d], least, most = true, min(least, d), max(most, d)
	}
	assert.Greater(t, len(distinct), 70)
	assert.GreaterOrEqual(t, least, time.Second)
	assert.LessOrEqual(t, most, 2*time.Second)
	assert.Greater(t, most-least, 800*time.Millisecond)
}

func TestPausesGrowAndReset(t *testing.T) {
	b := New(2, 1).WithGrace(2 * time.Second)
	for i := range 40 {
		most := min(firstPause<<min(i, 16), MaxPause)
		d := b.Rejected(0, 0)
		assert.GreaterOrEqual(t, d, most/2)
		assert.LessOrEqual(t, d, most)
	}
	b.Reset()
	assert.LessOrEqual(t, b.Rejected(0, 0), firstPause)
	for range 40 {
		assert.LessOrEqual(t, b.Disconnected(0), firstPause, "broken connections of a small fleet do not lengthen the pause")
		assert.LessOrEqual(t, b.Unreadable(0), MaxPause)
	}
	assert.GreaterOrEqual(t, b.Unreadable(0), MaxPause/2, "unreadable lists lengthen the pause")
}

// A retry-after delay is kept and spread as far as the bound leaves room for it.
func TestRetryAfterDelay(t *testing.T) {
	const grace = time.Second
	room := New(300, 0).WithGrace(grace).Bound() - attemptTimeout
	for _, fleet := range []int{1, 300, 3000} {
		for wait, bounds := range map[time.Duration][2]time.Duration{
			time.Second:     {time.Second, room},
			2 * time.Second: {2 * time.Second, room},
			time.Hour:       {room * 3 / 4, room},
		} {
			least, most := time.Hour, time.Duration(0)
			for seed := range uint64(300) {
				d := New(fleet, seed).WithGrace(grace).Rejected(wait, 0)
				least, most = min(least, d), max(most, d)
			}
			assert.GreaterOrEqual(t, least, bounds[0], "fleet %d, %v", fleet, wait)
			assert.LessOrEqual(t, most, bounds[1], "fleet %d, %v", fleet, wait)
			assert.Greater(t, most-least, 400*time.Millisecond, "the pauses are spread")
		}
	}
}

// In a large fleet each kind of pause grows to that of the fleet, and the first pauses without a
// rejection stay within half of the grace.
func TestPausesGrowInALargeFleet(t *testing.T) {
	const grace = time.Second
	for name, next := range map[string]func(*Backoff) time.Duration{
		"broken connections":         func(b *Backoff) time.Duration { return b.Disconnected(0) },
		"lists that cannot be taken": func(b *Backoff) time.Duration { return b.Unreadable(0) },
	} {
		b := New(300, 7).WithGrace(grace)
		room := b.Bound() - attemptTimeout
		for range 2 {
			most := grace / 2
			for range 8 {
				d := next(b)
				assert.GreaterOrEqual(t, d, most/2, name)
				assert.LessOrEqual(t, d, most, name)
				most = min(2*most, room)
			}
			assert.Equal(t, room, most, name)
			b.Reset()
		}
	}
	b := New(300, 7).WithGrace(grace)
	for range 8 {
		assert.LessOrEqual(t, b.TimedOut(ConnectTimeout), grace/2, "the timeout itself is a pause")
		b.Rejected(0, 0)
		d := b.TimedOut(ConnectTimeout)
		assert.GreaterOrEqual(t, d, time.Second, "after a rejection a timeout does not shorten the pause")
		assert.LessOrEqual(t, d, b.Bound()-attemptTimeout-ConnectTimeout)
		b.Reset()
	}
}

// outage simulates one courier's steps, with any failures, until the directory has a change and is
// reachable, and returns how long after that the change arrives. A step that begins then or later
// succeeds within its timeout; a step that began before may still fail at the last moment.
func outage(t *rapid.T, b *Backoff) time.Duration {
	upTo := func(name string, most time.Duration) time.Duration {
		return rapid.OneOf(rapid.Just(time.Duration(0)), rapid.Just(most), rapid.Map(rapid.Int64Range(0, int64(most)),
			func(n int64) time.Duration { return time.Duration(n) })).Draw(t, name)
	}
	steps := rapid.IntRange(0, 20).Draw(t, "steps before")
	now, reachable := time.Duration(0), time.Hour
	begin := func() time.Duration {
		if steps--; steps < 0 && reachable == time.Hour { // usually just after a step has begun
			reachable = now + 1 + upTo("into the step", b.AskTimeout())
		}
		return now
	}
	for connected := false; ; {
		begun := begin()
		if !connected {
			up := begun >= reachable || rapid.Bool().Draw(t, "up")
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
		if begun >= reachable {
			return now + upTo("answer", AnswerTimeout) - reachable
		}
		took := upTo("whole", b.AskTimeout())
		switch rapid.SampledFrom([]string{"served", "error", "broken", "unreadable", "silent", "drips"}).Draw(t, "meets") {
		case "served":
			now = min(now+took, reachable)
			b.Reset()
			continue
		case "error":
			now += took
			now += b.Rejected(upTo("wait", time.Hour), took)
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

// Whatever failed before, in whatever order, changes arrive within 6 s plus half of the grace.
func TestChangesArriveInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.OneOf(rapid.IntRange(1, 8), rapid.IntRange(1, 3000)).Draw(t, "fleet")
		grace := time.Duration(rapid.IntRange(0, 3000).Draw(t, "grace")) * time.Millisecond
		b := New(fleet, rapid.Uint64().Draw(t, "seed")).WithGrace(grace)
		if late := outage(t, b); late > 6*time.Second+grace/2 {
			t.Fatalf("the change arrived %v after the directory was reachable", late)
		}
	})
}

// 300 couriers that meet the same outage at the same moment do not flood the directory: after some
// seconds, a directory that answers gets at most 240 requests in any second, and one that does not
// answer at most one per courier.
func TestOutageOfALargeFleet(t *testing.T) {
	const fleet, answered = 300, 240
	for name, kind := range map[string]struct {
		again func(*Backoff) time.Duration
		most  int
	}{
		"refused":       {func(b *Backoff) time.Duration { return b.Rejected(0, 0) }, answered},
		"retry-after":   {func(b *Backoff) time.Duration { return b.Rejected(30*time.Second, 0) }, answered},
		"broken":        {func(b *Backoff) time.Duration { return b.Disconnected(0) }, answered},
		"unreadable":    {func(b *Backoff) time.Duration { return b.Unreadable(0) }, answered},
		"silent":        {func(b *Backoff) time.Duration { return b.AskTimeout() + b.TimedOut(b.AskTimeout()) }, fleet},
		"not connected": {func(b *Backoff) time.Duration { return ConnectTimeout + b.TimedOut(ConnectTimeout) }, fleet},
		"late errors":   {func(b *Backoff) time.Duration { return AnswerTimeout + b.Rejected(0, AnswerTimeout) }, answered},
	} {
		t.Run(name, func(t *testing.T) {
			var asks []time.Duration
			for i := range fleet {
				b := New(fleet, uint64(i)).WithGrace(time.Second)
				for at := b.InitialDelay(); at < 2*time.Minute; at += kind.again(b) {
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
			t.Logf("at most %d requests in a second, %d on average", top, len(asks)/120)
			assert.LessOrEqual(t, top, kind.most)
		})
	}
}

// A broken connection is set up again within half of the grace, whatever the fleet size. Only
// repeated failures lengthen the pauses to those of a large fleet.
func TestReconnectPauses(t *testing.T) {
	for within, half := range map[time.Duration]time.Duration{0: maxFirstDelay, 400 * time.Millisecond: 200 * time.Millisecond, 3 * time.Second: 1500 * time.Millisecond} {
		b := New(300, 7).WithGrace(within)
		for range 3 {
			assert.LessOrEqual(t, max(b.InitialDelay(), b.Disconnected(0)), half)
			assert.GreaterOrEqual(t, b.Disconnected(0), half/2)
			for range 10 {
				b.Disconnected(0)
			}
			assert.GreaterOrEqual(t, b.Disconnected(0), MaxPause/2)
			b.Reset()
		}
	}
}

// A missing or invalid fleet size counts as a single courier.
func TestInvalidFleetSize(t *testing.T) {
	for _, fleet := range []int{-3, 0, 1, 2} {
		assert.LessOrEqual(t, New(fleet, 1).Disconnected(0), firstPause)
	}
	assert.LessOrEqual(t, New(1<<40, 1).Disconnected(0), MaxPause)
	assert.Positive(t, New(1<<40, 1).Disconnected(0))
}

// Couriers that start together spread their first requests; those of a small fleet send them at
// once.
func TestFirstRequestsSpread(t *testing.T) {
	early, late := 0, 0
	for i := range 80 {
		d := New(80, uint64(i)).InitialDelay()
		assert.LessOrEqual(t, d, maxFirstDelay)
		if d < maxFirstDelay/4 {
			early++
		} else if d > maxFirstDelay*3/4 {
			late++
		}
	}
	assert.InDelta(t, 20, early, 12)
	assert.InDelta(t, 20, late, 12)
	for fleet := range smallFleet + 1 {
		assert.Zero(t, New(fleet, 1).InitialDelay())
	}
	assert.Less(t, New(1<<40, 1).InitialDelay(), maxFirstDelay)
}

// A short or slow answer gets the time that the bound allows; a long one continues while its data
// arrives fast, without longer gaps than any other.
func TestRestOfAnswer(t *testing.T) {
	b := New(300, 1).WithGrace(time.Second)
	for _, size := range []int{0, 1, shortListBytes} {
		assert.Equal(t, b.AskTimeout()-3*time.Second, b.AnswerTimeLeft(3*time.Second, size))
	}
	assert.Equal(t, AnswerTimeout, b.AnswerTimeLeft(0, 1))
	assert.Equal(t, AnswerTimeout, b.AnswerTimeLeft(10*time.Second, 200<<20), "20 MB per second")
	assert.Negative(t, b.AnswerTimeLeft(15*time.Second, 10<<20), "less than 1 MB per second")
}
