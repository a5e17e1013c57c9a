package frontend

import (
	"net"
	"sync"

	"topazfall/internal/exchange"
	"topazfall/internal/socket"
)

// presence checks whether the client of a message in flight is still connected, by inspecting its connection. The
// goroutine of watchClient notices a disconnect too, but only when it is scheduled: in a process that did not run for a
// while, the code that starts an attempt (one try at one worker) may run before it.
type presence struct {
	conn net.Conn

	mu                sync.Mutex
	discardingStopped bool // bytes that arrive now may be the client's next request
	sentAhead         bool // bytes arrived before the answer, and were discarded
	disconnected      bool
}

var _ exchange.Client = (*presence)(nil)

// Disconnected reports whether the client has closed, half-closed or reset its connection, or sends without end. It
// does not block.
func (p *presence) Disconnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.disconnected:
	case p.discardingStopped:
		p.disconnected = socket.Inspect(p.conn) == socket.Closed
	default:
		n, state := socket.Discard(p.conn, maxLingerBytes)
		p.sentAhead = p.sentAhead || n > 0
		p.disconnected = state != socket.NoData
	}
	return p.disconnected
}

// stopDiscarding makes Disconnected leave unread bytes alone. It is called before the answer is written or the
// connection goes to another process, and reports whether any bytes were discarded.
func (p *presence) stopDiscarding() (sentAhead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardingStopped = true
	return p.sentAhead
}

// resumeDiscarding undoes stopDiscarding, for a connection that was not handed over after all.
func (p *presence) resumeDiscarding() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardingStopped = false
}
