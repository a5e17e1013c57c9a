// Package client is a stand-in for a client: it hands messages in and keeps count of their final answers.
package client

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Message is what a client hands in.
type Message struct {
	ID, Class, Tenant string
	Key               string // of a class whose repeats go by one; "" for none
	Body              []byte
	Timeout           time.Duration // for the answer
	Hint              time.Duration // of its work
}

// Answer is the final answer. Status 0 is for none.
type Answer struct {
	Status  int
	Body    string
	Sent    time.Time // just before the first byte
	Latency time.Duration
	Err     error
}

// Client speaks to one dispatcher.
type Client struct {
	host   fasthttp.HostClient
	prefix string
	number atomic.Int64
}

// New returns a client of a dispatcher. The ids that it gives begin with prefix.
func New(addr, prefix string) *Client {
	return &Client{host: fasthttp.HostClient{Addr: addr, MaxConns: 4096, MaxIdemponentCallAttempts: 1}, prefix: prefix}
}

// NextID is an id that no message has had.
func (c *Client) NextID() string { return fmt.Sprintf("%s%08d", c.prefix, c.number.Add(1)) }

// Do hands a message in, once, and waits for its answer.
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
