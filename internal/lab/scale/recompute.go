package scale

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall/internal/lab/report"
)

// savedRun is the JSON file of a run.
type savedRun struct {
	report.Report
	Data []*Series `json:"data"`
}

// Recompute reads the files of earlier runs and computes the derived values and bounds again. The measured series are
// those of the files, and so are the bounds that do not follow from a fit. If several files hold the same series, the
// last one is used.
func Recompute(files []string, charts string) (*report.Report, error) {
	b := NewBench(Options{}, io.Discard)
	var bounds []report.Bound
	for _, file := range files {
		var run savedRun
		text, err := os.ReadFile(file)
		if err == nil {
			err = jsoniter.Unmarshal(text, &run)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		b.Seed = run.Seed
		b.replace(run.Data)
		bounds = append(bounds, run.Bounds...)
		for _, note := range run.Notes {
			b.AddNote("%s: %s", file, note)
		}
	}
	if loop := b.Find(metricLoop, axisTimings, sourceRun); loop != nil {
		b.Calibration.cpuTimes = []time.Duration{time.Duration(loop.Points[0].Y * float64(time.Microsecond))}
	}
	if err := b.Fit(); err != nil {
		return nil, err
	}
	if err := b.AddCapacityBounds(); err != nil {
		return nil, err
	}
	if charts != "" {
		if err := WriteCharts(charts, b.Series); err != nil {
			return nil, err
		}
	}
	r := b.Report()
	r.Name = "scale, worked out anew from earlier runs"
	r.Notes = b.Notes // without the calibration note of this process: the timings are those of the runs
	for _, bound := range bounds {
		if !slices.ContainsFunc(r.Bounds, func(o report.Bound) bool { return o.Name == bound.Name }) {
			r.Bounds = append(r.Bounds, bound)
		}
	}
	return r, nil
}

// replace adds series, in place of those with the same metric, axis and source.
func (d *Data) replace(all []*Series) {
	for _, s := range all {
		d.Series = slices.DeleteFunc(d.Series, func(o *Series) bool {
			return o.Metric == s.Metric && o.Axis == s.Axis && o.Source == s.Source
		})
		d.Series = append(d.Series, s)
	}
}
