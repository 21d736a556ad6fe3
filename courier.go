package snowjunction

// The module: every decision of a courier. Its interface, the events it is
// fed and the actions it answers with, is api.go; state.go only keeps books
// and hands each event to take, ended, probed or list before decide runs.
//
// The path of a request, top to bottom in this file:
//
//	take      the request joins its destination's queue (and its key's line)
//	pump      while slots are free the request worth most per slot goes, if
//	            the destination's delay window has room     (candidate, most)
//	            its route's pace and told wait allow it     (ready, refill)
//	            an endpoint is up, or cold within budget    (cost, coldRoom)
//	ended     an outcome moves the window, the pace and the gate
//	settle    a failure repeats if its effect allows it and the ledger funds
//	            it, else it is answered at once             (fund)
//	turn      a failing endpoint closes, and gets one trial at a time   (strike, trial)
//	sweep     what can no longer be served is answered, what does not fit is shed
//
// The ordinary path is the retry budget of Linkerd 2.2 with a delay window
// (docs/design.md); the gate, pacing, slow start and shedding are departures,
// each with the condition under which it acts.

import (
	"math"
	"time"

	"snowjunction/internal/lease"
)

// The ledger: repeats stay under ratio x first sends + floor, per window.
const (
	ledgerSpan  = 10 * time.Second
	ledgerRatio = 0.2 // repeats must not multiply the load of a failing destination
	ledgerFloor = 1.0 // of the slots: a seldom-called destination lives on it
)

// The delay window, in multiples of the best recent latency.
const (
	widenUnder  = 1.7  // returning near the best: widen
	narrowOver  = 3.0  // lengthening: narrow, and count as slow
	narrowBy    = 0.9  // per return
	smooth      = 0.15 // weight of one return in the smoothed latency
	bestDrift   = 1.01 // the best is forgotten by this factor a return
	capShare    = 0.75 // of the slots, kept under
	startShare  = 0.5  // of the slots, rounded down, to start with
	hurtShare   = 0.5  // of the slots, while failing or slow
	bundleExtra = 0.15 // work of each further request in a call
)

// Time-outs, in multiples of the smoothed latency.
const (
	timeoutOver  = 8.0 // guards slots against lost calls, yet lets slow ones return
	timeoutAim   = 0.6 // and not under this share of the aim
	unsafeLonger = 3.0 // a time-out burns an unsafe request for good
)

// The gate.
const (
	strikesOut   = 4   // strikes in a row that close it; a reset is one, a time-out is all
	errorsOut    = 8   // quick errors in a row that do: cheap, and good answers may come among them
	shutEpisodes = 5   // refusals in a row, none taken: shut, not limited
	shutWait     = 2.5 // seconds: a told wait over it is that of a shut destination, which opens cold
	firstTrial   = 0.4 // of the connect time-out, to the first trial: short outages are left soon
	trialGrowth  = 1.5 // trials of a long outage become rarer, to spare slots and the ledger
	lastTrial    = 0.7 // of the connect time-out at most, or the return would be found late
	sourTimes    = 4.0 // an endpoint that just failed this class looks so much slower: siblings come first
	reapSigns    = 2.0 // calls failed on idle connections, more than went well: they are dropped unseen
	reapMemory   = 3   // ledger spans that these are kept
	reuses       = 0.2 // of the fleet: uses of a connection before it idles out that make it worth its place
	goneMemory   = 6   // spans for which an endpoint that left is remembered: it may be listed again
	crowdMemory  = 6   // spans for which a kind is then taken to have small tables
	pauseMost    = 2   // shortest aims after a full table, not growing: each return would be found late
)

// Pacing, as shares of limit / fleet.
const (
	paceStart   = 1.15 // a little over the even share: traffic is seldom even
	paceFloor   = 0.5  // one refusal after another must not starve this courier
	paceGrowth  = 0.2  // a second, while requests wait and none is refused
	paceCut     = 0.75 // on a refusal, as another courier needs the room
	peakOver    = 1.5  // capacity over the most served, where no limit is told
	limitJump   = 1.6  // times its last value: a told limit has been cut or restored
	leastPart   = 0.25 // of the mean destination's part of the quotas: capacity where nothing is known
	paceRest    = 1.0  // of the shortest aim: no growth after a refusal
	shareLeast  = 0.06 // of the fleet: calls of the even share in the shortest aim; below, refusals set a gap
	gapMost     = 16   // shortest aims between calls to a route that refuses: it doubles up to this, from one
	gapGrowth   = 1.25 // of the first gap of a kind, a refused repeat; as much less a successful one
	paceLeft    = 0.15 // no growth while less of the limit is reported left
	paceBurst   = 0.3  // seconds of pace that may go at once
	paceCareful = 0.85 // of the even share, where woken a moment ago: with a call in hand it stays under
	trialPart   = 0.9  // of the outage so far: the longest time between trials for the fall budget's sake
	coldSafety  = 1.1  // of the fall budget: a limit is set below what the destination can do
)

