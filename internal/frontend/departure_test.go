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

// stalledListener accepts connections whose reader, once stalled is set, gets nothing of what it has read until
// release is closed: as in a process that was off its core and deals with its other events first.
type stalledListener struct {
	*net.TCPListener
	stalled atomic.Bool
	release chan struct{}
	last    atomic.Pointer[net.TCPConn]
}

func newStalledListener(t *testing.T) *stalledListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &stalledListener{TCPListener: ln.(*net.TCPListener), release: make(chan struct{})}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.last.Store(c)
	return &stalledConn{c, l}, nil
}

type stalledConn struct {
	*net.TCPConn
	l *stalledListener
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.l.stalled.Load() {
		<-c.l.release
	}
	return n, err
}

// waitForClosing waits until the system knows that the other side has closed, half closed or reset the connection.
func waitForClosing(t *testing.T, c *net.TCPConn) {
	const closed, closeWait = 7, 8 // the states of RFC 9293, by the system's numbers
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
	}, patience, time.Millisecond, "the closing does not arrive")
}

// A client leaves while the process is off its core: of the closing and of what lets an attempt begin, the latter is
// dealt with first. No attempt, first or further, begins then.
func TestNoAttemptBeginsOnceTheClosingIsHere(t *testing.T) {
	for name, leave := range ways {
		for _, ahead := range []int{0, 1, 5000} {
			for _, further := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " after ", ahead, " further ", further), func(t *testing.T) {
					t.Parallel()
					l := newStalledListener(t)
					d := servingOn(t, l, "a", "b")
					c := d.message()
					r := d.next(d.sent, "sent")
					l.stalled.Store(true)
					_, err := c.Write(make([]byte, ahead))
					require.NoError(t, err)
					require.NoError(t, leave(c))
					waitForClosing(t, l.last.Load())
					if further {
						require.True(t, r.Exchange.Relays[0] == r)
						d.core.Ended(r, topazfall.Saturated, topazfall.NoLoad)
						r = d.next(d.sent, "sent")
					}
					require.False(t, r.Start(d.core.Now()), "an attempt began though the closing was here")
					d.core.Ended(r, topazfall.Superseded, topazfall.NoLoad)
					d.over()
					require.Empty(t, d.sent, "further attempts are not even prepared")
					close(l.release)
				})
			}
		}
	}
}

// The same at the process that goes on with a message, before it has begun to watch the connection.
func TestNoAttemptBeginsOnceTheClosingIsHereAfterHandOver(t *testing.T) {
	for name, leave := range ways {
		for _, ahead := range []int{0, 5000} {
			t.Run(fmt.Sprint(name, " after ", ahead), func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer ln.Close()
				c, err := net.Dial("tcp", ln.Addr().String())
				require.NoError(t, err)
				nc, err := ln.Accept()
				require.NoError(t, err)
				d := serving(t, "a", "b")
				d.side.ln.mu.Lock()
				message := exchange.Message{ID: "m", Method: "POST", Path: "/api", Tenant: -1, Slots: 1,
					Arrived: d.core.Now(), Due: d.core.Now() + 60e6}
				d.side.Continue(nc, dispatch.Begun{Message: message, ClassIs: topazfall.Class{Name: "job"}}, false)
				r := d.next(d.sent, "sent")
				_, err = c.Write(make([]byte, ahead))
				require.NoError(t, err)
				require.NoError(t, leave(c.(*net.TCPConn)))
				waitForClosing(t, nc.(*net.TCPConn))
				began := r.Start(d.core.Now())
				d.side.ln.mu.Unlock()
				require.False(t, began)
				d.core.Ended(r, topazfall.Superseded, topazfall.NoLoad)
				d.over()
				require.Empty(t, d.sent)
			})
		}
	}
}

// What a look finds sent ahead is passed over and counted; once the answer may be written, or the connection has gone
// to another process, a look takes nothing away.
func TestPresence(t *testing.T) {
	_, c, client := pair(t)
	p := &presence{conn: c.Conn}
	require.False(t, p.Left())
	require.False(t, p.release())
	p.retain()
	_, err := client.Write([]byte("ab"))
	require.NoError(t, err)
	require.Eventually(t, c.unread, patience, time.Millisecond)
	require.False(t, p.Left())
	require.False(t, c.unread())
	require.True(t, p.release(), "the connection is of no further use")
	_, err = client.Write([]byte("next"))
	require.NoError(t, err)
	require.Eventually(t, c.unread, patience, time.Millisecond)
	require.False(t, p.Left())
	require.True(t, c.unread(), "the next request is left alone")

	_, c, client = pair(t)
	p = &presence{conn: c.Conn}
	client.Close()
	waitForClosing(t, c.Conn.(*net.TCPConn))
	p.release()
	require.True(t, p.Left())
}

