package ramp

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Whatever was sent within the window is in the sum, and nothing that was sent before.
func TestWindowIsExact(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const window = 1000
	var log Log
	var sends []Sent
	now := int64(0)
	for range 2000 {
		now += random.Int64N(100) // ten or twenty a window: none are merged
		s := Sent{At: now, Work: float64(1 + random.IntN(9)), Own: random.IntN(2) == 0}
		log.Add(s, window)
		sends = append(sends, s)
		all, own := 0.0, 0.0
		for _, s := range sends {
			if s.At > now-window {
				all += s.Work
				if s.Own {
					own += s.Work
				}
			}
		}
		gotAll, gotOwn := log.Since(now - window)
		require.Equal(t, all, gotAll)
		require.Equal(t, own, gotOwn)
	}
}

// A flood of sends, true or forged, takes a bounded place, and the sum is never less than what was sent.
func TestFloodIsBounded(t *testing.T) {
	var log Log
	own := 0.0
	for i := range 10_000 {
		mine := i%3 == 0
		log.Add(Sent{At: int64(i), Work: 1, Own: mine}, 20_000)
		if mine {
			own++
		}
		require.LessOrEqual(t, len(log), most)
	}
	all, gotOwn := log.Since(-1)
	require.Equal(t, 10_000.0, all)
	require.Equal(t, own, gotOwn)
	late, _ := log.Since(9_000)
	require.GreaterOrEqual(t, late, 999.0)
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
