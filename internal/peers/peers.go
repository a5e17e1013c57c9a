// Package peers sends the decision module's gossip messages between dispatchers, as short UDP datagrams. A datagram may
// be lost, duplicated or late.
package peers

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"topazfall"
)

const (
	maxDatagramSize = 256                    // bytes: the platform drops larger datagrams
	retryInterval   = 100 * time.Millisecond // between attempts to bind an address in use, and after a read error
)

// Receiver receives the messages of peers. A negative number marks a sender that is not a peer, whose message counts as
// dropped. The receiver owns data. A datagram that was too long is cut to one byte more than the maximum.
type Receiver interface {
	ReceivePeerMessage(from int, data []byte)
}

// Addresses are the UDP addresses at which the dispatchers of an installation receive each other's messages.
type Addresses struct {
	Listen string   // of this dispatcher
	Peers  []string // of each dispatcher by its number, including this one
	All    string   // of all dispatchers together
}

// Peers sends messages to the other dispatchers and receives theirs.
type Peers struct {
	receiver      Receiver
	listenAddr    netip.AddrPort
	peerAddrs     []netip.AddrPort
	broadcastAddr netip.AddrPort
	peerNumbers   map[netip.AddrPort]int
	conn          atomic.Pointer[net.UDPConn]
	closed        atomic.Bool
}

// New parses the addresses. The error names the invalid one.
func New(addresses Addresses, receiver Receiver) (*Peers, error) {
	p := &Peers{receiver: receiver, peerNumbers: map[netip.AddrPort]int{}}
	parse := func(name, text string) (addr netip.AddrPort, err error) {
		if addr, err = netip.ParseAddrPort(text); err != nil {
			err = fmt.Errorf("%s %q: %v", name, text, err)
		}
		return addr, err
	}
	var err error
	if p.listenAddr, err = parse("peer_listen", addresses.Listen); err != nil {
		return nil, err
	}
	if p.broadcastAddr, err = parse("peers_all", addresses.All); err != nil {
		return nil, err
	}
	for i, text := range addresses.Peers {
		addr, err := parse(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return nil, err
		}
		p.peerAddrs = append(p.peerAddrs, addr)
		p.peerNumbers[addr] = i
	}
	return p, nil
}

// Run receives messages until Close. The address may still be in use by the predecessor of this process. Until it is
// bound, nothing is sent either, because the receivers identify a sender by its address.
func (p *Peers) Run() {
	for !p.closed.Load() {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.listenAddr))
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		p.conn.Store(conn)
		if p.closed.Load() { // Close was called before the Store
			conn.Close()
		}
		p.receive(conn)
	}
}

func (p *Peers) receive(conn *net.UDPConn) {
	defer conn.Close()
	buf := make([]byte, maxDatagramSize+1)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				slog.Warn("peers", "error", err)
				time.Sleep(retryInterval)
			}
			return
		}
		from, known := p.peerNumbers[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !known {
			from = -1
		}
		p.receiver.ReceivePeerMessage(from, append([]byte(nil), buf[:n]...))
	}
}

// Send sends a message to one dispatcher, or to all of them. It may be lost.
func (p *Peers) Send(peer int, data []byte) {
	conn, to := p.conn.Load(), p.broadcastAddr
	if peer != topazfall.AllPeers {
		if peer < 0 || peer >= len(p.peerAddrs) {
			return
		}
		to = p.peerAddrs[peer]
	}
	if conn == nil || len(data) > maxDatagramSize {
		return
	}
	conn.WriteToUDPAddrPort(data, to) // a failed write is treated like a lost datagram
}

// Close stops Run and frees the address for the successor.
func (p *Peers) Close() {
	p.closed.Store(true)
	if conn := p.conn.Load(); conn != nil {
		conn.Close()
	}
}
