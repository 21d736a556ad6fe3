// Package wire encodes and decodes the frames between the bench and the
// adapter: big-endian records of fixed size, then a tail for the rest.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"snowjunction/internal/config"
)

// Sizes of the parts of a frame, and the largest frame taken.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	entrySize   = 22
	maxFrame    = 1 << 30
)

// Event codes.
const (
	Start     = 0
	Discovery = 1
	Call      = 2
	Started   = 3
	Outcome   = 4
	Vanished  = 5
	Wake      = 6
	Pong      = 7
	Inbox     = 8
	Teardown  = 9
	Table     = 10
)

// Action codes.
const (
	NotNow       = 64
	Assign       = 65
	BailOut      = 66
	Surrender    = 67
	Snapshot     = 68
	Disconnect   = 70
	WakeAt       = 71
	Trace        = 72
	KeepInformed = 73
	Recall       = 74
	Sample       = 75
)

// Discovery kinds.
const (
	Full   = 0
	Cached = 1
	Failed = 2
	Delta  = 3
)

// Event is one decoded record. Only the fields of its Code are set.
type Event struct {
	Code     byte
	Who      uint16
	Req      uint32
	Endpoint uint32
	Token    uint64 // Wake's token, Start's seed, Discovery's version, Call's key
	Kind     byte   // Discovery
	Page     uint16 // Discovery, Table
	Data     []byte // Start's settings, Inbox's bytes
	Entries  []Entry
	Budget   time.Duration // Call
	Bits     uint16        // Call
	Class    byte          // Call
	Tenant   uint16        // Call
	Dest     uint32        // Call
	Estimate time.Duration // Call
	Seq      uint16        // Outcome, Started
	Verdict  uint16        // Outcome, Pong
	Took     time.Duration // Outcome, Pong, Started
	Wait     time.Duration // Outcome
	Finished bool          // Outcome
	Report   []float64     // Outcome, Pong
}

// Entry is one line of an endpoint list.
type Entry struct {
	Endpoint uint32
	Zone     uint16
	Kind     byte
	Dest     uint16
	Phase    byte
	Weight   float32
}

// ReadBatch reads one batch. It returns io.EOF at a clean end of input.
func ReadBatch(r io.Reader) (now time.Duration, events []Event, err error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("batch header: %w", err)
	}
	count := int(binary.BigEndian.Uint32(head[0:]))
	size := int(binary.BigEndian.Uint32(head[4:]))
	now = config.Millis(getF64(head[8:]))
	if size < batchHeader || size > maxFrame {
		return 0, nil, fmt.Errorf("batch header: frame of %d bytes", size)
	}
	if count > (size-batchHeader)/eventSize {
		return 0, nil, fmt.Errorf("batch header: %d records do not fit in %d bytes", count, size)
	}
	body, err := readBody(r, size-batchHeader)
	if err != nil {
		return 0, nil, fmt.Errorf("batch body: %w", err)
	}
	tail := body[count*eventSize:]
	events = make([]Event, 0, count)
	for i := range count {
		ev, err := decodeEvent(body[i*eventSize:(i+1)*eventSize], tail)
		if err != nil {
			return 0, nil, fmt.Errorf("record %d: %w", i, err)
		}
		events = append(events, ev)
	}
	return now, events, nil
}

