package inventory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A dispatcher among few tries again in time for its watch to go on; one of many leaves the others their share, by
// chance, and none stays away for long.
func TestPause(t *testing.T) {
	for _, dispatchers := range []int{1, 3, 8, 48} {
		w, seen := New("", nil, dispatchers), map[time.Duration]bool{}
		for failures := 1; failures < 99; failures++ {
			p := w.pause(failures)
			seen[p] = true
			require.Positive(t, p)
			require.LessOrEqual(t, p, 8*time.Second)
			if dispatchers < 8 {
				require.LessOrEqual(t, p, 600*time.Millisecond)
			}
			if failures > 5 { // so many calls a second of all together
				require.LessOrEqual(t, float64(dispatchers)/p.Seconds(), 14.)
			}
		}
		require.Greater(t, len(seen), 50, "not all at the same time")
		require.True(t, dispatchers > 7 || w.pause(1) < 200*time.Millisecond)
	}
}
