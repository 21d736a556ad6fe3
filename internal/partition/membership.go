// Package partition divides the destinations among the couriers of a fleet: a few couriers own each
// partition, read its part of the list and call its endpoints; the others forward messages to them.
// It does no I/O, reads no clock and starts no goroutine.
//
// Ownership follows from the members alone, by weighted rendezvous hashing: a member that joins or
// leaves moves only the partitions that it owns. Each region has its own owners of every partition,
// so that regions that lose contact with each other continue to work.
package partition

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Limits of a membership.
const (
	MaxPartitions = 1 << 16 // maximum number of partitions
	MaxMembers    = 1 << 14
	CopiesMax     = 4
)

// ErrMembers wraps the reason why a membership is invalid.
var ErrMembers = errors.New("invalid membership")

// Member is a courier that owns partitions.
type Member struct {
	Name   string  // unique
	Addr   string  // where clients, and couriers that forward, connect to it
	Region string  // each region has its own owners of every partition
	Zone   string  // owners of one partition are in different zones if the region has several
	Weight float64 // relative share of its region's partitions; zero means 1
}

func (m Member) weight() float64 {
	if m.Weight == 0 {
		return 1
	}
	return m.Weight
}

// Membership is one courier's view of which members own which partitions. It is immutable.
type Membership struct {
	partitions      int
	copies          int
	members         []Member  // sorted by name
	nameHashes      []uint64  // hashes of the names, indexed like members
	weights         []float64 // indexed like members
	partitionHashes []uint64  // hashes of the partition numbers
	regions         []region  // sorted by name
}

type region struct {
	name    string
	members []int32 // indexes into Membership.members
	owners  []int32 // copies entries per partition, the preferred owner first; -1 if there is no further member
}

// New returns the membership of the given members. Each region has the given number of copies of
// each partition, or fewer if it has fewer members.
func New(partitions, copies int, members []Member) (*Membership, error) {
	return (*Membership)(nil).with(partitions, copies, members)
}

// WithMembers returns a membership with other members. Its cost depends on how many members changed.
func (m *Membership) WithMembers(members []Member) (*Membership, error) {
	return m.with(m.partitions, m.copies, members)
}

func (m *Membership) with(partitions, copies int, members []Member) (*Membership, error) {
	bad := func(format string, args ...any) (*Membership, error) {
		return nil, fmt.Errorf("%w: %s", ErrMembers, fmt.Sprintf(format, args...))
	}
	switch {
	case partitions < 1 || partitions > MaxPartitions:
		return bad("%d partitions are not between 1 and %d", partitions, MaxPartitions)
	case copies < 1 || copies > CopiesMax:
		return bad("%d copies are not between 1 and %d", copies, CopiesMax)
	case len(members) > MaxMembers:
		return bad("%d members are more than %d", len(members), MaxMembers)
	}
	n := &Membership{partitions: partitions, copies: copies, members: slices.Clone(members)}
	slices.SortFunc(n.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	addrs := map[string]string{}
	for i, x := range n.members {
		switch {
		case x.Name == "":
			return bad("a member has no name")
		case i > 0 && n.members[i-1].Name == x.Name:
			return bad("%q is named twice", x.Name)
		case addrs[x.Addr] != "":
			return bad("%q and %q have one address, %s", addrs[x.Addr], x.Name, x.Addr)
		case !(x.weight() > 0) || math.IsInf(x.Weight, 0):
			return bad("%q: weight %g is not positive", x.Name, x.Weight)
		}
		addrs[x.Addr] = x.Name
		n.nameHashes = append(n.nameHashes, xxhash.Sum64String(x.Name))
		n.weights = append(n.weights, x.weight())
	}
	if m != nil && m.partitions == partitions {
		n.partitionHashes = m.partitionHashes
	} else {
		n.partitionHashes = make([]uint64, partitions)
		for p := range n.partitionHashes {
			n.partitionHashes[p] = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(p)))
		}
	}
	for i, x := range n.members {
		at, found := slices.BinarySearchFunc(n.regions, x.Region, func(r region, name string) int { return cmp.Compare(r.name, name) })
		if !found {
			n.regions = slices.Insert(n.regions, at, region{name: x.Region})
		}
		n.regions[at].members = append(n.regions[at].members, int32(i))
	}
	for i := range n.regions {
		n.assignOwners(&n.regions[i], m)
	}
	return n, nil
}

// assignOwners computes a region's owners. A partition keeps its owners if no new or changed member
// wins it and none of its owners left or changed.
func (m *Membership) assignOwners(r *region, before *Membership) {
	r.owners = make([]int32, m.partitions*m.copies)
	var old *region     // members that are new or changed
	var changed []int32 // members that the old region did not have as they are
	// number maps the indexes of unchanged members before the change to those after it.
	newIndex := map[int32]int32{}
	if before != nil && before.partitions == m.partitions && before.copies == m.copies {
		if at, found := slices.BinarySearchFunc(before.regions, r.name, func(r region, name string) int { return cmp.Compare(r.name, name) }); found {
			old = &before.regions[at]
			oldIndex := map[string]int32{}
			for _, i := range old.members {
				oldIndex[before.members[i].Name] = i
			}
			for _, i := range r.members {
				was, ok := oldIndex[m.members[i].Name]
				if x := m.members[i]; ok && before.members[was].weight() == x.weight() && before.members[was].Zone == x.Zone {
					newIndex[was] = i
					continue
				}
				changed = append(changed, i)
			}
		}
	}
	if old == nil || len(changed) > len(r.members)/8 {
		for p := range m.partitions {
			m.electOwners(r, p)
		}
		return
	}
	for p := range m.partitions {
		if !m.keepOwners(r, old, p, newIndex, changed) {
			m.electOwners(r, p)
		}
	}
}

