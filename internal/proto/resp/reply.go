package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of a reply. Exceeding one is an error.
const (
	MaxReplyLineBytes = 512     // bytes of a simple string or an error, without the line end
	MaxReplyBulkBytes = 4 << 10 // bytes of a bulk string
)

// Errors of ReplyParser. The connection must be closed.
var (
	ErrInvalidReply = errors.New("protocol error: invalid reply")
	ErrReplyTooBig  = errors.New("protocol error: the reply is too big")
)

// ReplyParser parses the replies of a connection: simple strings, errors and bulk strings. All other
// types, including null bulk strings, are errors.
type ReplyParser struct {
	buf      []byte
	searched int // bytes of buf already searched for a line end
	err      error
}

// Feed adds received bytes.
func (p *ReplyParser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Idle reports whether no part of a reply is buffered.
func (p *ReplyParser) Idle() bool { return len(p.buf) == 0 }

// Next returns the next complete reply in its encoded form, or nil if there is none yet. After an
// error the stream is unusable. The caller may keep the reply.
func (p *ReplyParser) Next() ([]byte, error) {
	if p.err != nil || len(p.buf) == 0 {
		return nil, p.err
	}
	n, err := p.replyLength()
	if p.err = err; n == 0 || err != nil {
		return nil, err
	}
	reply := append([]byte(nil), p.buf[:n]...)
	p.buf, p.searched = append(p.buf[:0], p.buf[n:]...), 0
	return reply, nil
}

// replyLength returns the encoded length of the first reply, or zero if it is incomplete.
func (p *ReplyParser) replyLength() (int, error) {
	maxLineBytes := MaxReplyLineBytes
	switch p.buf[0] {
	case '+', '-':
	case '$':
		maxLineBytes = maxLengthLine
	default:
		return 0, ErrInvalidReply
	}
	index := bytes.IndexByte(p.buf[p.searched:], '\n')
	switch {
	case index < 0 && len(p.buf) > maxLineBytes+1: // the last byte may be the \r of the line end
		return 0, ErrReplyTooBig
	case index < 0:
		p.searched = len(p.buf)
		return 0, nil
	}
	end := p.searched + index + 1
	switch line := p.buf[:end]; {
	case end-2 > maxLineBytes:
		return 0, ErrReplyTooBig
	case line[end-2] != '\r' || bytes.IndexByte(line[:end-2], '\r') >= 0:
		return 0, ErrInvalidReply
	case line[0] != '$':
		return end, nil
	}
	size, err := strconv.ParseUint(string(p.buf[1:end-2]), 10, 31)
	switch {
	case err != nil:
		return 0, ErrLength
	case size > MaxReplyBulkBytes:
		return 0, ErrReplyTooBig
	case len(p.buf) < end+int(size)+2:
		return 0, nil
	}
	if end += int(size); p.buf[end] != '\r' || p.buf[end+1] != '\n' {
		return 0, ErrInvalidReply
	}
	return end + 2, nil
}

// Command encodes a command as an array of bulk strings.
func Command(args ...[]byte) []byte {
	n := 16
	for _, a := range args {
		n += len(a) + 16
	}
	b := make([]byte, 0, n)
	b = append(strconv.AppendInt(append(b, '*'), int64(len(args)), 10), '\r', '\n')
	for _, a := range args {
		b = append(strconv.AppendInt(append(b, '$'), int64(len(a)), 10), '\r', '\n')
		b = append(append(b, a...), '\r', '\n')
	}
	return b
}
