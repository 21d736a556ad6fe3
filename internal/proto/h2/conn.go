package h2

import (
	"bytes"
	"encoding/binary"
	"time"

	"golang.org/x/net/http2/hpack"
)

// Field is a header field.
type Field = hpack.HeaderField

// Limits bound what the other side can make us keep or do.
type Limits struct {
	Streams     int // open at once by the other side
	HeaderBytes int // of a decoded header list
	Body        int // of one message
	Buffered    int // of all bodies that are not whole yet
}

// Event is news for the user of a Conn.
type Event interface{ event() }

type (
	// Message is a whole request or response.
	Message struct {
		Stream uint32
		Fields []Field
		Body   []byte
		TooBig bool // headers or body over the limit: what is here is a part
	}
	// Head tells the client that an answer has begun: its status stands,
	// whatever becomes of the rest.
	Head struct {
		Stream uint32
		Fields []Field
	}
	// Reset tells that a stream has ended before its message was whole, or
	// that the other side wants no answer. NotRun tells that the request on
	// it had no effect.
	Reset struct {
		Stream uint32
		Code   Code
		NotRun bool
	}
	// Farewell tells that the other side opens no more streams, or takes none.
	Farewell struct{ Code Code }
)

func (Message) event()  {}
func (Head) event()     {}
func (Reset) event()    {}
func (Farewell) event() {}

// Conn is one side of a connection.
type Conn struct {
	client bool
	limits Limits
	in     []byte
	out    []byte
	opened bool // the other side's preface has come
	met    bool // and its first SETTINGS

	dec     *hpack.Decoder
	enc     *hpack.Encoder
	encoded bytes.Buffer
	block   []byte // of a header list that goes on in CONTINUATION frames
	blockOf frame  // its HEADERS frame; stream 0: none
	parts   int    // frames of it
	fields  []Field
	size    int // of the list being decoded

	streams    map[uint32]*stream
	order      []uint32 // with something to send, oldest first
	seen       uint32   // highest stream the other side has opened
	lastPeer   uint32   // highest of these that we take
	nextOwn    uint32   // client: the next to open
	peerOpen   int
	window     int64 // we may send
	credit     int64 // the other side may send
	used       int64 // of it, not yet given back
	peerWindow int64 // initial, of streams
	peerFrame  int
	peerMost   int // streams that we may have open
	leaving    bool
	left       bool // the other side has said farewell
	failed     *ConnError

	nuisance float64 // frames that cost only us, leaking with time
	last     time.Time
	events   []Event
}

type stream struct {
	id      uint32
	fields  []Field
	body    []byte
	length  int64 // announced; -1: not
	tooBig  bool
	headers bool // have come
	remote  bool // the other side has ended it
	local   bool // we have
	window  int64
	credit  int64
	used    int64
	pending []byte
	ending  bool // END_STREAM follows what is pending
	cut     bool // too big: yielded before its end
}

// The nuisance that one connection may be: a frame of a kind that costs only
// us adds one, and so many leak away each second.
const (
	nuisanceMost = 200
	nuisanceLeak = 20
	partsMost    = 16
)

// NewServer returns the side that accepts.
func NewServer(l Limits) *Conn { return newConn(false, l) }

// NewClient returns the side that dials.
func NewClient(l Limits) *Conn { return newConn(true, l) }

func newConn(client bool, l Limits) *Conn {
	c := &Conn{
		client: client, limits: l, streams: map[uint32]*stream{}, nextOwn: 1, opened: client,
		window: defaultWindow, peerWindow: defaultWindow, peerFrame: minFrameSize, peerMost: 100,
		credit: int64(max(l.Buffered, defaultWindow)),
	}
	c.enc = hpack.NewEncoder(&c.encoded)
	c.dec = hpack.NewDecoder(4096, func(f Field) {
		if c.size += len(f.Name) + len(f.Value) + 32; c.size <= l.HeaderBytes {
			c.fields = append(c.fields, f)
		}
	})
	// A longer one is for the list's own limit to find: an error here would
	// end the whole connection.
	c.dec.SetMaxStringLength(4 * l.HeaderBytes)
	if client {
		c.out = append(c.out, Preface...)
	}
	var s []byte
	if client {
		s = appendSetting(s, settingPush, 0)
	}
	s = appendSetting(s, settingConcurrent, uint32(l.Streams))
	s = appendSetting(s, settingWindow, uint32(c.streamWindow()))
	s = appendSetting(s, settingHeaderBytes, uint32(l.HeaderBytes))
	c.out = appendFrame(c.out, frameSettings, 0, 0, s)
	if c.credit > defaultWindow {
		c.grant(0, c.credit-defaultWindow)
	}
	return c
}

