package core

import (
	"log/slog"
	"time"

	"snowjunction"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/snapshot"
)

// SnapshotStore is an external store for snapshots of unloaded destinations that exceed the memory limit
// or must outlast the process. None of its methods block.
type SnapshotStore interface {
	Put(dest uint32, at time.Time, text []byte)
	Has(dest uint32) bool
	Len() int
	// Take fetches a snapshot. done is called later on the loop's goroutine, unless Take returns
	// false.
	Take(dest uint32, done func(text []byte, at time.Time, ok bool)) bool
}

// snapshotTimeout is how long flows wait for a snapshot from the external store. After that they go
// on without it: a snapshot is helpful but not required.
const snapshotTimeout = 50 * time.Millisecond

// load returns the group of a destination and loads it into the module if necessary.
func (c *Core) load(destination snowjunction.DestinationID) *group {
	g := c.routes.loaded[destination]
	if g != nil {
		c.cancelUnload(g)
		return g
	}
	g = &group{destination: destination}
	c.routes.loaded[destination] = g
	if c.SnapshotStore == nil || c.idleTracker.Has(destination) || !c.SnapshotStore.Has(uint32(destination)) {
		c.activate(g, c.idleTracker.Load(destination, c.elapsed()))
		return g
	}
	g.loading = true
	limit := c.Loop.After(snapshotTimeout, func() { c.snapshotLoaded(g, nil, time.Time{}) })
	requested := c.SnapshotStore.Take(uint32(destination), func(text []byte, at time.Time, ok bool) {
		limit.Stop()
		c.snapshotLoaded(g, text, at)
	})
	if !requested {
		limit.Stop()
		c.snapshotLoaded(g, nil, time.Time{})
	}
	return g
}

// snapshotLoaded continues with the flows that waited for a snapshot. An unreadable snapshot is
// ignored.
func (c *Core) snapshotLoaded(g *group, text []byte, at time.Time) {
	if !g.loading {
		return
	}
	g.loading = false
	loaded := idlestate.Loaded{}
	if m, err := snapshot.Decode(text); err == nil {
		loaded = c.idleTracker.LoadSnapshot(m, c.Loop.Now().Sub(at))
	} else {
		loaded = c.idleTracker.Load(g.destination, c.elapsed())
	}
	c.activate(g, loaded)
	parked := g.parked
	g.parked = nil
	for _, f := range parked {
		c.submitParked(f)
	}
}

// activate tells the module of a destination, with its snapshot if there is one.
func (c *Core) activate(g *group, loaded idlestate.Loaded) {
	event := snowjunction.Load{
		Destination: g.destination, UnloadedFor: loaded.UnloadedFor, CautiousStart: loaded.Caution, Destinations: c.destinations(),
	}
	names := map[snapshot.EndpointHash]snowjunction.EndpointID{}
	for front, t := range c.routes.tables {
		for e := range t.ByDestination(g.destination) {
			for _, x := range c.updateEndpoint(g, front, e) {
				event.Endpoints = append(event.Endpoints, x)
				names[snapshot.HashName(e.Name)] = x.ID
			}
		}
	}
	if loaded.Snapshot != nil {
		event.Snapshot = &loaded.Snapshot.State
		for i := range event.Snapshot.Endpoints { // a gone endpoint gets number 0, which no endpoint has
			event.Snapshot.Endpoints[i].ID = names[loaded.Snapshot.Names[i]]
		}
	}
	c.queueEvent(event)
}

// cancelUnload cancels the unloading of a destination that the module has not yet returned.
func (c *Core) cancelUnload(g *group) {
	if !g.unloading {
		return
	}
	g.unloading = false
	for i, ev := range c.events {
		if s, ok := ev.(snowjunction.Unload); ok && s.Destination == g.destination {
			c.events = append(c.events[:i], c.events[i+1:]...)
			return
		}
	}
}

// hold counts a flow held by the module for its destination; release is the reverse.
func (c *Core) hold(f *flow) *group {
	g := c.load(snowjunction.DestinationID(f.msg.Destination))
	g.flows++
	c.idleTracker.Busy(g.destination)
	if c.idleTracker.OverLimit() { // too many loaded: the longest idle are unloaded before their time
		c.idleTimer.Stop()
		c.idleTimer = nil
		c.unloadIdle()
	}
	return g
}

