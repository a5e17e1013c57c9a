package program

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	freezeTimeout      = 5 * time.Second // until all threads must have stopped
	freezePollInterval = time.Millisecond
)

// Freeze stops the process (SIGSTOP) until Thaw, which simulates a pause of a machine that swaps. It waits until all
// threads have stopped, because the signal takes effect with a delay. It fails if the process has exited or does not
// stop in time.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(freezeTimeout); time.Now().Before(end); time.Sleep(freezePollInterval) {
		stopped, err := p.allThreadsStopped()
		if err != nil {
			return err
		}
		if stopped {
			return nil
		}
	}
	return errors.New("the process has not stopped in time")
}

// allThreadsStopped reports whether all threads are in state T (stopped) in /proc/PID/task/TID/stat. The state follows
// the thread's name, which is in parentheses.
func (p *Process) allThreadsStopped() (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false, err
	}
	if len(threads) == 0 {
		return false, errors.New("the process has exited")
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil { // the thread has exited in the meantime
			return false, nil
		}
		state := bytes.TrimLeft(stat[bytes.LastIndexByte(stat, ')')+1:], " ")
		if len(state) == 0 || state[0] != 'T' {
			return false, nil
		}
	}
	return true, nil
}

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }
