package partition

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	longest = 12 * time.Second
	linger  = 30 * time.Second
	parts   = 16
	late    = time.Hour // a router that began at 0 has been up for long
)

// router is one of n0's, which has been up for long and holds the list of what it owns.
func router(t *testing.T, self string, m *Membership) *Router {
	r := NewRouter(Options{Self: self, Region: "r0", Linger: linger, Longest: longest}, m, 0)
	r.Held(r.Wanted())
	require.Empty(t, r.Wanted())
	return r
}

// of is a destination of a partition.
func of(p, partitions int) uint32 {
	for d := uint32(0); ; d++ {
		if Of(d, partitions) == p {
			return d
		}
	}
}

// ownedBy is a destination whose first owner is a member.
func ownedBy(m *Membership, name, near string) uint32 {
	for d := uint32(0); ; d++ {
		if m.Owners(Of(d, m.partitions), near)[0].Name == name {
			return d
		}
	}
}

func none(int) bool { return false }

// A way goes to an owner of the own region, past those that were tried or cannot be reached, then
// to other regions, and at last nowhere. What was forwarded goes nowhere else.
func TestRoute(t *testing.T) {
	m := membership(t, parts, 2, fleet(8, 2, 2))
	d := ownedBy(m, "n2", "r0")
	owners := names(m.Owners(Of(d, parts), "r0"))
	require.Len(t, owners, 4)
	r := router(t, "elsewhere", m)
	for i, o := range owners {
		way := r.Route(Message{Destination: d}, owners[:i], late)
		assert.Equal(t, Forward, way.Way)
		assert.Equal(t, o, way.To.Name)
	}
	assert.Equal(t, Route{Way: Busy, After: downFirst}, r.Route(Message{Destination: d}, owners, late))
	assert.Equal(t, Route{Way: Moved}, r.Route(Message{Destination: d, Forwarded: true}, nil, late))

	r.Unreached(owners[0], late)
	r.Unreached(owners[0], late+1) // dialled together with the first: it is one failure
	assert.Equal(t, owners[1], r.Route(Message{Destination: d}, nil, late+downFirst-1).To.Name)
	assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, late+downFirst).To.Name, "asked again")
	now := late
	for _, pause := range []time.Duration{2, 4, 8, 8} { // of downFirst: doubled up to downMost
		now += pause * downFirst
		r.Unreached(owners[0], now)
		assert.Equal(t, owners[1], r.Route(Message{Destination: d}, nil, now+min(pause*downFirst, downMost)-1).To.Name)
		assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, now+min(pause*downFirst, downMost)).To.Name)
	}
	r.Reached(owners[0])
	assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, now).To.Name)
	for _, o := range owners {
		r.Unreached(o, now)
	}
	assert.Equal(t, Route{Way: Busy, After: downFirst / 2}, r.Route(Message{Destination: d}, nil, now+downFirst/2), "until the first is asked again")

	n2 := router(t, "n2", m)
	assert.Equal(t, Here, n2.Route(Message{Destination: d}, nil, late).Way)
	assert.Equal(t, Here, n2.Route(Message{Destination: d, Forwarded: true}, nil, late).Way)
}

// A region whose owners cannot be reached is passed over for a while; after that its own owners
// are the first again, and the other region's serve all the while.
func TestRegionCutOff(t *testing.T) {
	m := membership(t, parts, 1, fleet(8, 2, 2))
	r := router(t, "elsewhere", m)
	for d := range uint32(parts) {
		for _, o := range m.Owners(Of(d, parts), "r0") {
			if o.Region == "r0" {
				r.Unreached(o.Name, late)
			}
		}
	}
	for d := range uint32(parts) {
		way := r.Route(Message{Destination: d}, nil, late)
		assert.Equal(t, Forward, way.Way)
		assert.Equal(t, "r1", way.To.Region)
		assert.Equal(t, "r0", r.Route(Message{Destination: d}, nil, late+downMost).To.Region, "it is back")
	}
	onlyFar := membership(t, parts, 1, slices.DeleteFunc(fleet(8, 2, 2), func(x Member) bool { return x.Region == "r0" }))
	r.Adopt(onlyFar, late)
	assert.Equal(t, "r1", r.Route(Message{Destination: 1}, nil, late).To.Region)
	r.Adopt(m, late)
	assert.Equal(t, "r0", r.Route(Message{Destination: 1}, nil, late+downMost).To.Region)
}

