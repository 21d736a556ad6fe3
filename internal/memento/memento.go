// Package memento encodes the state of an unloaded destination in a compact binary form and decodes
// it. It does no I/O.
//
// The format is versioned: a byte with the version, then the fields in order. Numbers are 32-bit
// floats, big-endian; times are signed varints in milliseconds; counts are varints. An endpoint is
// identified by the 64-bit hash of its name, because endpoint numbers change each time a
// destination is loaded. Decode rejects unknown versions, truncated data and trailing bytes; it
// accepts the older version 1, which ends before Served, RepeatGap and Small.
package memento

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"snowjunction"
	"snowjunction/internal/record"
)

// Version is the format version that Encode writes.
const Version = 2

const minVersion = 1

// Limits of what Decode accepts; Encode omits entries above them.
const (
	MaxRoutes    = 64
	MaxEndpoints = 64
)

// ErrFormat wraps all errors of Decode.
var ErrFormat = errors.New("invalid destination snapshot")

// Name identifies an endpoint by the hash of its name.
type Name uint64

// NameOf returns the Name of an endpoint of the given name.
func NameOf(name string) Name { return Name(xxhash.Sum64String(name)) }

// Memento is a destination's state with the names of its endpoints, in the order of
// State.EndpointsSeen, whose endpoint numbers are not used.
type Memento struct {
	State snowjunction.State
	Names []Name
}

type encoder []byte

func (w *encoder) float(v float64) {
	*w = binary.BigEndian.AppendUint32(*w, math.Float32bits(float32(v)))
}
func (w *encoder) count(n int) { *w = binary.AppendUvarint(*w, uint64(max(n, 0))) }
func (w *encoder) time(d time.Duration) {
	*w = binary.AppendVarint(*w, int64(d.Round(time.Millisecond)/time.Millisecond))
}

// wait rounds up, because a retry-after delay must not end early.
func (w *encoder) wait(d time.Duration) {
	if d > 0 {
		d += time.Millisecond - 1
	}
	*w = binary.AppendVarint(*w, int64(d/time.Millisecond))
}

// Encode appends the encoded form of m to b.
func Encode(b []byte, m *Memento) []byte {
	w, s := encoder(b), &m.State
	w = append(w, Version)
	for _, v := range []float64{s.Recent, s.Best, s.Peak, s.Window, s.First, s.Repeats} {
		w.float(v)
	}
	routes := s.Routes[:min(len(s.Routes), MaxRoutes)]
	w.count(len(routes))
	for _, r := range routes {
		for _, v := range []float64{r.Limit, r.Left, r.Pace, r.ColdSends} {
			w.float(v)
		}
		w.time(r.Gap)
		w.wait(r.Wait)
		w.count(r.Fulls)
		w.time(r.FullAgo)
	}
	eps := s.EndpointsSeen[:min(len(s.EndpointsSeen), len(m.Names), MaxEndpoints)]
	w.count(len(eps))
	for i, e := range eps {
		w = binary.BigEndian.AppendUint64(w, uint64(m.Names[i]))
		flags := byte(e.Condition) & 3
		if e.Vouched {
			flags |= 4
		}
		plain := e.Condition == snowjunction.Serving && e.Fails == 0
		if plain {
			flags |= 8 // no further fields
		}
		w = append(w, flags)
		w.count(e.Route)
		w.float(e.Latency)
		if plain {
			continue
		}
		w.count(e.Fails)
		for _, t := range []time.Duration{e.For, e.Failed, e.DownFor, e.Backoff, e.Trial} {
			w.time(t)
		}
	}
	w.float(s.Served)
	w.time(s.RepeatGap)
	w.time(s.Small)
	return w
}

type decoder struct{ record.Reader }

func (r *decoder) float() float64 {
	b := r.Take(4)
	if b == nil {
		return 0
	}
	v := float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		r.Bad = true
	}
	return v
}

func (r *decoder) count(most int) int { return int(r.Uint(uint64(most))) }

func (r *decoder) name() Name {
	b := r.Take(8)
	if b == nil {
		return 0
	}
	return Name(binary.BigEndian.Uint64(b))
}

// maxTime is the longest time that is accepted: ten years.
const maxTime = 10 * 365 * 24 * time.Hour

func (r *decoder) time() time.Duration {
	v := r.Int()
	if most := int64(maxTime / time.Millisecond); v > most || v < -most {
		r.Bad = true
		return 0
	}
	return time.Duration(v) * time.Millisecond
}

// Decode decodes a snapshot that Encode has written. Its errors wrap ErrForm.
func Decode(b []byte) (*Memento, error) {
	if len(b) == 0 || b[0] < minVersion || b[0] > Version {
		return nil, fmt.Errorf("%w: unknown version", ErrFormat)
	}
	r, m := &decoder{record.Reader{B: b[1:]}}, &Memento{}
	s := &m.State
	for _, v := range []*float64{&s.Recent, &s.Best, &s.Peak, &s.Window, &s.First, &s.Repeats} {
		*v = r.float()
	}
	for n := r.count(MaxRoutes); n > 0 && !r.Bad; n-- {
		var x snowjunction.RouteState
		for _, v := range []*float64{&x.Limit, &x.Left, &x.Pace, &x.ColdSends} {
			*v = r.float()
		}
		x.Gap, x.Wait, x.Fulls, x.FullAgo = r.time(), r.time(), r.count(math.MaxInt32), r.time()
		s.Routes = append(s.Routes, x)
	}
	for n := r.count(MaxEndpoints); n > 0 && !r.Bad; n-- {
		m.Names = append(m.Names, r.name())
		flags := r.Byte()
		e := snowjunction.EndpointState{
			Condition: snowjunction.Condition(flags & 3), Vouched: flags&4 != 0,
			Route: r.count(MaxRoutes), Latency: r.float(),
		}
		if e.Condition > snowjunction.Warming || flags > 15 {
			r.Bad = true
		}
		if flags&8 == 0 {
			e.Fails = r.count(math.MaxInt32)
			for _, t := range []*time.Duration{&e.For, &e.Failed, &e.DownFor, &e.Backoff, &e.Trial} {
				*t = r.time()
			}
		}
		s.EndpointsSeen = append(s.EndpointsSeen, e)
	}
	if b[0] > 1 {
		s.Served, s.RepeatGap, s.Small = r.float(), r.time(), r.time()
	}
	if r.Bad || len(r.B) > 0 {
		return nil, fmt.Errorf("%w: truncated or damaged", ErrFormat)
	}
	return m, nil
}
