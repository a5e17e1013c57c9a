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

const patience = 20 * time.Second // no verdict hangs on how fast a machine is

// got is a request that has come to a host, which answers when the test says so.
type got struct {
	net.Conn
	call  string
	id    string
	tells string        // its X-Timeout-Ms
	at    int64         // when it had come, on the core's clock
	ended chan struct{} // closed when the other side has closed the connection
}

func (g got) answer(t *testing.T, text string) {
	_, err := fmt.Fprint(g, text)
	require.NoError(t, err)
}

const (
	accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	notRun   = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
)

type hosting struct {
	*testing.T
	*Side
	host *exchange.Host
	core *dispatch.Core
	got  chan got
}

func newHosting(t *testing.T) *hosting {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	h := &hosting{T: t, host: &exchange.Host{ID: "h", Addr: ln.Addr().String()}, got: make(chan got, 9)}
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
					h.got <- got{c, call, string(req.Header.Peek("X-Request-ID")),
						string(req.Header.Peek("X-Timeout-Ms")), h.core.Now(), ended}
				}
			}()
		}
	}()
	h.core, err = dispatch.New(topazfall.Settings{Dispatchers: 1, Classes: []topazfall.Class{{Deadline: 1, Aim: 1}},
		Allowed: topazfall.Allowed{Attempts: 1}}, &metrics.Metrics{})
	require.NoError(t, err)
	h.Side = New(h.core,
		Options{Times: Times{DialTimeout: time.Minute, ConnIdle: time.Hour}, Conns: 9, Metrics: &metrics.Metrics{}})
	return h
}

// ending is how a relay ended, if it did.
type ending struct {
	outcome topazfall.Outcome
	ended   bool
}

// relays sends a message; own says that its answer must be its own.
func (h *hosting) relays(id string, own bool) (*exchange.Relay, chan ending) {
	x := exchange.New(exchange.Message{ID: id, Method: "POST", Path: "/api",
		Fields: []exchange.Field{{Name: "Host", Value: "x"}, {Name: "X-Request-ID", Value: id}}})
	x.Own = own
	r, end := x.Relay(h.host, h.core.Now(), h.core.Now()+time.Minute.Microseconds()), make(chan ending, 1)
	go func() {
		o, _, ended := h.relay(r)
		end <- ending{o, ended}
	}()
	return r, end
}

func (h *hosting) next() got {
	h.Helper()
	return take(h.T, h.got)
}

func take[E any](t *testing.T, from chan E) (e E) {
	t.Helper()
	select {
	case e = <-from:
	case <-time.After(patience):
		require.Fail(t, "nothing came")
	}
	return e
}

// A host answers a message a second time when the next is on its way on the same connection. Where to take that for the
// next one's answer could run it twice, the next one goes on another.
func TestSecondAnswerIsNotTheNextMessages(t *testing.T) {
	for _, own := range []bool{true, false} {
		h := newHosting(t)
		_, end := h.relays("1", own)
		first := h.next()
		first.answer(t, notRun)
		require.Equal(t, ending{topazfall.Saturated, true}, take(t, end))
		r, end := h.relays("2", own)
		second := h.next()
		require.Equal(t, "2", second.id)
		require.Equal(t, !own, first.Conn == second.Conn)
		first.answer(t, notRun)
		if own {
			second.answer(t, accepted)
		}
		require.Equal(t, own, !take(t, end).ended)
		require.Equal(t, own, r.Accepted())
	}
}

// A second answer that is there before the next message leaves is seen: its connection carries nothing any more.
func TestSecondAnswerBeforeTheNextMessage(t *testing.T) {
	h := newHosting(t)
	_, end := h.relays("1", false)
	first := h.next()
	first.answer(t, accepted)
	require.False(t, take(t, end).ended)
	first.answer(t, notRun)
	cc, err := h.client(h.host.Addr).AcquireConn(0, false)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return stale(cc.Conn()) }, patience, time.Millisecond)
	h.client(h.host.Addr).ReleaseConn(cc)
	r, end := h.relays("2", false)
	second := h.next()
	require.False(t, first.Conn == second.Conn)
	second.answer(t, accepted)
	require.False(t, take(t, end).ended)
	require.True(t, r.Accepted())
}

// A relay that is called off when its answer is here and its connection goes back to the others: the call-off must not
// find a connection that may be another message's by then.
func TestCallOffWhileTheConnectionGoesBack(t *testing.T) {
	h := newHosting(t)
	r, end := h.relays("1", false)
	first := h.next()
	client := h.client(h.host.Addr)
	h.mu.Lock() // all that ends the relay's hold on its connection waits
	first.answer(t, accepted)
	back := func() bool {
		cc, err := client.AcquireConn(0, false)
		require.NoError(t, err)
		defer client.ReleaseConn(cc)
		return cc.Conn().(*line).used
	}
	for begin := time.Now(); time.Since(begin) < 200*time.Millisecond; time.Sleep(time.Millisecond) {
		if back() {
			h.mu.Unlock()
			require.Fail(t, "others can have the connection, and the relay has it still")
		}
	}
	h.mu.Unlock()
	require.False(t, take(t, end).ended)
	require.Eventually(t, back, patience, time.Millisecond)
	h.CallOff(r)
	require.Empty(t, h.early)
	require.False(t, stale(func() net.Conn {
		cc, err := client.AcquireConn(0, false)
		require.NoError(t, err)
		defer client.ReleaseConn(cc)
		return cc.Conn()
	}()))
}

