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
	MaxStreams       int // streams that the peer may have open at once
	MaxHeaderBytes   int // decoded size of a header list
	MaxBodyBytes     int // body of one message
	MaxBufferedBytes int // all incomplete bodies together

	// Limits on waiting for the peer, see Conn.Expire. Zero MaxStall means no limits.
	MaxStall    time.Duration // since the peer's latest progress
	MaxTransfer time.Duration // for a whole request or answer
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
		// TimedOut means that the request exceeded a limit of Conn.Expire and is incomplete.
		TimedOut bool
	}
	// ResponseHead reports to a client that the headers of a response have been received. Its status
	// is final, even if the rest of the response fails.
	ResponseHead struct {
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
	// GoAwayReceived reports a GOAWAY frame: the peer accepts no further streams.
	GoAwayReceived struct{ Code Code }
)

func (Message) event()        {}
func (ResponseHead) event()   {}
func (Reset) event()          {}
func (GoAwayReceived) event() {}

// Conn is one side of an HTTP/2 connection. It is not safe for concurrent use.
type Conn struct {
	client               bool
	limits               Limits
	inBuffer             []byte
	outBuffer            []byte
	prefaceReceived      bool // the client's preface has been received
	settingsReceived     bool // the peer's first SETTINGS frame has been received
	settingsAcknowledged bool // the peer has acknowledged our SETTINGS

	decoder          *hpack.Decoder
	encoder          *hpack.Encoder
	encoded          bytes.Buffer
	headerBlock      []byte // received part of a header block that continues in CONTINUATION frames
	headerFrame      frame  // HEADERS frame of that block; stream 0 if there is none
	headerFrameCount int    // frames of that block
	fields           []Field
	headerListSize   int // size of the header list being decoded (section 6.5.2)

	streams            map[uint32]*stream
	sendQueue          []uint32 // streams with data to send, oldest first
	highestPeerStream  uint32   // highest stream id that the peer has opened
	lastAcceptedStream uint32   // highest of these that we accepted
	nextStreamID       uint32   // client: id of the next stream to open
	openPeerStreams    int      // streams opened by the peer that are still open
	sendWindow         int64    // bytes that we may send
	receiveWindow      int64    // bytes that the peer may send
	unreturnedCredit   int64    // bytes received and processed but not yet added to the receive window
	peerInitialWindow  int64    // initial send window of streams
	peerMaxFrameSize   int      // largest frame payload that the peer accepts
	peerMaxStreams     int      // streams that we may have open at once
	goAwaySent         bool     // we have sent GOAWAY
	goAwayReceived     bool     // the peer has sent GOAWAY
	connError          *ConnError

	inputWait  wait      // for the rest of the preface, a frame or a header list
	floodScore float64   // see maxFloodScore
	lastFeed   time.Time // time of the last Feed
	events     []Event
}

// stream is an open stream of a connection.
type stream struct {
	id               uint32
	fields           []Field
	headerBytes      int // size of the header list, as far as it is kept
	body             []byte
	bodyBytes        int   // bytes of the body so far
	discardBody      bool  // the body is counted and not kept
	contentLength    int64 // content-length; -1 if absent
	tooBig           bool
	headersReceived  bool   // the header list has been received
	interimBytes     int    // size of the header lists of interim responses
	remoteClosed     bool   // the peer has ended the stream
	localClosed      bool   // we have ended the stream
	sendWindow       int64  // bytes that we may send
	receiveWindow    int64  // bytes that the peer may send
	unreturnedCredit int64  // bytes received that still count against the connection's window
	pending          []byte // body bytes to send
	endStreamPending bool   // END_STREAM follows the pending bytes
	reportedEarly    bool   // too big or timed out: reported before its end
	timedOut         bool   // the request exceeded a limit of Expire
	wait             wait   // for the rest of the request, or for a window for the answer
}

// Flood protection: a frame that causes work without transferring a message adds one to the score
// of its connection, and the score decreases by a fixed amount per second.
const (
	maxFloodScore            = 200 // a higher score ends the connection
	floodScoreDecayPerSecond = 20
	lateHeadersScore         = 0.5 // an answer that crosses the reset of its stream costs this and one for its body
	maxHeaderFrames          = 16  // HEADERS and CONTINUATION frames of one header block
)

// NewServer returns the server side of a connection.
func NewServer(l Limits) *Conn { return newConn(false, l) }

