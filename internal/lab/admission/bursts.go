package admission

import "math/rand/v2"

// The bursts of bursty traffic.
const (
	burstFactor  = 1.5
	minBurstTime = 2 * second
	maxBurstTime = 6 * second
	meanPause    = 16 * second // between two bursts
)

// The surge of the shape of that name.
const (
	surgeFactor = 2
	surgeTime   = 6 * second
)

// surgeRateFactor returns the factor of the rates of the shape Surge, by the time since the cut began; that may be
// negative.
func surgeRateFactor(sinceCut int64) float64 {
	if sinceCut >= 0 && sinceCut < surgeTime {
		return surgeFactor
	}
	return 1
}

// meanBurstFactor returns the mean factor of a rate that has bursts.
func meanBurstFactor() float64 {
	length := float64(minBurstTime+maxBurstTime) / 2
	return 1 + (burstFactor-1)*length/(length+float64(meanPause))
}

// burst is a rate that is raised for some seconds from time to time.
type burst struct{ from, until int64 }

// factor returns the factor of the rate at the time now, which must not decrease.
func (b *burst) factor(random *rand.Rand, now int64) float64 {
	for now >= b.until {
		b.from = max(b.until, startTime) + exponentialTime(random, float64(meanPause))
		b.until = b.from + uniformTime(random, minBurstTime, maxBurstTime)
	}
	if now >= b.from {
		return burstFactor
	}
	return 1
}
