package platform

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"snowjunction"
	"snowjunction/internal/core"
	"snowjunction/internal/groups"
	"snowjunction/internal/partition"
	"snowjunction/internal/proto/listing"
)

// This file implements discovery by partitions, which is used if Config.Router is set. The watch
// names all partitions that the router lists. Newly listed partitions, whose list is not loaded
// yet, are requested in full between two watches, a few at a time, and merged as changes. The watch
// continues from the previous generation and so misses nothing. Entries of partitions that are no
// longer listed are removed from the table in batches.

const (
	// gainTargetBytes is the approximate size of an answer for newly listed partitions. Updates of
	// the other partitions wait until it is complete.
	gainTargetBytes = 48 << 10
	// maxGainGrowth bounds how many times more partitions one request names than the request before
	// it.
	maxGainGrowth = 4
	// lingerCheckInterval is how often lingering partitions are checked for removal.
	lingerCheckInterval = time.Second
	// sweepBatchSize is how many table entries are examined at once.
	sweepBatchSize = 2048
)

// errPartitions means that an answer counts its partitions otherwise than the request.
var errPartitions = errors.New("list covers a different number of partitions")

// partitionState is the partition-related state of discovery's current request.
type partitionState struct {
	requested     []int // partitions named in the request
	listedThen    []int // partitions listed when it was sent
	unlistedSince []int // listed when it was sent, and not any more
	gaining       bool  // it requests newly listed partitions
	gained        bool  // the previous, answered request was for these; both are one step
	mayGain       bool  // the previous answer on this connection brought all changes
	batchSize     int   // number of newly listed partitions to request at once
}

// tableSweep removes the entries of partitions from the table.
type tableSweep struct {
	partitions map[int]bool
	next       int // entries from this index on are done
}

