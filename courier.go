package snowjunction

// This file holds every decision of a courier. Its interface (events and actions) is in api.go.
// state.go keeps the state and passes each event to acceptRequest, attemptEnded, probeEnded or
// applyList before decide runs.
//
// The path of a request, in the order of this file:
//
//	acceptRequest   queues the request at its destination and in the queue of its key
//	dispatch        while slots are free, sends the request with the highest value per slot if
//	                  the destination's concurrency window has room   (nextSend, maxCalls)
//	                  pacing and retry-after delay of its route allow it   (routeReady)
//	                  an endpoint is up, or cold within its budget   (withinColdBudget)
//	attemptEnded    updates window, pacing rate and circuit breaker from the outcome
//	retryOrAnswer   retries if the effect and the retry budget allow it, else answers at once
//	setHealth       opens the breaker of a failing endpoint, which then gets one trial call
//	                  at a time   (recordFailure, sendTrial)
//	sweep           answers requests that can no longer be served and sheds excess ones
//
// The ordinary path is the retry budget of Linkerd 2.2 with a latency-based concurrency window
// (docs/design.md). Circuit breaker, pacing, slow start and load shedding are additions. The
// condition under which each of them acts is stated at its code.

import (
	"math"
	"time"

	"snowjunction/internal/lease"
)

// The retry budget: per window, retries stay under ratio x first attempts + floor.
const (
	retryBudgetWindow = 10 * time.Second
	retryRatio        = 0.2 // retries must not multiply the load of a failing destination
	retryFloorPerSlot = 1.0 // times the slots; the only budget of a rarely called destination
)

// The concurrency window. Latencies are multiples of the best recent latency.
const (
	widenBelow         = 1.7  // widen the window below this latency
	narrowAbove        = 3.0  // above this latency narrow the window and treat the destination as slow
	narrowFactor       = 0.9  // applied on each answer
	latencySmoothing   = 0.15 // weight of one answer in the smoothed latency
	bestLatencyDrift   = 1.01 // the best latency grows by this factor on each answer, to forget old values
	maxSlotShare       = 0.75 // of the slots, exclusive
	initialWindowShare = 0.5  // of the slots, rounded down
	impairedSlotShare  = 0.5  // of the slots, while the destination fails or is slow
	bundledRequestCost = 0.15 // cost of each further request in a call
)

// Attempt timeouts.
const (
	timeoutLatencyMultiple = 8.0 // of the smoothed latency: frees slots of lost calls, admits slow answers
	timeoutTargetShare     = 0.6 // of the target latency, as a lower bound
	unsafeTimeoutFactor    = 3.0 // an unsafe request cannot be retried after a timeout
)

// The circuit breaker and the treatment of connections.
const (
	breakerFailures       = 4   // consecutive failures that open it; a reset counts one, a timeout all
	breakerErrors         = 8   // consecutive quick errors that open it: cheap, and often among successes
	unavailableRejections = 5   // consecutive rejection episodes: unavailable, not rate limited
	unavailableRetryAfter = 2.5 // seconds; after a longer retry-after delay it is treated as cold
	firstTrialDelay       = 0.4 // of the connect timeout; detects the end of short outages early
	trialBackoffFactor    = 1.5 // longer outages get fewer trials, which saves slots and retry budget
	maxTrialDelay         = 0.7 // of the connect timeout; a longer delay would detect recovery late
	recentFailureCost     = 4.0 // cost factor after a recent failure of this class; prefers siblings
	minIdleFailures       = 2.0 // failures on idle connections, more than successes: the peer closes them
	idleFailureWindows    = 3   // retry budget windows for which such failures are kept
	minReuseShare         = 0.2 // of the fleet: a connection with fewer uses per ConnIdle is closed
	goneRetentionWindows  = 6   // retry budget windows; a removed endpoint may be listed again
	smallTableWindows     = 6   // retry budget windows for which a kind is assumed to have small tables
	maxConnectPause       = 2   // of minTargetLatency, after a full table; more would detect recovery late
)

// Pacing. Rates are multiples of limit / fleet.
const (
	initialPaceShare     = 1.15 // slightly above the even share, as traffic is seldom even
	minPaceShare         = 0.5  // a series of rejections must not starve this courier
	paceGrowthPerSecond  = 0.2  // while requests wait and none is rejected
	rejectionPaceFactor  = 0.75 // applied on a rejection, as another courier needs the capacity
	peakHeadroom         = 1.5  // assumed capacity, over the highest success rate, if no limit is reported
	limitChangeFactor    = 1.6  // a reported limit that changed by this factor was cut or restored
	unknownCapacityShare = 0.25 // of the mean destination's part of the quotas, if nothing is known
	paceGrowthPause      = 1.0  // of minTargetLatency: no growth for this time after a rejection
	minPacedShare        = 0.06 // of the fleet: calls per minTargetLatency; below it, rejections set a gap
	maxCallGap           = 16   // of minTargetLatency: the gap of a rejecting route doubles from 1 up to this
	retryGapFactor       = 1.25 // rejected retries multiply a kind's first gap, successful ones divide it
	minLeftForGrowth     = 0.15 // no growth while a smaller share of the limit is left
	burstSeconds         = 0.3  // seconds of pacing rate that may be sent at once
	cautiousPaceShare    = 0.85 // of the even share, after a load; stays under it with one call in hand
	maxTrialOutageShare  = 0.9  // of the outage so far: longest trial interval that the cold budget sets
	coldBudgetFactor     = 1.1  // of the cold budget; a limit is set below what the destination can do
)