// readBody grows with what really arrives, so that a false length allocates
// nothing much.
func readBody(r io.Reader, n int) ([]byte, error) {
	const step = 1 << 20
	body := make([]byte, 0, min(n, step))
	for len(body) < n {
		k := min(n-len(body), step)
		at := len(body)
		body = append(body, make([]byte, k)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

func getF64(b []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(b)) }
func getF32(b []byte) float32 { return math.Float32frombits(binary.BigEndian.Uint32(b)) }

func decodeEvent(b, tail []byte) (Event, error) {
	be := binary.BigEndian
	ev := Event{Code: b[0], Who: be.Uint16(b[1:])}
	var err error
	switch ev.Code {
	case Start:
		ev.Token = be.Uint64(b[3:])
		ev.Data, err = resolveTail(b[11:], tail, 1)
	case Discovery:
		ev.Token, ev.Kind, ev.Page = be.Uint64(b[3:]), b[11], be.Uint16(b[12:])
	case Table:
		ev.Who, ev.Page = 0, be.Uint16(b[1:])
		var raw []byte
		raw, err = resolveTail(b[3:], tail, entrySize)
		for ; len(raw) >= entrySize; raw = raw[entrySize:] {
			ev.Entries = append(ev.Entries, Entry{
				Endpoint: be.Uint32(raw), Zone: be.Uint16(raw[4:]), Kind: raw[6],
				Dest: be.Uint16(raw[7:]), Phase: raw[9], Weight: getF32(raw[10:]),
			})
		}
	case Call:
		ev.Req, ev.Token, ev.Budget = be.Uint32(b[3:]), be.Uint64(b[7:]), config.Millis(getF64(b[15:]))
		ev.Bits, ev.Class, ev.Tenant = be.Uint16(b[23:]), b[25], be.Uint16(b[26:])
		if d := getF32(b[28:]); d >= 0 && d < 1<<16 {
			ev.Dest = uint32(d)
		}
		ev.Estimate = config.Millis(getF64(b[32:]))
	case Started:
		ev.Req, ev.Seq, ev.Endpoint = be.Uint32(b[3:]), be.Uint16(b[7:]), be.Uint32(b[9:])
		ev.Took = config.Millis(getF64(b[13:]))
	case Outcome:
		ev.Req, ev.Endpoint, ev.Took = be.Uint32(b[3:]), be.Uint32(b[7:]), config.Millis(getF64(b[11:]))
		ev.Finished, ev.Verdict, ev.Seq = b[19] != 0, be.Uint16(b[20:]), be.Uint16(b[22:])
		ev.Wait = time.Duration(be.Uint32(b[24:])) * time.Millisecond
		ev.Report, err = decodeReport(b[28:])
	case Vanished:
		ev.Req = be.Uint32(b[3:])
	case Wake:
		ev.Token = be.Uint64(b[3:])
	case Pong:
		ev.Endpoint, ev.Verdict, ev.Took = be.Uint32(b[3:]), be.Uint16(b[7:]), config.Millis(getF64(b[9:]))
		ev.Report, err = decodeReport(b[17:])
	case Inbox:
		ev.Data, err = resolveTail(b[7:], tail, 1)
	case Teardown:
	default:
		err = fmt.Errorf("unknown event code %d", ev.Code)
	}
	return ev, err
}

// resolveTail resolves a tail reference: offset and number of items.
func resolveTail(ref, tail []byte, item int) ([]byte, error) {
	at, n := int(binary.BigEndian.Uint32(ref)), int(binary.BigEndian.Uint32(ref[4:]))
	if n == 0 {
		return nil, nil
	}
	if at > len(tail) || n > (len(tail)-at)/item {
		return nil, fmt.Errorf("tail reference %d+%d is outside the tail of %d bytes", at, n, len(tail))
	}
	return tail[at : at+n*item], nil
}

func decodeReport(b []byte) ([]float64, error) {
	n := int(b[0])
	if n > 4 {
		return nil, fmt.Errorf("load report of %d values", n)
	}
	var out []float64
	for i := range n {
		out = append(out, float64(getF32(b[1+4*i:])))
	}
	return out, nil
}

// Reply collects actions.
type Reply struct {
	count   int
	records []byte
	tail    []byte
}

// Action is one record to be written; which fields count depends on Code.
type Action struct {
	Code     byte
	Who      uint16
	Req      uint32
	Endpoint uint32
	Seq      uint16
	Token    uint64
	After    time.Duration // within, pause or after
	Text     string
}

// Add appends an action.
func (r *Reply) Add(a Action) {
	be := binary.BigEndian
	var b [actionSize]byte
	b[0] = a.Code
	be.PutUint16(b[1:], a.Who)
	ms := math.Float64bits(float64(a.After) / float64(time.Millisecond))
	switch a.Code {
	case Assign:
		be.PutUint32(b[3:], a.Req)
		be.PutUint32(b[7:], a.Endpoint)
		be.PutUint64(b[11:], ms)
	case NotNow:
		be.PutUint32(b[3:], a.Req)
		be.PutUint64(b[7:], ms)
	case Surrender:
		be.PutUint32(b[3:], a.Req)
	case Sample, Disconnect:
		be.PutUint32(b[3:], a.Endpoint)
	case Recall:
		be.PutUint32(b[3:], a.Req)
		be.PutUint16(b[7:], a.Seq)
	case WakeAt:
		be.PutUint64(b[3:], a.Token)
		be.PutUint64(b[11:], ms)
	case KeepInformed:
		b[3] = 1
	case BailOut, Trace:
		be.PutUint32(b[3:], uint32(len(r.tail)))
		be.PutUint32(b[7:], uint32(len(a.Text)))
		r.tail = append(r.tail, a.Text...)
	}
	r.records = append(r.records, b[:]...)
	r.count++
}

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := make([]byte, replyHeader, replyHeader+len(r.records)+len(r.tail))
	binary.BigEndian.PutUint32(frame, uint32(r.count))
	binary.BigEndian.PutUint32(frame[4:], uint32(replyHeader+len(r.records)+len(r.tail)))
	frame = append(append(frame, r.records...), r.tail...)
	n, err := w.Write(frame)
	if err != nil {
		err = fmt.Errorf("write reply: %w", err)
	}
	return int64(n), err
}
