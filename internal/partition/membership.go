// Package partition divides the destinations among the couriers of a fleet: a few own each
// partition, read its part of the list and call its endpoints; the others forward to them. It
// does no I/O, reads no clock and starts no goroutine.
//
// Who owns what follows from the members alone, by weighted rendezvous hashing: a member that
// comes or goes moves what it owns and nothing else. Each region has owners of its own for every
// partition, so that regions that lose each other go on.
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

// Bounds of a membership.
const (
	Most       = 1 << 16 // partitions
	MembersMax = 1 << 14
	CopiesMax  = 4
)

// ErrMembers wraps what is wrong with a membership.
var ErrMembers = errors.New("invalid membership")

// Member is a courier that owns partitions.
type Member struct {
	Name   string  // unique
	Addr   string  // where clients, and the couriers that forward, reach it
	Region string  // each has owners of its own
	Zone   string  // owners of one partition stand in different ones, where a region has several
	Weight float64 // of its region's partitions it owns a part that goes by it; 0: 1
}

func (m Member) weight() float64 {
	if m.Weight == 0 {
		return 1
	}
	return m.Weight
}

// Membership is who owns which partition, as one courier sees it. It does not change; With makes
// another of it.
type Membership struct {
	partitions int
	copies     int
	members    []Member  // by name
	names      []uint64  // hashes, as members
	weights    []float64 // as members
	places     []uint64  // hashes of the partitions
	regions    []region  // by name
}

type region struct {
	name    string
	members []int32 // numbers in Membership.members
	owners  []int32 // copies of each partition, the first choice first; none: -1
}

// New returns the membership of members: in each region so many copies of each partition, as far
// as it has members for them.
func New(partitions, copies int, members []Member) (*Membership, error) {
	return (*Membership)(nil).with(partitions, copies, members)
}

// With returns the membership of other members. It costs what has changed.
func (m *Membership) With(members []Member) (*Membership, error) {
	return m.with(m.partitions, m.copies, members)
}

func (m *Membership) with(partitions, copies int, members []Member) (*Membership, error) {
	bad := func(format string, args ...any) (*Membership, error) {
		return nil, fmt.Errorf("%w: %s", ErrMembers, fmt.Sprintf(format, args...))
	}
	switch {
	case partitions < 1 || partitions > Most:
		return bad("%d partitions are not between 1 and %d", partitions, Most)
	case copies < 1 || copies > CopiesMax:
		return bad("%d copies are not between 1 and %d", copies, CopiesMax)
	case len(members) > MembersMax:
		return bad("%d members are more than %d", len(members), MembersMax)
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
			return bad("%q: a weight of %g is not over 0", x.Name, x.Weight)
		}
		addrs[x.Addr] = x.Name
		n.names = append(n.names, xxhash.Sum64String(x.Name))
		n.weights = append(n.weights, x.weight())
	}
	if m != nil && m.partitions == partitions {
		n.places = m.places
	} else {
		n.places = make([]uint64, partitions)
		for p := range n.places {
			n.places[p] = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(p)))
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
		n.assign(&n.regions[i], m)
	}
	return n, nil
}

// assign finds a region's owners. Of a partition that none of the members that came or changed
// wins, and none that left or changed owned, the owners stay as in the membership before.
func (m *Membership) assign(r *region, before *Membership) {
	r.owners = make([]int32, m.partitions*m.copies)
	var old *region
	var came []int32 // members that the old region did not have as they are
	number := map[int32]int32{}
	if before != nil && before.partitions == m.partitions && before.copies == m.copies {
		if at, found := slices.BinarySearchFunc(before.regions, r.name, func(r region, name string) int { return cmp.Compare(r.name, name) }); found {
			old = &before.regions[at]
			had := map[string]int32{}
			for _, i := range old.members {
				had[before.members[i].Name] = i
			}
			for _, i := range r.members {
				was, ok := had[m.members[i].Name]
				if x := m.members[i]; ok && before.members[was].weight() == x.weight() && before.members[was].Zone == x.Zone {
					number[was] = i
					continue
				}
				came = append(came, i)
			}
		}
	}
	if old == nil || len(came) > len(r.members)/8 {
		for p := range m.partitions {
			m.elect(r, p)
		}
		return
	}
	for p := range m.partitions {
		if !m.keep(r, old, p, number, came) {
			m.elect(r, p)
		}
	}
}

