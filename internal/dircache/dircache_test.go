package dircache

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
	"snowjunction/internal/groups"
)

func testEntry(i int) groups.Entry {
	return groups.Entry{
		Name: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Destination: snowjunction.DestinationID(i / 2),
		Zone: i % 2, Kind: i % 3, Phase: snowjunction.Ready, Weight: float64(i),
	}
}

func testHead() Head {
	return Head{ConfirmedAt: time.UnixMilli(1e12), Generation: 41, Agent: "127.0.0.1:8500", Zones: []string{"a", "b"}, Kinds: []string{"k", "l", "m"}}
}

func encodeSnapshot(n, most int) []byte {
	w := NewWriter(testHead(), most)
	for i := range n {
		w.Add(testEntry(i))
	}
	return w.Bytes()
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Head{
			ConfirmedAt: time.UnixMilli(rapid.Int64Range(-1e15, 1e15).Draw(t, "told")),
			Generation:  rapid.Uint64().Draw(t, "generation"), Agent: rapid.StringN(0, 20, 60).Draw(t, "agent"),
			Zones: rapid.SliceOfN(rapid.StringN(0, 9, 30), 1, 4).Draw(t, "zones"), Kinds: rapid.SliceOfN(rapid.StringN(0, 9, 30), 1, 4).Draw(t, "kinds"),
		}
		if h.Partitions = rapid.SampledFrom([]int{0, 1, 9, 1 << 16}).Draw(t, "partitions"); h.Partitions > 0 {
			h.Covered = rapid.SliceOfNDistinct(rapid.IntRange(0, h.Partitions-1), 0, min(h.Partitions, 30), rapid.ID).Draw(t, "of")
			if slices.Sort(h.Covered); len(h.Covered) == 0 {
				h.Covered = nil
			}
		}
		w := NewWriter(h, 1<<20)
		var want []groups.Entry
		for i := range rapid.IntRange(0, 40).Draw(t, "n") {
			e := testEntry(i)
			e.Phase = snowjunction.Phase(rapid.IntRange(1, 2).Draw(t, "phase"))
			e.Weight = rapid.Float64Range(-1e9, 1e9).Draw(t, "weight")
			require.True(t, w.Add(e))
			want = append(want, e)
		}
		b := w.Bytes()
		s, err := Decode(b)
		require.NoError(t, err)
		assert.Equal(t, h, s.Head)
		assert.Equal(t, want, s.Entries)
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		_, err = Decode(b)
		assert.ErrorIs(t, err, ErrInvalid, "any changed byte is detected")
	})
}

func TestWriterRespectsSizeLimit(t *testing.T) {
	b := encodeSnapshot(1000, 4096)
	assert.LessOrEqual(t, len(b), 4096)
	s, err := Decode(b)
	require.NoError(t, err)
	assert.True(t, s.Partial)
	assert.Greater(t, len(s.Entries), 80)
}

// Guards the byte layout of version 1, used for a list of all destinations, which earlier releases
// read.
func TestVersion1LayoutIsUnchanged(t *testing.T) {
	assert.Equal(t, "e8f49d54a9e626f5", fmt.Sprintf("%x", xxhash.Sum64(encodeSnapshot(3, 1<<20))))
	s, err := Decode(encodeSnapshot(3, 1<<20))
	require.NoError(t, err)
	assert.Zero(t, s.Partitions)
}

// Decode rejects partition lists that are out of range, out of order or truncated.
func TestInvalidPartitions(t *testing.T) {
	h := testHead()
	at := len(NewWriter(h, 1<<20).buf) - 5
	h.Partitions = 9
	for name, of := range map[string][]byte{
		"none at all": {0, 0}, "more than there are": {9, 10}, "beyond the last": {9, 1, 9}, "beyond, added up": {9, 2, 8, 0},
		"too many": {0x81, 0x80, 4, 0}, "cut short": {9, 3, 1},
	} {
		b := NewWriter(h, 1<<20).buf
		b = append(append(b[:at:at], of...), 0, 0, 0, 0, 0)
		if name == "cut short" {
			b = b[:len(b)-5]
		}
		_, err := Decode(seal(b))
		assert.ErrorIs(t, err, ErrInvalid, name)
	}
}

