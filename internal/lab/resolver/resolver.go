// Package resolver is a stand-in for a DNS resolver: it answers from records that it is given, over UDP and TCP on
// loopback, and can be given faults.
package resolver

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Fault is the way in which the resolver fails; Answer is none.
type Fault int

// The faults.
const (
	Answer            Fault = iota
	Timeout                 // no reply
	Late                    // replies after lateDelay
	ServFail                // the response code SERVFAIL
	NXDomain                // the response code NXDOMAIN, with an SOA record
	Empty                   // no records but an SOA record
	EmptyWithoutSOA         // no records, and no SOA record either
	WrongID                 // another message ID than the query's
	WrongQuestion           // another name in the question section
	Garbage                 // two messages that are not valid DNS
	TruncatedName           // the message ends within a name
	PointerLoop             // a compressed name that points to itself
	AliasLoop               // CNAME records that form a loop
	Truncate                // UDP replies are truncated
	TruncateTCPSlow         // the same, and TCP closes without a reply after 3 s
	TruncateTCPRefuse       // the same, and TCP closes without a reply at once
	FormErr                 // the response code FORMERR for queries with EDNS0
)

var faultNames = [...]string{"answer", "timeout", "late", "servfail", "nxdomain", "empty", "silent", "wrong-id",
	"wrong-question", "garbage", "cut-name", "loop", "circle", "truncate", "truncate-tcp-slow", "truncate-tcp-refuse",
	"formerr"}

// String returns the name that reports use.
func (f Fault) String() string { return faultNames[f] }

// Target is an SRV record and the addresses of its host.
type Target struct {
	Host             string
	Port             uint16
	Priority, Weight uint16
	A, AAAA          []string
}

// lateDelay is the delay of a reply under the fault Late.
const lateDelay = 300 * time.Millisecond

// Resolver is a running stand-in for a DNS resolver.
type Resolver struct {
	udp net.PacketConn
	tcp net.Listener

	mu             sync.Mutex
	fault          Fault
	srvRecords     map[string][]Target
	ttls           map[string]uint32 // seconds, by name
	aliases        map[string]string // CNAME targets, by name
	targets        map[string]Target // by host name
	omitAdditional bool              // replies have no additional section
	queryCounts    map[string]int    // by type and name, such as "SRV a.example."
	tcpQueries     int
	queryTimes     []time.Time
	conns          map[net.Conn]bool
}

// Start returns a resolver that listens on a free port of 127.0.0.1, over UDP and TCP.
func Start() (*Resolver, error) {
	for range 50 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err != nil { // another process has this UDP port
			tcp.Close()
			continue
		}
		r := &Resolver{udp: udp, tcp: tcp, srvRecords: map[string][]Target{}, ttls: map[string]uint32{},
			aliases: map[string]string{}, targets: map[string]Target{}, queryCounts: map[string]int{},
			conns: map[net.Conn]bool{}}
		go r.serveUDP()
		go r.serveTCP()
		return r, nil
	}
	return nil, fmt.Errorf("no port of 127.0.0.1 is free for both UDP and TCP")
}

// Address returns the resolver's address.
func (r *Resolver) Address() string { return r.tcp.Addr().String() }

// Close closes the resolver's sockets and connections.
func (r *Resolver) Close() {
	r.udp.Close()
	r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// SetFault sets the fault for all later queries.
func (r *Resolver) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// OmitAdditional sets whether replies come without an additional section.
func (r *Resolver) OmitAdditional(omit bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.omitAdditional = omit
}

// SetRecords sets the SRV records of a name, and the address records of their hosts. The TTL is in seconds.
func (r *Resolver) SetRecords(name string, ttl uint32, targets ...Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := strings.ToLower(dns.Fqdn(name))
	r.srvRecords[key], r.ttls[key] = targets, ttl
	for _, t := range targets {
		host := strings.ToLower(dns.Fqdn(t.Host))
		r.targets[host], r.ttls[host] = t, ttl
	}
}

// SetAlias makes a name an alias (CNAME) of target. The TTL is in seconds.
func (r *Resolver) SetAlias(name, target string, ttl uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := strings.ToLower(dns.Fqdn(name))
	r.aliases[key], r.ttls[key] = dns.Fqdn(target), ttl
}

// QueryCount returns the number of queries for a name and a record type, such as "SRV".
func (r *Resolver) QueryCount(name, kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queryCounts[kind+" "+strings.ToLower(dns.Fqdn(name))]
}

// QueryTimes returns when the queries arrived.
func (r *Resolver) QueryTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.queryTimes...)
}

