package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/groups"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/store"
)

// deliver submits a message and completes its call with success.
func (b *harness) deliver(id string) {
	n := len(b.calls)
	b.submit(id, "status", 0)
	b.advance(5 * ms)
	require.Len(b.t, b.calls, n+1, id)
	b.calls[n].done(Result{Outcome: snowjunction.OK})
	b.advance(5 * ms)
}

// unloadAll lets all idle destinations be unloaded.
func (b *harness) unloadAll() {
	b.advance(time.Minute)
	b.advance(10 * ms)
	require.Empty(b.t, b.c.routes.loaded)
}

func TestNoStateForUncalledDestinations(t *testing.T) {
	b := newHarness(t, nil)
	var entries []Entry
	for i := range 3000 {
		entries = append(entries, Entry{Name: fmt.Sprint(i), Addr: fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), Destination: snowjunction.DestinationID(i / 2), Phase: snowjunction.Ready})
	}
	b.listed(0, true, entries...)
	b.advance(time.Second)
	assert.Empty(t, b.targets)
	assert.Empty(t, b.c.routes.byID)
	b.deliver("m1")
	assert.Len(t, b.targets, 2, "the two endpoints of destination 7")
	b.unloadAll()
	assert.Equal(t, 2, b.leftTargets)
	assert.Empty(t, b.c.routes.byID)
	assert.Equal(t, 1, b.c.idleTracker.Snapshots())
	b.deliver("m2")
	assert.Zero(t, b.c.idleTracker.Snapshots())
}

// A destination with an open flow is never unloaded, even if nothing happens for long.
func TestOpenFlowsPreventUnloading(t *testing.T) {
	b := newHarness(t, nil)
	b.list(snowjunction.Draining, false)
	err := b.c.Submit(Request{ID: "m1", Class: "status", Destination: 7, TimeLeft: 10 * time.Minute}, func(Answer, *store.Message) bool { return true })
	require.NoError(t, err)
	b.advance(9 * time.Minute)
	b.advance(time.Second)
	assert.Len(t, b.c.routes.loaded, 1)
}

// List changes while a destination is unloaded apply when it is loaded again.
func TestListChangesWhileUnloaded(t *testing.T) {
	for name, tc := range map[string]struct {
		entry Entry
		calls int
		addr  string
	}{
		"drains": {Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Draining}, 1, ""},
		"goes":   {Entry{Name: "s-1", Phase: snowjunction.Gone}, 1, ""},
		"moves":  {Entry{Name: "s-1", Addr: "127.0.0.9:9", Destination: 7, Phase: snowjunction.Ready}, 2, "127.0.0.9:9"},
		"leaves": {Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 8, Phase: snowjunction.Ready}, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.deliver("m1")
			b.unloadAll()
			b.listed(0, false, tc.entry)
			assert.Len(t, b.targets, 1, "no target for an unloaded destination")
			b.submit("m2", "status", 0)
			b.advance(20 * ms)
			assert.Len(t, b.calls, tc.calls)
			if tc.addr != "" {
				assert.Equal(t, tc.addr, b.targets[len(b.targets)-1].Addr)
			}
		})
	}
}

// An endpoint that starts to drain between loading and sending gets nothing.
func TestEndpointDrainsDuringLoad(t *testing.T) {
	b := newHarness(t, nil)
	b.deliver("m1")
	b.unloadAll()
	b.submit("m2", "status", 0)
	b.listed(0, false, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Draining})
	b.advance(20 * ms)
	assert.Len(t, b.calls, 1)
}

// A retry-after delay longer than the idle time still applies after loading.
func TestRetryAfterOutlastsUnload(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Rejected, RetryAfter: 90 * time.Second})
	began := b.now
	b.advance(3 * time.Second) // its message is given up
	b.unloadAll()
	for b.now.Sub(began) < 89*time.Second {
		b.advance(time.Second)
	}
	b.submit("m2", "status", 0)
	b.advance(500 * ms)
	assert.Len(t, b.calls, 1, "the delay is not over")
	for range 20 {
		b.advance(50 * ms)
	}
	assert.Len(t, b.calls, 2)
}

// A retry-after delay that ends while the destination is unloaded does not apply after loading.
func TestRetryAfterEndsWhileUnloaded(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Rejected, RetryAfter: 10 * time.Second})
	b.advance(3 * time.Second)
	b.unloadAll()
	b.submit("m2", "status", 0)
	b.advance(20 * ms)
	assert.Len(t, b.calls, 2)
}