func TestRemap(t *testing.T) {
	s, err := Decode(encodeSnapshot(6, 1<<20))
	require.NoError(t, err)
	s.Renumber(map[string]int{"b": 0, "a": 1}, map[string]int{"m": 0})
	assert.Equal(t, 1, s.Entries[0].Zone)
	assert.Equal(t, 0, s.Entries[1].Zone)
	assert.Equal(t, 1, s.Entries[0].Kind, "an unknown kind gets the number after the last")
	assert.Equal(t, 0, s.Entries[2].Kind)
}

func open(t *testing.T, dir string, generations int) *Cache {
	c, err := Open(Options{Dir: dir, Bytes: 1 << 20, Generations: generations, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	return c
}

// Load returns the newest readable snapshot and falls back to older ones; no more than the
// configured number are kept.
func TestLoadUsesNewestReadableGeneration(t *testing.T) {
	dir := t.TempDir()
	for i := range 5 {
		c := open(t, dir, 3)
		c.Put(encodeSnapshot(i, 1<<20))
		c.Close()
	}
	files, err := Files(dir)
	require.NoError(t, err)
	require.Len(t, files, 3)
	for want := 4; want >= 2; want-- {
		var wrong []string
		s := Load(dir, func(file string, err error) { wrong = append(wrong, file) })
		require.NotNil(t, s)
		assert.Len(t, s.Entries, want)
		assert.Len(t, wrong, 4-want)
		require.NoError(t, os.Truncate(files[4-want], int64(want)))
	}
	assert.Nil(t, Load(dir, func(string, error) {}))
	open(t, dir, 1).Close()
	files, err = Files(dir)
	require.NoError(t, err)
	assert.Len(t, files, 1)
}

// An interrupted write leaves no snapshot; a failed write keeps the previous snapshot, and the next
// successful one replaces it.
func TestFailedAndInterruptedWrites(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, partialName), []byte("half"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, filePrefix+"notes.txt"), []byte("not ours"), 0o600))
	c := open(t, dir, 1)
	c.Put(encodeSnapshot(2, 1<<20))
	wait := func(n func(Counts) uint64, want uint64) {
		for n(c.Counts()) < want {
			time.Sleep(time.Millisecond)
		}
	}
	written, failed := func(n Counts) uint64 { return n.Written }, func(n Counts) uint64 { return n.Failed }
	wait(written, 1)
	blocked := filepath.Join(dir, partialName, "x")
	require.NoError(t, os.MkdirAll(blocked, 0o700))
	c.Put(encodeSnapshot(3, 1<<20))
	wait(failed, 1)
	s := Load(dir, func(file string, err error) { t.Error(file, err) })
	assert.Len(t, s.Entries, 2)
	require.NoError(t, os.RemoveAll(filepath.Join(dir, partialName)))
	c.Put(encodeSnapshot(4, 1<<20))
	c.Close()
	c.Put(encodeSnapshot(5, 1<<20)) // ignored after Close
	assert.Len(t, Load(dir, func(string, error) {}).Entries, 4)
	assert.FileExists(t, filepath.Join(dir, filePrefix+"notes.txt"))
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeSnapshot(3, 1<<20), true)
	f.Add([]byte{}, false)
	h := testHead()
	h.Partitions, h.Covered = 16384, []int{0, 3, 77, 16383}
	f.Add(NewWriter(h, 1<<20).Bytes(), true)
	f.Fuzz(func(t *testing.T, b []byte, sealed bool) {
		if sealed && len(b) > checksumSize { // get past the checksum
			b = seal(b[: len(b)-checksumSize : len(b)-checksumSize])
		}
		s, err := Decode(b)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalid)
			return
		}
		w := NewWriter(s.Head, 1<<24)
		for _, e := range s.Entries {
			require.True(t, w.Add(e))
		}
		again, err := Decode(w.Bytes())
		require.NoError(t, err)
		assert.Equal(t, s.Entries, again.Entries)
		assert.Equal(t, s.Partitions, again.Partitions)
		assert.Equal(t, s.Covered, again.Covered)
	})
}
