package partition

import (
	"slices"
	"time"
)

// Options are what a Router goes by.
type Options struct {
	Self     string
	Region   string        // where this courier stands, if it is no member itself
	Linger   time.Duration // that what is no longer owned is served on, for those that do not know yet
	Longest  time.Duration // the longest deadline of a class that keeps order
	Rest     time.Duration // after a message's time: that it is on its way, and that a key rests after an attempt
	PinsMost int           // keys that are remembered with the courier that has their last message; 0: pinsMost
}

const (
	pinsMost  = 1 << 16
	downFirst = 500 * time.Millisecond // that one is passed over which could not be reached
	downMost  = 4 * time.Second
)

// Message is what the way of a message goes by.
type Message struct {
	Destination uint32
	Key         uint64 // 0: it keeps no order
	Forwarded   bool   // by another courier
	Left        time.Duration
}

// Way is where a message goes.
type Way int

// The ways.
const (
	Here    Way = iota
	Forward     // to another courier
	Busy        // nobody who may have it can be reached: it may be handed in again
	Moved       // another courier has taken this one for an owner, which it is not
)

// Route is what becomes of a message.
type Route struct {
	Way   Way
	To    Member        // with Forward
	After time.Duration // with Busy: when to come back
}

// Router decides where messages go, and which partitions this courier reads the list of.
// Times are on one clock that never goes back.
type Router struct {
	o      Options
	m      *Membership
	before *Membership // until settled
	until  time.Duration
	begun  time.Duration
	region string
	parts  map[int]*part // owned, and those that linger
	down   map[string]*down
	pins   [2]map[uint64]pin // of the present and of the last span
	turned time.Duration
	lost   time.Duration // until then a courier may have a message whose key is not among the pins: no room
	owners [2][]int32    // of the message at hand, in both memberships
}

// part is a partition that is owned, or was.
type part struct {
	owned, held bool
	kept        bool          // messages of it were left by an earlier life
	until       time.Duration // not owned: it lingers
}

type down struct {
	until time.Duration
	pause time.Duration
}

type pin struct {
	to    string
	until time.Duration
}

// NewRouter returns a router that holds no list yet.
func NewRouter(o Options, m *Membership, now time.Duration) *Router {
	if o.PinsMost == 0 {
		o.PinsMost = pinsMost
	}
	r := &Router{o: o, begun: now, turned: now, parts: map[int]*part{}, down: map[string]*down{}}
	r.pins = [2]map[uint64]pin{{}, {}}
	r.adopt(m, m.Owned(o.Self))
	return r
}

func (r *Router) adopt(m *Membership, owned []int) {
	r.m, r.region = m, r.o.Region
	if x, ok := m.Member(r.o.Self); ok {
		r.region = x.Region
	}
	for _, p := range owned {
		if r.parts[p] == nil {
			r.parts[p] = &part{}
		}
		r.parts[p].owned, r.parts[p].until = true, 0
	}
}

// Adopt takes another membership. What this courier owned and owns no more it serves on for a
// while; what it owns from now on it serves once it holds the list of it (Held).
func (r *Router) Adopt(m *Membership, now time.Duration) {
	r.before, r.until = r.m, now+r.o.Linger
	owned := m.Owned(r.o.Self)
	for p, x := range r.parts {
		if _, still := slices.BinarySearch(owned, p); x.owned && !still {
			x.owned, x.until = false, now+r.o.Linger
			if !x.held && !x.kept {
				delete(r.parts, p)
			}
		}
	}
	r.adopt(m, owned)
	for name := range r.down {
		if _, is := m.find(name); !is {
			if _, was := r.before.find(name); !was {
				delete(r.down, name)
			}
		}
	}
}

// Keep tells that an earlier life of this courier left messages of a partition: whoever owns it,
// its list is read until Expire finds it unused.
func (r *Router) Keep(p int) {
	if r.parts[p] == nil {
		r.parts[p] = &part{}
	}
	r.parts[p].kept = true
}

// Expire forgets what has lingered for long enough, unless used says of a partition that it is
// still needed, and returns it. It is then no longer among Listed.
func (r *Router) Expire(now time.Duration, used func(p int) bool) (gone []int) {
	for p, x := range r.parts {
		if !x.owned && now >= x.until && !used(p) {
			delete(r.parts, p)
			gone = append(gone, p)
		}
	}
	if r.before != nil && now >= r.until {
		r.before = nil
	}
	slices.Sort(gone)
	return gone
}

// Lingers tells whether something waits for Expire.
func (r *Router) Lingers() bool {
	for _, x := range r.parts {
		if !x.owned {
			return true
		}
	}
	return r.before != nil
}

// Self is this courier's name.
func (r *Router) Self() string { return r.o.Self }

// Membership is the one that holds.
func (r *Router) Membership() *Membership { return r.m }

// Listed are the partitions whose list this courier reads, in order: those that it owns, and
// those that linger.
func (r *Router) Listed() []int { return r.where(func(*part) bool { return true }) }

// Wanted are those of them whose list has not come yet.
func (r *Router) Wanted() []int { return r.where(func(x *part) bool { return !x.held }) }

