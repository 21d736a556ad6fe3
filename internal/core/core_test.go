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
	"snowjunction/internal/confidence"
	"snowjunction/internal/groups"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/store"
)

const ms = time.Millisecond

// harness drives a core with a manual clock. It is the core's front, and its targets record the
// calls that they get.
type harness struct {
	t       testing.TB
	c       *Core
	now     time.Time
	journal *store.Journal
	ended   []*store.Message
	settle  bool // settle ends at once
	calls   []*testCall
	// If set, calls are sent only when the test calls connect.
	connecting   bool
	emptyList    bool // start without listed endpoints
	leftTargets  int  // targets that have left their groups
	targets      []Entry
	dormancy     *idlestate.Config
	beyond       SnapshotStore
	learnt       LearnedStore
	directories  map[int]Directory
	plugins      Plugins
	journalDir   string
	restored     []*store.Message      // messages that a previous process left in the journal
	resumes      func(seq uint64) bool // which attempts in flight continue, by message number
	journalBytes int64                 // size limit of the journal in bytes; 0 means 3e6
}

type testCall struct {
	b         *harness
	m         *store.Message
	shape     Shape
	done      func(Result)
	mayStart  func() bool
	sent      bool
	abandoned bool
	idleFor   time.Duration
	addr      string
}

// connect simulates that the call's connection is up. The call is sent if that is still allowed.
func (x *testCall) connect() bool {
	if x.sent = x.mayStart(); x.sent {
		assert.True(x.b.t, x.m.InFlight, "an attempt is recorded before it is sent")
	}
	return x.sent
}

func (x *testCall) Sent() bool { return x.sent }
func (x *testCall) GiveUp()    { x.abandoned = true }

func (x *testCall) IdleBefore() time.Duration { return x.idleFor }

type testTarget struct {
	b    *harness
	addr string
}

func (x testTarget) Call(m *store.Message, shape Shape, _ time.Duration, may func() bool, done func(Result)) Call {
	call := &testCall{b: x.b, m: m, shape: shape, mayStart: may, done: done, addr: x.addr}
	if !x.b.connecting && !call.connect() {
		return nil
	}
	x.b.calls = append(x.b.calls, call)
	return call
}
func (x testTarget) CloseIdle() {}
func (x testTarget) Retire()    { x.b.leftTargets++ }

func (b *harness) Target(e Entry) Target {
	b.targets = append(b.targets, e)
	return testTarget{b, e.Addr}
}

func (b *harness) Ended(m *store.Message) {
	b.ended = append(b.ended, m)
	if b.settle {
		b.c.Settled(m)
	}
}

func newHarness(t testing.TB, change func(*snowjunction.Settings)) *harness {
	return newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true}, change)
}

func newHarnessWith(b *harness, change func(*snowjunction.Settings)) *harness {
	t := b.t
	log := slog.New(slog.DiscardHandler)
	var err error
	if b.journalDir == "" {
		b.journalDir = t.TempDir()
	}
	s := snowjunction.Settings{
		Seed: 1, Fleet: 1, Tick: 5 * ms, Slots: 8, MaxHeld: 10, MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: 3 * time.Second,
		ConnectTimeout: time.Second, OrderSettle: 100 * ms, Kinds: []snowjunction.Kind{{BundleMax: 1}},
		Classes: []snowjunction.Class{
			{Name: "order", Effect: snowjunction.Keyed, Window: 5 * time.Second, TargetLatency: time.Second, Deadline: 20 * time.Second, Value: 1, InOrder: true},
			{Name: "status", TargetLatency: time.Second, Deadline: 8 * time.Second, Value: 2},
		},
	}
	if change != nil {
		change(&s)
	}
	b.journal, b.restored, err = store.Load(store.Options{Dir: b.journalDir, Bytes: cmp.Or(b.journalBytes, 3e6), Log: log, StillInFlight: b.resumes, RememberUntil: Until(s)})
	require.NoError(t, err)
	t.Cleanup(func() { b.journal.Close() })
	b.c, err = New(Config{
		Loop: NewLoop(func() time.Time { return b.now }), Log: log, Journal: b.journal, Settings: s, Fronts: []Front{b, b}, Dormancy: b.dormancy, SnapshotStore: b.beyond, Plugins: b.plugins,
		LearnedStore: b.learnt, Directories: b.directories,
	})
	require.NoError(t, err)
	if !b.emptyList {
		b.list(snowjunction.Ready, true)
	}
	return b
}

