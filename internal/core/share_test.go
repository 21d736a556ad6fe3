package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction"
	"snowjunction/internal/groups"
	"snowjunction/internal/store"
)

// If a front lists only a share of the destinations, the module is told the number in the whole
// fleet. Calling returns the destinations that have flows.
func TestDestinationsOfTheWholeFleet(t *testing.T) {
	b := newHarness(t, func(*snowjunction.Settings) {})
	l := groups.NewList(true)
	for i := range 10 {
		require.NoError(t, l.Add(Entry{Name: fmt.Sprint(i), Addr: fmt.Sprintf("127.0.0.2:%d", i+1), Destination: snowjunction.DestinationID(i + 1), Phase: snowjunction.Ready}))
	}
	require.NoError(t, b.c.UpdateList(0, l))
	destinations := func(d snowjunction.DestinationID) int {
		b.c.load(d)
		w, is := b.c.events[len(b.c.events)-1].(snowjunction.Load)
		require.True(t, is)
		return w.Destinations
	}
	assert.Equal(t, 10, destinations(1))
	b.c.ListedShare = func(front int) float64 { return 1 / float64(4+front) }
	assert.Equal(t, 40, destinations(2))
	gone := groups.NewList(false)
	require.NoError(t, gone.Add(Entry{Name: "1", Phase: snowjunction.Gone}))
	require.NoError(t, b.c.UpdateList(0, gone))
	e, is := b.c.events[len(b.c.events)-1].(snowjunction.List)
	require.True(t, is)
	assert.Equal(t, 36, e.Destinations)

	calling := func() (out []snowjunction.DestinationID) {
		for d := range b.c.ActiveDestinations() {
			out = append(out, d)
		}
		return out
	}
	assert.Empty(t, calling(), "loaded, but without flows")
	require.NoError(t, b.c.Submit(Request{ID: "a", Class: "status", Destination: 3, TimeLeft: time.Second}, func(Answer, *store.Message) bool { return true }))
	assert.Equal(t, []snowjunction.DestinationID{3}, calling())
}