// streamWindow lets a body grow past its limit by so much that this shows.
func (c *Conn) streamWindow() int { return max(c.limits.Body+1024, defaultWindow) }

// Output takes what is to be written.
func (c *Conn) Output() []byte {
	out := c.out
	c.out = nil
	return out
}

// Feed takes what has come and returns the news in it. After an error, which
// is a *ConnError, the connection is of no use but for its Output.
func (c *Conn) Feed(now time.Time, b []byte) ([]Event, error) {
	if c.failed != nil {
		return nil, c.failed
	}
	if !c.last.IsZero() {
		c.nuisance = max(0, c.nuisance-nuisanceLeak*now.Sub(c.last).Seconds())
	}
	c.last = now
	c.in = append(c.in, b...)
	err := c.read()
	events := c.events
	c.events = nil
	if err != nil {
		c.fail(err)
		return events, err
	}
	return events, nil
}

func (c *Conn) fail(err *ConnError) {
	c.failed = err
	c.goAway(err.Code, err.Why)
}

func (c *Conn) read() *ConnError {
	if !c.opened {
		n := min(len(c.in), len(Preface))
		if string(c.in[:n]) != Preface[:n] {
			return &ConnError{ProtocolError, "no HTTP/2 preface"}
		}
		if n < len(Preface) {
			return nil
		}
		c.in, c.opened = c.in[n:], true
	}
	for {
		f, rest, ok, err := next(c.in)
		if err != nil {
			return err
		}
		if !ok {
			c.in = append([]byte(nil), c.in...) // let go of what has been read
			return nil
		}
		c.in = rest
		if err := c.frame(f); err != nil {
			return err
		}
		if c.nuisance > nuisanceMost {
			return &ConnError{EnhanceYourCalm, "too many frames that ask nothing"}
		}
	}
}

func (c *Conn) frame(f frame) *ConnError {
	switch {
	case !c.met && (f.kind != frameSettings || f.has(flagAck)):
		return &ConnError{ProtocolError, "SETTINGS must come first"}
	case c.blockOf.stream != 0 && (f.kind != frameContinuation || f.stream != c.blockOf.stream):
		return &ConnError{ProtocolError, "a header list was cut short"}
	}
	switch f.kind {
	case frameData:
		return c.data(f)
	case frameHeaders:
		return c.headers(f)
	case frameContinuation:
		return c.continuation(f)
	case framePriority:
		c.nuisance++
		if f.stream == 0 || len(f.payload) != 5 {
			return &ConnError{ProtocolError, "malformed PRIORITY"}
		}
	case frameReset:
		return c.reset(f)
	case frameSettings:
		return c.settings(f)
	case framePush:
		return &ConnError{ProtocolError, "PUSH_PROMISE, which was declined"}
	case framePing:
		switch {
		case f.stream != 0:
			return &ConnError{ProtocolError, "PING on a stream"}
		case len(f.payload) != 8:
			return &ConnError{FrameSizeError, "malformed PING"}
		case !f.has(flagAck):
			c.nuisance++
			c.out = appendFrame(c.out, framePing, flagAck, 0, f.payload)
		}
	case frameGoAway:
		return c.farewell(f)
	case frameWindow:
		return c.windowUpdate(f)
	default: // unknown kinds are skipped, but not for free
		c.nuisance++
	}
	return nil
}

func (c *Conn) settings(f frame) *ConnError {
	switch {
	case f.stream != 0:
		return &ConnError{ProtocolError, "SETTINGS on a stream"}
	case f.has(flagAck) && len(f.payload) != 0, len(f.payload)%6 != 0:
		return &ConnError{FrameSizeError, "malformed SETTINGS"}
	case f.has(flagAck):
		return nil
	}
	if c.met {
		c.nuisance++
	}
	c.met = true
	for b := f.payload; len(b) > 0; b = b[6:] {
		v := binary.BigEndian.Uint32(b[2:])
		switch binary.BigEndian.Uint16(b) {
		case settingTableSize:
			c.enc.SetMaxDynamicTableSizeLimit(min(v, 4096))
		case settingPush:
			if v > 1 || v == 1 && c.client {
				return &ConnError{ProtocolError, "SETTINGS: push"}
			}
		case settingConcurrent:
			c.peerMost = int(min(v, 1<<20))
		case settingWindow:
			if v > maxWindow {
				return &ConnError{FlowControlError, "SETTINGS: window"}
			}
			delta := int64(v) - c.peerWindow
			c.peerWindow = int64(v)
			for _, s := range c.streams {
				if s.window += delta; s.window > maxWindow {
					return &ConnError{FlowControlError, "SETTINGS: a stream's window overflows"}
				}
			}
		case settingFrameSize:
			if v < minFrameSize || v > maxFrameSize {
				return &ConnError{ProtocolError, "SETTINGS: frame size"}
			}
			c.peerFrame = int(v)
		}
	}
	c.out = appendFrame(c.out, frameSettings, flagAck, 0, nil)
	c.flush()
	return nil
}