// NewClient returns the client side of a connection.
func NewClient(l Limits) *Conn { return newConn(true, l) }

func newConn(client bool, l Limits) *Conn {
	c := &Conn{
		client: client, limits: l, streams: map[uint32]*stream{}, nextStreamID: 1, prefaceReceived: client,
		sendWindow: defaultWindow, peerInitialWindow: defaultWindow, peerMaxFrameSize: minFrameSize, peerMaxStreams: 100,
		receiveWindow: int64(max(l.MaxBufferedBytes, defaultWindow)),
	}
	c.encoder = hpack.NewEncoder(&c.encoded)
	c.decoder = hpack.NewDecoder(4096, func(f Field) {
		if c.headerListSize += len(f.Name) + len(f.Value) + 32; c.headerListSize <= l.MaxHeaderBytes {
			c.fields = append(c.fields, f)
		}
	})
	// Longer strings are left to the limit of the header list, because an error here would end
	// the whole connection.
	c.decoder.SetMaxStringLength(4 * l.MaxHeaderBytes)
	if client {
		c.outBuffer = append(c.outBuffer, Preface...)
	}
	var s []byte
	if client {
		s = appendSetting(s, settingPush, 0)
	}
	s = appendSetting(s, settingMaxStreams, uint32(l.MaxStreams))
	s = appendSetting(s, settingWindow, uint32(c.initialStreamWindow()))
	s = appendSetting(s, settingHeaderBytes, uint32(l.MaxHeaderBytes))
	c.outBuffer = appendFrame(c.outBuffer, frameSettings, 0, 0, s)
	if c.receiveWindow > defaultWindow {
		c.sendWindowUpdate(0, c.receiveWindow-defaultWindow)
	}
	return c
}

// initialStreamWindow returns the receive window of a stream. It is larger than the body limit so that
// a body over the limit can be detected.
func (c *Conn) initialStreamWindow() int { return max(c.limits.MaxBodyBytes+1024, defaultWindow) }

// Output returns the bytes to be sent and clears the buffer.
func (c *Conn) Output() []byte {
	out := c.outBuffer
	c.outBuffer = nil
	return out
}

// Feed processes received bytes and returns the resulting events. Errors are of type *ConnError.
// After an error the connection must be closed once its Output has been sent.
func (c *Conn) Feed(now time.Time, b []byte) ([]Event, error) {
	if c.connError != nil {
		return nil, c.connError
	}
	if !c.lastFeed.IsZero() {
		c.floodScore = max(0, c.floodScore-floodScoreDecayPerSecond*now.Sub(c.lastFeed).Seconds())
	}
	c.lastFeed = now
	c.inputWait.moved = c.inputWait.moved || len(b) > 0
	c.inBuffer = append(c.inBuffer, b...)
	err := c.read()
	events := c.events
	c.events = nil
	if err != nil {
		c.fail(err)
		return events, err
	}
	return events, nil
}

// fail makes an error permanent and sends it with GOAWAY.
func (c *Conn) fail(err *ConnError) {
	c.connError = err
	c.goAway(err.Code, err.Reason)
}

// read processes the buffered input.
func (c *Conn) read() *ConnError {
	if !c.prefaceReceived {
		n := min(len(c.inBuffer), len(Preface))
		if string(c.inBuffer[:n]) != Preface[:n] {
			return &ConnError{ProtocolError, "no HTTP/2 preface"}
		}
		if n < len(Preface) {
			return nil
		}
		c.inBuffer, c.prefaceReceived = c.inBuffer[n:], true
	}
	for {
		f, rest, ok, err := parseFrame(c.inBuffer)
		if err != nil {
			return err
		}
		if !ok {
			c.inBuffer = append([]byte(nil), c.inBuffer...) // release the memory of processed bytes
			return nil
		}
		c.inBuffer = rest
		if err := c.handleFrame(f); err != nil {
			return err
		}
		if c.headerFrame.stream == 0 { // what follows is a new frame
			c.inputWait = wait{}
		}
		if c.floodScore > maxFloodScore {
			return &ConnError{EnhanceYourCalm, "too many frames that ask nothing"}
		}
	}
}

