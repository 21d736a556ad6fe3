package idlestate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/snapshot"
)

func config() Config {
	return Config{
		IdleTimeout: time.Minute, MaxLoaded: 10, MaxBytes: 100 * typicalEntryBytes, HalfLife: 10 * time.Minute, MaxAge: time.Hour,
		CautiousFor: 14 * time.Second, RetryWindow: 10 * time.Second, WarmUp: 14 * time.Second, Outage: 10 * time.Minute,
		QuickRestart: 20 * time.Second,
	}
}

// unboundSnapshot returns a snapshot that is not binding; withRetryAfter returns one with a
// retry-after delay.
func unboundSnapshot() *snapshot.Snapshot {
	return &snapshot.Snapshot{State: snowjunction.DestinationSnapshot{
		Latency: 0.2, BestLatency: 0.1, PeakRate: 3, Window: 6,
		Routes: []snowjunction.RouteSnapshot{{Limit: 8, LimitLeft: 0.1, PacingRate: 8}},
	}}
}

func withRetryAfter(wait time.Duration) *snapshot.Snapshot {
	m := unboundSnapshot()
	m.State.Routes[0].BlockedFor = wait
	return m
}

// unload loads a destination, marks it idle and unloads it at once.
func unload(b *Tracker, d Destination, now time.Duration, m *snapshot.Snapshot) {
	b.Load(d, now)
	b.Idle(d, now)
	b.Unload(d, m, now)
}

func TestDueAfterIdleTimeout(t *testing.T) {
	b := New(config())
	b.Load(1, 0)
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
		b.Load(d, 0)
	}
	assert.False(t, b.OverLimit(), "no destination is idle")
	b.Idle(4, time.Second)
	b.Idle(2, 2*time.Second)
	assert.True(t, b.OverLimit())
	d, due, _ := b.Due(2 * time.Second)
	require.True(t, due)
	assert.Equal(t, Destination(4), d)
	b.Unload(d, unboundSnapshot(), 2*time.Second)
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
		assert.Equal(t, 1, b.Snapshots())
		w := b.Load(1, tc.slept)
		require.NotNil(t, w.Snapshot)
		assert.Equal(t, tc.slept, w.UnloadedFor)
		assert.InDelta(t, tc.limit, w.Snapshot.State.Routes[0].Limit, 1e-6, "%v", tc.slept)
		assert.Equal(t, 1.0, w.Snapshot.State.Routes[0].LimitLeft)
		assert.Zero(t, w.Snapshot.State.Routes[0].PacingRate)
		assert.Equal(t, snowjunction.CautiousStart{Window: 1, Cold: tc.cold, ReducedPaceFor: 14 * time.Second}, w.Caution)
		assert.Zero(t, b.Snapshots())
		assert.Zero(t, b.Bytes())
		assert.Nil(t, b.Load(1, tc.slept).Snapshot, "a snapshot is used only once")
	}
}

// A destination without a snapshot starts normally, unless the operator configured a cautious
// start.
func TestLoadWithoutSnapshot(t *testing.T) {
	b := New(config())
	assert.Equal(t, Loaded{}, b.Load(1, 0))
	cfg := config()
	cfg.CautiousFirst = true
	assert.Equal(t, snowjunction.CautiousStart{Window: 1, ReducedPaceFor: 14 * time.Second}, New(cfg).Load(1, 0).Caution)
}

// If the memory is full, the oldest snapshot that is not binding is dropped first.
func TestOldestUnboundIsDropped(t *testing.T) {
	cfg := config()
	one := len(snapshot.Encode(nil, unboundSnapshot())) + entryOverhead
	cfg.MaxBytes = 3*one + 8
	b := New(cfg)
	unload(b, 1, 0, withRetryAfter(time.Minute))
	unload(b, 2, time.Second, unboundSnapshot())
	unload(b, 3, 2*time.Second, unboundSnapshot())
	unload(b, 4, 3*time.Second, unboundSnapshot())
	assert.Equal(t, []bool{true, false, true, true}, []bool{b.Has(1), b.Has(2), b.Has(3), b.Has(4)})
	unload(b, 5, 2*time.Minute, unboundSnapshot())
	assert.False(t, b.Has(1), "its retry-after delay is over")
	assert.LessOrEqual(t, b.Bytes(), cfg.MaxBytes)
	assert.EqualValues(t, 2, b.Counts.Dropped)
}