// Shedding.
const (
	heldMost   = 0.92 // of MaxHeld
	urgency    = 0.1  // weight of the share of the aim gone by
	crossZone  = 1.5  // an endpoint elsewhere looks so much slower
	coldStart  = 1.3  // one without a warm connection too
	doubtTimes = 100  // one that may be gone: any sibling comes first
	tenantSpan = 2.0  // seconds of quota that may come at once
)

// decide runs once all news are in.
func (c *Courier) decide() {
	c.ask()
	c.sweep()
	for _, d := range c.active {
		for _, r := range d.routes {
			c.trial(r)
		}
	}
	c.pump()
}

// ask subscribes to the list where it is told only to those who ask.
func (c *Courier) ask() {
	if !c.s.AskForList || c.asked {
		return
	}
	if c.soon(c.askAt); c.now >= c.askAt {
		c.asked, c.out = true, append(c.out, Watch{})
	}
}

// list follows the endpoint list. What drains or is gone gets nothing more
// from this moment on; an endpoint that is listed again keeps its history.
func (c *Courier) list(ev List) {
	if ev.Kind == ListFailed {
		c.asked, c.askAt = false, c.now+c.jitter(max(c.s.AskWithin/4, c.s.ConnectTimeout))
		return
	}
	if ev.Kind != ListDelta {
		for _, d := range c.order {
			for _, e := range d.eps {
				c.leave(e)
			}
		}
	}
	c.listed = max(ev.Destinations, len(c.order))
	for _, entry := range ev.Endpoints {
		e := c.eps[entry.ID]
		if e == nil {
			e = &endpoint{Endpoint: entry}
			c.eps[entry.ID] = e
			c.place(e)
		}
		if entry.Phase == Gone {
			c.leave(e)
		}
		e.update(entry, c.now)
		if c.s.WeightsAreLimits && entry.Weight > 0 {
			e.route.limit = entry.Weight
		}
	}
	c.forgetGone()
}

// take queues a new request.
func (c *Courier) take(ev Request) {
	if c.reqs[ev.ID] != nil {
		return
	}
	class := c.class(ev.Class)
	r := &request{id: ev.ID, class: class, dest: c.destination(ev.Destination), deadline: c.now + ev.Deadline}
	handed := r.deadline - class.Deadline // it may have come before, with part of its time gone
	aim := class.Aim + time.Duration(class.AimStretch*float64(ev.Work))
	r.aimAt = handed + min(aim, class.Deadline)
	r.excess = c.overQuota(ev.Tenant)
	if class.InOrder && ev.Key != 0 {
		r.key = ev.Key
	}
	r.attempts, r.ran, r.ranAt = ev.Attempts, ev.Ran, c.now-ev.RanFor
	c.hold(r)
	c.sweepAt = min(c.sweepAt, c.last(r))
	// After a restart a further attempt is a repeat like any other: it needs
	// an effect that allows it, attempts left and the ledger's consent.
	if r.attempts > 0 && !c.goesOn(r, ev) && !c.repeatable(r) {
		c.giveUp(r)
	}
}

// overQuota draws on the tenant's quota at this courier. What is over it is
// worth little, so it goes last.
func (c *Courier) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(c.quotas) {
		return false
	}
	share := c.s.Tenants[tenant].Quota / float64(c.s.Fleet)
	q := &c.quotas[tenant]
	q.fill(c.now, share, share*tenantSpan)
	return !q.take()
}

// worth is what r still earns if answered at t.
func (c *Courier) worth(r *request, t time.Duration) float64 {
	w, late := r.class.Worth, float64(t-r.aimAt)
	if r.excess {
		w *= c.s.OverShareWorth
	}
	switch {
	case t >= r.deadline:
		return 0
	case late <= 0:
		return w
	case c.s.Halving:
		return w * math.Max(r.class.LateShare, math.Exp2(-late/math.Max(1, float64(r.class.Aim))))
	}
	return w * (1 - (1-r.class.LateShare)*late/math.Max(1, float64(r.deadline-r.aimAt)))
}

// rank orders the queue: the worth still to gain, the one nearest to its aim
// first among equals. Aged requests rank by what is left of their worth, so
// they cannot make all work late.
func (c *Courier) rank(r *request) float64 {
	w := c.worth(r, c.now+span(r.dest.recent))
	if left := r.aimAt - c.now; left > 0 && r.class.Aim > 0 {
		w *= 1 + urgency*math.Max(0, 1-float64(left)/float64(r.class.Aim))
	}
	return w
}

