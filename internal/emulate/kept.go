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

// kept is what a courier keeps on its disk beside its journal, and what it makes of
// that: package belief for its list, package learnt for its state.
type kept struct {
	disk    map[uint32]learnedstate.Record // by destination
	picker  *learnedstate.Picker
	journal uint64 // writes of this life
	due     bool   // the picker is to be asked

	belief *confidence.Tracker
	heard  time.Duration // when the directory was last up for this courier
	blind  bool          // no list is held, until the directory speaks
}

const (
	journalOf  = 80 // bytes of a journal's write, on the average
	blindAfter = 1500 * time.Millisecond
)

// down tells whether the directory is silent now, and until when.
func (w *world) down() (bool, time.Duration) {
	for _, d := range w.s.Directory.Down {
		if from, until := seconds(d.At), seconds(d.At+d.For); w.now >= from && w.now < until {
			return true, until
		}
	}
	return false, 0
}

// recall begins a life with what is on the disk. Until the directory speaks its list is
// what it was, or nothing.
func (c *courier) recall() {
	w, k := c.w, &c.kept
	k.picker, k.due, k.journal = learnedstate.NewPicker(), false, 0
	if k.disk == nil {
		k.disk = map[uint32]learnedstate.Record{}
	}
	silent, until := w.down()
	if c.life == 1 || !silent {
		k.heard = w.now
	}
	k.blind = c.life > 1 && silent && !w.s.Kept.List
	if silent && c.life > 1 {
		w.q.push(event{at: until, kind: spoken, who: c.no, id: int32(c.life)})
	}
	if !w.s.Kept.Weigh {
		return
	}
	cfg := confidence.Default()
	if f := w.s.Kept.FreshS; f > 0 {
		cfg.FreshFor = seconds(f)
	}
	k.belief = confidence.New(cfg)
	if c.life == 1 || !silent {
		k.belief.Start(confidence.Live, 0, w.now)
		k.belief.DirectoryConfirmed(w.now)
	} else {
		k.belief.Start(confidence.Cached, w.now-k.heard, w.now)
	}
	c.look()
}

// look has the book find what time has changed, and looks again when it may change next.
// A directory that is up counts as heard at all times.
func (c *courier) look() {
	k, w := &c.kept, c.w
	if k.belief == nil || !c.up {
		return
	}
	silent, until := w.down()
	if !silent {
		k.heard = w.now
		k.belief.DirectoryConfirmed(w.now)
		for _, d := range w.s.Directory.Down { // the next silence
			if from := seconds(d.At); from >= w.now {
				w.q.push(event{at: from, kind: look, who: c.no, id: int32(c.life)})
				return
			}
		}
		return
	}
	change, again := k.belief.Advance(w.now)
	if change != confidence.Unchanged {
		c.represent()
	}
	at := until
	if again > 0 {
		at = min(at, w.now+again)
	}
	w.q.push(event{at: at, kind: look, who: c.no, id: int32(c.life)})
}

// spoken is the directory's word after a silence.
func (c *courier) spoken(life uint32) {
	if life != c.life || !c.up {
		return
	}
	k := &c.kept
	k.heard = c.w.now
	was := k.blind
	k.blind = false
	if was && c.w.check != nil {
		for id := range c.view {
			if c.view[id] != snowjunction.Gone {
				c.w.check.Listed(c.w.now, c.no, int32(id), c.w.endpoints[id].dest, c.view[id] == snowjunction.Ready)
			}
		}
	}
	if k.belief != nil && k.belief.DirectoryConfirmed(c.w.now) || was {
		c.represent()
	}
}

// represent shows the policy all that is listed as it is believed now.
func (c *courier) represent() {
	var list []snowjunction.Endpoint
	for id := range c.view {
		if _, awake := c.awake[c.w.endpoints[id].dest]; c.view[id] != snowjunction.Gone && (c.book == nil || awake) {
			list = append(list, c.entry(int32(id)))
		}
	}
	if len(list) > 0 {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: list, Destinations: len(c.w.partners)})
	}
}

// believed is an entry as it is believed.
func (c *courier) believed(e snowjunction.Endpoint, id int32) snowjunction.Endpoint {
	if c.kept.belief == nil || e.Phase != snowjunction.Ready {
		return e
	}
	switch c.kept.belief.Level(endpointName(id)) {
	case confidence.Doubtful:
		e.Doubtful = true
	case confidence.Refuted:
		e.Phase = snowjunction.Draining
	}
	return e
}

func endpointName(id int32) string { return string([]byte{byte(id), byte(id >> 8), byte(id >> 16)}) }

