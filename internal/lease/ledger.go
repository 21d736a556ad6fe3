// Package lease divides a destination's rate limit among the couriers of a large fleet. It uses no
// clock, socket or goroutine.
//
// A courier that calls a destination once a second learns its limit too late on its own: by the
// time its next call is rejected, eighty others have found out the same, each with a rejected call
// that used up the limit. Therefore one courier, the owner, keeps the quota ledger of each
// destination, and the others request calls from it before they make them. The owner grants calls
// at the rate of the limit, to the messages with the highest rank in the whole fleet first.
//
// The owner of a ledger follows from the destination's number, so no agreement is needed. An owner
// that does not answer counts as unreachable for a while, and the next candidate keeps a ledger of
// its own. If no candidate answers, a courier relies on its own estimate. Peer messages may be lost
// or late, and two owners may be active for a while: the limit is then exceeded by that much, and
// rejections correct the ledgers.
package lease

import (
	"math"
	"slices"
	"time"
)

const (
	reportWeight           = 0.15                    // weight of one report in the moving average of the limit
	limitChangeFactor      = 1.5                     // a report that differs by this factor means that the limit was cut or restored
	burstSeconds           = 0.1                     // seconds of the limit that may be granted at once
	rejectionDebtSeconds   = 0.1                     // seconds of the limit by which tokens go negative after a rejection
	initialUtilization     = 0.97                    // initial share of the limit that the fleet uses
	minUtilization         = 0.8                     //
	utilizationCut         = 0.97                    // factor applied on a rejection, at most once per utilizationCutInterval
	utilizationGrowth      = 0.05                    // increase per second without a rejection
	maxUtilization         = 1.02                    //
	utilizationCutInterval = 200 * time.Millisecond  //
	requestLifetime        = 1200 * time.Millisecond // a request that is not renewed in this time was served or its courier has ended
	maxRequesters          = 4096
	recoveryNoticeWindow   = 30 * time.Second // how long after its report a courier is notified that the destination recovered
)

// QuotaLedger is the owner's quota ledger of one destination.
type QuotaLedger struct {
	rate float64 // limit in calls per second, of all couriers; zero means unknown: everything is granted
	// utilization is the share of the limit that the fleet uses.
	utilization float64
	tokens      float64 // calls that may be granted now
	// refilledAt is when tokens was last updated, utilizationCutAt when utilization was last
	// lowered.
	refilledAt       time.Duration
	utilizationCutAt time.Duration
	lastUsed         time.Duration // last request or report
	requests         []*request    // oldest first
	byPeer           map[int]*request
	failingSince     map[int]time.Duration // by courier: when it reported that its calls fail
	recoveredAt      time.Duration         // when the destination recovered; used with slowStart
	slowStart        SlowStart
	// cold is set while the destination recovers from an outage.
	cold bool
}

// SlowStart configures the slow start of a destination that recovers from an outage.
type SlowStart struct {
	InitialShare float64       // share of the limit that it can take at once
	LoadFactor   float64       // load sent, as a multiple of its estimated capacity; below the factor that makes it collapse
	WarmUp       time.Duration // time until it takes the full limit
	MinObservers int           // number of couriers that must have seen the outage
}

// grantableShare returns the share of the limit that may be granted now. For a destination that is
// down, calls are granted as if it had recovered at this moment, because the next call may find
// that it has.
func (l *QuotaLedger) grantableShare(now time.Duration) float64 {
	least := math.Min(1, l.slowStart.LoadFactor*l.slowStart.InitialShare)
	switch {
	case len(l.failingSince) >= l.slowStart.MinObservers && l.slowStart.MinObservers > 0:
		return least
	case !l.cold:
		return 1
	}
	progress := float64(now-l.recoveredAt) / math.Max(1, float64(l.slowStart.WarmUp))
	if progress >= 1 {
		l.cold = false
		return 1
	}
	return math.Min(1, l.slowStart.LoadFactor*(l.slowStart.InitialShare+(1-l.slowStart.InitialShare)*progress))
}

// Cold reports whether grants are limited to the capacity of a destination that recovers from an
// outage. Without a known limit everything is granted, and the callers limit themselves.
func (l *QuotaLedger) Cold(now time.Duration) bool {
	l.grantableShare(now)
	return l.cold && l.rate > 0
}

type request struct {
	peer, n, rank int
	at            time.Duration
	acknowledged  bool // a grant has acknowledged the request
}

// Grant is the number of calls that a courier may make. Zero calls acknowledge a request that
// waits.
type Grant struct{ Peer, Calls int }

// NewQuotaLedger returns the ledger of a destination whose limit is not known yet.
func NewQuotaLedger(slowStart SlowStart) *QuotaLedger {
	return &QuotaLedger{utilization: initialUtilization, byPeer: map[int]*request{}, slowStart: slowStart}
}

// Rate returns the known limit in calls per second. Zero means unknown.
func (l *QuotaLedger) Rate() float64 { return l.rate }

// LastUsed returns when the ledger was last used.
func (l *QuotaLedger) LastUsed() time.Duration { return l.lastUsed }

// Report records a limit that a courier has read from an answer.
func (l *QuotaLedger) Report(now time.Duration, limit float64) { l.report(now, limit, false) }

// ReportStale records a limit that a courier has known for some time. If a fleet calls a destination
// rarely, many couriers still know the limit from before a cut, and each report would undo newer
// ones. The report therefore only counts if no limit is known, or as a further sample close to the
// current one.
func (l *QuotaLedger) ReportStale(now time.Duration, limit float64) { l.report(now, limit, true) }

