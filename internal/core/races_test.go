package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
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
