package experiment

import (
	"bytes"
	"context"
	"errors"
	"image/png"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const smallExperiment = `{
  "name": "small", "about": "a <test>", "scenario": "quick-errors",
  "with": {"seconds": 12, "couriers": 2, "partners": {"count": 6}, "faults": [{"kind": "errors", "at_s": 3, "for_s": 6, "share": 0.5, "calls": 0.2}]},
  "axes": [
    {"name": "failing", "pointer": "/faults/0/calls", "values": [0.1, 0.8], "also": [{"pointer": "/tuning/ledger_ratio", "values": [0.2, 0.3]}]},
    {"name": "policy", "policies": ["module", "blind"]}
  ],
  "seeds": 3, "rules": true, "baseline": "policy", "measures": ["g", "sends_per_try", "broken"],
  "plots": [{"title": "G & more", "x": "failing", "y": "g", "lines": "policy"}, {"title": "calls", "x": "policy", "y": "sends_per_try"}]
}`

func newTestPlan(t *testing.T, text string) *Plan {
	f, err := Parse("test", []byte(text))
	require.NoError(t, err)
	p, err := NewPlan(f, "")
	require.NoError(t, err)
	return p
}

// outputFiles returns all output files of an experiment, which do not depend on the order of its
// runs.
func outputFiles(t *testing.T, p *Plan, results []map[string]float64) map[string]string {
	dir := t.TempDir()
	_, err := Write(p, results, dir)
	require.NoError(t, err)
	files := map[string]string{}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		b, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		files[e.Name()] = string(b)
	}
	return files
}

// An interrupted experiment resumes where it stopped, repeats no run, and produces the same bytes
// with one worker and with four.
func TestResumeAfterInterruption(t *testing.T) {
	p := newTestPlan(t, smallExperiment)
	uninterrupted, err := Execute(context.Background(), p, Options{Out: t.TempDir(), Build: "b", Jobs: 1})
	require.NoError(t, err)
	want := outputFiles(t, p, uninterrupted)
	assert.Len(t, want, 8, "two tables, one summary, two plots in two formats, one report")
	for _, stop := range []int{1, 5, len(p.Runs) - 1} {
		out := t.TempDir()
		ctx, cancel := context.WithCancel(context.Background())
		played := 0
		o := Options{Out: out, Build: "b", Jobs: 4, Progress: func(done, of int) {
			assert.Equal(t, len(p.Runs), of)
			if played++; done >= stop {
				cancel()
			}
		}}
		_, err := Execute(ctx, p, o)
		require.ErrorIs(t, err, context.Canceled)
		require.Less(t, played, len(p.Runs)+1)
		// a kill in the middle of writing a line
		f, err := os.OpenFile(filepath.Join(out, resultsFile), os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = f.WriteString(`{"key":"0`)
		require.NoError(t, err)
		require.NoError(t, f.Close())

		o.Progress = func(int, int) { played++ }
		resumed, err := Execute(context.Background(), p, o)
		require.NoError(t, err)
		assert.Equal(t, len(p.Runs), played, "stopped after %d", stop)
		assert.Equal(t, want, outputFiles(t, p, resumed))
	}
}

// Results of another build and invalid lines are rejected.
func TestForeignResults(t *testing.T) {
	p, dir := newTestPlan(t, smallExperiment), t.TempDir()
	path := filepath.Join(dir, resultsFile)
	o := Options{Out: dir, Build: "b", Jobs: 2}
	require.NoError(t, os.WriteFile(path, []byte(`{"key":"x","build":"a","values":{}}`+"\n"), 0o600))
	_, err := Execute(context.Background(), p, o)
	assert.ErrorContains(t, err, "line 1: of another build")
	require.NoError(t, os.WriteFile(path, []byte("{\n"), 0o600))
	_, err = Execute(context.Background(), p, o)
	assert.ErrorContains(t, err, "line 1")
	o.Fresh = true
	_, err = Execute(context.Background(), p, o)
	assert.NoError(t, err)
}

// A run's key depends on its scenario, policy and seed, not on the order of JSON members.
func TestKeys(t *testing.T) {
	p := newTestPlan(t, smallExperiment)
	keys := map[string]bool{}
	for _, r := range p.Runs {
		keys[p.Key(r)] = true
	}
	assert.Len(t, keys, 2*2*3)
	for range 20 { // the order of members of JSON objects is random
		assert.Equal(t, p.Key(p.Runs[4]), newTestPlan(t, smallExperiment).Key(p.Runs[4]))
	}
	assert.NotEqual(t, p.Key(p.Runs[4]), newTestPlan(t, strings.Replace(smallExperiment, `"seconds": 12`, `"seconds": 13`, 1)).Key(p.Runs[4]))
	assert.InDelta(t, 0.3, *p.Scenarios[2].Tuning.LedgerRatio, 1e-9, "a value that changes together with the axis")
}

// Means and intervals match the tables: Student's t at 0.975 is 12.706 for one degree of freedom
// and 2.262 for nine.
func TestEstimate(t *testing.T) {
	assert.Equal(t, Estimate{Mean: 3, N: 1}, estimate([]float64{3}))
	e := estimate([]float64{1, 3})
	assert.InDelta(t, 2, e.Mean, 1e-12)
	assert.InDelta(t, 12.706, e.HalfWidth, 1e-3) // the standard deviation sqrt(2), divided by sqrt(2)
	e = estimate([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	assert.InDelta(t, 2.262*3.02765/3.16228, e.HalfWidth, 1e-3)
	assert.True(t, e.ExcludesZero())
	assert.False(t, estimate([]float64{-1, 1}).ExcludesZero())
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 2, 30).Draw(t, "values")
		shifted := make([]float64, len(values))
		for i, v := range values {
			shifted[i] = v + 5
		}
		a, b := estimate(values), estimate(shifted)
		assert.InDelta(t, a.Mean+5, b.Mean, 1e-6)
		assert.InDelta(t, a.HalfWidth, b.HalfWidth, 1e-5)
	})
}

