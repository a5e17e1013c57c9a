package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/exchange"
)

const window = 10_000_000 // of the keyed class in these tests, in microseconds

// keyedSettings returns settings with one class whose repeated jobs are deduplicated by the workers within the window.
func keyedSettings() topazfall.Settings {
	s := testSettings(nil)
	s.Classes = []topazfall.Class{{Name: "keyed", Deadline: 60e6, Aim: 60e6, Repeat: topazfall.Keyed, Window: window}}
	return s
}

func startKeyed(t *testing.T) (*Core, fakeUpstream) {
	return startWithSettings(t, keyedSettings(), "h", "i")
}

// Of two attempts in flight at once, the one that was decided first finishes its dial last. The window starts with the
// attempt that was written first.
func TestFirstAttemptIsWrittenAfterSecond(t *testing.T) {
	c, _ := startKeyed(t)
	x := newExchange(c, "1", time.Minute)
	c.Submit(x)
	c.Sync()
	first, copied := x.Relays[0], x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due)
	began := c.Now()
	require.True(t, copied.TryStart(began))
	require.False(t, first.TryStart(began+window))
	require.False(t, first.End(), "it was written to the connection")
}

// An open attempt that another process started counts for the window as well, unless it never ran.
func TestWindowOfResumedAttempts(t *testing.T) {
	for _, neverRan := range []bool{false, true} {
		c, _ := startKeyed(t)
		m := newExchange(c, "1", time.Minute)
		sent := c.Now() - window
		relay := InFlightRelay{Host: "h", Sent: sent, Due: m.Due}
		if neverRan {
			relay.Done, relay.Outcome = true, topazfall.Saturated
		}
		x := c.Resume(InFlightMessage{Message: m.Message, ClassIs: keyedSettings().Classes[0],
			Relays: []InFlightRelay{relay},
			Tries:  []topazfall.Try{{Worker: "h", Sent: sent, Done: neverRan, NotRun: neverRan}}}, nil)
		c.Sync()
		require.False(t, x.IsFinished())
		require.Equal(t, neverRan, x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due).TryStart(c.Now()))
	}
}

// A message that must not run twice is not written a second time, even if the module requests it.
func TestSecondStartOfUnsafeRequest(t *testing.T) {
	c, s := start(t, "h", "i")
	x := newExchange(c, "1", time.Minute)
	c.Submit(x)
	first := <-s.sent
	require.True(t, first.TryStart(c.Now()))
	require.False(t, x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due).TryStart(c.Now()))
	c.RelayEnded(first, topazfall.Saturated, topazfall.NoLoad)
	require.True(t, (<-s.sent).TryStart(c.Now()))
}
