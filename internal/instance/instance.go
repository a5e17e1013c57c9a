// Package instance wires one dispatcher together and runs it from its start to its end.
package instance

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/dispatch"
	"topazfall/internal/figures"
	"topazfall/internal/inventory"
	"topazfall/internal/manage"
	"topazfall/internal/north"
	"topazfall/internal/peers"
	"topazfall/internal/south"
	"topazfall/internal/takeover"
)

const (
	firstNews = 2 * time.Second        // how long to wait for discovery where no host is known
	lateComes = 600 * time.Millisecond // after SIGTERM connections still come for up to 0.4 s
	again     = 100 * time.Millisecond // between tries for an address that is taken
	settle    = 50 * time.Millisecond  // for what was being read when the taking in ended
)

// noDiscovery is the address of discovery where hosts come from an extension alone.
const noDiscovery = "none"

// Parts are what an extension works with.
type Parts struct {
	Config  *config.Config
	Core    *dispatch.Core
	Hosts   *south.Side
	Figures *figures.Figures
	// SetTenants brings tenants into force beside those of the configuration; one that is in both is as it is here.
	SetTenants func([]topazfall.Tenant)
}

// Reserver is an Extension that needs descriptors of its own, of those that the limits allow.
type Reserver interface{ Descriptors(name string) int }

// Extension is what other installations add to a dispatcher. It is started before the first list comes, and takes the
// inventory's news in the core's place; its end is asked for when the dispatcher has left.
type Extension interface {
	inventory.Lister
	Start(Parts) error
	Close()
}

// Run runs a dispatcher until it has left. x is nil for the bare one.
func Run(x Extension) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// A SIGHUP that nobody waits for would end the program, and lose what it has in hand. One place is enough:
	// who reads the file after the last signal reads the latest.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	}
	if r, ok := x.(Reserver); ok {
		c.Sockets = max(c.Sockets-r.Descriptors(c.Name), 0)
	}
	within(&c, 1)
	counts := &figures.Figures{}
	core, err := dispatch.New(c.Settings, counts)
	if err != nil {
		return err
	}
	out, in := bounds(&c)
	in.Figures = counts
	hosts := south.New(core, south.Options{Times: times(&c), Conns: out, Figures: counts, Seed: c.Settings.Seed})
	var takes atomic.Pointer[north.Side]
	if c.Management != "" {
		serveOperators(c.Management, func() bool { n := takes.Load(); return n != nil && n.Ready() }, counts)
	}
	path := takeover.Path(c.Name, c.Listen)
	ln, old, from, err := enter(path, c.Listen, signals)
	if err != nil {
		return err
	}
	clients := north.New(ln, core, hosts, &c.Settings, in)
	var news inventory.Lister = core
	if x != nil {
		news = x
	}
	list := inventory.New(c.Discovery, news, inventory.TermsOf(&c.Settings))
	place := &succession{c: &c, path: path, ln: ln, core: core, hosts: hosts, clients: clients, list: list, configured: c.Settings}
	place.holds(&c.Settings)
	clients.Others(place.tell)
	if c.PeerListen != "" && c.Settings.Allowed.PeerMessages {
		others, err := peers.New(peers.Addresses{Listen: c.PeerListen, Peers: c.Peers, All: c.PeersAll}, core)
		if err == nil {
			core.SetPeers(others)
			go others.Run()
			defer others.Close()
		} else { // it is a help, and no reason to serve no clients
			slog.Warn("peers", "error", err)
		}
	}
	go core.Run(hosts, list)
	if x != nil {
		if err := x.Start(Parts{&c, core, hosts, counts, place.setTenants}); err != nil {
			return err
		}
		defer x.Close()
	}
	known := 0
	if from != nil {
		hosts.Inherit(from.Addresses)
		known = list.Inherit(from.List)
		core.Inherit(from.Core)
	}
	if known == 0 {
		known = list.Known(c.Known)
	}
	if x == nil || c.Discovery != noDiscovery {
		go list.Run()
	}
	go place.reload(hangups, counts)
	served := make(chan error, 1)
	serve := func() { served <- clients.Serve() }
	if old == nil {
		go serve()
	}
	// An empty list, or a silent discovery, is no reason to stay away for ever. But where lists come unasked, what the agent
	// has counts as told already.
	patience := firstNews
	if known > 0 {
		patience = time.Duration(c.Settings.Contract.DrainGrace) * time.Microsecond / 4
	}
	if known == 0 || !c.Settings.AskForList {
		select {
		case <-list.Tried():
		case <-time.After(patience):
		}
	}
	core.Sync()
	if old != nil {
		place.succeed(old)
		go serve() // not before: the old one still accepts
	}
	clients.SetReady()
	takes.Store(clients)
	go place.wait()
	slog.Info("main", "state", "ready", "name", c.Name, "listen", c.Listen, "known", known)
	select {
	case err := <-served:
		return err
	case s := <-signals:
		slog.Info("main", "state", "leaving", "signal", s, "in_hand", core.InHand())
	}
	place.leave()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = clients.Close(ctx)
	slog.Info("main", "state", "left", "in_hand", core.InHand())
	if err == context.DeadlineExceeded { // a connection that never sent a whole message
		return nil
	}
	return err
}

