package lease

import "time"

const (
	answerTimeout         = 120 * time.Millisecond // a request or its answer counts as lost after this
	maxUnansweredRequests = 2                      // requests without an answer after which an owner counts as unreachable
	maxCandidates         = 3                      // candidate owners of one ledger
	noOwnerRetry          = 400 * time.Millisecond // how long to wait before trying again when no candidate answers
	renewInterval         = 500 * time.Millisecond // renewal interval of a waiting request, so that the owner keeps it queued
	grantLifetime         = 250 * time.Millisecond // unused granted calls are returned after this
	maxDebt               = 20                     // calls made without a grant that are charged at most
)

// UnreachableFor is how long an owner that does not answer counts as unreachable.
const UnreachableFor = 2 * time.Second

// OwnerView is one courier's view of the fleet: which courier owns the quota ledger of each destination,
// and which couriers did not answer recently.
type OwnerView struct {
	Fleet, Self      int
	unreachableUntil map[int]time.Duration // by courier: when it is tried again
}

// NewOwnerView returns the view that courier self has of a fleet of the given size.
func NewOwnerView(fleet, self int) *OwnerView {
	return &OwnerView{Fleet: fleet, Self: self, unreachableUntil: map[int]time.Duration{}}
}

// Owner returns the courier that owns the ledger of a destination now. It returns false if no
// candidate is reachable.
func (l *OwnerView) Owner(dest uint32, now time.Duration) (peer int, ok bool) {
	first := l.PreferredOwner(dest)
	for i := range min(maxCandidates, l.Fleet) {
		p := (first + i) % l.Fleet
		if p == l.Self || now >= l.unreachableUntil[p] {
			return p, true
		}
	}
	return 0, false
}

// PreferredOwner returns the preferred owner of a destination's ledger, which owns it while all couriers
// answer.
func (l *OwnerView) PreferredOwner(dest uint32) int {
	return int((uint64(dest) * 0x9e3779b97f4a7c15 >> 32) % uint64(max(1, l.Fleet)))
}

// MarkReachable records that a message from a courier was received.
func (l *OwnerView) MarkReachable(peer int) { delete(l.unreachableUntil, peer) }

// Unreachable reports whether a courier was marked unreachable and has sent nothing since.
func (l *OwnerView) Unreachable(peer int) bool {
	_, marked := l.unreachableUntil[peer]
	return marked
}

// MarkUnreachable marks a courier unreachable for a fixed time.
func (l *OwnerView) MarkUnreachable(peer int, now time.Duration) {
	l.unreachableUntil[peer] = now + UnreachableFor
}

// QuotaClient holds the calls that one courier is granted for one destination, and the state of its
// requests to the ledger's owner.
type QuotaClient struct {
	// granted is the number of granted calls that are still unused.
	granted          int
	grantExpires     time.Duration // expiry of the granted calls
	balance          int           // granted calls that were not made, minus calls made without a grant
	owner            int           // the courier that the last request went to
	requestedAt      time.Duration // when the last request was sent; zero means that none is open
	unanswered       int           // requests without an answer
	renewAt          time.Duration // when an open request is renewed
	requested        int           // waiting messages, as last requested
	withoutOwner     bool          // no owner has answered since one was marked unreachable: this courier relies on its own estimate
	firstUnreachable int           // the owner that was marked unreachable first
	coldUntil        time.Duration // until then the owner's grants are limited to the capacity of a cold destination
	wanted           bool          // a message could be sent if a grant were available
}

// Allow reports whether a call may be made now. If not, it records that a grant is wanted.
func (h *QuotaClient) Allow(now time.Duration) bool {
	h.expire(now)
	if h.granted > 0 {
		return true
	}
	h.wanted = true
	return h.withoutOwner
}

// WithoutOwner reports whether calls are made without a grant because no owner answers. The caller has to
// limit the rate of such calls, as all couriers may be in this state at once. As soon as a message
// from the owner is received, calls wait for its grants again: calls made without one would be
// added to all that the owner grants to other couriers.
func (h *QuotaClient) WithoutOwner(l *OwnerView) bool {
	h.withoutOwner = h.withoutOwner && l.Unreachable(h.firstUnreachable)
	return h.withoutOwner
}

