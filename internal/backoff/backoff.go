// Package backoff decides how long a courier waits before it sends its directory another request,
// and how long each step of a request may take. It uses no clock and no socket.
//
// A single courier that retries after 50 ms costs a directory nothing. Eighty couriers that are
// rejected together and all retry after 50 ms send over a thousand requests per second, and none of
// them is served. Pauses therefore grow with the size of the fleet, so that all couriers together
// send about as many requests as two would, double while the directory rejects requests, and are
// drawn at random from a range, so that couriers that were rejected together do not retry together.
//
// The pauses are bounded by the time in which changes have to arrive: a change counts as known 6 s
// after the directory had it and was reachable, whatever failed before. A change that the directory
// had, and could send, when the last step (connecting or a request) began would have arrived with
// that step, so a missing change is newer than the start of that step. The step may fail late, a
// pause follows, then one attempt that succeeds just within its timeout: all three together stay
// within Bound.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// changeDeadline is when a change counts as known to couriers after the directory had it and
	// was reachable (the page of the standing test).
	changeDeadline = 6 * time.Second
	// ConnectTimeout bounds the setup of a connection.
	ConnectTimeout = time.Second
	// AnswerTimeout bounds the answer to a request that does not wait for changes, and each gap
	// within an answer that has begun.
	AnswerTimeout = 2 * time.Second
	// attemptTimeout bounds one successful attempt.
	attemptTimeout = ConnectTimeout + AnswerTimeout
	// reservedPause is reserved for the pause after a request that got no answer until its timeout.
	reservedPause = 250 * time.Millisecond
	// watchSlack is how late the answer to a watch may arrive.
	watchSlack = 750 * time.Millisecond
	// shortListBytes is the answer size in bytes up to which AskTimeout applies unchanged.
	shortListBytes = 64 << 10
	// minListRate is the minimum transfer rate of longer answers in bytes per second.
	minListRate = 1 << 20
	// maxWatchWait bounds the wait that a watch requests.
	maxWatchWait = 20 * time.Second
	// firstPause is the first pause of a courier that is alone or in a fleet of two.
	firstPause = 50 * time.Millisecond
	// MaxPause bounds each pause where Bound does not bound it further.
	MaxPause = 4 * time.Second
	// smallFleet is the fleet size up to which couriers do not spread their first requests.
	smallFleet = 4
	// maxFirstDelay bounds the delay of first requests if no grace is configured: half of a grace
	// of one second.
	maxFirstDelay = 500 * time.Millisecond
)

// Backoff computes the pauses of one courier towards one directory.
type Backoff struct {
	rng             *rand.Rand
	base            time.Duration
	maxUnprovoked   time.Duration // bounds delays that no error of the directory caused
	graceMargin     time.Duration // part of the grace that is added to the bound
	errorResponses  int           // consecutive requests answered with an error
	disconnects     int           // consecutive connections that broke or could not be set up
	unreadableLists int           // consecutive lists that could not be used
}

// New returns the backoff of one courier in a fleet of the given size; sizes below one count as
// one. The seed must differ between couriers: equal seeds draw equal pauses, so that the couriers
// would retry together.
func New(fleet int, seed uint64) *Backoff {
	return &Backoff{
		maxUnprovoked: maxFirstDelay,
		rng:           rand.New(rand.NewPCG(seed, 0x70617469656e6365)),
		base:          min(firstPause*time.Duration(max(2, min(fleet, 1<<20)))/2, MaxPause),
	}
}

// WithGrace sets the grace for draining endpoints if it is positive. What the directory agent holds
// counts as known whether or not it was requested: first requests, and the first one after a lost
// connection, are sent within half of the grace.
func (b *Backoff) WithGrace(grace time.Duration) *Backoff {
	if grace > 0 {
		b.maxUnprovoked, b.graceMargin = grace/2, grace/2
	}
	return b
}

// Bound returns how long after the directory has a change and is reachable the courier receives it
// at the latest. It leaves half of the grace.
func (b *Backoff) Bound() time.Duration { return changeDeadline + b.graceMargin }

