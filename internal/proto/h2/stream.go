package h2

import (
	"encoding/binary"
	"strconv"
	"strings"
)

func (c *Conn) headers(f frame) *ConnError {
	if f.stream == 0 || f.stream%2 == 0 {
		return &ConnError{ProtocolError, "HEADERS on a stream that is not a client's"}
	}
	if c.client && c.idle(f.stream) {
		return &ConnError{ProtocolError, "HEADERS on a stream not opened"}
	}
	b, err := unpad(f)
	if err != nil {
		return err
	}
	c.blockOf, c.block, c.parts = f, append([]byte(nil), b...), 1
	if f.has(flagEndHeaders) {
		return c.headerList()
	}
	return nil
}

func (c *Conn) continuation(f frame) *ConnError {
	if c.blockOf.stream == 0 {
		return &ConnError{ProtocolError, "CONTINUATION of nothing"}
	}
	// Without limits a header block could continue forever, one empty frame at a time.
	c.parts++
	if c.block = append(c.block, f.payload...); len(c.block) > 2*c.limits.HeaderBytes || c.parts > partsMost {
		return &ConnError{EnhanceYourCalm, "an endless header list"}
	}
	if f.has(flagEndHeaders) {
		return c.headerList()
	}
	return nil
}

// headerList processes a complete header block. The block is decoded even if its stream is
// ignored, to keep the compression tables of both sides in sync.
func (c *Conn) headerList() *ConnError {
	f := c.blockOf
	c.fields, c.size, c.blockOf = nil, 0, frame{}
	if _, err := c.dec.Write(c.block); err != nil {
		return &ConnError{CompressionError, "header list: " + err.Error()}
	}
	if err := c.dec.Close(); err != nil {
		return &ConnError{CompressionError, "header list: " + err.Error()}
	}
	c.block = nil
	fields, tooBig := c.fields, c.size > c.limits.HeaderBytes
	c.fields = nil
	s := c.streams[f.stream]
	switch {
	case s != nil && s.remote:
		return &ConnError{StreamClosed, "HEADERS behind the end of a stream"}
	case s != nil && s.headers: // trailers, which are ignored
		if !f.has(flagEndStream) {
			return &ConnError{ProtocolError, "trailers that are not the end"}
		}
		return c.whole(s)
	case s == nil && !c.client:
		if f.stream <= c.seen {
			return &ConnError{StreamClosed, "HEADERS on a closed stream"}
		}
		if c.seen = f.stream; c.leaving {
			return nil // above the last stream id in our GOAWAY, so the client knows that it did not run
		}
		if c.peerOpen >= c.limits.Streams {
			c.nuisance++
			c.sendReset(f.stream, RefusedStream)
			return nil
		}
		s = c.open(f.stream)
		c.lastPeer = f.stream
		c.peerOpen++
	case s == nil:
		return nil // a stream that we have reset
	}
	if c.client && interim(fields) {
		if f.has(flagEndStream) {
			return c.malformed(s)
		}
		return nil
	}
	s.headers, s.fields, s.tooBig = true, fields, tooBig
	if c.client {
		c.events = append(c.events, Head{Stream: s.id, Fields: fields})
	}
	length, ok := check(fields, c.client)
	if !ok && !tooBig {
		return c.malformed(s)
	}
	s.length = length
	switch {
	case f.has(flagEndStream):
		return c.whole(s)
	case tooBig, length > int64(c.limits.Body):
		return c.cut(s)
	}
	return nil
}

// completeTooBig reports a message that is too big before its end is received, so that the answer
// does not wait for bytes that are discarded anyway.
func (c *Conn) cut(s *stream) *ConnError {
	s.tooBig, s.cut = true, true
	return c.whole(s)
}

func interim(fields []Field) bool {
	return len(fields) > 0 && fields[0].Name == ":status" && strings.HasPrefix(fields[0].Value, "1")
}

