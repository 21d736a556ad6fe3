// Package idlestate decides when an idle destination is unloaded, how much of its state is kept and
// for how long, and how cautiously calls start when it is loaded again. It does no I/O, reads no
// clock and starts no goroutine: times are passed in, as the time since a moment of the caller's
// choice.
//
// A destination without a flow and without a call is idle. It is unloaded after it was idle for
// long enough, or if it is the longest idle one while too many are loaded: the caller takes a
// snapshot of its state from the decision module, and this package stores its encoded form.
// Snapshots take a bounded amount of memory. A snapshot that a rule still needs (a retry-after
// delay, a retry budget in use, an outage or a recovery with slow start) is binding and never
// dropped. Of the others, those unloaded longest ago are dropped first.
package idlestate

import (
	"container/list"
	"math"
	"time"

	"snowjunction"
	"snowjunction/internal/snapshot"
)

// Destination is the number of a destination.
type Destination = snowjunction.DestinationID

// Config limits what is kept and for how long.
type Config struct {
	IdleTimeout time.Duration // idle time after which a destination is unloaded
	MaxLoaded   int           // if more destinations are loaded, the longest idle ones are unloaded earlier
	MaxBytes    int           // bytes of all snapshots

	HalfLife      time.Duration // a stored limit loses half of its value in this time
	MaxAge        time.Duration // age at which a snapshot that is not binding is no longer used
	CautiousFor   time.Duration // how long the pacing rate of a loaded destination stays low
	CautiousFirst bool          // destinations without a snapshot start cautiously too

	RetryWindow time.Duration // the module's retry budget window: retries within it are binding
	WarmUp      time.Duration // how long a recovery with slow start is binding
	Outage      time.Duration // how long an outage is binding; after that, the cautious start suffices

	// After a restart within this time, state is used unchanged. After a longer one it is aged like
	// that of an unloaded destination.
	QuickRestart time.Duration
}

// Default returns the limits that apply without an operator file. Binding times follow the given
// settings.
func Default(s snowjunction.Settings) Config {
	return Config{
		IdleTimeout: time.Minute, MaxLoaded: 4096, MaxBytes: 1 << 20,
		HalfLife: 10 * time.Minute, MaxAge: 6 * time.Hour, CautiousFor: max(s.WarmUp, 5*time.Second),
		RetryWindow: 10 * time.Second, WarmUp: max(s.WarmUp, s.CollapseTime), Outage: 10 * time.Minute,
		QuickRestart: 20 * time.Second,
	}
}

// Tracker tracks which destinations are loaded, idle or unloaded.
type Tracker struct {
	cfg              Config
	loaded           int
	idle             *list.List // of Destination, the longest idle first
	idleElement      map[Destination]*list.Element
	idleSince        map[Destination]time.Duration
	entries          map[Destination]*entry
	oldest, youngest *entry // in the order of unloading
	bytes            int
	Counts           Counts
}

// Counts are the totals since its start.
type Counts struct {
	Unloaded, Loaded, LoadedWithSnapshot uint64 // the last one: loaded with a snapshot
	Dropped                              uint64 // snapshots that were not binding, dropped for lack of room
	BindingDropped                       uint64 // binding snapshots dropped for lack of room
	AllBinding                           uint64 // idle destinations not unloaded because all snapshots are binding
}

type entry struct {
	dest            Destination
	unloadedAt      time.Duration
	fromPreviousRun bool // restored from a previous process run
	handedOver      bool // loaded in another process, which handed it over
	bindingUntil    time.Duration
	encoded         []byte
	prev, next      *entry
}

// size returns the memory that the snapshot takes, in bytes.
func (k *entry) size() int { return len(k.encoded) + entryOverhead }

// entryOverhead is the memory that a snapshot takes besides its encoded bytes: its record and its
// places in the map and the order.
const entryOverhead = 128

// New returns an empty tracker.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, idle: list.New(), idleElement: map[Destination]*list.Element{}, idleSince: map[Destination]time.Duration{},
		entries: map[Destination]*entry{},
	}
}

// Loaded returns the number of loaded destinations.
func (b *Tracker) Loaded() int { return b.loaded }

// OverLimit reports whether too many destinations are loaded and some of them are idle.
func (b *Tracker) OverLimit() bool { return b.loaded > b.cfg.MaxLoaded && b.idle.Len() > 0 }

// Snapshots returns the number of snapshots.
func (b *Tracker) Snapshots() int { return len(b.entries) }

