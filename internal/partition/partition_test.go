package partition

import (
	"fmt"
	"testing"

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

func contains(all []Member, name string) bool {
	for _, x := range all {
		if x.Name == name {
			return true
		}
	}
	return false
}
