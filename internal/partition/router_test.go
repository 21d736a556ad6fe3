package partition

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	maxDeadline    = 12 * time.Second
	serveAfterLoss = 30 * time.Second
	partitionCount = 16
	longAfterStart = time.Hour // time well after the start of a router that was created at 0
)

// newRouter returns the router of a courier in region r0 that has been running for long and has
// received the list of all that it owns.
func newRouter(t *testing.T, self string, m *Membership) *Router {
	r := NewRouter(Options{Self: self, Region: "r0", ServeAfterLoss: serveAfterLoss, MaxDeadline: maxDeadline}, m, 0)
	r.MarkListReceived(r.AwaitingList())
	require.Empty(t, r.AwaitingList())
	return r
}

// destinationIn returns a destination in a partition.
func destinationIn(p, partitions int) uint32 {
	for d := uint32(0); ; d++ {
		if Of(d, partitions) == p {
			return d
		}
	}
}

// ownedBy returns a destination whose first owner is the given member.
func ownedBy(m *Membership, name, near string) uint32 {
	for d := uint32(0); ; d++ {
		if m.Owners(Of(d, m.partitions), near)[0].Name == name {
			return d
		}
	}
}

func notUsed(int) bool { return false }

// A message goes to an owner in its own region, skipping those that were tried or are unreachable,
// then to other regions, and finally nowhere. A forwarded message is not forwarded again.
func TestRoute(t *testing.T) {
	m := membership(t, partitionCount, 2, fleet(8, 2, 2))
	d := ownedBy(m, "n2", "r0")
	owners := names(m.Owners(Of(d, partitionCount), "r0"))
	require.Len(t, owners, 4)
	r := newRouter(t, "elsewhere", m)
	for i, o := range owners {
		way := r.Route(Message{Destination: d}, owners[:i], longAfterStart)
		assert.Equal(t, Forward, way.Action)
		assert.Equal(t, o, way.To.Name)
	}
	assert.Equal(t, Route{Action: Busy, After: firstSkip}, r.Route(Message{Destination: d}, owners, longAfterStart))
	assert.Equal(t, Route{Action: Moved}, r.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart))

	r.MarkUnreachable(owners[0], longAfterStart)
	r.MarkUnreachable(owners[0], longAfterStart+1) // dialled together with the first: counts as one failure
	assert.Equal(t, owners[1], r.Route(Message{Destination: d}, nil, longAfterStart+firstSkip-1).To.Name)
	assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, longAfterStart+firstSkip).To.Name, "the first owner is tried again")
	now := longAfterStart
	for _, pause := range []time.Duration{2, 4, 8, 8} { // times firstSkip: doubled up to maxSkip
		now += pause * firstSkip
		r.MarkUnreachable(owners[0], now)
		assert.Equal(t, owners[1], r.Route(Message{Destination: d}, nil, now+min(pause*firstSkip, maxSkip)-1).To.Name)
		assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, now+min(pause*firstSkip, maxSkip)).To.Name)
	}
	r.MarkReachable(owners[0])
	assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, now).To.Name)
	for _, o := range owners {
		r.MarkUnreachable(o, now)
	}
	assert.Equal(t, Route{Action: Busy, After: firstSkip / 2}, r.Route(Message{Destination: d}, nil, now+firstSkip/2), "until the first owner is tried again")

	n2 := newRouter(t, "n2", m)
	assert.Equal(t, Local, n2.Route(Message{Destination: d}, nil, longAfterStart).Action)
	assert.Equal(t, Local, n2.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart).Action)
}

