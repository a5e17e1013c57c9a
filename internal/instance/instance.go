// Package instance assembles one dispatcher and runs it from its start to its end.
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

const closeTimeout = time.Second // for answers that are still being written when all messages have theirs

// NoDiscovery is the configured discovery address if hosts come from an extension alone.
const NoDiscovery = "none"

// Dependencies are the parts of a dispatcher that an extension uses.
type Dependencies struct {
	Config  *config.Config
	Core    *dispatch.Core
	Hosts   *upstream.Transport
	Metrics *metrics.Metrics
	// SetTenants adds tenants to the configured ones. A tenant in both has the settings given here.
	SetTenants func([]topazfall.Tenant)
	// Predecessor is the state of a StateKeeper in the process that this one replaces; nil if there is none.
	Predecessor []byte
}

// StateKeeper is an Extension with a state that a successor needs.
type StateKeeper interface {
	HandoverState() []byte
	// RestoreHandover takes a state that came too late to be among the Dependencies.
	RestoreHandover(state []byte) error
}

// DescriptorReserver is an Extension that needs file descriptors of its own. They are taken from the configured limit.
type DescriptorReserver interface{ Descriptors(name string) int }

// Extension is what an installation may add to a dispatcher. It is started before the first list arrives, and receives
// discovery's list updates in place of the core. It is closed when the dispatcher has left.
type Extension interface {
	discovery.ListReceiver
	Start(Dependencies) error
	Close()
}

// dispatcher holds the parts that Run assembles, phase by phase.
type dispatcher struct {
	config    config.Config
	extension Extension // nil for none
	metrics   *metrics.Metrics

	signals chan os.Signal // SIGTERM and SIGINT
	hangups chan os.Signal // SIGHUP

	core        *dispatch.Core
	transport   *upstream.Transport
	server      *frontend.Server
	watch       *discovery.Watch
	peers       *peers.Peers // nil if peer messages are off
	handover    *handover
	readyServer atomic.Pointer[frontend.Server] // server, once this process is ready

	listenSocket
	serveErr chan error // why Serve ended
}

// Run runs a dispatcher until it has left. extension may be nil.
//
// The order of its phases has these reasons:
//
//  1. catchSignals: before everything else, because an unhandled signal ends the program.
//  2. configure: the limits must apply to everything created later.
//  3. build: the core and the upstream (the workers' side), which need only the settings.
//  4. serveOperators: before acquireSocket, which may wait for the address. Until then the operators get "not ready".
//  5. acquireSocket: the listening socket, received from the predecessor with its state, or opened. All later phases
//     need it.
//  6. assemble: the frontend (the clients' side), discovery, handover and peers. None of them is active yet.
//  7. startCore: before any list update, which would block until the core runs. The extension receives list updates in
//     place of the core, so it is started here as well.
//  8. restoreKnown: the known list of workers. It must come before discovery's list, which is newer and continues from
//     its version.
//  9. startUpdates: discovery and reloads. Run before restoreKnown, their updates would be undone by older state.
//  10. serve, without a predecessor: from here on callbacks for an earlier process at this address are answered.
//  11. awaitFirstList: a wait before readiness, for a limited time.
//  12. replacePredecessor, with a predecessor: it accepts connections until it is notified that this process does, so
//     serve follows only then.
//  13. setReady: only now may a successor connect. Before, it would find a process that does not accept connections.
//  14. wait for the end, and leave.
func Run(extension Extension) error {
	d := &dispatcher{extension: extension, metrics: &metrics.Metrics{}, serveErr: make(chan error, 1)}
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
	if err := d.acquireSocket(); err != nil {
		return err
	}
	d.assemble()
	defer d.closePeers()
	if err := d.startCore(); err != nil {
		return err
	}
	defer d.closeExtension()
	known := d.restoreKnown()
	d.startUpdates()
	if d.predecessor == nil {
		go d.serve()
	}
	d.awaitFirstList(known)
	if d.predecessor != nil {
		if err := d.handover.replacePredecessor(d.predecessor); err != nil {
			return err
		}
		go d.serve()
	}
	d.setReady(known)
	select {
	case err := <-d.serveErr:
		return err
	case received := <-d.signals:
		slog.Info("main", "state", "leaving", "signal", received, "in_hand", d.core.InFlight())
	}
	return d.leave()
}

