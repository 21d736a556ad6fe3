package partition

import (
	"slices"
	"time"
)

// Options configure a Router.
type Options struct {
	// Self is this courier's name.
	Self           string
	Region         string        // region of this courier if it is not a member itself
	ServeAfterLoss time.Duration // how long partitions are served after they are no longer owned, for couriers that do not know yet
	MaxDeadline    time.Duration // the longest deadline of a class that keeps order
	DeadlineMargin time.Duration // added to a message's deadline: its time in transit, and the delay of its key after an attempt
	MaxPins        int           // keys whose last courier is remembered; zero means defaultMaxPins
}

const (
	defaultMaxPins = 1 << 16
	firstSkip      = 500 * time.Millisecond // how long a courier is skipped after it was unreachable for the first time
	maxSkip        = 4 * time.Second
)

// Message holds the properties of a message that decide where it goes.
type Message struct {
	Destination uint32
	Key         uint64        // zero: the message has no ordering key
	Forwarded   bool          // by another courier
	Remaining   time.Duration // time until the deadline
}

// Action is the kind of decision on a message.
type Action int

// The kinds of decisions.
const (
	// Local means that this courier handles the message.
	Local   Action = iota
	Forward        // to another courier
	Busy           // no permitted courier is reachable: the client may resubmit the message
	Moved          // another courier took this one for an owner, which it is not
)

// Route is the decision on a message.
type Route struct {
	Action Action
	To     Member        // with Forward
	After  time.Duration // with Busy: the delay until a retry makes sense
}

// Router decides where messages go, and which partitions of the list this courier reads. All times
// are on one monotonic clock.
type Router struct {
	options       Options
	membership    *Membership
	previous      *Membership   // the previous membership; nil once the change is complete
	previousUntil time.Duration // when previous is dropped
	startedAt     time.Duration // when the router was created
	region        string
	partitions    map[int]*partitionState // partitions that are owned, or still served
	unreachable   map[string]*unreachablePeer
	pins          [2]map[uint64]pin // of the current and of the previous period
	periodStart   time.Duration     // when the current period of pins began
	unpinnedUntil time.Duration     // until then a courier may have a message whose key could not be pinned for lack of room
	owners        [2][]int32        // buffers for the owners of the current message, in both memberships
}

// partitionState is the state of a partition that is owned, or was.
type partitionState struct {
	// hasList is set once the list of the partition was received.
	owned, hasList bool
	retained       bool          // a previous process run left messages of this partition
	servedUntil    time.Duration // if it is not owned: served at least until then
}

// unreachablePeer is the state of an unreachable courier: skipped until a time, with a pause that
// doubles.
type unreachablePeer struct {
	skipUntil time.Duration
	skipFor   time.Duration
}

// pin records which courier has the last message of a key, and until when that message may be held.
type pin struct {
	courier string
	until   time.Duration
}

// NewRouter returns a router that has received no list yet.
func NewRouter(o Options, m *Membership, now time.Duration) *Router {
	if o.MaxPins == 0 {
		o.MaxPins = defaultMaxPins
	}
	r := &Router{options: o, startedAt: now, periodStart: now, partitions: map[int]*partitionState{}, unreachable: map[string]*unreachablePeer{}}
	r.pins = [2]map[uint64]pin{{}, {}}
	r.adopt(m, m.Owned(o.Self))
	return r
}

func (r *Router) adopt(m *Membership, owned []int) {
	r.membership, r.region = m, r.options.Region
	if x, ok := m.Member(r.options.Self); ok {
		r.region = x.Region
	}
	for _, p := range owned {
		if r.partitions[p] == nil {
			r.partitions[p] = &partitionState{}
		}
		r.partitions[p].owned, r.partitions[p].servedUntil = true, 0
	}
}

// SetMembership sets a new membership. Partitions that this courier no longer owns are still served for
// a while; partitions that it now owns are served once their list was received.
func (r *Router) SetMembership(m *Membership, now time.Duration) {
	r.previous, r.previousUntil = r.membership, now+r.options.ServeAfterLoss
	owned := m.Owned(r.options.Self)
	for p, x := range r.partitions {
		if _, still := slices.BinarySearch(owned, p); x.owned && !still {
			x.owned, x.servedUntil = false, now+r.options.ServeAfterLoss
			if !x.hasList && !x.retained {
				delete(r.partitions, p)
			}
		}
	}
	r.adopt(m, owned)
	for name := range r.unreachable {
		if _, is := m.indexOf(name); !is {
			if _, was := r.previous.indexOf(name); !was {
				delete(r.unreachable, name)
			}
		}
	}
}

