// Package idempotency remembers which idempotency keys may have been executed, and since when. It
// reads no clock, knows no protocol and starts no goroutine.
//
// A client that gets no answer in time may resubmit its message under a new id. The endpoint
// recognizes both as the same by the idempotency key, for the length of the class's window, counted
// from the first attempt that may have run. The attempts of the second message must therefore stay
// within the window of the first, and only this package knows what was sent under the first id.
package idempotency

import "time"

// Key identifies a message to its endpoint.
type Key struct {
	Destination uint32
	Text        string
}

// Tracker holds the keys of one courier. All times are on the same clock, which the caller chooses.
type Tracker struct {
	limit   int
	records map[Key]*record
	order   []*record // in the order of recording, including removed records
}

type record struct {
	key       Key
	id        string // of the message whose attempt was sent first
	at, until time.Duration
	removed   bool
}

// New returns a tracker for at most limit records. Beyond that the oldest are dropped.
func New(most int) *Tracker { return &Tracker{limit: max(1, most), records: map[Key]*record{}} }

// AttemptSent records that an attempt of message id is sent at the given time with a key that has
// the given window. The first of several attempts counts until its window is over.
func (b *Tracker) AttemptSent(k Key, id string, at, window time.Duration) {
	b.expire(at)
	if n := b.records[k]; n != nil && at < n.until {
		return
	}
	n := &record{key: k, id: id, at: at, until: at + window}
	b.remove(b.records[k])
	b.records[k] = n
	b.order = append(b.order, n)
	for len(b.order) > b.limit {
		b.remove(b.order[0])
		b.order = b.order[1:]
	}
}

// NotRun removes the record of message id: its attempts have certainly not run.
func (b *Tracker) NotRun(k Key, id string) {
	if n := b.records[k]; n != nil && n.id == id {
		b.remove(n)
	}
}

// FirstAttempt returns when the first attempt with the key that may have run was sent, if its
// window is not over at now.
func (b *Tracker) FirstAttempt(k Key, now time.Duration) (at time.Duration, ok bool) {
	n := b.records[k]
	if n == nil || now >= n.until {
		return 0, false
	}
	return n.at, true
}

// Each calls f with every record whose window is not over, in the order of recording.
func (b *Tracker) Each(now time.Duration, f func(k Key, id string, at, until time.Duration)) {
	for _, n := range b.order {
		if !n.removed && now < n.until {
			f(n.key, n.id, n.at, n.until)
		}
	}
}

// Len returns the number of keys remembered.
func (b *Tracker) Len() int { return len(b.records) }

func (b *Tracker) remove(n *record) {
	if n != nil && !n.removed {
		n.removed = true
		delete(b.records, n.key)
	}
}

// expire drops removed and outdated records from the front of the order.
func (b *Tracker) expire(now time.Duration) {
	for len(b.order) > 0 && (b.order[0].removed || now >= b.order[0].until) {
		b.remove(b.order[0])
		b.order = b.order[1:]
	}
}
