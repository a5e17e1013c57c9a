package frontend

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"topazfall"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/socket"
)

// stalledListener accepts connections whose Read, once stalled is set, returns only when release is closed. It stands
// in for a process that was not scheduled for a while and handles other events first.
type stalledListener struct {
	*net.TCPListener
	stalled atomic.Bool
	release chan struct{}
	last    atomic.Pointer[net.TCPConn]
}

// newStalledListener listens on loopback.
func newStalledListener(t *testing.T) *stalledListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &stalledListener{TCPListener: ln.(*net.TCPListener), release: make(chan struct{})}
}

// Accept returns the connection as a stalledConn.
func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.last.Store(c)
	return &stalledConn{c, l}, nil
}

// stalledConn is a connection of a stalledListener.
type stalledConn struct {
	*net.TCPConn
	l *stalledListener
}

// Read reads, and returns what it has read when the listener permits.
func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.l.stalled.Load() {
		<-c.l.release
	}
	return n, err
}

// waitForClosing waits until the system knows that the other side has closed, half-closed or reset the connection.
func waitForClosing(t *testing.T, c *net.TCPConn) {
	const closed, closeWait = 7, 8 // states of RFC 9293, as Linux numbers them
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		state := uint8(0)
		require.NoError(t, raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		}))
		return state == closed || state == closeWait
	}, waitLimit, time.Millisecond, "the system does not see the close")
}

// A client disconnects while the process is not scheduled. The process then handles the event that starts an attempt
// before the disconnect. No attempt starts, neither the first nor a later one.
func TestNoAttemptStartsAfterClientClosed(t *testing.T) {
	for name, leave := range departures {
		for _, ahead := range []int{0, 1, 5000} {
			for _, further := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " after ", ahead, " second ", further), func(t *testing.T) {
					t.Parallel()
					l := newStalledListener(t)
					d := newDispatcherOn(t, l, "a", "b")
					c := d.sendMessage()
					r := d.receive(d.sent, "sent")
					l.stalled.Store(true)
					_, err := c.Write(make([]byte, ahead))
					require.NoError(t, err)
					require.NoError(t, leave(c))
					waitForClosing(t, l.last.Load())
					if further {
						require.True(t, r.Exchange.Relays[0] == r)
						d.core.RelayEnded(r, topazfall.Saturated, topazfall.NoLoad)
						r = d.receive(d.sent, "sent")
					}
					require.False(t, r.TryStart(d.core.Now()), "an attempt started after the client had closed")
					d.core.RelayEnded(r, topazfall.NeverSent, topazfall.NoLoad)
					d.waitUntilIdle()
					require.Empty(t, d.sent, "a further attempt was prepared")
					close(l.release)
				})
			}
		}
	}
}

// The same in a process that takes over a message, before it watches the connection.
func TestNoAttemptStartsAfterClientClosedOnHandover(t *testing.T) {
	for name, leave := range departures {
		for _, ahead := range []int{0, 5000} {
			t.Run(fmt.Sprint(name, " after ", ahead), func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer ln.Close()
				c, err := net.Dial("tcp", ln.Addr().String())
				require.NoError(t, err)
				nc, err := ln.Accept()
				require.NoError(t, err)
				d := newDispatcher(t, "a", "b")
				d.server.listener.mu.Lock()
				message := exchange.Message{ID: "m", Method: "POST", Path: "/api", Tenant: -1, Slots: 1,
					Arrived: d.core.Now(), Due: d.core.Now() + 60e6}
				d.server.ResumeMessage(nc,
					dispatch.InFlightMessage{Message: message, ClassIs: topazfall.Class{Name: "job"}}, false)
				r := d.receive(d.sent, "sent")
				_, err = c.Write(make([]byte, ahead))
				require.NoError(t, err)
				require.NoError(t, leave(c.(*net.TCPConn)))
				waitForClosing(t, nc.(*net.TCPConn))
				began := r.TryStart(d.core.Now())
				d.server.listener.mu.Unlock()
				require.False(t, began)
				d.core.RelayEnded(r, topazfall.NeverSent, topazfall.NoLoad)
				d.waitUntilIdle()
				require.Empty(t, d.sent)
			})
		}
	}
}

