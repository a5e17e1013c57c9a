package scale

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/agent"
	"topazfall/internal/configsync"
	"topazfall/internal/instance"
	"topazfall/internal/lab/program"
)

// runAgent runs the agent as its command does, with the arguments that SharedRoster passes.
func runAgent() error {
	o := agent.Options{State: os.Args[2], Control: "unix:" + os.Args[2] + "/control.sock", Bootstrap: true}
	var err error
	if o.Roster, err = configsync.LoadRoster(os.Args[4]); err != nil {
		return err
	}
	return instance.Run(agent.New(o))
}

// Every instance applies a change at one origin within 4 s. So do all others while one instance is frozen, and that one
// catches up after it is thawed. The usage of the first instance is measured.
func TestSharedRoster(t *testing.T) {
	t.Setenv(roleEnv, "agent")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	b := NewBench(Options{Agent: os.Args[0], Quick: true, Seed: 1}, &strings.Builder{})
	distributor := &SharedRoster{}
	start := time.Now()
	err := ConfigurationMeasurement{}.measureDistributor(ctx, b, distributor, realDispatchers)
	t.Logf("took %v, bounds %v", time.Since(start), b.Bounds)
	for _, s := range b.Series {
		t.Log(s.Metric, s.Unit, s.Points)
	}
	require.NoError(t, err)
	bounds := map[string]Bound{}
	for _, bound := range b.Bounds {
		bounds[bound.Name] = bound
	}
	name := distributor.Name()
	require.Contains(t, bounds, name+": slowest change at 5 instances")
	require.Contains(t, bounds, name+": slowest change at the others of 5 instances while one is frozen")
	missing := name + ": reachable instances, of 4, without the change after 4 s while one is frozen"
	require.Contains(t, bounds, missing)
	require.Zero(t, bounds[missing].Value)
	for metric, points := range map[string]int{metricDistribution: 5, metricDistributionOneFrozen: 5,
		metricThawCatchUp: 1, metricInstanceCPU: 1, metricInstanceBytes: 1, metricIdleLinkBytes: 1} {
		s := b.Find(metric+name, axisInstances, sourceReal)
		require.NotNil(t, s, metric)
		require.Len(t, s.Points, points, metric)
		for _, p := range s.Points {
			if metric != metricInstanceCPU { // which may be negative on a busy machine
				require.Positive(t, p.Y, metric)
			}
		}
	}
}

// A reachable instance without the change is counted, the frozen one is not.
func TestSkippedInstanceIsCounted(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	missing, err := missingAfterLimit(ctx, &skipsOne{instance: 2}, 1, 5)
	require.NoError(t, err)
	require.Equal(t, 1, missing)
	missing, err = missingAfterLimit(ctx, &skipsOne{instance: 0}, 1, 5) // the frozen one does not count
	require.NoError(t, err)
	require.Zero(t, missing)
}

// skipsOne is a Distributor that brings every change to all instances but one.
type skipsOne struct{ instance int }

func (s *skipsOne) Name() string                                     { return "skips one instance" }
func (s *skipsOne) Start(context.Context, *Bench, string, int) error { return nil }
func (s *skipsOne) Distribute(context.Context, uint64) error         { return nil }
func (s *skipsOne) IsSequential() bool                               { return false }
func (s *skipsOne) Sizes(bool) []int                                 { return []int{realDispatchers} }
func (s *skipsOne) Process(int) *program.Process                     { return nil }
func (s *skipsOne) Close()                                           {}
func (s *skipsOne) Revision(_ context.Context, instance int) (uint64, error) {
	if instance == s.instance {
		return 0, nil
	}
	return 1, nil
}

// An instance creates a revision only if it is at the one before it.
func TestSharedRosterRejectsRevisionGap(t *testing.T) {
	t.Setenv(roleEnv, "agent")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	distributor := &SharedRoster{}
	defer distributor.Close()
	dir, err := os.MkdirTemp("", "scale") // a name that is short enough for a socket
	require.NoError(t, err)
	defer os.RemoveAll(dir)
	require.NoError(t, distributor.Start(ctx, NewBench(Options{Agent: os.Args[0]}, &strings.Builder{}), dir, 2))
	require.NoError(t, distributor.Distribute(ctx, 1))
	require.NoError(t, distributor.Distribute(ctx, 1)) // it is there already
	require.NoError(t, awaitRevision(ctx, distributor, 1, 0, 2))
	require.ErrorContains(t, distributor.apply(ctx, 1, 3),
		fmt.Sprintf("is at revision %d and cannot create revision %d", 1, 3))
}

// The model's metrics have their own source and their bounds.
func TestConfigurationModel(t *testing.T) {
	b := NewBench(Options{Seed: 1}, &strings.Builder{})
	require.NoError(t, ConfigurationModel{}.Measure(t.Context(), b))
	require.NotNil(t, b.Find(metricModelDistribution, axisDispatchers, sourceModel))
	require.NotNil(t, b.Find(metricModelBytes, axisDispatchers, sourceModel))
	require.Len(t, b.Bounds, 3)
	for _, bound := range b.Bounds {
		require.Contains(t, bound.Name, "model, 300 dispatchers: ")
		require.Positive(t, bound.Max)
	}
	_, err := runScenario(b, "no such")
	require.ErrorContains(t, err, `no scenario "no such"`)
}

// Saves are timed until the context ends. A folder that does not exist is an error.
func TestTimeSaves(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*saveInterval)
	defer cancel()
	elapsed, err := timeSaves(ctx, t.TempDir())
	require.NoError(t, err)
	require.NotEmpty(t, elapsed)
	_, err = timeSaves(t.Context(), t.TempDir()+"/none")
	require.Error(t, err)
}
