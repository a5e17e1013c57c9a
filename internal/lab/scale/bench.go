package scale

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options configures a run.
type Options struct {
	Programs
	Agent  string // path of the agent program
	Seed   uint64
	Quick  bool   // fewer and shorter measurements
	Only   string // make only the measurements whose names contain this; "" for all
	Charts string // folder for the charts; "" for no charts
}

// Measurement is one part of a run. It adds its series and bounds to the bench.
type Measurement interface {
	Name() string
	Measure(ctx context.Context, b *Bench) error
}

// Bench holds what the measurements of a run share: the options, the results and the calibration of the machine.
type Bench struct {
	Options
	Data
	Calibration *Calibration
	Bounds      []Bound
	Notes       []string       // what was left out, and why
	derived     []derivedValue // computed from fitted metrics
	log         io.Writer
	startedAt   time.Time
}

// Bound is a measured value and the maximum that it must not exceed.
type Bound struct {
	Name        string
	Value       float64
	Max         float64
	Unit        string
	IsWallClock bool // the value is in wall-clock time, which a busy machine makes longer
}

const (
	calibrationLoops = 40 // loops in each calibration: some 50 ms
	realDispatchers  = 5  // real dispatchers (processes of the program) in each installation
)

// NewBench returns a bench without results that logs its progress to log.
func NewBench(o Options, log io.Writer) *Bench {
	return &Bench{Options: o, Calibration: NewCalibration(), log: log, startedAt: time.Now()}
}

// Run makes the given measurements one after the other and fits all series.
func (b *Bench) Run(ctx context.Context, all []Measurement) error {
	for i, m := range all {
		b.Progress("%d of %d: %s", i+1, len(all), m.Name())
		b.Calibration.Run(calibrationLoops)
		if err := m.Measure(ctx, b); err != nil {
			return fmt.Errorf("%s: %w", m.Name(), err)
		}
	}
	b.Calibration.Run(calibrationLoops)
	b.recordCalibration()
	return b.Fit()
}

// The calibration loop's time is kept as a series, so that Recompute can read it from the file of a run.
const (
	metricLoop  = "the fixed loop"
	axisTimings = "timings"
	sourceRun   = "run"
)

func (b *Bench) recordCalibration() {
	b.Add(metricLoop, axisTimings, "us", sourceRun, 1, b.Calibration.LoopTime().Seconds()*1e6)
}

// Progress logs what the run does.
func (b *Bench) Progress(format string, values ...any) {
	fmt.Fprintf(b.log, "%6.1f s  %s\n", time.Since(b.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// AddNote adds a note to the report, for instance on what was left out.
func (b *Bench) AddNote(format string, values ...any) {
	b.Notes = append(b.Notes, fmt.Sprintf(format, values...))
}

// AddBound adds a bound to the report.
func (b *Bench) AddBound(bound Bound) { b.Bounds = append(b.Bounds, bound) }

// pick returns quick if the run is a quick one (Options.Quick), else full.
func pick[T any](b *Bench, quick, full T) T {
	if b.Quick {
		return quick
	}
	return full
}

// startInstallation starts an installation with at most as many simulated dispatchers as fit into the memory budget.
func (b *Bench) startInstallation(ctx context.Context, s Setup) (*Installation, error) {
	budget, err := memoryBudget()
	if err != nil {
		return nil, err
	}
	if fits := maxSimulatedWithin(budget, s); fits < s.Simulated {
		b.AddNote("%d hollow dispatchers with %d workers in place of %d, for half of the machine's memory", fits,
			s.Workers, s.Simulated)
		s.Simulated = fits
	}
	b.Calibration.Run(calibrationLoops)
	b.Progress("%d workers, %d dispatchers (%d real, %d hollow), %d teams", s.Workers, s.Dispatchers, s.Real,
		s.Simulated, s.Teams)
	return Start(ctx, b.Programs, s, b.Seed)
}

// calibrationNote describes how fast and how steady the machine was.
func (b *Bench) calibrationNote() string {
	return fmt.Sprintf("the fixed loop takes %s of processor time, and its 90th percentile %.2f times that by the "+
		"clock (too busy above %.1f)",
		b.Calibration.LoopTime(), b.Calibration.Variation(), maxVariation)
}
