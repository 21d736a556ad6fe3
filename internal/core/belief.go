package core

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/groups"
	"snowjunction/internal/plausibility"
)

// Directory holds the bounds within which a front's directory and its list are trusted.
type Directory struct {
	Confidence   confidence.Config
	Plausibility plausibility.Config
}

// directory is the trust state of one front's directory.
type directory struct {
	confidence  *confidence.Tracker
	reviewTimer *Timer // fires when elapsed time may change the confidence

	plausibility   *plausibility.Checker
	conditionTimer *Timer          // fires when elapsed time may end a condition
	retained       map[string]bool // endpoints kept although an implausible list omits them
	unconfirmed    map[string]bool // endpoints added while the directory was flapping
}

// SetInitialList sets the list that a front starts with. age is the time since the directory last confirmed
// it; a negative age means unknown.
func (c *Core) SetInitialList(front int, list *groups.List, source confidence.Source, age time.Duration) error {
	if d := c.directories[front]; d != nil {
		d.confidence.Start(source, age, c.elapsed())
	}
	if err := c.UpdateList(front, list); err != nil {
		return err
	}
	c.reviewConfidence(front)
	return nil
}

// DirectoryConfirmed records that a front's directory confirms the current list. This overrides all evidence
// from calls.
func (c *Core) DirectoryConfirmed(front int) {
	d := c.directories[front]
	if d == nil {
		return
	}
	defer c.resume()
	before, confirmedAt := d.confidence.Source(), d.confidence.ConfirmedAt()
	if d.confidence.DirectoryConfirmed(c.elapsed()) {
		c.Log.Info("belief", "of", "directory", "is", "live", "was", before.String(), "list_age", (c.elapsed() - confirmedAt).Round(time.Second), "why", "the directory answered")
		c.republish(front)
	}
	c.reviewConfidence(front)
}

// DirectoryAgentChanged records that a front has switched to another directory agent.
func (c *Core) DirectoryAgentChanged(front int) {
	if d := c.directories[front]; d != nil && d.confidence.DirectoryChanged(c.elapsed()) {
		c.Log.Info("belief", "of", "directory", "is", "silent", "was", "live", "why", "switched to another directory agent")
		c.republish(front)
		c.reviewConfidence(front)
	}
}

// reviewConfidence applies changes due to elapsed time and schedules the next review.
func (c *Core) reviewConfidence(front int) {
	d := c.directories[front]
	change, again := d.confidence.Advance(c.elapsed())
	switch change {
	case confidence.Silent:
		c.Log.Warn("belief", "of", "directory", "is", "silent", "was", "live", "why", "the directory has not answered for too long")
		c.republish(front)
	case confidence.Aged:
		c.Log.Warn("belief", "of", "list", "is", "old", "was", "young", "why", "the directory has not confirmed it for too long")
		c.republish(front)
	}
	d.reviewTimer.Stop()
	if again > 0 {
		d.reviewTimer = c.Loop.After(again, func() { c.reviewConfidence(front) })
	}
}

// republish sends the module a front's endpoints with their current confidence.
func (c *Core) republish(front int) {
	var updates []snowjunction.Endpoint
	for _, g := range c.routes.loaded {
		for _, m := range g.members {
			if m.front == front && m.Phase != snowjunction.Gone {
				updates = append(updates, c.updateConfidence(m)...)
			}
		}
	}
	slices.SortFunc(updates, func(a, b snowjunction.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	c.queueEndpoints(updates)
}

// confidenceIn returns the confidence in an endpoint of a front.
func (c *Core) confidenceIn(front int, name string) confidence.Level {
	if d := c.directories[front]; d != nil {
		return d.confidence.Level(name)
	}
	return confidence.Listed
}

// updateConfidence updates an endpoint's confidence and returns the module's view of it if that has
// changed.
func (c *Core) updateConfidence(m *loadedEndpoint) []snowjunction.Endpoint {
	before := m.moduleView()
	m.standing = c.confidenceIn(m.front, m.Name)
	if after := m.moduleView(); after != before {
		return []snowjunction.Endpoint{after}
	}
	return nil
}

// recordEvidence updates the confidence in an endpoint from the result of an attempt.
func (c *Core) recordEvidence(a *attempt, r Result) {
	l := c.routes.byID[a.endpoint]
	if l == nil || c.directories[l.front] == nil || l.Phase != snowjunction.Ready {
		return
	}
	e := confidence.EvidenceOf(r.Outcome)
	if r.WrongEndpoint {
		e = confidence.OtherEndpoint
	}
	before, after, why := c.directories[l.front].confidence.RecordCall(l.Destination, l.Name, e, c.elapsed())
	if before == after {
		return
	}
	level := slog.LevelInfo
	if after >= confidence.Doubtful {
		level = slog.LevelWarn
	}
	c.Log.Log(context.Background(), level, "belief", "of", l.Name, "destination", l.Destination, "addr", l.Addr, "is", after.String(), "was", before.String(), "why", why)
	c.queueEndpoints(c.updateConfidence(l))
}

// EndpointConfidence is the confidence in one endpoint, with the reason.
type EndpointConfidence struct {
	Name        string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Destination uint32  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Standing    string  `json:"standing"`
	Source      string  `json:"source"`
	WordAgeS    float64 `json:"word_age_s"` // since the directory last confirmed it
	SinceS      float64 `json:"since_s"`    // time in this standing
	Why         string  `json:"why"`
}

// EndpointConfidences returns the confidence in up to limit endpoints of a front, and the total number of
// endpoints.
func (c *Core) EndpointConfidences(front, limit int) (out []EndpointConfidence, total int) {
	d, now := c.directories[front], c.elapsed()
	if d == nil {
		return nil, 0
	}
	table := c.routes.tables[front]
	for e := range table.EntriesFrom(0) {
		if len(out) >= limit {
			break
		}
		a := d.confidence.Explain(e.Name)
		x := EndpointConfidence{
			Name: e.Name, Addr: e.Addr, Destination: uint32(e.Destination), Lifecycle: "Ready", Standing: a.Level.String(),
			Source: a.Source.String(), WordAgeS: (now - a.ConfirmedAt).Seconds(), SinceS: (now - a.Since).Seconds(), Why: a.Reason,
		}
		if e.Phase != snowjunction.Ready {
			x.Lifecycle, x.Standing, x.Why = "Terminating", "told", "the directory names it as draining"
		}
		out = append(out, x)
	}
	return out, table.Len()
}

// Table returns the target group of a front. It must not be modified and is valid only until the
// loop's next turn.
func (c *Core) Table(front int) *groups.Table { return c.routes.tables[front] }

// Loaded reports whether a destination is loaded in the module.
func (c *Core) Loaded(d snowjunction.DestinationID) bool { return c.routes.loaded[d] != nil }

// ListStatus returns the source of a front's list, the time since the directory last confirmed it, and
// whether the directory is live.
func (c *Core) ListStatus(front int) (s confidence.Source, age time.Duration, live bool) {
	d := c.directories[front]
	if d == nil {
		return confidence.Live, 0, true
	}
	return d.confidence.Source(), c.elapsed() - d.confidence.ConfirmedAt(), d.confidence.Live()
}
