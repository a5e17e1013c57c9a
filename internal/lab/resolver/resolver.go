// Package resolver is a stand-in for a DNS resolver: it answers from records that it is given, over UDP and TCP on
// loopback, and fails on cue.
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

// Fault is how it behaves.
type Fault int

// The faults.
const (
	Answer Fault = iota
	Timeout
	Late // answers after 300 ms
	ServFail
	NXDomain        // with the zone's word for it
	Empty           // no records, with the zone's word
	EmptyWithoutSOA // no records, and no word
	WrongID
	WrongQuestion
	Garbage
	TruncatedName // the message ends within a name
	PointerLoop   // a name that points to itself
	AliasLoop     // aliases in a circle
	Truncate
	TruncateTCPSlow   // and TCP does not answer
	TruncateTCPRefuse // and TCP closes
	FormErr           // to all that has EDNS0
)

var faults = [...]string{"answer", "timeout", "late", "servfail", "nxdomain", "empty", "silent", "wrong-id",
	"wrong-question", "garbage", "cut-name", "loop", "circle", "truncate", "truncate-tcp-slow", "truncate-tcp-refuse",
	"formerr"}

func (f Fault) String() string { return faults[f] }

// Target is one SRV record.
type Target struct {
	Host             string
	Port             uint16
	Priority, Weight uint16
	A, AAAA          []string
}

const lateTime = 300 * time.Millisecond

// Resolver is a running stand-in.
type Resolver struct {
	udp net.PacketConn
	tcp net.Listener

	mu      sync.Mutex
	fault   Fault
	names   map[string][]Target
	ttl     map[string]uint32
	alias   map[string]string
	places  map[string]Target
	bare    bool // no additional section
	queries map[string]int
	overTCP int
	moments []time.Time
	conns   map[net.Conn]bool
}

// Start listens on a free port of 127.0.0.1, over UDP and TCP.
func Start() (*Resolver, error) {
	for range 50 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err != nil { // the port is somebody else's there
			tcp.Close()
			continue
		}
		r := &Resolver{udp: udp, tcp: tcp, names: map[string][]Target{}, ttl: map[string]uint32{},
			alias: map[string]string{}, places: map[string]Target{}, queries: map[string]int{},
			conns: map[net.Conn]bool{}}
		go r.serveUDP()
		go r.serveTCP()
		return r, nil
	}
	return nil, fmt.Errorf("no port is free for UDP and TCP")
}

// Address is where it listens.
func (r *Resolver) Address() string { return r.tcp.Addr().String() }

// Close ends it.
func (r *Resolver) Close() {
	r.udp.Close()
	r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// SetFault makes it behave so from now on.
func (r *Resolver) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// OmitAdditional leaves the additional section out.
func (r *Resolver) OmitAdditional(bare bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bare = bare
}

// SetRecords gives a name its records.
func (r *Resolver) SetRecords(name string, ttl uint32, targets ...Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := strings.ToLower(dns.Fqdn(name))
	r.names[key], r.ttl[key] = targets, ttl
	for _, t := range targets {
		host := strings.ToLower(dns.Fqdn(t.Host))
		r.places[host], r.ttl[host] = t, ttl
	}
}

// SetAlias makes a name one of another.
func (r *Resolver) SetAlias(name, of string, ttl uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := strings.ToLower(dns.Fqdn(name))
	r.alias[key], r.ttl[key] = dns.Fqdn(of), ttl
}

// QueryCount is how often a name was asked for by a type, such as "SRV".
func (r *Resolver) QueryCount(name, kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queries[kind+" "+strings.ToLower(dns.Fqdn(name))]
}

// QueryTimes is when queries came.
func (r *Resolver) QueryTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.moments...)
}

// TCPQueryCount is how many queries came over TCP.
func (r *Resolver) TCPQueryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overTCP
}

func (r *Resolver) serveUDP() {
	buf := make([]byte, 4096)
	for {
		n, from, err := r.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		q := new(dns.Msg)
		if q.Unpack(buf[:n]) != nil || len(q.Question) != 1 {
			continue
		}
		go func() {
			for _, text := range r.answers(q, false) {
				r.udp.WriteTo(text, from)
			}
		}()
	}
}

func (r *Resolver) serveTCP() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			defer func() {
				r.mu.Lock()
				delete(r.conns, c)
				r.mu.Unlock()
				c.Close()
			}()
			for {
				var head [2]byte
				if _, err := io.ReadFull(c, head[:]); err != nil {
					return
				}
				body := make([]byte, binary.BigEndian.Uint16(head[:]))
				if _, err := io.ReadFull(c, body); err != nil {
					return
				}
				q := new(dns.Msg)
				if q.Unpack(body) != nil || len(q.Question) != 1 {
					return
				}
				list := r.answers(q, true)
				if list == nil {
					return
				}
				for _, text := range list {
					c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(text))), text...))
				}
			}
		}()
	}
}

