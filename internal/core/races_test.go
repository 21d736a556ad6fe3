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

// What an earlier life has left waits for the directory's word before the module hears of
// it. Its window and its time go on meanwhile: they end when they end.
func TestTimesGoOnInThePause(t *testing.T) {
	for name, left := range map[string]struct {
		class    string
		deadline time.Duration // from the restart
		window   time.Duration // of the attempt that may have run
		sent     bool
	}{
		"window is over":   {class: "order", deadline: 20 * time.Second, window: 40 * ms},
		"window goes on":   {class: "order", deadline: 20 * time.Second, window: time.Second, sent: true},
		"its time is over": {class: "status", deadline: 40 * ms, window: time.Second},
		"its time goes on": {class: "status", deadline: time.Second, window: time.Second, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			m := &store.Message{
				ID: "m1", IdempotencyKey: "k1", Class: left.class, Destination: 7, Deadline: b.now.Add(left.deadline), Attempts: 1,
				Ran: true, RanSince: b.now.Add(left.window + windowSlack - 5*time.Second),
			}
			require.NoError(t, b.journal.Take(m))
			b.c.Pause(80 * ms)
			b.c.Restore([]*store.Message{m})
			b.step(81 * ms)
			b.step(10 * ms)
			if left.sent {
				assert.Len(t, b.calls, 1)
				return
			}
			assert.Empty(t, b.calls)
			assert.Len(t, b.ended, 1)
		})
	}
}

// An answer that comes when its message's time is over delivers nothing to the client, which
// is told of the end.
func TestAnswerAfterItsTime(t *testing.T) {
	for name, when := range map[string]struct {
		after time.Duration
		state store.State
	}{
		"in time": {time.Second, store.Delivered},
		"over":    {2*time.Second + ms, store.Failed},
		"over for the client, which counts first": {2*time.Second - ms, store.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.add("m1", "order", 5)
			b.step(5 * ms)
			require.Len(t, b.calls, 1)
			b.now = b.now.Add(when.after - 5*ms) // before the loop's timers have run
			b.calls[0].done(Result{Outcome: snowjunction.OK})
			require.Len(t, b.ended, 1)
			assert.Equal(t, when.state, b.ended[0].State)
			b.step(5 * ms)
			assert.Empty(t, b.c.flows)
		})
	}
}

// A message may have run and is over; the courier is killed, and its client hands it in again
// under another id. The window is still that of the first.
func TestWindowOutlastsTheProcess(t *testing.T) {
	for name, at := range map[string]struct {
		settled   bool
		compacted bool          // the journal, before each of two kills
		after     time.Duration // of the first sending
		sent      bool
	}{
		"window over, journal compacted":    {settled: true, compacted: true, after: 4945 * ms},
		"window goes on, journal compacted": {settled: true, compacted: true, after: 3 * time.Second, sent: true},
		"window over":                       {settled: true, after: 4945 * ms},
		"window over, end not yet told":     {after: 4945 * ms},
		"window goes on":                    {settled: true, after: 3 * time.Second, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.settle = at.settled
			b.add("m1", "order", 5)
			b.step(5 * ms)
			require.Len(t, b.calls, 1)
			sent := b.now
			b.step(2 * time.Second) // its time is over
			require.Len(t, b.ended, 1)
			if at.compacted {
				b.compact()
				b = b.killed(100*ms, nil)
				b.compact()
			}
			next := b.killed(sent.Add(at.after-10*ms).Sub(b.now), nil)
			err := next.c.TakeIn(Request{ID: "m2", Class: "order", Key: 6, IdempotencyKey: "m1", Destination: 7, Left: 10 * time.Second},
				func(Answer, *store.Message) bool { return true })
			require.NoError(t, err)
			next.step(5 * ms)
			next.step(5 * ms)
			assert.Equal(t, at.sent, len(next.calls) == 1)
		})
	}
}

