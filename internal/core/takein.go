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

// Request is what a listener has read: a message to be handed in.
type Request struct {
	Origin         int // the number of its front
	ID             string
	IdempotencyKey string
	Key            uint64
	Class, Tenant  string
	Destination    uint32
	Left           time.Duration // of its time
	Again          bool
	Forwarded      bool // by another courier; the core takes it as any
	Body           []byte
}

// Verdict is what a client is told of the message that it hands in.
type Verdict int

// The verdicts.
const (
	Taken  Verdict = iota // taken on: the courier owes it an end
	Fixed                 // a fixed response: not taken, handing it in again is harmless
	Failed                // not taken, and of no use any more
)

// Answer is the one answer to a Request.
type Answer struct {
	Verdict Verdict
	After   time.Duration // with Fixed: when to come back; 0: no advice
}

// AnswerFunc takes the answer to a Request, with the message if it was taken
// on. It returns false where the client has gone.
type AnswerFunc func(a Answer, taken *store.Message) bool

// Bounds of what a client may hand in.
const (
	MaxBody = 64 << 10
	maxText = 64        // bytes of an id or idempotency key
	maxLeft = time.Hour // far over any deadline: a longer one is a mistake
)

// ErrRequest wraps what is wrong with a request.
var ErrRequest = errors.New("invalid message")

// TakeIn is the first unit of the chain. An error says what is wrong with the
// request, which then gets no other answer. Else answer is called once, soon.
func (c *Core) TakeIn(r Request, answer AnswerFunc) error {
	class, err := c.Check(r)
	if err != nil {
		c.Counters.Malformed++
		return err
	}
	c.Counters.In++
	if f := c.ids[name{r.Origin, r.ID}]; f != nil {
		// The client lost the connection and sends once more what is held, or
		// another uses its id: then the first is owed its answer all the same.
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

// idempotencyKey is what an endpoint knows a flow's message by.
func (f *flow) idempotencyKey() idempotency.Key {
	return idempotency.Key{Destination: f.msg.Destination, Text: f.msg.IdempotencyKey}
}

// left has it remembered that an attempt of a flow may run from then on.
func (c *Core) left(f *flow, at, window time.Duration) {
	if f.keyed() {
		c.ran.Left(f.idempotencyKey(), f.msg.ID, at, window+2*windowSlack) // as its client reckons it
	}
}

// keyed tells whether a flow's window is counted by its idempotency key.
func (f *flow) keyed() bool {
	return f.class.Effect == snowjunction.Keyed && f.msg.IdempotencyKey != ""
}

// ranSince is when the first attempt left that may have run, or is out; the zero time: none.
func ranSince(m *store.Message) time.Time {
	if !m.Ran && m.Out {
		return m.OutSince
	}
	return m.RanSince
}

// inWindow tells whether a flow may go for all that is held here under its idempotency key: what
// another id of it may have done meanwhile the module does not know.
func (c *Core) inWindow(f *flow) bool {
	if !f.keyed() {
		return true
	}
	for _, o := range c.keys[f.idempotencyKey()] {
		since := ranSince(o.msg)
		if (o != f || o.msg.Ran) && !since.IsZero() && c.Loop.Now().Sub(since) >= f.class.Window-2*c.Settings.Tick {
			return false
		}
	}
	return true
}

// bind takes a flow that is over off its idempotency key. What else is held of that goes within
// the window of what may have run, also in the next process.
func (c *Core) bind(f *flow) {
	if !f.keyed() {
		return
	}
	others := slices.DeleteFunc(c.keys[f.idempotencyKey()], func(o *flow) bool { return o == f })
	if c.keys[f.idempotencyKey()] = others; len(others) == 0 {
		delete(c.keys, f.idempotencyKey())
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

// Taking tells whether messages may be taken in: else all are refused.
func (c *Core) Taking() bool { return !c.draining && !c.frozen }

// Check tells the class of a request, or what is wrong with it.
func (c *Core) Check(r Request) (*snowjunction.Class, error) {
	bad := func(format string, args ...any) (*snowjunction.Class, error) {
		return nil, fmt.Errorf("%w: %s", ErrRequest, fmt.Sprintf(format, args...))
	}
	no, known := c.classes[r.Class]
	_, tenant := c.tenants[r.Tenant]
	switch {
	case !plain(r.ID):
		return bad("the id must be 1 to %d letters, digits, '-', '_' or '.'", maxText)
	case r.IdempotencyKey != "" && !plain(r.IdempotencyKey):
		return bad("the idempotency key must be 1 to %d letters, digits, '-', '_' or '.'", maxText)
	case !known:
		return bad("unknown class %q", r.Class)
	case !tenant && (r.Tenant != "" || len(c.tenants) > 0):
		return bad("unknown tenant %q", r.Tenant)
	case r.Left <= 0 || r.Left > maxLeft:
		return bad("the time left must be over 0 and at most %v", maxLeft)
	case len(r.Body) > MaxBody:
		return bad("the body must be %d bytes at most", MaxBody)
	case c.Settings.Classes[no].Effect == snowjunction.Keyed && r.IdempotencyKey == "":
		return bad("class %q needs an idempotency key", r.Class)
	}
	return &c.Settings.Classes[no], nil
}

// plain tells whether s can stand in a header as it is.
func plain(s string) bool {
	if s == "" || len(s) > maxText {
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
