package program

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the CPU time and memory use of a process as the kernel counts it.
type Usage struct {
	CPU           time.Duration // of all threads since the process started
	ResidentBytes int64         // resident set size
}

// ReadUsage reads the usage of a process. The CPU time is read from the process's CPU clock in nanoseconds, because the
// 10 ms ticks of /proc/PID/stat are too coarse for windows of a few seconds. The resident memory is read from
// /proc/PID/statm.
func ReadUsage(pid int) (Usage, error) {
	var cpuTime unix.Timespec
	if err := unix.ClockGettime(processClock(pid), &cpuTime); err != nil {
		return Usage{}, fmt.Errorf("process %d: reading its CPU clock: %w", pid, err)
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return Usage{}, fmt.Errorf("process %d: statm has only %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return Usage{CPU: time.Duration(cpuTime.Nano()), ResidentBytes: pages * int64(os.Getpagesize())}, err
}

// processClock returns the id of a process's CPU clock, encoded as by clock_getcpuclockid(3).
func processClock(pid int) int32 {
	const schedulerClock = 2 // CPUCLOCK_SCHED: CPU time as counted by the scheduler
	return int32(^pid<<3 | schedulerClock)
}

// OpenDescriptors returns the number of open file descriptors of the process.
func (p *Process) OpenDescriptors() (int, error) {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	return len(names), err
}

// Memory is the resident memory of a process, in kB.
type Memory struct {
	PresentKB int
	PeakKB    int
	FilesKB   int // of PresentKB, the pages of files, which the system can read again
}

var memoryPattern = regexp.MustCompile(`(?m)^(VmHWM|VmRSS|RssFile):\s*(\d+) kB$`)

// errNoMemory is returned for a process that has ended.
var errNoMemory = errors.New("the process has no memory")

// Memory returns the resident memory of the process.
func (p *Process) Memory() (memory Memory, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return Memory{}, err
	}
	for _, match := range memoryPattern.FindAllStringSubmatch(string(status), -1) {
		kilobytes, err := strconv.Atoi(match[2])
		if err != nil {
			return Memory{}, err
		}
		switch match[1] {
		case "VmHWM":
			memory.PeakKB = kilobytes
		case "VmRSS":
			memory.PresentKB = kilobytes
		default:
			memory.FilesKB = kilobytes
		}
	}
	if memory.PresentKB == 0 {
		return Memory{}, errNoMemory
	}
	return memory, nil
}
