// Package peers carries the module's words between dispatchers: short UDP datagrams, which may be lost, doubled or
// late.
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
	largest = 256                    // bytes of a datagram that the platform lets pass
	again   = 100 * time.Millisecond // between tries for an address that is taken
)

// Receiver is told what a peer says, and of what comes from somebody else with a number below 0: that counts as
// dropped. The bytes are its own, and one more than the largest of what was too long.
type Receiver interface {
	ReceivePeerMessage(from int, data []byte)
}

// Addresses are where the dispatchers of a tier hear each other.
type Addresses struct {
	Listen string   // this one's own
	Peers  []string // of each dispatcher by its number, this one included
	All    string   // of all together
}

// Peers sends to the other dispatchers and listens to them.
type Peers struct {
	core  Receiver
	own   netip.AddrPort
	to    []netip.AddrPort
	all   netip.AddrPort
	from  map[netip.AddrPort]int
	conn  atomic.Pointer[net.UDPConn]
	ended atomic.Bool
}

// New reads the addresses. The error names the one that is none.
func New(a Addresses, core Receiver) (*Peers, error) {
	p := &Peers{core: core, from: map[netip.AddrPort]int{}}
	parse := func(name, text string) (addr netip.AddrPort, err error) {
		if addr, err = netip.ParseAddrPort(text); err != nil {
			err = fmt.Errorf("%s %q: %v", name, text, err)
		}
		return addr, err
	}
	var err error
	if p.own, err = parse("peer_listen", a.Listen); err != nil {
		return nil, err
	}
	if p.all, err = parse("peers_all", a.All); err != nil {
		return nil, err
	}
	for i, text := range a.Peers {
		addr, err := parse(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return nil, err
		}
		p.to = append(p.to, addr)
		p.from[addr] = i
	}
	return p, nil
}

// Run listens until Close. The address may still be another process's, which this one replaces: until it is had,
// nothing is sent either, as a word counts by the address that it comes from.
func (p *Peers) Run() {
	for !p.ended.Load() {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.own))
		if err != nil {
			time.Sleep(again)
			continue
		}
		p.conn.Store(conn)
		if p.ended.Load() { // Close came between
			conn.Close()
		}
		p.listen(conn)
	}
}

func (p *Peers) listen(conn *net.UDPConn) {
	defer conn.Close()
	buf := make([]byte, largest+1)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				slog.Warn("peers", "error", err)
				time.Sleep(again)
			}
			return
		}
		from, known := p.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !known {
			from = -1
		}
		p.core.ReceivePeerMessage(from, append([]byte(nil), buf[:n]...))
	}
}

// Send sends a word to a dispatcher, or to all of them. It may be lost.
func (p *Peers) Send(peer int, data []byte) {
	conn, to := p.conn.Load(), p.all
	if peer != topazfall.AllPeers {
		if peer < 0 || peer >= len(p.to) {
			return
		}
		to = p.to[peer]
	}
	if conn == nil || len(data) > largest {
		return
	}
	conn.WriteToUDPAddrPort(data, to) // that it fails is as if it were lost
}

// Close ends the listening, and frees the address for the next process.
func (p *Peers) Close() {
	p.ended.Store(true)
	if conn := p.conn.Load(); conn != nil {
		conn.Close()
	}
}
