// Package lease splits a destination's limit among the couriers of a large fleet. It
// knows no clock, no socket and no goroutine.
//
// A courier that meets a destination once a second learns its limit too late alone: by
// the time its next call is refused, eighty others have found the same out, each with a
// refused call that used the limit up. So one courier keeps the account of each
// destination, its keeper, and the others ask it before they call. The keeper grants
// calls at the rate of the limit, to the messages worth most in the whole fleet first.
//
// Which courier keeps an account follows from the destination's number, so that nobody
// has to agree with anybody. A keeper that does not answer is passed over for a while,
// and the next in line keeps an account of its own; where nobody answers, a courier goes
// by what it knows alone. Notes may be lost or late, and two keepers may be at work for
// a while: the limit is then passed by as much, and refusals put the accounts right.
package lease

import (
	"math"
	"slices"
	"time"
)

const (
	blend      = 0.15                    // weight of one report in the limit
	jump       = 1.5                     // times its last value: the limit has been cut or restored
	burst      = 0.1                     // seconds of the limit that may go at once
	pause      = 0.1                     // seconds of the limit owed after a refusal
	trustStart = 0.97                    // of the limit that the fleet goes up to
	trustLeast = 0.8                     //
	trustCut   = 0.97                    // on a refusal, once in trustEvery
	trustGrow  = 0.05                    // a second without one
	trustMost  = 1.02                    //
	trustEvery = 200 * time.Millisecond  //
	askedFor   = 1200 * time.Millisecond // an ask that is not made again has been served or its courier has ended
	askersMost = 4096
	failingFor = 30 * time.Second // that a courier is told of a return
)

// Ledger is a keeper's account of one destination.
type Ledger struct {
	rate   float64 // limit in calls a second, of all couriers; 0: not known, all is granted
	trust  float64
	tokens float64 // calls that may be granted now
	at     time.Duration
	cutAt  time.Duration
	used   time.Duration // asked last
	asks   []*ask        // in order of their first coming
	by     map[int]*ask
	shut   map[int]time.Duration // by courier: when it said that its calls fail
	back   time.Duration         // it has answered again then; with slow
	slow   Slow
	cold   bool
}

// Slow is what a destination bears that is back from an outage.
type Slow struct {
	Share float64       // of its limit, at once
	Over  float64       // times what it is taken to bear that it is sent: under what makes it fall
	Warm  time.Duration // it bears all after this
	Least int           // couriers that must have seen the outage
}

// share is what may be granted of the limit now. Calls to a destination that is down are
// granted as to one that has returned this moment: the next of them may find that it has.
func (l *Ledger) share(now time.Duration) float64 {
	least := math.Min(1, l.slow.Over*l.slow.Share)
	switch {
	case len(l.shut) >= l.slow.Least && l.slow.Least > 0:
		return least
	case !l.cold:
		return 1
	}
	gone := float64(now-l.back) / math.Max(1, float64(l.slow.Warm))
	if gone >= 1 {
		l.cold = false
		return 1
	}
	return math.Min(1, l.slow.Over*(l.slow.Share+(1-l.slow.Share)*gone))
}

// Cold tells that grants are what a destination bears that is back from an outage. Where
// no limit is known all is granted, and its callers mind that themselves.
func (l *Ledger) Cold(now time.Duration) bool {
	l.share(now)
	return l.cold && l.rate > 0
}

type ask struct {
	peer, n, rank int
	at            time.Duration
	heard         bool // its courier knows that it has come
}

// Grant is what one courier may call; no calls: its wish has come and waits.
type Grant struct{ Peer, Calls int }

// NewLedger returns the account of a destination of which nothing is known.
func NewLedger(s Slow) *Ledger { return &Ledger{trust: trustStart, by: map[int]*ask{}, slow: s} }

// Rate is the limit as it is known, in calls a second; 0: not at all.
func (l *Ledger) Rate() float64 { return l.rate }

// Used is when the account was asked last.
func (l *Ledger) Used() time.Duration { return l.used }

// Report takes a limit that an answer to any courier has told.
func (l *Ledger) Report(now time.Duration, limit float64) { l.report(now, limit, false) }

// Known takes a limit that its courier has known for a while: of a fleet that calls a
// destination seldom, many know the one from before a cut, and each would undo what others
// have been told since. It counts where none is known, or as one more reading of the same.
func (l *Ledger) Known(now time.Duration, limit float64) { l.report(now, limit, true) }

