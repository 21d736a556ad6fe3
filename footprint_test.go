package snowjunction

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The size of a footprint grows with the state, and the call changes nothing.
func TestFootprint(t *testing.T) {
	c, err := New(Settings{
		Seed: 1, Fleet: 40, Number: 1, Tick: 5 * time.Millisecond, Slots: 8, Notes: true,
		Classes: []Class{{Name: "status", Aim: time.Second, Deadline: 8 * time.Second, Worth: 1}},
	})
	require.NoError(t, err)
	none := c.Footprint()
	assert.Zero(t, none.Destinations+none.Endpoints+none.Requests+none.Accounts+none.AccountBytes)
	c.Handle(time.Second, []Event{
		List{Kind: ListFull, Endpoints: []Endpoint{{ID: 1, Destination: 7, Phase: Ready}, {ID: 2, Destination: 7, Phase: Ready}}},
		Request{ID: 1, Destination: 7, Deadline: 8 * time.Second},
		Heard{Peer: 2, Notes: []Note{{Destination: 9, Asks: true, Calls: 1, Limit: 5}, {Destination: 11, Failing: true}}},
	})
	f := c.Footprint()
	assert.Equal(t, [4]int{1, 2, 1, 2}, [4]int{f.Destinations, f.Endpoints, f.Requests, f.Accounts})
	assert.Greater(t, f.BooksBytes, none.BooksBytes+2*64)
	assert.Greater(t, f.AccountBytes, 2*64)
	assert.Equal(t, f, c.Footprint())
}
