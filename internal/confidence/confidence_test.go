package confidence

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
)

func newBook(s Source, age time.Duration) *Tracker {
	b := New(Default())
	b.Start(s, age, 0)
	return b
}

func record(b *Tracker, name string, e Evidence, at time.Duration) Level {
	_, is, _ := b.RecordCall(1, name, e, at)
	return is
}

func TestStandingByAge(t *testing.T) {
	assert.Equal(t, Probable, newBook(Cached, time.Minute).Level("a"))
	assert.Equal(t, Doubtful, newBook(Cached, 7*24*time.Hour).Level("a"))
	assert.Equal(t, Doubtful, newBook(Cached, -1).Level("a"), "after a clock was set back the age is unknown")
	b := newBook(Configured, 0)
	assert.Equal(t, Probable, b.Level("a"))
	change, again := b.Advance(time.Minute)
	assert.Equal(t, Unchanged, change)
	assert.Equal(t, 9*time.Minute, again)
	change, again = b.Advance(10 * time.Minute)
	assert.Equal(t, Aged, change)
	assert.Zero(t, again)
	assert.Equal(t, Doubtful, b.Level("a"))
}

func TestStandingByCalls(t *testing.T) {
	b := newBook(Cached, time.Hour)
	assert.Equal(t, Confirmed, record(b, "a", Answered, 1))
	assert.Equal(t, Doubtful, b.Level("b"))
	assert.Equal(t, Confirmed, record(b, "a", Unreachable, 2), "an endpoint in an outage is not gone")
	for i := range 3 {
		assert.Equal(t, Doubtful, record(b, "b", Unreachable, time.Duration(i)*time.Second), "too few failures, or over too short a time")
	}
	assert.Equal(t, Refuted, record(b, "b", Unreachable, 5*time.Second))
	assert.Equal(t, Refuted, record(b, "b", Answered, 6*time.Second), "only the directory ends this state")
	assert.Equal(t, Refuted, record(b, "c", OtherEndpoint, 6*time.Second))
	_, is, why := b.RecordCall(2, "d", Answered, 7*time.Second)
	assert.Equal(t, Confirmed, is)
	assert.Equal(t, "it answered a call", why)
	assert.Equal(t, "it answered a call", b.Explain("d").Reason)
	assert.True(t, b.DirectoryConfirmed(8*time.Second))
	for _, n := range []string{"a", "b", "c", "d"} {
		assert.Equal(t, Listed, b.Level(n))
	}
	assert.Equal(t, Listed, record(b, "a", Unreachable, 9*time.Second), "calls show nothing while the directory answers")
}

// If no endpoint of a destination answers, none is refuted: either it is an outage, or all are
// gone, and nothing would be gained.
func TestNotRefutedWithoutConfirmedSibling(t *testing.T) {
	b := newBook(Cached, time.Minute)
	for i := range 1000 {
		require.NotEqual(t, Refuted, record(b, fmt.Sprint(i%3), Unreachable, time.Duration(i)*time.Second))
	}
	_, _, _ = b.RecordCall(2, "other", Answered, 0)
	require.NotEqual(t, Refuted, record(b, "0", Unreachable, 1001*time.Second), "endpoints of other destinations do not count")
}

func TestSilentDirectory(t *testing.T) {
	b := newBook(Cached, time.Minute)
	b.DirectoryConfirmed(0)
	change, again := b.Advance(10 * time.Second)
	assert.Equal(t, Unchanged, change)
	assert.Equal(t, 35*time.Second, again)
	change, again = b.Advance(45 * time.Second)
	assert.Equal(t, Silent, change)
	assert.Equal(t, 10*time.Minute-45*time.Second, again)
	assert.Equal(t, Probable, b.Level("a"))
	record(b, "a", Answered, time.Minute)
	change, _ = b.Advance(11 * time.Minute)
	assert.Equal(t, Aged, change)
	assert.Equal(t, Confirmed, b.Level("a"))
	assert.Equal(t, Doubtful, b.Level("b"))
	assert.True(t, b.DirectoryConfirmed(12*time.Minute))
	assert.False(t, b.DirectoryConfirmed(12*time.Minute))
}

func TestRetainedEndpoint(t *testing.T) {
	b := newBook(Cached, 0)
	b.DirectoryConfirmed(0)
	b.Retain(1, "a", "left out", 1)
	assert.Equal(t, Doubtful, b.Level("a"))
	b.DirectoryConfirmed(2)
	assert.Equal(t, Doubtful, b.Level("a"), "another list that omits it changes nothing")
	assert.Equal(t, Confirmed, record(b, "a", Answered, 3))
	b.Advance(time.Minute)
	b.DirectoryConfirmed(2 * time.Minute)
	assert.Equal(t, Doubtful, b.Level("a"))
	b.Remove("a")
	assert.Equal(t, Listed, b.Level("a"))
}

// For any order of events: while the directory answers, every endpoint that is not retained is at
// level told; an endpoint that it has not confirmed never is; level refuted lasts until the
// directory answers; the number of confirmed endpoints per destination matches the marks.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Default())
		now := time.Duration(0)
		b.Start(Cached, time.Duration(rapid.IntRange(-1, 1000).Draw(t, "age"))*time.Second, now)
		refuted, kept := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond
			b.Advance(now)
			name := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "name"))
			dest := snowjunction.DestinationID(name[0] % 3)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if b.DirectoryConfirmed(now) {
					clear(refuted)
				}
			case 1:
				b.Retain(dest, name, "", now)
				kept[name] = true
			case 2:
				b.Remove(name)
				delete(kept, name)
				delete(refuted, name)
			default:
				_, is, _ := b.RecordCall(dest, name, Evidence(rapid.IntRange(0, 3).Draw(t, "evidence")), now)
				refuted[name] = is == Refuted
			}
			confirmed := map[snowjunction.DestinationID]int{}
			for i := range 8 {
				n := fmt.Sprint(i)
				s := b.Level(n)
				require.Equal(t, refuted[n], s == Refuted)
				if !kept[n] {
					require.Equal(t, b.Live(), s == Listed)
				}
				if m := b.states[n]; m != nil && m.standing == Confirmed {
					confirmed[m.dest]++
				}
			}
			for d := range snowjunction.DestinationID(3) {
				require.Equal(t, confirmed[d], b.confirmed[d])
			}
		}
	})
}
