package experiment

import (
	"maps"
	"slices"

	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
)

// AllClasses is the key of the values of all classes together in the maps of a Summary.
const AllClasses = ""

// Summary holds the metrics of one run. Maps are by class, with the values of all classes together under AllClasses.
type Summary struct {
	ValueShare map[string]float64 `json:"kept"`   // fraction of the offered value that was earned
	P50        map[string]float64 `json:"p50_ms"` // time to the first token of served requests
	P99        map[string]float64 `json:"p99_ms"`
	Violations int                `json:"broken"` // number of violations of invariants
	Attempts   int                `json:"launches"`
}

// Summarize returns the metrics of a report. Classes without requests are omitted.
func Summarize(r *scenario.Report) Summary {
	s := Summary{
		ValueShare: map[string]float64{}, P50: map[string]float64{}, P99: map[string]float64{},
		Violations: len(r.Violations), Attempts: r.Attempts,
	}
	var all userclient.Summary
	for _, class := range slices.Sorted(maps.Keys(r.Summaries)) { // in a fixed order, on which sums of floats depend
		summary := r.Summaries[class]
		s.add(class, summary)
		all.EarnedValue += summary.EarnedValue
		all.OfferedValue += summary.OfferedValue
		all.FirstTokenTimes = append(all.FirstTokenTimes, summary.FirstTokenTimes...)
	}
	s.add(AllClasses, &all)
	return s
}

// add adds the metrics of a class.
func (s *Summary) add(class string, summary *userclient.Summary) {
	if summary.OfferedValue > 0 {
		s.ValueShare[class] = summary.ValueShare()
	}
	if times := slices.Sorted(slices.Values(summary.FirstTokenTimes)); len(times) > 0 {
		s.P50[class] = float64(times[len(times)/2]) / 1e6
		s.P99[class] = float64(times[len(times)*99/100]) / 1e6
	}
}

// Result holds the runs of a variant.
type Result struct {
	Variant Variant
	Runs    []Summary // one per seed
}

// Values returns a metric of each run, in the order of the seeds.
func (r *Result) Values(metric func(s *Summary) float64) []float64 {
	var values []float64
	for i := range r.Runs {
		values = append(values, metric(&r.Runs[i]))
	}
	return values
}

// totalValueShare returns the value share of all classes together.
func totalValueShare(s *Summary) float64 { return s.ValueShare[AllClasses] }