// A region whose owners are unreachable is skipped for a while; afterwards its own owners are first
// again. The owners in the other region serve in the meantime.
func TestRegionCutOff(t *testing.T) {
	m := membership(t, partitionCount, 1, fleet(8, 2, 2))
	r := newRouter(t, "elsewhere", m)
	for d := range uint32(partitionCount) {
		for _, o := range m.Owners(Of(d, partitionCount), "r0") {
			if o.Region == "r0" {
				r.MarkUnreachable(o.Name, longAfterStart)
			}
		}
	}
	for d := range uint32(partitionCount) {
		way := r.Route(Message{Destination: d}, nil, longAfterStart)
		assert.Equal(t, Forward, way.Action)
		assert.Equal(t, "r1", way.To.Region)
		assert.Equal(t, "r0", r.Route(Message{Destination: d}, nil, longAfterStart+maxSkip).To.Region, "the own region is tried again")
	}
	onlyFar := membership(t, partitionCount, 1, slices.DeleteFunc(fleet(8, 2, 2), func(x Member) bool { return x.Region == "r0" }))
	r.SetMembership(onlyFar, longAfterStart)
	assert.Equal(t, "r1", r.Route(Message{Destination: 1}, nil, longAfterStart).To.Region)
	r.SetMembership(m, longAfterStart)
	assert.Equal(t, "r0", r.Route(Message{Destination: 1}, nil, longAfterStart+maxSkip).To.Region)
}

// A new partition is served once its list was received: until then its former owner continues. A
// lost partition is served until other couriers know, and longer if it is in use.
func TestPartitionsMove(t *testing.T) {
	all := fleet(8, 1, 2)
	with := membership(t, partitionCount, 1, all)
	without, err := with.WithMembers(slices.Delete(slices.Clone(all), 3, 4))
	require.NoError(t, err)
	d := ownedBy(with, "n3", "r0")
	p := Of(d, partitionCount)
	newOwner := without.Owners(p, "r0")[0].Name

	gaining := newRouter(t, newOwner, with)
	assert.False(t, gaining.Lists(d))
	listed := gaining.Listed()
	gaining.SetMembership(without, longAfterStart)
	assert.NotEqual(t, listed, gaining.Listed())
	assert.True(t, gaining.Lists(d))
	assert.Contains(t, gaining.AwaitingList(), p)
	assert.Equal(t, len(gaining.AwaitingList()), gaining.Stats(longAfterStart).AwaitingList)
	assert.Equal(t, Moved, gaining.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart).Action)
	way := gaining.Route(Message{Destination: d}, nil, longAfterStart)
	assert.Equal(t, Forward, way.Action)
	assert.Equal(t, "n3", way.To.Name, "the former owner still serves it")
	assert.Equal(t, Busy, gaining.Route(Message{Destination: d}, []string{"n3"}, longAfterStart).Action)
	gaining.MarkListReceived([]int{p, partitionCount - 1, 77})
	assert.Empty(t, gaining.AwaitingList())
	assert.Equal(t, Local, gaining.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart).Action)
	assert.Equal(t, Local, gaining.Route(Message{Destination: d}, nil, longAfterStart).Action)

	losing := newRouter(t, "n3", with)
	lost := losing.Listed()
	assert.Equal(t, Stats{Owned: len(lost), Listed: len(lost)}, losing.Stats(longAfterStart))
	losing.SetMembership(without, longAfterStart)
	losing.MarkUnreachable("n1", longAfterStart)
	losing.RecordAccepted(Message{Key: 1}, "n1", longAfterStart)
	assert.Equal(t, Stats{Listed: len(lost), Pins: 1, Unreachable: 1}, losing.Stats(longAfterStart))
	assert.Equal(t, 0, losing.Stats(longAfterStart+firstSkip).Unreachable)
	assert.Equal(t, lost, losing.Listed(), "still served")
	assert.Equal(t, Local, losing.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart).Action)
	assert.Equal(t, newOwner, losing.Route(Message{Destination: d}, nil, longAfterStart).To.Name)
	assert.Equal(t, Local, losing.Route(Message{Destination: d}, []string{newOwner}, longAfterStart).Action, "the new owner is not ready")
	assert.Empty(t, losing.Expire(longAfterStart+serveAfterLoss-1, notUsed))
	listed = losing.Listed()
	assert.Equal(t, slices.DeleteFunc(slices.Clone(lost), func(x int) bool { return x == p }),
		losing.Expire(longAfterStart+serveAfterLoss, func(x int) bool { return x == p }))
	assert.NotEqual(t, listed, losing.Listed())
	assert.Equal(t, Local, losing.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart+serveAfterLoss).Action, "it is in use")
	assert.Equal(t, Busy, losing.Route(Message{Destination: d}, []string{newOwner}, longAfterStart+serveAfterLoss).Action)
	assert.Equal(t, []int{p}, losing.Expire(longAfterStart+serveAfterLoss, notUsed))
	assert.Equal(t, Moved, losing.Route(Message{Destination: d, Forwarded: true}, nil, longAfterStart+serveAfterLoss).Action)
	assert.Equal(t, newOwner, losing.Route(Message{Destination: d}, nil, longAfterStart+serveAfterLoss).To.Name)
	assert.InDelta(t, 1.0/partitionCount, losing.Share(), 1e-9, "the share of an empty list")

	returning := newRouter(t, "n3", with)
	returning.SetMembership(without, longAfterStart)
	returning.SetMembership(with, longAfterStart+1)
	assert.Empty(t, returning.AwaitingList(), "a partition that is still served needs no new list when it returns")
	assert.Empty(t, returning.Expire(longAfterStart+2*serveAfterLoss, notUsed))
}

