// Package dormancy decides when a destination goes to sleep, what is kept of it
// and for how long, and with what caution it wakes. It does no I/O, reads no
// clock and starts no goroutine: times are handed in, as the time since a moment
// of the caller's choice.
//
// A destination that has neither a flow nor a call is idle. Idle for long
// enough, or longest among too many that are awake, it goes to sleep: the caller
// has the decision module hand out its state, and Keep holds that as a memento.
// Mementos take a bounded memory. What a rule still needs, a told wait, a ledger
// in use, an outage or a cold return, binds: it is never dropped. Of the others
// those that have slept longest go first.
package dormancy

import (
	"container/list"
	"math"
	"time"

	"snowjunction"
	"snowjunction/internal/memento"
)

// Destination is the number of one.
type Destination = snowjunction.DestinationID

// Config bounds what is kept and for how long.
type Config struct {
	After  time.Duration // idle for so long, a destination goes to sleep
	Awake  int           // more than so many, and the longest idle go before that
	Memory int           // bytes of mementos

	HalfLife time.Duration // an old limit is worth half after it
	Forget   time.Duration // nothing that binds no more is believed after it
	Careful  time.Duration // a woken destination's pace stays low for so long
	First    bool          // destinations of which nothing is known wake with caution too

	Ledger time.Duration // the module's window: repeats in it bind
	Warm   time.Duration // a cold return binds for so long
	Outage time.Duration // an outage binds for so long: waking is cautious anyway

	// After a restart within Brisk all goes on as it was; later what is known is
	// weighed as that of a destination that slept.
	Brisk time.Duration
}

// Default are the bounds where no operator file names others. Binding ones hold
// for the settings given.
func Default(s snowjunction.Settings) Config {
	return Config{
		After: time.Minute, Awake: 4096, Memory: 1 << 20,
		HalfLife: 10 * time.Minute, Forget: 6 * time.Hour, Careful: max(s.WarmUp, 5*time.Second),
		Ledger: 10 * time.Second, Warm: max(s.WarmUp, s.FallTime), Outage: 10 * time.Minute,
		Brisk: 20 * time.Second,
	}
}

// Book is the record of who is awake, idle or asleep.
type Book struct {
	cfg              Config
	awake            int
	idle             *list.List // of Destination, the longest idle first
	spot             map[Destination]*list.Element
	since            map[Destination]time.Duration
	kept             map[Destination]*keep
	oldest, youngest *keep // in the order of falling asleep
	bytes            int
	Counts           Counts
}

// Counts tell what the book has done.
type Counts struct {
	Slept, Woke, Known uint64 // Known: wakings with a memento
	Dropped            uint64 // mementos for which there was no room
	Full               uint64 // destinations kept awake as all mementos bind
}

type keep struct {
	dest       Destination
	at         time.Duration
	restart    bool          // it was awake, or asleep, when the process ended
	handed     bool          // it was awake when another process handed it over
	binds      time.Duration // until then it binds
	text       []byte
	prev, next *keep
}

// keepCost is what a memento takes besides its text: its record, its places in
// map and order.
const keepCost = 128

// New returns an empty book.
func New(cfg Config) *Book {
	return &Book{
		cfg: cfg, idle: list.New(), spot: map[Destination]*list.Element{}, since: map[Destination]time.Duration{},
		kept: map[Destination]*keep{},
	}
}

// Awake is the number of destinations that are awake.
func (b *Book) Awake() int { return b.awake }

// Over tells that too many are awake and some of them idle.
func (b *Book) Over() bool { return b.awake > b.cfg.Awake && b.idle.Len() > 0 }

// Asleep is the number of mementos, Bytes about what they take.
func (b *Book) Asleep() int { return len(b.kept) }

// Bytes is about what the mementos take.
func (b *Book) Bytes() int { return b.bytes }

// Busy tells that an awake destination has something to do.
func (b *Book) Busy(d Destination) {
	if e := b.spot[d]; e != nil {
		b.idle.Remove(e)
		delete(b.spot, d)
		delete(b.since, d)
	}
}

// Idle tells that an awake destination has nothing to do from now on.
func (b *Book) Idle(d Destination, now time.Duration) {
	if b.spot[d] == nil {
		b.spot[d], b.since[d] = b.idle.PushBack(d), now
	}
}

// Due returns the destination that is to go to sleep now, or when to ask again;
// wait is negative where nothing is idle.
func (b *Book) Due(now time.Duration) (d Destination, due bool, wait time.Duration) {
	front := b.idle.Front()
	if front == nil {
		return 0, false, -1
	}
	d = front.Value.(Destination)
	if left := b.since[d] + b.cfg.After - now; left > 0 && b.awake <= b.cfg.Awake {
		return 0, false, left
	}
	if free, at := b.room(now); !free {
		b.Counts.Full++
		return 0, false, max(at-now, time.Millisecond)
	}
	return d, true, 0
}