// keepOwners copies a partition's owners from the old region and reports whether they are still
// valid: none has left, and no new member has a higher score or, if owners share a zone, is in
// another zone.
func (m *Membership) keepOwners(r, old *region, p int, newIndex map[int32]int32, changed []int32) bool {
	own := r.owners[p*m.copies : (p+1)*m.copies]
	for i, was := range old.owners[p*m.copies : (p+1)*m.copies] {
		is, stays := newIndex[was]
		if was < 0 || !stays {
			return false
		}
		own[i] = is
	}
	if len(changed) == 0 {
		return true
	}
	least, shared := math.Inf(1), false
	for i, o := range own {
		least = min(least, m.score(o, p))
		shared = shared || !m.zoneIsFree(o, own[:i])
	}
	for _, i := range changed {
		if m.score(i, p) >= least || shared && m.zoneIsFree(i, own) {
			return false
		}
	}
	return true
}

// zoneIsFree reports whether none of the owners is in the zone of member i.
func (m *Membership) zoneIsFree(i int32, owners []int32) bool {
	return !slices.ContainsFunc(owners, func(o int32) bool { return o >= 0 && m.members[o].Zone == m.members[i].Zone })
}

// electOwners computes a partition's owners from all members of a region: those with the highest
// scores, preferring zones without an owner of the partition.
func (m *Membership) electOwners(r *region, p int) {
	own := r.owners[p*m.copies : (p+1)*m.copies]
	for n := range own {
		best, bestScore, bestInFreeZone := int32(-1), 0.0, false
		for _, i := range r.members {
			u := m.uniform(i, p)
			if bestInFreeZone && m.weights[i] < bestScore*(1-u)*roundingMargin { // -ln u is at least 1-u: most members need no logarithm
				continue
			}
			if slices.Contains(own[:n], i) {
				continue
			}
			inFreeZone := m.zoneIsFree(i, own[:n])
			s := -m.weights[i] / math.Log(u)
			if best < 0 || inFreeZone && !bestInFreeZone || inFreeZone == bestInFreeZone && s > bestScore {
				best, bestScore, bestInFreeZone = i, s, inFreeZone
			}
		}
		own[n] = best
	}
}

// roundingMargin allows for the rounding error of a logarithm.
const roundingMargin = 1 - 1e-9

// score returns a member's score for a partition, by weighted rendezvous hashing (Schindelhauer and
// Schomaker, 2005): -w / ln u.
func (m *Membership) score(i int32, p int) float64 { return -m.weights[i] / math.Log(m.uniform(i, p)) }

// uniform returns u, uniformly distributed between 0 and 1 (both excluded), from the hashes of a
// member's name and of a partition, mixed as in SplitMix64 (Steele, Lea and Flood, 2014).
func (m *Membership) uniform(i int32, p int) float64 {
	x := m.nameHashes[i] ^ m.partitionHashes[p]
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>12) + 0.5) / (1 << 52)
}

// Partitions returns the number of partitions.
func (m *Membership) Partitions() int { return m.partitions }

// Copies returns the number of owners of a partition in each region, which may be fewer if members
// are missing.
func (m *Membership) Copies() int { return m.copies }

// Regions returns the number of regions that have members.
func (m *Membership) Regions() int { return len(m.regions) }

// Of returns the partition of a destination.
func Of(destination uint32, partitions int) int {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], destination)
	return int(xxhash.Sum64(b[:]) % uint64(partitions))
}

// Members returns all members, sorted by name.
func (m *Membership) Members() []Member { return m.members }

// Member returns the member with the given name.
func (m *Membership) Member(name string) (Member, bool) {
	i, ok := m.indexOf(name)
	if !ok {
		return Member{}, false
	}
	return m.members[i], true
}

func (m *Membership) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(m.members, name, func(x Member, name string) int { return cmp.Compare(x.Name, name) })
}

// Owners returns the owners of a partition in the order in which a courier of the region near tries
// them: those of its own region first, then the other regions', which start with a different region
// for each partition.
func (m *Membership) Owners(p int, near string) (out []Member) {
	for _, i := range m.ownerIndexes(nil, p, near) {
		out = append(out, m.members[i])
	}
	return out
}

// ownerIndexes appends the indexes of the owners to out.
func (m *Membership) ownerIndexes(out []int32, p int, near string) []int32 {
	for i := range m.regions {
		if m.regions[i].name == near {
			out = m.regions[i].appendOwners(out, p, m.copies)
		}
	}
	for k := range m.regions {
		if r := &m.regions[(p+k)%len(m.regions)]; r.name != near {
			out = r.appendOwners(out, p, m.copies)
		}
	}
	return out
}

// appendOwners appends the indexes of a partition's owners in the region to out.
func (r *region) appendOwners(out []int32, p, copies int) []int32 {
	for _, i := range r.owners[p*copies : (p+1)*copies] {
		if i >= 0 {
			out = append(out, i)
		}
	}
	return out
}

// Owned returns the partitions that a member owns, in ascending order.
func (m *Membership) Owned(name string) (out []int) {
	i, ok := m.indexOf(name)
	if !ok {
		return nil
	}
	for _, r := range m.regions {
		if r.name != m.members[i].Region {
			continue
		}
		for p := range m.partitions {
			if slices.Contains(r.owners[p*m.copies:(p+1)*m.copies], int32(i)) {
				out = append(out, p)
			}
		}
	}
	return out
}
