// Package client is a stand-in for the clients of a dispatcher: it sends messages (requests), well-formed and faulty
// ones, and reports how each one ended. It also holds idle connections open.
package client

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Message is a request that a client sends.
type Message struct {
	ID, Class, Tenant string
	Key               string // idempotency key, for classes that may repeat a request by its key; "" for none
	Body              []byte
	Timeout           time.Duration // for the final answer
	Hint              time.Duration // expected job time; 0 for no hint
}

// Answer is the final answer to a message. Status is 0 if there was none.
type Answer struct {
	Status  int
	Body    string
	Sent    time.Time // just before the first byte
	Latency time.Duration
	Err     error
}

// Client sends messages to one dispatcher.
type Client struct {
	host   fasthttp.HostClient
	prefix string
	lastID atomic.Int64
}

// New returns a client of the dispatcher at addr. The ids that NextID returns begin with prefix.
func New(addr, prefix string) *Client {
	return &Client{host: fasthttp.HostClient{Addr: addr, MaxConns: 4096, MaxIdemponentCallAttempts: 1}, prefix: prefix}
}

// NextID returns an id that this client has not used yet.
func (c *Client) NextID() string { return fmt.Sprintf("%s%08d", c.prefix, c.lastID.Add(1)) }

// Do sends a message once, without retries, and waits for its final answer.
func (c *Client) Do(m Message) Answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.host.Addr + "/api")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("X-Request-ID", m.ID)
	req.Header.Set("X-Priority-Class", m.Class)
	req.Header.Set("X-Tenant-Id", m.Tenant)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(m.Timeout.Milliseconds(), 10))
	if m.Hint > 0 {
		req.Header.Set("X-Cost", strconv.FormatInt(m.Hint.Microseconds(), 10))
	}
	req.SetBody(m.Body)
	a := Answer{Sent: time.Now()}
	a.Err = c.host.DoTimeout(req, resp, m.Timeout+time.Second)
	a.Latency = time.Since(a.Sent)
	if a.Err == nil {
		a.Status, a.Body = resp.StatusCode(), string(resp.Body())
	}
	return a
}
