package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/snapshot"
)

// LearnedStore stores learned state across restarts. Put does not block.
type LearnedStore interface {
	Put(batch []learnedstate.Record)
	Counts() learnedstate.Counts
}

// RestoreLearned loads the state learned by a previous process run. It must be called before any message is
// accepted. A record with a time in the future means that the clock was set back; its age is then
// unknown.
func (c *Core) RestoreLearned(records []learnedstate.Record) {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b learnedstate.Record) int { return a.At.Compare(b.At) })
	now := c.Loop.Now()
	for _, r := range records {
		age := now.Sub(r.At)
		if age < -time.Second {
			age = -1
		} else {
			age = max(age, 0)
		}
		if c.idleTracker.Restore(snowjunction.DestinationID(r.Destination), r.Snapshot, age, c.elapsed()) {
			c.Counters.LearnedRestored++
		}
	}
}

// stateChanged records that the module may know something new about a destination.
func (c *Core) stateChanged(d snowjunction.DestinationID) {
	if c.LearnedStore != nil {
		c.picker.MarkChanged(uint32(d))
		c.scheduleSnapshots()
	}
}

func (c *Core) scheduleSnapshots() {
	if c.learnedTimer == nil && c.picker.Waiting() {
		c.learnedTimer = c.Loop.After(learnedstate.PickInterval, func() {
			c.learnedTimer = nil
			if !c.frozen {
				c.requestSnapshots(c.picker.Pick(c.journalWritten()))
			}
			c.scheduleSnapshots()
		})
	}
}

// journalWritten returns how much the journal has written so far.
func (c *Core) journalWritten() learnedstate.Journal {
	w := c.Journal.Written()
	return learnedstate.Journal{Writes: w.Records, Bytes: w.Bytes}
}

// requestSnapshots asks the module for snapshots of destinations.
func (c *Core) requestSnapshots(picked []uint32) {
	for _, d := range picked {
		if g := c.routes.loaded[snowjunction.DestinationID(d)]; g == nil || g.loading || g.unloading {
			c.picker.HandleState(d, nil, time.Time{}, nil, learnedstate.Journal{})
			continue
		}
		c.queueEvent(snowjunction.Inspect{Destination: snowjunction.DestinationID(d)})
	}
}

// saveAll saves the state of all loaded destinations at a planned shutdown.
func (c *Core) saveAll() {
	if c.LearnedStore == nil || c.frozen {
		return
	}
	var loaded []uint32
	for _, d := range slices.Sorted(maps.Keys(c.routes.loaded)) {
		loaded = append(loaded, uint32(d))
	}
	c.requestSnapshots(c.picker.PickAll(loaded))
}

// receiveSnapshot handles a snapshot from the module.
func (c *Core) receiveSnapshot(a snowjunction.Inspected) {
	encode := func(s *snowjunction.DestinationSnapshot) []byte { return snapshot.Encode(nil, c.memento(s)) }
	c.picker.HandleState(uint32(a.Destination), a.Snapshot, c.Loop.Now(), encode, c.journalWritten())
}

// saveUnloaded saves the snapshot of a destination that is being unloaded.
func (c *Core) saveUnloaded(d snowjunction.DestinationID, text []byte) {
	if c.LearnedStore != nil {
		c.picker.AddUnloaded(uint32(d), c.Loop.Now(), text, c.journalWritten())
	}
}

// flushSnapshots stores the snapshots received in this turn.
func (c *Core) flushSnapshots() {
	if batch := c.picker.Flush(); len(batch) > 0 {
		c.LearnedStore.Put(batch)
	}
}

// memento converts a module snapshot to its stored form.
func (c *Core) memento(s *snowjunction.DestinationSnapshot) *snapshot.Snapshot {
	m := &snapshot.Snapshot{}
	if s == nil {
		return m
	}
	m.State = *s
	for _, e := range s.Endpoints {
		var n snapshot.EndpointHash
		if l := c.routes.byID[e.ID]; l != nil {
			n = snapshot.HashName(l.Name)
		}
		m.Names = append(m.Names, n)
	}
	return m
}

// LearnedStats returns the counters of learned state as log attributes.
func (c *Core) LearnedStats() slog.Value {
	if c.LearnedStore == nil {
		return slog.GroupValue()
	}
	counts, written := c.LearnedStore.Counts(), c.Journal.Written()
	return slog.GroupValue(
		slog.Uint64("recalled", c.Counters.LearnedRestored), slog.Uint64("writes", counts.Writes), slog.Uint64("bytes", counts.Bytes),
		slog.Uint64("records", counts.Records), slog.Uint64("same", c.picker.Unchanged), slog.Uint64("dropped", counts.Dropped),
		slog.Uint64("failed", counts.Failed), slog.Uint64("journal_writes", written.Records), slog.Uint64("journal_bytes", written.Bytes),
	)
}
