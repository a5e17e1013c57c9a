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
	countedMember = 0                      // index of the member whose goroutines are counted at the end of a run
	dumpTimeout   = 5 * time.Second        // until a process has written its stacks and exited
	startupTime   = 500 * time.Millisecond // until the extra goroutines of a start have ended
)

// idleFunctions are the functions of goroutines that fasthttp keeps for a while when they are idle, and then ends: the
// goroutines of its server's worker pool, and one for the connections to each worker.
var idleFunctions = []string{"fasthttp.(*workerPool).workerFunc", "fasthttp.(*HostClient).connsCleaner"}

// connectionMethods occurs in the stacks of goroutines that wait for bytes on an accepted connection. They are not
// counted as goroutines, because their connections are counted as descriptors: the run's own workers keep connections
// open for their next callback.
const connectionMethods = "topazfall/internal/frontend.(*conn)"

// isRunning reports whether a section of a stack dump is a goroutine that is neither idle in fasthttp nor waits on an
// open connection.
func isRunning(stack string) bool {
	head, _, _ := strings.Cut(strings.TrimSpace(stack), "\n")
	if !strings.HasPrefix(head, "goroutine ") ||
		strings.Contains(head, "[IO wait") && strings.Contains(stack, connectionMethods) {
		return false
	}
	return !slices.ContainsFunc(idleFunctions, func(function string) bool {
		return strings.Contains(stack, function) && !strings.Contains(stack, "topazfall/")
	})
}

// countGoroutines ends a process with SIGQUIT and counts its running goroutines in the stacks that it writes to its
// log.
func countGoroutines(p *program.Process) (int, error) {
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return 0, err
	}
	if err := p.Wait(dumpTimeout); err != nil {
		return 0, err
	}
	n := 0
	for _, stack := range strings.Split(p.Log(), "\n\n") {
		if isRunning(stack) {
			n++
		}
	}
	return n, nil
}

// countUnusedGoroutines counts the goroutines of a dispatcher that was never used.
func (inst *installation) countUnusedGoroutines(o Options, dir string) (int, error) {
	options := inst.programOptions(o)
	options.Name, options.Dir = processName(inst.plan.Processes), filepath.Join(dir, "unused")
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return 0, err
	}
	p, err := program.Start(options)
	if err != nil {
		return 0, err
	}
	time.Sleep(startupTime)
	return countGoroutines(p)
}

// countRemainingGoroutines ends a process after all clients have disconnected, and records how many goroutines it still
// had.
func (m *member) countRemainingGoroutines(p *program.Process) {
	m.updateRecord(p, func(r *ProcessRecord, now time.Time) { r.Killed = now })
	n, err := countGoroutines(p)
	if err != nil {
		m.kill(p)
	}
	m.recordExit(p)
	m.record(func(time.Time) {
		for k := range m.history.Leftovers {
			if left := &m.history.Leftovers[k]; left.Process == m.name {
				left.Goroutines, left.AllowedGoroutines = n, m.unusedGoroutines+allowedExtra
			}
		}
	})
}
