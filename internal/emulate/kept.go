package emulate

import (
	"maps"
	"slices"
	"time"

	"snowjunction"
	"snowjunction/internal/confidence"
	"snowjunction/internal/idlestate"
	"snowjunction/internal/learnedstate"
	"snowjunction/internal/snapshot"
	"snowjunction/internal/standin/partner"
)

// savedState is what a courier keeps on its disk next to the journal, and the components that
// use it: package confidence for the endpoint list, package learnedstate for learned state.
type savedState struct {
	learned       map[uint32]learnedstate.Record // by destination number
	picker        *learnedstate.Picker
	journalWrites uint64 // journal writes of this process run
	pickScheduled bool   // a call of the picker is scheduled

	confidence    *confidence.Tracker
	directorySeen time.Duration // when this courier last reached the directory
	noList        bool          // no endpoint list until the directory responds
}

const (
	journalWriteBytes = 80 // mean size of a journal write
	noListRetryAfter  = 1500 * time.Millisecond
)

// directoryDown reports whether the directory is unavailable now, and until when.
func (w *world) directoryDown() (bool, time.Duration) {
	for _, d := range w.scenario.Directory.Down {
		if from, until := seconds(d.At), seconds(d.At+d.For); w.now >= from && w.now < until {
			return true, until
		}
	}
	return false, 0
}

// restoreSaved begins a process run with the state on disk. Until the directory responds, the
// courier uses the saved list, or has none.
func (c *courier) restoreSaved() {
	w, k := c.world, &c.saved
	k.picker, k.pickScheduled, k.journalWrites = learnedstate.NewPicker(), false, 0
	if k.learned == nil {
		k.learned = map[uint32]learnedstate.Record{}
	}
	down, until := w.directoryDown()
	if c.run == 1 || !down {
		k.directorySeen = w.now
	}
	k.noList = c.run > 1 && down && !w.scenario.Kept.List
	if down && c.run > 1 {
		w.queue.push(event{at: until, kind: directoryBack, target: c.number, id: int32(c.run)})
	}
	if !w.scenario.Kept.Weigh {
		return
	}
	cfg := confidence.Default()
	if f := w.scenario.Kept.FreshS; f > 0 {
		cfg.FreshFor = seconds(f)
	}
	k.confidence = confidence.New(cfg)
	if c.run == 1 || !down {
		k.confidence.Start(confidence.Live, 0, w.now)
		k.confidence.DirectoryConfirmed(w.now)
	} else {
		k.confidence.Start(confidence.Cached, w.now-k.directorySeen, w.now)
	}
	c.updateConfidence()
}

// updateConfidence re-evaluates the confidence in the endpoints and schedules the next
// evaluation. While the directory is up, its list counts as confirmed at every moment.
func (c *courier) updateConfidence() {
	k, w := &c.saved, c.world
	if k.confidence == nil || !c.up {
		return
	}
	down, until := w.directoryDown()
	if !down {
		k.directorySeen = w.now
		k.confidence.DirectoryConfirmed(w.now)
		for _, d := range w.scenario.Directory.Down { // the next check is due when the next outage begins
			if from := seconds(d.At); from >= w.now {
				w.queue.push(event{at: from, kind: confidenceCheck, target: c.number, id: int32(c.run)})
				return
			}
		}
		return
	}
	change, next := k.confidence.Advance(w.now)
	if change != confidence.Unchanged {
		c.resendList()
	}
	at := until
	if next > 0 {
		at = min(at, w.now+next)
	}
	w.queue.push(event{at: at, kind: confidenceCheck, target: c.number, id: int32(c.run)})
}

// directoryRecovered handles the first directory response after an outage.
func (c *courier) directoryRecovered(run uint32) {
	if run != c.run || !c.up {
		return
	}
	k := &c.saved
	k.directorySeen = c.world.now
	hadNoList := k.noList
	k.noList = false
	if hadNoList && c.world.checker != nil {
		for id := range c.listedPhases {
			if c.listedPhases[id] != snowjunction.Gone {
				c.world.checker.Listed(c.world.now, c.number, int32(id), c.world.endpoints[id].dest, c.listedPhases[id] == snowjunction.Ready)
			}
		}
	}
	if k.confidence != nil && k.confidence.DirectoryConfirmed(c.world.now) || hadNoList {
		c.resendList()
	}
}

// resendList posts every listed endpoint to the policy with the current confidence.
func (c *courier) resendList() {
	var list []snowjunction.Endpoint
	for id := range c.listedPhases {
		if _, loaded := c.loaded[c.world.endpoints[id].dest]; c.listedPhases[id] != snowjunction.Gone && (c.idleTracker == nil || loaded) {
			list = append(list, c.listEntry(int32(id)))
		}
	}
	if len(list) > 0 {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: list, Destinations: len(c.world.partners)})
	}
}

// withConfidence returns an entry with the current confidence in its endpoint: a doubtful
// endpoint is marked, a refuted one counts as draining.
func (c *courier) withConfidence(e snowjunction.Endpoint, id int32) snowjunction.Endpoint {
	if c.saved.confidence == nil || e.Phase != snowjunction.Ready {
		return e
	}
	switch c.saved.confidence.Level(endpointName(id)) {
	case confidence.Doubtful:
		e.Doubtful = true
	case confidence.Refuted:
		e.Phase = snowjunction.Draining
	}
	return e
}

// endpointName returns the name by which package confidence knows an endpoint.
func endpointName(id int32) string { return string([]byte{byte(id), byte(id >> 8), byte(id >> 16)}) }

