// Package rig runs several real processes of the program as one installation, with a link of its own for each
// ordered pair of them, so that faults can be put between any two; and stops, wakes, kills, restarts and replaces
// the processes.
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

// leaveTime bounds the wait for a process that was told to end: the longest wait of a client, and some.
const leaveTime = 30 * time.Second

// Options say what is run.
type Options struct {
	Program program.Options                // of each process; Name, Dir, Listen and Args are the rig's
	Dir     string                         // for all files; a folder for each member is made in it
	Names   []string                       // of the members
	Args    func(Member) ([]string, error) // of a member's process; called for each start
	Split   bufio.SplitFunc                // of the links' streams into frames; nil for bytes
	Seed    uint64                         // of the links' faults
}

// Member is what a process is told of its place.
type Member struct {
	Name       string
	StateDir   string            // folder that outlives a restart
	PeerListen string            // IP:port where it listens for the others
	PeerLinks  map[string]string // by name: IP:port of the link that leads to each of the others
}

// Rig is a running installation.
type Rig struct {
	options Options
	members map[string]*member
	links   map[pair]*link.Link
}

type pair struct{ from, to string }

type member struct {
	Member
	clients string // where it listens for clients
	files   string // shared by all its processes

	mu        sync.Mutex
	processes []*program.Process // all that ever ran; the last is the present one
}

func (m *member) now() *program.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.processes) == 0 {
		return nil
	}
	return m.processes[len(m.processes)-1]
}

// Start starts the links and all processes at once, and waits until all take clients.
func Start(o Options) (*Rig, error) {
	r := &Rig{options: o, members: map[string]*member{}, links: map[pair]*link.Link{}}
	if err := r.prepare(); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.each(o.Names, r.launch); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// prepare makes the members' folders and addresses, and the links between them.
func (r *Rig) prepare() error {
	for _, name := range r.options.Names {
		free, err := program.FreeAddresses(2)
		if err != nil {
			return err
		}
		m := &member{clients: free[0], files: filepath.Join(r.options.Dir, name)}
		m.Member = Member{Name: name, StateDir: filepath.Join(m.files, "state"), PeerListen: free[1],
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
			r.links[pair{from, to}] = l
			r.members[from].PeerLinks[to] = l.Address()
		}
	}
	return nil
}

// launch starts a process of a member, beside those that run.
func (r *Rig) launch(name string) error {
	m := r.members[name]
	args, err := r.options.Args(m.Member)
	if err != nil {
		return err
	}
	o := r.options.Program
	o.Name, o.Dir, o.Listen, o.Args = name, m.files, m.clients, args
	p, err := program.Start(o)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = append(m.processes, p)
	return nil
}

// each does something for several members at once and joins what failed.
func (r *Rig) each(names []string, do func(name string) error) error {
	faults := make([]error, len(names))
	var wait sync.WaitGroup
	for i, name := range names {
		wait.Go(func() { faults[i] = do(name) })
	}
	wait.Wait()
	return errors.Join(faults...)
}

// Names are the members, sorted.
func (r *Rig) Names() []string { return slices.Sorted(maps.Keys(r.members)) }

// Member is what a member was told of its place.
func (r *Rig) Member(name string) Member { return r.members[name].Member }

// Process is a member's present process, which may have ended.
func (r *Rig) Process(name string) *program.Process { return r.members[name].now() }

// Log is all that the processes of a member have logged.
func (r *Rig) Log(name string) (text string) {
	m := r.members[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		text += p.Log()
	}
	return text
}

// Link is the one on which a member dials another.
func (r *Rig) Link(from, to string) *link.Link { return r.links[pair{from, to}] }

// Partition cuts both links between each of some members and each of the rest, both ways.
func (r *Rig) Partition(names ...string) {
	for p, l := range r.links {
		if slices.Contains(names, p.from) != slices.Contains(names, p.to) {
			l.Cut()
		}
	}
}

// CutOutgoing loses what a member says, and passes on what it is told.
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

// SetFrameFaults makes faults happen to the frames of all links.
func (r *Rig) SetFrameFaults(f link.FrameFaults) {
	for _, l := range r.links {
		l.SetFrameFaults(f)
	}
}

// Heal ends the faults of all links.
func (r *Rig) Heal() {
	for _, l := range r.links {
		l.Heal()
	}
}

// Freeze stops a member's process where it is (SIGSTOP), and returns when it stands still.
func (r *Rig) Freeze(name string) error { return r.Process(name).Freeze() }

// Thaw lets a frozen process go on (SIGCONT).
func (r *Rig) Thaw(name string) error { return r.Process(name).Thaw() }

// Kill ends the processes of some members within one moment (SIGKILL).
func (r *Rig) Kill(names ...string) {
	r.each(names, func(name string) error {
		r.Process(name).Kill()
		return nil
	})
}

// WipeState removes what a member's process has kept; none of its processes may run.
func (r *Rig) WipeState(name string) error {
	state := r.members[name].StateDir
	return errors.Join(os.RemoveAll(state), os.MkdirAll(state, 0o700))
}

// Restart starts processes of members whose processes have ended, with what those have kept.
func (r *Rig) Restart(names ...string) error { return r.each(names, r.launch) }

// Replace starts a second process of a member beside the present one, and returns that when the second takes
// clients. The first is then to be told to end.
func (r *Rig) Replace(name string) (old *program.Process, err error) {
	old = r.Process(name)
	return old, r.launch(name)
}

// Terminate tells a process to end (SIGTERM) and waits for that.
func (r *Rig) Terminate(p *program.Process) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(leaveTime)
}

// Close kills all processes that still run, by their id, and ends the links.
func (r *Rig) Close() {
	for _, m := range r.members {
		m.mu.Lock()
		for _, p := range m.processes {
			if !p.HasExited() {
				p.Kill()
			}
		}
		m.mu.Unlock()
	}
	for _, l := range r.links {
		l.Close()
	}
}
