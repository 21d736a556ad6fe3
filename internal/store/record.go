package store

import (
	"encoding/binary"
	"math"
	"time"

	"snowjunction/internal/record"
)

// State is how far a message has come.
type State byte

// The states.
const (
	Open      State = iota // the courier owes it an end
	Delivered              // a target took it
	Withdrawn              // nobody wants it any more
	Failed                 // given up, with no promise
	Returned               // given up; handing it in again is harmless
	Deleted                // whoever handed it in wants it no more, and none of it was out
)

// String is the state's word in logs and answers.
func (s State) String() string {
	names := [...]string{"open", "delivered", "withdrawn", "failed", "returned", "deleted"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Message is a message taken on, with what has become of it. Its progress
// changes through the Journal alone.
type Message struct {
	Seq            uint64 // order of taking
	Origin         byte   // the front that took it
	ID             string
	IdempotencyKey string
	Key            uint64 // messages of one key go in order; 0: none
	Destination    uint32
	Class, Tenant  string
	Deadline       time.Time
	Again          bool
	Body           []byte

	Attempts int
	Out      bool      // the last attempt has no outcome yet
	OutSince time.Time // when it left
	Ran      bool      // an attempt may have run
	RanSince time.Time // when the first of these left

	State   State
	After   time.Duration // when Returned: to come back after so long
	EndedAt time.Time
	Settled bool // whoever handed it in knows its end
}

type kind byte

const (
	taken   kind = iota + 1 // a whole message, also as compaction copies it
	sent                    // an attempt leaves
	came                    // its outcome
	ended                   // the message's end
	settled                 // the end is known outside
)

// maxRecord bounds what a length in a damaged file can make us read.
const maxRecord = 1 << 20

func begin(k kind, seq uint64) []byte {
	b := make([]byte, record.Frame, 64)
	return binary.AppendUvarint(append(b, byte(k)), seq)
}

func appendTime(b []byte, t time.Time) []byte {
	if t.IsZero() {
		return binary.AppendVarint(b, 0)
	}
	return binary.AppendVarint(b, t.UnixMicro())
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func encode(m *Message) []byte {
	b := begin(taken, m.Seq)
	b = append(b, m.Origin)
	for _, s := range []string{m.ID, m.IdempotencyKey, m.Class, m.Tenant} {
		b = record.AppendText(b, s)
	}
	b = binary.AppendUvarint(b, m.Key)
	b = binary.AppendUvarint(b, uint64(m.Destination))
	b = appendBool(appendTime(b, m.Deadline), m.Again)
	b = binary.AppendUvarint(b, uint64(m.Attempts))
	b = appendTime(appendBool(b, m.Out), m.OutSince)
	b = appendTime(appendBool(b, m.Ran), m.RanSince)
	b = binary.AppendVarint(append(b, byte(m.State)), int64(m.After))
	b = appendBool(appendTime(b, m.EndedAt), m.Settled)
	return record.Seal(record.AppendText(b, string(m.Body)))
}

// reader takes fields off a payload.
type reader struct{ record.Reader }

func (r *reader) bool() bool { return r.Byte() != 0 }

func (r *reader) uint() uint64 { return r.Uint(math.MaxUint64) }

func (r *reader) time() time.Time {
	if v := r.Int(); v != 0 {
		return time.UnixMicro(v)
	}
	return time.Time{}
}

func (r *reader) string() string { return r.Text(maxRecord) }

func decode(seq uint64, r *reader) *Message {
	m := &Message{Seq: seq, Origin: r.Byte()}
	m.ID, m.IdempotencyKey, m.Class, m.Tenant = r.string(), r.string(), r.string(), r.string()
	m.Key, m.Destination = r.uint(), uint32(r.uint())
	m.Deadline, m.Again = r.time(), r.bool()
	m.Attempts = int(r.uint())
	m.Out, m.OutSince = r.bool(), r.time()
	m.Ran, m.RanSince = r.bool(), r.time()
	m.State, m.After = State(r.Byte()), time.Duration(r.Int())
	m.EndedAt, m.Settled = r.time(), r.bool()
	m.Body = []byte(r.string())
	return m
}
