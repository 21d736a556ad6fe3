package emulate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/emulate/rules"
)

// sumOverSeeds plays a scenario with several seeds and sums results up.
func sumOverSeeds(t *testing.T, name, overlay string, n int) (sum Result) {
	s := load(t, name, overlay)
	sum.Rules = map[rules.Rule]int{}
	for seed := range n {
		r := run(t, s, Options{Policy: "module", Seed: uint64(seed + 1)})
		for rule, k := range r.Rules {
			sum.Rules[rule] += k
			require.LessOrEqual(t, len(sum.First), 100)
			sum.First = append(sum.First, r.First...)
		}
		sum.G += r.G / float64(n)
		sum.Delivered += r.Delivered
		sum.TimedOut += r.TimedOut
		sum.RestoredDestinations += r.RestoredDestinations
		sum.RefutedEndpoints += r.RefutedEndpoints
		sum.ReusedAddressCalls += r.ReusedAddressCalls
		sum.Unreached += r.Unreached
		sum.LearnedWrites += r.LearnedWrites
	}
	return sum
}

// A minute in which the directory falls silent, half the endpoints are replaced and
// every courier restarts: with a list on disk they deliver, with it weighed they call
// fewer that are gone, and once the directory speaks nothing goes to what has left.
func TestRestartWithDirectoryDown(t *testing.T) {
	minute := `{"seconds": 60, "directory": {"down": [{"at_s": 8, "for_s": 40}], "reuse": 0.5},
		"drains": [{"at_s": 10, "over_s": 10, "share": 0.5}], "crashes": [{"at_s": 16, "down_s": 1.2, "share": 1, "over_s": 6, "journal": true}],
		"kept": {"list": %v, "weigh": %v, "fresh_s": 5}}`
	without := sumOverSeeds(t, "restart-in-silence", fmt.Sprintf(minute, false, false), 2)
	taken := sumOverSeeds(t, "restart-in-silence", fmt.Sprintf(minute, true, false), 2)
	weighed := sumOverSeeds(t, "restart-in-silence", fmt.Sprintf(minute, true, true), 2)
	for _, r := range []Result{without, taken, weighed} {
		assert.Empty(t, r.Rules, "%v", r.First)
	}
	assert.Greater(t, taken.G, without.G+0.1)
	assert.Greater(t, weighed.Delivered, taken.Delivered)
	assert.Less(t, weighed.ReusedAddressCalls+weighed.Unreached, taken.ReusedAddressCalls+taken.Unreached)
	assert.Positive(t, weighed.RefutedEndpoints)
	assert.Positive(t, weighed.ReusedAddressCalls, "some addresses are somebody else's")
}

// Couriers that die in the middle of an outage, and again as its partners come back
// cold, know of it where they keep what they learn: fewer calls are lost in it, and no
// partner is pushed over.
func TestRestartDuringOutage(t *testing.T) {
	silent := `{"faults": [{"kind": "silent", "at_s": 10, "for_s": 12, "share": 0.4, "cold": true}], "kept": {"learnt": %v}}`
	without := sumOverSeeds(t, "restart-in-outage", fmt.Sprintf(silent, false), 4)
	with := sumOverSeeds(t, "restart-in-outage", fmt.Sprintf(silent, true), 4)
	assert.Empty(t, with.Rules, "%v", with.First)
	assert.Less(t, float64(with.TimedOut), 0.9*float64(without.TimedOut))
	assert.Greater(t, with.G, without.G)
	assert.Positive(t, with.RestoredDestinations)
	assert.Positive(t, with.LearnedWrites)
}
