package core

import (
	"container/heap"
	"sync"
	"time"
)

// Loop is an event loop. Its goroutine owns the courier, the flows and all other state of the core.
// Other goroutines pass it work with Post; all other methods are for the loop's goroutine only.
type Loop struct {
	clock     func() time.Time
	wake      chan struct{}
	timers    timers
	lastTimer uint64
	ended     bool
	work      []func() // taken from the inbox; work[next:] is still to run
	next      int
	turnStats Turns

	mu    sync.Mutex
	inbox []func()
	spare []func()
}

// Turns is the number of turns and the longest duration of one. Events that arrive during a turn
// wait for its end.
type Turns struct {
	Count   uint64
	Longest time.Duration
}

// maxTurn bounds each half of a turn, posted work and timers, so that a long queue of one does not
// delay the other.
const maxTurn = 2 * time.Millisecond

// NewLoop returns a loop that reads the time from clock.
func NewLoop(clock func() time.Time) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now returns the current time of the loop's clock.
func (l *Loop) Now() time.Time { return l.clock() }

// Post queues f to run on the loop's goroutine. It never blocks.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Timer is a scheduled call, see After.
type Timer struct {
	at     time.Time
	number uint64
	index  int // position in the heap; -1 if not scheduled
	run    func()
	loop   *Loop
}

// After runs f on the loop's goroutine after d.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.lastTimer++
	t := &Timer{at: l.clock().Add(d), number: l.lastTimer, run: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels the timer. It is safe on a nil timer.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// Turn runs everything that is due. It returns when the next timer is due, if there is one.
func (l *Loop) Turn() (next time.Time, waiting bool) {
	for l.turn() && !l.ended {
	}
	if len(l.timers) == 0 {
		return time.Time{}, false
	}
	return l.timers[0].at, true
}

// turn runs posted work and due timers, each for at most maxTurn, and reports whether it ran any.
func (l *Loop) turn() (ran bool) {
	if l.next == len(l.work) {
		l.mu.Lock()
		l.work, l.inbox, l.spare = l.inbox, l.spare[:0], l.work
		l.mu.Unlock()
		l.next = 0
	}
	started := l.clock()
	now := started
	for l.next < len(l.work) && now.Sub(started) < maxTurn {
		f := l.work[l.next]
		l.work[l.next] = nil
		l.next++
		f()
		now, ran = l.clock(), true
	}
	due, limit := now, now.Add(maxTurn)
	for len(l.timers) > 0 && !l.timers[0].at.After(due) && now.Before(limit) {
		t := heap.Pop(&l.timers).(*Timer)
		t.run()
		now, ran = l.clock(), true
	}
	if ran {
		l.turnStats.Count++
		l.turnStats.Longest = max(l.turnStats.Longest, now.Sub(started))
	}
	return ran
}

// Turns returns the turn statistics since the previous call.
func (l *Loop) Turns() Turns {
	t := l.turnStats
	l.turnStats = Turns{}
	return t
}

// RunSliced calls step repeatedly, with other work in between, until it returns false. It splits work
// that would take too long in one turn.
func (l *Loop) RunSliced(step func() (more bool)) {
	l.After(0, func() {
		if step() {
			l.RunSliced(step)
		}
	})
}

// Run runs the loop until End is called.
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

// RunUntil runs the loop until done returns true.
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

// End makes Run return after the current work.
func (l *Loop) End() { l.ended = true }

// Ended reports whether End was called.
func (l *Loop) Ended() bool { return l.ended }

// timers is a heap ordered by due time; timers with equal times run in the order of creation.
type timers []*Timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].number < t[j].number
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
