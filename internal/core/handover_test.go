package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/handover"
	"snowjunction/internal/store"
)

func (x *testCall) Detach() (handover.Call, bool) { return handover.Call{}, x.sent }
func (x *testCall) BufferedAnswer() []byte        { return []byte("HTTP/1.1 2") }

func (x testTarget) Adopt(m *store.Message, from handover.Call, done func(Result)) Call {
	c := &testCall{m: m, sent: true, done: done, idleFor: from.IdleTime}
	x.b.calls = append(x.b.calls, c)
	return c
}

// handOver hands the state over and returns a harness for the next process.
func (b *harness) handOver() (*harness, *handover.State) {
	b.c.Suspend()
	e := &handover.State{}
	b.c.HandOver()(e)
	require.NoError(b.t, b.journal.Close())
	next := &harness{t: b.t, journalDir: b.journalDir, now: b.now.Add(10 * ms), settle: true, resumes: func(seq uint64) bool {
		for _, x := range e.Calls {
			if x.Seq == seq {
				return true
			}
		}
		return false
	}}
	return newHarnessWith(next, nil), e
}

func (b *harness) resume(e *handover.State) {
	b.c.TakeOver(e)
	b.c.Restore(b.restored)
	b.advance(10 * ms)
}

// A call in flight continues in the next process: its message is not sent again, its key waits for
// it, and only the next process records its final result.
func TestCallContinuesAfterHandover(t *testing.T) {
	for outcome, resent := range map[snowjunction.Outcome]bool{snowjunction.OK: false, snowjunction.Reset: true} {
		b := newHarness(t, nil)
		b.submit("o1", "order", 9)
		b.advance(5 * ms)
		b.submit("o2", "order", 9)
		b.advance(5 * ms)
		require.Len(t, b.calls, 1)
		b.calls[0].sent = true
		next, e := b.handOver()
		require.Len(t, e.Calls, 1)
		assert.Equal(t, "HTTP/1.1 2", string(e.Calls[0].Unprocessed))
		next.resume(e)
		require.Len(t, next.calls, 1, "the adopted call, and no other of its key")
		assert.Empty(t, next.c.UnclaimedCalls())
		next.calls[0].done(Result{Outcome: outcome})
		next.advance(5 * ms)
		next.advance(200 * ms)
		require.Len(t, next.calls, 2)
		if resent {
			assert.Equal(t, "o1", next.calls[1].m.ID)
			assert.Equal(t, 2, next.calls[1].m.Attempts)
		} else {
			assert.Equal(t, "o2", next.calls[1].m.ID)
			assert.Equal(t, "o1", next.ended[0].ID)
			assert.EqualValues(t, 1, next.c.Counters.Delivered)
		}
		assert.Zero(t, b.c.Counters.Delivered)
	}
}

// Results that the module has not seen at the handover still apply in the next process: a
// retry-after delay, the hold of a key after an abandoned call, an idempotency key that may have
// run.
func TestRetryAfterIsHandedOver(t *testing.T) {
	b := newHarness(t, nil)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.c.Suspend()
	b.calls[0].done(Result{Outcome: snowjunction.Rejected, RetryAfter: time.Second})
	next, e := b.handOver()
	next.resume(e)
	next.submit("m2", "status", 0)
	next.advance(900 * ms)
	assert.Empty(t, next.calls, "within the retry-after delay")
	next.advance(200 * ms)
	next.advance(50 * ms)
	assert.NotEmpty(t, next.calls)
}

func TestKeysAreHandedOver(t *testing.T) {
	b := newHarness(t, nil)
	require.NoError(t, b.c.Submit(Request{ID: "o1", Class: "order", Key: 9, IdempotencyKey: "k", Destination: 7, TimeLeft: 50 * ms},
		func(Answer, *store.Message) bool { return true }))
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	b.calls[0].sent = true
	b.advance(60 * ms) // expired, with its call still in flight
	next, e := b.handOver()
	assert.Empty(t, e.Calls)
	require.Len(t, e.Keys, 1)
	require.Len(t, e.KeyPauses, 1)
	next.resume(e)
	next.submit("o2", "order", 9)
	next.advance(20 * ms)
	assert.Empty(t, next.calls, "the key is held")
	next.advance(200 * ms)
	require.Len(t, next.calls, 1)
	next.calls[0].done(Result{Outcome: snowjunction.OK})
	next.advance(4700 * ms)
	require.NoError(t, next.c.Submit(Request{ID: "o3", Class: "order", IdempotencyKey: "k", Destination: 7, TimeLeft: time.Second},
		func(Answer, *store.Message) bool { return true }))
	next.advance(100 * ms)
	assert.Len(t, next.calls, 1, "the first message's window is over")
}
