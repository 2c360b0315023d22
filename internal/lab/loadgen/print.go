package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// printedQuantiles are the columns of the first token's time, in percent.
var printedQuantiles = []float64{50, 90, 99, 99.9, 100}

// PrintResults writes a table of the outcome by class.
func PrintResults(w io.Writer, results map[string]*ClassResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\tserved\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, class := range slices.Sorted(maps.Keys(results)) {
		r := results[class]
		fmt.Fprintf(t, "%s\t%d\t%d\t", class, r.Requests, r.Served)
		for _, q := range printedQuantiles {
			fmt.Fprintf(t, "%.1f\t", float64(r.FirstTokenTime.ValueAtQuantile(q))/1e6)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
