package core

import (
	"cmp"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/belief"
	"snowjunction/internal/dormancy"
	"snowjunction/internal/groups"
	"snowjunction/internal/store"
)

const ms = time.Millisecond

// bench drives a core on a clock of its own. It is the core's front, and its
// targets keep the calls that they get.
type bench struct {
	t       testing.TB
	c       *Core
	now     time.Time
	journal *store.Journal
	ended   []*store.Message
	settle  bool // ends are settled at once
	calls   []*testCall
	// Connections take a while to come up: calls leave once they are opened.
	dialling bool
	bare     bool // nothing is listed to begin with
	left     int  // targets that have left their groups
	made     []Entry
	sleep    *dormancy.Config
	beyond   Beyond
	learnt   Learnt
	dirs     map[int]Directory
	plugins  Plugins
	dir      string                // of the journal
	heirs    []*store.Message      // what an earlier process has left in it
	goes     func(seq uint64) bool // which attempts go on
	disk     int64                 // bytes that the journal may take; 0: 3e6
}

type testCall struct {
	b      *bench
	m      *store.Message
	shape  Shape
	done   func(Result)
	may    func() bool
	left   bool
	gaveUp bool
	kept   time.Duration
	addr   string
}

// opened has a call's connection come up: it leaves, if it may.
func (x *testCall) opened() bool {
	if x.left = x.may(); x.left {
		assert.True(x.b.t, x.m.Out, "an attempt is recorded before it leaves")
	}
	return x.left
}

func (x *testCall) Left() bool { return x.left }
func (x *testCall) GiveUp()    { x.gaveUp = true }

func (x *testCall) Kept() time.Duration { return x.kept }

type testTarget struct {
	b    *bench
	addr string
}

func (x testTarget) Call(m *store.Message, shape Shape, _ time.Duration, may func() bool, done func(Result)) Call {
	call := &testCall{b: x.b, m: m, shape: shape, may: may, done: done, addr: x.addr}
	if !x.b.dialling && !call.opened() {
		return nil
	}
	x.b.calls = append(x.b.calls, call)
	return call
}
func (x testTarget) CloseIdle() {}
func (x testTarget) Leave()     { x.b.left++ }

func (b *bench) Target(e Entry) Target {
	b.made = append(b.made, e)
	return testTarget{b, e.Addr}
}

func (b *bench) Ended(m *store.Message) {
	b.ended = append(b.ended, m)
	if b.settle {
		b.c.Settled(m)
	}
}

func newBench(t testing.TB, change func(*snowjunction.Settings)) *bench {
	return newBenchWith(&bench{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true}, change)
}

func newBenchWith(b *bench, change func(*snowjunction.Settings)) *bench {
	t := b.t
	log := slog.New(slog.DiscardHandler)
	var err error
	if b.dir == "" {
		b.dir = t.TempDir()
	}
	s := snowjunction.Settings{
		Seed: 1, Fleet: 1, Tick: 5 * ms, Slots: 8, MaxHeld: 10, MaxAttempts: 6, RetryAfter: true, MaxRetry: 3 * time.Second,
		ConnectTimeout: time.Second, OrderSettle: 100 * ms, Kinds: []snowjunction.Kind{{BundleMax: 1}},
		Classes: []snowjunction.Class{
			{Name: "order", Effect: snowjunction.Keyed, Window: 5 * time.Second, Aim: time.Second, Deadline: 20 * time.Second, Worth: 1, InOrder: true},
			{Name: "status", Aim: time.Second, Deadline: 8 * time.Second, Worth: 2},
		},
	}
	if change != nil {
		change(&s)
	}
	b.journal, b.heirs, err = store.Load(store.Options{Dir: b.dir, Bytes: cmp.Or(b.disk, 3e6), Log: log, Goes: b.goes, Until: Until(s)})
	require.NoError(t, err)
	t.Cleanup(func() { b.journal.Close() })
	b.c, err = New(Config{
		Loop: NewLoop(func() time.Time { return b.now }), Log: log, Journal: b.journal, Settings: s, Fronts: []Front{b, b}, Dormancy: b.sleep, Beyond: b.beyond, Plugins: b.plugins,
		Learnt: b.learnt, Directories: b.dirs,
	})
	require.NoError(t, err)
	if !b.bare {
		b.list(snowjunction.Ready, true)
	}
	return b
}

