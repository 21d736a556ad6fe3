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

// This file is discovery by partitions, where Config.Router is set. The watch names all that the
// router lists. What has come to be listed since, and whose list is not held, is asked for whole
// between two watches, some partitions at a time, and merged as changes; the watch goes on from
// the generation before, and so misses nothing. What is listed no longer is taken out of the
// table in slices.

const (
	// gainSize is about how long, in bytes, the answer for newly listed partitions may be: news
	// of the others wait behind it.
	gainSize = 48 << 10
	// gainGrowth is how many times as many partitions as the last time are asked for at the most.
	gainGrowth = 4
	// lingerLook is how often is looked whether what lingers may go.
	lingerLook = time.Second
	// sweepSlice is how many entries are looked through at once.
	sweepSlice = 2048
)

// errPartitions tells that an answer is restricted otherwise than it was asked for.
var errPartitions = errors.New("the list is of other partitions")

// partitions is what discovery keeps of the ask that is out.
type partitions struct {
	asked   []int // named in it
	listed  []int // when it left
	lost    []int // that have been listed since, and are no longer
	gaining bool  // it is for newly listed partitions
	gained  bool  // the ask before it was, and has been answered: both are one step
	mayGain bool  // the answer before it, on the same connection, has brought all that is news
	some    int   // newly listed partitions that are asked for at once
}

// sweep takes the entries of partitions out of the table.
type sweep struct {
	of map[int]bool
	at int // entries from here on have been looked at
}