// check validates a header list (RFC 9113, section 8). It returns the content-length, or -1 if
// there is none.
func check(fields []Field, response bool) (length int64, ok bool) {
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

// malformed resets a stream after a malformed message.
func (c *Conn) malformed(s *stream) *ConnError {
	c.nuisance++
	c.Reset(s.id, ProtocolError)
	c.events = append(c.events, Reset{Stream: s.id, Code: ProtocolError})
	return nil
}

func (c *Conn) data(f frame) *ConnError {
	if f.stream == 0 || c.idle(f.stream) {
		return &ConnError{ProtocolError, "DATA on an idle stream"}
	}
	n := int64(len(f.payload))
	if c.credit -= n; c.credit < 0 {
		return &ConnError{FlowControlError, "more DATA than the connection's window"}
	}
	b, err := unpad(f)
	if err != nil {
		return err
	}
	s := c.streams[f.stream]
	switch {
	case s == nil, s.cut: // reset by us, or above our GOAWAY: its bytes still count against the connection's window
		c.giveBack(n)
		c.nuisance++
		return nil
	case s.remote || !s.headers:
		return &ConnError{StreamClosed, "DATA before its headers or behind its end"}
	}
	if len(b) == 0 && !f.has(flagEndStream) {
		c.nuisance++
	}
	s.used += n
	if s.credit -= n; s.credit < 0 {
		c.Reset(s.id, FlowControlError)
		c.events = append(c.events, Reset{Stream: s.id, Code: FlowControlError})
		return nil
	}
	s.body = append(s.body, b...)
	switch {
	case len(s.body) > c.limits.Body:
		return c.cut(s)
	case f.has(flagEndStream):
		return c.whole(s)
	}
	c.relieve()
	return nil
}

// refuseNewest resets the newest incomplete streams if incomplete messages have used up the
// connection's receive window, because otherwise none of them could ever be completed. The client
// may retry a refused request, as it did not run.
func (c *Conn) relieve() {
	for c.credit < minFrameSize {
		var youngest *stream
		for _, s := range c.streams {
			if s.used > 0 && (youngest == nil || s.id > youngest.id) {
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
func (c *Conn) whole(s *stream) *ConnError {
	if s.length >= 0 && s.length != int64(len(s.body)) && !s.tooBig {
		return c.malformed(s)
	}
	s.remote = true
	c.giveBack(s.used)
	s.used = 0
	c.events = append(c.events, Message{Stream: s.id, Fields: s.fields, Body: s.body, TooBig: s.tooBig})
	s.fields, s.body = nil, nil
	c.done(s)
	return nil
}

// returnCredit adds n processed bytes to the connection's receive window. WINDOW_UPDATE frames are
// sent only for large amounts.
func (c *Conn) giveBack(n int64) {
	c.used += n
	if c.used >= int64(max(c.limits.Buffered, defaultWindow))/4 || c.used > 0 && c.credit < minFrameSize {
		c.credit += c.used
		c.grant(0, c.used)
		c.used = 0
	}
}

func (c *Conn) grant(stream uint32, n int64) {
	c.out = appendFrame(c.out, frameWindow, 0, stream, binary.BigEndian.AppendUint32(nil, uint32(n)))
}

func (c *Conn) open(id uint32) *stream {
	s := &stream{id: id, length: -1, window: c.peerWindow, credit: int64(c.streamWindow())}
	c.streams[id] = s
	return s
}

// closeIfDone removes a stream that both sides have ended.
func (c *Conn) done(s *stream) {
	if s.remote && s.local {
		if c.drop(s); s.cut {
			c.sendReset(s.id, NoError) // the peer need not send the rest
		}
	}
}

func (c *Conn) drop(s *stream) {
	if c.streams[s.id] != s {
		return
	}
	delete(c.streams, s.id)
	c.giveBack(s.used)
	s.used, s.pending = 0, nil
	if s.id%2 == 1 && !c.client {
		c.peerOpen--
	}
	for i, id := range c.order {
		if id == s.id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
}

// Request opens a stream, sends a complete request on it and returns the stream id.
func (c *Conn) Request(fields []Field, body []byte) (uint32, error) {
	if !c.Room() {
		return 0, ErrNoStream
	}
	s := c.open(c.nextOwn)
	c.nextOwn += 2
	c.send(s, fields, body)
	return s.id, nil
}

// Respond sends a complete response on a stream. It does nothing if the stream no longer exists
// or already has a response.
func (c *Conn) Respond(id uint32, fields []Field, body []byte) {
	if s := c.streams[id]; s != nil && !s.local && !s.ending {
		c.send(s, fields, body)
	}
}

// Reset ends a stream with RST_STREAM.
func (c *Conn) Reset(id uint32, code Code) {
	if s := c.streams[id]; s != nil {
		c.drop(s)
		c.sendReset(id, code)
	}
}

func (c *Conn) sendReset(id uint32, code Code) {
	c.out = appendFrame(c.out, frameReset, 0, id, binary.BigEndian.AppendUint32(nil, uint32(code)))
}

func (c *Conn) send(s *stream, fields []Field, body []byte) {
	c.encoded.Reset()
	for _, f := range fields {
		_ = c.enc.WriteField(f) // writing to memory does not fail
	}
	kind, flags := frameHeaders, byte(0)
	if len(body) == 0 {
		flags = flagEndStream
	}
	for b := c.encoded.Bytes(); ; {
		n := min(len(b), c.peerFrame)
		if n == len(b) {
			flags |= flagEndHeaders
		}
		c.out = appendFrame(c.out, kind, flags, s.id, b[:n])
		if b = b[n:]; len(b) == 0 {
			break
		}
		kind, flags = frameContinuation, 0
	}
	if len(body) == 0 {
		s.local = true
		c.done(s)
		return
	}
	s.pending, s.ending = body, true
	c.order = append(c.order, s.id)
	c.flush()
}

// flush sends as much body data as the windows allow, oldest stream first.
func (c *Conn) flush() {
	waiting := c.order
	c.order = nil
	for _, id := range waiting {
		s := c.streams[id]
		if s == nil {
			continue
		}
		for len(s.pending) > 0 {
			n := min(int64(len(s.pending)), s.window, c.window, int64(c.peerFrame))
			if n <= 0 {
				break
			}
			flags := byte(0)
			if n == int64(len(s.pending)) {
				flags = flagEndStream
			}
			c.out = appendFrame(c.out, frameData, flags, id, s.pending[:n])
			s.pending = s.pending[n:]
			s.window -= n
			c.window -= n
		}
		if len(s.pending) > 0 {
			c.order = append(c.order, id)
			continue
		}
		s.local = true
		c.done(s)
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