// A message comes in pieces, and its client leaves after the last one, with or without more bytes behind it. Its reader
// gets the last piece when all that has happened: nothing is sent.
func TestClientLeavesAfterTheLastPiece(t *testing.T) {
	const fields = "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: pieces\r\nX-Priority-Class: job\r\n" +
		"X-Timeout-Ms: 60000\r\n"
	forms := map[string][]string{
		"length":  {fields + "Content-Length: 4\r\n", "\r\nab", "cd"},
		"chunked": {fields + "Transfer-Encoding: chunked\r\n", "\r\n4\r\nab", "cd\r\n0\r\n\r\n"},
	}
	for form, pieces := range forms {
		for name, leave := range ways {
			for _, behind := range []int{0, 7, 5000} {
				t.Run(fmt.Sprint(form, " ", name, " after ", behind), func(t *testing.T) {
					t.Parallel()
					l := newStalledListener(t)
					d := servingOn(t, l, "a", "b")
					nc, err := net.Dial("tcp", d.addr)
					require.NoError(t, err)
					c, last := nc.(*net.TCPConn), len(pieces)-1
					for _, piece := range pieces[:last] {
						_, err = c.Write([]byte(piece))
						require.NoError(t, err)
						require.Eventually(t, func() bool {
							near := l.last.Load()
							return near != nil && socket.Look(near) == socket.Quiet
						}, patience, time.Millisecond)
					}
					l.stalled.Store(true)
					_, err = c.Write([]byte(pieces[last]))
					require.NoError(t, err)
					_, err = c.Write(make([]byte, behind))
					require.NoError(t, err)
					require.NoError(t, leave(c))
					waitForClosing(t, l.last.Load())
					close(l.release)
					require.Eventually(t, func() bool { return d.side.Conns() == 0 }, patience, time.Millisecond)
					d.over()
					require.Empty(t, d.sent)
				})
			}
		}
	}
}

// However a connection has come, its system holds back no small write: a close over unread bytes, which resets it,
// would take an answer along.
func TestNothingIsHeldBack(t *testing.T) {
	noDelay := func(c net.Conn) {
		require.NoError(t, socket.Raw(c).Control(func(fd uintptr) {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
			require.NoError(t, err)
			require.NotZero(t, value)
		}))
	}
	l, c, _ := pair(t)
	noDelay(c.Conn)
	noDelay(double(t, c.Conn.(*net.TCPConn))) // as after a hand-over
	_, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	var rest []*conn
	require.Eventually(t, func() bool { rest = l.rest(); return len(rest) == 1 }, patience, time.Millisecond)
	noDelay(rest[0].Conn)
}

// A client closes with bytes unread, here those of a 100 Continue: the system resets the connection. Nothing is sent,
// whether its watch has noticed or not.
func TestClientClosesOverUnreadBytes(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		t.Run(fmt.Sprint("noticed ", noticed), func(t *testing.T) {
			t.Parallel()
			l := newStalledListener(t)
			d := servingOn(t, l, "a", "b")
			nc, err := net.Dial("tcp", d.addr)
			require.NoError(t, err)
			_, err = fmt.Fprint(nc,
				"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: unread\r\nX-Priority-Class: job\r\n"+
					"X-Timeout-Ms: 60000\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return socket.Look(nc) == socket.Readable }, patience, time.Millisecond)
			_, err = nc.Write([]byte("ab"))
			require.NoError(t, err)
			r := d.next(d.sent, "sent")
			l.stalled.Store(!noticed)
			require.NoError(t, nc.Close())
			if noticed { // and the connection may be closed here as well by then
				require.Same(t, r, d.next(d.off, "called off"))
			} else {
				waitForClosing(t, l.last.Load())
			}
			require.False(t, r.Start(d.core.Now()))
			d.core.Ended(r, topazfall.Superseded, topazfall.NoLoad)
			d.over()
			require.Empty(t, d.sent)
			close(l.release)
		})
	}
}