func (b *bench) list(phase snowjunction.Phase, full bool) {
	b.listed(0, full, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: phase})
	b.step(10 * ms)
}

func (b *bench) listed(front int, full bool, entries ...Entry) {
	l, err := groups.ListOf(full, false, entries)
	require.NoError(b.t, err)
	require.NoError(b.t, b.c.Listed(front, l))
}

func full(entries ...Entry) *groups.List {
	l, err := groups.ListOf(true, false, entries)
	if err != nil {
		panic(err)
	}
	return l
}

// standing is that of an endpoint of the first front.
func (b *bench) standing(name string) belief.Standing { return b.c.confidenceIn(0, name) }

func (b *bench) step(d time.Duration) {
	b.c.Loop.Turn()
	b.now = b.now.Add(d)
	b.c.Loop.Turn()
}

// add hands a message in and returns where its answer goes.
func (b *bench) add(id, class string, key uint64) *[]Answer {
	got := &[]Answer{}
	err := b.c.TakeIn(Request{ID: id, Class: class, Key: key, IdempotencyKey: id, Destination: 7, Left: 2 * time.Second},
		func(a Answer, _ *store.Message) bool {
			*got = append(*got, a)
			return true
		})
	require.NoError(b.t, err)
	return got
}

func TestTakenThenDelivered(t *testing.T) {
	b := newBench(t, nil)
	got := b.add("m1", "status", 0)
	assert.Empty(t, *got, "no answer before the module has seen it")
	b.step(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Taken}}, *got)
	require.Len(t, b.calls, 1)
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.calls[0].done(Result{Outcome: snowjunction.Error}) // a second result is none
	b.step(5 * ms)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Delivered, b.ended[0].State)
	assert.Zero(t, b.c.Held())
	assert.Empty(t, b.c.flows)
}

func TestSentTwiceByItsClient(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "status", 0)
	b.step(5 * ms)
	again := b.add("m1", "status", 0)
	b.step(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Taken}}, *again)
	assert.Len(t, b.calls, 1)
}

// Another client that uses an open id must not take the answer from the one
// that used it first.
func TestOpenIDOfAnother(t *testing.T) {
	b := newBench(t, nil)
	first, other := b.add("m1", "status", 0), b.add("m1", "status", 0)
	b.step(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Taken}}, *first)
	assert.Equal(t, []Answer{{Verdict: Taken}}, *other)
	assert.Len(t, b.calls, 1)
}

// A destination that no list has named is a mistake. One whose targets have
// left may have others soon.
func TestUnheardDestination(t *testing.T) {
	b := newBench(t, nil)
	var got []Answer
	answer := func(a Answer, _ *store.Message) bool {
		got = append(got, a)
		return true
	}
	r := Request{ID: "m1", Class: "status", Destination: 8, Left: time.Second}
	require.NoError(t, b.c.TakeIn(r, answer))
	require.Len(t, got, 1)
	assert.Equal(t, Fixed, got[0].Verdict)
	b.list(snowjunction.Gone, false)
	r.ID, r.Destination = "m2", 7
	require.NoError(t, b.c.TakeIn(r, answer))
	b.step(5 * ms)
	require.Len(t, got, 2)
	assert.Equal(t, Taken, got[1].Verdict)
}

func TestFullIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, func(s *snowjunction.Settings) { s.MaxHeld = 1 })
	b.add("m1", "status", 0)
	got := b.add("m2", "status", 0)
	require.Len(t, *got, 1)
	assert.Equal(t, Fixed, (*got)[0].Verdict)
	assert.Positive(t, (*got)[0].After)
}

// What the module gives up at its first look was never taken on.
func TestGivenUpBeforeTaken(t *testing.T) {
	b := newBench(t, func(s *snowjunction.Settings) { s.MaxHeld = 2 })
	var all []*[]Answer
	for _, id := range []string{"m1", "m2"} {
		all = append(all, b.add(id, "status", 0))
	}
	b.step(5 * ms)
	verdicts := map[Verdict]int{}
	for _, got := range all {
		require.Len(t, *got, 1)
		verdicts[(*got)[0].Verdict]++
	}
	assert.Equal(t, map[Verdict]int{Taken: 1, Fixed: 1}, verdicts)
	assert.Empty(t, b.ended)
}

