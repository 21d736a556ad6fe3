// Package exclusions holds which endpoints staff have taken out by hand, whatever a list
// says of them, and which of them have come back a while ago. It does no I/O, reads no
// clock and starts no goroutine.
package exclusions

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	"snowjunction/internal/record"
)

// Bounds of what is kept.
const (
	Most     = 128 // endpoints that are out, or have come back a while ago
	NameMost = 128 // bytes of a name
	Bytes    = Most * (record.Frame + 2*binary.MaxVarintLen64 + 2 + NameMost)
)

// ErrMany tells that no further endpoint can be taken out.
var ErrMany = errors.New("too many endpoints are out")

// Stay is how long an endpoint has been out. While Back is zero it still is.
type Stay struct{ Out, Back time.Time }

// Set is what is out, by name.
type Set struct {
	stays map[string]Stay
	cold  time.Duration
}

// New returns a set that remembers for so long that an endpoint has come back.
func New(cold time.Duration) *Set { return &Set{stays: map[string]Stay{}, cold: cold} }

// Exclude takes an endpoint out. That it may be out already changes nothing.
func (s *Set) Exclude(name string, now time.Time) error {
	if s.Out(name) {
		return nil
	}
	s.forget(now)
	if _, known := s.stays[name]; !known && len(s.stays) >= Most || len(name) > NameMost {
		return ErrMany
	}
	s.stays[name] = Stay{Out: now}
	return nil
}

// Include lets an endpoint serve again and tells whether it was out.
func (s *Set) Include(name string, now time.Time) bool {
	stay, known := s.stays[name]
	if !known || !stay.Back.IsZero() {
		return false
	}
	s.stays[name] = Stay{Out: stay.Out, Back: now}
	return true
}

// Out tells whether an endpoint is out.
func (s *Set) Out(name string) bool {
	stay, known := s.stays[name]
	return known && stay.Back.IsZero()
}

// Cold is how long an endpoint was out that has come back a while ago; 0: it has not. A
// clock that was set back makes it longer, never shorter.
func (s *Set) Cold(name string, now time.Time) time.Duration {
	stay, known := s.stays[name]
	if !known || stay.Back.IsZero() || now.Sub(stay.Back) >= s.cold {
		return 0
	}
	return max(stay.Back.Sub(stay.Out), 1)
}

// Names are those that are out, in order.
func (s *Set) Names() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(s.stays)) {
		if s.Out(name) {
			out = append(out, name)
		}
	}
	return out
}

// forget drops those that have been back for long.
func (s *Set) forget(now time.Time) {
	maps.DeleteFunc(s.stays, func(_ string, stay Stay) bool {
		return !stay.Back.IsZero() && now.Sub(stay.Back) >= s.cold
	})
}

// Encode is the set in the form that lasts, a record for each endpoint.
func (s *Set) Encode(now time.Time) (out []byte) {
	s.forget(now)
	for _, name := range slices.Sorted(maps.Keys(s.stays)) {
		stay := s.stays[name]
		b := binary.AppendVarint(make([]byte, record.Frame), stay.Out.UnixMilli())
		back := int64(0)
		if !stay.Back.IsZero() {
			back = stay.Back.UnixMilli()
		}
		out = append(out, record.Seal(record.AppendText(binary.AppendVarint(b, back), name))...)
	}
	return out
}

// Decode takes what can be read of b into the set, and tells how many bytes cannot.
func (s *Set) Decode(b []byte) (lost int) {
	for len(b) > 0 {
		payload, rest, err := record.Open(b, Bytes)
		r := record.Reader{B: payload}
		out, back := r.Int(), r.Int()
		name := r.Text(NameMost)
		if err != nil || r.Bad || name == "" || len(s.stays) >= Most {
			return len(b)
		}
		stay := Stay{Out: time.UnixMilli(out)}
		if back != 0 {
			stay.Back = time.UnixMilli(back)
		}
		s.stays[name] = stay
		b = rest
	}
	return 0
}
