// Package srv reads DNS SRV records as a source of workers, which it calls hosts. It queries resolvers, follows
// aliases, looks up the addresses of targets and repeats each lookup before its records expire. Package decide/sources
// decides what the answers mean for the list.
package srv

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

const (
	maxUDPBytes   = 1232 // datagrams up to this size are not fragmented on any usual path (RFC 9715)
	maxMismatches = 32   // invalid answers after which a query fails, as they may be forged
	minBackoff    = 500 * time.Millisecond
	maxBackoff    = 10 * time.Second
)

var (
	errMismatches  = errors.New("too many answers that do not match the query")
	errNoResolvers = errors.New("no resolver is configured")
)

// resolverPool queries resolvers in turn. A resolver that fails is tried last during a backoff, which grows with each
// consecutive failure.
type resolverPool struct {
	timeout time.Duration

	mu          sync.Mutex
	nameservers []*nameserver
	next        int
}

// nameserver is a resolver and its recent failures.
type nameserver struct {
	addr         string
	failures     int // consecutive
	backoffUntil time.Time
}

func newResolverPool(addrs []string, timeout time.Duration) *resolverPool {
	r := &resolverPool{timeout: timeout}
	for _, a := range addrs {
		r.nameservers = append(r.nameservers, &nameserver{addr: a})
	}
	if len(addrs) > 0 {
		r.next = rand.IntN(len(addrs)) // so that dispatchers begin with different resolvers
	}
	return r
}

// inOrder returns all resolvers in the order in which to try them.
func (r *resolverPool) inOrder(now time.Time) (ready []*nameserver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inBackoff []*nameserver
	for i := range r.nameservers {
		s := r.nameservers[(r.next+i)%len(r.nameservers)]
		if now.Before(s.backoffUntil) {
			inBackoff = append(inBackoff, s)
		} else {
			ready = append(ready, s)
		}
	}
	if len(r.nameservers) > 0 {
		r.next = (r.next + 1) % len(r.nameservers)
	}
	return append(ready, inBackoff...)
}

// recordResult updates the backoff of a resolver after a query.
func (r *resolverPool) recordResult(s *nameserver, failed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !failed {
		s.failures, s.backoffUntil = 0, time.Time{}
		return
	}
	backoff := min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	s.backoffUntil = now.Add(backoff/2 + rand.N(backoff/2+1))
}

// query returns the first complete answer about a name. That the name does not exist is an answer, too.
func (r *resolverPool) query(ctx context.Context, name string, rrType uint16) (*dns.Msg, error) {
	err := errNoResolvers
	for _, s := range r.inOrder(time.Now()) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var m *dns.Msg
		m, err = r.queryOne(ctx, s.addr, name, rrType)
		if err == nil && m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError {
			err = fmt.Errorf("%s from %s", dns.RcodeToString[m.Rcode], s.addr)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if r.recordResult(s, err != nil, time.Now()); err == nil {
			return m, nil
		}
	}
	return nil, err
}

// queryOne queries one resolver over UDP. If the answer is truncated it is dropped, and the query repeated over TCP.
func (r *resolverPool) queryOne(ctx context.Context, addr, name string, rrType uint16) (*dns.Msg, error) {
	request := new(dns.Msg)
	request.SetQuestion(name, rrType)
	request.Id = uint16(rand.Uint32())
	request.SetEdns0(maxUDPBytes, false)
	m, err := r.queryUDP(ctx, addr, request)
	if err == nil && m.Rcode == dns.RcodeFormatError { // from a server without EDNS0 (RFC 6891, section 7)
		request.Extra = nil
		request.Id = uint16(rand.Uint32())
		m, err = r.queryUDP(ctx, addr, request)
	}
	if err == nil && m.Truncated {
		request.Id = uint16(rand.Uint32())
		m, err = r.queryTCP(ctx, addr, request)
	}
	return m, err
}

// deadline returns the deadline of a query: that of ctx or the end of the timeout, whichever is earlier.
func (r *resolverPool) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(r.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	return deadline
}

// queryUDP opens a socket for each query, so that its port is hard to guess. The socket is connected, so that it
// receives datagrams from that resolver only.
func (r *resolverPool) queryUDP(ctx context.Context, addr string, request *dns.Msg) (*dns.Msg, error) {
	query, err := request.Pack()
	if err != nil {
		return nil, err
	}
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(r.deadline(ctx))
	if _, err := conn.Write(query); err != nil {
		return nil, err
	}
	buf := make([]byte, 64<<10)
	for range maxMismatches {
		n, err := conn.Read(buf)
		if err != nil {
			return nil, err
		}
		if m, err := parseAnswer(buf[:n], request); err == nil {
			return m, nil
		}
	}
	return nil, errMismatches
}

func (r *resolverPool) queryTCP(ctx context.Context, addr string, request *dns.Msg) (*dns.Msg, error) {
	query, err := request.Pack()
	if err != nil {
		return nil, err
	}
	deadline := r.deadline(ctx)
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(deadline)
	if _, err := conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(query))), query...)); err != nil {
		return nil, err
	}
	var length [2]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(conn, body); err != nil {
		return nil, err
	}
	m, err := parseAnswer(body, request)
	if err == nil && m.Truncated {
		err = errors.New("the answer over TCP is truncated, too")
	}
	return m, err
}

// parseAnswer parses the answer to a request. An answer to another request is an error. A truncated answer is returned
// even if it ends in the middle of a record.
func parseAnswer(text []byte, request *dns.Msg) (*dns.Msg, error) {
	m := new(dns.Msg)
	if err := m.Unpack(text); err != nil {
		if !m.Truncated || len(text) < 12 { // the size of a header
			return nil, err
		}
	}
	switch {
	case m.Id != request.Id:
		return nil, fmt.Errorf("the answer has id %d, not %d", m.Id, request.Id)
	case !m.Response || m.Opcode != dns.OpcodeQuery:
		return nil, errors.New("the message is not an answer")
	case len(m.Question) != 1 || !strings.EqualFold(m.Question[0].Name, request.Question[0].Name) ||
		m.Question[0].Qtype != request.Question[0].Qtype || m.Question[0].Qclass != request.Question[0].Qclass:
		return nil, errors.New("the answer is to another question")
	}
	return m, nil
}