// room tells whether a further memento can be held, if need be in place of one
// that does not bind, or when one will not bind any more.
func (b *Book) room(now time.Duration) (bool, time.Duration) {
	if b.bytes+typical <= b.cfg.Memory {
		return true, 0
	}
	first := time.Duration(math.MaxInt64)
	for k := b.oldest; k != nil; k = k.next {
		if k.binds <= now {
			return true, 0
		}
		first = min(first, k.binds)
	}
	if first == math.MaxInt64 {
		first = now + time.Second
	}
	return false, first
}

// typical is a usual memento with its cost.
const typical = keepCost + 96

// Room tells whether a further destination may wake, and if not, in how long.
func (b *Book) Room(now time.Duration) (bool, time.Duration) {
	if b.awake < b.cfg.Awake {
		return true, 0
	}
	free, at := b.room(now)
	if free && b.idle.Len() > 0 {
		return true, 0
	}
	return false, max(at-now, time.Second)
}

// Keep holds the state of a destination that has gone to sleep, and returns what
// it holds, for whoever keeps a copy. What no longer fits is dropped.
func (b *Book) Keep(d Destination, m *memento.Memento, now time.Duration) (text []byte) {
	b.Busy(d)
	b.awake--
	b.Counts.Slept++
	text = memento.Encode(nil, m)
	b.put(&keep{dest: d, at: now, binds: now + b.binds(&m.State), text: text})
	for k := b.oldest; k != nil && b.bytes > b.cfg.Memory; {
		next := k.next
		if k.binds <= now {
			b.remove(k)
			b.Counts.Dropped++
		}
		k = next
	}
	return text
}

func (b *Book) put(k *keep) {
	if old := b.kept[k.dest]; old != nil {
		b.remove(old)
	}
	if k.prev = b.youngest; k.prev != nil {
		k.prev.next = k
	} else {
		b.oldest = k
	}
	b.youngest = k
	b.kept[k.dest] = k
	b.bytes += len(k.text) + keepCost
}

func (b *Book) remove(k *keep) {
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
	delete(b.kept, k.dest)
	b.bytes -= len(k.text) + keepCost
}

// binds is for how long a rule needs what s says.
func (b *Book) binds(s *snowjunction.State) (t time.Duration) {
	if s.Repeats > 0 {
		t = b.cfg.Ledger
	}
	for _, r := range s.Routes {
		t = max(t, r.Wait)
		if r.ColdSends > 0 {
			t = max(t, b.cfg.Warm)
		}
	}
	for _, e := range s.EndpointsSeen {
		switch {
		case e.Condition == snowjunction.Held || e.Fails > 0:
			t = max(t, b.cfg.Outage)
		case e.Condition == snowjunction.Warming:
			t = max(t, b.cfg.Warm-e.For)
		}
	}
	return t
}

// Woken is what a destination wakes with.
type Woken struct {
	Memento *memento.Memento // nil: nothing is known
	Slept   time.Duration
	Caution snowjunction.Caution
}

// Wake takes a destination's memento, weighed by its age. It counts as awake
// and busy from now on.
func (b *Book) Wake(d Destination, now time.Duration) Woken {
	k := b.kept[d]
	if k == nil {
		return b.wake(nil, 0)
	}
	b.remove(k)
	m, err := memento.Decode(k.text)
	if err != nil { // it was written here: never
		m = nil
	}
	if k.handed && m != nil {
		b.awake++
		b.Counts.Woke++
		b.Counts.Known++
		return Woken{Memento: m, Slept: now - k.at}
	}
	if k.restart && m != nil {
		b.awake++
		b.Counts.Woke++
		b.Counts.Known++
		return Woken{Memento: m, Slept: now - k.at, Caution: b.resume(&m.State, now-k.at)}
	}
	return b.wake(m, now-k.at)
}

// Recall takes a memento that an earlier life has left, from so long ago; under 0
// tells that it cannot be known, as after a clock was set back. It returns false for
// what is no memento, and where there is no room.
func (b *Book) Recall(d Destination, text []byte, age, now time.Duration) bool {
	m, err := memento.Decode(text)
	if err != nil || b.bytes+len(text)+keepCost > b.cfg.Memory {
		return false
	}
	if age < 0 {
		age = b.cfg.HalfLife
	}
	if b.cfg.Forget > 0 && age >= b.cfg.Forget {
		return false
	}
	b.put(&keep{dest: d, at: now - age, binds: now - age + b.binds(&m.State), text: text, restart: true})
	return true
}

