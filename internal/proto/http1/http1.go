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
)

// Response is an HTTP response.
type Response struct {
	Status int
	Close  bool // the connection closes after this response
	Body   []byte
	header []field
}

type field struct{ name, value string }

// Header returns the value of the first header with the given name, ignoring case, or "".
func (r *Response) Header(name string) string {
	for _, f := range r.header {
		if strings.EqualFold(f.name, name) {
			return f.value
		}
	}
	return ""
}

// EachHeader calls f for every header, in order.
func (r *Response) EachHeader(f func(name, value string)) {
	for _, h := range r.header {
		f(h.name, h.value)
	}
}

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

// Parser parses the responses of a connection. MaxBody limits a body, in bytes.
type Parser struct {
	MaxBodyBytes int
	// Sink, if set, receives the bodies of responses with status 200 in pieces as they arrive.
	// MaxBody does not apply to them. Next returns the errors of Sink.
	Sink      func(b []byte) error
	buf       []byte
	state     state
	remaining int       // remaining bytes of the body or chunk
	current   *Response // response being parsed
	status    int       // status of the response being received; zero until its status line is complete
}

// Feed adds received bytes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// HasPartialResponse reports whether part of a response has been received.
func (p *Parser) HasPartialResponse() bool { return len(p.buf) > 0 || p.state != head }

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
		switch p.state {
		case head:
			p.recordStatus()
			ok, err := p.readHead()
			if !ok || err != nil {
				return nil, err
			}
			if p.current.Status/100 == 1 { // interim response: the final one follows
				p.current, p.state, p.status = nil, head, 0
				continue
			}
			if p.state == sizedBody && p.remaining == 0 {
				return p.finishResponse(), nil
			}
		case sizedBody, chunkData, untilClose:
			n := len(p.buf)
			if p.state != untilClose {
				n = min(n, p.remaining)
			}
			if p.Sink != nil && p.current.Status == 200 {
				if err := p.Sink(p.buf[:n]); err != nil {
					return nil, err
				}
			} else {
				if len(p.current.Body)+n > p.MaxBodyBytes {
					return nil, ErrTooBig
				}
				p.current.Body = append(p.current.Body, p.buf[:n]...)
			}
			p.consume(n)
			p.remaining -= n
			switch {
			case p.state == untilClose || p.remaining > 0:
				return nil, nil
			case p.state == sizedBody:
				return p.finishResponse(), nil
			}
			p.state = chunkEnd
		case chunkSize, chunkEnd, trailers:
			line, ok, err := p.nextLine()
			if !ok || err != nil {
				return nil, err
			}
			switch {
			case p.state == chunkEnd && len(line) > 0:
				return nil, ErrSyntax
			case p.state == chunkEnd:
				p.state = chunkSize
			case p.state == trailers && len(line) == 0:
				return p.finishResponse(), nil
			case p.state == chunkSize:
				size, _, _ := strings.Cut(string(line), ";")
				n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
				if err != nil {
					return nil, ErrSyntax
				}
				if p.remaining, p.state = int(n), chunkData; n == 0 {
					p.state = trailers
				}
			}
		}
	}
}

func (p *Parser) finishResponse() *Response {
	r := p.current
	p.current, p.state, p.remaining, p.status = nil, head, 0, 0
	return r
}

// recordStatus records the status as soon as the status line is complete. The status is final
// even if the rest of the response fails.
func (p *Parser) recordStatus() {
	line, _, ok := bytes.Cut(p.buf[:min(len(p.buf), maxHeadBytes)], []byte("\r\n"))
	if status, err := parseStatusLine(string(line)); ok && err == nil && status/100 != 1 {
		p.status = status
	}
}

func (p *Parser) consume(n int) { p.buf = append(p.buf[:0], p.buf[n:]...) }

// nextLine returns the next line without its end. ok is false if the line is incomplete.
func (p *Parser) nextLine() ([]byte, bool, error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 {
		if len(p.buf) > maxHeadBytes {
			return nil, false, ErrTooBig
		}
		return nil, false, nil
	}
	line := append([]byte(nil), bytes.TrimSuffix(p.buf[:i], []byte("\r"))...)
	p.consume(i + 1)
	return line, true, nil
}

// readHead parses the status line and the headers. It returns false if they are incomplete.
func (p *Parser) readHead() (bool, error) {
	end := bytes.Index(p.buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(p.buf) > maxHeadBytes {
			return false, ErrTooBig
		}
		if n := min(len(p.buf), 5); string(p.buf[:n]) != "HTTP/"[:n] {
			return false, ErrSyntax
		}
		return false, nil
	}
	if end > maxHeadBytes {
		return false, ErrTooBig
	}
	lines := strings.Split(string(p.buf[:end]), "\r\n")
	p.consume(end + 4)
	if len(lines) > maxHeaders+1 {
		return false, ErrTooBig
	}
	status, err := parseStatusLine(lines[0])
	if err != nil {
		return false, err
	}
	r := &Response{Status: status, Close: strings.HasPrefix(lines[0], "HTTP/1.0")}
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return false, ErrSyntax
		}
		r.header = append(r.header, field{name, strings.TrimSpace(value)})
	}
	for _, token := range strings.Split(r.Header("Connection"), ",") {
		switch strings.ToLower(strings.TrimSpace(token)) {
		case "close":
			r.Close = true
		case "keep-alive":
			r.Close = false
		}
	}
	p.current = r
	return true, p.selectBodyFraming()
}

// parseStatusLine returns the status of a status line.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, ErrSyntax
	}
	return status, nil
}

// selectBodyFraming determines how the end of the body is found.
func (p *Parser) selectBodyFraming() error {
	coding, length := p.current.Header("Transfer-Encoding"), p.current.Header("Content-Length")
	switch {
	case p.current.Status/100 == 1, p.current.Status == 204, p.current.Status == 304:
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
		if int(n) > p.MaxBodyBytes && (p.Sink == nil || p.current.Status != 200) {
			return ErrTooBig
		}
		p.state, p.remaining = sizedBody, int(n)
	default:
		p.state, p.current.Close = untilClose, true
	}
	return nil
}

// Request returns an encoded request. headers alternates names and values. The headers and the
// path must not contain line breaks, which has to be checked by their source.
func Request(method, path, host string, body []byte, headers ...string) []byte {
	b := make([]byte, 0, 256+len(body))
	b = append(b, method...)
	b = append(append(append(b, ' '), path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), '\r', '\n')
	for i := 0; i+1 < len(headers); i += 2 {
		b = append(append(append(b, headers[i]...), ": "...), headers[i+1]...)
		b = append(b, '\r', '\n')
	}
	if method != "GET" {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10), '\r', '\n')
	}
	b = append(b, '\r', '\n')
	return append(b, body...)
}