// Load shedding and the choice of an endpoint. Costs are latency factors.
const (
	maxHeldShare      = 0.92 // of MaxHeld
	urgencyWeight     = 0.1  // weight of the elapsed share of the target latency
	crossZoneCost     = 1.5  // an endpoint in another zone
	newConnCost       = 1.3  // an endpoint without an idle connection
	doubtfulCost      = 100  // an endpoint that may be gone; any sibling is preferred
	quotaBurstSeconds = 2.0  // seconds of quota that may be used at once
)

// decide returns the actions that follow from the events handled so far.
func (c *Courier) decide() {
	c.subscribe()
	c.sweep()
	for _, d := range c.active {
		for _, r := range d.routes {
			c.sendTrial(r)
		}
	}
	c.dispatch()
}

// subscribe subscribes to the endpoint list if it is sent only to subscribers.
func (c *Courier) subscribe() {
	if !c.settings.SubscribeToList || c.watching {
		return
	}
	if c.wakeBy(c.watchAt); c.now >= c.watchAt {
		c.watching, c.actions = true, append(c.actions, Watch{})
	}
}

// applyList applies news of the endpoint list. Draining and removed endpoints get no further
// calls from now on. An endpoint that is listed again keeps its state.
func (c *Courier) applyList(ev List) {
	if ev.Kind == ListFailed {
		c.watching, c.watchAt = false, c.now+
			c.jitter(max(c.settings.SubscribeWithin/4, c.settings.ConnectTimeout))
		return
	}
	if ev.Kind != ListDelta {
		for _, d := range c.destinationOrder {
			for _, e := range d.endpoints {
				c.markGone(e)
			}
		}
	}
	c.listedDestinations = max(ev.Destinations, len(c.destinationOrder))
	for _, entry := range ev.Endpoints {
		e := c.endpoints[entry.ID]
		if e == nil {
			e = &endpoint{Endpoint: entry}
			c.endpoints[entry.ID] = e
			c.addEndpoint(e)
		}
		if entry.Phase == Gone {
			c.markGone(e)
		}
		e.update(entry, c.now)
		if c.settings.WeightsAreLimits && entry.Weight > 0 {
			e.route.limit = entry.Weight
		}
	}
	c.removeGone()
}

// acceptRequest queues a new request.
func (c *Courier) acceptRequest(ev Request) {
	if c.requests[ev.ID] != nil {
		return
	}
	class := c.classAt(ev.Class)
	r := &request{
		id: ev.ID, class: class, dest: c.destinationFor(ev.Destination), deadline: c.now + ev.Deadline,
	}
	originalStart := r.deadline - class.Deadline // a resubmitted request has used part of its time
	aim := class.TargetLatency + time.Duration(class.TargetPerWork*float64(ev.Work))
	r.targetAt = originalStart + min(aim, class.Deadline)
	r.overQuota = c.overQuota(ev.Tenant)
	if class.InOrder && ev.Key != 0 {
		r.key = ev.Key
	}
	r.attempts, r.mayHaveRun, r.ranAt = ev.Attempts, ev.MayHaveRun, c.now-ev.SinceRun
	c.addRequest(r)
	c.sweepAt = min(c.sweepAt, c.latestSend(r))
	// After a restart a further attempt is a retry like any other: the effect, the number of
	// attempts and the retry budget have to allow it.
	if r.attempts > 0 && !c.resumeAttempt(r, ev) && !c.mayRetry(r) {
		c.abandon(r)
	}
}

// overQuota draws on the tenant's quota at this courier and reports whether it is used up. A
// request above the quota has a reduced value, so it is sent last.
func (c *Courier) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(c.tenantQuotas) {
		return false
	}
	share := c.settings.Tenants[tenant].Quota / float64(c.settings.Fleet)
	q := &c.tenantQuotas[tenant]
	q.refill(c.now, share, share*quotaBurstSeconds)
	return !q.take()
}

// valueAt returns the value of r if it is answered at t.
func (c *Courier) valueAt(r *request, t time.Duration) float64 {
	value, late := r.class.Value, float64(t-r.targetAt)
	if r.overQuota {
		value *= c.settings.OverQuotaValueShare
	}
	switch {
	case t >= r.deadline:
		return 0
	case late <= 0:
		return value
	case c.settings.ValueHalves:
		return value * math.Max(r.class.LateValueShare,
			math.Exp2(-late/math.Max(1, float64(r.class.TargetLatency))))
	}
	return value * (1 - (1-r.class.LateValueShare)*late/math.Max(1, float64(r.deadline-r.targetAt)))
}

// priority returns the priority of r in its queue: the value still to be gained, with requests
// close to their target latency first among equals. Late requests count with their remaining
// value only, so that they cannot delay all others.
func (c *Courier) priority(r *request) float64 {
	value := c.valueAt(r, c.now+durationOf(r.dest.latency))
	if left := r.targetAt - c.now; left > 0 && r.class.TargetLatency > 0 {
		value *= 1 + urgencyWeight*math.Max(0, 1-float64(left)/float64(r.class.TargetLatency))
	}
	return value
}

