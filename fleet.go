package snowjunction

import (
	"maps"
	"math"
	"slices"
	"time"

	"snowjunction/internal/lease"
)

// If many couriers share a destination's rate limit, one of them is its lease owner (internal/lease):
// it keeps the quota ledger, and the others request a grant from it before they call. In small
// fleets each courier uses a pacing rate of its own.

const (
	pooledColdFactor          = 0.9                    // of the whole fleet's cold budget
	maxLeasedShare            = 0.15                   // like minPacedShare; below it a lease is needed
	unlimitedAfterAnswers     = 3                      // answers without a reported limit: no limit
	ampleLimitLeft            = 0.5                    // of the limit; rejections above it are unrelated
	unreachableReportInterval = 2 * time.Second        // repeats the report of failing calls
	returnJitter              = 300 * time.Millisecond // spreads the first calls after a recovery
	maxAnnouncements          = 1024
	limitFreshFor             = 250 * time.Millisecond // as long as a grant is valid
	maxQuotaLedgers           = 4096                   // at the limit, idle ledgers are removed
	quotaLedgerIdle           = time.Minute
	rankPerValue              = 100 // rank of a message with value 1
)

// leaseOf returns the lease of a route whose limit the fleet shares, or nil if calls to the route
// need no grant.
func (c *Courier) leaseOf(r *route) *lease.QuotaClient {
	if !c.settings.PeerMessages || r.dest.kind.LimitPerEndpoint || !c.shareBelow(r, maxLeasedShare) ||
		r.limit <= 0 && r.dest.successes.sum(c.now) > unlimitedAfterAnswers {
		return nil
	}
	if r.lease == nil {
		r.lease = &lease.QuotaClient{}
	}
	return r.lease
}

// shareBelow reports whether the even share of r's limit, in calls per minTargetLatency, is less than
// least times the fleet's size: too few for a pacing rate. For an unknown limit see assumedLimit.
func (c *Courier) shareBelow(r *route, least float64) bool {
	return c.evenShare(r)*seconds(c.minTargetLatency) < least*float64(c.settings.Fleet)
}

// ownerless reports whether r needs a lease and no lease owner answers. All couriers may lose their
// lease owners at once, for example if no peer message arrives. Together they may then send what
// they sent before. So each starts with its recent success rate, which is the part of the limit
// that the lease owner granted it. The first calls are spread by a random number of tokens, as
// otherwise each courier would send one at once.
func (c *Courier) ownerless(r *route, share float64) bool {
	if h := c.leaseOf(r); h == nil || !h.WithoutOwner(c.leaseOwners) {
		r.ownerlessRate = 0
		return false
	}
	if r.ownerlessRate == 0 {
		observedFor := min(retryBudgetWindow, max(c.now-r.dest.countingSince, c.minTargetLatency))
		r.ownerlessRate = math.Max(share*minPaceShare, r.dest.successes.sum(c.now)/seconds(observedFor))
		r.pacingRate, r.waitedForToken = r.ownerlessRate, false
		r.bucket = tokenBucket{tokens: c.rng.Float64(), filledAt: c.now, started: true}
	}
	return true
}

// leaseAllows reports whether this courier may call r now under its lease, if r needs one.
func (c *Courier) leaseAllows(r *route) bool {
	h := c.leaseOf(r)
	return h == nil || h.Allow(c.now)
}

// ownerKnowsLimit reports whether a lease owner that knows a limit adds up the fleet's calls to r.
func (c *Courier) ownerKnowsLimit(r *route) bool {
	h := c.leaseOf(r)
	return h != nil && r.limit > 0 && !h.WithoutOwner(c.leaseOwners)
}

// outageObservers returns the number of couriers assumed to have seen e's outage. allowed is the
// number of calls that the whole fleet may send to e in the collapse time. The result is the likely
// number, given the outage seen here. If a first call of every courier would exceed what the
// destination withstands, it is the greatest possible number.
func (c *Courier) outageObservers(e *endpoint, capacity, allowed float64) float64 {
	outage := e.lastOutage
	if e.state != cold {
		outage = c.now - e.failingSince
	}
	fleet := float64(c.settings.Fleet)
	if fleet > lease.CollapseThreshold(allowed) && !c.ownerKnowsLimit(e.route) {
		outage = max(outage, e.outageBound(c.now))
	}
	return lease.OutageObservers(fleet, capacity, outage)
}

// countLeaseCall counts a call to r against its lease, if r needs one.
func (c *Courier) countLeaseCall(r *route) {
	if h := c.leaseOf(r); h != nil {
		h.RecordCall()
	}
}