// Disconnected discards bytes that were sent ahead, and stopDiscarding reports them. After stopDiscarding, when the
// answer may be written or the connection was handed over, Disconnected leaves unread bytes alone.
func TestPresence(t *testing.T) {
	_, c, client := connectOne(t)
	p := &presence{conn: c.Conn}
	require.False(t, p.Disconnected())
	require.False(t, p.stopDiscarding())
	p.resumeDiscarding()
	_, err := client.Write([]byte("ab"))
	require.NoError(t, err)
	require.Eventually(t, c.hasUnread, waitLimit, time.Millisecond)
	require.False(t, p.Disconnected())
	require.False(t, c.hasUnread())
	require.True(t, p.stopDiscarding(), "the connection must not be used again")
	_, err = client.Write([]byte("next"))
	require.NoError(t, err)
	require.Eventually(t, c.hasUnread, waitLimit, time.Millisecond)
	require.False(t, p.Disconnected())
	require.True(t, c.hasUnread(), "the next request was discarded")

	_, c, client = connectOne(t)
	p = &presence{conn: c.Conn}
	client.Close()
	waitForClosing(t, c.Conn.(*net.TCPConn))
	p.stopDiscarding()
	require.True(t, p.Disconnected())
}

// A message arrives in pieces, and its client disconnects after the last one, with or without further bytes. The server
// reads the last piece only after that: nothing is sent to a worker.
func TestClientLeavesAfterLastPiece(t *testing.T) {
	const fields = "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: pieces\r\nX-Priority-Class: job\r\n" +
		"X-Timeout-Ms: 60000\r\n"
	forms := map[string][]string{
		"length":  {fields + "Content-Length: 4\r\n", "\r\nab", "cd"},
		"chunked": {fields + "Transfer-Encoding: chunked\r\n", "\r\n4\r\nab", "cd\r\n0\r\n\r\n"},
	}
	for form, pieces := range forms {
		for name, leave := range departures {
			for _, behind := range []int{0, 7, 5000} {
				t.Run(fmt.Sprint(form, " ", name, " after ", behind), func(t *testing.T) {
					t.Parallel()
					l := newStalledListener(t)
					d := newDispatcherOn(t, l, "a", "b")
					nc, err := net.Dial("tcp", d.addr)
					require.NoError(t, err)
					c, last := nc.(*net.TCPConn), len(pieces)-1
					for _, piece := range pieces[:last] {
						_, err = c.Write([]byte(piece))
						require.NoError(t, err)
						require.Eventually(t, func() bool {
							near := l.last.Load()
							return near != nil && socket.Inspect(near) == socket.NoData
						}, waitLimit, time.Millisecond)
					}
					l.stalled.Store(true)
					_, err = c.Write([]byte(pieces[last]))
					require.NoError(t, err)
					_, err = c.Write(make([]byte, behind))
					require.NoError(t, err)
					require.NoError(t, leave(c))
					waitForClosing(t, l.last.Load())
					close(l.release)
					require.Eventually(t, func() bool { return d.server.OpenConns() == 0 }, waitLimit, time.Millisecond)
					d.waitUntilIdle()
					require.Empty(t, d.sent)
				})
			}
		}
	}
}

// However a connection was accepted, TCP_NODELAY is set: an answer that the system holds back would be lost by a close
// with unread bytes, which resets the connection.
func TestNoDelayIsSet(t *testing.T) {
	noDelay := func(c net.Conn) {
		require.NoError(t, socket.RawConn(c).Control(func(fd uintptr) {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
			require.NoError(t, err)
			require.NotZero(t, value)
		}))
	}
	l, c, _ := connectOne(t)
	noDelay(c.Conn)
	noDelay(duplicateConn(t, c.Conn.(*net.TCPConn))) // as after a handover
	_, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	var rest []*conn
	require.Eventually(t, func() bool { rest = l.acceptQueued(); return len(rest) == 1 }, waitLimit, time.Millisecond)
	noDelay(rest[0].Conn)
}

// A client closes with unread bytes, here those of a 100 Continue, so that the system resets the connection. Nothing is
// sent, whether watchClient has noticed the reset or not.
func TestClientClosesWithUnreadBytes(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		t.Run(fmt.Sprint("noticed ", noticed), func(t *testing.T) {
			t.Parallel()
			l := newStalledListener(t)
			d := newDispatcherOn(t, l, "a", "b")
			nc, err := net.Dial("tcp", d.addr)
			require.NoError(t, err)
			_, err = fmt.Fprint(nc,
				"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: unread\r\nX-Priority-Class: job\r\n"+
					"X-Timeout-Ms: 60000\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return socket.Inspect(nc) == socket.Readable }, waitLimit,
				time.Millisecond)
			_, err = nc.Write([]byte("ab"))
			require.NoError(t, err)
			r := d.receive(d.sent, "sent")
			l.stalled.Store(!noticed)
			require.NoError(t, nc.Close())
			if noticed { // by then the server may have closed the connection, too
				require.Same(t, r, d.receive(d.cancelled, "cancelled"))
			} else {
				waitForClosing(t, l.last.Load())
			}
			require.False(t, r.TryStart(d.core.Now()))
			d.core.RelayEnded(r, topazfall.NeverSent, topazfall.NoLoad)
			d.waitUntilIdle()
			require.Empty(t, d.sent)
			close(l.release)
		})
	}
}
