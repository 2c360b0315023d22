// Package report draws what passed in a run: one HTML page that needs nothing else, and its plots as PNG. It reads
// entries alone, as lab drill and lab sim write them, of one run or of several side by side.
package report

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"docksail/internal/lab/eventlog"
)

// RunEntries is one run's entries under a name.
type RunEntries struct {
	Name    string
	Entries []eventlog.Entry
}

// band is a trouble, in seconds from the start.
type band struct {
	Kind     string
	From, To float64
}

const (
	bins = 40 // of a plot's time
	few  = 3  // less than so many in a bin say nothing, and draw nothing
)

// facts are what the plots are drawn from.
type facts struct {
	run     RunEntries
	from    int64
	length  float64 // seconds
	bands   []band
	tracks  []string
	hosts   []int
	figures bool
}

func look(r RunEntries) (*facts, error) {
	if len(r.Entries) == 0 {
		return nil, fmt.Errorf("%s: no entries", r.Name)
	}
	f := &facts{run: r}
	tracks, hosts := map[string]bool{}, map[int]bool{}
	last := int64(0)
	for _, e := range r.Entries {
		switch e.Kind {
		case eventlog.RequestSent:
			if f.from == 0 {
				f.from = e.At
			}
			tracks[e.Class] = true
		case eventlog.AttemptSent, eventlog.ServerLoad:
			hosts[e.Server] = true
			f.figures = f.figures || e.Kind == eventlog.ServerLoad
		}
		last = e.At
	}
	if f.from == 0 {
		return nil, fmt.Errorf("%s: nobody asked anything", r.Name)
	}
	f.length = math.Max(f.at(last), 1e-3)
	f.tracks, f.hosts = slices.Sorted(maps.Keys(tracks)), slices.Sorted(maps.Keys(hosts))
	open := map[string][]float64{}
	for _, e := range r.Entries {
		if e.Kind != eventlog.FaultChanged || e.Code == "" {
			continue
		}
		if e.Note == "begins" {
			open[e.Code] = append(open[e.Code], f.at(e.At))
		} else if from := open[e.Code]; len(from) > 0 {
			f.bands = append(f.bands, band{e.Code, from[0], f.at(e.At)})
			open[e.Code] = from[1:]
		}
	}
	slices.SortFunc(f.bands, func(a, b band) int { return cmp.Compare(a.From, b.From) })
	return f, nil
}

func (f *facts) at(t int64) float64 { return float64(t-f.from) / 1e9 }

func (f *facts) bin(t int64) int {
	return min(max(int(f.at(t)/f.length*bins), 0), bins-1)
}

func (f *facts) mid(bin int) float64 { return (float64(bin) + 0.5) * f.length / bins }

// Plot is a drawing and what it is.
type Plot struct {
	Name, Caption string
	PNG           []byte
}

const (
	wide, high = 24 * vg.Centimeter, 9 * vg.Centimeter
	dpi        = 110
)

func (f *facts) axes(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.X.Min, p.X.Max = 0, f.length
	p.Legend.Top, p.Legend.XOffs = true, -vg.Points(14)
	p.Add(plotter.NewGrid())
	return p
}

// troubles draws bands behind what was drawn, low ones in turn so that names do not cover each other.
type troubles struct {
	bands []band
	above float64 // bands begin at this height of y: what lies below must keep its own colours
}

func (t troubles) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	bottom := c.Min.Y
	if t.above > 0 {
		bottom = y(t.above)
	}
	style := p.X.Tick.Label
	style.Color, style.Font.Size = color.Gray{110}, vg.Points(7)
	for i, b := range t.bands {
		left, right := x(b.From), x(math.Max(b.To, b.From+p.X.Max/300))
		c.FillPolygon(color.NRGBA{200, 60, 40, 28}, []vg.Point{{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: c.Max.Y}, {X: left, Y: c.Max.Y}})
		c.FillText(style, vg.Point{X: left + 1, Y: c.Max.Y - vg.Points(8)*vg.Length(1+i%6)}, b.Kind)
	}
}

