package measure

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"snowjunction/internal/scale"
)

// fittedTotals lists the totals that a fit covers, per courier or for the directory.
var fittedTotals = []struct {
	name string
	of   func(f *ScaleFigures) (float64, bool)
}{
	{"carrier: state, B", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.QuotaRequester, func(r *RoleFigures) float64 { return r.StateBytes })
	}},
	{"carrier: datagrams out /s", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.QuotaRequester, func(r *RoleFigures) float64 { return r.Sent })
	}},
	{"carrier: B out /s", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.QuotaRequester, func(r *RoleFigures) float64 { return r.SentBytes })
	}},
	{"carrier: B in /s", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.QuotaRequester, func(r *RoleFigures) float64 { return r.ReceivedBytes })
	}},
	{"keeper: state, B", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.LeaseOwner, func(r *RoleFigures) float64 { return r.StateBytes })
	}},
	{"keeper: datagrams out /s", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.LeaseOwner, func(r *RoleFigures) float64 { return r.Sent })
	}},
	{"keeper: B out /s", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.LeaseOwner, func(r *RoleFigures) float64 { return r.SentBytes })
	}},
	{"keeper: B in /s", func(f *ScaleFigures) (float64, bool) {
		return roleFigure(f.LeaseOwner, func(r *RoleFigures) float64 { return r.ReceivedBytes })
	}},
	{"hollow courier: core", func(f *ScaleFigures) (float64, bool) {
		return courierFigure(f.Simulated, func(c *CourierFigures) float64 { return c.CPU })
	}},
	{"real courier: core", func(f *ScaleFigures) (float64, bool) {
		return courierFigure(f.Real, func(c *CourierFigures) float64 { return c.CPU })
	}},
	{"real courier: heap, B", func(f *ScaleFigures) (float64, bool) {
		return courierFigure(f.Real, func(c *CourierFigures) float64 { return c.HeapBytes })
	}},
	{"directory: state, B", func(f *ScaleFigures) (float64, bool) { return f.Directory.StateBytes, true }},
	{"directory: calls /s", func(f *ScaleFigures) (float64, bool) { return f.Directory.Calls, true }},
	{"directory: B out /s", func(f *ScaleFigures) (float64, bool) { return f.Directory.Out, true }},
	{"directory: B out at the start", func(f *ScaleFigures) (float64, bool) { return f.Directory.StartOut, true }},
	{"courier: list told at the start, B", func(f *ScaleFigures) (float64, bool) { return f.Start.Bytes, true }},
	{"hollow courier: list held, B", func(f *ScaleFigures) (float64, bool) {
		return courierFigure(f.Simulated, func(c *CourierFigures) float64 { return c.ListBytes })
	}},
	{"hollow courier: forwarded, B /s", func(f *ScaleFigures) (float64, bool) {
		if f.Simulated == nil || f.Simulated.Forwarding == nil {
			return 0, false
		}
		return f.Simulated.Forwarding.Bytes, true
	}},
	{"last change in force, ms", func(f *ScaleFigures) (float64, bool) { return f.Propagation.LastMs, f.Propagation.Confirmed > 0 }},
}

func roleFigure(r *RoleFigures, of func(*RoleFigures) float64) (float64, bool) {
	if r == nil {
		return 0, false
	}
	return of(r), true
}

func courierFigure(c *CourierFigures, of func(*CourierFigures) float64) (float64, bool) {
	if c == nil {
		return 0, false
	}
	return of(c), true
}

// FitFigures holds the runs of a fit and the fitted lines.
type FitFigures struct {
	Against string                `json:"against"`
	Sizes   []float64             `json:"sizes"`
	Lines   map[string]scale.Line `json:"lines"`
	Runs    []*ScaleFigures       `json:"runs"`
}

// sizes returns the sizes that a fit measures, or nil without a fit.
func (o Scale) sizes() []float64 {
	largest, ok := map[string]float64{"couriers": float64(o.Couriers), "destinations": float64(o.Destinations), "events": o.Events}[o.Fit]
	if !ok {
		return nil
	}
	return scale.Sizes(largest)
}

// planOfSize returns the plan with another value of the parameter that is varied.
func (o Scale) planOfSize(v float64) scale.Plan {
	p := o.Plan
	switch o.Fit {
	case "couriers":
		p.Couriers = max(1, int(math.Round(v)))
		p.Real = min(p.Real, p.Couriers)
	case "destinations":
		p.Destinations = max(1, int(math.Round(v)))
	case "events":
		p.Events = v
	}
	return p
}

