package peermsg

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items, got []snowjunction.PeerMessage
		for range rapid.IntRange(1, 60).Draw(t, "items") {
			n := snowjunction.PeerMessage{Destination: snowjunction.DestinationID(rapid.Uint32().Draw(t, "dest"))}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				n.RequestsGrant, n.Rank = true, rapid.IntRange(0, 255).Draw(t, "rank")
				n.Calls = rapid.IntRange(0, maxCalls).Draw(t, "calls")
			case 1:
				n.IsGrant, n.Calls = true, rapid.IntRange(0, maxCalls).Draw(t, "calls")
			}
			n.Unreachable, n.Recovered = rapid.Bool().Draw(t, "failing"), rapid.Bool().Draw(t, "serves")
			if high := rapid.Bool().Draw(t, "cold or old"); n.RequestsGrant {
				n.OldLimit = high
			} else {
				n.Cold = high
			}
			n.ReturnedCalls = rapid.IntRange(-maxReturned, maxReturned).Draw(t, "back")
			n.RejectedCalls = rapid.IntRange(0, maxReturned).Draw(t, "refused")
			n.Limit = float64(rapid.IntRange(0, maxLimit*10).Draw(t, "limit")) / 10
			items = append(items, n)
		}
		for _, b := range Encode(items) {
			if len(b) > MaxBytes {
				t.Fatalf("%d bytes", len(b))
			}
			more, err := Decode(b)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, more...)
		}
		assert.Equal(t, items, got)
	})
	none, err := Decode(Encode(nil)[0])
	require.NoError(t, err)
	assert.Empty(t, none)
}

func TestInvalidMessages(t *testing.T) {
	good := Encode([]snowjunction.PeerMessage{{Destination: 700, RequestsGrant: true, Calls: 3, Rank: 9, ReturnedCalls: -2, RejectedCalls: 1, Limit: 44.5}})[0]
	for n := range len(good) {
		if _, err := Decode(good[:n]); n != 1 { // the format byte alone is an empty message
			require.Error(t, err, "cut off after %d bytes", n)
		}
	}
	for _, b := range [][]byte{
		{2, 1, 0}, {formatVersion, 1, flagRequest | flagGrant, 1, 1}, {formatVersion, 255, 255, 255, 255, 255, 1},
		{formatVersion, 1, flagRejected, 255, 255, 3}, make([]byte, MaxBytes+1),
	} {
		_, err := Decode(b)
		require.Error(t, err, "%v", b)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(Encode([]snowjunction.PeerMessage{{Destination: 1, IsGrant: true, Calls: 2}, {Destination: 9, RejectedCalls: 4, Limit: 7}})[0])
	f.Fuzz(func(t *testing.T, b []byte) {
		items, err := Decode(b)
		if err != nil {
			return
		}
		var decoded []snowjunction.PeerMessage
		for _, x := range Encode(items) {
			more, err := Decode(x)
			require.NoError(t, err)
			decoded = append(decoded, more...)
		}
		require.Equal(t, items, decoded)
	})
}