// reportRejection reports whether the fleet shares r's limit. If so, and if the rejection was due
// to the limit, the lease owner will be informed.
func (c *Courier) reportRejection(r *route, wait time.Duration) bool {
	if c.leaseOf(r) == nil {
		return false
	}
	// If much of the limit is left, a queue or table was full or the endpoint drains.
	if wait > 0 || r.limitReportedAt != c.now || r.limitLeft <= ampleLimitLeft {
		r.ownerReport.RejectedCalls++
	}
	return true
}

// recordLimitReport records a limit report of an answer with the given number of values. What is
// left of the limit is left by the whole fleet. Without a lease owner this courier's next call may
// go earlier by it, as otherwise the share of couriers with nothing to send would be lost.
func (c *Courier) recordLimitReport(r *route, values int) {
	if r.ownerlessRate > 0 && values > 0 {
		r.bucket.tokens += math.Max(0, r.limitLeft-ampleLimitLeft)
	}
	if values > 0 && r.limit > 0 {
		r.limitReportedAt, r.ownerReport.Limit = c.now, r.limit
	}
}

// trackReachability records whether calls reach r. A courier whose calls fail asks the lease owner
// to be informed of the recovery. One whose calls are answered again informs the lease owner.
func (c *Courier) trackReachability(r *route, o Outcome) {
	if c.leaseOf(r) == nil {
		return
	}
	switch {
	case o == ConnectFailed || o == TimedOut:
		r.ownerReport.Unreachable = r.ownerReport.Unreachable || !r.unreachable ||
			c.now >= r.unreachableReportedAt+unreachableReportInterval
		r.unreachable = true
	case r.unreachable && (o == OK || o == Rejected):
		r.unreachable, r.ownerReport.Recovered = false, true
	}
}

// handleReturn handles a lease owner's message that a call of another courier was answered: pauses
// set by this courier end after a random delay, and endpoints with an open breaker get a trial.
func (c *Courier) handleReturn(r *route) {
	if !r.unreachable {
		return
	}
	r.unreachable = false
	at := c.now + time.Duration(c.rng.Float64()*float64(returnJitter))
	r.connectPauseUntil = min(r.connectPauseUntil, at)
	for _, e := range r.endpoints {
		e.trialAt = min(e.trialAt, at)
	}
	c.wakeBy(at)
}

// sendPeerMessages requests grants from the lease owners and sends them what they cannot observe.
func (c *Courier) sendPeerMessages() {
	if !c.settings.PeerMessages {
		return
	}
	// A courier that skipped this one while it was down or cut off has to ask it again. Otherwise
	// two couriers would keep a quota ledger of the same destination.
	if !c.announced {
		c.announced = true
		for p := range min(c.settings.Fleet, maxAnnouncements) {
			if p != c.settings.Number {
				c.emit(SendPeerMessages{Peer: p})
			}
		}
	}
	for _, d := range c.active {
		if len(d.routes) > 0 && d.routes[0].lease != nil {
			c.contactOwner(d, d.routes[0])
		}
	}
	c.grantCalls()
	for _, t := range c.outbox {
		c.emit(t)
	}
	c.outbox = nil
}

// queuePeerMessage queues a message so that it goes out with all others for that courier. A message
// to this courier itself is handled at once.
func (c *Courier) queuePeerMessage(peer int, n PeerMessage) {
	if peer == c.settings.Number {
		c.handlePeerMessage(peer, n)
		return
	}
	for i := range c.outbox {
		if t := &c.outbox[i]; t.Peer == peer {
			t.Messages = append(t.Messages, n)
			return
		}
	}
	c.outbox = append(c.outbox, SendPeerMessages{Peer: peer, Messages: []PeerMessage{n}})
}

// contactOwner sends a destination's lease owner a grant request and pending news, if there are any.
func (c *Courier) contactOwner(d *destination, r *route) {
	report := r.ownerReport
	report.Destination = d.id
	urgent := report.RejectedCalls > 0 || report.Unreachable || report.Recovered ||
		report.Limit > 0 &&
			math.Max(report.Limit/r.reportedLimit, r.reportedLimit/report.Limit) > limitChangeFactor
	peer, ok := 0, false
	if !r.lease.Idle() {
		n, top := c.demand(d)
		var next time.Duration
		peer, report.ReturnedCalls, ok, next = r.lease.NextRequest(c.now, uint32(d.id), n, c.leaseOwners)
		if next > 0 {
			c.wakeBy(max(next, c.now+c.settings.Tick))
		}
		if report.RequestsGrant = ok; ok {
			report.Calls, report.Rank = n, top
			if peer+1 != r.reportedTo && report.Limit == 0 { // it may have started a moment ago
				report.Limit = r.limit
			}
			report.OldLimit = report.Limit > 0 && c.now-r.limitReportedAt > limitFreshFor
		}
	}
	if !ok && urgent {
		peer, ok = c.leaseOwners.Owner(uint32(d.id), c.now)
	}
	if !ok {
		return
	}
	if report.Limit > 0 {
		r.reportedLimit, r.reportedTo = report.Limit, peer+1
	}
	if r.ownerReport = (PeerMessage{}); report.Unreachable {
		r.unreachableReportedAt = c.now
	}
	c.queuePeerMessage(peer, report)
}