func (b *harness) list(phase snowjunction.Phase, full bool) {
	b.listed(0, full, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: phase})
	b.advance(10 * ms)
}

func (b *harness) listed(front int, full bool, entries ...Entry) {
	l, err := groups.ListOf(full, false, entries)
	require.NoError(b.t, err)
	require.NoError(b.t, b.c.UpdateList(front, l))
}

func full(entries ...Entry) *groups.List {
	l, err := groups.ListOf(true, false, entries)
	if err != nil {
		panic(err)
	}
	return l
}

// standing returns the confidence in an endpoint of the first front.
func (b *harness) standing(name string) confidence.Level { return b.c.confidenceIn(0, name) }

func (b *harness) advance(d time.Duration) {
	b.c.Loop.Turn()
	b.now = b.now.Add(d)
	b.c.Loop.Turn()
}

// submit submits a message and returns the slice that receives its answers.
func (b *harness) submit(id, class string, key uint64) *[]Answer {
	got := &[]Answer{}
	err := b.c.Submit(Request{ID: id, Class: class, Key: key, IdempotencyKey: id, Destination: 7, TimeLeft: 2 * time.Second},
		func(a Answer, _ *store.Message) bool {
			*got = append(*got, a)
			return true
		})
	require.NoError(b.t, err)
	return got
}

func TestAcceptedThenDelivered(t *testing.T) {
	b := newHarness(t, nil)
	got := b.submit("m1", "status", 0)
	assert.Empty(t, *got, "no answer before the module's decision")
	b.advance(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *got)
	require.Len(t, b.calls, 1)
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.calls[0].done(Result{Outcome: snowjunction.Error}) // a second result is ignored
	b.advance(5 * ms)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Delivered, b.ended[0].State)
	assert.Zero(t, b.c.Held())
	assert.Empty(t, b.c.flows)
}

func TestResubmittedWhileOpen(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	second := b.submit("m1", "status", 0)
	b.advance(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *second)
	assert.Len(t, b.calls, 1)
}

// Another client with the same id as an open message must not take away the first client's answer.
func TestOpenIDUsedByTwoClients(t *testing.T) {
	b := newHarness(t, nil)
	first, other := b.submit("m1", "status", 0), b.submit("m1", "status", 0)
	b.advance(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *first)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *other)
	assert.Len(t, b.calls, 1)
}

// A message for a destination that was never listed is refused. One whose endpoints have just left
// is accepted, as others may be listed soon.
func TestUnlistedDestination(t *testing.T) {
	b := newHarness(t, nil)
	var got []Answer
	answer := func(a Answer, _ *store.Message) bool {
		got = append(got, a)
		return true
	}
	r := Request{ID: "m1", Class: "status", Destination: 8, TimeLeft: time.Second}
	require.NoError(t, b.c.Submit(r, answer))
	require.Len(t, got, 1)
	assert.Equal(t, FixedResponse, got[0].Verdict)
	b.list(snowjunction.Gone, false)
	r.ID, r.Destination = "m2", 7
	require.NoError(t, b.c.Submit(r, answer))
	b.advance(5 * ms)
	require.Len(t, got, 2)
	assert.Equal(t, Accepted, got[1].Verdict)
}

func TestRefusedAtCapacity(t *testing.T) {
	b := newHarness(t, func(s *snowjunction.Settings) { s.MaxHeld = 1 })
	b.submit("m1", "status", 0)
	got := b.submit("m2", "status", 0)
	require.Len(t, *got, 1)
	assert.Equal(t, FixedResponse, (*got)[0].Verdict)
	assert.Positive(t, (*got)[0].RetryAfter)
}

// A message that the module gives up in its first decision was never accepted.
func TestGivenUpBeforeAccepted(t *testing.T) {
	b := newHarness(t, func(s *snowjunction.Settings) { s.MaxHeld = 2 })
	var all []*[]Answer
	for _, id := range []string{"m1", "m2"} {
		all = append(all, b.submit(id, "status", 0))
	}
	b.advance(5 * ms)
	verdicts := map[Verdict]int{}
	for _, got := range all {
		require.Len(t, *got, 1)
		verdicts[(*got)[0].Verdict]++
	}
	assert.Equal(t, map[Verdict]int{Accepted: 1, FixedResponse: 1}, verdicts)
	assert.Empty(t, b.ended)
}

