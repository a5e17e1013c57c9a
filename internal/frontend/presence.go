package frontend

import (
	"net"
	"sync"

	"topazfall/internal/exchange"
	"topazfall/internal/socket"
)

// presence tells whether the client of a message in hand is still there, by a look at its connection. The watch of the
// connection learns the same, but only when its goroutine runs: in a process that was off its core what begins an
// attempt may run before it.
type presence struct {
	conn net.Conn

	mu       sync.Mutex
	released bool // what comes now may be the client's next request
	ahead    bool // something came before the answer, and was passed over
	left     bool
}

var _ exchange.Client = (*presence)(nil)

// Left looks whether the client has closed, half closed or reset its connection, or sends without end. It does not
// wait.
func (p *presence) Left() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.left:
	case p.released:
		p.left = socket.Look(p.conn) == socket.Ended
	default:
		n, state := socket.Discard(p.conn, lingerMost)
		p.ahead = p.ahead || n > 0
		p.left = state != socket.Quiet
	}
	return p.left
}

// release ends the passing over, before the answer is written or the connection goes to another process. It tells
// whether anything was passed over.
func (p *presence) release() (ahead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	return p.ahead
}

// retain is for a connection that was released and stays here with its message.
func (p *presence) retain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = false
}
