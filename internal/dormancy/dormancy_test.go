package dormancy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/memento"
)

func config() Config {
	return Config{
		After: time.Minute, Awake: 10, Memory: 100 * typicalEntryBytes, HalfLife: 10 * time.Minute, Forget: time.Hour,
		Careful: 14 * time.Second, Ledger: 10 * time.Second, Warm: 14 * time.Second, Outage: 10 * time.Minute,
		Brisk: 20 * time.Second,
	}
}

// unboundSnapshot returns a snapshot that is not binding; withRetryAfter returns one with a
// retry-after delay.
func unboundSnapshot() *memento.Memento {
	return &memento.Memento{State: snowjunction.State{
		Recent: 0.2, Best: 0.1, Peak: 3, Window: 6,
		Routes: []snowjunction.RouteState{{Limit: 8, Left: 0.1, Pace: 8}},
	}}
}

func withRetryAfter(wait time.Duration) *memento.Memento {
	m := unboundSnapshot()
	m.State.Routes[0].Wait = wait
	return m
}

// unload loads a destination, marks it idle and unloads it at once.
func unload(b *Book, d Destination, now time.Duration, m *memento.Memento) {
	b.Wake(d, now)
	b.Idle(d, now)
	b.Keep(d, m, now)
}

func TestDueAfterIdleTimeout(t *testing.T) {
	b := New(config())
	b.Wake(1, 0)
	_, due, wait := b.Due(0)
	assert.False(t, due)
	assert.Negative(t, int64(wait), "no destination is idle")
	b.Idle(1, time.Second)
	_, due, wait = b.Due(2 * time.Second)
	assert.False(t, due)
	assert.Equal(t, 59*time.Second, wait)
	b.Busy(1)
	_, due, _ = b.Due(2 * time.Minute)
	assert.False(t, due, "it is busy")
	b.Idle(1, 2*time.Minute)
	d, due, _ := b.Due(3 * time.Minute)
	assert.True(t, due)
	assert.Equal(t, Destination(1), d)
}

// With too many destinations loaded, the longest idle one is unloaded at once.
func TestTooManyLoaded(t *testing.T) {
	b := New(config())
	for d := range Destination(11) {
		b.Wake(d, 0)
	}
	assert.False(t, b.Over(), "no destination is idle")
	b.Idle(4, time.Second)
	b.Idle(2, 2*time.Second)
	assert.True(t, b.Over())
	d, due, _ := b.Due(2 * time.Second)
	require.True(t, due)
	assert.Equal(t, Destination(4), d)
	b.Keep(d, unboundSnapshot(), 2*time.Second)
	_, due, _ = b.Due(2 * time.Second)
	assert.False(t, due, "only ten are loaded")
}

// A snapshot is restored with a limit that is lower the older it is. The pacing rate, the remaining
// quota and the window start anew.
func TestLoadAgesSnapshot(t *testing.T) {
	for _, tc := range []struct {
		slept time.Duration
		limit float64
		cold  bool
	}{{0, 8, true}, {10 * time.Minute, 4, true}, {20 * time.Minute, 2, true}, {50 * time.Minute, 2, true}, {time.Hour, 0, false}} {
		b := New(config())
		unload(b, 1, 0, unboundSnapshot())
		assert.Equal(t, 1, b.Asleep())
		w := b.Wake(1, tc.slept)
		require.NotNil(t, w.Memento)
		assert.Equal(t, tc.slept, w.Slept)
		assert.InDelta(t, tc.limit, w.Memento.State.Routes[0].Limit, 1e-6, "%v", tc.slept)
		assert.Equal(t, 1.0, w.Memento.State.Routes[0].Left)
		assert.Zero(t, w.Memento.State.Routes[0].Pace)
		assert.Equal(t, snowjunction.Caution{Window: 1, Cold: tc.cold, Careful: 14 * time.Second}, w.Caution)
		assert.Zero(t, b.Asleep())
		assert.Zero(t, b.Bytes())
		assert.Nil(t, b.Wake(1, tc.slept).Memento, "a snapshot is used only once")
	}
}

