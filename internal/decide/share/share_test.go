package share

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// A tenant that keeps to its share is rarely beyond it, by random variation alone. A tenant at five times its share is
// beyond it for the excess, and no tenant affects another. The same holds at a dispatcher that sees the mean traffic
// and at one that sees several times as much. One of hundreds that sees few messages takes all of them to be within
// their shares.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct{ part, seen float64 }{
		"one of two": {0.5, 0.5}, "twice the mean": {0.25, 0.5}, "one of 300": {1. / 300, 4. / 300},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		s := Shares{Quotas: []float64{20, 20, 0}, Fraction: c.part}
		within, all := [3]float64{}, [3]float64{}
		now, seconds := 1e6, 400.
		for end := now + seconds*1e6; now < end; now += random.ExpFloat64() * 1e6 / (c.seen * (20*0.9 + 20*5 + 1)) {
			tenant := 0
			if x := random.Float64() * (20*0.9 + 20*5 + 1); x >= 20*0.9+20*5 {
				tenant = 2 // without a limit
			} else if x >= 20*0.9 {
				tenant = 1
			}
			all[tenant]++
			if s.IsWithin(int64(now), tenant) {
				within[tenant]++
			}
		}
		require.Greater(t, within[0]/all[0], 0.93, name)
		require.Equal(t, all[2], within[2], name)
		if c.part < 0.01 {
			require.Equal(t, all[1], within[1], name)
			continue
		}
		// A fifth of the messages of the tenant at five times its share lie within the share. The tolerance allows
		// for more: a dispatcher that sees more traffic than its part of all quotas takes this for unevenly spread
		// traffic, and raises the share of every tenant in proportion.
		require.InDelta(t, 0.2, within[1]/all[1], 0.02+0.2*(s.rate/40/c.part-1), name)
	}
}

func TestUnknownAndUnboundedTenants(t *testing.T) {
	s := Shares{Quotas: []float64{1, math.Inf(-1), 0}, Fraction: 1, seen: minSeenPerDispatcher}
	for _, tenant := range []int{-1, 3, 1, 2} {
		for range 100 {
			require.True(t, s.IsWithin(5, tenant))
		}
	}
	require.False(t, func() (ok bool) {
		for range 100 {
			ok = s.IsWithin(5, 0)
		}
		return ok
	}(), "a hundred messages at the same moment")
	require.True(t, s.IsWithin(100e6, 0), "the bucket is full again")
	require.True(t, s.IsWithin(1, 0), "the clock goes back")
}