// pump sends while slots are free, the most worth per slot first.
func (c *Courier) pump() {
	c.offers = c.offers[:0] // one of each; a send changes that of its destination alone
	for top := -1; c.calls < c.s.Slots; {
		if top >= 0 {
			c.offers[top] = c.offer(c.active[top])
		}
		for i := len(c.offers); i < len(c.active); i++ {
			c.offers = append(c.offers, c.offer(c.active[i]))
		}
		offers := c.offers
		top = -1
		for j := range offers {
			if offers[j].r != nil && (top < 0 || offers[j].worth > offers[top].worth) {
				top = j
			}
		}
		if top < 0 {
			return
		}
		best, on := offers[top].r, offers[top].on
		// Where the kind takes bundles, those that wait share the call. They
		// share its fate too, which is no worse than each one's own.
		for c.send(best, on); c.round[on].size < best.dest.kind.BundleMax && !on.Doubtful; c.send(best, on) {
			if best, _ = c.choose(on.route.dest, []*endpoint{on}); best == nil {
				break
			}
		}
	}
}

// offer is what d would send now, with its worth per slot.
func (c *Courier) offer(d *destination) (o offer) {
	if o.r, o.on = c.candidate(d); o.r != nil {
		o.worth = c.rank(o.r) / math.Max(d.recent, seconds(c.s.Tick))
	}
	return o
}

// candidate is the request of d that would go now, and where to.
func (c *Courier) candidate(d *destination) (*request, *endpoint) {
	if len(d.queue) == 0 || d.calls >= min(c.most(d), int(d.window)) {
		return nil, nil
	}
	open := c.scratch[:0]
	for _, r := range d.routes {
		if !c.ready(r) {
			continue
		}
		n := len(open)
		for _, e := range r.eps {
			if e.Phase == Ready && e.state != down && !(e.Doubtful && len(e.calls) > 0) && c.coldRoom(e) {
				open = append(open, e)
			}
		}
		if len(open) > n && !c.inTurn(r) {
			open = open[:n]
		}
	}
	if c.scratch = open; len(open) == 0 {
		return nil, nil
	}
	return c.choose(d, open)
}

// most bounds the calls that d may have out: under three quarters of the
// slots, half of them while it is slow, or an endpoint is closed or has failed
// since it last served.
func (c *Courier) most(d *destination) int {
	hurt := d.recent > narrowOver*d.best
	for _, e := range d.eps {
		hurt = hurt || e.Phase == Ready && (e.state == down || e.fails > 0)
	}
	if hurt {
		return max(1, int(hurtShare*float64(c.s.Slots)))
	}
	return max(1, int(math.Ceil(c.t.SlotsShare*float64(c.s.Slots)))-1)
}

// ready tells whether a route's wait is over and its pace allows a call.
func (c *Courier) ready(r *route) bool {
	c.refill(r)
	switch {
	case c.now < r.shutUntil():
		c.soon(r.shutUntil())
	case r.pace > 0 && r.bucket.tokens < 1:
		r.wanting = true
		c.soon(c.now + min(span((1-r.bucket.tokens)/r.pace), c.prompt/4))
	default:
		return true
	}
	return false
}

// refill earns tokens and lets the pace find what the other couriers leave:
// it grows while requests wait and nothing is refused. In a large fleet the
// even share of a limit says nothing of what this courier's own few requests
// need: there is no pace then, and refusals set a gap.
func (c *Courier) refill(r *route) {
	dt := seconds(c.now - r.bucket.at)
	share := c.evenShare(r)
	if dt == 0 && r.pace > 0 {
		return
	}
	lost := c.lost(r, share)
	if !lost && (r.limit <= 0 || c.thin(r, shareLeast) || c.leased(r) != nil) {
		r.pace = 0
		return
	}
	// The more couriers share a limit, the more uneven is their traffic.
	start := share * c.t.PaceStart * math.Sqrt(math.Max(1, float64(c.s.Fleet)/2))
	burst := paceBurst
	if c.now < r.carefulUntil { // woken a moment ago: its limit is an old one, or may be cut
		start, burst = share*c.t.PaceWoken, 0
		r.pace = math.Min(r.pace, start)
	}
	if lost {
		start = r.lostPace
	}
	switch {
	case r.pace == 0:
		r.pace = start
	case c.now < r.carefulUntil:
	case r.wanting && c.now-r.fullAt > span(paceRest*seconds(c.prompt)) && r.left > paceLeft:
		r.pace = math.Min(c.bears(r), r.pace+dt*paceGrowth*share)
	case !r.wanting:
		r.pace += (start - r.pace) * math.Min(1, dt/seconds(ledgerSpan))
	}
	r.wanting = false
	r.bucket.fill(c.now, r.pace, math.Max(1, r.pace*burst))
}

// warm drops connections that have idled out and tells whether one is left.
func (c *Courier) warm(e *endpoint) bool {
	for len(e.idle) > 0 && c.now-e.idle[0] >= c.s.ConnIdle-2*c.s.Tick {
		e.idle = e.idle[1:]
	}
	if n := len(e.idle); n > 0 && c.reaps() && c.now-e.idle[n-1] >= c.reapAge*2/3 {
		c.dropIdle(e)
	}
	return len(e.idle) > 0
}

