// Package agent is what other installations add to a dispatcher: settings by an API call, and DNS as a source of hosts.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"google.golang.org/protobuf/proto"

	"topazfall"
	"topazfall/internal/configsync"
	"topazfall/internal/control"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/sources"
	"topazfall/internal/dispatch"
	"topazfall/internal/hostlist"
	"topazfall/internal/instance"
	"topazfall/internal/settings"
	"topazfall/internal/snapshot"
	"topazfall/internal/srv"
)

const (
	kind      = "hosts"
	saveEvery = 2 * time.Second // at most, where something has changed
)

// Options say where the agent is found, and what it keeps.
type Options struct {
	Control string // unix:/absolute/path
	State   string // folder of the snapshots
	// Roster is who shares the settings; nil for an instance that has them for itself. Its name is the dispatcher's.
	Roster *configsync.Roster
	// Bootstrap says that the installation is new, so that an origin with an empty folder has forgotten nothing.
	Bootstrap bool
}

// Agent is an extension of a dispatcher.
type Agent struct {
	o      Options
	parts  instance.Parts
	list   *hostlist.List
	source *srv.Source
	store  *settings.Store
	server *control.Server
	shared *installation // nil without a roster
	stop   context.CancelFunc
	asked  *pb.Sources // as last configured; that goroutine's own
	wait   sync.WaitGroup

	mu    sync.Mutex
	names []string
	saved string
}

// New returns an agent; instance.Run starts it.
func New(o Options) *Agent { return &Agent{o: o} }

// Start opens what is saved, follows it, and serves the control API.
func (a *Agent) Start(p instance.Parts) error {
	a.parts = p
	store, fault, err := settings.Open(a.o.State)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if fault != nil {
		slog.Error("settings", "state", "older", "error", fault)
	}
	a.store = store
	if err := a.join(); err != nil {
		store.Close()
		return err
	}
	a.list = hostlist.New(p.Core)
	a.source = srv.New(a.list)
	now, readOnly := store.Now()
	if readOnly != "" {
		slog.Warn("settings", "state", "read-only", "reason", readOnly)
	}
	a.configure(now)
	a.remember()
	var ln net.Listener
	if ln, err = control.Listen(a.o.Control); err != nil {
		store.Close()
		a.source.Close()
		return err
	}
	served := control.Options{Store: store, Hosts: a.list}
	if a.shared != nil {
		served.Installation = a.shared
	}
	a.server = control.Serve(ln, served)
	slog.Info("control", "listen", a.o.Control, "revision", now.Number)
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	a.wait.Go(func() { a.follow(ctx, now.Number) })
	a.wait.Go(func() { a.keep(ctx) })
	if a.shared != nil {
		a.wait.Go(func() { a.share(ctx) })
	}
	return nil
}

// join makes this instance one of those on the roster, if there is one.
func (a *Agent) join() error {
	if a.o.Roster == nil {
		return nil
	}
	i := &installation{roster: a.o.Roster, store: a.store}
	var err error
	i.sync, err = configsync.New(configsync.Options{Name: a.parts.Config.Name, Roster: a.o.Roster, State: a.o.State,
		Bootstrap: a.o.Bootstrap, Target: i})
	if err != nil {
		return err
	}
	a.store.Manage()
	a.shared = i
	a.parts.Metrics.Extend(i.sync.WriteMetrics)
	return nil
}

// share takes part in the installation once no other process of this instance does, until the end. A process that is
// about to replace another follows what that one saves.
func (a *Agent) share(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.store.Owned():
	}
	a.shared.sync.Start()
	<-ctx.Done()
	a.shared.sync.Close()
}

// Descriptors are those that the connections to other instances need.
func (a *Agent) Descriptors(name string) int {
	if a.o.Roster == nil {
		return 0
	}
	return configsync.Descriptors(a.o.Roster, name)
}

// List takes the inventory's news.
func (a *Agent) List(kind topazfall.EventKind, entries []dispatch.Entry) { a.list.List(kind, entries) }

// Close ends it, and lets another process have what it keeps.
func (a *Agent) Close() {
	a.stop()
	a.server.Close()
	a.source.Close()
	a.wait.Wait()
	a.save()
	a.list.Close()
	a.store.Close()
}

// follow brings each revision into force.
func (a *Agent) follow(ctx context.Context, last uint64) {
	for {
		r, err := a.store.After(ctx, last)
		if err != nil && ctx.Err() == nil {
			r, _ = a.store.Now() // some were left out: the last is what counts
		} else if err != nil {
			return
		}
		a.configure(r)
		last = r.Number
		slog.Info("settings", "state", "in-force", "revision", r.Number)
	}
}

func (a *Agent) configure(r *pb.Revision) {
	e := settings.Effective(r.Settings)
	knobs, set := settings.Merge(e)
	var names []string
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	a.mu.Lock()
	a.names = names
	a.mu.Unlock()
	a.parts.SetTenants(settings.Teams(e))
	a.parts.Hosts.SetAddressLimits(settings.AddressLimits(e))
	if proto.Equal(a.asked, e.Sources) { // to ask anew for what has not changed would cost the resolvers
		return
	}
	a.asked = e.Sources
	a.list.Configure(knobs, set)
	s := e.Sources
	a.source.Configure(srv.Options{Resolvers: s.Resolvers, Timeout: s.Timeout.AsDuration(),
		Least: s.LeastLifetime.AsDuration(), Most: s.MostLifetime.AsDuration()}, names)
}

// record is a record as it is saved.
type record struct {
	Target    string   `json:"target"`
	Port      uint16   `json:"port"`
	Priority  uint16   `json:"priority"`
	Weight    uint16   `json:"weight"`
	Addresses []string `json:"addresses"`
}

func (a *Agent) path() string { return filepath.Join(a.o.State, "hosts.snapshot") }

// remember takes the hosts that were known before.
func (a *Agent) remember() {
	body, fault, err := snapshot.Read(a.path(), kind)
	if err != nil || fault != nil {
		slog.Error("sources", "state", "older", "fault", fault, "error", err)
	}
	var saved map[string][]record
	if body == nil || jsoniter.Unmarshal(body, &saved) != nil {
		return
	}
	for _, name := range a.names {
		var records []sources.Record
		for _, r := range saved[name] {
			list, _ := addresses.List(r.Addresses)
			records = append(records,
				sources.Record{Target: r.Target, Port: r.Port, Priority: r.Priority, Weight: r.Weight, Addresses: list})
		}
		if len(records) > 0 {
			slog.Warn("sources", "name", name, "state", "old", "hosts", len(records))
			a.list.Old(name, records)
		}
	}
}

// keep saves the hosts that DNS names, when they have changed.
func (a *Agent) keep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveEvery):
		}
		a.save()
	}
}

func (a *Agent) save() {
	if _, readOnly := a.store.Now(); readOnly != "" { // another process keeps them
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	saved := map[string][]record{}
	for _, name := range a.names {
		for _, r := range a.list.Known(name) {
			texts := make([]string, len(r.Addresses))
			for i, one := range r.Addresses {
				texts[i] = one.String()
			}
			saved[name] = append(saved[name], record{r.Target, r.Port, r.Priority, r.Weight, texts})
		}
	}
	api := jsoniter.ConfigCompatibleWithStandardLibrary // keys in order
	body, err := api.Marshal(saved)
	if err != nil || string(body) == a.saved || len(saved) == 0 && a.saved == "" {
		return
	}
	if err := snapshot.Write(a.path(), kind, body); err != nil {
		slog.Error("sources", "state", "unsaved", "error", err)
		return
	}
	a.saved = string(body)
}
