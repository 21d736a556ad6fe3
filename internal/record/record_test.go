package record

import (
	"encoding/binary"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Open returns the payload of a sealed record and the bytes after it, and rejects a record with a
// changed byte, a truncated one and one over its size limit.
func TestFrame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "payload")
		behind := rapid.SliceOfN(rapid.Byte(), 0, 10).Draw(t, "behind")
		b := append(Seal(append(make([]byte, FrameSize), payload...)), behind...)
		got, rest, err := Open(b, len(payload))
		require.NoError(t, err)
		assert.Equal(t, payload, got)
		assert.Equal(t, len(behind), len(rest))
		_, _, err = Open(b, len(payload)-1)
		assert.ErrorIs(t, err, ErrDamaged)
		_, _, err = Open(b[:FrameSize+rapid.IntRange(0, len(payload)-1).Draw(t, "cut")], 1<<20)
		assert.ErrorIs(t, err, ErrDamaged)
		b[rapid.IntRange(0, FrameSize+len(payload)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		_, _, err = Open(b, 1<<20)
		assert.ErrorIs(t, err, ErrDamaged)
	})
}

// Fields decode in the order they were encoded; decoding fails past the end, over a limit and after
// any earlier failure.
func TestReader(t *testing.T) {
	b := AppendText(binary.AppendVarint(binary.AppendUvarint([]byte{7}, 300), -5), "text")
	r := Reader{Data: b}
	assert.Equal(t, byte(7), r.Byte())
	assert.Equal(t, uint64(300), r.Uint(300))
	assert.Equal(t, int64(-5), r.Int())
	assert.Equal(t, "text", r.Text(4))
	assert.False(t, r.Failed)
	assert.Empty(t, r.Data)
	assert.Zero(t, r.Byte())
	assert.True(t, r.Failed)
	r = Reader{Data: b, Failed: true}
	assert.Zero(t, r.Int())
	assert.Zero(t, r.Uint(math.MaxUint64))
	r = Reader{Data: b[1:]}
	assert.Zero(t, r.Uint(299))
	assert.True(t, r.Failed)
	r = Reader{Data: AppendText(nil, "text")}
	assert.Empty(t, r.Text(3))
	r = Reader{Data: []byte{200}}
	assert.Empty(t, r.Text(1000))
	assert.True(t, r.Failed)
}
