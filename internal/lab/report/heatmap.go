package report

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"docksail/internal/lab/eventlog"
)

const (
	maxLabeledServers = 30 // with more servers, only every labelInterval-th server has a label
	labelInterval     = 10
	shadeCount        = 32 // number of colors
)

// heatMapSpec describes a heat map: the values that are summed or averaged by server and bin.
type heatMapSpec struct {
	title  string
	kind   eventlog.Kind // kind of the entries to use
	value  func(e *eventlog.Entry) float64
	isMean bool // average the values instead of summing them
}

func count(*eventlog.Entry) float64          { return 1 }
func queuedTokens(e *eventlog.Entry) float64 { return float64(e.Value) }
func memoryShare(e *eventlog.Entry) float64  { return float64(e.Attempt) / 1000 } // Attempt has it in thousandths

// serverBins is a grid of values by server and bin. It implements plotter.GridXYZ.
type serverBins struct {
	data   *runData
	values [][binCount]float64 // by index in runData.servers
}

// Dims returns the numbers of bins and of servers.
func (g serverBins) Dims() (columns, rows int) { return binCount, len(g.values) }

// Z returns the value of a server and bin.
func (g serverBins) Z(column, row int) float64 { return g.values[row][column] }

// X returns the center of a bin.
func (g serverBins) X(column int) float64 { return g.data.binCenter(column) }

// Y returns the position of a server's row.
func (g serverBins) Y(row int) float64 { return float64(row + 1) }

// maxValue returns the maximum of the values, at least 0.
func (g serverBins) maxValue() float64 {
	maximum := 0.0
	for row := range g.values {
		for _, value := range g.values[row] {
			maximum = math.Max(maximum, value)
		}
	}
	return maximum
}

// serverBins sums or averages the values of a heat map.
func (d *runData) serverBins(spec heatMapSpec) serverBins {
	grid := serverBins{d, make([][binCount]float64, len(d.servers))}
	counts := make([][binCount]float64, len(d.servers))
	rows := map[int]int{}
	for i, server := range d.servers {
		rows[server] = i
	}
	for i := range d.Entries {
		e := &d.Entries[i]
		if e.Kind != spec.kind {
			continue
		}
		row, bin := rows[e.Server], d.bin(e.At)
		grid.values[row][bin] += spec.value(e)
		counts[row][bin]++
	}
	if !spec.isMean {
		return grid
	}
	for row := range grid.values {
		for bin, count := range counts[row] {
			if count > 0 {
				grid.values[row][bin] /= count
			}
		}
	}
	return grid
}

// bluePalette ranges from white for the minimum to dark blue for the maximum.
type bluePalette struct{}

// Colors implements palette.Palette.
func (bluePalette) Colors() []color.Color {
	var colors []color.Color
	for i := range shadeCount {
		x := float64(i) / (shadeCount - 1)
		colors = append(colors, color.RGBA{uint8(255 - 235*x), uint8(255 - 195*x), uint8(255 - 125*x), 255})
	}
	return colors
}

// plotHeatMap plots values by server over time. A server that stays white was ejected, drained or gone.
func (d *runData) plotHeatMap(spec heatMapSpec) (*plot.Plot, error) {
	p := d.newPlot(spec.title, "server")
	grid := d.serverBins(spec)
	darkest, serverCount := grid.maxValue(), float64(len(d.servers))
	heatMap := plotter.NewHeatMap(grid, bluePalette{})
	heatMap.Min, heatMap.Max = 0, math.Max(darkest, 1e-9)
	p.Add(heatMap, faultBands{d.faults, serverCount + 0.5}) // bands over the map would change its colors
	p.Title.Text = fmt.Sprintf("%s; darkest %.3g", spec.title, darkest)
	p.Y.Min, p.Y.Max = 0.5, serverCount*1.25+0.5
	p.Y.Tick.Marker = plot.TickerFunc(func(_, _ float64) []plot.Tick { return d.serverTicks() })
	return p, nil
}

// serverTicks returns the axis labels of the servers.
func (d *runData) serverTicks() []plot.Tick {
	var ticks []plot.Tick
	for i, server := range d.servers {
		if len(d.servers) <= maxLabeledServers || i%labelInterval == 0 {
			ticks = append(ticks, plot.Tick{Value: float64(i + 1), Label: fmt.Sprint(server)})
		}
	}
	return ticks
}
