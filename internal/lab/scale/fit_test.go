package scale

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// syntheticPoints returns points of a known growth with noise in proportion to the value.
func syntheticPoints(model Model, intercept, slope, noise float64, seed uint64) (points []Point) {
	random := rand.New(rand.NewPCG(seed, 2))
	for _, x := range []float64{200, 800, 1600, 3000, 5500} {
		for range 6 {
			y := intercept + slope*model.transform(x)
			points = append(points, Point{x, y * (1 + noise*random.NormFloat64())})
		}
	}
	return points
}

// Linear, n log n and quadratic growth are told apart, and the true slope lies within the confidence interval. About
// one fit in twenty may miss.
func TestModelSelection(t *testing.T) {
	for _, model := range []Model{Linear, NLogN, Quadratic} {
		const fits = 100
		found, othersRejected, within := 0, 0, 0
		for seed := range uint64(fits) {
			f, err := Regress(syntheticPoints(model, 5, 0.04, 0.02, seed))
			require.NoError(t, err)
			if f.Model == model {
				found++
				if len(strings.Split(f.Rejected, ", ")) == 2 {
					othersRejected++
				}
				if f.Low <= 0.04 && 0.04 <= f.High {
					within++
				}
			}
		}
		require.GreaterOrEqual(t, found, 98, model)
		require.GreaterOrEqual(t, othersRejected, 90, model)
		require.GreaterOrEqual(t, within, 88, model)
	}
}

// Strong noise on points of linear growth does not look like a curve: the linear model is rejected for at most 5 of 100
// series.
func TestNoisyLineIsNotRejected(t *testing.T) {
	rejected := 0
	for seed := range uint64(100) {
		f, err := Regress(syntheticPoints(Linear, 5, 0.04, 0.4, seed))
		require.NoError(t, err)
		if strings.Contains(f.Rejected, string(Linear)) {
			rejected++
		}
	}
	require.LessOrEqual(t, rejected, 5)
}

// A flat series is found flat in most cases, and a growing one never.
func TestFlat(t *testing.T) {
	flat, growing := 0, 0
	for seed := range uint64(100) {
		f, err := Regress(syntheticPoints(Linear, 30, 0, 0.05, seed))
		require.NoError(t, err)
		if f.IsFlat() {
			flat++
		}
		if f, err = Regress(syntheticPoints(Linear, 30, 0.01, 0.05, seed)); err == nil && !f.IsFlat() {
			growing++
		}
	}
	require.GreaterOrEqual(t, flat, 85)
	require.Equal(t, 100, growing)
}

// Points without noise give the exact line. Points that cannot be fitted give an error.
func TestRegress(t *testing.T) {
	f, err := Regress([]Point{{1, 3}, {2, 5}, {3, 7}, {10, 21}, {12, 25}})
	require.NoError(t, err)
	require.Equal(t, Linear, f.Model)
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 1, f.Intercept, 1e-9)
	require.InDelta(t, 41, f.At(20), 1e-6)
	_, err = Regress([]Point{{1, 1}, {1, 2}, {2, 3}, {3, 3}, {4, 4}})
	require.ErrorIs(t, err, errTooFewPoints)
	_, err = Regress([]Point{{1, 1}, {2, math.NaN()}, {3, 4}, {4, 4}, {5, 5}})
	require.ErrorContains(t, err, "not finite")
	f, err = Regress([]Point{{1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}})
	require.NoError(t, err)
	require.True(t, f.IsFlat())
}
