// Package backoff decides how long a courier waits before it asks its directory
// again, and how long each of its steps may take. It knows no clock and no socket.
//
// One courier that asks again after 50 ms costs a directory nothing. Eighty that are
// turned away together and each come back after 50 ms are over a thousand calls a
// second, and none of them is served. So the pauses grow with the fleet, that all
// couriers together ask about as often as two did, double while the directory turns
// the asker away, and are drawn from a range, so that those who were turned away
// together do not come back together.
//
// All of that ends where news would be heard too late: a change counts as told 6 s after
// the directory had it and could be reached, whatever failed before. What it had, and could
// tell, when the last step began (a connection, an ask) would have come by that step, so
// what is missing became news after that. The step may fail late, a pause follows, and one
// attempt that succeeds in just its time: all three together stay within Bound.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// told is when a change counts as told after the directory had it and could be reached
	// (the standing test's page).
	told = 6 * time.Second
	// ConnectTimeout is how long a connection may take to come up.
	ConnectTimeout = time.Second
	// AnswerTimeout is how long an answer may take whose asker need not wait, and how long one that
	// has begun may pause.
	AnswerTimeout = 2 * time.Second
	// attempt is the longest one that succeeds.
	attempt = ConnectTimeout + AnswerTimeout
	// spread is kept for the pause after an ask that was silent to its end.
	spread = 250 * time.Millisecond
	// slack is how late the answer to a watch may be.
	slack = 750 * time.Millisecond
	// shortList is the size in bytes up to which an answer has AskTimeout alone.
	shortList = 64 << 10
	// longListRate is in bytes a second: what is longer goes on while it comes as fast.
	longListRate = 1 << 20
	// waitMost bounds what a watch asks to wait.
	waitMost = 20 * time.Second
	// pause is that of a courier of a fleet of two, or alone.
	pause = 50 * time.Millisecond
	// MaxPause bounds each pause, where Bound does not bound it further.
	MaxPause = 4 * time.Second
	// few couriers need not spread their first asks.
	few = 4
	// firstMost bounds first asks where nothing else is told: half of a second's grace.
	firstMost = 500 * time.Millisecond
)

// Backoff is one courier's, towards one directory.
type Backoff struct {
	rng     *rand.Rand
	base    time.Duration
	soon    time.Duration // bounds what may be late without a reason of the directory's
	margin  time.Duration // of the grace, used for the bound
	refused int           // calls in a row that were answered with an error
	lost    int           // connections in a row that broke or did not come up
	unread  int           // lists in a row that could not be taken
}

// New returns the backoff of one of so many couriers; a fleet under one counts as
// one. The seed is the courier's own: two that draw alike would ask together.
func New(fleet int, seed uint64) *Backoff {
	return &Backoff{
		soon: firstMost,
		rng:  rand.New(rand.NewPCG(seed, 0x70617469656e6365)),
		base: min(pause*time.Duration(max(2, min(fleet, 1<<20)))/2, MaxPause),
	}
}

// Within tells the grace for endpoints that drain, if it is over 0. What an agent holds
// counts as told, asked or not: first asks, and the first one after a lost connection,
// come in half of it.
func (b *Backoff) Within(grace time.Duration) *Backoff {
	if grace > 0 {
		b.soon, b.margin = grace/2, grace/2
	}
	return b
}

// Bound is how long after the directory has news and can be reached they are heard at the
// latest: half of the grace is left.
func (b *Backoff) Bound() time.Duration { return told + b.margin }

// AskTimeout is how long an ask may take until its answer is whole, what it may wait included.
func (b *Backoff) AskTimeout() time.Duration {
	return min(b.Bound()-attempt-spread, waitMost+slack)
}

// RestOfAnswer is how much longer an answer may take that was asked for so long ago and of which
// so many bytes have come. A list that takes longer than the bound cannot be heard within it; it
// is not given up for that while it comes fast, or it would never be taken.
func (b *Backoff) RestOfAnswer(ago time.Duration, size int) time.Duration {
	long := time.Duration(max(0, size-shortList)) * time.Second / longListRate
	return min(AnswerTimeout, b.AskTimeout()+long-ago)
}

// WatchWait is how long a watch asks the directory to wait for news.
func (b *Backoff) WatchWait() time.Duration { return b.AskTimeout() - slack }

// Initial is when a courier that starts with a list asks first: couriers of a large fleet that
// start together would fill the directory's queue at once, and many of them wait in vain.
// A few ask at once.
func (b *Backoff) Initial() time.Duration {
	if b.base <= few*pause/2 {
		return 0
	}
	return time.Duration(b.rng.Int64N(int64(min(b.base, b.soon))))
}

// Disconnected is the pause after a connection that broke or did not come up: short after the
// first, as the agent may be there, and longer after each that follows. Here and below, ago
// is how long ago the step began that failed.
func (b *Backoff) Disconnected(ago time.Duration) time.Duration {
	d := grown(min(b.base, b.soon), b.lost, b.base)
	b.lost++
	return b.draw(d, ago)
}

// TimedOut is the pause after a call that was not answered, or a connection that did not come
// up, in its time. It does not grow: the time itself is a pause, and what an agent has to tell
// when it speaks again counts as told at once. One that has turned calls away of late is asked by
// too many, and not sooner for its silence.
func (b *Backoff) TimedOut(ago time.Duration) time.Duration {
	if b.refused > 0 {
		return b.draw(grown(b.base, b.refused, MaxPause), ago)
	}
	return b.draw(min(b.base, b.soon), ago)
}

// Refused is the pause after an answer that is an error. What it tells to wait, 0 for
// nothing, is the least, up to three quarters of what the bound leaves: those who are told
// alike do not come back together.
func (b *Backoff) Refused(wait, ago time.Duration) time.Duration {
	room := b.room(ago)
	d := min(max(grown(b.base, b.refused, MaxPause), wait+wait/2), room)
	b.refused++
	return b.between(max(d/2, min(wait, d*3/4)), d)
}

// Unreadable is the pause after a list that could not be taken: short after the first, as what
// could not be read counts as told.
func (b *Backoff) Unreadable(ago time.Duration) time.Duration {
	d := grown(min(b.base, b.soon), b.unread, MaxPause)
	b.unread++
	return b.draw(d, ago)
}

// Reset tells that a list has been taken: the next pause is the first again.
func (b *Backoff) Reset() { b.refused, b.unread, b.lost = 0, 0, 0 }

// room is how long a pause the bound leaves after a step that began so long ago.
func (b *Backoff) room(ago time.Duration) time.Duration {
	return max(min(b.Bound()-attempt-ago, MaxPause), 0)
}

func grown(d time.Duration, times int, most time.Duration) time.Duration {
	return min(d<<min(times, 16), most)
}

// draw is a pause between half of d and d, or of the room that is left.
func (b *Backoff) draw(d, ago time.Duration) time.Duration {
	d = min(d, b.room(ago))
	return b.between(d/2, d)
}

func (b *Backoff) between(least, most time.Duration) time.Duration {
	return least + time.Duration(b.rng.Int64N(int64(most-least)+1))
}
