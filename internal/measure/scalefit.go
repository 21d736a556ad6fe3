package measure

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"snowjunction/internal/scale"
)

// sums are what is fitted: of one courier, but for the directory's.
var sums = []struct {
	name string
	of   func(f *ScaleFigures) (float64, bool)
}{
	{"carrier: state, B", func(f *ScaleFigures) (float64, bool) {
		return role(f.Carrier, func(r *RoleFigures) float64 { return r.StateBytes })
	}},
	{"carrier: datagrams out /s", func(f *ScaleFigures) (float64, bool) {
		return role(f.Carrier, func(r *RoleFigures) float64 { return r.Sent })
	}},
	{"carrier: B out /s", func(f *ScaleFigures) (float64, bool) {
		return role(f.Carrier, func(r *RoleFigures) float64 { return r.SentBytes })
	}},
	{"carrier: B in /s", func(f *ScaleFigures) (float64, bool) {
		return role(f.Carrier, func(r *RoleFigures) float64 { return r.ReceivedBytes })
	}},
	{"keeper: state, B", func(f *ScaleFigures) (float64, bool) {
		return role(f.Keeper, func(r *RoleFigures) float64 { return r.StateBytes })
	}},
	{"keeper: datagrams out /s", func(f *ScaleFigures) (float64, bool) {
		return role(f.Keeper, func(r *RoleFigures) float64 { return r.Sent })
	}},
	{"keeper: B out /s", func(f *ScaleFigures) (float64, bool) {
		return role(f.Keeper, func(r *RoleFigures) float64 { return r.SentBytes })
	}},
	{"keeper: B in /s", func(f *ScaleFigures) (float64, bool) {
		return role(f.Keeper, func(r *RoleFigures) float64 { return r.ReceivedBytes })
	}},
	{"hollow courier: core", func(f *ScaleFigures) (float64, bool) {
		return one(f.Hollow, func(c *CourierFigures) float64 { return c.CPU })
	}},
	{"real courier: core", func(f *ScaleFigures) (float64, bool) {
		return one(f.Real, func(c *CourierFigures) float64 { return c.CPU })
	}},
	{"real courier: heap, B", func(f *ScaleFigures) (float64, bool) {
		return one(f.Real, func(c *CourierFigures) float64 { return c.HeapBytes })
	}},
	{"directory: state, B", func(f *ScaleFigures) (float64, bool) { return f.Directory.StateBytes, true }},
	{"directory: calls /s", func(f *ScaleFigures) (float64, bool) { return f.Directory.Calls, true }},
	{"directory: B out /s", func(f *ScaleFigures) (float64, bool) { return f.Directory.Out, true }},
	{"directory: B out at the start", func(f *ScaleFigures) (float64, bool) { return f.Directory.StartOut, true }},
	{"courier: list told at the start, B", func(f *ScaleFigures) (float64, bool) { return f.Start.Bytes, true }},
	{"hollow courier: list held, B", func(f *ScaleFigures) (float64, bool) {
		return one(f.Hollow, func(c *CourierFigures) float64 { return c.ListBytes })
	}},
	{"hollow courier: forwarded, B /s", func(f *ScaleFigures) (float64, bool) {
		if f.Hollow == nil || f.Hollow.Forwarding == nil {
			return 0, false
		}
		return f.Hollow.Forwarding.Bytes, true
	}},
	{"last change in force, ms", func(f *ScaleFigures) (float64, bool) { return f.Force.LastMs, f.Force.Heard > 0 }},
}

func role(r *RoleFigures, of func(*RoleFigures) float64) (float64, bool) {
	if r == nil {
		return 0, false
	}
	return of(r), true
}

func one(c *CourierFigures, of func(*CourierFigures) float64) (float64, bool) {
	if c == nil {
		return 0, false
	}
	return of(c), true
}

// Fitted are the runs of a fit and what came of it.
type Fitted struct {
	Against string                `json:"against"`
	Sizes   []float64             `json:"sizes"`
	Lines   map[string]scale.Line `json:"lines"`
	Runs    []*ScaleFigures       `json:"runs"`
}