func (c *Conn) windowUpdate(f frame) *ConnError {
	if len(f.payload) != 4 {
		return &ConnError{FrameSizeError, "malformed WINDOW_UPDATE"}
	}
	n := int64(binary.BigEndian.Uint32(f.payload) & maxWindow)
	if c.idle(f.stream) {
		return &ConnError{ProtocolError, "WINDOW_UPDATE on an idle stream"}
	}
	if f.stream == 0 {
		if c.window += n; n == 0 || c.window > maxWindow {
			return &ConnError{FlowControlError, "WINDOW_UPDATE of the connection"}
		}
	} else if s := c.streams[f.stream]; s != nil {
		if s.window += n; n == 0 || s.window > maxWindow {
			c.Reset(f.stream, FlowControlError)
			c.events = append(c.events, Reset{Stream: f.stream, Code: FlowControlError})
			return nil
		}
	}
	if len(c.order) == 0 {
		c.nuisance += 0.1
	}
	c.flush()
	return nil
}

// idle tells that a stream has never been opened.
func (c *Conn) idle(id uint32) bool {
	if id == 0 {
		return false
	}
	if own := id%2 == 1; own == c.client {
		return id >= c.nextOwn
	}
	return id > c.seen
}

func (c *Conn) reset(f frame) *ConnError {
	switch {
	case len(f.payload) != 4:
		return &ConnError{FrameSizeError, "malformed RST_STREAM"}
	case f.stream == 0 || c.idle(f.stream):
		return &ConnError{ProtocolError, "RST_STREAM on an idle stream"}
	}
	c.nuisance++
	s := c.streams[f.stream]
	if s == nil {
		return nil
	}
	code := Code(binary.BigEndian.Uint32(f.payload))
	c.drop(s)
	c.events = append(c.events, Reset{Stream: f.stream, Code: code, NotRun: c.client && code == RefusedStream})
	return nil
}

func (c *Conn) farewell(f frame) *ConnError {
	if f.stream != 0 || len(f.payload) < 8 {
		return &ConnError{ProtocolError, "malformed GOAWAY"}
	}
	c.nuisance++
	c.left = true
	last := binary.BigEndian.Uint32(f.payload) & maxWindow
	code := Code(binary.BigEndian.Uint32(f.payload[4:]))
	if c.client {
		for id := uint32(1); id < c.nextOwn; id += 2 {
			if s := c.streams[id]; s != nil && id > last {
				c.drop(s)
				c.events = append(c.events, Reset{Stream: id, Code: RefusedStream, NotRun: true})
			}
		}
	}
	c.events = append(c.events, Farewell{code})
	return nil
}

// GoAway says that no further stream of the other side's is taken. Those it
// has opened go on.
func (c *Conn) GoAway() {
	if !c.leaving {
		c.goAway(NoError, "")
	}
}

func (c *Conn) goAway(code Code, why string) {
	c.leaving = true
	b := binary.BigEndian.AppendUint32(nil, c.lastPeer)
	b = binary.BigEndian.AppendUint32(b, uint32(code))
	c.out = appendFrame(c.out, frameGoAway, 0, 0, append(b, why...))
}

// Begun tells that a frame or a header list has come in part.
func (c *Conn) Begun() bool { return len(c.in) > 0 || c.blockOf.stream != 0 }

// Open is the number of streams that are open.
func (c *Conn) Open() int { return len(c.streams) }

// Room tells whether another stream may be opened by us.
func (c *Conn) Room() bool { return c.Free() > 0 }

// Free is how many more streams we may open now: none while Closing.
func (c *Conn) Free() int {
	if c.Closing() {
		return 0
	}
	return max(c.peerMost-len(c.streams), 0)
}

// Closing tells that no further stream of ours will be opened: a GOAWAY went either
// way, the connection failed, or its stream ids are spent.
func (c *Conn) Closing() bool {
	return c.left || c.leaving || c.failed != nil || c.nextOwn >= maxWindow
}

// Left tells that the other side takes no further stream.
func (c *Conn) Left() bool { return c.left }
