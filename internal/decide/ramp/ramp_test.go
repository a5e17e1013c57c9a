package ramp

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Whatever was sent within the window is in the sum, and nothing that is older than it by more than a part.
func TestWindow(t *testing.T) {
	for name, gap := range map[string]int64{"a few in a window": 5000, "hundreds in a window": 300, "a flood": 3} {
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
			leastAll, leastOwn := sum(now - window)
			mostAll, mostOwn := sum(now - window - window/parts)
			require.True(t, all >= leastAll && all <= mostAll, "%s: %v, not %v to %v", name, all, leastAll, mostAll)
			require.True(t, own >= leastOwn && own <= mostOwn, "%s: %v, not %v to %v", name, own, leastOwn, mostOwn)
			require.LessOrEqual(t, len(log), 2*(parts+1), name)
		}
	}
}

// A time that goes back neither shortens the window nor loses what is in it.
func TestTimeThatGoesBack(t *testing.T) {
	var log Log
	log.Add(Sent{At: 5000, Work: 2, Own: true}, 1000)
	log.Add(Sent{At: 10, Work: 3}, 1000)
	all, own := log.Since(4000)
	require.Equal(t, 5.0, all)
	require.Equal(t, 2.0, own)
	none, _ := log.Since(5000)
	require.Zero(t, none)
}
