// Package exclusions stores which endpoints an operator has excluded, whatever a list says about
// them, and which of them were included again recently. It does no I/O, reads no clock and starts
// no goroutine.
package exclusions

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	"snowjunction/internal/record"
)

// Limits of the set.
const (
	MaxEndpoints = 128 // endpoints that are excluded or were included again recently
	MaxNameBytes = 128 // bytes of an endpoint name
	MaxBytes     = MaxEndpoints * (record.FrameSize + 2*binary.MaxVarintLen64 + 2 + MaxNameBytes)
)

// ErrTooMany is returned if no further endpoint can be excluded.
var ErrTooMany = errors.New("too many endpoints are excluded")

// Exclusion is the exclusion of an endpoint. Back is zero while the endpoint is excluded.
type Exclusion struct{ Out, Back time.Time }

// Set holds the exclusions by endpoint name.
type Set struct {
	exclusions map[string]Exclusion
	coldFor    time.Duration
}

// New returns an empty set. It remembers for the duration cold that an endpoint was included again.
func New(cold time.Duration) *Set { return &Set{exclusions: map[string]Exclusion{}, coldFor: cold} }

// Exclude excludes an endpoint. It has no effect on an endpoint that is excluded already.
func (s *Set) Exclude(name string, now time.Time) error {
	if s.Excluded(name) {
		return nil
	}
	s.removeOld(now)
	if _, known := s.exclusions[name]; !known && len(s.exclusions) >= MaxEndpoints || len(name) > MaxNameBytes {
		return ErrTooMany
	}
	s.exclusions[name] = Exclusion{Out: now}
	return nil
}

// Include ends an exclusion and reports whether the endpoint was excluded.
func (s *Set) Include(name string, now time.Time) bool {
	stay, known := s.exclusions[name]
	if !known || !stay.Back.IsZero() {
		return false
	}
	s.exclusions[name] = Exclusion{Out: stay.Out, Back: now}
	return true
}

// Excluded reports whether an endpoint is excluded.
func (s *Set) Excluded(name string) bool {
	stay, known := s.exclusions[name]
	return known && stay.Back.IsZero()
}

// WasExcludedFor returns how long an endpoint was excluded if it was included again recently, else zero. If
// the clock was set back, the recent period gets longer, never shorter.
func (s *Set) WasExcludedFor(name string, now time.Time) time.Duration {
	stay, known := s.exclusions[name]
	if !known || stay.Back.IsZero() || now.Sub(stay.Back) >= s.coldFor {
		return 0
	}
	return max(stay.Back.Sub(stay.Out), 1)
}

// Names returns the excluded endpoints in sorted order.
func (s *Set) Names() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(s.exclusions)) {
		if s.Excluded(name) {
			out = append(out, name)
		}
	}
	return out
}

// removeOld removes endpoints that were included again long ago.
func (s *Set) removeOld(now time.Time) {
	maps.DeleteFunc(s.exclusions, func(_ string, stay Exclusion) bool {
		return !stay.Back.IsZero() && now.Sub(stay.Back) >= s.coldFor
	})
}

// Encode returns the stored form of the set: a record for each endpoint.
func (s *Set) Encode(now time.Time) (out []byte) {
	s.removeOld(now)
	for _, name := range slices.Sorted(maps.Keys(s.exclusions)) {
		stay := s.exclusions[name]
		b := binary.AppendVarint(make([]byte, record.FrameSize), stay.Out.UnixMilli())
		back := int64(0)
		if !stay.Back.IsZero() {
			back = stay.Back.UnixMilli()
		}
		out = append(out, record.Seal(record.AppendText(binary.AppendVarint(b, back), name))...)
	}
	return out
}

// Decode adds the records in b to the set and returns the number of bytes that cannot be read.
func (s *Set) Decode(b []byte) (lost int) {
	for len(b) > 0 {
		payload, rest, err := record.Open(b, MaxBytes)
		r := record.Reader{Data: payload}
		out, back := r.Int(), r.Int()
		name := r.Text(MaxNameBytes)
		if err != nil || r.Failed || name == "" || len(s.exclusions) >= MaxEndpoints {
			return len(b)
		}
		stay := Exclusion{Out: time.UnixMilli(out)}
		if back != 0 {
			stay.Back = time.UnixMilli(back)
		}
		s.exclusions[name] = stay
		b = rest
	}
	return 0
}
