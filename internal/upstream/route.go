package upstream

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/decide/addresses"
	"topazfall/internal/exchange"
)

// route holds the addresses of one host (worker) with several addresses, and the connections to them. A connection
// belongs to the host and the address: after an address has moved to another host, the connections of the old host are
// not used again.
type route struct {
	hostID string

	mu    sync.Mutex // may be held when Transport.mu is locked, never the other way round
	set   *addresses.Set
	pools map[addresses.Address]*fasthttp.HostClient
}

// SetAddresses sets the addresses of a host. list is nil for a host that was removed, or that is reached by its single
// dial address. Addresses that stay keep their connections and their state. Calls in progress on the others may still
// complete.
func (t *Transport) SetAddresses(hostID string, list []addresses.Address) {
	t.mu.Lock()
	rt := t.routes[hostID]
	switch {
	case list == nil:
		delete(t.routes, hostID)
	case rt == nil:
		rt = &route{hostID: hostID, pools: map[addresses.Address]*fasthttp.HostClient{},
			set: addresses.NewSet(t.currentAddressLimits(), rand.New(rand.NewPCG(t.options.Seed, rand.Uint64())))}
		rt.set.Update(list)
		rt.set.Inherit(t.core.Now(), t.inheritedAddresses[hostID])
		delete(t.inheritedAddresses, hostID)
		t.routes[hostID] = rt
	}
	t.mu.Unlock()
	if rt != nil {
		t.options.Metrics.HasMultiAddress.Store(true)
		rt.setAddresses(list)
	}
}

// setAddresses replaces the addresses of the host and closes the idle connections to those that are no longer listed.
func (rt *route) setAddresses(list []addresses.Address) {
	rt.mu.Lock()
	rt.set.Update(list)
	var removed []*fasthttp.HostClient
	for a, pool := range rt.pools {
		if !rt.set.Has(a) {
			removed = append(removed, pool)
			delete(rt.pools, a)
		}
	}
	rt.mu.Unlock()
	for _, pool := range removed {
		pool.CloseIdleConnections()
	}
}

// setLimits changes the limits for addresses. With renewPools, all connections are opened anew from now on.
func (rt *route) setLimits(limits addresses.Limits, renewPools bool) {
	rt.mu.Lock()
	rt.set.SetLimits(limits)
	var oldPools map[addresses.Address]*fasthttp.HostClient
	if renewPools {
		oldPools, rt.pools = rt.pools, map[addresses.Address]*fasthttp.HostClient{}
	}
	rt.mu.Unlock()
	for _, pool := range oldPools {
		pool.CloseIdleConnections()
	}
}

// addressPool returns the connection pool of one address of a host, with the same pool settings as Transport.pool.
// rt.mu must be held.
func (t *Transport) addressPool(rt *route, a addresses.Address, settings ConnSettings) *fasthttp.HostClient {
	p := rt.pools[a]
	if p == nil {
		p = t.newPool(a.String(), settings, t.dial(a.Network(), a.Target(), settings.DialTimeout))
		rt.pools[a] = p
	}
	return p
}

// currentAddressLimits returns the limits for addresses. t.mu must be held.
func (t *Transport) currentAddressLimits() addresses.Limits {
	limits := t.addressLimits
	limits.CanProbe = t.settings.ProbeAllowed
	return limits
}

// SetAddressLimits changes the limits for addresses. CanProbe is ignored: ProbeAllowed of the ConnSettings counts.
func (t *Transport) SetAddressLimits(limits addresses.Limits) {
	t.mu.Lock()
	t.addressLimits = limits
	limits, routes := t.currentAddressLimits(), slices.Collect(maps.Values(t.routes))
	t.mu.Unlock()
	for _, rt := range routes {
		rt.setLimits(limits, false)
	}
}

// errNoAddress is returned when no connection to any address of a host could be opened.
var errNoAddress = errors.New("no address could be connected to")

// errClosedEarly is returned for a new connection that was closed before anything was written to it.
var errClosedEarly = errors.New("connection was closed right after it was opened")

// connector finds a connection to a host with several addresses, for one call.
type connector struct {
	transport *Transport
	route     *route
	race      *addresses.Race
	newConn   bool
	wake      chan struct{}
	winner    *countedConn
	dials     int // connections requested, kept ones included
}

