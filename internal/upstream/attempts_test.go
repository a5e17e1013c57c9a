package upstream

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/exchange"
)

// leavingClient is a client that counts as disconnected once its value is set.
type leavingClient struct{ atomic.Bool }

func (a *leavingClient) Disconnected() bool { return a.Load() }

// holdDials makes connections to the host open only when gate is closed, whether it has one address or several.
func (h *fixture) holdDials(multiAddress bool) (gate chan struct{}) {
	gate = make(chan struct{})
	client := func() *fasthttp.HostClient { return h.pool(h.host.Addr) }
	if multiAddress {
		list, faults := addresses.ParseList([]string{h.host.Addr})
		require.Empty(h, faults)
		h.host.MultiAddress = true
		h.SetAddresses(h.host.ID, list)
		client = func() *fasthttp.HostClient {
			rt := h.routes[h.host.ID]
			rt.mu.Lock()
			defer rt.mu.Unlock()
			return h.addressPool(rt, list[0], h.currentSettings())
		}
	}
	dial := client().Dial
	client().Dial = func(addr string) (net.Conn, error) {
		<-gate
		return dial(addr)
	}
	return gate
}

// startAttempt makes one of the attempts of an exchange. The channel receives its result.
func (h *fixture) startAttempt(x *exchange.Exchange, due int64) (*exchange.Relay, chan relayResult) {
	r, end := x.AddRelay(h.host, h.core.Now(), due), make(chan relayResult, 1)
	go func() {
		o, _, ended := h.runRelay(r)
		end <- relayResult{o, ended}
	}()
	return r, end
}

// newExchange returns the exchange of a message from this client.
func (h *fixture) newExchange(client exchange.Client) *exchange.Exchange {
	return exchange.NewForClient(client, exchange.Message{ID: "1", Method: "POST", Path: "/api",
		Fields: []exchange.HeaderField{{Name: "Host", Value: "x"}, {Name: "X-Request-ID", Value: "1"},
			{Name: "X-Timeout-Ms", Value: "60000"}}})
}

// forEachSlowDial runs a test with delays of the dial, for first and second attempts at hosts with one address or
// several.
func forEachSlowDial(t *testing.T,
	run func(t *testing.T, h *fixture, delay time.Duration, secondAttempt, multiAddress bool)) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
		for _, secondAttempt := range []bool{false, true} {
			for _, multiAddress := range []bool{false, true} {
				t.Run(fmt.Sprint(delay, " second ", secondAttempt, " several ", multiAddress), func(t *testing.T) {
					t.Parallel()
					run(t, newFixture(t), delay, secondAttempt, multiAddress)
				})
			}
		}
	}
}

// An attempt sends its host the time that is left when its bytes are written, not the time that was left before its
// connection was open.
func TestTimeoutSentAfterSlowDial(t *testing.T) {
	forEachSlowDial(t, func(t *testing.T, h *fixture, delay time.Duration, secondAttempt, multiAddress bool) {
		x, due := h.newExchange(nil), h.core.Now()+10e6
		if secondAttempt {
			x.AddRelay(&exchange.Host{ID: "other"}, h.core.Now(), due).End()
		}
		gate := h.holdDials(multiAddress)
		r, end := h.startAttempt(x, due)
		time.Sleep(delay)
		released := h.core.Now()
		close(gate)
		received := h.nextRequest()
		timeoutMillis, err := strconv.ParseInt(received.timeoutMillis, 10, 64)
		require.NoError(t, err)
		require.LessOrEqual(t, timeoutMillis*1000, r.Due-released+1000, "more than the time that is left, rounded up")
		require.GreaterOrEqual(t, timeoutMillis*1000, r.Due-received.receivedAt,
			"less than the time that the dispatcher waits")
		received.answer(t, accepted)
		require.False(t, receive(t, end).ended)
	})
}

// The client disconnects, or its time runs out, while the connection is being opened. Nothing is sent for it, the
// connection is kept, and no cancel call follows.
func TestNothingIsSentAfterSlowDial(t *testing.T) {
	for _, reason := range []string{"disconnected", "late"} {
		t.Run(reason, func(t *testing.T) {
			forEachSlowDial(t, func(t *testing.T, h *fixture, delay time.Duration, secondAttempt, multiAddress bool) {
				client := &leavingClient{}
				x, due := h.newExchange(client), h.core.Now()+60e6
				if reason == "late" {
					due = h.core.Now() + delay.Microseconds()/2
				}
				if secondAttempt {
					x.AddRelay(&exchange.Host{ID: "other"}, h.core.Now(), due).End()
				}
				gate := h.holdDials(multiAddress)
				r, end := h.startAttempt(x, due)
				time.Sleep(delay)
				client.Store(reason == "disconnected")
				close(gate)
				got, givenUp := receive(t, end), multiAddress && reason == "late"
				if givenUp { // the call may be given up before the connection is open
					require.Contains(t, []topazfall.Outcome{topazfall.NeverSent, topazfall.ConnectionRefused},
						got.outcome)
				} else {
					require.Equal(t, relayResult{topazfall.NeverSent, true}, got)
				}
				require.Equal(t, client.Load(), x.IsDisconnected())
				h.Cancel(r)
				require.Eventually(t, func() bool { return h.openConns.Load() == 1 && !h.HasPendingCancels() },
					waitLimit, time.Millisecond)
				next, _ := h.startRelay("2", true)
				require.Equal(t, "2", h.nextRequest().id, "the first was written or cancelled")
				if !givenUp {
					require.EqualValues(t, 1, h.openConns.Load(), "the connection is used for the next message")
				}
				next.End()
			})
		})
	}
}

// departingConn is a connection to a host. The client disconnects when the connection's read deadline is set, which is
// before a request is composed.
type departingConn struct {
	net.Conn
	client *leavingClient
}

// SetReadDeadline marks the client as disconnected.
func (e departingConn) SetReadDeadline(t time.Time) error {
	e.client.Store(true)
	return e.Conn.SetReadDeadline(t)
}

// The client is checked right before the first byte is written: if it has disconnected by then nothing is sent.
func TestClientIsCheckedRightBeforeFirstByte(t *testing.T) {
	h, client := newFixture(t), &leavingClient{}
	dial := h.pool(h.host.Addr).Dial
	h.pool(h.host.Addr).Dial = func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err == nil {
			c.(*countedConn).Conn = departingConn{c.(*countedConn).Conn, client}
		}
		return c, err
	}
	_, end := h.startAttempt(h.newExchange(client), h.core.Now()+60e6)
	require.Equal(t, relayResult{topazfall.NeverSent, true}, receive(t, end))
	require.Empty(t, h.requests)
}
