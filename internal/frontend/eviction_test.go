package frontend

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// When too many connections are open, unproven ones are evicted first, the oldest before the others; then the least
// recently used proven one. If all are busy the new connection is rejected.
func TestEvictionOrder(t *testing.T) {
	l := newTestListener(t, 3, 0)
	proven, _ := connect(t, l)
	proven.markProven(true)
	trackState(proven, fasthttp.StateIdle)
	silent, _ := connect(t, l)
	second, _ := connect(t, l)
	third, _ := connect(t, l)
	require.False(t, isOpen(silent))
	require.True(t, isOpen(proven) && isOpen(second) && isOpen(third))
	for _, c := range []*conn{third, second} { // proven by a callback, as connections of workers are
		c.markProven(false)
		trackState(c, fasthttp.StateIdle)
	}
	trackState(proven, fasthttp.StateActive)
	trackState(proven, fasthttp.StateIdle)
	fourth, _ := connect(t, l)
	require.False(t, isOpen(third))
	require.True(t, isOpen(proven) && isOpen(second))
	for _, c := range []*conn{proven, second, fourth} {
		c.markProven(true)
		trackState(c, fasthttp.StateActive)
	}
	rejected, client := connect(t, l)
	require.Nil(t, rejected)
	_, err := client.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	require.Equal(t, 3, l.openCount())
}

// When too many connections are open, one on which a message has arrived is not evicted, though the message is not read
// yet.
func TestEvictKeepsConnWithUnreadData(t *testing.T) {
	l := newTestListener(t, 1, 0)
	c, client := connect(t, l)
	c.markProven(true)
	trackState(c, fasthttp.StateIdle)
	_, err := client.Write([]byte("P"))
	require.NoError(t, err)
	require.Eventually(t, c.hasUnread, waitLimit, time.Millisecond)
	rejected, _ := connect(t, l)
	require.Nil(t, rejected)
	require.True(t, isOpen(c))
}

// When too many connections are open and all are unproven, a silent one is evicted before an older one on which a
// message has arrived: its client takes what it has written for received.
func TestSilentConnsAreEvictedFirst(t *testing.T) {
	l := newTestListener(t, 3, 0)
	unread, client := connect(t, l)
	_, err := client.Write([]byte("P"))
	require.NoError(t, err)
	require.Eventually(t, unread.hasUnread, waitLimit, time.Millisecond)
	read, client := connect(t, l) // its first byte was read
	_, err = client.Write([]byte("P"))
	require.NoError(t, err)
	_, err = readBytes(read, make([]byte, 1))
	require.NoError(t, err)
	silent, _ := connect(t, l)
	connect(t, l)
	require.True(t, isOpen(unread) && isOpen(read))
	require.False(t, isOpen(silent))
	l.closeUnproven(2)
	require.True(t, isOpen(unread) && isOpen(read), "the same when a process that is replaced closes connections")
	require.Equal(t, 2, l.openCount())
	l.closeUnproven(1)
	require.Equal(t, 2, l.openCount(), "messages that have arrived are answered first")
	third, client := connect(t, l)
	_, err = client.Write([]byte("P"))
	require.NoError(t, err)
	require.Eventually(t, third.hasUnread, waitLimit, time.Millisecond)
	newest, _ := connect(t, l)
	require.False(t, isOpen(unread), "when all have sent something the oldest is evicted")
	require.True(t, isOpen(newest))
}

// Guards against a new connection that is closed for the next one before its first request is read, while others have
// been idle for long: one client that connects again and again would cost the others theirs. A quarter of all
// connections at most are kept for that, and only for a moment.
func TestNewConnIsKeptForItsFirstRequest(t *testing.T) {
	const places = 8
	for name, wait := range map[string]time.Duration{"new": 0, "overdue": 2 * expectedWithin} {
		for _, sends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, sends %v", name, sends), func(t *testing.T) {
				l := newTestListener(t, places, 0)
				var idle []*conn
				for range places - 1 {
					c, _ := connect(t, l)
					c.markProven(true)
					trackState(c, fasthttp.StateIdle)
					idle = append(idle, c)
				}
				recent, client := connect(t, l)
				if sends {
					_, err := client.Write([]byte("P"))
					require.NoError(t, err)
					require.Eventually(t, recent.hasUnread, waitLimit, time.Millisecond)
				}
				time.Sleep(wait)
				recent.acceptedAt = time.Now().Add(-wait) // whatever time the steps above have taken
				connect(t, l)
				require.Equal(t, wait == 0, isOpen(recent))
				require.Equal(t, wait > 0, isOpen(idle[0]), "the one that has been idle for longest")
				require.True(t, isOpen(idle[1]))
			})
		}
	}
	l := newTestListener(t, places, 0)
	proven, _ := connect(t, l)
	proven.markProven(true)
	trackState(proven, fasthttp.StateIdle)
	oldest, _ := connect(t, l)
	for range places - 1 {
		connect(t, l)
	}
	require.False(t, isOpen(oldest))
	require.True(t, isOpen(proven), "no more than a quarter are kept in its place")
}

