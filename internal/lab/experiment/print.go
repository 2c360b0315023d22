package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// figure is a row of the printed table.
type figure struct {
	name   string
	value  func(s *Summary) float64 // not a number if the run has no such figure
	format string                   // of the value
}

// PrintResults writes a table of the results, each variant compared with the first.
func PrintResults(w io.Writer, results []Result) {
	baseline := &results[0]
	fmt.Fprintf(w, "simulated, %d seeds; kept is the share of the payoff asked for; differences are paired, "+
		"with their %.0f %% interval\n", len(baseline.Runs), 100*confidenceLevel)
	fmt.Fprintf(w, "%-24s %-18s %8s   %s\n", "variant", "figure", "mean", "difference to "+baseline.Variant.Name)
	figures := figuresOf(classesOf(results))
	for i := range results {
		for _, f := range figures {
			values := results[i].Values(f.value)
			mean := stat.Mean(values, nil)
			if math.IsNaN(mean) { // a class that only another variant has
				continue
			}
			fmt.Fprintf(w, "%-24s %-18s %8s", results[i].Variant.Name, f.name, fmt.Sprintf(f.format, mean))
			if i > 0 {
				fmt.Fprint(w, "   "+f.describe(Compare(baseline.Values(f.value), values)))
			}
			fmt.Fprintln(w)
		}
	}
}

// describe returns a difference of the figure in words.
func (f *figure) describe(d Difference) string {
	interval := fmt.Sprintf(f.format+" ± "+f.format, d.Mean, d.HalfWidth)
	switch {
	case math.IsNaN(d.Mean):
		return "not there"
	case d.IsSignificant():
		return interval
	}
	return "no difference shown (" + interval + ")"
}

// classesOf returns the classes of all results, AllClasses first.
func classesOf(results []Result) []string {
	var classes []string
	for i := range results {
		for class := range results[i].Runs[0].ValueShare {
			if !slices.Contains(classes, class) {
				classes = append(classes, class)
			}
		}
	}
	slices.Sort(classes)
	return classes
}

// figuresOf returns the rows for each variant.
func figuresOf(classes []string) []figure {
	var figures []figure
	for _, class := range classes {
		name := class
		if class == AllClasses {
			name = "all"
		}
		figures = append(figures,
			figure{"value " + name, func(s *Summary) float64 { return valueOrNaN(s.ValueShare, class) }, "%.3f"},
			figure{"p50 " + name, func(s *Summary) float64 { return valueOrNaN(s.P50, class) }, "%.0f ms"},
			figure{"p99 " + name, func(s *Summary) float64 { return valueOrNaN(s.P99, class) }, "%.0f ms"})
	}
	return append(figures,
		figure{"attempts", func(s *Summary) float64 { return float64(s.Attempts) }, "%.0f"},
		figure{"violations", func(s *Summary) float64 { return float64(s.Violations) }, "%.1f"})
}

// valueOrNaN returns the value of a key, or not a number if there is none.
func valueOrNaN(m map[string]float64, key string) float64 {
	if x, ok := m[key]; ok {
		return x
	}
	return math.NaN()
}
