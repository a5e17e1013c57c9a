// Package upstream talks to the workers: it forwards messages (client requests) to them, parses their callbacks,
// cancels jobs and probes workers. Every relay (one attempt at one worker) is written at most once; this package never
// retries it.
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

// Options configure a Transport.
type Options struct {
	ConnSettings
	MaxConns int // open connections
	Metrics  *metrics.Metrics
	Seed     uint64 // of the random numbers that spread the backoffs of addresses
}

// ConnSettings are the settings for connections to hosts (workers).
type ConnSettings struct {
	DialTimeout  time.Duration
	IdleTimeout  time.Duration // after which hosts close an idle connection
	ProbeAllowed bool          // whether hosts may be asked for their load
}

const (
	cancelTimeout = 2 * time.Second // for cancelling a job at its worker
	probeTimeout  = 500 * time.Millisecond
	reuseBan      = time.Minute // for which no kept connection is used after one was found dead
	maxAnswerBody = 64 << 10    // bytes
)

// Transport keeps the connections to the workers and makes all calls on them.
type Transport struct {
	core            *dispatch.Core
	options         Options
	openConns       atomic.Int64
	maxConns        atomic.Int64
	pendingCancels  atomic.Int64 // cancel calls under way
	deadConnFoundAt atomic.Int64 // when a kept connection was last found dead, in microseconds on the core's clock

	mu         sync.Mutex
	settings   ConnSettings
	pools      map[string]*fasthttp.HostClient // by address, of the hosts with one address
	maxPools   int                             // number of pools at which those without a connection are dropped
	routes     map[string]*route               // by ID, of the hosts with several addresses
	unanswered map[*exchange.Relay]net.Conn    // relays that were written, or are being written, without an answer yet

	addressLimits      addresses.Limits
	inheritedAddresses HandoverState // of the predecessor, for the hosts that are not listed yet
}

// New returns a transport that reports the results of its calls to core.
func New(core *dispatch.Core, options Options) *Transport {
	t := &Transport{core: core, options: options, settings: options.ConnSettings,
		pools: map[string]*fasthttp.HostClient{}, maxPools: minPools, routes: map[string]*route{},
		addressLimits: addresses.Defaults, unanswered: map[*exchange.Relay]net.Conn{}}
	t.SetMaxConns(options.MaxConns)
	return t
}

// SetConnSettings changes the settings for connections. Kept connections from before are not used again, except those
// of hosts with several addresses if only ProbeAllowed has changed.
func (t *Transport) SetConnSettings(settings ConnSettings) {
	t.mu.Lock()
	if t.settings == settings {
		t.mu.Unlock()
		return
	}
	oldPools, renewPools := t.pools,
		t.settings.DialTimeout != settings.DialTimeout || t.settings.IdleTimeout != settings.IdleTimeout
	t.settings, t.pools = settings, map[string]*fasthttp.HostClient{}
	limits, routes := t.currentAddressLimits(), slices.Collect(maps.Values(t.routes))
	t.mu.Unlock()
	for _, pool := range oldPools {
		pool.CloseIdleConnections()
	}
	for _, rt := range routes {
		rt.setLimits(limits, renewPools)
	}
}

// currentSettings returns the settings for connections.
func (t *Transport) currentSettings() ConnSettings {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settings
}

// SetMaxConns changes the limit on open connections. Connections over a lowered limit are not closed early.
func (t *Transport) SetMaxConns(maxConns int) { t.maxConns.Store(int64(maxConns)) }

// minPools is the number of pools up to which those without a connection are kept.
const minPools = 128

var errTooMany = errors.New("too many connections")

// pool returns the connection pool of one address. It uses the newest connection first, so that the others become idle.
// Idle ones are closed well before the host would do it: a message that is written while the host closes is lost.
func (t *Transport) pool(addr string) *fasthttp.HostClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[addr]
	if p == nil {
		if len(t.pools) >= t.maxPools {
			t.dropUnusedPools()
		}
		p = t.newPool(addr, t.settings, t.dial("tcp", addr, t.settings.DialTimeout))
		t.pools[addr] = p
	}
	return p
}

// dropUnusedPools drops the pools without a connection: their hosts may have left the list. A call that has such a pool
// still uses it, and its connection is then not kept for others. There are at most twice as many pools as open
// connections, or minPools. t.mu must be held.
func (t *Transport) dropUnusedPools() {
	maps.DeleteFunc(t.pools, func(_ string, pool *fasthttp.HostClient) bool { return pool.ConnsCount() == 0 })
	t.maxPools = max(2*len(t.pools), minPools)
}

// newPool returns a connection pool that opens connections with dial.
func (t *Transport) newPool(addr string, settings ConnSettings, dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: addr, MaxConns: t.options.MaxConns,
		MaxIdleConnDuration: settings.IdleTimeout * 2 / 3, ConnPoolStrategy: fasthttp.LIFO,
		MaxIdemponentCallAttempts: 1, Dial: dial}
}

// dial returns a function that opens a connection unless the limit of SetMaxConns is reached, which follows from the
// limit on file descriptors.
func (t *Transport) dial(network, target string, timeout time.Duration) fasthttp.DialFunc {
	return func(string) (net.Conn, error) {
		if t.openConns.Add(1) > t.maxConns.Load() {
			t.openConns.Add(-1)
			return nil, errTooMany
		}
		start := t.core.Now()
		c, err := net.DialTimeout(network, target, timeout)
		if err != nil {
			t.openConns.Add(-1)
			return nil, err
		}
		opened := t.core.Now()
		return &countedConn{Conn: c, openConns: &t.openConns, openedAt: opened, dialTime: opened - start}, nil
	}
}

