// Package resp implements RESP2, the Redis serialization protocol: it parses and writes
// commands and replies. The parsers do no I/O: they take the bytes received and return
// whole commands or replies.
package resp

import (
	"errors"
	"strconv"
)

// Limits of a command. Exceeding one is an error.
const (
	MaxArgs         = 16
	MaxArgBytes     = 64 << 10 // bytes of one argument
	MaxCommandBytes = 80 << 10 // bytes of a whole command
	maxLengthLine   = 32       // bytes of a length line
)

// Parse errors. The connection must be closed, as command boundaries are no longer known.
var (
	ErrSyntax = errors.New("protocol error: expected an array of bulk strings")
	ErrLength = errors.New("protocol error: invalid length")
	ErrEmpty  = errors.New("protocol error: empty array")
	ErrTooBig = errors.New("protocol error: too big")
)

// Parser parses the commands of a connection.
type Parser struct {
	buf         []byte
	offset      int // offset of the first unparsed byte
	missingArgs int // arguments still missing; zero between commands
	argSize     int // size of the next argument; -1 until its length line is read
	args        [][]byte
	argBytes    int // bytes of all arguments so far
}

// Feed adds received bytes.
func (p *Parser) Feed(b []byte) {
	if p.offset > 0 && p.offset == len(p.buf) {
		p.buf, p.offset = p.buf[:0], 0
	}
	p.buf = append(p.buf, b...)
}

// Idle reports whether no part of a command is buffered.
func (p *Parser) Idle() bool { return p.missingArgs == 0 && p.offset == len(p.buf) }

// Buffered returns the number of bytes that are held of an incomplete command.
func (p *Parser) Buffered() int {
	n := len(p.buf) - p.offset
	for _, a := range p.args {
		n += len(a)
	}
	return n
}

// Unparsed returns the received part of an incomplete command. Feeding it to a new parser
// restores the state of this one.
func (p *Parser) Unparsed() []byte {
	var b []byte
	if p.missingArgs > 0 {
		b = append(strconv.AppendInt(append(b, '*'), int64(len(p.args)+p.missingArgs), 10), "\r\n"...)
		for _, a := range p.args {
			b = append(append(append(strconv.AppendInt(append(b, '$'), int64(len(a)), 10), "\r\n"...), a...), "\r\n"...)
		}
		if p.argSize >= 0 {
			b = append(strconv.AppendInt(append(b, '$'), int64(p.argSize), 10), "\r\n"...)
		}
	}
	return append(b, p.buf[p.offset:]...)
}

// Next returns the next complete command, or nil if there is none yet. After an error the
// stream is unusable. The caller may keep the arguments.
func (p *Parser) Next() ([][]byte, error) {
	for {
		if p.missingArgs == 0 {
			n, ok, err := p.lengthLine('*')
			if !ok || err != nil {
				return nil, err
			}
			if n > MaxArgs {
				return nil, ErrTooBig
			}
			if n <= 0 {
				return nil, ErrEmpty
			}
			p.missingArgs, p.argSize, p.args, p.argBytes = n, -1, nil, 0
		}
		if p.argSize < 0 {
			n, ok, err := p.lengthLine('$')
			if !ok || err != nil {
				return nil, err
			}
			if n < 0 {
				return nil, ErrLength
			}
			if p.argBytes += n; n > MaxArgBytes || p.argBytes > MaxCommandBytes {
				return nil, ErrTooBig
			}
			p.argSize = n
		}
		if len(p.buf)-p.offset < p.argSize+2 {
			p.compact()
			return nil, nil
		}
		end := p.offset + p.argSize
		if p.buf[end] != '\r' || p.buf[end+1] != '\n' {
			return nil, ErrSyntax
		}
		p.args = append(p.args, append([]byte{}, p.buf[p.offset:end]...))
		p.offset, p.argSize = end+2, -1
		if p.missingArgs--; p.missingArgs == 0 {
			args := p.args
			p.args = nil
			p.compact()
			return args, nil
		}
	}
}

// lengthLine parses a length line such as *3 or $12.
func (p *Parser) lengthLine(mark byte) (n int, ok bool, err error) {
	rest := p.buf[p.offset:]
	if len(rest) == 0 {
		p.compact()
		return 0, false, nil
	}
	if rest[0] != mark {
		return 0, false, ErrSyntax
	}
	for i := 1; i < len(rest); i++ {
		if rest[i] != '\n' {
			if i >= maxLengthLine {
				return 0, false, ErrLength
			}
			continue
		}
		if rest[i-1] != '\r' {
			return 0, false, ErrLength
		}
		n, err := strconv.Atoi(string(rest[1 : i-1]))
		if err != nil {
			return 0, false, ErrLength
		}
		p.offset += i + 1
		return n, true, nil
	}
	if len(rest) > maxLengthLine {
		return 0, false, ErrLength
	}
	p.compact()
	return 0, false, nil
}

// compact discards parsed bytes to keep the buffer small.
func (p *Parser) compact() {
	if p.offset == 0 {
		return
	}
	p.buf = append(p.buf[:0], p.buf[p.offset:]...)
	p.offset = 0
}

// Simple encodes a simple string such as +OK.
func Simple(text string) []byte { return []byte("+" + text + "\r\n") }

// Error encodes an error reply. text begins with an error code such as ERR. Line breaks are
// replaced by spaces.
func Error(text string) []byte {
	b := append([]byte("-"), text...)
	for i := range b {
		if b[i] == '\r' || b[i] == '\n' {
			b[i] = ' '
		}
	}
	return append(b, '\r', '\n')
}

// Bulk encodes a bulk string.
func Bulk(b []byte) []byte {
	out := append([]byte("$"), strconv.Itoa(len(b))...)
	out = append(append(out, '\r', '\n'), b...)
	return append(out, '\r', '\n')
}
