package discoveryserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Endpoint is a further address of the server, for a group of callers. Their traffic is counted separately, and they
// can be partitioned from the server, as by a network that loses every packet.
type Endpoint struct {
	net.Listener

	bytesIn, bytesOut atomic.Int64
	mu                sync.Mutex
	healed            chan struct{} // closed unless partitioned
}

// Traffic is the traffic through an endpoint, in bytes of the connections' contents.
type Traffic struct{ BytesIn, BytesOut int64 }

// AddEndpoint opens a further address for the server, on a free port of 127.0.0.1.
func (s *Server) AddEndpoint() (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Listener: listener, healed: make(chan struct{})}
	close(e.healed)
	go s.server.Serve(e)
	return e, nil
}

// Address returns the endpoint's address.
func (e *Endpoint) Address() string { return e.Addr().String() }

// Traffic returns the traffic through the endpoint so far.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{BytesIn: e.bytesIn.Load(), BytesOut: e.bytesOut.Load()}
}

// Partition holds back all traffic, in both directions, until Heal: connections stay open, and nothing arrives on them.
func (e *Endpoint) Partition() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.healed = make(chan struct{})
}

// Heal ends a partition. Data sent during it is lost, and the connections that carried it are closed.
func (e *Endpoint) Heal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.healed)
}

// errPartitioned is the error of a read or write whose bytes were lost in a partition.
var errPartitioned = errors.New("lost in a network partition")

// awaitHeal returns nil at once if there is no partition; else it waits for the end of it and returns an error.
func (e *Endpoint) awaitHeal() error {
	e.mu.Lock()
	healed := e.healed
	e.mu.Unlock()
	select {
	case <-healed:
		return nil
	default:
		<-healed
		return errPartitioned
	}
}

// Accept waits for the next connection.
func (e *Endpoint) Accept() (net.Conn, error) {
	conn, err := e.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, e}, nil
}

// countingConn is a connection through an endpoint, which counts its traffic.
type countingConn struct {
	net.Conn
	endpoint *Endpoint
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if lost := c.endpoint.awaitHeal(); lost != nil {
		c.Conn.Close()
		return 0, lost
	}
	c.endpoint.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if lost := c.endpoint.awaitHeal(); lost != nil {
		c.Conn.Close()
		return 0, lost
	}
	// Counted before the write: whoever has received the bytes must find them in Traffic.
	c.endpoint.bytesOut.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.endpoint.bytesOut.Add(int64(n - len(p)))
	return n, err
}
