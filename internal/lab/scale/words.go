package scale

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"topazfall/internal/decide/gossip"
)

// wordSource stands for the other dispatchers: the datagrams that they send of the workers they share.
type wordSource struct {
	conn *net.UDPConn
	to   []netip.AddrPort
	sent atomic.Int64
}

// datagramOverhead is what a datagram costs beside its contents: the headers of IPv4 and UDP.
const datagramOverhead = 20 + 8

func newWordSource() (*wordSource, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &wordSource{conn: conn}, nil
}

func (w *wordSource) address() string { return w.conn.LocalAddr().String() }

// say sends each dispatcher a word about a worker: that a request was sent there or, every second time, that it has
// ended, so that nothing piles up.
func (w *wordSource) say(worker string) error {
	op := gossip.Sent
	if w.sent.Load()%2 == 1 {
		op = gossip.Ended
	}
	data := gossip.Message{Op: op, At: time.Now().UnixMicro(), Host: gossip.HostHash(worker),
		Work: 1_000_000}.Append(nil)
	for _, to := range w.to {
		if _, err := w.conn.WriteToUDPAddrPort(data, to); err != nil {
			return err
		}
	}
	w.sent.Add(1)
	return nil
}

func (w *wordSource) close() { w.conn.Close() }
