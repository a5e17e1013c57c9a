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

// route is how one host with several addresses is reached. Connections belong to the host and the address: after an
// address has moved to another host, those of the one before are used no more.
type route struct {
	host string

	mu    sync.Mutex // may be held when Side.mu is taken, never the other way round
	set   *addresses.Set
	pools map[addresses.Address]*fasthttp.HostClient
}

// Readdress takes the addresses of a host as they are now; nil is for a host that has gone, or has none but its dial.
// Connections and what was learned of the addresses that stay are kept; the others end what is on them.
func (s *Side) Readdress(host string, list []addresses.Address) {
	s.mu.Lock()
	rt := s.routes[host]
	switch {
	case list == nil:
		delete(s.routes, host)
	case rt == nil:
		rt = &route{host: host, pools: map[addresses.Address]*fasthttp.HostClient{},
			set: addresses.NewSet(s.limits(), rand.New(rand.NewPCG(s.o.Seed, rand.Uint64())))}
		rt.set.Update(list)
		rt.set.Inherit(s.core.Now(), s.inherited[host])
		delete(s.inherited, host)
		s.routes[host] = rt
	}
	s.mu.Unlock()
	if rt != nil {
		s.o.Metrics.Several.Store(true)
		rt.keep(list)
	}
}

// keep makes list the addresses of the host.
func (rt *route) keep(list []addresses.Address) {
	rt.mu.Lock()
	rt.set.Update(list)
	var gone []*fasthttp.HostClient
	for a, c := range rt.pools {
		if !rt.set.Has(a) {
			gone = append(gone, c)
			delete(rt.pools, a)
		}
	}
	rt.mu.Unlock()
	for _, c := range gone {
		c.CloseIdleConnections()
	}
}

// renew makes the connections that are opened from now on follow other limits.
func (rt *route) renew(l addresses.Limits, anew bool) {
	rt.mu.Lock()
	rt.set.SetLimits(l)
	var old map[addresses.Address]*fasthttp.HostClient
	if anew {
		old, rt.pools = rt.pools, map[addresses.Address]*fasthttp.HostClient{}
	}
	rt.mu.Unlock()
	for _, c := range old {
		c.CloseIdleConnections()
	}
}

// pool keeps the connections to one address; rt.mu is held. The settings are those of Side.client.
func (s *Side) pool(rt *route, a addresses.Address, t Times) *fasthttp.HostClient {
	c := rt.pools[a]
	if c == nil {
		c = s.newClient(a.String(), t, s.dial(a.Network(), a.Target(), t.DialTimeout))
		rt.pools[a] = c
	}
	return c
}

// limits are the knobs of the addresses; s.mu is held.
func (s *Side) limits() addresses.Limits {
	l := s.knobs
	l.Probe = s.times.Probe
	return l
}

// SetAddressLimits changes the knobs of the addresses; Probe is that of the settings.
func (s *Side) SetAddressLimits(l addresses.Limits) {
	s.mu.Lock()
	s.knobs = l
	l, routes := s.limits(), slices.Collect(maps.Values(s.routes))
	s.mu.Unlock()
	for _, rt := range routes {
		rt.renew(l, false)
	}
}

var errNoWay = errors.New("no address could be connected to")

// errDead is of a connection that came up and had ended before anything was written.
var errDead = errors.New("the connection was closed as soon as it was up")

// way is one call's way to a host with several addresses.
type way struct {
	s       *Side
	rt      *route
	race    *addresses.Race
	fresh   bool
	wake    chan struct{}
	won     *line
	started int // connections asked for
}

// find begins the race for a connection to the host, which must be found by a time on the core's clock. What is due to
// be proved beside the messages is so now.
func (s *Side) find(rt *route, once, fresh bool, by int64) *way {
	w := &way{s: s, rt: rt, fresh: fresh, wake: make(chan struct{}, 1)}
	now := s.core.Now()
	rt.mu.Lock()
	w.race = rt.set.Race(now, by, once)
	a, how := rt.set.Trial(now)
	rt.mu.Unlock()
	if how != addresses.NoProof {
		go s.prove(rt, a, how)
	}
	return w
}