// sizes are those that a fit plays; none without one.
func (o Scale) sizes() []float64 {
	most, fits := map[string]float64{"couriers": float64(o.Couriers), "destinations": float64(o.Destinations), "events": o.Events}[o.Fit]
	if !fits {
		return nil
	}
	return scale.Sizes(most)
}

// sized is a plan at another size of what a fit goes against.
func (o Scale) sized(v float64) scale.Plan {
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

// fit plays five sizes and prints a line for each sum.
func (o Scale) fit(out io.Writer) error {
	f := Fitted{Against: o.Fit, Lines: map[string]scale.Line{}}
	for _, v := range o.sizes() {
		x, err := o.play(o.sized(v))
		if err != nil {
			return err
		}
		f.Sizes, f.Runs = append(f.Sizes, v), append(f.Runs, x)
		fmt.Fprintf(out, "-- %s %g\n", o.Fit, v)
		x.print(out)
	}
	f.print(out)
	return save(o.JSON, f)
}

// print writes the lines. A sum that none of the runs has is left out.
func (f *Fitted) print(out io.Writer) {
	fmt.Fprintf(out, "-- against %s, %d sizes up to %g\n", f.Against, len(f.Sizes), f.Sizes[len(f.Sizes)-1])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "sum\tslope\t± (95%)\tat 0\t")
	for _, s := range sums {
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

// Agreed is what all couriers real and all hollow came to.
type Agreed struct {
	Real       *ScaleFigures     `json:"real"`
	Hollow     *ScaleFigures     `json:"hollow"`
	Agreements []scale.Agreement `json:"agreements"`
	Holds      bool              `json:"holds"`
}

// ErrApart tells that hollow couriers do not stand for real ones.
var ErrApart = fmt.Errorf("at this size the traffic of hollow couriers is over %g%% off that of real ones: they do not stand for them", 100*scale.AgreementTolerance)

// agree plays the fleet all real, then all hollow, and compares their traffic.
func (o Scale) agree(out io.Writer) error {
	x := Agreed{Holds: true}
	for _, all := range []bool{true, false} {
		p := o.Plan
		if p.Real = 0; all {
			p.Real = p.Couriers
		}
		f, err := o.play(p)
		if err != nil {
			return err
		}
		if x.Hollow = f; all {
			x.Real = f
		}
		f.print(out)
	}
	a, b := x.Real, x.Hollow
	x.Agreements = []scale.Agreement{
		scale.Compare("messages /s", a.Messages, b.Messages),
		scale.Compare("delivered /s", a.Delivered, b.Delivered),
		scale.Compare("datagrams out /s", a.Real.Sent, b.Hollow.Sent),
		scale.Compare("B out /s", a.Real.SentBytes, b.Hollow.SentBytes),
		scale.Compare("datagrams in /s", a.Real.Received, b.Hollow.Received),
		scale.Compare("B in /s", a.Real.ReceivedBytes, b.Hollow.ReceivedBytes),
		scale.Compare("directory: B out /s", a.Directory.Out, b.Directory.Out),
		scale.Compare("directory: B in /s", a.Directory.In, b.Directory.In),
	}
	if o.Partitions > 0 {
		x.Agreements = append(x.Agreements,
			scale.Compare("forwarded /s", a.Real.Forwarding.Forwarded, b.Hollow.Forwarding.Forwarded),
			scale.Compare("B forwarded /s", a.Real.Forwarding.Bytes, b.Hollow.Forwarding.Bytes),
			scale.Compare("list told at the start, B", a.Start.Bytes, b.Start.Bytes),
			scale.Compare("list held, B", a.Real.ListBytes, b.Hollow.ListBytes))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "hollow against real\treal\thollow\toff")
	for _, c := range x.Agreements {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.1f%%\n", c.Name, c.Real, c.Simulated, 100*c.Difference)
		x.Holds = x.Holds && c.WithinTolerance()
	}
	w.Flush()
	if err := save(o.JSON, x); err != nil {
		return err
	}
	if !x.Holds {
		return ErrApart
	}
	fmt.Fprintf(out, "hollow couriers stand for real ones here: every sum is within %g%%\n", 100*scale.AgreementTolerance)
	return nil
}