// A connection that lingers after an error response, with a client that still sends, is evicted before all others.
func TestLingeringConnsAreEvictedFirst(t *testing.T) {
	l := newTestListener(t, 2, 0)
	silent, _ := connect(t, l)
	ended, client := connect(t, l)
	_, err := client.Write([]byte("rubbish"))
	require.NoError(t, err)
	_, err = readBytes(ended, make([]byte, 1))
	require.NoError(t, err)
	ended.lingerOnClose.Store(true)
	closed := make(chan error, 1)
	go func() { closed <- ended.Close() }()
	_, err = io.ReadAll(client) // until the server has closed its sending direction
	require.NoError(t, err)
	connect(t, l)
	require.Equal(t, 2, l.openCount())
	<-closed
	require.True(t, isOpen(silent))
	require.False(t, isOpen(ended))
}

// Guards against a request that was read being closed without an answer, because others in its state are still
// answered: the new connection, on which nothing was read, is closed then.
func TestReadRequestIsNotClosedWhileOthersAreAnswered(t *testing.T) {
	l := newTestListener(t, maxAnswering+1, 9<<20)
	connectBusy := func() *conn {
		c, client := connect(t, l)
		if c == nil {
			return nil
		}
		_, err := client.Write([]byte("P"))
		require.NoError(t, err)
		_, err = readBytes(c, make([]byte, 1))
		require.NoError(t, err)
		return c
	}
	for range maxAnswering + 1 {
		require.NotNil(t, connectBusy())
	}
	for range maxAnswering {
		require.NotNil(t, connectBusy(), "the oldest ones are answered for it")
	}
	oldest := l.unproven.Front().Value.(*conn)
	require.Nil(t, connectBusy())
	require.True(t, isOpen(oldest))
	require.Equal(t, maxAnswering+1, l.openCount())
}

// A new connection waits for one of the evicted connections to be answered.
func TestNewConnWaitsForEvictedOnes(t *testing.T) {
	l := newTestListener(t, 1, 9<<20)
	var evicted []*conn
	for range maxAnswering + 1 {
		c, client := connect(t, l)
		_, err := client.Write([]byte("P"))
		require.NoError(t, err)
		_, err = readBytes(c, make([]byte, 1))
		require.NoError(t, err)
		evicted = append(evicted, c)
	}
	go func() {
		time.Sleep(answeringTimeout / 4)
		evicted[0].Close()
	}()
	c, _ := connect(t, l)
	require.NotNil(t, c)
	require.True(t, isOpen(c))
	require.Equal(t, 1, l.openCount())
}

// The answer to an evicted connection whose client does not read is given up soon.
func TestEvictedConnIsNotHeldByUnreadAnswers(t *testing.T) {
	l := newTestListener(t, 1, 9<<20)
	c, client := connect(t, l)
	_, err := client.Write([]byte("P"))
	require.NoError(t, err)
	_, err = readBytes(c, make([]byte, 1))
	require.NoError(t, err)
	connect(t, l)
	require.False(t, isOpen(c))
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(writeTimeout)))
	begin := time.Now()
	for err == nil {
		_, err = c.Write(make([]byte, 1<<20))
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Less(t, time.Since(begin), writeTimeout/2)
}

// Guards against an evicted connection being held by a process that is slow to answer a question about its callback.
func TestCallbackOnEvictedConnIsNotForwarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &slowReadListener{ln.(*net.TCPListener), make(chan struct{}, 9), make(chan struct{})}
	d := newDispatcherOn(t, l, "a")
	d.server.SetCallbackForwarder(func([]byte) error {
		t.Error("forwarded")
		return nil
	})
	c, err := net.Dial("tcp", d.addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST "+callbackPath+" HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	<-l.bytesRead
	d.evictOne()
	close(l.proceed)
	require.Equal(t, fasthttp.StatusServiceUnavailable, readStatus(t, c))
}

// A callback that waits for memory gives up when its connection is evicted, and no sooner.
func TestCallbackGivesUpWhenEvicted(t *testing.T) {
	l := newTestListener(t, 9, 3*requestCost(maxBodyBytes))
	unread, _ := connect(t, l)
	unread.resultMemory.Add(requestCost(maxBodyBytes))
	c, _ := connect(t, l)
	signal := c.evictionSignal()
	require.False(t, isClosed(signal))
	l.mu.Lock()
	l.closeAfterAnswer(c)
	l.mu.Unlock()
	require.True(t, isClosed(signal))
	require.True(t, isClosed(c.evictionSignal()))
	require.ErrorIs(t, newRequestConn(c).awaitResultMemory(requestCost(maxBodyBytes), false), errNoMemory)
	require.NoError(t, c.Close(), "the signal is given once")
}