// dispatch sends requests while slots are free, highest value per slot first.
func (c *Courier) dispatch() {
	c.sendOptions = c.sendOptions[:0] // one per destination; a send changes only its own
	for top := -1; c.openCalls < c.settings.Slots; {
		if top >= 0 {
			c.sendOptions[top] = c.optionFor(c.active[top])
		}
		for i := len(c.sendOptions); i < len(c.active); i++ {
			c.sendOptions = append(c.sendOptions, c.optionFor(c.active[i]))
		}
		options := c.sendOptions
		top = -1
		for j := range options {
			if options[j].request != nil && (top < 0 || options[j].valuePerSlot > options[top].valuePerSlot) {
				top = j
			}
		}
		if top < 0 {
			return
		}
		best, ep := options[top].request, options[top].endpoint
		// Waiting requests of the same destination share the call if its kind takes bundles. They
		// also share its outcome, which is no worse than separate calls.
		for c.send(best, ep); c.roundCalls[ep].size < best.dest.kind.BundleMax &&
			!ep.Doubtful; c.send(best, ep) {
			if best, _ = c.chooseSend(ep.route.dest, []*endpoint{ep}); best == nil {
				break
			}
		}
	}
}

// optionFor returns what d would send now, with its value per slot.
func (c *Courier) optionFor(d *destination) (o sendOption) {
	if o.request, o.endpoint = c.nextSend(d); o.request != nil {
		o.valuePerSlot = c.priority(o.request) / math.Max(d.latency, seconds(c.settings.Tick))
	}
	return o
}

// nextSend returns the request of d to be sent now and its endpoint, or nil if there is none.
func (c *Courier) nextSend(d *destination) (*request, *endpoint) {
	if len(d.queue) == 0 || d.openCalls >= min(c.maxCalls(d), int(d.window)) {
		return nil, nil
	}
	candidates := c.candidateBuffer[:0]
	for _, r := range d.routes {
		if !c.routeReady(r) {
			continue
		}
		n := len(candidates)
		for _, e := range r.endpoints {
			if e.Phase == Ready && e.state != down && !(e.Doubtful && len(e.calls) > 0) &&
				c.withinColdBudget(e) {
				candidates = append(candidates, e)
			}
		}
		if len(candidates) > n && !c.leaseAllows(r) {
			candidates = candidates[:n]
		}
	}
	if c.candidateBuffer = candidates; len(candidates) == 0 {
		return nil, nil
	}
	return c.chooseSend(d, candidates)
}

// maxCalls returns the upper bound on the open calls of d. It is three quarters of the slots,
// exclusive, or half of them while d is slow, an endpoint's breaker is open or an endpoint has
// failed since its last success.
func (c *Courier) maxCalls(d *destination) int {
	impaired := d.latency > narrowAbove*d.bestLatency
	for _, e := range d.endpoints {
		impaired = impaired || e.Phase == Ready && (e.state == down || e.failures > 0)
	}
	if impaired {
		return max(1, int(impairedSlotShare*float64(c.settings.Slots)))
	}
	return max(1, int(math.Ceil(c.tuning.MaxSlotShare*float64(c.settings.Slots)))-1)
}

// routeReady reports whether no delay blocks the route and its pacing rate allows a call.
func (c *Courier) routeReady(r *route) bool {
	c.refillTokens(r)
	switch {
	case c.now < r.blockedUntil():
		c.wakeBy(r.blockedUntil())
	case r.pacingRate > 0 && r.bucket.tokens < 1:
		r.waitedForToken = true
		c.wakeBy(c.now + min(durationOf((1-r.bucket.tokens)/r.pacingRate), c.minTargetLatency/4))
	default:
		return true
	}
	return false
}

// refillTokens refills the token bucket of r and adapts the pacing rate to the capacity that the
// other couriers leave: it grows while requests wait and none is rejected. In a large fleet the
// even share of a limit says nothing about the needs of this courier's few requests. There is no
// pacing rate then, and rejections set a gap between calls.
func (c *Courier) refillTokens(r *route) {
	dt := seconds(c.now - r.bucket.filledAt)
	share := c.evenShare(r)
	if dt == 0 && r.pacingRate > 0 {
		return
	}
	noOwner := c.ownerless(r, share)
	if !noOwner && (r.limit <= 0 || c.shareBelow(r, minPacedShare) || c.leaseOf(r) != nil) {
		r.pacingRate = 0
		return
	}
	// The more couriers share a limit, the more uneven their traffic is.
	start := share * c.tuning.InitialPace * math.Sqrt(math.Max(1, float64(c.settings.Fleet)/2))
	burst := burstSeconds
	if c.now < r.cautiousUntil { // loaded recently: the known limit is old and may have been cut
		start, burst = share*c.tuning.PaceAfterLoad, 0
		r.pacingRate = math.Min(r.pacingRate, start)
	}
	if noOwner {
		start = r.ownerlessRate
	}
	switch {
	case r.pacingRate == 0:
		r.pacingRate = start
	case c.now < r.cautiousUntil:
	case r.waitedForToken && c.now-r.rejectedAt > durationOf(paceGrowthPause*seconds(c.minTargetLatency)) &&
		r.limitLeft > minLeftForGrowth:
		r.pacingRate = math.Min(c.assumedLimit(r), r.pacingRate+dt*paceGrowthPerSecond*share)
	case !r.waitedForToken:
		r.pacingRate += (start - r.pacingRate) * math.Min(1, dt/seconds(retryBudgetWindow))
	}
	r.waitedForToken = false
	r.bucket.refill(c.now, r.pacingRate, math.Max(1, r.pacingRate*burst))
}

// hasIdleConn drops idle connections that have timed out and reports whether one is left.
func (c *Courier) hasIdleConn(e *endpoint) bool {
	for len(e.idleConns) > 0 && c.now-e.idleConns[0] >= c.settings.ConnIdle-2*c.settings.Tick {
		e.idleConns = e.idleConns[1:]
	}
	if n := len(e.idleConns); n > 0 && c.idleConnsFail() && c.now-e.idleConns[n-1] >= c.idleFailureAge*2/3 {
		c.closeIdleConns(e)
	}
	return len(e.idleConns) > 0
}

