package partition

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet is n members, spread over regions and zones by number.
func fleet(n, regions, zones int) (out []Member) {
	for i := range n {
		out = append(out, Member{
			Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("127.0.%d.%d:6379", i>>8, i&0xff),
			Region: fmt.Sprintf("r%d", i%regions), Zone: fmt.Sprintf("z%d", i%zones),
		})
	}
	return out
}

// A member that leaves moves what it owned and nothing else, and what is worked out from the
// change is the same as what is worked out anew.
func TestOneLeaves(t *testing.T) {
	all := fleet(40, 2, 4)
	before, err := New(512, 2, all)
	require.NoError(t, err)
	after, err := before.With(append(all[:7:7], all[8:]...))
	require.NoError(t, err)
	anew, err := New(512, 2, append(all[:7:7], all[8:]...))
	require.NoError(t, err)
	for p := range 512 {
		for _, near := range []string{"r0", "r1"} {
			was, is := before.Owners(p, near), after.Owners(p, near)
			require.Equal(t, anew.Owners(p, near), is)
			if assert.Len(t, is, len(was)); !contains(was, "n7") {
				require.Equal(t, was, is)
			}
		}
	}
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

func contains(all []Member, name string) bool {
	for _, x := range all {
		if x.Name == name {
			return true
		}
	}
	return false
}