// How many of those that a restart finds untried are tried, and how many are given up so, is
// counted.
func TestUntriedAreCounted(t *testing.T) {
	b := newBench(t, nil)
	message := func(id string, left time.Duration, attempts int) *store.Message {
		m := &store.Message{ID: id, Class: "status", Destination: 7, Deadline: b.now.Add(left), Attempts: attempts}
		require.NoError(t, b.journal.Take(m))
		return m
	}
	b.c.Restore([]*store.Message{message("goes", time.Second, 0), message("too late", -time.Second, 0), message("was tried", time.Second, 1)})
	b.step(5 * ms)
	b.step(5 * ms)
	n := b.c.Counters
	assert.Equal(t, [4]uint64{3, 2, 1, 1}, [4]uint64{n.Restored, n.Untried, n.Tried, n.GivenUp})
}

// A process dies with an attempt out, and its heir gives that message up: what comes next of the
// key waits all the same until the attempt cannot be running any more.
func TestKeyRestsAfterAKill(t *testing.T) {
	b := newBench(t, func(s *snowjunction.Settings) {
		s.OrderSettle = 700 * ms
		s.Classes[0].Effect = snowjunction.Unsafe
	})
	var left []*store.Message
	for _, id := range []string{"out", "next"} {
		m := &store.Message{ID: id, Class: "order", Key: 5, Destination: 7, Deadline: b.now.Add(5 * time.Second)}
		require.NoError(t, b.journal.Take(m))
		left = append(left, m)
	}
	require.NoError(t, b.journal.Sent(left[0], b.now))
	next := newBenchWith(&bench{t: t, now: b.now.Add(10 * ms), settle: true, dir: b.dir}, func(s *snowjunction.Settings) {
		s.OrderSettle = 700 * ms
		s.Classes[0].Effect = snowjunction.Unsafe
	})
	next.c.Remember(next.journal.Ran())
	next.c.Restore(next.heirs)
	next.step(5 * ms)
	next.step(700 * ms)
	require.Len(t, next.ended, 1)
	assert.Equal(t, "out", next.ended[0].ID)
	assert.Empty(t, next.calls)
	next.step(settleSlack)
	next.step(10 * ms)
	assert.Len(t, next.calls, 1)
}

// killed is a bench that finds what b has left, so much later.
func (b *bench) killed(after time.Duration, change func(*snowjunction.Settings)) *bench {
	next := newBenchWith(&bench{t: b.t, now: b.now.Add(after), settle: true, dir: b.dir}, change)
	next.c.Remember(next.journal.Ran())
	next.c.Restore(next.heirs)
	next.step(5 * ms)
	next.step(5 * ms)
	return next
}

// newDialling is a bench whose one call has waited 900 ms for its connection.
func newDialling(t *testing.T, change func(*snowjunction.Settings)) *bench {
	b := newBench(t, change)
	b.dialling = true
	require.NoError(t, b.c.TakeIn(Request{ID: "m1", Class: "order", IdempotencyKey: "k1", Destination: 7, Left: 20 * time.Second},
		func(Answer, *store.Message) bool { return true }))
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	b.step(900 * ms)
	return b
}

// A connection takes most of a window to come up. Until it is up the attempt has not run,
// whatever its class; then its window is counted from its bytes, over a kill and in a row of
// repeats.
func TestKilledWhileDialling(t *testing.T) {
	for name, at := range map[string]struct {
		effect snowjunction.Effect
		opened bool
		after  time.Duration // of the opening, or of what would have been it
		sent   bool
	}{
		"dialling":                           {effect: snowjunction.Unsafe, after: 600 * ms, sent: true},
		"dialling, past the window":          {effect: snowjunction.Keyed, after: 5 * time.Second, sent: true},
		"it left":                            {effect: snowjunction.Unsafe, opened: true, after: 600 * ms},
		"it left, inside the window":         {effect: snowjunction.Keyed, opened: true, after: 900 * ms, sent: true},
		"it left, close to the window's end": {effect: snowjunction.Keyed, opened: true, after: 930 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			change := func(s *snowjunction.Settings) { s.Classes[0].Window, s.Classes[0].Effect = time.Second, at.effect }
			b := newDialling(t, change)
			if at.opened {
				require.True(t, b.calls[0].opened())
			}
			next := b.killed(at.after, change)
			assert.Equal(t, at.sent, len(next.calls) == 1)
			assert.Equal(t, !at.sent, len(next.ended) == 1)
		})
	}
}

