package partition

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet returns n members, distributed over regions and zones by number.
func fleet(n, regions, zones int) (out []Member) {
	for i := range n {
		out = append(out, Member{
			Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("127.0.%d.%d:6379", i>>8, i&0xff),
			Region: fmt.Sprintf("r%d", i%regions), Zone: fmt.Sprintf("z%d", i%zones),
		})
	}
	return out
}

func membership(t require.TestingT, partitions, copies int, members []Member) *Membership {
	m, err := New(partitions, copies, members)
	require.NoError(t, err)
	return m
}

func names(members []Member) (out []string) {
	for _, x := range members {
		out = append(out, x.Name)
	}
	return out
}

// A member that leaves moves only the partitions that it owned, and the incremental result is the
// same as that of a new membership.
func TestMemberLeaves(t *testing.T) {
	all := fleet(40, 2, 4)
	before, err := New(512, 2, all)
	require.NoError(t, err)
	after, err := before.WithMembers(append(all[:7:7], all[8:]...))
	require.NoError(t, err)
	fromScratch, err := New(512, 2, append(all[:7:7], all[8:]...))
	require.NoError(t, err)
	for p := range 512 {
		for _, near := range []string{"r0", "r1"} {
			was, is := before.Owners(p, near), after.Owners(p, near)
			require.Equal(t, fromScratch.Owners(p, near), is)
			if assert.Len(t, is, len(was)); !slices.Contains(names(was), "n7") {
				require.Equal(t, was, is)
			}
		}
	}
}

func TestInvalidMembers(t *testing.T) {
	one := Member{Name: "a", Addr: "127.0.0.1:1"}
	for want, tc := range map[string]struct {
		partitions, copies int
		members            []Member
	}{
		"0 partitions are not between 1 and 65536":     {0, 1, []Member{one}},
		"65537 partitions are not between 1 and 65536": {MaxPartitions + 1, 1, []Member{one}},
		"0 copies are not between 1 and 4":             {8, 0, []Member{one}},
		"5 copies are not between 1 and 4":             {8, 5, []Member{one}},
		"16385 members are more than 16384":            {8, 1, make([]Member, MaxMembers+1)},
		"a member has no name":                         {8, 1, []Member{one, {Addr: "127.0.0.1:2"}}},
		`"a" is named twice`:                           {8, 1, []Member{one, {Name: "a", Addr: "127.0.0.1:2"}}},
		`"a" and "b" have one address, 127.0.0.1:1`:    {8, 1, []Member{{Name: "b", Addr: one.Addr}, one}},
		`"b": weight -1 is not positive`:               {8, 1, []Member{one, {Name: "b", Weight: -1}}},
		`"b": weight +Inf is not positive`:             {8, 1, []Member{one, {Name: "b", Weight: math.Inf(1)}}},
		`"b": weight NaN is not positive`:              {8, 1, []Member{one, {Name: "b", Weight: math.NaN()}}},
	} {
		_, err := New(tc.partitions, tc.copies, tc.members)
		require.ErrorIs(t, err, ErrMembers, want)
		assert.ErrorContains(t, err, want)
	}
	m := membership(t, 8, 1, nil)
	assert.Empty(t, m.Owners(3, "r0"), "there are no members")
	assert.Empty(t, m.Owned("a"))
	_, found := m.Member("a")
	assert.False(t, found)
}

// randomFleet returns a fleet with random weights and a random number of regions and zones.
func randomFleet(t *rapid.T) []Member {
	all := fleet(rapid.IntRange(0, 60).Draw(t, "members"), 1, 1)
	regions, zones := rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 4).Draw(t, "zones")
	for i := range all {
		all[i].Region = fmt.Sprint("r", rapid.IntRange(0, regions-1).Draw(t, "region"))
		all[i].Zone = fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone"))
		all[i].Weight = rapid.SampledFrom([]float64{0, 1, 0.25, 3}).Draw(t, "weight")
	}
	return all
}

// randomChanges returns a fleet after some random changes, in another order.
func randomChanges(t *rapid.T, all []Member, step int) []Member {
	all = slices.Clone(all)
	for n := range rapid.IntRange(0, 4).Draw(t, "changes") {
		what := rapid.IntRange(0, 5).Draw(t, "what")
		if len(all) == 0 || what == 0 {
			all = append(all, Member{
				Name: fmt.Sprintf("new%d-%d", step, n), Addr: fmt.Sprintf("127.9.%d.%d:1", step, n),
				Region: fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "region")), Zone: fmt.Sprint("z", rapid.IntRange(0, 5).Draw(t, "zone")),
			})
			continue
		}
		i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
		switch what {
		case 1:
			all = slices.Delete(all, i, i+1)
		case 2:
			all[i].Weight = rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "weight")
		case 3:
			all[i].Zone = fmt.Sprint("z", rapid.IntRange(0, 5).Draw(t, "zone"))
		case 4:
			all[i].Region = fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "region"))
		case 5:
			all[i].Addr = fmt.Sprintf("127.8.%d.%d:1", step, n)
		}
	}
	return rapid.Permutation(all).Draw(t, "order")
}

