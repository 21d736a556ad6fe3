// Package h2pool decides, for the connections of one HTTP/2 target, where a new call
// goes, when another connection is dialled, and when one is retired. It does no I/O,
// reads no clock and starts no goroutine: it is told what each connection holds and the
// time, and answers.
//
// Calls are packed onto as few connections as their streams allow (RFC 9113, 9.1: a
// client should not open more than one connection to a host and port): an endpoint's
// connections are scarce where many couriers share it, and a connection that carries
// nothing can then end. More are dialled only for streams that the others cannot take,
// and never more than Config.Most; beyond that a call waits on the connection that will
// free a stream soonest, until its time is up.
package h2pool

import "time"

// Link is what the pool is told of one connection of a target.
type Link struct {
	Up     bool          // the other side's preface and settings have come
	Room   int           // streams that it may open besides Open: the peer's limit less those
	Open   int           // streams under way
	Queued int           // calls that wait on it for a stream
	Away   bool          // it takes no further stream: a GOAWAY either way, stream ids spent
	Opened time.Duration // when it was dialled
	Used   time.Duration // when a stream last began or ended on it
}

// Config bounds the connections of one target.
type Config struct {
	Most int           // connections that take streams; under 1 counts as 1
	Idle time.Duration // one without streams ends after so long; 0: it is not ended for that
	Age  time.Duration // one older takes no new stream and ends once empty; 0: no such age
}

// Verdict is where a call goes.
type Verdict int

const (
	Use   Verdict = iota // on the link named: it has a stream, or will have once up
	Dial                 // on a new connection
	Queue                // on the link named, once one of its streams has ended
)

func (v Verdict) String() string {
	return [...]string{"use", "dial", "queue"}[v]
}

// usable tells whether a link takes new streams at all.
func (c Config) usable(now time.Duration, l Link) bool {
	return !l.Away && (c.Age <= 0 || now-l.Opened < c.Age)
}

// Pick says where a new call goes, and on which link where it is not Dial. Of the links
// with a free stream, the fullest takes it, so that others empty; a link that is not up
// yet takes as many as it is expected to bear.
func Pick(c Config, now time.Duration, links []Link) (Verdict, int) {
	best, bestOpen, waiting, live := -1, -1, -1, 0
	for i, l := range links {
		if !c.usable(now, l) {
			continue
		}
		live++
		if l.Room-l.Queued <= 0 {
			continue
		}
		switch {
		case l.Up && l.Open+l.Queued > bestOpen:
			best, bestOpen = i, l.Open+l.Queued
		case !l.Up && waiting < 0:
			waiting = i
		}
	}
	switch {
	case best >= 0:
		return Use, best
	case waiting >= 0:
		return Use, waiting
	case live < max(c.Most, 1):
		return Dial, -1
	}
	// All are full: the one with the fewest calls per stream frees one soonest.
	least, at := 0.0, -1
	for i, l := range links {
		if !c.usable(now, l) {
			continue
		}
		load := float64(l.Open+l.Queued+1) / float64(max(l.Open+l.Room, 1))
		if at < 0 || load < least {
			least, at = load, i
		}
	}
	return Queue, at
}

// Reason says why a link is retired.
type Reason int

const (
	Keep  Reason = iota
	Idle         // up, and without streams for Config.Idle
	Spent        // away or aged, and empty now
)

// Retire says whether a link should end now, and why.
func Retire(c Config, now time.Duration, l Link) Reason {
	empty := l.Open == 0 && l.Queued == 0
	switch {
	case !empty:
		return Keep
	case !c.usable(now, l):
		return Spent
	case l.Up && c.Idle > 0 && now-l.Used >= c.Idle:
		return Idle
	}
	return Keep
}