// A message that arrives while its destination is being unloaded cancels the unloading.
func TestMessageCancelsUnload(t *testing.T) {
	b := newHarness(t, nil)
	b.deliver("m1")
	b.now = b.now.Add(time.Minute)
	b.c.lastHandled = b.now // the module is called one tick later
	b.c.Loop.Turn()
	require.True(t, b.c.routes.loaded[7].unloading)
	b.submit("m2", "status", 0)
	b.advance(10 * ms)
	assert.Len(t, b.calls, 2)
	assert.Len(t, b.targets, 1, "it was never unloaded")
}

// All stored snapshots are binding and memory is full. A message for a further destination gets a
// fixed response with a retry delay at once, and no binding state is dropped.
func TestAllSnapshotsBinding(t *testing.T) {
	cfg := idlestate.Default(snowjunction.Settings{})
	cfg.MaxLoaded, cfg.MaxBytes = 1, 1
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, dormancy: &cfg}, nil)
	b.listed(0, false, Entry{Name: "s-2", Addr: "127.0.0.1:2", Destination: 8, Phase: snowjunction.Ready})
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Rejected, RetryAfter: 40 * time.Second})
	b.advance(3 * time.Second)
	var got []Answer
	submit := func(id string) {
		got = nil
		err := b.c.Submit(Request{ID: id, Class: "status", Destination: 8, TimeLeft: time.Second}, func(a Answer, _ *store.Message) bool {
			got = append(got, a)
			return true
		})
		require.NoError(t, err)
	}
	submit("m2")
	require.Len(t, got, 1, "answered at once")
	assert.Equal(t, FixedResponse, got[0].Verdict)
	assert.Positive(t, int64(got[0].RetryAfter))
	assert.EqualValues(t, 1, b.c.Counters.RefusedCrowded)
	b.submit("m3", "status", 0)
	b.advance(500 * ms)
	assert.Len(t, b.calls, 1, "the retry-after delay still applies")
}

// An invalid change is refused as a whole, except for the draining endpoints in it.
func TestInvalidChangeAppliesDraining(t *testing.T) {
	b := newHarness(t, nil)
	b.listed(0, false, Entry{Name: "s-2", Addr: "127.0.0.1:2", Destination: 8, Phase: snowjunction.Ready})
	b.deliver("m1")
	l, err := groups.ListOf(false, false, []Entry{
		{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Draining},
		{Name: "s-3", Addr: "127.0.0.1:2", Destination: 9, Phase: snowjunction.Ready},
	})
	require.NoError(t, err)
	assert.ErrorIs(t, b.c.UpdateList(0, l), groups.ErrAddress)
	assert.False(t, b.c.routes.tables[0].HasDestination(9))
	assert.True(t, b.c.routes.tables[0].HasDestination(8), "the held list is unchanged")
	b.submit("m2", "status", 0)
	b.advance(20 * ms)
	assert.Len(t, b.calls, 1, "the endpoint drains")
}

// A destination whose last endpoint has left is still accepted for some minutes.
func TestRecentlyDelistedDestination(t *testing.T) {
	for _, full := range []bool{true, false} {
		b := newHarness(t, nil)
		if full {
			b.listed(0, true, Entry{Name: "s-2", Addr: "127.0.0.1:2", Destination: 8, Phase: snowjunction.Ready})
		} else {
			b.listed(0, false, Entry{Name: "s-1", Phase: snowjunction.Gone})
		}
		b.advance(ms)
		got := b.submit("m1", "status", 0)
		b.advance(20 * ms)
		assert.Equal(t, []Answer{{Verdict: Accepted}}, *got, "its next endpoint may be listed in time")
		b.advance(3 * delistedRetention)
		b.unloadAll()
		got = b.submit("m2", "status", 0)
		require.Len(t, *got, 1)
		assert.Equal(t, FixedResponse, (*got)[0].Verdict)
	}
}

// Full lists that grow and shrink do not leak memory.
func TestListMemoryIsFreed(t *testing.T) {
	b := newHarness(t, nil)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	list := func(round, n int) {
		l := groups.NewList(true)
		for i := range n {
			require.NoError(t, l.Add(Entry{
				Name: fmt.Sprintf("r%d-%d", round, i), Addr: fmt.Sprintf("127.%d.%d.%d:80", 1+i>>16, i>>8&255, i&255),
				Destination: snowjunction.DestinationID(100 + round*20000 + i), Phase: snowjunction.Ready,
			}))
		}
		require.NoError(t, b.c.UpdateList(0, l))
		b.advance(ms)
	}
	list(0, 20000)
	list(0, 10)
	before := heap()
	for round := 1; round <= 10; round++ {
		list(round, 20000)
		list(round, 10)
		b.advance(delistedRetention)
	}
	assert.Less(t, heap()-before, int64(1<<20))
	assert.Equal(t, 10, b.c.routes.destinations())
}

