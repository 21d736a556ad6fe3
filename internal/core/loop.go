package core

import (
	"container/heap"
	"sync"
	"time"
)

// Loop runs the one goroutine that owns the courier, the flows and all state
// of the core. Others hand it work with Post; everything else is for the
// loop's goroutine alone.
type Loop struct {
	clock  func() time.Time
	wake   chan struct{}
	timers timers
	serial uint64
	ended  bool
	work   []func() // taken from the inbox, to be run from next on
	next   int
	turns  Turns

	mu    sync.Mutex
	inbox []func()
	spare []func()
}

// Turns tell how long the loop's turns took: what comes meanwhile has to wait.
type Turns struct {
	Count   uint64
	Longest time.Duration
}

// turnMost is when a turn leaves what is posted for the next, so that neither
// timers nor other work wait for a long row of it.
const turnMost = 2 * time.Millisecond

// NewLoop returns a loop that tells the time by clock.
func NewLoop(clock func() time.Time) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now is the loop's time.
func (l *Loop) Now() time.Time { return l.clock() }

// Post hands f to the loop's goroutine. It never blocks.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Timer is one call that After has arranged.
type Timer struct {
	at     time.Time
	serial uint64
	index  int // in the heap; -1: not waiting
	run    func()
	loop   *Loop
}

// After runs f once d has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.serial++
	t := &Timer{at: l.clock().Add(d), serial: l.serial, run: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop calls the timer off. A nil timer may be stopped.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// Turn runs all that is due and returns when the next timer is, if any.
func (l *Loop) Turn() (next time.Time, waiting bool) {
	for l.turn() && !l.ended {
	}
	if len(l.timers) == 0 {
		return time.Time{}, false
	}
	return l.timers[0].at, true
}

// turn runs what has been posted and the timers that are due, each for
// turnMost at the longest, and tells whether there was any.
func (l *Loop) turn() (ran bool) {
	if l.next == len(l.work) {
		l.mu.Lock()
		l.work, l.inbox, l.spare = l.inbox, l.spare[:0], l.work
		l.mu.Unlock()
		l.next = 0
	}
	begun := l.clock()
	now := begun
	for l.next < len(l.work) && now.Sub(begun) < turnMost {
		f := l.work[l.next]
		l.work[l.next] = nil
		l.next++
		f()
		now, ran = l.clock(), true
	}
	due, limit := now, now.Add(turnMost)
	for len(l.timers) > 0 && !l.timers[0].at.After(due) && now.Before(limit) {
		t := heap.Pop(&l.timers).(*Timer)
		t.run()
		now, ran = l.clock(), true
	}
	if ran {
		l.turns.Count++
		l.turns.Longest = max(l.turns.Longest, now.Sub(begun))
	}
	return ran
}

// Turns returns how long turns took since it was last asked for.
func (l *Loop) Turns() Turns {
	t := l.turns
	l.turns = Turns{}
	return t
}

// Slices runs step again and again, with everything else between, until it
// returns false: for what would take too long at once.
func (l *Loop) Slices(step func() (more bool)) {
	l.After(0, func() {
		if step() {
			l.Slices(step)
		}
	})
}

// Run turns the loop until End is called.
func (l *Loop) Run() {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	for !l.ended {
		next, waiting := l.Turn()
		if l.ended {
			return
		}
		wait := time.Hour
		if waiting {
			wait = next.Sub(l.clock())
		}
		clock.Reset(max(wait, 0))
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

// RunUntil turns the loop until done says so.
func (l *Loop) RunUntil(done func() bool) {
	for !done() {
		next, waiting := l.Turn()
		wait := 10 * time.Millisecond
		if waiting {
			wait = min(wait, max(next.Sub(l.clock()), 0))
		}
		if done() {
			return
		}
		select {
		case <-l.wake:
		case <-time.After(wait):
		}
	}
}

// End makes Run return after the work at hand.
func (l *Loop) End() { l.ended = true }

// Ended tells that Run returns.
func (l *Loop) Ended() bool { return l.ended }

// timers is a heap, the first due on top; of equals the one set first.
type timers []*Timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].serial < t[j].serial
	}
	return t[i].at.Before(t[j].at)
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*t)
	*t = append(*t, timer)
}

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}
