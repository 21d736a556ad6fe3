package scale

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a least-squares line through measured points.
type Line struct {
	Slope     float64 `json:"slope"`
	Error     float64 `json:"error"` // half-width of the slope's 95% confidence interval (Student's t)
	Intercept float64 `json:"intercept"`
	Bend      float64 `json:"bend"`   // deviation of a quadratic fit from a straight line at midrange, as a share of the rise
	Power     float64 `json:"power"`  // exponent of a power law fitted to the points; zero if a value is not positive
	Linear    bool    `json:"linear"` // false if the points show curvature
}

const (
	// FitSizes is the number of sizes a fit measures, and the minimum number of points.
	FitSizes             = 5
	confidenceLevel      = 0.95
	minMeanResidual      = 0.01 // mean residual, as a share of the mean of y, above which a power law is considered
	powerLawGain         = 4    // factor by which a power law has to reduce the sum of squared residuals
	minExponentDeviation = 0.05 // minimum deviation of the exponent from 1
	maxBend              = 0.05 // share of the rise that curvature may reach and still count as linear: a square root sampled at fifths bends by 0.09
)

// Fit fits y against x by least squares. It needs at least FitSizes points. The result is not
// linear if a quadratic term is significant at 95% and bends the line by more than a twentieth of
// its rise, or if a power law leaves less than a quarter of the line's squared residuals.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	line := Line{Linear: true}
	line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	mean, spread := stat.Mean(x, nil), 0.0
	squaredResiduals := 0.0
	for i := range x {
		spread += (x[i] - mean) * (x[i] - mean)
		d := y[i] - line.Intercept - line.Slope*x[i]
		squaredResiduals += d * d
	}
	line.Error = studentQuantile(n-2) * math.Sqrt(squaredResiduals/(n-2)/spread)
	powerResiduals := 0.0
	line.Power, powerResiduals = powerLaw(x, y)
	minResidual := minMeanResidual * stat.Mean(y, nil)
	followsPowerLaw := squaredResiduals > n*minResidual*minResidual && powerResiduals < squaredResiduals/powerLawGain && math.Abs(line.Power-1) > minExponentDeviation
	smallest, largest := x[0], x[0]
	for _, v := range x {
		smallest, largest = math.Min(smallest, v), math.Max(largest, v)
	}
	rise := math.Abs(line.Slope) * (largest - smallest)
	curvature, halfWidth, ok := quadraticTerm(x, y)
	if !ok || rise == 0 {
		return line
	}
	line.Bend = curvature * (largest - smallest) * (largest - smallest) / 4 / rise
	bends := math.Abs(curvature) > halfWidth && math.Abs(line.Bend) > maxBend
	line.Linear = !bends && !followsPowerLaw
	return line
}

func studentQuantile(degreesOfFreedom float64) float64 {
	return distuv.StudentsT{Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.5 + confidenceLevel/2)
}

// quadraticTerm returns the coefficient of x squared in a quadratic least-squares fit and the
// half-width of its 95% confidence interval. It returns false if the fit is singular.
func quadraticTerm(x, y []float64) (c, halfWidth float64, ok bool) {
	scale := 0.0
	for _, v := range x {
		scale = math.Max(scale, math.Abs(v))
	}
	a := mat.NewDense(len(x), 3, nil)
	for i, v := range x {
		v /= scale
		a.SetRow(i, []float64{1, v, v * v})
	}
	var normal, inverse mat.Dense
	normal.Mul(a.T(), a)
	if err := inverse.Inverse(&normal); err != nil {
		return 0, 0, false
	}
	var rightSide, coefficients, fitted mat.VecDense
	rightSide.MulVec(a.T(), mat.NewVecDense(len(y), y))
	coefficients.MulVec(&inverse, &rightSide)
	fitted.MulVec(a, &coefficients)
	squaredResiduals := 0.0
	for i, v := range y {
		squaredResiduals += (v - fitted.AtVec(i)) * (v - fitted.AtVec(i))
	}
	degreesOfFreedom := float64(len(x) - 3)
	halfWidth = studentQuantile(degreesOfFreedom) * math.Sqrt(squaredResiduals/degreesOfFreedom*inverse.At(2, 2))
	return coefficients.AtVec(2) / scale / scale, halfWidth / scale / scale, true
}

// powerLaw returns the exponent of a fitted power law and the sum of its squared residuals. It
// returns zero and infinity if a value is not positive.
func powerLaw(x, y []float64) (exponent, squaredResiduals float64) {
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
		squaredResiduals += d * d
	}
	return exponent, squaredResiduals
}

// Sizes returns the sizes a fit measures: fifths of the largest size.
func Sizes(largest float64) (out []float64) {
	for i := range FitSizes {
		out = append(out, largest*float64(i+1)/FitSizes)
	}
	return out
}

// Agreement compares one measured total of simulated couriers with that of real ones.
type Agreement struct {
	Name       string  `json:"name"`
	Real       float64 `json:"real"`
	Simulated  float64 `json:"hollow"`
	Difference float64 `json:"off"`
}

// AgreementTolerance is the relative difference up to which simulated couriers represent real ones.
const AgreementTolerance = 0.1

// Compare returns the relative difference of a figure of simulated couriers from that of real ones.
func Compare(name string, real, simulated float64) Agreement {
	a := Agreement{Name: name, Real: real, Simulated: simulated}
	switch {
	case real != 0:
		a.Difference = simulated/real - 1
	case simulated != 0: // no base for a ratio: count as 100%
		a.Difference = 1
	}
	return a
}

// WithinTolerance reports whether the difference is within AgreementTolerance.
func (a Agreement) WithinTolerance() bool { return math.Abs(a.Difference) <= AgreementTolerance }
