// Package h2pool decides, for the connections of one HTTP/2 target, which connection a
// new call uses, when another connection is dialled, and when a connection is retired. It
// does no I/O, reads no clock and starts no goroutine: the caller passes the state of the
// connections and the current time.
//
// Calls are packed onto as few connections as their streams allow (RFC 9113, 9.1: a
// client should not open more than one connection to a host and port). Connections to an
// endpoint that is shared by many couriers are scarce, and packing lets unused ones be
// closed. Another connection is dialled only if the streams of the existing ones are used
// up, within the limit in Config. At the limit, a call waits, until its deadline, on the
// connection that is expected to free a stream first.
package h2pool

import "time"

// Connection is the state of one connection of a target.
type Connection struct {
	Ready       bool          // the peer's preface and settings have been received
	FreeStreams int           // additional streams that may be opened: the peer's limit minus OpenStreams
	OpenStreams int           // open streams
	QueuedCalls int           // calls waiting for a stream of the connection
	Closing     bool          // no further streams: GOAWAY sent or received, or stream ids exhausted
	DialedAt    time.Duration // time of dialling
	LastUsed    time.Duration // time at which a stream last began or ended
}

// Config holds the limits for the connections of one target.
type Config struct {
	MaxConnections int           // maximum number of usable connections; values below 1 count as 1
	IdleTimeout    time.Duration // a connection without streams is closed after this time; zero means never
	MaxAge         time.Duration // an older connection takes no new streams and is closed when empty; zero: no limit
}

// Decision is the decision of Pick.
type Decision int

const (
	Use   Decision = iota // use the returned connection, which has a free stream or is expected to have one
	Dial                  // dial a new connection
	Queue                 // wait on the returned connection until one of its streams has ended
)

// String returns "use", "dial" or "queue".
func (v Decision) String() string {
	return [...]string{"use", "dial", "queue"}[v]
}

// acceptsStreams reports whether a connection accepts new streams in principle.
func (c Config) acceptsStreams(now time.Duration, l Connection) bool {
	return !l.Closing && (c.MaxAge <= 0 || now-l.DialedAt < c.MaxAge)
}

// Pick decides which connection a new call uses. It returns the index of the connection, or -1
// with Dial. Of the connections with a free stream it picks the one with the most open streams,
// so that others become empty. A connection that is not ready yet gets as many calls as it is
// expected to have streams.
func Pick(c Config, now time.Duration, links []Connection) (Decision, int) {
	fullest, fullestOpen, connecting, usableCount := -1, -1, -1, 0
	for i, l := range links {
		if !c.acceptsStreams(now, l) {
			continue
		}
		usableCount++
		if l.FreeStreams-l.QueuedCalls <= 0 {
			continue
		}
		switch {
		case l.Ready && l.OpenStreams+l.QueuedCalls > fullestOpen:
			fullest, fullestOpen = i, l.OpenStreams+l.QueuedCalls
		case !l.Ready && connecting < 0:
			connecting = i
		}
	}
	switch {
	case fullest >= 0:
		return Use, fullest
	case connecting >= 0:
		return Use, connecting
	case usableCount < max(c.MaxConnections, 1):
		return Dial, -1
	}
	// All are full: the connection with the fewest calls per stream is expected to free one first.
	lowestLoad, index := 0.0, -1
	for i, l := range links {
		if !c.acceptsStreams(now, l) {
			continue
		}
		load := float64(l.OpenStreams+l.QueuedCalls+1) / float64(max(l.OpenStreams+l.FreeStreams, 1))
		if index < 0 || load < lowestLoad {
			lowestLoad, index = load, i
		}
	}
	return Queue, index
}

// RetireReason is the reason for retiring a connection.
type RetireReason int

const (
	Keep      RetireReason = iota // not retired
	Idle                          // ready, but without streams for the idle timeout
	Exhausted                     // accepts no more streams, and is empty
)

// Retire decides whether a connection should be closed now, and why.
func Retire(c Config, now time.Duration, l Connection) RetireReason {
	empty := l.OpenStreams == 0 && l.QueuedCalls == 0
	switch {
	case !empty:
		return Keep
	case !c.acceptsStreams(now, l):
		return Exhausted
	case l.Ready && c.IdleTimeout > 0 && now-l.LastUsed >= c.IdleTimeout:
		return Idle
	}
	return Keep
}
