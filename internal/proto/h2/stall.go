package h2

import (
	"cmp"
	"slices"
	"time"
)

// wait measures how long a transfer has been waiting for the peer. The zero value is not waiting.
type wait struct {
	began      time.Time
	progressed time.Time // time of the peer's latest progress
	moved      bool      // the peer has made progress since the last call of observe
}

// observe records at the given time whether the transfer is waiting.
func (w *wait) observe(now time.Time, waiting bool) {
	switch {
	case !waiting:
		*w = wait{}
	case w.began.IsZero():
		w.began, w.progressed = now, now
	case w.moved:
		w.progressed = now
	}
	w.moved = false
}

// deadline returns when the wait exceeds a limit, or the zero time if the transfer is not waiting.
func (w *wait) deadline(l Limits) time.Time {
	if w.began.IsZero() {
		return time.Time{}
	}
	stalled, tooLong := w.progressed.Add(l.MaxStall), w.began.Add(l.MaxTransfer)
	if tooLong.Before(stalled) {
		return tooLong
	}
	return stalled
}

// waitsForPeer reports whether the stream waits for the rest of a request, or for a window for its
// answer.
func (s *stream) waitsForPeer() bool {
	return s.headersReceived && !s.remoteClosed || len(s.pending) > 0
}

// Expire ends the transfers that exceed MaxStall or MaxTransfer, and returns when to call it again, or the
// zero time if none is waiting. It must be called after each Feed and Respond. An incomplete request is
// returned as a Message that is TimedOut, a stream whose answer waits for a window is reset, and an
// incomplete preface, frame or header list is a *ConnError. Without MaxStall it does nothing.
func (c *Conn) Expire(now time.Time) (events []Event, next time.Time, err error) {
	if c.limits.MaxStall == 0 || c.connError != nil {
		return nil, time.Time{}, nil
	}
	c.inputWait.observe(now, !c.settingsReceived || c.HasPartialInput())
	if next = c.inputWait.deadline(c.limits); !next.IsZero() && !now.Before(next) {
		failure := &ConnError{EnhanceYourCalm, "incomplete preface, frame or header list"}
		c.fail(failure)
		return nil, time.Time{}, failure
	}
	var expired []*stream
	for _, s := range c.streams {
		s.wait.observe(now, s.waitsForPeer())
		deadline := s.wait.deadline(c.limits)
		switch {
		case deadline.IsZero():
		case !now.Before(deadline):
			expired = append(expired, s)
		case next.IsZero() || deadline.Before(next):
			next = deadline
		}
	}
	slices.SortFunc(expired, func(a, b *stream) int { return cmp.Compare(a.id, b.id) })
	for _, s := range expired {
		c.expireStream(s)
	}
	events, c.events = c.events, nil
	return events, next, nil
}

// expireStream ends a stream that exceeds a limit.
func (c *Conn) expireStream(s *stream) {
	if s.remoteClosed {
		c.Reset(s.id, Cancel)
		c.events = append(c.events, Reset{Stream: s.id, Code: Cancel})
		return
	}
	s.timedOut, s.reportedEarly = true, true
	_ = c.complete(s) // it does not fail for a request that timed out
}

// StalledSince returns the time of the peer's latest progress if all open transfers wait for the peer. ok
// is false if there are none, or if the peer waits for an answer. It reflects the latest call of Expire.
func (c *Conn) StalledSince() (since time.Time, ok bool) {
	since, ok = c.inputWait.progressed, !c.inputWait.began.IsZero()
	for _, s := range c.streams {
		if s.wait.began.IsZero() {
			return time.Time{}, false
		}
		if ok = true; s.wait.progressed.After(since) {
			since = s.wait.progressed
		}
	}
	return since, ok
}