// Differences are taken seed by seed from the cell that differs in the baseline axis alone.
func TestBaselineDifferences(t *testing.T) {
	p := newTestPlan(t, smallExperiment)
	results := make([]map[string]float64, len(p.Runs))
	for i, r := range p.Runs {
		g := float64(100*p.Cells[r.Cell][0]) + 7*float64(r.Seed)*float64(r.Seed)
		if r.Policy == "blind" {
			g -= 3
		}
		results[i] = map[string]float64{"g": g}
	}
	s := Summarize(p, results)
	for i, r := range s.Rows {
		if i%2 == 0 {
			assert.Nil(t, r.Differences)
			continue
		}
		assert.Equal(t, Estimate{Mean: -3, N: 3}, r.Differences["g"])
		assert.Greater(t, r.Measures["g"].HalfWidth, 10.0, "the means vary by seed")
	}
}

// The report refers to no other file and escapes its texts; the plots are complete.
func TestReport(t *testing.T) {
	p := newTestPlan(t, smallExperiment)
	results := make([]map[string]float64, len(p.Runs))
	for i := range results {
		results[i] = map[string]float64{"g": float64(i) / 20, "sends_per_try": 1}
	}
	s := Summarize(p, results)
	svg, err := s.Draw(p.File.Plots[0], "svg")
	require.NoError(t, err)
	b, err := s.Report([][]byte{svg})
	require.NoError(t, err)
	page := string(b)
	assert.Contains(t, page, "a &lt;test&gt;")
	assert.NotContains(t, page, "<?xml")
	assert.Equal(t, 1, strings.Count(page, "</svg>"))
	assert.Empty(t, regexp.MustCompile(`(src|href)="[^"#]`).FindAllString(page, -1))
	picture, err := s.Draw(p.File.Plots[1], "png")
	require.NoError(t, err)
	i, err := png.Decode(bytes.NewReader(picture))
	require.NoError(t, err)
	assert.Greater(t, i.Bounds().Dx(), 400)
	_, lines := s.curves(p.File.Plots[1])
	assert.Equal(t, []float64{1, 1}, []float64{lines[0].XYs[0].Y, lines[0].XYs[1].Y})
	s.Rows[2].Measures["sends_per_try"] = Estimate{Mean: 7}
	p.File.Plots[1].Where = map[string]string{"failing": "0.8"}
	_, lines = s.curves(p.File.Plots[1])
	assert.Equal(t, []float64{7, 1}, []float64{lines[0].XYs[0].Y, lines[0].XYs[1].Y}, "the cells that the plot selects")
	p.File.Plots[0].Log, p.File.Axes[0].Values[0] = true, []byte("0")
	_, err = s.Draw(p.File.Plots[0], "svg")
	assert.ErrorContains(t, err, "logarithmic")
}

