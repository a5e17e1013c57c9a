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

// client calls the discovery service at one address.
type client struct {
	fasthttp.HostClient
	mu     sync.Mutex
	open   map[*conn]bool // the open connections
	closed bool
}

// conn is a connection to the discovery service.
type conn struct {
	net.Conn
	client *client
}

func newClient(addr string) *client {
	c := &client{HostClient: fasthttp.HostClient{Addr: addr, MaxConns: 8, NoDefaultUserAgentHeader: true,
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8 << 20}, open: map[*conn]bool{}}
	c.DialTimeout = c.dial
	return c
}

// dial opens a connection and registers it, so that close can end it.
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
		c.open[opened] = true
	}
	return opened, nil
}

// Close closes the connection. It may be called more than once.
func (c *conn) Close() error {
	c.client.mu.Lock()
	delete(c.client.open, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// close closes all connections, which aborts the open calls.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for opened := range c.open {
		opened.Conn.Close()
	}
}

// answer is the list that a call brought, or its error.
type answer struct {
	list list
	err  error
}

// unreadableError wraps the error of an answer that could not be parsed as a list.
type unreadableError struct{ error }

// refusedError is an answer with a status other than 200.
type refusedError struct {
	status     int
	retryAfter time.Duration // value of the Retry-After field; 0 if absent
}

func (r refusedError) Error() string {
	return fmt.Sprintf("status %d, retry after %v", r.status, r.retryAfter)
}

// maxRetryAfter limits the Retry-After of a refusal. It is longer than any list may be relied on.
const maxRetryAfter = time.Hour

// parseRetryAfter parses a Retry-After field in whole or decimal seconds. Any other value, also a date, counts as 0.
func parseRetryAfter(text []byte) time.Duration {
	seconds, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// classifyError returns the result of a call for the schedule. Any error but a refusal, a timeout and a failed
// connection means that an answer came, though an unusable one.
func classifyError(err error) refresh.Result {
	var netErr net.Error
	var refused refusedError
	switch {
	case err == nil:
		return refresh.Read
	case errors.As(err, &refused):
		return refresh.Refused
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return refresh.TimedOut
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, fasthttp.ErrConnectionClosed),
		errors.Is(err, fasthttp.ErrNoFreeConns):
		return refresh.ConnectionFailed
	}
	return refresh.UnusableAnswer
}

// get fetches the list or its changes; limit is the timeout of the call.
func (c *client) get(path string, limit time.Duration) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + path)
	if err := c.DoTimeout(req, resp, limit); err != nil {
		return answer{err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer{err: refusedError{resp.StatusCode(),
			parseRetryAfter(resp.Header.Peek(fasthttp.HeaderRetryAfter))}}
	}
	l, err := parseList(resp.Body())
	if err != nil {
		err = unreadableError{err}
	}
	return answer{l, err}
}