// An attempt that could not connect counts as made over a kill, and not as run.
func TestUnsentCountsOverAKill(t *testing.T) {
	b := newBench(t, func(s *snowjunction.Settings) { s.MaxAttempts = 2 })
	b.dialling = true
	b.add("m1", "status", 0)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	b.step(time.Second) // it never connects
	require.True(t, b.calls[0].gaveUp)
	_, left, err := store.Load(store.Options{Dir: b.dir, Bytes: 3e6, Log: b.c.Log})
	require.NoError(t, err)
	require.Len(t, left, 1)
	assert.Equal(t, 1, left[0].Attempts)
	assert.False(t, left[0].Ran)
}

// The disk takes long over the record of an attempt that then may have run: its window is
// counted from its bytes, also by the next process.
func TestSlowRecordBeforeTheFirstByte(t *testing.T) {
	change := func(s *snowjunction.Settings) { s.Classes[0].Window = time.Second }
	b := newBench(t, change)
	b.c.Journal = &slowDisk{Journal: b.journal, b: b, take: 400 * ms}
	b.dialling = true
	b.add("m1", "order", 5)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	require.True(t, b.calls[0].opened())
	left := b.now // once the record is written
	b.calls[0].done(Result{Outcome: snowjunction.Error})
	_, found, err := store.Load(store.Options{Dir: b.dir, Bytes: 3e6, Log: b.c.Log})
	require.NoError(t, err)
	require.Len(t, found, 1)
	assert.True(t, found[0].Ran)
	assert.Zero(t, found[0].RanSince.Sub(left).Truncate(ms))
}

// compact has every record that is in the journal now copied or dropped.
func (b *bench) compact() {
	segments := func() []string {
		names, err := filepath.Glob(filepath.Join(b.dir, "journal-*"))
		require.NoError(b.t, err)
		return names
	}
	for newest := slices.Max(segments()); slices.Min(segments()) <= newest; {
		b.filler()
	}
}

// filler is a message that comes and ends now.
func (b *bench) filler() {
	m := &store.Message{ID: "filler", Class: "status", Body: make([]byte, MaxBody)}
	require.NoError(b.t, b.journal.Take(m))
	require.NoError(b.t, b.journal.Ended(m, store.Withdrawn, 0, b.now))
	require.NoError(b.t, b.journal.Settle(m))
}

// A message is over with its attempt given up; the journal is compacted and the process
// killed. The next of its key rests still, though it has no idempotency key.
func TestRestOutlastsCompaction(t *testing.T) {
	for name, compacts := range map[string]int{"killed": 0, "compacted and killed": 1, "and once more": 2} {
		t.Run(name, func(t *testing.T) {
			change := func(s *snowjunction.Settings) {
				s.OrderSettle = 700 * ms
				s.Classes[0].Effect = snowjunction.Unsafe
			}
			b := newBench(t, change)
			for _, id := range []string{"first", "next"} {
				require.NoError(t, b.c.TakeIn(Request{ID: id, Class: "order", Key: 5, Destination: 7, Left: map[string]time.Duration{
					"first": time.Second, "next": 10 * time.Second,
				}[id]}, func(Answer, *store.Message) bool { return true }))
			}
			b.step(5 * ms)
			require.Len(t, b.calls, 1)
			b.step(time.Second)
			b.step(5 * ms)
			require.Len(t, b.ended, 1)
			require.True(t, b.calls[0].gaveUp)
			for range compacts {
				b.compact()
				b = b.killed(ms, change)
			}
			b = b.killed(ms, change)
			b.step(700 * ms)
			assert.Empty(t, b.calls)
			b.step(settleSlack)
			b.step(10 * ms)
			require.Len(t, b.calls, 1)
			assert.Equal(t, "next", b.calls[0].m.ID)
		})
	}
}

// What was delivered at its only attempt surely is over: its key need not rest after a kill.
func TestDeliveredLeavesNoRest(t *testing.T) {
	change := func(s *snowjunction.Settings) { s.OrderSettle = 700 * ms }
	b := newBench(t, change)
	b.add("m1", "order", 5)
	b.add("m2", "order", 5)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	b.c.Freeze(func() {})
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b = b.killed(ms, change)
	require.Len(t, b.calls, 1)
	assert.Equal(t, "m2", b.calls[0].m.ID)
}