// TCPQueryCount returns the number of queries over TCP.
func (r *Resolver) TCPQueryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tcpQueries
}

func (r *Resolver) serveUDP() {
	buf := make([]byte, 4096)
	for {
		n, from, err := r.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		query := new(dns.Msg)
		if query.Unpack(buf[:n]) != nil || len(query.Question) != 1 {
			continue
		}
		go func() {
			for _, reply := range r.respond(query, false) {
				r.udp.WriteTo(reply, from)
			}
		}()
	}
}

func (r *Resolver) serveTCP() {
	for {
		conn, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go func() {
			defer func() {
				r.mu.Lock()
				delete(r.conns, conn)
				r.mu.Unlock()
				conn.Close()
			}()
			for {
				var lengthPrefix [2]byte
				if _, err := io.ReadFull(conn, lengthPrefix[:]); err != nil {
					return
				}
				body := make([]byte, binary.BigEndian.Uint16(lengthPrefix[:]))
				if _, err := io.ReadFull(conn, body); err != nil {
					return
				}
				query := new(dns.Msg)
				if query.Unpack(body) != nil || len(query.Question) != 1 {
					return
				}
				replies := r.respond(query, true)
				if replies == nil {
					return
				}
				for _, reply := range replies {
					conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(reply))), reply...))
				}
			}
		}()
	}
}

// respond returns the packed replies to a query, altered by the current fault. It returns nil if the fault lets the
// resolver send none.
func (r *Resolver) respond(query *dns.Msg, tcp bool) [][]byte {
	r.mu.Lock()
	name := strings.ToLower(query.Question[0].Name)
	kind := query.Question[0].Qtype
	r.queryCounts[dns.TypeToString[kind]+" "+name]++
	r.queryTimes = append(r.queryTimes, time.Now())
	if tcp {
		r.tcpQueries++
	}
	fault := r.fault
	reply := r.buildReply(query, name, kind)
	r.mu.Unlock()
	switch fault {
	case Timeout:
		return nil
	case Late:
		time.Sleep(lateDelay)
	case ServFail:
		reply.Answer, reply.Extra, reply.Rcode = nil, nil, dns.RcodeServerFailure
	case NXDomain, Empty:
		reply.Answer, reply.Extra, reply.Ns = nil, nil, []dns.RR{newSOA(name)}
		if fault == NXDomain {
			reply.Rcode = dns.RcodeNameError
		}
	case EmptyWithoutSOA:
		reply.Answer, reply.Extra, reply.Ns = nil, nil, nil
	case FormErr:
		if query.IsEdns0() != nil {
			reply.Answer, reply.Extra, reply.Rcode = nil, nil, dns.RcodeFormatError
		}
	case WrongID:
		reply.Id++
	case WrongQuestion:
		reply.Question[0].Name = "other.example."
	case AliasLoop:
		reply.Answer = []dns.RR{newCNAME(name, "b."+name), newCNAME("b."+name, name)}
	case Truncate, TruncateTCPSlow, TruncateTCPRefuse:
		if !tcp {
			reply.Truncated = true
			reply.Answer, reply.Extra = reply.Answer[:len(reply.Answer)/2], nil
			break
		}
		if fault == TruncateTCPSlow {
			time.Sleep(3 * time.Second)
		}
		if fault != Truncate {
			return nil
		}
	}
	fitToSize(reply, maxReplySize(query, tcp))
	packed, err := reply.Pack()
	if err != nil {
		reply.Answer, reply.Extra, reply.Rcode = nil, nil, dns.RcodeServerFailure
		packed, _ = reply.Pack()
	}
	switch fault {
	case Garbage:
		return [][]byte{{1, 2, 3}, append(packed[:2:2], 0xff, 0xff, 0xff)}
	case TruncatedName:
		return [][]byte{packed[:len(packed)-3]}
	case PointerLoop: // the question's name is a compression pointer to itself
		return [][]byte{append(packed[:12:12], 0xc0, 12, 0, byte(kind), 0, 1)}
	}
	return [][]byte{packed}
}