// keep takes a partition's owners over from the old region, and tells whether they stay the same:
// none has gone, and none that came has a higher score or, where owners share a zone, another zone.
func (m *Membership) keep(r, old *region, p int, number map[int32]int32, came []int32) bool {
	own := r.owners[p*m.copies : (p+1)*m.copies]
	for i, was := range old.owners[p*m.copies : (p+1)*m.copies] {
		is, stays := number[was]
		if was < 0 || !stays {
			return false
		}
		own[i] = is
	}
	if len(came) == 0 {
		return true
	}
	least, shared := math.Inf(1), false
	for i, o := range own {
		least = min(least, m.score(o, p))
		shared = shared || !m.alone(o, own[:i])
	}
	for _, i := range came {
		if m.score(i, p) >= least || shared && m.alone(i, own) {
			return false
		}
	}
	return true
}

// alone tells whether none of the owners stands in a member's zone.
func (m *Membership) alone(i int32, owners []int32) bool {
	return !slices.ContainsFunc(owners, func(o int32) bool { return o >= 0 && m.members[o].Zone == m.members[i].Zone })
}

// elect finds a partition's owners among all members of a region: the highest scores, first those
// of zones that have none of them yet.
func (m *Membership) elect(r *region, p int) {
	own := r.owners[p*m.copies : (p+1)*m.copies]
	for n := range own {
		best, high, apart := int32(-1), 0.0, false
		for _, i := range r.members {
			u := m.draw(i, p)
			if apart && m.weights[i] < high*(1-u)*notLess { // -ln u is at least 1-u: most need no logarithm
				continue
			}
			if slices.Contains(own[:n], i) {
				continue
			}
			alone := m.alone(i, own[:n])
			s := -m.weights[i] / math.Log(u)
			if best < 0 || alone && !apart || alone == apart && s > high {
				best, high, apart = i, s, alone
			}
		}
		own[n] = best
	}
}

// notLess is room for the rounding of a logarithm.
const notLess = 1 - 1e-9

// score is a member's for a partition, by weighted rendezvous hashing (Schindelhauer and
// Schomaker, 2005): -w / ln u.
func (m *Membership) score(i int32, p int) float64 { return -m.weights[i] / math.Log(m.draw(i, p)) }

// draw is u, drawn evenly from between 0 and 1, neither of them, by the hash of a member's name
// and that of a partition, mixed as in SplitMix64 (Steele, Lea and Flood, 2014).
func (m *Membership) draw(i int32, p int) float64 {
	x := m.names[i] ^ m.places[p]
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>12) + 0.5) / (1 << 52)
}

// Partitions is how many there are.
func (m *Membership) Partitions() int { return m.partitions }

// Copies is how many owners a partition has in each region, as far as there are members.
func (m *Membership) Copies() int { return m.copies }

// Regions is in how many the members stand.
func (m *Membership) Regions() int { return len(m.regions) }

// Of is the partition of a destination.
func Of(destination uint32, partitions int) int {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], destination)
	return int(xxhash.Sum64(b[:]) % uint64(partitions))
}

// Members are all, by name.
func (m *Membership) Members() []Member { return m.members }

// Member finds one by its name.
func (m *Membership) Member(name string) (Member, bool) {
	i, ok := m.find(name)
	if !ok {
		return Member{}, false
	}
	return m.members[i], true
}

func (m *Membership) find(name string) (int, bool) {
	return slices.BinarySearchFunc(m.members, name, func(x Member, name string) int { return cmp.Compare(x.Name, name) })
}

// Owners are the owners of a partition as a courier of a region turns to them: its own region's
// first, then the others', whose order is another for each partition.
func (m *Membership) Owners(p int, near string) (out []Member) {
	for _, i := range m.owners(nil, p, near) {
		out = append(out, m.members[i])
	}
	return out
}

// owners appends their numbers to out.
func (m *Membership) owners(out []int32, p int, near string) []int32 {
	for i := range m.regions {
		if m.regions[i].name == near {
			out = m.regions[i].of(out, p, m.copies)
		}
	}
	for k := range m.regions {
		if r := &m.regions[(p+k)%len(m.regions)]; r.name != near {
			out = r.of(out, p, m.copies)
		}
	}
	return out
}

// of appends a partition's owners in the region to out.
func (r *region) of(out []int32, p, copies int) []int32 {
	for _, i := range r.owners[p*copies : (p+1)*copies] {
		if i >= 0 {
			out = append(out, i)
		}
	}
	return out
}

// Owned are the partitions that a member owns, in order.
func (m *Membership) Owned(name string) (out []int) {
	i, ok := m.find(name)
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
