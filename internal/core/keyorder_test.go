package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
	"snowjunction/internal/store"
)

// keyedMessage is a message of an ordering key.
type keyedMessage struct {
	id          string
	key         uint64
	destination uint32
}

var orderStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// restoreKeyed returns a courier that has restored these messages from the journal of a killed one. The
// snapshots of the given destinations are in the external store, whose answers are sent by the test.
func restoreKeyed(t testing.TB, x *beyond, messages []keyedMessage) *harness {
	old := newHarnessWith(&harness{t: t, now: orderStart, settle: true}, nil)
	for _, m := range messages {
		require.NoError(t, old.journal.Accept(&store.Message{
			ID: m.id, IdempotencyKey: m.id, Class: "order", Key: m.key, Destination: m.destination, Deadline: orderStart.Add(time.Minute),
		}))
	}
	b := newBeyond(&harness{t: t, now: orderStart.Add(time.Second), settle: true, journalDir: old.journalDir}, x)
	b.listed(0, true,
		Entry{Name: "s-7", Addr: "127.0.0.1:7", Destination: 7, Phase: snowjunction.Ready},
		Entry{Name: "s-8", Addr: "127.0.0.1:8", Destination: 8, Phase: snowjunction.Ready},
		Entry{Name: "s-9", Addr: "127.0.0.1:9", Destination: 9, Phase: snowjunction.Ready})
	b.c.Restore(b.restored)
	return b
}

// Guards against sending a later message of a key first after a restart, because the destination of an earlier
// one is still being read from the idle store (review/9).
func TestRestoredKeyWaitsForDestination(t *testing.T) {
	x := &beyond{kept: map[uint32][]byte{8: {1}}, at: map[uint32]time.Time{}}
	b := restoreKeyed(t, x, []keyedMessage{{"m1", 5, 8}, {"m2", 5, 8}, {"m3", 5, 7}, {"other", 6, 7}})
	b.advance(20 * ms)
	require.Len(t, b.calls, 1)
	assert.Equal(t, "other", b.calls[0].m.ID, "another key does not wait")
	require.Len(t, x.asked, 1)
	x.asked[0]()
	for i, id := range []string{"m1", "m2", "m3"} {
		b.advance(20 * ms)
		require.Len(t, b.calls, i+2, "one at a time")
		assert.Equal(t, id, b.calls[i+1].m.ID)
		b.calls[i+1].done(Result{Outcome: snowjunction.OK})
	}
	assert.Empty(t, b.c.heldBack)
}

// A flow that is held back when the core is frozen was never accepted.
func TestFrozenWhileHeldBack(t *testing.T) {
	x := &beyond{kept: map[uint32][]byte{8: {1}}, at: map[uint32]time.Time{}}
	b := restoreKeyed(t, x, []keyedMessage{{"m1", 5, 8}})
	got := b.submit("m2", "order", 5)
	b.c.Freeze(func() {})
	assert.Equal(t, []Answer{{Verdict: FixedResponse}}, *got)
	assert.Equal(t, uint64(2), b.c.Counters.Refused, "each once")
}

// The messages of a key go in the order in which they were taken on, whatever destinations are read from the
// store and in whatever order these are read.
func TestKeyOrderMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := &beyond{kept: map[uint32][]byte{}, at: map[uint32]time.Time{}}
		for destination := uint32(7); destination <= 9; destination++ {
			if rapid.Bool().Draw(rt, "in the store") {
				x.kept[destination] = []byte{1}
			}
		}
		var messages []keyedMessage
		expected := map[uint64][]string{}
		for i := range rapid.IntRange(1, 8).Draw(rt, "messages") {
			m := keyedMessage{
				fmt.Sprint("m", i), uint64(rapid.IntRange(5, 6).Draw(rt, "key")), uint32(rapid.IntRange(7, 9).Draw(rt, "destination")),
			}
			messages = append(messages, m)
			expected[m.key] = append(expected[m.key], m.id)
		}
		b := restoreKeyed(t, x, messages)
		called := map[uint64][]string{}
		for step := 0; step < 100 && len(b.ended) < len(messages); step++ {
			if len(x.asked) > 0 && rapid.Bool().Draw(rt, "the store answers") {
				i := rapid.IntRange(0, len(x.asked)-1).Draw(rt, "which")
				x.asked[i]()
				x.asked = append(x.asked[:i], x.asked[i+1:]...)
			}
			b.advance(time.Duration(rapid.IntRange(1, 20).Draw(rt, "ms")) * ms)
			calls := b.calls
			b.calls = nil
			for _, call := range calls {
				called[call.m.Key] = append(called[call.m.Key], call.m.ID)
				call.done(Result{Outcome: snowjunction.OK})
			}
		}
		require.Equal(rt, expected, called)
		require.Empty(rt, b.c.heldBack)
	})
}