func (h *QuotaClient) expire(now time.Duration) {
	if h.granted > 0 && now >= h.grantExpires {
		h.balance += h.granted
		h.granted = 0
	}
}

// RecordCall counts a call that was made. A call without a grant is charged later, except while the
// owner is unreachable: the limit has recovered from those calls by then.
func (h *QuotaClient) RecordCall() {
	if h.granted > 0 {
		h.granted--
	} else if h.balance > -maxDebt && !h.withoutOwner {
		h.balance--
	}
}

// HandleGrant handles a grant from an owner. A grant of zero calls acknowledges a request that waits.
// cold means that the owner's grants are limited to the capacity of a cold destination.
func (h *QuotaClient) HandleGrant(now time.Duration, peer, calls int, cold bool) {
	if peer == h.owner {
		h.unanswered, h.renewAt, h.withoutOwner = 0, now+renewInterval, false
	}
	if cold {
		h.coldUntil = now + renewInterval + answerTimeout
	}
	if calls == 0 {
		return
	}
	h.expire(now)
	h.granted += calls
	h.grantExpires = now + grantLifetime
	if h.requested -= calls; h.requested <= 0 {
		h.requestedAt = 0
	}
}

// OwnerLimitsRecovery reports whether the owner divides the capacity of a cold destination among the couriers.
func (h *QuotaClient) OwnerLimitsRecovery(now time.Duration) bool {
	return now < h.coldUntil && !h.withoutOwner
}

// Idle reports whether there is no request to send or withdraw and no call to return.
func (h *QuotaClient) Idle() bool {
	return !h.wanted && h.requestedAt == 0 && h.balance == 0 && h.granted == 0
}

// NextRequest returns the request to send now, if any: peer is the owner to send it to, returned the number
// of calls to return, send whether to send it, and next when to check again. n is the number of
// waiting messages; zero withdraws an open request.
func (h *QuotaClient) NextRequest(now time.Duration, dest uint32, n int, l *OwnerView) (peer, returned int, send bool, next time.Duration) {
	h.expire(now)
	wanted := h.wanted && h.granted == 0
	h.wanted = false
	if wanted && h.withoutOwner { // without a request, an owner that is reachable again would not be noticed
		n = max(n, 1)
	}
	if n == 0 {
		if send = h.requestedAt > 0 && h.unanswered == 0 || h.balance > 0; send {
			peer, returned = h.owner, h.balance
		}
		h.requestedAt, h.requested, h.balance = 0, 0, 0
		return peer, returned, send, 0
	}
	if !wanted {
		return 0, 0, false, 0
	}
	if h.requestedAt > 0 && h.unanswered > 0 && now-h.requestedAt >= answerTimeout && h.unanswered >= maxUnansweredRequests {
		l.MarkUnreachable(h.owner, now)
		if h.requestedAt = 0; !h.withoutOwner {
			h.withoutOwner, h.firstUnreachable = true, h.owner
		}
	}
	peer, ok := l.Owner(dest, now)
	if !ok {
		if h.requestedAt, h.balance = 0, 0; !h.withoutOwner {
			h.withoutOwner, h.firstUnreachable = true, l.PreferredOwner(dest)
		}
		return 0, 0, false, now + noOwnerRetry
	}
	due := h.requestedAt == 0 || peer != h.owner || n > h.requested || h.unanswered > 0 && now-h.requestedAt >= answerTimeout || h.unanswered == 0 && now >= h.renewAt
	if !due {
		if h.unanswered > 0 {
			return 0, 0, false, h.requestedAt + answerTimeout
		}
		return 0, 0, false, h.renewAt
	}
	if peer != h.owner || h.requestedAt == 0 {
		h.unanswered = 0
	}
	returned = h.balance
	h.owner, h.requestedAt, h.requested, h.balance = peer, max(now, 1), n, 0
	if peer == l.Self {
		h.unanswered, h.renewAt, h.withoutOwner = 0, now+renewInterval, false
		return peer, returned, true, h.renewAt
	}
	h.unanswered++
	return peer, returned, true, now + answerTimeout
}
