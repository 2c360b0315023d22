package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"docksail/internal/lab/eventlog"
)

const (
	plotWidth    = 24 * vg.Centimeter
	plotHeight   = 9 * vg.Centimeter
	serverHeight = vg.Centimeter / 4 // of a server's row in a heat map
	plotDPI      = 110

	faultLabelRows = 6 // names of faults take turns in so many rows, so that they do not cover each other
)

var faultColor = color.NRGBA{200, 60, 40, 28}

// drawnPlot is a picture and its caption.
type drawnPlot struct {
	name, caption string
	png           []byte
}

// plotSpec describes one plot of a run.
type plotSpec struct {
	name, caption string
	draw          func() (*plot.Plot, error)
	isHeatMap     bool // it is as high as its servers need
}

// plots draws the run.
func (d *runData) plots() ([]drawnPlot, error) {
	var plots []drawnPlot
	for _, spec := range d.plotSpecs() {
		p, err := spec.draw()
		if err != nil {
			return nil, fmt.Errorf("%s: plot %s: %w", d.Name, spec.name, err)
		}
		height := plotHeight
		if spec.isHeatMap {
			height = max(plotHeight, vg.Length(len(d.servers))*serverHeight)
		}
		png, err := renderPNG(p, height)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawnPlot{spec.name, spec.caption, png})
	}
	return plots, nil
}

// plotSpecs returns the plots for which the run has entries.
func (d *runData) plotSpecs() []plotSpec {
	specs := []plotSpec{
		{
			name: "service", draw: d.plotServedShare,
			caption: "Share of attempts that were served. Those that the client canceled are not counted. " +
				"Bands are faults of the script.",
		},
		{
			name: "first", draw: d.plotFirstTokenTime,
			caption: "Time to the first token, on a logarithmic scale, of those that got one: " +
				"what was rejected is in the plot above alone.",
		},
		{name: "gaps", draw: d.plotTokenIntervals, caption: "Time between tokens."},
		{
			name: "sent", isHeatMap: true,
			caption: "Attempts that passed towards each server. " +
				"A server that is white while others are not was ejected, drained or gone.",
			draw: func() (*plot.Plot, error) {
				return d.plotHeatMap(heatMapSpec{title: "attempts sent to each server", kind: eventlog.AttemptSent, value: one})
			},
		},
	}
	if !d.hasServerLoad {
		return specs
	}
	return append(specs,
		plotSpec{
			name: "queue", isHeatMap: true,
			caption: "Prompt tokens queued at each server (mean of its samples).",
			draw: func() (*plot.Plot, error) {
				return d.plotHeatMap(heatMapSpec{
					title: "prompt tokens not read yet", kind: eventlog.ServerLoad, value: queuedTokens, isMean: true,
				})
			},
		},
		plotSpec{
			name: "memory", isHeatMap: true,
			caption: "Share of each server's memory in use.",
			draw: func() (*plot.Plot, error) {
				return d.plotHeatMap(heatMapSpec{
					title: "share of memory in use", kind: eventlog.ServerLoad, value: memoryShare, isMean: true,
				})
			},
		})
}

// newPlot returns a plot over the time of the run.
func (d *runData) newPlot(title, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", yLabel
	p.X.Min, p.X.Max = 0, d.duration
	p.Legend.Top, p.Legend.XOffs = true, -vg.Points(14)
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds the line of the n-th class. It is broken where bins have no point.
func (d *runData) addLine(p *plot.Plot, class string, n int, points plotter.XYs) error {
	maxGap := 1.5 * d.duration / binCount
	for from := 0; from < len(points); {
		to := from + 1
		for to < len(points) && points[to].X-points[to-1].X < maxGap {
			to++
		}
		line, err := plotter.NewLine(points[from:to])
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = plotutil.Color(n), vg.Points(1.4), plotutil.Dashes(n/7)
		p.Add(line)
		if from == 0 && class != "" {
			p.Legend.Add(class, line)
		}
		from = to
	}
	return nil
}

// faultBands is a plotter that colors the times of faults, from the height minY on, and names them.
type faultBands struct {
	periods []faultPeriod
	minY    float64 // 0 = from the bottom
}

// Plot implements plot.Plotter.
func (b faultBands) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	bottom, top := c.Min.Y, c.Max.Y
	if b.minY > 0 {
		bottom = y(b.minY)
	}
	style := p.X.Tick.Label
	style.Color, style.Font.Size = color.Gray{110}, vg.Points(7)
	for i, period := range b.periods {
		left, right := x(period.From), x(math.Max(period.To, period.From+p.X.Max/300))
		c.FillPolygon(faultColor, []vg.Point{
			{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: top}, {X: left, Y: top},
		})
		label := vg.Point{X: left + 1, Y: top - vg.Points(8)*vg.Length(1+i%faultLabelRows)}
		c.FillText(style, label, period.Kind)
	}
}

// renderPNG returns a plot as a picture.
func renderPNG(p *plot.Plot, height vg.Length) ([]byte, error) {
	img := vgimg.NewWith(vgimg.UseWH(plotWidth, height), vgimg.UseDPI(plotDPI))
	p.Draw(draw.New(img))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
