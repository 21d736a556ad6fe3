package core

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/groups"
	"snowjunction/internal/plausibility"
)

// Bounds of what is kept against a directory's list.
const (
	maxRetained = 16384 // retained endpoints; those of loaded destinations come first
	sampleSize  = 2048  // endpoints sampled to detect that a list has lost many
)

// checkPlausibility checks a full list before it is applied, and adds the endpoints that are
// retained against it.
func (c *Core) checkPlausibility(front int, list *groups.List) {
	d := c.directories[front]
	if d == nil {
		return
	}
	held := c.routes.tables[front]
	omitted := omittedEndpoints(held, list, sampleSize)
	view := plausibility.Comparison{InUse: held.Ready(), Listed: list.Entries.Ready(), Sum: list.Entries.ReadyHash()}
	if n := len(omitted); n > 0 {
		if held.Len() > sampleSize && n*8 > sampleSize { // many of the sample are missing: check all
			omitted = omittedEndpoints(held, list, held.Len())
		}
		view.Omitted = len(omitted)
	}
	// After a directory outage its list takes precedence: omitted endpoints have left meanwhile.
	if !d.confidence.Live() {
		view.InUse, view.Omitted, omitted = 0, 0, nil
	}
	c.applyConditions(front, d.plausibility.CheckList(c.elapsed(), view))
	if d.plausibility.RetainsOmitted() {
		c.retainOmitted(front, list, omitted)
	} else {
		d.retained = nil
	}
	if d.plausibility.Holds(plausibility.Flapping) {
		for e := range list.Entries.EntriesFrom(0) {
			if _, known := held.Get(e.Name); !known && e.Phase == snowjunction.Ready && len(d.unconfirmed) < maxRetained {
				if d.unconfirmed == nil {
					d.unconfirmed = map[string]bool{}
				}
				d.unconfirmed[e.Name] = true
				d.confidence.Retain(e.Destination, e.Name, "the directory is flapping and has just added it", c.elapsed())
			}
		}
	}
}

// omittedEndpoints returns the held Ready endpoints that a full list neither contains nor names as
// leaving, and whose address it has not assigned to another endpoint. It looks at about
// limit endpoints, spread evenly over the table.
func omittedEndpoints(held *groups.Table, list *groups.List, limit int) (out []groups.Entry) {
	step := max(1, held.Len()/max(limit, 1))
	for i := 0; i < held.Len(); i += step {
		e := held.Nth(i)
		if e.Phase != snowjunction.Ready {
			continue
		}
		if _, ok := list.Entries.Get(e.Name); ok {
			continue
		}
		if _, reassigned := list.Entries.NameAt(e.Addr); reassigned {
			continue
		}
		out = append(out, e)
	}
	if len(out) > 0 && len(list.Leaving) > 0 {
		leaving := map[string]bool{}
		for _, n := range list.Leaving {
			leaving[n] = true
		}
		out = slices.DeleteFunc(out, func(e groups.Entry) bool { return leaving[e.Name] })
	}
	return out
}

// retainOmitted adds the omitted endpoints back to a list, as doubtful.
func (c *Core) retainOmitted(front int, list *groups.List, omitted []groups.Entry) {
	d := c.directories[front]
	slices.SortStableFunc(omitted, func(a, b groups.Entry) int {
		switch x, y := c.Loaded(a.Destination), c.Loaded(b.Destination); {
		case x && !y:
			return -1
		case y && !x:
			return 1
		}
		return 0
	})
	d.retained = map[string]bool{}
	for _, e := range omitted[:min(len(omitted), maxRetained)] {
		list.Entries.Set(e)
		d.retained[e.Name] = true
		d.confidence.Retain(e.Destination, e.Name, "omitted by a list that has lost most endpoints", c.elapsed())
	}
}

// RejectList handles a list that is invalid: it applies only what the list says of draining and gone
// endpoints, and counts the list against its directory.
func (c *Core) RejectList(front int, list *groups.List, reason error) {
	if d := c.directories[front]; d != nil {
		c.applyConditions(front, d.plausibility.RecordUnusable(c.elapsed(), reason))
	}
	c.ApplyLeaving(front, list)
}

// clearRetained ends the special treatment of an endpoint that the directory has just named.
func (c *Core) clearRetained(front int, name string) {
	d := c.directories[front]
	if d == nil || !d.retained[name] && !d.unconfirmed[name] {
		return
	}
	delete(d.retained, name)
	delete(d.unconfirmed, name)
	d.confidence.Remove(name)
}

// applyConditions logs conditions that were entered or left, and reverts the effects of those left.
func (c *Core) applyConditions(front int, changes []plausibility.Transition) {
	d := c.directories[front]
	for _, t := range changes {
		level, transition := slog.LevelWarn, "entered"
		if !t.Entered {
			level, transition = slog.LevelInfo, "left"
		}
		c.Log.Log(context.Background(), level, "belief", "of", "directory", "condition", t.Condition.String(), "is", transition, "why", t.Reason)
		if t.Entered {
			continue
		}
		switch t.Condition {
		case plausibility.Collapsed:
			c.dropRetained(front)
		case plausibility.Flapping:
			for name := range d.unconfirmed {
				d.confidence.Remove(name)
			}
			d.unconfirmed = nil
			c.republish(front)
		}
	}
	d.conditionTimer.Stop()
	if at := d.plausibility.Next(); at > 0 {
		d.conditionTimer = c.Loop.After(max(at-c.elapsed(), time.Millisecond), func() { c.applyConditions(front, d.plausibility.Advance(c.elapsed())) })
	}
}

// dropRetained removes the endpoints that were retained against the directory's list.
func (c *Core) dropRetained(front int) {
	d := c.directories[front]
	var updates []snowjunction.Endpoint
	for _, name := range slices.Sorted(maps.Keys(d.retained)) {
		d.confidence.Remove(name)
		if e, ok := c.routes.tables[front].Get(name); ok {
			e.Phase = snowjunction.Gone
			updates = append(updates, c.applyEntry(front, e)...)
		}
	}
	d.retained = nil
	c.queueEndpoints(updates)
}

// RecheckInterval returns after what time a front should request its full list again instead of changes
// only. Zero means that it need not.
func (c *Core) RecheckInterval(front int) time.Duration {
	if d := c.directories[front]; d != nil {
		return d.plausibility.RecheckDelay()
	}
	return 0
}

// Conditions returns the current conditions of a front's directory, with their duration in seconds.
func (c *Core) Conditions(front int) map[string]float64 {
	out := map[string]float64{}
	if d := c.directories[front]; d != nil {
		for _, x := range []plausibility.Condition{plausibility.Collapsed, plausibility.Flapping, plausibility.Ambiguous} {
			if d.plausibility.Holds(x) {
				out[x.String()] = (c.elapsed() - d.plausibility.Since(x)).Seconds()
			}
		}
	}
	return out
}
