package snowjunction

import "time"

// unload returns a snapshot of an idle destination and removes it. Key queues do not belong to a
// destination, so their settling delays continue.
func (c *Courier) unload(ev Unload) {
	d := c.destinations[ev.Destination]
	if d == nil || len(d.queue) > 0 || d.openCalls > 0 {
		c.emit(Unloaded{Destination: ev.Destination, Busy: d != nil})
		return
	}
	s := c.snapshot(d)
	for _, e := range d.endpoints {
		delete(c.endpoints, e.ID)
	}
	delete(c.destinations, ev.Destination)
	c.destinationOrder, c.active = remove(c.destinationOrder, d), remove(c.active, d)
	c.emit(Unloaded{Destination: ev.Destination, Snapshot: s})
}

// inspect returns a snapshot of a destination, which stays loaded.
func (c *Courier) inspect(ev Inspect) {
	result := Inspected{Destination: ev.Destination}
	if d := c.destinations[ev.Destination]; d != nil {
		result.Snapshot = c.snapshot(d)
	}
	c.emit(result)
}

// snapshot returns what is known about d.
func (c *Courier) snapshot(d *destination) *DestinationSnapshot {
	s := &DestinationSnapshot{
		Latency: d.latency, BestLatency: d.bestLatency, PeakRate: d.peakRate, Window: d.window,
		FirstAttempts: d.firstAttempts.sum(c.now), Retries: d.retries.sum(c.now),
		Successes: d.successes.sum(c.now),
		RetryGap:  c.retryGap[d.kindIndex], SmallTableFor: max(0, c.smallTableUntil[d.kindIndex]-c.now),
	}
	for no, r := range d.routes {
		s.Routes = append(s.Routes, RouteSnapshot{
			Limit: r.limit, LimitLeft: r.limitLeft, PacingRate: r.pacingRate, CallGap: r.callGap,
			BlockedFor: max(0, r.blockedUntil()-c.now), Rejections: r.rejections,
			SinceRejection: c.now - r.rejectedAt,
			ColdCalls:      r.coldCalls.sumSince(c.now - c.coldHistorySpan()),
		})
		for _, e := range r.endpoints {
			if e.Phase == Gone {
				continue
			}
			s.Endpoints = append(s.Endpoints, EndpointSnapshot{
				ID: e.ID, Route: no, Latency: e.latency, Condition: Condition(e.state),
				SinceCondition: c.now - e.stateSince, SinceFailure: c.now - e.failingSince,
				LastOutage: e.lastOutage,
				Backoff:    e.backoff, UntilTrial: e.trialAt - c.now,
				Failures: e.failures, TrialSafe: e.trialSafe,
			})
		}
	}
	return s
}

// coldHistorySpan returns how long calls to unhealthy endpoints are remembered.
func (c *Courier) coldHistorySpan() time.Duration {
	return max(c.settings.WarmUp, c.settings.CollapseTime)
}

// load restores a destination from its snapshot. Routes and endpoints that are still listed keep
// their state, and all durations have continued to run meanwhile.
func (c *Courier) load(ev Load) {
	wasUnloaded := c.destinations[ev.Destination] == nil
	c.applyList(List{Kind: ListDelta, Endpoints: ev.Endpoints, Destinations: ev.Destinations})
	d := c.destinationFor(ev.Destination)
	if !wasUnloaded {
		return
	}
	s := ev.Snapshot
	if s == nil {
		s = &DestinationSnapshot{}
	}
	d.latency, d.bestLatency, d.peakRate = s.Latency, s.BestLatency, s.PeakRate
	c.sweepAt = 0
	if s.Window > 0 {
		d.window = min(s.Window, float64(c.settings.Slots))
	}
	if ev.CautiousStart.Window > 0 {
		d.window = min(d.window, ev.CautiousStart.Window)
	}
	if ev.UnloadedFor < retryBudgetWindow {
		d.firstAttempts.add(c.now, s.FirstAttempts*(1-float64(ev.UnloadedFor)/float64(retryBudgetWindow)))
		d.retries.add(c.now, s.Retries)
		d.countingSince = c.now - retryBudgetWindow
		d.successes.add(c.now, s.Successes*(1-float64(ev.UnloadedFor)/float64(retryBudgetWindow)))
	}
	if g := &c.retryGap[d.kindIndex]; *g == c.minTargetLatency { // nothing was learned about the kind since
		*g = max(*g, min(s.RetryGap, maxCallGap*c.minTargetLatency))
	}
	c.smallTableUntil[d.kindIndex] = max(c.smallTableUntil[d.kindIndex], c.now+s.SmallTableFor-ev.UnloadedFor)
	routes := map[*route]bool{}
	for _, saved := range s.Endpoints {
		e := c.endpoints[saved.ID]
		if e == nil || e.route.dest != d {
			continue
		}
		if saved.Route >= 0 && saved.Route < len(s.Routes) && !routes[e.route] {
			routes[e.route] = true
			c.restoreRoute(e.route, s.Routes[saved.Route], ev.UnloadedFor)
		}
		age := ev.UnloadedFor
		e.latency, e.state, e.stateSince = saved.Latency, health(saved.Condition),
			c.now-saved.SinceCondition-age
		e.failingSince, e.lastOutage, e.backoff = c.now-saved.SinceFailure-age, saved.LastOutage,
			saved.Backoff
		e.trialAt, e.failures, e.trialSafe = c.now+max(0, saved.UntilTrial-age), saved.Failures,
			saved.TrialSafe
		if e.ExcludedFor > 0 {
			e.enterRecovery(c.now)
		}
	}
	if len(d.routes) == 0 && len(s.Routes) == 1 { // its endpoints will join this route when they are listed
		d.routes = append(d.routes, &route{dest: d, limitLeft: 1})
	}
	// A retry-after delay and a limit belong to the destination, even if all of its endpoints
	// have been replaced.
	for _, r := range d.routes {
		if !routes[r] && len(s.Routes) == 1 {
			c.restoreRoute(r, s.Routes[0], ev.UnloadedFor)
		}
		if ev.CautiousStart.ReducedPaceFor > 0 { // the first call counts even before a limit is known
			r.cautiousUntil, r.bucket = c.now+ev.CautiousStart.ReducedPaceFor,
				tokenBucket{tokens: 1, filledAt: c.now, started: true}
		}
	}
	for _, e := range d.endpoints {
		if e.state == up && ev.CautiousStart.Cold {
			e.state, e.stateSince, e.lastOutage = cold, c.now, max(e.lastOutage, ev.UnloadedFor)
		}
	}
}

// restoreRoute restores a route from a snapshot taken age ago.
func (c *Courier) restoreRoute(r *route, saved RouteSnapshot, age time.Duration) {
	r.limit, r.limitLeft, r.pacingRate, r.callGap = saved.Limit, saved.LimitLeft, saved.PacingRate,
		saved.CallGap
	r.rejections, r.rejectedAt = saved.Rejections, c.now-saved.SinceRejection-age
	r.waitUntil = max(r.waitUntil, c.now+saved.BlockedFor-age)
	if age < c.coldHistorySpan() && saved.ColdCalls > 0 {
		r.coldCalls.add(c.now, saved.ColdCalls)
	}
	if c.settings.WeightsAreLimits && len(r.endpoints) > 0 && r.endpoints[0].Weight > 0 {
		r.limit = r.endpoints[0].Weight
	}
}
