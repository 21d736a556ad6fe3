package scale

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func plan(change func(p *Plan)) Plan {
	p := Plan{
		Couriers: 30, Real: 2, Destinations: 100, Endpoints: 2, Down: 0.01, Zones: 3, Regions: 3, CutSeconds: 2,
		Changes: 30, Events: 60, Settle: 1, Seconds: 20, Seed: 7, Copies: 1,
	}
	if change != nil {
		change(&p)
	}
	return p
}

var large = Machine{Memory: 24 << 30, Files: 20000}

// Check names the flag of each invalid value.
func TestCheck(t *testing.T) {
	require.NoError(t, plan(nil).Check())
	for flag, change := range map[string]func(p *Plan){
		"--couriers: 0":      func(p *Plan) { p.Couriers = 0 },
		"--destinations: -1": func(p *Plan) { p.Destinations = -1 },
		"--endpoints: 0":     func(p *Plan) { p.Endpoints = 0 },
		"--zones: 0":         func(p *Plan) { p.Zones = 0 },
		"--regions: 0":       func(p *Plan) { p.Regions = 0 },
		"--regions: 31":      func(p *Plan) { p.Regions = 31 },
		"--events: 0":        func(p *Plan) { p.Events = 0 },
		"--events: NaN":      func(p *Plan) { p.Events = math.NaN() },
		"--seconds: -2":      func(p *Plan) { p.Seconds = -2 },
		"--seconds: +Inf":    func(p *Plan) { p.Seconds = math.Inf(1) },
		"--settle: 0":        func(p *Plan) { p.Settle = 0 },
		"--real: -1":         func(p *Plan) { p.Real = -1 },
		"--real: 31":         func(p *Plan) { p.Real = 31 },
		"--real: 11":         func(p *Plan) { p.Real = 11 }, // the first region has ten couriers
		"--down: 1.5":        func(p *Plan) { p.Down = 1.5 },
		"--down: NaN":        func(p *Plan) { p.Down = math.NaN() },
		"--restarts: -1":     func(p *Plan) { p.Restarts = -1 },
		"--cuts: -1":         func(p *Plan) { p.Cuts = -1 },
		"--cuts: 1 ":         func(p *Plan) { p.Cuts, p.Regions = 1, 1 },
		"--cuts: 11 ":        func(p *Plan) { p.Cuts = 11 },
		"--changes: -1":      func(p *Plan) { p.Changes = -1 },
	} {
		err := plan(change).Check()
		require.Error(t, err, flag)
		assert.True(t, strings.HasPrefix(err.Error(), flag), "%s: %v", flag, err)
		assert.NotContains(t, err.Error(), "\n")
	}
}

// CheckMachine refuses a run that exceeds the machine's limits and accepts one within them.
func TestCheckMachine(t *testing.T) {
	require.NoError(t, plan(nil).CheckMachine(large))
	for words, change := range map[string]func(p *Plan){
		"301 processes are more than 300": func(p *Plan) { p.Couriers, p.Real, p.Regions = 400, 300, 1 },
		"half of this machine's memory":   func(p *Plan) { p.Couriers, p.Destinations = 3400, 1_300_000 },
		"descriptors":                     func(p *Plan) { p.Couriers, p.Destinations = 7000, 1000 },
	} {
		assert.ErrorContains(t, plan(change).CheckMachine(large), words)
	}
	for _, p := range []Plan{ // sizes that have to be measurable on this machine
		plan(func(p *Plan) { p.Couriers, p.Destinations, p.Endpoints = 3400, 13_000, 1 }),
		plan(func(p *Plan) { p.Couriers, p.Destinations, p.Endpoints = 340, 130_000, 1 }),
		plan(func(p *Plan) {
			p.Couriers, p.Real, p.Regions, p.Destinations, p.Endpoints = 1, 1, 1, 1_300_000, 1
		}),
	} {
		assert.NoError(t, p.CheckMachine(large))
	}
	n, err := Meminfo("MemFree:  7 kB\nMemTotal:       24729600 kB\n")
	require.NoError(t, err)
	assert.EqualValues(t, 24729600<<10, n)
	_, err = Meminfo("nothing")
	assert.Error(t, err)
}

