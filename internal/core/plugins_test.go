package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/store"
)

// plugins is a Plugins that handles the hooks and message ids in asks. The test calls the done
// functions.
type plugins struct {
	admits map[string]func(bool, time.Duration)
	shapes map[string]func(Shape)
	reads  map[string]func(Result)
	asks   map[string]bool // by hook and id
	ended  []string
}

func (p *plugins) Admit(m *store.Message, done func(bool, time.Duration)) bool {
	if !p.asks["admit "+m.ID] {
		return false
	}
	p.admits[m.ID] = done
	return true
}

func (p *plugins) Shape(m *store.Message, _ Entry, done func(Shape)) bool {
	if !p.asks["shape "+m.ID] {
		return false
	}
	p.shapes[m.ID] = done
	return true
}

func (p *plugins) Read(m *store.Message, _ Entry, r Result, done func(Result)) bool {
	if !p.asks["read "+m.ID] {
		return false
	}
	p.reads[m.ID] = done
	return true
}

func (p *plugins) ReadsAnswers(m *store.Message) bool { return p.asks["read "+m.ID] }
func (p *plugins) Ended(m *store.Message)             { p.ended = append(p.ended, m.ID) }

func newPluginHarness(t *testing.T, asks ...string) (*harness, *plugins) {
	p := &plugins{admits: map[string]func(bool, time.Duration){}, shapes: map[string]func(Shape){}, reads: map[string]func(Result){}, asks: map[string]bool{}}
	for _, a := range asks {
		p.asks[a] = true
	}
	return newHarnessWith(&harness{t: t, now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), settle: true, plugins: p}, nil), p
}

// A message that no plug-in handles must not overtake an earlier one of its key that waits for a
// plug-in.
func TestKeyOrderWhileWaitingForPlugins(t *testing.T) {
	b, p := newPluginHarness(t, "admit m1", "admit m3")
	first, second, third := b.submit("m1", "order", 9), b.submit("m2", "order", 9), b.submit("m3", "order", 9)
	other := b.submit("o", "order", 8)
	b.advance(20 * ms)
	assert.Empty(t, *second)
	assert.Len(t, *other, 1, "other keys do not wait")
	assert.Nil(t, p.admits["m3"], "one message of a key at a time")
	p.admits["m1"](true, 0)
	require.NotNil(t, p.admits["m3"])
	p.admits["m3"](false, 700*ms)
	b.advance(20 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *first)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *second)
	assert.Equal(t, []Answer{{Verdict: FixedResponse, RetryAfter: 700 * ms}}, *third)
	assert.Empty(t, b.c.pluginQueues)
	require.Len(t, b.calls, 2)
	assert.Equal(t, []string{"o", "m1"}, []string{b.calls[0].m.ID, b.calls[1].m.ID})
}

// A message resubmitted while a plug-in decides is still one message.
func TestResubmittedWhileWaitingForPlugin(t *testing.T) {
	b, p := newPluginHarness(t, "admit m1")
	first := b.submit("m1", "status", 0)
	second := b.submit("m1", "status", 0)
	p.admits["m1"](true, 0)
	b.advance(20 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *first)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *second)
	assert.Len(t, b.calls, 1)
}

// If the courier shuts down while a plug-in decides, the flow is refused once.
func TestDrainWhileWaitingForPlugin(t *testing.T) {
	b, p := newPluginHarness(t, "admit m1")
	got := b.submit("m1", "status", 0)
	b.c.Drain()
	p.admits["m1"](true, 0)
	assert.Equal(t, []Answer{{Verdict: FixedResponse, RetryAfter: drainAfter}}, *got)
	assert.Empty(t, b.c.flowsByRef)
	assert.Zero(t, b.c.Held())
}

// While a plug-in shapes a request, the target may start to drain and the decision may become too
// old. Both are checked again afterwards.
func TestChecksAfterShaping(t *testing.T) {
	b, p := newPluginHarness(t, "shape m1", "shape m2", "shape m3")
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	assert.Empty(t, b.calls)
	p.shapes["m1"](Shape{Headers: []HeaderField{{"X-A", "b"}}})
	require.Len(t, b.calls, 1)
	assert.Equal(t, []HeaderField{{"X-A", "b"}}, b.calls[0].shape.Headers)
	b.calls[0].done(Result{Outcome: snowjunction.OK})

	b.submit("m2", "status", 0)
	b.advance(10 * ms)
	b.listed(0, false, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Draining})
	p.shapes["m2"](Shape{})
	assert.Len(t, b.calls, 1, "the endpoint drains")
	b.listed(0, false, Entry{Name: "s-1", Addr: "127.0.0.1:1", Destination: 7, Phase: snowjunction.Ready})
	p.asks = map[string]bool{"shape m3": true}
	for i := 0; i < 100 && len(b.calls) < 2; i++ {
		b.advance(10 * ms)
	}
	require.Len(t, b.calls, 2, "m2 is sent again")
	b.calls[1].done(Result{Outcome: snowjunction.OK})

	b.submit("m3", "status", 0)
	b.advance(10 * ms)
	late := p.shapes["m3"]
	b.advance(maxDecisionAge + ms)
	late(Shape{})
	assert.Len(t, b.calls, 2, "the decision is too old")
	late(Shape{})
	assert.Len(t, b.calls, 2)
}

