package exclusions

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const cold = 14 * time.Second

var noon = time.UnixMilli(1772366400000)

// Excluding twice is undone by including once. An endpoint that was included again counts as cold
// for a while, also after a restart, unless it is excluded again.
func TestExcludeAndInclude(t *testing.T) {
	s := New(cold)
	require.NoError(t, s.Exclude("s-1", noon))
	require.NoError(t, s.Exclude("s-1", noon.Add(time.Second)))
	assert.True(t, s.Excluded("s-1"))
	assert.Zero(t, s.WasExcludedFor("s-1", noon.Add(time.Second)))
	assert.True(t, s.Include("s-1", noon.Add(5*time.Second)))
	assert.False(t, s.Include("s-1", noon.Add(6*time.Second)), "it is included already")
	for _, x := range []*Set{s, decoded(t, s, noon.Add(6*time.Second))} {
		assert.False(t, x.Excluded("s-1"))
		assert.Equal(t, 5*time.Second, x.WasExcludedFor("s-1", noon.Add(18*time.Second)))
		assert.Equal(t, 5*time.Second, x.WasExcludedFor("s-1", noon.Add(-time.Hour)), "with the clock set back")
		assert.Zero(t, x.WasExcludedFor("s-1", noon.Add(19*time.Second)))
	}
	require.NoError(t, s.Exclude("s-1", noon.Add(7*time.Second)))
	assert.Zero(t, s.WasExcludedFor("s-1", noon.Add(7*time.Second)))
	assert.Equal(t, []string{"s-1"}, decoded(t, s, noon.Add(time.Hour)).Names(), "excluded until an operator includes it")
}

func decoded(t *testing.T, s *Set, now time.Time) *Set {
	x := New(cold)
	require.Zero(t, x.Decode(s.Encode(now)))
	return x
}

// The set is bounded, and endpoints that were included again long ago make room.
func TestSetIsBounded(t *testing.T) {
	s := New(cold)
	for i := range MaxEndpoints {
		require.NoError(t, s.Exclude(fmt.Sprint("s-", i), noon))
	}
	assert.ErrorIs(t, s.Exclude("more", noon), ErrTooMany)
	assert.LessOrEqual(t, len(s.Encode(noon)), MaxBytes)
	s.Include("s-1", noon)
	assert.ErrorIs(t, s.Exclude("more", noon), ErrTooMany, "the included endpoint may still be cold")
	assert.NoError(t, s.Exclude("more", noon.Add(cold)))
}

// A torn file loses only the records after the damage, and the loss is logged once.
func TestTornFile(t *testing.T) {
	s := New(cold)
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		require.NoError(t, s.Exclude(name, noon))
	}
	whole := s.Encode(noon)
	for at := range whole {
		x := New(cold)
		assert.Equal(t, at%(len(whole)/3), x.Decode(whole[:at]))
		assert.Len(t, x.Names(), at/(len(whole)/3))
	}
	dir := t.TempDir()
	f := Open(dir, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	f.Put(whole[:len(whole)-1], func(err error) { done <- err })
	require.NoError(t, <-done)
	f.Close()
	var logged []string
	x := New(cold)
	Read(dir, x, slog.New(slog.NewTextHandler(lineWriter(func(s string) { logged = append(logged, s) }), nil)))
	assert.Equal(t, []string{"s-1", "s-2"}, x.Names())
	require.Len(t, logged, 1)
	assert.Contains(t, logged[0], "cannot be read completely")
}

// Write errors are reported to every caller that waits for the write.
func TestWriteError(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(dir, fileName, "in the way"), 0o700))
	f := Open(dir, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	f.Put(nil, func(err error) { done <- err })
	assert.ErrorContains(t, <-done, "write exclusions")
	f.Close()
}

type lineWriter func(string)

func (l lineWriter) Write(b []byte) (int, error) {
	l(string(b))
	return len(b), nil
}

func FuzzDecode(f *testing.F) {
	s := New(cold)
	_ = s.Exclude("s-1", noon)
	f.Add(s.Encode(noon))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New(cold)
		if lost := s.Decode(b); lost < 0 || lost > len(b) || len(s.exclusions) > MaxEndpoints {
			t.Fatal(lost)
		}
	})
}
