package report

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"docksail/internal/lab/eventlog"
)

const (
	minBinSamples = 3   // bins with fewer samples are not drawn
	minMillis     = 0.1 // lower limit of times, for the logarithmic scale
)

// binCounts holds counts by class and bin.
type binCounts map[string]*[binCount]int

func newBinCounts(classes []string) binCounts {
	counts := binCounts{}
	for _, class := range classes {
		counts[class] = new([binCount]int)
	}
	return counts
}

// binValues holds values by class and bin.
type binValues map[string]*[binCount][]float64

func newBinValues(classes []string) binValues {
	values := binValues{}
	for _, class := range classes {
		values[class] = new([binCount][]float64)
	}
	return values
}

// quantilePoints returns the quantile q of each bin that has enough samples.
func (d *runData) quantilePoints(bins *[binCount][]float64, q float64) plotter.XYs {
	var points plotter.XYs
	for i, values := range bins {
		if len(values) >= minBinSamples {
			points = append(points, plotter.XY{X: d.binCenter(i), Y: quantile(values, q)})
		}
	}
	return points
}

// plotServedShare plots, for each class, the share of the attempts sent in each bin that were served. Attempts
// canceled by the client are not counted.
func (d *runData) plotServedShare() (*plot.Plot, error) {
	p := d.newPlot("service: share of attempts served, by when they were sent", "share")
	p.Y.Min, p.Y.Max = 0, 1.3 // leaves room for the labels of faults
	p.Add(faultBands{periods: d.faults})
	sent, served := newBinCounts(d.classes), newBinCounts(d.classes)
	sentBin := map[string]int{} // by attemptKey
	for i := range d.Entries {
		e := &d.Entries[i]
		key := attemptKey(e)
		switch {
		case e.Kind == eventlog.RequestSent:
			sentBin[key] = d.bin(e.At)
			sent[e.Class][sentBin[key]]++
		case isServed(e):
			served[e.Class][sentBin[key]]++
		case e.Kind == eventlog.RequestCanceled:
			sent[e.Class][sentBin[key]]--
		}
	}
	for n, class := range d.classes {
		var points plotter.XYs
		for bin, count := range sent[class] {
			if count >= minBinSamples {
				points = append(points, plotter.XY{
					X: d.binCenter(bin), Y: float64(served[class][bin]) / float64(count),
				})
			}
		}
		if err := d.addLine(p, class, n, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// plotFirstTokenTime plots the median and the 95th percentile of the time to the first token of each class.
func (d *runData) plotFirstTokenTime() (*plot.Plot, error) {
	p := d.newPlot("time to the first token of attempts, by when they were sent: median (line) and p95 (dots)", "ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Add(faultBands{periods: d.faults})
	sentAt := map[string]int64{} // by attemptKey
	times := newBinValues(d.classes)
	for i := range d.Entries {
		e := &d.Entries[i]
		key := attemptKey(e)
		switch e.Kind {
		case eventlog.RequestSent:
			sentAt[key] = e.At
		case eventlog.FirstToken:
			bin := d.bin(sentAt[key])
			millis := math.Max(float64(e.At-sentAt[key])/1e6, minMillis)
			times[e.Class][bin] = append(times[e.Class][bin], millis)
		default: // not relevant for first tokens
		}
	}
	for n, class := range d.classes {
		if err := d.addLine(p, class, n, d.quantilePoints(times[class], 0.5)); err != nil {
			return nil, err
		}
		if err := addDots(p, n, d.quantilePoints(times[class], 0.95)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addDots adds dots in the color of the class with index n.
func addDots(p *plot.Plot, n int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.Color, dots.Radius, dots.Shape = plotutil.Color(n), vg.Points(1.6), draw.CircleGlyph{}
	p.Add(dots)
	return nil
}

// plotTokenIntervals plots, for each class, the median over answers of the mean time between tokens.
func (d *runData) plotTokenIntervals() (*plot.Plot, error) {
	p := d.newPlot("mean time between the tokens of an answer, by when it ended: median", "ms")
	p.Y.Min = 0
	p.Add(faultBands{periods: d.faults})
	intervals := newBinValues(d.classes)
	for i := range d.Entries {
		e := &d.Entries[i]
		if bins := intervals[e.Class]; bins != nil && e.Kind == eventlog.RequestAnswered && e.Value > 0 {
			bin := d.bin(e.At)
			bins[bin] = append(bins[bin], float64(e.Value)/1e6)
		}
	}
	for n, class := range d.classes {
		if err := d.addLine(p, class, n, d.quantilePoints(intervals[class], 0.5)); err != nil {
			return nil, err
		}
	}
	return p, nil
}
