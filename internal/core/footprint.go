package core

import (
	"log/slog"

	"snowjunction"
)

// Footprint is what a core holds, in bytes as reckoned from the sizes of its parts.
type Footprint struct {
	snowjunction.Footprint
	ListBytes     int // the target groups
	ListEntries   int // endpoints in them
	SnapshotBytes int // of destinations that sleep
}

// Carried is the state of a courier as a carrier, in bytes.
func (f Footprint) Carried() int { return f.ListBytes + f.SnapshotBytes + f.BooksBytes }

// LogValue puts it in a line of the log.
func (f Footprint) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("carried_bytes", f.Carried()), slog.Int("accounts", f.Accounts), slog.Int("account_bytes", f.AccountBytes))
}

// Footprint tells what is held.
func (c *Core) Footprint() Footprint {
	f := Footprint{Footprint: c.courier.Footprint(), SnapshotBytes: c.book.Bytes()}
	for _, t := range c.routes.tables {
		f.ListBytes += t.Bytes()
		f.ListEntries += t.Len()
	}
	return f
}