func TestClientDisconnected(t *testing.T) {
	b := newHarness(t, nil)
	require.NoError(t, b.c.Submit(Request{ID: "m1", Class: "status", Destination: 7, TimeLeft: time.Second},
		func(Answer, *store.Message) bool { return false }))
	b.advance(5 * ms)
	assert.Empty(t, b.calls, "no client waits for it")
	assert.Zero(t, b.c.Held())
	b.advance(5 * ms)
	b.submit("m2", "status", 0)
	b.advance(5 * ms)
	assert.Len(t, b.calls, 1, "its slot is free again")
}

// A message is over only when its notice is confirmed. If the next message of its key were sent
// earlier, the key's order would be broken.
func TestKeyWaitsForNotice(t *testing.T) {
	b := newHarness(t, nil)
	b.settle = false
	b.submit("m1", "order", 9)
	b.advance(5 * ms)
	b.submit("m2", "order", 9)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.advance(3 * time.Second) // the first message expires with its call in flight
	require.True(t, b.calls[0].abandoned)
	require.NotEmpty(t, b.ended)
	require.Equal(t, "m1", b.ended[0].ID)
	b.submit("m3", "order", 9)
	b.advance(5 * ms)
	b.advance(100 * ms)
	assert.Len(t, b.calls, 1, "not sent before the end is confirmed")
	for _, m := range b.ended {
		b.c.Settled(m)
	}
	assert.Len(t, b.calls, 1, "the decision is too old: a retry-after delay may have arrived since")
	for i := 0; i < 300 && len(b.calls) < 2; i++ { // its endpoint has timed out and gets only trial calls
		b.advance(5 * ms)
	}
	require.Len(t, b.calls, 2)
	assert.Equal(t, "m3", b.calls[1].m.ID)
}

// A target may leave its group between the module's decision and the sending.
func TestNoCallToRemovedTarget(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.listed(0, true)
	b.advance(5 * ms)
	assert.Empty(t, b.calls)
	assert.Equal(t, 1, b.leftTargets)
	b.list(snowjunction.Ready, true)
	b.advance(5 * ms)
	assert.Len(t, b.calls, 1, "listed again under the same name, it is called again")
	b.list(snowjunction.Draining, false)
	assert.Equal(t, 2, b.leftTargets)
}

// A full list of one front does not affect another front's targets.
func TestListsOfTwoFronts(t *testing.T) {
	b := newHarness(t, nil)
	b.listed(1, true, Entry{Name: "s-1", Addr: "127.0.0.1:2", Destination: 7, Phase: snowjunction.Ready})
	b.submit("m1", "status", 0)
	b.listed(0, true)
	assert.Equal(t, 1, b.leftTargets)
	g := b.c.routes.loaded[7]
	assert.Nil(t, g.find(0, "s-1").target)
	assert.NotNil(t, g.find(1, "s-1").target)
}

// An endpoint that leaves and soon returns keeps its number. One that stays away is forgotten;
// otherwise every release would add endpoints that are kept forever.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	g := b.c.routes.loaded[7]
	b.list(snowjunction.Gone, false)
	b.list(snowjunction.Ready, false)
	assert.EqualValues(t, 1, g.find(0, "s-1").id)
	b.list(snowjunction.Gone, false)
	b.advance(goneRetention)
	b.list(snowjunction.Ready, false)
	assert.EqualValues(t, 2, g.find(0, "s-1").id)
	assert.Len(t, b.c.routes.byID, 1)
}

