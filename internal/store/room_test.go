package store

import (
	"fmt"
	"log/slog"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// deliver accepts a message of the push front and settles it as delivered.
func deliver(t *testing.T, j *Journal, id string, size int) {
	t.Helper()
	m := &Message{Origin: 1, ID: id, Class: "order", Body: make([]byte, size)}
	require.NoError(t, j.Accept(m), id)
	require.NoError(t, j.RecordAttempt(m, noon))
	require.NoError(t, j.RecordOutcome(m, true, noon))
	require.NoError(t, j.RecordFinalState(m, Delivered, 0, noon))
	require.NoError(t, j.Settle(m))
}

// Guards against final states that can be queried filling the journal, so that every message is refused for good
// (review/6): they give way to messages, the oldest first, also after a kill when the journal is fullest.
func TestRetainedYieldsSpaceToNewMessages(t *testing.T) {
	const room = 3_000_000
	for _, size := range []int{1, 340, 16 << 10, 64 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			dir := t.TempDir()
			j, _ := load(t, dir, room)
			const count = 3000
			for i := range count {
				deliver(t, j, fmt.Sprint("m", i), size)
				if i%100 == 0 {
					require.LessOrEqual(t, diskUsage(t, dir), int64(room), "after %d", i)
				}
			}
			j, left := load(t, dir, room) // the first journal was never closed, as after SIGKILL
			require.NotEmpty(t, left)
			assert.Equal(t, fmt.Sprint("m", count-1), left[len(left)-1].ID, "the most recent states can be queried")
			requireExactSizes(t, j)
			held := 0
			for ; j.HasRoom(size + 10); held++ {
				m := &Message{Origin: 1, ID: fmt.Sprint("held", held), Class: "order", Body: make([]byte, size)}
				require.NoError(t, j.Accept(m))
				require.LessOrEqual(t, diskUsage(t, dir), int64(room), "with %d held", held)
			}
			empty, _ := load(t, t.TempDir(), room)
			most := 0
			for ; empty.HasRoom(size + 10); most++ {
				require.NoError(t, empty.Accept(&Message{Origin: 1, ID: fmt.Sprint("held", most), Class: "order", Body: make([]byte, size)}))
			}
			// Sequence numbers take up to two bytes more than those of an empty journal.
			assert.InDelta(t, most, held, float64(most)/1000, "as many messages are accepted as by an empty journal")
		})
	}
}

// journalModel is what a journal has to keep: its unsettled messages.
type journalModel struct {
	dir       string
	journal   *Journal
	unsettled []*Message
	accepted  int
	now       time.Time
}

const modelRoom = 200_000

func (m *journalModel) open(t *rapid.T) {
	journal, left, err := Load(Options{
		Dir: m.dir, Bytes: modelRoom, Retain: time.Minute, Log: slog.New(slog.DiscardHandler),
		RememberUntil: func(x *Message) time.Time { return ranSinceForTest(x).Add(5 * time.Second) },
	})
	require.NoError(t, err)
	left = slices.DeleteFunc(left, func(x *Message) bool { return x.Settled })
	require.Len(t, left, len(m.unsettled))
	for i, x := range m.unsettled {
		require.Equal(t, x.ID, left[i].ID)
		require.Len(t, left[i].Body, len(x.Body))
	}
	if m.journal != nil {
		_ = m.journal.Close()
	}
	m.journal, m.unsettled = journal, left
}

func ranSinceForTest(m *Message) time.Time {
	if m.MayHaveRun {
		return m.MayHaveRunSince
	}
	return m.InFlightSince
}

// needed returns the room that the model's messages take.
func (m *journalModel) needed() (total int64) {
	for _, x := range m.unsettled {
		total += m.journal.live[x.Seq].room()
	}
	return total
}

// The account of the journal's room is exact after any sequence of messages, ends, kills and compactions: room
// for a message depends on unsettled messages alone, none of these is lost, and the disk limit holds.
func TestRoomMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "journal")
		require.NoError(t, err)
		defer os.RemoveAll(dir)
		m := &journalModel{dir: dir, now: noon}
		m.open(t)
		defer func() { _ = m.journal.Close() }()
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.step(t)
			require.Equal(t, m.needed(), m.journal.sizes[unsettledEntry])
			requireExactSizes(t, m.journal)
			require.LessOrEqual(t, m.journal.Size(), int64(modelRoom))
		}
		m.open(t)
	})
}

// step changes the journal and the model at random.
func (m *journalModel) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	action := rapid.IntRange(0, 19).Draw(t, "action")
	switch {
	case action == 0:
		m.open(t)
	case action < 10 || len(m.unsettled) == 0:
		m.accept(t)
	default:
		m.progress(t, action)
	}
}

func (m *journalModel) accept(t *rapid.T) {
	size := rapid.SampledFrom([]int{1, 340, 3000, 8000}).Draw(t, "size")
	m.accepted++
	x := &Message{
		Origin: byte(rapid.IntRange(0, 1).Draw(t, "origin")), ID: fmt.Sprint("m", m.accepted), Class: "order", Body: make([]byte, size),
	}
	fits := m.needed()+int64(size+len(x.ID))+2*progressReserve <= int64(float64(m.journal.maxBytes)*maxLiveShare)
	err := m.journal.Accept(x)
	if !fits {
		require.ErrorIs(t, err, ErrFull)
		return
	}
	require.NoError(t, err, "room depends on unsettled messages alone")
	m.unsettled = append(m.unsettled, x)
}

// progress records an attempt, an outcome or the end of a message.
func (m *journalModel) progress(t *rapid.T, action int) {
	i := rapid.IntRange(0, len(m.unsettled)-1).Draw(t, "message")
	x := m.unsettled[i]
	switch {
	case action < 13 && !x.InFlight:
		require.NoError(t, m.journal.RecordAttempt(x, m.now))
	case action < 15 && x.InFlight:
		require.NoError(t, m.journal.RecordOutcome(x, rapid.Bool().Draw(t, "ran"), m.now))
	default:
		require.NoError(t, m.journal.RecordFinalState(x, Failed, 0, m.now))
		require.NoError(t, m.journal.Settle(x))
		m.unsettled = slices.Delete(m.unsettled, i, i+1)
		if x.InFlight && rapid.Bool().Draw(t, "late outcome") {
			require.NoError(t, m.journal.RecordOutcome(x, rapid.Bool().Draw(t, "ran"), m.now))
		}
	}
}
