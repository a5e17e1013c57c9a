package north

import (
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// listener wraps what it accepts, so that a client's leaving is noticed while its message is in hand.
type listener struct {
	net.Listener
	conns atomic.Int64
}

// Accept goes on when descriptors run out for a moment: the server would end for good.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.conns.Add(1)
			return &conn{Conn: c, l: l}, nil
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
	once    sync.Once
	ahead   [1]byte
	have    bool
	stopped chan struct{}
}

func (c *conn) open() int64 { return c.l.conns.Load() }

// Close closes the connection; it may be called more than once.
func (c *conn) Close() error {
	c.once.Do(func() { c.l.conns.Add(-1) })
	return c.Conn.Close()
}

// Read gives the byte read ahead first.
func (c *conn) Read(p []byte) (int, error) {
	if c.have && len(p) > 0 {
		c.have = false
		p[0] = c.ahead[0]
		return 1, nil
	}
	return c.Conn.Read(p)
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
		var network net.Error
		if err != nil && !(errors.As(err, &network) && network.Timeout()) {
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