// idleConnsFail reports whether the peer closes idle connections without notice: most calls on
// connections above some idle time fail. Such connections are closed before they reach it.
func (c *Courier) idleConnsFail() bool {
	n := c.idleFailures.sum(c.now)
	return n >= minIdleFailures && n > c.idleSuccesses.sum(c.now)
}

// observeIdleReuse records the outcome of a call on a connection that had been idle.
func (c *Courier) observeIdleReuse(b *call, o Outcome) {
	switch {
	case b.connIdle == 0:
	case o == OK && b.connIdle >= c.idleFailureAge:
		c.idleSuccesses.add(c.now, 1)
	case o == Reset || o == TimedOut:
		if c.idleFailures.sum(c.now) == 0 || b.connIdle < c.idleFailureAge {
			c.idleFailureAge = b.connIdle
		}
		c.idleFailures.add(c.now, 1)
		c.closeIdleConns(b.endpoint)
	}
}

// endpointCost returns the cost of e for r. Open calls, latency, another zone, the lack of an idle
// connection and a recent failure of the same class raise it.
func (c *Courier) endpointCost(e *endpoint, r *request) float64 {
	latency := e.latency
	if latency == 0 {
		latency = e.route.dest.latency
	}
	at := e.classFailedAt[r.class.index]
	v := math.Max(latency, seconds(c.settings.Tick)) * float64(1+len(e.calls))
	v *= factorIf(e.Zone != c.settings.Zone, crossZoneCost) * factorIf(!c.hasIdleConn(e), newConnCost) *
		factorIf(e.Doubtful, doubtfulCost)
	return v * factorIf(at > 0 && c.now < at+retryBudgetWindow, recentFailureCost)
}

// chooseSend returns the queued request of d with the highest priority that may go to one of eps,
// and the cheapest of these endpoints for it.
func (c *Courier) chooseSend(d *destination, eps []*endpoint) (best *request, ep *endpoint) {
	top, preferSafe := 0.0, d.safeRequestWaiting(eps)
	for _, r := range d.queue {
		v := c.priority(r)
		if best != nil && v <= top {
			continue
		}
		cheapest, lowestCost := (*endpoint)(nil), 0.0
		for _, e := range eps {
			if !c.eligible(r, e) || e.Doubtful && preferSafe && r.class.Effect != Safe {
				continue // the endpoint may be gone: prefer requests that can be retried freely
			}
			if v := c.endpointCost(e, r); cheapest == nil || v < lowestCost {
				cheapest, lowestCost = e, v
			}
		}
		if cheapest != nil {
			best, ep, top = r, cheapest, v
		}
	}
	return best, ep
}

// eligible reports whether r may be sent to e. Requests of one key keep their order, and a keyed
// request that may have been executed goes only to endpoints that recognize the duplicate.
func (c *Courier) eligible(r *request, e *endpoint) bool {
	if r.key != 0 {
		l := c.keyQueues[r.key]
		if l.queue[0] != r {
			return false
		}
		if c.now < l.settleUntil && r.attempts == 0 {
			c.wakeBy(l.settleUntil)
			return false
		}
	}
	if r.mayHaveRun && r.class.Effect == Keyed {
		g := r.class.Group
		if g != GroupAll && r.ranEndpoint == nil { // sent by a previous process run to an unknown endpoint
			return false
		}
		if g == GroupEndpoint && e != r.ranEndpoint || g == GroupZone && e.Zone != r.ranEndpoint.Zone {
			return false
		}
	}
	return c.now < c.latestSend(r)
}

// latestSend returns the last moment at which r can be sent: early enough for an answer and, if it
// may have been executed, while the destination still recognizes its key.
func (c *Courier) latestSend(r *request) time.Duration {
	t := r.deadline - max(durationOf(r.dest.bestLatency/2), 2*c.settings.Tick)
	if r.mayHaveRun && r.class.Effect == Keyed {
		t = min(t, r.ranAt+r.class.Window-2*c.settings.Tick)
	}
	return t
}

// send sends r to e, in this round's call to e if it has room for another request.
func (c *Courier) send(r *request, e *endpoint) {
	d, rt := r.dest, e.route
	b, weight := c.roundCalls[e], bundledRequestCost
	if b == nil || b.size >= d.kind.BundleMax {
		b, weight = c.openCall(e), 1.0
		rt.bucket.tokens--
		c.countLeaseCall(rt)
		if c.hasIdleConn(e) {
			b.connIdle = c.now - e.idleConns[len(e.idleConns)-1]
			e.idleConns = e.idleConns[:len(e.idleConns)-1]
		}
	}
	if e.state != up || e.failures > 0 { // calls to a healthy sibling do not count against a cold one
		rt.countColdCall(c.now, weight)
	}
	rt.coldCalls.dropBefore(c.now - max(c.settings.WarmUp, c.settings.CollapseTime)) // limits memory
	b.size++
	b.pendingOutcomes++
	if r.attempts == 0 {
		d.firstAttempts.add(c.now, 1)
	}
	r.attempts++
	r.call = b
	d.queue = remove(d.queue, r)
	t := c.attemptTimeout(r)
	b.shortTimeout = b.shortTimeout || t < c.conclusiveAfter(d)
	c.emit(Send{Request: r.id, Endpoint: e.ID, Timeout: t})
}

