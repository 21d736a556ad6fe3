package core

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/exclusions"
)

// disk keeps what is out, or cannot.
type disk struct {
	text []byte
	fail error
	hold []func(error) // where not nil, who waits
}

func (d *disk) Put(text []byte, done func(error)) {
	if d.hold != nil {
		d.hold = append(d.hold, done)
		return
	}
	if d.fail == nil {
		d.text = text
	}
	done(d.fail)
}

func (b *bench) exclude(name string, out bool) error {
	err := errors.New("no answer")
	b.c.Exclude(0, name, out, func(e error) { err = e })
	b.step(5 * ms)
	return err
}

// An endpoint that is out by hand gets nothing, whatever lists say, and comes back cold. A
// call that is out when it goes is finished.
func TestOutByHand(t *testing.T) {
	b := newBench(t, func(s *snowjunction.Settings) { s.WarmUp = 14 * time.Second })
	d := &disk{}
	b.c.Exclusions = d
	b.add("m1", "status", 0)
	b.step(5 * ms)
	require.Len(t, b.calls, 1)
	require.NoError(t, b.exclude("s-1", true))
	require.NoError(t, b.exclude("s-1", true))
	assert.Equal(t, 1, b.left, "its idle connections end")
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.add("m2", "status", 0)
	b.step(50 * ms)
	for _, phase := range []snowjunction.Phase{snowjunction.Ready, snowjunction.Draining, snowjunction.Gone, snowjunction.Ready} {
		b.list(phase, phase == snowjunction.Ready)
		b.step(50 * ms)
		assert.Len(t, b.calls, 1, "%v", phase)
	}
	x := b.c.Figures(0)
	assert.Equal(t, 1, x.OutOfRotation)
	assert.Equal(t, 1, x.Open)
	require.NoError(t, b.exclude("s-1", false))
	require.NoError(t, b.exclude("s-1", false))
	require.Len(t, b.calls, 2)
	assert.Zero(t, b.c.Figures(0).OutOfRotation)
	assert.Positive(t, b.c.routes.loaded[7].members[0].moduleView().WasOut)
	assert.ErrorIs(t, b.exclude("s-9", true), ErrUnknown)
	assert.ErrorIs(t, b.exclude("s-9", false), ErrUnknown)
}

// What does not last is not so: the endpoint serves on, and the answer says why.
func TestOutByHandUnwritten(t *testing.T) {
	b := newBench(t, nil)
	full := errors.New("disk full")
	b.c.Exclusions = &disk{fail: full}
	assert.ErrorIs(t, b.exclude("s-1", true), full)
	b.add("m1", "status", 0)
	b.step(5 * ms)
	assert.Len(t, b.calls, 1)
}

// The next life starts with what this one left out, before its first decision.
func TestOutByHandOutlasts(t *testing.T) {
	b := newBench(t, nil)
	d := &disk{}
	b.c.Exclusions = d
	require.NoError(t, b.exclude("s-1", true))
	next := &bench{t: t, now: b.now.Add(time.Second), settle: true}
	next = newBenchWith(next, nil)
	s := exclusions.New(time.Second)
	require.Zero(t, s.Decode(d.text))
	next.c.RecallOut(s)
	next.list(snowjunction.Ready, true)
	next.add("m1", "status", 0)
	next.step(50 * ms)
	assert.Empty(t, next.calls)
}

// Of two calls under way at once, what the last write that held says stands.
func TestOutByHandTwice(t *testing.T) {
	full := errors.New("disk full")
	for _, c := range []struct {
		first, second error
		out           bool
	}{{full, nil, true}, {nil, full, true}, {full, full, false}, {nil, nil, true}} {
		b := newBench(t, nil)
		d := &disk{hold: []func(error){}}
		b.c.Exclusions = d
		var got []error
		for range 2 {
			b.c.Exclude(0, "s-1", true, func(e error) { got = append(got, e) })
		}
		d.hold[0](c.first)
		d.hold[1](c.second)
		b.step(5 * ms)
		assert.Equal(t, []error{c.first, c.second}, got)
		assert.Equal(t, c.out, b.c.exclusionSet.Out("s-1"))
		assert.Empty(t, b.c.pendingExclusions)
	}
}
