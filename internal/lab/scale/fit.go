package scale

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Point is one measured value (Y) at one position of an axis (X).
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Model is a growth function that is fitted to a series.
type Model string

// The models. All have an intercept, so that they differ only in the shape of the curve.
const (
	Linear    Model = "linear"  // y = a + b x
	NLogN     Model = "n log n" // y = a + b x log2 x
	Quadratic Model = "n^2"     // y = a + b x^2
)

// models lists all models, the slowest growth first: Regress picks the first of equally likely ones.
var models = []Model{Linear, NLogN, Quadratic}

// transform returns the term of the model that the slope is multiplied by.
func (m Model) transform(x float64) float64 {
	switch {
	case m == NLogN && x > 0:
		return x * math.Log2(x)
	case m == Quadratic:
		return x * x
	}
	return x
}

// Fit is the fitted growth of a metric along an axis.
type Fit struct {
	Model     Model   `json:"model"`
	Rejected  string  `json:"rejected"` // names of the models that the points contradict, or "none"
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Low       float64 `json:"slope_low"` // the 95% confidence interval of the slope
	High      float64 `json:"slope_high"`
	DistinctX int     `json:"places"` // number of different values of X
	Points    int     `json:"points"`
	Spread    float64 `json:"spread"` // standard deviation of the residuals, in the unit of Y at the largest X
}

const (
	confidence   = 0.95
	minDistinctX = 5 // with fewer, no curve can be told from a line
	// none is the value of Fit.Rejected if no model is rejected.
	none = "none"
	// rejectionThreshold is the difference of two models' -2 log likelihood above which the less likely one is
	// rejected: it is then less than a twentieth as likely (2 ln 20).
	rejectionThreshold = 5.99
	// noiseFloor is the noise, as a fraction of the largest value, that the weights add in quadrature to each value's
	// own: noise grows with the value, but a value near zero has noise as well.
	noiseFloor = 0.1
)

// errTooFewPoints is returned if the points have too few different x values for a fit.
var errTooFewPoints = errors.New("too few different x values for a fit")

// Regress fits all models to the points by least squares and returns the likeliest one, or the linear one if no model
// is rejected. A point's weight is the inverse square of its noise, which is assumed to grow with the value.
func Regress(points []Point) (Fit, error) {
	distinct := map[float64]bool{}
	for _, p := range points {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) || math.IsNaN(p.X) || math.IsInf(p.X, 0) {
			return Fit{}, fmt.Errorf("point (%v, %v) is not finite", p.X, p.Y)
		}
		distinct[p.X] = true
	}
	if len(distinct) < minDistinctX {
		return Fit{}, errTooFewPoints
	}
	weights := noiseWeights(points)
	var best, linear Fit
	minResidual, residuals := math.Inf(1), map[Model]float64{}
	for _, model := range models {
		f, residual := fitModel(points, weights, model)
		if residuals[model] = residual; residual < minResidual {
			best, minResidual = f, residual
		}
		if model == Linear {
			linear = f
		}
	}
	rejected := rejectedModels(residuals, minResidual, len(points))
	if rejected == none { // there is no evidence for a curve
		best = linear
	}
	best.DistinctX, best.Rejected = len(distinct), rejected
	return best, nil
}

// rejectedModels returns the names of the models that are rejected in favor of the best one, which has the smallest sum
// of squared residuals.
func rejectedModels(residuals map[Model]float64, minResidual float64, points int) string {
	var names []string
	for _, model := range models {
		if residuals[model] > 0 && (minResidual == 0 ||
			float64(points)*math.Log(residuals[model]/minResidual) > rejectionThreshold) {
			names = append(names, string(model))
		}
	}
	if len(names) == 0 {
		return none
	}
	return strings.Join(names, ", ")
}

// noiseWeights returns the weight of each point: the inverse square of its noise, about 1 for the largest value.
func noiseWeights(points []Point) []float64 {
	largest := 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Y))
	}
	weights := make([]float64, len(points))
	for i, p := range points {
		noise := math.Hypot(p.Y, noiseFloor*largest)
		weights[i] = 1
		if largest > 0 {
			weights[i] = largest * largest / (noise * noise)
		}
	}
	return weights
}

// fitModel fits one model. It returns the fit and the weighted sum of the squared residuals.
func fitModel(points []Point, weights []float64, model Model) (Fit, float64) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = model.transform(p.X), p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, weights, false)
	mean, totalWeight, residualSum, squaredDeviations := stat.Mean(xs, weights), 0.0, 0.0, 0.0
	for i := range xs {
		residual := ys[i] - intercept - slope*xs[i]
		residualSum += weights[i] * residual * residual
		squaredDeviations += weights[i] * (xs[i] - mean) * (xs[i] - mean)
		totalWeight += weights[i]
	}
	// The interval does not depend on the weights being right: the noise at each point is estimated by the point's own
	// residual (the HC3 estimator of MacKinnon and White).
	weightedNoise := 0.0
	for i := range xs {
		deviation := xs[i] - mean
		leverage := weights[i] * (1/totalWeight + deviation*deviation/squaredDeviations)
		residual := (ys[i] - intercept - slope*xs[i]) / (1 - leverage)
		weightedNoise += weights[i] * weights[i] * deviation * deviation * residual * residual
	}
	degreesOfFreedom := float64(len(points) - 2)
	halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(1-(1-confidence)/2) *
		math.Sqrt(weightedNoise) / squaredDeviations
	// The weight of the largest value is about 1, so that the spread is the noise there.
	return Fit{Model: model, Intercept: intercept, Slope: slope, Low: slope - halfWidth, High: slope + halfWidth,
		Points: len(points), Spread: math.Sqrt(residualSum / degreesOfFreedom)}, residualSum
}

// At returns the fitted value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*f.Model.transform(x) }

// IsFlat reports whether the confidence interval of the slope contains 0: the points then do not show that the metric
// depends on the axis.
func (f Fit) IsFlat() bool { return f.Low <= 0 && f.High >= 0 }

// name returns the model's name in a report, or "flat" if the points show no growth.
func (f Fit) name() string {
	if f.IsFlat() {
		return "flat"
	}
	return string(f.Model)
}
