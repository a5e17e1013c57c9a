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

// absence is a client that has left once it is set.
type absence struct{ atomic.Bool }

func (a *absence) Left() bool { return a.Load() }

// holdDials makes connections to the host come up only when gate is closed, whether it has one address or several.
func (h *hosting) holdDials(several bool) (gate chan struct{}) {
	gate = make(chan struct{})
	client := func() *fasthttp.HostClient { return h.client(h.host.Addr) }
	if several {
		list, faults := addresses.List([]string{h.host.Addr})
		require.Empty(h, faults)
		h.host.Several = true
		h.Readdress(h.host.ID, list)
		client = func() *fasthttp.HostClient {
			rt := h.routes[h.host.ID]
			rt.mu.Lock()
			defer rt.mu.Unlock()
			return h.pool(rt, list[0], h.timesNow())
		}
	}
	dial := client().Dial
	client().Dial = func(addr string) (net.Conn, error) {
		<-gate
		return dial(addr)
	}
	return gate
}

// attempt makes one of the attempts of an exchange, and tells how it ended.
func (h *hosting) attempt(x *exchange.Exchange, due int64) (*exchange.Relay, chan ending) {
	r, end := x.Relay(h.host, h.core.Now(), due), make(chan ending, 1)
	go func() {
		o, _, ended := h.relay(r)
		end <- ending{o, ended}
	}()
	return r, end
}

func (h *hosting) exchange(client exchange.Client) *exchange.Exchange {
	return exchange.For(client, exchange.Message{ID: "1", Method: "POST", Path: "/api",
		Fields: []exchange.Field{{Name: "Host", Value: "x"}, {Name: "X-Request-ID", Value: "1"},
			{Name: "X-Timeout-Ms", Value: "60000"}}})
}

// everySlowDial holds dials for so long, of first and further attempts at hosts with one address or several.
func everySlowDial(t *testing.T, play func(t *testing.T, h *hosting, held time.Duration, further, several bool)) {
	for _, held := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
		for _, further := range []bool{false, true} {
			for _, several := range []bool{false, true} {
				t.Run(fmt.Sprint(held, " further ", further, " several ", several), func(t *testing.T) {
					t.Parallel()
					play(t, newHosting(t), held, further, several)
				})
			}
		}
	}
}

// An attempt tells its host what is left when its bytes go out, not what was left before its connection came up.
func TestTimeToldBehindSlowDial(t *testing.T) {
	everySlowDial(t, func(t *testing.T, h *hosting, held time.Duration, further, several bool) {
		x, due := h.exchange(nil), h.core.Now()+10e6
		if further {
			x.Relay(&exchange.Host{ID: "other"}, h.core.Now(), due).End()
		}
		gate := h.holdDials(several)
		r, end := h.attempt(x, due)
		time.Sleep(held)
		released := h.core.Now()
		close(gate)
		came := h.next()
		tells, err := strconv.ParseInt(came.tells, 10, 64)
		require.NoError(t, err)
		require.LessOrEqual(t, tells*1000, r.Due-released+1000, "more than what is left, beyond the rounding")
		require.GreaterOrEqual(t, tells*1000, r.Due-came.at, "less than what the dispatcher waits for")
		came.answer(t, accepted)
		require.False(t, take(t, end).ended)
	})
}

// A client that leaves while the connection comes up, or whose time is over then, has nothing sent for it; the
// connection is kept, and no call-off follows what was never sent.
func TestNothingIsSentBehindSlowDial(t *testing.T) {
	for _, why := range []string{"left", "late"} {
		t.Run(why, func(t *testing.T) {
			everySlowDial(t, func(t *testing.T, h *hosting, held time.Duration, further, several bool) {
				client := &absence{}
				x, due := h.exchange(client), h.core.Now()+60e6
				if why == "late" {
					due = h.core.Now() + held.Microseconds()/2
				}
				if further {
					x.Relay(&exchange.Host{ID: "other"}, h.core.Now(), due).End()
				}
				gate := h.holdDials(several)
				r, end := h.attempt(x, due)
				time.Sleep(held)
				client.Store(why == "left")
				close(gate)
				got, givenUp := take(t, end), several && why == "late"
				if givenUp { // before the connection is up
					require.Contains(t, []topazfall.Outcome{topazfall.Superseded, topazfall.RefusedConn}, got.outcome)
				} else {
					require.Equal(t, ending{topazfall.Superseded, true}, got)
				}
				require.Equal(t, client.Load(), x.HasLeft())
				h.CallOff(r)
				require.Eventually(t, func() bool { return h.conns.Load() == 1 && !h.Busy() }, patience,
					time.Millisecond)
				next, _ := h.relays("2", true)
				require.Equal(t, "2", h.next().id, "nothing of the first was written, nor called off")
				if !givenUp {
					require.EqualValues(t, 1, h.conns.Load(), "the connection is used for another")
				}
				next.End()
			})
		})
	}
}

// eventful is a connection whose client leaves while it is being made ready for a request.
type eventful struct {
	net.Conn
	client *absence
}

func (e eventful) SetReadDeadline(t time.Time) error {
	e.client.Store(true)
	return e.Conn.SetReadDeadline(t)
}

// Nothing stands between the last look at the client and the first byte: who leaves before that has nothing sent.
func TestLookIsTheLastBeforeTheFirstByte(t *testing.T) {
	h, client := newHosting(t), &absence{}
	dial := h.client(h.host.Addr).Dial
	h.client(h.host.Addr).Dial = func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err == nil {
			c.(*line).Conn = eventful{c.(*line).Conn, client}
		}
		return c, err
	}
	_, end := h.attempt(h.exchange(client), h.core.Now()+60e6)
	require.Equal(t, ending{topazfall.Superseded, true}, take(t, end))
	require.Empty(t, h.got)
}
