package report

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"docksail/internal/lab/eventlog"
)

// binCount is the number of bins into which the time of a plot is divided.
const binCount = 40

// faultBegins is the note of an entry by which a fault begins; any other note ends it.
const faultBegins = eventlog.NoteFaultBegins

// faultPeriod is the time of a fault, in seconds from the start.
type faultPeriod struct {
	Kind     string
	From, To float64
}

// runData is what the plots of a run are drawn from.
type runData struct {
	RunEntries
	start         int64   // when the first request was sent, in nanoseconds
	duration      float64 // seconds
	faults        []faultPeriod
	classes       []string
	servers       []int
	hasServerLoad bool // the entries have samples of the servers' load
}

// A NothingToDrawError is the error of a run whose entries cannot be drawn.
type NothingToDrawError struct{ Run, Reason string }

func (e *NothingToDrawError) Error() string { return e.Run + ": " + e.Reason }

// newRunData reads the entries of a run.
func newRunData(run RunEntries) (*runData, error) {
	if len(run.Entries) == 0 {
		return nil, &NothingToDrawError{run.Name, "no entries"}
	}
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
		default: // not drawn by class or server
		}
	}
	if d.start == 0 {
		return nil, &NothingToDrawError{run.Name, "no request was sent"}
	}
	d.duration = math.Max(d.seconds(run.Entries[len(run.Entries)-1].At), 1e-3)
	d.classes, d.servers = slices.Sorted(maps.Keys(classes)), slices.Sorted(maps.Keys(servers))
	d.faults = d.faultPeriods()
	return d, nil
}

// faultPeriods returns the faults of the script that have ended, in the order in which they began.
func (d *runData) faultPeriods() []faultPeriod {
	var periods []faultPeriod
	begun := map[string][]float64{} // by kind, the first one first
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

// seconds returns a time of an entry in seconds from the start.
func (d *runData) seconds(at int64) float64 { return float64(at-d.start) / 1e9 }

// bin returns the index of the bin of a time.
func (d *runData) bin(at int64) int {
	return min(max(int(d.seconds(at)/d.duration*binCount), 0), binCount-1)
}

// binCenter returns the middle of a bin in seconds.
func (d *runData) binCenter(bin int) float64 { return (float64(bin) + 0.5) * d.duration / binCount }

// attemptKey names a client's attempt at a request.
func attemptKey(e *eventlog.Entry) string { return fmt.Sprint(e.RequestLabel, "/", e.ClientAttempt) }

// isServed reports whether an entry is an answer of a request that was served.
func isServed(e *eventlog.Entry) bool {
	return e.Kind == eventlog.RequestAnswered && e.Code == codeOK
}

// Codes of answers in the entries.
const (
	codeOK      = "OK"
	codeAborted = "Aborted"
)

// quantile returns a quantile of values, which it sorts. There must be at least one.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
