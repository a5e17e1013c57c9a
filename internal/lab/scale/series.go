package scale

import (
	"cmp"
	"fmt"
	"slices"
)

// Series holds the measured points of one metric along one axis, and their fit.
type Series struct {
	Metric string `json:"figure"`
	Axis   string `json:"axis"`
	Unit   string `json:"unit"`
	// Source is what was measured: real ("real") or simulated ("hollow") dispatchers, all dispatchers together ("all"),
	// the decision module alone ("module"), or work outside of any dispatcher, such as the calibration loop ("run").
	// Values that a simulation in virtual time computed have the source "model in virtual time".
	Source string  `json:"source"`
	Points []Point `json:"points"`
	Fit    *Fit    `json:"fit"` // nil if there are too few points for a fit
}

// Sources of series.
const (
	sourceModule    = "module"
	sourceReal      = string(realKind)
	sourceSimulated = string(simulatedKind)
)

// ranges returns the smallest and largest x and y of all points.
func (s *Series) ranges() (x, y [2]float64) {
	byX := func(a, b Point) int { return cmp.Compare(a.X, b.X) }
	byY := func(a, b Point) int { return cmp.Compare(a.Y, b.Y) }
	x = [2]float64{slices.MinFunc(s.Points, byX).X, slices.MaxFunc(s.Points, byX).X}
	y = [2]float64{slices.MinFunc(s.Points, byY).Y, slices.MaxFunc(s.Points, byY).Y}
	return x, y
}

// Data holds the series of a run, in the order in which they were measured.
type Data struct{ Series []*Series }

// Add adds points to a series, which it creates if there is none yet.
func (d *Data) Add(metric, axis, unit, source string, x float64, ys ...float64) {
	s := d.Find(metric, axis, source)
	if s == nil {
		s = &Series{Metric: metric, Axis: axis, Unit: unit, Source: source}
		d.Series = append(d.Series, s)
	}
	for _, y := range ys {
		s.Points = append(s.Points, Point{x, y})
	}
}

// Find returns the series, or nil if there is none.
func (d *Data) Find(metric, axis, source string) *Series {
	for _, s := range d.Series {
		if s.Metric == metric && s.Axis == axis && s.Source == source {
			return s
		}
	}
	return nil
}

// Fit fits all series that have enough points.
func (d *Data) Fit() error {
	for _, s := range d.Series {
		f, err := Regress(s.Points)
		if err == errTooFewPoints {
			continue
		}
		if err != nil {
			return fmt.Errorf("%s over %s: %w", s.Metric, s.Axis, err)
		}
		s.Fit = &f
	}
	return nil
}

// At returns the value of a metric at x: the median of the values measured there, or else the fitted value.
func (d *Data) At(metric, axis, source string, x float64) (float64, error) {
	s := d.Find(metric, axis, source)
	if s == nil {
		return 0, fmt.Errorf("%s over %s (%s) is not measured", metric, axis, source)
	}
	value, ok := s.valueAt(x)
	if !ok {
		return 0, fmt.Errorf("%s over %s (%s) is not measured at %v, and has no fit", metric, axis, source, x)
	}
	return value, nil
}

// valueAt returns the median of the values measured at x, or else the fitted value. It returns false if there is
// neither.
func (s *Series) valueAt(x float64) (value float64, ok bool) {
	var measured []float64
	for _, p := range s.Points {
		if p.X == x {
			measured = append(measured, p.Y)
		}
	}
	switch {
	case len(measured) > 0:
		return quantile(measured, 0.5), true
	case s.Fit != nil:
		return s.Fit.At(x), true
	}
	return 0, false
}
