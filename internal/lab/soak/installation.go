package soak

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
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
	idleLimit  = 2 * time.Second // of connections to workers
	drainGrace = 500 * time.Millisecond
	onAddress  = 0 // the one address of a worker
)

// installation is what a run is played on.
type installation struct {
	plan    Plan
	list    *discoveryserver.Server
	doors   [2]*discoveryserver.Endpoint // the addresses of discovery
	workers []*host.Host
	rig     *rig.Rig
	members []*member
	crowd   *client.IdleClients
	unused  int // goroutines of a dispatcher that nobody has used

	mu      sync.Mutex
	history History
}

// member is a dispatcher of the installation.
type member struct {
	*installation
	index     int
	name      string
	acting    sync.Mutex // held by who does something to its processes
	idle      int        // descriptors of a process that nobody uses
	lives     map[*program.Process]*ProcessRecord
	mu        sync.Mutex
	closedFor time.Time // from when on no new connections come, until the next process is ready; zero for none
}

// start starts discovery, workers and dispatchers of a plan.
func start(ctx context.Context, o Options, p Plan, dir string) (*installation, error) {
	i := &installation{plan: p}
	if err := i.prepare(o, dir); err != nil {
		i.close()
		return nil, err
	}
	return i, ctx.Err()
}

func (i *installation) prepare(o Options, dir string) (err error) {
	if i.list, err = discoveryserver.Start(); err != nil {
		return err
	}
	i.list.SetFullLists(i.plan.FullLists)
	for k := range i.doors {
		if i.doors[k], err = i.list.AddEndpoint(); err != nil {
			return err
		}
	}
	for k, work := range i.plan.WorkTimes {
		h, err := host.Start(host.Options{Name: workerName(k), SocketDir: dir, JobDuration: work}, i.callBack, "127.0.0.1:0")
		if err != nil {
			return err
		}
		i.workers = append(i.workers, h)
		i.listed(k, "up", time.Time{})
	}
	var names []string
	for k := range i.plan.Processes {
		names = append(names, processName(k))
	}
	i.history.Terms = i.rules()
	if i.unused, err = i.countUnused(o, dir); err != nil {
		return err
	}
	began := time.Now()
	i.rig, err = rig.Start(rig.Options{Program: i.program(o), Dir: dir, Names: names, Seed: i.plan.Seed,
		Args: func(rig.Member) ([]string, error) { return nil, nil }})
	if err != nil {
		return err
	}
	for k, name := range names {
		m := &member{installation: i, index: k, name: name, lives: map[*program.Process]*ProcessRecord{}}
		p := i.rig.Process(name)
		m.lives[p] = &ProcessRecord{Process: name, Started: began, Ready: time.Now()}
		if m.idle, err = p.OpenDescriptors(); err != nil {
			return err
		}
		i.members = append(i.members, m)
	}
	if i.plan.IdleClients > 0 {
		i.crowd = client.StartIdleClients(i.rig.Process(names[0]).Address(), i.plan.IdleClients)
	}
	return nil
}

// rules are the terms that the plan's settings make.
func (i *installation) rules() Terms {
	r := Terms{DrainGrace: drainGrace, Subscribe: i.plan.Subscribe}
	for _, name := range program.Classes {
		class := Class{Name: name}
		if program.IsAtMostOnce(name) {
			class.Repeat = AtMostOnce
		}
		r.Classes = append(r.Classes, class)
	}
	if i.plan.KeyWindow > 0 {
		r.Classes[1].Repeat, r.Classes[1].Window = Keyed, i.plan.KeyWindow
	}
	return r
}

// program says how the dispatchers are started.
func (i *installation) program(o Options) program.Options {
	return program.Options{ProgramPath: o.ProgramPath, Env: o.Env, Discovery: i.doors[0].Address(), MaxSockets: i.plan.MaxSockets,
		IdleTimeout: idleLimit, Deadline: i.plan.Deadline, Subscribe: i.plan.Subscribe, EditConfig: i.configure}
}

// configure gives a dispatcher its place among the others, and the keyed class.
func (i *installation) configure(config map[string]any) {
	settings := config["settings"].(map[string]any)
	settings["replicas_of_me"] = i.plan.Processes
	for k := range i.plan.Processes {
		if config["name"] == processName(k) {
			settings["me"] = k
			config["seed"] = fmt.Sprint(i.plan.Seed + uint64(k))
		}
	}
	if class := settings["classes"].([]any)[1].(map[string]any); i.plan.KeyWindow > 0 {
		class["repeat"], class["group"], class["window_us"] = "dedup", "all", i.plan.KeyWindow.Microseconds()
	}
}

// callBack brings a call-back to the dispatcher whose client gave the id.
func (i *installation) callBack(body []byte) error {
	name, _, ok := strings.Cut(jsoniter.Get(body, "id").ToString(), "-")
	if !ok || i.rig == nil {
		return errors.New("an id of no dispatcher")
	}
	p := i.rig.Process(name)
	if p == nil {
		return errors.New("no such dispatcher")
	}
	return p.SendCallback(body)
}

// listed lists a worker in a state of health, with the time of its last start, and notes what that means for it.
func (i *installation) listed(worker int, health string, born time.Time) {
	h, millis := i.workers[worker], int64(0)
	if !born.IsZero() {
		millis = born.UnixMilli()
	}
	i.note(func(now time.Time) {
		i.history.WorkerUpdates = append(i.history.WorkerUpdates, WorkerUpdate{At: now, Worker: h.Name(), AcceptsWork: health == "up"})
	})
	i.list.Update(discoveryserver.Entry{Host: h.Name(), Dial: h.Addresses()[onAddress], Site: "hall-a", Class: "small",
		Share: 1, Health: health, StartedMillis: millis})
}

// note changes the history.
func (i *installation) note(change func(now time.Time)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(time.Now())
}

// close ends all that was started.
func (i *installation) close() {
	if i.crowd != nil {
		i.crowd.Stop()
	}
	if i.rig != nil {
		i.rig.Close()
	}
	for _, h := range i.workers {
		h.Close()
	}
	for _, d := range i.doors {
		if d != nil {
			d.Close()
		}
	}
	if i.list != nil {
		i.list.Close()
	}
}

// keepLogs writes what the dispatchers have logged into a folder.
func (i *installation) keepLogs(dir string) error {
	var faults []error
	for _, name := range i.rig.Names() {
		path := filepath.Join(dir, fmt.Sprintf("seed-%d-%s.log", i.plan.Seed, name))
		faults = append(faults, writeFile(path, i.rig.Log(name)))
	}
	return errors.Join(faults...)
}
