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

// errInvalidPartitions reports invalid partitions in a request.
var errInvalidPartitions = errors.New("invalid partitions")

// maxIndexes is the number of indexes kept, one per number of partitions. A fleet uses two numbers
// while it changes from one to the other.
const maxIndexes = 2

// partitionFilter restricts a request to partitions. The zero value means no restriction.
type partitionFilter struct {
	partitions int
	numbers    []int  // sorted, without duplicates
	key        string // unambiguous form for cache keys
}

// parsePartitionFilter parses the request parameters partitions and of. Its errors wrap
// errInvalidPartitions.
func parsePartitionFilter(q url.Values) (p partitionFilter, err error) {
	if !q.Has("partitions") && !q.Has("of") {
		return partitionFilter{}, nil
	}
	bad := func(format string, args ...any) (partitionFilter, error) {
		return partitionFilter{}, fmt.Errorf("%w: %s", errInvalidPartitions, fmt.Sprintf(format, args...))
	}
	if len(q["partitions"]) != 1 || len(q["of"]) != 1 {
		return bad("the parameters partitions and of must both occur exactly once")
	}
	n, err := strconv.ParseUint(q.Get("partitions"), 10, 32)
	if err != nil || n < 1 || n > partition.MaxPartitions {
		return bad("the number of partitions %q is not between 1 and %d", q.Get("partitions"), partition.MaxPartitions)
	}
	p.partitions = int(n)
	for text := range strings.SplitSeq(q.Get("of"), ",") {
		if q.Get("of") == "" {
			break
		}
		x, err := strconv.ParseUint(text, 10, 32)
		if err != nil || x >= n || len(p.numbers) >= partition.MaxPartitions {
			return bad("%q is not one of %d partitions", text, n)
		}
		p.numbers = append(p.numbers, int(x))
	}
	slices.Sort(p.numbers)
	p.numbers = slices.Compact(p.numbers)
	p.key = fmt.Sprint(p.partitions, p.numbers)
	return p, nil
}

// covers reports whether a destination belongs to the partitions.
func (p partitionFilter) covers(destination uint32) bool {
	if p.partitions == 0 {
		return true
	}
	_, found := slices.BinarySearch(p.numbers, partition.Of(destination, p.partitions))
	return found
}

// partitionIndex finds the entries and the changes of a partition without a scan of the list.
type partitionIndex struct {
	partitions  int
	positions   [][]int32 // by partition: positions in the list
	slots       []int32   // by position in the list: index in the positions of its partition
	changes     [][]int   // by partition: numbers of its changes, oldest first
	lastChanged []uint64  // by partition: generation of its last known change
}

func (x *partitionIndex) partitionOf(cell uint32) int { return partition.Of(cell, x.partitions) }

// index returns the index for a number of partitions, and builds it if necessary.
func (d *Directory) index(partitions int) *partitionIndex {
	for i, x := range d.indexes {
		if x.partitions == partitions {
			copy(d.indexes[1:], d.indexes[:i]) // moves the index to the front
			d.indexes[0] = x
			return x
		}
	}
	x := &partitionIndex{partitions: partitions, positions: make([][]int32, partitions), changes: make([][]int, partitions), lastChanged: make([]uint64, partitions)}
	for i, e := range d.list {
		x.add(e.Cell, i)
	}
	for i, c := range d.changes {
		x.recordChange(c, d.discardedChanges+i)
	}
	d.indexes = slices.Insert(d.indexes, 0, x)
	d.indexes = d.indexes[:min(len(d.indexes), maxIndexes)]
	return x
}

// add records an entry that was appended to the list.
func (x *partitionIndex) add(cell uint32, position int) {
	p := x.partitionOf(cell)
	x.slots = append(x.slots, int32(len(x.positions[p])))
	x.positions[p] = append(x.positions[p], int32(position))
}

// remove records that the entry at a position was removed and replaced by the last entry of the list,
// whose cell is endCell.
func (x *partitionIndex) remove(cell uint32, position int, endCell uint32) {
	x.unlink(cell, position)
	if end := len(x.slots) - 1; end != position {
		x.positions[x.partitionOf(endCell)][x.slots[end]] = int32(position)
		x.slots[position] = x.slots[end]
	}
	x.slots = x.slots[:len(x.slots)-1]
}

// unlink removes a position from its partition.
func (x *partitionIndex) unlink(cell uint32, position int) {
	p := x.partitionOf(cell)
	at, end := x.slots[position], len(x.positions[p])-1
	x.positions[p][at] = x.positions[p][end]
	x.slots[x.positions[p][at]] = at
	x.positions[p] = x.positions[p][:end]
}

// move records that the entry at a position belongs to another cell now.
func (x *partitionIndex) move(from, to uint32, position int) {
	if x.partitionOf(from) == x.partitionOf(to) {
		return
	}
	x.unlink(from, position)
	p := x.partitionOf(to)
	x.slots[position] = int32(len(x.positions[p]))
	x.positions[p] = append(x.positions[p], int32(position))
}

// affected returns the partitions of a change: those of the present and of the previous cell.
func (x *partitionIndex) affected(c change) (out []int) {
	if !c.wasListed || c.instance.Lifecycle != "Gone" { // a removed entry need not name its cell
		out = append(out, x.partitionOf(c.instance.Cell))
	}
	if p := x.partitionOf(c.previousCell); c.wasListed && !slices.Contains(out, p) {
		out = append(out, p)
	}
	return out
}

// recordChange records a change under its number.
func (x *partitionIndex) recordChange(c change, number int) {
	for _, p := range x.affected(c) {
		x.changes[p] = append(x.changes[p], number)
		x.lastChanged[p] = c.generation
	}
}

// discardChange removes the oldest change, which is no longer kept.
func (x *partitionIndex) discardChange(c change) {
	for _, p := range x.affected(c) {
		x.changes[p] = x.changes[p][1:]
	}
}

// changedSince reports whether something has changed in the partitions since a generation.
func (d *Directory) changedSince(filter partitionFilter, after uint64) bool {
	x := d.index(filter.partitions)
	return slices.ContainsFunc(filter.numbers, func(n int) bool { return x.lastChanged[n] > after })
}

// entriesOf returns the entries of the partitions.
func (d *Directory) entriesOf(filter partitionFilter) []Instance {
	x, out := d.index(filter.partitions), []Instance{}
	for _, n := range filter.numbers {
		for _, at := range x.positions[n] {
			out = append(out, d.list[at])
		}
	}
	return out
}

// changesOf returns the changes in the partitions since a generation, in order.
func (d *Directory) changesOf(filter partitionFilter, after uint64) (out []Instance) {
	x := d.index(filter.partitions)
	var numbers []int
	for _, n := range filter.numbers {
		all := x.changes[n]
		for i := len(all) - 1; i >= 0 && d.changes[all[i]-d.discardedChanges].generation > after; i-- {
			numbers = append(numbers, all[i])
		}
	}
	slices.Sort(numbers)
	for _, n := range slices.Compact(numbers) { // an entry that moves affects two partitions
		out = append(out, d.changes[n-d.discardedChanges].instance)
	}
	return out
}

// SetPartitionSupport sets whether the directory supports the request parameters that name partitions.
// Initially it does; otherwise it ignores them.
func (d *Directory) SetPartitionSupport(supported bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoresPartitions = !supported
	d.notifyWatchers()
}
