package scale

import (
	"hash/fnv"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Calibration is how fast the machine is, by a fixed loop that is timed in the same run again and again: processor time is
// also given in loops, as machines differ, and figures in wall-clock time are only judged where the loop's own time
// is steady.
type Calibration struct {
	wall, spent []time.Duration
	block       []byte
}

const (
	blockSize = 1 << 20 // bytes hashed in one loop: about a millisecond
	// unsteady is the ratio of Variation above which the machine counts
	// as too busy for figures in wall-clock time: a thread then waits for a processor half as long as it runs.
	unsteady = 1.5
)

// NewCalibration returns a pace that has not been timed yet.
func NewCalibration() *Calibration {
	p := &Calibration{block: make([]byte, blockSize)}
	for i := range p.block {
		p.block[i] = byte(i * 7)
	}
	return p
}

// Run runs the loop so many times.
func (p *Calibration) Run(loops int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for range loops {
		began, spent := time.Now(), threadTime()
		h := fnv.New64a()
		h.Write(p.block)
		if h.Sum64() == 0 { // keeps the loop from being optimized away
			panic("a hash of a fixed block has changed")
		}
		p.spent = append(p.spent, threadTime()-spent)
		p.wall = append(p.wall, time.Since(began))
	}
}

// LoopTime is the processor time of one loop: the median.
func (p *Calibration) LoopTime() time.Duration { return quantile(p.spent, 0.5) }

// Variation is the 90th percentile of the loop's wall-clock time as a ratio to its median processor time: 1 on a
// machine that nothing else uses.
func (p *Calibration) Variation() float64 {
	if len(p.wall) == 0 {
		return 0
	}
	return float64(quantile(p.wall, 0.9)) / float64(max(p.LoopTime(), 1))
}

// IsBusy tells whether the machine was too busy for figures in wall-clock time.
func (p *Calibration) IsBusy() bool { return p.Variation() > unsteady }

// quantile is the value that this part of them lie below; 0 of none.
func quantile[T int64 | float64 | time.Duration](values []T, part float64) (v T) {
	if len(values) == 0 {
		return v
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// threadTime is the processor time of the calling thread.
func threadTime() time.Duration { return clock(unix.CLOCK_THREAD_CPUTIME_ID) }

// processTime is the processor time of this process, of all its threads.
func processTime() time.Duration { return clock(unix.CLOCK_PROCESS_CPUTIME_ID) }

func clock(id int32) time.Duration {
	var t unix.Timespec
	unix.ClockGettime(id, &t)
	return time.Duration(t.Nano())
}