func TestClientGone(t *testing.T) {
	b := newBench(t, nil)
	require.NoError(t, b.c.TakeIn(Request{ID: "m1", Class: "status", Destination: 7, Left: time.Second},
		func(Answer, *store.Message) bool { return false }))
	b.step(5 * ms)
	assert.Empty(t, b.calls, "nobody waits for it")
	assert.Zero(t, b.c.Held())
	b.step(5 * ms)
	b.add("m2", "status", 0)
	b.step(5 * ms)
	assert.Len(t, b.calls, 1, "and its slot is free again")
}

// A message ended by a notice is over once that is answered: until then the
// next of its key must not leave, or the key's order is broken.
func TestKeyWaitsForTheNotice(t *testing.T) {
	b := newBench(t, nil)
	b.settle = false
	b.add("m1", "order", 9)
	b.step(5 * ms)
	b.add("m2", "order", 9)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	b.step(3 * time.Second) // the first one's time is up, with its call out
	require.True(t, b.calls[0].gaveUp)
	require.NotEmpty(t, b.ended)
	require.Equal(t, "m1", b.ended[0].ID)
	b.add("m3", "order", 9)
	b.step(5 * ms)
	b.step(100 * ms)
	assert.Len(t, b.calls, 1, "not before the end is known")
	for _, m := range b.ended {
		b.c.Settled(m)
	}
	assert.Len(t, b.calls, 1, "the decision is old: a wait may have been told since")
	for i := 0; i < 300 && len(b.calls) < 2; i++ { // its target has timed out: it gets a trial now and then
		b.step(5 * ms)
	}
	require.Len(t, b.calls, 2)
	assert.Equal(t, "m3", b.calls[1].m.ID)
}

// A target may leave its group between the decision and the sending.
func TestNothingNewToATargetThatLeft(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "status", 0)
	b.listed(0, true)
	b.step(5 * ms)
	assert.Empty(t, b.calls)
	assert.Equal(t, 1, b.left)
	b.list(snowjunction.Ready, true)
	b.step(5 * ms)
	assert.Len(t, b.calls, 1, "back under the same name it is called again")
	b.list(snowjunction.Draining, false)
	assert.Equal(t, 2, b.left)
}

// One front's full list says nothing of another's targets.
func TestListsOfTwoFronts(t *testing.T) {
	b := newBench(t, nil)
	b.listed(1, true, Entry{Name: "s-1", Addr: "127.0.0.1:2", Destination: 7, Phase: snowjunction.Ready})
	b.add("m1", "status", 0)
	b.listed(0, true)
	assert.Equal(t, 1, b.left)
	g := b.c.routes.loaded[7]
	assert.Nil(t, g.find(0, "s-1").target)
	assert.NotNil(t, g.find(1, "s-1").target)
}

// An endpoint that leaves and soon comes back is the same to the module; one
// that stays away is forgotten, as releases bring new ones for ever.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "status", 0)
	g := b.c.routes.loaded[7]
	b.list(snowjunction.Gone, false)
	b.list(snowjunction.Ready, false)
	assert.EqualValues(t, 1, g.find(0, "s-1").id)
	b.list(snowjunction.Gone, false)
	b.step(goneRetention)
	b.list(snowjunction.Ready, false)
	assert.EqualValues(t, 2, g.find(0, "s-1").id)
	assert.Len(t, b.c.routes.byID, 1)
}