// A destination without a snapshot starts normally, unless the operator configured a cautious
// start.
func TestLoadWithoutSnapshot(t *testing.T) {
	b := New(config())
	assert.Equal(t, Woken{}, b.Wake(1, 0))
	cfg := config()
	cfg.First = true
	assert.Equal(t, snowjunction.Caution{Window: 1, Careful: 14 * time.Second}, New(cfg).Wake(1, 0).Caution)
}

// If the memory is full, the oldest snapshot that is not binding is dropped first.
func TestOldestUnboundIsDropped(t *testing.T) {
	cfg := config()
	one := len(memento.Encode(nil, unboundSnapshot())) + entryOverhead
	cfg.Memory = 3*one + 8
	b := New(cfg)
	unload(b, 1, 0, withRetryAfter(time.Minute))
	unload(b, 2, time.Second, unboundSnapshot())
	unload(b, 3, 2*time.Second, unboundSnapshot())
	unload(b, 4, 3*time.Second, unboundSnapshot())
	assert.Equal(t, []bool{true, false, true, true}, []bool{b.Keeping(1), b.Keeping(2), b.Keeping(3), b.Keeping(4)})
	unload(b, 5, 2*time.Minute, unboundSnapshot())
	assert.False(t, b.Keeping(1), "its retry-after delay is over")
	assert.LessOrEqual(t, b.Bytes(), cfg.Memory)
	assert.EqualValues(t, 2, b.Counts.Dropped)
}

// If every snapshot is binding and the memory is full, none is dropped, no further destination is
// unloaded, and a destination to be loaded gets the time until there may be room.
func TestAllSnapshotsBinding(t *testing.T) {
	cfg := config()
	cfg.Awake = 2
	cfg.Memory = 4 * typicalEntryBytes
	b := New(cfg)
	n := Destination(0)
	for ; b.Bytes()+typicalEntryBytes <= cfg.Memory; n++ {
		unload(b, n, 0, withRetryAfter(time.Minute+time.Duration(n)*time.Second))
	}
	b.Wake(100, time.Second)
	b.Wake(101, time.Second)
	b.Wake(102, time.Second)
	b.Idle(100, time.Second)
	_, due, wait := b.Due(2 * time.Minute / 4)
	assert.False(t, due)
	assert.Equal(t, 30*time.Second, wait, "the first retry-after delay ends then")
	room, after := b.Room(30 * time.Second)
	assert.False(t, room)
	assert.Equal(t, 30*time.Second, after)
	for d := range n {
		assert.True(t, b.Keeping(d))
	}
	room, _ = b.Room(time.Minute)
	assert.True(t, room)
	d, due, _ := b.Due(time.Minute + 2*time.Second)
	assert.True(t, due)
	assert.Equal(t, Destination(100), d)
}

func TestBindingFor(t *testing.T) {
	b := New(config())
	with := func(change func(s *snowjunction.State)) time.Duration {
		m := unboundSnapshot()
		change(&m.State)
		return b.bindingFor(&m.State)
	}
	ep := func(e snowjunction.EndpointState) func(s *snowjunction.State) {
		return func(s *snowjunction.State) { s.EndpointsSeen = []snowjunction.EndpointState{e} }
	}
	assert.Zero(t, with(func(*snowjunction.State) {}))
	assert.Equal(t, 10*time.Second, with(func(s *snowjunction.State) { s.Repeats = 1 }))
	assert.Equal(t, 90*time.Second, with(func(s *snowjunction.State) { s.Routes[0].Wait = 90 * time.Second }))
	assert.Equal(t, 14*time.Second, with(func(s *snowjunction.State) { s.Routes[0].ColdSends = 2 }))
	assert.Equal(t, 10*time.Minute, with(ep(snowjunction.EndpointState{Condition: snowjunction.Held})))
	assert.Equal(t, 10*time.Minute, with(ep(snowjunction.EndpointState{Fails: 1})))
	assert.Equal(t, 11*time.Second, with(ep(snowjunction.EndpointState{Condition: snowjunction.Warming, For: 3 * time.Second})))
}

