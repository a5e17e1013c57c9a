// Package soak runs long randomized tests of dispatcher processes. In a seeded run, several dispatchers are started,
// terminated, reloaded and replaced under load while workers, discovery and clients fail. The history of each run is
// then audited against the operators' rules.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/report"
)

// Options are the settings of Run.
type Options struct {
	ProgramPath string        // path of the dispatcher
	Env         []string      // added to the environment of the dispatchers
	FirstSeed   uint64        // seed of the first run
	Seeds       int           // number of runs, with consecutive seeds
	Parallel    int           // number of runs at the same time
	MaxLength   time.Duration // limit on the length of a run, 0 for none
	LogDir      string        // folder for the dispatchers' logs, "" to discard them
}

// errInvalidOptions is wrapped by the errors about invalid options.
var errInvalidOptions = errors.New("soak")

// UsageError says that a run cannot be made with the given options or on this machine.
type UsageError struct{ Err error }

func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.Err }

// check validates the options before anything is started.
func (o Options) check() error {
	info, err := os.Stat(o.ProgramPath)
	switch {
	case o.Seeds < 1:
		return UsageError{fmt.Errorf("%w: the number of seeds must be at least 1, not %d", errInvalidOptions, o.Seeds)}
	case o.Parallel < 1:
		return UsageError{fmt.Errorf("%w: the number of parallel runs must be at least 1, not %d", errInvalidOptions,
			o.Parallel)}
	case err != nil:
		return UsageError{fmt.Errorf("%w: the dispatcher: %w", errInvalidOptions, err)}
	case info.IsDir() || info.Mode()&0o111 == 0:
		return UsageError{fmt.Errorf("%w: the dispatcher: %s is not an executable file", errInvalidOptions,
			o.ProgramPath)}
	}
	if o.LogDir == "" {
		return nil
	}
	if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
		return UsageError{fmt.Errorf("%w: the log folder: %w", errInvalidOptions, err)}
	}
	probe, err := os.CreateTemp(o.LogDir, ".probe-*")
	if err != nil {
		return UsageError{fmt.Errorf("%w: the log folder: %w", errInvalidOptions, err)}
	}
	probe.Close()
	return os.Remove(probe.Name())
}

// Outcome is the result of a run.
type Outcome struct {
	Seed     uint64         `json:"seed"`
	Ends     map[string]int `json:"ends"`     // requests by outcome
	Statuses map[int]int    `json:"statuses"` // answers by status
	// UnreadFirstRequests counts first requests of a connection that was reset before they were read. It leaves out the
	// dispatcher with idle clients.
	UnreadFirstRequests int           `json:"door"`
	Attempts            int           `json:"attempts"`
	Processes           int           `json:"lives"`  // started in the run
	KilledAfterTerm     int           `json:"killed"` // of these, killed when their time after SIGTERM was over
	Stalled             time.Duration `json:"stalled"`
	PeakMemoryKB        int           `json:"peak_kb,omitempty"` // of the process that took most, in a run with deploys
	Violations          []Violation   `json:"breaks"`
	Failure             string        `json:"fault,omitempty"` // why the run could not be completed
}

// Run makes the runs and reports their results. It writes the plans and outcomes to w as it goes.
func Run(ctx context.Context, o Options, w io.Writer) (*report.Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, o.Seeds)
	slots := make(chan bool, o.Parallel)
	var output sync.Mutex
	var runs sync.WaitGroup
	for k := range outcomes {
		slots <- true
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		runs.Go(func() {
			defer func() { <-slots }()
			plan := NewPlan(o.FirstSeed+uint64(k), o.MaxLength)
			output.Lock()
			fmt.Fprint(w, plan)
			output.Unlock()
			outcomes[k] = RunPlan(ctx, o, plan)
			output.Lock()
			defer output.Unlock()
			outcomes[k].writeTo(w)
		})
	}
	runs.Wait()
	return newReport(o, outcomes), ctx.Err()
}

