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

// Setup says what an installation consists of.
type Setup struct {
	Workers     int
	Dispatchers int // that share the fleet, by the settings; those that do not run are as quiet as hollow ones
	Real        int // processes of the program
	Simulated   int // hollow dispatchers
	PerProcess  int // of these in one process
	Teams       int
	LiveWeights bool
	Draining    bool // all workers, so that they cost what a list costs and get nothing
}

// Programs are what an installation is started from.
type Programs struct {
	Dispatcher       string   // path of the program
	SimulatedCommand []string // command that leads to ServeHollow
}

const (
	regions = 4
	zones   = 3                // of a region
	cores   = 4                // of a worker, which is its weight
	rackOf  = 16               // workers of a rack
	loading = 60 * time.Second // within which all must have loaded the list
	settle  = 1 * time.Second  // after which what loading left behind counts as over
	polling = 20 * time.Millisecond
)

// Installation is real and hollow dispatchers that share one discovery, all on this machine.
type Installation struct {
	setup   Setup
	dir     string
	list    *discoveryserver.Server
	doors   map[kind][]*discoveryserver.Endpoint // by region
	real    []*program.Process
	hollow  []*hollowProcess
	words   *wordSource
	entries []discoveryserver.Entry
	chance  *rand.Rand
}

// kind tells real dispatchers from hollow ones.
type kind string

const (
	realKind   kind = "real"
	hollowKind kind = "hollow"
)

// Fleet is a list of so many workers, spread over regions, zones and racks as they come.
func Fleet(workers int, now time.Time) []discoveryserver.Entry {
	list := make([]discoveryserver.Entry, workers)
	for i := range list {
		region, zone := i%regions, i/regions%zones
		list[i] = discoveryserver.Entry{Host: fmt.Sprintf("worker-%05d.region-%d", i, region),
			Dial: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Site: fmt.Sprintf("region-%d%c",
				region, 'a'+rune(zone)),
			Class: "small", Block: i / rackOf, Health: "up", Share: cores, StartedMillis: now.Add(-time.Hour).UnixMilli()}
	}
	return list
}

// sites are the zones of a Fleet.
func sites() (names []string) {
	for region := range regions {
		for zone := range zones {
			names = append(names, fmt.Sprintf("region-%d%c", region, 'a'+rune(zone)))
		}
	}
	return names
}

// Teams are so many teams with quotas, in the form of the configuration.
func Teams(n int) (list []any) {
	for i := range n {
		list = append(list, map[string]any{"name": fmt.Sprintf("team-%03d", i), "share": 1 / float64(n),
			"quota_per_s": 5})
	}
	return list
}

// settingsFor changes the settings object of the program for a dispatcher of the installation.
func (s Setup) settingsFor(settings map[string]any, number int) {
	settings["me"], settings["replicas_of_me"] = number, s.Dispatchers
	settings["areas"], settings["my_zone"] = sites(), sites()[number%regions*zones]
	settings["realms"] = Teams(s.Teams)
	settings["allowed"].(map[string]any)["peer_messages"] = true
	if settings["weight_kind"] = "nominal"; s.LiveWeights {
		settings["weight_kind"] = "live"
	}
}

// Start starts an installation and waits until everybody has loaded the list.
func Start(ctx context.Context, programs Programs, setup Setup, seed uint64) (in *Installation, err error) {
	in = &Installation{setup: setup, chance: rand.New(rand.NewPCG(seed, uint64(setup.Workers))),
		entries: Fleet(setup.Workers, time.Now()),
		doors:   map[kind][]*discoveryserver.Endpoint{}}
	defer func() {
		if err != nil {
			in.Close()
		}
	}()
	if in.dir, err = os.MkdirTemp("", "topazlab-scale"); err != nil {
		return nil, err
	}
	if in.list, err = discoveryserver.Start(); err != nil {
		return nil, err
	}
	if setup.Draining {
		for i := range in.entries {
			in.entries[i].Health = "draining"
		}
	}
	in.list.Update(in.entries...)
	for _, k := range []kind{realKind, hollowKind} {
		for range regions {
			door, err := in.list.AddEndpoint()
			if err != nil {
				return nil, err
			}
			in.doors[k] = append(in.doors[k], door)
		}
	}
	if in.words, err = newWordSource(); err != nil {
		return nil, err
	}
	for i := range setup.Real {
		if err := in.startReal(programs.Dispatcher, i); err != nil {
			return nil, err
		}
	}
	for first := setup.Real; first < setup.Real+setup.Simulated; first += setup.PerProcess {
		if err := in.startHollow(programs.SimulatedCommand, first, min(setup.PerProcess,
			setup.Real+setup.Simulated-first)); err != nil {
			return nil, err
		}
	}
	if err := in.AwaitWorkers(ctx, setup.Workers, loading); err != nil {
		return nil, err
	}
	return in, sleep(ctx, settle)
}

