package north

import (
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// listener wraps what it accepts, so that a client's leaving is noticed while its message is in hand.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// count is the number of open connections.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeIdle closes the connections of clients that have no message in hand. A message that crosses the
// closing has not been read, and its client sends it again elsewhere.
func (l *listener) closeIdle() {
	l.mu.Lock()
	var idle []*conn
	for c := range l.conns {
		if c.client.Load() && c.idle.Load() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// track follows what the server does with a connection.
func track(nc net.Conn, state fasthttp.ConnState) {
	if c, ok := nc.(*conn); ok {
		c.idle.Store(state == fasthttp.StateIdle)
		if state == fasthttp.StateActive {
			c.first = time.Now()
		}
	}
}

// Accept goes on when descriptors run out for a moment: the server would end for good.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			c := &conn{Conn: c, l: l}
			l.mu.Lock()
			l.conns[c] = true
			l.mu.Unlock()
			return c, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.ECONNABORTED) {
			return nil, err
		}
		log.Printf("at=accept error=%q", err)
		time.Sleep(10 * time.Millisecond)
	}
}

// conn is a connection of a client. A handler does not read, so it would not see the connection end: while
// it waits, one byte is read ahead and kept for the next message.
type conn struct {
	net.Conn
	l       *listener
	first   time.Time   // when the first byte of the latest request came; the serving goroutine's
	client  atomic.Bool // it has brought a message
	idle    atomic.Bool // it is between requests
	ahead   [1]byte
	have    bool
	stopped chan struct{}
}

// Close closes the connection; it may be called more than once.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// Read gives the byte read ahead first. A connection on which nothing ever came ends without a word when its
// time is up: the server would write a 408, which a client that sends just then takes for its answer.
func (c *conn) Read(p []byte) (int, error) {
	if c.have && len(p) > 0 {
		c.have = false
		p[0] = c.ahead[0]
		return 1, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && c.first.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = io.EOF
	}
	return n, err
}

// watch reads ahead until unwatch. The channel is closed when the client has closed the connection.
func (c *conn) watch() <-chan struct{} {
	gone := make(chan struct{})
	c.stopped = make(chan struct{})
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.stopped)
		if c.have {
			return
		}
		n, err := c.Conn.Read(c.ahead[:])
		c.have = n > 0
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(gone)
		}
	}()
	return gone
}

// unwatch ends the reading ahead.
func (c *conn) unwatch() {
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.stopped
	c.Conn.SetReadDeadline(time.Time{})
}