// An invalid experiment is reported in one line with the location, before any run starts.
func TestInvalidExperiments(t *testing.T) {
	for was, x := range map[string][2]string{
		`"seeds": 3`:                   {`"seeds": 0`, "/seeds"},
		`["module", "blind"]`:          {`["module", "wild"]`, "/axes/1/policies/1"},
		`"name": "policy"`:             {`"name": "failing"`, "/axes/1/name"},
		`"values": [0.1, 0.8]`:         {`"values": [0.1, 7]`, "failing 7, policy module: /faults/0/calls"},
		`/tuning/ledger_ratio`:         {`/tuning/patience`, "/tuning"},
		`"values": [0.2, 0.3]`:         {`"values": [0.2]`, "/axes/0/also/0/values"},
		`"baseline": "policy"`:         {`"baseline": "x"`, "/baseline"},
		`"g", "sends_per_try"`:         {`"gg", "sends_per_try"`, "/measures/0"},
		`"y": "sends_per_try"`:         {`"y": "late"`, "/plots/1/y"},
		`"title": "calls",`:            {`"title": "calls", "where": {"failing": "0.3"},`, "/plots/1/where/failing"},
		`"title": "G & more",`:         {`"title": "G & more", "where": {"policy": "blind"},`, "/plots/0/where/policy"},
		`"lines": "policy"`:            {`"lines": "failing"`, "/plots/0/lines"},
		`"scenario": "quick-errors"`:   {`"scenario": "nowhere"`, "nowhere"},
		`"pointer": "/faults/0/calls"`: {`"pointer": "/faults/x/calls"`, "faults"},
	} {
		f, err := Parse("test", []byte(strings.Replace(smallExperiment, was, x[0], 1)))
		if err == nil {
			_, err = NewPlan(f, "")
		}
		require.Error(t, err, x[0])
		assert.Contains(t, err.Error(), x[1], x[0])
		assert.NotContains(t, err.Error(), "\n")
	}
	many := strings.Replace(smallExperiment, `"seeds": 3`, `"seeds": 10000`, 1)
	many = strings.Replace(many, `[0.1, 0.8], "also": [{"pointer": "/tuning/ledger_ratio", "values": [0.2, 0.3]}]`, `[0.1, 0.2, 0.3, 0.4, 0.5, 0.6]`, 1)
	f, err := Parse("test", []byte(many))
	require.NoError(t, err)
	_, err = NewPlan(f, "")
	assert.ErrorContains(t, err, "more than")
}

// An error of a run ends the experiment and is returned.
func TestRunFails(t *testing.T) {
	p := newTestPlan(t, smallExperiment)
	p.Runs[7].Policy = "none"
	_, err := Execute(context.Background(), p, Options{Out: t.TempDir(), Build: "b", Jobs: 2})
	assert.ErrorContains(t, err, `seed 2: no policy "none"`)
	assert.False(t, errors.Is(err, context.Canceled))
}

// Every shipped experiment expands into a valid grid.
func TestLibrary(t *testing.T) {
	require.NotEmpty(t, Library.Names())
	for _, name := range Library.Names() {
		f, dir, err := Read(name)
		require.NoError(t, err)
		p, err := NewPlan(f, dir)
		require.NoError(t, err, name)
		assert.NotEmpty(t, p.Runs)
		assert.Equal(t, name, f.Name)
	}
}