// wordAddress is where a dispatcher listens for datagrams: an address of its own, that depends on this process as
// well.
func wordAddress(number int) string {
	return fmt.Sprintf("127.%d.%d.%d:7946", 128+os.Getpid()%120, number/250, number%250+1)
}

func (in *Installation) startReal(path string, number int) error {
	listen := wordAddress(number)
	p, err := program.Start(program.Options{ProgramPath: path, Dir: in.dir, Name: fmt.Sprintf("n%d", number),
		Discovery: in.doors[realKind][number%regions].Address(), EditConfig: func(config map[string]any) {
			in.setup.settingsFor(config["settings"].(map[string]any), number)
			config["peer_listen"], config["peers"], config["peers_all"] = listen, []string{in.words.address()},
				in.words.address()
		}})
	if err != nil {
		return err
	}
	in.real = append(in.real, p)
	in.words.to = append(in.words.to, netip.MustParseAddrPort(listen))
	return nil
}

func (in *Installation) startHollow(command []string, first, count int) error {
	settings := program.Settings(program.Options{})
	in.setup.settingsFor(settings, first)
	text, err := jsoniter.Marshal(settings)
	if err != nil {
		return err
	}
	spec := SimulatedSpec{Settings: text, GossipSource: in.words.address()}
	for number := first; number < first+count; number++ {
		listen := wordAddress(number)
		spec.Dispatchers = append(spec.Dispatchers, SimulatedDispatcherSpec{Number: number, Listen: listen,
			Discovery: in.doors[hollowKind][number%regions].Address()})
		in.words.to = append(in.words.to, netip.MustParseAddrPort(listen))
	}
	p, err := startHollowProcess(command, spec)
	if err != nil {
		return err
	}
	in.hollow = append(in.hollow, p)
	return nil
}

// Close ends all processes.
func (in *Installation) Close() {
	for _, p := range in.real {
		p.Kill()
	}
	for _, p := range in.hollow {
		p.stop()
	}
	for _, doors := range in.doors {
		for _, door := range doors {
			door.Close()
		}
	}
	if in.list != nil {
		in.list.Close()
	}
	if in.words != nil {
		in.words.close()
	}
	os.RemoveAll(in.dir)
}

// AwaitWorkers waits until all dispatchers know so many workers.
func (in *Installation) AwaitWorkers(ctx context.Context, workers int, limit time.Duration) error {
	for end := time.Now().Add(limit); ; {
		least, most, err := in.known()
		if err != nil {
			return err
		}
		if least == workers && most == workers {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %s dispatchers know %d to %d workers, not %d", limit, least, most, workers)
		}
		if err := sleep(ctx, polling); err != nil {
			return err
		}
	}
}

// known is how many workers the dispatchers know, at least and at most.
func (in *Installation) known() (least, most int, err error) {
	least = 1 << 62
	for _, p := range in.real {
		figures, err := p.Metrics()
		if err != nil {
			return 0, 0, err
		}
		n, ok := figures["app_discovered"]
		if !ok {
			return 0, 0, errors.New("the program does not tell how many workers it knows")
		}
		least, most = min(least, int(n)), max(most, int(n))
	}
	for _, p := range in.hollow {
		s, err := p.status()
		if err != nil {
			return 0, 0, err
		}
		least, most = min(least, int(s.MinWorkers)), max(most, int(s.MaxWorkers))
	}
	return least, most, nil
}

// RestartWorker changes one worker that chance names, as when it is restarted: one that is up drains, one that drains comes
// back.
func (in *Installation) RestartWorker() {
	e := &in.entries[in.chance.IntN(len(in.entries))]
	if e.Health == "up" {
		e.Health = "draining"
	} else {
		e.Health, e.StartedMillis = "up", time.Now().UnixMilli()
	}
	in.list.Update(*e)
}

// ReweightWorker gives one worker that chance names a new weight, and leaves its state.
func (in *Installation) ReweightWorker() {
	e := &in.entries[in.chance.IntN(len(in.entries))]
	e.Share = in.weight()
	in.list.Update(*e)
}

// weight is a live weight of a worker.
func (in *Installation) weight() float64 { return cores / (1 + float64(in.chance.IntN(2*cores))/cores) }

// ReweightAll gives all workers new live weights, as one change.
func (in *Installation) ReweightAll() {
	for i := range in.entries {
		in.entries[i].Share = in.weight()
	}
	in.list.Update(in.entries...)
}

// SendGossip sends every dispatcher a word about a worker that chance names.
func (in *Installation) SendGossip() error {
	return in.words.say(in.entries[in.chance.IntN(len(in.entries))].Host)
}

// sleep waits, or returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
