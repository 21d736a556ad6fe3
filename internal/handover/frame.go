package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"snowjunction/internal/record"
)

// Version is the version of the frame format. The content of a frame of another version is not
// read.
const Version = 1

// MaxPacketSize is the maximum size of a frame in bytes, including its header.
const MaxPacketSize = 96 << 10

// Kind is the type of a frame.
type Kind byte

// The frame kinds. A frame carries at most one descriptor.
const (
	Hello    Kind = iota + 1 // the successor asks; Text is its courier's name
	Refusal                  // the owner refuses; Text is the reason
	Listens                  // a listener; carries a descriptor
	Clients                  // a client connection; carries a descriptor
	Calls                    // a call in flight; carries a descriptor
	Dues                     // an outstanding answer of the preceding client
	Reads                    // unprocessed bytes of the preceding client or call
	Knows                    // state of a destination
	Keys                     // an idempotency key
	Rests                    // the pause of an ordering key
	Lists                    // a chunk of the directory's list
	End                      // end of the state; Number is the number of its frames
	ReadyFor                 // the successor has received the state
	DeedTo                   // the lock; carries a descriptor
	Took                     // the successor owns the folder
	Ask                      // a request from the second address for the owner, in Text
	Told                     // the owner's answer, in Text
	endOfKinds
)

// Errors of Decode and Collector.Add.
var (
	ErrFrame   = errors.New("invalid handover frame")
	ErrVersion = errors.New("unsupported handover version")
)

// Frame is one packet.
type Frame struct {
	Kind   Kind
	Text   string
	Number uint64
	FD     int // -1 if there is no descriptor
	body   []byte
}

const (
	maxTextBytes  = 4 << 10
	maxNameBytes  = 256
	maxChunkBytes = 64 << 10
)

// Encode returns the frame's packet, without its descriptor.
func (f Frame) Encode() []byte {
	b := append(make([]byte, record.Frame), Version, byte(f.Kind))
	b = binary.AppendUvarint(record.AppendText(b, f.Text), f.Number)
	return record.Seal(append(b, f.body...))
}

// Decode decodes a packet that came with descriptor fd, or without one if fd is -1.
func Decode(b []byte, fd int) (Frame, error) {
	payload, rest, err := record.Open(b, MaxPacketSize)
	switch {
	case err != nil || len(rest) > 0:
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrFrame, len(b))
	case payload[0] != Version:
		return Frame{}, fmt.Errorf("%w: %d", ErrVersion, payload[0])
	}
	r := record.Reader{B: payload[1:]}
	f := Frame{Kind: Kind(r.Byte()), Text: r.Text(maxTextBytes), Number: r.Uint(math.MaxUint64), FD: fd, body: r.B}
	hasDescriptor := f.Kind == Listens || f.Kind == Clients || f.Kind == Calls || f.Kind == DeedTo
	if r.Bad || f.Kind < Hello || f.Kind >= endOfKinds || hasDescriptor != (fd >= 0) {
		return Frame{}, fmt.Errorf("%w: kind %d", ErrFrame, f.Kind)
	}
	return f, nil
}

func appendTime(b []byte, t time.Time) []byte {
	if t.IsZero() {
		return binary.AppendVarint(b, 0)
	}
	return binary.AppendVarint(b, t.UnixNano())
}

type fieldReader struct{ record.Reader }

func (r *fieldReader) time() time.Time {
	n := r.Int()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func (r *fieldReader) number() int { return int(r.Uint(math.MaxInt32)) }

func (r *fieldReader) flag() bool { return r.Byte() == 1 }

func (r *fieldReader) bytes(most int) []byte {
	b := r.Take(int(r.Uint(uint64(most))))
	return append([]byte(nil), b...)
}

func appendFlag(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendConn(b []byte, c Conn) []byte {
	b = appendTime(record.AppendText(b, c.Peer), c.Since)
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(c.In)), uint64(c.Out))
}

func (r *fieldReader) conn(fd int) Conn {
	return Conn{FD: fd, Peer: r.Text(maxNameBytes), Since: r.time(), In: r.number(), Out: r.number()}
}

// Frames calls yield with the frames of the state in order, up to and including the End frame or
// until yield returns false.
func (e *Estate) Frames(yield func(Frame) bool) {
	n, more := uint64(0), true
	emit := func(k Kind, text string, fd int, body []byte) {
		if more {
			n++
			more = yield(Frame{Kind: k, Text: text, FD: fd, body: body})
		}
	}
	emitChunks := func(k Kind, b []byte) {
		for len(b) > 0 {
			size := min(len(b), maxChunkBytes)
			emit(k, "", -1, b[:size])
			b = b[size:]
		}
	}
	for _, l := range e.Listeners {
		emit(Listens, l.Kind, l.FD, nil)
	}
	for _, c := range e.Clients {
		emit(Clients, "", c.FD, appendTime(appendFlag(appendConn(nil, c.Conn), c.Served), c.Changed))
		for _, d := range c.Due {
			emit(Dues, "", -1, d.append(nil))
		}
		emitChunks(Reads, c.Bytes)
	}
	for _, c := range e.Calls {
		emit(Calls, "", c.FD, c.append(nil))
		emitChunks(Reads, c.Bytes)
	}
	for _, k := range e.Known {
		b := appendTime(binary.AppendUvarint(nil, uint64(k.Destination)), k.At)
		emit(Knows, "", -1, append(appendFlag(appendFlag(b, k.Awake), k.Restart), k.Text...))
	}
	for _, k := range e.Keys {
		b := record.AppendText(record.AppendText(binary.AppendUvarint(nil, uint64(k.Destination)), k.Text), k.ID)
		emit(Keys, "", -1, appendTime(appendTime(b, k.At), k.Until))
	}
	for _, k := range e.Rests {
		emit(Rests, "", -1, appendTime(binary.AppendUvarint(nil, k.Key), k.Until))
	}
	emitChunks(Lists, e.List)
	if more {
		live := ""
		if e.Live {
			live = "live"
		}
		yield(Frame{Kind: End, Text: live, Number: n, FD: -1})
	}
}

