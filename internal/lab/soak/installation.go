package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
	"topazfall/internal/lab/rig"
)

const (
	idleTimeout   = 2 * time.Second // after which connections to workers are closed
	drainGrace    = 500 * time.Millisecond
	workerAddress = 0 // index of a worker's only address
)

// installation holds the processes and servers of a run: discovery, workers and dispatchers.
type installation struct {
	plan             Plan
	discovery        *discoveryserver.Server
	endpoints        []endpoints // of the dispatchers
	workers          []*host.Host
	rig              *rig.Rig
	members          []*member
	idleClients      *client.IdleClients
	unusedGoroutines int // goroutines of a dispatcher that was never used

	mu      sync.Mutex
	history History
}

// member is one dispatcher of the installation, with its current and earlier processes.
type member struct {
	*installation
	index             int
	name              string
	stepMutex         sync.Mutex // held while a step acts on its processes
	unusedDescriptors int        // open descriptors of a process that was never used
	processes         map[*program.Process]*ProcessRecord
	mu                sync.Mutex
	// connectableUntil is the time after which clients open no new connections, until the next process is ready. Zero
	// means no limit.
	connectableUntil time.Time
}

// startInstallation starts the discovery server, workers and dispatchers of a plan.
func startInstallation(ctx context.Context, o Options, p Plan, dir string) (*installation, error) {
	inst := &installation{plan: p}
	if err := inst.prepare(o, dir); err != nil {
		inst.close()
		return nil, err
	}
	return inst, ctx.Err()
}

func (inst *installation) prepare(o Options, dir string) (err error) {
	if inst.discovery, err = discoveryserver.Start(); err != nil {
		return err
	}
	inst.discovery.SetFullLists(inst.plan.FullLists)
	inst.discovery.RecordReceipts()
	if err = inst.openEndpoints(); err != nil {
		return err
	}
	for k, work := range inst.plan.WorkTimes {
		// On an IP of its own: a port that it gives up for a while must not go to another run's worker.
		h, err := host.Start(host.Options{Name: workerName(k), SocketDir: dir, JobDuration: work},
			inst.forwardCallback, program.FreeIP()+":0")
		if err != nil {
			return err
		}
		inst.workers = append(inst.workers, h)
		inst.setWorkerHealth(k, "up", time.Time{})
	}
	inst.listFirstRelease()
	var names []string
	for k := range inst.plan.Processes {
		names = append(names, processName(k))
	}
	inst.history.Terms = inst.terms()
	if inst.unusedGoroutines, err = inst.countUnusedGoroutines(o, dir); err != nil {
		return err
	}
	began := time.Now()
	inst.rig, err = rig.Start(rig.Options{Program: inst.programOptions(o), Dir: dir, Names: names, Seed: inst.plan.Seed,
		Args: func(rig.Member) ([]string, error) { return nil, nil }})
	if err != nil {
		return err
	}
	for k, name := range names {
		m := &member{installation: inst, index: k, name: name, processes: map[*program.Process]*ProcessRecord{}}
		p := inst.rig.Process(name)
		m.processes[p] = &ProcessRecord{Process: name, Started: began, Ready: time.Now()}
		if m.unusedDescriptors, err = p.OpenDescriptors(); err != nil {
			return err
		}
		inst.members = append(inst.members, m)
	}
	if inst.plan.IdleClients > 0 {
		inst.idleClients = client.StartIdleClients(inst.rig.Process(names[0]).Address(), inst.plan.IdleClients)
	}
	return nil
}

// terms returns the terms that follow from the plan.
func (inst *installation) terms() Terms {
	t := Terms{DrainGrace: drainGrace, Subscribe: inst.plan.Subscribe, MemoryMB: inst.plan.Deploys.MemoryMB}
	for _, name := range program.Classes {
		class := Class{Name: name}
		if program.IsAtMostOnce(name) {
			class.Repeat = AtMostOnce
		}
		t.Classes = append(t.Classes, class)
	}
	if inst.plan.KeyWindow > 0 {
		t.Classes[1].Repeat, t.Classes[1].Window = Keyed, inst.plan.KeyWindow
	}
	return t
}

// programOptions returns the options that the dispatchers are started with.
func (inst *installation) programOptions(o Options) program.Options {
	return program.Options{ProgramPath: o.ProgramPath, Env: o.Env, Discovery: inst.endpoints[0][0].Address(),
		MaxSockets: inst.plan.MaxSockets, MemoryMB: inst.plan.Deploys.MemoryMB, IdleTimeout: idleTimeout,
		Deadline: inst.plan.Deadline, Subscribe: inst.plan.Subscribe, EditConfig: inst.configure}
}

