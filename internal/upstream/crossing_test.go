package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

const waitLimit = 20 * time.Second // long, so that no result depends on the speed of the machine

// receivedRequest is a request that has arrived at a host (worker), which answers when the test calls answer.
type receivedRequest struct {
	net.Conn
	call          string
	id            string
	timeoutMillis string        // its X-Timeout-Ms
	receivedAt    int64         // when all of it had arrived, on the core's clock
	closed        chan struct{} // closed when the other side has closed the connection
}

func (g receivedRequest) answer(t *testing.T, text string) {
	_, err := fmt.Fprint(g, text)
	require.NoError(t, err)
}

const (
	accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	notRun   = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
)

// fixture is a Transport with one host.
type fixture struct {
	*testing.T
	*Transport
	host     *exchange.Host
	core     *dispatch.Core
	requests chan receivedRequest
}

// newFixture starts a host on loopback that hands its requests to the test.
func newFixture(t *testing.T) *fixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	h := &fixture{T: t, host: &exchange.Host{ID: "h", Addr: ln.Addr().String()},
		requests: make(chan receivedRequest, 9)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				ended := make(chan struct{})
				defer close(ended)
				var req fasthttp.Request
				for in := bufio.NewReader(c); req.Read(in) == nil; {
					call := string(req.Header.Method()) + " " + string(req.Header.RequestURI())
					h.requests <- receivedRequest{c, call, string(req.Header.Peek("X-Request-ID")),
						string(req.Header.Peek("X-Timeout-Ms")), h.core.Now(), ended}
				}
			}()
		}
	}()
	h.core, err = dispatch.New(topazfall.Settings{Dispatchers: 1, Classes: []topazfall.Class{{Deadline: 1, Aim: 1}},
		Allowed: topazfall.Allowed{Attempts: 1}}, &metrics.Metrics{})
	require.NoError(t, err)
	h.Transport = New(h.core,
		Options{ConnSettings: ConnSettings{DialTimeout: time.Minute, IdleTimeout: time.Hour}, MaxConns: 9,
			Metrics: &metrics.Metrics{}})
	return h
}

// relayResult is how a relay (one attempt at one worker) ended, if it did.
type relayResult struct {
	outcome topazfall.Outcome
	ended   bool
}

// startRelay sends a message; freshConnOnly says that it must have a new connection, on which no answer to another
// message can arrive. The channel receives its result.
func (h *fixture) startRelay(id string, freshConnOnly bool) (*exchange.Relay, chan relayResult) {
	x := exchange.New(exchange.Message{ID: id, Method: "POST", Path: "/api",
		Fields: []exchange.HeaderField{{Name: "Host", Value: "x"}, {Name: "X-Request-ID", Value: id}}})
	x.FreshConnOnly = freshConnOnly
	r, end := x.AddRelay(h.host, h.core.Now(), h.core.Now()+time.Minute.Microseconds()), make(chan relayResult, 1)
	go func() {
		o, _, ended := h.runRelay(r)
		end <- relayResult{o, ended}
	}()
	return r, end
}

// nextRequest waits for the next request to the host.
func (h *fixture) nextRequest() receivedRequest {
	h.Helper()
	return receive(h.T, h.requests)
}

// receive waits for a value.
func receive[E any](t *testing.T, from chan E) (e E) {
	t.Helper()
	select {
	case e = <-from:
	case <-time.After(waitLimit):
		require.Fail(t, "nothing was received")
	}
	return e
}

