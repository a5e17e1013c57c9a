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

// Rework works the operators' figures out anew from the files of earlier runs: what was measured is theirs, and so
// are the bars that follow from no slope. A series that several hold is the last one's.
func Rework(files []string, charts string) (*report.Report, error) {
	b := NewBench(Options{}, io.Discard)
	var bars []report.Bar
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
		bars = append(bars, k.Bars...)
		for _, note := range k.Notes {
			b.Note("%s: %s", file, note)
		}
	}
	if loop := b.Find(figureLoop, axisTimings, fromRun); loop != nil {
		b.Pace.spent = []time.Duration{time.Duration(loop.Points[0].Y * float64(time.Microsecond))}
	}
	if err := b.Fit(); err != nil {
		return nil, err
	}
	if err := b.Judge(); err != nil {
		return nil, err
	}
	if charts != "" {
		if err := Charts(charts, b.Series); err != nil {
			return nil, err
		}
	}
	r := b.Report()
	r.Name = "scale, worked out anew from earlier runs"
	r.Notes = b.Notes // the machine's pace is that of the runs
	for _, bar := range bars {
		if !slices.ContainsFunc(r.Bars, func(o report.Bar) bool { return o.What == bar.What }) {
			r.Bars = append(r.Bars, bar)
		}
	}
	return r, nil
}

// replace puts series in the place of those that were there.
func (d *Data) replace(all []*Series) {
	for _, s := range all {
		d.Series = slices.DeleteFunc(d.Series, func(o *Series) bool {
			return o.Figure == s.Figure && o.Axis == s.Axis && o.Source == s.Source
		})
		d.Series = append(d.Series, s)
	}
}
