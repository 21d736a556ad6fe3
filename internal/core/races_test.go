package core

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/idempotency"
	"snowjunction/internal/store"
)

// Messages of a previous process wait until the directory confirms its list. Their windows and
// deadlines must not be extended by that wait.
func TestPauseDoesNotExtendTimes(t *testing.T) {
	for name, tc := range map[string]struct {
		class    string
		deadline time.Duration // after the restart
		window   time.Duration // rest of the window of the attempt that may have run
		sent     bool
	}{
		"window ends during the pause":     {class: "order", deadline: 20 * time.Second, window: 40 * ms},
		"window still open":                {class: "order", deadline: 20 * time.Second, window: time.Second, sent: true},
		"deadline passes during the pause": {class: "status", deadline: 40 * ms, window: time.Second},
		"deadline not passed":              {class: "status", deadline: time.Second, window: time.Second, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			m := &store.Message{
				ID: "m1", IdempotencyKey: "k1", Class: tc.class, Destination: 7, Deadline: b.now.Add(tc.deadline), Attempts: 1,
				MayHaveRun: true, MayHaveRunSince: b.now.Add(tc.window + windowSlack - 5*time.Second),
			}
			require.NoError(t, b.journal.Accept(m))
			b.c.Pause(80 * ms)
			b.c.Restore([]*store.Message{m})
			b.advance(81 * ms)
			b.advance(10 * ms)
			if tc.sent {
				assert.Len(t, b.calls, 1)
				return
			}
			assert.Empty(t, b.calls)
			assert.Len(t, b.ended, 1)
		})
	}
}

// A success after the message's deadline counts as failed for the client, which still gets a final
// result.
func TestAnswerAfterDeadline(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration
		state store.State
	}{
		"before the deadline": {time.Second, store.Delivered},
		"after the deadline":  {2*time.Second + ms, store.Failed},
		"after the deadline for the client, which counts from sending": {2*time.Second - ms, store.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.submit("m1", "order", 5)
			b.advance(5 * ms)
			require.Len(t, b.calls, 1)
			b.now = b.now.Add(tc.after - 5*ms) // before the loop's timers run
			b.calls[0].done(Result{Outcome: snowjunction.OK})
			require.Len(t, b.ended, 1)
			assert.Equal(t, tc.state, b.ended[0].State)
			b.advance(5 * ms)
			assert.Empty(t, b.c.flows)
		})
	}
}

// A message that may have run is over, the courier is killed, and the client resubmits under
// another id. The window of the first attempt still applies.
func TestWindowOutlastsProcess(t *testing.T) {
	for name, tc := range map[string]struct {
		settled   bool
		compacted bool          // compact the journal before each of two kills
		after     time.Duration // after the first attempt was sent
		sent      bool
	}{
		"window over, journal compacted": {settled: true, compacted: true, after: 4945 * ms},
		"window open, journal compacted": {settled: true, compacted: true, after: 3 * time.Second, sent: true},
		"window over":                    {settled: true, after: 4945 * ms},
		"window over, end not settled":   {after: 4945 * ms},
		"window open":                    {settled: true, after: 3 * time.Second, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, nil)
			b.settle = tc.settled
			b.submit("m1", "order", 5)
			b.advance(5 * ms)
			require.Len(t, b.calls, 1)
			sent := b.now
			b.advance(2 * time.Second) // its deadline passes
			require.Len(t, b.ended, 1)
			if tc.compacted {
				b.compact()
				b = b.restarted(100*ms, nil)
				b.compact()
			}
			next := b.restarted(sent.Add(tc.after-10*ms).Sub(b.now), nil)
			err := next.c.Submit(Request{ID: "m2", Class: "order", Key: 6, IdempotencyKey: "m1", Destination: 7, TimeLeft: 10 * time.Second},
				func(Answer, *store.Message) bool { return true })
			require.NoError(t, err)
			next.advance(5 * ms)
			next.advance(5 * ms)
			assert.Equal(t, tc.sent, len(next.calls) == 1)
		})
	}
}

