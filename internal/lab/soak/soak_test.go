package soak

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/instance"
)

// The dispatchers are this test binary, started again with TOPAZFALL_PLAYED set.
func TestMain(m *testing.M) {
	if os.Getenv("TOPAZFALL_PLAYED") != "" {
		if instance.Run(nil) != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func options(t *testing.T) Options {
	return Options{ProgramPath: os.Args[0], Env: []string{"TOPAZFALL_PLAYED=1"}, FirstSeed: 1, Seeds: 6, Parallel: 2,
		MaxLength: 15 * time.Second, LogDir: t.TempDir()}
}

// TestSoak is a short form of "topazlab soak": no rule is violated while dispatchers are started, terminated, reloaded
// and replaced, and workers, discovery and clients fail.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	var output bytes.Buffer
	r, err := Run(context.Background(), options(t), &output)
	require.NoError(t, err)
	for _, bound := range r.Bounds {
		if !bound.IsMet() {
			t.Errorf("%s: %v", bound.Name, bound.Value)
		}
	}
	require.NotZero(t, r.Rows[0]["served"])
	if t.Failed() {
		t.Log(output.String())
	}
}

// A plan depends on its seed alone, and the plans of fifty seeds contain every action, disruption and setting.
func TestPlans(t *testing.T) {
	require.Equal(t, NewPlan(7, 0), NewPlan(7, 0))
	require.NotEqual(t, NewPlan(7, 0).String(), NewPlan(8, 0).String())
	seen := map[any]int{}
	for seed := range uint64(50) {
		p := NewPlan(seed, 0)
		require.GreaterOrEqual(t, p.Length, minRunLength)
		require.LessOrEqual(t, p.Length, maxRunLength)
		for _, steps := range p.ProcessSteps {
			for _, s := range steps {
				seen[s.Action]++
			}
		}
		for _, s := range p.WorkerSteps {
			seen[s.Disruption]++
			if s.Disruption == FaultyWorker {
				seen[s.Fault]++
			}
		}
		for _, s := range p.DiscoverySteps {
			seen[s.Fault]++
		}
		seen["joint"] += len(p.JointSteps)
		seen["deploys"] += len(p.Deploys.At)
		seen["crowd"] += p.IdleClients
		for what, is := range map[string]bool{"asked": p.Subscribe, "whole": p.FullLists, "window": p.KeyWindow > 0,
			"large fleet": p.Dispatchers > p.Processes} {
			if is {
				seen[what]++
			}
		}
	}
	for action := range actionCount {
		require.NotZero(t, seen[action], action)
	}
	for _, disruption := range []Disruption{DrainWorker, RestartWorker, FaultyWorker, CloseIdleConnections} {
		require.NotZero(t, seen[disruption], disruption)
	}
	for _, what := range []string{"joint", "crowd", "asked", "whole", "window", "deploys", "large fleet"} {
		require.NotZero(t, seen[what], what)
	}
}

// Invalid options are rejected with a UsageError.
func TestInvalidOptions(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	for name, change := range map[string]func(o *Options){
		"number of seeds must be at least 1, not 0":          func(o *Options) { o.Seeds = 0 },
		"number of parallel runs must be at least 1, not -1": func(o *Options) { o.Parallel = -1 },
		"no such file":              func(o *Options) { o.ProgramPath = file + "s" },
		"is not an executable file": func(o *Options) { o.ProgramPath = file },
		"not a directory":           func(o *Options) { o.LogDir = filepath.Join(file, "logs") },
	} {
		o := options(t)
		change(&o)
		_, err := Run(context.Background(), o, new(bytes.Buffer))
		require.ErrorContains(t, err, name)
		require.ErrorAs(t, err, &UsageError{})
	}
}
