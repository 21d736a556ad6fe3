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
	KindHello          Kind = iota + 1 // the successor asks; Text is its courier's name
	KindRefusal                        // the owner refuses; Text is the reason
	KindListener                       // a listener; carries a descriptor
	KindClient                         // a client connection; carries a descriptor
	KindCall                           // a call in flight; carries a descriptor
	KindReply                          // an outstanding answer of the preceding client
	KindUnprocessed                    // unprocessed bytes of the preceding client or call
	KindDestination                    // state of a destination
	KindIdempotencyKey                 // an idempotency key
	KindKeyPause                       // the pause of an ordering key
	KindList                           // a chunk of the directory's list
	KindEnd                            // end of the state; Number is the number of its frames
	KindReady                          // the successor has received the state
	KindLock                           // the lock; carries a descriptor
	KindOwned                          // the successor owns the folder
	KindQuery                          // a request from the second address for the owner, in Text
	KindAnswer                         // the owner's answer, in Text
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
	b := append(make([]byte, record.FrameSize), Version, byte(f.Kind))
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
	r := record.Reader{Data: payload[1:]}
	f := Frame{Kind: Kind(r.Byte()), Text: r.Text(maxTextBytes), Number: r.Uint(math.MaxUint64), FD: fd, body: r.Data}
	hasDescriptor := f.Kind == KindListener || f.Kind == KindClient || f.Kind == KindCall || f.Kind == KindLock
	if r.Failed || f.Kind < KindHello || f.Kind >= endOfKinds || hasDescriptor != (fd >= 0) {
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

// Frames calls yield with the frames of the state in order, up to and including the KindEnd frame
// or until yield returns false.
func (e *State) Frames(yield func(Frame) bool) {
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
		emit(KindListener, l.Kind, l.FD, nil)
	}
	for _, c := range e.Clients {
		emit(KindClient, "", c.FD, appendTime(appendFlag(appendConn(nil, c.Conn), c.Served), c.Changed))
		for _, d := range c.Replies {
			emit(KindReply, "", -1, d.append(nil))
		}
		emitChunks(KindUnprocessed, c.Unprocessed)
	}
	for _, c := range e.Calls {
		emit(KindCall, "", c.FD, c.append(nil))
		emitChunks(KindUnprocessed, c.Unprocessed)
	}
	for _, k := range e.Destinations {
		b := appendTime(binary.AppendUvarint(nil, uint64(k.Destination)), k.At)
		emit(KindDestination, "", -1, append(appendFlag(appendFlag(b, k.Loaded), k.FromRestart), k.Snapshot...))
	}
	for _, k := range e.Keys {
		b := record.AppendText(record.AppendText(binary.AppendUvarint(nil, uint64(k.Destination)), k.Text), k.ID)
		emit(KindIdempotencyKey, "", -1, appendTime(appendTime(b, k.At), k.Until))
	}
	for _, k := range e.KeyPauses {
		emit(KindKeyPause, "", -1, appendTime(binary.AppendUvarint(nil, k.Key), k.Until))
	}
	emitChunks(KindList, e.List)
	if more {
		live := ""
		if e.ListConfirmed {
			live = "live"
		}
		yield(Frame{Kind: KindEnd, Text: live, Number: n, FD: -1})
	}
}

// Flags of a request. The lowest bit was the whole byte before forwarded requests existed.
const (
	flagResubmitted = 1 << iota
	flagForwarded
)