// An answer that never ends costs its connection, and that not for longer than the job: when the host has told the end
// of it, or when its time is up.
func TestAnswerThatNeverEnds(t *testing.T) {
	h := newHosting(t)
	go h.core.Run(nowhere{h.Side}, nowhere{h.Side})
	r, end := h.relays("1", false)
	first := h.next()
	first.answer(t, "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nx")
	r.End() // as when its job is done
	_, err := h.CallBack([]byte(`{"id":"1","from":"h","state":"done","result":"r"}`))
	require.NoError(t, err)
	require.False(t, take(t, end).ended)
	take(t, first.ended)
	require.Eventually(t, func() bool { return h.conns.Load() == 0 }, patience, time.Millisecond)
	require.Empty(t, h.early)
}

// A host that has answered 202 has the job, whatever else comes on the connection or does not: its call-backs tell the
// rest. A second attempt would run beside it, and what must not run twice would be given up in vain.
func TestSpoiltAfter202(t *testing.T) {
	for _, rest := range []string{"Content-Length: 9\r\n\r\nx", "Content-Length: 70000\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nxyz\r\n"} {
		for _, several := range []bool{false, true} {
			h := newHosting(t)
			if h.host.Several = several; several {
				list, faults := addresses.List([]string{h.host.Addr})
				require.Empty(t, faults)
				h.Readdress(h.host.ID, list)
			}
			r, end := h.relays("1", false)
			first := h.next()
			first.answer(t, "HTTP/1.1 202 Accepted\r\n"+rest)
			require.Eventually(t, r.Accepted, patience, time.Millisecond, "it can be handed over from now on")
			first.Close()
			require.False(t, take(t, end).ended)
			require.Eventually(t, func() bool { return h.conns.Load() == 0 }, patience, time.Millisecond)
			require.Empty(t, h.got)
			require.Zero(t, h.o.Metrics.Resets.Load(), "its address has lost nothing")
		}
	}
}

// Where the answer cannot be read it is not known whether the host has taken the job: it is called off before the relay
// ends, so that no repeat runs beside it. A host that has ended the connection is asked for nothing.
func TestUnreadableAnswerIsCalledOff(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 202 Accepted\r\nContent-Length: -1\r\n\r\n", "accepted\r\n\r\n", ""} {
		h := newHosting(t)
		_, end := h.relays("1", false)
		first := h.next()
		first.answer(t, answer)
		if answer == "" {
			first.Close()
		} else {
			off := h.next()
			require.Equal(t, "DELETE /jobs/1", off.call)
			require.Empty(t, end)
			off.answer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		require.Equal(t, ending{topazfall.Severed, true}, take(t, end))
		require.Empty(t, h.got)
	}
}

type nowhere struct{ *Side }

func (nowhere) Follow() {}
func (nowhere) Fetch()  {}

// A kept connection that has been idle for nearly as long as its host allows carries nothing more: the host may be
// closing it.
func TestKeptForTooLong(t *testing.T) {
	h := newHosting(t)
	_, end := h.relays("1", false)
	first := h.next()
	first.answer(t, accepted)
	require.False(t, take(t, end).ended)
	cc, err := h.client(h.host.Addr).AcquireConn(0, false)
	require.NoError(t, err)
	cc.Conn().(*line).idle -= (time.Hour * 2 / 3).Microseconds() // as after the process stood still
	cc.Conn().(*line).born = cc.Conn().(*line).idle
	h.client(h.host.Addr).ReleaseConn(cc)
	_, end = h.relays("2", false)
	second := h.next()
	require.False(t, first.Conn == second.Conn)
	take(t, first.ended)
	second.answer(t, accepted)
	require.False(t, take(t, end).ended)
}

// A connection that comes up only when its message must not be sent any more is kept for another, and counted once.
func TestConnectionThatComesUpLate(t *testing.T) {
	h := newHosting(t)
	dial, gate := h.client(h.host.Addr).Dial, make(chan struct{})
	h.client(h.host.Addr).Dial = func(addr string) (net.Conn, error) {
		<-gate
		return dial(addr)
	}
	r, end := h.relays("1", true)
	h.host.SetClosed(true) // it drains meanwhile
	close(gate)
	require.Equal(t, ending{topazfall.Superseded, true}, take(t, end))
	require.False(t, r.Ended())
	require.EqualValues(t, 1, h.conns.Load())
	h.host.SetClosed(false)
	h.relays("2", true)
	require.Equal(t, "2", h.next().id, "nothing of the first was written")
	require.EqualValues(t, 1, h.conns.Load())
}
