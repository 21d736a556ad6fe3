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

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).Local()

func load(t *testing.T, dir string, bytes int64) (*Journal, []*Message) {
	t.Helper()
	j, unsettled, err := Load(Options{Dir: dir, Bytes: bytes, Retain: time.Minute, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	t.Cleanup(func() { j.Close() })
	return j, unsettled
}

func accept(t *testing.T, j *Journal, id string, size int) *Message {
	t.Helper()
	m := &Message{ID: id, IdempotencyKey: "k", Key: 5, Destination: 7, Class: "order", Tenant: "town",
		Deadline: noon.Add(time.Second), Resubmitted: true, Body: make([]byte, size)}
	require.NoError(t, j.Accept(m))
	return m
}

func TestReplay(t *testing.T) {
	dir := t.TempDir()
	j, left := load(t, dir, 3e6)
	require.Empty(t, left)
	first, second, third := accept(t, j, "a", 10), accept(t, j, "b", 20), accept(t, j, "c", 0)
	require.NoError(t, j.RecordAttempt(first, noon))
	require.NoError(t, j.RecordOutcome(first, false, time.Time{}))
	require.NoError(t, j.RecordAttempt(first, noon.Add(time.Second)))
	require.NoError(t, j.RecordAttempt(second, noon))
	require.NoError(t, j.RecordOutcome(second, true, time.Time{}))
	require.NoError(t, j.RecordAttempt(second, noon.Add(time.Second)))
	require.NoError(t, j.RecordOutcome(second, true, time.Time{}))
	require.NoError(t, j.RecordFinalState(second, Returned, 300*time.Millisecond, noon))
	require.NoError(t, j.RecordFinalState(third, Delivered, 0, noon))
	require.NoError(t, j.Settle(third))

	j, left = load(t, dir, 3e6) // the first journal was never closed, as after SIGKILL
	require.Len(t, left, 2)
	want := *first
	want.InFlight, want.MayHaveRun, want.MayHaveRunSince = false, true, noon.Add(time.Second)
	assert.Equal(t, want, *left[0], "the attempt in flight may have run")
	assert.Equal(t, 2, left[0].Attempts)
	assert.Equal(t, *second, *left[1])
	assert.Equal(t, noon, left[1].MayHaveRunSince, "the window starts with the first attempt that may have run")
	assert.Greater(t, accept(t, j, "d", 1).Seq, third.Seq, "sequence numbers are not reused")
}

func TestTruncatedAndCorruptSegments(t *testing.T) {
	dir := t.TempDir()
	j, _ := load(t, dir, 3e6)
	accept(t, j, "a", 10)
	accept(t, j, "b", 10)
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
			want := 1
			if kind == "torn" && cut < len(whole)/2 || kind == "flipped" && cut < len(whole)/2 {
				want = 0
			}
			require.Len(t, left, want, "%s at %d", kind, cut)
			accept(t, j, "new", 1) // and the journal accepts new records
			_, left = load(t, dir, 3e6)
			require.Len(t, left, want+1, "%s at %d", kind, cut)
		}
	}
}

// Guards against exceeding the disk limit, also during compaction, and against losing live
// messages.
func TestCompaction(t *testing.T) {
	const maxBytes = 200_000
	dir := t.TempDir()
	j, _ := load(t, dir, maxBytes)
	var live []*Message
	for i := range 3000 {
		if !j.HasRoom(700) {
			require.NoError(t, j.RecordFinalState(live[0], Failed, 0, noon))
			require.NoError(t, j.Settle(live[0]))
			live = live[1:]
		}
		live = append(live, accept(t, j, fmt.Sprint("m", i), 600))
		if i%3 == 0 {
			require.NoError(t, j.RecordAttempt(live[len(live)/2], noon))
			require.NoError(t, j.RecordOutcome(live[len(live)/2], i%2 == 0, time.Time{}))
		}
		require.LessOrEqual(t, diskUsage(t, dir), int64(maxBytes), "after %d", i)
	}
	require.Greater(t, len(live), 50)
	_, left := load(t, dir, maxBytes)
	require.Len(t, left, len(live))
	for i := range live {
		require.Equal(t, *live[i], *left[i])
	}
	assert.ErrorIs(t, j.Accept(&Message{ID: "big", Body: make([]byte, maxBytes)}), ErrFull)
}

func diskUsage(t *testing.T, dir string) (total int64) {
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, f := range files {
		info, err := f.Info()
		require.NoError(t, err)
		total += (info.Size() + blockSize - 1) / blockSize * blockSize
	}
	return total
}

