package standin

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"snowjunction/internal/partition"
)

// errParts wraps what is wrong with the partitions that an ask names.
var errParts = errors.New("invalid partitions")

// indexesMost is for how many numbers of partitions there are indexes: a fleet that changes its
// number has two for a while.
const indexesMost = 2

// parts is what an ask is restricted to; of zero partitions it is not.
type parts struct {
	partitions int
	of         []int // in order, each once
	text       string
}

// askedParts reads the parameters. Its errors wrap errParts.
func askedParts(q url.Values) (p parts, err error) {
	if !q.Has("partitions") && !q.Has("of") {
		return parts{}, nil
	}
	bad := func(format string, args ...any) (parts, error) {
		return parts{}, fmt.Errorf("%w: %s", errParts, fmt.Sprintf(format, args...))
	}
	if len(q["partitions"]) != 1 || len(q["of"]) != 1 {
		return bad("partitions and of come together, once")
	}
	n, err := strconv.ParseUint(q.Get("partitions"), 10, 32)
	if err != nil || n < 1 || n > partition.MaxPartitions {
		return bad("%q partitions are not between 1 and %d", q.Get("partitions"), partition.MaxPartitions)
	}
	p.partitions = int(n)
	for text := range strings.SplitSeq(q.Get("of"), ",") {
		if q.Get("of") == "" {
			break
		}
		x, err := strconv.ParseUint(text, 10, 32)
		if err != nil || x >= n || len(p.of) >= partition.MaxPartitions {
			return bad("%q is none of %d", text, n)
		}
		p.of = append(p.of, int(x))
	}
	slices.Sort(p.of)
	p.of = slices.Compact(p.of)
	p.text = fmt.Sprint(p.partitions, p.of)
	return p, nil
}

// concerns tells whether a destination is of the partitions.
func (p parts) concerns(destination uint32) bool {
	if p.partitions == 0 {
		return true
	}
	_, found := slices.BinarySearch(p.of, partition.Of(destination, p.partitions))
	return found
}

// index finds what is listed and what has changed by partition, without a walk of the list.
type index struct {
	partitions int
	listed     [][]int32 // by partition: places in the list
	slot       []int32   // by place in the list: where its partition has it
	changed    [][]int   // by partition: numbers of changes, the youngest at the end
	last       []uint64  // by partition: the generation of its last change that is known
}

func (x *index) of(cell uint32) int { return partition.Of(cell, x.partitions) }

// index returns the one for so many partitions, made now if need be.
func (d *Directory) index(partitions int) *index {
	for i, x := range d.indexes {
		if x.partitions == partitions {
			copy(d.indexes[1:], d.indexes[:i]) // the last used comes first
			d.indexes[0] = x
			return x
		}
	}
	x := &index{partitions: partitions, listed: make([][]int32, partitions), changed: make([][]int, partitions), last: make([]uint64, partitions)}
	for i, e := range d.list {
		x.add(e.Cell, i)
	}
	for i, c := range d.changes {
		x.change(c, d.dropped+i)
	}
	d.indexes = slices.Insert(d.indexes, 0, x)
	d.indexes = d.indexes[:min(len(d.indexes), indexesMost)]
	return x
}

// add tells that an entry stands at the end of the list.
func (x *index) add(cell uint32, place int) {
	p := x.of(cell)
	x.slot = append(x.slot, int32(len(x.listed[p])))
	x.listed[p] = append(x.listed[p], int32(place))
}

// take tells that an entry leaves its place, which the entry at the end of the list, of another
// cell perhaps, takes.
func (x *index) take(cell uint32, place int, endCell uint32) {
	x.unlink(cell, place)
	if end := len(x.slot) - 1; end != place {
		x.listed[x.of(endCell)][x.slot[end]] = int32(place)
		x.slot[place] = x.slot[end]
	}
	x.slot = x.slot[:len(x.slot)-1]
}

// unlink takes a place out of its partition.
func (x *index) unlink(cell uint32, place int) {
	p := x.of(cell)
	at, end := x.slot[place], len(x.listed[p])-1
	x.listed[p][at] = x.listed[p][end]
	x.slot[x.listed[p][at]] = at
	x.listed[p] = x.listed[p][:end]
}

// move tells that the entry at a place is of another cell now.
func (x *index) move(from, to uint32, place int) {
	if x.of(from) == x.of(to) {
		return
	}
	x.unlink(from, place)
	p := x.of(to)
	x.slot[place] = int32(len(x.listed[p]))
	x.listed[p] = append(x.listed[p], int32(place))
}

// concerns yields the partitions of a change: that of its cell, and of the one that its entry had.
func (x *index) concerns(c change) (out []int) {
	if !c.had || c.instance.Lifecycle != "Gone" { // an entry that is gone need not say of which cell
		out = append(out, x.of(c.instance.Cell))
	}
	if p := x.of(c.was); c.had && !slices.Contains(out, p) {
		out = append(out, p)
	}
	return out
}

func (x *index) change(c change, number int) {
	for _, p := range x.concerns(c) {
		x.changed[p] = append(x.changed[p], number)
		x.last[p] = c.generation
	}
}

// drop tells that the oldest change is not known any more.
func (x *index) drop(c change) {
	for _, p := range x.concerns(c) {
		x.changed[p] = x.changed[p][1:]
	}
}

// news tells whether something has changed in partitions since a generation.
func (d *Directory) news(p parts, after uint64) bool {
	x := d.index(p.partitions)
	return slices.ContainsFunc(p.of, func(n int) bool { return x.last[n] > after })
}

// part is the list of partitions.
func (d *Directory) part(p parts) []Instance {
	x, out := d.index(p.partitions), []Instance{}
	for _, n := range p.of {
		for _, at := range x.listed[n] {
			out = append(out, d.list[at])
		}
	}
	return out
}

// changesOf are the changes of partitions since a generation, in order.
func (d *Directory) changesOf(p parts, after uint64) (out []Instance) {
	x := d.index(p.partitions)
	var numbers []int
	for _, n := range p.of {
		all := x.changed[n]
		for i := len(all) - 1; i >= 0 && d.changes[all[i]-d.dropped].generation > after; i-- {
			numbers = append(numbers, all[i])
		}
	}
	slices.Sort(numbers)
	for _, n := range slices.Compact(numbers) { // one that moves concerns two
		out = append(out, d.changes[n-d.dropped].instance)
	}
	return out
}

// KnowPartitions has the directory understand the parameters that restrict an ask to partitions,
// as it does at first, or ignore them.
func (d *Directory) KnowPartitions(know bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignores = !know
	d.wake()
}
