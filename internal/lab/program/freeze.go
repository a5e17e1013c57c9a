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
	freezeTime = 5 * time.Second // for the system to stop all threads
	freezeLook = time.Millisecond
)

// Freeze stops the process, as a machine that swaps does, until Thaw. It returns when all of its threads stand still:
// the signal alone reaches them some time later. Its error says that the process has ended, or goes on.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(freezeTime); time.Now().Before(end); time.Sleep(freezeLook) {
		stopped, err := p.stopped()
		if err != nil {
			return err
		}
		if stopped {
			return nil
		}
	}
	return errors.New("the process does not stop")
}

// stopped tells whether all threads are in the state T of /proc/PID/task/TID/stat, which follows the name in brackets.
func (p *Process) stopped() (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false, err
	}
	if len(threads) == 0 {
		return false, errors.New("the process has ended")
	}
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil { // a thread that has ended meanwhile
			return false, nil
		}
		state := bytes.TrimLeft(text[bytes.LastIndexByte(text, ')')+1:], " ")
		if len(state) == 0 || state[0] != 'T' {
			return false, nil
		}
	}
	return true, nil
}

// Thaw lets it go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }
