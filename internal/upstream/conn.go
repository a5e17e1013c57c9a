package upstream

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"topazfall/internal/socket"
)

// countedConn is a connection to a host (worker). It counts as one of the open connections until it is closed.
type countedConn struct {
	net.Conn
	openConns *atomic.Int64
	closeOnce sync.Once
	isUsed    bool  // something was sent on it before; owned by the connection's current user
	openedAt  int64 // when it was established, in microseconds on the core's clock
	dialTime  int64 // how long that took, in microseconds
	idleSince int64 // when its last answer was read, on the core's clock; owned by its current user, as isUsed

	// For hosts with several addresses: the pool of the connection, and a function that returns it there to be kept, or
	// closes it.
	pool     *fasthttp.HostClient
	giveBack func(keep bool)
}

// Close closes the connection; it may be called more than once.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}

// isStale reports whether a kept connection cannot carry another call: the host has closed or reset it, or has sent
// bytes that belong to no call. A message written to it would count as sent and be lost.
func isStale(c net.Conn) bool {
	counted, ok := c.(*countedConn)
	return ok && socket.Inspect(counted.Conn) != socket.NoData
}
