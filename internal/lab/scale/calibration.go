package scale

import (
	"hash/fnv"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Calibration measures how fast and how steady the machine is, with a fixed loop that is timed repeatedly during a run.
// As machines differ, processor times are also reported as multiples of the loop's; values in wall-clock time are only
// judged if the loop's own time is steady.
type Calibration struct {
	wallTimes, cpuTimes []time.Duration
	block               []byte
}

const (
	blockSize = 1 << 20 // bytes hashed in one loop, which takes about a millisecond
	// maxVariation is the value of Variation above which the machine counts as too busy for values in wall-clock time:
	// a thread then waits for a processor half as long as it runs.
	maxVariation = 1.5
)

// NewCalibration returns a calibration without timings.
func NewCalibration() *Calibration {
	p := &Calibration{block: make([]byte, blockSize)}
	for i := range p.block {
		p.block[i] = byte(i * 7)
	}
	return p
}

// Run runs and times the loop the given number of times.
func (p *Calibration) Run(loops int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for range loops {
		start, cpuStart := time.Now(), threadTime()
		h := fnv.New64a()
		h.Write(p.block)
		if h.Sum64() == 0 { // keeps the loop from being optimized away
			panic("hash of the fixed block is 0")
		}
		p.cpuTimes = append(p.cpuTimes, threadTime()-cpuStart)
		p.wallTimes = append(p.wallTimes, time.Since(start))
	}
}

// LoopTime returns the median processor time of one loop.
func (p *Calibration) LoopTime() time.Duration { return quantile(p.cpuTimes, 0.5) }

// Variation returns the 90th percentile of the loop's wall-clock time as a ratio to its median processor time: about 1
// on a machine that nothing else uses.
func (p *Calibration) Variation() float64 {
	if len(p.wallTimes) == 0 {
		return 0
	}
	return float64(quantile(p.wallTimes, 0.9)) / float64(max(p.LoopTime(), 1))
}

// IsBusy reports whether the machine was too busy for values in wall-clock time.
func (p *Calibration) IsBusy() bool { return p.Variation() > maxVariation }

// quantile returns the value below which the given fraction of the values lies, or 0 if there are none.
func quantile[T int64 | float64 | time.Duration](values []T, fraction float64) (v T) {
	if len(values) == 0 {
		return v
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration { return readClock(unix.CLOCK_THREAD_CPUTIME_ID) }

// processTime returns the processor time of all threads of this process.
func processTime() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

func readClock(id int32) time.Duration {
	var t unix.Timespec
	unix.ClockGettime(id, &t)
	return time.Duration(t.Nano())
}
