// Package manage serves the management address for operators: the readiness of this process and its metrics. It must
// answer under any load, so the only thing it shares with the frontend is the counters that it reads.
package manage

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/metrics"
)

// MaxConns is the maximum number of open connections at the management address.
const MaxConns = 8

const callTimeout = time.Second // to read a request, and to write its response

// Serve answers requests on ln until it is closed.
func Serve(ln net.Listener, ready func() bool, counters *metrics.Metrics) error {
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { handleRequest(ctx, ready, counters) }, Logger: discardLogger{},
		DisableKeepalive: true, ReadTimeout: callTimeout, WriteTimeout: callTimeout, Concurrency: 4 * MaxConns,
		MaxRequestBodySize: 4 << 10, ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	return server.Serve(&limitedListener{Listener: ln, open: list.New()})
}

func handleRequest(ctx *fasthttp.RequestCtx, ready func() bool, counters *metrics.Metrics) {
	path := string(ctx.Request.URI().PathOriginal())
	switch {
	case path != "/-/ready" && path != "/-/metrics":
		respond(ctx, fasthttp.StatusNotFound, "no such path")
	case !ctx.IsGet() && !ctx.IsHead():
		ctx.Response.Header.Set("Allow", "GET, HEAD")
		respond(ctx, fasthttp.StatusMethodNotAllowed, "only GET here")
	case path == "/-/metrics":
		ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		counters.Write(ctx)
	case ready():
		respond(ctx, fasthttp.StatusOK, "ready")
	default:
		respond(ctx, fasthttp.StatusServiceUnavailable, "not ready")
	}
}

func respond(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
}

// discardLogger keeps the errors of clients out of the log, which a port scanner could fill.
type discardLogger struct{}

// Printf discards a log line of the server.
func (discardLogger) Printf(string, ...any) {}

// limitedListener limits the number of open connections. A connection that sends no request, or half of one, may stay
// for callTimeout. If there are too many, the oldest is closed, so that idle connections cannot block a client that
// sends its request at once.
type limitedListener struct {
	net.Listener
	mu   sync.Mutex
	open *list.List // of *limitedConn, the oldest first
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	element  *list.Element
}

// Accept continues after all errors of the system but a closed listener: they concern one connection, or pass.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.admit(conn), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *limitedListener) admit(conn net.Conn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() >= MaxConns {
		l.closeConn(l.open.Front().Value.(*limitedConn))
	}
	c := &limitedConn{Conn: conn, listener: l}
	c.element = l.open.PushBack(c)
	return c
}

// closeConn closes a connection. The caller holds l.mu.
func (l *limitedListener) closeConn(c *limitedConn) error {
	if c.element != nil {
		l.open.Remove(c.element)
		c.element = nil
	}
	return c.Conn.Close()
}

// Close closes the connection. It may be called more than once.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.closeConn(c)
}
