package experiment

import (
	"bytes"
	"fmt"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// curve is one line of a plot with its confidence intervals.
type curve struct {
	plotter.XYs
	plotter.YErrors
}

// curves returns the lines of a plot, in the order of their axis. Only cells with the plot's
// selected values on all other axes are drawn, since a mean over different settings would be
// meaningless.
func (s *Summary) curves(p Plot) (names []string, out []curve) {
	x, lines := s.File.axisIndex(p.X), -1
	if p.Lines != "" {
		lines = s.File.axisIndex(p.Lines)
	}
	n := 1
	if lines >= 0 {
		n = s.File.Axes[lines].Len()
	}
	out = make([]curve, n)
	for i := range n {
		if lines >= 0 {
			names = append(names, s.File.Axes[lines].Label(i))
		} else {
			names = append(names, p.Y)
		}
	}
cells:
	for _, r := range s.Rows {
		for a, v := range r.cell {
			axis := &s.File.Axes[a]
			if a != x && a != lines && v != max(axis.indexOf(p.Where[axis.Name]), 0) {
				continue cells
			}
		}
		at, err := strconv.ParseFloat(s.File.Axes[x].Label(r.cell[x]), 64)
		if err != nil {
			at = float64(r.cell[x])
		}
		c := &out[0]
		if lines >= 0 {
			c = &out[r.cell[lines]]
		}
		estimate := r.Measures[p.Y]
		c.XYs = append(c.XYs, plotter.XY{X: at, Y: estimate.Mean})
		c.YErrors = append(c.YErrors, struct{ Low, High float64 }{estimate.HalfWidth, estimate.HalfWidth})
	}
	return names, out
}

// Draw renders a plot in the format "svg" or "png".
func (s *Summary) Draw(p Plot, format string) ([]byte, error) {
	g := plot.New()
	g.Title.Text = p.Title
	g.X.Label.Text, g.Y.Label.Text = p.X, p.Y
	g.Legend.Top = true
	g.Legend.Padding = vg.Points(2)
	names, lines := s.curves(p)
	if a := s.File.Axes[s.File.axisIndex(p.X)]; !hasNumericLabels(&a) {
		var ticks []string
		for i := range a.Len() {
			ticks = append(ticks, a.Label(i))
		}
		g.NominalX(ticks...)
	} else if p.Log {
		for _, c := range lines {
			for _, at := range c.XYs {
				if at.X <= 0 {
					return nil, fmt.Errorf("plot %q: %g on a logarithmic axis", p.Title, at.X)
				}
			}
		}
		g.X.Scale, g.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	g.Add(plotter.NewGrid())
	for i, c := range lines {
		line, points, err := plotter.NewLinePoints(c.XYs)
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", p.Title, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes, points.Shape = plotutil.Dashes(i/len(plotutil.DefaultColors)), draw.CircleGlyph{}
		points.Radius = vg.Points(2)
		bars, err := plotter.NewYErrorBars(c)
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", p.Title, err)
		}
		bars.Color = plotutil.Color(i)
		g.Add(line, points, bars)
		g.Legend.Add(names[i], line, points)
	}
	w, err := g.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return nil, fmt.Errorf("plot %q: %w", p.Title, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("plot %q: %w", p.Title, err)
	}
	return b.Bytes(), nil
}

func hasNumericLabels(a *Axis) bool {
	for i := range a.Len() {
		if _, err := strconv.ParseFloat(a.Label(i), 64); err != nil {
			return false
		}
	}
	return true
}
