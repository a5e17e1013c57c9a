// Package manage is the second address, for operators: whether this process takes clients, and its figures. It
// must answer under any load, so it shares nothing with the north side but the counters that it reads.
package manage

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/metrics"
)

// Places is how many connections may be open here at a time.
const Places = 8

const callTime = time.Second // for a call to come, and for its answer to be read

// Serve answers calls on ln until it is closed.
func Serve(ln net.Listener, ready func() bool, f *metrics.Metrics) error {
	s := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { answer(ctx, ready, f) }, Logger: quiet{},
		DisableKeepalive: true, ReadTimeout: callTime, WriteTimeout: callTime, Concurrency: 4 * Places,
		MaxRequestBodySize: 4 << 10, ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	return s.Serve(&places{Listener: ln, open: list.New()})
}

func answer(ctx *fasthttp.RequestCtx, ready func() bool, f *metrics.Metrics) {
	path := string(ctx.Request.URI().PathOriginal())
	switch {
	case path != "/-/ready" && path != "/-/metrics":
		say(ctx, fasthttp.StatusNotFound, "no such path")
	case !ctx.IsGet() && !ctx.IsHead():
		ctx.Response.Header.Set("Allow", "GET, HEAD")
		say(ctx, fasthttp.StatusMethodNotAllowed, "only GET here")
	case path == "/-/metrics":
		ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		f.Write(ctx)
	case ready():
		say(ctx, fasthttp.StatusOK, "ready")
	default:
		say(ctx, fasthttp.StatusServiceUnavailable, "not ready")
	}
}

func say(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
}

// quiet keeps what callers do out of the log: a scanner could fill it.
type quiet struct{}

// Printf drops a line of the server.
func (quiet) Printf(string, ...any) {}

// places bounds the connections. Who says nothing, or half a call, may stay for the time of a call; when more
// come the oldest goes, so that none of them keeps out one who asks at once.
type places struct {
	net.Listener
	mu   sync.Mutex
	open *list.List // of *caller, the oldest first
}

type caller struct {
	net.Conn
	l     *places
	place *list.Element
}

// Accept goes on after a fault of one connection or a lack of descriptors; only a closed listener ends it.
func (l *places) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.admit(nc), nil
		}
		if ne, ok := err.(interface{ Temporary() bool }); !ok || !ne.Temporary() {
			return nil, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *places) admit(nc net.Conn) *caller {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() >= Places {
		l.drop(l.open.Front().Value.(*caller))
	}
	c := &caller{Conn: nc, l: l}
	c.place = l.open.PushBack(c)
	return c
}

// drop closes a connection; l.mu is held.
func (l *places) drop(c *caller) error {
	if c.place != nil {
		l.open.Remove(c.place)
		c.place = nil
	}
	return c.Conn.Close()
}

// Close closes the connection; it may be called more than once.
func (c *caller) Close() error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return c.l.drop(c)
}