// A partition that is lost before its list was received is dropped at once, unless a previous
// process run of this courier left messages of it: these wait for the list, and so does the next
// message of their key, whoever owns the partition.
func TestMessagesOfPreviousRun(t *testing.T) {
	all := fleet(8, 1, 2)
	m := membership(t, partitionCount, 1, all)
	r := NewRouter(Options{Self: "n3", ServeAfterLoss: serveAfterLoss, MaxDeadline: maxDeadline}, m, longAfterStart)
	lost := r.AwaitingList()
	require.GreaterOrEqual(t, len(lost), 2)
	other := slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(p int) bool { return slices.Contains(lost, p) })[0]
	kept := []int{min(other, lost[0]), max(other, lost[0])}
	listed := r.Listed()
	r.Retain(other)
	assert.NotEqual(t, listed, r.Listed())
	r.Retain(lost[0])
	k := Message{Destination: destinationIn(other, partitionCount), Key: 7, Remaining: time.Second}
	r.RecordAccepted(k, "n3", longAfterStart)
	r.SetMembership(membership(t, partitionCount, 1, slices.Delete(slices.Clone(all), 3, 4)), longAfterStart)
	assert.Equal(t, kept, r.Listed())
	assert.Equal(t, kept, r.AwaitingList())
	assert.Equal(t, Busy, r.Route(k, nil, longAfterStart).Action)
	assert.Equal(t, Moved, r.Route(Message{Destination: k.Destination, Forwarded: true}, nil, longAfterStart).Action)
	r.MarkListReceived(r.AwaitingList())
	assert.Equal(t, Local, r.Route(k, nil, longAfterStart).Action)
	assert.Equal(t, Forward, r.Route(k, nil, longAfterStart+time.Second).Action)
	assert.Empty(t, r.Expire(longAfterStart+serveAfterLoss, func(int) bool { return true }))
	assert.Equal(t, kept, r.Expire(longAfterStart+serveAfterLoss, notUsed))
}

