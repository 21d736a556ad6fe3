package http1

import (
	"strconv"
	"strings"
)

// Unparsed returns bytes that bring a new parser with the same settings into the state of this one: the
// incomplete response as far as it is kept, in an encoding of its own. Of a body that is discarded only
// what is still to come is announced. Unparsed must not be used with a Sink.
func (p *Parser) Unparsed() []byte {
	if p.state == head {
		return append([]byte(nil), p.unparsed()...)
	}
	body := p.current.Body
	if p.DiscardBody { // a chunk that has ended is not empty
		body = make([]byte, min(p.bodyBytes, 1))
	}
	return append(p.appendParsed(nil, body), p.unparsed()...)
}

// appendParsed appends the parsed part of the current response, with this part of its body.
func (p *Parser) appendParsed(b, body []byte) []byte {
	switch p.state {
	case sizedBody:
		b = p.current.appendHead(b, len(body)+p.remaining)
		return append(b, body...)
	case untilClose:
		b = p.current.appendHead(b, unknownLength)
		return append(b, body...)
	}
	b = p.current.appendHead(b, unknownLength)
	if size := len(body) + p.remaining; size > 0 {
		b = append(strconv.AppendInt(b, int64(size), 16), "\r\n"...)
		b = append(b, body...)
	}
	switch p.state {
	case chunkSize:
		b = endChunk(b, body)
	case trailers:
		b = append(endChunk(b, body), "0\r\n"...)
	}
	return b
}

// endChunk appends the line end behind the chunk that holds a body, if there is one.
func endChunk(b, body []byte) []byte {
	if len(body) == 0 {
		return b
	}
	return append(b, "\r\n"...)
}

// unknownLength is the length of a body whose end is not found by its length.
const unknownLength = -1

// appendHead appends the encoded status line and headers, which are not longer than the received ones. The
// content length is replaced unless it is unknownLength.
func (r *Response) appendHead(b []byte, contentLength int) []byte {
	b = append(append(b, r.version...), ' ')
	b = append(strconv.AppendInt(b, int64(r.Status), 10), "\r\n"...)
	for _, h := range r.header {
		if contentLength != unknownLength && strings.EqualFold(h.name, "Content-Length") {
			continue
		}
		b = append(append(append(b, h.name...), ':'), h.value...)
		b = append(b, "\r\n"...)
	}
	if contentLength != unknownLength {
		b = append(strconv.AppendInt(append(b, "Content-Length:"...), int64(contentLength), 10), "\r\n"...)
	}
	return append(b, "\r\n"...)
}