// beyond is a SnapshotStore whose answers are sent by the test.
type beyond struct {
	b     *harness
	kept  map[uint32][]byte
	at    map[uint32]time.Time
	asked []func()
}

func (x *beyond) Put(d uint32, at time.Time, text []byte) { x.kept[d], x.at[d] = text, at }
func (x *beyond) Has(d uint32) bool                       { return x.kept[d] != nil }
func (x *beyond) Len() int                                { return len(x.kept) }
func (x *beyond) Take(d uint32, done func([]byte, time.Time, bool)) bool {
	x.asked = append(x.asked, func() { done(x.kept[d], x.at[d], true) })
	return true
}

func newBeyond(b *harness, x *beyond) *harness {
	x.b = b
	b.beyond = x
	return newHarnessWith(b, nil)
}

// After a restart the snapshot is fetched from the external store. Flows wait for it, with their
// answers too, and its retry-after delay applies.
func TestRestartWhileUnloaded(t *testing.T) {
	x := &beyond{kept: map[uint32][]byte{}, at: map[uint32]time.Time{}}
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	b := newBeyond(&harness{t: t, now: start, settle: true}, x)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Rejected, RetryAfter: 10 * time.Minute})
	b.advance(3 * time.Second)
	b.unloadAll()
	require.NotNil(t, x.kept[7])

	b = newBeyond(&harness{t: t, now: start.Add(2 * time.Minute), settle: true}, x)
	got := b.submit("m2", "status", 0)
	b.advance(10 * ms)
	assert.Empty(t, *got, "no answer before the module's decision")
	require.Len(t, x.asked, 1)
	b.submit("m3", "status", 0)
	x.asked[0]()
	b.advance(10 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *got)
	assert.Empty(t, b.calls, "its retry-after delay still applies")
	assert.Equal(t, 2, b.c.Held())
}

// An external store that does not answer delays flows only for a short time. A late answer is
// ignored.
func TestExternalStoreDoesNotAnswer(t *testing.T) {
	x := &beyond{kept: map[uint32][]byte{7: {1}}, at: map[uint32]time.Time{}}
	b := newBeyond(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true}, x)
	got := b.submit("m1", "status", 0)
	b.advance(snapshotTimeout)
	b.advance(10 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *got)
	assert.Len(t, b.calls, 1)
	x.asked[0]()
	b.advance(10 * ms)
	assert.Len(t, b.calls, 1)
}

// A flow that waits for a snapshot when the core is frozen was never accepted.
func TestFrozenWhileLoading(t *testing.T) {
	x := &beyond{kept: map[uint32][]byte{7: {1}}, at: map[uint32]time.Time{}}
	b := newBeyond(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true}, x)
	got := b.submit("m1", "status", 0)
	b.c.Freeze(func() {})
	assert.Equal(t, []Answer{{Verdict: FixedResponse}}, *got)
}

// A turn leaves posted work for the next turn after maxTurn, so that due timers are not delayed.
func TestTurnsAreBounded(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	l := NewLoop(func() time.Time { return now })
	var order []string
	l.After(3*ms, func() { order = append(order, "timer") })
	for i := range 6 {
		l.Post(func() {
			now = now.Add(ms)
			order = append(order, fmt.Sprint(i))
		})
	}
	l.Turn()
	assert.Equal(t, []string{"0", "1", "2", "3", "timer", "4", "5"}, order)
	assert.LessOrEqual(t, l.Turns().Longest, maxTurn+ms)
	assert.Zero(t, l.Turns().Count, "reset by the previous call")
}

// A message that may have run keeps its destination loaded while its window is open. After that the
// destination is unloaded, and the next message of the key is sent.
func TestKeyedWindowPreventsUnload(t *testing.T) {
	cfg := idlestate.Default(snowjunction.Settings{})
	cfg.IdleTimeout = 500 * ms
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, dormancy: &cfg}, nil)
	submit := func(id string) {
		err := b.c.Submit(Request{ID: id, Class: "order", Key: 9, IdempotencyKey: id, Destination: 7, TimeLeft: 20 * time.Second},
			func(Answer, *store.Message) bool { return true })
		require.NoError(t, err)
	}
	submit("m1")
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.listed(0, false, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Draining})
	began := b.now
	for len(b.ended) == 0 {
		require.Len(t, b.c.routes.loaded, 1)
		b.advance(100 * ms)
		require.Less(t, b.now.Sub(began), 6*time.Second)
	}
	assert.Greater(t, b.now.Sub(began), 4*time.Second, "it ended only with its window")
	for range 10 {
		b.advance(100 * ms)
	}
	require.Empty(t, b.c.routes.loaded)
	b.listed(0, false, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Ready})
	n := len(b.calls)
	submit("m2")
	b.advance(10 * ms)
	assert.Len(t, b.calls, n+1)
}
