// Package oneline reads the one call that a connection to the second address carries: a
// line of a word and, for some, an argument. It does no I/O.
package oneline

import (
	"bytes"
	"errors"
	"strings"
)

// Most is how long a line may be, its end not counted.
const Most = 256

// Errors of Feed.
var (
	ErrLong  = errors.New("the line is too long")
	ErrEmpty = errors.New("a call is wanted")
	ErrText  = errors.New("a call is printable ASCII")
	ErrWords = errors.New("a call is a word and at most one argument")
)

// Call is what was asked for.
type Call struct{ Word, Arg string }

// Parser reads one call. Its zero value is ready.
type Parser struct {
	held []byte
	over bool
}

// Feed takes what has come. ok tells that the line is whole; what follows it is dropped.
func (p *Parser) Feed(b []byte) (c Call, ok bool, err error) {
	if p.over {
		return c, false, nil
	}
	n := bytes.IndexByte(b, '\n')
	if n < 0 {
		if p.held = append(p.held, b[:min(len(b), Most+2)]...); len(p.held) > Most+1 { // a \r may be its end's
			p.over, p.held = true, nil
			return c, false, ErrLong
		}
		return c, false, nil
	}
	line := append(p.held, b[:min(n, Most+2)]...)
	p.over, p.held = true, nil
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) > Most {
		return c, false, ErrLong
	}
	for _, x := range line {
		if x < ' ' || x > '~' {
			return c, false, ErrText
		}
	}
	words := strings.Fields(string(line))
	switch len(words) {
	case 0:
		return c, false, ErrEmpty
	case 1:
		return Call{Word: words[0]}, true, nil
	case 2:
		return Call{Word: words[0], Arg: words[1]}, true, nil
	}
	return c, false, ErrWords
}