// Bytes returns the approximate memory size of the snapshots.
func (b *Tracker) Bytes() int { return b.bytes }

// Busy records that a loaded destination has something to do.
func (b *Tracker) Busy(d Destination) {
	if e := b.idleElement[d]; e != nil {
		b.idle.Remove(e)
		delete(b.idleElement, d)
		delete(b.idleSince, d)
	}
}

// Idle records that a loaded destination has nothing to do from now on.
func (b *Tracker) Idle(d Destination, now time.Duration) {
	if b.idleElement[d] == nil {
		b.idleElement[d], b.idleSince[d] = b.idle.PushBack(d), now
	}
}

// Due returns the destination to unload now, or how long to wait before the next call. wait is
// negative if no destination is idle.
func (b *Tracker) Due(now time.Duration) (d Destination, due bool, wait time.Duration) {
	front := b.idle.Front()
	if front == nil {
		return 0, false, -1
	}
	d = front.Value.(Destination)
	if left := b.idleSince[d] + b.cfg.IdleTimeout - now; left > 0 && b.loaded <= b.cfg.MaxLoaded {
		return 0, false, left
	}
	if free, at := b.hasRoom(now); !free {
		b.Counts.AllBinding++
		return 0, false, max(at-now, time.Millisecond)
	}
	return d, true, 0
}

// hasRoom reports whether another snapshot can be stored, if necessary in place of one that is not
// binding, or when the first binding one expires.
func (b *Tracker) hasRoom(now time.Duration) (bool, time.Duration) {
	if b.bytes+typicalEntryBytes <= b.cfg.MaxBytes {
		return true, 0
	}
	firstExpiry := time.Duration(math.MaxInt64)
	for k := b.oldest; k != nil; k = k.next {
		if k.bindingUntil <= now {
			return true, 0
		}
		firstExpiry = min(firstExpiry, k.bindingUntil)
	}
	if firstExpiry == math.MaxInt64 {
		firstExpiry = now + time.Second
	}
	return false, firstExpiry
}

// typicalEntryBytes is the usual size of a snapshot with its overhead.
const typicalEntryBytes = entryOverhead + 96

// HasRoom reports whether another destination can be loaded, and if not, when to try again.
func (b *Tracker) HasRoom(now time.Duration) (bool, time.Duration) {
	if b.loaded < b.cfg.MaxLoaded {
		return true, 0
	}
	free, at := b.hasRoom(now)
	if free && b.idle.Len() > 0 {
		return true, 0
	}
	return false, max(at-now, time.Second)
}

// Unload stores the snapshot of a destination that is unloaded, and returns the encoded snapshot for
// callers that store a copy. Snapshots that no longer fit are dropped.
func (b *Tracker) Unload(d Destination, m *snapshot.Snapshot, now time.Duration) (encoded []byte) {
	b.Busy(d)
	b.loaded--
	b.Counts.Unloaded++
	encoded = snapshot.Encode(nil, m)
	b.addEntry(&entry{dest: d, unloadedAt: now, bindingUntil: now + b.bindingFor(&m.State), encoded: encoded})
	b.dropToLimit(now)
	return encoded
}

// dropToLimit drops snapshots that are not binding, the oldest first, until the others are within the limit.
func (b *Tracker) dropToLimit(now time.Duration) {
	for k := b.oldest; k != nil && b.bytes > b.cfg.MaxBytes; {
		next := k.next
		if k.bindingUntil <= now {
			b.removeEntry(k)
			b.Counts.Dropped++
		}
		k = next
	}
}

// addWithinLimit adds a snapshot in place of ones that are not binding, and reports whether it was kept. A
// binding one is dropped only if all others are binding too.
func (b *Tracker) addWithinLimit(k *entry, now time.Duration) bool {
	b.addEntry(k)
	b.dropToLimit(now)
	if b.bytes > b.cfg.MaxBytes {
		b.removeEntry(k)
		b.Counts.BindingDropped++
	}
	return b.entries[k.dest] == k
}

func (b *Tracker) addEntry(k *entry) {
	if old := b.entries[k.dest]; old != nil {
		b.removeEntry(old)
	}
	if k.prev = b.youngest; k.prev != nil {
		k.prev.next = k
	} else {
		b.oldest = k
	}
	b.youngest = k
	b.entries[k.dest] = k
	b.bytes += k.size()
}

func (b *Tracker) removeEntry(k *entry) {
	if k.prev != nil {
		k.prev.next = k.next
	} else {
		b.oldest = k.next
	}
	if k.next != nil {
		k.next.prev = k.prev
	} else {
		b.youngest = k.prev
	}
	delete(b.entries, k.dest)
	b.bytes -= k.size()
}