// catchSignals keeps signals from ending the program. An unhandled SIGHUP would end it and lose the messages in flight.
// Channels of capacity 1 are enough: a reload after the last signal reads the latest file.
func (d *dispatcher) catchSignals() {
	d.signals, d.hangups = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(d.signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(d.hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log line whose reader has ended would end the program too
}

// configure loads the configuration and sets the limits of the runtime.
func (d *dispatcher) configure() (err error) {
	if d.config, err = config.Load(os.Getenv); err != nil {
		return err
	}
	if d.config.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(d.config.Cores)), 1))
	}
	d.config.Sockets = descriptorLimit(d.config.Sockets)
	if r, ok := d.extension.(DescriptorReserver); ok {
		d.config.Sockets = max(d.config.Sockets-r.Descriptors(d.config.Name), 0)
	}
	setMemoryLimit(&d.config, 1)
	return nil
}

// build creates the core and the upstream transport.
func (d *dispatcher) build() (err error) {
	if d.core, err = dispatch.New(d.config.Settings, d.metrics); err != nil {
		return err
	}
	if d.config.MemoryMB > 0 {
		d.core.SetRanIDMemory(d.config.MemoryMB << 20 / ranIDShare)
	}
	conns, _ := deriveLimits(&d.config)
	d.transport = upstream.New(d.core, upstream.Options{ConnSettings: connSettings(&d.config), MaxConns: conns,
		Metrics: d.metrics, Seed: d.config.Settings.Seed})
	return nil
}

// acquireSocket gets the listening socket, and the predecessor's state if there is a predecessor.
func (d *dispatcher) acquireSocket() (err error) {
	path := takeover.SocketPath(d.config.Name, d.config.Listen)
	d.listenSocket, err = acquireSocket(path, d.config.Listen, d.signals)
	return err
}

// assemble creates the parts that need the listening socket.
func (d *dispatcher) assemble() {
	settings := &d.config.Settings
	_, serverLimits := deriveLimits(&d.config)
	serverLimits.Metrics = d.metrics
	d.server = frontend.New(d.listener, d.core, d.transport, settings, serverLimits)
	var receiver discovery.ListReceiver = d.core
	if d.extension != nil {
		receiver = d.extension
	}
	d.watch = discovery.New(d.config.Discovery, receiver, refreshSettings(&d.config))
	d.watch.SetHoldReceiver(d.core)
	d.handover = &handover{config: &d.config, socketPath: takeover.SocketPath(d.config.Name, d.config.Listen),
		listener: d.listener, core: d.core, transport: d.transport, server: d.server, watch: d.watch}
	d.watch.SetOtherProcesses(d.handover)
	d.handover.stateKeeper, _ = d.extension.(StateKeeper)
	d.handover.settings.configured = *settings
	d.handover.recordDeadlines(settings)
	d.server.SetCallbackForwarder(d.handover.forwardCallback)
	d.joinPeers()
}

// joinPeers starts the exchange of gossip messages with other dispatchers. The exchange is optional: clients are served
// without it if it cannot start.
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

// startCore starts the core and the extension.
func (d *dispatcher) startCore() error {
	go d.core.Run(d.transport, d.watch)
	if d.extension == nil {
		return nil
	}
	return d.extension.Start(Dependencies{&d.config, d.core, d.transport, d.metrics, d.handover.setTenants,
		d.extensionState()})
}

// extensionState returns the state of the predecessor's extension, or nil.
func (d *dispatcher) extensionState() []byte {
	if d.state == nil {
		return nil
	}
	return d.state.Extension
}

func (d *dispatcher) closeExtension() {
	if d.extension != nil {
		d.extension.Close()
	}
}