// nextQuery decides what the next request is for and returns its query parameters. It returns ""
// without a router.
func (d *discovery) nextQuery() (parameters string) {
	d.partitions.gaining = false
	r := d.front.Router
	if r == nil {
		return ""
	}
	p := &d.partitions
	p.listedThen, p.unlistedSince = r.Listed(), nil
	p.requested = p.listedThen
	if wanted := r.AwaitingList(); d.incremental && p.mayGain && len(wanted) > 0 && d.front.activeSweep == nil {
		p.requested = wanted[:min(len(wanted), max(p.batchSize, 1))]
		p.gaining, p.mayGain = true, false
	}
	b := strconv.AppendInt([]byte("partitions="), int64(r.Membership().Partitions()), 10)
	b = append(b, "&of="...)
	for i, n := range p.requested {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// pollNow reports whether the directory should answer a watch at once, because requests for
// partitions wait behind it or it has waited behind one.
func (d *discovery) pollNow() bool {
	return d.front.Router != nil && (d.partitions.gained || len(d.front.Router.AwaitingList()) > 0)
}

// keepEntry reports whether to keep an entry of an answer. An entry of an unlisted destination is
// dropped to save memory, unless its name is in the table or earlier in the answer: then the
// endpoint has moved to that destination, and the entry is turned into a removal.
func (d *discovery) keepEntry(e *core.Entry, list *groups.List) bool {
	r := d.front.Router
	if r == nil || e.Phase != snowjunction.Gone && r.Lists(uint32(e.Destination)) {
		return true
	}
	if _, held := d.front.core.Table(d.front.FrontIndex).Get(e.Name); !held {
		if _, held = list.Entries.Get(e.Name); !held {
			return false
		}
	}
	*e = core.Entry{Name: e.Name, Phase: snowjunction.Gone}
	return true
}

// readerLimits returns the limits of a list reader. With a router, dropped entries do not count.
func (d *discovery) readerLimits() (size, entries int) {
	if d.front.Router != nil {
		return d.front.Lists.Bytes, math.MaxInt
	}
	return d.front.Lists.Bytes, d.front.Lists.Entries
}

// checkRoom returns an error if the list must not grow by another entry.
func (d *discovery) checkRoom(list *groups.List) error {
	if d.front.Router != nil && list.Entries.Len() >= d.front.Lists.Entries {
		return fmt.Errorf("%w: more than %d entries", listing.ErrTooBig, d.front.Lists.Entries)
	}
	return nil
}

// checkPartitions returns an error if an answer is restricted, but with another number of
// partitions than the request.
func (d *discovery) checkPartitions() error {
	r := d.front.Router
	if r == nil || d.reader.TotalPartitions == 0 || d.reader.TotalPartitions == r.Membership().Partitions() {
		return nil
	}
	return fmt.Errorf("%w: %d, expected %d", errPartitions, d.reader.TotalPartitions, r.Membership().Partitions())
}

// listReceived updates the state after an answer was applied. If full is true, it was the full
// list of the requested partitions.
func (d *discovery) listReceived(full bool) {
	r := d.front.Router
	if r == nil {
		return
	}
	p := &d.partitions
	of := p.requested
	if d.reader.TotalPartitions == 0 { // not restricted: has all that was listed at the request
		of = p.listedThen
	}
	if full {
		r.MarkListReceived(without(of, p.unlistedSince))
	}
	d.front.startSweep(p.unlistedSince) // entries may have been read before they were unlisted
	p.gained, p.mayGain = p.gaining, !p.gaining
}

// mergeGained merges the list of newly listed partitions. It is newer than the list of the other
// partitions, which the next watch updates, and may conflict with it: for example, a removed
// endpoint's address may now belong to a new one. The full list is then requested.
func (d *discovery) mergeGained() {
	d.incoming.Full = false
	p := &d.partitions
	if err := d.front.core.UpdateList(d.front.FrontIndex, d.incoming); err != nil {
		d.front.Log.Info("list of newly listed partitions conflicts with the current list; requesting the full list", "err", err)
		p.gained, d.incremental = true, false
	} else {
		p.batchSize = max(1, min(maxGainGrowth*len(p.requested), len(p.requested)*gainTargetBytes/max(d.reader.ReceivedBytes(), 1)))
		d.listReceived(true)
		d.front.Log.Debug("merged the list of newly listed partitions", "asked", len(p.requested), "wanted", len(d.front.Router.AwaitingList()), "entries", d.incoming.Entries.Len())
	}
	d.incoming = nil
	d.watch()
}

// without returns the elements of a that are not in b.
func without(a, b []int) []int {
	if len(b) == 0 {
		return a
	}
	b = slices.Sorted(slices.Values(b))
	return slices.DeleteFunc(slices.Clone(a), func(p int) bool {
		_, is := slices.BinarySearch(b, p)
		return is
	})
}

// RouterOptions returns the options of a courier's router: the longest deadline of an in-order class, and
// how long a message may be on its way plus the settle time of its key after that.
func RouterOptions(s snowjunction.Settings, self, region string, linger time.Duration) partition.Options {
	o := partition.Options{Self: self, Region: region, ServeAfterLoss: linger, DeadlineMargin: clientTimeout + s.OrderSettle}
	for _, class := range s.Classes {
		if class.InOrder {
			o.MaxDeadline = max(o.MaxDeadline, class.Deadline)
		}
	}
	return o
}

// AdoptMembership switches to another membership. Newly listed partitions are requested with the next
// request; partitions that are no longer listed are removed after they have lingered.
func (f *Front) AdoptMembership(m *partition.Membership) {
	listedBefore := f.Router.Listed()
	f.Router.SetMembership(m, f.routerTime())
	f.removePartitions(without(listedBefore, f.Router.Listed()))
	f.scheduleLingerCheck()
}

// scheduleLingerCheck checks periodically whether lingering partitions can be removed.
func (f *Front) scheduleLingerCheck() {
	f.lingerTimer.Stop()
	if !f.Router.ExpiryPending() {
		return
	}
	f.lingerTimer = f.Loop.After(lingerCheckInterval, func() {
		calling := map[int]bool{}
		for d := range f.core.ActiveDestinations() {
			calling[partition.Of(uint32(d), f.Router.Membership().Partitions())] = true
		}
		f.removePartitions(f.Router.Expire(f.routerTime(), func(p int) bool { return calling[p] }))
		f.scheduleLingerCheck()
	})
}

// removePartitions drops partitions that are no longer listed.
func (f *Front) removePartitions(lost []int) {
	f.discovery.partitions.unlistedSince = append(f.discovery.partitions.unlistedSince, lost...)
	f.startSweep(lost)
}

// startSweep removes the entries of partitions from the table, in batches.
func (f *Front) startSweep(lost []int) {
	if len(lost) == 0 || f.core == nil {
		return
	}
	idle := f.activeSweep == nil
	if idle {
		f.activeSweep = &tableSweep{partitions: map[int]bool{}}
	}
	for _, p := range lost {
		f.activeSweep.partitions[p] = true
	}
	f.activeSweep.next = math.MaxInt
	if idle {
		f.Loop.RunSliced(func() bool { return f.sweepBatch(sweepBatchSize) })
	}
}

// sweepBatch examines n entries, from the end of the table to its start: an entry that takes the
// place of a removed one has been examined already. It reports whether entries are left.
func (f *Front) sweepBatch(n int) (more bool) {
	s := f.activeSweep
	if s == nil {
		return false
	}
	table := f.core.Table(f.FrontIndex)
	s.next = min(s.next, table.Len())
	removals, from := groups.NewList(false), max(0, s.next-n)
	for i := from; i < s.next; i++ {
		if e := table.Nth(i); s.partitions[partition.Of(uint32(e.Destination), f.Router.Membership().Partitions())] {
			_ = removals.Add(core.Entry{Name: e.Name, Phase: snowjunction.Gone}) // names are unique in a table
		}
	}
	s.next = from
	if from == 0 {
		f.activeSweep = nil
	}
	if removals.Entries.Len() > 0 {
		_ = f.core.UpdateList(f.FrontIndex, removals) // removals never conflict
	}
	return f.activeSweep != nil
}

// finishSweep completes a sweep at once. The plausibility check compares a full list with the
// current one, which must only hold entries that are still listed.
func (f *Front) finishSweep() { f.sweepBatch(math.MaxInt / 2) }

// restrictToListed restricts the initial list to the partitions that the router lists, and returns
// those that it covers completely. A list with a different number of partitions is unusable.
func (f *Front) restrictToListed(initial InitialList) (InitialList, []int) {
	if f.Router == nil || !initial.Present {
		return initial, nil
	}
	n, covered := f.Router.Membership().Partitions(), f.Router.Listed()
	switch initial.PartitionCount {
	case 0:
	case n:
		covered = slices.DeleteFunc(covered, func(p int) bool {
			_, has := slices.BinarySearch(initial.CompletePartitions, p)
			return !has
		})
	default:
		f.Log.Warn("ignoring the saved list because it has a different number of partitions", "partitions", initial.PartitionCount, "now", n)
		return InitialList{}, nil
	}
	var targets []core.Entry
	for _, e := range initial.Targets {
		if _, held := slices.BinarySearch(covered, partition.Of(uint32(e.Destination), n)); held {
			targets = append(targets, e)
		}
	}
	initial.Targets = targets
	return initial, covered
}

// LoadedPartitions returns the number of partitions and those whose list is loaded completely. The number is
// zero if destinations are not partitioned.
func (f *Front) LoadedPartitions() (partitions int, of []int) {
	if f.Router == nil {
		return 0, nil
	}
	return f.Router.Membership().Partitions(), without(f.Router.Listed(), f.Router.AwaitingList())
}