// attemptTimeout follows the observed latency. An unsafe request cannot be retried after a timeout,
// so it gets a longer one in case the endpoint is only slow. If slots are short it does not, as a
// path that loses calls could occupy all of them.
func (c *Courier) attemptTimeout(r *request) time.Duration {
	t := math.Max(timeoutLatencyMultiple*r.dest.latency, timeoutTargetShare*seconds(r.class.TargetLatency))
	if r.class.Effect == Unsafe && float64(c.openCalls) < c.tuning.MaxSlotShare*float64(c.settings.Slots) {
		t *= unsafeTimeoutFactor
	}
	return min(max(durationOf(t), c.settings.ConnectTimeout), r.deadline-c.now)
}

// attemptEnded records the outcome of an attempt and retries or answers its request.
func (c *Courier) attemptEnded(ev AttemptEnded) {
	r := c.requests[ev.Request]
	if r == nil || r.call == nil || ev.Attempt != r.attempts-1 {
		return
	}
	b := r.call
	r.call = nil
	if ev.NewConn || ev.ConnIdle > 0 {
		b.connIdle = ev.ConnIdle
	}
	c.applyReport(b.endpoint.route, ev.Report)
	// Any request of a bundle may carry the retry-after delay.
	if (ev.Outcome == Rejected || ev.Outcome == Error) && ev.RetryAfter > 0 {
		b.endpoint.route.setRetryAfter(c.now + ev.RetryAfter + c.settings.Tick)
	}
	c.recordOutcome(b, r, ev)
	c.closeCall(b)
	uncertain := ev.Outcome == TimedOut || ev.Outcome == Reset || ev.Outcome == Cancelled
	if (uncertain || ev.Outcome == Error) && !r.mayHaveRun {
		r.mayHaveRun, r.ranAt, r.ranEndpoint = true, b.sentAt+ev.SetupTook, b.endpoint
	}
	if l := c.keyQueues[r.key]; r.key != 0 && l != nil && uncertain {
		l.settleUntil = c.now + c.settings.OrderSettle
	}
	if ev.Done || r.answered {
		c.finishRequest(r)
		return
	}
	c.sweepAt = min(c.sweepAt, c.latestSend(r))
	c.retryOrAnswer(r)
}

// retryOrAnswer retries a failed request if that is harmless and within the retry budget. Otherwise
// it answers the request at once.
func (c *Courier) retryOrAnswer(r *request) {
	if c.mayRetry(r) {
		c.enqueue(r)
		return
	}
	c.abandon(r)
}

// mayRetry reports whether r may be sent again. If so, it has drawn on the retry budget.
func (c *Courier) mayRetry(r *request) bool {
	harmless := !r.mayHaveRun || r.class.Effect != Unsafe
	exhausted := c.settings.MaxAttempts > 0 && r.attempts >= c.settings.MaxAttempts
	return harmless && !exhausted && c.now+2*c.settings.Tick < r.deadline && c.withdrawRetry(r.dest)
}

// withdrawRetry draws one retry from the destination's budget. It returns false if that is used up.
func (c *Courier) withdrawRetry(d *destination) bool {
	floor := math.Max(1, c.tuning.RetryFloor*float64(c.settings.Slots))
	if d.retries.sum(c.now) >= c.tuning.RetryRatio*d.firstAttempts.sum(c.now)+floor {
		return false
	}
	d.retries.add(c.now, 1)
	return true
}

// abandon gives a request its final answer: Refuse if a retry by the client is known to be
// harmless, with a retry-after delay, otherwise Fail.
func (c *Courier) abandon(r *request) {
	harmless := !r.mayHaveRun || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll && c.now < r.ranAt+r.class.Window
	if harmless && c.now+c.settings.Tick < r.deadline {
		c.emit(Refuse{Request: r.id, RetryAfter: c.retryAfter(r.dest)})
	} else {
		c.emit(Fail{Request: r.id})
	}
	c.finishRequest(r)
}

// retryAfter returns the delay after which a request to d is likely to be served: when its
// destination is no longer blocked, at the next trial, or when the queue has drained at the present
// rate. It returns zero if clients take no such advice.
func (c *Courier) retryAfter(d *destination) (t time.Duration) {
	if !c.settings.RetryAfter {
		return 0
	}
	for _, e := range d.endpoints {
		t = max(t, e.route.blockedUntil()-c.now)
		if e.state == down {
			t = max(t, e.trialAt-c.now)
		}
	}
	if rate := d.successes.sum(c.now) / seconds(retryBudgetWindow); rate > 0 {
		t = max(t, durationOf(float64(len(d.queue))/rate))
	}
	return min(max(t, c.settings.Tick), c.settings.MaxRetryAfter)
}

// applyReport applies the rate limit values that a destination reported in an answer.
func (c *Courier) applyReport(r *route, values []float64) {
	for i := range min(len(values), len(c.settings.Report)) {
		switch v := values[i]; {
		case c.settings.Report[i] == AllowanceLeft:
			r.limitLeft = v
		case c.settings.Report[i] == LimitRate && v > 0:
			// If the limit is cut or restored, the pacing rate changes in proportion at once. Smaller
			// changes are mostly noise.
			if r.limit > 0 && math.Max(v/r.limit, r.limit/v) > limitChangeFactor {
				r.pacingRate, r.ownerlessRate = r.pacingRate*v/r.limit, r.ownerlessRate*v/r.limit
			}
			r.limit = v
		}
	}
	c.recordLimitReport(r, len(values))
}