// Retain records that a previous process run of this courier left messages of a partition: its list
// is read, whoever owns it, until Expire finds the partition unused.
func (r *Router) Retain(p int) {
	if r.partitions[p] == nil {
		r.partitions[p] = &partitionState{}
	}
	r.partitions[p].retained = true
}

// Expire drops the partitions that are not owned and whose time is over, unless used reports that
// they are still needed, and returns them. They are then no longer in Listed.
func (r *Router) Expire(now time.Duration, used func(p int) bool) (dropped []int) {
	for p, x := range r.partitions {
		if !x.owned && now >= x.servedUntil && !used(p) {
			delete(r.partitions, p)
			dropped = append(dropped, p)
		}
	}
	if r.previous != nil && now >= r.previousUntil {
		r.previous = nil
	}
	slices.Sort(dropped)
	return dropped
}

// ExpiryPending reports whether there is something for Expire to drop, now or later.
func (r *Router) ExpiryPending() bool {
	for _, x := range r.partitions {
		if !x.owned {
			return true
		}
	}
	return r.previous != nil
}

// Self returns this courier's name.
func (r *Router) Self() string { return r.options.Self }

// Membership returns the current membership.
func (r *Router) Membership() *Membership { return r.membership }

// Listed returns the partitions whose list this courier reads, in ascending order: those that it
// owns and those that it still serves.
func (r *Router) Listed() []int { return r.partitionsWhere(func(*partitionState) bool { return true }) }

// AwaitingList returns the partitions in Listed whose list has not been received yet.
func (r *Router) AwaitingList() []int {
	return r.partitionsWhere(func(x *partitionState) bool { return !x.hasList })
}

