// Package soak plays seeded runs of starts, ends, reloads and replacements of real dispatchers under load, with
// workers, discovery and clients that fail, and judges the history of each by the operators' rules.
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

// Options say what is played.
type Options struct {
	ProgramPath string        // path of the dispatcher
	Env         []string      // of the dispatchers
	FirstSeed   uint64        // seed of the first run
	Seeds       int           // how many runs, with seeds in a row
	Parallel    int           // runs at a time
	MaxLength   time.Duration // bound on the length of a run; 0 for none
	LogDir      string        // folder for the logs of runs with breaks; "" for none
}

// errOptions is an option that makes no sense.
var errOptions = errors.New("soak")

// UsageError tells that a run cannot be made as it was asked for.
type UsageError struct{ Err error }

func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong.
func (e UsageError) Unwrap() error { return e.Err }

// check looks at the options before anything is started.
func (o Options) check() error {
	info, err := os.Stat(o.ProgramPath)
	switch {
	case o.Seeds < 1:
		return UsageError{fmt.Errorf("%w: %d seeds are none", errOptions, o.Seeds)}
	case o.Parallel < 1:
		return UsageError{fmt.Errorf("%w: %d runs at a time are none", errOptions, o.Parallel)}
	case err != nil:
		return UsageError{fmt.Errorf("%w: the dispatcher: %w", errOptions, err)}
	case info.IsDir() || info.Mode()&0o111 == 0:
		return UsageError{fmt.Errorf("%w: the dispatcher: %s is no program", errOptions, o.ProgramPath)}
	}
	if o.LogDir == "" {
		return nil
	}
	if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
		return UsageError{fmt.Errorf("%w: the folder of logs: %w", errOptions, err)}
	}
	probe, err := os.CreateTemp(o.LogDir, ".probe-*")
	if err != nil {
		return UsageError{fmt.Errorf("%w: the folder of logs: %w", errOptions, err)}
	}
	probe.Close()
	return os.Remove(probe.Name())
}

// Outcome is what a run has shown.
type Outcome struct {
	Seed                uint64         `json:"seed"`
	Ends                map[string]int `json:"ends"`     // of the requests
	Statuses            map[int]int    `json:"statuses"` // of the answers
	UnreadFirstRequests int            `json:"door"`     // first requests of a connection that nobody read, where no crowd was
	Attempts            int            `json:"attempts"`
	Processes           int            `json:"lives"`  // processes
	KilledAfterTerm     int            `json:"killed"` // of these, at the end of their time
	Stalled             time.Duration  `json:"stalled"`
	Violations          []Violation    `json:"breaks"`
	Failure             string         `json:"fault,omitempty"` // why it could not be played to its end
}

// Run plays the runs and reports what they have shown. Progress is told to w.
func Run(ctx context.Context, o Options, w io.Writer) (*report.Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, o.Seeds)
	places := make(chan bool, o.Parallel)
	var told sync.Mutex
	var wait sync.WaitGroup
	for k := range outcomes {
		places <- true
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		wait.Go(func() {
			defer func() { <-places }()
			plan := NewPlan(o.FirstSeed+uint64(k), o.MaxLength)
			told.Lock()
			fmt.Fprint(w, plan)
			told.Unlock()
			outcomes[k] = RunPlan(ctx, o, plan)
			told.Lock()
			defer told.Unlock()
			outcomes[k].tell(w)
		})
	}
	wait.Wait()
	return summary(o, outcomes), ctx.Err()
}

// RunPlan plays one run and judges it.
func RunPlan(ctx context.Context, o Options, p Plan) Outcome {
	out := Outcome{Seed: p.Seed, Ends: map[string]int{}, Statuses: map[int]int{}}
	history, err := play(ctx, o, p)
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
	for _, l := range history.Processes {
		if !l.Killed.IsZero() && !l.Terminated.IsZero() {
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

// play plays one run and returns its history.
func play(ctx context.Context, o Options, p Plan) (*History, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, UsageError{err}
	}
	defer os.RemoveAll(dir)
	i, err := start(ctx, o, p, dir)
	if err != nil {
		return nil, err
	}
	defer i.close()
	if err := i.run(ctx); err != nil {
		return nil, err
	}
	i.collect()
	if o.LogDir != "" {
		err = i.keepLogs(o.LogDir)
	}
	return &i.history, err
}

// run has all that the plan says happen, and ends the installation in good order.
func (i *installation) run(ctx context.Context) error {
	playing, over := context.WithTimeout(ctx, i.plan.Length)
	defer over()
	watching, unwatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { i.watchStalls(watching) })
	defer watch.Wait()
	defer unwatch()
	var wait sync.WaitGroup
	var faults sync.Map
	do := func(what func(context.Context) error) {
		wait.Go(func() {
			if err := what(playing); err != nil {
				faults.Store(err, true)
			}
		})
	}
	calling, hangUp := context.WithCancel(ctx)
	var calls sync.WaitGroup
	for _, m := range i.members {
		do(m.act)
		for number := range i.plan.Clients {
			calls.Go(func() { m.call(calling, number) })
		}
	}
	do(i.joint)
	do(i.trouble)
	do(i.outages)
	wait.Wait()
	hangUp()
	calls.Wait()
	var all []error
	faults.Range(func(err, _ any) bool {
		all = append(all, err.(error))
		return true
	})
	if err := errors.Join(append(all, ctx.Err())...); err != nil {
		return err
	}
	return i.finish()
}

const (
	heartbeat = 5 * time.Millisecond
	stall     = 25 * time.Millisecond // between two heartbeats
)

// watchStalls notes when the run itself stood still.
func (i *installation) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(heartbeat)
		now := time.Now()
		if now.Sub(last) > stall {
			i.note(func(time.Time) { i.history.Stalls = append(i.history.Stalls, Stall{last, now}) })
		}
		last = now
	}
}

