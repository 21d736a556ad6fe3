// Package idempotency remembers which idempotency keys may have run, and since when. It knows no
// clock, no wire and no goroutine.
//
// A client that has no answer in time may hand its message in again under a new id. The
// endpoint knows the two for one by their idempotency key, as long as its class's window
// lasts, counted from the first attempt that may have run; so the second message's attempts
// belong into that same window. What was sent under the first id is known here alone.
package idempotency

import "time"

// Key is what an endpoint tells messages apart by.
type Key struct {
	Destination uint32
	Text        string
}

// Book is what one courier remembers. Moments are on any one clock.
type Book struct {
	most  int
	first map[Key]*note
	order []*note // as they were noted, with those taken back
}

type note struct {
	key       Key
	id        string // of the message whose attempt left first
	at, until time.Duration
	gone      bool
}

// New returns a book of so many notes at the most; beyond, the oldest are forgotten.
func New(most int) *Book { return &Book{most: max(1, most), first: map[Key]*note{}} }

// Left notes that an attempt of message id leaves at that moment, with a key whose window
// lasts so long. Of several attempts the first counts until its window is over.
func (b *Book) Left(k Key, id string, at, window time.Duration) {
	b.expire(at)
	if n := b.first[k]; n != nil && at < n.until {
		return
	}
	n := &note{key: k, id: id, at: at, until: at + window}
	b.forget(b.first[k])
	b.first[k] = n
	b.order = append(b.order, n)
	for len(b.order) > b.most {
		b.forget(b.order[0])
		b.order = b.order[1:]
	}
}

// Never takes back what was noted of message id: its attempts have proved not to have run.
func (b *Book) Never(k Key, id string) {
	if n := b.first[k]; n != nil && n.id == id {
		b.forget(n)
	}
}

// Since is when the first attempt with that key left that may have run, if its window is
// not over at now.
func (b *Book) Since(k Key, now time.Duration) (at time.Duration, ok bool) {
	n := b.first[k]
	if n == nil || now >= n.until {
		return 0, false
	}
	return n.at, true
}

// Each calls f with the notes whose windows are not over, in the order noted.
func (b *Book) Each(now time.Duration, f func(k Key, id string, at, until time.Duration)) {
	for _, n := range b.order {
		if !n.gone && now < n.until {
			f(n.key, n.id, n.at, n.until)
		}
	}
}

// Len is the number of keys that are remembered.
func (b *Book) Len() int { return len(b.first) }

func (b *Book) forget(n *note) {
	if n != nil && !n.gone {
		n.gone = true
		delete(b.first, n.key)
	}
}

// expire drops from the front what is over or was taken back.
func (b *Book) expire(now time.Duration) {
	for len(b.order) > 0 && (b.order[0].gone || now >= b.order[0].until) {
		b.forget(b.order[0])
		b.order = b.order[1:]
	}
}
