package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
)

// withDeadline returns settings with one class of this deadline.
func withDeadline(deadline time.Duration) *topazfall.Settings {
	return &topazfall.Settings{Classes: []topazfall.Class{{Deadline: deadline.Microseconds()}}}
}

// SIGKILL comes no sooner than the longest deadline in force, or 3 s if that is longer, plus 0.7 s.
func TestKillDelay(t *testing.T) {
	h := &handover{}
	for _, step := range []struct{ deadline, want time.Duration }{
		{25 * time.Second, 3700 * time.Millisecond},
		{time.Second, 1700 * time.Millisecond},
		{3 * time.Second, 3700 * time.Millisecond},
	} {
		h.recordDeadlines(withDeadline(step.deadline))
		require.Equal(t, step.want, h.killDelay())
	}
}

// A process that was killed with attempts that no worker had answered lost their messages, if the attempts were made in
// its last second and a half. Whenever an attempt is made, it is cancelled while the process may still run for 0.2 s,
// which allows for one that is held up for 0.15 s.
func TestUnansweredAttemptsAreCancelledBeforeTheKill(t *testing.T) {
	const holdUp, step = 200 * time.Millisecond, leavePollInterval
	for _, deadline := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 25 * time.Second} {
		h := &handover{}
		h.recordDeadlines(withDeadline(deadline))
		for made := -10 * time.Second; made < h.killDelay()-holdUp-cancelInterval-2*step; made += 10 * step {
			l := leaving{handover: h}
			cancelled := time.Duration(0)
			for since := time.Duration(0); since < h.killDelay()-holdUp && cancelled == 0; since += step {
				if !l.isCancelDue(since) {
					continue
				}
				l.cancelledAt = since
				if since >= made && since-made >= l.cancelAge(since) {
					cancelled = since
				}
			}
			require.NotZero(t, cancelled, "deadline %v, made %v after SIGTERM", deadline, made)
		}
	}
}
