package store

import (
	"fmt"
	"log/slog"
	"maps"
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
	f.Add(encode(&Message{Seq: 1, ID: "a", IdempotencyKey: "k", Ran: true, RanSince: at, State: Failed, Settled: true})) // as it is remembered
	f.Fuzz(func(t *testing.T, b []byte) {
		j := &Journal{live: map[uint64]*entry{}, log: slog.New(slog.DiscardHandler)}
		j.replay(&segment{seqs: map[uint64]bool{}}, b)
		// What a checksum cannot tell: a payload that is nonsense all through.
		_ = j.apply(&segment{seqs: map[uint64]bool{}}, b)
		j.until = func(m *Message) time.Time { return m.RanSince.Add(5 * time.Second) }
		for _, seq := range slices.Sorted(maps.Keys(j.live)) {
			j.pass(seq)
		}
		j.shed()
		require.LessOrEqual(t, j.pastSize, int64(0), "there is no room")
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

// remembering loads a journal that remembers what may have run for 5 s.
func remembering(t *testing.T, dir string, bytes int64) *Journal {
	t.Helper()
	j, left, err := Load(Options{
		Dir: dir, Bytes: bytes, Log: slog.New(slog.DiscardHandler),
		Until: func(m *Message) time.Time {
			if m.Ran {
				return m.RanSince.Add(5 * time.Second)
			}
			return m.OutSince.Add(5 * time.Second)
		},
	})
	require.NoError(t, err)
	require.Empty(t, left, "nothing is owed")
	t.Cleanup(func() { j.Close() })
	return j
}

// compacted has every record that is in the journal now copied or dropped, by messages that
// come and end at that moment.
func compacted(t *testing.T, j *Journal, now time.Time) {
	t.Helper()
	for newest := j.newest().no; j.segments[0].no <= newest; {
		m := &Message{ID: "filler", Class: "order", Body: make([]byte, 3000)}
		require.NoError(t, j.Take(m))
		require.NoError(t, j.Ended(m, Withdrawn, 0, now))
		require.NoError(t, j.Settle(m))
	}
}

// What may have run of a settled message is remembered over compactions and kills, in each
// order, until it binds nobody any more.
func TestRememberedOverCompactions(t *testing.T) {
	for name, end := range map[string]struct {
		state State
		came  []bool // whether it may have run
		after bool   // the outcome comes after the end
		kept  bool
	}{
		"delivered":                        {state: Delivered, kept: true},
		"failed":                           {state: Failed, came: []bool{true}, kept: true},
		"out at its end":                   {state: Failed, kept: true},
		"out at its end, and did not run":  {state: Failed, came: []bool{false}, after: true},
		"out at its end, and may have run": {state: Failed, came: []bool{true}, after: true, kept: true},
		"it did not run":                   {state: Returned, came: []bool{false}},
	} {
		t.Run(name, func(t *testing.T) {
			const room = 200_000
			dir := t.TempDir()
			j := remembering(t, dir, room)
			m := take(t, j, "a", 1000)
			require.NoError(t, j.Sent(m, at))
			came := func() {
				for _, ran := range end.came {
					require.NoError(t, j.Came(m, ran, at.Add(100*time.Millisecond)))
				}
			}
			if !end.after {
				came()
			}
			require.NoError(t, j.Ended(m, end.state, 0, at.Add(time.Second)))
			require.NoError(t, j.Settle(m))
			if end.after {
				came()
			}
			since := at
			if len(end.came) > 0 {
				since = at.Add(100 * time.Millisecond)
			}
			for _, step := range []string{"kill", "compact", "compact", "kill", "compact", "kill", "kill", "compact", "compact", "kill"} {
				if step == "compact" {
					compacted(t, j, at.Add(2*time.Second))
				} else {
					j = remembering(t, dir, room) // the one before was never closed, as after SIGKILL
				}
				if !end.kept {
					assert.Empty(t, j.Ran(), step)
					continue
				}
				require.Len(t, j.Ran(), 1, step)
				got := j.Ran()[0]
				assert.Equal(t, []any{"a", "k", uint64(5), uint32(7), "order", end.state, 1},
					[]any{got.ID, got.IdempotencyKey, got.Key, got.Destination, got.Class, got.State, got.Attempts}, step)
				assert.Empty(t, got.Body)
				if got.Ran {
					assert.Equal(t, since, got.RanSince, step)
				}
			}
			if end.kept {
				require.True(t, j.Ran()[0].Ran)
			}
			compacted(t, j, at.Add(6*time.Second))
			j = remembering(t, dir, room)
			assert.Empty(t, j.Ran(), "its time is over")
			assert.Zero(t, j.pastSize)
		})
	}
}

// What is remembered stays within the folder's bytes, gives way to what is taken on, the
// oldest first, and leaves as much room for that as there was.
func TestRememberedGivesWay(t *testing.T) {
	const room = 200_000
	dir := t.TempDir()
	j := remembering(t, dir, room)
	for i := range 3000 {
		m := take(t, j, fmt.Sprint("ran", i), 30)
		require.NoError(t, j.Sent(m, at))
		require.NoError(t, j.Ended(m, Delivered, 0, at))
		require.NoError(t, j.Settle(m))
		require.LessOrEqual(t, onDisk(t, dir), int64(room), "after %d", i)
	}
	many := j.Ran()
	require.Greater(t, len(many), 500)
	assert.Equal(t, "ran2999", many[len(many)-1].ID)
	assert.Equal(t, fmt.Sprint("ran", 3000-len(many)), many[0].ID, "the last ones")
	j = remembering(t, dir, room)
	assert.GreaterOrEqual(t, len(j.Ran()), len(many))
	held := 0
	for ; j.Room(1000); held++ {
		take(t, j, fmt.Sprint("held", held), 900)
		require.LessOrEqual(t, onDisk(t, dir), int64(room), "with %d held", held)
	}
	empty, plain := remembering(t, t.TempDir(), room), 0
	for ; empty.Room(1000); plain++ {
		take(t, empty, fmt.Sprint("held", plain), 900)
	}
	assert.Equal(t, plain, held, "as many are taken on as without")
	assert.Less(t, len(j.Ran()), len(many))
	assert.Greater(t, len(j.Ran()), 100, "and a part is remembered still")
	var live, past int64
	for _, e := range j.live {
		if e.past {
			past += e.size
		} else {
			live += e.size + progress
		}
	}
	assert.Equal(t, []int64{live, past}, []int64{j.liveSize, j.pastSize})
}
