package scale

import (
	"context"
	"time"

	"topazfall/internal/lab/program"
)

// What a change costs the first instance, by a carrier whose name is appended.
const (
	figureFollowerCPU   = "processor time of a change at an instance: "
	figureFollowerBytes = "bytes on the links of a change at an instance: "
	figureLinksIdle     = "bytes a second on the links of an instance while nothing changes: "
	changeEvery         = 250 * time.Millisecond
	changesInWindow     = 8 // 2 s
)

// An agent's own figures of its links to the others: contents of frames with their heads, without TCP's.
const (
	figureLinksSent     = "app_config_sent_bytes_total"
	figureLinksReceived = "app_config_received_bytes_total"
)

// spent is what an instance has used up to a moment.
type spent struct {
	cpu   time.Duration
	bytes float64
}

// spending reads what a process has used. The figures are read between the windows that are measured.
func spending(p *program.Process) (spent, error) {
	figures, err := p.Metrics()
	if err != nil {
		return spent{}, err
	}
	usage, err := program.ReadUsage(p.PID())
	return spent{usage.CPU, figures[figureLinksSent] + figures[figureLinksReceived]}, err
}

// spends measures what the first instance uses in a window in which do is called so often, evenly spread.
func spends(ctx context.Context, p *program.Process, times int, do func() error) (spent, error) {
	before, err := spending(p)
	if err != nil {
		return spent{}, err
	}
	read, err := program.ReadUsage(p.PID()) // without what the reading of the figures took
	if err != nil {
		return spent{}, err
	}
	began := time.Now()
	for i := range times {
		if err := do(); err != nil {
			return spent{}, err
		}
		if err := sleep(ctx, time.Duration(i+1)*changeEvery-time.Since(began)); err != nil {
			return spent{}, err
		}
	}
	if err := sleep(ctx, settle); err != nil { // what the last one leaves behind
		return spent{}, err
	}
	usage, err := program.ReadUsage(p.PID())
	if err != nil {
		return spent{}, err
	}
	after, err := spending(p)
	return spent{usage.CPU - read.CPU, after.bytes - before.bytes}, err
}

// cost measures what a change costs the first instance, beyond what it uses while nothing changes; nobody asks it
// meanwhile. It returns the last revision.
func (Configuration) cost(ctx context.Context, b *Bench, carrier Distributor, revision uint64, instances int) (uint64,
	error) {
	p, axis := carrier.Process(0), float64(instances)
	const length = changesInWindow*changeEvery + settle
	for range pick(b, 1, 5) {
		idle, err := spends(ctx, p, changesInWindow, func() error { return nil })
		if err != nil {
			return revision, err
		}
		busy, err := spends(ctx, p, changesInWindow, func() error {
			revision++
			return carrier.Distribute(ctx, revision)
		})
		if err != nil {
			return revision, err
		}
		b.Add(figureFollowerCPU+carrier.Name(), axisInstances, "ms", fromReal, axis,
			(busy.cpu-idle.cpu).Seconds()*1e3/changesInWindow)
		b.Add(figureFollowerBytes+carrier.Name(), axisInstances, "B", fromReal, axis,
			(busy.bytes-idle.bytes)/changesInWindow)
		b.Add(figureLinksIdle+carrier.Name(), axisInstances, "B/s", fromReal, axis, idle.bytes/length.Seconds())
	}
	return revision, awaitRevision(ctx, carrier, revision, 0, instances)
}
