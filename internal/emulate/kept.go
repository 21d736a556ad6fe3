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

// savedState is what a courier keeps on its disk beside its journal, and what it makes of
// that: package belief for its list, package learnt for its state.
type savedState struct {
	learned       map[uint32]learnedstate.Record // by destination
	picker        *learnedstate.Picker
	journalWrites uint64 // writes of this life
	pickScheduled bool   // the picker is to be asked

	confidence    *confidence.Tracker
	directorySeen time.Duration // when the directory was last up for this courier
	noList        bool          // no list is held, until the directory speaks
}

const (
	journalWriteBytes = 80 // bytes of a journal's write, on the average
	noListRetryAfter  = 1500 * time.Millisecond
)

// directoryDown tells whether the directory is silent now, and until when.
func (w *world) directoryDown() (bool, time.Duration) {
	for _, d := range w.scenario.Directory.Down {
		if from, until := seconds(d.At), seconds(d.At+d.For); w.now >= from && w.now < until {
			return true, until
		}
	}
	return false, 0
}

// restoreSaved begins a life with what is on the disk. Until the directory speaks its list is
// what it was, or nothing.
func (c *courier) restoreSaved() {
	w, k := c.world, &c.saved
	k.picker, k.pickScheduled, k.journalWrites = learnedstate.NewPicker(), false, 0
	if k.learned == nil {
		k.learned = map[uint32]learnedstate.Record{}
	}
	silent, until := w.directoryDown()
	if c.run == 1 || !silent {
		k.directorySeen = w.now
	}
	k.noList = c.run > 1 && silent && !w.scenario.Kept.List
	if silent && c.run > 1 {
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
	if c.run == 1 || !silent {
		k.confidence.Start(confidence.Live, 0, w.now)
		k.confidence.DirectoryConfirmed(w.now)
	} else {
		k.confidence.Start(confidence.Cached, w.now-k.directorySeen, w.now)
	}
	c.updateConfidence()
}

// updateConfidence has the book find what time has changed, and looks again when it may change next.
// A directory that is up counts as heard at all times.
func (c *courier) updateConfidence() {
	k, w := &c.saved, c.world
	if k.confidence == nil || !c.up {
		return
	}
	silent, until := w.directoryDown()
	if !silent {
		k.directorySeen = w.now
		k.confidence.DirectoryConfirmed(w.now)
		for _, d := range w.scenario.Directory.Down { // the next silence
			if from := seconds(d.At); from >= w.now {
				w.queue.push(event{at: from, kind: confidenceCheck, target: c.number, id: int32(c.run)})
				return
			}
		}
		return
	}
	change, again := k.confidence.Advance(w.now)
	if change != confidence.Unchanged {
		c.resendList()
	}
	at := until
	if again > 0 {
		at = min(at, w.now+again)
	}
	w.queue.push(event{at: at, kind: confidenceCheck, target: c.number, id: int32(c.run)})
}

// directoryRecovered is the directory's word after a silence.
func (c *courier) directoryRecovered(life uint32) {
	if life != c.run || !c.up {
		return
	}
	k := &c.saved
	k.directorySeen = c.world.now
	was := k.noList
	k.noList = false
	if was && c.world.checker != nil {
		for id := range c.listedPhases {
			if c.listedPhases[id] != snowjunction.Gone {
				c.world.checker.Listed(c.world.now, c.number, int32(id), c.world.endpoints[id].dest, c.listedPhases[id] == snowjunction.Ready)
			}
		}
	}
	if k.confidence != nil && k.confidence.DirectoryConfirmed(c.world.now) || was {
		c.resendList()
	}
}

// resendList shows the policy all that is listed as it is believed now.
func (c *courier) resendList() {
	var list []snowjunction.Endpoint
	for id := range c.listedPhases {
		if _, awake := c.loaded[c.world.endpoints[id].dest]; c.listedPhases[id] != snowjunction.Gone && (c.idleTracker == nil || awake) {
			list = append(list, c.listEntry(int32(id)))
		}
	}
	if len(list) > 0 {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: list, Destinations: len(c.world.partners)})
	}
}

// withConfidence is an entry as it is believed.
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

func endpointName(id int32) string { return string([]byte{byte(id), byte(id >> 8), byte(id >> 16)}) }