// AskTimeout bounds a request until its answer is complete, the requested wait included.
func (b *Backoff) AskTimeout() time.Duration {
	return min(b.Bound()-attemptTimeout-reservedPause, maxWatchWait+watchSlack)
}

// AnswerTimeLeft returns how much longer to wait for the rest of an answer. ago is the time since the
// request, size the number of bytes received so far. A list that takes longer than the bound cannot
// arrive within it, but is not abandoned while its data arrives fast enough, because it could never
// be received otherwise.
func (b *Backoff) AnswerTimeLeft(ago time.Duration, size int) time.Duration {
	long := time.Duration(max(0, size-shortListBytes)) * time.Second / minListRate
	return min(AnswerTimeout, b.AskTimeout()+long-ago)
}

// WatchWait returns how long a watch asks the directory to wait for changes.
func (b *Backoff) WatchWait() time.Duration { return b.AskTimeout() - watchSlack }

// InitialDelay returns the delay of the first request of a courier that starts with a list. Couriers of
// a large fleet that start together would fill the directory's queue at once, and many requests
// would time out. Couriers of a small fleet send theirs immediately.
func (b *Backoff) InitialDelay() time.Duration {
	if b.base <= smallFleet*firstPause/2 {
		return 0
	}
	return time.Duration(b.rng.Int64N(int64(min(b.base, b.maxUnprovoked))))
}

// Disconnected returns the pause after a connection that broke or could not be set up: short after
// the first, as the agent may be reachable, and longer after each further one. Here and in the
// following methods, ago is the time since the start of the failed step.
func (b *Backoff) Disconnected(ago time.Duration) time.Duration {
	d := doubled(min(b.base, b.maxUnprovoked), b.disconnects, b.base)
	b.disconnects++
	return b.jitter(d, ago)
}

// TimedOut returns the pause after a request without an answer, or a connection that was not set
// up, within its timeout. The pause does not grow: the timeout itself is a pause, and changes count
// as known as soon as an agent answers again. If the agent recently rejected requests it is
// overloaded, and a timeout does not shorten the pause.
func (b *Backoff) TimedOut(ago time.Duration) time.Duration {
	if b.errorResponses > 0 {
		return b.jitter(doubled(b.base, b.errorResponses, MaxPause), ago)
	}
	return b.jitter(min(b.base, b.maxUnprovoked), ago)
}

// Rejected returns the pause after an error response. wait is the retry-after delay of the response,
// zero if it has none. The pause is at least that long, up to three quarters of what the bound
// leaves, so that couriers with equal retry-after delays do not retry together.
func (b *Backoff) Rejected(wait, ago time.Duration) time.Duration {
	room := b.remaining(ago)
	d := min(max(doubled(b.base, b.errorResponses, MaxPause), wait+wait/2), room)
	b.errorResponses++
	return b.randomBetween(max(d/2, min(wait, d*3/4)), d)
}

// Unreadable returns the pause after a list that could not be used: short after the first, because
// what it contained counts as known.
func (b *Backoff) Unreadable(ago time.Duration) time.Duration {
	d := doubled(min(b.base, b.maxUnprovoked), b.unreadableLists, MaxPause)
	b.unreadableLists++
	return b.jitter(d, ago)
}

// Reset records that a list was received: the next pause is the first one again.
func (b *Backoff) Reset() { b.errorResponses, b.unreadableLists, b.disconnects = 0, 0, 0 }

// remaining returns the longest pause that the bound allows after a step that began ago before now.
func (b *Backoff) remaining(ago time.Duration) time.Duration {
	return max(min(b.Bound()-attemptTimeout-ago, MaxPause), 0)
}

func doubled(d time.Duration, times int, most time.Duration) time.Duration {
	return min(d<<min(times, 16), most)
}

// jitter returns a random pause between half of d and d, with d limited to the remaining room.
func (b *Backoff) jitter(d, ago time.Duration) time.Duration {
	d = min(d, b.remaining(ago))
	return b.randomBetween(d/2, d)
}

func (b *Backoff) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(b.rng.Int64N(int64(most-least)+1))
}
