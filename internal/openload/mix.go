// Package openload is an open-loop load generator over real sockets: it submits messages to a
// courier at a given rate, independent of the courier's responses and their latency. Each latency is
// measured from the time at which the message was due to be sent, not from when it was sent, so that
// a stall of the server counts for all messages due during the stall (no coordinated omission).
//
// The generation of messages (mix.go) and the statistics (record.go) do no I/O and read no clock.
package openload

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"snowjunction/internal/standin/load"
)

// Mix describes the messages to submit. Messages of class order are ordered by key and have an
// idempotency key; all others are of class status.
type Mix struct {
	Rate             float64       // messages per second
	Duration         time.Duration // duration of the run
	Even             bool          // constant intervals instead of a Poisson process
	PushShare        float64       // share of messages over HTTP/2; the rest is sent over RESP2
	OrderShare       float64       // share of messages of class order
	MessagesPerKey   float64       // mean number of messages per ordering key
	StatusKeyedShare float64       // share of status messages with an idempotency key
	Skew             float64       // exponent of the Zipf distribution of destinations
	RESPDestinations []uint32      // destinations over RESP2, most popular first
	PushDestinations []uint32      // destinations over HTTP/2, most popular first
	Tenant           string
	Prefix           string // prefix of message IDs
	Seed             uint64
	Deadline         time.Duration // time to live of orders; status messages have two fifths of it
}

func (m *Mix) check() error {
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	switch {
	case !(m.Rate > 0) || math.IsInf(m.Rate, 0):
		return errors.New("the rate must be over 0")
	case m.Duration <= 0:
		return errors.New("the run time must be greater than 0")
	case !share(m.PushShare) || !share(m.OrderShare) || !share(m.StatusKeyedShare):
		return errors.New("shares must be between 0 and 1")
	case m.MessagesPerKey < 1:
		return errors.New("the mean number of messages per key must be at least 1")
	case m.Skew < 0:
		return errors.New("the skew must not be negative")
	case m.PushShare < 1 && len(m.RESPDestinations) == 0, m.PushShare > 0 && len(m.PushDestinations) == 0:
		return errors.New("a front in use has no destination")
	}
	return nil
}

// timedMessage is a message and the time, from the start of the run, at which it is due to be sent.
type timedMessage struct {
	dueAt time.Duration
	load.Message
}

// generator generates the messages of a mix in order of time. Equal seeds give equal messages.
type generator struct {
	Mix
	rng               *rand.Rand
	nextAt            time.Duration
	count             int
	cumulativeWeights [2][]float64 // by front: cumulative weights of the destinations
	currentKeys       map[uint32]*currentKey
	lastKey           uint64
}

// currentKey is the current ordering key of a destination.
type currentKey struct {
	key, seq  uint64
	remaining int // messages until the next key
}

func newGenerator(m Mix) (*generator, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	s := &generator{Mix: m, rng: rand.New(rand.NewPCG(m.Seed, 0x10ad)), currentKeys: map[uint32]*currentKey{}}
	for i, destinations := range [][]uint32{m.RESPDestinations, m.PushDestinations} {
		sum := 0.0
		for n := range destinations {
			sum += math.Pow(float64(n+1), -m.Skew)
			s.cumulativeWeights[i] = append(s.cumulativeWeights[i], sum)
		}
	}
	return s, nil
}

// next returns the next message. ok is false after the last.
func (s *generator) next() (x timedMessage, ok bool) {
	if s.Even {
		s.nextAt = time.Duration(float64(s.count) / s.Rate * float64(time.Second))
	} else {
		s.nextAt += time.Duration(s.rng.ExpFloat64() / s.Rate * float64(time.Second))
	}
	if s.nextAt >= s.Duration {
		return x, false
	}
	s.count++
	x.dueAt = s.nextAt
	x.ID = fmt.Sprintf("%s%d", s.Prefix, s.count)
	x.Tenant = s.Tenant
	x.Message.Push = s.rng.Float64() < s.PushShare
	x.Destination = s.pickDestination(x.Message.Push)
	x.HasIdempotencyKey = s.rng.Float64() < s.StatusKeyedShare
	x.Class, x.TTL = "status", s.Deadline*2/5
	if s.rng.Float64() < s.OrderShare {
		x.Class, x.TTL, x.HasIdempotencyKey = "order", s.Deadline, true
		key := s.currentKeys[x.Destination]
		if key == nil || key.remaining == 0 {
			s.lastKey++
			key = &currentKey{key: s.lastKey, remaining: 1 + int(s.rng.ExpFloat64()*(s.MessagesPerKey-1))}
			s.currentKeys[x.Destination] = key
		}
		key.remaining--
		key.seq++
		x.Key, x.Seq = key.key, key.seq
	}
	return x, true
}

// pickDestination draws a destination of a front by popularity.
func (s *generator) pickDestination(push bool) uint32 {
	destinations, weights := s.RESPDestinations, s.cumulativeWeights[0]
	if push {
		destinations, weights = s.PushDestinations, s.cumulativeWeights[1]
	}
	at := s.rng.Float64() * weights[len(weights)-1]
	for i, x := range weights {
		if at < x {
			return destinations[i]
		}
	}
	return destinations[len(destinations)-1]
}
