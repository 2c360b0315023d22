package report

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"docksail/internal/lab/eventlog"
)

// binCount is the number of bins of the time axis.
const binCount = 40

// faultBegins is the note of entries for the start of a fault; entries with another note end the fault.
const faultBegins = eventlog.NoteFaultBegins

// faultPeriod is the period of a fault, in seconds since the start of the run.
type faultPeriod struct {
	Kind     string
	From, To float64
}

// runData holds the data for the plots of a run.
type runData struct {
	RunEntries
	start         int64   // time of the first request, in Unix nanoseconds
	duration      float64 // from start to the last entry, in seconds
	faults        []faultPeriod
	classes       []string
	servers       []int
	hasServerLoad bool // the entries contain samples of the servers' load
}

// NoDataError is the error of a run whose entries contain nothing to draw.
type NoDataError struct{ Run, Reason string }

func (e *NoDataError) Error() string { return e.Run + ": " + e.Reason }

// newRunData returns the data for the plots of a run.
func newRunData(run RunEntries) (*runData, error) {
	if len(run.Entries) == 0 {
		return nil, &NoDataError{run.Name, "no entries"}
	}
	run.Entries = withoutUnknownAttempts(run.Entries)
	d := &runData{RunEntries: run}
	classes, servers := map[string]bool{}, map[int]bool{}
	for i := range run.Entries {
		e := &run.Entries[i]
		switch e.Kind {
		case eventlog.RequestSent:
			if d.start == 0 {
				d.start = e.At
			}
			classes[e.Class] = true
		case eventlog.AttemptSent:
			servers[e.Server] = true
		case eventlog.ServerLoad:
			servers[e.Server] = true
			d.hasServerLoad = true
		default: // no class or server to record
		}
	}
	if d.start == 0 {
		return nil, &NoDataError{run.Name, "no request was sent"}
	}
	d.duration = math.Max(d.seconds(d.Entries[len(d.Entries)-1].At), 1e-3)
	d.classes, d.servers = slices.Sorted(maps.Keys(classes)), slices.Sorted(maps.Keys(servers))
	d.faults = d.faultPeriods()
	return d, nil
}

// withoutUnknownAttempts returns the entries without those about attempts whose sending is not among them, as in a log
// that lacks its beginning: neither their class nor their start is known.
func withoutUnknownAttempts(entries []eventlog.Entry) []eventlog.Entry {
	sent := map[string]bool{} // by attemptKey
	var known []eventlog.Entry
	for i := range entries {
		e := &entries[i]
		switch e.Kind {
		case eventlog.RequestSent:
			sent[attemptKey(e)] = true
		case eventlog.FirstToken, eventlog.RequestAnswered, eventlog.RequestUnanswered, eventlog.RequestCanceled:
			if !sent[attemptKey(e)] {
				continue
			}
		default: // not about an attempt of a client
		}
		known = append(known, *e)
	}
	return known
}

// faultPeriods returns the periods of the script's faults that have ended, sorted by start.
func (d *runData) faultPeriods() []faultPeriod {
	var periods []faultPeriod
	begun := map[string][]float64{} // start times of active faults by kind, the earliest first
	for i := range d.Entries {
		e := &d.Entries[i]
		if e.Kind != eventlog.FaultChanged || e.Code == "" {
			continue
		}
		if e.Note == faultBegins {
			begun[e.Code] = append(begun[e.Code], d.seconds(e.At))
		} else if from := begun[e.Code]; len(from) > 0 {
			periods = append(periods, faultPeriod{e.Code, from[0], d.seconds(e.At)})
			begun[e.Code] = from[1:]
		}
	}
	slices.SortFunc(periods, func(a, b faultPeriod) int { return cmp.Compare(a.From, b.From) })
	return periods
}

// seconds converts the time of an entry to seconds since the start.
func (d *runData) seconds(at int64) float64 { return float64(at-d.start) / 1e9 }

// bin returns the index of the bin that contains a time.
func (d *runData) bin(at int64) int {
	return min(max(int(d.seconds(at)/d.duration*binCount), 0), binCount-1)
}

// binCenter returns the center of a bin, in seconds since the start.
func (d *runData) binCenter(bin int) float64 { return (float64(bin) + 0.5) * d.duration / binCount }

// attemptKey returns a key that identifies a client's attempt at a request.
func attemptKey(e *eventlog.Entry) string { return fmt.Sprint(e.RequestLabel, "/", e.ClientAttempt) }

// isServed reports whether an entry records that a request was served.
func isServed(e *eventlog.Entry) bool {
	return e.Kind == eventlog.RequestAnswered && e.Code == codeOK
}

// Status codes of RequestAnswered entries.
const (
	codeOK      = "OK"
	codeAborted = "Aborted"
)

// quantile returns the quantile q of values, which must not be empty. It sorts them in place.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
