package north

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func pair(t *testing.T) (*listener, *conn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	l := &listener{Listener: ln, conns: map[*conn]bool{}}
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	c, err := l.Accept()
	require.NoError(t, err)
	return l, c.(*conn), client
}

// Nothing is written to who never asked; who began to ask is told that it took too long.
func TestUnusedConnectionEndsSilently(t *testing.T) {
	_, c, _ := pair(t)
	c.SetReadDeadline(time.Unix(1, 0))
	_, err := c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	track(c, fasthttp.StateActive)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// What the watch reads ahead belongs to the next message; an end of the watch is not the client's.
func TestWatch(t *testing.T) {
	_, c, client := pair(t)
	gone := c.watch()
	c.unwatch()
	require.False(t, done(gone))
	_, err := client.Write([]byte("next"))
	require.NoError(t, err)
	gone = c.watch()
	<-c.stopped
	c.unwatch()
	require.False(t, done(gone))
	next := make([]byte, 4)
	_, err = io.ReadFull(c, next)
	require.NoError(t, err)
	require.Equal(t, "next", string(next))
	gone = c.watch()
	client.Close()
	<-gone
	c.unwatch()
}

func done(gone <-chan struct{}) bool {
	select {
	case <-gone:
		return true
	default:
		return false
	}
}

// Only connections of clients that are between messages are closed.
func TestCloseIdle(t *testing.T) {
	for _, client := range []bool{false, true} {
		for _, state := range []fasthttp.ConnState{fasthttp.StateIdle, fasthttp.StateActive} {
			l, c, _ := pair(t)
			c.client.Store(client)
			track(c, state)
			l.closeIdle()
			require.Equal(t, client && state == fasthttp.StateIdle, l.count() == 0)
		}
	}
}
