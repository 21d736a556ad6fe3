package store

import (
	"encoding/binary"
	"math"
	"time"

	"snowjunction/internal/record"
)

// State is the state of a message.
type State byte

// The message states. All but Open are final.
const (
	Open      State = iota // no final state yet
	Delivered              // a target accepted it
	Withdrawn              // no longer wanted
	Failed                 // abandoned; an attempt may have run
	Returned               // abandoned; resubmitting it is safe
	Deleted                // deleted by its client while no attempt was in flight
)

// String returns the state's name, as used in logs and answers.
func (s State) String() string {
	names := [...]string{"open", "delivered", "withdrawn", "failed", "returned", "deleted"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Message is an accepted message with its progress. The progress is changed only through the
// Journal.
type Message struct {
	Seq            uint64 // sequence number, in the order of acceptance
	Origin         byte   // number of the front that accepted it
	ID             string
	IdempotencyKey string
	Key            uint64 // ordering key; zero means that the message is not ordered
	Destination    uint32
	Class, Tenant  string
	Deadline       time.Time
	Resubmitted    bool // resubmitted by the client
	Body           []byte

	Attempts        int
	InFlight        bool      // the last attempt is in flight: it has no outcome yet
	InFlightSince   time.Time // when that attempt was sent
	MayHaveRun      bool      // an attempt may have run
	MayHaveRunSince time.Time // when the first such attempt was sent

	State      State
	RetryAfter time.Duration // in state Returned: delay after which it may be resubmitted
	EndedAt    time.Time
	Settled    bool // the final state is known to the client that submitted it
}

type recordKind byte

const (
	kindAccepted recordKind = iota + 1 // a whole message, also when copied by compaction
	kindSent                           // an attempt is sent
	kindOutcome                        // the outcome of an attempt
	kindEnded                          // the message's final state
	kindSettled                        // the final state is known to the submitting client
)

// maxRecordSize limits the payload length, in bytes, that is accepted from a possibly damaged file.
const maxRecordSize = 1 << 20

func newRecord(k recordKind, seq uint64) []byte {
	b := make([]byte, record.FrameSize, 64)
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
	b := newRecord(kindAccepted, m.Seq)
	b = append(b, m.Origin)
	for _, s := range []string{m.ID, m.IdempotencyKey, m.Class, m.Tenant} {
		b = record.AppendText(b, s)
	}
	b = binary.AppendUvarint(b, m.Key)
	b = binary.AppendUvarint(b, uint64(m.Destination))
	b = appendBool(appendTime(b, m.Deadline), m.Resubmitted)
	b = binary.AppendUvarint(b, uint64(m.Attempts))
	b = appendTime(appendBool(b, m.InFlight), m.InFlightSince)
	b = appendTime(appendBool(b, m.MayHaveRun), m.MayHaveRunSince)
	b = binary.AppendVarint(append(b, byte(m.State)), int64(m.RetryAfter))
	b = appendBool(appendTime(b, m.EndedAt), m.Settled)
	return record.Seal(record.AppendText(b, string(m.Body)))
}

// reader decodes the fields of a record's payload.
type reader struct{ record.Reader }

func (r *reader) bool() bool { return r.Byte() != 0 }

func (r *reader) uint() uint64 { return r.Uint(math.MaxUint64) }

func (r *reader) time() time.Time {
	if v := r.Int(); v != 0 {
		return time.UnixMicro(v)
	}
	return time.Time{}
}

func (r *reader) string() string { return r.Text(maxRecordSize) }

func decode(seq uint64, r *reader) *Message {
	m := &Message{Seq: seq, Origin: r.Byte()}
	m.ID, m.IdempotencyKey, m.Class, m.Tenant = r.string(), r.string(), r.string(), r.string()
	m.Key, m.Destination = r.uint(), uint32(r.uint())
	m.Deadline, m.Resubmitted = r.time(), r.bool()
	m.Attempts = int(r.uint())
	m.InFlight, m.InFlightSince = r.bool(), r.time()
	m.MayHaveRun, m.MayHaveRunSince = r.bool(), r.time()
	m.State, m.RetryAfter = State(r.Byte()), time.Duration(r.Int())
	m.EndedAt, m.Settled = r.time(), r.bool()
	m.Body = []byte(r.string())
	return m
}