// reaps tells that connections are dropped unseen while they idle: calls on
// them fail, mostly, once they are of some age. They are closed before that.
func (c *Courier) reaps() bool {
	n := c.reaped.sum(c.now)
	return n >= reapSigns && n > c.lasted.sum(c.now)
}

// aged learns from a call on a connection that had been idle.
func (c *Courier) aged(b *call, o Outcome) {
	switch {
	case b.idled == 0:
	case o == OK && b.idled >= c.reapAge:
		c.lasted.add(c.now, 1)
	case o == Reset || o == TimedOut:
		if c.reaped.sum(c.now) == 0 || b.idled < c.reapAge {
			c.reapAge = b.idled
		}
		c.reaped.add(c.now, 1)
		c.dropIdle(b.ep)
	}
}

// cost compares endpoints for r: busy, slow, distant, without a warm
// connection, or the one that failed its class last.
func (c *Courier) cost(e *endpoint, r *request) float64 {
	latency := e.latency
	if latency == 0 {
		latency = e.route.dest.recent
	}
	at := e.soured[r.class.no]
	v := math.Max(latency, seconds(c.s.Tick)) * float64(1+len(e.calls))
	v *= when(e.Zone != c.s.Zone, crossZone) * when(!c.warm(e), coldStart) * when(e.Doubtful, doubtTimes)
	return v * when(at > 0 && c.now < at+ledgerSpan, sourTimes)
}

// choose is the best queued request of d that may go to one of eps, and the
// cheapest of these for it.
func (c *Courier) choose(d *destination, eps []*endpoint) (best *request, on *endpoint) {
	top, safest := 0.0, d.safeWaits(eps)
	for _, r := range d.queue {
		v := c.rank(r)
		if best != nil && v <= top {
			continue
		}
		to, low := (*endpoint)(nil), 0.0
		for _, e := range eps {
			if !c.eligible(r, e) || e.Doubtful && safest && r.class.Effect != Safe {
				continue // where it may be gone, what may be repeated at will goes first
			}
			if v := c.cost(e, r); to == nil || v < low {
				to, low = e, v
			}
		}
		if to != nil {
			best, on, top = r, to, v
		}
	}
	return best, on
}

// eligible keeps the rules: order by key, and a keyed request that may have
// run only within its group.
func (c *Courier) eligible(r *request, e *endpoint) bool {
	if r.key != 0 {
		l := c.lines[r.key]
		if l.queue[0] != r {
			return false
		}
		if c.now < l.rest && r.attempts == 0 {
			c.soon(l.rest)
			return false
		}
	}
	if r.ran && r.class.Effect == Keyed {
		g := r.class.Group
		if g != GroupAll && r.ranOn == nil { // it ran in an earlier life of the courier: where, is not known
			return false
		}
		if g == GroupEndpoint && e != r.ranOn || g == GroupZone && e.Zone != r.ranOn.Zone {
			return false
		}
	}
	return c.now < c.last(r)
}

// last is when r can still be sent: in time for an answer and, if it may have
// run, while the destination remembers its key.
func (c *Courier) last(r *request) time.Duration {
	t := r.deadline - max(span(r.dest.best/2), 2*c.s.Tick)
	if r.ran && r.class.Effect == Keyed {
		t = min(t, r.ranAt+r.class.Window-2*c.s.Tick)
	}
	return t
}

// send calls e with r, in this round's bundle if there is room in it.
func (c *Courier) send(r *request, e *endpoint) {
	d, rt := r.dest, e.route
	b, weight := c.round[e], bundleExtra
	if b == nil || b.size >= d.kind.BundleMax {
		b, weight = c.open(e), 1.0
		rt.bucket.tokens--
		c.called(rt)
		if c.warm(e) {
			b.idled = c.now - e.idle[len(e.idle)-1]
			e.idle = e.idle[:len(e.idle)-1]
		}
	}
	if e.state != up || e.fails > 0 { // what a sound sibling gets does not weigh on a cold one
		rt.coldCall(c.now, weight)
	}
	rt.coldSends.drop(c.now - max(c.s.WarmUp, c.s.FallTime)) // bounds what is kept
	b.size++
	b.left++
	if r.attempts == 0 {
		d.first.add(c.now, 1)
	}
	r.attempts++
	r.call = b
	d.queue = remove(d.queue, r)
	t := c.timeout(r)
	b.cut = b.cut || t < c.telling(d)
	c.do(Send{Request: r.id, Endpoint: e.ID, Timeout: t})
}