// The restored messages without an earlier attempt are counted: how many are attempted later and
// how many end without an attempt.
func TestUntriedAreCounted(t *testing.T) {
	b := newHarness(t, nil)
	message := func(id string, left time.Duration, attempts int) *store.Message {
		m := &store.Message{ID: id, Class: "status", Destination: 7, Deadline: b.now.Add(left), Attempts: attempts}
		require.NoError(t, b.journal.Accept(m))
		return m
	}
	b.c.Restore([]*store.Message{message("goes", time.Second, 0), message("too late", -time.Second, 0), message("was tried", time.Second, 1)})
	b.advance(5 * ms)
	b.advance(5 * ms)
	n := b.c.Counters
	assert.Equal(t, [4]uint64{3, 2, 1, 1}, [4]uint64{n.Restored, n.RestoredUntried, n.UntriedAttempted, n.UntriedAbandoned})
}

// A process dies with an attempt in flight, and the next process gives that message up. The next
// message of the key must still wait until the attempt cannot be running any more.
func TestKeyHeldAfterKill(t *testing.T) {
	b := newHarness(t, func(s *snowjunction.Settings) {
		s.OrderSettle = 700 * ms
		s.Classes[0].Effect = snowjunction.Unsafe
	})
	var left []*store.Message
	for _, id := range []string{"out", "next"} {
		m := &store.Message{ID: id, Class: "order", Key: 5, Destination: 7, Deadline: b.now.Add(5 * time.Second)}
		require.NoError(t, b.journal.Accept(m))
		left = append(left, m)
	}
	require.NoError(t, b.journal.RecordAttempt(left[0], b.now))
	next := newHarnessWith(&harness{t: t, now: b.now.Add(10 * ms), settle: true, journalDir: b.journalDir}, func(s *snowjunction.Settings) {
		s.OrderSettle = 700 * ms
		s.Classes[0].Effect = snowjunction.Unsafe
	})
	next.c.RestoreSettled(next.journal.SettledMayHaveRun())
	next.c.Restore(next.restored)
	next.advance(5 * ms)
	next.advance(700 * ms)
	require.Len(t, next.ended, 1)
	assert.Equal(t, "out", next.ended[0].ID)
	assert.Empty(t, next.calls)
	next.advance(settleSlack)
	next.advance(10 * ms)
	assert.Len(t, next.calls, 1)
}

// restarted returns a harness for a new process that opens the same journal after the given time.
func (b *harness) restarted(after time.Duration, change func(*snowjunction.Settings)) *harness {
	next := newHarnessWith(&harness{t: b.t, now: b.now.Add(after), settle: true, journalDir: b.journalDir}, change)
	next.c.RestoreSettled(next.journal.SettledMayHaveRun())
	next.c.Restore(next.restored)
	next.advance(5 * ms)
	next.advance(5 * ms)
	return next
}

// newConnecting returns a harness with one call that has waited 900 ms for its connection.
func newConnecting(t *testing.T, change func(*snowjunction.Settings)) *harness {
	b := newHarness(t, change)
	b.connecting = true
	require.NoError(t, b.c.Submit(Request{ID: "m1", Class: "order", IdempotencyKey: "k1", Destination: 7, TimeLeft: 20 * time.Second},
		func(Answer, *store.Message) bool { return true }))
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.advance(900 * ms)
	return b
}

// A connection takes most of a window to come up. Until then the attempt has not run, whatever its
// class. After that the window counts from the first byte sent, also over a kill.
func TestKilledWhileConnecting(t *testing.T) {
	for name, tc := range map[string]struct {
		effect snowjunction.Effect
		opened bool
		after  time.Duration // after the connection came up, or would have
		sent   bool
	}{
		"connecting":                           {effect: snowjunction.Unsafe, after: 600 * ms, sent: true},
		"connecting, past the window":          {effect: snowjunction.Keyed, after: 5 * time.Second, sent: true},
		"sent":                                 {effect: snowjunction.Unsafe, opened: true, after: 600 * ms},
		"sent, within the window":              {effect: snowjunction.Keyed, opened: true, after: 900 * ms, sent: true},
		"sent, close to the end of the window": {effect: snowjunction.Keyed, opened: true, after: 930 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			change := func(s *snowjunction.Settings) { s.Classes[0].Window, s.Classes[0].Effect = time.Second, tc.effect }
			b := newConnecting(t, change)
			if tc.opened {
				require.True(t, b.calls[0].connect())
			}
			next := b.restarted(tc.after, change)
			assert.Equal(t, tc.sent, len(next.calls) == 1)
			assert.Equal(t, !tc.sent, len(next.ended) == 1)
		})
	}
}

