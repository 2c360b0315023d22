package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// metric is a quantity in the printed table, which has a row for each variant and metric.
type metric struct {
	name   string
	value  func(s *Summary) float64 // NaN if the run does not have the metric
	format string                   // format of the value
}

// PrintResults writes a table of the results, in which each variant is compared with the first one.
func PrintResults(w io.Writer, results []Result) {
	baseline := &results[0]
	fmt.Fprintf(w, "simulated, %d seeds; value is the earned share of the offered value; differences are paired, "+
		"with their %.0f %% confidence interval\n", len(baseline.Runs), 100*confidenceLevel)
	fmt.Fprintf(w, "%-24s %-18s %8s   %s\n", "variant", "figure", "mean", "difference to "+baseline.Variant.Name)
	metrics := metricsFor(classesIn(results))
	for i := range results {
		for _, m := range metrics {
			values := results[i].Values(m.value)
			mean := stat.Mean(values, nil)
			if math.IsNaN(mean) { // a class that this variant does not have
				continue
			}
			fmt.Fprintf(w, "%-24s %-18s %8s", results[i].Variant.Name, m.name, fmt.Sprintf(m.format, mean))
			if i > 0 {
				fmt.Fprint(w, "   "+m.describe(Compare(baseline.Values(m.value), values)))
			}
			fmt.Fprintln(w)
		}
	}
}

// describe returns the printed form of a difference of the metric.
func (m *metric) describe(d Difference) string {
	interval := fmt.Sprintf(m.format+" ± "+m.format, d.Mean, d.HalfWidth)
	switch {
	case math.IsNaN(d.Mean):
		return "no value to compare"
	case d.IsSignificant():
		return interval
	}
	return "no difference shown (" + interval + ")"
}

// classesIn returns the classes that occur in the results, sorted, with AllClasses first.
func classesIn(results []Result) []string {
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

// metricsFor returns the metrics to print for each variant.
func metricsFor(classes []string) []metric {
	var metrics []metric
	for _, class := range classes {
		name := class
		if class == AllClasses {
			name = "all"
		}
		metrics = append(metrics,
			metric{"value " + name, func(s *Summary) float64 { return valueOrNaN(s.ValueShare, class) }, "%.3f"},
			metric{"p50 " + name, func(s *Summary) float64 { return valueOrNaN(s.P50, class) }, "%.0f ms"},
			metric{"p99 " + name, func(s *Summary) float64 { return valueOrNaN(s.P99, class) }, "%.0f ms"})
	}
	return append(metrics,
		metric{"attempts", func(s *Summary) float64 { return float64(s.Attempts) }, "%.0f"},
		metric{"violations", func(s *Summary) float64 { return float64(s.Violations) }, "%.1f"})
}

// valueOrNaN returns the value of a key, or NaN if there is none.
func valueOrNaN(m map[string]float64, key string) float64 {
	if x, ok := m[key]; ok {
		return x
	}
	return math.NaN()
}