func (c *Conn) handleFrame(f frame) *ConnError {
	switch {
	case !c.settingsReceived && (f.kind != frameSettings || f.has(flagAck)):
		return &ConnError{ProtocolError, "SETTINGS must come first"}
	case c.headerFrame.stream != 0 && (f.kind != frameContinuation || f.stream != c.headerFrame.stream):
		return &ConnError{ProtocolError, "a header list was cut short"}
	}
	switch f.kind {
	case frameData:
		return c.handleData(f)
	case frameHeaders:
		return c.handleHeaders(f)
	case frameContinuation:
		return c.handleContinuation(f)
	case framePriority:
		c.floodScore++
		if f.stream == 0 || len(f.payload) != 5 {
			return &ConnError{ProtocolError, "malformed PRIORITY"}
		}
	case frameReset:
		return c.handleReset(f)
	case frameSettings:
		return c.handleSettings(f)
	case framePush:
		return &ConnError{ProtocolError, "PUSH_PROMISE, which was declined"}
	case framePing:
		switch {
		case f.stream != 0:
			return &ConnError{ProtocolError, "PING on a stream"}
		case len(f.payload) != 8:
			return &ConnError{FrameSizeError, "malformed PING"}
		}
		c.floodScore++ // this side sends no PING that could be acknowledged
		if !f.has(flagAck) {
			c.outBuffer = appendFrame(c.outBuffer, framePing, flagAck, 0, f.payload)
		}
	case frameGoAway:
		return c.handleGoAway(f)
	case frameWindow:
		return c.handleWindowUpdate(f)
	default: // unknown types are ignored but count as useless frames
		c.floodScore++
	}
	return nil
}

func (c *Conn) handleSettings(f frame) *ConnError {
	switch {
	case f.stream != 0:
		return &ConnError{ProtocolError, "SETTINGS on a stream"}
	case f.has(flagAck) && len(f.payload) != 0, len(f.payload)%6 != 0:
		return &ConnError{FrameSizeError, "malformed SETTINGS"}
	case f.has(flagAck):
		c.handleSettingsAck()
		return nil
	}
	if c.settingsReceived {
		c.floodScore++
	}
	c.settingsReceived = true
	for b := f.payload; len(b) > 0; b = b[6:] {
		v := binary.BigEndian.Uint32(b[2:])
		switch binary.BigEndian.Uint16(b) {
		case settingTableSize:
			c.encoder.SetMaxDynamicTableSizeLimit(min(v, 4096))
		case settingPush:
			if v > 1 || v == 1 && c.client {
				return &ConnError{ProtocolError, "SETTINGS: push"}
			}
		case settingMaxStreams:
			c.peerMaxStreams = int(min(v, 1<<20))
		case settingWindow:
			if v > maxWindow {
				return &ConnError{FlowControlError, "SETTINGS: window"}
			}
			delta := int64(v) - c.peerInitialWindow
			c.peerInitialWindow = int64(v)
			for _, s := range c.streams {
				if s.sendWindow += delta; s.sendWindow > maxWindow {
					return &ConnError{FlowControlError, "SETTINGS: a stream's window overflows"}
				}
			}
		case settingFrameSize:
			if v < minFrameSize || v > maxFrameSize {
				return &ConnError{ProtocolError, "SETTINGS: frame size"}
			}
			c.peerMaxFrameSize = int(v)
		}
	}
	c.outBuffer = appendFrame(c.outBuffer, frameSettings, flagAck, 0, nil)
	c.flush()
	return nil
}

// handleSettingsAck expects one acknowledgement, because SETTINGS are sent once.
func (c *Conn) handleSettingsAck() {
	if c.settingsAcknowledged {
		c.floodScore++
	}
	c.settingsAcknowledged = true
}

func (c *Conn) handleWindowUpdate(f frame) *ConnError {
	if len(f.payload) != 4 {
		return &ConnError{FrameSizeError, "malformed WINDOW_UPDATE"}
	}
	n := int64(binary.BigEndian.Uint32(f.payload) & maxWindow)
	if c.idle(f.stream) {
		return &ConnError{ProtocolError, "WINDOW_UPDATE on an idle stream"}
	}
	if f.stream == 0 {
		if c.sendWindow += n; n == 0 || c.sendWindow > maxWindow {
			return &ConnError{FlowControlError, "WINDOW_UPDATE of the connection"}
		}
	} else if s := c.streams[f.stream]; s != nil {
		if s.sendWindow += n; n == 0 || s.sendWindow > maxWindow {
			c.Reset(f.stream, FlowControlError)
			c.events = append(c.events, Reset{Stream: f.stream, Code: FlowControlError})
			return nil
		}
	}
	if len(c.sendQueue) == 0 {
		c.floodScore += 0.1
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
		return id >= c.nextStreamID
	}
	return id > c.highestPeerStream
}