// What is gained is served once its list is there: until then who owned it goes on. What is lost
// is served for as long as others may not know, and longer where it is used.
func TestPartitionsMove(t *testing.T) {
	all := fleet(8, 1, 2)
	with := membership(t, parts, 1, all)
	without, err := with.With(slices.Delete(slices.Clone(all), 3, 4))
	require.NoError(t, err)
	d := ownedBy(with, "n3", "r0")
	p := Of(d, parts)
	heir := without.Owners(p, "r0")[0].Name

	gains := router(t, heir, with)
	assert.False(t, gains.Lists(d))
	listed := gains.Listed()
	gains.Adopt(without, late)
	assert.NotEqual(t, listed, gains.Listed())
	assert.True(t, gains.Lists(d))
	assert.Contains(t, gains.Wanted(), p)
	assert.Equal(t, len(gains.Wanted()), gains.Figures(late).Wanted)
	assert.Equal(t, Moved, gains.Route(Message{Destination: d, Forwarded: true}, nil, late).Way)
	way := gains.Route(Message{Destination: d}, nil, late)
	assert.Equal(t, Forward, way.Way)
	assert.Equal(t, "n3", way.To.Name, "it serves on")
	assert.Equal(t, Busy, gains.Route(Message{Destination: d}, []string{"n3"}, late).Way)
	gains.Held([]int{p, parts - 1, 77})
	assert.Empty(t, gains.Wanted())
	assert.Equal(t, Here, gains.Route(Message{Destination: d, Forwarded: true}, nil, late).Way)
	assert.Equal(t, Here, gains.Route(Message{Destination: d}, nil, late).Way)

	loses := router(t, "n3", with)
	lost := loses.Listed()
	assert.Equal(t, Figures{Owned: len(lost), Listed: len(lost)}, loses.Figures(late))
	loses.Adopt(without, late)
	loses.Unreached("n1", late)
	loses.Took(Message{Key: 1}, "n1", late)
	assert.Equal(t, Figures{Listed: len(lost), Pins: 1, Unreached: 1}, loses.Figures(late))
	assert.Equal(t, 0, loses.Figures(late+downFirst).Unreached)
	assert.Equal(t, lost, loses.Listed(), "it lingers")
	assert.Equal(t, Here, loses.Route(Message{Destination: d, Forwarded: true}, nil, late).Way)
	assert.Equal(t, heir, loses.Route(Message{Destination: d}, nil, late).To.Name)
	assert.Equal(t, Here, loses.Route(Message{Destination: d}, []string{heir}, late).Way, "the new owner is not there yet")
	assert.Empty(t, loses.Expire(late+linger-1, none))
	listed = loses.Listed()
	assert.Equal(t, slices.DeleteFunc(slices.Clone(lost), func(x int) bool { return x == p }),
		loses.Expire(late+linger, func(x int) bool { return x == p }))
	assert.NotEqual(t, listed, loses.Listed())
	assert.Equal(t, Here, loses.Route(Message{Destination: d, Forwarded: true}, nil, late+linger).Way, "it is used")
	assert.Equal(t, Busy, loses.Route(Message{Destination: d}, []string{heir}, late+linger).Way)
	assert.Equal(t, []int{p}, loses.Expire(late+linger, none))
	assert.Equal(t, Moved, loses.Route(Message{Destination: d, Forwarded: true}, nil, late+linger).Way)
	assert.Equal(t, heir, loses.Route(Message{Destination: d}, nil, late+linger).To.Name)
	assert.InDelta(t, 1.0/parts, loses.Share(), 1e-9, "of a list that is empty")

	again := router(t, "n3", with)
	again.Adopt(without, late)
	again.Adopt(with, late+1)
	assert.Empty(t, again.Wanted(), "what lingers is served at once when it comes back")
	assert.Empty(t, again.Expire(late+2*linger, none))
}

