package core

import (
	"log/slog"

	"snowjunction"
)

// Footprint is the estimated memory use of a core in bytes, computed from the sizes of its parts.
type Footprint struct {
	snowjunction.Footprint
	ListBytes     int // target groups
	ListEntries   int // endpoints in the target groups
	SnapshotBytes int // snapshots of unloaded destinations
}

// Carried returns the bytes of the state that the courier keeps for listed, loaded and unloaded
// destinations.
func (f Footprint) Carried() int { return f.ListBytes + f.SnapshotBytes + f.StateBytes }

// LogValue returns the footprint as log attributes.
func (f Footprint) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("carried_bytes", f.Carried()), slog.Int("accounts", f.QuotaLedgers), slog.Int("account_bytes", f.QuotaLedgerBytes))
}

// Footprint returns the current memory use.
func (c *Core) Footprint() Footprint {
	f := Footprint{Footprint: c.courier.Footprint(), SnapshotBytes: c.idleTracker.Bytes()}
	for _, t := range c.routes.tables {
		f.ListBytes += t.Bytes()
		f.ListEntries += t.Len()
	}
	return f
}
