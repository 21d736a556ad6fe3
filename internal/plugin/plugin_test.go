package plugin

import (
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/core"
	"snowjunction/internal/plugin/guard"
	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
	"snowjunction/internal/store"
)

// The test binary acts as a plug-in host, as one that never answers, or as one that answers without end,
// depending on its argument.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "plugin-host":
		_ = host.Serve(os.Stdin, os.Stdout)
	case len(os.Args) > 1 && os.Args[1] == "silent":
		_, _ = io.Copy(io.Discard, os.Stdin)
	case len(os.Args) > 1 && os.Args[1] == "endless":
		for host.Write(os.Stdout, host.Answer{}) == nil {
		}
	default:
		os.Exit(m.Run())
	}
}

// fixture is a Set with its own event loop.
type fixture struct {
	*Set
	t    *testing.T
	loop *core.Loop
}

func newFixture(t *testing.T, hostMode string, startTimeout time.Duration) *fixture {
	loop := core.NewLoop(time.Now)
	b := &fixture{t: t, loop: loop, Set: New(Config{
		Loop: loop, Log: slog.New(slog.DiscardHandler), HostCommand: []string{os.Args[0], hostMode}, StartTimeout: startTimeout, SampleTimeout: testTimeout,
	})}
	t.Cleanup(b.Close)
	return b
}

// testTimeout is long enough for a busy machine, where a host runs with the lowest priority. It only
// ends a test that hangs.
const testTimeout = 5 * time.Minute

// until runs the loop until done returns true, and fails the test after testTimeout.
func (b *fixture) until(done func() bool) {
	late := false
	limit := b.loop.After(testTimeout, func() { late = true })
	b.loop.RunUntil(func() bool { return late || done() })
	limit.Stop()
	require.False(b.t, late, "the condition is not met in time")
}

func (b *fixture) replace(list ...*manifest.Manifest) (reason string) {
	done := false
	b.Replace(list, func(err string) { reason, done = err, true })
	b.until(func() bool { return done })
	return reason
}

// admit calls the admit hook for a message and returns the result and the retry-after delay.
func (b *fixture) admit(id string) (pass bool, after time.Duration) {
	done := false
	asked := b.Admit(&store.Message{ID: id, Class: "status"}, func(p bool, a time.Duration) { pass, after, done = p, a, true })
	require.True(b.t, asked)
	b.until(func() bool { return done })
	return
}

func script(version, code string, samples ...manifest.Sample) *manifest.Manifest {
	return &manifest.Manifest{
		Name: "p", Version: version, Protocol: 1, Engine: "starlark", Code: "p.star", Hooks: []manifest.Hook{manifest.Admit},
		Source: []byte(code), Samples: samples, Budget: manifest.Budget{TimeMs: int(testTimeout.Milliseconds()), Steps: 100_000, MemoryMB: 64, BodyBytes: 100},
	}
}

// counting refuses each message. Its retry-after delay is the stored number of calls, in milliseconds.
const counting = `
def admit(call):
    n = int(recall("n") or "0") + 1
    keep("n", str(n))
    return {"after_ms": n}
`

// The stored values of a plug-in are kept across a new version and a restart of its host. Values
// stored during its samples are dropped.
func TestStoredValuesAreKept(t *testing.T) {
	b := newFixture(t, "plugin-host", testTimeout)
	sample := manifest.Sample{Name: "s", Hook: manifest.Admit, Call: json.RawMessage(`{"id":"s"}`), Expected: json.RawMessage(`{"after_ms":1}`)}
	require.Empty(t, b.replace(script("1", counting, sample)))
	for want := range time.Duration(3) {
		_, after := b.admit("m")
		assert.Equal(t, (want+1)*time.Millisecond, after)
	}
	require.Empty(t, b.replace(script("2", counting, sample)))
	_, after := b.admit("m")
	assert.Equal(t, 4*time.Millisecond, after)
	old := b.instances[0].process
	old.kill()
	b.until(func() bool { return b.instances[0].process != old && b.instances[0].ready })
	_, after = b.admit("m")
	assert.Equal(t, 5*time.Millisecond, after)
}

// A version that fails its samples is rejected with the reason, and the running version remains.
func TestFailedSamplesRejectVersion(t *testing.T) {
	b := newFixture(t, "plugin-host", testTimeout)
	require.Empty(t, b.replace(script("1", counting)))
	sample := manifest.Sample{Name: "s", Hook: manifest.Admit, Call: json.RawMessage(`{"id":"s"}`), Expected: json.RawMessage(`{"after_ms":7}`)}
	assert.Equal(t, `plug-in p: sample s: wanted {"after_ms":7}, got {"after_ms":1}`, b.replace(script("2", counting, sample)))
	assert.Contains(t, b.replace(script("2", "x = 1")), "must define admit(call)")
	assert.Equal(t, "1", b.List()[0].Version)
	_, after := b.admit("m")
	assert.Equal(t, time.Millisecond, after)
}

// The time limit in the budget does not apply to samples, only to flows, which continue without an
// answer when it is exceeded.
func TestBudgetTimeDoesNotApplyToSamples(t *testing.T) {
	b := newFixture(t, "plugin-host", testTimeout)
	sample := manifest.Sample{Name: "s", Hook: manifest.Admit, Call: json.RawMessage(`{"id":"s"}`), Expected: json.RawMessage(`{"after_ms":7}`)}
	m := script("1", "def admit(call):\n    for i in range(100000):\n        pass\n    return {'after_ms': 7}\n", sample)
	m.Budget.TimeMs, m.Budget.Steps = 1, 100_000_000 // the loop takes much longer than 1 ms
	require.Empty(t, b.replace(m))
	pass, after := b.admit("m")
	assert.True(t, pass)
	assert.Zero(t, after)
	assert.EqualValues(t, 1, b.List()[0].Failed)
}

// A host that never answers does not delay the start longer than the start timeout.
func TestStartTimeout(t *testing.T) {
	b := newFixture(t, "silent", 50*time.Millisecond)
	assert.Contains(t, b.replace(script("1", counting)), "not ready within 50ms")
	assert.Empty(t, b.List())
	assert.False(t, b.Admit(&store.Message{ID: "m"}, nil), "no plug-in is called")
}

// A plug-in may replace a body only if its manifest says that it touches bodies and the operator
// allows it for the destination.
func TestBodyReplacementNeedsPermission(t *testing.T) {
	b := newFixture(t, "plugin-host", testTimeout)
	m := script("1", "def shape(call):\n    return {'body': b'other'}\n")
	m.Hooks = []manifest.Hook{manifest.Shape}
	shape := func(destination uint32) (s core.Shape) {
		done := false
		require.True(t, b.Shape(&store.Message{ID: "m", Destination: destination}, core.Entry{}, func(x core.Shape) { s, done = x, true }))
		b.until(func() bool { return done })
		return s
	}
	b.SetBodyDestinations([]uint32{7})
	require.Empty(t, b.replace(m))
	assert.False(t, shape(7).HasBody, "the manifest does not allow it")
	touching := *m
	touching.Touches.Body = true
	require.Empty(t, b.replace(&touching))
	assert.Equal(t, core.Shape{Body: []byte("other"), HasBody: true}, shape(7))
	assert.False(t, shape(8).HasBody, "not allowed for the destination")
	assert.EqualValues(t, 1, b.List()[0].Rules[guard.RuleBody])
}
