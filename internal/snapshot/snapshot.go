// Package snapshot encodes the state of an unloaded destination in a compact binary form and decodes
// it. It does no I/O.
//
// The format is versioned: a byte with the version, then the fields in order. Numbers are 32-bit
// floats, big-endian; times are signed varints in milliseconds; counts are varints. An endpoint is
// identified by the 64-bit hash of its name, because endpoint numbers change each time a
// destination is loaded. Decode rejects unknown versions, truncated data and trailing bytes; it
// accepts the older version 1, which ends before Successes, RetryGap and SmallTableFor.
package snapshot

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

// EndpointHash identifies an endpoint by the hash of its name.
type EndpointHash uint64

// HashName returns the EndpointHash of an endpoint of the given name.
func HashName(name string) EndpointHash { return EndpointHash(xxhash.Sum64String(name)) }

// Snapshot is a destination's state with the names of its endpoints, in the order of
// State.Endpoints, whose endpoint numbers are not used.
type Snapshot struct {
	State snowjunction.DestinationSnapshot
	Names []EndpointHash
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
func Encode(b []byte, m *Snapshot) []byte {
	w, s := encoder(b), &m.State
	w = append(w, Version)
	for _, v := range []float64{s.Latency, s.BestLatency, s.PeakRate, s.Window, s.FirstAttempts, s.Retries} {
		w.float(v)
	}
	routes := s.Routes[:min(len(s.Routes), MaxRoutes)]
	w.count(len(routes))
	for _, r := range routes {
		for _, v := range []float64{r.Limit, r.LimitLeft, r.PacingRate, r.ColdCalls} {
			w.float(v)
		}
		w.time(r.CallGap)
		w.wait(r.BlockedFor)
		w.count(r.Rejections)
		w.time(r.SinceRejection)
	}
	eps := s.Endpoints[:min(len(s.Endpoints), len(m.Names), MaxEndpoints)]
	w.count(len(eps))
	for i, e := range eps {
		w = binary.BigEndian.AppendUint64(w, uint64(m.Names[i]))
		flags := byte(e.Condition) & 3
		if e.TrialSafe {
			flags |= 4
		}
		plain := e.Condition == snowjunction.Serving && e.Failures == 0
		if plain {
			flags |= 8 // no further fields
		}
		w = append(w, flags)
		w.count(e.Route)
		w.float(e.Latency)
		if plain {
			continue
		}
		w.count(e.Failures)
		for _, t := range []time.Duration{e.SinceCondition, e.SinceFailure, e.LastOutage, e.Backoff, e.UntilTrial} {
			w.time(t)
		}
	}
	w.float(s.Successes)
	w.time(s.RetryGap)
	w.time(s.SmallTableFor)
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
		r.Failed = true
	}
	return v
}

func (r *decoder) count(most int) int { return int(r.Uint(uint64(most))) }

func (r *decoder) name() EndpointHash {
	b := r.Take(8)
	if b == nil {
		return 0
	}
	return EndpointHash(binary.BigEndian.Uint64(b))
}

// maxTime is the longest time that is accepted: ten years.
const maxTime = 10 * 365 * 24 * time.Hour

func (r *decoder) time() time.Duration {
	v := r.Int()
	if most := int64(maxTime / time.Millisecond); v > most || v < -most {
		r.Failed = true
		return 0
	}
	return time.Duration(v) * time.Millisecond
}

// Decode decodes a snapshot that Encode has written. Its errors wrap ErrFormat.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) == 0 || b[0] < minVersion || b[0] > Version {
		return nil, fmt.Errorf("%w: unknown version", ErrFormat)
	}
	r, m := &decoder{record.Reader{Data: b[1:]}}, &Snapshot{}
	s := &m.State
	for _, v := range []*float64{&s.Latency, &s.BestLatency, &s.PeakRate, &s.Window, &s.FirstAttempts, &s.Retries} {
		*v = r.float()
	}
	for n := r.count(MaxRoutes); n > 0 && !r.Failed; n-- {
		var x snowjunction.RouteSnapshot
		for _, v := range []*float64{&x.Limit, &x.LimitLeft, &x.PacingRate, &x.ColdCalls} {
			*v = r.float()
		}
		x.CallGap, x.BlockedFor, x.Rejections, x.SinceRejection = r.time(), r.time(), r.count(math.MaxInt32), r.time()
		s.Routes = append(s.Routes, x)
	}
	for n := r.count(MaxEndpoints); n > 0 && !r.Failed; n-- {
		m.Names = append(m.Names, r.name())
		flags := r.Byte()
		e := snowjunction.EndpointSnapshot{
			Condition: snowjunction.Condition(flags & 3), TrialSafe: flags&4 != 0,
			Route: r.count(MaxRoutes), Latency: r.float(),
		}
		if e.Condition > snowjunction.Recovering || flags > 15 {
			r.Failed = true
		}
		if flags&8 == 0 {
			e.Failures = r.count(math.MaxInt32)
			for _, t := range []*time.Duration{&e.SinceCondition, &e.SinceFailure, &e.LastOutage, &e.Backoff, &e.UntilTrial} {
				*t = r.time()
			}
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	if b[0] > 1 {
		s.Successes, s.RetryGap, s.SmallTableFor = r.float(), r.time(), r.time()
	}
	if r.Failed || len(r.Data) > 0 {
		return nil, fmt.Errorf("%w: truncated or damaged", ErrFormat)
	}
	return m, nil
}
