package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with the half-width of its 95% confidence interval (Student's t). The
// half-width is unknown and zero for a single value.
type Estimate struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"`
	N         int     `json:"n"`
}

const confidenceLevel = 0.95

func estimate(values []float64) Estimate {
	e := Estimate{N: len(values)}
	if e.N == 0 {
		return e
	}
	mean, sd := stat.MeanStdDev(values, nil)
	e.Mean = mean
	if e.N > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(e.N - 1)}
		e.HalfWidth = t.Quantile(0.5+confidenceLevel/2) * sd / math.Sqrt(float64(e.N))
	}
	return e
}

// ExcludesZero reports whether the interval excludes zero.
func (e Estimate) ExcludesZero() bool { return e.N > 1 && math.Abs(e.Mean) > e.HalfWidth }

// Row is a cell with the estimates over its seeds.
type Row struct {
	Labels   []string            `json:"labels"`
	Measures map[string]Estimate `json:"measures"`
	// Differences are the differences to the baseline cell, paired by seed: runs with the same seed
	// have the same traffic, so the differences vary less than the means.
	Differences map[string]Estimate `json:"against,omitempty"`
	cell        Cell
}

// Summary is the result of an experiment.
type Summary struct {
	File *File    `json:"experiment"`
	Axes []string `json:"axes"`
	Rows []Row    `json:"rows"`
}

// Summarize summarizes the results, which are in the order of the plan's runs.
func Summarize(p *Plan, results []map[string]float64) *Summary {
	s := &Summary{File: p.File}
	for _, a := range p.File.Axes {
		s.Axes = append(s.Axes, a.Name)
	}
	base := p.File.axisIndex(p.File.Baseline)
	seeds := p.File.Seeds
	column := func(cell int, measure string) []float64 {
		values := make([]float64, seeds)
		for n := range values {
			values[n] = results[cell*seeds+n][measure]
		}
		return values
	}
	for c, cell := range p.Cells {
		r := Row{Measures: map[string]Estimate{}, cell: cell}
		for i, v := range cell {
			r.Labels = append(r.Labels, p.File.Axes[i].Label(v))
		}
		if base >= 0 && cell[base] != 0 {
			r.Differences = map[string]Estimate{}
		}
		for _, m := range p.File.Measures {
			values := column(c, m)
			r.Measures[m] = estimate(values)
			if r.Differences != nil {
				for n, x := range column(p.baselineCell(c, base), m) {
					values[n] -= x
				}
				r.Differences[m] = estimate(values)
			}
		}
		s.Rows = append(s.Rows, r)
	}
	return s
}

// baselineCell returns the cell that differs from c only by having the first value of an axis.
func (p *Plan) baselineCell(c, axis int) int {
	step := 1
	for i := axis + 1; i < len(p.File.Axes); i++ {
		step *= p.File.Axes[i].Len()
	}
	return c - p.Cells[c][axis]*step
}
