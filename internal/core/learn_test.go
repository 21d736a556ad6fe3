package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/plausibility"
	"snowjunction/internal/snapshot"
)

// learnedStore is a LearnedStore that stores the records in memory.
type learnedStore struct {
	n       learnedstate.Counts
	records map[uint32]learnedstate.Record
}

func (s *learnedStore) Put(batch []learnedstate.Record) {
	if s.records == nil {
		s.records = map[uint32]learnedstate.Record{}
	}
	s.n.Writes++
	for _, r := range batch {
		s.records[r.Destination] = r
		s.n.Bytes += uint64(len(learnedstate.AppendRecord(nil, r)))
	}
}

func (s *learnedStore) Counts() learnedstate.Counts { return s.n }

// completeCalls ends every call in flight with an outcome.
func (b *harness) completeCalls(o snowjunction.Outcome) {
	calls := b.calls
	b.calls = nil
	for _, x := range calls {
		x.done(Result{Outcome: o})
	}
}

// Learned state takes no more than its share of the journal's writes, however much changes, and an
// outage is written soon after it was detected.
func TestLearnedStateWithinWriteBudget(t *testing.T) {
	learned := &learnedStore{}
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, learnt: learned}, nil)
	for i := range 400 {
		b.submit(fmt.Sprint("m", i), "status", 0)
		b.advance(20 * ms)
		b.completeCalls(snowjunction.OK)
		b.advance(30 * ms)
		w := b.journal.Written()
		require.LessOrEqual(t, float64(learned.n.Writes), 0.02*float64(w.Records))
		require.LessOrEqual(t, float64(learned.n.Bytes), 0.1*float64(w.Bytes))
	}
	assert.NotZero(t, learned.n.Writes)
	assert.Greater(t, b.c.picker.Unchanged, uint64(5), "a nearly unchanged state is not written again")
	b.submit("lost", "status", 0)
	b.advance(20 * ms)
	b.completeCalls(snowjunction.TimedOut)
	b.advance(learnedstate.PickInterval)
	b.advance(20 * ms)
	m, err := snapshot.Decode(learned.records[7].Snapshot)
	require.NoError(t, err)
	require.Len(t, m.Names, 1)
	assert.Equal(t, snapshot.HashName("s-1"), m.Names[0])
	assert.Equal(t, snowjunction.Down, m.State.Endpoints[0].Condition)

	// The next process run uses the record.
	next := newHarnessWith(&harness{t: t, now: b.now.Add(time.Second), settle: true}, nil)
	next.c.RestoreLearned([]learnedstate.Record{learned.records[7]})
	assert.Equal(t, uint64(1), next.c.Counters.LearnedRestored)
	for i := range 4 {
		next.submit(fmt.Sprint("n", i), "status", 0)
	}
	next.advance(20 * ms)
	next.advance(20 * ms)
	assert.LessOrEqual(t, len(next.calls), 1, "at most one trial call, no burst")
}

// A planned shutdown saves all state, regardless of the write budget.
func TestShutdownSavesAllState(t *testing.T) {
	learned := &learnedStore{}
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, learnt: learned}, nil)
	b.submit("m1", "status", 0)
	b.advance(20 * ms)
	b.completeCalls(snowjunction.OK)
	b.advance(20 * ms)
	require.Empty(t, learned.records)
	b.c.Drain()
	b.advance(20 * ms)
	assert.Len(t, learned.records, 1)
	assert.Equal(t, uint64(1), learned.n.Writes)
}

// The module's view follows the confidence in an endpoint: doubtful, then confirmed or refuted by
// calls, then overridden by the directory. A refuted endpoint gets nothing, not even for earlier
// decisions.
func TestConfidenceInEndpoints(t *testing.T) {
	cfg := confidence.Default()
	cfg.RefuteAfter, cfg.RefuteFails = 0, 1
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, directories: map[int]Directory{0: {Confidence: cfg}}}, nil)
	l := full(Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Ready},
		Entry{Name: "s-2", Addr: "127.0.0.1:2", Destination: 7, Phase: snowjunction.Ready})
	require.NoError(t, b.c.SetInitialList(0, l, confidence.Cached, time.Hour))
	for i := range 4 {
		b.submit(fmt.Sprint("m", i), "status", 0)
	}
	b.advance(20 * ms)
	require.Len(t, b.calls, 2, "one call to each endpoint")
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.advance(20 * ms)
	assert.Equal(t, confidence.Confirmed, b.standing("s-1"))
	assert.Equal(t, confidence.Doubtful, b.standing("s-2"))
	require.Greater(t, len(b.calls), 2, "the other messages go to the endpoint that answers")
	b.calls[1].done(Result{Outcome: snowjunction.ConnectFailed})
	b.advance(20 * ms)
	assert.Equal(t, confidence.Refuted, b.standing("s-2"))
	b.calls = nil
	for i := range 4 {
		b.submit(fmt.Sprint("n", i), "status", 0)
		b.advance(20 * ms)
		for _, x := range b.calls {
			assert.Equal(t, "127.0.0.1:1", x.addr)
		}
		b.completeCalls(snowjunction.OK)
	}
	b.c.DirectoryConfirmed(0)
	assert.Equal(t, confidence.Listed, b.standing("s-2"))
	beliefs, total := b.c.EndpointConfidences(0, 10)
	assert.Len(t, beliefs, 2)
	assert.Equal(t, 2, total)
	assert.Equal(t, "the directory lists it", beliefs[0].Why)
}