// An attempt that could not connect is counted as made after a kill, but not as run.
func TestFailedConnectCountedAfterKill(t *testing.T) {
	b := newHarness(t, func(s *snowjunction.Settings) { s.MaxAttempts = 2 })
	b.connecting = true
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.advance(time.Second) // it never connects
	require.True(t, b.calls[0].abandoned)
	_, left, err := store.Load(store.Options{Dir: b.journalDir, Bytes: 3e6, Log: b.c.Log})
	require.NoError(t, err)
	require.Len(t, left, 1)
	assert.Equal(t, 1, left[0].Attempts)
	assert.False(t, left[0].MayHaveRun)
}

// The disk is slow to record an attempt that then may have run. Its window counts from the first
// byte sent, in the next process as well.
func TestWindowStartsAfterSlowJournalWrite(t *testing.T) {
	change := func(s *snowjunction.Settings) { s.Classes[0].Window = time.Second }
	b := newHarness(t, change)
	b.c.Journal = &slowJournal{Journal: b.journal, b: b, delay: 400 * ms}
	b.connecting = true
	b.submit("m1", "order", 5)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	require.True(t, b.calls[0].connect())
	left := b.now // once the record is written
	b.calls[0].done(Result{Outcome: snowjunction.Error})
	_, found, err := store.Load(store.Options{Dir: b.journalDir, Bytes: 3e6, Log: b.c.Log})
	require.NoError(t, err)
	require.Len(t, found, 1)
	assert.True(t, found[0].MayHaveRun)
	assert.Zero(t, found[0].MayHaveRunSince.Sub(left).Truncate(ms))
}

// compact has all present records of the journal copied or dropped.
func (b *harness) compact() {
	segments := func() []string {
		names, err := filepath.Glob(filepath.Join(b.journalDir, "journal-*"))
		require.NoError(b.t, err)
		return names
	}
	for newest := slices.Max(segments()); slices.Min(segments()) <= newest; {
		b.addFiller()
	}
}

// addFiller adds a message to the journal that ends at once.
func (b *harness) addFiller() {
	m := &store.Message{ID: "filler", Class: "status", Body: make([]byte, MaxBody)}
	require.NoError(b.t, b.journal.Accept(m))
	require.NoError(b.t, b.journal.RecordFinalState(m, store.Withdrawn, 0, b.now))
	require.NoError(b.t, b.journal.Settle(m))
}

// A message ends and its attempt is abandoned; the journal is compacted and the process killed. The
// next message of its key must still wait, although there is no idempotency key.
func TestKeyHoldOutlastsCompaction(t *testing.T) {
	for name, compacts := range map[string]int{"killed": 0, "compacted and killed": 1, "and once more": 2} {
		t.Run(name, func(t *testing.T) {
			change := func(s *snowjunction.Settings) {
				s.OrderSettle = 700 * ms
				s.Classes[0].Effect = snowjunction.Unsafe
			}
			b := newHarness(t, change)
			for _, id := range []string{"first", "next"} {
				require.NoError(t, b.c.Submit(Request{ID: id, Class: "order", Key: 5, Destination: 7, TimeLeft: map[string]time.Duration{
					"first": time.Second, "next": 10 * time.Second,
				}[id]}, func(Answer, *store.Message) bool { return true }))
			}
			b.advance(5 * ms)
			require.Len(t, b.calls, 1)
			b.advance(time.Second)
			b.advance(5 * ms)
			require.Len(t, b.ended, 1)
			require.True(t, b.calls[0].abandoned)
			for range compacts {
				b.compact()
				b = b.restarted(ms, change)
			}
			b = b.restarted(ms, change)
			b.advance(700 * ms)
			assert.Empty(t, b.calls)
			b.advance(settleSlack)
			b.advance(10 * ms)
			require.Len(t, b.calls, 1)
			assert.Equal(t, "next", b.calls[0].m.ID)
		})
	}
}

// A message delivered by its only attempt is certainly over: its key is not held after a kill.
func TestDeliveredLeavesNoKeyHold(t *testing.T) {
	change := func(s *snowjunction.Settings) { s.OrderSettle = 700 * ms }
	b := newHarness(t, change)
	b.submit("m1", "order", 5)
	b.submit("m2", "order", 5)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.c.Freeze(func() {})
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b = b.restarted(ms, change)
	require.Len(t, b.calls, 1)
	assert.Equal(t, "m2", b.calls[0].m.ID)
}

