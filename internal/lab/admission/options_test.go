package admission

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Options that make no sense are reported before anything runs.
func TestInvalidOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"dispatchers":      func(o *Options) { o.Dispatchers = []int{3, 0} },
		"too many":         func(o *Options) { o.Dispatchers = []int{maxDispatchers + 1} },
		"no dispatchers":   func(o *Options) { o.Dispatchers = nil },
		"load":             func(o *Options) { o.Loads = []float64{0} },
		"shape":            func(o *Options) { o.Shapes = []string{"round"} },
		"reports":          func(o *Options) { o.Reports = []string{""} },
		"negative cut":     func(o *Options) { o.CutSeconds = []int{-1} },
		"classes":          func(o *Options) { o.Classes = "both" },
		"workers":          func(o *Options) { o.WorkersPerDispatcher = 0 },
		"retry share":      func(o *Options) { o.RetryShare = 1.1 },
		"no seeds":         func(o *Options) { o.Seeds = 0 },
		"nothing parallel": func(o *Options) { o.Parallel = 0 },
		"negative silence": func(o *Options) { o.SilentList = -1 },
		"short length":     func(o *Options) { o.Length = time.Millisecond },
	} {
		o := testOptions()
		change(&o)
		_, err := Run(context.Background(), o)
		require.ErrorIs(t, err, ErrInvalid, name)
	}
}

// The measured part is as long as the recovery from a cut needs.
func TestMeasuredTime(t *testing.T) {
	s := testScenario()
	require.Equal(t, 10*second, s.measuredTime())
	s.Cut = 30 * time.Second
	require.Equal(t, timeToCut+30*second+15*second+timeAfterCut, s.measuredTime())
	require.Equal(t, minWorkers, s.workerCount())
	s.Dispatchers = 100
	require.Equal(t, 30, s.workerCount())
}