const (
	settleTime = 10 * time.Second // for connections to be closed when nobody uses them
	settleLook = 50 * time.Millisecond
	spare      = 3 // descriptors, and goroutines, beyond those of a process that nobody has used
)

// finish looks what the processes still hold when all clients have gone, and ends them.
func (i *installation) finish() error {
	if i.crowd != nil {
		i.crowd.Stop()
	}
	var wait sync.WaitGroup
	for _, m := range i.members {
		wait.Go(func() { m.settle() })
	}
	wait.Wait()
	for _, m := range i.members {
		wait.Go(func() {
			p := i.rig.Process(m.name)
			if m.index == counted {
				m.countLeft(p)
				return
			}
			m.terminate(p, ProcessStep{})
			m.awaitEnd(p)
		})
	}
	wait.Wait()
	return nil
}

// settle waits until a process holds no more than one that nobody has used, and notes what it holds at the end.
func (m *member) settle() {
	p := m.rig.Process(m.name)
	left := Leftover{Process: m.name, AllowedDescriptors: m.idle + spare}
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(settleLook) {
		figures, err := p.Metrics()
		if err != nil {
			continue
		}
		left.Outstanding = int(figures["app_outstanding"])
		if left.Descriptors, err = p.OpenDescriptors(); err == nil && left.Descriptors <= left.AllowedDescriptors &&
			left.Outstanding == 0 {
			break
		}
	}
	m.note(func(time.Time) { m.history.Leftovers = append(m.history.Leftovers, left) })
}

// collect adds to the history what the workers and the processes have seen.
func (i *installation) collect() {
	for _, h := range i.workers {
		for _, a := range h.Attempts() {
			i.history.Attempts = append(i.history.Attempts, Attempt{Attempt: a, Worker: h.Name()})
		}
	}
	for _, m := range i.members {
		for _, l := range m.lives {
			i.history.Processes = append(i.history.Processes, *l)
		}
	}
	slices.SortFunc(i.history.Processes, func(a, b ProcessRecord) int { return a.Started.Compare(b.Started) })
}

// tell tells what a run has shown.
func (o Outcome) tell(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %v, %d at the door, statuses %v, %d attempts, %d processes, %d killed at their end, "+
		"stalled %v\n",
		o.Seed, o.Ends, o.UnreadFirstRequests, o.Statuses, o.Attempts, o.Processes, o.KilledAfterTerm, o.Stalled.Round(time.Millisecond))
	if o.Failure != "" {
		fmt.Fprintf(w, "seed %d: COULD NOT BE PLAYED: %s\n", o.Seed, o.Failure)
	}
	for _, b := range o.Violations {
		fmt.Fprintf(w, "seed %d: BROKEN %s %s %s: %s\n", o.Seed, b.Rule, b.Process, b.ID, b.Message)
		for _, line := range b.Events {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
}

// summary makes the report of all runs.
func summary(o Options, outcomes []Outcome) *report.Report {
	r := report.New("soak", o.FirstSeed, "seed", "requests", "served", "door", "attempts", "processes", "killed",
		"breaks")
	faults := 0
	for _, out := range outcomes {
		requests := 0
		for _, n := range out.Ends {
			requests += n
		}
		r.AddRow(out.Seed, requests, out.Statuses[200], out.UnreadFirstRequests, out.Attempts, out.Processes, out.KilledAfterTerm, len(out.Violations))
		if out.Failure != "" {
			faults++
		}
		if len(out.Violations) > 0 || out.Failure != "" {
			r.Notes = append(r.Notes,
				fmt.Sprintf("again: topazlab soak --first %d --seeds 1%s", out.Seed, o.lengthFlag()))
		}
	}
	for _, rule := range []Rule{RuleLost, RuleClosed, RuleDuplicate, RuleRefused, RuleInvented, RuleDrain, RuleDeparted, RuleTimeout, RuleErrorOwed, RuleCrash,
		RuleReady, RuleLeak} {
		n := 0
		for _, out := range outcomes {
			for _, b := range out.Violations {
				if b.Rule == rule {
					n++
				}
			}
		}
		r.AddBound("broken: "+string(rule), float64(n), 0, "")
	}
	r.AddBound("runs that could not be played", float64(faults), 0, "")
	r.Data = outcomes
	return r
}

func (o Options) lengthFlag() string {
	if o.MaxLength == 0 {
		return ""
	}
	return fmt.Sprintf(" --longest %v", o.MaxLength)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o644) }
