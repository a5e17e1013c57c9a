// Package rig runs several processes of a program (dispatchers or agents) as one installation. Each ordered pair of
// processes is connected through its own link, so that faults can be injected between any two. The rig can also freeze,
// kill, restart and replace processes.
package rig

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"topazfall/internal/lab/link"
	"topazfall/internal/lab/program"
)

// exitTimeout bounds the wait for a process to exit after SIGTERM: the longest time that a client waits for an answer,
// with some reserve.
const exitTimeout = 30 * time.Second

// startTimeout bounds the wait for a process to be ready for clients.
const startTimeout = 20 * time.Second

// Options configure an installation.
type Options struct {
	Program program.Options                // of each process; the rig sets Name, Dir, Listen and Args
	Dir     string                         // for all files, with a subfolder for each member
	Names   []string                       // of the members
	Args    func(Member) ([]string, error) // returns the arguments of a member's process; called at each start
	Split   bufio.SplitFunc                // splits the streams of the links into frames; nil to treat them as bytes
	Seed    uint64                         // of the links' random frame faults
}

// Member is the identity and the addresses of one member of the installation. Options.Args turns it into arguments.
type Member struct {
	Name       string
	StateDir   string            // folder that is kept across restarts
	PeerListen string            // IP:port on which it listens for its peers
	PeerLinks  map[string]string // by the peer's name, the IP:port of the link to it
}

// Rig is a running installation.
type Rig struct {
	options Options
	members map[string]*runningMember
	links   map[linkKey]*link.Link
}

// linkKey identifies the link on which one member dials another.
type linkKey struct{ from, to string }

// runningMember is a member and its processes.
type runningMember struct {
	Member
	clientAddress string // on which it listens for clients
	dir           string // folder of its processes

	mu        sync.Mutex
	processes []*program.Process        // every process that has been ready; the last is the current one
	starting  map[*program.Process]bool // processes that are not ready yet
	closed    bool                      // no process may be started any more
}

// errClosed is returned for a start after Close.
var errClosed = errors.New("the installation is closed")

// launch starts a process that is not ready yet.
func (m *runningMember) launch(options program.Options) (*program.Process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, errClosed
	}
	p, err := program.Launch(options)
	if err == nil {
		m.starting[p] = true
	}
	return p, err
}

// endStart makes a process the current one if it is ready.
func (m *runningMember) endStart(p *program.Process, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.starting, p)
	if ready {
		m.processes = append(m.processes, p)
	}
}

// close kills the member's processes. None can be started from then on.
func (m *runningMember) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for p := range m.starting {
		p.Kill()
	}
	for _, p := range m.processes {
		if !p.HasExited() {
			p.Kill()
		}
	}
}

func (m *runningMember) currentProcess() *program.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.processes) == 0 {
		return nil
	}
	return m.processes[len(m.processes)-1]
}

