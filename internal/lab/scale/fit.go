package scale

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Point is one measured value at one place of an axis.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Model is a way in which a figure grows.
type Model string

// The models. All have an intercept, so that they differ in their curve alone.
const (
	Linear    Model = "linear"  // y = a + b x
	NLogN     Model = "n log n" // y = a + b x log2 x
	Quadratic Model = "n^2"     // y = a + b x^2
)

// models are all of them, the slowest growth first: of equally likely ones it counts.
var models = []Model{Linear, NLogN, Quadratic}

func (m Model) transform(x float64) float64 {
	switch {
	case m == NLogN && x > 0:
		return x * math.Log2(x)
	case m == Quadratic:
		return x * x
	}
	return x
}

// Fit is a figure's growth along an axis.
type Fit struct {
	Model     Model   `json:"model"`
	Rejected  string  `json:"rejected"` // the models that the points speak against, or "none"
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Low       float64 `json:"slope_low"` // the 95% confidence interval of the slope
	High      float64 `json:"slope_high"`
	DistinctX int     `json:"places"` // different values of X
	Points    int     `json:"points"`
	Spread    float64 `json:"spread"` // standard deviation of the residuals, in the unit of Y at the largest X
}

const (
	confidence  = 0.95
	leastPlaces = 5 // below which no curve can be told from a line
	// none is in the place of rejected models where none is.
	none = "none"
	// decisive is the difference of two models' -2 log likelihood, with which the less likely one counts as rejected:
	// it is then less than a twentieth as likely (2 ln 20).
	decisive = 5.99
	// floor is the part of the largest value that the noise of small ones is taken for, in the weights: noise grows
	// with the value, but a value near zero is not free of it.
	floor = 0.1
)

// errFew is returned where the points cannot carry a fit.
var errFew = errors.New("too few places on the axis for a fit")

// Regress fits all models to the points by least squares, weighted by the inverse square of the noise, which is taken
// to grow with the value, and returns the likeliest one.
func Regress(points []Point) (Fit, error) {
	places := map[float64]bool{}
	for _, p := range points {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) || math.IsNaN(p.X) || math.IsInf(p.X, 0) {
			return Fit{}, fmt.Errorf("the point (%v, %v) is no number", p.X, p.Y)
		}
		places[p.X] = true
	}
	if len(places) < leastPlaces {
		return Fit{}, errFew
	}
	weights := weigh(points)
	var best, line Fit
	least, rests := math.Inf(1), map[Model]float64{}
	for _, model := range models {
		f, rest := regress(points, weights, model)
		if rests[model] = rest; rest < least {
			best, least = f, rest
		}
		if model == Linear {
			line = f
		}
	}
	against := rejected(rests, least, len(points))
	if against == none { // nothing speaks for a curve
		best = line
	}
	best.DistinctX, best.Rejected = len(places), against
	return best, nil
}

// rejected names the models that are so much less likely than the best one, whose residuals are the least.
func rejected(rests map[Model]float64, least float64, points int) string {
	var names []string
	for _, model := range models {
		if rests[model] > 0 && (least == 0 || float64(points)*math.Log(rests[model]/least) > decisive) {
			names = append(names, string(model))
		}
	}
	if len(names) == 0 {
		return none
	}
	return strings.Join(names, ", ")
}

func weigh(points []Point) []float64 {
	largest := 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Y))
	}
	weights := make([]float64, len(points))
	for i, p := range points {
		noise := math.Hypot(p.Y, floor*largest)
		weights[i] = 1
		if largest > 0 {
			weights[i] = largest * largest / (noise * noise)
		}
	}
	return weights
}

// regress fits one model, and returns the weighted sum of the squared residuals as well.
func regress(points []Point, weights []float64, model Model) (Fit, float64) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = model.transform(p.X), p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, weights, false)
	mean, total, rest, across := stat.Mean(xs, weights), 0.0, 0.0, 0.0
	for i := range xs {
		residual := ys[i] - intercept - slope*xs[i]
		rest += weights[i] * residual * residual
		across += weights[i] * (xs[i] - mean) * (xs[i] - mean)
		total += weights[i]
	}
	// The interval does not rely on the weights being right: each residual stands for the noise at its own place (the
	// HC3 estimator of MacKinnon and White).
	noise := 0.0
	for i := range xs {
		off := xs[i] - mean
		leverage := weights[i] * (1/total + off*off/across)
		residual := (ys[i] - intercept - slope*xs[i]) / (1 - leverage)
		noise += weights[i] * weights[i] * off * off * residual * residual
	}
	freedom := float64(len(points) - 2)
	reach := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(1-(1-confidence)/2) * math.Sqrt(noise) / across
	// The weight of the largest value is about 1, so that the spread is the noise there.
	return Fit{Model: model, Intercept: intercept, Slope: slope, Low: slope - reach, High: slope + reach,
		Points: len(points), Spread: math.Sqrt(rest / freedom)}, rest
}

// At is the fitted value at a place of the axis.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*f.Model.transform(x) }

// IsFlat tells whether the points do not show that the figure depends on the axis at all.
func (f Fit) IsFlat() bool { return f.Low <= 0 && f.High >= 0 }

// name is the model for a reader: "flat" where the slope may as well be none.
func (f Fit) name() string {
	if f.IsFlat() {
		return "flat"
	}
	return string(f.Model)
}
