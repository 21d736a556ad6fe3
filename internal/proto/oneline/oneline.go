// Package oneline parses the call on a connection to the console listener (the second address).
// Each connection carries one call: a line with a command word and an optional argument. The
// parser does no I/O.
package oneline

import (
	"bytes"
	"errors"
	"strings"
)

// MaxLineBytes is the maximum length of a line in bytes, without the line end.
const MaxLineBytes = 256

// Errors returned by Feed.
var (
	ErrTooLong      = errors.New("the line is too long")
	ErrEmpty        = errors.New("a call is wanted")
	ErrNotPrintable = errors.New("a call is printable ASCII")
	ErrTooManyWords = errors.New("a call is a word and at most one argument")
)

// Call is a parsed call.
type Call struct{ Command, Arg string }

// Parser parses one call. The zero value is ready to use.
type Parser struct {
	buf  []byte
	done bool
}

// Feed parses received bytes. ok is true once the line is complete; bytes after it are ignored.
func (p *Parser) Feed(b []byte) (c Call, ok bool, err error) {
	if p.done {
		return c, false, nil
	}
	n := bytes.IndexByte(b, '\n')
	if n < 0 {
		if p.buf = append(p.buf, b[:min(len(b), MaxLineBytes+2)]...); len(p.buf) > MaxLineBytes+1 { // may end with \r
			p.done, p.buf = true, nil
			return c, false, ErrTooLong
		}
		return c, false, nil
	}
	line := append(p.buf, b[:min(n, MaxLineBytes+2)]...)
	p.done, p.buf = true, nil
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) > MaxLineBytes {
		return c, false, ErrTooLong
	}
	for _, x := range line {
		if x < ' ' || x > '~' {
			return c, false, ErrNotPrintable
		}
	}
	words := strings.Fields(string(line))
	switch len(words) {
	case 0:
		return c, false, ErrEmpty
	case 1:
		return Call{Command: words[0]}, true, nil
	case 2:
		return Call{Command: words[0], Arg: words[1]}, true, nil
	}
	return c, false, ErrTooManyWords
}