// An endpoint that answers that it is another one gets nothing more.
func TestEndpointIsAnother(t *testing.T) {
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, directories: map[int]Directory{0: {Confidence: confidence.Default()}}}, nil)
	require.NoError(t, b.c.SetInitialList(0, full(Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Ready}), confidence.Configured, 0))
	b.submit("m1", "status", 0)
	b.advance(20 * ms)
	require.Len(t, b.calls, 1)
	b.calls[0].done(Result{Outcome: snowjunction.Error, WrongEndpoint: true})
	b.calls = nil
	b.advance(20 * ms)
	b.submit("m2", "status", 0)
	b.advance(100 * ms)
	assert.Empty(t, b.calls)
	b.listed(0, true, Entry{Name: "s-1", Addr: "127.0.0.1:3", Destination: 7, Phase: snowjunction.Ready})
	b.c.DirectoryConfirmed(0)
	b.advance(100 * ms)
	b.advance(100 * ms)
	assert.NotEmpty(t, b.calls, "the directory overrides the evidence of calls")
}

// The first decisions wait until the directory confirms its list, so that nothing is sent to an
// endpoint that has left. If it does not answer, they wait for the given time.
func TestPauseUntilDirectoryConfirms(t *testing.T) {
	for _, confirms := range []bool{true, false} {
		b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, directories: map[int]Directory{0: {Confidence: confidence.Default()}}}, nil)
		require.NoError(t, b.c.SetInitialList(0, full(Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Ready}), confidence.Cached, time.Minute))
		b.advance(10 * ms)
		b.c.Pause(80 * ms)
		b.submit("m1", "status", 0)
		b.advance(40 * ms)
		require.Empty(t, b.calls)
		if confirms {
			b.listed(0, true, Entry{Name: "s-2", Addr: "127.0.0.1:2", Destination: 7, Phase: snowjunction.Ready})
			b.c.DirectoryConfirmed(0)
		}
		b.advance(10 * ms)
		if confirms {
			require.Len(t, b.calls, 1)
			assert.Equal(t, "127.0.0.1:2", b.calls[0].addr)
			continue
		}
		require.Empty(t, b.calls)
		b.advance(40 * ms)
		require.Len(t, b.calls, 1)
	}
}

// An old cached list and the list of another agent are replaced at once by the directory's list,
// even if that has lost most endpoints and collapsed lists are retained. Only a list that the same
// directory has confirmed is retained against it.
func TestReplacedListIsNoCollapse(t *testing.T) {
	trust := plausibility.Default()
	trust.RetainOmitted = true
	b := newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true,
		directories: map[int]Directory{0: {Confidence: confidence.Default(), Plausibility: trust}}}, nil)
	list := func(from, n int) (out []Entry) {
		for i := from; i < from+n; i++ {
			out = append(out, Entry{Name: fmt.Sprint("e", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Destination: 7, Phase: snowjunction.Ready})
		}
		return out
	}
	require.NoError(t, b.c.SetInitialList(0, full(list(0, 10)...), confidence.Cached, 7*24*time.Hour))
	b.listed(0, true, list(9, 4)...)
	b.c.DirectoryConfirmed(0)
	assert.Equal(t, 4, b.c.Table(0).Len(), "nine endpoints left within a week")
	b.c.DirectoryAgentChanged(0)
	b.listed(0, true, list(20, 5)...)
	b.c.DirectoryConfirmed(0)
	assert.Equal(t, 5, b.c.Table(0).Len(), "the other agent's list is applied")
	b.listed(0, true, list(20, 1)...)
	b.c.DirectoryConfirmed(0)
	assert.Equal(t, 5, b.c.Table(0).Len(), "the same agent's next list has collapsed")
	assert.Contains(t, b.c.Conditions(0), "collapsed")
	assert.Equal(t, confidence.Doubtful, b.standing("e24"))
	gone := list(24, 1)
	gone[0].Phase = snowjunction.Gone
	b.listed(0, false, gone...)
	assert.Equal(t, 4, b.c.Table(0).Len(), "an endpoint named as gone is not retained")
}