// If every snapshot is binding and the memory is full, none is dropped, no further destination is
// unloaded, and a destination to be loaded gets the time until there may be room.
func TestAllSnapshotsBinding(t *testing.T) {
	cfg := config()
	cfg.MaxLoaded = 2
	cfg.MaxBytes = 4 * typicalEntryBytes
	b := New(cfg)
	n := Destination(0)
	for ; b.Bytes()+typicalEntryBytes <= cfg.MaxBytes; n++ {
		unload(b, n, 0, withRetryAfter(time.Minute+time.Duration(n)*time.Second))
	}
	b.Load(100, time.Second)
	b.Load(101, time.Second)
	b.Load(102, time.Second)
	b.Idle(100, time.Second)
	_, due, wait := b.Due(2 * time.Minute / 4)
	assert.False(t, due)
	assert.Equal(t, 30*time.Second, wait, "the first retry-after delay ends then")
	room, after := b.HasRoom(30 * time.Second)
	assert.False(t, room)
	assert.Equal(t, 30*time.Second, after)
	for d := range n {
		assert.True(t, b.Has(d))
	}
	room, _ = b.HasRoom(time.Minute)
	assert.True(t, room)
	d, due, _ := b.Due(time.Minute + 2*time.Second)
	assert.True(t, due)
	assert.Equal(t, Destination(100), d)
}

func TestBindingFor(t *testing.T) {
	b := New(config())
	with := func(change func(s *snowjunction.DestinationSnapshot)) time.Duration {
		m := unboundSnapshot()
		change(&m.State)
		return b.bindingFor(&m.State)
	}
	ep := func(e snowjunction.EndpointSnapshot) func(s *snowjunction.DestinationSnapshot) {
		return func(s *snowjunction.DestinationSnapshot) { s.Endpoints = []snowjunction.EndpointSnapshot{e} }
	}
	assert.Zero(t, with(func(*snowjunction.DestinationSnapshot) {}))
	assert.Equal(t, 10*time.Second, with(func(s *snowjunction.DestinationSnapshot) { s.Retries = 1 }))
	assert.Equal(t, 90*time.Second, with(func(s *snowjunction.DestinationSnapshot) { s.Routes[0].BlockedFor = 90 * time.Second }))
	assert.Equal(t, 14*time.Second, with(func(s *snowjunction.DestinationSnapshot) { s.Routes[0].ColdCalls = 2 }))
	assert.Equal(t, 10*time.Minute, with(ep(snowjunction.EndpointSnapshot{Condition: snowjunction.Down})))
	assert.Equal(t, 10*time.Minute, with(ep(snowjunction.EndpointSnapshot{Failures: 1})))
	assert.Equal(t, 11*time.Second, with(ep(snowjunction.EndpointSnapshot{Condition: snowjunction.Recovering, SinceCondition: 3 * time.Second})))
}

// Snapshots that are too old are dropped in batches, the oldest first.
func TestDropOldSnapshots(t *testing.T) {
	b := New(config())
	for d := range Destination(5) {
		unload(b, d, time.Duration(d)*time.Second, unboundSnapshot())
	}
	assert.True(t, b.DropStale(time.Hour+2*time.Second, 2))
	assert.Equal(t, 3, b.Snapshots())
	assert.False(t, b.DropStale(time.Hour+2*time.Second, 2))
	assert.Equal(t, 2, b.Snapshots())
}

