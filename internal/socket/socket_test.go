package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const patience = 20 * time.Second // no verdict hangs on how fast a machine is

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

// ends are the ways in which the other side ends a connection.
var ends = map[string]func(*net.TCPConn){
	"closed": func(c *net.TCPConn) { c.Close() },
	"half":   func(c *net.TCPConn) { c.CloseWrite() },
	"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

func becomes(t *testing.T, c *net.TCPConn, want State) {
	t.Helper()
	require.Eventually(t, func() bool { return Look(c) == want }, patience, time.Millisecond)
}

// A look tells what a reader would find, takes nothing away, and waits neither for a reader nor for a deadline.
func TestLook(t *testing.T) {
	near, far := connect(t)
	require.Equal(t, Quiet, Look(near))
	near.SetReadDeadline(time.Unix(1, 0))
	require.Equal(t, Quiet, Look(near))
	_, err := far.Write([]byte("ab"))
	require.NoError(t, err)
	becomes(t, near, Readable)
	near.SetReadDeadline(time.Now().Add(patience))
	_, err = io.ReadFull(near, make([]byte, 2))
	require.NoError(t, err)
	require.Equal(t, Quiet, Look(near))
	go near.Read(make([]byte, 1))
	require.Equal(t, Quiet, Look(near))
	near.Close()
	require.Equal(t, Ended, Look(near), "closed here")
	require.Equal(t, Quiet, Look("no connection"))
}

// However the other side ends, that is seen at once, also after a look; behind bytes that nobody has read only by
// Discard.
func TestEnds(t *testing.T) {
	for name, end := range ends {
		for _, ahead := range []int{0, 1, 5000} {
			near, far := connect(t)
			_, err := far.Write(make([]byte, ahead))
			require.NoError(t, err)
			end(far)
			total := 0
			require.Eventually(t, func() bool {
				n, state := Discard(near, 1<<20)
				total += n
				return state == Ended
			}, patience, time.Millisecond, name)
			require.Equal(t, ahead, total, name)
			require.Equal(t, Ended, Look(near), name)
			_, err = near.Read(make([]byte, 1))
			require.Error(t, err, name)
		}
	}
}

// What is passed over is bounded, and the rest is left.
func TestDiscardIsBounded(t *testing.T) {
	near, far := connect(t)
	_, err := far.Write(make([]byte, 3*pieceSize))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return waiting(t, near) == 3*pieceSize }, patience, time.Millisecond)
	first, state := Discard(near, pieceSize)
	require.Equal(t, Readable, state)
	require.Less(t, first, 3*pieceSize)
	rest, state := Discard(near, 3*pieceSize)
	require.Equal(t, 3*pieceSize, first+rest)
	require.Equal(t, Quiet, state)
}

// waiting is the number of bytes that the system holds for the reader.
func waiting(t *testing.T, c *net.TCPConn) (n int) {
	require.NoError(t, Raw(c).Control(func(fd uintptr) {
		var err error
		n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		require.NoError(t, err)
	}))
	return n
}