func TestRetainedMessagesExpire(t *testing.T) {
	dir := t.TempDir()
	j, _ := load(t, dir, 3e6)
	m := &Message{Origin: 1, ID: "p", Body: []byte("x"), Class: "order"}
	require.NoError(t, j.Accept(m))
	require.NoError(t, j.RecordFinalState(m, Delivered, 0, noon))
	require.NoError(t, j.Settle(m))
	j, left := load(t, dir, 3e6)
	require.Len(t, left, 1)
	assert.Equal(t, Delivered, left[0].State)
	other := &Message{Origin: 1, ID: "q", Class: "order"}
	require.NoError(t, j.Accept(other))
	require.NoError(t, j.RecordFinalState(other, Failed, 0, noon.Add(2*time.Minute)))
	require.NoError(t, j.Settle(other))
	_, left = load(t, dir, 3e6)
	require.Len(t, left, 2, "on disk until compaction")
	j.expireRetained(noon.Add(2 * time.Minute))
	assert.Len(t, j.live, 1, "the first message's retention time has passed")
}

func FuzzOpen(f *testing.F) {
	f.Add(encode(&Message{Seq: 1, ID: "a", Class: "b", Body: []byte("c")}))
	f.Add(encode(&Message{Seq: 1, ID: "a", IdempotencyKey: "k", MayHaveRun: true, MayHaveRunSince: noon, State: Failed, Settled: true})) // a remembered message
	f.Fuzz(func(t *testing.T, b []byte) {
		j := &Journal{live: map[uint64]*entry{}, log: slog.New(slog.DiscardHandler)}
		j.replay(&segment{seqs: map[uint64]bool{}}, b)
		// Payloads that no checksum protects: arbitrary bytes.
		_ = j.apply(&segment{seqs: map[uint64]bool{}}, b)
		j.rememberUntil = func(m *Message) time.Time { return m.MayHaveRunSince.Add(5 * time.Second) }
		for _, seq := range slices.Sorted(maps.Keys(j.live)) {
			j.remember(seq)
		}
		j.evictSettled()
		require.LessOrEqual(t, j.sizes[rememberedEntry], int64(0), "nothing fits into a journal without space")
	})
}

// Guards against losing an attempt that may have run when a process is killed twice: first with
// that attempt in flight, then after a second attempt that proved not to have run.
func TestOutcomeSurvivesTwoCrashes(t *testing.T) {
	dir := t.TempDir()
	j, _ := load(t, dir, 3e6)
	require.NoError(t, j.RecordAttempt(accept(t, j, "a", 10), noon))
	j, left := load(t, dir, 3e6)
	require.Len(t, left, 1)
	require.NoError(t, j.RecordAttempt(left[0], noon.Add(time.Second)))
	require.NoError(t, j.RecordOutcome(left[0], false, time.Time{}))
	_, left = load(t, dir, 3e6)
	require.Len(t, left, 1)
	assert.True(t, left[0].MayHaveRun)
	assert.Equal(t, noon, left[0].MayHaveRunSince, "the window starts with the first attempt")
	assert.Equal(t, 2, left[0].Attempts)
}

// loadRemembering loads a journal that remembers attempts that may have run for 5 s.
func loadRemembering(t *testing.T, dir string, bytes int64) *Journal {
	t.Helper()
	j, left, err := Load(Options{
		Dir: dir, Bytes: bytes, Log: slog.New(slog.DiscardHandler),
		RememberUntil: func(m *Message) time.Time {
			if m.MayHaveRun {
				return m.MayHaveRunSince.Add(5 * time.Second)
			}
			return m.InFlightSince.Add(5 * time.Second)
		},
	})
	require.NoError(t, err)
	require.Empty(t, left, "no message is unsettled")
	t.Cleanup(func() { j.Close() })
	return j
}

// compactAll accepts and settles messages at time now until every current record has been copied or
// dropped by compaction.
func compactAll(t *testing.T, j *Journal, now time.Time) {
	t.Helper()
	for newest := j.newest().no; j.segments[0].no <= newest; {
		m := &Message{ID: "filler", Class: "order", Body: make([]byte, 3000)}
		require.NoError(t, j.Accept(m))
		require.NoError(t, j.RecordFinalState(m, Withdrawn, 0, now))
		require.NoError(t, j.Settle(m))
	}
}

