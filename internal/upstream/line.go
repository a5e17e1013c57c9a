package upstream

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"topazfall/internal/socket"
)

// line is a connection to a host that is counted while it is open.
type line struct {
	net.Conn
	count *atomic.Int64
	once  sync.Once
	used  bool  // something was sent on it before; its user's
	born  int64 // when it came up, on the core's clock
	took  int64 // how long that took, microseconds
	idle  int64 // when the last answer on it had come; its user's, as used

	// Of hosts with several addresses: the pool it belongs to, and what gives it back there, to be kept or closed.
	client *fasthttp.HostClient
	give   func(keep bool)
}

// Close closes the connection; it may be called more than once.
func (l *line) Close() error {
	l.once.Do(func() { l.count.Add(-1) })
	return l.Conn.Close()
}

// stale tells that a kept connection can carry nothing any more: the host has closed or reset it, or has
// sent what nobody asked for. A message written to it would count as sent and be lost.
func stale(c net.Conn) bool {
	l, ok := c.(*line)
	return ok && socket.Look(l.Conn) != socket.Quiet
}