// The clock is set back over a restart, so it is unknown when a settled message ran. A resubmission
// is not sent, neither at once nor when the clock has caught up.
func TestClockSetBackWithRememberedKey(t *testing.T) {
	for _, later := range []time.Duration{0, 2900 * ms, 3100 * ms, 4900 * ms} {
		b := newHarness(t, nil)
		b.submit("m1", "order", 0)
		b.advance(5 * ms)
		require.Len(t, b.calls, 1)
		b.calls[0].done(Result{Outcome: snowjunction.OK})
		b = b.restarted(-3*time.Second, nil)
		b.advance(later)
		require.NoError(t, b.c.Submit(Request{ID: "m2", Class: "order", IdempotencyKey: "m1", Destination: 7, TimeLeft: 10 * time.Second},
			func(Answer, *store.Message) bool { return true }))
		b.advance(5 * ms)
		b.advance(5 * ms)
		assert.Empty(t, b.calls, "%v later", later)
	}
}

// A message ends with its attempt in flight, and the attempt then turns out not to have run. After
// a kill a resubmission is sent as if there had been no attempt.
func TestNotRunKnownAfterEnd(t *testing.T) {
	for outcome, sent := range map[snowjunction.Outcome]bool{snowjunction.Rejected: true, snowjunction.Error: false} {
		b := newHarness(t, nil)
		require.NoError(t, b.c.Submit(Request{ID: "m1", Class: "order", Key: 9, IdempotencyKey: "k", Destination: 7, TimeLeft: time.Second},
			func(Answer, *store.Message) bool { return true }))
		b.advance(5 * ms)
		require.Len(t, b.calls, 1)
		b.c.execute(snowjunction.Fail{Request: b.c.flowsByRef[firstFrontRef("m1")].id})
		require.Len(t, b.ended, 1)
		b.calls[0].done(Result{Outcome: outcome})
		b = b.restarted(4900*ms, nil)
		require.NoError(t, b.c.Submit(Request{ID: "m2", Class: "order", Key: 9, IdempotencyKey: "k", Destination: 7, TimeLeft: time.Second},
			func(Answer, *store.Message) bool { return true }))
		b.advance(200 * ms)
		b.advance(10 * ms)
		assert.Equal(t, sent, len(b.calls) == 1, outcome)
	}
}

// The clock is set back over a restart by slightly more than the restart took. A message that may
// have run must not be sent when the clock passes its attempt while the first decisions wait for
// the directory.
func TestClockSetBackIntoPause(t *testing.T) {
	b := newHarness(t, nil)
	m := b.ranMessage("m1", -50*ms)
	b.c.Pause(80 * ms)
	b.c.Restore([]*store.Message{m})
	b.advance(81 * ms)
	b.advance(10 * ms)
	assert.Empty(t, b.calls)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
}

// A client without an answer resubmits under another id before the first message is sent. The
// second message may be sent only within the window of the first, whatever happens to the first and
// however often the process is killed. After the window it fails.
func TestSameKeyBothOpen(t *testing.T) {
	for name, tc := range map[string]struct {
		first snowjunction.Outcome // of all attempts under the first id
		// When the process is killed: "out": the first attempt is in flight; "ended": so, and its end
		// is reported; "over": the first message is over; "late": so, and forgotten.
		killed string
		sent   bool // the second message is sent after the end of that window
	}{
		"may have run":                      {first: snowjunction.Reset},
		"delivered":                         {first: snowjunction.OK},
		"never ran":                         {first: snowjunction.Rejected, sent: true},
		"killed with the attempt in flight": {first: snowjunction.Reset, killed: "out"},
		"killed after its end with the attempt in flight": {first: snowjunction.Reset, killed: "ended"},
		"killed long after":                      {first: snowjunction.Reset, killed: "late"},
		"killed after it may have run":           {first: snowjunction.Reset, killed: "over"},
		"killed after it was delivered":          {first: snowjunction.OK, killed: "over"},
		"killed after it proved not to have run": {first: snowjunction.Rejected, killed: "over", sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			change := func(s *snowjunction.Settings) {
				s.Classes[0].Window, s.Classes[0].Deadline, s.MaxAttempts = time.Second, 1500*ms, 1
			}
			b := newHarness(t, change)
			for _, id := range []string{"m1", "m2"} {
				require.NoError(t, b.c.Submit(Request{ID: id, Class: "order", Key: 5, IdempotencyKey: "k", Destination: 7, TimeLeft: 10 * time.Second},
					func(Answer, *store.Message) bool { return true }))
			}
			b.advance(5 * ms)
			require.Len(t, b.calls, 1)
			b.advance(100 * ms)
			switch tc.killed {
			case "out":
			case "ended":
				b.c.execute(snowjunction.Fail{Request: b.c.flowsByRef[firstFrontRef("m1")].id})
			default:
				b.list(snowjunction.Draining, false) // the second message waits for an endpoint
				b.calls[0].done(Result{Outcome: tc.first})
				b.advance(5 * ms)
				b.calls = nil
			}
			if tc.killed == "late" {
				b.advance(2 * time.Second)
				b.addFiller()
				require.Empty(t, b.journal.SettledMayHaveRun())
			}
			if tc.killed != "" {
				b.list(snowjunction.Draining, false)
				b = newHarnessWith(&harness{t: t, now: b.now.Add(600 * ms), settle: true, journalDir: b.journalDir, emptyList: true}, change)
				b.c.RestoreSettled(b.journal.SettledMayHaveRun())
				b.c.Restore(b.restored)
			}
			b.advance(1200 * ms)
			b.list(snowjunction.Ready, true)
			b.advance(200 * ms)
			b.advance(10 * ms)
			assert.Equal(t, tc.sent, len(b.calls) == 1)
			if !tc.sent {
				require.NotEmpty(t, b.ended)
				last := b.ended[len(b.ended)-1]
				assert.Equal(t, "m2", last.ID)
				assert.Equal(t, store.Failed, last.State)
			}
		})
	}
}