// The clock is set back over a restart. What may have run of a settled message is then any time
// ago: handed in again it does not go, neither at once nor when the clock has come so far again.
func TestClockSetBackWithAKeyRemembered(t *testing.T) {
	for _, later := range []time.Duration{0, 2900 * ms, 3100 * ms, 4900 * ms} {
		b := newBench(t, nil)
		b.add("m1", "order", 0)
		b.step(5 * ms)
		require.Len(t, b.calls, 1)
		b.calls[0].done(Result{Outcome: snowjunction.OK})
		b = b.killed(-3*time.Second, nil)
		b.step(later)
		require.NoError(t, b.c.TakeIn(Request{ID: "m2", Class: "order", IdempotencyKey: "m1", Destination: 7, Left: 10 * time.Second},
			func(Answer, *store.Message) bool { return true }))
		b.step(5 * ms)
		b.step(5 * ms)
		assert.Empty(t, b.calls, "%v later", later)
	}
}

// A message's end is told with its attempt out; then that proves not to have run. After a kill
// the message goes as one that never left.
func TestNotRunAfterItsEnd(t *testing.T) {
	for outcome, sent := range map[snowjunction.Outcome]bool{snowjunction.Full: true, snowjunction.Error: false} {
		b := newBench(t, nil)
		require.NoError(t, b.c.TakeIn(Request{ID: "m1", Class: "order", Key: 9, IdempotencyKey: "k", Destination: 7, Left: time.Second},
			func(Answer, *store.Message) bool { return true }))
		b.step(5 * ms)
		require.Len(t, b.calls, 1)
		b.c.execute(snowjunction.Fail{Request: b.c.flowsByRef[name0("m1")].id})
		require.Len(t, b.ended, 1)
		b.calls[0].done(Result{Outcome: outcome})
		b = b.killed(4900*ms, nil)
		require.NoError(t, b.c.TakeIn(Request{ID: "m2", Class: "order", Key: 9, IdempotencyKey: "k", Destination: 7, Left: time.Second},
			func(Answer, *store.Message) bool { return true }))
		b.step(200 * ms)
		b.step(10 * ms)
		assert.Equal(t, sent, len(b.calls) == 1, outcome)
	}
}

// The clock is set back over a restart by a little more than that took. What may have run does
// not go when the clock has passed its attempt, as the first decisions wait for the directory.
func TestClockSetBackIntoThePause(t *testing.T) {
	b := newBench(t, nil)
	m := b.ran("m1", -50*ms)
	b.c.Pause(80 * ms)
	b.c.Restore([]*store.Message{m})
	b.step(81 * ms)
	b.step(10 * ms)
	assert.Empty(t, b.calls)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Failed, b.ended[0].State)
}

// A client that has not heard hands its message in again under another id before the first has
// left. What the second sends goes within the window of the first, whatever becomes of that one
// and however often the process is killed; past it, it is told as failed.
func TestSameKeyBothHeld(t *testing.T) {
	for name, way := range map[string]struct {
		first  snowjunction.Outcome // of all attempts under the first id
		killed string               // "out": with the first attempt out; "ended": so, and its end told; "over": once the first is over; "late": and forgotten
		sent   bool                 // the second is sent past what would be the window
	}{
		"may have run":                    {first: snowjunction.Reset},
		"delivered":                       {first: snowjunction.OK},
		"never ran":                       {first: snowjunction.Full, sent: true},
		"killed with it out":              {first: snowjunction.Reset, killed: "out"},
		"killed with it out at its end":   {first: snowjunction.Reset, killed: "ended"},
		"killed long after":               {first: snowjunction.Reset, killed: "late"},
		"killed after it may have run":    {first: snowjunction.Reset, killed: "over"},
		"killed after it was delivered":   {first: snowjunction.OK, killed: "over"},
		"killed after it proved to be no": {first: snowjunction.Full, killed: "over", sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			change := func(s *snowjunction.Settings) {
				s.Classes[0].Window, s.Classes[0].Deadline, s.MaxAttempts = time.Second, 1500*ms, 1
			}
			b := newBench(t, change)
			for _, id := range []string{"m1", "m2"} {
				require.NoError(t, b.c.TakeIn(Request{ID: id, Class: "order", Key: 5, IdempotencyKey: "k", Destination: 7, Left: 10 * time.Second},
					func(Answer, *store.Message) bool { return true }))
			}
			b.step(5 * ms)
			require.Len(t, b.calls, 1)
			b.step(100 * ms)
			switch way.killed {
			case "out":
			case "ended":
				b.c.execute(snowjunction.Fail{Request: b.c.flowsByRef[name0("m1")].id})
			default:
				b.list(snowjunction.Draining, false) // the second waits for an endpoint
				b.calls[0].done(Result{Outcome: way.first})
				b.step(5 * ms)
				b.calls = nil
			}
			if way.killed == "late" {
				b.step(2 * time.Second)
				b.filler()
				require.Empty(t, b.journal.Ran())
			}
			if way.killed != "" {
				b.list(snowjunction.Draining, false)
				b = newBenchWith(&bench{t: t, now: b.now.Add(600 * ms), settle: true, dir: b.dir, bare: true}, change)
				b.c.Remember(b.journal.Ran())
				b.c.Restore(b.heirs)
			}
			b.step(1200 * ms)
			b.list(snowjunction.Ready, true)
			b.step(200 * ms)
			b.step(10 * ms)
			assert.Equal(t, way.sent, len(b.calls) == 1)
			if !way.sent {
				require.NotEmpty(t, b.ended)
				last := b.ended[len(b.ended)-1]
				assert.Equal(t, "m2", last.ID)
				assert.Equal(t, store.Failed, last.State)
			}
		})
	}
}

