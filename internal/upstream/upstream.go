// Package upstream talks to the workers: it forwards requests to them, receives their callbacks, cancels jobs and
// probes them. Every attempt is written at most once; this package never retries by itself.
package upstream

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// Options bound what the south side uses.
type Options struct {
	Times
	Conns   int // most connections at a time
	Metrics *metrics.Metrics
	Seed    uint64
}

// Times are the limits in time on connections to hosts.
type Times struct {
	DialTimeout time.Duration
	ConnIdle    time.Duration // the hosts' idle limit
	Probe       bool          // hosts may be asked for their load
}

const (
	sideCall  = 2 * time.Second // the most that a call-off may take
	probeTime = 500 * time.Millisecond
	burntTime = time.Minute // for which messages keep off kept connections after one was found dead
	largest   = 64 << 10    // of an answer's body
)

// Side is the south side.
type Side struct {
	core  *dispatch.Core
	o     Options
	conns atomic.Int64
	most  atomic.Int64 // of conns
	side  atomic.Int64 // calls other than relays that are under way
	burnt atomic.Int64 // when a kept connection was last found dead, on the core's clock

	mu      sync.Mutex
	times   Times
	clients map[string]*fasthttp.HostClient
	routes  map[string]*route            // to the hosts with several addresses
	early   map[*exchange.Relay]net.Conn // relays written, or being written, that the host has not answered

	knobs     addresses.Limits
	inherited Legacy // of the hosts that are not listed yet
}

// New returns a south side that reports to core.
func New(core *dispatch.Core, o Options) *Side {
	s := &Side{core: core, o: o, times: o.Times, clients: map[string]*fasthttp.HostClient{},
		routes: map[string]*route{}, knobs: addresses.Defaults,
		early: map[*exchange.Relay]net.Conn{}}
	s.SetConns(o.Conns)
	return s
}

// SetTimes changes the limits. Connections that are kept under the old ones are used no more.
func (s *Side) SetTimes(t Times) {
	s.mu.Lock()
	if s.times == t {
		s.mu.Unlock()
		return
	}
	old, anew := s.clients, s.times.DialTimeout != t.DialTimeout || s.times.ConnIdle != t.ConnIdle
	s.times, s.clients = t, map[string]*fasthttp.HostClient{}
	l, routes := s.limits(), slices.Collect(maps.Values(s.routes))
	s.mu.Unlock()
	for _, c := range old {
		c.CloseIdleConnections()
	}
	for _, rt := range routes {
		rt.renew(l, anew)
	}
}

func (s *Side) timesNow() Times {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times
}

// SetConns changes the bound on connections. Those over it end by themselves.
func (s *Side) SetConns(most int) { s.most.Store(int64(most)) }

var errTooMany = errors.New("too many connections")

// client keeps the connections to one address. The newest is used first, so that the rest fall idle; they
// are closed well before the host would do it, as what crosses the host's closing is lost.
func (s *Side) client(addr string) *fasthttp.HostClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[addr]
	if c == nil {
		c = s.newClient(addr, s.times, s.dial("tcp", addr, s.times.DialTimeout))
		s.clients[addr] = c
	}
	return c
}

func (s *Side) newClient(addr string, t Times, dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: addr, MaxConns: s.o.Conns, MaxIdleConnDuration: t.ConnIdle * 2 / 3,
		ConnPoolStrategy: fasthttp.LIFO, MaxIdemponentCallAttempts: 1, Dial: dial}
}

// dial opens a connection, within the bound that the limit on descriptors sets.
func (s *Side) dial(network, target string, limit time.Duration) fasthttp.DialFunc {
	return func(string) (net.Conn, error) {
		if s.conns.Add(1) > s.most.Load() {
			s.conns.Add(-1)
			return nil, errTooMany
		}
		began := s.core.Now()
		c, err := net.DialTimeout(network, target, limit)
		if err != nil {
			s.conns.Add(-1)
			return nil, err
		}
		born := s.core.Now()
		return &line{Conn: c, count: &s.conns, born: born, took: born - began}, nil
	}
}

// Send carries out a relay.
func (s *Side) Send(r *exchange.Relay) {
	go func() {
		if o, l, ended := s.relay(r); ended {
			s.core.Ended(r, o, l)
		}
	}()
}