// maxReplySize returns the largest reply in bytes that the sender of the query accepts.
func maxReplySize(query *dns.Msg, tcp bool) int {
	if tcp {
		return dns.MaxMsgSize
	}
	if edns := query.IsEdns0(); edns != nil {
		return int(edns.UDPSize())
	}
	return dns.MinMsgSize
}

// fitToSize compresses a reply, and drops its additional section and then further records until it has at most limit
// bytes.
func fitToSize(reply *dns.Msg, limit int) {
	reply.Compress = true
	if reply.Len() <= limit {
		return
	}
	reply.Extra = nil
	if reply.Len() > limit {
		reply.Truncate(limit)
	}
}

func newSOA(name string) dns.RR {
	return &dns.SOA{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 60},
		Ns: "ns.example.", Mbox: "m.example.", Minttl: 1}
}

func newCNAME(name, target string) dns.RR {
	return &dns.CNAME{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeCNAME, Class: dns.ClassINET, Ttl: 60},
		Target: target}
}

// buildReply returns the reply without any fault. The caller holds r.mu.
func (r *Resolver) buildReply(query *dns.Msg, name string, kind uint16) *dns.Msg {
	reply := new(dns.Msg)
	reply.SetReply(query)
	reply.RecursionAvailable = true
	header := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: r.ttls[strings.ToLower(name)]}
	}
	for range 20 {
		target, ok := r.aliases[strings.ToLower(name)]
		if !ok {
			break
		}
		reply.Answer = append(reply.Answer, &dns.CNAME{Hdr: header(name, dns.TypeCNAME), Target: target})
		name = target
	}
	name = strings.ToLower(name)
	addressRecords := func(host string, t Target, want uint16) (list []dns.RR) {
		for _, a := range t.A {
			if want != dns.TypeAAAA {
				list = append(list, &dns.A{Hdr: header(host, dns.TypeA), A: net.ParseIP(a)})
			}
		}
		for _, a := range t.AAAA {
			if want != dns.TypeA {
				list = append(list, &dns.AAAA{Hdr: header(host, dns.TypeAAAA), AAAA: net.ParseIP(a)})
			}
		}
		return list
	}
	known := false
	switch kind {
	case dns.TypeSRV:
		var targets []Target
		targets, known = r.srvRecords[name]
		for _, t := range targets {
			reply.Answer = append(reply.Answer, &dns.SRV{Hdr: header(name, dns.TypeSRV), Priority: t.Priority,
				Weight: t.Weight, Port: t.Port, Target: dns.Fqdn(t.Host)})
			if !r.omitAdditional {
				reply.Extra = append(reply.Extra, addressRecords(dns.Fqdn(t.Host), t, 0)...)
			}
		}
		known = known && len(targets) > 0
	case dns.TypeA, dns.TypeAAAA:
		if t, ok := r.targets[name]; ok {
			list := addressRecords(name, t, kind)
			reply.Answer, known = append(reply.Answer, list...), len(list) > 0
		}
	}
	if !known {
		reply.Ns = []dns.RR{newSOA(name)}
	}
	return reply
}
