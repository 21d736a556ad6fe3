package daemon

import (
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// signalQueue holds the signals that the process has received until a loop takes them. A loop that
// ends first, as in a handover, leaves them to the next one. It is safe for concurrent use.
type signalQueue struct {
	mu           sync.Mutex
	pending      []os.Signal
	wake         func()    // tells the current loop that signals are pending; nil if there is none
	terminatedAt time.Time // when the process was first told to end; zero if it was not
}

// add queues a signal and wakes the current loop.
func (q *signalQueue) add(s os.Signal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isTermination(s) && q.terminatedAt.IsZero() {
		q.terminatedAt = time.Now()
	}
	q.pending = append(q.pending, s)
	if q.wake != nil {
		q.wake()
	}
}

// setWake sets the function that wakes the loop that takes signals from now on, nil for none. It is
// called at once if signals are pending.
func (q *signalQueue) setWake(wake func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake = wake
	if wake != nil && len(q.pending) > 0 {
		wake()
	}
}

// take removes and returns the pending signals, the oldest first.
func (q *signalQueue) take() []os.Signal {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = nil
	return pending
}

// terminationPending reports whether a signal to end has not been taken yet.
func (q *signalQueue) terminationPending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.pending, isTermination)
}

// sinceTermination returns how long ago the process was told to end; zero if it was not. A handover
// that failed has used some of the time for a planned stop.
func (q *signalQueue) sinceTermination() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.terminatedAt.IsZero() {
		return 0
	}
	return time.Since(q.terminatedAt)
}

func isTermination(s os.Signal) bool { return s == syscall.SIGTERM || s == syscall.SIGINT }
