package scale

import (
	"fmt"
	"os"
	"strings"
)

// Memory that a dispatcher is taken to need, generously: the run bounds itself by it before it starts one.
const (
	baseMemory      = 6 << 20  // of a hollow dispatcher
	workerMemory    = 14 << 10 // of each worker on the list of one, with what a collection of garbage leaves
	realBaseMemory  = 24 << 20 // of a process of the program, beside its workers
	reservedMemory  = 1 << 30  // for the run itself, and for others on the machine
	mostOfTheMemory = 0.5      // part of the machine's that a run may have
)

// memoryRoom is how many bytes a run may use: half of the machine's memory, and no more than is available.
func memoryRoom() (float64, error) {
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
		return 0, fmt.Errorf("/proc/meminfo does not tell the machine's memory")
	}
	return min(total*mostOfTheMemory, available)*1024 - reservedMemory, nil
}

// hollowWithin is how many of a setup's hollow dispatchers fit.
func hollowWithin(room float64, s Setup) int {
	list := float64(s.Workers) * workerMemory
	room -= float64(s.Real) * (realBaseMemory + list)
	return min(s.Simulated, max(int(room/(baseMemory+list)), 0))
}