// A retry's connection takes so long that the window of its class ends. Nothing of the retry is
// sent, and a restart finds no attempt in flight.
func TestRetryConnectsAfterWindow(t *testing.T) {
	b := newHarness(t, func(s *snowjunction.Settings) { s.Classes[0].Window = 500 * ms })
	b.submit("m1", "order", 9)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.advance(200 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.advance(5 * ms)
	require.Len(t, b.calls, 2)
	retry := b.calls[1]
	retry.sent = false
	assert.True(t, retry.mayStart(), "its window is still open")
	b.now = b.now.Add(250 * ms)
	require.False(t, retry.mayStart())
	retry.done(Result{Outcome: snowjunction.NotSent})
	b.advance(5 * ms)
	assert.Len(t, b.calls, 2)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
	assert.False(t, b.ended[0].InFlight)
}

// A call of which no byte was sent has certainly not run.
func TestNeverConnected(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.calls[0].sent = false
	b.advance(time.Second)
	assert.True(t, b.calls[0].abandoned)
	assert.EqualValues(t, 1, b.c.Counters.Results[snowjunction.ConnectFailed])
	assert.False(t, b.calls[0].m.MayHaveRun)
}

func TestRestoredKeepsAttemptsAndWindow(t *testing.T) {
	b := newHarness(t, nil)
	b.c.Restore([]*store.Message{b.ranMessage("inside", 2*time.Second), b.ranMessage("outside", 4950*ms)})
	b.advance(5 * ms)
	require.Len(t, b.calls, 1, "a keyed message is not sent close to the end of its window or after it")
	assert.Equal(t, "inside", b.calls[0].m.ID)
	assert.Equal(t, 2, b.calls[0].m.Attempts)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
}

// acceptedMessage returns a message that a previous process accepted.
func (b *harness) acceptedMessage(id, class string) *store.Message {
	m := &store.Message{ID: id, IdempotencyKey: "k", Class: class, Destination: 7, Deadline: b.now.Add(time.Minute)}
	require.NoError(b.t, b.journal.Accept(m))
	return m
}

// ranMessage returns an accepted order with an attempt that may have run the given time ago.
func (b *harness) ranMessage(id string, ago time.Duration) *store.Message {
	m := b.acceptedMessage(id, "order")
	require.NoError(b.t, b.journal.RecordAttempt(m, b.now.Add(-ago)))
	require.NoError(b.t, b.journal.RecordOutcome(m, true, time.Time{}))
	return m
}

// slowJournal is a journal that takes some time to record an attempt.
type slowJournal struct {
	*store.Journal
	b     *harness
	delay time.Duration
}

func (s *slowJournal) RecordAttempt(m *store.Message, at time.Time) error {
	err := s.Journal.RecordAttempt(m, at)
	s.b.now = s.b.now.Add(s.delay)
	return err
}

// Recording a retry takes until its window is over. The retry must not be sent.
func TestSlowJournalWriteOfRetry(t *testing.T) {
	b := newHarness(t, nil)
	disk := &slowJournal{Journal: b.journal, b: b}
	b.c.Journal = disk
	b.submit("m1", "order", 9)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	disk.delay = 5 * time.Second
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.advance(5 * ms)
	assert.Len(t, b.calls, 1)
	require.Len(t, b.ended, 1)
	assert.False(t, b.ended[0].InFlight)
	assert.Equal(t, uint64(1), b.c.Counters.Sent)
}

// If the clock was set back over a restart, the rest of a window is unknown, so nothing is sent.
func TestClockSetBackOverRestart(t *testing.T) {
	b := newHarness(t, nil)
	b.c.Restore([]*store.Message{b.ranMessage("m1", -time.Hour)})
	b.advance(5 * ms)
	assert.Empty(t, b.calls)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
}

// A client without an answer resubmits its message under a new id with the same idempotency key.
// The window counts from the first id's attempt.
func TestSameKeyUnderAnotherID(t *testing.T) {
	for _, c := range []struct {
		what    string
		outcome snowjunction.Outcome
		after   time.Duration
		key     string
		sent    bool
	}{
		{"within the window", snowjunction.Reset, 2 * time.Second, "k", true},
		{"at the window's end", snowjunction.Reset, 4950 * ms, "k", false},
		{"delivered, but the client got no answer", snowjunction.OK, 4950 * ms, "k", false},
		{"it never ran", snowjunction.Rejected, 4950 * ms, "k", true},
		{"after the window, key forgotten", snowjunction.Reset, 6 * time.Second, "k", true},
		{"another key", snowjunction.Reset, 4950 * ms, "other", true},
	} {
		b := newHarness(t, nil)
		submit := func(id, key string, left time.Duration) {
			require.NoError(t, b.c.Submit(Request{ID: id, Class: "order", IdempotencyKey: key, Destination: 7, TimeLeft: left},
				func(Answer, *store.Message) bool { return true }))
			b.advance(5 * ms)
		}
		submit("m1", "k", 40*ms) // expires after this one attempt
		require.Len(t, b.calls, 1, c.what)
		b.advance(27 * ms)
		b.calls[0].done(Result{Outcome: c.outcome})
		b.advance(c.after - 32*ms)
		require.Len(t, b.calls, 1, c.what)
		submit("m2", c.key, time.Second)
		b.advance(100 * ms)
		assert.Equal(t, c.sent, len(b.calls) == 2, c.what)
	}
}

// The keys of restored messages are remembered.
func TestSameKeyAfterRestart(t *testing.T) {
	b := newHarness(t, nil)
	b.c.Restore([]*store.Message{b.ranMessage("m1", 4940*ms)})
	b.advance(60 * ms)
	require.Len(t, b.ended, 1)
	require.NoError(t, b.c.Submit(Request{ID: "m2", Class: "order", IdempotencyKey: "k", Destination: 7, TimeLeft: time.Second},
		func(Answer, *store.Message) bool { return true }))
	b.advance(100 * ms)
	assert.Empty(t, b.calls)
}

// The process is killed after each step of a message, and another one opens its journal. A message
// that may have run is sent again only if its class allows that, an order only within its window. A
// message with a final result is not sent again.
func TestKilledAfterEachStep(t *testing.T) {
	const way = "taken sent ran ended settled"
	for _, step := range append(strings.Fields(way), "never") {
		for i, later := range []time.Duration{time.Second, 6 * time.Second, 6 * time.Second} {
			b, class := newHarness(t, nil), []string{"order", "order", "status"}[i]
			m := b.acceptedMessage("m1", class)
			steps := map[string]func() error{
				"taken": func() error { return nil }, "sent": func() error { return b.journal.RecordAttempt(m, b.now) },
				"ran": func() error { return b.journal.RecordOutcome(m, true, time.Time{}) }, "never": func() error { return b.journal.RecordOutcome(m, false, time.Time{}) },
				"ended":   func() error { return b.journal.RecordFinalState(m, store.Delivered, 0, b.now) },
				"settled": func() error { return b.journal.Settle(m) },
			}
			done, _, _ := strings.Cut(strings.Replace(way, "ran", map[bool]string{true: "never", false: "ran"}[step == "never"], 1), step)
			for _, s := range append(strings.Fields(done), step) {
				require.NoError(t, steps[s]())
			}
			next := newHarnessWith(&harness{t: t, now: b.now.Add(later), settle: true, journalDir: b.journalDir}, nil)
			next.c.Restore(next.restored)
			next.advance(5 * ms)
			may := step == "taken" || step == "never" || (later < 5*time.Second || class == "status") && (step == "sent" || step == "ran")
			assert.Equal(t, may, len(next.calls) == 1, "%s, %s, %v later", class, step, later)
			if step == "ended" {
				require.Len(t, next.ended, 1, "the end is reported again")
				assert.Equal(t, store.Delivered, next.ended[0].State)
			}
		}
	}
}

func TestFreezeKeepsOpenMessagesInJournal(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.c.Drain()
	got := b.submit("m2", "status", 0)
	assert.Equal(t, FixedResponse, (*got)[0].Verdict)
	idle := false
	b.c.Freeze(func() { idle = true })
	assert.False(t, idle, "a call is in flight")
	b.calls[0].done(Result{Outcome: snowjunction.Error})
	assert.True(t, idle)
	b.advance(time.Minute)
	assert.Empty(t, b.ended, "no decisions after Freeze")
}

// After a reset the attempt may still run, so its key is held, with some slack added to the
// configured time because the hold starts at the endpoint.
func TestKeyHeldAfterReset(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "order", 9)
	b.submit("m2", "order", 9)
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.advance(5 * ms)
	require.Len(t, b.calls, 2)
	require.Equal(t, "m1", b.calls[1].m.ID, "a retry of the same message need not wait")
	b.calls[1].done(Result{Outcome: snowjunction.OK})
	for range 30 {
		b.advance(5 * ms)
		assert.Len(t, b.calls, 2, "held for longer than the configured 100 ms")
	}
	for range 4 {
		b.advance(5 * ms)
	}
	require.Len(t, b.calls, 3)
	assert.Equal(t, "m2", b.calls[2].m.ID)
}
