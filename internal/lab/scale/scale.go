// Package scale measures how the program's costs grow with the size of an installation: slopes over workers,
// dispatchers, teams, changes a second and regions cut, with an interval each, and what they make of the size that
// the operators expect in two years. Real dispatchers run beside hollow ones, which are the same code without
// clients, many in a process.
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

// Measurements are those of a run, in order.
func Measurements() []Measurement {
	return []Measurement{DecisionModule{}, Workers{}, Dispatchers{}, ChangeRates{}, Quotas{}, RegionCuts{}, WorkerLosses{}, UrgentStarts{},
		Configuration{Distributors: []Distributor{&SerialApply{}, &SharedRoster{}}}, ConfigurationModel{}}
}

// Bounds in time of a run, beyond which it ends with an error: a few times what it takes on a busy machine.
const (
	mostQuick = 10 * time.Minute
	mostWhole = 40 * time.Minute
)

// Run measures everything, and tells its progress to w.
func Run(ctx context.Context, o Options, w io.Writer) (*report.Report, error) {
	b := NewBench(o, w)
	ctx, cancel := context.WithTimeout(ctx, pick(b, mostQuick, mostWhole))
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

// sizes are the places of the axes for which figures are worked out.
var sizes = map[string]float64{axisWorkers: sizeWorkers, axisTeams: sizeTeams, axisDispatchers: sizeDispatchers,
	axisInstances: realCount, axisRegions: 1, axisChanges: 1, axisLost: zoneSize,
	axisRequests: startsAtPeak * realCount / sizeDispatchers}

// Report is what was measured, as a table with its bars.
func (b *Bench) Report() *report.Report {
	r := report.New("scale", b.Seed, "figure", "of", "axis", "from", "to", "unit", "points", "fit", "rejected",
		"slope", "low",
		"high", "spread", "at", "is", "in loops")
	for _, s := range b.Series {
		x, _ := s.ranges()
		if s.Fit == nil {
			is, _ := s.at(x[1])
			r.AddRow(s.Metric, s.Source, s.Axis, x[0], x[1], s.Unit, len(s.Points), "none", "", "", "", "", "",
				x[1], is, "")
			continue
		}
		f, at := s.Fit, sizes[s.Axis]
		is, _ := s.at(at)
		r.AddRow(s.Metric, s.Source, s.Axis, x[0], x[1], s.Unit, len(s.Points), f.name(), f.Rejected, f.Slope, f.Low,
			f.High,
			f.Spread, at, is, b.loops(s.Unit, is))
	}
	for _, w := range b.worked {
		r.AddRow(w.what, "", "", "", "", w.unit, "", "", "", "", "", "", "", "", w.value, "")
	}
	for _, bar := range b.Bounds {
		kept := report.Bound{Name: bar.Name, Value: bar.Value, Max: bar.Max, Unit: bar.Unit}
		if bar.IsWallClock && b.Calibration.IsBusy() {
			kept.Inconclusive = "machine too busy"
		}
		r.Bounds = append(r.Bounds, kept)
	}
	r.Notes, r.Data = b.Notes, b.Series
	r.Notes = append(r.Notes, b.paceNote())
	return r
}

// loops is a time as a ratio to the fixed loop's, where the unit is one of time.
func (b *Bench) loops(unit string, value float64) any {
	seconds, ok := map[string]float64{"us": 1e-6, "ms": 1e-3, "s": 1}[unit]
	if !ok || b.Calibration.LoopTime() == 0 {
		return ""
	}
	return value * seconds / b.Calibration.LoopTime().Seconds()
}
