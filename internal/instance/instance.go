// Package instance wires one dispatcher together and runs it from its start to its end.
package instance

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/decide/refresh"
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/frontend"
	"topazfall/internal/manage"
	"topazfall/internal/metrics"
	"topazfall/internal/peers"
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
)

const closeTime = time.Second // for what is still being written when all has its answer

// noDiscovery is the address of discovery where hosts come from an extension alone.
const noDiscovery = "none"

// Parts are what an extension works with.
type Parts struct {
	Config  *config.Config
	Core    *dispatch.Core
	Hosts   *upstream.Side
	Metrics *metrics.Metrics
	// SetTenants brings tenants into force beside those of the configuration; one that is in both is as it is here.
	SetTenants func([]topazfall.Tenant)
}

// Reserver is an Extension that needs descriptors of its own, of those that the limits allow.
type Reserver interface{ Descriptors(name string) int }

// Extension is what other installations add to a dispatcher. It is started before the first list comes, and takes the
// inventory's news in the core's place; its end is asked for when the dispatcher has left.
type Extension interface {
	discovery.Lister
	Start(Parts) error
	Close()
}

// dispatcher is what Run puts together, phase by phase.
type dispatcher struct {
	config    config.Config
	extension Extension // nil for the bare one
	metrics   *metrics.Metrics

	signals chan os.Signal // SIGTERM and SIGINT
	hangups chan os.Signal // SIGHUP

	core    *dispatch.Core
	workers *upstream.Side
	clients *frontend.Side
	list    *discovery.Watch
	peers   *peers.Peers // nil where there are none
	place   *handover
	serving atomic.Pointer[frontend.Side] // clients, once the operators may see them

	entrance
	served chan error // why the accepting ended
}

// Run runs a dispatcher until it has left. x is nil for the bare one.
//
// Its phases come in this order, each for the reason given there:
//
//  1. catchSignals: before all else, as a signal that nobody waits for ends the program.
//  2. configure: the limits bind whatever is made after.
//  3. build: the core and the side of the workers, which need nothing but the settings.
//  4. serveOperators: before enter, which may wait for the address; until then the operators are told "not ready".
//  5. enter: the listening socket, from the predecessor with its state or anew. All that follows needs it.
//  6. assemble: the clients' side, discovery, the hand-over and the peers. None of them does anything yet.
//  7. startCore: before any news of workers, which would wait for it. The extension takes such news in the core's
//     place, and so is started here as well.
//  8. takeKnown: the list known before. It must come before discovery's, which is newer and goes on from its version.
//  9. follow: discovery and reloads, which would fall back behind what takeKnown brings.
//  10. serve, where there is no predecessor: call-backs for an earlier life of this process are answered from here on.
//  11. awaitList: what ready waits for, for a bounded time.
//  12. succeed, where there is a predecessor: it accepts until it is told that this process does, and serve comes
//     only after that.
//  13. setReady: and only now may a successor come, which would else find a process that does not accept.
//  14. wait for the end, and leave.
func Run(x Extension) error {
	d := &dispatcher{extension: x, metrics: &metrics.Metrics{}, served: make(chan error, 1)}
	d.catchSignals()
	if err := d.configure(); err != nil {
		return err
	}
	if err := d.build(); err != nil {
		return err
	}
	if d.config.Management != "" {
		serveOperators(d.config.Management, d.ready, d.metrics)
	}
	if err := d.enter(); err != nil {
		return err
	}
	d.assemble()
	defer d.closePeers()
	if err := d.startCore(); err != nil {
		return err
	}
	defer d.closeExtension()
	known := d.takeKnown()
	d.follow()
	if d.predecessor == nil {
		go d.serve()
	}
	d.awaitList(known)
	if d.predecessor != nil {
		if err := d.place.succeed(d.predecessor); err != nil {
			return err
		}
		go d.serve()
	}
	d.setReady(known)
	select {
	case err := <-d.served:
		return err
	case s := <-d.signals:
		slog.Info("main", "state", "leaving", "signal", s, "in_hand", d.core.InHand())
	}
	return d.leave()
}

// catchSignals keeps signals from ending the program. A SIGHUP that nobody waited for would, and what it has in hand
// would be lost. One place is enough: who reads the file after the last signal reads the latest.
func (d *dispatcher) catchSignals() {
	d.signals, d.hangups = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(d.signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(d.hangups, syscall.SIGHUP)
}

// configure reads the configuration, and sets the limits of the runtime.
func (d *dispatcher) configure() (err error) {
	if d.config, err = config.Load(os.Getenv); err != nil {
		return err
	}
	if d.config.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(d.config.Cores)), 1))
	}
	d.config.Sockets = withinSystem(d.config.Sockets)
	if r, ok := d.extension.(Reserver); ok {
		d.config.Sockets = max(d.config.Sockets-r.Descriptors(d.config.Name), 0)
	}
	within(&d.config, 1)
	return nil
}

// build makes the core and the side of the workers.
func (d *dispatcher) build() (err error) {
	if d.core, err = dispatch.New(d.config.Settings, d.metrics); err != nil {
		return err
	}
	conns, _ := bounds(&d.config)
	d.workers = upstream.New(d.core, upstream.Options{Times: times(&d.config), Conns: conns, Metrics: d.metrics,
		Seed: d.config.Settings.Seed})
	return nil
}

// enter gets the listening socket, and the predecessor's state with it if there is one.
func (d *dispatcher) enter() (err error) {
	path := takeover.Path(d.config.Name, d.config.Listen)
	d.entrance, err = enter(path, d.config.Listen, d.signals)
	return err
}

