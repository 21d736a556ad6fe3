package idempotency

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const window = 3 * time.Second

func TestFirstAttemptCounts(t *testing.T) {
	b, k := New(10), Key{7, "k1"}
	b.AttemptSent(k, "m1", time.Second, window)
	b.AttemptSent(k, "m2", 3*time.Second, window)
	b.NotRun(k, "m2") // the second message's result does not affect the first
	at, ok := b.FirstAttempt(k, 3900*time.Millisecond)
	assert.True(t, ok)
	assert.Equal(t, time.Second, at)
	_, other := b.FirstAttempt(Key{8, "k1"}, 2*time.Second)
	assert.False(t, other, "another destination has its own keys")
	_, ok = b.FirstAttempt(k, 4*time.Second)
	assert.False(t, ok, "the window is over")
	b.AttemptSent(k, "m3", 5*time.Second, window)
	at, _ = b.FirstAttempt(k, 6*time.Second)
	assert.Equal(t, 5*time.Second, at)
	b.NotRun(k, "m3")
	_, ok = b.FirstAttempt(k, 6*time.Second)
	assert.False(t, ok)
}

func TestBounded(t *testing.T) {
	b := New(100)
	for i := range 1000 {
		b.AttemptSent(Key{1, strconv.Itoa(i)}, "m", time.Duration(i)*time.Millisecond, window)
		b.AttemptSent(Key{2, strconv.Itoa(i)}, "m", time.Duration(i)*time.Millisecond, window)
		b.NotRun(Key{2, strconv.Itoa(i)}, "m")
		assert.LessOrEqual(t, b.Len(), 100)
		assert.LessOrEqual(t, len(b.order), 100)
	}
	_, ok := b.FirstAttempt(Key{1, "970"}, time.Second)
	assert.True(t, ok)
	b.AttemptSent(Key{1, "x"}, "m", time.Minute, window)
	assert.Equal(t, 1, b.Len())
	assert.Len(t, b.order, 1)
}