// An endpoint says that nobody wants a message any more: it has not run, for the next process too.
func TestNotWantedHasNotRun(t *testing.T) {
	b := newBench(t, nil)
	b.add("m1", "order", 5)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	b.calls[0].done(Result{Outcome: snowjunction.Moot, Over: true})
	require.Len(t, b.ended, 1)
	b = b.killed(ms, nil)
	assert.Empty(t, b.journal.Ran())
}

// name0 is an id of the first front's.
func name0(id string) messageRef { return messageRef{0, id} }

// An attempt is out for longer than the window of its key, its message is over, and the same
// message is held under another id: that is told as failed, at its turn or when it is given up.
func TestSameKeyAsOneThatIsOut(t *testing.T) {
	for _, givenUp := range []bool{false, true} {
		b := newBench(t, func(s *snowjunction.Settings) { s.Classes[0].Window = time.Second })
		for i, id := range []string{"m1", "m2"} {
			require.NoError(t, b.c.TakeIn(Request{ID: id, Class: "order", IdempotencyKey: "k", Destination: 7, Left: 10 * time.Second},
				func(Answer, *store.Message) bool { return true }))
			if i == 0 {
				b.step(5 * ms)
				b.list(snowjunction.Draining, false)
				b.c.attemptedKeys.NotRun(idempotency.Key{Destination: 7, Text: "k"}, id) // the second has come before it left
			}
		}
		require.Len(t, b.calls, 1)
		b.c.execute(snowjunction.Fail{Request: b.c.flowsByRef[name0("m1")].id})
		b.step(900 * ms)
		require.Len(t, b.ended, 1)
		b.now = b.now.Add(100 * ms) // its time-out is not heard of yet
		if givenUp {
			b.c.execute(snowjunction.Refuse{Request: b.c.flowsByRef[name0("m2")].id})
		} else {
			b.c.send(snowjunction.Send{Request: b.c.flowsByRef[name0("m2")].id, Endpoint: 1, Timeout: time.Second})
		}
		require.Len(t, b.ended, 2)
		assert.Equal(t, "m2", b.ended[1].ID)
		assert.Equal(t, store.Failed, b.ended[1].State)
		assert.Len(t, b.calls, 1)
	}
}

// A connection takes most of a window to come up, and the attempt may have run: its repeats have
// the window from its bytes, in the same process too, and none leaves past it.
func TestWindowBeginsWithTheBytes(t *testing.T) {
	b := newDialling(t, func(s *snowjunction.Settings) { s.Classes[0].Window = time.Second })
	require.True(t, b.calls[0].opened())
	left := b.now
	b.step(50 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.Reset})
	b.step(5 * ms)
	require.Len(t, b.calls, 2)
	b.now = left.Add(920 * ms)
	assert.True(t, b.calls[1].may(), "inside")
	b.now = left.Add(935 * ms)
	assert.False(t, b.calls[1].may(), "close to its end")
}