func (l *Ledger) report(now time.Duration, limit float64, old bool) {
	if !(limit > 0) || math.IsInf(limit, 0) {
		return
	}
	l.fill(now)
	jumps := math.Max(limit/l.rate, l.rate/limit) > jump
	switch {
	case old && jumps && l.rate > 0:
	case l.rate == 0 || jumps:
		l.rate = limit
		l.tokens = math.Min(l.tokens, l.most())
	default:
		l.rate += blend * (limit - l.rate)
	}
}

// Failing takes a courier's word that its calls do not reach the destination.
func (l *Ledger) Failing(now time.Duration, peer int) {
	l.used = now
	if l.shut == nil {
		l.shut = map[int]time.Duration{}
	}
	if len(l.shut) < askersMost {
		l.shut[peer] = now
	}
}

// Serves takes a courier's word that the destination has answered again. It returns, in
// order, those who are to be told.
func (l *Ledger) Serves(now time.Duration) (peers []int) {
	for p, at := range l.shut {
		if now-at <= failingFor {
			peers = append(peers, p)
		}
	}
	if len(peers) >= l.slow.Least && !l.cold {
		l.fill(now)
		l.cold, l.back = true, now
		l.tokens = math.Min(l.tokens, math.Max(1, l.most()*l.share(now)))
	}
	l.shut = nil
	slices.Sort(peers)
	return peers
}

// Refused takes a refusal above the limit.
func (l *Ledger) Refused(now time.Duration) {
	l.fill(now)
	l.tokens = math.Min(l.tokens, -l.rate*pause)
	if l.cutAt == 0 || now-l.cutAt >= trustEvery {
		l.trust, l.cutAt = math.Max(trustLeast, l.trust*trustCut), now
	}
}

// Ask takes a courier's wish for n calls, the first of them worth rank; it replaces the
// wish before. Back are granted calls that it has not made, or less those it has made
// without a grant.
func (l *Ledger) Ask(now time.Duration, peer, n, rank, back int) {
	l.fill(now)
	l.used = now
	l.tokens = math.Min(l.tokens+float64(back), l.most())
	a := l.by[peer]
	switch {
	case n <= 0:
		l.drop(a)
	case a == nil && len(l.asks) < askersMost:
		a = &ask{peer: peer, n: n, rank: rank, at: now}
		l.by[peer] = a
		l.asks = append(l.asks, a)
	case a != nil:
		a.n, a.rank, a.at, a.heard = n, rank, now, false
	}
}

// Grants hands out what the limit allows by now: one call after another, each to the
// wish worth most, of equals to the one that came first. A wish that waits is named once
// each time it comes: who hears nothing takes the keeper for dead.
func (l *Ledger) Grants(now time.Duration) (out []Grant) {
	l.fill(now)
	for _, a := range slices.Clone(l.asks) {
		if now-a.at > askedFor {
			l.drop(a)
		}
	}
	calls := map[int]int{}
	for len(l.asks) > 0 && (l.rate == 0 || l.tokens >= 1) {
		best := slices.MaxFunc(l.asks, func(a, b *ask) int { return a.rank - b.rank })
		n := 1
		if l.rate == 0 {
			n = best.n
		}
		l.tokens -= float64(n)
		if calls[best.peer] == 0 {
			out = append(out, Grant{Peer: best.peer})
		}
		calls[best.peer] += n
		best.n, best.heard = best.n-n, true
		l.drop(best)
		if best.n > 0 { // its next message is worth no more: others of the same worth go first
			l.by[best.peer] = best
			l.asks = append(l.asks, best)
		}
	}
	for i := range out {
		out[i].Calls = calls[out[i].Peer]
	}
	for _, a := range l.asks {
		if !a.heard {
			a.heard = true
			out = append(out, Grant{Peer: a.peer})
		}
	}
	return out
}

// Next is when there will be more to grant; 0: nobody waits.
func (l *Ledger) Next(now time.Duration) time.Duration {
	if len(l.asks) == 0 || l.rate == 0 {
		return 0
	}
	return now + max(seconds((1-l.tokens)/(l.rate*l.trust*l.share(now))), time.Millisecond)
}

func (l *Ledger) most() float64 { return math.Max(1, l.rate*burst) }

func (l *Ledger) fill(now time.Duration) {
	dt := (now - l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.at = now
	l.trust = math.Min(trustMost, l.trust+dt*trustGrow)
	l.tokens = math.Min(l.tokens+dt*l.rate*l.trust*l.share(now), l.most())
}

func (l *Ledger) drop(a *ask) {
	if a != nil {
		delete(l.by, a.peer)
		l.asks = slices.DeleteFunc(l.asks, func(x *ask) bool { return x == a })
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(math.Max(s, 0), 10) * float64(time.Second))
}