// RunPlan makes one run and audits it.
func RunPlan(ctx context.Context, o Options, p Plan) Outcome {
	out := Outcome{Seed: p.Seed, Ends: map[string]int{}, Statuses: map[int]int{}}
	history, err := executePlan(ctx, o, p)
	if err != nil {
		out.Failure = err.Error()
		return out
	}
	for _, r := range history.Requests {
		out.Ends[r.Outcome.String()]++
		switch {
		case r.Outcome == client.Answered:
			out.Statuses[r.Status]++
		case r.Outcome == client.ResetUnread && !r.Reused && !r.DescriptorsExhausted:
			out.UnreadFirstRequests++
		}
	}
	for _, process := range history.Processes {
		out.PeakMemoryKB = max(out.PeakMemoryKB, process.PeakMemoryKB)
		if !process.Killed.IsZero() && !process.Terminated.IsZero() {
			out.KilledAfterTerm++
		}
	}
	out.Attempts, out.Processes = len(history.Attempts), len(history.Processes)
	for _, s := range history.Stalls {
		out.Stalled += s.To.Sub(s.From)
	}
	out.Violations = Audit(history)
	return out
}

// executePlan makes one run and returns its history.
func executePlan(ctx context.Context, o Options, p Plan) (*History, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, UsageError{err}
	}
	defer os.RemoveAll(dir)
	inst, err := startInstallation(ctx, o, p, dir)
	if err != nil {
		return nil, err
	}
	defer inst.close()
	if err := inst.execute(ctx); err != nil {
		return nil, err
	}
	inst.collectHistory()
	if o.LogDir != "" {
		err = inst.writeLogs(o.LogDir)
	}
	return &inst.history, err
}

// execute runs all steps and clients of the plan, and then finish.
func (inst *installation) execute(ctx context.Context) error {
	stepsContext, cancelSteps := context.WithTimeout(ctx, inst.plan.Length)
	defer cancelSteps()
	watchContext, cancelWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { inst.watchStalls(watchContext) })
	if inst.plan.Deploys.Hosts > 0 {
		watch.Go(func() { inst.watchMemory(watchContext) })
	}
	defer watch.Wait()
	defer cancelWatch()
	var steps sync.WaitGroup
	var failures sync.Map
	start := func(run func(context.Context) error) {
		steps.Go(func() {
			if err := run(stepsContext); err != nil {
				failures.Store(err, true)
			}
		})
	}
	clientContext, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for _, m := range inst.members {
		start(m.runSteps)
		for number := range inst.plan.Clients {
			clients.Go(func() { m.runClient(clientContext, number) })
		}
	}
	start(inst.runJointSteps)
	start(inst.runWorkerSteps)
	start(inst.runDiscoverySteps)
	start(inst.runDeploys)
	steps.Wait()
	stopClients()
	clients.Wait()
	var errs []error
	failures.Range(func(err, _ any) bool {
		errs = append(errs, err.(error))
		return true
	})
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return err
	}
	return inst.finish()
}

const (
	stallCheckInterval = 5 * time.Millisecond
	minStall           = 25 * time.Millisecond // from one check to the next, to count as a stall
)

// watchStalls records when the process that makes the run was stalled.
func (inst *installation) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallCheckInterval)
		now := time.Now()
		if now.Sub(last) > minStall {
			inst.record(func(time.Time) { inst.history.Stalls = append(inst.history.Stalls, Stall{last, now}) })
		}
		last = now
	}
}

const (
	settleTimeout      = 10 * time.Second // limit for processes to close their connections and finish their requests
	settlePollInterval = 50 * time.Millisecond
	allowedExtra       = 3 // descriptors, and goroutines, beyond those of a process that was never used
)

// finish records the descriptors, unfinished requests and goroutines that the processes still have after all clients
// have disconnected, and ends the processes.
func (inst *installation) finish() error {
	if inst.idleClients != nil {
		inst.idleClients.Stop()
	}
	var group sync.WaitGroup
	for _, m := range inst.members {
		group.Go(func() { m.awaitRelease() })
	}
	group.Wait()
	for _, m := range inst.members {
		group.Go(func() {
			p := inst.rig.Process(m.name)
			if m.index == countedMember {
				m.countRemainingGoroutines(p)
				return
			}
			m.terminate(p, ProcessStep{})
			m.awaitExit(p)
		})
	}
	group.Wait()
	return nil
}

