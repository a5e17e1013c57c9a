package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const waitLimit = 20 * time.Second // long, so that no result depends on the speed of the machine

// connect returns both ends of a connection over loopback.
func connect(t *testing.T) (near, far *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	accepted, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// closings are the ways in which the other side ends a connection.
var closings = map[string]func(*net.TCPConn){
	"closed":      func(c *net.TCPConn) { c.Close() },
	"half-closed": func(c *net.TCPConn) { c.CloseWrite() },
	"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// requireState waits until the connection is in a state.
func requireState(t *testing.T, c *net.TCPConn, want State) {
	t.Helper()
	require.Eventually(t, func() bool { return Inspect(c) == want }, waitLimit, time.Millisecond)
}

// Inspect returns the state that a reader would find, reads nothing, and waits neither for a reader nor for a deadline.
func TestInspect(t *testing.T) {
	near, far := connect(t)
	require.Equal(t, NoData, Inspect(near))
	near.SetReadDeadline(time.Unix(1, 0))
	require.Equal(t, NoData, Inspect(near))
	_, err := far.Write([]byte("ab"))
	require.NoError(t, err)
	requireState(t, near, Readable)
	near.SetReadDeadline(time.Now().Add(waitLimit))
	_, err = io.ReadFull(near, make([]byte, 2))
	require.NoError(t, err)
	require.Equal(t, NoData, Inspect(near))
	go near.Read(make([]byte, 1))
	require.Equal(t, NoData, Inspect(near))
	near.Close()
	require.Equal(t, Closed, Inspect(near), "closed on this side")
	require.Equal(t, NoData, Inspect("no connection"))
}

// However the other side ends the connection, it is noticed at once, also after Inspect. Behind unread bytes only
// Discard notices it.
func TestClosedByPeer(t *testing.T) {
	for name, closing := range closings {
		for _, ahead := range []int{0, 1, 5000} {
			near, far := connect(t)
			_, err := far.Write(make([]byte, ahead))
			require.NoError(t, err)
			closing(far)
			total := 0
			require.Eventually(t, func() bool {
				n, state := Discard(near, 1<<20)
				total += n
				return state == Closed
			}, waitLimit, time.Millisecond, name)
			require.Equal(t, ahead, total, name)
			require.Equal(t, Closed, Inspect(near), name)
			_, err = near.Read(make([]byte, 1))
			require.Error(t, err, name)
		}
	}
}

// Discard stops after its limit and leaves the rest.
func TestDiscardIsBounded(t *testing.T) {
	near, far := connect(t)
	_, err := far.Write(make([]byte, 3*chunkSize))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return bufferedBytes(t, near) == 3*chunkSize }, waitLimit, time.Millisecond)
	first, state := Discard(near, chunkSize)
	require.Equal(t, Readable, state)
	require.Less(t, first, 3*chunkSize)
	rest, state := Discard(near, 3*chunkSize)
	require.Equal(t, 3*chunkSize, first+rest)
	require.Equal(t, NoData, state)
}

// bufferedBytes returns the number of bytes that the system holds for the reader.
func bufferedBytes(t *testing.T, c *net.TCPConn) (n int) {
	require.NoError(t, RawConn(c).Control(func(fd uintptr) {
		var err error
		n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		require.NoError(t, err)
	}))
	return n
}