// recordEvidence takes what a call has shown.
func (c *courier) recordEvidence(ep int32, out snowjunction.Outcome, elsewhere bool) {
	k := &c.saved
	if k.confidence == nil || c.listedPhases[ep] != snowjunction.Ready {
		return
	}
	e := confidence.EvidenceOf(out)
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

// markChanged tells that something new may be known of a destination.
func (c *courier) markChanged(d int32) {
	if c.world.scenario.Kept.Learnt {
		c.saved.picker.MarkChanged(uint32(d))
		c.scheduleLearned()
	}
}

func (c *courier) scheduleLearned() {
	if k := &c.saved; !k.pickScheduled && k.picker.Waiting() {
		k.pickScheduled = true
		c.world.queue.push(event{at: c.world.now + learnedstate.PickInterval, kind: learnedStateDue, target: c.number, id: int32(c.run)})
	}
}

func (k *savedState) journalWritten() learnedstate.Journal {
	return learnedstate.Journal{Writes: k.journalWrites, Bytes: k.journalWrites * journalWriteBytes}
}

func (c *courier) inspectChanged(life uint32) {
	k := &c.saved
	if life != c.run || !c.up {
		return
	}
	k.pickScheduled = false
	for _, d := range k.picker.Pick(k.journalWritten()) {
		if _, awake := c.loaded[int32(d)]; c.idleTracker != nil && !awake {
			k.picker.HandleState(d, nil, time.Time{}, nil, learnedstate.Journal{})
			continue
		}
		c.post(snowjunction.Inspect{Destination: snowjunction.DestinationID(d)})
	}
	c.scheduleLearned()
}

// handleInspected takes what the policy knows of a destination.
func (c *courier) handleInspected(a snowjunction.Inspected) {
	form := func(s *snowjunction.DestinationSnapshot) []byte { return snapshot.Encode(nil, snapshotOf(s)) }
	c.saved.picker.HandleState(uint32(a.Destination), a.Snapshot, epoch.Add(c.world.now), form, c.saved.journalWritten())
}

// flushLearned writes what the policy has told in one turn.
func (c *courier) flushLearned() {
	if batch := c.saved.picker.Flush(); len(batch) > 0 {
		c.world.result.LearnedWrites++
		for _, r := range batch {
			c.saved.learned[r.Destination] = r
		}
	}
}

// epoch is where a run begins on the wall's clock.
var epoch = time.UnixMilli(0)

func snapshotOf(s *snowjunction.DestinationSnapshot) *snapshot.Snapshot {
	m := &snapshot.Snapshot{State: *s}
	for _, e := range s.Endpoints {
		m.Names = append(m.Names, snapshot.EndpointHash(e.ID))
	}
	return m
}

// restoreDestinations are the destinations that the disk knows of, woken for a policy that has
// all of them awake.
func (c *courier) restoreDestinations() (events []snowjunction.Event) {
	w, k := c.world, &c.saved
	if !w.scenario.Kept.Learnt || len(k.learned) == 0 {
		return nil
	}
	now := w.now - c.startedAt
	book := c.idleTracker
	if book == nil {
		cfg := idlestate.Default(c.settings)
		cfg.MaxBytes = 1 << 30
		book = idlestate.New(cfg)
	}
	for _, d := range slices.Sorted(maps.Keys(k.learned)) {
		r := k.learned[d]
		age := w.now - r.At.Sub(epoch)
		if !book.Restore(snowjunction.DestinationID(d), r.Snapshot, age, now) {
			continue
		}
		w.result.RestoredDestinations++
		if c.idleTracker == nil {
			events = append(events, c.loadEvent(int32(d), book.Load(snowjunction.DestinationID(d), now)))
		}
	}
	return events
}

// loadEvent is the event that brings a destination back to a policy.
func (c *courier) loadEvent(d int32, got idlestate.Loaded) snowjunction.Load {
	ev := snowjunction.Load{Destination: snowjunction.DestinationID(d), UnloadedFor: got.UnloadedFor, CautiousStart: got.Caution, Destinations: len(c.world.partners)}
	for _, id := range c.world.partners[d].endpoints {
		if c.listedPhases[id] == snowjunction.Ready && !c.saved.noList {
			ev.Endpoints = append(ev.Endpoints, c.listEntry(id))
		}
	}
	if got.Snapshot != nil {
		ev.Snapshot = &got.Snapshot.State
		for i, n := range got.Snapshot.Names {
			ev.Snapshot.Endpoints[i].ID = snowjunction.EndpointID(n)
		}
	}
	return ev
}

// reusedAddress is what is found at the address of an endpoint that is gone, where the
// address is used again: somebody who says so, or who answers with errors.
func (w *world) reusedAddress(ep int32) (partner.Answer, bool) {
	e := &w.endpoints[ep]
	if !e.addressReused {
		return partner.Answer{}, false
	}
	a := partner.Answer{Status: 500, After: w.partners[e.dest].Profile.Latency / 4}
	if e.saysMisdirected {
		a.Status = 421
	}
	return a, true
}