// Start starts the links, then all processes in parallel, and waits until all are ready for clients.
func Start(o Options) (*Rig, error) {
	r := &Rig{options: o, members: map[string]*runningMember{}, links: map[linkKey]*link.Link{}}
	if err := r.prepare(); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.forEach(o.Names, r.startProcess); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// prepare creates the members' folders, chooses their addresses and starts the links between them.
func (r *Rig) prepare() error {
	for _, name := range r.options.Names {
		freeAddresses, err := program.FreeAddresses(2)
		if err != nil {
			return err
		}
		m := &runningMember{clientAddress: freeAddresses[0], dir: filepath.Join(r.options.Dir, name),
			starting: map[*program.Process]bool{}}
		m.Member = Member{Name: name, StateDir: filepath.Join(m.dir, "state"), PeerListen: freeAddresses[1],
			PeerLinks: map[string]string{}}
		if err := os.MkdirAll(m.StateDir, 0o700); err != nil {
			return err
		}
		r.members[name] = m
	}
	for i, from := range r.options.Names {
		for j, to := range r.options.Names {
			if from == to {
				continue
			}
			l, err := link.Start(link.Options{Listen: "127.0.0.1:0", Target: r.members[to].PeerListen,
				Split: r.options.Split, Seed: r.options.Seed + uint64(i*len(r.options.Names)+j)})
			if err != nil {
				return err
			}
			r.links[linkKey{from, to}] = l
			r.members[from].PeerLinks[to] = l.Address()
		}
	}
	return nil
}

// startProcess starts a new process of a member, which becomes the current one. Earlier processes may still run.
func (r *Rig) startProcess(name string) error {
	m := r.members[name]
	args, err := r.options.Args(m.Member)
	if err != nil {
		return err
	}
	options := r.options.Program
	options.Name, options.Dir, options.Listen, options.Args = name, m.dir, m.clientAddress, args
	p, err := m.launch(options)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = p.AwaitReady(startTimeout)
	m.endStart(p, err == nil)
	if err != nil {
		p.Kill()
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// forEach calls do for several members in parallel and joins the errors.
func (r *Rig) forEach(names []string, do func(name string) error) error {
	errs := make([]error, len(names))
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() { errs[i] = do(name) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// Names returns the sorted names of the members.
func (r *Rig) Names() []string { return slices.Sorted(maps.Keys(r.members)) }

// Member returns the identity and the addresses of a member.
func (r *Rig) Member(name string) Member { return r.members[name].Member }

// Process returns a member's current process, which may have exited. It returns nil if there is no such member.
func (r *Rig) Process(name string) *program.Process {
	m := r.members[name]
	if m == nil {
		return nil
	}
	return m.currentProcess()
}

// Log returns the logs of all processes of a member.
func (r *Rig) Log(name string) (text string) {
	m := r.members[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		text += p.Log()
	}
	return text
}

// Link returns the link on which one member dials another.
func (r *Rig) Link(from, to string) *link.Link { return r.links[linkKey{from, to}] }

// Partition separates the named members from the rest: it cuts all links between the two groups in both directions.
func (r *Rig) Partition(names ...string) {
	for p, l := range r.links {
		if slices.Contains(names, p.from) != slices.Contains(names, p.to) {
			l.Cut()
		}
	}
}

// CutOutgoing drops everything that a member sends to its peers. What its peers send still arrives.
func (r *Rig) CutOutgoing(name string) {
	for p, l := range r.links {
		switch name {
		case p.from:
			l.Cut(link.Forward)
		case p.to:
			l.Cut(link.Backward)
		}
	}
}

// SetFrameFaults sets the frame faults of all links.
func (r *Rig) SetFrameFaults(f link.FrameFaults) {
	for _, l := range r.links {
		l.SetFrameFaults(f)
	}
}

// Heal ends all faults of all links.
func (r *Rig) Heal() {
	for _, l := range r.links {
		l.Heal()
	}
}

// Freeze stops a member's process (SIGSTOP) and waits until all of its threads have stopped.
func (r *Rig) Freeze(name string) error { return r.Process(name).Freeze() }

// Thaw resumes a frozen process (SIGCONT).
func (r *Rig) Thaw(name string) error { return r.Process(name).Thaw() }

// Kill kills the processes of several members in parallel (SIGKILL).
func (r *Rig) Kill(names ...string) {
	r.forEach(names, func(name string) error {
		r.Process(name).Kill()
		return nil
	})
}

// WipeState deletes the stored state of a member. None of its processes may be running.
func (r *Rig) WipeState(name string) error {
	state := r.members[name].StateDir
	return errors.Join(os.RemoveAll(state), os.MkdirAll(state, 0o700))
}

// Restart starts new processes of members whose processes have exited. The stored state is kept.
func (r *Rig) Restart(names ...string) error { return r.forEach(names, r.startProcess) }

// Replace starts a second process of a member while the current one runs. When the second is ready for clients, Replace
// returns the first, which the caller must then terminate.
func (r *Rig) Replace(name string) (old *program.Process, err error) {
	old = r.Process(name)
	return old, r.startProcess(name)
}

// Terminate asks a process to exit (SIGTERM) and waits until it has exited.
func (r *Rig) Terminate(p *program.Process) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(exitTimeout)
}

// Close kills the processes that still run, each by its process id, and closes the links. A start that is under way
// fails.
func (r *Rig) Close() {
	for _, m := range r.members {
		m.close()
	}
	for _, l := range r.links {
		l.Close()
	}
}
