package scale

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options say how a run is made.
type Options struct {
	Programs
	Agent  string // path of the agent
	Seed   uint64
	Quick  bool
	Only   string // part of the names of the measurements to make; "" for all
	Charts string // folder for the charts; "" for none
}

// Measurement is one part of a run, which adds its series and bars to the bench.
type Measurement interface {
	Name() string
	Measure(ctx context.Context, b *Bench) error
}

// Bench is what the measurements of a run share.
type Bench struct {
	Options
	Data
	Calibration *Calibration
	Bounds      []Bound
	Notes       []string // what was left out, and why
	worked      []worked // figures that follow from others
	log         io.Writer
	began       time.Time
}

// Bound is a figure that must not lie above a bound.
type Bound struct {
	Name        string
	Value       float64
	Max         float64
	Unit        string
	IsWallClock bool // in wall-clock time, which a busy machine makes longer
}

const (
	paceLoops = 40 // in each timing of the fixed loop: some 50 ms
	realCount = 5  // processes of the program in each installation
)

// NewBench returns an empty bench that tells its progress to log.
func NewBench(o Options, log io.Writer) *Bench {
	return &Bench{Options: o, Calibration: NewCalibration(), log: log, began: time.Now()}
}

// Run makes all measurements, one after the other.
func (b *Bench) Run(ctx context.Context, all []Measurement) error {
	for i, m := range all {
		b.Progress("%d of %d: %s", i+1, len(all), m.Name())
		b.Calibration.Run(paceLoops)
		if err := m.Measure(ctx, b); err != nil {
			return fmt.Errorf("%s: %w", m.Name(), err)
		}
	}
	b.Calibration.Run(paceLoops)
	b.keepPace()
	return b.Fit()
}

// The fixed loop as a series, for who works a run out anew.
const (
	figureLoop  = "the fixed loop"
	axisTimings = "timings"
	fromRun     = "run"
)

func (b *Bench) keepPace() {
	b.Add(figureLoop, axisTimings, "us", fromRun, 1, b.Calibration.LoopTime().Seconds()*1e6)
}

// Progress tells what the run does.
func (b *Bench) Progress(format string, values ...any) {
	fmt.Fprintf(b.log, "%6.1f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, values...))
}

// AddNote keeps what was left out, for the report.
func (b *Bench) AddNote(format string, values ...any) {
	b.Notes = append(b.Notes, fmt.Sprintf(format, values...))
}

// AddBound keeps a bar.
func (b *Bench) AddBound(bar Bound) { b.Bounds = append(b.Bounds, bar) }

// pick is the value for a quick run or for a whole one.
func pick[T any](b *Bench, quick, whole T) T {
	if b.Quick {
		return quick
	}
	return whole
}

// start starts an installation with no more hollow dispatchers than the machine has memory for.
func (b *Bench) start(ctx context.Context, s Setup) (*Installation, error) {
	room, err := memoryRoom()
	if err != nil {
		return nil, err
	}
	if fits := hollowWithin(room, s); fits < s.Simulated {
		b.AddNote("%d hollow dispatchers with %d workers in place of %d, for half of the machine's memory", fits,
			s.Workers, s.Simulated)
		s.Simulated = fits
	}
	b.Calibration.Run(paceLoops)
	b.Progress("%d workers, %d dispatchers (%d real, %d hollow), %d teams", s.Workers, s.Dispatchers, s.Real,
		s.Simulated, s.Teams)
	return Start(ctx, b.Programs, s, b.Seed)
}

// paceNote says how fast and how steady the machine was.
func (b *Bench) paceNote() string {
	return fmt.Sprintf("the fixed loop takes %s of processor time, and its 90th percentile %.2f times that by the "+
		"clock (too busy above %.1f)",
		b.Calibration.LoopTime(), b.Calibration.Variation(), unsteady)
}
