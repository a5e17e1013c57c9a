// Package scale measures how the program's costs grow with the size of an installation. It fits the growth over the
// number of workers, dispatchers and teams, over changes a second and over the number of regions that are cut off from
// discovery, with a confidence interval for each slope. From the fits it computes the costs at the size that the
// operators expect in two years. Real dispatchers run next to simulated ones ("hollow" in reports and on the command
// line), which run the same code without clients, many in one process.
package scale

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"topazfall/internal/lab/report"
)

// Measurements returns the measurements of a run, in order.
func Measurements() []Measurement {
	return []Measurement{DecisionModule{}, Workers{}, Dispatchers{}, ChangeRates{}, Quotas{}, RegionCuts{},
		WorkerLosses{}, UrgentStarts{},
		ConfigurationMeasurement{Distributors: []Distributor{&SerialApply{}, &SharedRoster{}}}, ConfigurationModel{}}
}

// Time limits of a run, after which it ends with an error: a few times what a run takes on a busy machine.
const (
	maxQuickRun = 10 * time.Minute
	maxFullRun  = 40 * time.Minute
)

// Run makes all measurements, or those whose names contain o.Only, and writes its progress to w.
func Run(ctx context.Context, o Options, w io.Writer) (*report.Report, error) {
	b := NewBench(o, w)
	ctx, cancel := context.WithTimeout(ctx, pick(b, maxQuickRun, maxFullRun))
	defer cancel()
	all := slices.DeleteFunc(Measurements(), func(m Measurement) bool { return !strings.Contains(m.Name(), o.Only) })
	if len(all) == 0 {
		return nil, fmt.Errorf("no measurement has %q in its name", o.Only)
	}
	if err := b.Run(ctx, all); err != nil {
		return nil, err
	}
	if o.Only != "" {
		b.AddNote("measured are only parts with %q in their names: what they alone do not tell is not judged", o.Only)
	} else if err := b.AddCapacityBounds(); err != nil {
		return nil, err
	}
	if o.Charts != "" {
		if err := WriteCharts(o.Charts, b.Series); err != nil {
			return nil, err
		}
	}
	return b.Report(), nil
}

// targetSizes is the position on each axis at which the report gives the fitted value.
var targetSizes = map[string]float64{axisWorkers: sizeWorkers, axisTeams: sizeTeams, axisDispatchers: sizeDispatchers,
	axisInstances: realDispatchers, axisRegions: 1, axisChanges: 1, axisLost: zoneSize,
	axisRequests: peakStarts * realDispatchers / sizeDispatchers}

// Report returns the table of all series and derived values, with the bounds.
func (b *Bench) Report() *report.Report {
	r := report.New("scale", b.Seed, "figure", "of", "axis", "from", "to", "unit", "points", "fit", "rejected",
		"slope", "low",
		"high", "spread", "at", "is", "in loops")
	for _, s := range b.Series {
		x, _ := s.ranges()
		if s.Fit == nil {
			value, _ := s.valueAt(x[1])
			r.AddRow(s.Metric, s.Source, s.Axis, x[0], x[1], s.Unit, len(s.Points), "none", "", "", "", "", "",
				x[1], value, "")
			continue
		}
		f, at := s.Fit, targetSizes[s.Axis]
		value, _ := s.valueAt(at)
		r.AddRow(s.Metric, s.Source, s.Axis, x[0], x[1], s.Unit, len(s.Points), f.name(), f.Rejected, f.Slope, f.Low,
			f.High,
			f.Spread, at, value, b.timeInLoops(s.Unit, value))
	}
	for _, derived := range b.derived {
		r.AddRow(derived.name, "", "", "", "", derived.unit, "", "", "", "", "", "", "", "", derived.value, "")
	}
	for _, from := range b.Bounds {
		bound := report.Bound{Name: from.Name, Value: from.Value, Max: from.Max, Unit: from.Unit}
		if from.IsWallClock && b.Calibration.IsBusy() {
			bound.Inconclusive = "machine too busy"
		}
		r.Bounds = append(r.Bounds, bound)
	}
	r.Notes, r.Data = b.Notes, b.Series
	r.Notes = append(r.Notes, b.calibrationNote())
	return r
}

// timeInLoops returns a time as a multiple of the processor time of the calibration loop, or "" if the unit is not one
// of time.
func (b *Bench) timeInLoops(unit string, value float64) any {
	seconds, ok := map[string]float64{"us": 1e-6, "ms": 1e-3, "s": 1}[unit]
	if !ok || b.Calibration.LoopTime() == 0 {
		return ""
	}
	return value * seconds / b.Calibration.LoopTime().Seconds()
}