// Couriers with different views: one forwards by an old view to a courier that no longer owns the
// partition, and the owner by the new view is found by every courier that has that view.
func TestStaleView(t *testing.T) {
	all := fleet(8, 1, 2)
	old := membership(t, partitionCount, 1, all)
	now := membership(t, partitionCount, 1, slices.Delete(slices.Clone(all), 3, 4))
	d := ownedBy(old, "n3", "r0")
	stale, upToDate := newRouter(t, "x", old), newRouter(t, "y", now)
	n3, newOwner := newRouter(t, "n3", old), newRouter(t, now.Owners(Of(d, partitionCount), "r0")[0].Name, old)
	newOwner.SetMembership(now, longAfterStart)
	newOwner.MarkListReceived(newOwner.AwaitingList())
	fwd := Message{Destination: d, Forwarded: true}
	assert.Equal(t, "n3", stale.Route(Message{Destination: d}, nil, longAfterStart).To.Name)
	assert.Equal(t, Local, n3.Route(fwd, nil, longAfterStart).Action, "two couriers consider themselves owners: the one that is asked serves")
	assert.Equal(t, Local, newOwner.Route(fwd, nil, longAfterStart).Action)
	n3.SetMembership(now, longAfterStart)
	n3.Expire(longAfterStart+serveAfterLoss, notUsed)
	assert.Equal(t, Moved, n3.Route(fwd, nil, longAfterStart+serveAfterLoss).Action, "the owner by the old view no longer serves it")
	assert.Equal(t, Busy, stale.Route(Message{Destination: d}, []string{"n3"}, longAfterStart+serveAfterLoss).Action)
	assert.Equal(t, newOwner.options.Self, upToDate.Route(Message{Destination: d}, nil, longAfterStart+serveAfterLoss).To.Name)
	stale.SetMembership(now, longAfterStart+serveAfterLoss)
	assert.Equal(t, newOwner.options.Self, stale.Route(Message{Destination: d}, []string{"n3"}, longAfterStart+serveAfterLoss).To.Name)
}

// Messages of a key go to the courier that has the previous message while that may be held, even if
// their partition has moved meanwhile; messages without a key do not.
func TestKeysFollowPins(t *testing.T) {
	all := fleet(8, 2, 2)
	m := membership(t, partitionCount, 2, all)
	r := NewRouter(Options{Self: "x", Region: "r0", ServeAfterLoss: serveAfterLoss, MaxDeadline: maxDeadline, DeadlineMargin: time.Second}, m, 0)
	d := ownedBy(m, "n2", "r0")
	owners := names(m.Owners(Of(d, partitionCount), "r0"))
	k := Message{Destination: d, Key: 7, Remaining: 5 * time.Second}
	way := r.Route(k, owners[:1], longAfterStart)
	require.Equal(t, owners[1], way.To.Name, "the router has been running for long: it fails over")
	r.RecordAccepted(k, owners[1], longAfterStart)
	k.Remaining = time.Second
	r.RecordAccepted(k, owners[1], longAfterStart) // the first is held for longer
	assert.Equal(t, owners[1], r.Route(k, nil, longAfterStart+6*time.Second-1).To.Name)
	assert.Equal(t, Route{Action: Busy, After: firstSkip}, r.Route(k, owners[1:2], longAfterStart+1), "at another courier it could be delivered out of order")
	assert.Equal(t, owners[0], r.Route(Message{Destination: d}, nil, longAfterStart+1).To.Name)
	assert.Equal(t, owners[0], r.Route(Message{Destination: d, Key: 8}, nil, longAfterStart+1).To.Name)

	left := slices.DeleteFunc(slices.Clone(all), func(x Member) bool { return x.Name == owners[1] })
	r.SetMembership(membership(t, partitionCount, 2, left), longAfterStart)
	assert.Equal(t, owners[1], r.Route(k, nil, longAfterStart+1).To.Name, "the previous message may be there")
	r.MarkUnreachable(owners[1], longAfterStart)
	assert.Equal(t, Busy, r.Route(k, nil, longAfterStart+1).Action)
	r.Expire(longAfterStart+serveAfterLoss, notUsed)
	r.SetMembership(membership(t, partitionCount, 2, left), longAfterStart)
	assert.Equal(t, Busy, r.Route(k, nil, longAfterStart+6*time.Second-1).Action, "the courier that has it is unknown")
	assert.Equal(t, owners[0], r.Route(k, nil, longAfterStart+6*time.Second).To.Name)

	hour := Message{Destination: d, Key: 9, Remaining: time.Hour} // longer than the maximum deadline of the classes: a client may request that
	r.RecordAccepted(hour, owners[0], longAfterStart)
	for now := longAfterStart; now < longAfterStart+time.Hour; now += 7 * time.Second {
		require.Equal(t, Busy, r.Route(hour, owners[:1], now).Action, "at %v", now-longAfterStart)
	}
	assert.Equal(t, Forward, r.Route(hour, owners[:1], longAfterStart+time.Hour+time.Second).Action)
	r.rotatePins(longAfterStart + 2*time.Hour)
	r.rotatePins(longAfterStart + 3*time.Hour)
	assert.Empty(t, len(r.pins[0])+len(r.pins[1]), "expired pins are removed")
}