// timeout follows the observed latency. A time-out burns an unsafe request
// for good, so that one waits longer, as slow is not dead, unless the slots
// it would hold are short: a lossy path could else take them all.
func (c *Courier) timeout(r *request) time.Duration {
	t := math.Max(timeoutOver*r.dest.recent, timeoutAim*seconds(r.class.Aim))
	if r.class.Effect == Unsafe && float64(c.calls) < c.t.SlotsShare*float64(c.s.Slots) {
		t *= unsafeLonger
	}
	return min(max(span(t), c.s.ConnectTimeout), r.deadline-c.now)
}

func (c *Courier) ended(ev AttemptEnded) {
	r := c.reqs[ev.Request]
	if r == nil || r.call == nil || ev.Attempt != r.attempts-1 {
		return
	}
	b := r.call
	r.call = nil
	if ev.Fresh || ev.Kept > 0 {
		b.idled = ev.Kept
	}
	c.report(b.ep.route, ev.Report)
	if (ev.Outcome == Full || ev.Outcome == Error) && ev.Wait > 0 { // of a bundle, any one may tell it
		b.ep.route.told(c.now + ev.Wait + c.s.Tick)
	}
	c.judge(b, r, ev)
	c.closeCall(b)
	unsure := ev.Outcome == TimedOut || ev.Outcome == Reset || ev.Outcome == Cancelled
	if (unsure || ev.Outcome == Error) && !r.ran {
		r.ran, r.ranAt, r.ranOn = true, b.sent+ev.Dialled, b.ep
	}
	if l := c.lines[r.key]; r.key != 0 && l != nil && unsure {
		l.rest = c.now + c.s.OrderSettle
	}
	if ev.Done || r.over {
		c.finish(r)
		return
	}
	c.sweepAt = min(c.sweepAt, c.last(r))
	c.settle(r)
}

// settle repeats a failed request if that is harmless and the ledger funds
// it; else it is answered at once.
func (c *Courier) settle(r *request) {
	if c.repeatable(r) {
		c.enqueue(r)
		return
	}
	c.giveUp(r)
}

// repeatable tells whether r may go again, and has the ledger fund it.
func (c *Courier) repeatable(r *request) bool {
	harmless := !r.ran || r.class.Effect != Unsafe
	spent := c.s.MaxAttempts > 0 && r.attempts >= c.s.MaxAttempts
	return harmless && !spent && c.now+2*c.s.Tick < r.deadline && c.fund(r.dest)
}

// fund withdraws a repeat from the destination's ledger.
func (c *Courier) fund(d *destination) bool {
	floor := math.Max(1, c.t.LedgerFloor*float64(c.s.Slots))
	if d.repeats.sum(c.now) >= c.t.LedgerRatio*d.first.sum(c.now)+floor {
		return false
	}
	d.repeats.add(c.now, 1)
	return true
}

// giveUp answers a request: refused where that is known to be harmless, with
// the time at which it is worth coming back, else failed.
func (c *Courier) giveUp(r *request) {
	harmless := !r.ran || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll && c.now < r.ranAt+r.class.Window
	if harmless && c.now+c.s.Tick < r.deadline {
		c.do(Refuse{Request: r.id, RetryAfter: c.comeBack(r.dest)})
	} else {
		c.do(Fail{Request: r.id})
	}
	c.finish(r)
}

// comeBack is when the destination is next worth a try: after its wait or
// trial, or once the queue has drained at the pace seen.
func (c *Courier) comeBack(d *destination) (t time.Duration) {
	if !c.s.RetryAfter {
		return 0
	}
	for _, e := range d.eps {
		t = max(t, e.route.shutUntil()-c.now)
		if e.state == down {
			t = max(t, e.trialAt-c.now)
		}
	}
	if rate := d.served.sum(c.now) / seconds(ledgerSpan); rate > 0 {
		t = max(t, span(float64(len(d.queue))/rate))
	}
	return min(max(t, c.s.Tick), c.s.MaxRetry)
}

// report notes what a destination tells of its limit.
func (c *Courier) report(r *route, values []float64) {
	for i := range min(len(values), len(c.s.Report)) {
		switch v := values[i]; {
		case c.s.Report[i] == AllowanceLeft:
			r.left = v
		case c.s.Report[i] == LimitRate && v > 0:
			// The pace keeps its part of a limit that is cut or restored at once.
			// What changes less is mostly noise.
			if r.limit > 0 && math.Max(v/r.limit, r.limit/v) > limitJump {
				r.pace, r.lostPace = r.pace*v/r.limit, r.lostPace*v/r.limit
			}
			r.limit = v
		}
	}
	c.reported(r, len(values))
}

