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

// The program is this test's own binary, started again: the bare dispatcher.
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
	return Options{Program: os.Args[0], Env: []string{"TOPAZFALL_PLAYED=1"}, First: 1, Seeds: 6, Parallel: 2,
		Longest: 15 * time.Second, Logs: t.TempDir()}
}

// TestSoak is the short form of topazlab soak: whole installations under starts, ends, reloads and replacements, with
// troubles of workers, discovery and clients, break no rule.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	var told bytes.Buffer
	r, err := Run(context.Background(), options(t), &told)
	require.NoError(t, err)
	for _, bar := range r.Bars {
		if !bar.Holds() {
			t.Errorf("%s: %v", bar.What, bar.Value)
		}
	}
	require.NotZero(t, r.Rows[0]["served"])
	if t.Failed() {
		t.Log(told.String())
	}
}

// A plan hangs on its seed alone, and the plans of fifty seeds have all that may happen.
func TestPlans(t *testing.T) {
	require.Equal(t, Draw(7, 0), Draw(7, 0))
	require.NotEqual(t, Draw(7, 0).String(), Draw(8, 0).String())
	seen := map[any]int{}
	for seed := range uint64(50) {
		p := Draw(seed, 0)
		require.GreaterOrEqual(t, p.Length, shortest)
		require.LessOrEqual(t, p.Length, longest)
		for _, steps := range p.Dispatch {
			for _, s := range steps {
				seen[s.Act]++
			}
		}
		for _, s := range p.Workers {
			seen[s.Trouble]++
			if s.Trouble == Faulty {
				seen[s.Fault]++
			}
		}
		for _, s := range p.Discovery {
			seen[s.Fault]++
		}
		seen["joint"] += len(p.Joint)
		seen["crowd"] += p.Crowd
		for what, is := range map[string]bool{"asked": p.Asked, "whole": p.Whole, "window": p.Window > 0} {
			if is {
				seen[what]++
			}
		}
	}
	for act := range acts {
		require.NotZero(t, seen[act], act)
	}
	for _, trouble := range []Trouble{Drains, Returns, Faulty, EndsIdle} {
		require.NotZero(t, seen[trouble], trouble)
	}
	for _, what := range []string{"joint", "crowd", "asked", "whole", "window"} {
		require.NotZero(t, seen[what], what)
	}
}

// What cannot be done as it was asked for is said at once, and nothing is started.
func TestOptionsThatMakeNoSense(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	for name, change := range map[string]func(o *Options){
		"0 seeds are none":           func(o *Options) { o.Seeds = 0 },
		"-1 runs at a time are none": func(o *Options) { o.Parallel = -1 },
		"no such file":               func(o *Options) { o.Program = file + "s" },
		"is no program":              func(o *Options) { o.Program = file },
		"not a directory":            func(o *Options) { o.Logs = filepath.Join(file, "logs") },
	} {
		o := options(t)
		change(&o)
		_, err := Run(context.Background(), o, new(bytes.Buffer))
		require.ErrorContains(t, err, name)
		require.ErrorAs(t, err, &UsageError{})
	}
}
