package scale

import (
	"fmt"
	"os"
	"strings"
)

// Generous estimates of the memory, in bytes, that a dispatcher needs. A run uses them to limit the number of simulated
// dispatchers before it starts any.
const (
	simulatedBaseMemory = 6 << 20  // of a simulated dispatcher without workers
	memoryPerWorker     = 14 << 10 // of each worker on a dispatcher's list, with uncollected garbage
	realBaseMemory      = 24 << 20 // of a process of the program without workers
	reservedMemory      = 1 << 30  // for the run itself and for other processes on the machine
	maxMemoryFraction   = 0.5      // part of the machine's memory that a run may use
)

// memoryBudget returns how many bytes a run may use: half of the machine's memory, but no more than is available, less
// the reserve.
func memoryBudget() (float64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	total, available := 0.0, 0.0
	for line := range strings.Lines(string(text)) {
		fmt.Sscanf(line, "MemTotal: %f kB", &total)
		fmt.Sscanf(line, "MemAvailable: %f kB", &available)
	}
	if total == 0 || available == 0 {
		return 0, fmt.Errorf("/proc/meminfo lacks MemTotal or MemAvailable")
	}
	return min(total*maxMemoryFraction, available)*1024 - reservedMemory, nil
}

// maxSimulatedWithin returns how many of a setup's simulated dispatchers fit into a memory budget, after its real ones.
func maxSimulatedWithin(budget float64, s Setup) int {
	list := float64(s.Workers) * memoryPerWorker
	budget -= float64(s.Real) * (realBaseMemory + list)
	return min(s.Simulated, max(int(budget/(simulatedBaseMemory+list)), 0))
}
