package lease

import "time"

const (
	answerIn    = 120 * time.Millisecond // past which an ask or its answer is taken for lost
	asksMost    = 2                      // asks without an answer, after which a keeper is passed over
	keepersMost = 3                      // in line
	aloneFor    = 400 * time.Millisecond // where none of them answers, until it is looked again
	askAgain    = 500 * time.Millisecond // while a wish waits, so that its keeper goes on holding it
	grantFor    = 250 * time.Millisecond // past which a granted call goes back
	owedMost    = 20
)

// PassedFor is how long a keeper that does not answer is passed over.
const PassedFor = 2 * time.Second

// Line is the couriers as one of them sees them: who keeps which account, and who has
// not answered of late.
type Line struct {
	Fleet, Self int
	passed      map[int]time.Duration // until then
}

// NewLine returns the line of a fleet of so many, as courier self sees it.
func NewLine(fleet, self int) *Line {
	return &Line{Fleet: fleet, Self: self, passed: map[int]time.Duration{}}
}

// Keeper is who keeps the account of a destination now; false: nobody answers.
func (l *Line) Keeper(dest uint32, now time.Duration) (peer int, ok bool) {
	first := l.First(dest)
	for i := range min(keepersMost, l.Fleet) {
		p := (first + i) % l.Fleet
		if p == l.Self || now >= l.passed[p] {
			return p, true
		}
	}
	return 0, false
}

// First is who keeps the account of a destination while all answer.
func (l *Line) First(dest uint32) int {
	return int((uint64(dest) * 0x9e3779b97f4a7c15 >> 32) % uint64(max(1, l.Fleet)))
}

// Heard tells that a courier has said something.
func (l *Line) Heard(peer int) { delete(l.passed, peer) }

// Silent tells that a courier was passed over and has not been heard since.
func (l *Line) Silent(peer int) bool {
	_, silent := l.passed[peer]
	return silent
}

// Pass passes a courier over for a while.
func (l *Line) Pass(peer int, now time.Duration) { l.passed[peer] = now + PassedFor }

// Holder is what one courier may call at one destination.
type Holder struct {
	calls  int
	until  time.Duration // the calls are good
	back   int           // calls that were granted and not made, less those made and not granted
	keeper int
	asked  time.Duration // when the last ask went; 0: none is open
	tries  int           // asks without an answer
	again  time.Duration // the wish is told anew then
	n      int           // messages waiting, as told
	lost   bool          // no keeper has answered since one was passed over: this courier goes by what it knows
	over   int           // the one that was passed over first
	pooled time.Duration // until then its keeper grants what a cold destination bears
	wanted bool          // a message could go but for a grant
}

// May tells whether a call may go now. Where it may not, the wish is noted.
func (h *Holder) May(now time.Duration) bool {
	h.expire(now)
	if h.calls > 0 {
		return true
	}
	h.wanted = true
	return h.lost
}

// Lost tells that calls go without a grant, as no keeper answers. What goes so keeps to
// a pace that is its caller's to set: all couriers may be lost at once. As soon as the
// keeper has been heard, calls wait for its grants: those that went besides would come on
// top of all that it grants the others.
func (h *Holder) Lost(l *Line) bool {
	h.lost = h.lost && l.Silent(h.over)
	return h.lost
}

func (h *Holder) expire(now time.Duration) {
	if h.calls > 0 && now >= h.until {
		h.back += h.calls
		h.calls = 0
	}
}

// Called counts a call that was made; one that was not granted is owed, but for those
// at a lost courier's own pace: the limit has come back for them since.
func (h *Holder) Called() {
	if h.calls > 0 {
		h.calls--
	} else if h.back > -owedMost && !h.lost {
		h.back--
	}
}

// Granted takes a keeper's grant; no calls: it has heard the wish, which waits. Cold:
// its grants are what a cold destination bears.
func (h *Holder) Granted(now time.Duration, peer, calls int, cold bool) {
	if peer == h.keeper {
		h.tries, h.again, h.lost = 0, now+askAgain, false
	}
	if cold {
		h.pooled = now + askAgain + answerIn
	}
	if calls == 0 {
		return
	}
	h.expire(now)
	h.calls += calls
	h.until = now + grantFor
	if h.n -= calls; h.n <= 0 {
		h.asked = 0
	}
}

// Pools tells that what a cold destination bears is its keeper's to share out.
func (h *Holder) Pools(now time.Duration) bool { return now < h.pooled && !h.lost }

// Idle tells that there is nothing to ask, to take back or to give back.
func (h *Holder) Idle() bool { return !h.wanted && h.asked == 0 && h.back == 0 && h.calls == 0 }

// Ask is what is to be asked now, of whom, with n messages waiting. With n 0 a wish that is open is taken back. next is when to look again.
func (h *Holder) Ask(now time.Duration, dest uint32, n int, l *Line) (peer, back int, ask bool, next time.Duration) {
	h.expire(now)
	wanted := h.wanted && h.calls == 0
	h.wanted = false
	if wanted && h.lost { // it goes without leave: a keeper that is back would not be found
		n = max(n, 1)
	}
	if n == 0 {
		if ask = h.asked > 0 && h.tries == 0 || h.back > 0; ask {
			peer, back = h.keeper, h.back
		}
		h.asked, h.n, h.back = 0, 0, 0
		return peer, back, ask, 0
	}
	if !wanted {
		return 0, 0, false, 0
	}
	if h.asked > 0 && h.tries > 0 && now-h.asked >= answerIn && h.tries >= asksMost {
		l.Pass(h.keeper, now)
		if h.asked = 0; !h.lost {
			h.lost, h.over = true, h.keeper
		}
	}
	peer, ok := l.Keeper(dest, now)
	if !ok {
		if h.asked, h.back = 0, 0; !h.lost {
			h.lost, h.over = true, l.First(dest)
		}
		return 0, 0, false, now + aloneFor
	}
	due := h.asked == 0 || peer != h.keeper || n > h.n || h.tries > 0 && now-h.asked >= answerIn || h.tries == 0 && now >= h.again
	if !due {
		if h.tries > 0 {
			return 0, 0, false, h.asked + answerIn
		}
		return 0, 0, false, h.again
	}
	if peer != h.keeper || h.asked == 0 {
		h.tries = 0
	}
	back = h.back
	h.keeper, h.asked, h.n, h.back = peer, max(now, 1), n, 0
	if peer == l.Self {
		h.tries, h.again, h.lost = 0, now+askAgain, false
		return peer, back, true, h.again
	}
	h.tries++
	return peer, back, true, now + answerIn
}
