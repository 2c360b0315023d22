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
	serverHeight = vg.Centimeter / 4 // height of a server's row in a heat map
	plotDPI      = 110

	faultLabelRows = 6 // labels of faults alternate between rows to avoid overlaps
)

var faultColor = color.NRGBA{200, 60, 40, 28}

// drawnPlot is a rendered plot and its caption.
type drawnPlot struct {
	name, caption string
	png           []byte
}

// plotSpec describes a plot of a run.
type plotSpec struct {
	name, caption string
	draw          func() (*plot.Plot, error)
	isHeatMap     bool // the height depends on the number of servers
}

// plots renders all plots of the run.
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

// plotSpecs returns the plots of the run. Those of the servers' load require ServerLoad entries.
func (d *runData) plotSpecs() []plotSpec {
	specs := []plotSpec{
		{
			name: "service", draw: d.plotServedShare,
			caption: "Share of attempts that were served. Attempts canceled by the client are not counted. " +
				"Bands show the faults of the script.",
		},
		{
			name: "first", draw: d.plotFirstTokenTime,
			caption: "Time to the first token, on a logarithmic scale, of attempts that received a token: " +
				"rejected attempts appear only in the plot above.",
		},
		{name: "gaps", draw: d.plotTokenIntervals, caption: "Time between tokens."},
		{
			name: "sent", isHeatMap: true,
			caption: "Attempts sent to each server. " +
				"A server that is white while others are not was ejected, drained or gone.",
			draw: func() (*plot.Plot, error) {
				return d.plotHeatMap(heatMapSpec{title: "attempts sent to each server", kind: eventlog.AttemptSent, value: count})
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
					title: "queued prompt tokens", kind: eventlog.ServerLoad, value: queuedTokens, isMean: true,
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

// newPlot returns a plot whose X axis is the time of the run.
func (d *runData) newPlot(title, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", yLabel
	p.X.Min, p.X.Max = 0, d.duration
	p.Legend.Top, p.Legend.XOffs = true, -vg.Points(14)
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds the line of the class with index n. The line is interrupted at bins without a point.
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

// faultBands is a plotter that marks the periods of faults with colored bands and labels.
type faultBands struct {
	periods []faultPeriod
	minY    float64 // bands start at this Y value; 0: at the bottom
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

// renderPNG returns a plot as a PNG image.
func renderPNG(p *plot.Plot, height vg.Length) ([]byte, error) {
	img := vgimg.NewWith(vgimg.UseWH(plotWidth, height), vgimg.UseDPI(plotDPI))
	p.Draw(draw.New(img))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
