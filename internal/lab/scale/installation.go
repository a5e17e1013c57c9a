package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// Setup describes an installation.
type Setup struct {
	Workers     int
	Dispatchers int // that share the fleet according to the settings; those not started cause no traffic
	Real        int // processes of the program
	Simulated   int // simulated dispatchers
	PerProcess  int // simulated dispatchers in one process
	Teams       int
	LiveWeights bool
	Draining    bool // all workers are listed as draining: dispatchers hold the list, but send no requests
}

// Programs are the programs that an installation is started from.
type Programs struct {
	Dispatcher       string   // path of the program
	SimulatedCommand []string // command that calls ServeSimulated
}

const (
	regions        = 4
	zonesPerRegion = 3                // in each region
	workerCores    = 4                // of a worker, which are its weight
	workersPerRack = 16               // consecutive ones on the list
	loadTimeout    = 60 * time.Second // within which all dispatchers must have loaded the list
	settleTime     = 1 * time.Second  // after which the work that loading left behind counts as finished
	pollInterval   = 20 * time.Millisecond
)

// Installation is a set of real and simulated dispatchers that share one discovery server, all on this machine.
type Installation struct {
	setup              Setup
	dir                string
	discovery          *discoveryserver.Server
	endpoints          map[dispatcherKind][]*discoveryserver.Endpoint // by region
	realProcesses      []*program.Process
	simulatedProcesses []*simulatedProcess
	gossip             *gossipSource
	entries            []discoveryserver.Entry
	random             *rand.Rand
}

// dispatcherKind distinguishes real dispatchers from simulated ones. Its values are the sources of series in reports.
type dispatcherKind string

const (
	realKind      dispatcherKind = "real"
	simulatedKind dispatcherKind = "hollow"
)

// Fleet returns a list of workers that are spread evenly over regions and zones; consecutive ones share a rack.
func Fleet(workers int, now time.Time) []discoveryserver.Entry {
	list := make([]discoveryserver.Entry, workers)
	for i := range list {
		region, zone := i%regions, i/regions%zonesPerRegion
		list[i] = discoveryserver.Entry{Host: fmt.Sprintf("worker-%05d.region-%d", i, region),
			Dial: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Site: fmt.Sprintf("region-%d%c",
				region, 'a'+rune(zone)),
			Class: "small", Block: i / workersPerRack, Health: "up", Share: workerCores,
			StartedMillis: now.Add(-time.Hour).UnixMilli()}
	}
	return list
}

// zoneNames returns the zones of a Fleet.
func zoneNames() (names []string) {
	for region := range regions {
		for zone := range zonesPerRegion {
			names = append(names, fmt.Sprintf("region-%d%c", region, 'a'+rune(zone)))
		}
	}
	return names
}

// Teams returns n teams with quotas, in the form of the configuration.
func Teams(n int) (list []any) {
	for i := range n {
		list = append(list, map[string]any{"name": fmt.Sprintf("team-%03d", i), "share": 1 / float64(n),
			"quota_per_s": 5})
	}
	return list
}

// configure changes the program's settings object for dispatcher number of the installation.
func (s Setup) configure(settings map[string]any, number int) {
	settings["me"], settings["replicas_of_me"] = number, s.Dispatchers
	settings["areas"], settings["my_zone"] = zoneNames(), zoneNames()[number%regions*zonesPerRegion]
	settings["realms"] = Teams(s.Teams)
	settings["allowed"].(map[string]any)["peer_messages"] = true
	if settings["weight_kind"] = "nominal"; s.LiveWeights {
		settings["weight_kind"] = "live"
	}
}

// Start starts an installation and waits until all dispatchers have loaded the list.
func Start(ctx context.Context, programs Programs, setup Setup, seed uint64) (in *Installation, err error) {
	in = &Installation{setup: setup, random: rand.New(rand.NewPCG(seed, uint64(setup.Workers))),
		entries:   Fleet(setup.Workers, time.Now()),
		endpoints: map[dispatcherKind][]*discoveryserver.Endpoint{}}
	defer func() {
		if err != nil {
			in.Close()
		}
	}()
	if in.dir, err = os.MkdirTemp("", "topazlab-scale"); err != nil {
		return nil, err
	}
	if in.discovery, err = discoveryserver.Start(); err != nil {
		return nil, err
	}
	if setup.Draining {
		for i := range in.entries {
			in.entries[i].Health = "draining"
		}
	}
	in.discovery.Update(in.entries...)
	for _, kind := range []dispatcherKind{realKind, simulatedKind} {
		for range regions {
			endpoint, err := in.discovery.AddEndpoint()
			if err != nil {
				return nil, err
			}
			in.endpoints[kind] = append(in.endpoints[kind], endpoint)
		}
	}
	if in.gossip, err = newGossipSource(); err != nil {
		return nil, err
	}
	for i := range setup.Real {
		if err := in.startReal(programs.Dispatcher, i); err != nil {
			return nil, err
		}
	}
	for first := setup.Real; first < setup.Real+setup.Simulated; first += setup.PerProcess {
		if err := in.startSimulated(programs.SimulatedCommand, first, min(setup.PerProcess,
			setup.Real+setup.Simulated-first)); err != nil {
			return nil, err
		}
	}
	if err := in.AwaitWorkers(ctx, setup.Workers, loadTimeout); err != nil {
		return nil, err
	}
	return in, sleep(ctx, settleTime)
}

