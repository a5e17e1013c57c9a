package instance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
)

// A process is ready within 6 s after its listen address is free, or after the process that has the address answers.
// readyBound is the sum of the waits; it must be less than that, which leaves time for the process's own work.
func TestReadyBound(t *testing.T) {
	require.Less(t, readyBound, 6*time.Second)
	require.Less(t, stateTimeout+firstListTimeout, acceptTimeout,
		"a successor whose waits take their maximum is dropped")
}

// A process waits for its first call to discovery if it knows no worker, or if lists are pushed to it. No setting
// makes the wait longer than firstListTimeout.
func TestFirstListWait(t *testing.T) {
	for _, c := range []struct {
		known int
		asked bool
		grace time.Duration
		want  time.Duration
	}{
		{0, false, 500 * time.Millisecond, firstListTimeout},
		{0, true, 500 * time.Millisecond, firstListTimeout},
		{9, true, 500 * time.Millisecond, 0},
		{9, false, 500 * time.Millisecond, 125 * time.Millisecond},
		{9, false, time.Minute, firstListTimeout},
		{9, false, 0, 0},
	} {
		s := topazfall.Settings{ListOnRequest: c.asked,
			Contract: topazfall.Contract{DrainGrace: c.grace.Microseconds()}}
		require.Equal(t, c.want, firstListWait(&s, c.known), "%+v", c)
	}
}

// Discovery never answers three hundred processes that start at once, or answers later than they wait: each continues
// exactly after its timeout while the call is still open.
func TestAwaitFirst(t *testing.T) {
	const processes = 300
	for name, answer := range map[string]time.Duration{
		"never": 0, "late": 10 * firstListTimeout, "at once": 1, "slowly": firstListTimeout / 2,
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
						awaitFirst(ended, firstListTimeout)
						took <- time.Since(began)
					}()
				}
				want := firstListTimeout
				if answer > 0 {
					want = min(answer, firstListTimeout)
				}
				for range processes {
					require.Equal(t, want, <-took)
				}
				time.Sleep(answer)
			})
		})
	}
}