// An attempt of a settled message that may have run stays remembered over compactions and kills, in
// any order, until it is no longer relevant.
func TestRememberedSurvivesCompactionAndRestart(t *testing.T) {
	for name, tc := range map[string]struct {
		state State
		came  []bool // whether the attempt may have run
		after bool   // the outcome is recorded after the final state
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
			j := loadRemembering(t, dir, room)
			m := accept(t, j, "a", 1000)
			require.NoError(t, j.RecordAttempt(m, noon))
			recordOutcomes := func() {
				for _, ran := range tc.came {
					require.NoError(t, j.RecordOutcome(m, ran, noon.Add(100*time.Millisecond)))
				}
			}
			if !tc.after {
				recordOutcomes()
			}
			require.NoError(t, j.RecordFinalState(m, tc.state, 0, noon.Add(time.Second)))
			require.NoError(t, j.Settle(m))
			if tc.after {
				recordOutcomes()
			}
			since := noon
			if len(tc.came) > 0 {
				since = noon.Add(100 * time.Millisecond)
			}
			for _, step := range []string{"kill", "compact", "compact", "kill", "compact", "kill", "kill", "compact", "compact", "kill"} {
				if step == "compact" {
					compactAll(t, j, noon.Add(2*time.Second))
				} else {
					j = loadRemembering(t, dir, room) // the previous journal was never closed, as after SIGKILL
				}
				if !tc.kept {
					assert.Empty(t, j.SettledMayHaveRun(), step)
					continue
				}
				require.Len(t, j.SettledMayHaveRun(), 1, step)
				got := j.SettledMayHaveRun()[0]
				assert.Equal(t, []any{"a", "k", uint64(5), uint32(7), "order", tc.state, 1},
					[]any{got.ID, got.IdempotencyKey, got.Key, got.Destination, got.Class, got.State, got.Attempts}, step)
				assert.Empty(t, got.Body)
				if got.MayHaveRun {
					assert.Equal(t, since, got.MayHaveRunSince, step)
				}
			}
			if tc.kept {
				require.True(t, j.SettledMayHaveRun()[0].MayHaveRun)
			}
			compactAll(t, j, noon.Add(6*time.Second))
			j = loadRemembering(t, dir, room)
			assert.Empty(t, j.SettledMayHaveRun(), "it is no longer relevant")
			assert.Zero(t, j.sizes[rememberedEntry])
		})
	}
}

// Remembered messages stay within the disk limit, are evicted oldest first when new messages need
// the space, and do not reduce the space for new messages.
func TestRememberedYieldsSpaceToNewMessages(t *testing.T) {
	const room = 200_000
	dir := t.TempDir()
	j := loadRemembering(t, dir, room)
	for i := range 3000 {
		m := accept(t, j, fmt.Sprint("ran", i), 30)
		require.NoError(t, j.RecordAttempt(m, noon))
		require.NoError(t, j.RecordFinalState(m, Delivered, 0, noon))
		require.NoError(t, j.Settle(m))
		require.LessOrEqual(t, diskUsage(t, dir), int64(room), "after %d", i)
	}
	before := j.SettledMayHaveRun()
	require.Greater(t, len(before), 500)
	assert.Equal(t, "ran2999", before[len(before)-1].ID)
	assert.Equal(t, fmt.Sprint("ran", 3000-len(before)), before[0].ID, "the most recent messages remain")
	j = loadRemembering(t, dir, room)
	assert.GreaterOrEqual(t, len(j.SettledMayHaveRun()), len(before))
	held := 0
	for ; j.HasRoom(1000); held++ {
		accept(t, j, fmt.Sprint("held", held), 900)
		require.LessOrEqual(t, diskUsage(t, dir), int64(room), "with %d held", held)
	}
	empty, baseline := loadRemembering(t, t.TempDir(), room), 0
	for ; empty.HasRoom(1000); baseline++ {
		accept(t, empty, fmt.Sprint("held", baseline), 900)
	}
	assert.Equal(t, baseline, held, "as many messages are accepted as without remembered ones")
	assert.Less(t, len(j.SettledMayHaveRun()), len(before))
	assert.Greater(t, len(j.SettledMayHaveRun()), 100, "and some are still remembered")
	requireExactSizes(t, j)
}

// requireExactSizes requires that the journal's account of its room agrees with its entries and their records.
func requireExactSizes(t require.TestingT, j *Journal) {
	var sizes [entryKinds]int64
	for _, e := range j.live {
		sizes[e.kind] += e.room()
		if e.kind != unsettledEntry {
			require.Equal(t, settledSize(e.message), e.size, "%s: what compaction copies", e.message.ID)
			require.Empty(t, e.message.Body)
		}
	}
	require.Equal(t, sizes, j.sizes)
}
