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
		Seed: 1, Fleet: 40, Number: 1, Tick: 5 * time.Millisecond, Slots: 8, PeerMessages: true,
		Classes: []Class{{Name: "status", TargetLatency: time.Second, Deadline: 8 * time.Second, Value: 1}},
	})
	require.NoError(t, err)
	none := c.Footprint()
	assert.Zero(t, none.Destinations+none.Endpoints+none.Requests+none.QuotaLedgers+none.QuotaLedgerBytes)
	c.Handle(time.Second, []Event{
		List{Kind: ListFull, Endpoints: []Endpoint{{ID: 1, Destination: 7, Phase: Ready}, {ID: 2, Destination: 7, Phase: Ready}}},
		Request{ID: 1, Destination: 7, Deadline: 8 * time.Second},
		PeerMessagesReceived{Peer: 2, Messages: []PeerMessage{{Destination: 9, RequestsGrant: true, Calls: 1, Limit: 5}, {Destination: 11, Unreachable: true}}},
	})
	f := c.Footprint()
	assert.Equal(t, [4]int{1, 2, 1, 2}, [4]int{f.Destinations, f.Endpoints, f.Requests, f.QuotaLedgers})
	assert.Greater(t, f.StateBytes, none.StateBytes+2*64)
	assert.Greater(t, f.QuotaLedgerBytes, 2*64)
	assert.Equal(t, f, c.Footprint())
}