// judge lets the first outcome of a call move window, pace and gate.
func (c *Courier) judge(b *call, r *request, ev AttemptEnded) {
	if b.judged || ev.Outcome == Moot {
		return
	}
	b.judged = true
	e, d := b.ep, b.ep.route.dest
	if ev.Outcome == TimedOut && b.cut {
		return // the message's own deadline cut it short: that says nothing of the endpoint
	}
	// A kind's repeats tell how long its refused calls stay away: one destination is called too seldom.
	if g := &c.repeatGap[d.kindNo]; r.attempts > 1 && ev.Outcome == Full {
		*g = min(span(seconds(*g)*gapGrowth), gapMost*c.prompt)
	} else if r.attempts > 1 && ev.Outcome == OK {
		*g = max(span(seconds(*g)/gapGrowth), c.prompt)
	}
	trial := e.state == down
	c.serves(e.route, ev.Outcome)
	c.aged(b, ev.Outcome)
	if ev.Outcome == Error || ev.Outcome == TimedOut || ev.Outcome == Reset {
		e.soured[r.class.no] = c.now // this class may fail here alone: its repeats go to a sibling
	}
	switch ev.Outcome {
	case OK:
		e.idle = append(e.idle, c.now)
		d.served.add(c.now, float64(b.size))
		d.peak = math.Max(d.peak, d.served.sum(c.now)/seconds(ledgerSpan))
		c.observe(d, e, seconds(ev.Took)/(1+bundleExtra*float64(b.size-1)))
		c.answered(e)
		e.lastOK, e.soured[r.class.no] = c.now, 0
		if e.route.gap /= 2; e.route.gap < c.prompt/2 {
			e.route.gap = 0
		}
		e.route.waitUntil = max(e.route.waitUntil, c.now+c.jitter(e.route.gap))
	case Full:
		e.idle = append(e.idle, c.now)
		c.refused(e, b, ev.Wait)
	case ConnectFailed:
		// Others got through meanwhile, or it was turned away at once where
		// tables are small: its table is full, it is not down. Hold new calls
		// a moment.
		weight, pause := strikesOut, time.Duration(0)
		if ev.Took+2*c.s.Tick < c.s.ConnectTimeout {
			if c.small[d.kindNo] = c.now + crowdMemory*ledgerSpan; c.crowded(d) {
				weight, pause = 1, c.prompt*min(time.Duration(1+e.fails), pauseMost)
			}
		}
		if e.lastOK > b.sent {
			weight, pause = 0, span(d.recent)
		} else if ev.Took+2*c.s.Tick < c.s.ConnectTimeout && c.now-e.lastOK <= c.prompt && e.lastOK > 0 {
			weight = 1 // it answered a moment ago: one connection may break alone
		}
		if !c.crowded(d) { // it reached nobody: what counts as sent would put off the next trial
			e.route.coldSends.undo(b.sent, 1+bundleExtra*float64(b.size-1))
		}
		e.route.pauseUntil = max(e.route.pauseUntil, c.now+c.jitter(pause))
		c.strike(e, weight, true, strikesOut)
	case TimedOut:
		if e.lastOK > b.sent { // others got through meanwhile: it was lost on its way
			break
		}
		// It may be slow as well as lost: believed only so far, or each
		// time-out would make the next one longer, up to the deadline.
		took := seconds(ev.Took)
		if d.recent > 0 {
			took = math.Min(took, narrowOver*d.recent)
		}
		weight := strikesOut
		if b.idled > 0 && c.reaps() { // the connection may be lost alone: a new one will tell
			weight = 1
		} else {
			c.observe(d, e, took)
		}
		c.strike(e, weight, false, strikesOut)
	case Reset:
		// A connection that breaks after use says little of its endpoint, nor
		// does one among others that get through: new ones will tell.
		if b.idled == 0 && max(0, b.sent-e.lastOK) > c.prompt {
			c.strike(e, 1, false, strikesOut)
		}
	case Error: // may be one of many good answers
		e.idle = append(e.idle, c.now)
		c.strike(e, 1, false, errorsOut)
	}
	if len(d.queue) == 0 && c.crowded(d) {
		c.dropIdle(e)
	}
	if trial && e.state == down && ev.Outcome != Cancelled {
		c.backOff(e)
	}
}

// telling is how long an answer of d must be out before that tells anything.
func (c *Courier) telling(d *destination) time.Duration {
	if d.recent == 0 {
		return c.prompt / 2
	}
	return min(span(narrowOver*d.recent), c.prompt)
}

// crowded tells that d's connections are better closed after use. One refused
// at once tells that tables are small at this kind; in a large fleet the idle
// connections of all fill them, though hardly one is used again.
func (c *Courier) crowded(d *destination) bool {
	uses := d.first.sum(c.now) / seconds(ledgerSpan) * seconds(c.s.ConnIdle) / float64(len(d.eps))
	return c.now < c.small[d.kindNo] && 1+uses < reuses*float64(c.s.Fleet)
}

