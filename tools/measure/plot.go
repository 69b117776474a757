package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"bamboorail.example/bamboorail/internal/measure"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plotStalls plots the mean stall of each variant over time and saves the plot
// to path.
func plotStalls(path, site string, cells []cell) error {
	p := plot.New()
	p.Title.Text = "Load stalls, " + site + ", popularity shift at 240 s"
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = "mean stall (s)"
	lines := make([]any, 0, 2*len(cells))
	for _, c := range cells {
		lines = append(lines, c.variant.Name, meanSeries(c.results))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot stalls: %w", err)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func meanSeries(results []*measure.Results) plotter.XYs {
	var points plotter.XYs
	for _, r := range results {
		for n, v := range r.Series() {
			if n == len(points) {
				points = append(points, plotter.XY{X: measure.Warmup.Seconds() + measure.SeriesStep.Seconds()*float64(n)})
			}
			points[n].Y += v / float64(len(results))
		}
	}
	return points
}