// A host answers a message a second time while the next message is under way on the same connection. If taking that
// answer for the next message's own could have the next message run twice, the next one uses another connection.
func TestSecondAnswerIsNotTakenForNextMessage(t *testing.T) {
	for _, freshConnOnly := range []bool{true, false} {
		h := newFixture(t)
		_, end := h.startRelay("1", freshConnOnly)
		first := h.nextRequest()
		first.answer(t, notRun)
		require.Equal(t, relayResult{topazfall.Saturated, true}, receive(t, end))
		r, end := h.startRelay("2", freshConnOnly)
		second := h.nextRequest()
		require.Equal(t, "2", second.id)
		require.Equal(t, !freshConnOnly, first.Conn == second.Conn)
		first.answer(t, notRun)
		if freshConnOnly {
			second.answer(t, accepted)
		}
		require.Equal(t, freshConnOnly, !receive(t, end).ended)
		require.Equal(t, freshConnOnly, r.IsAccepted())
	}
}

// A second answer that arrives before the next message is sent is noticed: its connection is not used again.
func TestSecondAnswerBeforeTheNextMessage(t *testing.T) {
	h := newFixture(t)
	_, end := h.startRelay("1", false)
	first := h.nextRequest()
	first.answer(t, accepted)
	require.False(t, receive(t, end).ended)
	first.answer(t, notRun)
	cc, err := h.pool(h.host.Addr).AcquireConn(0, false)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return isStale(cc.Conn()) }, waitLimit, time.Millisecond)
	h.pool(h.host.Addr).ReleaseConn(cc)
	r, end := h.startRelay("2", false)
	second := h.nextRequest()
	require.False(t, first.Conn == second.Conn)
	second.answer(t, accepted)
	require.False(t, receive(t, end).ended)
	require.True(t, r.IsAccepted())
}

// A relay is cancelled when its answer has arrived and its connection is returned to the pool. Cancel must not close
// the connection, which may be in use for another message by then.
func TestCancelWhileConnIsReleased(t *testing.T) {
	h := newFixture(t)
	r, end := h.startRelay("1", false)
	first := h.nextRequest()
	pool := h.pool(h.host.Addr)
	h.mu.Lock() // blocks the removal of the relay from unanswered
	first.answer(t, accepted)
	isReleased := func() bool {
		cc, err := pool.AcquireConn(0, false)
		require.NoError(t, err)
		defer pool.ReleaseConn(cc)
		return cc.Conn().(*countedConn).isUsed
	}
	for begin := time.Now(); time.Since(begin) < 200*time.Millisecond; time.Sleep(time.Millisecond) {
		if isReleased() {
			h.mu.Unlock()
			require.Fail(t, "the connection is in the pool while the relay still holds it")
		}
	}
	h.mu.Unlock()
	require.False(t, receive(t, end).ended)
	require.Eventually(t, isReleased, waitLimit, time.Millisecond)
	h.Cancel(r)
	require.Empty(t, h.unanswered)
	require.False(t, isStale(func() net.Conn {
		cc, err := pool.AcquireConn(0, false)
		require.NoError(t, err)
		defer pool.ReleaseConn(cc)
		return cc.Conn()
	}()))
}

// A connection with an answer that never ends is closed, at the latest when the job's end was reported by a callback or
// its time is up.
func TestAnswerThatNeverEnds(t *testing.T) {
	h := newFixture(t)
	go h.core.Run(transportWithDiscovery{h.Transport}, transportWithDiscovery{h.Transport})
	r, end := h.startRelay("1", false)
	first := h.nextRequest()
	first.answer(t, "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx")
	r.End() // as if its job had ended
	_, err := h.HandleCallback([]byte(`{"id":"1","from":"h","state":"done","result":"r"}`))
	require.NoError(t, err)
	require.False(t, receive(t, end).ended)
	receive(t, first.closed)
	require.Eventually(t, func() bool { return h.openConns.Load() == 0 }, waitLimit, time.Millisecond)
	require.Empty(t, h.unanswered)
}

