package dirtool

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/dircache"
)

// JSON keeps the partitions that a list covers. Without them an imported partial list would count as
// a full one.
func TestPartialListRoundTrip(t *testing.T) {
	for _, head := range []dircache.Head{{Generation: 3}, {Generation: 3, Partitions: 9, Covered: []int{0, 4, 8}}, {Generation: 3, Partitions: 9}} {
		head.Zones, head.Kinds = []string{}, []string{}
		var text bytes.Buffer
		require.NoError(t, Export(&dircache.Snapshot{Head: head}).Write(&text))
		s, err := Parse(text.Bytes())
		require.NoError(t, err)
		assert.Equal(t, head, s.Head)
		assert.Equal(t, head.Partitions > 0, bytes.Contains(text.Bytes(), []byte("partitions")))
	}
	for _, bad := range []string{`"partitions":0`, `"partitions":"x"`, `"partitions":9,"of":[9]`, `"partitions":9,"of":[-1]`, `"partitions":9,"of":[2,1]`, `"partitions":9,"of":[1,1]`} {
		_, err := Parse([]byte(`{"generation":1,` + bad + `,"instances":[]}`))
		assert.Error(t, err, bad)
	}
}
