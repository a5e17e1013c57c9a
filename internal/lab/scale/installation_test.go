package scale

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

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
		ServeHollow(os.Stdin, os.Stdout)
	default:
		os.Exit(m.Run())
	}
}

// programs are this test's own binary in both parts.
func programs() Programs {
	return Programs{Dispatcher: os.Args[0], Hollow: []string{"/usr/bin/env", playing + "=hollow", os.Args[0]}}
}

// Hollow dispatchers and real ones take every change once; what they used is counted for each of them.
func TestHollowAccounts(t *testing.T) {
	t.Setenv(playing, "dispatcher") // for the program; hollow processes have their own
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	in, err := Start(ctx, programs(), Setup{Workers: 40, Dispatchers: 8, Real: 2, Hollow: 6, PerProcess: 3,
		Teams: 6}, 1)
	require.NoError(t, err)
	defer in.Close()
	require.Len(t, in.real, 2)
	require.Len(t, in.hollow, 2)

	w, err := in.Watch(ctx, time.Second, 20, func() error {
		in.Restart()
		return in.Say()
	})
	require.NoError(t, err)
	require.Equal(t, 20, w.Events)
	require.Len(t, w.Usages, 4)
	for _, u := range w.Usages {
		require.Positive(t, u.CPU, u.Kind)
		require.Positive(t, u.Resident, u.Kind)
	}
	for _, k := range []kind{realKind, hollowKind} { // an answer for each change has some 250 bytes at least
		require.Greater(t, w.Traffic[k].FromDiscovery*w.Length.Seconds(), 20*200., k)
		require.Less(t, w.Traffic[k].FromDiscovery*w.Length.Seconds(), 20*600., k)
	}
	for _, h := range in.hollow {
		s, err := h.status()
		require.NoError(t, err)
		require.EqualValues(t, 3*(40+20), s.Entries) // the list once, and each change
		require.EqualValues(t, 3*20, s.Words)
		require.Zero(t, s.Dropped)
	}
	for _, r := range in.real {
		f, err := r.Figures()
		require.NoError(t, err)
		require.EqualValues(t, 40, f["app_discovered"])
	}
}

// A hollow process ends with an error for what it cannot be, and whole when its input ends.
func TestServeHollowRefuses(t *testing.T) {
	for _, text := range []string{"", "{", `{"dispatchers":[]}` + "\n",
		`{"settings":{},"dispatchers":[{"number":0}]}` + "\n"} {
		require.Error(t, ServeHollow(strings.NewReader(text), os.Stderr), text)
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
