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

// playing names what this test's own binary is when it is started again.
const playing = "TOPAZFALL_SCALE_PLAYS"

func TestMain(m *testing.M) {
	switch os.Getenv(playing) {
	case "dispatcher":
		instance.Run(nil)
	case "hollow":
		ServeSimulated(os.Stdin, os.Stdout)
	case "agent":
		if playAgent() != nil {
			os.Exit(1)
		}
	default:
		os.Exit(m.Run())
	}
}

// programs are this test's own binary in both parts.
func programs() Programs {
	return Programs{Dispatcher: os.Args[0], SimulatedCommand: []string{"/usr/bin/env", playing + "=hollow", os.Args[0]}}
}

// Hollow dispatchers and real ones take every change once; what they used is counted for each of them.
func TestHollowAccounts(t *testing.T) {
	t.Setenv(playing, "dispatcher") // for the program; hollow processes have their own
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	in, err := Start(ctx, programs(), Setup{Workers: 40, Dispatchers: 8, Real: 2, Simulated: 6, PerProcess: 3,
		Teams: 6}, 1)
	require.NoError(t, err)
	defer in.Close()
	require.Len(t, in.real, 2)
	require.Len(t, in.hollow, 2)

	changed := 0
	w, err := in.MeasureWindow(ctx, time.Second, 20, func() error { // each another worker: discovery tells a change once
		e := in.entries[changed]
		changed++
		e.Health = "draining"
		in.list.Update(e)
		return in.SendGossip()
	})
	require.NoError(t, err)
	require.Equal(t, 20, w.Events)
	require.Len(t, w.Usages, 4)
	for _, u := range w.Usages {
		require.Positive(t, u.CPU, u.Kind)
		require.Positive(t, u.Resident, u.Kind)
	}
	for _, h := range in.hollow { // the list once, and each change
		want := SimulatedStatus{MinWorkers: 40, MaxWorkers: 40, Entries: 3 * (40 + 20),
			GossipMessages: 3 * 20}
		require.EventuallyWithT(t, func(c *assert.CollectT) { // a busy machine may take some after the window
			s, err := h.status()
			assert.NoError(c, err)
			assert.Equal(c, want, s)
		}, 20*time.Second, polling)
	}
	require.NoError(t, sleep(ctx, settle))
	for _, h := range in.hollow { // and nothing comes twice
		s, err := h.status()
		require.NoError(t, err)
		require.EqualValues(t, 3*(40+20), s.Entries)
	}
	// The text of an entry has 110 to 150 bytes; answers have a head, and come once a second at least.
	// The text of an entry has 110 to 150 bytes; answers have a head, and come once a second at least.
	for k, sent := range in.traffic() {
		const entries, answers = 40 + 20, 1 + 20 + 60
		require.Greater(t, sent.BytesOut/int64(in.count(k)), int64(entries*110), k)
		require.Less(t, sent.BytesOut/int64(in.count(k)), int64(entries*150+answers*200), k)
	}
	for _, r := range in.real {
		f, err := r.Metrics()
		require.NoError(t, err)
		require.EqualValues(t, 40, f["app_discovered"])
	}
}

// A hollow process ends with an error for what it cannot be, and whole when its input ends.
func TestServeHollowRefuses(t *testing.T) {
	for _, text := range []string{"", "{", `{"dispatchers":[]}` + "\n",
		`{"settings":{},"dispatchers":[{"number":0}]}` + "\n"} {
		require.Error(t, ServeSimulated(strings.NewReader(text), os.Stderr), text)
	}
}

// What an event costs is what a window took beyond a quiet one of the same process.
func TestPerEvent(t *testing.T) {
	quiet := Window{Length: 2 * time.Second, Usages: []Usage{{Kind: realKind, CPU: 2 * time.Millisecond},
		{Kind: hollowKind, CPU: 4 * time.Millisecond}}}
	busy := Window{Length: 4 * time.Second, Events: 10, Usages: []Usage{{Kind: realKind,
		CPU: 14 * time.Millisecond}, {Kind: hollowKind, CPU: 8 * time.Millisecond}}}
	require.InDeltaSlice(t, []float64{1e-3}, perEvent(quiet, busy, realKind), 1e-9)
	require.InDeltaSlice(t, []float64{0}, perEvent(quiet, busy, hollowKind), 1e-9)
	require.Empty(t, perEvent(quiet, Window{}, realKind))
}
