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
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// A connection is kept and used again while it is open; one that the host has closed is replaced before anything is
// written to it; and the limit on connections holds.
func TestConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn, 9)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
			go func() {
				var req fasthttp.Request
				for in := bufio.NewReader(c); req.Read(in) == nil; {
					c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	core, err := dispatch.New(topazfall.Settings{Dispatchers: 1, Classes: []topazfall.Class{{Deadline: 1, Aim: 1}},
		Allowed: topazfall.Allowed{Attempts: 1}}, &metrics.Metrics{})
	require.NoError(t, err)
	transport := New(core,
		Options{ConnSettings: ConnSettings{DialTimeout: time.Minute, IdleTimeout: time.Hour}, MaxConns: 1})
	call := func() error {
		return transport.simpleCall("GET", "/health", &exchange.Host{ID: "h", Addr: ln.Addr().String()}, time.Minute,
			nil)
	}

	require.NoError(t, call())
	require.NoError(t, call())
	first := <-accepted
	require.Empty(t, accepted, "the second call used the first one's connection")

	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return call() == nil && len(accepted) == 1 }, time.Minute, time.Millisecond)
	require.EqualValues(t, 1, transport.openConns.Load())

	_, err = transport.dial("tcp", ln.Addr().String(), time.Minute)("")
	require.ErrorIs(t, err, errTooMany)
	require.EqualValues(t, 1, transport.openConns.Load(), "a dial that was not made is not counted")
}

// Guards against pools that are kept for each address that was ever called: those without a connection go, and one with
// a connection stays.
func TestPoolsOfHostsThatAreGone(t *testing.T) {
	h := newFixture(t)
	kept := h.pool(h.host.Addr)
	conn, err := kept.AcquireConn(0, false)
	require.NoError(t, err)
	defer kept.CloseConn(conn)
	for i := range 10 * minPools {
		h.pool(fmt.Sprintf("127.0.0.1:%d", i+1))
		require.LessOrEqual(t, len(h.pools), minPools)
	}
	require.Same(t, kept, h.pool(h.host.Addr))
}

// A kept connection is used again after the deadline of the last exchange on it has passed: that deadline does not
// apply to the next exchange.
func TestConnIsReusedAfterDeadlineOfLastExchange(t *testing.T) {
	h := newFixture(t)
	pool := h.pool(h.host.Addr)
	_, end := h.startRelay("1", false)
	first := h.nextRequest()
	first.answer(t, accepted)
	require.False(t, receive(t, end).ended)
	cc, err := pool.AcquireConn(0, false)
	require.NoError(t, err)
	cc.Conn().SetReadDeadline(time.Unix(1, 0)) // as if the deadline had passed
	pool.ReleaseConn(cc)
	_, end = h.startRelay("2", false)
	second := h.nextRequest()
	require.True(t, first.Conn == second.Conn)
	second.answer(t, accepted)
	require.False(t, receive(t, end).ended)
}