// What is lost before its list has come goes at once, unless an earlier life of this courier left
// messages of it: these wait for the list, and the next of their key with them, whoever owns it.
func TestLeftByAnEarlierLife(t *testing.T) {
	all := fleet(8, 1, 2)
	m := membership(t, parts, 1, all)
	r := NewRouter(Options{Self: "n3", Linger: linger, Longest: longest}, m, late)
	lost := r.Wanted()
	require.GreaterOrEqual(t, len(lost), 2)
	other := slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(p int) bool { return slices.Contains(lost, p) })[0]
	kept := []int{min(other, lost[0]), max(other, lost[0])}
	listed := r.Listed()
	r.Keep(other)
	assert.NotEqual(t, listed, r.Listed())
	r.Keep(lost[0])
	k := Message{Destination: of(other, parts), Key: 7, Left: time.Second}
	r.Took(k, "n3", late)
	r.Adopt(membership(t, parts, 1, slices.Delete(slices.Clone(all), 3, 4)), late)
	assert.Equal(t, kept, r.Listed())
	assert.Equal(t, kept, r.Wanted())
	assert.Equal(t, Busy, r.Route(k, nil, late).Way)
	assert.Equal(t, Moved, r.Route(Message{Destination: k.Destination, Forwarded: true}, nil, late).Way)
	r.Held(r.Wanted())
	assert.Equal(t, Here, r.Route(k, nil, late).Way)
	assert.Equal(t, Forward, r.Route(k, nil, late+time.Second).Way)
	assert.Empty(t, r.Expire(late+linger, func(int) bool { return true }))
	assert.Equal(t, kept, r.Expire(late+linger, none))
}

// Two couriers whose views differ: one forwards by an old view, the other owns it no more, and the
// one that owns it by the new view is found by whoever has it.
func TestStaleView(t *testing.T) {
	all := fleet(8, 1, 2)
	old := membership(t, parts, 1, all)
	now := membership(t, parts, 1, slices.Delete(slices.Clone(all), 3, 4))
	d := ownedBy(old, "n3", "r0")
	stale, fresh := router(t, "x", old), router(t, "y", now)
	n3, heir := router(t, "n3", old), router(t, now.Owners(Of(d, parts), "r0")[0].Name, old)
	heir.Adopt(now, late)
	heir.Held(heir.Wanted())
	fwd := Message{Destination: d, Forwarded: true}
	assert.Equal(t, "n3", stale.Route(Message{Destination: d}, nil, late).To.Name)
	assert.Equal(t, Here, n3.Route(fwd, nil, late).Way, "two think that they own it: who is asked serves")
	assert.Equal(t, Here, heir.Route(fwd, nil, late).Way)
	n3.Adopt(now, late)
	n3.Expire(late+linger, none)
	assert.Equal(t, Moved, n3.Route(fwd, nil, late+linger).Way, "none by the old view")
	assert.Equal(t, Busy, stale.Route(Message{Destination: d}, []string{"n3"}, late+linger).Way)
	assert.Equal(t, heir.o.Self, fresh.Route(Message{Destination: d}, nil, late+linger).To.Name)
	stale.Adopt(now, late+linger)
	assert.Equal(t, heir.o.Self, stale.Route(Message{Destination: d}, []string{"n3"}, late+linger).To.Name)
}

