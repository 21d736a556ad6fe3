package snowjunction

import "time"

// sleep hands out what is known of a destination that has nothing to do, and
// forgets it. Lines of keys are not a destination's: their rest goes on.
func (c *Courier) sleep(ev Sleep) {
	d := c.dests[ev.Destination]
	if d == nil || len(d.queue) > 0 || d.calls > 0 {
		c.do(Asleep{Destination: ev.Destination, Busy: d != nil})
		return
	}
	s := c.state(d)
	for _, e := range d.eps {
		delete(c.eps, e.ID)
	}
	delete(c.dests, ev.Destination)
	c.order, c.active = remove(c.order, d), remove(c.active, d)
	c.do(Asleep{Destination: ev.Destination, State: s})
}

// look hands out what is known of a destination, and keeps it.
func (c *Courier) look(ev Look) {
	seen := Seen{Destination: ev.Destination}
	if d := c.dests[ev.Destination]; d != nil {
		seen.State = c.state(d)
	}
	c.do(seen)
}

// state is what is known of a destination.
func (c *Courier) state(d *destination) *State {
	s := &State{
		Recent: d.recent, Best: d.best, Peak: d.peak, Window: d.window,
		First: d.first.sum(c.now), Repeats: d.repeats.sum(c.now), Served: d.served.sum(c.now),
		RepeatGap: c.repeatGap[d.kindNo], Small: max(0, c.small[d.kindNo]-c.now),
	}
	for no, r := range d.routes {
		s.Routes = append(s.Routes, RouteState{
			Limit: r.limit, Left: r.left, Pace: r.pace, Gap: r.gap, Wait: max(0, r.shutUntil()-c.now),
			Fulls: r.fulls, FullAgo: c.now - r.fullAt, ColdSends: r.coldSends.since(c.now - c.coldSpan()),
		})
		for _, e := range r.eps {
			if e.Phase == Gone {
				continue
			}
			s.EndpointsSeen = append(s.EndpointsSeen, EndpointState{
				ID: e.ID, Route: no, Latency: e.latency, Condition: Condition(e.state), For: c.now - e.since,
				Failed: c.now - e.failedAt, DownFor: e.downFor, Backoff: e.backoff, Trial: e.trialAt - c.now,
				Fails: e.fails, Vouched: e.vouched,
			})
		}
	}
	return s
}

// coldSpan is how long calls to endpoints that are not well are remembered.
func (c *Courier) coldSpan() time.Duration { return max(c.s.WarmUp, c.s.FallTime) }

// awaken takes a destination back. What was known of a route or an endpoint
// counts for those that are listed still; the times go on from where they were.
func (c *Courier) awaken(ev Wake) {
	asleep := c.dests[ev.Destination] == nil
	c.list(List{Kind: ListDelta, Endpoints: ev.Endpoints, Destinations: ev.Destinations})
	d := c.destination(ev.Destination)
	if !asleep {
		return
	}
	s := ev.State
	if s == nil {
		s = &State{}
	}
	d.recent, d.best, d.peak = s.Recent, s.Best, s.Peak
	c.sweepAt = 0
	if s.Window > 0 {
		d.window = min(s.Window, float64(c.s.Slots))
	}
	if ev.Caution.Window > 0 {
		d.window = min(d.window, ev.Caution.Window)
	}
	if ev.Slept < ledgerSpan {
		d.first.add(c.now, s.First*(1-float64(ev.Slept)/float64(ledgerSpan)))
		d.repeats.add(c.now, s.Repeats)
		d.since = c.now - ledgerSpan
		d.served.add(c.now, s.Served*(1-float64(ev.Slept)/float64(ledgerSpan)))
	}
	if g := &c.repeatGap[d.kindNo]; *g == c.prompt { // nothing has been learnt of the kind since
		*g = max(*g, min(s.RepeatGap, gapMost*c.prompt))
	}
	c.small[d.kindNo] = max(c.small[d.kindNo], c.now+s.Small-ev.Slept)
	routes := map[*route]bool{}
	for _, was := range s.EndpointsSeen {
		e := c.eps[was.ID]
		if e == nil || e.route.dest != d {
			continue
		}
		if was.Route >= 0 && was.Route < len(s.Routes) && !routes[e.route] {
			routes[e.route] = true
			c.recall(e.route, s.Routes[was.Route], ev.Slept)
		}
		ago := ev.Slept
		e.latency, e.state, e.since = was.Latency, health(was.Condition), c.now-was.For-ago
		e.failedAt, e.downFor, e.backoff = c.now-was.Failed-ago, was.DownFor, was.Backoff
		e.trialAt, e.fails, e.vouched = c.now+max(0, was.Trial-ago), was.Fails, was.Vouched
		if e.WasOut > 0 {
			e.returns(c.now)
		}
	}
	if len(d.routes) == 0 && len(s.Routes) == 1 { // its endpoints are yet to be listed: they join this route
		d.routes = append(d.routes, &route{dest: d, left: 1})
	}
	// A told wait and a limit are a destination's, also where all of its
	// endpoints have been replaced.
	for _, r := range d.routes {
		if !routes[r] && len(s.Routes) == 1 {
			c.recall(r, s.Routes[0], ev.Slept)
		}
		if ev.Caution.Careful > 0 { // the first call counts, also before a limit is known
			r.carefulUntil, r.bucket = c.now+ev.Caution.Careful, bucket{tokens: 1, at: c.now, begun: true}
		}
	}
	for _, e := range d.eps {
		if e.state == up && ev.Caution.Cold {
			e.state, e.since, e.downFor = cold, c.now, max(e.downFor, ev.Slept)
		}
	}
}

func (c *Courier) recall(r *route, was RouteState, ago time.Duration) {
	r.limit, r.left, r.pace, r.gap = was.Limit, was.Left, was.Pace, was.Gap
	r.fulls, r.fullAt = was.Fulls, c.now-was.FullAgo-ago
	r.waitUntil = max(r.waitUntil, c.now+was.Wait-ago)
	if ago < c.coldSpan() && was.ColdSends > 0 {
		r.coldSends.add(c.now, was.ColdSends)
	}
	if c.s.WeightsAreLimits && len(r.eps) > 0 && r.eps[0].Weight > 0 {
		r.limit = r.eps[0].Weight
	}
}
