package store

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var at = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).Local()

func load(t *testing.T, dir string, bytes int64) (*Journal, []*Message) {
	t.Helper()
	j, left, err := Load(Options{Dir: dir, Bytes: bytes, Retain: time.Minute, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	t.Cleanup(func() { j.Close() })
	return j, left
}

func take(t *testing.T, j *Journal, id string, size int) *Message {
	t.Helper()
	m := &Message{ID: id, IdempotencyKey: "k", Key: 5, Destination: 7, Class: "order", Tenant: "town",
		Deadline: at.Add(time.Second), Again: true, Body: make([]byte, size)}
	require.NoError(t, j.Take(m))
	return m
}

func TestReplay(t *testing.T) {
	dir := t.TempDir()
	j, left := load(t, dir, 3e6)
	require.Empty(t, left)
	first, second, third := take(t, j, "a", 10), take(t, j, "b", 20), take(t, j, "c", 0)
	require.NoError(t, j.Sent(first, at))
	require.NoError(t, j.Came(first, false, time.Time{}))
	require.NoError(t, j.Sent(first, at.Add(time.Second)))
	require.NoError(t, j.Sent(second, at))
	require.NoError(t, j.Came(second, true, time.Time{}))
	require.NoError(t, j.Sent(second, at.Add(time.Second)))
	require.NoError(t, j.Came(second, true, time.Time{}))
	require.NoError(t, j.Ended(second, Returned, 300*time.Millisecond, at))
	require.NoError(t, j.Ended(third, Delivered, 0, at))
	require.NoError(t, j.Settle(third))

	j, left = load(t, dir, 3e6) // the first was never closed, as after SIGKILL
	require.Len(t, left, 2)
	want := *first
	want.Out, want.Ran, want.RanSince = false, true, at.Add(time.Second)
	assert.Equal(t, want, *left[0], "the attempt that was out may have run")
	assert.Equal(t, 2, left[0].Attempts)
	assert.Equal(t, *second, *left[1])
	assert.Equal(t, at, left[1].RanSince, "the window runs from the first that may have run")
	assert.Greater(t, take(t, j, "d", 1).Seq, third.Seq, "numbers are not used again")
}

func TestTornAndCorruptTails(t *testing.T) {
	dir := t.TempDir()
	j, _ := load(t, dir, 3e6)
	take(t, j, "a", 10)
	take(t, j, "b", 10)
	name := filepath.Join(dir, "journal-000000001")
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for cut := range len(whole) {
		torn := slices.Clone(whole[:cut])
		flipped := slices.Clone(whole)
		flipped[cut] ^= 0x10
		for kind, b := range map[string][]byte{"torn": torn, "flipped": flipped} {
			dir := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(dir, "journal-000000001"), b, 0o600))
			j, left := load(t, dir, 3e6)
			most := 1
			if kind == "torn" && cut < len(whole)/2 || kind == "flipped" && cut < len(whole)/2 {
				most = 0
			}
			require.Len(t, left, most, "%s at %d", kind, cut)
			take(t, j, "new", 1) // and it can be written on
			_, left = load(t, dir, 3e6)
			require.Len(t, left, most+1, "%s at %d", kind, cut)
		}
	}
}

// The folder must never hold more than it may, also while compacting, and
// nothing that is live may go.
func TestCompaction(t *testing.T) {
	const most = 200_000
	dir := t.TempDir()
	j, _ := load(t, dir, most)
	var live []*Message
	for i := range 3000 {
		if !j.Room(700) {
			require.NoError(t, j.Ended(live[0], Failed, 0, at))
			require.NoError(t, j.Settle(live[0]))
			live = live[1:]
		}
		live = append(live, take(t, j, fmt.Sprint("m", i), 600))
		if i%3 == 0 {
			require.NoError(t, j.Sent(live[len(live)/2], at))
			require.NoError(t, j.Came(live[len(live)/2], i%2 == 0, time.Time{}))
		}
		require.LessOrEqual(t, onDisk(t, dir), int64(most), "after %d", i)
	}
	require.Greater(t, len(live), 50)
	_, left := load(t, dir, most)
	require.Len(t, left, len(live))
	for i := range live {
		require.Equal(t, *live[i], *left[i])
	}
	assert.ErrorIs(t, j.Take(&Message{ID: "big", Body: make([]byte, most)}), ErrFull)
}

func onDisk(t *testing.T, dir string) (total int64) {
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(t, err)
		total += (info.Size() + block - 1) / block * block
	}
	return total
}

func TestRetained(t *testing.T) {
	dir := t.TempDir()
	j, _ := load(t, dir, 3e6)
	m := &Message{Origin: 1, ID: "p", Body: []byte("x"), Class: "order"}
	require.NoError(t, j.Take(m))
	require.NoError(t, j.Ended(m, Delivered, 0, at))
	require.NoError(t, j.Settle(m))
	j, left := load(t, dir, 3e6)
	require.Len(t, left, 1)
	assert.Equal(t, Delivered, left[0].State)
	other := &Message{Origin: 1, ID: "q", Class: "order"}
	require.NoError(t, j.Take(other))
	require.NoError(t, j.Ended(other, Failed, 0, at.Add(2*time.Minute)))
	require.NoError(t, j.Settle(other))
	_, left = load(t, dir, 3e6)
	require.Len(t, left, 2, "on disk until compaction")
	j.expire(at.Add(2 * time.Minute))
	assert.Len(t, j.live, 1, "the first has been kept for long enough")
}

func FuzzOpen(f *testing.F) {
	f.Add(encode(&Message{Seq: 1, ID: "a", Class: "b", Body: []byte("c")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		j := &Journal{live: map[uint64]*entry{}, log: slog.New(slog.DiscardHandler)}
		j.replay(&segment{seqs: map[uint64]bool{}}, b)
		// What a checksum cannot tell: a payload that is nonsense all through.
		_ = j.apply(&segment{seqs: map[uint64]bool{}}, b)
	})
}

// A process dies with an attempt out; its heir makes another, which proves not to have run,
// and dies too. What the first may have done is not forgotten by that.
func TestKilledTwice(t *testing.T) {
	dir := t.TempDir()
	j, _ := load(t, dir, 3e6)
	require.NoError(t, j.Sent(take(t, j, "a", 10), at))
	j, left := load(t, dir, 3e6)
	require.Len(t, left, 1)
	require.NoError(t, j.Sent(left[0], at.Add(time.Second)))
	require.NoError(t, j.Came(left[0], false, time.Time{}))
	_, left = load(t, dir, 3e6)
	require.Len(t, left, 1)
	assert.True(t, left[0].Ran)
	assert.Equal(t, at, left[0].RanSince, "its window runs from the first")
	assert.Equal(t, 2, left[0].Attempts)
}
