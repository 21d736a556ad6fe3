package core

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/idempotency"
	"snowjunction/internal/store"
)

// Request is a message submitted through a listener.
type Request struct {
	Origin         int // front number
	ID             string
	IdempotencyKey string
	Key            uint64
	Class, Tenant  string
	Destination    uint32
	TimeLeft       time.Duration // time left until its deadline
	Resubmitted    bool          // the client marks it as a resubmission
	Forwarded      bool          // by another courier; the core makes no difference
	Body           []byte
}

// Verdict is the answer to the client that submits a message.
type Verdict int

// Verdicts.
const (
	Accepted      Verdict = iota // accepted: the courier will report a final result
	FixedResponse                // fixed response: not accepted, safe to resubmit
	Failed                       // not accepted, and resubmitting is pointless
)

// Answer is the single answer to a Request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // with FixedResponse: retry delay; 0 means no advice
}

// AnswerFunc receives the answer to a Request, with the message if it was accepted. It returns
// false if the client has disconnected.
type AnswerFunc func(a Answer, taken *store.Message) bool

// Limits of a request.
const (
	MaxBody      = 64 << 10  // bytes
	maxTextBytes = 64        // bytes of an id or idempotency key
	maxTimeLeft  = time.Hour // far longer than any deadline: a greater value is a client error
)

// ErrRequest is wrapped by all errors about malformed requests.
var ErrRequest = errors.New("invalid message")

// Submit is the first stage of the chain. It returns an error for a malformed request, and then
// does not call answer. Otherwise answer is called exactly once, soon.
func (c *Core) Submit(request Request, answer AnswerFunc) error {
	class, err := c.Validate(request)
	if err != nil {
		c.Counters.Malformed++
		return err
	}
	c.Counters.In++
	if f := c.flowsByRef[messageRef{request.Origin, request.ID}]; f != nil {
		// The client lost its connection and resubmits an open message, or another client uses the
		// same id. The first request still gets its answer.
		if first := f.answer; first != nil {
			f.answer = func(a Answer, m *store.Message) bool {
				received := first(a, m)
				return answer(a, m) || received
			}
		} else {
			answer(Answer{Verdict: Accepted}, f.msg)
		}
		return nil
	}
	f := &flow{class: class, answer: answer, msg: &store.Message{
		Origin: byte(request.Origin), ID: request.ID, IdempotencyKey: request.IdempotencyKey, Key: request.Key,
		Destination: request.Destination, Class: request.Class, Tenant: request.Tenant,
		Deadline: c.Loop.Now().Add(request.TimeLeft), Resubmitted: request.Resubmitted, Body: request.Body,
	}}
	c.admit(f)
	return nil
}

// idempotencyKey returns the key by which the endpoint recognizes the flow's message.
func (f *flow) idempotencyKey() idempotency.Key {
	return idempotency.Key{Destination: f.msg.Destination, Text: f.msg.IdempotencyKey}
}

// rememberAttempt remembers that an attempt of a flow may run from the given time on.
func (c *Core) rememberAttempt(f *flow, sentAt, window time.Duration) {
	if f.keyed() {
		// The window as the client counts it is up to two slacks longer.
		c.attemptedKeys.AttemptSent(f.idempotencyKey(), f.msg.ID, sentAt, window+2*windowSlack)
	}
}

// keyed reports whether a flow has an idempotency window.
func (f *flow) keyed() bool {
	return f.class.Effect == snowjunction.Keyed && f.msg.IdempotencyKey != ""
}

// ranSince returns the time of the first attempt that may have run or is in flight, or the zero
// time.
func ranSince(m *store.Message) time.Time {
	if !m.MayHaveRun && m.InFlight {
		return m.InFlightSince
	}
	return m.MayHaveRunSince
}

// inWindow reports whether a flow may be sent with regard to all flows held under its idempotency
// key. The module does not know what has been sent under another id.
func (c *Core) inWindow(f *flow) bool {
	if !f.keyed() {
		return true
	}
	for _, other := range c.flowsByIdempotencyKey[f.idempotencyKey()] {
		since := ranSince(other.msg)
		if (other != f || other.msg.MayHaveRun) && !since.IsZero() && c.Loop.Now().Sub(since) >= f.class.Window-2*c.Settings.Tick {
			return false
		}
	}
	return true
}

// unbindKey removes an ended flow from its idempotency key. If it may have run, the remaining flows
// of the key stay within its window, in the next process as well.
func (c *Core) unbindKey(f *flow) {
	if !f.keyed() {
		return
	}
	others := slices.DeleteFunc(c.flowsByIdempotencyKey[f.idempotencyKey()], func(other *flow) bool { return other == f })
	if c.flowsByIdempotencyKey[f.idempotencyKey()] = others; len(others) == 0 {
		delete(c.flowsByIdempotencyKey, f.idempotencyKey())
	}
	since := ranSince(f.msg)
	for _, other := range others {
		if !other.ended && !other.msg.MayHaveRun && !since.IsZero() {
			c.markRanUnderOtherID(other, since)
		}
	}
}

// markRanUnderOtherID records that a flow's message may have run under another id since then.
func (c *Core) markRanUnderOtherID(f *flow, since time.Time) {
	f.msg.MayHaveRun, f.msg.MayHaveRunSince = true, since
	if err := c.Journal.Rewrite(f.msg); err != nil {
		c.Log.Error("journal", "err", err)
	}
}

// Accepting reports whether messages are accepted.
func (c *Core) Accepting() bool { return !c.draining && !c.frozen }

// Validate validates a request and returns its class.
func (c *Core) Validate(request Request) (*snowjunction.Class, error) {
	invalid := func(format string, args ...any) (*snowjunction.Class, error) {
		return nil, fmt.Errorf("%w: %s", ErrRequest, fmt.Sprintf(format, args...))
	}
	classIndex, known := c.classes[request.Class]
	_, tenantKnown := c.tenants[request.Tenant]
	switch {
	case !headerSafe(request.ID):
		return invalid("the id must be 1 to %d letters, digits, '-', '_' or '.'", maxTextBytes)
	case request.IdempotencyKey != "" && !headerSafe(request.IdempotencyKey):
		return invalid("the idempotency key must be 1 to %d letters, digits, '-', '_' or '.'", maxTextBytes)
	case !known:
		return invalid("unknown class %q", request.Class)
	case !tenantKnown && (request.Tenant != "" || len(c.tenants) > 0):
		return invalid("unknown tenant %q", request.Tenant)
	case request.TimeLeft <= 0 || request.TimeLeft > maxTimeLeft:
		return invalid("the time left must be over 0 and at most %v", maxTimeLeft)
	case len(request.Body) > MaxBody:
		return invalid("the body must be %d bytes at most", MaxBody)
	case c.Settings.Classes[classIndex].Effect == snowjunction.Keyed && request.IdempotencyKey == "":
		return invalid("class %q needs an idempotency key", request.Class)
	}
	return &c.Settings.Classes[classIndex], nil
}

// headerSafe reports whether s can be used as a header value without escaping.
func headerSafe(s string) bool {
	if s == "" || len(s) > maxTextBytes {
		return false
	}
	for _, b := range []byte(s) {
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && b != '-' && b != '_' && b != '.' {
			return false
		}
	}
	return true
}