// recordOutcome updates window, pacing rate and circuit breaker from the first outcome of a call.
func (c *Courier) recordOutcome(b *call, r *request, ev AttemptEnded) {
	if b.recorded || ev.Outcome == NotSent {
		return
	}
	b.recorded = true
	e, d := b.endpoint, b.endpoint.route.dest
	if ev.Outcome == TimedOut && b.shortTimeout {
		return // cut short by the message's own deadline, so it says nothing about the endpoint
	}
	// The retries of a whole kind set its first gap, as a single destination is called too seldom.
	if g := &c.retryGap[d.kindIndex]; r.attempts > 1 && ev.Outcome == Rejected {
		*g = min(durationOf(seconds(*g)*retryGapFactor), maxCallGap*c.minTargetLatency)
	} else if r.attempts > 1 && ev.Outcome == OK {
		*g = max(durationOf(seconds(*g)/retryGapFactor), c.minTargetLatency)
	}
	wasTrial := e.state == down
	c.trackReachability(e.route, ev.Outcome)
	c.observeIdleReuse(b, ev.Outcome)
	if ev.Outcome == Error || ev.Outcome == TimedOut || ev.Outcome == Reset {
		e.classFailedAt[r.class.index] = c.now // possibly only this class fails here: retry it at a sibling
	}
	switch ev.Outcome {
	case OK:
		e.idleConns = append(e.idleConns, c.now)
		d.successes.add(c.now, float64(b.size))
		d.peakRate = math.Max(d.peakRate, d.successes.sum(c.now)/seconds(retryBudgetWindow))
		c.observeLatency(d, e, seconds(ev.Took)/(1+bundledRequestCost*float64(b.size-1)))
		c.recordSuccess(e)
		e.lastSuccessAt, e.classFailedAt[r.class.index] = c.now, 0
		if e.route.callGap /= 2; e.route.callGap < c.minTargetLatency/2 {
			e.route.callGap = 0
		}
		e.route.waitUntil = max(e.route.waitUntil, c.now+c.jitter(e.route.callGap))
	case Rejected:
		e.idleConns = append(e.idleConns, c.now)
		c.recordRejection(e, b, ev.RetryAfter)
	case ConnectFailed:
		// If other calls succeeded meanwhile, or the connection was refused at once and connection
		// tables are small, then the table is full and the endpoint is not down. New calls pause
		// briefly.
		weight, pause := breakerFailures, time.Duration(0)
		if ev.Took+2*c.settings.Tick < c.settings.ConnectTimeout {
			if c.smallTableUntil[d.kindIndex] = c.now +
				smallTableWindows*retryBudgetWindow; c.closesAfterUse(d) {
				weight, pause = 1, c.minTargetLatency*min(time.Duration(1+e.failures), maxConnectPause)
			}
		}
		if e.succeededSince(b) {
			weight, pause = 0, durationOf(d.latency)
		} else if ev.Took+2*c.settings.Tick < c.settings.ConnectTimeout &&
			c.now-e.lastSuccessAt <= c.minTargetLatency && e.lastSuccessAt > 0 {
			weight = 1 // it answered recently: a single connection may break
		}
		if !c.closesAfterUse(d) { // a call that reached nobody must not delay the next trial
			e.route.coldCalls.remove(b.sentAt, 1+bundledRequestCost*float64(b.size-1))
		}
		e.route.connectPauseUntil = max(e.route.connectPauseUntil, c.now+c.jitter(pause))
		c.recordFailure(e, weight, true, breakerFailures)
	case TimedOut:
		if e.succeededSince(b) { // other calls succeeded meanwhile: this one was lost
			break
		}
		// The call may be slow as well as lost. The latency is capped, as otherwise each timeout
		// would lengthen the next one, up to the deadline.
		took := seconds(ev.Took)
		if d.latency > 0 {
			took = math.Min(took, narrowAbove*d.latency)
		}
		weight := breakerFailures
		if b.connIdle > 0 && c.idleConnsFail() { // perhaps only the connection is broken
			weight = 1
		} else {
			c.observeLatency(d, e, took)
		}
		c.recordFailure(e, weight, false, breakerFailures)
	case Reset:
		// A reused connection that breaks says little about its endpoint, and so does a new one
		// among successes. Further connections will show.
		if b.connIdle == 0 && !e.succeededShortlyBefore(b, c.minTargetLatency) {
			c.recordFailure(e, 1, false, breakerFailures)
		}
	case Error: // may be one among many successes
		e.idleConns = append(e.idleConns, c.now)
		c.recordFailure(e, 1, false, breakerErrors)
	}
	if len(d.queue) == 0 && c.closesAfterUse(d) {
		c.closeIdleConns(e)
	}
	if wasTrial && e.state == down && ev.Outcome != Cancelled {
		c.scheduleTrial(e)
	}
}

// conclusiveAfter returns the time without an answer after which a call to d is conclusive.
func (c *Courier) conclusiveAfter(d *destination) time.Duration {
	if d.latency == 0 {
		return c.minTargetLatency / 2
	}
	return min(durationOf(narrowAbove*d.latency), c.minTargetLatency)
}

// closesAfterUse reports whether d's connections should be closed after use. A connection refused
// at once shows that connection tables are small at this kind. In a large fleet the idle
// connections of all couriers fill such a table although hardly one of them is used again.
func (c *Courier) closesAfterUse(d *destination) bool {
	uses := d.firstAttempts.sum(c.now) / seconds(retryBudgetWindow) *
		seconds(c.settings.ConnIdle) / float64(len(d.endpoints))
	return c.now < c.smallTableUntil[d.kindIndex] && 1+uses < minReuseShare*float64(c.settings.Fleet)
}

