package admission

import (
	"math"
	"math/rand/v2"
)

// The streams of random numbers of a run. Each has its own generator, so that the traffic is the same whatever the
// dispatchers do.
const (
	fleetStream = iota
	trafficStream
	networkStream
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// uniform draws a value between two bounds.
func uniform(random *rand.Rand, low, high float64) float64 { return low + (high-low)*random.Float64() }

// uniformTime draws a time between two bounds, in microseconds.
func uniformTime(random *rand.Rand, low, high int64) int64 { return low + random.Int64N(high-low+1) }

// exponentialTime draws a time from the exponential distribution with a mean, in microseconds.
func exponentialTime(random *rand.Rand, mean float64) int64 { return int64(random.ExpFloat64() * mean) }

// logNormal draws a value from the log-normal distribution with mean 1 and a coefficient of variation.
func logNormal(random *rand.Rand, cv float64) float64 {
	variance := math.Log(1 + cv*cv)
	return math.Exp(random.NormFloat64()*math.Sqrt(variance) - variance/2)
}