func (c *Core) release(f *flow) {
	g := c.routes.loaded[snowjunction.DestinationID(f.msg.Destination)]
	if g == nil {
		return
	}
	if g.flows--; g.flows == 0 {
		c.idleTracker.Idle(g.destination, c.elapsed())
		c.unloadIdle()
	}
}

// elapsed returns the time since the core was created. The idle tracker uses this clock.
func (c *Core) elapsed() time.Duration { return c.Loop.Now().Sub(c.start) }

// unloadIdle unloads destinations that have been idle long enough and schedules the next check.
// Listed destinations without flows cost no work.
func (c *Core) unloadIdle() {
	if c.idleTimer != nil {
		return
	}
	c.idleTracker.DropStale(c.elapsed(), maxUnloads)
	for range maxUnloads {
		destination, due, wait := c.idleTracker.Due(c.elapsed())
		if !due {
			if wait >= 0 {
				c.idleTimer = c.Loop.After(max(wait, unloadInterval), func() {
					c.idleTimer = nil
					c.unloadIdle()
				})
			}
			return
		}
		g := c.routes.loaded[destination]
		c.idleTracker.Busy(destination)
		if g != nil && g.flows == 0 && !g.unloading && !c.frozen {
			g.unloading = true
			c.queueEvent(snowjunction.Unload{Destination: destination})
		}
	}
	c.idleTimer = c.Loop.After(unloadInterval, func() {
		c.idleTimer = nil
		c.unloadIdle()
	})
}

const (
	maxUnloads     = 32 // destinations unloaded at once
	unloadInterval = 20 * time.Millisecond
)

// unloaded handles a destination returned by the module. Only its snapshot is kept: no target,
// connection or endpoint number.
func (c *Core) unloaded(a snowjunction.Unloaded) {
	g := c.routes.loaded[a.Destination]
	if g == nil || !g.unloading {
		c.Log.Error("the module unloaded a destination without a request", "destination", a.Destination)
		return
	}
	g.unloading = false
	if a.Busy || a.Snapshot == nil && g.flows > 0 {
		c.idleTracker.Idle(g.destination, c.elapsed())
		c.unloadIdle()
		return
	}
	m := c.memento(a.Snapshot)
	for _, l := range g.members {
		if l.target != nil {
			l.target.Retire()
			l.target = nil
		}
		delete(c.routes.byID, l.id)
	}
	delete(c.routes.loaded, g.destination)
	text := c.idleTracker.Unload(g.destination, m, c.elapsed())
	c.saveUnloaded(g.destination, text)
	if c.SnapshotStore != nil {
		c.SnapshotStore.Put(uint32(g.destination), c.Loop.Now(), text)
	}
}

// DormancyStats returns statistics of the target groups and the unloaded destinations as log attributes.
func (c *Core) DormancyStats() slog.Value {
	counts, endpoints, bytes := c.idleTracker.Counts, 0, 0
	for _, t := range c.routes.tables {
		endpoints += t.Len()
		bytes += t.Bytes()
	}
	updates := c.updates
	c.updates = listUpdates{}
	meanNs, stored := int64(0), 0
	if c.SnapshotStore != nil {
		stored = c.SnapshotStore.Len()
	}
	if updates.count > 0 {
		meanNs = updates.took.Nanoseconds() / int64(updates.count)
	}
	return slog.GroupValue(
		slog.Int("listed", endpoints), slog.Int("destinations", c.routes.destinations()), slog.Int("table_bytes", bytes),
		slog.Int("awake", c.idleTracker.Loaded()), slog.Int("mementos", c.idleTracker.Snapshots()), slog.Int("memento_bytes", c.idleTracker.Bytes()),
		slog.Uint64("slept", counts.Unloaded), slog.Uint64("woke", counts.Loaded), slog.Uint64("known", counts.LoadedWithSnapshot),
		slog.Int("beyond", stored), slog.Uint64("dropped", counts.Dropped), slog.Uint64("binding_dropped", counts.BindingDropped), slog.Uint64("full", counts.AllBinding),
		slog.Int("changes", updates.count), slog.Int64("change_ns", meanNs),
	)
}

// listUpdates counts the partial list updates since the last report.
type listUpdates struct {
	count int
	took  time.Duration
}
