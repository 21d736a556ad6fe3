package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"snowjunction/internal/record"
)

// Version is that of the frames. A frame of another is known for one and not read further.
const Version = 1

// PacketMost bounds a frame, with its head.
const PacketMost = 96 << 10

// Kind is what a frame is.
type Kind byte

// The kinds. A frame with a descriptor has just one.
const (
	Hello    Kind = iota + 1 // the younger asks; Text is its courier's name
	Refusal                  // Text says why
	Listens                  // a part of the estate; it has a descriptor
	Clients                  // the same
	Calls                    // the same
	Dues                     // of the client before it
	Reads                    // bytes of the client or call before it
	Knows                    // parts of the estate without a descriptor
	Keys                     //
	Rests                    //
	Lists                    // a piece of the list
	End                      // of the estate; Number is how many frames it had
	ReadyFor                 // the younger holds it
	DeedTo                   // the lock; it has a descriptor
	Took                     // the younger owns
	Ask                      // Text is a call of the second address, for the owner
	Told                     // Text is its answer
	kinds
)

// Errors of frames.
var (
	ErrFrame   = errors.New("no frame of a handover")
	ErrVersion = errors.New("another version of handovers")
)

// Frame is one packet.
type Frame struct {
	Kind   Kind
	Text   string
	Number uint64
	FD     int // -1: none
	body   []byte
}

const (
	textMost  = 4 << 10
	nameMost  = 256
	pieceMost = 64 << 10
)

// Encode is the frame's packet, without its descriptor.
func (f Frame) Encode() []byte {
	b := append(make([]byte, record.Frame), Version, byte(f.Kind))
	b = binary.AppendUvarint(record.AppendText(b, f.Text), f.Number)
	return record.Seal(append(b, f.body...))
}

