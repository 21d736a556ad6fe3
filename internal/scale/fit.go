package scale

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a straight line through measured points.
type Line struct {
	Slope     float64 `json:"slope"`
	Error     float64 `json:"error"` // half of the slope's 95% interval, by Student's t
	Intercept float64 `json:"intercept"`
	Bend      float64 `json:"bend"`   // how far the middle lies off the line, as a share of the rise
	Power     float64 `json:"power"`  // the exponent of a power law through the points; NaN is 0
	Linear    bool    `json:"linear"` // no bend is shown
}

const (
	// PointsLeast are the sizes over which a sum is fitted.
	PointsLeast = 5
	confidence  = 0.95
	offLeast    = 0.01 // of the mean: what the line leaves, over which another curve is looked at
	bySquares   = 4    // times less than that, in squares, a power law has to leave
	powerLeast  = 0.05 // of its exponent, off 1
	bendMost    = 0.05 // share of the rise that a bend may have and still count as none: a root over fifths bends by 0.09
)

// Fit fits y against x, of PointsLeast points at least. A sum is not linear if the square
// that is put beside the line is sure at 95% and bends it by over a twentieth of its rise, or if a power
// law leaves a quarter of what the line does, in squares.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	l := Line{Linear: true}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	mean, spread := stat.Mean(x, nil), 0.0
	rest := 0.0
	for i := range x {
		spread += (x[i] - mean) * (x[i] - mean)
		d := y[i] - l.Intercept - l.Slope*x[i]
		rest += d * d
	}
	l.Error = quantile(n-2) * math.Sqrt(rest/(n-2)/spread)
	curved := 0.0
	l.Power, curved = power(x, y)
	off := offLeast * stat.Mean(y, nil)
	powered := rest > n*off*off && curved < rest/bySquares && math.Abs(l.Power-1) > powerLeast
	least, most := x[0], x[0]
	for _, v := range x {
		least, most = math.Min(least, v), math.Max(most, v)
	}
	rise := math.Abs(l.Slope) * (most - least)
	c, half, ok := square(x, y)
	if !ok || rise == 0 {
		return l
	}
	l.Bend = c * (most - least) * (most - least) / 4 / rise
	bent := math.Abs(c) > half && math.Abs(l.Bend) > bendMost
	l.Linear = !bent && !powered
	return l
}

func quantile(free float64) float64 {
	return distuv.StudentsT{Sigma: 1, Nu: free}.Quantile(0.5 + confidence/2)
}

// square is the coefficient of x squared in a least-squares fit, and half of its interval.
func square(x, y []float64) (c, half float64, ok bool) {
	scale := 0.0
	for _, v := range x {
		scale = math.Max(scale, math.Abs(v))
	}
	a := mat.NewDense(len(x), 3, nil)
	for i, v := range x {
		v /= scale
		a.SetRow(i, []float64{1, v, v * v})
	}
	var at, inverse mat.Dense
	at.Mul(a.T(), a)
	if err := inverse.Inverse(&at); err != nil {
		return 0, 0, false
	}
	var by, fit, drawn mat.VecDense
	by.MulVec(a.T(), mat.NewVecDense(len(y), y))
	fit.MulVec(&inverse, &by)
	drawn.MulVec(a, &fit)
	rest := 0.0
	for i, v := range y {
		rest += (v - drawn.AtVec(i)) * (v - drawn.AtVec(i))
	}
	free := float64(len(x) - 3)
	half = quantile(free) * math.Sqrt(rest/free*inverse.At(2, 2))
	return fit.AtVec(2) / scale / scale, half / scale / scale, true
}

// power is the exponent of a power law, and the squares that it leaves; 0 where a value is
// not over 0.
func power(x, y []float64) (exponent, rest float64) {
	lx, ly := make([]float64, len(x)), make([]float64, len(y))
	for i := range x {
		if x[i] <= 0 || y[i] <= 0 {
			return 0, math.Inf(1)
		}
		lx[i], ly[i] = math.Log(x[i]), math.Log(y[i])
	}
	factor, exponent := stat.LinearRegression(lx, ly, nil, false)
	for i := range x {
		d := y[i] - math.Exp(factor+exponent*lx[i])
		rest += d * d
	}
	return exponent, rest
}

// Sizes are those that a fit plays, up to the one that is wanted: fifths of it.
func Sizes(most float64) (out []float64) {
	for i := range PointsLeast {
		out = append(out, most*float64(i+1)/PointsLeast)
	}
	return out
}

// Agreement is how far hollow couriers are from real ones in one sum, as a share of what the
// real ones have.
type Agreement struct {
	Name   string  `json:"name"`
	Real   float64 `json:"real"`
	Hollow float64 `json:"hollow"`
	Off    float64 `json:"off"`
}

// AgreeWithin is how far they may be apart and still stand for real ones.
const AgreeWithin = 0.1

// Compare tells how far two figures are apart.
func Compare(name string, is, hollow float64) Agreement {
	a := Agreement{Name: name, Real: is, Hollow: hollow}
	switch {
	case is != 0:
		a.Off = hollow/is - 1
	case hollow != 0: // by all there is
		a.Off = 1
	}
	return a
}

// Holds tells that they are near enough.
func (a Agreement) Holds() bool { return math.Abs(a.Off) <= AgreeWithin }