// observeLatency updates the smoothed latency and the concurrency window. took is in seconds.
func (c *Courier) observeLatency(d *destination, e *endpoint, took float64) {
	blend := func(v *float64) {
		if *v == 0 {
			*v = took
		}
		*v += latencySmoothing * (took - *v)
	}
	blend(&e.latency)
	blend(&d.latency)
	previous := d.bestLatency
	if d.bestLatency == 0 || d.latency < d.bestLatency*bestLatencyDrift {
		d.bestLatency = d.latency
	} else {
		d.bestLatency *= bestLatencyDrift
	}
	c.sweepAt -= max(0, 1+durationOf(d.bestLatency-previous)/2) // bounds the change of latestSend
	switch {
	case d.latency < widenBelow*d.bestLatency:
		d.window = math.Min(d.window+1/d.window, float64(c.settings.Slots))
	case d.latency > narrowAbove*d.bestLatency:
		d.window = math.Max(1, d.window*narrowFactor)
	}
}

// recordSuccess closes the breaker, as the endpoint answers. If the breaker was open, the endpoint
// is treated as cold.
func (c *Courier) recordSuccess(e *endpoint) {
	e.failures, e.route.rejections = 0, 0
	if e.state != down {
		return
	}
	e.backoff, e.lastOutage, e.maxOutage = 0, c.now-e.stateSince, e.outageBound(c.now)
	for _, x := range e.route.endpoints { // endpoints that failed together mostly recover together
		x.trialAt = min(x.trialAt, c.now)
	}
	c.setHealth(e, cold, "open", "answers, slow start")
}

// setHealth changes the health of an endpoint: up or cold to down as its breaker opens, down to cold
// as it answers, cold to up after slow start. Idle connections are closed when the breaker opens, so
// that the next call to a dead machine fails to connect, which proves that it was not executed.
func (c *Courier) setHealth(e *endpoint, to health, event, reason string) {
	if e.state == to {
		return
	}
	e.setState(to, c.now)
	if to == down {
		c.closeIdleConns(e)
		c.scheduleTrial(e)
	}
	if event != "" {
		c.logEndpoint(event, e, reason)
	}
}

// recordRejection handles a rejected call. It honours the retry-after delay, slows down, and
// distinguishes a rate limit from an unavailable destination, which rejects several episodes in a
// row.
func (c *Courier) recordRejection(e *endpoint, b *call, wait time.Duration) {
	r := e.route
	if r.startsEpisode(b) {
		r.rejections++
		switch {
		case r.pacingRate > 0:
			share := c.evenShare(r)
			r.pacingRate = math.Max(share*minPaceShare,
				math.Min(r.pacingRate, c.maxPacingRate(r))*rejectionPaceFactor)
		case c.reportRejection(r, wait):
		case r.limit > 0:
			r.callGap = min(max(2*r.callGap, c.retryGap[r.dest.kindIndex]), maxCallGap*c.minTargetLatency)
			r.waitUntil = max(r.waitUntil, c.now+wait+c.jitter(r.callGap))
		default:
			r.dest.window = math.Max(1, r.dest.window*rejectionPaceFactor)
		}
	}
	r.rejectedAt, r.bucket.tokens = c.now, math.Min(r.bucket.tokens, 0)
	if wait == 0 {
		r.waitUntil = max(r.waitUntil, c.now+c.jitter(max(durationOf(r.dest.latency), 4*c.settings.Tick)))
	}
	for _, x := range r.endpoints {
		switch {
		case r.rejections >= unavailableRejections:
			x.trialSafe, x.failingSince = true, c.now
			c.setHealth(x, down, "gate", "shut, held")
		case seconds(wait) > unavailableRetryAfter:
			c.setHealth(x, cold, "gate", "shut, told until when")
			x.stateSince, x.lastOutage = c.now+wait, wait
		}
	}
}

// recordFailure counts a failure with its weight. The breaker opens at threshold consecutive
// failures. The threshold is one less than breakerFailures after an outage and also, unless the
// failure is a quick error, if a sibling's breaker is open: outages mostly affect a whole
// destination.
func (c *Courier) recordFailure(e *endpoint, weight int, notRun bool, threshold int) {
	if e.failures == 0 {
		e.failingSince = c.now
	}
	e.failures += weight
	for _, x := range e.route.endpoints {
		sibling := x.state == down && x.Phase == Ready && threshold == breakerFailures
		if x == e && e.state == cold || sibling {
			threshold = breakerFailures - 1
		}
	}
	if e.failures >= threshold || e.state == down {
		e.trialSafe = notRun
		c.setHealth(e, down, "gate", "failing, held")
	}
}

// scheduleTrial sets the time of the next trial call, with exponential backoff.
func (c *Courier) scheduleTrial(e *endpoint) {
	unit := float64(c.settings.ConnectTimeout)
	next := math.Max(firstTrialDelay*unit, float64(e.backoff)*trialBackoffFactor)
	e.backoff = time.Duration(math.Min(next, maxTrialDelay*unit))
	e.trialAt = c.now + c.jitter(e.backoff)
}