func (d Reply) append(b []byte) []byte {
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
	if q.Resubmitted {
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
	b = appendTime(appendTime(b, c.Began), c.Deadline)
	return appendFlag(binary.AppendVarint(b, int64(c.IdleTime)), c.WantsWholeAnswer)
}

// Collector assembles a handover state from its frames.
type Collector struct {
	State       State
	unprocessed *[]byte // target of the next frame of unprocessed bytes
	received    uint64
}

// Add adds a frame. done is true once the state is complete. After an error the collected state is
// unusable, but the caller must close its descriptors.
func (c *Collector) Add(f Frame) (done bool, err error) {
	e, r := &c.State, &fieldReader{record.Reader{Data: f.body}}
	bad := func() error { return fmt.Errorf("%w: kind %d out of order or malformed", ErrFrame, f.Kind) }
	c.received++
	switch f.Kind {
	case KindListener:
		e.Listeners = append(e.Listeners, Listener{f.Text, f.FD})
	case KindClient:
		e.Clients = append(e.Clients, Client{Conn: r.conn(f.FD), Served: r.flag(), Changed: r.time()})
		c.unprocessed = &e.Clients[len(e.Clients)-1].Unprocessed
	case KindReply:
		if len(e.Clients) == 0 || len(e.Calls) > 0 {
			return false, bad()
		}
		last := &e.Clients[len(e.Clients)-1]
		last.Replies = append(last.Replies, r.reply())
	case KindCall:
		e.Calls = append(e.Calls, r.call(f.FD))
		c.unprocessed = &e.Calls[len(e.Calls)-1].Unprocessed
	case KindUnprocessed:
		if c.unprocessed == nil {
			return false, bad()
		}
		*c.unprocessed = append(*c.unprocessed, f.body...)
	case KindDestination:
		k := DestinationState{Destination: uint32(r.Uint(math.MaxUint32)), At: r.time(), Loaded: r.flag(), FromRestart: r.flag()}
		k.Snapshot = append([]byte(nil), r.Data...)
		e.Destinations = append(e.Destinations, k)
	case KindIdempotencyKey:
		e.Keys = append(e.Keys, Key{Destination: uint32(r.Uint(math.MaxUint32)), Text: r.Text(maxNameBytes), ID: r.Text(maxNameBytes), At: r.time(), Until: r.time()})
	case KindKeyPause:
		e.KeyPauses = append(e.KeyPauses, KeyPause{r.Uint(math.MaxUint64), r.time()})
	case KindList:
		e.List = append(e.List, f.body...)
	case KindEnd:
		e.ListConfirmed = f.Text == "live"
		if f.Number != c.received-1 {
			return false, fmt.Errorf("%w: %d frames of %d", ErrFrame, c.received-1, f.Number)
		}
		return true, nil
	default:
		return false, bad()
	}
	if r.Failed {
		return false, bad()
	}
	return false, nil
}

func (r *fieldReader) reply() Reply {
	if !r.flag() {
		return Reply{Text: append([]byte(nil), r.Data...)}
	}
	q := &Request{ID: r.Text(maxNameBytes), IdempotencyKey: r.Text(maxNameBytes), Class: r.Text(maxNameBytes), Tenant: r.Text(maxNameBytes)}
	q.Key, q.Destination = r.Uint(math.MaxUint64), uint32(r.Uint(math.MaxUint32))
	q.Deadline = r.time()
	flags := r.Byte()
	q.Resubmitted, q.Forwarded, q.Order = flags&flagResubmitted != 0, flags&flagForwarded != 0, r.Uint(math.MaxUint64)
	q.Body = append([]byte(nil), r.Data...)
	return Reply{Request: q}
}

func (r *fieldReader) call(fd int) Call {
	c := Call{Conn: r.conn(fd), Seq: r.Uint(math.MaxUint64)}
	c.Endpoint = Endpoint{Front: int(r.Uint(0)), Name: r.Text(maxNameBytes), Addr: r.Text(maxNameBytes), Destination: uint32(r.Uint(math.MaxUint32)), Zone: r.number(), Kind: r.number()}
	if v := r.Take(8); len(v) == 8 {
		c.Endpoint.Weight = math.Float64frombits(binary.BigEndian.Uint64(v))
	}
	c.Began, c.Deadline, c.IdleTime = r.time(), r.time(), time.Duration(r.Int())
	c.WantsWholeAnswer = r.flag()
	return c
}
