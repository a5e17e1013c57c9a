package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/exchange"
)

const window = 10_000_000 // microseconds, of the keyed class of these tests

// keyed are settings with one class whose repeats are dropped within the window.
func keyed() topazfall.Settings {
	s := settings(nil)
	s.Classes = []topazfall.Class{{Name: "keyed", Deadline: 60e6, Aim: 60e6, Repeat: topazfall.Keyed, Window: window}}
	return s
}

func startKeyed(t *testing.T) (*Core, side) { return startOn(t, keyed(), "h", "i") }

// Of two attempts that are out at once the one that was decided on first comes out of its dial last: the window runs
// from the first that was written.
func TestFirstAttemptIsWrittenAfterItsCopy(t *testing.T) {
	c, _ := startKeyed(t)
	x := message(c, "1", time.Minute)
	c.Submit(x)
	c.Sync()
	first, copied := x.Relays[0], x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due)
	began := c.Now()
	require.True(t, copied.TryStart(began))
	require.False(t, first.TryStart(began+window))
	require.False(t, first.End(), "nothing of it was written")
}

// What another process has begun and is still out counts as well, unless it never ran there.
func TestWindowOfResumedAttempts(t *testing.T) {
	for _, neverRan := range []bool{false, true} {
		c, _ := startKeyed(t)
		m := message(c, "1", time.Minute)
		sent := c.Now() - window
		begun := InFlightRelay{Host: "h", Sent: sent, Due: m.Due}
		if neverRan {
			begun.Done, begun.Outcome = true, topazfall.Saturated
		}
		x := c.Resume(InFlightMessage{Message: m.Message, ClassIs: keyed().Classes[0], Relays: []InFlightRelay{begun},
			Tries: []topazfall.Try{{Worker: "h", Sent: sent, Done: neverRan, NotRun: neverRan}}}, nil)
		c.Sync()
		require.False(t, x.IsFinished())
		require.Equal(t, neverRan, x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due).TryStart(c.Now()))
	}
}

// What must not run twice is not written a second time even if the module asked for it.
func TestSecondStartOfUnsafeRequest(t *testing.T) {
	c, s := start(t, "h", "i")
	x := message(c, "1", time.Minute)
	c.Submit(x)
	first := <-s.sent
	require.True(t, first.TryStart(c.Now()))
	require.False(t, x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due).TryStart(c.Now()))
	c.RelayEnded(first, topazfall.Saturated, topazfall.NoLoad)
	require.True(t, (<-s.sent).TryStart(c.Now()))
}
