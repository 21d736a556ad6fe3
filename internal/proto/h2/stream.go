package h2

import (
	"encoding/binary"
	"strconv"
	"strings"
)

func (c *Conn) handleHeaders(f frame) *ConnError {
	if f.stream == 0 || f.stream%2 == 0 {
		return &ConnError{ProtocolError, "HEADERS on a stream that is not a client's"}
	}
	if c.client && c.idle(f.stream) {
		return &ConnError{ProtocolError, "HEADERS on a stream not opened"}
	}
	b, err := stripPadding(f)
	if err != nil {
		return err
	}
	c.headerFrame, c.headerBlock, c.headerFrameCount = f, append([]byte(nil), b...), 1
	if f.has(flagEndHeaders) {
		return c.handleHeaderList()
	}
	return nil
}

func (c *Conn) handleContinuation(f frame) *ConnError {
	if c.headerFrame.stream == 0 {
		return &ConnError{ProtocolError, "CONTINUATION of nothing"}
	}
	// Without limits a header block could continue forever, one empty frame at a time.
	c.headerFrameCount++
	if c.headerBlock = append(c.headerBlock, f.payload...); len(c.headerBlock) > 2*c.limits.MaxHeaderBytes || c.headerFrameCount > maxHeaderFrames {
		return &ConnError{EnhanceYourCalm, "an endless header list"}
	}
	if f.has(flagEndHeaders) {
		return c.handleHeaderList()
	}
	return nil
}

// handleHeaderList processes a complete header block. The block is decoded even if its stream is
// ignored, to keep the compression tables of both sides in sync.
func (c *Conn) handleHeaderList() *ConnError {
	f := c.headerFrame
	c.fields, c.headerListSize, c.headerFrame = nil, 0, frame{}
	if _, err := c.decoder.Write(c.headerBlock); err != nil {
		return &ConnError{CompressionError, "header list: " + err.Error()}
	}
	if err := c.decoder.Close(); err != nil {
		return &ConnError{CompressionError, "header list: " + err.Error()}
	}
	c.headerBlock = nil
	fields, tooBig := c.fields, c.headerListSize > c.limits.MaxHeaderBytes
	c.fields = nil
	s := c.streams[f.stream]
	switch {
	case s != nil && s.remoteClosed:
		return &ConnError{StreamClosed, "HEADERS behind the end of a stream"}
	case s != nil && s.headersReceived: // trailers, which are ignored
		if !f.has(flagEndStream) {
			return &ConnError{ProtocolError, "trailers that are not the end"}
		}
		return c.complete(s)
	case s == nil && !c.client:
		if f.stream <= c.highestPeerStream {
			return &ConnError{StreamClosed, "HEADERS on a closed stream"}
		}
		if c.highestPeerStream = f.stream; c.goAwaySent {
			return nil // above the last stream id in our GOAWAY, so the client knows that it did not run
		}
		if c.openPeerStreams >= c.limits.MaxStreams {
			c.floodScore++
			c.sendReset(f.stream, RefusedStream)
			return nil
		}
		s = c.openStream(f.stream)
		c.lastAcceptedStream = f.stream
		c.openPeerStreams++
	case s == nil: // a stream that we have reset
		c.floodScore += lateHeadersScore
		return nil
	}
	if c.client && isInterim(fields) {
		// An answer's interim responses share a limit, because a series of them could be endless.
		if s.interimBytes += c.headerListSize; s.interimBytes > c.limits.MaxHeaderBytes || f.has(flagEndStream) {
			return c.resetMalformed(s)
		}
		return nil
	}
	s.headersReceived, s.fields, s.tooBig = true, fields, tooBig
	s.headerBytes = min(c.headerListSize, c.limits.MaxHeaderBytes)
	if c.client {
		c.events = append(c.events, ResponseHead{Stream: s.id, Fields: fields})
	}
	length, ok := checkFields(fields, c.client)
	if !ok && !tooBig {
		return c.resetMalformed(s)
	}
	s.contentLength = length
	switch {
	case f.has(flagEndStream):
		return c.complete(s)
	case tooBig, length > int64(c.limits.MaxBodyBytes):
		return c.completeTooBig(s)
	}
	return nil
}

// completeTooBig reports a message that is too big before its end is received, so that the answer
// does not wait for bytes that are discarded anyway.
func (c *Conn) completeTooBig(s *stream) *ConnError {
	s.tooBig, s.reportedEarly = true, true
	return c.complete(s)
}

// isInterim reports whether the fields are those of an interim response (1xx).
func isInterim(fields []Field) bool {
	return len(fields) > 0 && fields[0].Name == ":status" && strings.HasPrefix(fields[0].Value, "1")
}

