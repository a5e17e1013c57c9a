package inventory

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// agent is discovery at one address.
type agent struct {
	fasthttp.HostClient
	mu     sync.Mutex
	conns  map[*conn]bool // that are open
	closed bool
}

// conn is a connection to discovery.
type conn struct {
	net.Conn
	of *agent
}

func newAgent(addr string) *agent {
	a := &agent{HostClient: fasthttp.HostClient{Addr: addr, MaxConns: 8, NoDefaultUserAgentHeader: true,
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8 << 20}, conns: map[*conn]bool{}}
	a.DialTimeout = func(addr string, limit time.Duration) (net.Conn, error) {
		nc, err := fasthttp.DialTimeout(addr, min(limit, grace))
		if err != nil {
			return nil, err
		}
		c := &conn{nc, a}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.closed {
			nc.Close()
		} else {
			a.conns[c] = true
		}
		return c, nil
	}
	return a
}

// Close closes the connection; it may be called more than once.
func (c *conn) Close() error {
	c.of.mu.Lock()
	delete(c.of.conns, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

// close ends the calls under way and the connections.
func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for c := range a.conns {
		c.Conn.Close()
	}
}

type answer struct {
	list list
	err  error
}

// unreadable is an answer that came and is no list.
type unreadable struct{ error }

func (a *agent) get(path string, limit time.Duration) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + a.Addr + path)
	if err := a.DoTimeout(req, resp, limit); err != nil {
		return answer{err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer{err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	l, err := parse(resp.Body())
	if err != nil {
		err = unreadable{err}
	}
	return answer{l, err}
}