// After a quick restart everything is restored except retry-after delays. After a longer one the
// state is aged, and endpoints in an outage long ago count as recovering.
func TestSnapshotOfPreviousRun(t *testing.T) {
	held := unboundSnapshot()
	held.Names = []snapshot.EndpointHash{1}
	held.State.Endpoints = []snowjunction.EndpointSnapshot{{
		Condition: snowjunction.Down, Failures: 4, SinceCondition: 3 * time.Second, SinceFailure: 4 * time.Second, Backoff: time.Second, UntilTrial: time.Second,
	}}
	held.State.Routes[0].BlockedFor, held.State.Routes[0].PacingRate = time.Second, 3
	encoded := snapshot.Encode(nil, held)
	loadAfter := func(age time.Duration) (Loaded, bool) {
		b := New(config())
		ok := b.Restore(1, encoded, age, time.Hour)
		assert.Equal(t, ok, b.Has(1))
		return b.Load(1, time.Hour), ok
	}
	w, ok := loadAfter(2 * time.Second)
	require.True(t, ok)
	assert.Equal(t, snowjunction.CautiousStart{}, w.Caution)
	assert.Equal(t, 2*time.Second, w.UnloadedFor)
	r, e := w.Snapshot.State.Routes[0], w.Snapshot.State.Endpoints[0]
	assert.Zero(t, r.BlockedFor, "the restart ends a retry-after delay")
	assert.Equal(t, 3.0, r.PacingRate, "pacing is restored")
	assert.Equal(t, snowjunction.Down, e.Condition)

	w, ok = loadAfter(time.Minute)
	require.True(t, ok)
	assert.NotZero(t, w.Caution.Window)
	assert.Equal(t, snowjunction.Down, w.Snapshot.State.Endpoints[0].Condition, "a recent outage is restored")
	assert.Less(t, w.Snapshot.State.Routes[0].Limit, held.State.Routes[0].Limit)

	w, ok = loadAfter(20 * time.Minute)
	require.True(t, ok)
	e = w.Snapshot.State.Endpoints[0]
	assert.Equal(t, snowjunction.Recovering, e.Condition, "an outage of long ago counts as a recovery")
	assert.Equal(t, w.UnloadedFor, -e.SinceCondition, "the warm-up starts now")

	w, ok = loadAfter(-1)
	require.True(t, ok, "an unknown age is neither recent nor too old")
	assert.Equal(t, snowjunction.Down, w.Snapshot.State.Endpoints[0].Condition)
	assert.NotZero(t, w.Caution.Window)

	held.Names = append(held.Names, 2, 3)
	held.State.Endpoints = append(held.State.Endpoints, snowjunction.EndpointSnapshot{Latency: 0.1}, snowjunction.EndpointSnapshot{})
	encoded = snapshot.Encode(nil, held)
	w, _ = loadAfter(time.Second)
	seen := w.Snapshot.State.Endpoints
	assert.Equal(t, snowjunction.Serving, seen[1].Condition, "it served while the other one failed")
	assert.Equal(t, snowjunction.Recovering, seen[2].Condition, "it was never called and may have failed too")
	assert.Equal(t, 5*time.Second, seen[2].LastOutage, "as long as the other one has failed, up to now")

	_, ok = loadAfter(config().MaxAge)
	assert.False(t, ok)
	b := New(config())
	assert.False(t, b.Restore(1, []byte("rubbish"), 0, 0))
}

// Guards against an upgrade or a restart that forgets delays and outages because snapshots that no rule needs have
// filled their room: these give way, the oldest first. Binding ones that do not fit are counted.
func TestBindingSnapshotsTakeRoomOfOthers(t *testing.T) {
	unbound := snapshot.Encode(nil, unboundSnapshot())
	binding := snapshot.Encode(nil, withRetryAfter(time.Minute))
	const room = 5 // snapshots
	for name, add := range map[string]func(b *Tracker, d Destination, encoded []byte, at time.Duration) bool{
		"handed over": func(b *Tracker, d Destination, encoded []byte, at time.Duration) bool {
			return b.AddHandedOver(d, encoded, at, time.Second, false, false)
		},
		"previous run": func(b *Tracker, d Destination, encoded []byte, at time.Duration) bool {
			return b.Restore(d, encoded, time.Second-at, time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := config()
			cfg.MaxBytes = room*(len(binding)+entryOverhead) + 8
			b := New(cfg)
			for d := range Destination(room) {
				require.True(t, add(b, d, unbound, time.Duration(d)*time.Millisecond))
			}
			for d := range Destination(2) {
				require.True(t, add(b, 100+d, binding, 0))
			}
			assert.Equal(t, []bool{false, false, true, true, true}, []bool{b.Has(0), b.Has(1), b.Has(2), b.Has(3), b.Has(4)})
			for d := Destination(2); d < room; d++ {
				require.True(t, add(b, 100+d, binding, 0), "room for nothing else")
			}
			assert.False(t, add(b, 200, unbound, time.Millisecond))
			assert.Zero(t, b.Counts.BindingDropped)
			assert.False(t, add(b, 300, binding, 0), "room for less")
			assert.EqualValues(t, 1, b.Counts.BindingDropped)
			for d := range Destination(room) {
				assert.True(t, b.Has(100+d))
			}
			assert.LessOrEqual(t, b.Bytes(), cfg.MaxBytes)
		})
	}
}