// checkFields validates a header list (RFC 9113, section 8). It returns the content-length, or -1 if
// there is none.
func checkFields(fields []Field, response bool) (length int64, ok bool) {
	length = -1
	pseudo, regular := map[string]bool{}, false
	for _, f := range fields {
		if f.Name == "" || f.Name != strings.ToLower(f.Name) || strings.ContainsAny(f.Value, "\r\n\x00") ||
			strings.ContainsAny(f.Name[1:], ": \r\n\x00") {
			return 0, false
		}
		if f.IsPseudo() {
			if regular || pseudo[f.Name] {
				return 0, false
			}
			pseudo[f.Name] = true
			continue
		}
		regular = true
		switch f.Name {
		case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
			return 0, false
		case "te":
			if f.Value != "trailers" {
				return 0, false
			}
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || length >= 0 && int64(n) != length {
				return 0, false
			}
			length = int64(n)
		}
	}
	if response {
		return length, len(pseudo) == 1 && pseudo[":status"]
	}
	known := 3
	if pseudo[":authority"] {
		known++
	}
	return length, len(pseudo) == known && pseudo[":method"] && pseudo[":scheme"] && pseudo[":path"]
}

// resetMalformed resets a stream after a malformed message.
func (c *Conn) resetMalformed(s *stream) *ConnError {
	c.floodScore++
	c.Reset(s.id, ProtocolError)
	c.events = append(c.events, Reset{Stream: s.id, Code: ProtocolError})
	return nil
}

func (c *Conn) handleData(f frame) *ConnError {
	if f.stream == 0 || c.idle(f.stream) {
		return &ConnError{ProtocolError, "DATA on an idle stream"}
	}
	n := int64(len(f.payload))
	if c.receiveWindow -= n; c.receiveWindow < 0 {
		return &ConnError{FlowControlError, "more DATA than the connection's window"}
	}
	b, err := stripPadding(f)
	if err != nil {
		return err
	}
	s := c.streams[f.stream]
	switch {
	case s == nil, s.reportedEarly:
		// Reset by us, or above our GOAWAY: the bytes still count against the connection's window.
		c.returnCredit(n)
		c.floodScore++
		return nil
	case s.remoteClosed || !s.headersReceived:
		return &ConnError{StreamClosed, "DATA before its headers or behind its end"}
	}
	if len(b) == 0 && !f.has(flagEndStream) {
		c.floodScore++
	}
	s.unreturnedCredit += n
	if s.receiveWindow -= n; s.receiveWindow < 0 {
		c.Reset(s.id, FlowControlError)
		c.events = append(c.events, Reset{Stream: s.id, Code: FlowControlError})
		return nil
	}
	s.bodyBytes += len(b)
	if !s.discardBody {
		s.body = append(s.body, b...)
	}
	s.wait.moved = s.wait.moved || len(b) > 0
	switch {
	case s.bodyBytes > c.limits.MaxBodyBytes:
		return c.completeTooBig(s)
	case f.has(flagEndStream):
		return c.complete(s)
	}
	c.refuseNewest()
	return nil
}

// refuseNewest resets the newest incomplete streams if incomplete messages have used up the
// connection's receive window, because otherwise none of them could ever be completed. The client
// may retry a refused request, as it did not run.
func (c *Conn) refuseNewest() {
	for c.receiveWindow < minFrameSize {
		var youngest *stream
		for _, s := range c.streams {
			if s.unreturnedCredit > 0 && (youngest == nil || s.id > youngest.id) {
				youngest = s
			}
		}
		if youngest == nil {
			return
		}
		c.Reset(youngest.id, RefusedStream)
	}
}

// complete reports a complete message. Only now are its bytes returned to the connection's receive
// window, so that this window limits the total size of incomplete messages.
func (c *Conn) complete(s *stream) *ConnError {
	if s.contentLength >= 0 && s.contentLength != int64(s.bodyBytes) && !s.tooBig && !s.timedOut {
		return c.resetMalformed(s)
	}
	s.remoteClosed, s.wait = true, wait{}
	c.returnCredit(s.unreturnedCredit)
	s.unreturnedCredit = 0
	c.events = append(c.events, Message{Stream: s.id, Fields: s.fields, Body: s.body, TooBig: s.tooBig, TimedOut: s.timedOut})
	s.fields, s.body = nil, nil
	c.closeIfDone(s)
	return nil
}

// returnCredit adds n processed bytes to the connection's receive window. To save WINDOW_UPDATE
// frames, it collects them until they are a quarter of the window or the window is almost used up.
func (c *Conn) returnCredit(n int64) {
	c.unreturnedCredit += n
	if c.unreturnedCredit >= int64(max(c.limits.MaxBufferedBytes, defaultWindow))/4 || c.unreturnedCredit > 0 && c.receiveWindow < minFrameSize {
		c.receiveWindow += c.unreturnedCredit
		c.sendWindowUpdate(0, c.unreturnedCredit)
		c.unreturnedCredit = 0
	}
}

