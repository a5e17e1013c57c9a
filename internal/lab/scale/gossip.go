package scale

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"topazfall/internal/decide/gossip"
)

// gossipSource stands for the other dispatchers: it sends the gossip messages that they would send about shared
// workers.
type gossipSource struct {
	conn    *net.UDPConn
	targets []netip.AddrPort
	sent    atomic.Int64
}

// datagramOverhead is the size in bytes of the headers of a datagram (IPv4 and UDP).
const datagramOverhead = 20 + 8

// newGossipSource returns a source that sends from a free port of 127.0.0.1 and has no targets yet.
func newGossipSource() (*gossipSource, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &gossipSource{conn: conn}, nil
}

func (s *gossipSource) address() string { return s.conn.LocalAddr().String() }

// send sends each dispatcher a gossip message about a worker: alternately that a request was sent to it and that one
// has ended there, so that no load accumulates.
func (s *gossipSource) send(worker string) error {
	op := gossip.Sent
	if s.sent.Load()%2 == 1 {
		op = gossip.Ended
	}
	data := gossip.Message{Op: op, At: time.Now().UnixMicro(), Host: gossip.HostHash(worker),
		Work: 1_000_000}.Append(nil)
	for _, to := range s.targets {
		if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
			return err
		}
	}
	s.sent.Add(1)
	return nil
}

func (s *gossipSource) close() { s.conn.Close() }