// restoreKnown restores the predecessor's state, or else loads the list of known workers from the configuration, and
// returns the number of known workers. The state of addresses is restored before the workers that have them, and the
// workers before the core's state about them.
func (d *dispatcher) restoreKnown() (known int) {
	if d.state != nil {
		d.transport.RestoreState(d.state.Addresses)
		d.core.RestoreAddressOwners(d.state.Core)
		known = d.watch.RestoreState(d.state.List)
		d.core.RestoreState(d.state.Core)
	}
	if known == 0 {
		known = d.watch.LoadKnown(d.config.KnownHosts)
	}
	if d.extension != nil && len(d.extensionState()) == 0 {
		// What the extension has saved may be older or newer than the known list. Changes alone would not tell.
		d.watch.RequestWholeList()
	}
	return known
}

// startUpdates starts the discovery watch and the reloads.
func (d *dispatcher) startUpdates() {
	if d.extension == nil || d.config.Discovery != NoDiscovery {
		go d.watch.Run()
	}
	go d.handover.reload(d.hangups, d.metrics)
	d.watchMemory()
}

func (d *dispatcher) serve() { d.serveErr <- d.server.Serve() }

// awaitFirstList waits for the first call to discovery to end, if that is useful, and until the core has applied the
// known list.
func (d *dispatcher) awaitFirstList(known int) {
	awaitFirst(d.watch.FirstCallDone(), firstListWait(&d.config.Settings, known))
	d.core.Sync()
}

// setReady reports this process as ready to clients and operators, and starts to accept successors.
func (d *dispatcher) setReady(known int) {
	d.server.SetReady()
	d.readyServer.Store(d.server)
	go d.handover.listenForSuccessors()
	slog.Info("main", "state", "ready", "name", d.config.Name, "listen", d.config.Listen, "known", known)
}

// ready reports whether this process accepts clients, for the operators.
func (d *dispatcher) ready() bool {
	server := d.readyServer.Load()
	return server != nil && server.IsReady()
}

// leave stops admitting messages and returns when all admitted ones have their answer.
func (d *dispatcher) leave() error {
	d.handover.leave()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := d.server.Close(ctx)
	slog.Info("main", "state", "left", "in_hand", d.core.InFlight())
	if errors.Is(err, context.DeadlineExceeded) { // a connection that never sent a whole message
		return nil
	}
	return err
}

// connSettings returns the configured settings for connections to hosts (workers).
func connSettings(c *config.Config) upstream.ConnSettings {
	return upstream.ConnSettings{DialTimeout: time.Duration(c.Settings.Allowed.DialTimeout) * time.Microsecond,
		IdleTimeout: c.ConnIdle, ProbeAllowed: c.Settings.Allowed.Probe}
}

// refreshSettings returns the configured settings for refreshing discovery's list.
func refreshSettings(c *config.Config) refresh.Settings {
	settings := discovery.RefreshSettings(&c.Settings)
	settings.HoldOnRefusal = c.HoldOnRefusal
	return settings
}

// reload applies the replaced configuration at each SIGHUP, even while the program is leaving: its settings and its
// discovery address, all or nothing. This process's own addresses, its name and its limits stay as they were at the
// start.
func (h *handover) reload(hangups <-chan os.Signal, counters *metrics.Metrics) {
	current := h.config
	for range hangups {
		next, err := current.Reload(os.Getenv)
		if err != nil {
			counters.ReloadsRejected.Add(1)
			slog.Warn("reload", "state", "kept", "error", err)
			continue
		}
		current = &next
		h.recordDeadlines(&next.Settings)
		h.applyConfigured(next.Settings)
		h.transport.SetConnSettings(connSettings(current))
		h.watch.UpdateSettings(refreshSettings(&next))
		h.watch.Move(next.Discovery)
		counters.ReloadsApplied.Add(1)
		slog.Info("reload", "state", "taken", "discovery", next.Discovery, "classes", len(next.Settings.Classes))
	}
}

// serveOperators serves the management address. If the address is not available yet, it tries again in the background
// while clients are served.
func serveOperators(addr string, ready func() bool, counters *metrics.Metrics) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		slog.Warn("manage", "listen", addr, "error", err)
	}
	go func() {
		for ; err != nil; ln, err = net.Listen("tcp", addr) {
			time.Sleep(retryInterval)
		}
		slog.Info("manage", "listen", addr)
		slog.Warn("manage", "state", "ended", "error", manage.Serve(ln, ready, counters))
	}()
}
