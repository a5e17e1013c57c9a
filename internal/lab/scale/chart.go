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

// Size of a chart.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	curveSteps  = 100
)

// lineColours are those of the sources in a chart, in order.
var lineColours = []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255}}

// WriteCharts draws each figure over its axis, with the fit of each source, as an SVG file in a folder.
func WriteCharts(dir string, all []*Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	drawn := map[string]bool{}
	for _, s := range all {
		name := fileName(s.Metric + " over " + s.Axis)
		if drawn[name] {
			continue
		}
		drawn[name] = true
		var together []*Series
		for _, o := range all {
			if o.Metric == s.Metric && o.Axis == s.Axis {
				together = append(together, o)
			}
		}
		if err := draw(filepath.Join(dir, name+".svg"), together); err != nil {
			return fmt.Errorf("chart of %s: %w", s.Metric, err)
		}
	}
	return nil
}

func fileName(text string) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(text)), "-")
}

func draw(file string, together []*Series) error {
	p := plot.New()
	p.Title.Text = together[0].Metric
	p.X.Label.Text, p.Y.Label.Text = together[0].Axis, together[0].Unit
	for i, s := range together {
		points := make(plotter.XYs, len(s.Points))
		for k, at := range s.Points {
			points[k].X, points[k].Y = at.X, at.Y
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		dots.Color = lineColours[i%len(lineColours)]
		p.Add(dots)
		label := s.Source
		if s.Fit != nil {
			curve, err := plotter.NewLine(curveOf(s))
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

func curveOf(s *Series) plotter.XYs {
	x, _ := s.ranges()
	line := make(plotter.XYs, curveSteps+1)
	for i := range line {
		line[i].X = x[0] + (x[1]-x[0])*float64(i)/curveSteps
		line[i].Y = s.Fit.At(line[i].X)
	}
	return line
}