func (r *Router) where(has func(*part) bool) (out []int) {
	for p, x := range r.parts {
		if has(x) {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// Lists tells whether a destination's endpoints are among what this courier reads.
func (r *Router) Lists(destination uint32) bool {
	return r.parts[Of(destination, r.m.partitions)] != nil
}

// Held tells that the list of partitions has come whole.
func (r *Router) Held(parts []int) {
	for _, p := range parts {
		if x := r.parts[p]; x != nil {
			x.held = true
		}
	}
}

// Figures are how things stand with a router.
type Figures struct {
	Owned, Listed int // partitions
	Wanted        int // of the listed ones, without a list
	Pins          int // keys that are remembered
	Unreached     int // couriers that are passed over
}

// Figures counts them.
func (r *Router) Figures(now time.Duration) Figures {
	f := Figures{Listed: len(r.parts), Pins: len(r.pins[0]) + len(r.pins[1])}
	for _, x := range r.parts {
		if x.owned {
			f.Owned++
		}
		if !x.held {
			f.Wanted++
		}
	}
	for _, d := range r.down {
		if now < d.until {
			f.Unreached++
		}
	}
	return f
}

// Share is the part of all destinations that this courier lists, over 0.
func (r *Router) Share() float64 {
	return max(1, float64(len(r.parts))) / float64(r.m.partitions)
}

// Route decides where a message goes. Tried are those that it has been with already, in vain:
// they were not reached, or said that they do not own it.
func (r *Router) Route(m Message, tried []string, now time.Duration) Route {
	r.turn(now)
	p := Of(m.Destination, r.m.partitions)
	mine := r.parts[p]
	here := mine != nil && mine.held
	if m.Forwarded {
		if here {
			return Route{Way: Here}
		}
		return Route{Way: Moved}
	}
	mayFailOver := true
	if m.Key != 0 {
		switch to, pinned := r.pinned(m.Key, now); {
		case !pinned:
		case to != r.o.Self:
			return r.only(to, tried, now)
		case here:
			return Route{Way: Here}
		case mine != nil: // it waits for its list, as the last one does
			return Route{Way: Busy, After: downFirst}
		} // nothing is held of a partition that is not listed any more
		mayFailOver = r.mayFailOver(now)
	}
	if here && mine.owned {
		return Route{Way: Here}
	}
	owners := r.m.owners(r.owners[0][:0], p, r.region)
	r.owners[0] = owners
	var former []int32
	switch {
	case !mayFailOver && mine != nil && mine.owned: // its own list is on its way
		return Route{Way: Busy, After: downFirst}
	case !mayFailOver:
		owners = owners[:min(1, len(owners))]
	case r.before != nil: // who has owned it serves it on, where the new owners are not there yet
		former = r.before.owners(r.owners[1][:0], p, r.region)
		r.owners[1] = former
	}
	after := downFirst
	for k := range len(owners) + len(former) {
		var o *Member
		if k < len(owners) {
			o = &r.m.members[owners[k]]
		} else {
			o = &r.before.members[former[k-len(owners)]]
		}
		switch d := r.down[o.Name]; {
		case o.Name == r.o.Self:
			if here {
				return Route{Way: Here}
			}
		case slices.Contains(tried, o.Name):
		case d != nil && now < d.until:
			after = min(after, d.until-now)
		default:
			return Route{Way: Forward, To: *o}
		}
	}
	return Route{Way: Busy, After: after}
}

// only is the way of a message of a key whose last one may still be with another courier: to any
// other it could come out of order.
func (r *Router) only(to string, tried []string, now time.Duration) Route {
	x, member := r.m.Member(to)
	if !member && r.before != nil {
		x, member = r.before.Member(to)
	}
	if d := r.down[to]; !member || slices.Contains(tried, to) || d != nil && now < d.until {
		return Route{Way: Busy, After: downFirst}
	}
	return Route{Way: Forward, To: x}
}

// mayFailOver tells whether a message that keeps order may go to another than its first owner:
// not while an earlier life of this courier may have left one of its key there, nor while there
// may be one there that there was no room to remember.
func (r *Router) mayFailOver(now time.Duration) bool {
	return now-r.begun >= r.o.Longest+r.o.Rest && now >= r.lost && len(r.pins[0])+len(r.pins[1]) < r.o.PinsMost
}

func (r *Router) pinned(key uint64, now time.Duration) (string, bool) {
	for _, pins := range r.pins {
		if x, ok := pins[key]; ok && now < x.until {
			return x.to, true
		}
	}
	return "", false
}

// turn begins a new span of pins. What is in the last but one is over but for what lasts longer
// than a span.
func (r *Router) turn(now time.Duration) {
	if now-r.turned < max(r.o.Longest+r.o.Rest, time.Second) {
		return
	}
	next := map[uint64]pin{}
	for key, x := range r.pins[1] {
		if _, newer := r.pins[0][key]; !newer && now < x.until {
			next[key] = x
		}
	}
	r.pins, r.turned = [2]map[uint64]pin{next, r.pins[0]}, now
}

// Took tells that a courier, or this one, may have taken a message on: the next of its key
// follows it there.
func (r *Router) Took(m Message, by string, now time.Duration) {
	if m.Key == 0 || m.Forwarded {
		return
	}
	r.turn(now)
	until := now + m.Left + r.o.Rest
	for _, pins := range r.pins { // an earlier one may be held for longer
		if x, ok := pins[m.Key]; ok && x.to == by {
			until = max(until, x.until)
		}
	}
	delete(r.pins[1], m.Key)
	if _, known := r.pins[0][m.Key]; !known && len(r.pins[0])+len(r.pins[1]) >= r.o.PinsMost {
		r.lost = max(r.lost, until)
		return
	}
	r.pins[0][m.Key] = pin{by, until}
}

// Reached tells that a courier has answered.
func (r *Router) Reached(name string) { delete(r.down, name) }

// Unreached tells that a courier could not be reached: it is passed over for a while, longer each
// time.
func (r *Router) Unreached(name string, now time.Duration) {
	d := r.down[name]
	if d == nil {
		d = &down{}
		r.down[name] = d
	}
	if now < d.until {
		return // of connections that were dialled together
	}
	d.pause = min(max(2*d.pause, downFirst), downMost)
	d.until = now + d.pause
}