// next chooses what the next ask is for, and names it; empty without a router.
func (d *discovery) next() (parameters string) {
	d.parts.gaining = false
	r := d.front.Router
	if r == nil {
		return ""
	}
	p := &d.parts
	p.listed, p.lost = r.Listed(), nil
	p.asked = p.listed
	if wanted := r.Wanted(); d.known && p.mayGain && len(wanted) > 0 && d.front.sweeping == nil {
		p.asked = wanted[:min(len(wanted), max(p.some, 1))]
		p.gaining, p.mayGain = true, false
	}
	b := strconv.AppendInt([]byte("partitions="), int64(r.Membership().Partitions()), 10)
	b = append(b, "&of="...)
	for i, n := range p.asked {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// hurries tells that a watch need not wait for news: others wait behind it, or have waited.
func (d *discovery) hurries() bool {
	return d.front.Router != nil && (d.parts.gained || len(d.front.Router.Wanted()) > 0)
}

// lists tells whether an entry that is read is to be kept. One of a destination that is not listed
// takes no memory, unless its name is held: it has moved there, and is gone from here.
func (d *discovery) lists(e *core.Entry, news *groups.List) bool {
	r := d.front.Router
	if r == nil || e.Phase != snowjunction.Gone && r.Lists(uint32(e.Destination)) {
		return true
	}
	if _, held := d.front.core.Table(d.front.Number).Get(e.Name); !held {
		if _, held = news.Entries.Get(e.Name); !held {
			return false
		}
	}
	*e = core.Entry{Name: e.Name, Phase: snowjunction.Gone}
	return true
}

// bounds are those of a reader of lists. With a router what is dropped does not count as an entry.
func (d *discovery) bounds() (size, entries int) {
	if d.front.Router != nil {
		return d.front.Lists.Bytes, math.MaxInt
	}
	return d.front.Lists.Bytes, d.front.Lists.Entries
}

// room tells whether the news may grow by an entry.
func (d *discovery) room(news *groups.List) error {
	if d.front.Router != nil && news.Entries.Len() >= d.front.Lists.Entries {
		return fmt.Errorf("%w: over %d entries", listing.ErrTooBig, d.front.Lists.Entries)
	}
	return nil
}

// fits tells whether an answer is restricted as it was asked for, or not at all.
func (d *discovery) fits() error {
	r := d.front.Router
	if r == nil || d.reader.Partitions == 0 || d.reader.Partitions == r.Membership().Partitions() {
		return nil
	}
	return fmt.Errorf("%w: of %d partitions, not of %d", errPartitions, d.reader.Partitions, r.Membership().Partitions())
}

// came tells that an answer has been taken; whole: it has all that is listed of what it is about.
func (d *discovery) came(whole bool) {
	r := d.front.Router
	if r == nil {
		return
	}
	p := &d.parts
	of := p.asked
	if d.reader.Partitions == 0 { // not restricted: it has all that was listed as it came
		of = p.listed
	}
	if whole {
		r.Held(without(of, p.lost))
	}
	d.front.sweepOut(p.lost) // entries may have been read before that
	p.gained, p.mayGain = p.gaining, !p.gaining
}

// gain merges the list of newly listed partitions. It is younger than what is held of the others,
// which the next watch brings to its state, and may not fit with it: an endpoint has gone there,
// and its address has come here. The whole list is asked for then.
func (d *discovery) gain() {
	d.news.Full = false
	p := &d.parts
	if err := d.front.core.Listed(d.front.Number, d.news); err != nil {
		d.front.Log.Info("newly listed partitions do not fit with what is held", "err", err)
		p.gained, d.known = true, false
	} else {
		p.some = max(1, min(gainGrowth*len(p.asked), len(p.asked)*gainSize/max(d.reader.Size(), 1)))
		d.came(true)
		d.front.Log.Debug("partitions gained", "asked", len(p.asked), "wanted", len(d.front.Router.Wanted()), "entries", d.news.Entries.Len())
	}
	d.news = nil
	d.watch()
}

// without is a without those of b.
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

// Routing is what a courier's router goes by: the longest deadline of a class in order, and how
// long a message may be on its way and its key rests after that.
func Routing(s snowjunction.Settings, self, region string, linger time.Duration) partition.Options {
	o := partition.Options{Self: self, Region: region, Linger: linger, Rest: patience + s.OrderSettle}
	for _, class := range s.Classes {
		if class.InOrder {
			o.Longest = max(o.Longest, class.Deadline)
		}
	}
	return o
}

// Adopt takes another membership. What it has this courier list is asked for at the next ask,
// and what it has it list no longer goes once it has lingered.
func (f *Front) Adopt(m *partition.Membership) {
	was := f.Router.Listed()
	f.Router.Adopt(m, f.since())
	f.unlist(without(was, f.Router.Listed()))
	f.linger()
}

// linger looks now and then for what has lingered for long enough.
func (f *Front) linger() {
	f.lingers.Stop()
	if !f.Router.Lingers() {
		return
	}
	f.lingers = f.Loop.After(lingerLook, func() {
		calling := map[int]bool{}
		for d := range f.core.Calling() {
			calling[partition.Of(uint32(d), f.Router.Membership().Partitions())] = true
		}
		f.unlist(f.Router.Expire(f.since(), func(p int) bool { return calling[p] }))
		f.linger()
	})
}

// unlist takes out what was listed and is no longer.
func (f *Front) unlist(lost []int) {
	f.discovery.parts.lost = append(f.discovery.parts.lost, lost...)
	f.sweepOut(lost)
}

// sweepOut has the entries of partitions taken out of the table, in slices.
func (f *Front) sweepOut(lost []int) {
	if len(lost) == 0 || f.core == nil {
		return
	}
	begins := f.sweeping == nil
	if begins {
		f.sweeping = &sweep{of: map[int]bool{}}
	}
	for _, p := range lost {
		f.sweeping.of[p] = true
	}
	f.sweeping.at = math.MaxInt
	if begins {
		f.Loop.Slices(func() bool { return f.sweepSome(sweepSlice) })
	}
}

// sweepSome looks through so many entries, from the end of the table on: what takes the place of
// one that is taken out has been looked at. It tells whether more are left.
func (f *Front) sweepSome(n int) (more bool) {
	s := f.sweeping
	if s == nil {
		return false
	}
	table := f.core.Table(f.Number)
	s.at = min(s.at, table.Len())
	news, from := groups.NewList(false), max(0, s.at-n)
	for i := from; i < s.at; i++ {
		if e := table.Nth(i); s.of[partition.Of(uint32(e.Destination), f.Router.Membership().Partitions())] {
			_ = news.Add(core.Entry{Name: e.Name, Phase: snowjunction.Gone}) // names differ within a table
		}
	}
	s.at = from
	if from == 0 {
		f.sweeping = nil
	}
	if news.Entries.Len() > 0 {
		_ = f.core.Listed(f.Number, news) // what goes always fits
	}
	return f.sweeping != nil
}

// sweepNow ends a sweep: a full list is judged against what is held, which must be of what is
// still listed.
func (f *Front) sweepNow() { f.sweepSome(math.MaxInt / 2) }

// listed cuts the list that the front starts with to what the router lists, and tells of which
// partitions it has all. A list of another number of partitions has nothing that can be used.
func (f *Front) listed(known Begin) (Begin, []int) {
	if f.Router == nil || !known.Held {
		return known, nil
	}
	n, of := f.Router.Membership().Partitions(), f.Router.Listed()
	switch known.Partitions {
	case 0:
	case n:
		of = slices.DeleteFunc(of, func(p int) bool {
			_, has := slices.BinarySearch(known.Of, p)
			return !has
		})
	default:
		f.Log.Warn("the known list is of another number of partitions", "partitions", known.Partitions, "now", n)
		return Begin{}, nil
	}
	var targets []core.Entry
	for _, e := range known.Targets {
		if _, held := slices.BinarySearch(of, partition.Of(uint32(e.Destination), n)); held {
			targets = append(targets, e)
		}
	}
	known.Targets = targets
	return known, of
}

// Holds tells of which partitions, of how many, the list is held whole; of 0: it is not divided.
func (f *Front) Holds() (partitions int, of []int) {
	if f.Router == nil {
		return 0, nil
	}
	return f.Router.Membership().Partitions(), without(f.Router.Listed(), f.Router.Wanted())
}