// demand returns how many messages of d could be sent now, and the rank of the most valuable one.
func (c *Courier) demand(d *destination) (n, top int) {
	for _, r := range d.queue {
		if r.key != 0 && c.keyQueues[r.key].queue[0] != r {
			continue
		}
		n++
		top = max(top, min(255, int(rankPerValue*c.priority(r))))
	}
	return n, top
}

// receiveFromPeer handles the messages of another courier.
func (c *Courier) receiveFromPeer(ev PeerMessagesReceived) {
	// A lease owner that received nothing for lease.UnreachableFor was cut off. The other couriers
	// have moved to the next owner in order, each at a different moment, and would return in the
	// same way. Until all had returned, the limit would be granted more than once.
	if c.now-c.lastPeerAt >= lease.UnreachableFor && c.isPrimaryOwner() {
		c.announced = false
	}
	c.lastPeerAt = c.now
	c.leaseOwners.MarkReachable(ev.Peer)
	for _, n := range ev.Messages {
		c.handlePeerMessage(ev.Peer, n)
	}
}

// isPrimaryOwner reports whether this courier keeps a quota ledger as first in the order of owners.
func (c *Courier) isPrimaryOwner() bool {
	for id := range c.quotaLedgers {
		if c.leaseOwners.PreferredOwner(uint32(id)) == c.settings.Number {
			return true
		}
	}
	return false
}

// handlePeerMessage handles one message from a lease owner, or to this courier as a lease owner.
func (c *Courier) handlePeerMessage(peer int, n PeerMessage) {
	d := c.destinations[n.Destination]
	switch {
	case !n.IsGrant:
		c.updateQuotaLedger(peer, n)
	case d == nil || len(d.routes) == 0:
	case n.Recovered:
		c.handleReturn(d.routes[0])
	case d.routes[0].lease != nil:
		d.routes[0].lease.HandleGrant(c.now, peer, n.Calls, n.Cold)
		if peer == c.settings.Number { // the calls of this round have been decided
			c.wakeBy(c.now + c.settings.Tick)
		}
	}
}

// updateQuotaLedger applies a courier's message to the quota ledger that this courier keeps.
func (c *Courier) updateQuotaLedger(peer int, n PeerMessage) {
	l := c.quotaLedgers[n.Destination]
	if l == nil {
		if len(c.quotaLedgers) >= maxQuotaLedgers {
			maps.DeleteFunc(c.quotaLedgers, func(_ DestinationID, l *lease.QuotaLedger) bool {
				return c.now-l.LastUsed() > quotaLedgerIdle
			})
		}
		if len(c.quotaLedgers) >= maxQuotaLedgers {
			return
		}
		l = lease.NewQuotaLedger(lease.SlowStart{
			InitialShare: c.settings.ColdShare, LoadFactor: pooledColdFactor * c.settings.CollapseMultiple,
			WarmUp: c.settings.WarmUp, MinObservers: max(3, c.settings.Fleet/8),
		})
		c.quotaLedgers[n.Destination] = l
	}
	if n.OldLimit {
		l.ReportStale(c.now, n.Limit)
	} else {
		l.Report(c.now, n.Limit)
	}
	if n.Unreachable {
		l.RecordFailing(c.now, peer)
	}
	if n.Recovered {
		for _, p := range l.RecordRecovery(c.now) {
			c.queuePeerMessage(p, PeerMessage{Destination: n.Destination, IsGrant: true, Recovered: true})
		}
	}
	if n.RejectedCalls > 0 {
		l.RecordRejection(c.now)
	}
	if n.RequestsGrant {
		l.Request(c.now, peer, n.Calls, n.Rank, n.ReturnedCalls)
		if !slices.Contains(c.requestedLedgers, n.Destination) {
			c.requestedLedgers = append(c.requestedLedgers, n.Destination)
		}
	}
}

// grantCalls grants the calls that the quota ledgers kept here allow to the waiting couriers.
func (c *Courier) grantCalls() {
	c.requestedLedgers = slices.DeleteFunc(c.requestedLedgers, func(id DestinationID) bool {
		l := c.quotaLedgers[id]
		if l == nil {
			return true
		}
		for _, g := range l.Grants(c.now) {
			c.queuePeerMessage(g.Peer, PeerMessage{
				Destination: id, IsGrant: true, Calls: g.Calls, Cold: l.Cold(c.now),
			})
		}
		at := l.Next(c.now)
		if at > 0 {
			c.wakeBy(max(at, c.now+c.settings.Tick))
		}
		return at == 0
	})
}
