// Package http1 writes HTTP/1.1 requests and parses responses. The parser does no I/O:
// it takes the bytes received and returns the responses in order.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Parse errors. The connection must be closed after one of them.
var (
	ErrSyntax = errors.New("malformed HTTP/1.1 response")
	ErrTooBig = errors.New("HTTP/1.1 response too big")
)

const (
	maxHeadBytes = 16 << 10 // bytes of the status line and the headers
	maxHeaders   = 64
	// maxOverheadBytes limits what a response has besides its head and its body: interim responses, the
	// lines around chunks, and trailers. A response without that limit could be endless.
	maxOverheadBytes = 16 << 10
	// maxIdleBuffer is the capacity up to which an empty buffer is kept for the next response.
	maxIdleBuffer = 4 << 10
	// chunkAllowance is how many bytes of the lines around a chunk do not count as overhead.
	chunkAllowance = 16

	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// state is the part of a response that the parser expects next.
type state int

const (
	head state = iota
	sizedBody
	chunkSize
	chunkData
	chunkEnd
	trailers
	untilClose
)

// Parser parses the responses of a connection. MaxBodyBytes limits a body.
type Parser struct {
	MaxBodyBytes int
	// DiscardBody makes the parser check the bodies of responses and not keep them.
	DiscardBody bool
	// Sink, if set, receives the bodies of responses with status 200 in pieces as they arrive.
	// MaxBodyBytes does not apply to them. Next returns the errors of Sink.
	Sink      func(b []byte) error
	buf       []byte
	offset    int // offset of the first unparsed byte
	state     state
	remaining int       // remaining bytes of the body or chunk
	bodyBytes int       // bytes of the body so far, unless they went to Sink
	current   *Response // response being parsed
	overhead  int       // see maxOverheadBytes
	status    int       // status of the response being received; zero until its status line is complete
}

// Feed adds received bytes.
func (p *Parser) Feed(b []byte) {
	p.compact()
	p.buf = append(p.buf, b...)
}

// HasPartialResponse reports whether part of a response has been received.
func (p *Parser) HasPartialResponse() bool { return len(p.unparsed()) > 0 || p.state != head }

// Buffered returns the number of bytes that are held of an incomplete response.
func (p *Parser) Buffered() int {
	n := len(p.unparsed())
	if p.current != nil {
		n += p.current.headBytes + len(p.current.Body)
	}
	return n
}

// Status returns the status of an incomplete response whose status line is complete, even if
// the rest is malformed. Otherwise it returns zero.
func (p *Parser) Status() int { return p.status }

// End handles the end of the stream. It returns the current response if its body extends to
// the end of the connection, or else nil.
func (p *Parser) End() *Response {
	if p.state != untilClose {
		return nil
	}
	return p.finishResponse()
}

// Next returns the next complete response, or nil if there is none yet.
func (p *Parser) Next() (*Response, error) {
	for {
		response, more, err := p.step()
		if response != nil || err != nil {
			return response, err
		}
		if !more {
			p.compact()
			return nil, nil
		}
	}
}

// step parses the next part of a response. more reports whether a further part may be complete.
func (p *Parser) step() (response *Response, more bool, err error) {
	switch p.state {
	case head:
		return p.readHead()
	case chunkSize:
		more, err = p.readChunkSize()
		return nil, more, err
	case chunkEnd:
		more, err = p.readChunkEnd()
		return nil, more, err
	case trailers:
		return p.readTrailer()
	}
	return p.readBody()
}

func (p *Parser) finishResponse() *Response {
	r := p.current
	p.current, p.state, p.remaining, p.bodyBytes, p.overhead, p.status = nil, head, 0, 0, 0, 0
	if len(p.unparsed()) == 0 {
		p.compact()
	}
	return r
}

// addOverhead counts bytes of the response that belong neither to its head nor to its body.
func (p *Parser) addOverhead(n int) error {
	if p.overhead += n; p.overhead > maxOverheadBytes {
		return ErrTooBig
	}
	return nil
}

// recordStatus records the status as soon as the status line is complete. The status is final
// even if the rest of the response fails.
func (p *Parser) recordStatus() {
	b := p.unparsed()
	line, _, ok := bytes.Cut(b[:min(len(b), maxHeadBytes)], []byte("\r\n"))
	if !ok {
		return
	}
	if _, status, err := parseStatusLine(string(line)); err == nil && status/100 != 1 {
		p.status = status
	}
}

// unparsed returns the received bytes that have not been parsed yet.
func (p *Parser) unparsed() []byte { return p.buf[p.offset:] }

// compact discards parsed bytes. A large buffer is not kept between responses.
func (p *Parser) compact() {
	if p.offset == len(p.buf) && cap(p.buf) > maxIdleBuffer {
		p.buf = nil
	} else {
		p.buf = append(p.buf[:0], p.unparsed()...)
	}
	p.offset = 0
}

// nextLine returns the next line around a chunk or of the trailers, without its end. The line is valid until the next call of Feed. ok is
// false if the line is incomplete.
func (p *Parser) nextLine() (line []byte, ok bool, err error) {
	b := p.unparsed()
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if len(b) > maxHeadBytes {
			return nil, false, ErrTooBig
		}
		return nil, false, nil
	}
	p.offset += i + 1
	if err := p.addOverhead(i + 1); err != nil {
		return nil, false, err
	}
	return bytes.TrimSuffix(b[:i], []byte("\r")), true, nil
}