// A host that has answered 202 has accepted the job, whatever else arrives on the connection: its callbacks report the
// rest. A second attempt would run beside the first, and a job that must not run twice would fail without need.
func TestBrokenAnswerAfter202(t *testing.T) {
	for _, rest := range []string{"Content-Length: 9\r\n\r\nx", "Content-Length: 70000\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nxyz\r\n"} {
		for _, multiAddress := range []bool{false, true} {
			h := newFixture(t)
			if h.host.MultiAddress = multiAddress; multiAddress {
				list, faults := addresses.ParseList([]string{h.host.Addr})
				require.Empty(t, faults)
				h.SetAddresses(h.host.ID, list)
			}
			r, end := h.startRelay("1", false)
			first := h.nextRequest()
			first.answer(t, "HTTP/1.1 202 Accepted\r\n"+rest)
			require.Eventually(t, r.IsAccepted, waitLimit, time.Millisecond, "the relay cannot be handed over yet")
			first.Close()
			require.False(t, receive(t, end).ended)
			require.Eventually(t, func() bool { return h.openConns.Load() == 0 }, waitLimit, time.Millisecond)
			require.Empty(t, h.requests)
			require.Zero(t, h.options.Metrics.AddressResets.Load(), "the address is counted as having lost a request")
		}
	}
}

// When the answer cannot be parsed it is not known whether the host has accepted the job: the job is cancelled before
// the relay ends, so that no retry runs beside it. If the host has closed the connection there is no cancel call.
func TestUnreadableAnswerIsCancelled(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 202 Accepted\r\nContent-Length: -1\r\n\r\n", "accepted\r\n\r\n", ""} {
		h := newFixture(t)
		_, end := h.startRelay("1", false)
		first := h.nextRequest()
		first.answer(t, answer)
		if answer == "" {
			first.Close()
		} else {
			off := h.nextRequest()
			require.Equal(t, "DELETE /jobs/1", off.call)
			require.Empty(t, end)
			off.answer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		require.Equal(t, relayResult{topazfall.ConnectionLost, true}, receive(t, end))
		require.Empty(t, h.requests)
	}
}

// transportWithDiscovery is a Transport that ignores requests for the list of hosts.
type transportWithDiscovery struct{ *Transport }

func (transportWithDiscovery) Follow() {}
func (transportWithDiscovery) Fetch()  {}

// A kept connection that has been idle for nearly as long as its host allows is not used again: the host may be closing
// it.
func TestConnKeptTooLongIsNotReused(t *testing.T) {
	h := newFixture(t)
	_, end := h.startRelay("1", false)
	first := h.nextRequest()
	first.answer(t, accepted)
	require.False(t, receive(t, end).ended)
	cc, err := h.pool(h.host.Addr).AcquireConn(0, false)
	require.NoError(t, err)
	cc.Conn().(*countedConn).idleSince -= (time.Hour * 2 / 3).Microseconds() // as if the process had been suspended
	cc.Conn().(*countedConn).openedAt = cc.Conn().(*countedConn).idleSince
	h.pool(h.host.Addr).ReleaseConn(cc)
	_, end = h.startRelay("2", false)
	second := h.nextRequest()
	require.False(t, first.Conn == second.Conn)
	receive(t, first.closed)
	second.answer(t, accepted)
	require.False(t, receive(t, end).ended)
}

// A connection is opened only after its message must not be sent any more. It is kept for another message and counted
// once.
func TestConnectionThatComesUpLate(t *testing.T) {
	h := newFixture(t)
	dial, gate := h.pool(h.host.Addr).Dial, make(chan struct{})
	h.pool(h.host.Addr).Dial = func(addr string) (net.Conn, error) {
		<-gate
		return dial(addr)
	}
	r, end := h.startRelay("1", true)
	h.host.SetClosed(true) // the host drains meanwhile
	close(gate)
	require.Equal(t, relayResult{topazfall.NeverSent, true}, receive(t, end))
	require.False(t, r.IsEnded())
	require.EqualValues(t, 1, h.openConns.Load())
	h.host.SetClosed(false)
	h.startRelay("2", true)
	require.Equal(t, "2", h.nextRequest().id, "something of the first was written")
	require.EqualValues(t, 1, h.openConns.Load())
}