// observe moves the smoothed latency and the delay window.
func (c *Courier) observe(d *destination, e *endpoint, took float64) {
	blend := func(v *float64) {
		if *v == 0 {
			*v = took
		}
		*v += smooth * (took - *v)
	}
	blend(&e.latency)
	blend(&d.recent)
	was := d.best
	if d.best == 0 || d.recent < d.best*bestDrift {
		d.best = d.recent
	} else {
		d.best *= bestDrift
	}
	c.sweepAt -= max(0, 1+span(d.best-was)/2) // no request's last moment moves further
	switch {
	case d.recent < widenUnder*d.best:
		d.window = math.Min(d.window+1/d.window, float64(c.s.Slots))
	case d.recent > narrowOver*d.best:
		d.window = math.Max(1, d.window*narrowBy)
	}
}

// answered opens the gate: the endpoint serves. If it failed before, it is
// taken for cold.
func (c *Courier) answered(e *endpoint) {
	e.fails, e.route.fulls = 0, 0
	if e.state != down {
		return
	}
	e.backoff, e.downFor, e.outFor = 0, c.now-e.since, e.outage(c.now)
	for _, x := range e.route.eps { // what went together mostly returns together
		x.trialAt = min(x.trialAt, c.now)
	}
	c.turn(e, cold, "open", "answers, slow start")
}

// turn moves an endpoint to another state: up or cold to down as the gate
// closes, down to cold as it answers, cold to up when it is warm. Idle
// connections go when it closes, so that the next call to a dead machine fails
// to connect, which proves that it never ran.
func (c *Courier) turn(e *endpoint, to health, word, why string) {
	if e.state == to {
		return
	}
	e.enter(to, c.now)
	if to == down {
		c.dropIdle(e)
		c.backOff(e)
	}
	if word != "" {
		c.log(word, e, why)
	}
}

// refused answers a full: keep a told wait, slow down, and tell a limit from
// a shut destination, which takes nothing in several episodes.
func (c *Courier) refused(e *endpoint, b *call, wait time.Duration) {
	r := e.route
	if b.sent >= r.fullAt { // one episode: what was out together counts once
		r.fulls++
		switch {
		case r.pace > 0:
			share := c.evenShare(r)
			r.pace = math.Max(share*paceFloor, math.Min(r.pace, c.paceTop(r))*paceCut)
		case c.limited(r, wait):
		case r.limit > 0:
			r.gap = min(max(2*r.gap, c.repeatGap[r.dest.kindNo]), gapMost*c.prompt)
			r.waitUntil = max(r.waitUntil, c.now+wait+c.jitter(r.gap))
		default:
			r.dest.window = math.Max(1, r.dest.window*paceCut)
		}
	}
	r.fullAt, r.bucket.tokens = c.now, math.Min(r.bucket.tokens, 0)
	if wait == 0 {
		r.waitUntil = max(r.waitUntil, c.now+c.jitter(max(span(r.dest.recent), 4*c.s.Tick)))
	}
	for _, x := range r.eps {
		switch {
		case r.fulls >= shutEpisodes:
			x.vouched, x.failedAt = true, c.now
			c.turn(x, down, "gate", "shut, held")
		case seconds(wait) > shutWait:
			c.turn(x, cold, "gate", "shut, told until when")
			x.since, x.downFor = c.now+wait, wait
		}
	}
}

// strike counts a failure; limit of them in a row close the gate, and one fewer
// than strikesOut after an outage or, of what is no quick error, beside a closed
// sibling: outages mostly take a whole destination.
func (c *Courier) strike(e *endpoint, weight int, unrun bool, limit int) {
	if e.fails == 0 {
		e.failedAt = c.now
	}
	e.fails += weight
	for _, x := range e.route.eps {
		sibling := x.state == down && x.Phase == Ready && limit == strikesOut
		if x == e && e.state == cold || sibling {
			limit = strikesOut - 1
		}
	}
	if e.fails >= limit || e.state == down {
		e.vouched = unrun
		c.turn(e, down, "gate", "failing, held")
	}
}

func (c *Courier) backOff(e *endpoint) {
	unit := float64(c.s.ConnectTimeout)
	next := math.Max(firstTrial*unit, float64(e.backoff)*trialGrowth)
	e.backoff = time.Duration(math.Min(next, lastTrial*unit))
	e.trialAt = c.now + c.jitter(e.backoff)
}