// bindingFor returns for how long a rule needs the state s.
func (b *Tracker) bindingFor(s *snowjunction.DestinationSnapshot) (t time.Duration) {
	if s.Retries > 0 {
		t = b.cfg.RetryWindow
	}
	for _, r := range s.Routes {
		t = max(t, r.BlockedFor)
		if r.ColdCalls > 0 {
			t = max(t, b.cfg.WarmUp)
		}
	}
	for _, e := range s.Endpoints {
		switch {
		case e.Condition == snowjunction.Down || e.Failures > 0:
			t = max(t, b.cfg.Outage)
		case e.Condition == snowjunction.Recovering:
			t = max(t, b.cfg.WarmUp-e.SinceCondition)
		}
	}
	return t
}

// Loaded is the state with which a destination is loaded.
type Loaded struct {
	Snapshot    *snapshot.Snapshot // nil if nothing is known
	UnloadedFor time.Duration
	Caution     snowjunction.CautiousStart
}

// Load loads a destination: it removes its snapshot and returns it, aged by the time since the
// destination was unloaded. The destination counts as loaded and busy from now on.
func (b *Tracker) Load(d Destination, now time.Duration) Loaded {
	k := b.entries[d]
	if k == nil {
		return b.load(nil, 0)
	}
	b.removeEntry(k)
	m, err := snapshot.Decode(k.encoded)
	if err != nil { // cannot happen: this package encoded the snapshot
		m = nil
	}
	if k.handedOver && m != nil {
		b.loaded++
		b.Counts.Loaded++
		b.Counts.LoadedWithSnapshot++
		return Loaded{Snapshot: m, UnloadedFor: now - k.unloadedAt}
	}
	if k.fromPreviousRun && m != nil {
		b.loaded++
		b.Counts.Loaded++
		b.Counts.LoadedWithSnapshot++
		return Loaded{Snapshot: m, UnloadedFor: now - k.unloadedAt, Caution: b.adjustAfterRestart(&m.State, now-k.unloadedAt)}
	}
	return b.load(m, now-k.unloadedAt)
}

// Restore adds a snapshot of the given age from a previous process run. A negative age means that it
// is unknown, as after a clock was set back. It returns false if the text is not a snapshot or
// there is no room; a binding snapshot takes the room of others.
func (b *Tracker) Restore(d Destination, encoded []byte, age, now time.Duration) bool {
	m, err := snapshot.Decode(encoded)
	if err != nil {
		return false
	}
	if age < 0 {
		age = b.cfg.HalfLife
	}
	if b.cfg.MaxAge > 0 && age >= b.cfg.MaxAge {
		return false
	}
	k := &entry{dest: d, unloadedAt: now - age, bindingUntil: now - age + b.bindingFor(&m.State), encoded: encoded, fromPreviousRun: true}
	if k.bindingUntil <= now && b.bytes+k.size() > b.cfg.MaxBytes {
		return false
	}
	return b.addWithinLimit(k, now)
}

// AddHandedOver adds a snapshot that another process of this courier took a moment ago. It is used like this
// process's own state, retry-after delays included. A destination that was loaded is taken over
// unchanged. Snapshots must be added in the order in which they were taken: the oldest give way. It returns
// false if the text is not a snapshot or there is no room.
func (b *Tracker) AddHandedOver(d Destination, encoded []byte, at, now time.Duration, loaded, fromPreviousRun bool) bool {
	m, err := snapshot.Decode(encoded)
	if err != nil {
		return false
	}
	return b.addWithinLimit(&entry{
		dest: d, unloadedAt: at, bindingUntil: at + b.bindingFor(&m.State), encoded: encoded, handedOver: loaded, fromPreviousRun: fromPreviousRun,
	}, now)
}

// Each calls f for every stored snapshot.
func (b *Tracker) Each(f func(d Destination, text []byte, at time.Duration, restart bool)) {
	for d, k := range b.entries {
		f(d, k.encoded, k.unloadedAt, k.fromPreviousRun)
	}
}