// fit measures five sizes and prints a fitted line for each total.
func (o Scale) fit(out io.Writer) error {
	fitted := FitFigures{Against: o.Fit, Lines: map[string]scale.Line{}}
	for _, v := range o.sizes() {
		x, err := o.runPlan(o.planOfSize(v))
		if err != nil {
			return err
		}
		fitted.Sizes, fitted.Runs = append(fitted.Sizes, v), append(fitted.Runs, x)
		fmt.Fprintf(out, "-- %s %g\n", o.Fit, v)
		x.print(out)
	}
	fitted.print(out)
	return writeFigures(o.JSON, fitted)
}

// print writes the fitted lines. A total that a run does not have is left out.
func (f *FitFigures) print(out io.Writer) {
	fmt.Fprintf(out, "-- against %s, %d sizes up to %g\n", f.Against, len(f.Sizes), f.Sizes[len(f.Sizes)-1])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "total\tslope\t± (95%)\tat 0\t")
	for _, s := range fittedTotals {
		var y []float64
		for _, x := range f.Runs {
			if v, ok := s.of(x); ok {
				y = append(y, v)
			}
		}
		if len(y) < len(f.Sizes) {
			continue
		}
		l := scale.Fit(f.Sizes, y)
		f.Lines[s.name] = l
		note := ""
		if !l.Linear {
			note = fmt.Sprintf("not linear: bends by %.0f%% of its rise, nearly a power of %.2f", 100*math.Abs(l.Bend), l.Power)
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.2g\t%.4g\t%s\n", s.name, l.Slope, l.Error, l.Intercept, note)
	}
	w.Flush()
}

// AgreementFigures holds the figures of the fleet with only real and with only simulated couriers.
type AgreementFigures struct {
	Real       *ScaleFigures     `json:"real"`
	Hollow     *ScaleFigures     `json:"hollow"`
	Agreements []scale.Agreement `json:"agreements"`
	Holds      bool              `json:"holds"`
}

// ErrTrafficDiffers is returned if simulated couriers do not represent real ones.
var ErrTrafficDiffers = fmt.Errorf("at this size the traffic of simulated couriers differs by more than %g%% from that of real ones", 100*scale.AgreementTolerance)

// compareFleets runs the fleet with only real, then with only simulated couriers, and compares the
// traffic.
func (o Scale) compareFleets(out io.Writer) error {
	agreed := AgreementFigures{Holds: true}
	for _, allReal := range []bool{true, false} {
		p := o.Plan
		if p.Real = 0; allReal {
			p.Real = p.Couriers
		}
		f, err := o.runPlan(p)
		if err != nil {
			return err
		}
		if agreed.Hollow = f; allReal {
			agreed.Real = f
		}
		f.print(out)
	}
	a, b := agreed.Real, agreed.Hollow
	agreed.Agreements = []scale.Agreement{
		scale.Compare("messages /s", a.Messages, b.Messages),
		scale.Compare("delivered /s", a.Delivered, b.Delivered),
		scale.Compare("datagrams out /s", a.Real.Sent, b.Simulated.Sent),
		scale.Compare("B out /s", a.Real.SentBytes, b.Simulated.SentBytes),
		scale.Compare("datagrams in /s", a.Real.Received, b.Simulated.Received),
		scale.Compare("B in /s", a.Real.ReceivedBytes, b.Simulated.ReceivedBytes),
		scale.Compare("directory: B out /s", a.Directory.Out, b.Directory.Out),
		scale.Compare("directory: B in /s", a.Directory.In, b.Directory.In),
	}
	if o.Partitions > 0 {
		agreed.Agreements = append(agreed.Agreements,
			scale.Compare("forwarded /s", a.Real.Forwarding.Forwarded, b.Simulated.Forwarding.Forwarded),
			scale.Compare("B forwarded /s", a.Real.Forwarding.Bytes, b.Simulated.Forwarding.Bytes),
			scale.Compare("list told at the start, B", a.Start.Bytes, b.Start.Bytes),
			scale.Compare("list held, B", a.Real.ListBytes, b.Simulated.ListBytes))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "simulated against real\treal\tsimulated\tdifference")
	for _, c := range agreed.Agreements {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.1f%%\n", c.Name, c.Real, c.Simulated, 100*c.Difference)
		agreed.Holds = agreed.Holds && c.WithinTolerance()
	}
	w.Flush()
	if err := writeFigures(o.JSON, agreed); err != nil {
		return err
	}
	if !agreed.Holds {
		return ErrTrafficDiffers
	}
	fmt.Fprintf(out, "simulated couriers represent real ones at this size: every total is within %g%%\n", 100*scale.AgreementTolerance)
	return nil
}
