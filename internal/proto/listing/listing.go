// Package listing parses the list of a target group as sent by the discovery service: a
// JSON object of any size, parsed incrementally. It does no I/O and buffers one entry at
// a time.
package listing

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"
)

// Parse errors. A list with an error is unusable.
var (
	ErrSyntax  = errors.New("invalid JSON list")
	ErrTooBig  = errors.New("the list is too big")
	ErrMissing = errors.New("no generation")
)

// Limits that are not set in Reader.
const (
	entryMost = 16 << 10 // bytes of one entry, or of the value of another member
	keyMost   = 256      // bytes of a member's name
	depthMost = 32       // nested objects and arrays in one value
)

// Reader parses one list. Entry is called for each of its instances. The value is valid only
// during the call.
type Reader struct {
	Entry   func(v *fastjson.Value) error
	MaxSize int // bytes
	MaxList int // entries

	Generation uint64
	Full       bool // the list is complete rather than a set of changes (member "reset")
	Entries    int  // number of instances read
	// Partitions is the total number of partitions if the list contains only the requested ones.
	// Zero means that the list is not partitioned, -1 that the value is invalid.
	Partitions int

	size   int
	at     place
	key    string
	listed bool // the instances have been read
	known  bool // the generation has been read
	buf    []byte
	scan   scan
	parser fastjson.Parser
	err    error
}

// place is a position in the syntax of a list.
type place int

const (
	start    place = iota // before {
	key                   // before a member's name, or }
	nextKey               // after a comma
	colon                 // before :
	value                 // before a member's value
	inValue               // in a member's value
	after                 // after a member's value
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

// consume returns how many bytes of b belong to the value, and whether the value ends with
// them.
func (s *scan) take(b []byte) (n int, ended bool, err error) {
	for i := 0; i < len(b); i++ {
		if s.quoted && !s.escaped { // fast path: most of a list consists of strings
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

// Size returns the number of bytes received.
func (r *Reader) Size() int { return r.size }

// Feed parses received bytes. After an error it returns the same error again.
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

// step processes a byte between values. It returns true if a value begins with this byte.
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
			return false, fmt.Errorf("%w: duplicate member instances", ErrSyntax)
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
		return false, fmt.Errorf("%w: unexpected %q", ErrSyntax, c)
	}
	return false, nil
}

// finishValue processes a complete value.
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
			r.key = " " // matches no known member
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

// End must be called after the last byte. It returns an error if the list is incomplete.
func (r *Reader) End() error {
	switch {
	case r.err != nil:
		return r.err
	case r.at != end:
		r.err = fmt.Errorf("%w: unexpected end", ErrSyntax)
	case !r.known:
		r.err = ErrMissing
	}
	return r.err
}
