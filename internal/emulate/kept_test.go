package emulate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/emulate/rules"
)

// sumOverSeeds runs a scenario with the seeds 1 to n and sums the results; G is the mean.
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

// Every courier restarts while the directory is down and half the endpoints are being replaced.
// Couriers with a list on disk deliver more than those without, and confidence in the endpoints
// reduces the calls to removed ones. No rule is violated, in particular after the directory
// responds.
func TestRestartWithDirectoryDown(t *testing.T) {
	overlay := `{"seconds": 60, "directory": {"down": [{"at_s": 8, "for_s": 40}], "reuse": 0.5},
		"drains": [{"at_s": 10, "over_s": 10, "share": 0.5}], "crashes": [{"at_s": 16, "down_s": 1.2, "share": 1, "over_s": 6, "journal": true}],
		"kept": {"list": %v, "weigh": %v, "fresh_s": 5}}`
	noList := sumOverSeeds(t, "restart-in-silence", fmt.Sprintf(overlay, false, false), 2)
	withList := sumOverSeeds(t, "restart-in-silence", fmt.Sprintf(overlay, true, false), 2)
	withConfidence := sumOverSeeds(t, "restart-in-silence", fmt.Sprintf(overlay, true, true), 2)
	for _, r := range []Result{noList, withList, withConfidence} {
		assert.Empty(t, r.Rules, "%v", r.First)
	}
	assert.Greater(t, withList.G, noList.G+0.1)
	assert.Greater(t, withConfidence.Delivered, withList.Delivered)
	assert.Less(t, withConfidence.ReusedAddressCalls+withConfidence.Unreached, withList.ReusedAddressCalls+withList.Unreached)
	assert.Positive(t, withConfidence.RefutedEndpoints)
	assert.Positive(t, withConfidence.ReusedAddressCalls, "other services use some addresses")
}

// Couriers crash during an outage, and again while its partners recover. With learned state on
// disk they remember the outage: fewer calls time out, and no partner collapses.
func TestRestartDuringOutage(t *testing.T) {
	overlay := `{"faults": [{"kind": "silent", "at_s": 10, "for_s": 12, "share": 0.4, "cold": true}], "kept": {"learnt": %v}}`
	noLearnedState := sumOverSeeds(t, "restart-in-outage", fmt.Sprintf(overlay, false), 4)
	withLearnedState := sumOverSeeds(t, "restart-in-outage", fmt.Sprintf(overlay, true), 4)
	assert.Empty(t, withLearnedState.Rules, "%v", withLearnedState.First)
	assert.Less(t, float64(withLearnedState.TimedOut), 0.9*float64(noLearnedState.TimedOut))
	assert.Greater(t, withLearnedState.G, noLearnedState.G)
	assert.Positive(t, withLearnedState.RestoredDestinations)
	assert.Positive(t, withLearnedState.LearnedWrites)
}
