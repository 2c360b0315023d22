// Package experiment compares variants of a day in simulated time: each plays the same seeds, and what is told is the
// difference, seed by seed, with its interval, or that none is shown.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"maps"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tailscale/hujson"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/lab/baselinepolicy"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/simulation"
	"docksail/internal/lab/userclient"
)

// Experiment is a day and what is tried on it.
type Experiment struct {
	Script    string    `json:"script" need:"the script of a day"`
	Seeds     int       `json:"seeds" need:"how many seeds each variant plays"`
	FirstSeed int64     `json:"first_seed"`
	Variants  []Variant `json:"variants" need:"a list of variants, the first to compare the others with"`
}

// Variant is the day with something changed.
type Variant struct {
	Name      string     `json:"name" need:"a name"`
	Overrides config.Raw `json:"with"`    // fields of the script that differ
	Policy    string     `json:"policy"`  // a textbook policy in the module's place
	Program   string     `json:"program"` // another build, which plays with its own "lab sim"
}

// Load reads an experiment; the script and programs are named from where it stands.
func Load(name string) (*Experiment, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	e := &Experiment{FirstSeed: 1}
	err = config.Decode(name, text, e, func(bad func(path, format string, args ...any)) {
		if e.Seeds < 2 {
			bad("seeds", "%d, want 2 or more: one says nothing of chance", e.Seeds)
		}
		if len(e.Variants) == 0 {
			bad("variants", "want one at least")
		}
		for i, v := range e.Variants {
			if v.Policy != "" && !slices.Contains(baselinepolicy.Names, v.Policy) {
				bad(fmt.Sprintf("variants[%d].policy", i), "%q, want one of %s", v.Policy, strings.Join(baselinepolicy.Names, ", "))
			}
			if v.Policy != "" && v.Program != "" {
				bad(fmt.Sprintf("variants[%d]", i), "want a policy or a program, not both")
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if !filepath.IsAbs(e.Script) {
		e.Script = filepath.Join(filepath.Dir(name), e.Script)
	}
	return e, nil
}

// Override gives the text of a script with some of its fields in place of its own.
func Override(text []byte, fields config.Raw) ([]byte, error) {
	if len(fields) == 0 {
		return text, nil
	}
	var own, other map[string]json.RawMessage
	for _, p := range []struct {
		text []byte
		into *map[string]json.RawMessage
	}{{text, &own}, {fields, &other}} {
		std, err := hujson.Standardize(slices.Clone(p.text))
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(std, p.into); err != nil {
			return nil, err
		}
	}
	for k, v := range other {
		own[k] = v
	}
	return json.Marshal(own)
}

// Summary is what one play came to, by track; all of them together under "".
type Summary struct {
	ValueShare map[string]float64 `json:"kept"`   // share of the payoff that was asked for
	P50        map[string]float64 `json:"p50_ms"` // to the first token, of those honoured
	P99        map[string]float64 `json:"p99_ms"`
	Violations int                `json:"broken"` // rules
	Attempts   int                `json:"launches"`
}

// Summarize gives the sums of a report; a track without jobs has none.
func Summarize(r *scenario.Report) Summary {
	s := Summary{ValueShare: map[string]float64{}, P50: map[string]float64{}, P99: map[string]float64{}, Violations: len(r.Violations), Attempts: r.Attempts}
	var all userclient.Summary
	take := func(name string, t *userclient.Summary) {
		if t.OfferedValue > 0 {
			s.ValueShare[name] = t.ValueShare()
		}
		if first := slices.Sorted(slices.Values(t.FirstTokenTimes)); len(first) > 0 {
			s.P50[name], s.P99[name] = float64(first[len(first)/2])/1e6, float64(first[len(first)*99/100])/1e6
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Summaries)) { // a fixed order: the sum of floats depends on it
		t := r.Summaries[name]
		take(name, t)
		all.EarnedValue, all.OfferedValue, all.FirstTokenTimes = all.EarnedValue+t.EarnedValue, all.OfferedValue+t.OfferedValue, append(all.FirstTokenTimes, t.FirstTokenTimes...)
	}
	take("", &all)
	return s
}

// Simulate plays one script in simulated time, by a textbook policy if one is named; the hosts' figures are written
// down every sample, if it is above 0.
func Simulate(ctx context.Context, s *scenario.Script, name string, sample time.Duration) (*simulation.Report, error) {
	day, err := simulation.New(s)
	if err != nil {
		return nil, err
	}
	day.SampleInterval = sample
	if name != "" {
		if _, err := baselinepolicy.New(name, 0, day.ServerLoad); err != nil {
			return nil, err
		}
		day.WrapModule = func(n int) func(dispatch.Module) dispatch.Module {
			return func(dispatch.Module) dispatch.Module {
				m, err := baselinepolicy.New(name, uint64(s.Seed)<<8|uint64(n), day.ServerLoad)
				if err != nil {
					panic(err)
				}
				return m
			}
		}
	}
	return day.Run(ctx)
}

// Result is what a variant came to, by seed.
type Result struct {
	Variant Variant
	Runs    []Summary
}

// Run plays all variants on all seeds, several at a time; progress, if not nil, is told of each play.
func (e *Experiment) Run(ctx context.Context, progress func(done, of int)) ([]Result, error) {
	text, err := os.ReadFile(e.Script)
	if err != nil {
		return nil, err
	}
	results := make([]Result, len(e.Variants))
	type task struct{ v, seed int }
	var tasks []task
	for v := range e.Variants {
		results[v] = Result{e.Variants[v], make([]Summary, e.Seeds)}
	}
	for seed := range e.Seeds {
		for v := range e.Variants {
			tasks = append(tasks, task{v, seed})
		}
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	next, done := 0, 0
	for range min(runtime.GOMAXPROCS(0), len(tasks)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				mu.Lock()
				if next == len(tasks) {
					mu.Unlock()
					return
				}
				t := tasks[next]
				next++
				mu.Unlock()
				sums, err := e.Variants[t.v].play(ctx, e.Script, text, e.FirstSeed+int64(t.seed))
				if err != nil {
					stop(fmt.Errorf("variant %q, seed %d: %w", e.Variants[t.v].Name, e.FirstSeed+int64(t.seed), err))
					return
				}
				mu.Lock()
				results[t.v].Runs[t.seed] = sums
				done++
				if progress != nil {
					progress(done, len(tasks))
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return results, nil
}

func (v *Variant) play(ctx context.Context, name string, text []byte, seed int64) (Summary, error) {
	text, err := Override(text, v.Overrides)
	if err != nil {
		return Summary{}, err
	}
	s, err := scenario.Parse(name+" ("+v.Name+")", text)
	if err != nil {
		return Summary{}, err
	}
	if s.Seed = seed; v.Program == "" {
		rep, err := Simulate(ctx, s, v.Policy, 0)
		if err != nil {
			return Summary{}, err
		}
		return Summarize(&rep.Report), nil
	}
	f, err := os.CreateTemp("", "docksail-trial")
	if err != nil {
		return Summary{}, err
	}
	defer os.Remove(f.Name())
	if _, err := f.Write(text); err != nil {
		return Summary{}, err
	}
	if err := f.Close(); err != nil {
		return Summary{}, err
	}
	cmd := exec.CommandContext(ctx, v.Program, "lab", "sim", f.Name(), "--seed", strconv.FormatInt(seed, 10), "--sums")
	out, err := cmd.Output()
	var sums Summary
	if e := json.Unmarshal(out, &sums); e != nil {
		return sums, fmt.Errorf("%s tells no sums: %w", v.Program, max2(err, e))
	}
	return sums, nil
}

func max2(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Difference is a paired difference and the half width of its interval.
type Difference struct{ Mean, HalfWidth float64 }

// IsSignificant tells whether the interval leaves 0 out.
func (d Difference) IsSignificant() bool { return math.Abs(d.Mean) > d.HalfWidth }

const confidence = 0.95

// Compare gives how much b differs from a, seed by seed, with its interval by Student's t.
func Compare(a, b []float64) Difference {
	by := make([]float64, len(a))
	for i := range a {
		by[i] = b[i] - a[i]
	}
	n := float64(len(by))
	mean, dev := stat.MeanStdDev(by, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidence)/2)
	return Difference{mean, t * dev / math.Sqrt(n)}
}

// Values gives one figure of a result, by seed.
func (r *Result) Values(of func(s *Summary) float64) []float64 {
	var xs []float64
	for i := range r.Runs {
		xs = append(xs, of(&r.Runs[i]))
	}
	return xs
}

// PlotResults draws the payoff kept by each variant, with the interval of its mean over the seeds, as PNG.
func PlotResults(rs []Result, file string) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = fmt.Sprintf("share of the payoff asked for that was kept (simulated, %d seeds)", len(rs[0].Runs)), "share"
	p.Y.Min, p.Y.Max = 0, 1
	var bars plotter.Values
	var names []string
	spread := &intervals{}
	for i := range rs {
		xs := rs[i].Values(func(s *Summary) float64 { return s.ValueShare[""] })
		d := Compare(make([]float64, len(xs)), xs)
		bars, names = append(bars, d.Mean), append(names, rs[i].Variant.Name)
		spread.XYs = append(spread.XYs, plotter.XY{X: float64(i), Y: d.Mean})
		spread.YErrors = append(spread.YErrors, struct{ Low, High float64 }{d.HalfWidth, d.HalfWidth})
	}
	chart, err := plotter.NewBarChart(bars, vg.Points(36))
	if err != nil {
		return err
	}
	chart.Color = color.RGBA{90, 120, 180, 255}
	errors, err := plotter.NewYErrorBars(spread)
	if err != nil {
		return err
	}
	p.Add(chart, errors, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.6, float64(len(rs))-0.4
	return p.Save(vg.Length(4+3*len(rs))*vg.Centimeter, 9*vg.Centimeter, file)
}

type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// in gives a figure; not a number if there is none.
func in(m map[string]float64, key string) float64 {
	if x, ok := m[key]; ok {
		return x
	}
	return math.NaN()
}

// PrintResults writes results for people, each variant compared with the first.
func PrintResults(w io.Writer, rs []Result) {
	var tracks []string
	for i := range rs {
		for name := range rs[i].Runs[0].ValueShare {
			if !slices.Contains(tracks, name) {
				tracks = append(tracks, name)
			}
		}
	}
	slices.Sort(tracks) // all together come first
	fmt.Fprintf(w, "simulated, %d seeds; kept is the share of the payoff asked for; differences are paired, with their %.0f %% interval\n", len(rs[0].Runs), 100*confidence)
	fmt.Fprintf(w, "%-24s %-18s %8s   %s\n", "variant", "figure", "mean", "difference to "+rs[0].Variant.Name)
	for i := range rs {
		row := func(figure string, of func(s *Summary) float64, format string) {
			xs := rs[i].Values(of)
			if math.IsNaN(stat.Mean(xs, nil)) { // a track of another variant's
				return
			}
			fmt.Fprintf(w, "%-24s %-18s %8s", rs[i].Variant.Name, figure, fmt.Sprintf(format, stat.Mean(xs, nil)))
			if i > 0 {
				if d := Compare(rs[0].Values(of), xs); math.IsNaN(d.Mean) {
					fmt.Fprint(w, "   not there")
				} else if d.IsSignificant() {
					fmt.Fprintf(w, "   "+format+" ± "+format, d.Mean, d.HalfWidth)
				} else {
					fmt.Fprintf(w, "   no difference shown ("+format+" ± "+format+")", d.Mean, d.HalfWidth)
				}
			}
			fmt.Fprintln(w)
		}
		for _, t := range tracks {
			name := t
			if t == "" {
				name = "all"
			}
			row("kept "+name, func(s *Summary) float64 { return in(s.ValueShare, t) }, "%.3f")
			row("p50 "+name, func(s *Summary) float64 { return in(s.P50, t) }, "%.0f ms")
			row("p99 "+name, func(s *Summary) float64 { return in(s.P99, t) }, "%.0f ms")
		}
		row("launches", func(s *Summary) float64 { return float64(s.Attempts) }, "%.0f")
		row("rules broken", func(s *Summary) float64 { return float64(s.Violations) }, "%.1f")
	}
}
