package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Refusals, their growth and the recovery are judged up to the target load, and only the largest fleet is compared with
// the smallest.
func TestTargets(t *testing.T) {
	result := func(dispatchers, refusedOnce int, load float64) *Result {
		s := testScenario()
		s.Dispatchers, s.Load, s.Cut = dispatchers, load, 30*time.Second
		return &Result{Scenario: s, Requests: 1000, RefusedOnce: refusedOnce, RefusedWhileFree: refusedOnce / 2,
			Recovery: &Recovery{Reached: true, Seconds: 15}}
	}
	slow := result(30, 18, 0.85)
	slow.Recovery.Seconds = 15.1
	r := newReport(testOptions(), []*Result{result(3, 10, 0.85), slow, result(300, 21, 0.85), result(3, 0, 1),
		result(300, 900, 1)})
	var missed []string
	for _, bound := range r.Bounds {
		if !bound.IsMet() {
			missed = append(missed, bound.Name)
		}
	}
	const circumstances = "load 0.85, calm, weights, long, cut 30s, seed 1)"
	require.Equal(t, []string{"recovery (30 dispatchers, " + circumstances,
		"refused more than with 3 dispatchers (300 dispatchers, " + circumstances}, missed)
	require.Len(t, r.Bounds, 7)
	require.Len(t, r.Rows, 5)
}
