// Package patience decides how long a courier waits before it asks its directory
// again. It knows no clock and no socket.
//
// One courier that asks again after 50 ms costs a directory nothing. Eighty that are
// turned away together and each come back after 50 ms are over a thousand calls a
// second, and none of them is served. So the pauses grow with the fleet, that all
// couriers together ask about as often as two did, double while the directory turns
// the asker away, and are drawn from a range, so that those who were turned away
// together do not come back together.
package patience

import (
	"math/rand/v2"
	"time"
)

const (
	// pause is that of a courier of a fleet of two, or alone.
	pause = 50 * time.Millisecond
	// Most bounds each pause: what the directory has to tell is to be heard within
	// seconds, whatever the fleet's size.
	Most = 4 * time.Second
	// unreadMost bounds those between lists that cannot be taken.
	unreadMost = 5 * time.Second
	// few couriers need not spread their first asks.
	few = 4
	// firstMost bounds first asks where nothing else is told: half of a second's grace.
	firstMost = 500 * time.Millisecond
)

// Patience is one courier's, towards one directory.
type Patience struct {
	rng     *rand.Rand
	base    time.Duration
	soon    time.Duration // bounds what may be late without a reason of the directory's
	refused int           // calls in a row that were answered with an error
	lost    int           // connections in a row that broke or did not come up
	unread  int           // lists in a row that could not be taken
}

// New returns the patience of one of so many couriers; a fleet under one counts as
// one. The seed is the courier's own: two that draw alike would ask together.
func New(fleet int, seed uint64) *Patience {
	return &Patience{
		soon: firstMost,
		rng:  rand.New(rand.NewPCG(seed, 0x70617469656e6365)),
		base: min(pause*time.Duration(max(2, min(fleet, 1<<20)))/2, Most),
	}
}

// Within tells the grace for endpoints that drain, if it is over 0. What an agent holds
// counts as told, asked or not: first asks, and the first one after a lost connection,
// come in half of it.
func (p *Patience) Within(grace time.Duration) *Patience {
	if grace > 0 {
		p.soon = grace / 2
	}
	return p
}

// First is when a courier that starts with a list asks first: couriers of a large fleet that
// start together would fill the directory's queue at once, and many of them wait in vain.
// A few ask at once.
func (p *Patience) First() time.Duration {
	if p.base <= few*pause/2 {
		return 0
	}
	return time.Duration(p.rng.Int64N(int64(min(p.base, p.soon))))
}

// Lost is the pause after a connection that broke or did not come up: short after the
// first, as the agent may be there, and longer after each that follows.
func (p *Patience) Lost() time.Duration {
	d := grown(min(p.base, p.soon), p.lost, p.base)
	p.lost++
	return p.draw(d)
}

// Silent is the pause after a call that was not answered, or a connection that did not come
// up, in its time. It does not grow: the time itself is a pause, and what an agent has to tell
// when it speaks again counts as told at once. One that has turned calls away of late is asked by
// too many, and not sooner for its silence.
func (p *Patience) Silent() time.Duration {
	if p.refused > 0 {
		return p.draw(grown(p.base, p.refused, Most))
	}
	return p.draw(min(p.base, p.soon))
}

// Refused is the pause after an answer that is an error. What it tells to wait, 0 for
// nothing, is the least, up to Most.
func (p *Patience) Refused(told time.Duration) time.Duration {
	d := grown(p.base, p.refused, Most)
	p.refused++
	return max(p.draw(d), min(told, Most))
}

// Unread is the pause after a list that could not be taken: short after the first, as what
// could not be read counts as told.
func (p *Patience) Unread() time.Duration {
	d := grown(min(p.base, p.soon), p.unread, unreadMost)
	p.unread++
	return p.draw(d)
}

// Served tells that a list has been taken: the next pause is the first again.
func (p *Patience) Served() { p.refused, p.unread, p.lost = 0, 0, 0 }

func grown(d time.Duration, times int, most time.Duration) time.Duration {
	return min(d<<min(times, 16), most)
}

// draw is a pause between half of d and d.
func (p *Patience) draw(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}