// A call whose bytes never left proves that it did not run.
// A repeat's connection takes so long to come up that the window of its class has ended:
// nothing of it leaves, and a restart finds no attempt out.
func TestStaleDecision(t *testing.T) {
	b := newBench(t, func(s *snowjunction.Settings) { s.Classes[0].Window = 500 * ms })
	b.add("m1", "order", 9)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	b.step(200 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.step(5 * ms)
	require.Len(t, b.calls, 2)
	repeat := b.calls[1]
	repeat.left = false
	assert.True(t, repeat.may(), "its window has time left")
	b.now = b.now.Add(250 * ms)
	require.False(t, repeat.may())
	repeat.done(Result{Outcome: snowjunction.Moot})
	b.step(5 * ms)
	assert.Len(t, b.calls, 2)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
	assert.False(t, b.ended[0].Out)
}

func TestNeverConnected(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "status", 0)
	b.step(5 * ms)
	b.calls[0].left = false
	b.step(time.Second)
	assert.True(t, b.calls[0].gaveUp)
	assert.EqualValues(t, 1, b.c.Counters.Results[snowjunction.ConnectFailed])
	assert.False(t, b.calls[0].m.Ran)
}

func TestRestoredKeepsAttemptsAndWindow(t *testing.T) {
	b := newBench(t, nil)
	b.c.Restore([]*store.Message{b.ran("inside", 2*time.Second), b.ran("outside", 4950*ms)})
	b.step(5 * ms)
	require.Len(t, b.calls, 1, "close to the end of its window, or past it, a keyed message never goes again")
	assert.Equal(t, "inside", b.calls[0].m.ID)
	assert.Equal(t, 2, b.calls[0].m.Attempts)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
}

// taken is a message that an earlier process took on.
func (b *bench) taken(id, class string) *store.Message {
	m := &store.Message{ID: id, IdempotencyKey: "k", Class: class, Destination: 7, Deadline: b.now.Add(time.Minute)}
	require.NoError(b.t, b.journal.Take(m))
	return m
}

// ran is such an order, with an attempt that may have run so long ago.
func (b *bench) ran(id string, ago time.Duration) *store.Message {
	m := b.taken(id, "order")
	require.NoError(b.t, b.journal.Sent(m, b.now.Add(-ago)))
	require.NoError(b.t, b.journal.Came(m, true, time.Time{}))
	return m
}

// slowDisk is a journal whose records of attempts take a while.
type slowDisk struct {
	*store.Journal
	b    *bench
	take time.Duration
}

func (s *slowDisk) Sent(m *store.Message, at time.Time) error {
	err := s.Journal.Sent(m, at)
	s.b.now = s.b.now.Add(s.take)
	return err
}

// The record of a repeat takes until its window is over: its bytes stay here.
func TestSlowRecord(t *testing.T) {
	b := newBench(t, nil)
	disk := &slowDisk{Journal: b.journal, b: b}
	b.c.Journal = disk
	b.add("m1", "order", 9)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	disk.take = 5 * time.Second
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.step(5 * ms)
	assert.Len(t, b.calls, 1)
	require.Len(t, b.ended, 1)
	assert.False(t, b.ended[0].Out)
	assert.Equal(t, uint64(1), b.c.Counters.Sent)
}

// A clock that was set back over a restart says nothing of how much of a window is left.
func TestClockSetBackOverRestart(t *testing.T) {
	b := newBench(t, nil)
	b.c.Restore([]*store.Message{b.ran("m1", -time.Hour)})
	b.step(5 * ms)
	assert.Empty(t, b.calls)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
}

// A client that had no answer hands its message in again under a new id and the same
// idempotency key: the window goes on from the first id's attempt.
func TestSameKeyUnderAnotherID(t *testing.T) {
	for _, c := range []struct {
		what    string
		outcome snowjunction.Outcome
		after   time.Duration
		key     string
		sent    bool
	}{
		{"inside", snowjunction.Reset, 2 * time.Second, "k", true},
		{"at the window's end", snowjunction.Reset, 4950 * ms, "k", false},
		{"delivered, and its client has not heard of it", snowjunction.OK, 4950 * ms, "k", false},
		{"it never ran", snowjunction.Full, 4950 * ms, "k", true},
		{"past the window the key is forgotten here", snowjunction.Reset, 6 * time.Second, "k", true},
		{"another key", snowjunction.Reset, 4950 * ms, "other", true},
	} {
		b := newBench(t, nil)
		hand := func(id, key string, left time.Duration) {
			require.NoError(t, b.c.TakeIn(Request{ID: id, Class: "order", IdempotencyKey: key, Destination: 7, Left: left},
				func(Answer, *store.Message) bool { return true }))
			b.step(5 * ms)
		}
		hand("m1", "k", 40*ms) // it ends with this one attempt
		require.Len(t, b.calls, 1, c.what)
		b.step(27 * ms)
		b.calls[0].done(Result{Outcome: c.outcome})
		b.step(c.after - 32*ms)
		require.Len(t, b.calls, 1, c.what)
		hand("m2", c.key, time.Second)
		b.step(100 * ms)
		assert.Equal(t, c.sent, len(b.calls) == 2, c.what)
	}
}

