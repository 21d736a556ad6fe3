package snowjunction

import "time"

// unload returns a snapshot of an idle destination and removes it. Key queues do not belong to a
// destination, so their settling delays continue.
func (c *Courier) unload(ev Sleep) {
	d := c.destinations[ev.Destination]
	if d == nil || len(d.queue) > 0 || d.openCalls > 0 {
		c.emit(Asleep{Destination: ev.Destination, Busy: d != nil})
		return
	}
	s := c.snapshot(d)
	for _, e := range d.endpoints {
		delete(c.endpoints, e.ID)
	}
	delete(c.destinations, ev.Destination)
	c.destinationOrder, c.active = remove(c.destinationOrder, d), remove(c.active, d)
	c.emit(Asleep{Destination: ev.Destination, State: s})
}

// inspect returns a snapshot of a destination, which stays loaded.
func (c *Courier) inspect(ev Look) {
	result := Seen{Destination: ev.Destination}
	if d := c.destinations[ev.Destination]; d != nil {
		result.State = c.snapshot(d)
	}
	c.emit(result)
}

// snapshot returns what is known about d.
func (c *Courier) snapshot(d *destination) *State {
	s := &State{
		Recent: d.latency, Best: d.bestLatency, Peak: d.peakRate, Window: d.window,
		First: d.firstAttempts.sum(c.now), Repeats: d.retries.sum(c.now),
		Served:    d.successes.sum(c.now),
		RepeatGap: c.retryGap[d.kindIndex], Small: max(0, c.smallTableUntil[d.kindIndex]-c.now),
	}
	for no, r := range d.routes {
		s.Routes = append(s.Routes, RouteState{
			Limit: r.limit, Left: r.limitLeft, Pace: r.pacingRate, Gap: r.callGap,
			Wait: max(0, r.blockedUntil()-c.now), Fulls: r.rejections,
			FullAgo:   c.now - r.rejectedAt,
			ColdSends: r.coldCalls.sumSince(c.now - c.coldHistorySpan()),
		})
		for _, e := range r.endpoints {
			if e.Phase == Gone {
				continue
			}
			s.EndpointsSeen = append(s.EndpointsSeen, EndpointState{
				ID: e.ID, Route: no, Latency: e.latency, Condition: Condition(e.state),
				For: c.now - e.stateSince, Failed: c.now - e.failingSince,
				DownFor: e.lastOutage,
				Backoff: e.backoff, Trial: e.trialAt - c.now,
				Fails: e.failures, Vouched: e.trialSafe,
			})
		}
	}
	return s
}

// coldHistorySpan returns how long calls to unhealthy endpoints are remembered.
func (c *Courier) coldHistorySpan() time.Duration { return max(c.settings.WarmUp, c.settings.FallTime) }

// load restores a destination from its snapshot. Routes and endpoints that are still listed keep
// their state, and all durations have continued to run meanwhile.
func (c *Courier) load(ev Wake) {
	wasUnloaded := c.destinations[ev.Destination] == nil
	c.applyList(List{Kind: ListDelta, Endpoints: ev.Endpoints, Destinations: ev.Destinations})
	d := c.destinationFor(ev.Destination)
	if !wasUnloaded {
		return
	}
	s := ev.State
	if s == nil {
		s = &State{}
	}
	d.latency, d.bestLatency, d.peakRate = s.Recent, s.Best, s.Peak
	c.sweepAt = 0
	if s.Window > 0 {
		d.window = min(s.Window, float64(c.settings.Slots))
	}
	if ev.Caution.Window > 0 {
		d.window = min(d.window, ev.Caution.Window)
	}
	if ev.Slept < retryBudgetWindow {
		d.firstAttempts.add(c.now, s.First*(1-float64(ev.Slept)/float64(retryBudgetWindow)))
		d.retries.add(c.now, s.Repeats)
		d.countingSince = c.now - retryBudgetWindow
		d.successes.add(c.now, s.Served*(1-float64(ev.Slept)/float64(retryBudgetWindow)))
	}
	if g := &c.retryGap[d.kindIndex]; *g == c.minTargetLatency { // nothing was learned about the kind since
		*g = max(*g, min(s.RepeatGap, maxCallGap*c.minTargetLatency))
	}
	c.smallTableUntil[d.kindIndex] = max(c.smallTableUntil[d.kindIndex], c.now+s.Small-ev.Slept)
	routes := map[*route]bool{}
	for _, saved := range s.EndpointsSeen {
		e := c.endpoints[saved.ID]
		if e == nil || e.route.dest != d {
			continue
		}
		if saved.Route >= 0 && saved.Route < len(s.Routes) && !routes[e.route] {
			routes[e.route] = true
			c.restoreRoute(e.route, s.Routes[saved.Route], ev.Slept)
		}
		age := ev.Slept
		e.latency, e.state, e.stateSince = saved.Latency, health(saved.Condition),
			c.now-saved.For-age
		e.failingSince, e.lastOutage, e.backoff = c.now-saved.Failed-age, saved.DownFor,
			saved.Backoff
		e.trialAt, e.failures, e.trialSafe = c.now+max(0, saved.Trial-age), saved.Fails,
			saved.Vouched
		if e.WasOut > 0 {
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
			c.restoreRoute(r, s.Routes[0], ev.Slept)
		}
		if ev.Caution.Careful > 0 { // the first call counts even before a limit is known
			r.cautiousUntil, r.bucket = c.now+ev.Caution.Careful,
				tokenBucket{tokens: 1, filledAt: c.now, started: true}
		}
	}
	for _, e := range d.endpoints {
		if e.state == up && ev.Caution.Cold {
			e.state, e.stateSince, e.lastOutage = cold, c.now, max(e.lastOutage, ev.Slept)
		}
	}
}

// restoreRoute restores a route from a snapshot taken age ago.
func (c *Courier) restoreRoute(r *route, saved RouteState, age time.Duration) {
	r.limit, r.limitLeft, r.pacingRate, r.callGap = saved.Limit, saved.Left, saved.Pace,
		saved.Gap
	r.rejections, r.rejectedAt = saved.Fulls, c.now-saved.FullAgo-age
	r.waitUntil = max(r.waitUntil, c.now+saved.Wait-age)
	if age < c.coldHistorySpan() && saved.ColdSends > 0 {
		r.coldCalls.add(c.now, saved.ColdSends)
	}
	if c.settings.WeightsAreLimits && len(r.endpoints) > 0 && r.endpoints[0].Weight > 0 {
		r.limit = r.endpoints[0].Weight
	}
}
