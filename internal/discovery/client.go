package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/decide/refresh"
)

// client calls discovery at one address.
type client struct {
	fasthttp.HostClient
	mu     sync.Mutex
	conns  map[*conn]bool // that are open
	closed bool
}

// conn is a connection to discovery.
type conn struct {
	net.Conn
	owner *client
}

func newClient(addr string) *client {
	c := &client{HostClient: fasthttp.HostClient{Addr: addr, MaxConns: 8, NoDefaultUserAgentHeader: true,
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8 << 20}, conns: map[*conn]bool{}}
	c.DialTimeout = c.dial
	return c
}

// dial opens a connection that close ends.
func (c *client) dial(addr string, limit time.Duration) (net.Conn, error) {
	nc, err := fasthttp.DialTimeout(addr, min(limit, refresh.AnswerGrace))
	if err != nil {
		return nil, err
	}
	opened := &conn{nc, c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		nc.Close()
	} else {
		c.conns[opened] = true
	}
	return opened, nil
}

// Close closes the connection; it may be called more than once.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// close ends the calls under way and the connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for opened := range c.conns {
		opened.Conn.Close()
	}
}

type answer struct {
	list list
	err  error
}

// unreadable is an answer that came and is no list.
type unreadable struct{ error }

// refusal is an answer other than 200.
type refusal struct {
	status     int
	retryAfter time.Duration // that it asks for, 0 if it names none
}

func (r refusal) Error() string {
	return fmt.Sprintf("status %d, retry after %v", r.status, r.retryAfter)
}

// longestRetryAfter bounds what a refusal may name: no list may be relied on for so long.
const longestRetryAfter = time.Hour

// retryAfter reads the seconds of Retry-After, whole or decimal. What is none, a date as well, is as if it
// were not there.
func retryAfter(text []byte) time.Duration {
	seconds, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, longestRetryAfter.Seconds()) * float64(time.Second))
}

// resultOf is what the schedule goes by. What is neither silence nor a broken connection is an answer,
// however spoilt.
func resultOf(err error) refresh.Result {
	var network net.Error
	var refused refusal
	switch {
	case err == nil:
		return refresh.Read
	case errors.As(err, &refused):
		return refresh.Refused
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return refresh.Silent
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, fasthttp.ErrConnectionClosed),
		errors.Is(err, fasthttp.ErrNoFreeConns):
		return refresh.Broken
	}
	return refresh.Answered
}

func (c *client) get(path string, limit time.Duration) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + path)
	if err := c.DoTimeout(req, resp, limit); err != nil {
		return answer{err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer{err: refusal{resp.StatusCode(), retryAfter(resp.Header.Peek(fasthttp.HeaderRetryAfter))}}
	}
	l, err := parse(resp.Body())
	if err != nil {
		err = unreadable{err}
	}
	return answer{l, err}
}
