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
func New(limit int) *Tracker { return &Tracker{limit: max(1, limit), records: map[Key]*record{}} }

// AttemptSent records that an attempt of message id is sent at the given time with a key that has
// the given window. The first of several attempts counts until its window is over.
func (t *Tracker) AttemptSent(key Key, id string, at, window time.Duration) {
	t.expire(at)
	if rec := t.records[key]; rec != nil && at < rec.until {
		return
	}
	rec := &record{key: key, id: id, at: at, until: at + window}
	t.remove(t.records[key])
	t.records[key] = rec
	t.order = append(t.order, rec)
	for len(t.order) > t.limit {
		t.remove(t.order[0])
		t.order = t.order[1:]
	}
}

// NotRun removes the record of message id: its attempts have certainly not run.
func (t *Tracker) NotRun(key Key, id string) {
	if rec := t.records[key]; rec != nil && rec.id == id {
		t.remove(rec)
	}
}

// FirstAttempt returns when the first attempt with the key that may have run was sent, if its
// window is not over at now.
func (t *Tracker) FirstAttempt(key Key, now time.Duration) (at time.Duration, ok bool) {
	rec := t.records[key]
	if rec == nil || now >= rec.until {
		return 0, false
	}
	return rec.at, true
}

// Each calls f with every record whose window is not over, in the order of recording.
func (t *Tracker) Each(now time.Duration, f func(k Key, id string, at, until time.Duration)) {
	for _, rec := range t.order {
		if !rec.removed && now < rec.until {
			f(rec.key, rec.id, rec.at, rec.until)
		}
	}
}

// Len returns the number of keys remembered.
func (t *Tracker) Len() int { return len(t.records) }

func (t *Tracker) remove(rec *record) {
	if rec != nil && !rec.removed {
		rec.removed = true
		delete(t.records, rec.key)
	}
}

// expire drops removed and outdated records from the front of the order.
func (t *Tracker) expire(now time.Duration) {
	for len(t.order) > 0 && (t.order[0].removed || now >= t.order[0].until) {
		t.remove(t.order[0])
		t.order = t.order[1:]
	}
}
