package idlestore

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

type fixture struct {
	*Store
	t     *testing.T
	posts chan func()
	log   bytes.Buffer
}

func newStore(t *testing.T, path string, now time.Time) *fixture {
	f := &fixture{t: t, posts: make(chan func(), 100)}
	var err error
	f.Store, err = Open(Options{
		Path: path, MaxBytes: 64 * entryBytes, MaxAge: time.Hour, Post: func(g func()) { f.posts <- g },
		Log: slog.New(slog.NewTextHandler(&f.log, nil)), Now: func() time.Time { return now },
	})
	require.NoError(t, err)
	return f
}

// ask waits for the store's answer, and therefore for all earlier writes.
func (f *fixture) ask(dest uint32) (text []byte, at time.Time, ok bool) {
	require.True(f.t, f.Take(dest, func(b []byte, when time.Time, found bool) { text, at, ok = b, when, found }))
	(<-f.posts)()
	return
}

// Entries survive a restart, with their times.
func TestEntriesSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "idle.db")
	s := newStore(t, path, noon)
	assert.False(t, s.Has(7))
	s.Put(7, noon, []byte("first"))
	s.Put(7, noon.Add(time.Second), []byte("second"))
	s.Put(8, noon.Add(2*time.Second), []byte("other"))
	assert.True(t, s.Has(7), "at once")
	text, at, ok := s.ask(7)
	assert.Equal(t, [3]any{"second", true, true}, [3]any{string(text), ok, at.Equal(noon.Add(time.Second))})
	s.Close()

	s = newStore(t, path, noon.Add(time.Hour+1500*time.Millisecond))
	assert.False(t, s.Has(7), "too old")
	assert.True(t, s.Has(8))
	assert.Equal(t, 1, s.Len())
	_, _, ok = s.ask(7)
	assert.False(t, ok)
	text, _, _ = s.ask(8)
	assert.Equal(t, "other", string(text))
	s.Close()
}

// The oldest entries make room for new ones.
func TestOldestEntriesAreDropped(t *testing.T) {
	s := newStore(t, filepath.Join(t.TempDir(), "idle.db"), noon)
	for i := range uint32(200) {
		s.Put(i, noon.Add(time.Duration(i)*time.Millisecond), []byte("text"))
	}
	_, _, ok := s.ask(199)
	assert.True(t, ok)
	assert.Equal(t, 64, s.Len())
	assert.False(t, s.Has(100))
	assert.True(t, s.Has(136))
	s.Close()
}

// A file that is not a store, is truncated or has damaged pages only loses its contents and never
// prevents a start; it is moved aside.
func TestDamagedFile(t *testing.T) {
	for name, spoil := range map[string]func(b []byte) []byte{
		"no store":  func([]byte) []byte { return []byte("these are no mementos") },
		"empty":     func([]byte) []byte { return nil },
		"cut short": func(b []byte) []byte { return b[:len(b)/2] },
		"zeros":     func(b []byte) []byte { return make([]byte, len(b)) },
		"rotten": func(b []byte) []byte {
			for i := 8192; i < len(b); i++ {
				b[i] ^= 0x5a
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "idle.db")
			s := newStore(t, path, noon)
			for i := range uint32(60) {
				s.Put(i, noon, bytes.Repeat([]byte("x"), 2000))
			}
			s.ask(0)
			s.Close()
			b, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, spoil(b), 0o600))

			s = newStore(t, path, noon)
			for i := range uint32(60) {
				if text, _, ok := s.ask(i); ok { // remaining entries are complete
					assert.Equal(t, bytes.Repeat([]byte("x"), 2000), text)
				}
			}
			s.Close()
			s = newStore(t, path, noon)
			s.Put(99, noon, []byte("anew"))
			text, _, _ := s.ask(99)
			assert.Equal(t, "anew", string(text), "%s", s.log.String())
			s.Close()
		})
	}
}

// An entry whose bytes have changed is rejected.
func TestChecksum(t *testing.T) {
	b := encode(key(7), noon, []byte("memento"))
	_, _, ok := decode(key(7), b)
	assert.True(t, ok)
	_, _, ok = decode(key(8), b)
	assert.False(t, ok, "the key of another destination")
	for i := range b {
		b[i] ^= 1
		_, _, ok = decode(key(7), b)
		assert.False(t, ok)
		b[i] ^= 1
	}
}

// If the file cannot be used, Open returns an error.
func TestUnusablePath(t *testing.T) {
	_, err := Open(Options{
		Path: filepath.Join(t.TempDir(), "no", "such", "folder"), Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	assert.Error(t, err)
}

// Callers never wait for the file: entries beyond the queue's capacity are dropped and counted.
func TestFullQueueDrops(t *testing.T) {
	held, entered := make(chan struct{}), make(chan struct{})
	s, err := Open(Options{
		Path: filepath.Join(t.TempDir(), "idle.db"), MaxBytes: 1 << 20, MaxAge: time.Hour, Log: slog.New(slog.DiscardHandler),
		Now: func() time.Time { return noon }, Post: func(func()) { close(entered); <-held },
	})
	require.NoError(t, err)
	require.True(t, s.Take(1, nil))
	<-entered // the store's goroutine is blocked
	for i := range uint32(queueCapacity + 10) {
		s.Put(i, noon, []byte("x"))
	}
	assert.EqualValues(t, 10, s.Dropped())
	assert.False(t, s.Take(1, nil))
	close(held)
	s.Close()
}