// adjustAfterRestart adjusts state from before a restart. The restart ends retry-after delays, but
// pacing stays. An outage is not forgotten, but one that ended long ago is not assumed to last: its
// endpoints count as recovering and cold.
func (b *Tracker) adjustAfterRestart(s *snowjunction.DestinationSnapshot, age time.Duration) snowjunction.CautiousStart {
	for i := range s.Routes {
		s.Routes[i].BlockedFor = 0
	}
	assumeSiblingsFailed(s, age)
	if age <= b.cfg.QuickRestart {
		return snowjunction.CautiousStart{}
	}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Condition == snowjunction.Down && age > b.cfg.Outage {
			e.LastOutage = max(e.LastOutage, e.SinceCondition)
			e.Condition, e.Failures, e.SinceCondition, e.Backoff = snowjunction.Recovering, 0, -age, 0 // the warm-up starts when the destination is loaded
		}
	}
	return b.ageState(s, age)
}

// LoadSnapshot loads a destination from a snapshot that was stored elsewhere.
func (b *Tracker) LoadSnapshot(m *snapshot.Snapshot, unloadedFor time.Duration) Loaded {
	return b.load(m, max(unloadedFor, 0))
}

func (b *Tracker) load(m *snapshot.Snapshot, unloadedFor time.Duration) Loaded {
	b.loaded++
	b.Counts.Loaded++
	if m == nil {
		w := Loaded{}
		if b.cfg.CautiousFirst {
			w.Caution = snowjunction.CautiousStart{Window: 1, ReducedPaceFor: b.cfg.CautiousFor}
		}
		return w
	}
	b.Counts.LoadedWithSnapshot++
	return Loaded{Snapshot: m, UnloadedFor: unloadedFor, Caution: b.ageState(&m.State, unloadedFor)}
}

// ageState ages a snapshot: an old limit loses its value over time and is dropped in the end; the
// best latency is kept while it is recent; the window starts anew.
func (b *Tracker) ageState(s *snowjunction.DestinationSnapshot, unloadedFor time.Duration) snowjunction.CautiousStart {
	value := 0.0
	if unloadedFor < b.cfg.MaxAge {
		value = math.Exp2(-float64(unloadedFor) / float64(max(b.cfg.HalfLife, time.Second)))
	}
	known := false
	for i := range s.Routes {
		r := &s.Routes[i]
		if value == 0 {
			r.Limit, r.CallGap, r.Rejections = 0, 0, 0
		}
		r.Limit *= max(value, minLimitValue)
		r.PacingRate = 0 // pacing starts from the aged limit
		r.LimitLeft = 1  // the remaining quota of that time is no longer valid
		known = known || r.Limit > 0
	}
	if value == 0 {
		s.Latency, s.BestLatency, s.PeakRate = 0, 0, 0
		for i := range s.Endpoints {
			s.Endpoints[i].Latency = 0
		}
	}
	s.PeakRate *= value
	return snowjunction.CautiousStart{Window: 1, Cold: known, ReducedPaceFor: b.cfg.CautiousFor}
}

// assumeSiblingsFailed marks endpoints that were never called as recovering from an outage if
// another endpoint on their route failed or is warming up: most outages affect all endpoints of a
// destination, and the calls of the previous process run that would show it are missing.
func assumeSiblingsFailed(s *snowjunction.DestinationSnapshot, age time.Duration) {
	worst := map[int]snowjunction.EndpointSnapshot{}
	for _, e := range s.Endpoints {
		if e.Condition != snowjunction.Serving {
			if w, ok := worst[e.Route]; !ok || e.SinceCondition < w.SinceCondition {
				worst[e.Route] = e
			}
		}
	}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		w, ok := worst[e.Route]
		if !ok || e.Condition != snowjunction.Serving || e.Latency > 0 {
			continue
		}
		e.Condition, e.SinceFailure, e.LastOutage = snowjunction.Recovering, w.SinceFailure, max(w.LastOutage, w.SinceFailure+age)
		if w.Condition == snowjunction.Recovering {
			e.SinceCondition = w.SinceCondition
		}
	}
}

// minLimitValue is the minimum share of an old limit that is used until the limit is dropped: the
// first answer contains the current one.
const minLimitValue = 0.25

// Has reports whether there is a snapshot of a destination.
func (b *Tracker) Has(d Destination) bool { return b.entries[d] != nil }

// DropStale drops up to n of the oldest snapshots that are too old to be used, and reports whether
// there may be more.
func (b *Tracker) DropStale(now time.Duration, n int) bool {
	for ; n > 0; n-- {
		k := b.oldest
		if k == nil {
			return false
		}
		if now-k.unloadedAt < b.cfg.MaxAge || k.bindingUntil > now {
			return false
		}
		b.removeEntry(k)
		b.Counts.Dropped++
	}
	return true
}