// relay writes the message to the host and reads its first answer. A 202 does not end the relay: the
// call-backs tell the rest.
func (s *Side) relay(r *exchange.Relay) (o topazfall.Outcome, l topazfall.Load, ended bool) {
	l = topazfall.NoLoad
	out := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(out)
	written, err := s.talk(r.Host, call{once: r.Exchange.Once, fresh: s.fresh(r), proves: !r.Exchange.Once, relay: r,
		out: out,
		// When it is due it is called off, if it has not ended before: what is not read then is of no use to anybody.
		writeBy: s.core.At(r.Due), readBy: s.core.At(r.Due).Add(sideCall),
		compose: func(c net.Conn) []byte {
			bytes := request(r, s.core.Now()) // before it is asked whether they may go: they go at once then
			s.mu.Lock()
			defer s.mu.Unlock()
			if !r.Start(s.core.Now()) {
				return nil
			}
			s.early[r] = c // from here on a call-off closes the connection
			return bytes
		}})
	switch {
	case err == errNotSent:
		return topazfall.Superseded, l, true
	case r.Accepted(): // what else there is of the answer, or is not, says nothing of the job
		return 0, l, false
	case err != nil && r.Ended(): // called off: its outcome is known
		return 0, l, false
	case err != nil:
		slog.Warn("relay", "id", r.Exchange.ID, "n", r.N, "host", r.Host.ID, "written", written, "error", err)
		if !written {
			return topazfall.RefusedConn, l, true
		}
		if !broke(err) { // it is we who end it: the host may have taken the job, and must not run it beside a repeat
			s.call("DELETE", "/jobs/"+r.Exchange.ID, r.Host, probeTime, nil)
		}
		return topazfall.Severed, l, true
	}
	l = headerLoad(out.Header.Peek("X-Server-Load"))
	switch status := out.StatusCode(); {
	case (status == 503 || status == 504) && string(out.Header.Peek("X-Not-Processed")) == "1":
		return topazfall.Saturated, l, true
	default:
		slog.Info("relay", "id", r.Exchange.ID, "n", r.N, "host", r.Host.ID, "status", status)
		if status/100 == 4 && status != 408 && status != 429 { // the host means the message, not itself
			return topazfall.Unusable, l, true
		}
		return topazfall.Errored, l, true
	}
}

// CallOff makes the host drop a relay that has ended here. Where it has not answered yet, the closed
// connection may do; if its 202 is on the way, only DELETE does.
func (s *Side) CallOff(r *exchange.Relay) {
	s.mu.Lock()
	wasStarted := r.End()
	if c := s.early[r]; c != nil {
		c.Close()
	}
	s.mu.Unlock()
	if wasStarted {
		s.side.Add(1)
		go func() {
			defer s.side.Add(-1)
			s.call("DELETE", "/jobs/"+r.Exchange.ID, r.Host, sideCall, nil)
		}()
	}
}

// Probe asks a host for its load.
func (s *Side) Probe(h *exchange.Host) {
	go func() {
		began, l, o := s.core.Now(), topazfall.NoLoad, topazfall.ProbeFailed
		if s.call("GET", "/status/load", h, probeTime, func(out *fasthttp.Response) {
			if out.StatusCode() == fasthttp.StatusOK {
				l, o = bodyLoad(out.Body()), topazfall.Completed
			}
		}) != nil {
			l = topazfall.NoLoad
		}
		s.core.Probed(h, o, s.core.Now()-began, l)
	}()
}

// call makes a call without a body, which may be made again: so it is, on a new connection, where the kept one
// turned out to be dead. It holds a connection for a limited time only.
func (s *Side) call(method, path string, h *exchange.Host, limit time.Duration, use func(*fasthttp.Response)) error {
	out := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(out)
	by := time.Now().Add(limit)
	name := h.Addr
	if name == "" {
		name = h.ID
	}
	c := call{fresh: s.wary(), out: out, writeBy: by, readBy: by, compose: bare(method, path, name),
		proves: method == "GET"} // a probe, which is asked for only where it is permitted
	written, err := s.talk(h, c)
	if err != nil && written && !c.fresh && s.wary() {
		c.fresh = true
		_, err = s.talk(h, c)
	}
	if err != nil {
		slog.Warn("call", "method", method, "path", path, "host", h.ID, "addr", h.Addr, "error", err)
		return err
	}
	if use != nil {
		use(out)
	}
	return nil
}

// Busy tells whether call-offs are still on their way.
func (s *Side) Busy() bool { return s.side.Load() > 0 }
