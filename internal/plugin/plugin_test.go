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

// The test binary is a plug-in's host when it is told so, or one that says nothing.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "plugin-host":
		_ = host.Serve(os.Stdin, os.Stdout)
	case len(os.Args) > 1 && os.Args[1] == "silent":
		_, _ = io.Copy(io.Discard, os.Stdin)
	default:
		os.Exit(m.Run())
	}
}

// bench is a set on a loop of its own.
type bench struct {
	*Set
	t    *testing.T
	loop *core.Loop
}

func newBench(t *testing.T, how string, within time.Duration) *bench {
	loop := core.NewLoop(time.Now)
	b := &bench{t: t, loop: loop, Set: New(Config{
		Loop: loop, Log: slog.New(slog.DiscardHandler), Command: []string{os.Args[0], how}, StartWithin: within, SampleWithin: patience,
	})}
	t.Cleanup(b.Close)
	return b
}

// patience is for what is to come in any case, however busy the machine is: a host has the lowest
// priority. It ends a test that hangs, and nothing else.
const patience = 5 * time.Minute

// until turns the loop until done says so, and no longer than a test may take.
func (b *bench) until(done func() bool) {
	late := false
	limit := b.loop.After(patience, func() { late = true })
	b.loop.RunUntil(func() bool { return late || done() })
	limit.Stop()
	require.False(b.t, late, "it does not happen")
}

func (b *bench) replace(list ...*manifest.Manifest) (why string) {
	done := false
	b.Replace(list, func(err string) { why, done = err, true })
	b.until(func() bool { return done })
	return why
}

// admit asks about a message and returns how long its client is told to wait.
func (b *bench) admit(id string) (pass bool, after time.Duration) {
	done := false
	asked := b.Admit(&store.Message{ID: id, Class: "status"}, func(p bool, a time.Duration) { pass, after, done = p, a, true })
	require.True(b.t, asked)
	b.until(func() bool { return done })
	return
}

func script(version, code string, samples ...manifest.Sample) *manifest.Manifest {
	return &manifest.Manifest{
		Name: "p", Version: version, Protocol: 1, Engine: "starlark", Code: "p.star", Hooks: []manifest.Hook{manifest.Admit},
		Text: []byte(code), Samples: samples, Budget: manifest.Budget{TimeMs: int(patience.Milliseconds()), Steps: 100_000, MemoryMB: 64, BodyBytes: 100},
	}
}

// counting refuses with the number of calls that it remembers, in milliseconds.
const counting = `
def admit(call):
    n = int(recall("n") or "0") + 1
    keep("n", str(n))
    return {"after_ms": n}
`

// What a plug-in remembers survives a new version and the end of its host; what
// its samples have had it remember does not count.
func TestMemorySurvives(t *testing.T) {
	b := newBench(t, "plugin-host", patience)
	sample := manifest.Sample{Name: "s", Hook: manifest.Admit, Call: json.RawMessage(`{"id":"s"}`), Want: json.RawMessage(`{"after_ms":1}`)}
	require.Empty(t, b.replace(script("1", counting, sample)))
	for want := range time.Duration(3) {
		_, after := b.admit("m")
		assert.Equal(t, (want+1)*time.Millisecond, after)
	}
	require.Empty(t, b.replace(script("2", counting, sample)))
	_, after := b.admit("m")
	assert.Equal(t, 4*time.Millisecond, after)
	old := b.plugs[0].proc
	old.kill()
	b.until(func() bool { return b.plugs[0].proc != old && b.plugs[0].ready })
	_, after = b.admit("m")
	assert.Equal(t, 5*time.Millisecond, after)
}

// A version that does not do as its samples say is not taken, and says why; the
// one at work goes on.
func TestSamplesDecide(t *testing.T) {
	b := newBench(t, "plugin-host", patience)
	require.Empty(t, b.replace(script("1", counting)))
	sample := manifest.Sample{Name: "s", Hook: manifest.Admit, Call: json.RawMessage(`{"id":"s"}`), Want: json.RawMessage(`{"after_ms":7}`)}
	assert.Equal(t, `plug-in p: sample s: wanted {"after_ms":7}, got {"after_ms":1}`, b.replace(script("2", counting, sample)))
	assert.Contains(t, b.replace(script("2", "x = 1")), "must define admit(call)")
	assert.Equal(t, "1", b.List()[0].Version)
	_, after := b.admit("m")
	assert.Equal(t, time.Millisecond, after)
}

// A sample shows what is said, not how fast: the budget is that of flows, which go on without an
// answer once it is over.
func TestSamplesHaveNoBudget(t *testing.T) {
	b := newBench(t, "plugin-host", patience)
	sample := manifest.Sample{Name: "s", Hook: manifest.Admit, Call: json.RawMessage(`{"id":"s"}`), Want: json.RawMessage(`{"after_ms":7}`)}
	m := script("1", "def admit(call):\n    for i in range(100000):\n        pass\n    return {'after_ms': 7}\n", sample)
	m.Budget.TimeMs, m.Budget.Steps = 1, 100_000_000 // so many turns take a lot more
	require.Empty(t, b.replace(m))
	pass, after := b.admit("m")
	assert.True(t, pass)
	assert.Zero(t, after)
	assert.EqualValues(t, 1, b.List()[0].Failed)
}

// A host that says nothing does not hold up a start for ever.
func TestNotReadyInTime(t *testing.T) {
	b := newBench(t, "silent", 50*time.Millisecond)
	assert.Contains(t, b.replace(script("1", counting)), "not ready within 50ms")
	assert.Empty(t, b.List())
	assert.False(t, b.Admit(&store.Message{ID: "m"}, nil), "nobody is asked")
}

// Another body goes only where the manifest says that the plug-in touches bodies
// and the operator that the partner allows it.
func TestBodies(t *testing.T) {
	b := newBench(t, "plugin-host", patience)
	m := script("1", "def shape(call):\n    return {'body': b'other'}\n")
	m.Hooks = []manifest.Hook{manifest.Shape}
	shape := func(destination uint32) (s core.Shape) {
		done := false
		require.True(t, b.Shape(&store.Message{ID: "m", Destination: destination}, core.Entry{}, func(x core.Shape) { s, done = x, true }))
		b.until(func() bool { return done })
		return s
	}
	b.AllowBodies([]uint32{7})
	require.Empty(t, b.replace(m))
	assert.False(t, shape(7).HasBody, "the manifest does not say so")
	touching := *m
	touching.Touches.Body = true
	require.Empty(t, b.replace(&touching))
	assert.Equal(t, core.Shape{Body: []byte("other"), HasBody: true}, shape(7))
	assert.False(t, shape(8).HasBody, "its partner does not allow it")
	assert.EqualValues(t, 1, b.List()[0].Rules[guard.Body])
}
