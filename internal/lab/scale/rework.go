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

// kept is what the file of a run holds.
type kept struct {
	report.Report
	Data []*Series `json:"data"`
}

// Recompute works the operators' figures out anew from the files of earlier runs: what was measured is theirs, and so
// are the bars that follow from no slope. A series that several hold is the last one's.
func Recompute(files []string, charts string) (*report.Report, error) {
	b := NewBench(Options{}, io.Discard)
	var bars []report.Bound
	for _, file := range files {
		var k kept
		text, err := os.ReadFile(file)
		if err == nil {
			err = jsoniter.Unmarshal(text, &k)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		b.Seed = k.Seed
		b.replace(k.Data)
		bars = append(bars, k.Bounds...)
		for _, note := range k.Notes {
			b.AddNote("%s: %s", file, note)
		}
	}
	if loop := b.Find(figureLoop, axisTimings, fromRun); loop != nil {
		b.Calibration.spent = []time.Duration{time.Duration(loop.Points[0].Y * float64(time.Microsecond))}
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
	r.Notes = b.Notes // the machine's pace is that of the runs
	for _, bar := range bars {
		if !slices.ContainsFunc(r.Bounds, func(o report.Bound) bool { return o.Name == bar.Name }) {
			r.Bounds = append(r.Bounds, bar)
		}
	}
	return r, nil
}

// replace puts series in the place of those that were there.
func (d *Data) replace(all []*Series) {
	for _, s := range all {
		d.Series = slices.DeleteFunc(d.Series, func(o *Series) bool {
			return o.Metric == s.Metric && o.Axis == s.Axis && o.Source == s.Source
		})
		d.Series = append(d.Series, s)
	}
}