func (f *facts) draw(p *plot.Plot, height vg.Length) ([]byte, error) {
	img := vgimg.NewWith(vgimg.UseWH(wide, height), vgimg.UseDPI(dpi))
	p.Draw(draw.New(img))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (f *facts) line(p *plot.Plot, name string, n int, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	for from := 0; from < len(xys); { // a line ends where nothing is known
		to := from + 1
		for to < len(xys) && xys[to].X-xys[to-1].X < 1.5*f.length/bins {
			to++
		}
		l, err := plotter.NewLine(xys[from:to])
		if err != nil {
			return err
		}
		l.Color, l.Width, l.Dashes = plotutil.Color(n), vg.Points(1.4), plotutil.Dashes(n/7)
		p.Add(l)
		if from == 0 && name != "" {
			p.Legend.Add(name, l)
		}
		from = to
	}
	return nil
}

// service: of the tries asked in each stretch, the share that was honoured.
func (f *facts) service() (*plot.Plot, error) {
	p := f.axes("service: share of tries honoured, by when they were asked", "share")
	p.Y.Min, p.Y.Max = 0, 1.3 // room for the troubles' names
	p.Add(troubles{bands: f.bands})
	asked, good := map[string]*[bins]int{}, map[string]*[bins]int{}
	for _, t := range f.tracks {
		asked[t], good[t] = new([bins]int), new([bins]int)
	}
	at := map[string]int{}
	for _, e := range f.run.Entries {
		key := fmt.Sprint(e.RequestLabel, "/", e.ClientAttempt)
		switch {
		case e.Kind == eventlog.RequestSent:
			at[key] = f.bin(e.At)
			asked[e.Class][at[key]]++
		case e.Kind == eventlog.RequestAnswered && e.Code == "OK":
			good[e.Class][at[key]]++
		case e.Kind == eventlog.RequestCanceled: // by its own will: it counts neither way
			asked[e.Class][at[key]]--
		}
	}
	for n, t := range f.tracks {
		var xys plotter.XYs
		for i := range asked[t] {
			if asked[t][i] >= few {
				xys = append(xys, plotter.XY{X: f.mid(i), Y: float64(good[t][i]) / float64(asked[t][i])})
			}
		}
		if err := f.line(p, t, n, xys); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func quantile(xs []float64, q float64) float64 {
	slices.Sort(xs)
	return xs[min(int(q*float64(len(xs))), len(xs)-1)]
}

// first: the time to the first token.
func (f *facts) first() (*plot.Plot, error) {
	p := f.axes("time to the first token of a try, by when it was asked: median (line) and 95 of 100 (dots)", "ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Add(troubles{bands: f.bands})
	asked := map[string]int64{}
	took := map[string]*[bins][]float64{}
	for _, t := range f.tracks {
		took[t] = new([bins][]float64)
	}
	for _, e := range f.run.Entries {
		key := fmt.Sprint(e.RequestLabel, "/", e.ClientAttempt)
		if e.Kind == eventlog.RequestSent {
			asked[key] = e.At
		} else if e.Kind == eventlog.FirstToken {
			b := f.bin(asked[key])
			took[e.Class][b] = append(took[e.Class][b], math.Max(float64(e.At-asked[key])/1e6, 0.1))
		}
	}
	for n, t := range f.tracks {
		var mid, far plotter.XYs
		for i, xs := range took[t] {
			if len(xs) >= few {
				mid = append(mid, plotter.XY{X: f.mid(i), Y: quantile(xs, 0.5)})
				far = append(far, plotter.XY{X: f.mid(i), Y: quantile(xs, 0.95)})
			}
		}
		if err := f.line(p, t, n, mid); err != nil {
			return nil, err
		}
		if len(far) > 0 {
			s, err := plotter.NewScatter(far)
			if err != nil {
				return nil, err
			}
			s.Color, s.Radius, s.Shape = plotutil.Color(n), vg.Points(1.6), draw.CircleGlyph{}
			p.Add(s)
		}
	}
	return p, nil
}

// gaps: the mean time between the tokens of an answer.
func (f *facts) gaps() (*plot.Plot, error) {
	p := f.axes("mean time between the tokens of an answer, by when it ended: median", "ms")
	p.Y.Min = 0
	p.Add(troubles{bands: f.bands})
	for n, t := range f.tracks {
		var by [bins][]float64
		for _, e := range f.run.Entries {
			if e.Kind == eventlog.RequestAnswered && e.Class == t && e.Value > 0 {
				by[f.bin(e.At)] = append(by[f.bin(e.At)], float64(e.Value)/1e6)
			}
		}
		var xys plotter.XYs
		for i, xs := range by {
			if len(xs) >= few {
				xys = append(xys, plotter.XY{X: f.mid(i), Y: quantile(xs, 0.5)})
			}
		}
		if err := f.line(p, t, n, xys); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// grid is a heat map of something by host over time.
type grid struct {
	f  *facts
	at [][bins]float64
}

func (g grid) Dims() (c, r int)   { return bins, len(g.at) }
func (g grid) Z(c, r int) float64 { return g.at[r][c] }
func (g grid) X(c int) float64    { return g.f.mid(c) }
func (g grid) Y(r int) float64    { return float64(r + 1) }

// shades go from white, for none, to dark blue.
type shades struct{}

func (shades) Colors() []color.Color {
	const n = 32
	var cs []color.Color
	for i := range n {
		x := float64(i) / (n - 1)
		cs = append(cs, color.RGBA{uint8(255 - 235*x), uint8(255 - 195*x), uint8(255 - 125*x), 255})
	}
	return cs
}

// heat draws something by host: white is none, and none for long is a host that was set aside, or gone.
func (f *facts) heat(title string, of func(e *eventlog.Entry) (float64, bool), mean bool) (*plot.Plot, error) {
	p := f.axes(title, "host")
	g, n := grid{f, make([][bins]float64, len(f.hosts))}, make([][bins]float64, len(f.hosts))
	row := map[int]int{}
	for i, h := range f.hosts {
		row[h] = i
	}
	most := 0.0
	for i := range f.run.Entries {
		e := &f.run.Entries[i]
		if v, ok := of(e); ok {
			g.at[row[e.Server]][f.bin(e.At)] += v
			n[row[e.Server]][f.bin(e.At)]++
		}
	}
	for r := range g.at {
		for c := range g.at[r] {
			if mean && n[r][c] > 0 {
				g.at[r][c] /= n[r][c]
			}
			most = math.Max(most, g.at[r][c])
		}
	}
	h := plotter.NewHeatMap(g, shades{})
	h.Min, h.Max = 0, math.Max(most, 1e-9)
	p.Add(h, troubles{f.bands, float64(len(f.hosts)) + 0.5})
	p.Title.Text = fmt.Sprintf("%s; darkest %.3g", title, most)
	p.Y.Min, p.Y.Max = 0.5, float64(len(f.hosts))*1.25+0.5
	p.Y.Tick.Marker = plot.TickerFunc(func(lo, hi float64) []plot.Tick {
		var ts []plot.Tick
		for i, h := range f.hosts {
			if len(f.hosts) <= 30 || i%10 == 0 {
				ts = append(ts, plot.Tick{Value: float64(i + 1), Label: fmt.Sprint(h)})
			}
		}
		return ts
	})
	return p, nil
}

// plots draws one run.
func (f *facts) plots() ([]Plot, error) {
	type one struct {
		name, what string
		draw       func() (*plot.Plot, error)
		tall       bool
	}
	all := []one{
		{"service", "Share of tries that were honoured. Those that the client left by its own will are not counted. Bands are troubles of the script.", f.service, false},
		{"first", "Time to the first token, on a logarithmic scale, of those that got one: what was refused is in the plot above alone.", f.first, false},
		{"gaps", "Time between tokens.", f.gaps, false},
		{"sent", "Launches that passed towards each host. A host that is white while others are not was set aside, drained or gone.", func() (*plot.Plot, error) {
			return f.heat("launches sent to each host", func(e *eventlog.Entry) (float64, bool) { return 1, e.Kind == eventlog.AttemptSent }, false)
		}, true},
	}
	if f.figures {
		all = append(all,
			one{"queue", "Prompt tokens that each host had not read yet (mean of its samples).", func() (*plot.Plot, error) {
				return f.heat("prompt tokens not read yet", func(e *eventlog.Entry) (float64, bool) { return float64(e.Value), e.Kind == eventlog.ServerLoad }, true)
			}, true},
			one{"memory", "Share of each host's memory in use.", func() (*plot.Plot, error) {
				return f.heat("share of memory in use", func(e *eventlog.Entry) (float64, bool) {
					return float64(e.Attempt) / 1000, e.Kind == eventlog.ServerLoad
				}, true)
			}, true})
	}
	var out []Plot
	for _, o := range all {
		p, err := o.draw()
		if err != nil {
			return nil, fmt.Errorf("%s: plot %s: %w", f.run.Name, o.name, err)
		}
		height := high
		if o.tall {
			height = max(high, vg.Length(len(f.hosts))*vg.Centimeter/4)
		}
		png, err := f.draw(p, height)
		if err != nil {
			return nil, err
		}
		out = append(out, Plot{o.name, o.what, png})
	}
	return out, nil
}

// row is a track's numbers in the page's table.
type row struct {
	Track                                              string
	Tries, Honoured, Nacked, Abandoned, Left, NoAnswer int
	P50, P99                                           string
}

func (f *facts) rows() []row {
	by, first, asked := map[string]*row{}, map[string][]float64{}, map[string]int64{}
	for _, t := range f.tracks {
		by[t] = &row{Track: t}
	}
	for _, e := range f.run.Entries {
		r := by[e.Class]
		key := fmt.Sprint(e.RequestLabel, "/", e.ClientAttempt)
		switch {
		case r == nil:
		case e.Kind == eventlog.RequestSent:
			r.Tries++
			asked[key] = e.At
		case e.Kind == eventlog.FirstToken:
			first[e.Class] = append(first[e.Class], float64(e.At-asked[key])/1e6)
		case e.Kind == eventlog.RequestCanceled:
			r.Left++
		case e.Kind == eventlog.RequestUnanswered:
			r.NoAnswer++
		case e.Kind == eventlog.RequestAnswered && e.Code == "OK":
			r.Honoured++
		case e.Kind == eventlog.RequestAnswered && e.Code == "Aborted":
			r.Abandoned++
		case e.Kind == eventlog.RequestAnswered:
			r.Nacked++
		}
	}
	var rows []row
	for _, t := range f.tracks {
		r := by[t]
		if xs := first[t]; len(xs) > 0 {
			r.P50, r.P99 = fmt.Sprintf("%.0f", quantile(xs, 0.5)), fmt.Sprintf("%.0f", quantile(xs, 0.99))
		}
		rows = append(rows, *r)
	}
	return rows
}

type shownPlot struct {
	What string
	Src  template.URL
}

type shownRun struct {
	Name   string
	Length time.Duration
	Rows   []row
	Bands  []band
	Plots  []shownPlot
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>docksail: {{range $i, $r := .}}{{if $i}}, {{end}}{{$r.Name}}{{end}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem;color:#222}
.runs{display:flex;gap:2rem;align-items:flex-start}.run{flex:1;min-width:0}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.15rem .7rem;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}img{max-width:100%;border:1px solid #eee}figure{margin:1.2rem 0}figcaption{color:#555}
</style>
<h1>What passed</h1>
<p>Drawn from the entries of stand-ins: simulated, or on loopback. Nothing here was measured on real engines.</p>
<div class="runs">{{range .}}<section class="run"><h2>{{.Name}}</h2><p>{{.Length}} of load and after.</p>
<table><tr><th>track<th>tries<th>honoured<th>nacked<th>abandoned<th>left<th>no answer<th>p50 ms<th>p99 ms</tr>
{{range .Rows}}<tr><td>{{.Track}}<td>{{.Tries}}<td>{{.Honoured}}<td>{{.Nacked}}<td>{{.Abandoned}}<td>{{.Left}}<td>{{.NoAnswer}}<td>{{.P50}}<td>{{.P99}}</tr>
{{end}}</table>
{{range .Plots}}<figure><img src="{{.Src}}" alt=""><figcaption>{{.What}}</figcaption></figure>
{{end}}{{if .Bands}}<details><summary>Troubles</summary><table><tr><th>trouble<th>from, s<th>to, s</tr>
{{range .Bands}}<tr><td>{{.Kind}}<td>{{printf "%.1f" .From}}<td>{{printf "%.1f" .To}}</tr>{{end}}</table></details>{{end}}
</section>{{end}}</div></html>
`))

// WriteReport draws runs side by side into a directory: report.html, which needs nothing else, and each plot as PNG.
func WriteReport(dir string, runs []RunEntries) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var shown []shownRun
	for i, r := range runs {
		f, err := look(r)
		if err != nil {
			return err
		}
		plots, err := f.plots()
		if err != nil {
			return err
		}
		s := shownRun{Name: r.Name, Length: time.Duration(f.length * 1e9).Round(time.Second), Rows: f.rows(), Bands: f.bands}
		for _, p := range plots {
			if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.png", i+1, p.Name)), p.PNG, 0o644); err != nil {
				return err
			}
			s.Plots = append(s.Plots, shownPlot{p.Caption, template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(p.PNG))})
		}
		shown = append(shown, s)
	}
	var b bytes.Buffer
	if err := page.Execute(&b, shown); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), b.Bytes(), 0o644)
}