// Snapshots that are too old are dropped in batches, the oldest first.
func TestDropOldSnapshots(t *testing.T) {
	b := New(config())
	for d := range Destination(5) {
		unload(b, d, time.Duration(d)*time.Second, unboundSnapshot())
	}
	assert.True(t, b.Stale(time.Hour+2*time.Second, 2))
	assert.Equal(t, 3, b.Asleep())
	assert.False(t, b.Stale(time.Hour+2*time.Second, 2))
	assert.Equal(t, 2, b.Asleep())
}

// After a quick restart everything is restored except retry-after delays. After a longer one the
// state is aged, and endpoints in an outage long ago count as recovering.
func TestSnapshotOfPreviousRun(t *testing.T) {
	held := unboundSnapshot()
	held.Names = []memento.Name{1}
	held.State.EndpointsSeen = []snowjunction.EndpointState{{
		Condition: snowjunction.Held, Fails: 4, For: 3 * time.Second, Failed: 4 * time.Second, Backoff: time.Second, Trial: time.Second,
	}}
	held.State.Routes[0].Wait, held.State.Routes[0].Pace = time.Second, 3
	encoded := memento.Encode(nil, held)
	loadAfter := func(age time.Duration) (Woken, bool) {
		b := New(config())
		ok := b.Recall(1, encoded, age, time.Hour)
		assert.Equal(t, ok, b.Keeping(1))
		return b.Wake(1, time.Hour), ok
	}
	w, ok := loadAfter(2 * time.Second)
	require.True(t, ok)
	assert.Equal(t, snowjunction.Caution{}, w.Caution)
	assert.Equal(t, 2*time.Second, w.Slept)
	r, e := w.Memento.State.Routes[0], w.Memento.State.EndpointsSeen[0]
	assert.Zero(t, r.Wait, "the restart ends a retry-after delay")
	assert.Equal(t, 3.0, r.Pace, "pacing is restored")
	assert.Equal(t, snowjunction.Held, e.Condition)

	w, ok = loadAfter(time.Minute)
	require.True(t, ok)
	assert.NotZero(t, w.Caution.Window)
	assert.Equal(t, snowjunction.Held, w.Memento.State.EndpointsSeen[0].Condition, "a recent outage is restored")
	assert.Less(t, w.Memento.State.Routes[0].Limit, held.State.Routes[0].Limit)

	w, ok = loadAfter(20 * time.Minute)
	require.True(t, ok)
	e = w.Memento.State.EndpointsSeen[0]
	assert.Equal(t, snowjunction.Warming, e.Condition, "an outage of long ago counts as a recovery")
	assert.Equal(t, w.Slept, -e.For, "the warm-up starts now")

	w, ok = loadAfter(-1)
	require.True(t, ok, "an unknown age is neither recent nor too old")
	assert.Equal(t, snowjunction.Held, w.Memento.State.EndpointsSeen[0].Condition)
	assert.NotZero(t, w.Caution.Window)

	held.Names = append(held.Names, 2, 3)
	held.State.EndpointsSeen = append(held.State.EndpointsSeen, snowjunction.EndpointState{Latency: 0.1}, snowjunction.EndpointState{})
	encoded = memento.Encode(nil, held)
	w, _ = loadAfter(time.Second)
	seen := w.Memento.State.EndpointsSeen
	assert.Equal(t, snowjunction.Serving, seen[1].Condition, "it served while the other one failed")
	assert.Equal(t, snowjunction.Warming, seen[2].Condition, "it was never called and may have failed too")
	assert.Equal(t, 5*time.Second, seen[2].DownFor, "as long as the other one has failed, up to now")

	_, ok = loadAfter(config().Forget)
	assert.False(t, ok)
	b := New(config())
	assert.False(t, b.Recall(1, []byte("rubbish"), 0, 0))
}