// Decode reads a packet that came with a descriptor, or with none (-1).
func Decode(b []byte, fd int) (Frame, error) {
	payload, rest, err := record.Open(b, PacketMost)
	switch {
	case err != nil || len(rest) > 0:
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrFrame, len(b))
	case payload[0] != Version:
		return Frame{}, fmt.Errorf("%w: %d", ErrVersion, payload[0])
	}
	r := record.Reader{B: payload[1:]}
	f := Frame{Kind: Kind(r.Byte()), Text: r.Text(textMost), Number: r.Uint(math.MaxUint64), FD: fd, body: r.B}
	carries := f.Kind == Listens || f.Kind == Clients || f.Kind == Calls || f.Kind == DeedTo
	if r.Bad || f.Kind < Hello || f.Kind >= kinds || carries != (fd >= 0) {
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

type fields struct{ record.Reader }

func (r *fields) time() time.Time {
	n := r.Int()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func (r *fields) number() int { return int(r.Uint(math.MaxInt32)) }

func (r *fields) flag() bool { return r.Byte() == 1 }

func (r *fields) bytes(most int) []byte {
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

func (r *fields) conn(fd int) Conn {
	return Conn{FD: fd, Peer: r.Text(nameMost), Since: r.time(), In: r.number(), Out: r.number()}
}

// Frames calls yield with the frames of an estate, in order, up to its End or until yield
// returns false.
func (e *Estate) Frames(yield func(Frame) bool) {
	n, going := uint64(0), true
	put := func(k Kind, text string, fd int, body []byte) {
		if going {
			n++
			going = yield(Frame{Kind: k, Text: text, FD: fd, body: body})
		}
	}
	pieces := func(k Kind, b []byte) {
		for len(b) > 0 {
			size := min(len(b), pieceMost)
			put(k, "", -1, b[:size])
			b = b[size:]
		}
	}
	for _, l := range e.Listeners {
		put(Listens, l.Kind, l.FD, nil)
	}
	for _, c := range e.Clients {
		put(Clients, "", c.FD, appendTime(appendFlag(appendConn(nil, c.Conn), c.Served), c.Changed))
		for _, d := range c.Due {
			put(Dues, "", -1, d.append(nil))
		}
		pieces(Reads, c.Bytes)
	}
	for _, c := range e.Calls {
		put(Calls, "", c.FD, c.append(nil))
		pieces(Reads, c.Bytes)
	}
	for _, k := range e.Known {
		b := appendTime(binary.AppendUvarint(nil, uint64(k.Destination)), k.At)
		put(Knows, "", -1, append(appendFlag(appendFlag(b, k.Awake), k.Restart), k.Text...))
	}
	for _, k := range e.Keys {
		b := record.AppendText(record.AppendText(binary.AppendUvarint(nil, uint64(k.Destination)), k.Text), k.ID)
		put(Keys, "", -1, appendTime(appendTime(b, k.At), k.Until))
	}
	for _, k := range e.Rests {
		put(Rests, "", -1, appendTime(binary.AppendUvarint(nil, k.Key), k.Until))
	}
	pieces(Lists, e.List)
	if going {
		live := ""
		if e.Live {
			live = "live"
		}
		yield(Frame{Kind: End, Text: live, Number: n, FD: -1})
	}
}

// Flags of a request. Before there were forwarded ones their byte was Again alone.
const (
	again = 1 << iota
	forwarded
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
		flags |= again
	}
	if q.Forwarded {
		flags |= forwarded
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

// Collector puts an estate together from its frames.
type Collector struct {
	Estate Estate
	bytes  *[]byte // where what was read goes
	frames uint64
}

// Add takes a frame. done tells that the estate is whole. After an error what has come is of
// no use, but for its descriptors, which are the caller's to close.
func (c *Collector) Add(f Frame) (done bool, err error) {
	e, r := &c.Estate, &fields{record.Reader{B: f.body}}
	bad := func() error { return fmt.Errorf("%w: kind %d out of place or spoilt", ErrFrame, f.Kind) }
	c.frames++
	switch f.Kind {
	case Listens:
		e.Listeners = append(e.Listeners, Listener{f.Text, f.FD})
	case Clients:
		e.Clients = append(e.Clients, Client{Conn: r.conn(f.FD), Served: r.flag(), Changed: r.time()})
		c.bytes = &e.Clients[len(e.Clients)-1].Bytes
	case Dues:
		if len(e.Clients) == 0 || len(e.Calls) > 0 {
			return false, bad()
		}
		last := &e.Clients[len(e.Clients)-1]
		last.Due = append(last.Due, r.due())
	case Calls:
		e.Calls = append(e.Calls, r.call(f.FD))
		c.bytes = &e.Calls[len(e.Calls)-1].Bytes
	case Reads:
		if c.bytes == nil {
			return false, bad()
		}
		*c.bytes = append(*c.bytes, f.body...)
	case Knows:
		k := Known{Destination: uint32(r.Uint(math.MaxUint32)), At: r.time(), Awake: r.flag(), Restart: r.flag()}
		k.Text = append([]byte(nil), r.B...)
		e.Known = append(e.Known, k)
	case Keys:
		e.Keys = append(e.Keys, Key{Destination: uint32(r.Uint(math.MaxUint32)), Text: r.Text(nameMost), ID: r.Text(nameMost), At: r.time(), Until: r.time()})
	case Rests:
		e.Rests = append(e.Rests, Rest{r.Uint(math.MaxUint64), r.time()})
	case Lists:
		e.List = append(e.List, f.body...)
	case End:
		e.Live = f.Text == "live"
		if f.Number != c.frames-1 {
			return false, fmt.Errorf("%w: %d frames of %d", ErrFrame, c.frames-1, f.Number)
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

func (r *fields) due() Due {
	if !r.flag() {
		return Due{Text: append([]byte(nil), r.B...)}
	}
	q := &Request{ID: r.Text(nameMost), IdempotencyKey: r.Text(nameMost), Class: r.Text(nameMost), Tenant: r.Text(nameMost)}
	q.Key, q.Destination = r.Uint(math.MaxUint64), uint32(r.Uint(math.MaxUint32))
	q.Deadline = r.time()
	flags := r.Byte()
	q.Again, q.Forwarded, q.Order = flags&again != 0, flags&forwarded != 0, r.Uint(math.MaxUint64)
	q.Body = append([]byte(nil), r.B...)
	return Due{Request: q}
}

func (r *fields) call(fd int) Call {
	c := Call{Conn: r.conn(fd), Seq: r.Uint(math.MaxUint64)}
	c.Endpoint = Endpoint{Front: int(r.Uint(0)), Name: r.Text(nameMost), Addr: r.Text(nameMost), Destination: uint32(r.Uint(math.MaxUint32)), Zone: r.number(), Kind: r.number()}
	if v := r.Take(8); len(v) == 8 {
		c.Endpoint.Weight = math.Float64frombits(binary.BigEndian.Uint64(v))
	}
	c.Began, c.Until, c.Kept = r.time(), r.time(), time.Duration(r.Int())
	c.WholeWants = r.flag()
	return c
}
