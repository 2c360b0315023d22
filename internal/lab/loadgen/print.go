package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// printedPercentiles holds the percentiles of the time to the first token to print.
var printedPercentiles = []float64{50, 90, 99, 99.9, 100}

// PrintResults writes a table of the results, with a row for each class.
func PrintResults(w io.Writer, results map[string]*ClassResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\tserved\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, class := range slices.Sorted(maps.Keys(results)) {
		r := results[class]
		fmt.Fprintf(t, "%s\t%d\t%d\t", class, r.Requests, r.Served)
		for _, percentile := range printedPercentiles {
			fmt.Fprintf(t, "%.1f\t", float64(r.FirstTokenTime.ValueAtQuantile(percentile))/1e6)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