// awaitRelease waits until a process has no unfinished request and no more open descriptors than one that was never
// used plus allowedExtra, or until settleTimeout has passed. It records how many of both the process then has.
func (m *member) awaitRelease() {
	p := m.rig.Process(m.name)
	leftover := Leftover{Process: m.name, AllowedDescriptors: m.unusedDescriptors + allowedExtra}
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(settlePollInterval) {
		metrics, err := p.Metrics()
		if err != nil {
			continue
		}
		leftover.Outstanding = int(metrics["app_outstanding"])
		if leftover.Descriptors, err = p.OpenDescriptors(); err == nil &&
			leftover.Descriptors <= leftover.AllowedDescriptors && leftover.Outstanding == 0 {
			break
		}
	}
	m.record(func(time.Time) { m.history.Leftovers = append(m.history.Leftovers, leftover) })
}

// collectHistory adds the workers' attempts and the process records to the history.
func (inst *installation) collectHistory() {
	for _, h := range inst.workers {
		for _, a := range h.Attempts() {
			inst.history.Attempts = append(inst.history.Attempts, Attempt{Attempt: a, Worker: h.Name()})
		}
	}
	inst.history.Told = inst.told()
	for _, m := range inst.members {
		for _, record := range m.processes {
			inst.history.Processes = append(inst.history.Processes, *record)
		}
	}
	slices.SortFunc(inst.history.Processes, func(a, b ProcessRecord) int { return a.Started.Compare(b.Started) })
}

// writeTo writes the result of a run as text.
func (o Outcome) writeTo(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %v, %d at the door, statuses %v, %d attempts, %d processes, %d killed at their end, "+
		"stalled %v\n",
		o.Seed, o.Ends, o.UnreadFirstRequests, o.Statuses, o.Attempts, o.Processes, o.KilledAfterTerm,
		o.Stalled.Round(time.Millisecond))
	if o.PeakMemoryKB > 0 {
		fmt.Fprintf(w, "seed %d: at most %d kB\n", o.Seed, o.PeakMemoryKB)
	}
	if o.Failure != "" {
		fmt.Fprintf(w, "seed %d: COULD NOT BE PLAYED: %s\n", o.Seed, o.Failure)
	}
	for _, v := range o.Violations {
		fmt.Fprintf(w, "seed %d: BROKEN %s %s %s: %s\n", o.Seed, v.Rule, v.Process, v.ID, v.Message)
		for _, line := range v.Events {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
}

// newReport makes the report of all runs.
func newReport(o Options, outcomes []Outcome) *report.Report {
	r := report.New("soak", o.FirstSeed, "seed", "requests", "served", "door", "attempts", "processes", "killed",
		"breaks")
	failures := 0
	for _, out := range outcomes {
		requests := 0
		for _, n := range out.Ends {
			requests += n
		}
		r.AddRow(out.Seed, requests, out.Statuses[200], out.UnreadFirstRequests, out.Attempts, out.Processes,
			out.KilledAfterTerm, len(out.Violations))
		if out.Failure != "" {
			failures++
		}
		if len(out.Violations) > 0 || out.Failure != "" {
			r.Notes = append(r.Notes,
				fmt.Sprintf("again: topazlab soak --first %d --seeds 1%s", out.Seed, o.lengthFlag()))
		}
	}
	for _, rule := range allRules {
		n := 0
		for _, out := range outcomes {
			for _, v := range out.Violations {
				if v.Rule == rule {
					n++
				}
			}
		}
		r.AddBound("broken: "+string(rule), float64(n), 0, "")
	}
	r.AddBound("runs that could not be played", float64(failures), 0, "")
	r.Data = outcomes
	return r
}

// lengthFlag returns the command-line flag that repeats MaxLength.
func (o Options) lengthFlag() string {
	if o.MaxLength == 0 {
		return ""
	}
	return fmt.Sprintf(" --longest %v", o.MaxLength)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o644) }
