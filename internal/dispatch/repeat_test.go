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

// A class goes and comes back with a looser rule while its message is in flight, and the process is replaced. The
// message must not run twice: another attempt, or a refusal, after one that may have run would break the rule that it
// was admitted with.
func TestMessageKeepsItsClassWhenHandedOver(t *testing.T) {
	unsafe := testSettings(nil)
	without, looser := testSettings(nil), testSettings(nil)
	without.Classes = []topazfall.Class{{Name: "other", Deadline: 60e6, Aim: 60e6}}
	looser.Classes[0].Repeat = topazfall.Safe
	c, s := startWithSettings(t, unsafe, "h", "i")
	x := newExchange(c, "1", time.Minute)
	c.Submit(x)
	r := <-s.sent
	require.True(t, r.TryStart(c.Now()))
	r.MarkAccepted()
	c.UpdateSettings(without)
	c.UpdateSettings(looser)
	handOver := func(c *Core, x *exchange.Exchange) (state InFlightMessage) {
		require.True(t, c.HandOver(x, func(m InFlightMessage) error { state = m; return nil }))
		return state
	}
	for range 2 { // two replacements in a row
		state := handOver(c, x)
		require.Equal(t, unsafe.Classes[0], state.ClassIs)
		c, s = startWithSettings(t, looser, "h", "i")
		x = c.Resume(state, nil)
		c.Sync()
	}
	c.PostCallback(Callback{ID: "1", From: r.Host.ID, State: Finished, Outcome: topazfall.ConnectionLost,
		Load: topazfall.NoLoad})
	require.Equal(t, exchange.Failed, awaitAnswer(t, x).Result)
	require.Empty(t, s.sent)
}

// A message that is resumed has the class that it had, and a stricter rule of the settings here. A version before this
// sends the class that the settings have by then, and beside it that the message must not run twice.
func TestClassOfResumedMessage(t *testing.T) {
	class := func(rule topazfall.RepeatRule, window int64) topazfall.Class {
		return topazfall.Class{Name: "job", Deadline: 60e6, Aim: 60e6, Repeat: rule, Window: window}
	}
	safe, once, keyed := class(topazfall.Safe, 0), class(topazfall.Unsafe, 0), class(topazfall.Keyed, 5e6)
	none := topazfall.Class{}
	for name, play := range map[string]struct {
		handedOver, here, want topazfall.Class
		once                   bool
	}{
		"looser here":        {keyed, safe, keyed, false},
		"stricter here":      {safe, keyed, keyed, false},
		"another window":     {keyed, class(topazfall.Keyed, 9e6), keyed, false},
		"of an older peer":   {safe, safe, once, true},
		"not known here":     {keyed, none, keyed, false},
		"not known and once": {safe, none, once, true},
	} {
		settings := testSettings(nil)
		if play.here.Name != "" {
			settings.Classes = append(settings.Classes, play.here)
		}
		c, s := startWithSettings(t, settings, "h", "i")
		m := newExchange(c, "1", time.Minute).Message
		m.Once = play.once
		x := c.Resume(InFlightMessage{Message: m, ClassIs: play.handedOver}, nil)
		<-s.sent
		class, known := c.balancer.ClassOf(x.Number)
		require.True(t, known, name)
		require.Equal(t, play.want, class, name)
		require.Equal(t, play.want.Repeat == topazfall.Unsafe, x.Once, name)
		require.Equal(t, "job", c.classes[x.Class].Name, name)
	}
}

// A class becomes stricter while the second of two attempts waits for its connection: it is not written any more.
func TestStricterRuleBindsAttemptsUnderWay(t *testing.T) {
	settings := testSettings(nil)
	settings.Classes[0].Repeat = topazfall.Safe
	c, s := startWithSettings(t, settings, "h", "i")
	x := newExchange(c, "1", time.Minute)
	c.Submit(x)
	first := <-s.sent
	copied := x.AddRelay(&exchange.Host{ID: "i"}, c.Now(), x.Due)
	require.True(t, first.TryStart(c.Now()))
	c.UpdateSettings(testSettings(nil))
	require.False(t, copied.TryStart(c.Now()))
}

// A message that was read while its class must not run twice is admitted when the class has a looser rule already.
func TestClassBecomesLooserBeforeAdmission(t *testing.T) {
	c, s := start(t, "h", "i")
	x := newExchange(c, "1", time.Minute)
	x.Once = true
	looser := testSettings(nil)
	looser.Classes[0].Repeat = topazfall.Safe
	c.UpdateSettings(looser)
	c.Submit(x)
	r := <-s.sent
	require.True(t, r.TryStart(c.Now()))
	c.RelayEnded(r, topazfall.ConnectionLost, topazfall.NoLoad)
	require.Equal(t, exchange.Failed, awaitAnswer(t, x).Result)
	require.Empty(t, s.sent)
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