// readHead parses the status line and the headers. Heads of interim responses are skipped.
func (p *Parser) readHead() (response *Response, more bool, err error) {
	p.recordStatus()
	b := p.unparsed()
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, false, checkPartialHead(b)
	}
	if end > maxHeadBytes {
		return nil, false, ErrTooBig
	}
	r, err := parseHead(string(b[:end]))
	if err != nil {
		return nil, false, err
	}
	p.offset += end + len("\r\n\r\n")
	if r.interim() {
		err := p.addOverhead(end + len("\r\n\r\n"))
		return nil, err == nil, err
	}
	p.current = r
	if err := p.selectBodyFraming(); err != nil {
		return nil, false, err
	}
	if p.state == sizedBody && p.remaining == 0 {
		return p.finishResponse(), false, nil
	}
	return nil, true, nil
}

// checkPartialHead returns an error if b cannot be the beginning of a head.
func checkPartialHead(b []byte) error {
	if len(b) > maxHeadBytes {
		return ErrTooBig
	}
	if n := min(len(b), 5); string(b[:n]) != "HTTP/"[:n] {
		return ErrSyntax
	}
	return nil
}

// selectBodyFraming determines how the end of the body is found.
func (p *Parser) selectBodyFraming() error {
	coding, length := p.current.Header("Transfer-Encoding"), p.current.Header("Content-Length")
	switch {
	case p.current.Status == 204, p.current.Status == 304:
		p.state, p.remaining = sizedBody, 0
	case strings.EqualFold(coding, "chunked"):
		p.state = chunkSize
	case coding != "":
		return ErrSyntax
	case length != "":
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil {
			return ErrSyntax
		}
		if int(n) > p.MaxBodyBytes && !p.usesSink() {
			return ErrTooBig
		}
		p.state, p.remaining = sizedBody, int(n)
	default:
		p.state, p.current.Close = untilClose, true
	}
	return nil
}

// usesSink reports whether the body of the current response goes to Sink.
func (p *Parser) usesSink() bool { return p.Sink != nil && p.current.Status == 200 }

// readBody takes the received part of the body or of a chunk.
func (p *Parser) readBody() (response *Response, more bool, err error) {
	n := len(p.unparsed())
	if p.state != untilClose {
		n = min(n, p.remaining)
	}
	if err := p.takeBody(p.unparsed()[:n]); err != nil {
		return nil, false, err
	}
	p.offset += n
	p.remaining -= n
	switch {
	case p.state == untilClose || p.remaining > 0:
		return nil, false, nil
	case p.state == sizedBody:
		return p.finishResponse(), false, nil
	}
	p.state = chunkEnd
	return nil, true, nil
}

// takeBody passes a part of the body to Sink, or keeps it unless bodies are discarded.
func (p *Parser) takeBody(b []byte) error {
	if p.usesSink() {
		return p.Sink(b)
	}
	if p.bodyBytes += len(b); p.bodyBytes > p.MaxBodyBytes {
		return ErrTooBig
	}
	if !p.DiscardBody {
		p.current.Body = append(p.current.Body, b...)
	}
	return nil
}

// readChunkSize parses the line before a chunk. Chunk extensions are ignored.
func (p *Parser) readChunkSize() (more bool, err error) {
	line, ok, err := p.nextLine()
	if !ok || err != nil {
		return false, err
	}
	size, _, _ := strings.Cut(string(line), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return false, ErrSyntax
	}
	if n == 0 {
		p.state = trailers
		return true, nil
	}
	p.remaining, p.state = int(n), chunkData
	p.overhead = max(p.overhead-chunkAllowance, 0)
	return true, nil
}

// readChunkEnd parses the line end behind a chunk.
func (p *Parser) readChunkEnd() (more bool, err error) {
	line, ok, err := p.nextLine()
	if !ok || err != nil {
		return false, err
	}
	if len(line) > 0 {
		return false, ErrSyntax
	}
	p.state = chunkSize
	return true, nil
}

// readTrailer skips a trailer, or ends the response at the empty line behind the last one.
func (p *Parser) readTrailer() (response *Response, more bool, err error) {
	line, ok, err := p.nextLine()
	if !ok || err != nil {
		return nil, false, err
	}
	if len(line) == 0 {
		return p.finishResponse(), false, nil
	}
	return nil, true, nil
}