// withinColdBudget reports whether a call to e stays within this courier's share of the calls that
// a recovering destination withstands. Probes and rejected calls count, and the bound holds in any
// window of the collapse time. It applies to outages that this courier has seen.
func (c *Courier) withinColdBudget(e *endpoint) bool {
	if e.state == up && (e.failures == 0 || !c.closesAfterUse(e.route.dest)) {
		return true
	}
	if h := c.leaseOf(e.route); h != nil && h.OwnerLimitsRecovery(c.now) && e.state != down {
		return true // the lease owner applies the budget of the whole fleet
	}
	share := c.settings.ColdShare
	if e.state == cold {
		elapsed := float64(c.now-e.stateSince) / math.Max(1, float64(c.settings.WarmUp))
		if elapsed >= 1 {
			c.setHealth(e, up, "", "")
			return true
		}
		share += (1 - share) * elapsed
	}
	r := e.route
	capacity := r.limit
	if capacity <= 0 {
		capacity = math.Max(peakHeadroom*r.dest.peakRate*float64(c.settings.Fleet), c.minAssumedRate())
	}
	unhealthy := math.Max(r.unhealthyShare(), 1/float64(len(r.endpoints)))
	allowed := c.settings.CollapseMultiple * share * capacity * unhealthy * seconds(c.settings.CollapseTime)
	observers := c.outageObservers(e, capacity, allowed) // they share the budget
	budget := c.tuning.ColdBudgetFactor * allowed / observers
	if budget <= 0 {
		return true
	}
	window := math.Max(1, 1/budget) * float64(c.settings.CollapseTime)
	if e.state != cold { // longer outages get fewer trials, but they do not stop
		window = math.Max(float64(c.settings.CollapseTime),
			math.Min(window, maxTrialOutageShare*float64(c.now-e.failingSince)))
	}
	hasRoom := r.coldCalls.sumSince(c.now-time.Duration(window))+1 <= math.Max(1, budget)
	// A simultaneous first call of every courier would push the destination over its budget.
	if observers > lease.CollapseThreshold(allowed) && !c.ownerKnowsLimit(r) {
		hasRoom = r.coldSpread.Allow(c.now,
			durationOf(observers/allowed*seconds(c.settings.CollapseTime)), c.rng.Float64)
	}
	if !hasRoom {
		c.wakeBy(c.now + c.settings.CollapseTime/16)
	}
	return hasRoom
}

// sendTrial tries endpoints whose breaker is open, one at a time on a route: with a probe if
// allowed, otherwise with the request whose loss costs least.
func (c *Courier) sendTrial(r *route) {
	if r.openProbes > 0 || c.now < r.blockedUntil() || len(r.dest.queue) == 0 {
		return
	}
	for _, e := range r.endpoints {
		if e.state != down || e.Phase != Ready {
			continue
		}
		if c.now < e.trialAt {
			c.wakeBy(e.trialAt)
			continue
		}
		if !c.withinColdBudget(e) {
			continue
		}
		// If the failures prove that nothing was executed, a request serves as well as a probe.
		if c.settings.Probes && !e.trialSafe {
			r.openProbes++
			r.countColdCall(c.now, 1)
			c.emit(Probe{Endpoint: e.ID})
			return
		}
		// Calls lost in the outage may fill a narrowed window, so a trial may use half of the slots
		// regardless of it.
		if c.openCalls >= c.settings.Slots || r.dest.openCalls >= max(1, c.settings.Slots/2) ||
			c.trialCallOpen(r) {
			return
		}
		if q := c.trialRequest(e); q != nil && c.leaseAllows(r) {
			c.send(q, e)
			e.trialCall = q.call
			return
		}
	}
}

// trialRequest returns the request whose loss costs least: retryable ones first. An unsafe request
// is used only if the failures prove that nothing was executed or a probe was answered.
func (c *Courier) trialRequest(e *endpoint) (best *request) {
	low := 0.0
	for _, r := range e.route.dest.queue {
		unsafe := r.class.Effect == Unsafe
		tooLate := r.deadline-c.now < c.conclusiveAfter(r.dest) // it would end before its call is conclusive
		if tooLate || !c.eligible(r, e) || unsafe && !e.trialSafe {
			continue
		}
		v := c.valueAt(r, c.now)
		if !unsafe {
			v = -1 / (1 + v)
		}
		if best == nil || v < low {
			best, low = r, v
		}
	}
	return best
}

// probeEnded handles the result of a probe. A success proves that the endpoint runs, not that it
// serves requests: one trial request follows.
func (c *Courier) probeEnded(ev ProbeEnded) {
	e := c.endpoints[ev.Endpoint]
	if e == nil {
		return
	}
	e.route.openProbes = max(0, e.route.openProbes-1)
	c.applyReport(e.route, ev.Report)
	if e.state != down {
		return
	}
	e.trialSafe = ev.Outcome == OK || ev.Outcome == ConnectFailed || ev.Outcome == Rejected
	if c.scheduleTrial(e); ev.Outcome == OK {
		e.trialAt = c.now
	}
}

// sweep answers requests that can no longer be served and sheds the least valuable ones when the
// courier is nearly full.
func (c *Courier) sweep() {
	c.expireKeyQueues()
	due := c.now >= c.sweepAt // no request is due before sweepAt
	if due {
		c.sweepAt = c.now + time.Hour
	}
	for i := len(c.pending) - 1; due && i >= 0; i-- {
		r := c.pending[i]
		last := r.deadline
		if r.call == nil {
			last = c.latestSend(r)
		}
		switch {
		case r.streaming:
		case c.now >= last:
			c.abandon(r)
		default:
			c.sweepAt = min(c.sweepAt, last)
		}
	}
	if len(c.pending) > 0 {
		c.wakeBy(c.sweepAt)
	}
	for c.settings.MaxHeld > 0 &&
		float64(len(c.pending)) > math.Max(1, maxHeldShare*float64(c.settings.MaxHeld)) {
		least, low := (*request)(nil), 0.0
		for _, r := range c.pending {
			if r.call != nil || r.mayHaveRun && r.class.Effect == Unsafe {
				continue
			}
			if v := c.priority(r); least == nil || v < low {
				least, low = r, v
			}
		}
		if least == nil {
			return
		}
		c.abandon(least)
	}
}
