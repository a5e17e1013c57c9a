package scale

import (
	"cmp"
	"fmt"
	"slices"
)

// Series is one figure along one axis.
type Series struct {
	Metric string  `json:"figure"`
	Axis   string  `json:"axis"`
	Unit   string  `json:"unit"`
	Source string  `json:"source"` // real, hollow, or module for the decision module alone
	Points []Point `json:"points"`
	Fit    *Fit    `json:"fit"` // nil where the points carry none
}

// The sources of series.
const (
	fromModule = "module"
	fromReal   = string(realKind)
	fromHollow = string(hollowKind)
)

// ranges of the axis and of the values, over all points.
func (s *Series) ranges() (x, y [2]float64) {
	byX := func(a, b Point) int { return cmp.Compare(a.X, b.X) }
	byY := func(a, b Point) int { return cmp.Compare(a.Y, b.Y) }
	x = [2]float64{slices.MinFunc(s.Points, byX).X, slices.MaxFunc(s.Points, byX).X}
	y = [2]float64{slices.MinFunc(s.Points, byY).Y, slices.MaxFunc(s.Points, byY).Y}
	return x, y
}

// Data are the series of a run, in the order in which they were measured.
type Data struct{ Series []*Series }

// Add adds points to a series, which begins with its first.
func (d *Data) Add(figure, axis, unit, source string, x float64, ys ...float64) {
	s := d.Find(figure, axis, source)
	if s == nil {
		s = &Series{Metric: figure, Axis: axis, Unit: unit, Source: source}
		d.Series = append(d.Series, s)
	}
	for _, y := range ys {
		s.Points = append(s.Points, Point{x, y})
	}
}

// Find returns the series, or nil.
func (d *Data) Find(figure, axis, source string) *Series {
	for _, s := range d.Series {
		if s.Metric == figure && s.Axis == axis && s.Source == source {
			return s
		}
	}
	return nil
}

// Fit fits all series whose points carry it.
func (d *Data) Fit() error {
	for _, s := range d.Series {
		f, err := Regress(s.Points)
		if err == errFew {
			continue
		}
		if err != nil {
			return fmt.Errorf("%s over %s: %w", s.Metric, s.Axis, err)
		}
		s.Fit = &f
	}
	return nil
}

// At is a figure at a place of its axis: the median of what was measured there, or the fit where nothing was.
func (d *Data) At(figure, axis, source string, x float64) (float64, error) {
	s := d.Find(figure, axis, source)
	if s == nil {
		return 0, fmt.Errorf("%s over %s (%s) is not measured", figure, axis, source)
	}
	value, ok := s.at(x)
	if !ok {
		return 0, fmt.Errorf("%s over %s (%s) is not measured at %v, and has no fit", figure, axis, source, x)
	}
	return value, nil
}

func (s *Series) at(x float64) (value float64, ok bool) {
	var there []float64
	for _, p := range s.Points {
		if p.X == x {
			there = append(there, p.Y)
		}
	}
	switch {
	case len(there) > 0:
		return quantile(there, 0.5), true
	case s.Fit != nil:
		return s.Fit.At(x), true
	}
	return 0, false
}