// Messages of a key follow the last while it may be held, wherever their partition has gone
// meanwhile; one of no key does not.
func TestKeysFollowTheirPins(t *testing.T) {
	all := fleet(8, 2, 2)
	m := membership(t, parts, 2, all)
	r := NewRouter(Options{Self: "x", Region: "r0", Linger: linger, Longest: longest, Rest: time.Second}, m, 0)
	d := ownedBy(m, "n2", "r0")
	owners := names(m.Owners(Of(d, parts), "r0"))
	k := Message{Destination: d, Key: 7, Left: 5 * time.Second}
	way := r.Route(k, owners[:1], late)
	require.Equal(t, owners[1], way.To.Name, "up for long: it fails over")
	r.Took(k, owners[1], late)
	k.Left = time.Second
	r.Took(k, owners[1], late) // the first is held for longer
	assert.Equal(t, owners[1], r.Route(k, nil, late+6*time.Second-1).To.Name)
	assert.Equal(t, Route{Way: Busy, After: downFirst}, r.Route(k, owners[1:2], late+1), "to another it could come out of order")
	assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, late+1).To.Name)
	assert.Equal(t, owners[0], r.Route(Message{Destination: d, Key: 8}, nil, late+1).To.Name)

	left := slices.DeleteFunc(slices.Clone(all), func(x Member) bool { return x.Name == owners[1] })
	r.Adopt(membership(t, parts, 2, left), late)
	assert.Equal(t, owners[1], r.Route(k, nil, late+1).To.Name, "its last may be there")
	r.Unreached(owners[1], late)
	assert.Equal(t, Busy, r.Route(k, nil, late+1).Way)
	r.Expire(late+linger, none)
	r.Adopt(membership(t, parts, 2, left), late)
	assert.Equal(t, Busy, r.Route(k, nil, late+6*time.Second-1).Way, "nobody knows where it is")
	assert.Equal(t, owners[0], r.Route(k, nil, late+6*time.Second).To.Name)

	hour := Message{Destination: d, Key: 9, Left: time.Hour} // over Longest: a client may say so
	r.Took(hour, owners[0], late)
	for now := late; now < late+time.Hour; now += 7 * time.Second {
		require.Equal(t, Busy, r.Route(hour, owners[:1], now).Way, "at %v", now-late)
	}
	assert.Equal(t, Forward, r.Route(hour, owners[:1], late+time.Hour+time.Second).Way)
	r.turn(late + 2*time.Hour)
	r.turn(late + 3*time.Hour)
	assert.Empty(t, len(r.pins[0])+len(r.pins[1]), "what is over is forgotten")
}

// A key's last message that was taken here is held here as long as the partition is: let go of, it
// holds none.
func TestPinToItself(t *testing.T) {
	all := fleet(8, 1, 2)
	m := membership(t, parts, 1, all)
	r := router(t, "n3", m)
	without := membership(t, parts, 1, slices.Delete(slices.Clone(all), 3, 4))
	k := Message{Destination: ownedBy(m, "n3", "r0"), Key: 7, Left: time.Hour}
	r.Took(k, "n3", late)
	r.Adopt(without, late)
	assert.Equal(t, Here, r.Route(k, nil, late).Way)
	r.Expire(late+linger, func(int) bool { return true })
	assert.Equal(t, Here, r.Route(k, nil, late+linger).Way)
	r.Expire(late+linger, none)
	assert.Equal(t, Forward, r.Route(k, nil, late+linger).Way)
}

// After a start a key's messages go to its first owner alone, as those before the start did: also
// past former owners, and to this courier's own journal before its list has come.
func TestKeysAfterAStart(t *testing.T) {
	all := fleet(8, 1, 2)
	m := membership(t, parts, 2, all)
	d := ownedBy(m, "n3", "r0")
	owners := names(m.Owners(Of(d, parts), "r0"))
	k := Message{Destination: d, Key: 7}
	r := NewRouter(Options{Self: "x", Longest: longest, Linger: linger}, m, late)
	r.Adopt(membership(t, parts, 2, slices.Delete(slices.Clone(all), 5, 6)), late)
	owners = names(r.m.Owners(Of(d, parts), ""))
	assert.Equal(t, owners[0], r.Route(k, nil, late).To.Name)
	assert.Equal(t, Busy, r.Route(k, owners[:1], late+longest-1).Way)
	assert.Equal(t, owners[1], r.Route(k, owners[:1], late+longest).To.Name)
	assert.Equal(t, owners[1], r.Route(Message{Destination: d}, owners[:1], late).To.Name, "no key, no order")

	second := NewRouter(Options{Self: owners[1], Region: "r0", Longest: longest}, m, late)
	assert.Equal(t, Busy, second.Route(k, nil, late).Way, "an earlier life took them itself")
	assert.Equal(t, owners[0], second.Route(k, nil, late+longest).To.Name)
	second.Held(second.Wanted())
	assert.Equal(t, Here, second.Route(k, nil, late).Way)
}

