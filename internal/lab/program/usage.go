package program

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is what a process has used, as the system counts it from outside.
type Usage struct {
	CPU           time.Duration // since its start, of all its threads
	ResidentBytes int64         // bytes
}

// ReadUsage reads the usage of a process. Processor time comes from the process's clock, which counts what
// /proc/PID/stat counts, in nanoseconds: its ticks of 10 ms are too coarse for windows of seconds. Resident memory is
// that of /proc/PID/statm.
func ReadUsage(pid int) (Usage, error) {
	var spent unix.Timespec
	if err := unix.ClockGettime(processClock(pid), &spent); err != nil {
		return Usage{}, fmt.Errorf("process %d: its clock: %w", pid, err)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return Usage{}, fmt.Errorf("process %d: its statm has %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return Usage{CPU: time.Duration(spent.Nano()), ResidentBytes: pages * int64(os.Getpagesize())}, err
}

// processClock is the clock of a process's processor time, as clock_getcpuclockid(3) makes it.
func processClock(pid int) int32 {
	const scheduled = 2 // time on a processor, by the scheduler's count
	return int32(^pid<<3 | scheduled)
}

// OpenDescriptors is how many the process has open.
func (p *Process) OpenDescriptors() (int, error) {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	return len(names), err
}