// A key's last message that this courier accepted is held here as long as the partition is served:
// once it is dropped, no message is held.
func TestPinToSelf(t *testing.T) {
	all := fleet(8, 1, 2)
	m := membership(t, partitionCount, 1, all)
	r := newRouter(t, "n3", m)
	without := membership(t, partitionCount, 1, slices.Delete(slices.Clone(all), 3, 4))
	k := Message{Destination: ownedBy(m, "n3", "r0"), Key: 7, Remaining: time.Hour}
	r.RecordAccepted(k, "n3", longAfterStart)
	r.SetMembership(without, longAfterStart)
	assert.Equal(t, Local, r.Route(k, nil, longAfterStart).Action)
	r.Expire(longAfterStart+serveAfterLoss, func(int) bool { return true })
	assert.Equal(t, Local, r.Route(k, nil, longAfterStart+serveAfterLoss).Action)
	r.Expire(longAfterStart+serveAfterLoss, notUsed)
	assert.Equal(t, Forward, r.Route(k, nil, longAfterStart+serveAfterLoss).Action)
}

// After a start a key's messages go to its first owner only, as those before the start did. This
// also applies to former owners, and to this courier's own journal before its list was received.
func TestKeysAfterStart(t *testing.T) {
	all := fleet(8, 1, 2)
	m := membership(t, partitionCount, 2, all)
	d := ownedBy(m, "n3", "r0")
	owners := names(m.Owners(Of(d, partitionCount), "r0"))
	k := Message{Destination: d, Key: 7}
	r := NewRouter(Options{Self: "x", MaxDeadline: maxDeadline, ServeAfterLoss: serveAfterLoss}, m, longAfterStart)
	r.SetMembership(membership(t, partitionCount, 2, slices.Delete(slices.Clone(all), 5, 6)), longAfterStart)
	owners = names(r.membership.Owners(Of(d, partitionCount), ""))
	assert.Equal(t, owners[0], r.Route(k, nil, longAfterStart).To.Name)
	assert.Equal(t, Busy, r.Route(k, owners[:1], longAfterStart+maxDeadline-1).Action)
	assert.Equal(t, owners[1], r.Route(k, owners[:1], longAfterStart+maxDeadline).To.Name)
	assert.Equal(t, owners[1], r.Route(Message{Destination: d}, owners[:1], longAfterStart).To.Name, "without a key there is no order to keep")

	second := NewRouter(Options{Self: owners[1], Region: "r0", MaxDeadline: maxDeadline}, m, longAfterStart)
	assert.Equal(t, Busy, second.Route(k, nil, longAfterStart).Action, "a previous process run accepted them itself")
	assert.Equal(t, owners[0], second.Route(k, nil, longAfterStart+maxDeadline).To.Name)
	second.MarkListReceived(second.AwaitingList())
	assert.Equal(t, Local, second.Route(k, nil, longAfterStart).Action)
}