func (r *Router) partitionsWhere(has func(*partitionState) bool) (out []int) {
	for p, x := range r.partitions {
		if has(x) {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// Lists reports whether this courier reads the endpoints of a destination.
func (r *Router) Lists(destination uint32) bool {
	return r.partitions[Of(destination, r.membership.partitions)] != nil
}

// MarkListReceived records that the list of partitions was received completely.
func (r *Router) MarkListReceived(parts []int) {
	for _, p := range parts {
		if x := r.partitions[p]; x != nil {
			x.hasList = true
		}
	}
}

// Stats are the state of a router in numbers.
type Stats struct {
	Owned, Listed int // partitions
	AwaitingList  int // listed partitions without a list
	Pins          int // keys that are remembered
	Unreachable   int // couriers that are skipped
}

// Stats returns the router's state in numbers.
func (r *Router) Stats(now time.Duration) Stats {
	f := Stats{Listed: len(r.partitions), Pins: len(r.pins[0]) + len(r.pins[1])}
	for _, x := range r.partitions {
		if x.owned {
			f.Owned++
		}
		if !x.hasList {
			f.AwaitingList++
		}
	}
	for _, d := range r.unreachable {
		if now < d.skipUntil {
			f.Unreachable++
		}
	}
	return f
}

// Share returns the share of all destinations that this courier lists, which is always positive.
func (r *Router) Share() float64 {
	return max(1, float64(len(r.partitions))) / float64(r.membership.partitions)
}

// Route decides where a message goes. tried are the couriers that were tried for it without
// success: they were unreachable, or answered that they do not own its partition.
func (r *Router) Route(m Message, tried []string, now time.Duration) Route {
	r.rotatePins(now)
	p := Of(m.Destination, r.membership.partitions)
	state := r.partitions[p]
	servedHere := state != nil && state.hasList
	if m.Forwarded {
		if servedHere {
			return Route{Action: Local}
		}
		return Route{Action: Moved}
	}
	mayFailOver := true
	if m.Key != 0 {
		switch to, pinned := r.pinnedCourier(m.Key, now); {
		case !pinned:
		case to != r.options.Self:
			return r.pinnedRoute(to, tried, now)
		case servedHere:
			return Route{Action: Local}
		case state != nil: // it waits for the list of the partition, like the previous message of its key
			return Route{Action: Busy, After: firstSkip}
		} // a partition that is no longer listed has no messages here
		mayFailOver = r.mayFailOver(now)
	}
	if servedHere && state.owned {
		return Route{Action: Local}
	}
	owners := r.membership.ownerIndexes(r.owners[0][:0], p, r.region)
	r.owners[0] = owners
	var former []int32
	switch {
	case !mayFailOver && state != nil && state.owned: // this courier is an owner and waits for the list
		return Route{Action: Busy, After: firstSkip}
	case !mayFailOver:
		owners = owners[:min(1, len(owners))]
	case r.previous != nil: // former owners still serve the partition until the new ones are ready
		former = r.previous.ownerIndexes(r.owners[1][:0], p, r.region)
		r.owners[1] = former
	}
	after := firstSkip
	for k := range len(owners) + len(former) {
		var o *Member
		if k < len(owners) {
			o = &r.membership.members[owners[k]]
		} else {
			o = &r.previous.members[former[k-len(owners)]]
		}
		switch d := r.unreachable[o.Name]; {
		case o.Name == r.options.Self:
			if servedHere {
				return Route{Action: Local}
			}
		case slices.Contains(tried, o.Name):
		case d != nil && now < d.skipUntil:
			after = min(after, d.skipUntil-now)
		default:
			return Route{Action: Forward, To: *o}
		}
	}
	return Route{Action: Busy, After: after}
}

// pinnedRoute decides about a message of a key whose previous message may still be held by another
// courier: sent anywhere else it could be delivered out of order.
func (r *Router) pinnedRoute(to string, tried []string, now time.Duration) Route {
	x, member := r.membership.Member(to)
	if !member && r.previous != nil {
		x, member = r.previous.Member(to)
	}
	if d := r.unreachable[to]; !member || slices.Contains(tried, to) || d != nil && now < d.skipUntil {
		return Route{Action: Busy, After: firstSkip}
	}
	return Route{Action: Forward, To: x}
}

// mayFailOver reports whether an ordered message may go to an owner other than the first. It may
// not while a previous process run of this courier may have left a message of its key at the first
// owner, or while a message may be there whose key could not be remembered for lack of room.
func (r *Router) mayFailOver(now time.Duration) bool {
	return now-r.startedAt >= r.options.MaxDeadline+r.options.DeadlineMargin && now >= r.unpinnedUntil && len(r.pins[0])+len(r.pins[1]) < r.options.MaxPins
}

func (r *Router) pinnedCourier(key uint64, now time.Duration) (string, bool) {
	for _, pins := range r.pins {
		if x, ok := pins[key]; ok && now < x.until {
			return x.courier, true
		}
	}
	return "", false
}

// rotatePins starts a new period of pins. Pins from two periods ago have expired, except those that
// outlast a period.
func (r *Router) rotatePins(now time.Duration) {
	if now-r.periodStart < max(r.options.MaxDeadline+r.options.DeadlineMargin, time.Second) {
		return
	}
	next := map[uint64]pin{}
	for key, x := range r.pins[1] {
		if _, newer := r.pins[0][key]; !newer && now < x.until {
			next[key] = x
		}
	}
	r.pins, r.periodStart = [2]map[uint64]pin{next, r.pins[0]}, now
}

// RecordAccepted records that a courier (or this one) may have accepted a message: the next message of its
// key goes to the same courier.
func (r *Router) RecordAccepted(m Message, by string, now time.Duration) {
	if m.Key == 0 || m.Forwarded {
		return
	}
	r.rotatePins(now)
	until := now + m.Remaining + r.options.DeadlineMargin
	for _, pins := range r.pins { // an earlier message may be held for longer
		if x, ok := pins[m.Key]; ok && x.courier == by {
			until = max(until, x.until)
		}
	}
	delete(r.pins[1], m.Key)
	if _, known := r.pins[0][m.Key]; !known && len(r.pins[0])+len(r.pins[1]) >= r.options.MaxPins {
		r.unpinnedUntil = max(r.unpinnedUntil, until)
		return
	}
	r.pins[0][m.Key] = pin{by, until}
}

// MarkReachable records that a courier answered.
func (r *Router) MarkReachable(name string) { delete(r.unreachable, name) }

// MarkUnreachable records that a courier was unreachable: it is skipped for a time that doubles with each
// failure.
func (r *Router) MarkUnreachable(name string, now time.Duration) {
	d := r.unreachable[name]
	if d == nil {
		d = &unreachablePeer{}
		r.unreachable[name] = d
	}
	if now < d.skipUntil {
		return // several connections dialled together count as one failure
	}
	d.skipFor = min(max(2*d.skipFor, firstSkip), maxSkip)
	d.skipUntil = now + d.skipFor
}
