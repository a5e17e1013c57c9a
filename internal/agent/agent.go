// Package agent extends a dispatcher (the load balancer of one instance) with settings that change by API call, and
// with DNS as a source of hosts (workers as the network code knows them).
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
	"topazfall/internal/withdrawn"
)

const (
	snapshotKind = "hosts"         // in the head line of the snapshot
	saveInterval = 2 * time.Second // shortest time between two saves of changed hosts
)

// Options configures an Agent.
type Options struct {
	Control string // address of the control API, unix:/absolute/path
	State   string // folder of the snapshots
	// Roster lists the instances that share the settings; nil for an instance that does not share them. The instance's
	// name on the roster is the name of the dispatcher.
	Roster *configsync.Roster
	// Bootstrap is set for a new installation: an origin with an empty state folder has lost no state and may vote.
	Bootstrap bool
}

// Agent is the extension of a dispatcher that instance.Run starts and closes.
type Agent struct {
	options           Options
	dependencies      instance.Dependencies
	hostList          *hostlist.List
	dnsSource         *srv.Source
	store             *settings.Store
	withdrawn         *withdrawn.File
	server            *control.Server
	installation      *installation // nil without a roster
	cancel            context.CancelFunc
	configuredSources *pb.Sources // as last configured; used by Start and then by followSettings only
	wg                sync.WaitGroup

	mu         sync.Mutex
	srvNames   []string
	savedHosts string
}

// New returns an agent, which instance.Run starts.
func New(o Options) *Agent { return &Agent{options: o} }

// Start loads and applies the saved settings and hosts, follows new revisions, and serves the control API.
func (a *Agent) Start(p instance.Dependencies) error {
	a.dependencies = p
	store, fault, err := settings.Open(a.options.State)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if fault != nil {
		slog.Error("settings", "state", "older", "error", fault)
	}
	a.store = store
	if err := a.joinInstallation(); err != nil {
		store.Close()
		return err
	}
	a.hostList = hostlist.New(p.Core)
	a.dnsSource = srv.New(a.hostList)
	current, readOnly := store.Current()
	if readOnly != "" {
		slog.Warn("settings", "state", "read-only", "reason", readOnly)
	}
	a.restoreWithdrawals(p.Predecessor)
	a.configure(current)
	a.restoreHosts()
	var listener net.Listener
	if listener, err = control.Listen(a.options.Control); err != nil {
		store.Close()
		a.dnsSource.Close()
		return err
	}
	serverOptions := control.Options{Store: store, Hosts: a.hostList}
	if a.installation != nil {
		serverOptions.Installation = a.installation
	}
	a.server = control.Serve(listener, serverOptions)
	slog.Info("control", "listen", a.options.Control, "revision", current.Number)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.wg.Go(func() { a.followSettings(ctx, current.Number) })
	a.wg.Go(func() { a.saveHostsPeriodically(ctx) })
	a.wg.Go(func() { a.saveWithdrawals(ctx) })
	if a.installation != nil {
		a.wg.Go(func() { a.runInstallation(ctx) })
	}
	return nil
}

// joinInstallation makes this instance a member of the installation, if there is a roster.
func (a *Agent) joinInstallation() error {
	if a.options.Roster == nil {
		return nil
	}
	i := &installation{roster: a.options.Roster, store: a.store}
	var err error
	i.sync, err = configsync.New(configsync.Options{Name: a.dependencies.Config.Name, Roster: a.options.Roster,
		State: a.options.State, Bootstrap: a.options.Bootstrap, Target: i})
	if err != nil {
		return err
	}
	a.store.SetManaged()
	a.installation = i
	a.dependencies.Metrics.AddWriter(i.sync.WriteMetrics)
	return nil
}

// runInstallation participates in the installation until the context ends. It starts once no other process of this
// instance participates: until then, a process that is to replace another one reads the revisions that the other saves.
func (a *Agent) runInstallation(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.store.LockAcquired():
	}
	a.installation.sync.Start()
	<-ctx.Done()
	a.installation.sync.Close()
}

// Descriptors returns how many file descriptors the connections to other instances need.
func (a *Agent) Descriptors(name string) int {
	if a.options.Roster == nil {
		return 0
	}
	return configsync.Descriptors(a.options.Roster, name)
}

// ApplyList applies a list or a change of the list from discovery.
func (a *Agent) ApplyList(kind topazfall.EventKind, entries []dispatch.Entry) {
	a.hostList.ApplyList(kind, entries)
}