// Hand takes a memento that another process of this courier has made a moment ago: it counts
// as this one's own knowledge, told waits included. An awake destination's is taken as it was.
func (b *Book) Hand(d Destination, text []byte, at, now time.Duration, awake, restart bool) bool {
	m, err := memento.Decode(text)
	if err != nil || b.bytes+len(text)+keepCost > b.cfg.Memory {
		return false
	}
	b.put(&keep{dest: d, at: at, binds: at + b.binds(&m.State), text: text, handed: awake, restart: restart})
	return true
}

// Each calls f with what is kept of those asleep.
func (b *Book) Each(f func(d Destination, text []byte, at time.Duration, restart bool)) {
	for d, k := range b.kept {
		f(d, k.text, k.at, k.restart)
	}
}

// resume weighs what was known before a restart. The restart has ended told waits;
// what paces calls stays. An outage is neither forgotten nor believed in when long
// over: then its endpoints count as back and cold.
func (b *Book) resume(s *snowjunction.State, age time.Duration) snowjunction.Caution {
	for i := range s.Routes {
		s.Routes[i].Wait = 0
	}
	besideTheFailed(s, age)
	if age <= b.cfg.Brisk {
		return snowjunction.Caution{}
	}
	for i := range s.EndpointsSeen {
		e := &s.EndpointsSeen[i]
		if e.Condition == snowjunction.Held && age > b.cfg.Outage {
			e.DownFor = max(e.DownFor, e.For)
			e.Condition, e.Fails, e.For, e.Backoff = snowjunction.Warming, 0, -age, 0 // warms from the waking on
		}
	}
	return b.weigh(s, age)
}

// WakeWith is Wake for a memento that was kept elsewhere.
func (b *Book) WakeWith(m *memento.Memento, slept time.Duration) Woken {
	return b.wake(m, max(slept, 0))
}

func (b *Book) wake(m *memento.Memento, slept time.Duration) Woken {
	b.awake++
	b.Counts.Woke++
	if m == nil {
		w := Woken{}
		if b.cfg.First {
			w.Caution = snowjunction.Caution{Window: 1, Careful: b.cfg.Careful}
		}
		return w
	}
	b.Counts.Known++
	return Woken{Memento: m, Slept: slept, Caution: b.weigh(&m.State, slept)}
}

// weigh ages what is known: an old limit is worth less and less, and nothing
// after a time; of a good latency the best is believed, the window starts anew.
func (b *Book) weigh(s *snowjunction.State, slept time.Duration) snowjunction.Caution {
	worth := 0.0
	if slept < b.cfg.Forget {
		worth = math.Exp2(-float64(slept) / float64(max(b.cfg.HalfLife, time.Second)))
	}
	known := false
	for i := range s.Routes {
		r := &s.Routes[i]
		if worth == 0 {
			r.Limit, r.Gap, r.Fulls = 0, 0, 0
		}
		r.Limit *= max(worth, leastWorth)
		r.Pace = 0 // it starts from the limit that is believed
		r.Left = 1 // what was left then says nothing
		known = known || r.Limit > 0
	}
	if worth == 0 {
		s.Recent, s.Best, s.Peak = 0, 0, 0
		for i := range s.EndpointsSeen {
			s.EndpointsSeen[i].Latency = 0
		}
	}
	s.Peak *= worth
	return snowjunction.Caution{Window: 1, Cold: known, Careful: b.cfg.Careful}
}

// besideTheFailed has endpoints that were never called count as back from an outage
// where a sibling on their route failed or is warming: outages mostly take all of a
// destination, and the calls of the life before are not there to show it.
func besideTheFailed(s *snowjunction.State, age time.Duration) {
	worst := map[int]snowjunction.EndpointState{}
	for _, e := range s.EndpointsSeen {
		if e.Condition != snowjunction.Serving {
			if w, ok := worst[e.Route]; !ok || e.For < w.For {
				worst[e.Route] = e
			}
		}
	}
	for i := range s.EndpointsSeen {
		e := &s.EndpointsSeen[i]
		w, ok := worst[e.Route]
		if !ok || e.Condition != snowjunction.Serving || e.Latency > 0 {
			continue
		}
		e.Condition, e.Failed, e.DownFor = snowjunction.Warming, w.Failed, max(w.DownFor, w.Failed+age)
		if w.Condition == snowjunction.Warming {
			e.For = w.For
		}
	}
}

// leastWorth is the least part of an old limit that is believed until it is
// forgotten: the first answer tells the true one.
const leastWorth = 0.25

// Keeping tells whether a memento is kept of a destination.
func (b *Book) Keeping(d Destination) bool { return b.kept[d] != nil }

// Stale drops up to n of the longest asleep that are past belief, and tells
// whether there may be more.
func (b *Book) Stale(now time.Duration, n int) bool {
	for ; n > 0; n-- {
		k := b.oldest
		if k == nil {
			return false
		}
		if now-k.at < b.cfg.Forget || k.binds > now {
			return false
		}
		b.remove(k)
		b.Counts.Dropped++
	}
	return true
}
