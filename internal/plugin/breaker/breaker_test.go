package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func config() Config {
	return Config{WindowCalls: 10, MaxFailures: 4, MaxConsecutive: 3, ProbeSuccesses: 2, MinOpenTime: time.Second, MaxOpenTime: 4 * time.Second, ResetAfter: time.Minute}
}

// run makes one call per millisecond and returns how many were allowed.
func run(b *Breaker, now time.Duration, outcomes ...bool) (allowedCalls int) {
	for i, ok := range outcomes {
		at := now + time.Duration(i)*time.Millisecond
		if t, allowed := b.Allow(at); allowed {
			allowedCalls++
			b.Record(at, t, ok)
		}
	}
	return allowedCalls
}

func TestOpensAfterConsecutiveFailures(t *testing.T) {
	b := New(config())
	assert.Equal(t, 4, run(b, 0, true, false, true, true))
	assert.Equal(t, Closed, b.State(time.Millisecond))
	assert.Equal(t, 3, run(b, 10*time.Millisecond, false, false, false, true, true), "the remaining calls skip the plug-in")
	assert.Equal(t, Open, b.State(20*time.Millisecond))
}

// Failures between successful calls open the breaker as well, unless they are outside the window.
func TestOpensAfterFailuresInWindow(t *testing.T) {
	b := New(config())
	run(b, 0, false, true, false, true, false, true)
	assert.Equal(t, Closed, b.State(0))
	run(b, 0, true, true, true, true, true, true, true, true, true, true, false, true, false, true, false)
	assert.Equal(t, Closed, b.State(0))
	run(b, 0, true, false)
	assert.Equal(t, Open, b.State(0))
}

// A half-open breaker allows one probe at a time. Two successful probes close it, and a failed one
// opens it for twice as long, up to a limit. After a long healthy period the open time is reset.
func TestHalfOpenProbesAndOpenTime(t *testing.T) {
	b := New(config())
	now := time.Duration(0)
	for _, rest := range []time.Duration{1, 2, 4, 4} {
		run(b, now, false, false, false)
		require.Equal(t, Open, b.State(now+2*time.Millisecond))
		began := b.OpenUntil() - rest*time.Second
		require.LessOrEqual(t, began, now+2*time.Millisecond)
		_, ok := b.Allow(b.OpenUntil() - 1)
		require.False(t, ok)
		now = b.OpenUntil()
		require.Equal(t, HalfOpen, b.State(now))
	}
	first, ok := b.Allow(now)
	require.True(t, ok)
	_, ok = b.Allow(now)
	require.False(t, ok, "one at a time")
	assert.False(t, b.Record(now, first, true))
	second, _ := b.Allow(now)
	assert.True(t, b.Record(now, second, true))
	require.Equal(t, Closed, b.State(now))
	run(b, now+30*time.Second, true, false, false, false)
	assert.Equal(t, now+30*time.Second+3*time.Millisecond+4*time.Second, b.OpenUntil(), "the open time is not yet reset")
	now = b.OpenUntil()
	run(b, now, true, true)
	run(b, now+2*time.Minute, true, false, false, false)
	assert.Equal(t, now+2*time.Minute+3*time.Millisecond+time.Second, b.OpenUntil())
}

// Results of calls that were running when the breaker opened are ignored.
func TestLateResultsAreIgnored(t *testing.T) {
	b := New(config())
	late, _ := b.Allow(0)
	run(b, 0, false, false, false)
	until := b.OpenUntil()
	assert.False(t, b.Record(0, late, false))
	assert.Equal(t, until, b.OpenUntil())
	trial, _ := b.Allow(until)
	assert.False(t, b.Record(until, late, true), "it is not a probe either")
	assert.True(t, b.Record(until, trial, false))
}

// For any sequence of events, the breaker allows a call again after its open time, and at most
// one probe at a time while it is half open.
func TestAllowsCallAfterMaxOpenTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(config()), time.Duration(0)
		var out []Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			if k, ok := b.Allow(now); ok {
				out = append(out, k)
			}
			trials := 0
			for _, k := range out {
				if k.probe && k.epoch == b.epoch {
					trials++
				}
			}
			require.LessOrEqual(t, trials, 1)
			if len(out) > 0 && rapid.Bool().Draw(t, "done") {
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				b.Record(now, out[i], rapid.Bool().Draw(t, "ok"))
				out = append(out[:i:i], out[i+1:]...)
			}
		}
		for _, k := range out {
			b.Record(now, k, true)
		}
		_, ok := b.Allow(now + config().MaxOpenTime)
		require.True(t, ok)
	})
}