// Close stops the agent, saves the hosts and releases the state folder for another process.
func (a *Agent) Close() {
	a.cancel()
	a.server.Close()
	a.dnsSource.Close()
	a.wg.Wait()
	a.saveHosts()
	a.saveLastWithdrawals()
	a.hostList.Close()
	a.store.Close()
}

// followSettings applies each revision of the settings after the one numbered last, until ctx ends.
func (a *Agent) followSettings(ctx context.Context, last uint64) {
	for {
		r, err := a.store.NextAfter(ctx, last)
		if err != nil && ctx.Err() == nil {
			r, _ = a.store.Current() // revisions are missing in between: continue with the last one
		} else if err != nil {
			return
		}
		a.configure(r)
		last = r.Number
		slog.Info("settings", "state", "in-force", "revision", r.Number)
	}
}

// configure applies the settings of a revision.
func (a *Agent) configure(r *pb.Revision) {
	effective := settings.Effective(r.Settings)
	mergeSettings, nameSettings := settings.MergeSettings(effective)
	var names []string
	for name := range nameSettings {
		names = append(names, name)
	}
	slices.Sort(names)
	a.mu.Lock()
	a.srvNames = names
	a.mu.Unlock()
	a.dependencies.SetTenants(settings.Tenants(effective))
	a.dependencies.Hosts.SetAddressLimits(settings.AddressLimits(effective))
	if proto.Equal(a.configuredSources, effective.Sources) { // avoids querying unchanged names again
		return
	}
	a.configuredSources = effective.Sources
	a.hostList.Configure(mergeSettings, nameSettings)
	s := effective.Sources
	a.dnsSource.Configure(srv.Options{Resolvers: s.Resolvers, Timeout: s.Timeout.AsDuration(),
		MinLifetime: s.LeastLifetime.AsDuration(), MaxLifetime: s.MostLifetime.AsDuration()}, names)
}

// savedRecord is the saved form of an SRV record with its addresses.
type savedRecord struct {
	Target    string   `json:"target"`
	Port      uint16   `json:"port"`
	Priority  uint16   `json:"priority"`
	Weight    uint16   `json:"weight"`
	Addresses []string `json:"addresses"`
}

func (a *Agent) hostsPath() string { return filepath.Join(a.options.State, "hosts.snapshot") }

// restoreHosts restores the hosts that an earlier process saved.
func (a *Agent) restoreHosts() {
	body, fault, err := snapshot.Read(a.hostsPath(), snapshotKind)
	if err != nil || fault != nil {
		slog.Error("sources", "state", "older", "fault", fault, "error", err)
	}
	var saved map[string][]savedRecord
	if body == nil || jsoniter.Unmarshal(body, &saved) != nil {
		return
	}
	for _, name := range a.srvNames {
		var records []sources.Record
		for _, r := range saved[name] {
			list, _ := addresses.ParseList(r.Addresses)
			records = append(records,
				sources.Record{Target: r.Target, Port: r.Port, Priority: r.Priority, Weight: r.Weight, Addresses: list})
		}
		if len(records) > 0 {
			slog.Warn("sources", "name", name, "state", "old", "hosts", len(records))
			a.hostList.RestoreRecords(name, records)
		}
	}
}

// saveHostsPeriodically saves the hosts that DNS lists, if they have changed, every saveInterval.
func (a *Agent) saveHostsPeriodically(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveInterval):
		}
		a.saveHosts()
	}
}

// saveHosts saves the hosts that DNS lists, if they have changed since the last save.
func (a *Agent) saveHosts() {
	if _, readOnly := a.store.Current(); readOnly != "" { // another process owns the folder
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	saved := map[string][]savedRecord{}
	for _, name := range a.srvNames {
		for _, r := range a.hostList.KnownRecords(name) {
			texts := make([]string, len(r.Addresses))
			for i, address := range r.Addresses {
				texts[i] = address.String()
			}
			saved[name] = append(saved[name], savedRecord{r.Target, r.Port, r.Priority, r.Weight, texts})
		}
	}
	api := jsoniter.ConfigCompatibleWithStandardLibrary // sorts the keys
	body, err := api.Marshal(saved)
	if err != nil || string(body) == a.savedHosts || len(saved) == 0 && a.savedHosts == "" {
		return
	}
	if err := snapshot.Write(a.hostsPath(), snapshotKind, body); err != nil {
		slog.Error("sources", "state", "unsaved", "error", err)
		return
	}
	a.savedHosts = string(body)
}
