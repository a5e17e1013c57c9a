package scale

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a chart, and the number of segments of a drawn curve.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	curveSteps  = 100
)

// lineColors are the colors of the sources in a chart, in order.
var lineColors = []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255}}

// WriteCharts draws one SVG file per metric and axis into a folder, with the points and the fit of each source.
func WriteCharts(dir string, all []*Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	drawn := map[string]bool{}
	for _, s := range all {
		name := chartFileName(s.Metric + " over " + s.Axis)
		if drawn[name] {
			continue
		}
		drawn[name] = true
		var group []*Series
		for _, o := range all {
			if o.Metric == s.Metric && o.Axis == s.Axis {
				group = append(group, o)
			}
		}
		if err := drawChart(filepath.Join(dir, name+".svg"), group); err != nil {
			return fmt.Errorf("chart of %s: %w", s.Metric, err)
		}
	}
	return nil
}

// chartFileName lower-cases a text, replaces everything but letters a to z and digits by hyphens, and removes those at
// either end.
func chartFileName(text string) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(text)), "-")
}

// drawChart draws the series of one metric and axis.
func drawChart(file string, group []*Series) error {
	p := plot.New()
	p.Title.Text = group[0].Metric
	p.X.Label.Text, p.Y.Label.Text = group[0].Axis, group[0].Unit
	for i, s := range group {
		points := make(plotter.XYs, len(s.Points))
		for k, point := range s.Points {
			points[k].X, points[k].Y = point.X, point.Y
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		dots.Color = lineColors[i%len(lineColors)]
		p.Add(dots)
		label := s.Source
		if s.Fit != nil {
			curve, err := plotter.NewLine(fitCurve(s))
			if err != nil {
				return err
			}
			curve.Color = dots.Color
			p.Add(curve)
			label += ", " + string(s.Fit.Model)
		}
		p.Legend.Add(label, dots)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(chartWidth, chartHeight, file)
}

// fitCurve returns the fitted values over the measured range.
func fitCurve(s *Series) plotter.XYs {
	x, _ := s.ranges()
	line := make(plotter.XYs, curveSteps+1)
	for i := range line {
		line[i].X = x[0] + (x[1]-x[0])*float64(i)/curveSteps
		line[i].Y = s.Fit.At(line[i].X)
	}
	return line
}