// Random draws depend on the seed alone, stay within the run, and have the number the flags ask
// for.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan(func(p *Plan) {
			p.Couriers = rapid.IntRange(3, 200).Draw(t, "couriers")
			p.Real = rapid.IntRange(0, p.Couriers/3).Draw(t, "real")
			p.Restarts = rapid.IntRange(0, 300).Draw(t, "restarts")
			p.Cuts = rapid.IntRange(0, 10).Draw(t, "cuts")
			p.Down = float64(rapid.IntRange(0, 100).Draw(t, "down")) / 100
			p.Seed = rapid.Uint64().Draw(t, "seed")
		})
		require.NoError(t, p.Check())
		length := seconds(p.Seconds)
		restarted := map[int]bool{}
		for _, m := range p.RestartEvents() {
			assert.False(t, restarted[m.Index], "a courier restarts twice")
			restarted[m.Index] = true
			assert.Less(t, m.At, length)
		}
		assert.Len(t, restarted, min(p.Restarts, p.Couriers))
		end := time.Duration(0)
		for _, m := range p.CutEvents() {
			assert.GreaterOrEqual(t, m.At, end, "cuts overlap")
			end = m.At + m.Duration
			assert.Less(t, m.Index, p.Regions)
		}
		assert.LessOrEqual(t, end, length)
		assert.Len(t, p.ChangeEvents(), 10)
		assert.Len(t, p.SilentDestinations(), int(math.Ceil(p.Down*100)))
		real := 0
		for n := range p.Couriers {
			if p.IsReal(n) {
				real++
				assert.Zero(t, p.Region(n), "cuts must not separate real couriers")
			}
		}
		assert.Equal(t, p.Real, real)
		assert.Equal(t, p.RestartEvents(), p.RestartEvents())
		a, b := p.Arrivals(1, 5), p.Arrivals(1, 5)
		for range 20 {
			after, dest, keyed := a.Next()
			after2, dest2, keyed2 := b.Next()
			assert.Equal(t, []any{after, dest, keyed}, []any{after2, dest2, keyed2})
			assert.Less(t, dest, 5)
		}
	})
}

// The slope's confidence interval contains the true slope, and curvature is detected.
func TestFit(t *testing.T) {
	x := Sizes(100)
	require.Len(t, x, FitSizes)
	of := func(f func(x, noise float64) float64) (y []float64) {
		for i, v := range x {
			y = append(y, f(v, []float64{1, -1, 0.5, -1, 0.5}[i]))
		}
		return y
	}
	l := Fit(x, of(func(x, noise float64) float64 { return 3 + 2*x + noise }))
	assert.InDelta(t, 2, l.Slope, l.Error)
	assert.Less(t, l.Error, 0.2)
	assert.InDelta(t, 3, l.Intercept, 3)
	assert.True(t, l.Linear)
	l = Fit(x, of(func(x, noise float64) float64 { return x*x + noise }))
	assert.False(t, l.Linear)
	assert.InDelta(t, 2, l.Power, 0.05)
	assert.False(t, Fit(x, of(func(x, noise float64) float64 { return 100*math.Sqrt(x) + noise })).Linear)
	l = Fit(x, of(func(x, noise float64) float64 { return 100/x + noise/100 }))
	assert.False(t, l.Linear, "a constant shared by all couriers: %+v", l)
	assert.InDelta(t, -1, l.Power, 0.05)
	assert.True(t, Fit(x, of(func(x, noise float64) float64 { return 10 + x/10 + noise })).Linear)
	flat := Fit(x, of(func(float64, float64) float64 { return 5 }))
	assert.InDelta(t, 0, flat.Slope, 1e-9)
	assert.True(t, flat.Linear)
	steep := Fit(Sizes(3400), []float64{1e6, 2e6, 3e6, 4e6, 5e6})
	assert.True(t, steep.Linear)
	assert.InDelta(t, 1e6/680, steep.Slope, 1)
}

func TestAgreement(t *testing.T) {
	assert.True(t, Compare("", 100, 109).WithinTolerance())
	assert.True(t, Compare("", 100, 91).WithinTolerance())
	assert.False(t, Compare("", 100, 111).WithinTolerance())
	assert.False(t, Compare("", 100, 89).WithinTolerance())
	assert.False(t, Compare("", 0, 1).WithinTolerance(), "the real couriers have none")
	assert.True(t, Compare("", 0, 0).WithinTolerance())
}