// newConnector starts the race between the host's addresses for a connection, which must be found by deadline, in
// microseconds on the core's clock. It also starts the trial of an address if one is due.
func (t *Transport) newConnector(rt *route, runOnce, newConn bool, deadline int64) *connector {
	c := &connector{transport: t, route: rt, newConn: newConn, wake: make(chan struct{}, 1)}
	now := t.core.Now()
	rt.mu.Lock()
	c.race = rt.set.NewRace(now, deadline, runOnce)
	a, trial := rt.set.NextTrial(now)
	rt.mu.Unlock()
	if trial != addresses.NoTrial {
		go t.proveAddress(rt, a, trial)
	}
	return c
}

// next returns the connection to write on. It may be called again if nothing was written on the one before.
func (c *connector) next() (addresses.Address, *countedConn, error) {
	settings := c.transport.currentSettings()
	for {
		now := c.transport.core.Now()
		c.route.mu.Lock()
		step := c.race.Step(now)
		winner := c.winner
		var pool *fasthttp.HostClient
		if step.Action == addresses.Open {
			pool = c.transport.addressPool(c.route, step.Address, settings)
		}
		c.route.mu.Unlock()
		switch step.Action {
		case addresses.Use:
			if c.dials > 1 {
				c.transport.options.Metrics.AddressMoves.Add(1)
			}
			return step.Address, winner, nil
		case addresses.GiveUp:
			return addresses.Address{}, nil, errNoAddress
		case addresses.Open:
			c.dials++
			go c.open(step.Address, pool)
			continue
		}
		timer := time.NewTimer(time.Duration(step.Until-now) * time.Microsecond)
		select {
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// open takes a kept connection or opens one, and reports the result to the race, which may be over by then.
func (c *connector) open(a addresses.Address, pool *fasthttp.HostClient) {
	start := c.transport.core.Now()
	conn, err := c.transport.acquire(pool, c.newConn, start)
	now := c.transport.core.Now()
	won := false
	c.route.mu.Lock()
	if err != nil {
		c.race.Failed(now, a, classifyFailure(err))
	} else if won = c.race.Opened(now, a, conn.dialTime, conn.openedAt < start); won {
		c.winner = conn
	}
	c.route.mu.Unlock()
	c.route.logChanges()
	if err == nil && !won {
		c.transport.returnUnused(c.route, a, pool, conn)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// acquire takes a usable connection from the pool or opens one; with newConn set, one on which nothing was sent yet. If
// a connection was opened for the purpose and is closed already, acquire returns an error, as another one would most
// likely end in the same way.
func (t *Transport) acquire(pool *fasthttp.HostClient, newConn bool, start int64) (*countedConn, error) {
	for {
		pooled, err := pool.AcquireConn(0, false)
		if err != nil {
			t.options.Metrics.AddressFailed.Add(1)
			return nil, err
		}
		conn := pooled.Conn().(*countedConn)
		if conn.openedAt >= start {
			t.options.Metrics.AddressOpened.Add(1)
		}
		dead := t.isSpent(conn)
		if !dead && !(newConn && conn.isUsed) {
			if conn.giveBack == nil {
				conn.pool, conn.giveBack = pool, func(keep bool) {
					if keep {
						pool.ReleaseConn(pooled)
					} else {
						pool.CloseConn(pooled)
					}
				}
			}
			return conn, nil
		}
		pool.CloseConn(pooled)
		if dead && conn.openedAt >= start {
			return nil, errClosedEarly
		}
	}
}

// returnUnused returns a connection that was not needed to its pool, unless the host no longer has the address or three
// quarters of the allowed connections are open. The last quarter is left for the messages to come.
func (t *Transport) returnUnused(rt *route, a addresses.Address, pool *fasthttp.HostClient, conn *countedConn) {
	rt.mu.Lock()
	keep := rt.set.Has(a) && rt.pools[a] == pool
	rt.mu.Unlock()
	conn.giveBack(keep && t.openConns.Load() <= t.maxConns.Load()*3/4)
}

// classifyFailure returns what an error of a connection means for its address.
func classifyFailure(err error) addresses.Failure {
	switch {
	case err == errClosedEarly:
		return addresses.ConnectionReset
	case errors.Is(err, errTooMany), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, syscall.EMFILE),
		errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.ENOBUFS):
		return addresses.Unrelated // a resource is exhausted here, not at the host
	case isTimeout(err):
		return addresses.ConnectTimeout
	}
	return addresses.ConnectionRefused
}

// isTimeout reports whether err is a timeout of the network.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// proveAddress makes a trial of an address that does not involve a message: it opens a connection or probes the host.
func (t *Transport) proveAddress(rt *route, a addresses.Address, trial addresses.TrialKind) {
	t.options.Metrics.AddressTrials.Add(1)
	start, settings := t.core.Now(), t.currentSettings()
	rt.mu.Lock()
	pool := t.addressPool(rt, a, settings)
	rt.mu.Unlock()
	result := addresses.NoFailure
	switch conn, err := t.acquire(pool, true, start); {
	case err != nil:
		result = classifyFailure(err)
	case trial == addresses.ConnectTrial:
		t.returnUnused(rt, a, pool, conn)
	default:
		response := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(response)
		deadline := time.Now().Add(probeTimeout)
		_, _, keep, err := t.roundTripOn(pool, conn, call{response: response,
			writeDeadline: deadline, readDeadline: deadline,
			compose: encodeBareRequest("GET", "/status/load", rt.hostID)})
		if conn.giveBack(keep); err != nil {
			result = addresses.ConnectionReset
		}
	}
	rt.mu.Lock()
	rt.set.TrialEnded(t.core.Now(), a, trial, start, result)
	rt.mu.Unlock()
	rt.logChanges()
}

// roundTripAcross is roundTrip for a host with several addresses. Until something is written it goes on from one
// address to the next. It reports the result of the call to the set of addresses.
func (t *Transport) roundTripAcross(h *exchange.Host, c call) (written bool, err error) {
	t.mu.Lock()
	rt, deadline := t.routes[h.ID], t.core.Now()+t.settings.DialTimeout.Microseconds()
	t.mu.Unlock()
	if rt == nil { // the host was just removed
		return false, errNoAddress
	}
	if c.relay != nil {
		deadline = min(deadline, c.relay.Due)
	}
	compose := c.compose
	connector := t.newConnector(rt, c.runOnce, c.newConn, deadline)
	for {
		a, conn, err := connector.next()
		if err != nil {
			return false, err
		}
		start, moved, unused := t.core.Now(), false, !conn.isUsed
		c.compose = func(nc net.Conn) []byte {
			rt.mu.Lock()
			defer rt.mu.Unlock()
			if moved = !rt.set.Has(a); moved {
				return nil
			}
			return compose(nc)
		}
		n, written, keep, err := t.roundTripOn(conn.pool, conn, c)
		conn.giveBack(keep && !moved)
		rt.mu.Lock()
		now := t.core.Now()
		switch {
		case moved: // the address, and perhaps its listener too, belongs to another host by now
			connector.race.Failed(now, a, addresses.Unrelated)
		case err == nil:
			rt.set.Answered(now, a, start, !c.provesAddress)
		case err == errNotSent || isTimeout(err): // says nothing about the address
		case c.relay != nil && (c.relay.IsEnded() || c.relay.IsAccepted()): // nor does this
		case n > 0 && unused:
			t.options.Metrics.AddressResets.Add(1)
			rt.set.RequestReset(now, a, start, c.runOnce)
		case n > 0:
			rt.set.KeptConnectionClosed(a)
		}
		if !moved {
			connector.race.Finish()
		}
		rt.mu.Unlock()
		rt.logChanges()
		if !moved {
			return written, err
		}
	}
}

// logChanges logs the changes of the addresses' states.
func (rt *route) logChanges() {
	rt.mu.Lock()
	changes := rt.set.Changes()
	rt.mu.Unlock()
	for _, memory := range changes {
		level := slog.LevelInfo
		if memory.State != addresses.Good || memory.Doubt != addresses.NoDoubt {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "address", "host", rt.hostID, "address", memory.Address,
			"state", memory.State, "doubt", memory.Doubt, "failures", memory.Failures, "connect_us", memory.Connect)
	}
}

// HandoverState holds what was learned of the addresses of each host, by host ID, so that a successor process can
// continue with it.
type HandoverState map[string][]addresses.Memory

// HandoverState returns what was learned of the hosts' addresses, for a successor process.
func (t *Transport) HandoverState() HandoverState {
	t.mu.Lock()
	routes := slices.Collect(maps.Values(t.routes))
	t.mu.Unlock()
	state := HandoverState{}
	for _, rt := range routes {
		rt.mu.Lock()
		state[rt.hostID] = rt.set.Memory()
		rt.mu.Unlock()
	}
	return state
}

// RestoreState sets the HandoverState of the predecessor. It is called before the list of hosts is applied.
func (t *Transport) RestoreState(state HandoverState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inheritedAddresses = state
}
