package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const testTimeout = 10 * time.Second

// startEchoServer starts a target that sends all bytes back, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

func startLink(t *testing.T, split bufio.SplitFunc) *Link {
	l, err := Start(Options{Listen: "127.0.0.1:0", Target: startEchoServer(t), Split: split, Seed: 7})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, l *Link) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c, bufio.NewReader(c)
}

func readLine(t *testing.T, r *bufio.Reader) string {
	text, err := r.ReadString('\n')
	require.NoError(t, err)
	return text
}

func TestForwardsBothWaysAndCounts(t *testing.T) {
	target := startEchoServer(t)
	before := goleak.IgnoreCurrent()
	l, err := Start(Options{Listen: "127.0.0.1:0", Target: target})
	require.NoError(t, err)
	c, r := dial(t, l)
	fmt.Fprintln(c, "hello")
	require.Equal(t, "hello\n", readLine(t, r))
	require.EqualValues(t, 6, l.Bytes(Forward))
	require.EqualValues(t, 6, l.Bytes(Backward))
	require.EqualValues(t, 1, l.Connections())
	c.Close()
	l.Close()
	goleak.VerifyNone(t, before)
}

// countingWriter is a receiver that records how many bytes the link has counted when data arrives.
type countingWriter struct {
	link             *Link
	countedOnArrival int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.countedOnArrival = w.link.Bytes(Forward)
	return len(p), nil
}

// Bytes must be counted before the receiver can read them. The link used to count them after the write: in one of two
// CI runs, in parallel with other packages, TestForwardsBothWaysAndCounts read its line while the link still counted 0
// of its 6 bytes.
func TestBytesAreCountedBeforeTheyArrive(t *testing.T) {
	l := startLink(t, nil)
	to := &countingWriter{link: l}
	require.NoError(t, l.forward(&connectionPair{}, to, []byte("hello\n"), Forward))
	require.EqualValues(t, 6, to.countedOnArrival)
	require.EqualValues(t, 6, l.Bytes(Forward))
}

func TestDelay(t *testing.T) {
	l := startLink(t, nil)
	c, r := dial(t, l)
	l.Delay(150*time.Millisecond, Backward)
	began := time.Now()
	fmt.Fprintln(c, "x")
	readLine(t, r)
	require.GreaterOrEqual(t, time.Since(began), 150*time.Millisecond)
}

// Bytes that are held back by a stall arrive after Heal, and none is lost.
func TestStall(t *testing.T) {
	l := startLink(t, nil)
	c, r := dial(t, l)
	fmt.Fprintln(c, "1")
	readLine(t, r)
	l.Stall(Backward)
	fmt.Fprintln(c, "2")
	require.Eventually(t, func() bool { return l.Bytes(Forward) == 4 }, testTimeout, time.Millisecond)
	require.EqualValues(t, 2, l.Bytes(Backward))
	l.Heal()
	require.Equal(t, "2\n", readLine(t, r))
}

// A cut drops bytes in one direction without closing the connection. Heal resets the connection that has lost bytes,
// and a new connection works.
func TestCutOneWay(t *testing.T) {
	l := startLink(t, nil)
	c, r := dial(t, l)
	fmt.Fprintln(c, "1")
	readLine(t, r)
	l.Cut(Forward)
	fmt.Fprintln(c, "2")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := r.ReadByte()
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	l.Heal()
	_, err = r.ReadByte()
	require.Error(t, err)
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection is reset")
	c, r = dial(t, l)
	fmt.Fprintln(c, "3")
	require.Equal(t, "3\n", readLine(t, r))
}

// A connection that is opened during a cut reaches the target after Heal.
func TestDialDuringCut(t *testing.T) {
	l := startLink(t, nil)
	l.Cut()
	c, r := dial(t, l)
	fmt.Fprintln(c, "1")
	require.Zero(t, l.Bytes(Forward))
	l.Heal()
	require.Equal(t, "1\n", readLine(t, r))
}

func TestReset(t *testing.T) {
	l := startLink(t, nil)
	c, r := dial(t, l)
	fmt.Fprintln(c, "1")
	readLine(t, r)
	l.Reset()
	_, err := r.ReadByte()
	require.Error(t, err)
	_, r = dial(t, l)
	require.NotNil(t, r)
}

// Every frame arrives intact; some arrive twice, out of order or again later.
func TestFrames(t *testing.T) {
	split := func(data []byte, _ bool) (int, []byte, error) {
		if i := strings.IndexByte(string(data), '\n'); i >= 0 {
			return i + 1, data[:i+1], nil
		}
		return 0, nil, nil
	}
	l := startLink(t, split)
	l.SetFrameFaults(FrameFaults{Duplicate: 0.2, Reorder: 0.2, Replay: 0.2}, Forward)
	c, r := dial(t, l)
	const frames = 200
	for i := range frames {
		fmt.Fprintf(c, "%d\n", i)
	}
	for range frames { // a reordered frame waits for the next one, so the last frames must not be counted
		fmt.Fprintln(c, "tail")
	}
	seen, doubled, backward, last := map[int]int{}, 0, 0, -1
	for len(seen) < frames {
		var n int
		if _, err := fmt.Sscanf(readLine(t, r), "%d\n", &n); err != nil {
			continue
		}
		if seen[n]++; seen[n] > 1 {
			doubled++
		}
		if n < last {
			backward++
		}
		last = n
	}
	l.Heal()
	fmt.Fprintln(c, "end")
	for readLine(t, r) != "end\n" {
	}
	require.Len(t, seen, frames)
	require.Greater(t, doubled, 0)
	require.Greater(t, backward, 0)
}
