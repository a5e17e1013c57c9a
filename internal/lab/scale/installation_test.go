package scale

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazfall/internal/instance"
)

// roleEnv is the environment variable that makes this test's binary run as another program.
const roleEnv = "TOPAZFALL_SCALE_PLAYS"

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case "dispatcher":
		instance.Run(nil)
	case "hollow":
		ServeSimulated(os.Stdin, os.Stdout)
	case "agent":
		if runAgent() != nil {
			os.Exit(1)
		}
	default:
		os.Exit(m.Run())
	}
}

// programs returns this test's own binary as both programs.
func programs() Programs {
	return Programs{Dispatcher: os.Args[0],
		SimulatedCommand: []string{"/usr/bin/env", roleEnv + "=hollow", os.Args[0]}}
}

// Real and simulated dispatchers receive every change once, and the usage of each process is counted.
func TestSimulatedDispatchersCountChanges(t *testing.T) {
	t.Setenv(roleEnv, "dispatcher") // for the program; simulated processes set their own
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	in, err := Start(ctx, programs(), Setup{Workers: 40, Dispatchers: 8, Real: 2, Simulated: 6, PerProcess: 3,
		Teams: 6}, 1)
	require.NoError(t, err)
	defer in.Close()
	require.Len(t, in.realProcesses, 2)
	require.Len(t, in.simulatedProcesses, 2)

	changed := 0
	// Each call changes another worker: discovery may report two changes of one worker as one.
	w, err := in.MeasureWindow(ctx, time.Second, 20, func() error {
		e := in.entries[changed]
		changed++
		e.Health = "draining"
		in.discovery.Update(e)
		return in.SendGossip()
	})
	require.NoError(t, err)
	require.Equal(t, 20, w.Events)
	require.Len(t, w.Usages, 4)
	for _, u := range w.Usages {
		require.Positive(t, u.CPU, u.Kind)
		require.Positive(t, u.Resident, u.Kind)
	}
	for _, p := range in.simulatedProcesses { // one list, and each change
		want := SimulatedStatus{MinWorkers: 40, MaxWorkers: 40, Entries: 3 * (40 + 20),
			GossipMessages: 3 * 20}
		require.EventuallyWithT(t, func(c *assert.CollectT) { // on a busy machine some may arrive after the window
			s, err := p.status()
			assert.NoError(c, err)
			assert.Equal(c, want, s)
		}, 20*time.Second, pollInterval)
	}
	require.NoError(t, sleep(ctx, settleTime))
	for _, p := range in.simulatedProcesses { // nothing arrives twice
		s, err := p.status()
		require.NoError(t, err)
		require.EqualValues(t, 3*(40+20), s.Entries)
	}
	// An entry takes 110 to 150 bytes. Responses have a head and come at least once a second.
	for k, sent := range in.traffic() {
		const entries, responses = 40 + 20, 1 + 20 + 60
		require.Greater(t, sent.BytesOut/int64(in.dispatcherCount(k)), int64(entries*110), k)
		require.Less(t, sent.BytesOut/int64(in.dispatcherCount(k)), int64(entries*150+responses*200), k)
	}
	for _, r := range in.realProcesses {
		f, err := r.Metrics()
		require.NoError(t, err)
		require.EqualValues(t, 40, f["app_discovered"])
	}
}

// A process of simulated dispatchers ends with an error if its specification is invalid.
func TestServeSimulatedRejectsInvalidSpecs(t *testing.T) {
	for _, text := range []string{"", "{", `{"dispatchers":[]}` + "\n",
		`{"settings":{},"dispatchers":[{"number":0}]}` + "\n"} {
		require.Error(t, ServeSimulated(strings.NewReader(text), os.Stderr), text)
	}
}

// The cost of an event is what a window took beyond an idle window of the same process.
func TestCostPerEvent(t *testing.T) {
	idle := Window{Length: 2 * time.Second, Usages: []Usage{{Kind: realKind, CPU: 2 * time.Millisecond},
		{Kind: simulatedKind, CPU: 4 * time.Millisecond}}}
	busy := Window{Length: 4 * time.Second, Events: 10, Usages: []Usage{{Kind: realKind,
		CPU: 14 * time.Millisecond}, {Kind: simulatedKind, CPU: 8 * time.Millisecond}}}
	require.InDeltaSlice(t, []float64{1e-3}, costPerEvent(idle, busy, realKind), 1e-9)
	require.InDeltaSlice(t, []float64{0}, costPerEvent(idle, busy, simulatedKind), 1e-9)
	require.Empty(t, costPerEvent(idle, Window{}, realKind))
}