// The number of pins is bounded. A key without room goes to its first owner only, until its message
// has ended; a key that is remembered stays so.
func TestPinsAreBounded(t *testing.T) {
	m := membership(t, partitionCount, 2, fleet(8, 1, 2))
	r := NewRouter(Options{Self: "x", MaxDeadline: maxDeadline, MaxPins: 10}, m, 0)
	d := ownedBy(m, "n3", "r0")
	owners := names(m.Owners(Of(d, partitionCount), ""))
	took := func(key uint64, left, now time.Duration) {
		r.RecordAccepted(Message{Destination: d, Key: key, Remaining: left}, owners[0], now)
	}
	for key := uint64(1); key <= 10; key++ {
		took(key, time.Second, longAfterStart)
	}
	took(11, maxDeadline, longAfterStart+time.Second)
	assert.Equal(t, 10, len(r.pins[0])+len(r.pins[1]))
	took(10, maxDeadline, longAfterStart+time.Second)
	took(3, time.Hour, longAfterStart+maxDeadline) // pinned in the previous period: it moves to the current one
	assert.Equal(t, 10, len(r.pins[0])+len(r.pins[1]))
	assert.Equal(t, Busy, r.Route(Message{Destination: d, Key: 10}, owners[:1], longAfterStart+maxDeadline).Action, "its previous message is held")
	assert.Equal(t, Busy, r.Route(Message{Destination: d, Key: 3}, owners[:1], longAfterStart+20*time.Minute).Action)
	assert.Equal(t, Busy, r.Route(Message{Destination: d, Key: 11}, owners[:1], longAfterStart+maxDeadline+time.Second-1).Action)
	later := longAfterStart + 3*maxDeadline
	assert.Equal(t, owners[1], r.Route(Message{Destination: d, Key: 11}, owners[:1], later).To.Name)
	for key := uint64(20); key < 40; key++ {
		took(key, maxDeadline, later)
	}
	assert.LessOrEqual(t, len(r.pins[0])+len(r.pins[1]), 10)
	r.RecordAccepted(Message{Destination: d, Key: 99, Forwarded: true}, "x", later)
	assert.NotContains(t, r.pins[0], uint64(99), "the courier that forwarded it remembers the key")
}

// State of members that have left is removed.
func TestFormerMembersAreRemoved(t *testing.T) {
	all := fleet(8, 1, 2)
	r := newRouter(t, "n0", membership(t, partitionCount, 1, all))
	r.MarkUnreachable("n3", longAfterStart)
	r.MarkUnreachable("n4", longAfterStart)
	without := membership(t, partitionCount, 1, slices.Delete(slices.Clone(all), 3, 4))
	r.SetMembership(without, longAfterStart)
	assert.Contains(t, r.unreachable, "n3", "it still serves its partitions")
	r.SetMembership(without, longAfterStart)
	assert.NotContains(t, r.unreachable, "n3")
	assert.Contains(t, r.unreachable, "n4")
}

// Something waits for Expire from a change of membership until Expire has dropped everything.
func TestExpiryPending(t *testing.T) {
	both, err := New(8, 1, fleet(2, 1, 1))
	require.NoError(t, err)
	other, err := both.WithMembers(fleet(2, 1, 1)[1:])
	require.NoError(t, err)
	r := NewRouter(Options{Self: "n0", ServeAfterLoss: time.Second}, both, 0)
	assert.False(t, r.ExpiryPending())
	r.MarkListReceived(r.Listed())
	r.SetMembership(other, 0)
	assert.True(t, r.ExpiryPending())
	r.Expire(time.Second, func(int) bool { return true })
	assert.True(t, r.ExpiryPending(), "it is in use")
	r.Expire(time.Second, func(int) bool { return false })
	assert.False(t, r.ExpiryPending())
	r.SetMembership(both, time.Second)
	assert.True(t, r.ExpiryPending(), "the previous membership is still used")
}