// An endpoint answers that a message is no longer wanted: it has not run, for the next process as
// well.
func TestUnwantedMessageHasNotRun(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "order", 5)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.calls[0].done(Result{Outcome: snowjunction.NotSent, Unwanted: true})
	require.Len(t, b.ended, 1)
	b = b.restarted(ms, nil)
	assert.Empty(t, b.journal.SettledMayHaveRun())
}

// firstFrontRef returns the reference of a message of the first front.
func firstFrontRef(id string) messageRef { return messageRef{0, id} }

// An attempt stays in flight for longer than the window of its key, its message is over, and the
// same message is open under another id. That one fails, when it is to be sent or when it is given
// up.
func TestSameKeyWithAttemptInFlight(t *testing.T) {
	for _, givenUp := range []bool{false, true} {
		b := newHarness(t, func(s *snowjunction.Settings) { s.Classes[0].Window = time.Second })
		for i, id := range []string{"m1", "m2"} {
			require.NoError(t, b.c.Submit(Request{ID: id, Class: "order", IdempotencyKey: "k", Destination: 7, TimeLeft: 10 * time.Second},
				func(Answer, *store.Message) bool { return true }))
			if i == 0 {
				b.advance(5 * ms)
				b.list(snowjunction.Draining, false)
				// As if the second message had arrived before the first was sent.
				b.c.attemptedKeys.NotRun(idempotency.Key{Destination: 7, Text: "k"}, id)
			}
		}
		require.Len(t, b.calls, 1)
		b.c.execute(snowjunction.Fail{Request: b.c.flowsByRef[firstFrontRef("m1")].id})
		b.advance(900 * ms)
		require.Len(t, b.ended, 1)
		b.now = b.now.Add(100 * ms) // the core has not seen its timeout yet
		if givenUp {
			b.c.execute(snowjunction.Refuse{Request: b.c.flowsByRef[firstFrontRef("m2")].id})
		} else {
			b.c.send(snowjunction.Send{Request: b.c.flowsByRef[firstFrontRef("m2")].id, Endpoint: 1, Timeout: time.Second})
		}
		require.Len(t, b.ended, 2)
		assert.Equal(t, "m2", b.ended[1].ID)
		assert.Equal(t, store.Failed, b.ended[1].State)
		assert.Len(t, b.calls, 1)
	}
}

// A connection takes most of a window to come up, and the attempt may have run. The window for its
// retries counts from the first byte sent, and no retry is sent after its end.
func TestWindowStartsWithFirstByte(t *testing.T) {
	b := newConnecting(t, func(s *snowjunction.Settings) { s.Classes[0].Window = time.Second })
	require.True(t, b.calls[0].connect())
	left := b.now
	b.advance(50 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.advance(5 * ms)
	require.Len(t, b.calls, 2)
	b.now = left.Add(920 * ms)
	assert.True(t, b.calls[1].mayStart(), "within the window")
	b.now = left.Add(935 * ms)
	assert.False(t, b.calls[1].mayStart(), "close to the window's end")
}