// A restart forgets no key of what it takes up.
func TestSameKeyAfterRestart(t *testing.T) {
	b := newBench(t, nil)
	b.c.Restore([]*store.Message{b.ran("m1", 4940*ms)})
	b.step(60 * ms)
	require.Len(t, b.ended, 1)
	require.NoError(t, b.c.TakeIn(Request{ID: "m2", Class: "order", IdempotencyKey: "k", Destination: 7, Left: time.Second},
		func(Answer, *store.Message) bool { return true }))
	b.step(100 * ms)
	assert.Empty(t, b.calls)
}

// The process is killed at each step of a message's way, and another takes up its journal:
// what may have run goes again as its class allows, an order inside its window alone, and
// what has ended not at all.
func TestKilledAtEachStep(t *testing.T) {
	const way = "taken sent ran ended settled"
	for _, step := range append(strings.Fields(way), "never") {
		for i, later := range []time.Duration{time.Second, 6 * time.Second, 6 * time.Second} {
			b, class := newBench(t, nil), []string{"order", "order", "status"}[i]
			m := b.taken("m1", class)
			steps := map[string]func() error{
				"taken": func() error { return nil }, "sent": func() error { return b.journal.Sent(m, b.now) },
				"ran": func() error { return b.journal.Came(m, true, time.Time{}) }, "never": func() error { return b.journal.Came(m, false, time.Time{}) },
				"ended":   func() error { return b.journal.Ended(m, store.Delivered, 0, b.now) },
				"settled": func() error { return b.journal.Settle(m) },
			}
			done, _, _ := strings.Cut(strings.Replace(way, "ran", map[bool]string{true: "never", false: "ran"}[step == "never"], 1), step)
			for _, s := range append(strings.Fields(done), step) {
				require.NoError(t, steps[s]())
			}
			next := newBenchWith(&bench{t: t, now: b.now.Add(later), settle: true, dir: b.dir}, nil)
			next.c.Restore(next.heirs)
			next.step(5 * ms)
			may := step == "taken" || step == "never" || (later < 5*time.Second || class == "status") && (step == "sent" || step == "ran")
			assert.Equal(t, may, len(next.calls) == 1, "%s, %s, %v later", class, step, later)
			if step == "ended" {
				require.Len(t, next.ended, 1, "its client's side hears of it")
				assert.Equal(t, store.Delivered, next.ended[0].State)
			}
		}
	}
}

func TestFreezeLeavesTheRestInTheJournal(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "status", 0)
	b.step(5 * ms)
	b.c.Drain()
	got := b.add("m2", "status", 0)
	assert.Equal(t, Fixed, (*got)[0].Verdict)
	idle := false
	b.c.Freeze(func() { idle = true })
	assert.False(t, idle, "a call is out")
	b.calls[0].done(Result{Outcome: snowjunction.Error})
	assert.True(t, idle)
	b.step(time.Minute)
	assert.Empty(t, b.ended, "nothing is decided any more")
}

// After a reset the attempt may still be running: the key rests, on this side
// for a little longer than the other side asks.
func TestKeyRests(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "order", 9)
	b.add("m2", "order", 9)
	b.step(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.step(5 * ms)
	require.Len(t, b.calls, 2)
	require.Equal(t, "m1", b.calls[1].m.ID, "its own repeat need not wait")
	b.calls[1].done(Result{Outcome: snowjunction.OK})
	for range 30 {
		b.step(5 * ms)
		assert.Len(t, b.calls, 2, "over the setting's 100 ms")
	}
	for range 4 {
		b.step(5 * ms)
	}
	require.Len(t, b.calls, 3)
	assert.Equal(t, "m2", b.calls[2].m.ID)
}
