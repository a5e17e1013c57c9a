package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/lab/host"
	"topazfall/internal/metrics"
)

// A list that changes keeps what was learned, and the connections, of the addresses that stay, closes those of the
// others, and new limits at SIGHUP take nothing away. A host that has gone leaves nothing.
func TestRouteKeepsWhatStays(t *testing.T) {
	h, err := host.Start(host.Options{Name: "h", Dir: t.TempDir()}, func([]byte) error { return nil }, "127.0.0.1:0",
		"[::1]:0")
	require.NoError(t, err)
	defer h.Close()
	core, err := dispatch.New(topazfall.Settings{Dispatchers: 1, Classes: []topazfall.Class{{Deadline: 1, Aim: 1}},
		Allowed: topazfall.Allowed{Attempts: 1}}, &metrics.Metrics{})
	require.NoError(t, err)
	s := New(core,
		Options{Times: Times{DialTimeout: time.Second, ConnIdle: time.Hour}, Conns: 9, Metrics: &metrics.Metrics{}})
	both, faults := addresses.List(h.Addresses())
	require.Empty(t, faults)
	s.Readdress("h", both)
	to := &exchange.Host{ID: "h", Several: true}
	call := func() error { return s.call("GET", "/health", to, time.Second, nil) }
	require.NoError(t, call())
	require.NoError(t, call())
	require.EqualValues(t, 1, s.conns.Load())
	require.Equal(t, 1, h.Accepted(0), "kept, and used again")
	require.Equal(t, addresses.Good, s.Legacy()["h"][0].State)

	s.SetTimes(Times{DialTimeout: time.Second, ConnIdle: time.Hour, Probe: true})
	s.Readdress("h", []addresses.Address{both[1], both[0]}) // another order
	require.Equal(t, addresses.Good, s.Legacy()["h"][1].State)
	require.NoError(t, call())
	require.Equal(t, 1, h.Accepted(0))
	require.Eventually(t, func() bool { return s.Legacy()["h"][0].State == addresses.Good }, 10*time.Second,
		time.Millisecond, "the one that is preferred now was probed")

	s.Readdress("h", both[1:])
	require.Eventually(t, func() bool { return s.conns.Load() == 1 }, 10*time.Second, time.Millisecond,
		"that of the probe")
	require.NoError(t, call())
	require.Equal(t, 1, h.Accepted(0))
	require.Equal(t, 1, h.Accepted(1))
	s.Readdress("h", nil)
	require.Empty(t, s.Legacy())
	require.ErrorIs(t, call(), errNoWay)
	require.Eventually(t, func() bool { return s.conns.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// What a connection comes to is told apart: what we lack is no fault of the address.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		err  error
		want addresses.Failure
	}{{errTooMany, addresses.Elsewhere}, {errDead, addresses.WasReset},
		{&net.OpError{Err: timeout{}}, addresses.Unheard},
		{net.ErrClosed, addresses.Refused}} {
		require.Equal(t, c.want, failure(c.err), c.err)
	}
}

type timeout struct{}

func (timeout) Error() string { return "timeout" }
func (timeout) Timeout() bool { return true }
