package experiment

import (
	"maps"
	"slices"

	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
)

// AllClasses is the key of a Summary's figures of all classes together.
const AllClasses = ""

// Summary holds the figures of one run by class, and those of all classes together under AllClasses.
type Summary struct {
	ValueShare map[string]float64 `json:"kept"`   // share of the offered value that was earned
	P50        map[string]float64 `json:"p50_ms"` // time to the first token, of those served
	P99        map[string]float64 `json:"p99_ms"`
	Violations int                `json:"broken"` // invariants that were violated
	Attempts   int                `json:"launches"`
}

// Summarize returns the figures of a report. A class without requests has none.
func Summarize(r *scenario.Report) Summary {
	s := Summary{
		ValueShare: map[string]float64{}, P50: map[string]float64{}, P99: map[string]float64{},
		Violations: len(r.Violations), Attempts: r.Attempts,
	}
	var all userclient.Summary
	for _, class := range slices.Sorted(maps.Keys(r.Summaries)) { // a fixed order: the sum of floats depends on it
		of := r.Summaries[class]
		s.add(class, of)
		all.EarnedValue += of.EarnedValue
		all.OfferedValue += of.OfferedValue
		all.FirstTokenTimes = append(all.FirstTokenTimes, of.FirstTokenTimes...)
	}
	s.add(AllClasses, &all)
	return s
}

// add adds the figures of a class.
func (s *Summary) add(class string, of *userclient.Summary) {
	if of.OfferedValue > 0 {
		s.ValueShare[class] = of.ValueShare()
	}
	if times := slices.Sorted(slices.Values(of.FirstTokenTimes)); len(times) > 0 {
		s.P50[class] = float64(times[len(times)/2]) / 1e6
		s.P99[class] = float64(times[len(times)*99/100]) / 1e6
	}
}

// Result holds the figures of a variant.
type Result struct {
	Variant Variant
	Runs    []Summary // one for each seed
}

// Values returns one figure of each run, in the order of the seeds.
func (r *Result) Values(figure func(s *Summary) float64) []float64 {
	var values []float64
	for i := range r.Runs {
		values = append(values, figure(&r.Runs[i]))
	}
	return values
}

// totalValueShare is the figure by which variants are drawn.
func totalValueShare(s *Summary) float64 { return s.ValueShare[AllClasses] }
