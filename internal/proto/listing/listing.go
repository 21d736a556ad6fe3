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
	ErrSyntax       = errors.New("not a list in JSON")
	ErrTooBig       = errors.New("the list is too big")
	ErrNoGeneration = errors.New("no generation")
)

// Limits that are not set in Reader.
const (
	maxValueBytes = 16 << 10 // bytes of one entry, or of the value of another member
	maxKeyBytes   = 256      // bytes of a member's name
	maxDepth      = 32       // nested objects and arrays in one value
)

// Reader parses one list. Entry is called for each of its instances. The value is valid only
// during the call.
type Reader struct {
	OnEntry    func(v *fastjson.Value) error
	MaxBytes   int // bytes
	MaxEntries int // entries

	Generation uint64
	Complete   bool // the list is complete rather than a set of changes (member "reset")
	Entries    int  // number of instances read
	// TotalPartitions is the total number of partitions if the list contains only the requested ones.
	// Zero means that the list is not partitioned, -1 that the value is invalid.
	TotalPartitions int

	size           int
	position       position
	key            string
	instancesSeen  bool // the instances have been read
	generationSeen bool // the generation has been read
	buf            []byte
	scanner        valueScanner
	parser         fastjson.Parser
	err            error
}

// position is a position in the syntax of a list.
type position int

const (
	beforeObject    position = iota // before {
	beforeKey                       // before a member's name, or }
	afterComma                      // after a comma
	beforeColon                     // before :
	beforeValue                     // before a member's value
	inValue                         // in a member's value
	afterValue                      // after a member's value
	beforeEntry                     // in instances: before an entry, or ]
	afterEntryComma                 // after a comma
	inEntry                         // in an entry
	afterEntry                      // after an entry
	afterObject                     // after }
)

// valueScanner finds the end of a JSON value.
type valueScanner struct {
	begun, quoted, escaped, scalar bool
	depth                          int
}

// consume returns how many bytes of b belong to the value, and whether the value ends with
// them.
func (s *valueScanner) consume(b []byte) (n int, ended bool, err error) {
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
			if s.depth++; s.depth > maxDepth {
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

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

// ReceivedBytes returns the number of bytes received.
func (r *Reader) ReceivedBytes() int { return r.size }

// Feed parses received bytes. After an error it returns the same error again.
func (r *Reader) Feed(b []byte) error {
	if r.err == nil {
		r.err = r.feed(b)
	}
	return r.err
}

func (r *Reader) feed(b []byte) error {
	if r.size += len(b); r.size > r.MaxBytes {
		return fmt.Errorf("%w: over %d bytes", ErrTooBig, r.MaxBytes)
	}
	for len(b) > 0 {
		if r.position == inValue || r.position == inEntry {
			n, ended, err := r.scanner.consume(b)
			if err != nil {
				return err
			}
			if len(r.buf)+n > maxValueBytes {
				return fmt.Errorf("%w: a value over %d bytes", ErrTooBig, maxValueBytes)
			}
			r.buf = append(r.buf, b[:n]...)
			b = b[n:]
			if !ended {
				return nil
			}
			if err := r.finishValue(); err != nil {
				return err
			}
			continue
		}
		if c := b[0]; !isSpace(c) {
			valueBegins, err := r.step(c)
			if err != nil {
				return err
			}
			if valueBegins {
				continue
			}
		}
		b = b[1:]
	}
	return nil
}

// step processes a byte between values. It returns true if a value begins with this byte.
func (r *Reader) step(c byte) (valueBegins bool, err error) {
	beginValue := func(p position) (bool, error) {
		r.position, r.scanner, r.buf = p, valueScanner{}, r.buf[:0]
		return true, nil
	}
	switch {
	case r.position == beforeObject && c == '{':
		r.position = beforeKey
	case (r.position == beforeKey || r.position == afterComma) && c == '"':
		r.key = ""
		return beginValue(inValue)
	case (r.position == beforeKey || r.position == afterValue) && c == '}':
		r.position = afterObject
	case r.position == beforeColon && c == ':':
		r.position = beforeValue
	case r.position == beforeValue && r.key == "instances" && c == '[':
		if r.instancesSeen {
			return false, fmt.Errorf("%w: duplicate member instances", ErrSyntax)
		}
		r.instancesSeen, r.position = true, beforeEntry
	case r.position == beforeValue && c != '}' && c != ']' && c != ',':
		return beginValue(inValue)
	case r.position == afterValue && c == ',':
		r.position = afterComma
	case (r.position == beforeEntry || r.position == afterEntry) && c == ']':
		r.position, r.key = afterValue, ""
	case (r.position == beforeEntry || r.position == afterEntryComma) && c == '{':
		return beginValue(inEntry)
	case r.position == afterEntry && c == ',':
		r.position = afterEntryComma
	default:
		return false, fmt.Errorf("%w: unexpected %q", ErrSyntax, c)
	}
	return false, nil
}

// finishValue processes a complete value.
func (r *Reader) finishValue() error {
	v, err := r.parser.ParseBytes(r.buf)
	if err != nil {
		return fmt.Errorf("%w: %s", ErrSyntax, bytes.TrimSpace([]byte(err.Error())))
	}
	switch {
	case r.position == inEntry:
		if r.Entries++; r.Entries > r.MaxEntries {
			return fmt.Errorf("%w: over %d entries", ErrTooBig, r.MaxEntries)
		}
		r.position = afterEntry
		if err := r.OnEntry(v); err != nil {
			return fmt.Errorf("instances[%d]: %w", r.Entries-1, err)
		}
	case r.key == "":
		if len(r.buf) > maxKeyBytes {
			return fmt.Errorf("%w: a name over %d bytes", ErrTooBig, maxKeyBytes)
		}
		text, _ := v.StringBytes()
		r.key, r.position = string(text), beforeColon
		if r.key == "" {
			r.key = " " // matches no known member
		}
	default:
		r.position = afterValue
		switch r.key {
		case "generation":
			if r.Generation, err = strconv.ParseUint(string(r.buf), 10, 64); err != nil {
				return fmt.Errorf("generation: %w", ErrSyntax)
			}
			r.generationSeen = true
		case "partitions":
			n, err := strconv.ParseUint(string(r.buf), 10, 31)
			if r.TotalPartitions = int(n); err != nil || n == 0 {
				r.TotalPartitions = -1
			}
		case "reset":
			r.Complete = v.Type() == fastjson.TypeTrue
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
	case r.position != afterObject:
		r.err = fmt.Errorf("%w: it ends too early", ErrSyntax)
	case !r.generationSeen:
		r.err = ErrNoGeneration
	}
	return r.err
}
