package scale

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/metrics"
	"topazfall/internal/peers"
	"topazfall/internal/upstream"
)

// SimulatedSpec configures a process of simulated dispatchers. A simulated dispatcher has the decision module, its
// goroutine, the discovery watch, the upstream side and the gossip socket, all as the program has them. It listens for
// no clients and gets no requests.
type SimulatedSpec struct {
	Settings     jsoniter.RawMessage       `json:"settings"` // in the form of the program's configuration
	Dispatchers  []SimulatedDispatcherSpec `json:"dispatchers"`
	GossipSource string                    `json:"words"` // address that gossip messages come from; "" for no gossip
}

// SimulatedDispatcherSpec configures one simulated dispatcher.
type SimulatedDispatcherSpec struct {
	Number    int    `json:"number"` // index among all dispatchers
	Discovery string `json:"discovery"`
	Listen    string `json:"listen"` // address for gossip messages
}

// SimulatedStatus counts what the simulated dispatchers of a process have received so far.
type SimulatedStatus struct {
	MinWorkers     int64 `json:"least_workers"` // number of workers known to the dispatcher that knows fewest
	MaxWorkers     int64 `json:"most_workers"`  // number of workers known to the dispatcher that knows most
	Entries        int64 `json:"entries"`       // entries of lists and changes received, over all dispatchers
	GossipMessages int64 `json:"words"`         // gossip messages received, over all dispatchers
	Dropped        int64 `json:"dropped"`       // those of them that were dropped
}

const (
	maxSimulated      = 1000             // dispatchers of one process
	maxSimulatedConns = 256              // per dispatcher, as the program has with 1,024 descriptors
	dialTimeout       = time.Second / 4  // never used: a simulated dispatcher gets no requests
	idleTimeout       = time.Minute      // never used either
	statusTimeout     = 10 * time.Second // for the answer of a process, which is killed after it
)

// simulatedDispatcher is a running simulated dispatcher. As a discovery.ListReceiver it counts the entries that the
// watch delivers and passes them on.
type simulatedDispatcher struct {
	core    *dispatch.Core
	counts  *metrics.Metrics
	entries atomic.Int64
}

// ApplyList implements discovery.ListReceiver.
func (d *simulatedDispatcher) ApplyList(kind topazfall.EventKind, entries []dispatch.Entry) {
	d.entries.Add(int64(len(entries)))
	d.core.ApplyList(kind, entries)
}

// startSimulated starts one simulated dispatcher. It has a gossip socket unless gossipSource is empty.
func startSimulated(settings topazfall.Settings, spec SimulatedDispatcherSpec, gossipSource string) (
	*simulatedDispatcher, error) {
	settings.Me, settings.Seed = spec.Number, settings.Seed+uint64(spec.Number)
	dispatcher := &simulatedDispatcher{counts: &metrics.Metrics{}}
	core, err := dispatch.New(settings, dispatcher.counts)
	if err != nil {
		return nil, err
	}
	dispatcher.core = core
	workers := upstream.New(core, upstream.Options{
		ConnSettings: upstream.ConnSettings{DialTimeout: dialTimeout, IdleTimeout: idleTimeout},
		MaxConns:     maxSimulatedConns, Metrics: dispatcher.counts, Seed: settings.Seed})
	watch := discovery.New(spec.Discovery, dispatcher, discovery.RefreshSettings(&settings))
	if gossipSource != "" {
		peerConn, err := peers.New(peers.Addresses{Listen: spec.Listen, Peers: []string{gossipSource},
			All: gossipSource}, core)
		if err != nil {
			return nil, err
		}
		core.SetPeers(peerConn)
		go peerConn.Run()
	}
	go core.Run(workers, watch)
	go watch.Run()
	return dispatcher, nil
}

// ServeSimulated runs the simulated dispatchers that the first line of in configures. It answers each further line with
// their status, until in ends.
func ServeSimulated(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("simulated dispatchers: %w", err)
	}
	var spec SimulatedSpec
	if err := jsoniter.Unmarshal(first, &spec); err != nil {
		return fmt.Errorf("simulated dispatchers: %w", err)
	}
	if n := len(spec.Dispatchers); n < 1 || n > maxSimulated {
		return fmt.Errorf("simulated dispatchers: %d requested, want 1 to %d", n, maxSimulated)
	}
	settings, err := config.ParseSettings(1, spec.Settings)
	if err != nil {
		return fmt.Errorf("simulated dispatchers: %w", err)
	}
	all := make([]*simulatedDispatcher, len(spec.Dispatchers))
	for i, d := range spec.Dispatchers {
		if all[i], err = startSimulated(settings, d, spec.GossipSource); err != nil {
			return fmt.Errorf("simulated dispatcher %d: %w", d.Number, err)
		}
	}
	for {
		if _, err := lines.ReadBytes('\n'); err != nil {
			return nil
		}
		if err := jsoniter.NewEncoder(out).Encode(statusOf(all)); err != nil {
			return err
		}
	}
}

// statusOf returns the joint status of simulated dispatchers.
func statusOf(all []*simulatedDispatcher) (s SimulatedStatus) {
	s.MinWorkers = 1 << 62
	for _, d := range all {
		known := d.counts.Discovered.Load()
		s.MinWorkers, s.MaxWorkers = min(s.MinWorkers, known), max(s.MaxWorkers, known)
		s.Entries += d.entries.Load()
		s.GossipMessages += d.counts.PeerMessages.Load()
		s.Dropped += d.counts.PeerMessagesDropped.Load()
	}
	return s
}

// simulatedProcess is a running process of simulated dispatchers.
type simulatedProcess struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
	count  int

	mu sync.Mutex
}

// startSimulatedProcess starts the command, which must call ServeSimulated.
func startSimulatedProcess(command []string, spec SimulatedSpec) (*simulatedProcess, error) {
	text, err := jsoniter.Marshal(spec)
	if err != nil {
		return nil, err
	}
	p := &simulatedProcess{cmd: exec.Command(command[0], command[1:]...), count: len(spec.Dispatchers)}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // as the program runs with one core
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.stdout = bufio.NewReader(out)
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if _, err := p.stdin.Write(append(text, '\n')); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

// status requests the status of the process. It kills a process that does not answer in time.
func (p *simulatedProcess) status() (s SimulatedStatus, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.stdin.Write([]byte("\n")); err != nil {
		return s, err
	}
	killTimer := time.AfterFunc(statusTimeout, func() { p.cmd.Process.Kill() })
	defer killTimer.Stop()
	line, err := p.stdout.ReadBytes('\n')
	if err != nil {
		return s, errors.New("a process of simulated dispatchers has ended")
	}
	return s, jsoniter.Unmarshal(line, &s)
}

// stop kills the process.
func (p *simulatedProcess) stop() {
	p.stdin.Close()
	p.cmd.Process.Kill()
	p.cmd.Wait()
}