func (l *QuotaLedger) report(now time.Duration, limit float64, stale bool) {
	if !(limit > 0) || math.IsInf(limit, 0) {
		return
	}
	l.refill(now)
	changed := math.Max(limit/l.rate, l.rate/limit) > limitChangeFactor
	switch {
	case stale && changed && l.rate > 0:
	case l.rate == 0 || changed:
		l.rate = limit
		l.tokens = math.Min(l.tokens, l.maxTokens())
	default:
		l.rate += reportWeight * (limit - l.rate)
	}
}

// RecordFailing records that a courier's calls do not reach the destination.
func (l *QuotaLedger) RecordFailing(now time.Duration, peer int) {
	l.lastUsed = now
	if l.failingSince == nil {
		l.failingSince = map[int]time.Duration{}
	}
	if len(l.failingSince) < maxRequesters {
		l.failingSince[peer] = now
	}
}

// RecordRecovery records that the destination has answered a call again. It returns the couriers to notify,
// in ascending order.
func (l *QuotaLedger) RecordRecovery(now time.Duration) (peers []int) {
	for p, at := range l.failingSince {
		if now-at <= recoveryNoticeWindow {
			peers = append(peers, p)
		}
	}
	if len(peers) >= l.slowStart.MinObservers && !l.cold {
		l.refill(now)
		l.cold, l.recoveredAt = true, now
		l.tokens = math.Min(l.tokens, math.Max(1, l.maxTokens()*l.grantableShare(now)))
	}
	l.failingSince = nil
	slices.Sort(peers)
	return peers
}

// RecordRejection records that the destination rejected a call above the limit.
func (l *QuotaLedger) RecordRejection(now time.Duration) {
	l.refill(now)
	l.tokens = math.Min(l.tokens, -l.rate*rejectionDebtSeconds)
	if l.utilizationCutAt == 0 || now-l.utilizationCutAt >= utilizationCutInterval {
		l.utilization, l.utilizationCutAt = math.Max(minUtilization, l.utilization*utilizationCut), now
	}
}

// Request records a courier's request for n calls, the first of which has the given rank. It replaces
// the courier's previous request. returned is the number of granted calls that were not made, minus
// calls made without a grant.
func (l *QuotaLedger) Request(now time.Duration, peer, n, rank, returned int) {
	l.refill(now)
	l.lastUsed = now
	l.tokens = math.Min(l.tokens+float64(returned), l.maxTokens())
	a := l.byPeer[peer]
	switch {
	case n <= 0:
		l.remove(a)
	case a == nil && len(l.requests) < maxRequesters:
		a = &request{peer: peer, n: n, rank: rank, at: now}
		l.byPeer[peer] = a
		l.requests = append(l.requests, a)
	case a != nil:
		a.n, a.rank, a.at, a.acknowledged = n, rank, now, false
	}
}

// Grants returns the calls that the limit allows by now. Calls are assigned one at a time, each to
// the request with the highest rank, and among equals to the oldest. A waiting request is
// acknowledged once each time it is received, because a courier that gets no answer takes the owner
// for unreachable.
func (l *QuotaLedger) Grants(now time.Duration) (out []Grant) {
	l.refill(now)
	for _, a := range slices.Clone(l.requests) {
		if now-a.at > requestLifetime {
			l.remove(a)
		}
	}
	calls := map[int]int{}
	for len(l.requests) > 0 && (l.rate == 0 || l.tokens >= 1) {
		best := slices.MaxFunc(l.requests, func(a, b *request) int { return a.rank - b.rank })
		n := 1
		if l.rate == 0 {
			n = best.n
		}
		l.tokens -= float64(n)
		if calls[best.peer] == 0 {
			out = append(out, Grant{Peer: best.peer})
		}
		calls[best.peer] += n
		best.n, best.acknowledged = best.n-n, true
		l.remove(best)
		if best.n > 0 { // its next message has no higher rank: others of the same rank go first
			l.byPeer[best.peer] = best
			l.requests = append(l.requests, best)
		}
	}
	for i := range out {
		out[i].Calls = calls[out[i].Peer]
	}
	for _, a := range l.requests {
		if !a.acknowledged {
			a.acknowledged = true
			out = append(out, Grant{Peer: a.peer})
		}
	}
	return out
}

// Next returns when more can be granted. Zero means that no request waits or everything is granted.
func (l *QuotaLedger) Next(now time.Duration) time.Duration {
	if len(l.requests) == 0 || l.rate == 0 {
		return 0
	}
	return now + max(clampedSeconds((1-l.tokens)/(l.rate*l.utilization*l.grantableShare(now))), time.Millisecond)
}

func (l *QuotaLedger) maxTokens() float64 { return math.Max(1, l.rate*burstSeconds) }

func (l *QuotaLedger) refill(now time.Duration) {
	dt := (now - l.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	l.refilledAt = now
	l.utilization = math.Min(maxUtilization, l.utilization+dt*utilizationGrowth)
	l.tokens = math.Min(l.tokens+dt*l.rate*l.utilization*l.grantableShare(now), l.maxTokens())
}

func (l *QuotaLedger) remove(a *request) {
	if a != nil {
		delete(l.byPeer, a.peer)
		l.requests = slices.DeleteFunc(l.requests, func(x *request) bool { return x == a })
	}
}

func clampedSeconds(s float64) time.Duration {
	return time.Duration(math.Min(math.Max(s, 0), 10) * float64(time.Second))
}
