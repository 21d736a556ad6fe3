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

// exclusionStore is an Exclusions that keeps the text in memory, or fails.
type exclusionStore struct {
	text    []byte
	fail    error
	pending []func(error) // if not nil, calls of Put wait here
}

func (d *exclusionStore) Put(text []byte, done func(error)) {
	if d.pending != nil {
		d.pending = append(d.pending, done)
		return
	}
	if d.fail == nil {
		d.text = text
	}
	done(d.fail)
}

func (b *harness) exclude(name string, out bool) error {
	err := errors.New("no answer")
	b.c.Exclude(0, name, out, func(e error) { err = e })
	b.advance(5 * ms)
	return err
}

// An excluded endpoint gets nothing, whatever the lists say, and starts cold when it is included
// again. A call in flight at its exclusion is completed.
func TestExclude(t *testing.T) {
	b := newHarness(t, func(s *snowjunction.Settings) { s.WarmUp = 14 * time.Second })
	d := &exclusionStore{}
	b.c.Exclusions = d
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	require.Len(t, b.calls, 1)
	require.NoError(t, b.exclude("s-1", true))
	require.NoError(t, b.exclude("s-1", true))
	assert.Equal(t, 1, b.leftTargets, "its idle connections are closed")
	b.calls[0].done(Result{Outcome: snowjunction.OK})
	b.submit("m2", "status", 0)
	b.advance(50 * ms)
	for _, phase := range []snowjunction.Phase{snowjunction.Ready, snowjunction.Draining, snowjunction.Gone, snowjunction.Ready} {
		b.list(phase, phase == snowjunction.Ready)
		b.advance(50 * ms)
		assert.Len(t, b.calls, 1, "%v", phase)
	}
	x := b.c.Figures(0)
	assert.Equal(t, 1, x.OutOfRotation)
	assert.Equal(t, 1, x.Open)
	require.NoError(t, b.exclude("s-1", false))
	require.NoError(t, b.exclude("s-1", false))
	require.Len(t, b.calls, 2)
	assert.Zero(t, b.c.Figures(0).OutOfRotation)
	assert.Positive(t, b.c.routes.loaded[7].members[0].moduleView().ExcludedFor)
	assert.ErrorIs(t, b.exclude("s-9", true), ErrUnknown)
	assert.ErrorIs(t, b.exclude("s-9", false), ErrUnknown)
}

// An exclusion that cannot be written is undone, and the caller gets the error.
func TestExcludeWriteFails(t *testing.T) {
	b := newHarness(t, nil)
	full := errors.New("disk full")
	b.c.Exclusions = &exclusionStore{fail: full}
	assert.ErrorIs(t, b.exclude("s-1", true), full)
	b.submit("m1", "status", 0)
	b.advance(5 * ms)
	assert.Len(t, b.calls, 1)
}

// Exclusions are restored before the first decision of the next process.
func TestExclusionsAreRestored(t *testing.T) {
	b := newHarness(t, nil)
	d := &exclusionStore{}
	b.c.Exclusions = d
	require.NoError(t, b.exclude("s-1", true))
	next := &harness{t: t, now: b.now.Add(time.Second), settle: true}
	next = newHarnessWith(next, nil)
	s := exclusions.New(time.Second)
	require.Zero(t, s.Decode(d.text))
	next.c.RestoreExclusions(s)
	next.list(snowjunction.Ready, true)
	next.submit("m1", "status", 0)
	next.advance(50 * ms)
	assert.Empty(t, next.calls)
}

// If two changes are pending at once, the last one that was written successfully counts.
func TestConcurrentExclusionWrites(t *testing.T) {
	full := errors.New("disk full")
	for _, tc := range []struct {
		first, second error
		out           bool
	}{{full, nil, true}, {nil, full, true}, {full, full, false}, {nil, nil, true}} {
		b := newHarness(t, nil)
		d := &exclusionStore{pending: []func(error){}}
		b.c.Exclusions = d
		var got []error
		for range 2 {
			b.c.Exclude(0, "s-1", true, func(e error) { got = append(got, e) })
		}
		d.pending[0](tc.first)
		d.pending[1](tc.second)
		b.advance(5 * ms)
		assert.Equal(t, []error{tc.first, tc.second}, got)
		assert.Equal(t, tc.out, b.c.exclusionSet.Excluded("s-1"))
		assert.Empty(t, b.c.pendingExclusions)
	}
}
