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

// When the list of addresses changes, the addresses that stay keep their state and connections, and the connections of
// the others are closed. New limits, as at SIGHUP, discard nothing. A host that is removed leaves nothing behind.
func TestRouteKeepsStateOfRemainingAddresses(t *testing.T) {
	h, err := host.Start(host.Options{Name: "h", SocketDir: t.TempDir()}, func([]byte) error { return nil },
		"127.0.0.1:0", "[::1]:0")
	require.NoError(t, err)
	defer h.Close()
	core, err := dispatch.New(topazfall.Settings{Dispatchers: 1, Classes: []topazfall.Class{{Deadline: 1, Aim: 1}},
		Allowed: topazfall.Allowed{Attempts: 1}}, &metrics.Metrics{})
	require.NoError(t, err)
	transport := New(core,
		Options{ConnSettings: ConnSettings{DialTimeout: time.Second, IdleTimeout: time.Hour}, MaxConns: 9,
			Metrics: &metrics.Metrics{}})
	both, faults := addresses.ParseList(h.Addresses())
	require.Empty(t, faults)
	transport.SetAddresses("h", both)
	to := &exchange.Host{ID: "h", MultiAddress: true}
	call := func() error { return transport.simpleCall("GET", "/health", to, time.Second, nil) }
	require.NoError(t, call())
	require.NoError(t, call())
	require.EqualValues(t, 1, transport.openConns.Load())
	require.Equal(t, 1, h.AcceptedConns(0), "the connection is kept and used again")
	require.Equal(t, addresses.Good, transport.HandoverState()["h"][0].State)

	transport.SetConnSettings(ConnSettings{DialTimeout: time.Second, IdleTimeout: time.Hour, ProbeAllowed: true})
	transport.SetAddresses("h", []addresses.Address{both[1], both[0]}) // another order
	require.Equal(t, addresses.Good, transport.HandoverState()["h"][1].State)
	require.NoError(t, call())
	require.Equal(t, 1, h.AcceptedConns(0))
	require.Eventually(t, func() bool { return transport.HandoverState()["h"][0].State == addresses.Good },
		10*time.Second, time.Millisecond, "the address that is preferred now was probed")

	transport.SetAddresses("h", both[1:])
	require.Eventually(t, func() bool { return transport.openConns.Load() == 1 }, 10*time.Second, time.Millisecond,
		"the connection of the probe stays")
	require.NoError(t, call())
	require.Equal(t, 1, h.AcceptedConns(0))
	require.Equal(t, 1, h.AcceptedConns(1))
	transport.SetAddresses("h", nil)
	require.Empty(t, transport.HandoverState())
	require.ErrorIs(t, call(), errNoAddress)
	require.Eventually(t, func() bool { return transport.openConns.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// Errors of connections are classified: a resource that is exhausted here is not a fault of the address.
func TestClassifyFailure(t *testing.T) {
	for _, c := range []struct {
		err  error
		want addresses.Failure
	}{{errTooMany, addresses.Unrelated}, {errClosedEarly, addresses.ConnectionReset},
		{&net.OpError{Err: timeout{}}, addresses.ConnectTimeout},
		{net.ErrClosed, addresses.ConnectionRefused}} {
		require.Equal(t, c.want, classifyFailure(c.err), c.err)
	}
}

// timeout is a network error that is a timeout.
type timeout struct{}

func (timeout) Error() string { return "timeout" }
func (timeout) Timeout() bool { return true }