// configure sets a dispatcher's index, the number of dispatchers, its seed and the keyed class.
func (inst *installation) configure(config map[string]any) {
	settings := config["settings"].(map[string]any)
	settings["replicas_of_me"] = inst.plan.Dispatchers
	for k := range inst.plan.Processes {
		if config["name"] == processName(k) {
			settings["me"] = k
			config["discovery"] = inst.endpoints[k][0].Address()
			config["seed"] = fmt.Sprint(inst.plan.Seed + uint64(k))
		}
	}
	if class := settings["classes"].([]any)[1].(map[string]any); inst.plan.KeyWindow > 0 {
		class["repeat"], class["group"], class["window_us"] = "dedup", "all", inst.plan.KeyWindow.Microseconds()
	}
}

// forwardCallback sends a worker's callback to the dispatcher that is named in the request id.
func (inst *installation) forwardCallback(body []byte) error {
	name, _, ok := strings.Cut(jsoniter.Get(body, "id").ToString(), "-")
	if !ok || inst.rig == nil {
		return errors.New("the request id does not name a dispatcher")
	}
	p := inst.rig.Process(name)
	if p == nil {
		fmt.Fprintf(os.Stderr, "seed %d: a request is of no dispatcher of this run: %s\n", inst.plan.Seed, body)
		return errors.New("no such dispatcher")
	}
	return p.SendCallback(body)
}

// setWorkerHealth publishes a worker's health and start time through discovery, and records whether it accepts work
// from then on.
func (inst *installation) setWorkerHealth(worker int, health string, startedAt time.Time) {
	h, millis, at := inst.workers[worker], int64(0), time.Now()
	if !startedAt.IsZero() {
		millis = startedAt.UnixMilli()
	}
	version := inst.discovery.Update(discoveryserver.Entry{Host: h.Name(), Dial: h.Addresses()[workerAddress],
		Site: "hall-a", Class: "small", Share: 1, Health: health, StartedMillis: millis})
	inst.record(func(time.Time) {
		inst.history.WorkerUpdates = append(inst.history.WorkerUpdates,
			WorkerUpdate{At: at, Worker: h.Name(), AcceptsWork: health == "up", Version: version})
	})
}

// endpoints are the addresses of discovery for one dispatcher, between which it moves. No other dispatcher calls them.
type endpoints [2]*discoveryserver.Endpoint

// openEndpoints opens the endpoints of all dispatchers.
func (inst *installation) openEndpoints() error {
	for range inst.plan.Processes {
		var pair endpoints
		for k := range pair {
			endpoint, err := inst.discovery.AddEndpoint()
			if err != nil {
				return err
			}
			pair[k] = endpoint
		}
		inst.endpoints = append(inst.endpoints, pair)
	}
	return nil
}

// told returns what discovery has told the dispatchers.
func (inst *installation) told() (told []Told) {
	names := map[string]string{}
	for k, pair := range inst.endpoints {
		for _, endpoint := range pair {
			names[endpoint.Address()] = processName(k)
		}
	}
	for _, receipt := range inst.discovery.Receipts() {
		told = append(told, Told{names[receipt.Endpoint], receipt.Version, receipt.At})
	}
	slices.SortFunc(told, func(s, t Told) int { return s.At.Compare(t.At) })
	return told
}

// record changes the history under its lock.
func (inst *installation) record(change func(now time.Time)) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	change(time.Now())
}

// close stops everything that was started.
func (inst *installation) close() {
	if inst.idleClients != nil {
		inst.idleClients.Stop()
	}
	if inst.rig != nil {
		inst.rig.Close()
	}
	for _, h := range inst.workers {
		h.Close()
	}
	for _, pair := range inst.endpoints {
		for _, endpoint := range pair {
			endpoint.Close()
		}
	}
	if inst.discovery != nil {
		inst.discovery.Close()
	}
}

// writeLogs writes the logs of the dispatchers to a folder, one file for each.
func (inst *installation) writeLogs(dir string) error {
	var errs []error
	for _, name := range inst.rig.Names() {
		path := filepath.Join(dir, fmt.Sprintf("seed-%d-%s.log", inst.plan.Seed, name))
		errs = append(errs, writeFile(path, inst.rig.Log(name)))
	}
	return errors.Join(errs...)
}