func (c *Conn) handleReset(f frame) *ConnError {
	switch {
	case len(f.payload) != 4:
		return &ConnError{FrameSizeError, "malformed RST_STREAM"}
	case f.stream == 0 || c.idle(f.stream):
		return &ConnError{ProtocolError, "RST_STREAM on an idle stream"}
	}
	c.floodScore++
	s := c.streams[f.stream]
	if s == nil {
		return nil
	}
	code := Code(binary.BigEndian.Uint32(f.payload))
	c.removeStream(s)
	c.events = append(c.events, Reset{Stream: f.stream, Code: code, NotRun: c.client && code == RefusedStream})
	return nil
}

// handleGoAway processes a GOAWAY frame. A client's streams above the last stream id did not run.
func (c *Conn) handleGoAway(f frame) *ConnError {
	if f.stream != 0 || len(f.payload) < 8 {
		return &ConnError{ProtocolError, "malformed GOAWAY"}
	}
	c.floodScore++
	c.goAwayReceived = true
	last := binary.BigEndian.Uint32(f.payload) & maxWindow
	code := Code(binary.BigEndian.Uint32(f.payload[4:]))
	if c.client {
		for id := uint32(1); id < c.nextStreamID; id += 2 {
			if s := c.streams[id]; s != nil && id > last {
				c.removeStream(s)
				c.events = append(c.events, Reset{Stream: id, Code: RefusedStream, NotRun: true})
			}
		}
	}
	c.events = append(c.events, GoAwayReceived{code})
	return nil
}

// GoAway sends a GOAWAY frame: new streams of the peer are no longer accepted. Open streams
// continue.
func (c *Conn) GoAway() {
	if !c.goAwaySent {
		c.goAway(NoError, "")
	}
}

func (c *Conn) goAway(code Code, reason string) {
	c.goAwaySent = true
	b := binary.BigEndian.AppendUint32(nil, c.lastAcceptedStream)
	b = binary.BigEndian.AppendUint32(b, uint32(code))
	c.outBuffer = appendFrame(c.outBuffer, frameGoAway, 0, 0, append(b, reason...))
}

// Abort ends the connection with an error of this side.
func (c *Conn) Abort(code Code, reason string) {
	if c.connError == nil {
		c.fail(&ConnError{code, reason})
	}
}

// BufferedInput returns the number of bytes that are held of incomplete frames, header lists and bodies.
func (c *Conn) BufferedInput() int {
	n := c.PartialInput()
	for id := range c.streams {
		n += c.StreamInput(id)
	}
	return n
}

// PartialInput returns the number of bytes that are held of an incomplete frame and an incomplete header block.
func (c *Conn) PartialInput() int { return len(c.inBuffer) + len(c.headerBlock) }

// StreamInput returns the number of bytes that are held of an incomplete message.
func (c *Conn) StreamInput(id uint32) int {
	s := c.streams[id]
	if s == nil || s.remoteClosed {
		return 0
	}
	return s.headerBytes + len(s.body)
}

// DiscardBody makes a client check the body of a response and not keep it.
func (c *Conn) DiscardBody(id uint32) {
	if s := c.streams[id]; s != nil {
		s.discardBody = true
	}
}

// HasPartialInput reports whether a frame or a header block has been received in part.
func (c *Conn) HasPartialInput() bool { return len(c.inBuffer) > 0 || c.headerFrame.stream != 0 }

// OpenStreams returns the number of open streams.
func (c *Conn) OpenStreams() int { return len(c.streams) }

// CanOpenStream reports whether this side may open another stream.
func (c *Conn) CanOpenStream() bool { return c.FreeStreams() > 0 }

// FreeStreams returns how many more streams this side may open now. It is zero while Closing.
func (c *Conn) FreeStreams() int {
	if c.Closing() {
		return 0
	}
	return max(c.peerMaxStreams-len(c.streams), 0)
}

// Closing reports whether this side can open no further streams: a GOAWAY was sent or received,
// the connection failed, or its stream ids are exhausted.
func (c *Conn) Closing() bool {
	return c.goAwayReceived || c.goAwaySent || c.connError != nil || c.nextStreamID >= maxWindow
}

// PeerSentGoAway reports whether the peer has sent GOAWAY.
func (c *Conn) PeerSentGoAway() bool { return c.goAwayReceived }
