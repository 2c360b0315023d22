package experiment

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// errorBars implements plotter.XYer and plotter.YErrorer.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// PlotResults writes a bar chart as a PNG file: for each variant, the share of the offered value that was earned, as
// the mean over the seeds with its confidence interval.
func PlotResults(results []Result, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("earned share of the offered value (simulated, %d seeds)",
		len(results[0].Runs))
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	var heights plotter.Values
	var names []string
	intervals := &errorBars{}
	for i := range results {
		values := results[i].Values(totalValueShare)
		d := Compare(make([]float64, len(values)), values)
		heights, names = append(heights, d.Mean), append(names, results[i].Variant.Name)
		intervals.XYs = append(intervals.XYs, plotter.XY{X: float64(i), Y: d.Mean})
		intervals.YErrors = append(intervals.YErrors, struct{ Low, High float64 }{d.HalfWidth, d.HalfWidth})
	}
	bars, err := plotter.NewBarChart(heights, vg.Points(36))
	if err != nil {
		return err
	}
	bars.Color = color.RGBA{90, 120, 180, 255}
	whiskers, err := plotter.NewYErrorBars(intervals)
	if err != nil {
		return err
	}
	p.Add(bars, whiskers, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.6, float64(len(results))-0.4
	return p.Save(vg.Length(4+3*len(results))*vg.Centimeter, 9*vg.Centimeter, file)
}
