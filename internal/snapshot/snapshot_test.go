package snapshot

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
)

func randomSnapshot(t *rapid.T) *Snapshot {
	float := func() float64 { return float64(rapid.Float32Range(0, 1e6).Draw(t, "float")) }
	span := func(from int) time.Duration {
		return time.Duration(rapid.IntRange(from, 1e9).Draw(t, "ms")) * time.Millisecond
	}
	m := &Snapshot{State: snowjunction.DestinationSnapshot{
		Latency: float(), BestLatency: float(), PeakRate: float(), Window: float(), FirstAttempts: float(), Retries: float(),
		Successes: float(), RetryGap: span(0), SmallTableFor: span(0),
	}}
	routes := rapid.IntRange(0, 4).Draw(t, "routes")
	for range routes {
		m.State.Routes = append(m.State.Routes, snowjunction.RouteSnapshot{
			Limit: float(), LimitLeft: float(), PacingRate: float(), ColdCalls: float(), CallGap: span(0), BlockedFor: span(0),
			Rejections: rapid.IntRange(0, 1000).Draw(t, "fulls"), SinceRejection: span(0),
		})
	}
	for range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		m.Names = append(m.Names, EndpointHash(rapid.Uint64().Draw(t, "name")))
		e := snowjunction.EndpointSnapshot{
			Route: rapid.IntRange(0, 4).Draw(t, "route"), Latency: float(), TrialSafe: rapid.Bool().Draw(t, "vouched"),
			Condition: snowjunction.Condition(rapid.IntRange(0, 2).Draw(t, "condition")),
		}
		if e.Condition != snowjunction.Serving {
			e.Failures, e.SinceCondition, e.SinceFailure, e.LastOutage = rapid.IntRange(0, 9).Draw(t, "fails"), span(0), span(0), span(0)
			e.Backoff, e.UntilTrial = span(0), span(-1e9)
		}
		m.State.Endpoints = append(m.State.Endpoints, e)
	}
	return m
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := randomSnapshot(t)
		b := Encode(nil, m)
		got, err := Decode(b)
		require.NoError(t, err)
		require.Equal(t, m, got)
		for n := range b { // truncated data is rejected
			_, err := Decode(b[:n])
			require.ErrorIs(t, err, ErrFormat)
		}
		_, err = Decode(append(b, 0))
		require.ErrorIs(t, err, ErrFormat)
	})
}

// A retry-after delay may get longer by less than a millisecond, but not shorter.
func TestWaitsRoundUp(t *testing.T) {
	m := &Snapshot{State: snowjunction.DestinationSnapshot{Routes: []snowjunction.RouteSnapshot{{BlockedFor: 1500*time.Microsecond + 1}}}}
	got, err := Decode(Encode(nil, m))
	require.NoError(t, err)
	assert.Equal(t, 2*time.Millisecond, got.State.Routes[0].BlockedFor)
}

func TestUnknownVersion(t *testing.T) {
	b := Encode(nil, &Snapshot{})
	b[0] = Version + 1
	_, err := Decode(b)
	assert.ErrorIs(t, err, ErrFormat)
	_, err = Decode(nil)
	assert.ErrorIs(t, err, ErrFormat)
}

// The snapshot of a destination with two endpoints that served takes less than 90 bytes.
func TestSize(t *testing.T) {
	m := &Snapshot{Names: []EndpointHash{1, 2}, State: snowjunction.DestinationSnapshot{
		Latency: .2, BestLatency: .2, PeakRate: 3, Window: 4, FirstAttempts: 1, Routes: []snowjunction.RouteSnapshot{{Limit: 4, LimitLeft: 1, PacingRate: 4}},
		Endpoints: []snowjunction.EndpointSnapshot{{Latency: .2}, {Latency: .2}},
	}}
	assert.Less(t, len(Encode(nil, m)), 90)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, &Snapshot{}))
	f.Add(Encode(nil, &Snapshot{Names: []EndpointHash{1}, State: snowjunction.DestinationSnapshot{
		Routes:    []snowjunction.RouteSnapshot{{Limit: 4, BlockedFor: time.Second}},
		Endpoints: []snowjunction.EndpointSnapshot{{Condition: snowjunction.Down, Failures: 4, UntilTrial: -time.Second}},
	}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		s := m.State
		for _, v := range []float64{s.Latency, s.BestLatency, s.PeakRate, s.Window, s.FirstAttempts, s.Retries} {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				t.Fatalf("%v is out of range", v)
			}
		}
		again, err := Decode(Encode(nil, m))
		if err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, m, again)
	})
}

// Version 1 is accepted: it ends before the fields that version 2 added.
func TestFirstVersion(t *testing.T) {
	m := &Snapshot{Names: []EndpointHash{7}, State: snowjunction.DestinationSnapshot{
		Latency: 0.5, Window: 4, Successes: 9, RetryGap: time.Second, SmallTableFor: time.Minute,
		Routes:    []snowjunction.RouteSnapshot{{Limit: 4, LimitLeft: 1, PacingRate: 4}},
		Endpoints: []snowjunction.EndpointSnapshot{{Latency: .5, Condition: snowjunction.Down, Failures: 4, SinceCondition: time.Second}},
	}}
	b := Encode(nil, m)
	added := 4 + 2 + 3 // Successes, RetryGap, SmallTableFor as varints
	first := append([]byte(nil), b[:len(b)-added]...)
	first[0] = 1
	got, err := Decode(first)
	require.NoError(t, err)
	m.State.Successes, m.State.RetryGap, m.State.SmallTableFor = 0, 0, 0
	assert.Equal(t, m, got)
	_, err = Decode(first[:len(first)-1])
	assert.ErrorIs(t, err, ErrFormat)
}
