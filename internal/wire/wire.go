// Package wire encodes and decodes the frames between the bench and the adapter:
// a header and big-endian records of fixed size, followed by a tail for data of
// variable size, which records refer to by offset and number of items.
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

// Sizes of the parts of a frame, and of the largest frame accepted, in bytes.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	entrySize   = 22
	maxFrame    = 1 << 30
)

// Event codes, by the names of the wire protocol.
const (
	Start     = 0  // an instance starts with its settings
	Discovery = 1  // an instance gets an endpoint list, by the number of its Table
	Call      = 2  // a client makes a request
	Started   = 3  // the response stream of an attempt has started
	Outcome   = 4  // an attempt has ended
	Vanished  = 5  // a client has withdrawn its request
	Wake      = 6  // a timer has expired
	Pong      = 7  // a probe has ended
	Inbox     = 8  // bytes from a peer have arrived
	Teardown  = 9  // an instance ends
	Table     = 10 // a numbered endpoint list of the process
)

// Action codes, by the names of the wire protocol.
const (
	NotNow       = 64 // refuse a request
	Assign       = 65 // send a request to an endpoint
	BailOut      = 66 // the instance has failed
	Surrender    = 67 // fail a request
	Snapshot     = 68 // not used by the adapter
	Disconnect   = 70 // close an idle connection to an endpoint
	WakeAt       = 71 // set a timer
	Trace        = 72 // write a log line
	KeepInformed = 73 // subscribe to updates of the endpoint list
	Recall       = 74 // cancel an attempt
	Sample       = 75 // probe an endpoint
)

// Kinds of a Discovery event.
const (
	Full   = 0 // a complete, current list
	Cached = 1 // a complete list that may be outdated
	Failed = 2 // the directory could not be read
	Delta  = 3 // the changes alone
)

// Event is a decoded record. Only the fields used by its Code are set.
type Event struct {
	Code         byte
	Instance     uint16
	Request      uint32
	Endpoint     uint32
	Token        uint64 // token of a Wake, seed of a Start, version of a Discovery, key of a Call
	Kind         byte   // Discovery
	ListNumber   uint16 // Discovery, Table
	Data         []byte // settings of a Start, bytes of an Inbox
	Entries      []Entry
	Deadline     time.Duration // Call
	Flags        uint16        // Call
	Class        byte          // Call
	Tenant       uint16        // Call
	Destination  uint32        // Call
	WorkEstimate time.Duration // Call
	Attempt      uint16        // Outcome, Started
	Verdict      uint16        // Outcome, Pong
	Took         time.Duration // Outcome, Pong, Started
	RetryAfter   time.Duration // Outcome
	Finished     bool          // Outcome
	Report       []float64     // Outcome, Pong
}

// Entry is an entry of an endpoint list.
type Entry struct {
	Endpoint    uint32
	Zone        uint16
	Kind        byte
	Destination uint16
	Phase       byte
	Weight      float32
}

// ReadBatch reads one batch. It returns io.EOF if the input ends before the first byte.
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

// readBody reads n bytes. The buffer grows with the data received, so that a wrong
// length in the header does not cause a large allocation.
func readBody(r io.Reader, n int) ([]byte, error) {
	const chunkSize = 1 << 20
	body := make([]byte, 0, min(n, chunkSize))
	for len(body) < n {
		k := min(n-len(body), chunkSize)
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

// decodeEvent decodes a record; tail is the tail of its frame.
func decodeEvent(b, tail []byte) (Event, error) {
	be := binary.BigEndian
	ev := Event{Code: b[0], Instance: be.Uint16(b[1:])}
	var err error
	switch ev.Code {
	case Start:
		ev.Token = be.Uint64(b[3:])
		ev.Data, err = resolveTail(b[11:], tail, 1)
	case Discovery:
		ev.Token, ev.Kind, ev.ListNumber = be.Uint64(b[3:]), b[11], be.Uint16(b[12:])
	case Table:
		ev.Instance, ev.ListNumber = 0, be.Uint16(b[1:])
		var raw []byte
		raw, err = resolveTail(b[3:], tail, entrySize)
		for ; len(raw) >= entrySize; raw = raw[entrySize:] {
			ev.Entries = append(ev.Entries, Entry{
				Endpoint: be.Uint32(raw), Zone: be.Uint16(raw[4:]), Kind: raw[6],
				Destination: be.Uint16(raw[7:]), Phase: raw[9], Weight: getF32(raw[10:]),
			})
		}
	case Call:
		ev.Request, ev.Token, ev.Deadline = be.Uint32(b[3:]), be.Uint64(b[7:]), config.Millis(getF64(b[15:]))
		ev.Flags, ev.Class, ev.Tenant = be.Uint16(b[23:]), b[25], be.Uint16(b[26:])
		if d := getF32(b[28:]); d >= 0 && d < 1<<16 {
			ev.Destination = uint32(d)
		}
		ev.WorkEstimate = config.Millis(getF64(b[32:]))
	case Started:
		ev.Request, ev.Attempt, ev.Endpoint = be.Uint32(b[3:]), be.Uint16(b[7:]), be.Uint32(b[9:])
		ev.Took = config.Millis(getF64(b[13:]))
	case Outcome:
		ev.Request, ev.Endpoint, ev.Took = be.Uint32(b[3:]), be.Uint32(b[7:]), config.Millis(getF64(b[11:]))
		ev.Finished, ev.Verdict, ev.Attempt = b[19] != 0, be.Uint16(b[20:]), be.Uint16(b[22:])
		ev.RetryAfter = time.Duration(be.Uint32(b[24:])) * time.Millisecond
		ev.Report, err = decodeReport(b[28:])
	case Vanished:
		ev.Request = be.Uint32(b[3:])
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

// resolveTail returns the data of a tail reference: an offset in bytes and a number of items
// of the given size.
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

// decodeReport decodes a load report: the number of values (at most 4), then the values.
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

// Reply collects the actions of a reply frame.
type Reply struct {
	count   int
	records []byte
	tail    []byte
}

// Action is a record to write. Only the fields used by its Code are encoded.
type Action struct {
	Code     byte
	Instance uint16
	Request  uint32
	Endpoint uint32
	Attempt  uint16
	Token    uint64
	Delay    time.Duration // time limit of an Assign, retry-after of a NotNow, delay of a WakeAt
	Text     string
}

// Add appends an action.
func (r *Reply) Add(a Action) {
	be := binary.BigEndian
	var b [actionSize]byte
	b[0] = a.Code
	be.PutUint16(b[1:], a.Instance)
	ms := math.Float64bits(float64(a.Delay) / float64(time.Millisecond))
	switch a.Code {
	case Assign:
		be.PutUint32(b[3:], a.Request)
		be.PutUint32(b[7:], a.Endpoint)
		be.PutUint64(b[11:], ms)
	case NotNow:
		be.PutUint32(b[3:], a.Request)
		be.PutUint64(b[7:], ms)
	case Surrender:
		be.PutUint32(b[3:], a.Request)
	case Sample, Disconnect:
		be.PutUint32(b[3:], a.Endpoint)
	case Recall:
		be.PutUint32(b[3:], a.Request)
		be.PutUint16(b[7:], a.Attempt)
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
