package learnedstate

import (
	"math"
	"time"

	"snowjunction"
)

// Mark is the part of a destination's state that decides whether it is written again.
type Mark struct {
	at      time.Time
	state   uint64 // conditions of the endpoints, and the number of consecutive rejections per route
	limit   float64
	pace    float64
	gap     float64
	retries float64
	latency float64
}

// maxMarkAge is the time after which a state with small changes is written again, and
// retriesMarkAge that for retries, which leave the retry budget window soon.
const (
	minLatency     = 0.01 // seconds: smaller latencies are treated as equal
	maxMarkAge     = 30 * time.Second
	retriesMarkAge = 2 * time.Second
)

// MarkOf returns the mark of a state at a time.
func MarkOf(s *snowjunction.DestinationSnapshot, at time.Time) Mark {
	m := Mark{at: at, retries: s.Retries, latency: math.Max(s.Latency, minLatency)}
	for _, r := range s.Routes {
		m.limit += r.Limit
		m.pace += r.PacingRate
		m.gap += r.CallGap.Seconds()
		m.state = m.state*31 + uint64(min(r.Rejections, 5))
	}
	for _, e := range s.Endpoints {
		n := uint64(e.Condition) + 1
		if e.Failures > 0 {
			n += 4
		}
		m.state = m.state*31 + n
	}
	return m
}

// Differs reports whether the state differs enough from one that was written before.
func (m Mark) Differs(was Mark) bool {
	age := m.at.Sub(was.at)
	switch {
	case m.state != was.state, age >= maxMarkAge:
		return true
	case differs(m.limit, was.limit, 0.1), differs(m.pace, was.pace, 0.25), differs(m.gap, was.gap, 0.5), differs(m.latency, was.latency, 0.5):
		return true
	}
	return age >= retriesMarkAge && differs(m.retries, was.retries, 0.5)
}

// differs reports whether a differs from b by more than the given share of the larger one.
func differs(a, b, share float64) bool {
	return math.Abs(a-b) > share*math.Max(math.Abs(a), math.Abs(b))
}