// gossipAddress returns the address at which a dispatcher listens for gossip messages. It differs for each dispatcher
// and also depends on the id of this process.
func gossipAddress(number int) string {
	return fmt.Sprintf("127.%d.%d.%d:7946", 128+os.Getpid()%120, number/250, number%250+1)
}

// startReal starts a process of the program as dispatcher number.
func (in *Installation) startReal(path string, number int) error {
	listen := gossipAddress(number)
	p, err := program.Start(program.Options{ProgramPath: path, Dir: in.dir, Name: fmt.Sprintf("n%d", number),
		Discovery: in.endpoints[realKind][number%regions].Address(), EditConfig: func(config map[string]any) {
			in.setup.configure(config["settings"].(map[string]any), number)
			config["peer_listen"], config["peers"], config["peers_all"] = listen, []string{in.gossip.address()},
				in.gossip.address()
		}})
	if err != nil {
		return err
	}
	in.realProcesses = append(in.realProcesses, p)
	in.gossip.targets = append(in.gossip.targets, netip.MustParseAddrPort(listen))
	return nil
}

// startSimulated starts a process with count simulated dispatchers, the first of which has the number first.
func (in *Installation) startSimulated(command []string, first, count int) error {
	settings := program.Settings(program.Options{})
	in.setup.configure(settings, first)
	text, err := jsoniter.Marshal(settings)
	if err != nil {
		return err
	}
	spec := SimulatedSpec{Settings: text, GossipSource: in.gossip.address()}
	for number := first; number < first+count; number++ {
		listen := gossipAddress(number)
		spec.Dispatchers = append(spec.Dispatchers, SimulatedDispatcherSpec{Number: number, Listen: listen,
			Discovery: in.endpoints[simulatedKind][number%regions].Address()})
		in.gossip.targets = append(in.gossip.targets, netip.MustParseAddrPort(listen))
	}
	p, err := startSimulatedProcess(command, spec)
	if err != nil {
		return err
	}
	in.simulatedProcesses = append(in.simulatedProcesses, p)
	return nil
}

// Close ends all processes.
func (in *Installation) Close() {
	for _, p := range in.realProcesses {
		p.Kill()
	}
	for _, p := range in.simulatedProcesses {
		p.stop()
	}
	for _, endpoints := range in.endpoints {
		for _, endpoint := range endpoints {
			endpoint.Close()
		}
	}
	if in.discovery != nil {
		in.discovery.Close()
	}
	if in.gossip != nil {
		in.gossip.close()
	}
	os.RemoveAll(in.dir)
}

// AwaitWorkers waits until all dispatchers know exactly the given number of workers.
func (in *Installation) AwaitWorkers(ctx context.Context, workers int, limit time.Duration) error {
	for end := time.Now().Add(limit); ; {
		minKnown, maxKnown, err := in.knownWorkers()
		if err != nil {
			return err
		}
		if minKnown == workers && maxKnown == workers {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %s dispatchers know %d to %d workers, not %d", limit, minKnown, maxKnown, workers)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// knownWorkers returns the smallest and the largest number of workers that a dispatcher knows.
func (in *Installation) knownWorkers() (minKnown, maxKnown int, err error) {
	minKnown = 1 << 62
	for _, p := range in.realProcesses {
		values, err := p.Metrics()
		if err != nil {
			return 0, 0, err
		}
		n, ok := values["app_discovered"]
		if !ok {
			return 0, 0, errors.New("the program's metrics lack the number of discovered workers")
		}
		minKnown, maxKnown = min(minKnown, int(n)), max(maxKnown, int(n))
	}
	for _, p := range in.simulatedProcesses {
		s, err := p.status()
		if err != nil {
			return 0, 0, err
		}
		minKnown, maxKnown = min(minKnown, int(s.MinWorkers)), max(maxKnown, int(s.MaxWorkers))
	}
	return minKnown, maxKnown, nil
}

// RestartWorker changes a random worker as a restart does: a worker that is up drains, one that drains comes up again
// with a new start time.
func (in *Installation) RestartWorker() {
	e := &in.entries[in.random.IntN(len(in.entries))]
	if e.Health == "up" {
		e.Health = "draining"
	} else {
		e.Health, e.StartedMillis = "up", time.Now().UnixMilli()
	}
	in.discovery.Update(*e)
}

// ReweightWorker gives a random worker a new weight and does not change its state.
func (in *Installation) ReweightWorker() {
	e := &in.entries[in.random.IntN(len(in.entries))]
	e.Share = in.randomWeight()
	in.discovery.Update(*e)
}

// randomWeight returns a random live weight of a worker.
func (in *Installation) randomWeight() float64 {
	return workerCores / (1 + float64(in.random.IntN(2*workerCores))/workerCores)
}

// ReweightAll gives all workers new live weights, in one change.
func (in *Installation) ReweightAll() {
	for i := range in.entries {
		in.entries[i].Share = in.randomWeight()
	}
	in.discovery.Update(in.entries...)
}

// SendGossip sends every dispatcher a gossip message about a random worker.
func (in *Installation) SendGossip() error {
	return in.gossip.send(in.entries[in.random.IntN(len(in.entries))].Host)
}

// sleep waits for d, or returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