// next returns the connection to write on. It is called again only if nothing was written on the last.
func (w *way) next() (addresses.Address, *line, error) {
	t := w.s.timesNow()
	for {
		now := w.s.core.Now()
		w.rt.mu.Lock()
		step := w.race.Step(now)
		won := w.won
		var client *fasthttp.HostClient
		if step.Move == addresses.Open {
			client = w.s.pool(w.rt, step.Address, t)
		}
		w.rt.mu.Unlock()
		switch step.Move {
		case addresses.Use:
			if w.started > 1 {
				w.s.o.Metrics.Moved.Add(1)
			}
			return step.Address, won, nil
		case addresses.GiveUp:
			return addresses.Address{}, nil, errNoWay
		case addresses.Open:
			w.started++
			go w.open(step.Address, client)
			continue
		}
		timer := time.NewTimer(time.Duration(step.Until-now) * time.Microsecond)
		select {
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// open takes a kept connection or opens one, and tells the race, which may be over.
func (w *way) open(a addresses.Address, client *fasthttp.HostClient) {
	began := w.s.core.Now()
	l, err := w.s.ready(client, w.fresh, began)
	now := w.s.core.Now()
	first := false
	w.rt.mu.Lock()
	if err != nil {
		w.race.Failed(now, a, failure(err))
	} else if first = w.race.Opened(now, a, l.took, l.born < began); first {
		w.won = l
	}
	w.rt.mu.Unlock()
	w.rt.log()
	if err == nil && !first {
		w.s.park(w.rt, a, client, l)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// ready takes a connection that can carry something: one on which nothing was sent yet, if fresh is set. One that was
// opened for it and has ended already is an error: another would most likely fare the same.
func (s *Side) ready(client *fasthttp.HostClient, fresh bool, began int64) (*line, error) {
	for {
		cc, err := client.AcquireConn(0, false)
		if err != nil {
			s.o.Metrics.Unopened.Add(1)
			return nil, err
		}
		l := cc.Conn().(*line)
		if l.born >= began {
			s.o.Metrics.Opened.Add(1)
		}
		dead := s.spent(l)
		if !dead && !(fresh && l.used) {
			if l.give == nil {
				l.client, l.give = client, func(keep bool) {
					if keep {
						client.ReleaseConn(cc)
					} else {
						client.CloseConn(cc)
					}
				}
			}
			return l, nil
		}
		client.CloseConn(cc)
		if dead && l.born >= began {
			return nil, errDead
		}
	}
}

// park keeps a connection that is not used, if there is room and the host still has the address. The quarter that is
// left is for the messages that come.
func (s *Side) park(rt *route, a addresses.Address, client *fasthttp.HostClient, l *line) {
	rt.mu.Lock()
	keep := rt.set.Has(a) && rt.pools[a] == client
	rt.mu.Unlock()
	l.give(keep && s.conns.Load() <= s.most.Load()*3/4)
}

// failure says what an error of a connection means for its address.
func failure(err error) addresses.Failure {
	switch {
	case err == errDead:
		return addresses.WasReset
	case errors.Is(err, errTooMany), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, syscall.EMFILE),
		errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.ENOBUFS):
		return addresses.Elsewhere // we lack something, not the host
	case isTimeout(err):
		return addresses.Unheard
	}
	return addresses.Refused
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// prove tries an address beside the messages.
func (s *Side) prove(rt *route, a addresses.Address, how addresses.Proof) {
	s.o.Metrics.Trials.Add(1)
	began, t := s.core.Now(), s.timesNow()
	rt.mu.Lock()
	client := s.pool(rt, a, t)
	rt.mu.Unlock()
	why := addresses.Fine
	switch l, err := s.ready(client, true, began); {
	case err != nil:
		why = failure(err)
	case how == addresses.Connect:
		s.park(rt, a, client, l)
	default:
		out := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(out)
		by := time.Now().Add(probeTime)
		_, _, keep, err := s.say(client, l, call{out: out, writeBy: by, readBy: by,
			compose: bare("GET", "/status/load", rt.host)})
		if l.give(keep); err != nil {
			why = addresses.WasReset
		}
	}
	rt.mu.Lock()
	rt.set.Tried(s.core.Now(), a, how, began, why)
	rt.mu.Unlock()
	rt.log()
}

// across is talk for a host with several addresses. Until something is written it moves from one to the next; what
// became of the call is told to the set.
func (s *Side) across(h *exchange.Host, c call) (written bool, err error) {
	s.mu.Lock()
	rt, by := s.routes[h.ID], s.core.Now()+s.times.DialTimeout.Microseconds()
	s.mu.Unlock()
	if rt == nil { // the host has just gone
		return false, errNoWay
	}
	if c.relay != nil {
		by = min(by, c.relay.Due)
	}
	compose := c.compose
	w := s.find(rt, c.once, c.fresh, by)
	for {
		a, l, err := w.next()
		if err != nil {
			return false, err
		}
		began, moved, fresh := s.core.Now(), false, !l.used
		c.compose = func(nc net.Conn) []byte {
			rt.mu.Lock()
			defer rt.mu.Unlock()
			if moved = !rt.set.Has(a); moved {
				return nil
			}
			return compose(nc)
		}
		n, whole, keep, err := s.say(l.client, l, c)
		l.give(keep && !moved)
		rt.mu.Lock()
		now := s.core.Now()
		switch {
		case moved: // it is another host's by now, and what listens there perhaps as well
			w.race.Failed(now, a, addresses.Elsewhere)
		case err == nil:
			rt.set.Answered(now, a, began, !c.proves)
		case err == errNotSent || isTimeout(err): // no word on the address
		case c.relay != nil && (c.relay.Ended() || c.relay.Accepted()): // nor this
		case n > 0 && fresh:
			s.o.Metrics.Resets.Add(1)
			rt.set.Reset(now, a, began, c.once)
		case n > 0:
			rt.set.Broke(a)
		}
		if !moved {
			w.race.Settle()
		}
		rt.mu.Unlock()
		rt.log()
		if !moved {
			return whole, err
		}
	}
}

// log says what is believed anew.
func (rt *route) log() {
	rt.mu.Lock()
	news := rt.set.News()
	rt.mu.Unlock()
	for _, m := range news {
		level := slog.LevelInfo
		if m.State != addresses.Good || m.Doubt != addresses.None {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "address", "host", rt.host, "address", m.Address, "state", m.State,
			"doubt", m.Doubt, "failures", m.Failures, "connect_us", m.Connect)
	}
}

// Legacy is what another process goes on with: what is believed of the addresses, by host.
type Legacy map[string][]addresses.Memory

// Legacy returns what is believed now.
func (s *Side) Legacy() Legacy {
	s.mu.Lock()
	routes := slices.Collect(maps.Values(s.routes))
	s.mu.Unlock()
	l := Legacy{}
	for _, rt := range routes {
		rt.mu.Lock()
		l[rt.host] = rt.set.Memory()
		rt.mu.Unlock()
	}
	return l
}

// Inherit goes on with a legacy; it comes before the list of hosts.
func (s *Side) Inherit(l Legacy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inherited = l
}
