// Package resp reads the requests of RESP2 clients and writes its answers. The
// parser does no I/O: it is fed what has come and yields whole commands.
package resp

import (
	"errors"
	"strconv"
)

// Bounds of a command: more is an error.
const (
	MaxArgs  = 16
	MaxBulk  = 64 << 10 // bytes of one argument
	MaxTotal = 80 << 10 // bytes of a whole command
	maxLine  = 32       // of a length line
)

// Errors that end a connection, as no boundary is known any more.
var (
	ErrSyntax = errors.New("protocol error: expected an array of bulk strings")
	ErrLength = errors.New("protocol error: invalid length")
	ErrTooBig = errors.New("protocol error: too big")
)

// Parser takes commands out of a stream.
type Parser struct {
	buf  []byte
	pos  int // of the first byte not looked at
	want int // arguments still to come; 0: between commands
	size int // of the next argument; -1: its length line is to come
	args [][]byte
	sum  int
}

// Feed adds what has come.
func (p *Parser) Feed(b []byte) {
	if p.pos > 0 && p.pos == len(p.buf) {
		p.buf, p.pos = p.buf[:0], 0
	}
	p.buf = append(p.buf, b...)
}

// Idle tells that no command has begun.
func (p *Parser) Idle() bool { return p.want == 0 && p.pos == len(p.buf) }

// Rest is what has come of a command that is not whole: a parser fed with it stands where
// this one does.
func (p *Parser) Rest() []byte {
	var b []byte
	if p.want > 0 {
		b = append(strconv.AppendInt(append(b, '*'), int64(len(p.args)+p.want), 10), "\r\n"...)
		for _, a := range p.args {
			b = append(append(append(strconv.AppendInt(append(b, '$'), int64(len(a)), 10), "\r\n"...), a...), "\r\n"...)
		}
		if p.size >= 0 {
			b = append(strconv.AppendInt(append(b, '$'), int64(p.size), 10), "\r\n"...)
		}
	}
	return append(b, p.buf[p.pos:]...)
}

// Next returns the next whole command, or nil until there is one. After an
// error the stream is of no use. The arguments are the caller's to keep.
func (p *Parser) Next() ([][]byte, error) {
	for {
		if p.want == 0 {
			n, ok, err := p.length('*')
			if !ok || err != nil {
				return nil, err
			}
			if n > MaxArgs {
				return nil, ErrTooBig
			}
			if n <= 0 { // an empty array asks nothing
				continue
			}
			p.want, p.size, p.args, p.sum = n, -1, nil, 0
		}
		if p.size < 0 {
			n, ok, err := p.length('$')
			if !ok || err != nil {
				return nil, err
			}
			if n < 0 {
				return nil, ErrLength
			}
			if p.sum += n; n > MaxBulk || p.sum > MaxTotal {
				return nil, ErrTooBig
			}
			p.size = n
		}
		if len(p.buf)-p.pos < p.size+2 {
			p.compact()
			return nil, nil
		}
		end := p.pos + p.size
		if p.buf[end] != '\r' || p.buf[end+1] != '\n' {
			return nil, ErrSyntax
		}
		p.args = append(p.args, append([]byte{}, p.buf[p.pos:end]...))
		p.pos, p.size = end+2, -1
		if p.want--; p.want == 0 {
			args := p.args
			p.args = nil
			p.compact()
			return args, nil
		}
	}
}

// length reads a line such as *3 or $12.
func (p *Parser) length(mark byte) (n int, ok bool, err error) {
	rest := p.buf[p.pos:]
	if len(rest) == 0 {
		p.compact()
		return 0, false, nil
	}
	if rest[0] != mark {
		return 0, false, ErrSyntax
	}
	for i := 1; i < len(rest); i++ {
		if rest[i] != '\n' {
			if i >= maxLine {
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
		p.pos += i + 1
		return n, true, nil
	}
	if len(rest) > maxLine {
		return 0, false, ErrLength
	}
	return 0, false, nil
}

// compact gives back what has been read, so that the buffer stays bounded.
func (p *Parser) compact() {
	if p.pos == 0 {
		return
	}
	p.buf = append(p.buf[:0], p.buf[p.pos:]...)
	p.pos = 0
}

// Simple is a simple string such as +OK.
func Simple(text string) []byte { return []byte("+" + text + "\r\n") }

// Error is an error answer; text begins with its code, such as ERR.
func Error(text string) []byte {
	b := append([]byte("-"), text...)
	for i := range b {
		if b[i] == '\r' || b[i] == '\n' {
			b[i] = ' '
		}
	}
	return append(b, '\r', '\n')
}

// Bulk is a bulk string.
func Bulk(b []byte) []byte {
	out := append([]byte("$"), strconv.Itoa(len(b))...)
	out = append(append(out, '\r', '\n'), b...)
	return append(out, '\r', '\n')
}
