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

// playAgent runs the agent as its command does, for the arguments that SharedRoster gives.
func playAgent() error {
	o := agent.Options{State: os.Args[2], Control: "unix:" + os.Args[2] + "/control.sock", Bootstrap: true}
	var err error
	if o.Roster, err = configsync.LoadRoster(os.Args[4]); err != nil {
		return err
	}
	return instance.Run(agent.New(o))
}

// A change that one origin takes is in force at every instance within 4 s, also while one of them is frozen, which
// has it after it is woken; what that took of the first instance is counted.
func TestSharedRoster(t *testing.T) {
	t.Setenv(playing, "agent")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	b := NewBench(Options{Agent: os.Args[0], Quick: true, Seed: 1}, &strings.Builder{})
	carrier := &SharedRoster{}
	began := time.Now()
	err := Configuration{}.carry(ctx, b, carrier, realCount)
	t.Logf("took %v, bars %v", time.Since(began), b.Bounds)
	for _, s := range b.Series {
		t.Log(s.Metric, s.Unit, s.Points)
	}
	require.NoError(t, err)
	bars := map[string]Bound{}
	for _, bar := range b.Bounds {
		bars[bar.Name] = bar
	}
	name := carrier.Name()
	require.Contains(t, bars, name+": slowest change at 5 instances")
	require.Contains(t, bars, name+": slowest change at the others of 5 instances while one is frozen")
	lacking := name + ": reachable instances, of 4, without the change after 4 s while one is frozen"
	require.Contains(t, bars, lacking)
	require.Zero(t, bars[lacking].Value)
	for figure, points := range map[string]int{figureInForce: 5, figureOneFrozen: 5, figureWoken: 1,
		figureFollowerCPU: 1, figureFollowerBytes: 1, figureLinksIdle: 1} {
		s := b.Find(figure+name, axisInstances, fromReal)
		require.NotNil(t, s, figure)
		require.Len(t, s.Points, points, figure)
		for _, p := range s.Points {
			if figure != figureFollowerCPU { // which a busy machine may blur
				require.Positive(t, p.Y, figure)
			}
		}
	}
}

// A carrier that leaves one reachable instance out is found, and its further figures are not taken.
func TestInstanceLeftOut(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	lacking, err := lackingAfterLimit(ctx, &leavesOut{instance: 2}, 1, 5)
	require.NoError(t, err)
	require.Equal(t, 1, lacking)
	lacking, err = lackingAfterLimit(ctx, &leavesOut{instance: 0}, 1, 5) // the frozen one does not count
	require.NoError(t, err)
	require.Zero(t, lacking)
}

// leavesOut brings every change to all instances but one.
type leavesOut struct{ instance int }

func (l *leavesOut) Name() string                                     { return "leaves one out" }
func (l *leavesOut) Start(context.Context, *Bench, string, int) error { return nil }
func (l *leavesOut) Distribute(context.Context, uint64) error         { return nil }
func (l *leavesOut) IsSequential() bool                               { return false }
func (l *leavesOut) Sizes(bool) []int                                 { return []int{realCount} }
func (l *leavesOut) Process(int) *program.Process                     { return nil }
func (l *leavesOut) Close()                                           {}
func (l *leavesOut) Revision(_ context.Context, instance int) (uint64, error) {
	if instance == l.instance {
		return 0, nil
	}
	return 1, nil
}

// No change is made by an instance that holds another revision than the one before it.
func TestSharedRosterRefusesAGap(t *testing.T) {
	t.Setenv(playing, "agent")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	carrier := &SharedRoster{}
	defer carrier.Close()
	dir, err := os.MkdirTemp("", "scale") // a name that is short enough for a socket
	require.NoError(t, err)
	defer os.RemoveAll(dir)
	require.NoError(t, carrier.Start(ctx, NewBench(Options{Agent: os.Args[0]}, &strings.Builder{}), dir, 2))
	require.NoError(t, carrier.Distribute(ctx, 1))
	require.NoError(t, carrier.Distribute(ctx, 1)) // it is there already
	require.NoError(t, awaitRevision(ctx, carrier, 1, 0, 2))
	require.ErrorContains(t, carrier.apply(ctx, 1, 3),
		fmt.Sprintf("holds revision %d and cannot make revision %d", 1, 3))
}

// The model's figures are marked as such, and have their bars.
func TestConfigurationModel(t *testing.T) {
	b := NewBench(Options{Seed: 1}, &strings.Builder{})
	require.NoError(t, ConfigurationModel{}.Measure(t.Context(), b))
	require.NotNil(t, b.Find(figureModelForce, axisDispatchers, fromModel))
	require.NotNil(t, b.Find(figureModelBytes, axisDispatchers, fromModel))
	require.Len(t, b.Bounds, 3)
	for _, bar := range b.Bounds {
		require.Contains(t, bar.Name, "model, 300 dispatchers: ")
		require.Positive(t, bar.Max)
	}
	_, err := play(b, "no such")
	require.ErrorContains(t, err, `no scenario "no such"`)
}

// Saves are timed until they are told to end, and a folder that is not there is an error.
func TestTimeSaves(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*saveEvery)
	defer cancel()
	took, err := timeSaves(ctx, t.TempDir())
	require.NoError(t, err)
	require.NotEmpty(t, took)
	_, err = timeSaves(t.Context(), t.TempDir()+"/none")
	require.Error(t, err)
}
