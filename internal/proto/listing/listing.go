// Package listing reads a target group's list as discovery writes it, a JSON
// object of any size, piece by piece as it comes. It does no I/O and holds one
// entry at a time.
package listing

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"
)

// Errors that spoil a list.
var (
	ErrSyntax  = errors.New("not a list in JSON")
	ErrTooBig  = errors.New("the list is too big")
	ErrMissing = errors.New("no generation")
)

// Bounds of what is not bounded by Reader's own.
const (
	entryMost = 16 << 10 // bytes of one entry, or of another member's value
	keyMost   = 256
	depthMost = 32
)

// Reader reads one list. Entry is called for each of its instances, with what
// is the Reader's until the call returns.
type Reader struct {
	Entry   func(v *fastjson.Value) error
	MaxSize int // bytes
	MaxList int // entries

	Generation uint64
	Full       bool
	Entries    int
	// Partitions is of how many the list's writer has picked those that were asked for; 0: it has
	// told all, -1: what it says of them cannot be read.
	Partitions int

	size   int
	at     place
	key    string
	listed bool // the instances have come
	known  bool // the generation has come
	buf    []byte
	scan   scan
	parser fastjson.Parser
	err    error
}

type place int

const (
	start    place = iota // before {
	key                   // before a member's name, or }
	nextKey               // after a comma
	colon                 // before :
	value                 // before a member's value
	inValue               // in it
	after                 // after it
	element               // in instances: before an entry, or ]
	nextElem              // after a comma
	inElem                // in an entry
	behind                // after an entry
	end                   // after }
)

// scan finds the end of a JSON value.
type scan struct {
	begun, quoted, escaped, scalar bool
	depth                          int
}

// take returns how many bytes of b belong to the value, and whether it ends
// with them.
func (s *scan) take(b []byte) (n int, ended bool, err error) {
	for i := 0; i < len(b); i++ {
		if s.quoted && !s.escaped { // most of a list is text
			for i < len(b) && b[i] != '"' && b[i] != '\\' {
				i++
			}
			if i == len(b) {
				break
			}
		}
		switch c := b[i]; {
		case s.escaped:
			s.escaped = false
		case s.quoted:
			if c == '\\' {
				s.escaped = true
			} else if c == '"' {
				s.quoted = false
				if s.depth == 0 {
					return i + 1, true, nil
				}
			}
		case s.scalar:
			switch c {
			case ',', ']', '}', ' ', '\t', '\r', '\n':
				return i, true, nil
			}
		case c == '"':
			s.quoted = true
		case c == '{', c == '[':
			if s.depth++; s.depth > depthMost {
				return 0, false, fmt.Errorf("%w: nested too deeply", ErrSyntax)
			}
		case c == '}', c == ']':
			if s.depth--; s.depth < 0 {
				return 0, false, ErrSyntax
			}
			if s.depth == 0 {
				return i + 1, true, nil
			}
		case s.depth == 0:
			s.scalar = true
		}
	}
	return len(b), false, nil
}

func space(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

// Size is how many bytes have come.
func (r *Reader) Size() int { return r.size }

// Feed reads what has come. After an error it returns that again.
func (r *Reader) Feed(b []byte) error {
	if r.err == nil {
		r.err = r.feed(b)
	}
	return r.err
}

func (r *Reader) feed(b []byte) error {
	if r.size += len(b); r.size > r.MaxSize {
		return fmt.Errorf("%w: over %d bytes", ErrTooBig, r.MaxSize)
	}
	for len(b) > 0 {
		if r.at == inValue || r.at == inElem {
			n, ended, err := r.scan.take(b)
			if err != nil {
				return err
			}
			if len(r.buf)+n > entryMost {
				return fmt.Errorf("%w: a value over %d bytes", ErrTooBig, entryMost)
			}
			r.buf = append(r.buf, b[:n]...)
			b = b[n:]
			if !ended {
				return nil
			}
			if err := r.whole(); err != nil {
				return err
			}
			continue
		}
		if c := b[0]; !space(c) {
			stay, err := r.step(c)
			if err != nil {
				return err
			}
			if stay {
				continue
			}
		}
		b = b[1:]
	}
	return nil
}

// step takes one byte between values. It returns true where a value begins
// with it.
func (r *Reader) step(c byte) (stay bool, err error) {
	begin := func(p place) (bool, error) {
		r.at, r.scan, r.buf = p, scan{}, r.buf[:0]
		return true, nil
	}
	switch {
	case r.at == start && c == '{':
		r.at = key
	case (r.at == key || r.at == nextKey) && c == '"':
		r.key = ""
		return begin(inValue)
	case (r.at == key || r.at == after) && c == '}':
		r.at = end
	case r.at == colon && c == ':':
		r.at = value
	case r.at == value && r.key == "instances" && c == '[':
		if r.listed {
			return false, fmt.Errorf("%w: instances come twice", ErrSyntax)
		}
		r.listed, r.at = true, element
	case r.at == value && c != '}' && c != ']' && c != ',':
		return begin(inValue)
	case r.at == after && c == ',':
		r.at = nextKey
	case (r.at == element || r.at == behind) && c == ']':
		r.at, r.key = after, ""
	case (r.at == element || r.at == nextElem) && c == '{':
		return begin(inElem)
	case r.at == behind && c == ',':
		r.at = nextElem
	default:
		return false, fmt.Errorf("%w: %q out of place", ErrSyntax, c)
	}
	return false, nil
}

// whole takes a value that has come whole.
func (r *Reader) whole() error {
	v, err := r.parser.ParseBytes(r.buf)
	if err != nil {
		return fmt.Errorf("%w: %s", ErrSyntax, bytes.TrimSpace([]byte(err.Error())))
	}
	switch {
	case r.at == inElem:
		if r.Entries++; r.Entries > r.MaxList {
			return fmt.Errorf("%w: over %d entries", ErrTooBig, r.MaxList)
		}
		r.at = behind
		if err := r.Entry(v); err != nil {
			return fmt.Errorf("instances[%d]: %w", r.Entries-1, err)
		}
	case r.key == "":
		if len(r.buf) > keyMost {
			return fmt.Errorf("%w: a name over %d bytes", ErrTooBig, keyMost)
		}
		text, _ := v.StringBytes()
		r.key, r.at = string(text), colon
		if r.key == "" {
			r.key = " " // names nothing that is used
		}
	default:
		r.at = after
		switch r.key {
		case "generation":
			if r.Generation, err = strconv.ParseUint(string(r.buf), 10, 64); err != nil {
				return fmt.Errorf("generation: %w", ErrSyntax)
			}
			r.known = true
		case "partitions":
			n, err := strconv.ParseUint(string(r.buf), 10, 31)
			if r.Partitions = int(n); err != nil || n == 0 {
				r.Partitions = -1
			}
		case "reset":
			r.Full = v.Type() == fastjson.TypeTrue
		case "instances":
			if v.Type() != fastjson.TypeNull {
				return fmt.Errorf("instances: %w", ErrSyntax)
			}
		}
		r.key = ""
	}
	return nil
}

// End tells that no more comes. The list must be whole.
func (r *Reader) End() error {
	switch {
	case r.err != nil:
		return r.err
	case r.at != end:
		r.err = fmt.Errorf("%w: it ends too early", ErrSyntax)
	case !r.known:
		r.err = ErrMissing
	}
	return r.err
}
