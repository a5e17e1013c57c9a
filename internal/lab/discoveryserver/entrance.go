package discoveryserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Endpoint is a further address of the stand-in, for a group of callers whose traffic is counted apart, and which can
// be cut off from it as by a network that loses everything.
type Endpoint struct {
	net.Listener

	in, out atomic.Int64
	mu      sync.Mutex
	healed  chan struct{} // closed where it is not cut
}

// Traffic is what went through an entrance, in bytes of the connections' contents.
type Traffic struct{ BytesIn, BytesOut int64 }

// AddEndpoint opens a further address, on a free port of 127.0.0.1.
func (s *Server) AddEndpoint() (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Listener: ln, healed: make(chan struct{})}
	close(e.healed)
	go s.server.Serve(e)
	return e, nil
}

// Address is where it listens.
func (e *Endpoint) Address() string { return e.Addr().String() }

// Traffic is what went through it so far.
func (e *Endpoint) Traffic() Traffic { return Traffic{BytesIn: e.in.Load(), BytesOut: e.out.Load()} }

// Partition keeps everything back, in both directions, until Heal: connections stay, and nothing arrives on them.
func (e *Endpoint) Partition() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.healed = make(chan struct{})
}

// Heal ends a cut. What was under way during it is lost, with the connections that it was on.
func (e *Endpoint) Heal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.healed)
}

// errCut is what those find whose bytes a cut has lost.
var errCut = errors.New("lost in a cut")

// pass returns at once where there is no cut, and with an error when one has ended.
func (e *Endpoint) pass() error {
	e.mu.Lock()
	healed := e.healed
	e.mu.Unlock()
	select {
	case <-healed:
		return nil
	default:
		<-healed
		return errCut
	}
}

// Accept waits for a caller.
func (e *Endpoint) Accept() (net.Conn, error) {
	conn, err := e.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{conn, e}, nil
}

// counted is a connection through an entrance.
type counted struct {
	net.Conn
	of *Endpoint
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if lost := c.of.pass(); lost != nil {
		c.Conn.Close()
		return 0, lost
	}
	c.of.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	if lost := c.of.pass(); lost != nil {
		c.Conn.Close()
		return 0, lost
	}
	n, err := c.Conn.Write(p)
	c.of.out.Add(int64(n))
	return n, err
}