// recordEvidence updates the confidence in an endpoint by the outcome of a call. elsewhere means
// that another service has answered at its address.
func (c *courier) recordEvidence(ep int32, outcome snowjunction.Outcome, elsewhere bool) {
	k := &c.saved
	if k.confidence == nil || c.listedPhases[ep] != snowjunction.Ready {
		return
	}
	e := confidence.EvidenceOf(outcome)
	if elsewhere {
		e = confidence.OtherEndpoint
	}
	was, is, _ := k.confidence.RecordCall(snowjunction.DestinationID(c.world.endpoints[ep].dest), endpointName(ep), e, c.world.now)
	if is == confidence.Refuted && was != is {
		c.world.result.RefutedEndpoints++
	}
	if was != is {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: []snowjunction.Endpoint{c.listEntry(ep)}, Destinations: len(c.world.partners)})
	}
}

// markChanged records that the learned state of a destination may have changed.
func (c *courier) markChanged(d int32) {
	if c.world.scenario.Kept.Learnt {
		c.saved.picker.MarkChanged(uint32(d))
		c.scheduleLearned()
	}
}

// scheduleLearned schedules the next call of the picker if changes are waiting.
func (c *courier) scheduleLearned() {
	if k := &c.saved; !k.pickScheduled && k.picker.Waiting() {
		k.pickScheduled = true
		c.world.queue.push(event{at: c.world.now + learnedstate.PickInterval, kind: learnedStateDue, target: c.number, id: int32(c.run)})
	}
}

// journalWritten returns the journal's volume, which limits the writes of learned state.
func (k *savedState) journalWritten() learnedstate.Journal {
	return learnedstate.Journal{Writes: k.journalWrites, Bytes: k.journalWrites * journalWriteBytes}
}

// inspectChanged asks the policy for the state of the destinations that the picker selects.
func (c *courier) inspectChanged(run uint32) {
	k := &c.saved
	if run != c.run || !c.up {
		return
	}
	k.pickScheduled = false
	for _, d := range k.picker.Pick(k.journalWritten()) {
		if _, loaded := c.loaded[int32(d)]; c.idleTracker != nil && !loaded {
			k.picker.HandleState(d, nil, time.Time{}, nil, learnedstate.Journal{})
			continue
		}
		c.post(snowjunction.Inspect{Destination: snowjunction.DestinationID(d)})
	}
	c.scheduleLearned()
}

// handleInspected passes the state of a destination to the picker.
func (c *courier) handleInspected(a snowjunction.Inspected) {
	encode := func(s *snowjunction.DestinationSnapshot) []byte { return snapshot.Encode(nil, snapshotOf(s)) }
	c.saved.picker.HandleState(uint32(a.Destination), a.Snapshot, epoch.Add(c.world.now), encode, c.saved.journalWritten())
}

// flushLearned writes the learned state that the policy returned in one tick to the disk.
func (c *courier) flushLearned() {
	if batch := c.saved.picker.Flush(); len(batch) > 0 {
		c.world.result.LearnedWrites++
		for _, r := range batch {
			c.saved.learned[r.Destination] = r
		}
	}
}

// epoch is the wall-clock time at which a run begins.
var epoch = time.UnixMilli(0)

// snapshotOf returns the snapshot of a destination with the hashes of its endpoint names.
func snapshotOf(s *snowjunction.DestinationSnapshot) *snapshot.Snapshot {
	m := &snapshot.Snapshot{State: *s}
	for _, e := range s.Endpoints {
		m.Names = append(m.Names, snapshot.EndpointHash(e.ID))
	}
	return m
}

// restoreDestinations restores the destinations with learned state on disk. Without dormancy it
// returns an event for each that loads it into the policy.
func (c *courier) restoreDestinations() (events []snowjunction.Event) {
	w, k := c.world, &c.saved
	if !w.scenario.Kept.Learnt || len(k.learned) == 0 {
		return nil
	}
	now := w.now - c.startedAt
	tracker := c.idleTracker
	if tracker == nil {
		cfg := idlestate.Default(c.settings)
		cfg.MaxBytes = 1 << 30
		tracker = idlestate.New(cfg)
	}
	for _, d := range slices.Sorted(maps.Keys(k.learned)) {
		r := k.learned[d]
		age := w.now - r.At.Sub(epoch)
		if !tracker.Restore(snowjunction.DestinationID(d), r.Snapshot, age, now) {
			continue
		}
		w.result.RestoredDestinations++
		if c.idleTracker == nil {
			events = append(events, c.loadEvent(int32(d), tracker.Load(snowjunction.DestinationID(d), now)))
		}
	}
	return events
}

// loadEvent returns the event that loads a destination into the policy.
func (c *courier) loadEvent(d int32, loaded idlestate.Loaded) snowjunction.Load {
	ev := snowjunction.Load{Destination: snowjunction.DestinationID(d), UnloadedFor: loaded.UnloadedFor, CautiousStart: loaded.Caution, Destinations: len(c.world.partners)}
	for _, id := range c.world.partners[d].endpoints {
		if c.listedPhases[id] == snowjunction.Ready && !c.saved.noList {
			ev.Endpoints = append(ev.Endpoints, c.listEntry(id))
		}
	}
	if loaded.Snapshot != nil {
		ev.Snapshot = &loaded.Snapshot.State
		for i, n := range loaded.Snapshot.Names {
			ev.Snapshot.Endpoints[i].ID = snowjunction.EndpointID(n)
		}
	}
	return ev
}

// reusedAddress returns the answer at the address of a removed endpoint if another service uses
// it: status 421 (misdirected request), or 500 if that service does not detect the mismatch.
func (w *world) reusedAddress(ep int32) (partner.Response, bool) {
	e := &w.endpoints[ep]
	if !e.addressReused {
		return partner.Response{}, false
	}
	a := partner.Response{Status: 500, Delay: w.partners[e.dest].Profile.Latency / 4}
	if e.saysMisdirected {
		a.Status = 421
	}
	return a, true
}
