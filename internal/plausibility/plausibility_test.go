package plausibility

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newRetainingJudge() *Checker {
	c := Default()
	c.RetainOmitted = true
	return New(c)
}

const s = time.Second

func TestCollapse(t *testing.T) {
	j := newRetainingJudge()
	assert.Empty(t, j.CheckList(0, Comparison{InUse: 0, Listed: 10, Sum: 1}))
	assert.Empty(t, j.CheckList(s, Comparison{InUse: 10, Listed: 5, Omitted: 5, Sum: 2}), "half is not more than half")
	transitions := j.CheckList(2*s, Comparison{InUse: 10, Listed: 0, Omitted: 10, Sum: 0})
	require.Len(t, transitions, 1)
	assert.Equal(t, Transition{Collapsed, true, "10 of 10 endpoints are left out, 0 are listed"}, transitions[0])
	assert.True(t, j.RetainsOmitted())
	assert.Equal(t, 2*s, j.RecheckDelay())
	assert.Empty(t, j.CheckList(4*s, Comparison{InUse: 10, Listed: 6, Omitted: 4, Sum: 3}), "nothing changes between the thresholds")
	transitions = j.CheckList(5*s, Comparison{InUse: 10, Listed: 8, Omitted: 2, Sum: 4})
	require.Len(t, transitions, 1)
	assert.False(t, transitions[0].Entered)
	assert.False(t, j.RetainsOmitted())
	assert.Zero(t, j.RecheckDelay())
}

func TestCollapseEndsWhenListsAgree(t *testing.T) {
	j := newRetainingJudge()
	v := Comparison{InUse: 10, Listed: 1, Omitted: 9, Sum: 7}
	require.Len(t, j.CheckList(0, v), 1)
	for at := 2 * s; at < 10*s; at += 2 * s {
		require.Empty(t, j.CheckList(at, v), "identical, but not for long enough")
	}
	transitions := j.CheckList(10*s, v)
	require.Len(t, transitions, 1)
	assert.Equal(t, "6 lists agree over 10s", transitions[0].Reason)
	j = newRetainingJudge()
	require.Len(t, j.CheckList(0, v), 1)
	for at := 2 * s; at < 60*s; at += 2 * s { // never two identical lists
		v.Sum++
		require.Empty(t, j.CheckList(at, v))
	}
	transitions = j.Advance(10 * time.Minute)
	require.Len(t, transitions, 1, "the condition ends after its maximum duration")
	assert.Contains(t, transitions[0].Reason, "list is accepted")
}

func TestFewEndpointsDoNotCollapse(t *testing.T) {
	assert.Empty(t, newRetainingJudge().CheckList(0, Comparison{InUse: 3, Omitted: 3}))
}

func TestFlapping(t *testing.T) {
	j := New(Default())
	var transitions []Transition
	for i := range 5 {
		require.Empty(t, transitions)
		transitions = j.CheckList(time.Duration(i)*s, Comparison{InUse: 10, Listed: 10, Sum: uint64(i % 2)})
	}
	require.Len(t, transitions, 1)
	assert.Equal(t, Flapping, transitions[0].Condition)
	assert.Equal(t, 34*s, j.Next())
	assert.Empty(t, j.Advance(33*s))
	j.CheckList(33*s, Comparison{InUse: 10, Listed: 10, Sum: 1})
	assert.Empty(t, j.Advance(62*s), "each change restarts the quiet period")
	transitions = j.Advance(63 * s)
	require.Len(t, transitions, 1)
	assert.False(t, transitions[0].Entered)
	// Lists that keep changing do not flap, nor does a list that is repeated.
	j = New(Default())
	for i := range 50 {
		require.Empty(t, j.CheckList(time.Duration(i)*s, Comparison{InUse: 10, Listed: 10, Sum: uint64(i / 2)}))
	}
}

func TestAmbiguous(t *testing.T) {
	j := New(Default())
	require.Len(t, j.RecordUnusable(0, errors.New("named twice")), 1)
	require.Empty(t, j.RecordUnusable(s, errors.New("named twice")), "consecutive unusable lists are reported once")
	require.Len(t, j.CheckList(2*s, Comparison{InUse: 10, Listed: 10, Sum: 1}), 1)
}

// For any order of lists, conditions are entered and left alternately, each collapse ends within
// its maximum duration, and the time that Next returns is in the future.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newRetainingJudge()
		now := time.Duration(0)
		in := map[Condition]bool{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 90000).Draw(t, "ms")) * time.Millisecond
			var transitions []Transition
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				transitions = j.RecordUnusable(now, errors.New("x"))
			case 1:
				transitions = j.Advance(now)
			default:
				held := rapid.IntRange(0, 20).Draw(t, "held")
				transitions = j.CheckList(now, Comparison{
					InUse: held, Omitted: rapid.IntRange(0, held).Draw(t, "omitted"), Sum: uint64(rapid.IntRange(0, 2).Draw(t, "sum")),
				})
			}
			for _, x := range transitions {
				require.NotEqual(t, in[x.Condition], x.Entered)
				in[x.Condition] = x.Entered
			}
			for c := range conditionCount {
				require.Equal(t, in[c], j.Holds(c))
			}
			j.Advance(now)
			for c := range conditionCount {
				in[c] = j.Holds(c)
			}
			if at := j.Next(); at != 0 {
				require.Greater(t, at, now)
			}
			if j.Holds(Collapsed) {
				require.Less(t, now-j.Since(Collapsed), Default().MaxCollapsed)
			}
		}
	})
}