// coldRoom keeps this courier's share of the fall budget at an endpoint that
// is back from an outage seen here: probes and refused calls count, over any
// window of the fall time.
func (c *Courier) coldRoom(e *endpoint) bool {
	if e.state == up && (e.fails == 0 || !c.crowded(e.route.dest)) {
		return true
	}
	if h := c.leased(e.route); h != nil && h.Pools(c.now) && e.state != down {
		return true // its keeper has the whole fleet's budget
	}
	share := c.s.ColdShare
	if e.state == cold {
		gone := float64(c.now-e.since) / math.Max(1, float64(c.s.WarmUp))
		if gone >= 1 {
			c.turn(e, up, "", "")
			return true
		}
		share += (1 - share) * gone
	}
	r := e.route
	capacity := r.limit
	if capacity <= 0 {
		capacity = math.Max(peakOver*r.dest.peak*float64(c.s.Fleet), c.leastRate())
	}
	part := math.Max(r.notUp(), 1/float64(len(r.eps)))
	allowed := c.s.FallMultiple * share * capacity * part * seconds(c.s.FallTime)
	saw := c.whoSaw(e, capacity, allowed) // the budget belongs to those who have seen the outage
	budget := c.t.ColdSafety * allowed / saw
	if budget <= 0 {
		return true
	}
	window := math.Max(1, 1/budget) * float64(c.s.FallTime)
	if e.state != cold { // trials grow rarer with the outage, but do not end
		window = math.Max(float64(c.s.FallTime), math.Min(window, trialPart*float64(c.now-e.failedAt)))
	}
	room := r.coldSends.since(c.now-time.Duration(window))+1 <= math.Max(1, budget)
	if saw > lease.Stands(allowed) && !c.addedUp(r) { // a first call of each at once would push it over
		room = r.spread.Room(c.now, span(saw/allowed*seconds(c.s.FallTime)), c.rng.Float64)
	}
	if !room {
		c.soon(c.now + c.s.FallTime/16)
	}
	return room
}

// trial asks closed endpoints, one at a time on a route: a probe where allowed,
// else the request that is cheapest to lose.
func (c *Courier) trial(r *route) {
	if r.trialOut > 0 || c.now < r.shutUntil() || len(r.dest.queue) == 0 {
		return
	}
	for _, e := range r.eps {
		if e.state != down || e.Phase != Ready {
			continue
		}
		if c.now < e.trialAt {
			c.soon(e.trialAt)
			continue
		}
		if !c.coldRoom(e) {
			continue
		}
		// Where failures prove that nothing ran, a request is as good a probe as any.
		if c.s.Probes && !e.vouched {
			r.trialOut++
			r.coldCall(c.now, 1)
			c.do(Probe{Endpoint: e.ID})
			return
		}
		// Calls lost in the outage may fill a narrowed window: a trial may
		// use half of the slots all the same.
		if c.calls >= c.s.Slots || r.dest.calls >= max(1, c.s.Slots/2) || c.trialOn(r) {
			return
		}
		if q := c.cheapest(e); q != nil && c.inTurn(r) {
			c.send(q, e)
			e.trying = q.call
			return
		}
	}
}

// cheapest is the request that a trial may lose: what may be repeated goes
// before what may not. An unsafe one goes only if the failures prove that
// nothing ran, or a probe was answered.
func (c *Courier) cheapest(e *endpoint) (best *request) {
	low := 0.0
	for _, r := range e.route.dest.queue {
		unsafe := r.class.Effect == Unsafe
		late := r.deadline-c.now < c.telling(r.dest) // it would be given up before it could tell anything
		if late || !c.eligible(r, e) || unsafe && !e.vouched {
			continue
		}
		v := c.worth(r, c.now)
		if !unsafe {
			v = -1 / (1 + v)
		}
		if best == nil || v < low {
			best, low = r, v
		}
	}
	return best
}

// probed takes the answer to a probe. It proves that the endpoint runs, not
// that it serves: one request follows.
func (c *Courier) probed(ev ProbeEnded) {
	e := c.eps[ev.Endpoint]
	if e == nil {
		return
	}
	e.route.trialOut = max(0, e.route.trialOut-1)
	c.report(e.route, ev.Report)
	if e.state != down {
		return
	}
	e.vouched = ev.Outcome == OK || ev.Outcome == ConnectFailed || ev.Outcome == Full
	if c.backOff(e); ev.Outcome == OK {
		e.trialAt = c.now
	}
}

// sweep answers what can no longer be served, and sheds the least worth when
// the courier is nearly full.
func (c *Courier) sweep() {
	c.forgetLines()
	due := c.now >= c.sweepAt // nothing is before
	if due {
		c.sweepAt = c.now + time.Hour
	}
	for i := len(c.held) - 1; due && i >= 0; i-- {
		r := c.held[i]
		last := r.deadline
		if r.call == nil {
			last = c.last(r)
		}
		switch {
		case r.streaming:
		case c.now >= last:
			c.giveUp(r)
		default:
			c.sweepAt = min(c.sweepAt, last)
		}
	}
	if len(c.held) > 0 {
		c.soon(c.sweepAt)
	}
	for c.s.MaxHeld > 0 && float64(len(c.held)) > math.Max(1, heldMost*float64(c.s.MaxHeld)) {
		least, low := (*request)(nil), 0.0
		for _, r := range c.held {
			if r.call != nil || r.ran && r.class.Effect == Unsafe {
				continue
			}
			if v := c.rank(r); least == nil || v < low {
				least, low = r, v
			}
		}
		if least == nil {
			return
		}
		c.giveUp(least)
	}
}
