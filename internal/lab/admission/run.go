package admission

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"topazfall/internal/lab/report"
)

// errCrashed is wrapped by the error about a run that has panicked.
var errCrashed = errors.New("admission: the run crashed")

// Run runs all scenarios of the options and reports their results.
func Run(ctx context.Context, o Options) (*report.Report, error) {
	scenarios, err := o.scenarios()
	if err != nil {
		return nil, err
	}
	results, err := simulateAll(ctx, scenarios, o.Parallel)
	if err != nil {
		return nil, err
	}
	return newReport(o, results), nil
}

// simulateAll runs the scenarios, some of them at the same time, and returns the results in their order.
func simulateAll(ctx context.Context, scenarios []Scenario, parallel int) ([]*Result, error) {
	results := make([]*Result, len(scenarios))
	failures := make([]error, len(scenarios))
	slots := make(chan bool, parallel)
	var runs sync.WaitGroup
	for i, s := range scenarios {
		slots <- true
		if ctx.Err() != nil {
			break
		}
		runs.Go(func() {
			defer func() { <-slots }()
			results[i], failures[i] = simulateSafely(s)
		})
	}
	runs.Wait()
	return results, errors.Join(append(failures, ctx.Err())...)
}

// simulateSafely runs a scenario and returns an error that names it if the run crashes.
func simulateSafely(s Scenario) (result *Result, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v: %v\n%s", errCrashed, s, cause, debug.Stack())
		}
	}()
	return Simulate(s)
}