// A success that a plug-in reads as a failure may have run. A message of a safe class is then sent
// again after the delay, and a second result is ignored.
func TestPluginReadsSuccessAsError(t *testing.T) {
	b, p := newPluginHarness(t, "read m1")
	got := b.submit("m1", "status", 0)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	assert.True(t, b.calls[0].shape.BufferAnswer)
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.advance(20 * ms)
	assert.Empty(t, b.ended)
	p.reads["m1"](Result{Outcome: snowjunction.Error, RetryAfter: 300 * ms})
	assert.True(t, b.calls[0].m.MayHaveRun)
	began := b.now
	for i := 0; i < 200 && len(b.calls) < 2; i++ {
		b.advance(5 * ms)
	}
	require.Len(t, b.calls, 2)
	assert.GreaterOrEqual(t, b.now.Sub(began), 300*ms)
	p.asks = nil
	b.calls[1].done(Result{Outcome: snowjunction.OK})
	b.advance(5 * ms)
	assert.Equal(t, []Answer{{Verdict: Accepted}}, *got)
	assert.Equal(t, []string{"m1"}, p.ended)
	require.Len(t, b.ended, 1)
	assert.Equal(t, store.Delivered, b.ended[0].State)
}

// A retry-after delay applies as soon as the answer is read, even while plug-ins still interpret
// the answer. Neither an attempt whose connection is being established nor a new message is sent
// meanwhile.
func TestRetryAfterWhilePluginsRead(t *testing.T) {
	for name, asks := range map[string][]string{"plug-ins read": {"read m1"}, "none reads": nil} {
		t.Run(name, func(t *testing.T) {
			b, p := newPluginHarness(t, asks...)
			b.connecting = true
			b.submit("m1", "status", 0)
			b.submit("m2", "status", 0)
			b.advance(10 * ms)
			require.Len(t, b.calls, 2)
			require.True(t, b.calls[0].connect())
			refused := Result{Outcome: snowjunction.Rejected, RetryAfter: 500 * ms}
			b.calls[0].done(refused)
			assert.False(t, b.calls[1].connect(), "before the module's next decision")
			b.calls[1].done(Result{Outcome: snowjunction.NotSent})
			began := b.now
			b.submit("m3", "status", 0)
			for range 6 {
				b.advance(10 * ms)
			}
			assert.Len(t, b.calls, 2, "a retry-after delay applies")
			if read := p.reads["m1"]; read != nil {
				read(refused)
			}
			for i := 0; i < 200 && len(b.calls) < 3; i++ {
				b.advance(5 * ms)
			}
			require.Greater(t, len(b.calls), 2, "sent after the delay")
			assert.GreaterOrEqual(t, b.now.Sub(began), refused.RetryAfter)
			assert.True(t, b.calls[2].connect())
		})
	}
}

// A plug-in that never interprets an answer is bounded by its own time budget. The attempt's
// timeout does not apply any more once the answer has arrived.
func TestPluginReadOutlastsAttemptTimeout(t *testing.T) {
	b, p := newPluginHarness(t, "read m1")
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.advance(1500 * ms)
	assert.False(t, b.calls[0].abandoned)
	p.reads["m1"](Result{Outcome: snowjunction.OK})
	b.advance(5 * ms)
	assert.Len(t, b.calls, 1)
	assert.Zero(t, b.c.Counters.Results[snowjunction.TimedOut])
	assert.EqualValues(t, 1, b.c.Counters.Results[snowjunction.OK])
}

// Flows that wait for a plug-in count as held, so that their number is bounded.
func TestWaitingForPluginsIsBounded(t *testing.T) {
	b, p := newPluginHarness(t, "admit m0")
	b.submit("m0", "order", 9)
	var rest []*[]Answer
	for i := 1; i <= 20; i++ {
		rest = append(rest, b.submit(fmt.Sprint("m", i), "order", 9))
	}
	refused := 0
	for _, got := range rest {
		refused += len(*got)
	}
	assert.Equal(t, 11, refused, "at most ten may be held")
	p.admits["m0"](true, 0)
	b.advance(20 * ms)
	assert.Equal(t, 9, b.c.Held(), "the module sheds one above 92% of its limit")
	assert.Zero(t, b.c.awaitingPlugins)
}
