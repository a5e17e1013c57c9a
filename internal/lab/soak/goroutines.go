package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"topazfall/internal/lab/program"
)

const (
	counted    = 0 // the member whose goroutines are counted at the end
	dumpTime   = 5 * time.Second
	unusedTime = 500 * time.Millisecond // for what a start does beside
)

// resting are functions of goroutines that the HTTP library keeps for a while when they have nothing to do, and ends
// by itself: those of its pool for connections, and one for the connections to each worker.
var resting = []string{"fasthttp.(*workerPool).workerFunc", "fasthttp.(*HostClient).connsCleaner"}

// onConnection is in the stacks of goroutines that wait for bytes on a connection from outside. Each has a descriptor,
// which is counted: the run's own workers keep connections for their next call-back.
const onConnection = "topazfall/internal/frontend.(*conn)"

// running tells of a part of a dump whether it is a goroutine that neither rests in the HTTP library nor waits on an
// open connection.
func running(stack string) bool {
	head, _, _ := strings.Cut(strings.TrimSpace(stack), "\n")
	if !strings.HasPrefix(head, "goroutine ") ||
		strings.Contains(head, "[IO wait") && strings.Contains(stack, onConnection) {
		return false
	}
	return !slices.ContainsFunc(resting, func(function string) bool {
		return strings.Contains(stack, function) && !strings.Contains(stack, "topazfall/")
	})
}

// goroutines ends a process by SIGQUIT and counts what it had running, by the stacks that it writes to its log.
func goroutines(p *program.Process) (int, error) {
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return 0, err
	}
	if err := p.Wait(dumpTime); err != nil {
		return 0, err
	}
	n := 0
	for _, stack := range strings.Split(p.Log(), "\n\n") {
		if running(stack) {
			n++
		}
	}
	return n, nil
}

// countUnused counts the goroutines of a dispatcher that nobody uses.
func (i *installation) countUnused(o Options, dir string) (int, error) {
	options := i.program(o)
	options.Name, options.Dir = processName(i.plan.Processes), filepath.Join(dir, "unused")
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return 0, err
	}
	p, err := program.Start(options)
	if err != nil {
		return 0, err
	}
	time.Sleep(unusedTime)
	return goroutines(p)
}

// countLeft ends a process that all clients have left, and notes what it still had running.
func (m *member) countLeft(p *program.Process) {
	m.life(p, func(l *ProcessRecord, now time.Time) { l.Killed = now })
	n, err := goroutines(p)
	if err != nil {
		m.kill(p)
	}
	m.ended(p)
	m.note(func(time.Time) {
		for k := range m.history.Leftovers {
			if l := &m.history.Leftovers[k]; l.Process == m.name {
				l.Goroutines, l.AllowedGoroutines = n, m.unused+spare
			}
		}
	})
}
