package h2

import (
	"bytes"
	"encoding/binary"
	"time"

	"golang.org/x/net/http2/hpack"
)

// Field is a header field.
type Field = hpack.HeaderField

// Limits limits the resources that the peer can make this side use. Sizes are in bytes.
type Limits struct {
	Streams     int // streams that the peer may have open at once
	HeaderBytes int // decoded size of a header list
	Body        int // body of one message
	Buffered    int // all incomplete bodies together
}

// Event is an event returned by Conn.Feed.
type Event interface{ event() }

type (
	// Message is a complete request or response.
	Message struct {
		Stream uint32
		Fields []Field
		Body   []byte
		TooBig bool // headers or body exceed their limit, and the content is incomplete
	}
	// Head reports to a client that the headers of a response have been received. Its status
	// is final, even if the rest of the response fails.
	Head struct {
		Stream uint32
		Fields []Field
	}
	// Reset reports that a stream ended before its message was complete, or that the peer
	// cancelled its request. NotRun means that the request had no effect on the server.
	Reset struct {
		Stream uint32
		Code   Code
		NotRun bool
	}
	// Farewell reports a GOAWAY frame: the peer accepts no further streams.
	Farewell struct{ Code Code }
)

func (Message) event()  {}
func (Head) event()     {}
func (Reset) event()    {}
func (Farewell) event() {}

// Conn is one side of an HTTP/2 connection. It is not safe for concurrent use.
type Conn struct {
	client bool
	limits Limits
	in     []byte
	out    []byte
	opened bool // the client's preface has been received
	met    bool // the peer's first SETTINGS frame has been received

	dec     *hpack.Decoder
	enc     *hpack.Encoder
	encoded bytes.Buffer
	block   []byte // received part of a header block that continues in CONTINUATION frames
	blockOf frame  // HEADERS frame of that block; stream 0 if there is none
	parts   int    // frames of that block
	fields  []Field
	size    int // size of the header list being decoded (section 6.5.2)

	streams    map[uint32]*stream
	order      []uint32 // streams with data to send, oldest first
	seen       uint32   // highest stream id that the peer has opened
	lastPeer   uint32   // highest of these that we accepted
	nextOwn    uint32   // client: id of the next stream to open
	peerOpen   int      // streams opened by the peer that are still open
	window     int64    // bytes that we may send
	credit     int64    // bytes that the peer may send
	used       int64    // bytes received and processed but not yet added to the receive window
	peerWindow int64    // initial send window of streams
	peerFrame  int      // largest frame payload that the peer accepts
	peerMost   int      // streams that we may have open at once
	leaving    bool     // we have sent GOAWAY
	left       bool     // the peer has sent GOAWAY
	failed     *ConnError

	nuisance float64   // score of useless frames, which decreases over time
	last     time.Time // time of the last Feed
	events   []Event
}

type stream struct {
	id      uint32
	fields  []Field
	body    []byte
	length  int64 // content-length; -1 if absent
	tooBig  bool
	headers bool   // the header list has been received
	remote  bool   // the peer has ended the stream
	local   bool   // we have ended the stream
	window  int64  // bytes that we may send
	credit  int64  // bytes that the peer may send
	used    int64  // bytes received that still count against the connection's window
	pending []byte // body bytes to send
	ending  bool   // END_STREAM follows the pending bytes
	cut     bool   // too big: reported before its end
}

// Flood protection: a frame that causes work without transferring a message adds one to the score
// of its connection, and the score decreases by a fixed amount per second.
const (
	nuisanceMost = 200
	nuisanceLeak = 20
	partsMost    = 16
)

// NewServer returns the server side of a connection.
func NewServer(l Limits) *Conn { return newConn(false, l) }

// NewClient returns the client side of a connection.
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
	// Longer strings are left to the limit of the header list, because an error here would end
	// the whole connection.
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

// streamWindow returns the receive window of a stream. It is larger than the body limit so that
// a body over the limit can be detected.
func (c *Conn) streamWindow() int { return max(c.limits.Body+1024, defaultWindow) }

// Output returns the bytes to be sent and clears the buffer.
func (c *Conn) Output() []byte {
	out := c.out
	c.out = nil
	return out
}

// Feed processes received bytes and returns the resulting events. Errors are of type *ConnError.
// After an error the connection must be closed once its Output has been sent.
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
			c.in = append([]byte(nil), c.in...) // release the memory of processed bytes
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
	default: // unknown types are ignored but count as useless frames
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

// idle reports whether a stream has never been opened.
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

// GoAway sends a GOAWAY frame: new streams of the peer are no longer accepted. Open streams
// continue.
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

// Begun reports whether a frame or a header block has been received in part.
func (c *Conn) Begun() bool { return len(c.in) > 0 || c.blockOf.stream != 0 }

// Open returns the number of open streams.
func (c *Conn) Open() int { return len(c.streams) }

// Room reports whether this side may open another stream.
func (c *Conn) Room() bool { return c.Free() > 0 }

// Free returns how many more streams this side may open now. It is zero while Closing.
func (c *Conn) Free() int {
	if c.Closing() {
		return 0
	}
	return max(c.peerMost-len(c.streams), 0)
}

// Closing reports whether this side can open no further streams: a GOAWAY was sent or received,
// the connection failed, or its stream ids are exhausted.
func (c *Conn) Closing() bool {
	return c.left || c.leaving || c.failed != nil || c.nextOwn >= maxWindow
}

// Left reports whether the peer has sent GOAWAY.
func (c *Conn) Left() bool { return c.left }
