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
	Left           time.Duration // time left until its deadline
	Again          bool
	Forwarded      bool // by another courier; the core makes no difference
	Body           []byte
}

// Verdict is the answer to the client that submits a message.
type Verdict int

// Verdicts.
const (
	Taken  Verdict = iota // accepted: the courier will report a final result
	Fixed                 // fixed response: not accepted, safe to resubmit
	Failed                // not accepted, and resubmitting is pointless
)

// Answer is the single answer to a Request.
type Answer struct {
	Verdict Verdict
	After   time.Duration // with Fixed: retry delay; 0 means no advice
}

// AnswerFunc receives the answer to a Request, with the message if it was accepted. It returns
// false if the client has disconnected.
type AnswerFunc func(a Answer, taken *store.Message) bool

// Limits of a request.
const (
	MaxBody      = 64 << 10
	maxTextBytes = 64        // bytes of an id or idempotency key
	maxTimeLeft  = time.Hour // far longer than any deadline: a greater value is a client error
)

// ErrRequest is wrapped by all errors about malformed requests.
var ErrRequest = errors.New("invalid message")

// TakeIn is the first stage of the chain. It returns an error for a malformed request, and then
// does not call answer. Otherwise answer is called exactly once, soon.
func (c *Core) TakeIn(r Request, answer AnswerFunc) error {
	class, err := c.Check(r)
	if err != nil {
		c.Counters.Malformed++
		return err
	}
	c.Counters.In++
	if f := c.flowsByRef[messageRef{r.Origin, r.ID}]; f != nil {
		// The client lost its connection and resubmits an open message, or another client uses the
		// same id. The first request still gets its answer.
		if first := f.answer; first != nil {
			f.answer = func(a Answer, m *store.Message) bool {
				there := first(a, m)
				return answer(a, m) || there
			}
		} else {
			answer(Answer{Verdict: Taken}, f.msg)
		}
		return nil
	}
	f := &flow{class: class, answer: answer, msg: &store.Message{
		Origin: byte(r.Origin), ID: r.ID, IdempotencyKey: r.IdempotencyKey, Key: r.Key,
		Destination: r.Destination, Class: r.Class, Tenant: r.Tenant,
		Deadline: c.Loop.Now().Add(r.Left), Again: r.Again, Body: r.Body,
	}}
	c.admit(f)
	return nil
}

// idempotencyKey returns the key by which the endpoint recognizes the flow's message.
func (f *flow) idempotencyKey() idempotency.Key {
	return idempotency.Key{Destination: f.msg.Destination, Text: f.msg.IdempotencyKey}
}

// rememberAttempt remembers that an attempt of a flow may run from the given time on.
func (c *Core) rememberAttempt(f *flow, at, window time.Duration) {
	if f.keyed() {
		c.attemptedKeys.AttemptSent(f.idempotencyKey(), f.msg.ID, at, window+2*windowSlack) // as the client counts the window
	}
}

// keyed reports whether a flow has an idempotency window.
func (f *flow) keyed() bool {
	return f.class.Effect == snowjunction.Keyed && f.msg.IdempotencyKey != ""
}

// ranSince returns the time of the first attempt that may have run or is in flight, or the zero
// time.
func ranSince(m *store.Message) time.Time {
	if !m.Ran && m.Out {
		return m.OutSince
	}
	return m.RanSince
}

// inWindow reports whether a flow may be sent with regard to all flows held under its idempotency
// key. The module does not know what has been sent under another id.
func (c *Core) inWindow(f *flow) bool {
	if !f.keyed() {
		return true
	}
	for _, o := range c.flowsByIdempotencyKey[f.idempotencyKey()] {
		since := ranSince(o.msg)
		if (o != f || o.msg.Ran) && !since.IsZero() && c.Loop.Now().Sub(since) >= f.class.Window-2*c.Settings.Tick {
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
	others := slices.DeleteFunc(c.flowsByIdempotencyKey[f.idempotencyKey()], func(o *flow) bool { return o == f })
	if c.flowsByIdempotencyKey[f.idempotencyKey()] = others; len(others) == 0 {
		delete(c.flowsByIdempotencyKey, f.idempotencyKey())
	}
	since := ranSince(f.msg)
	for _, o := range others {
		if !o.ended && !o.msg.Ran && !since.IsZero() {
			c.ranUnderAnother(o, since)
		}
	}
}

func (c *Core) ranUnderAnother(f *flow, since time.Time) {
	f.msg.Ran, f.msg.RanSince = true, since
	if err := c.Journal.Copy(f.msg); err != nil {
		c.Log.Error("journal", "err", err)
	}
}

// Taking reports whether messages are accepted.
func (c *Core) Taking() bool { return !c.draining && !c.frozen }

// Check validates a request and returns its class.
func (c *Core) Check(r Request) (*snowjunction.Class, error) {
	bad := func(format string, args ...any) (*snowjunction.Class, error) {
		return nil, fmt.Errorf("%w: %s", ErrRequest, fmt.Sprintf(format, args...))
	}
	no, known := c.classes[r.Class]
	_, tenant := c.tenants[r.Tenant]
	switch {
	case !headerSafe(r.ID):
		return bad("the id must be 1 to %d letters, digits, '-', '_' or '.'", maxTextBytes)
	case r.IdempotencyKey != "" && !headerSafe(r.IdempotencyKey):
		return bad("the idempotency key must be 1 to %d letters, digits, '-', '_' or '.'", maxTextBytes)
	case !known:
		return bad("unknown class %q", r.Class)
	case !tenant && (r.Tenant != "" || len(c.tenants) > 0):
		return bad("unknown tenant %q", r.Tenant)
	case r.Left <= 0 || r.Left > maxTimeLeft:
		return bad("the time left must be over 0 and at most %v", maxTimeLeft)
	case len(r.Body) > MaxBody:
		return bad("the body must be %d bytes at most", MaxBody)
	case c.Settings.Classes[no].Effect == snowjunction.Keyed && r.IdempotencyKey == "":
		return bad("class %q needs an idempotency key", r.Class)
	}
	return &c.Settings.Classes[no], nil
}

// headerSafe reports whether s can be used as a header value without escaping.
func headerSafe(s string) bool {
	if s == "" || len(s) > maxTextBytes {
		return false
	}
	for _, b := range []byte(s) {
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !letter && b != '-' && b != '_' && b != '.' {
			return false
		}
	}
	return true
}
