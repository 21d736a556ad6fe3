package store

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An in-memory journal tracks the progress of a message as one on disk does.
func TestMemoryMatchesJournal(t *testing.T) {
	disk, _, err := Load(Options{Dir: t.TempDir(), Bytes: 1e6, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	defer disk.Close()
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	type journal interface {
		HasRoom(int) bool
		Accept(*Message) error
		RecordAttempt(*Message, time.Time) error
		RecordOutcome(*Message, bool, time.Time) error
		RecordFinalState(*Message, State, time.Duration, time.Time) error
		Settle(*Message) error
	}
	played := func(j journal) (seen []Message) {
		for _, id := range []string{"a", "b"} {
			m := &Message{ID: id, Class: "status", Deadline: at.Add(time.Minute)}
			require.True(t, j.HasRoom(100))
			for _, err := range []error{
				j.Accept(m), j.RecordAttempt(m, at), j.RecordOutcome(m, true, at), j.RecordAttempt(m, at.Add(time.Second)), j.RecordOutcome(m, false, time.Time{}),
				j.RecordFinalState(m, Returned, time.Second, at.Add(2*time.Second)), j.Settle(m),
			} {
				require.NoError(t, err)
			}
			first := m.Seq
			m.Seq = 0
			seen = append(seen, *m)
			assert.Positive(t, first)
		}
		return seen
	}
	assert.Equal(t, played(disk), played(&Memory{}))
	a, b := &Message{}, &Message{}
	j := &Memory{}
	require.NoError(t, j.Accept(a))
	require.NoError(t, j.Accept(b))
	assert.Less(t, a.Seq, b.Seq)
}