// Flags of a request. The lowest bit was the whole byte before forwarded requests existed.
const (
	flagResubmitted = 1 << iota
	flagForwarded
)

func (d Due) append(b []byte) []byte {
	if b = appendFlag(b, d.Request != nil); d.Request == nil {
		return append(b, d.Text...)
	}
	q := d.Request
	for _, s := range []string{q.ID, q.IdempotencyKey, q.Class, q.Tenant} {
		b = record.AppendText(b, s)
	}
	b = binary.AppendUvarint(binary.AppendUvarint(b, q.Key), uint64(q.Destination))
	b = appendTime(b, q.Deadline)
	flags := byte(0)
	if q.Again {
		flags |= flagResubmitted
	}
	if q.Forwarded {
		flags |= flagForwarded
	}
	b = binary.AppendUvarint(append(b, flags), q.Order)
	return append(b, q.Body...)
}

func (c Call) append(b []byte) []byte {
	b = binary.AppendUvarint(appendConn(b, c.Conn), c.Seq)
	e := c.Endpoint
	b = record.AppendText(record.AppendText(binary.AppendUvarint(b, uint64(e.Front)), e.Name), e.Addr)
	b = binary.AppendUvarint(b, uint64(e.Destination))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(max(e.Zone, 0))), uint64(max(e.Kind, 0)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.Weight))
	b = appendTime(appendTime(b, c.Began), c.Until)
	return appendFlag(binary.AppendVarint(b, int64(c.Kept)), c.WholeWants)
}

// Collector assembles a handover state from its frames.
type Collector struct {
	Estate      Estate
	unprocessed *[]byte // target of the next frame of unprocessed bytes
	received    uint64
}

// Add adds a frame. done is true once the state is complete. After an error the collected state is
// unusable, but the caller must close its descriptors.
func (c *Collector) Add(f Frame) (done bool, err error) {
	e, r := &c.Estate, &fieldReader{record.Reader{B: f.body}}
	bad := func() error { return fmt.Errorf("%w: kind %d out of order or malformed", ErrFrame, f.Kind) }
	c.received++
	switch f.Kind {
	case Listens:
		e.Listeners = append(e.Listeners, Listener{f.Text, f.FD})
	case Clients:
		e.Clients = append(e.Clients, Client{Conn: r.conn(f.FD), Served: r.flag(), Changed: r.time()})
		c.unprocessed = &e.Clients[len(e.Clients)-1].Bytes
	case Dues:
		if len(e.Clients) == 0 || len(e.Calls) > 0 {
			return false, bad()
		}
		last := &e.Clients[len(e.Clients)-1]
		last.Due = append(last.Due, r.reply())
	case Calls:
		e.Calls = append(e.Calls, r.call(f.FD))
		c.unprocessed = &e.Calls[len(e.Calls)-1].Bytes
	case Reads:
		if c.unprocessed == nil {
			return false, bad()
		}
		*c.unprocessed = append(*c.unprocessed, f.body...)
	case Knows:
		k := Known{Destination: uint32(r.Uint(math.MaxUint32)), At: r.time(), Awake: r.flag(), Restart: r.flag()}
		k.Text = append([]byte(nil), r.B...)
		e.Known = append(e.Known, k)
	case Keys:
		e.Keys = append(e.Keys, Key{Destination: uint32(r.Uint(math.MaxUint32)), Text: r.Text(maxNameBytes), ID: r.Text(maxNameBytes), At: r.time(), Until: r.time()})
	case Rests:
		e.Rests = append(e.Rests, Rest{r.Uint(math.MaxUint64), r.time()})
	case Lists:
		e.List = append(e.List, f.body...)
	case End:
		e.Live = f.Text == "live"
		if f.Number != c.received-1 {
			return false, fmt.Errorf("%w: %d frames of %d", ErrFrame, c.received-1, f.Number)
		}
		return true, nil
	default:
		return false, bad()
	}
	if r.Bad {
		return false, bad()
	}
	return false, nil
}

func (r *fieldReader) reply() Due {
	if !r.flag() {
		return Due{Text: append([]byte(nil), r.B...)}
	}
	q := &Request{ID: r.Text(maxNameBytes), IdempotencyKey: r.Text(maxNameBytes), Class: r.Text(maxNameBytes), Tenant: r.Text(maxNameBytes)}
	q.Key, q.Destination = r.Uint(math.MaxUint64), uint32(r.Uint(math.MaxUint32))
	q.Deadline = r.time()
	flags := r.Byte()
	q.Again, q.Forwarded, q.Order = flags&flagResubmitted != 0, flags&flagForwarded != 0, r.Uint(math.MaxUint64)
	q.Body = append([]byte(nil), r.B...)
	return Due{Request: q}
}

func (r *fieldReader) call(fd int) Call {
	c := Call{Conn: r.conn(fd), Seq: r.Uint(math.MaxUint64)}
	c.Endpoint = Endpoint{Front: int(r.Uint(0)), Name: r.Text(maxNameBytes), Addr: r.Text(maxNameBytes), Destination: uint32(r.Uint(math.MaxUint32)), Zone: r.number(), Kind: r.number()}
	if v := r.Take(8); len(v) == 8 {
		c.Endpoint.Weight = math.Float64frombits(binary.BigEndian.Uint64(v))
	}
	c.Began, c.Until, c.Kept = r.time(), r.time(), time.Duration(r.Int())
	c.WholeWants = r.flag()
	return c
}
