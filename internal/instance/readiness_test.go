package instance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
)

// A process is ready within 6 s of when it can have its address, and leaves time for its own work in that.
func TestReadyBound(t *testing.T) {
	require.Less(t, readyBound, 6*time.Second)
	require.Less(t, stateTime+firstList, acceptTime, "a successor whose waits last their longest is not given up")
}

// Where no worker is known the first call to discovery is waited for, and where lists come unasked; no setting makes
// the wait longer than its bound.
func TestListPatience(t *testing.T) {
	for _, c := range []struct {
		known int
		asked bool
		grace time.Duration
		want  time.Duration
	}{
		{0, false, 500 * time.Millisecond, firstList},
		{0, true, 500 * time.Millisecond, firstList},
		{9, true, 500 * time.Millisecond, 0},
		{9, false, 500 * time.Millisecond, 125 * time.Millisecond},
		{9, false, time.Minute, firstList},
		{9, false, 0, 0},
	} {
		s := topazfall.Settings{ListOnRequest: c.asked, Contract: topazfall.Contract{DrainGrace: c.grace.Microseconds()}}
		require.Equal(t, c.want, listPatience(&s, c.known), "%+v", c)
	}
}

// Discovery never answers three hundred that start at once, or answers each only after more than anybody waits: each
// goes on at its bound, not later, and not before, as long as the call is under way.
func TestAwaitFirstEnds(t *testing.T) {
	const processes = 300
	for name, answer := range map[string]time.Duration{
		"never": 0, "late": 10 * firstList, "at once": 1, "slowly": firstList / 2,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, took := time.Now(), make(chan time.Duration, processes)
				for range processes {
					ended := make(chan struct{})
					if answer > 0 {
						time.AfterFunc(answer, func() { close(ended) })
					}
					go func() {
						awaitFirst(ended, firstList)
						took <- time.Since(began)
					}()
				}
				want := firstList
				if answer > 0 {
					want = min(answer, firstList)
				}
				for range processes {
					require.Equal(t, want, <-took)
				}
				time.Sleep(answer)
			})
		})
	}
}