// answers are the messages that a query gets.
func (r *Resolver) answers(q *dns.Msg, tcp bool) [][]byte {
	r.mu.Lock()
	name := strings.ToLower(q.Question[0].Name)
	kind := q.Question[0].Qtype
	r.queries[dns.TypeToString[kind]+" "+name]++
	r.moments = append(r.moments, time.Now())
	if tcp {
		r.overTCP++
	}
	f := r.fault
	m := r.compose(q, name, kind)
	r.mu.Unlock()
	switch f {
	case Timeout:
		return nil
	case Late:
		time.Sleep(lateTime)
	case ServFail:
		m.Answer, m.Extra, m.Rcode = nil, nil, dns.RcodeServerFailure
	case NXDomain, Empty:
		m.Answer, m.Extra, m.Ns = nil, nil, []dns.RR{soa(name)}
		if f == NXDomain {
			m.Rcode = dns.RcodeNameError
		}
	case EmptyWithoutSOA:
		m.Answer, m.Extra, m.Ns = nil, nil, nil
	case FormErr:
		if q.IsEdns0() != nil {
			m.Answer, m.Extra, m.Rcode = nil, nil, dns.RcodeFormatError
		}
	case WrongID:
		m.Id++
	case WrongQuestion:
		m.Question[0].Name = "other.example."
	case AliasLoop:
		m.Answer = []dns.RR{cname(name, "b."+name), cname("b."+name, name)}
	case Truncate, TruncateTCPSlow, TruncateTCPRefuse:
		if !tcp {
			m.Truncated = true
			m.Answer, m.Extra = m.Answer[:len(m.Answer)/2], nil
			break
		}
		if f == TruncateTCPSlow {
			time.Sleep(3 * time.Second)
		}
		if f != Truncate {
			return nil
		}
	}
	fit(m, sizeLimit(q, tcp))
	text, err := m.Pack()
	if err != nil {
		m.Answer, m.Extra, m.Rcode = nil, nil, dns.RcodeServerFailure
		text, _ = m.Pack()
	}
	switch f {
	case Garbage:
		return [][]byte{{1, 2, 3}, append(text[:2:2], 0xff, 0xff, 0xff)}
	case TruncatedName:
		return [][]byte{text[:len(text)-3]}
	case PointerLoop: // the question's name is a pointer to itself
		return [][]byte{append(text[:12:12], 0xc0, 12, 0, byte(kind), 0, 1)}
	}
	return [][]byte{text}
}

// sizeLimit is the largest response in bytes that the sender of query q accepts.
func sizeLimit(q *dns.Msg, tcp bool) int {
	if tcp {
		return dns.MaxMsgSize
	}
	if o := q.IsEdns0(); o != nil {
		return int(o.UDPSize())
	}
	return dns.MinMsgSize
}

// fit compresses m, and drops its additional section and then further records until it has at most limit bytes.
func fit(m *dns.Msg, limit int) {
	m.Compress = true
	if m.Len() <= limit {
		return
	}
	m.Extra = nil
	if m.Len() > limit {
		m.Truncate(limit)
	}
}

func soa(name string) dns.RR {
	return &dns.SOA{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 60},
		Ns: "ns.example.", Mbox: "m.example.", Minttl: 1}
}

func cname(name, of string) dns.RR {
	return &dns.CNAME{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeCNAME, Class: dns.ClassINET, Ttl: 60}, Target: of}
}

// compose is the true answer; r.mu is held.
func (r *Resolver) compose(q *dns.Msg, name string, kind uint16) *dns.Msg {
	m := new(dns.Msg)
	m.SetReply(q)
	m.RecursionAvailable = true
	header := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: r.ttl[strings.ToLower(name)]}
	}
	for range 20 {
		of, ok := r.alias[strings.ToLower(name)]
		if !ok {
			break
		}
		m.Answer = append(m.Answer, &dns.CNAME{Hdr: header(name, dns.TypeCNAME), Target: of})
		name = of
	}
	name = strings.ToLower(name)
	ips := func(host string, t Target, want uint16) (list []dns.RR) {
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
		targets, known = r.names[name]
		for _, t := range targets {
			m.Answer = append(m.Answer, &dns.SRV{Hdr: header(name, dns.TypeSRV), Priority: t.Priority, Weight: t.Weight,
				Port: t.Port, Target: dns.Fqdn(t.Host)})
			if !r.bare {
				m.Extra = append(m.Extra, ips(dns.Fqdn(t.Host), t, 0)...)
			}
		}
		known = known && len(targets) > 0
	case dns.TypeA, dns.TypeAAAA:
		if t, ok := r.places[name]; ok {
			list := ips(name, t, kind)
			m.Answer, known = append(m.Answer, list...), len(list) > 0
		}
	}
	if !known {
		m.Ns = []dns.RR{soa(name)}
	}
	return m
}
