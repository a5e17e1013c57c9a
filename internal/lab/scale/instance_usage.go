package scale

import (
	"context"
	"time"

	"topazfall/internal/lab/program"
)

// Metrics of what a change costs the first instance, each with the distributor's name after it.
const (
	metricInstanceCPU   = "processor time of a change at an instance: "
	metricInstanceBytes = "bytes on the links of a change at an instance: "
	metricIdleLinkBytes = "bytes a second on the links of an instance while nothing changes: "
	changeInterval      = 250 * time.Millisecond
	changesInWindow     = 8 // which takes 2 s
)

// An agent's own metrics of its links to the others: bytes of frames with their headers, without TCP's.
const (
	metricLinkSent     = "app_config_sent_bytes_total"
	metricLinkReceived = "app_config_received_bytes_total"
)

// instanceUsage is the processor time and the link bytes that an instance has used.
type instanceUsage struct {
	cpu   time.Duration
	bytes float64
}

// readInstanceUsage reads what a process has used since its start. Reading costs processor time in the process, so that
// it is done between the measured windows.
func readInstanceUsage(p *program.Process) (instanceUsage, error) {
	values, err := p.Metrics()
	if err != nil {
		return instanceUsage{}, err
	}
	usage, err := program.ReadUsage(p.PID())
	return instanceUsage{usage.CPU, values[metricLinkSent] + values[metricLinkReceived]}, err
}

// measureInstanceUsage measures what a process uses in a window in which do is called the given number of times, at
// intervals of changeInterval.
func measureInstanceUsage(ctx context.Context, p *program.Process, times int, do func() error) (instanceUsage, error) {
	before, err := readInstanceUsage(p)
	if err != nil {
		return instanceUsage{}, err
	}
	usageBefore, err := program.ReadUsage(p.PID()) // excludes the cost of reading the metrics
	if err != nil {
		return instanceUsage{}, err
	}
	start := time.Now()
	for i := range times {
		if err := do(); err != nil {
			return instanceUsage{}, err
		}
		if err := sleep(ctx, time.Duration(i+1)*changeInterval-time.Since(start)); err != nil {
			return instanceUsage{}, err
		}
	}
	if err := sleep(ctx, settleTime); err != nil { // for the work that the last call leaves behind
		return instanceUsage{}, err
	}
	usageAfter, err := program.ReadUsage(p.PID())
	if err != nil {
		return instanceUsage{}, err
	}
	after, err := readInstanceUsage(p)
	return instanceUsage{usageAfter.CPU - usageBefore.CPU, after.bytes - before.bytes}, err
}

// measureCost measures what a change costs the first instance, beyond what it uses while nothing changes. No instance
// is polled for its revision meanwhile. It returns the last revision.
func (ConfigurationMeasurement) measureCost(ctx context.Context, b *Bench, distributor Distributor, revision uint64,
	instances int) (uint64, error) {
	p, x := distributor.Process(0), float64(instances)
	const length = changesInWindow*changeInterval + settleTime
	for range pick(b, 1, 5) {
		idle, err := measureInstanceUsage(ctx, p, changesInWindow, func() error { return nil })
		if err != nil {
			return revision, err
		}
		busy, err := measureInstanceUsage(ctx, p, changesInWindow, func() error {
			revision++
			return distributor.Distribute(ctx, revision)
		})
		if err != nil {
			return revision, err
		}
		b.Add(metricInstanceCPU+distributor.Name(), axisInstances, "ms", sourceReal, x,
			(busy.cpu-idle.cpu).Seconds()*1e3/changesInWindow)
		b.Add(metricInstanceBytes+distributor.Name(), axisInstances, "B", sourceReal, x,
			(busy.bytes-idle.bytes)/changesInWindow)
		b.Add(metricIdleLinkBytes+distributor.Name(), axisInstances, "B/s", sourceReal, x, idle.bytes/length.Seconds())
	}
	return revision, awaitRevision(ctx, distributor, revision, 0, instances)
}
