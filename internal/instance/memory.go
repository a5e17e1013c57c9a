package instance

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"regexp"
	"runtime"
	"strconv"
	"time"
)

const (
	memoryInterval = time.Second // between two looks at the process's memory
	// The memory of the process is logged each time that its peak passes another memoryStep of the configured limit,
	// from memoryLogged on. Both are percentages.
	memoryStep   = 10
	memoryLogged = 50
)

// residentMemory is what the system holds in memory for this process, in bytes.
type residentMemory struct {
	present, peak int64
	files         int64 // of the present memory, what comes from files: the program's code, and libraries
}

var residentPattern = regexp.MustCompile(`(?m)^(VmHWM|VmRSS|RssFile):\s*(\d+) kB$`)

var errNoMemoryFigures = errors.New("the system tells no memory of the process")

// readMemory returns the memory of this process.
func readMemory() (memory residentMemory, err error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return memory, err
	}
	found := residentPattern.FindAllSubmatch(status, -1)
	figures := map[string]*int64{"VmHWM": &memory.peak, "VmRSS": &memory.present, "RssFile": &memory.files}
	if len(found) != len(figures) {
		return memory, errNoMemoryFigures
	}
	for _, match := range found {
		kilobytes, err := strconv.ParseInt(string(match[2]), 10, 64)
		if err != nil {
			return memory, err
		}
		*figures[string(match[1])] = kilobytes << 10
	}
	return memory, nil
}

// watchMemory writes the process's figures to its metrics, and logs when its memory comes near the limit.
func (d *dispatcher) watchMemory() {
	d.metrics.AddWriter(d.writeProcess)
	if _, err := readMemory(); err != nil || d.config.MemoryMB <= 0 {
		return
	}
	go func() {
		logged := memoryLogged - memoryStep
		for range time.Tick(memoryInterval) {
			memory, err := readMemory()
			if err != nil {
				return
			}
			if percent := int(memory.peak * 100 / (int64(d.config.MemoryMB) << 20)); percent >= logged+memoryStep {
				logged = percent - percent%memoryStep
				slog.Warn("memory", "peak_kb", memory.peak>>10, "present_kb", memory.present>>10,
					"limit_kb", d.config.MemoryMB<<10, "requests_kb", d.server.RequestMemory()>>10,
					"conns", d.server.OpenConns(), "busy", d.server.BusyConns(), "in_hand", d.core.InFlight(),
					"goroutines", runtime.NumGoroutine())
			}
		}
	}()
}

// writeProcess writes the figures of the process in the format of the metrics.
func (d *dispatcher) writeProcess(w io.Writer) {
	gauge := func(name string, value int64) {
		fmt.Fprintf(w, "# TYPE app_%s gauge\napp_%s %d\n", name, name, value)
	}
	gauge("connections", int64(d.server.OpenConns()))
	gauge("connections_busy", int64(d.server.BusyConns()))
	gauge("request_memory_bytes", d.server.RequestMemory())
	gauge("timers", d.metrics.Timers.Load())
	if memory, err := readMemory(); err == nil {
		gauge("memory_resident_bytes", memory.present)
		gauge("memory_peak_bytes", memory.peak)
	}
}