// Send starts a relay and reports to the core how it ends, unless callbacks or its cancellation do.
func (t *Transport) Send(r *exchange.Relay) {
	go func() {
		if outcome, load, ended := t.runRelay(r); ended {
			t.core.RelayEnded(r, outcome, load)
		}
	}()
}

// runRelay writes the message to the host and reads its first answer. ended is false if the answer does not end the
// relay: after a 202 the callbacks report the rest.
func (t *Transport) runRelay(r *exchange.Relay) (outcome topazfall.Outcome, load topazfall.Load, ended bool) {
	load = topazfall.NoLoad
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	written, err := t.roundTrip(r.Host, call{runOnce: r.Exchange.Once, newConn: t.needsNewConn(r),
		provesAddress: !r.Exchange.Once, relay: r, response: response,
		// A relay that has not ended when it is due is cancelled then. An answer that is read later is not needed.
		writeDeadline: t.core.ToTime(r.Due), readDeadline: t.core.ToTime(r.Due).Add(cancelTimeout),
		compose: func(c net.Conn) []byte {
			request := encodeRequest(r, t.core.Now()) // composed before TryStart, so that it is written right after
			t.mu.Lock()
			defer t.mu.Unlock()
			if !r.TryStart(t.core.Now()) {
				return nil
			}
			t.unanswered[r] = c // from here on Cancel closes the connection
			return request
		}})
	switch {
	case err == errNotSent:
		return topazfall.NeverSent, load, true
	case r.IsAccepted(): // the job is accepted, whatever became of the rest of the answer
		return 0, load, false
	case err != nil && r.IsEnded(): // cancelled: its outcome is known
		return 0, load, false
	case err != nil:
		slog.Warn("relay", "id", r.Exchange.ID, "n", r.Index, "host", r.Host.ID, "written", written, "error", err)
		if !written {
			return topazfall.ConnectionRefused, load, true
		}
		if !isBroken(err) { // this side closes: the host may have accepted the job, and must not run it beside a retry
			t.simpleCall("DELETE", "/jobs/"+r.Exchange.ID, r.Host, probeTimeout, nil)
		}
		return topazfall.ConnectionLost, load, true
	}
	load = parseLoadHeader(response.Header.Peek("X-Server-Load"))
	switch status := response.StatusCode(); {
	case (status == 503 || status == 504) && string(response.Header.Peek("X-Not-Processed")) == "1":
		return topazfall.Saturated, load, true
	default:
		slog.Info("relay", "id", r.Exchange.ID, "n", r.Index, "host", r.Host.ID, "status", status)
		if status/100 == 4 && status != 408 && status != 429 { // the fault is in the message, not in the host
			return topazfall.Unusable, load, true
		}
		return topazfall.Errored, load, true
	}
}

// Cancel ends a relay and makes its host drop the job. If the host has not answered yet, closing the connection may be
// enough; if its 202 is on the way, only the DELETE is.
func (t *Transport) Cancel(r *exchange.Relay) {
	t.mu.Lock()
	wasStarted := r.End()
	if c := t.unanswered[r]; c != nil {
		c.Close()
	}
	t.mu.Unlock()
	if wasStarted {
		t.pendingCancels.Add(1)
		go func() {
			defer t.pendingCancels.Add(-1)
			t.simpleCall("DELETE", "/jobs/"+r.Exchange.ID, r.Host, cancelTimeout, nil)
		}()
	}
}

// Probe asks a host for its load and reports the result to the core.
func (t *Transport) Probe(h *exchange.Host) {
	go func() {
		start, load, outcome := t.core.Now(), topazfall.NoLoad, topazfall.ProbeFailed
		if t.simpleCall("GET", "/status/load", h, probeTimeout, func(response *fasthttp.Response) {
			if response.StatusCode() == fasthttp.StatusOK {
				load, outcome = parseLoadBody(response.Body()), topazfall.Completed
			}
		}) != nil {
			load = topazfall.NoLoad
		}
		t.core.ProbeDone(h, outcome, t.core.Now()-start, load)
	}()
}

// simpleCall makes an idempotent call without a body. If a kept connection turns out to be dead it retries once on a
// new one. Both calls together must end within timeout. use, if not nil, gets the response.
func (t *Transport) simpleCall(method, path string, h *exchange.Host, timeout time.Duration,
	use func(*fasthttp.Response)) error {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	deadline := time.Now().Add(timeout)
	hostField := h.Addr
	if hostField == "" {
		hostField = h.ID
	}
	c := call{newConn: t.avoidsReuse(), response: response, keepsBody: use != nil,
		writeDeadline: deadline, readDeadline: deadline,
		compose:       encodeBareRequest(method, path, hostField),
		provesAddress: method == "GET"} // a probe, which is made only where it is allowed
	written, err := t.roundTrip(h, c)
	if err != nil && written && !c.newConn && t.avoidsReuse() {
		c.newConn = true
		_, err = t.roundTrip(h, c)
	}
	if err != nil {
		slog.Warn("call", "method", method, "path", path, "host", h.ID, "addr", h.Addr, "error", err)
		return err
	}
	if use != nil {
		use(response)
	}
	return nil
}

// HasPendingCancels reports whether cancel calls are still under way.
func (t *Transport) HasPendingCancels() bool { return t.pendingCancels.Load() > 0 }
