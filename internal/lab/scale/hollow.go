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

// SimulatedSpec says which hollow dispatchers a process holds. A hollow dispatcher has the decision module, its
// goroutine, the watch of discovery, the side towards workers and the datagrams of the others, all as the program has
// them; it listens for no clients, and gets no requests.
type SimulatedSpec struct {
	Settings     jsoniter.RawMessage       `json:"settings"` // as the program's configuration has them
	Dispatchers  []SimulatedDispatcherSpec `json:"dispatchers"`
	GossipSource string                    `json:"words"` // address that datagrams of other dispatchers come from
}

// SimulatedDispatcherSpec is one of them.
type SimulatedDispatcherSpec struct {
	Number    int    `json:"number"` // among all dispatchers
	Discovery string `json:"discovery"`
	Listen    string `json:"listen"` // for datagrams
}

// SimulatedStatus is what the hollow dispatchers of a process have taken so far.
type SimulatedStatus struct {
	MinWorkers     int64 `json:"least_workers"` // that one of them knows
	MaxWorkers     int64 `json:"most_workers"`
	Entries        int64 `json:"entries"` // of lists and changes, over all of them
	GossipMessages int64 `json:"words"`   // datagrams heard, over all of them
	Dropped        int64 `json:"dropped"` // and of these without use
}

const (
	mostHollow  = 1000             // dispatchers of one process
	hollowConns = 256              // connections to workers of one, as the program has with 1,024 descriptors
	dialLimit   = time.Second / 4  // nothing is dialled: no requests come
	idleLimit   = time.Minute      // the same
	statusLimit = 10 * time.Second // after which a hollow process that does not answer counts as dead
)

// hollowDispatcher is a running one. As a lister it counts what the watch tells, and hands it on.
type simulatedDispatcher struct {
	core    *dispatch.Core
	counts  *metrics.Metrics
	entries atomic.Int64
}

// List implements discovery.Lister.
func (h *simulatedDispatcher) ApplyList(kind topazfall.EventKind, entries []dispatch.Entry) {
	h.entries.Add(int64(len(entries)))
	h.core.ApplyList(kind, entries)
}

func startHollow(settings topazfall.Settings, d SimulatedDispatcherSpec, words string) (*simulatedDispatcher, error) {
	settings.Me, settings.Seed = d.Number, settings.Seed+uint64(d.Number)
	h := &simulatedDispatcher{counts: &metrics.Metrics{}}
	core, err := dispatch.New(settings, h.counts)
	if err != nil {
		return nil, err
	}
	h.core = core
	workers := upstream.New(core, upstream.Options{
		ConnSettings: upstream.ConnSettings{DialTimeout: dialLimit, IdleTimeout: idleLimit},
		MaxConns:     hollowConns, Metrics: h.counts, Seed: settings.Seed})
	list := discovery.New(d.Discovery, h, discovery.RefreshSettings(&settings))
	if words != "" {
		others, err := peers.New(peers.Addresses{Listen: d.Listen, Peers: []string{words}, All: words}, core)
		if err != nil {
			return nil, err
		}
		core.SetPeers(others)
		go others.Run()
	}
	go core.Run(workers, list)
	go list.Run()
	return h, nil
}

// ServeSimulated runs the hollow dispatchers that the first line of in asks for, and answers each further line with
// their status, until in ends.
func ServeSimulated(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("hollow dispatchers: %w", err)
	}
	var spec SimulatedSpec
	if err := jsoniter.Unmarshal(first, &spec); err != nil {
		return fmt.Errorf("hollow dispatchers: %w", err)
	}
	if n := len(spec.Dispatchers); n < 1 || n > mostHollow {
		return fmt.Errorf("hollow dispatchers: %d are asked for, not 1 to %d", n, mostHollow)
	}
	settings, err := config.ParseSettings(1, spec.Settings)
	if err != nil {
		return fmt.Errorf("hollow dispatchers: %w", err)
	}
	all := make([]*simulatedDispatcher, len(spec.Dispatchers))
	for i, d := range spec.Dispatchers {
		if all[i], err = startHollow(settings, d, spec.GossipSource); err != nil {
			return fmt.Errorf("hollow dispatcher %d: %w", d.Number, err)
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

func statusOf(all []*simulatedDispatcher) (s SimulatedStatus) {
	s.MinWorkers = 1 << 62
	for _, h := range all {
		known := h.counts.Discovered.Load()
		s.MinWorkers, s.MaxWorkers = min(s.MinWorkers, known), max(s.MaxWorkers, known)
		s.Entries += h.entries.Load()
		s.GossipMessages += h.counts.PeerMessages.Load()
		s.Dropped += h.counts.PeerMessagesDropped.Load()
	}
	return s
}

// hollowProcess is a running process of hollow dispatchers.
type hollowProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	count int

	mu sync.Mutex
}

// startHollowProcess starts the command, which must lead to ServeHollow.
func startHollowProcess(command []string, spec SimulatedSpec) (*hollowProcess, error) {
	text, err := jsoniter.Marshal(spec)
	if err != nil {
		return nil, err
	}
	p := &hollowProcess{cmd: exec.Command(command[0], command[1:]...), count: len(spec.Dispatchers)}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // as the program has with one core
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if _, err := p.in.Write(append(text, '\n')); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

// status asks the process what its dispatchers have taken.
func (p *hollowProcess) status() (s SimulatedStatus, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.in.Write([]byte("\n")); err != nil {
		return s, err
	}
	late := time.AfterFunc(statusLimit, func() { p.cmd.Process.Kill() })
	defer late.Stop()
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return s, errors.New("a process of hollow dispatchers has ended")
	}
	return s, jsoniter.Unmarshal(line, &s)
}

// stop ends the process.
func (p *hollowProcess) stop() {
	p.in.Close()
	p.cmd.Process.Kill()
	p.cmd.Wait()
}