// assemble makes what needs the listening socket.
func (d *dispatcher) assemble() {
	settings := &d.config.Settings
	_, clients := bounds(&d.config)
	clients.Metrics = d.metrics
	d.clients = frontend.New(d.listener, d.core, d.workers, settings, clients)
	var news discovery.Lister = d.core
	if d.extension != nil {
		news = d.extension
	}
	d.list = discovery.New(d.config.Discovery, news, discoveryTerms(&d.config))
	d.list.SetHolder(d.core)
	d.place = &handover{config: &d.config, path: takeover.Path(d.config.Name, d.config.Listen), listener: d.listener,
		core: d.core, workers: d.workers, clients: d.clients, list: d.list}
	d.place.settings.configured = *settings
	d.place.holds(settings)
	d.clients.Others(d.place.tell)
	d.joinPeers()
}

// joinPeers opens the way to other dispatchers. It is a help: that it cannot be had is no reason to serve no clients.
func (d *dispatcher) joinPeers() {
	if d.config.PeerListen == "" || !d.config.Settings.Allowed.PeerMessages {
		return
	}
	addresses := peers.Addresses{Listen: d.config.PeerListen, Peers: d.config.Peers, All: d.config.PeersAll}
	others, err := peers.New(addresses, d.core)
	if err != nil {
		slog.Warn("peers", "error", err)
		return
	}
	d.peers = others
	d.core.SetPeers(others)
	go others.Run()
}

func (d *dispatcher) closePeers() {
	if d.peers != nil {
		d.peers.Close()
	}
}

// startCore starts the core, and the extension on it.
func (d *dispatcher) startCore() error {
	go d.core.Run(d.workers, d.list)
	if d.extension == nil {
		return nil
	}
	return d.extension.Start(Parts{&d.config, d.core, d.workers, d.metrics, d.place.setTenants})
}

func (d *dispatcher) closeExtension() {
	if d.extension != nil {
		d.extension.Close()
	}
}

// takeKnown takes what the predecessor knows, or the list that the configuration knows, and tells how many workers
// there are then. What is known of addresses comes before the workers that have them, and those before what the core
// says of them.
func (d *dispatcher) takeKnown() (known int) {
	if d.state != nil {
		d.workers.Inherit(d.state.Addresses)
		known = d.list.Inherit(d.state.List)
		d.core.Inherit(d.state.Core)
	}
	if known == 0 {
		known = d.list.Known(d.config.Known)
	}
	return known
}

// follow follows discovery, and takes reloads.
func (d *dispatcher) follow() {
	if d.extension == nil || d.config.Discovery != noDiscovery {
		go d.list.Run()
	}
	go d.place.reload(d.hangups, d.metrics)
}

func (d *dispatcher) serve() { d.served <- d.clients.Serve() }

// awaitList waits for the first call to discovery to end, where that is of use, and until the core has what is known.
func (d *dispatcher) awaitList(known int) {
	awaitFirst(d.list.Tried(), listPatience(&d.config.Settings, known))
	d.core.Sync()
}

// setReady lets clients and operators know that this process takes messages, and successors come.
func (d *dispatcher) setReady(known int) {
	d.clients.SetReady()
	d.serving.Store(d.clients)
	go d.place.wait()
	slog.Info("main", "state", "ready", "name", d.config.Name, "listen", d.config.Listen, "known", known)
}

// ready tells the operators whether clients are taken.
func (d *dispatcher) ready() bool {
	clients := d.serving.Load()
	return clients != nil && clients.Ready()
}

// leave ends the taking in, and returns when all that was taken has its answer.
func (d *dispatcher) leave() error {
	d.place.leave()
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	err := d.clients.Close(ctx)
	slog.Info("main", "state", "left", "in_hand", d.core.InHand())
	if errors.Is(err, context.DeadlineExceeded) { // a connection that never sent a whole message
		return nil
	}
	return err
}

// times are the limits in time that the configuration sets for connections to hosts.
func times(c *config.Config) upstream.Times {
	return upstream.Times{DialTimeout: time.Duration(c.Settings.Allowed.DialTimeout) * time.Microsecond,
		ConnIdle: c.ConnIdle, Probe: c.Settings.Allowed.Probe}
}

// discoveryTerms are what the configuration says of discovery.
func discoveryTerms(c *config.Config) refresh.Terms {
	terms := discovery.TermsOf(&c.Settings)
	terms.HoldOnRefusal = c.HoldOnRefusal
	return terms
}

// reload takes a replaced configuration at each SIGHUP, also while the program is leaving: its settings and its
// address of discovery, all or nothing. Addresses of our own, the name and the limits are those of the start.
func (h *handover) reload(hangups <-chan os.Signal, counts *metrics.Metrics) {
	now := h.config
	for range hangups {
		c, err := now.Reload(os.Getenv)
		if err != nil {
			counts.HangupsFailed.Add(1)
			slog.Warn("reload", "state", "kept", "error", err)
			continue
		}
		now = &c
		h.holds(&c.Settings)
		h.renewConfigured(c.Settings)
		h.workers.SetTimes(times(now))
		h.list.Renew(discoveryTerms(&c))
		h.list.Move(c.Discovery)
		counts.HangupsTaken.Add(1)
		slog.Info("reload", "state", "taken", "discovery", c.Discovery, "classes", len(c.Settings.Classes))
	}
}

// serveOperators serves the second address. That it cannot be had now is no reason to serve no clients.
func serveOperators(addr string, ready func() bool, counts *metrics.Metrics) {
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