// For any change, the incremental result equals that of a new membership. In each region a
// partition has as many owners as possible, all different and in as many zones as possible. With
// one owner per region, a partition changes its owner only if the old or the new owner joined, left
// or changed its region, zone or weight.
func TestIncrementalMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := randomFleet(t)
		copies := rapid.IntRange(1, 4).Draw(t, "copies")
		const partitions = 64
		m := membership(t, partitions, copies, all)
		for step := range rapid.IntRange(1, 4).Draw(t, "steps") {
			next := randomChanges(t, all, step)
			after, err := m.WithMembers(next)
			require.NoError(t, err)
			fromScratch := membership(t, partitions, copies, next)
			require.Equal(t, fromScratch.regions, after.regions)
			require.Equal(t, fromScratch.members, after.members)

			members, zones, same := map[string]int{}, map[string]map[string]bool{}, map[string]bool{}
			for _, x := range next {
				if zones[x.Region] == nil {
					zones[x.Region] = map[string]bool{}
				}
				members[x.Region]++
				zones[x.Region][x.Zone] = true
				was, ok := m.Member(x.Name)
				same[x.Name] = ok && was.Region == x.Region && was.weight() == x.weight()
			}
			for p := range partitions {
				owners := after.Owners(p, "r0")
				for r, n := range members {
					own, in, where := map[string]bool{}, map[string]bool{}, []string(nil)
					for _, o := range owners {
						if o.Region == r {
							own[o.Name], in[o.Zone], where = true, true, append(where, o.Name)
						}
					}
					require.Len(t, own, min(copies, n), "owners of %d in %s: %v", p, r, where)
					require.Len(t, in, min(copies, len(zones[r])), "zones of %d in %s", p, r)
					require.Len(t, where, len(own), "a member is listed twice as an owner")
					if copies > 1 {
						continue
					}
					for _, was := range m.Owners(p, "r0") {
						if was.Region == r && was.Name != where[0] {
							require.True(t, !same[was.Name] || !same[where[0]], "%d moved from %s to %s without need", p, was.Name, where[0])
						}
					}
				}
			}
			all, m = next, after
		}
	})
}

// A member in its own zone becomes an owner next to members that share a zone, even with the lowest
// score.
func TestMemberInNewZone(t *testing.T) {
	all := fleet(16, 1, 1)
	before := membership(t, 256, 2, all)
	all = append(all, Member{Name: "far", Addr: "127.1.0.1:1", Region: "r0", Zone: "other"})
	after, err := before.WithMembers(all)
	require.NoError(t, err)
	assert.Len(t, after.Owned("far"), 256)
}

// The owners of the courier's own region come first; which other region follows differs by
// partition.
func TestNearOwnersFirst(t *testing.T) {
	m := membership(t, 64, 2, fleet(30, 3, 5))
	firsts := map[string]int{}
	for p := range 64 {
		var regions []string
		for _, o := range m.Owners(p, "r1") {
			regions = append(regions, o.Region)
		}
		require.Len(t, regions, 6)
		assert.Equal(t, []string{"r1", "r1"}, regions[:2])
		assert.Equal(t, regions[2], regions[3])
		firsts[regions[2]]++
		assert.Len(t, m.Owners(p, "nowhere"), 6)
	}
	assert.Len(t, firsts, 2)
}

// Members own partitions in proportion to their weight. The names and the hash are fixed, and
// therefore the counts are too.
func TestOwnershipByWeight(t *testing.T) {
	all := fleet(40, 1, 4)
	sum := 0.0
	for i := range all {
		all[i].Weight = float64(1 + i%4)
		sum += all[i].Weight
	}
	const partitions = 1 << 14
	m := membership(t, partitions, 1, all)
	owned := 0
	for _, x := range all {
		n := len(m.Owned(x.Name))
		want := partitions * x.Weight / sum
		assert.InDelta(t, want, n, 4*math.Sqrt(want), "%s of weight %g", x.Name, x.Weight)
		owned += n
	}
	assert.Equal(t, partitions, owned)
}

// One of 3,400 members in three regions that leaves or returns moves only the partitions that it
// owns: about 1/3,400 of the 3 x 16,384 copies.
func TestMemberLeavesLargeFleet(t *testing.T) {
	const partitions = 1 << 14
	all := fleet(3400, 3, 4)
	before := membership(t, partitions, 1, all)
	after, err := before.WithMembers(slices.Delete(slices.Clone(all), 1700, 1701))
	require.NoError(t, err)
	restored, err := after.WithMembers(all)
	require.NoError(t, err)
	assert.Equal(t, before.regions, restored.regions)
	own := before.Owned(all[1700].Name)
	assert.Equal(t, own, movedPartitions(before, after))
	assert.Equal(t, own, movedPartitions(after, restored))
	mean := 3 * partitions / 3400.0
	assert.InDelta(t, mean, len(own), 4*math.Sqrt(mean))
	places := 0
	for _, x := range all {
		places += len(before.Owned(x.Name))
	}
	assert.Equal(t, 3*partitions, places)
}

// movedPartitions returns the partitions whose owners differ.
func movedPartitions(a, b *Membership) (out []int) {
	for p := range a.partitions {
		if !slices.Equal(names(a.Owners(p, "")), names(b.Owners(p, ""))) {
			out = append(out, p)
		}
	}
	return out
}

// Destinations are distributed evenly over the partitions.
func TestDestinationsSpread(t *testing.T) {
	const partitions, each = 256, 400
	var n [partitions]int
	for d := range uint32(partitions * each) {
		n[Of(d, partitions)]++
	}
	for p, got := range n {
		assert.InDelta(t, each, got, 5*math.Sqrt(each), "partition %d", p)
	}
}
