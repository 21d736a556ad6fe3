package memento

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snowjunction"
)

func randomSnapshot(t *rapid.T) *Memento {
	float := func() float64 { return float64(rapid.Float32Range(0, 1e6).Draw(t, "float")) }
	span := func(from int) time.Duration {
		return time.Duration(rapid.IntRange(from, 1e9).Draw(t, "ms")) * time.Millisecond
	}
	m := &Memento{State: snowjunction.State{
		Recent: float(), Best: float(), Peak: float(), Window: float(), First: float(), Repeats: float(),
		Served: float(), RepeatGap: span(0), Small: span(0),
	}}
	routes := rapid.IntRange(0, 4).Draw(t, "routes")
	for range routes {
		m.State.Routes = append(m.State.Routes, snowjunction.RouteState{
			Limit: float(), Left: float(), Pace: float(), ColdSends: float(), Gap: span(0), Wait: span(0),
			Fulls: rapid.IntRange(0, 1000).Draw(t, "fulls"), FullAgo: span(0),
		})
	}
	for range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		m.Names = append(m.Names, Name(rapid.Uint64().Draw(t, "name")))
		e := snowjunction.EndpointState{
			Route: rapid.IntRange(0, 4).Draw(t, "route"), Latency: float(), Vouched: rapid.Bool().Draw(t, "vouched"),
			Condition: snowjunction.Condition(rapid.IntRange(0, 2).Draw(t, "condition")),
		}
		if e.Condition != snowjunction.Serving {
			e.Fails, e.For, e.Failed, e.DownFor = rapid.IntRange(0, 9).Draw(t, "fails"), span(0), span(0), span(0)
			e.Backoff, e.Trial = span(0), span(-1e9)
		}
		m.State.EndpointsSeen = append(m.State.EndpointsSeen, e)
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
	m := &Memento{State: snowjunction.State{Routes: []snowjunction.RouteState{{Wait: 1500*time.Microsecond + 1}}}}
	got, err := Decode(Encode(nil, m))
	require.NoError(t, err)
	assert.Equal(t, 2*time.Millisecond, got.State.Routes[0].Wait)
}

func TestUnknownVersion(t *testing.T) {
	b := Encode(nil, &Memento{})
	b[0] = Version + 1
	_, err := Decode(b)
	assert.ErrorIs(t, err, ErrFormat)
	_, err = Decode(nil)
	assert.ErrorIs(t, err, ErrFormat)
}

// The snapshot of a destination with two endpoints that served takes less than 90 bytes.
func TestSize(t *testing.T) {
	m := &Memento{Names: []Name{1, 2}, State: snowjunction.State{
		Recent: .2, Best: .2, Peak: 3, Window: 4, First: 1, Routes: []snowjunction.RouteState{{Limit: 4, Left: 1, Pace: 4}},
		EndpointsSeen: []snowjunction.EndpointState{{Latency: .2}, {Latency: .2}},
	}}
	assert.Less(t, len(Encode(nil, m)), 90)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(nil, &Memento{}))
	f.Add(Encode(nil, &Memento{Names: []Name{1}, State: snowjunction.State{
		Routes:        []snowjunction.RouteState{{Limit: 4, Wait: time.Second}},
		EndpointsSeen: []snowjunction.EndpointState{{Condition: snowjunction.Held, Fails: 4, Trial: -time.Second}},
	}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		s := m.State
		for _, v := range []float64{s.Recent, s.Best, s.Peak, s.Window, s.First, s.Repeats} {
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
	m := &Memento{Names: []Name{7}, State: snowjunction.State{
		Recent: 0.5, Window: 4, Served: 9, RepeatGap: time.Second, Small: time.Minute,
		Routes:        []snowjunction.RouteState{{Limit: 4, Left: 1, Pace: 4}},
		EndpointsSeen: []snowjunction.EndpointState{{Latency: .5, Condition: snowjunction.Held, Fails: 4, For: time.Second}},
	}}
	b := Encode(nil, m)
	added := 4 + 2 + 3 // Served, RepeatGap, Small as varints
	first := append([]byte(nil), b[:len(b)-added]...)
	first[0] = 1
	got, err := Decode(first)
	require.NoError(t, err)
	m.State.Served, m.State.RepeatGap, m.State.Small = 0, 0, 0
	assert.Equal(t, m, got)
	_, err = Decode(first[:len(first)-1])
	assert.ErrorIs(t, err, ErrFormat)
}