// evidence takes what a call has shown.
func (c *courier) evidence(ep int32, out snowjunction.Outcome, elsewhere bool) {
	k := &c.kept
	if k.belief == nil || c.view[ep] != snowjunction.Ready {
		return
	}
	e := confidence.EvidenceOf(out)
	if elsewhere {
		e = confidence.OtherEndpoint
	}
	was, is, _ := k.belief.RecordCall(snowjunction.DestinationID(c.w.endpoints[ep].dest), endpointName(ep), e, c.w.now)
	if is == confidence.Refuted && was != is {
		c.w.res.Refuted++
	}
	if was != is {
		c.post(snowjunction.List{Kind: snowjunction.ListDelta, Endpoints: []snowjunction.Endpoint{c.entry(ep)}, Destinations: len(c.w.partners)})
	}
}

// learn tells that something new may be known of a destination.
func (c *courier) learn(d int32) {
	if c.w.s.Kept.Learnt {
		c.kept.picker.MarkChanged(uint32(d))
		c.learnSoon()
	}
}

func (c *courier) learnSoon() {
	if k := &c.kept; !k.due && k.picker.Waiting() {
		k.due = true
		c.w.q.push(event{at: c.w.now + learnedstate.PickInterval, kind: learnDue, who: c.no, id: int32(c.life)})
	}
}

func (k *kept) written() learnedstate.Journal {
	return learnedstate.Journal{Writes: k.journal, Bytes: k.journal * journalOf}
}

func (c *courier) learnNow(life uint32) {
	k := &c.kept
	if life != c.life || !c.up {
		return
	}
	k.due = false
	for _, d := range k.picker.Pick(k.written()) {
		if _, awake := c.awake[int32(d)]; c.book != nil && !awake {
			k.picker.HandleState(d, nil, time.Time{}, nil, learnedstate.Journal{})
			continue
		}
		c.post(snowjunction.Inspect{Destination: snowjunction.DestinationID(d)})
	}
	c.learnSoon()
}

// seen takes what the policy knows of a destination.
func (c *courier) seen(a snowjunction.Inspected) {
	form := func(s *snowjunction.DestinationSnapshot) []byte { return snapshot.Encode(nil, mementoOf(s)) }
	c.kept.picker.HandleState(uint32(a.Destination), a.Snapshot, epoch.Add(c.w.now), form, c.kept.written())
}

// learned writes what the policy has told in one turn.
func (c *courier) learned() {
	if batch := c.kept.picker.Flush(); len(batch) > 0 {
		c.w.res.Learnt++
		for _, r := range batch {
			c.kept.disk[r.Destination] = r
		}
	}
}

// epoch is where a run begins on the wall's clock.
var epoch = time.UnixMilli(0)

func mementoOf(s *snowjunction.DestinationSnapshot) *snapshot.Snapshot {
	m := &snapshot.Snapshot{State: *s}
	for _, e := range s.Endpoints {
		m.Names = append(m.Names, snapshot.EndpointHash(e.ID))
	}
	return m
}

// recalled are the destinations that the disk knows of, woken for a policy that has
// all of them awake.
func (c *courier) recalled() (events []snowjunction.Event) {
	w, k := c.w, &c.kept
	if !w.s.Kept.Learnt || len(k.disk) == 0 {
		return nil
	}
	now := w.now - c.began
	book := c.book
	if book == nil {
		cfg := idlestate.Default(c.s)
		cfg.MaxBytes = 1 << 30
		book = idlestate.New(cfg)
	}
	for _, d := range slices.Sorted(maps.Keys(k.disk)) {
		r := k.disk[d]
		age := w.now - r.At.Sub(epoch)
		if !book.Restore(snowjunction.DestinationID(d), r.Snapshot, age, now) {
			continue
		}
		w.res.Recalled++
		if c.book == nil {
			events = append(events, c.woken(int32(d), book.Load(snowjunction.DestinationID(d), now)))
		}
	}
	return events
}

// woken is the event that brings a destination back to a policy.
func (c *courier) woken(d int32, got idlestate.Loaded) snowjunction.Load {
	ev := snowjunction.Load{Destination: snowjunction.DestinationID(d), UnloadedFor: got.UnloadedFor, CautiousStart: got.Caution, Destinations: len(c.w.partners)}
	for _, id := range c.w.partners[d].eps {
		if c.view[id] == snowjunction.Ready && !c.kept.blind {
			ev.Endpoints = append(ev.Endpoints, c.entry(id))
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

// elsewhere is what is found at the address of an endpoint that is gone, where the
// address is used again: somebody who says so, or who answers with errors.
func (w *world) elsewhere(ep int32) (partner.Answer, bool) {
	e := &w.endpoints[ep]
	if !e.reused {
		return partner.Answer{}, false
	}
	a := partner.Answer{Status: 500, After: w.partners[e.dest].Profile.Latency / 4}
	if e.says {
		a.Status = 421
	}
	return a, true
}