func (c *Conn) sendWindowUpdate(stream uint32, n int64) {
	c.outBuffer = appendFrame(c.outBuffer, frameWindow, 0, stream, binary.BigEndian.AppendUint32(nil, uint32(n)))
}

func (c *Conn) openStream(id uint32) *stream {
	s := &stream{id: id, contentLength: -1, sendWindow: c.peerInitialWindow, receiveWindow: int64(c.initialStreamWindow())}
	c.streams[id] = s
	return s
}

// closeIfDone removes a stream that both sides have ended.
func (c *Conn) closeIfDone(s *stream) {
	if s.remoteClosed && s.localClosed {
		if c.removeStream(s); s.reportedEarly {
			c.sendReset(s.id, NoError) // the peer need not send the rest
		}
	}
}

// removeStream deletes a stream and returns its bytes to the connection's receive window.
func (c *Conn) removeStream(s *stream) {
	if c.streams[s.id] != s {
		return
	}
	delete(c.streams, s.id)
	c.returnCredit(s.unreturnedCredit)
	s.unreturnedCredit, s.pending = 0, nil
	if s.id%2 == 1 && !c.client {
		c.openPeerStreams--
	}
	for i, id := range c.sendQueue {
		if id == s.id {
			c.sendQueue = append(c.sendQueue[:i], c.sendQueue[i+1:]...)
			break
		}
	}
}

// Request opens a stream, sends a complete request on it and returns the stream id.
func (c *Conn) Request(fields []Field, body []byte) (uint32, error) {
	if !c.CanOpenStream() {
		return 0, ErrNoStream
	}
	s := c.openStream(c.nextStreamID)
	c.nextStreamID += 2
	c.send(s, fields, body)
	return s.id, nil
}

// Respond sends a complete response on a stream. It does nothing if the stream no longer exists
// or already has a response.
func (c *Conn) Respond(id uint32, fields []Field, body []byte) {
	if s := c.streams[id]; s != nil && !s.localClosed && !s.endStreamPending {
		c.send(s, fields, body)
	}
}

// Reset ends a stream with RST_STREAM.
func (c *Conn) Reset(id uint32, code Code) {
	if s := c.streams[id]; s != nil {
		c.removeStream(s)
		c.sendReset(id, code)
	}
}

func (c *Conn) sendReset(id uint32, code Code) {
	c.outBuffer = appendFrame(c.outBuffer, frameReset, 0, id, binary.BigEndian.AppendUint32(nil, uint32(code)))
}

// send sends a header list and queues the body.
func (c *Conn) send(s *stream, fields []Field, body []byte) {
	c.encoded.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(f) // writing to memory does not fail
	}
	kind, flags := frameHeaders, byte(0)
	if len(body) == 0 {
		flags = flagEndStream
	}
	for b := c.encoded.Bytes(); ; {
		n := min(len(b), c.peerMaxFrameSize)
		if n == len(b) {
			flags |= flagEndHeaders
		}
		c.outBuffer = appendFrame(c.outBuffer, kind, flags, s.id, b[:n])
		if b = b[n:]; len(b) == 0 {
			break
		}
		kind, flags = frameContinuation, 0
	}
	if len(body) == 0 {
		s.localClosed = true
		c.closeIfDone(s)
		return
	}
	s.pending, s.endStreamPending = body, true
	c.sendQueue = append(c.sendQueue, s.id)
	c.flush()
}

// flush sends as much body data as the windows allow, oldest stream first.
func (c *Conn) flush() {
	waiting := c.sendQueue
	c.sendQueue = nil
	for _, id := range waiting {
		s := c.streams[id]
		if s == nil {
			continue
		}
		for len(s.pending) > 0 {
			n := min(int64(len(s.pending)), s.sendWindow, c.sendWindow, int64(c.peerMaxFrameSize))
			if n <= 0 {
				break
			}
			flags := byte(0)
			if n == int64(len(s.pending)) {
				flags = flagEndStream
			}
			c.outBuffer = appendFrame(c.outBuffer, frameData, flags, id, s.pending[:n])
			s.pending = s.pending[n:]
			s.wait.moved = true
			s.sendWindow -= n
			c.sendWindow -= n
		}
		if len(s.pending) > 0 {
			c.sendQueue = append(c.sendQueue, id)
			continue
		}
		s.localClosed = true
		c.closeIfDone(s)
	}
}

// Get returns the value of the first field with the given name, or "".
func Get(fields []Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
