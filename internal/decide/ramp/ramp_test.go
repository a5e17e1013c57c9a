package ramp

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// The sum contains all work that was sent within the window, and no work that is older by more than one part.
func TestWindow(t *testing.T) {
	for name, gap := range map[string]int64{
		"a few in a window": 5000, "hundreds in a window": 300, "thousands in a window": 3,
	} {
		random := rand.New(rand.NewPCG(1, 2))
		const window = 32_000
		var log Log
		var sends []Sent
		now := int64(0)
		sum := func(since int64) (all, own float64) {
			for _, s := range sends {
				if s.At > since {
					all += s.Work
					if s.Own {
						own += s.Work
					}
				}
			}
			return all, own
		}
		for range 3000 {
			now += random.Int64N(gap)
			s := Sent{At: now, Work: float64(1 + random.IntN(9)), Own: random.IntN(2) == 0}
			log.Add(s, window)
			sends = append(sends, s)
			all, own := log.Since(now - window)
			minAll, minOwn := sum(now - window)
			maxAll, maxOwn := sum(now - window - window/windowParts)
			require.True(t, all >= minAll && all <= maxAll, "%s: %v, not %v to %v", name, all, minAll, maxAll)
			require.True(t, own >= minOwn && own <= maxOwn, "%s: %v, not %v to %v", name, own, minOwn, maxOwn)
			require.LessOrEqual(t, len(log), 2*(windowParts+1), name)
		}
	}
}

// A clock that goes back neither shortens the window nor loses work in it.
func TestClockGoesBack(t *testing.T) {
	var log Log
	log.Add(Sent{At: 5000, Work: 2, Own: true}, 1000)
	log.Add(Sent{At: 10, Work: 3}, 1000)
	all, own := log.Since(4000)
	require.Equal(t, 5.0, all)
	require.Equal(t, 2.0, own)
	none, _ := log.Since(5000)
	require.Zero(t, none)
}