// times are the limits in time that the configuration sets for connections to hosts.
func times(c *config.Config) south.Times {
	return south.Times{DialTimeout: time.Duration(c.Settings.Allowed.DialTimeout) * time.Microsecond, ConnIdle: c.ConnIdle,
		Probe: c.Settings.Allowed.Probe}
}

// reload takes a replaced configuration at each SIGHUP, also while the program is leaving: its settings and its address
// of discovery, all or nothing. Addresses of our own, the name and the limits are those of the start.
func (s *succession) reload(hangups <-chan os.Signal, counts *figures.Figures) {
	now := s.c
	for range hangups {
		c, err := now.Reload(os.Getenv)
		if err != nil {
			counts.HangupsFailed.Add(1)
			slog.Warn("reload", "state", "kept", "error", err)
			continue
		}
		now = &c
		s.holds(&c.Settings)
		s.renewConfigured(c.Settings)
		s.hosts.SetTimes(times(now))
		s.list.Renew(inventory.TermsOf(&c.Settings))
		s.list.Move(c.Discovery)
		counts.HangupsTaken.Add(1)
		slog.Info("reload", "state", "taken", "discovery", c.Discovery, "classes", len(c.Settings.Classes))
	}
}

// renewConfigured brings the settings of the configuration into force, with the tenants that an extension has set.
func (s *succession) renewConfigured(configured topazfall.Settings) {
	s.renewing.Lock()
	defer s.renewing.Unlock()
	s.configured = configured
	s.renew()
}

func (s *succession) setTenants(tenants []topazfall.Tenant) {
	s.renewing.Lock()
	defer s.renewing.Unlock()
	if slices.Equal(s.tenants, tenants) {
		return
	}
	s.tenants = tenants
	s.renew()
}

// renew brings the settings into force; s.renewing is held.
func (s *succession) renew() {
	now := s.configured
	now.Tenants = slices.Clone(now.Tenants)
	for _, t := range s.tenants {
		if i := slices.IndexFunc(now.Tenants, func(o topazfall.Tenant) bool { return o.Name == t.Name }); i >= 0 {
			now.Tenants[i] = t
		} else {
			now.Tenants = append(now.Tenants, t)
		}
	}
	s.clients.Renew(&now, s.core.Renew(now)) // the core first: no class may come that it does not know
}

// serveOperators serves the second address. That it cannot be had now is no reason to serve no clients.
func serveOperators(addr string, ready func() bool, counts *figures.Figures) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		slog.Warn("manage", "listen", addr, "error", err)
	}
	go func() {
		for ; err != nil; ln, err = net.Listen("tcp", addr) {
			time.Sleep(again)
		}
		slog.Info("manage", "listen", addr)
		slog.Warn("manage", "state", "ended", "error", manage.Serve(ln, ready, counts))
	}()
}

// reserved are the descriptors of the log, the listeners, discovery, the runtime and the second address, for two
// processes, as when one replaces the other.
const reserved = 2 * (13 + manage.Places)

// bounds derives what may be open and in hand from the limits. Of the descriptors a quarter is for connections
// to hosts, the rest for what connects to us: two thirds of that for messages in hand, which is more than the
// third that clients need, one for call-backs. A connection that is read takes some 25 kB, so that a crowd of
// them may have less than half of the memory; a large request takes a quarter of a MiB, all a quarter of it.
func bounds(c *config.Config) (out int, in north.Options) {
	sockets, memory := max(c.Sockets-reserved, 8), c.MemoryMB
	if memory <= 0 {
		memory = 1 << 10 // as good as unlimited
	}
	conns := min(sockets*3/4, max(memory*16, 6))
	return sockets / 4, north.Options{Conns: conns, Messages: conns * 2 / 3, Large: memory}
}

// within keeps the runtime within the limit on memory, or a share of it: it cannot see that by itself.
func within(c *config.Config, share float64) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(int64(c.MemoryMB)<<20) * 3 / 4 * share))
	}
}