// Pins are bounded. A key that there was no room for goes to its first owner alone, until its
// message has ended; one that is known goes on to be.
func TestPinsAreBounded(t *testing.T) {
	m := membership(t, parts, 2, fleet(8, 1, 2))
	r := NewRouter(Options{Self: "x", Longest: longest, PinsMost: 10}, m, 0)
	d := ownedBy(m, "n3", "r0")
	owners := names(m.Owners(Of(d, parts), ""))
	took := func(key uint64, left, now time.Duration) {
		r.Took(Message{Destination: d, Key: key, Left: left}, owners[0], now)
	}
	for key := uint64(1); key <= 10; key++ {
		took(key, time.Second, late)
	}
	took(11, longest, late+time.Second)
	assert.Equal(t, 10, len(r.pins[0])+len(r.pins[1]))
	took(10, longest, late+time.Second)
	took(3, time.Hour, late+longest) // of the span before: it moves
	assert.Equal(t, 10, len(r.pins[0])+len(r.pins[1]))
	assert.Equal(t, Busy, r.Route(Message{Destination: d, Key: 10}, owners[:1], late+longest).Way, "its last is held")
	assert.Equal(t, Busy, r.Route(Message{Destination: d, Key: 3}, owners[:1], late+20*time.Minute).Way)
	assert.Equal(t, Busy, r.Route(Message{Destination: d, Key: 11}, owners[:1], late+longest+time.Second-1).Way)
	later := late + 3*longest
	assert.Equal(t, owners[1], r.Route(Message{Destination: d, Key: 11}, owners[:1], later).To.Name)
	for key := uint64(20); key < 40; key++ {
		took(key, longest, later)
	}
	assert.LessOrEqual(t, len(r.pins[0])+len(r.pins[1]), 10)
	r.Took(Message{Destination: d, Key: 99, Forwarded: true}, "x", later)
	assert.NotContains(t, r.pins[0], uint64(99), "who forwarded it remembers")
}

// Members that have left are forgotten.
func TestWhoLeftIsForgotten(t *testing.T) {
	all := fleet(8, 1, 2)
	r := router(t, "n0", membership(t, parts, 1, all))
	r.Unreached("n3", late)
	r.Unreached("n4", late)
	without := membership(t, parts, 1, slices.Delete(slices.Clone(all), 3, 4))
	r.Adopt(without, late)
	assert.Contains(t, r.down, "n3", "it serves on")
	r.Adopt(without, late)
	assert.NotContains(t, r.down, "n3")
	assert.Contains(t, r.down, "n4")
}

// Something lingers from an Adopt until Expire has looked behind it.
func TestLingers(t *testing.T) {
	both, err := New(8, 1, fleet(2, 1, 1))
	require.NoError(t, err)
	other, err := both.With(fleet(2, 1, 1)[1:])
	require.NoError(t, err)
	r := NewRouter(Options{Self: "n0", Linger: time.Second}, both, 0)
	assert.False(t, r.Lingers())
	r.Held(r.Listed())
	r.Adopt(other, 0)
	assert.True(t, r.Lingers())
	r.Expire(time.Second, func(int) bool { return true })
	assert.True(t, r.Lingers(), "it is used")
	r.Expire(time.Second, func(int) bool { return false })
	assert.False(t, r.Lingers())
	r.Adopt(both, time.Second)
	assert.True(t, r.Lingers(), "the membership before still counts")
}
