package report

import (
	"fmt"

	"docksail/internal/lab/eventlog"
)

// classRow is the row of a class in the table of the page: the numbers of its attempts by result.
type classRow struct {
	Class                                                  string
	Attempts, Served, Rejected, Failed, Canceled, NoAnswer int
	P50, P99                                               string // milliseconds to the first token; empty if none
}

// count counts an entry that records the start or the end of an attempt.
func (r *classRow) count(e *eventlog.Entry) {
	switch e.Kind {
	case eventlog.RequestSent:
		r.Attempts++
	case eventlog.RequestCanceled:
		r.Canceled++
	case eventlog.RequestUnanswered:
		r.NoAnswer++
	case eventlog.RequestAnswered:
		switch e.Code {
		case codeOK:
			r.Served++
		case codeAborted:
			r.Failed++
		default:
			r.Rejected++
		}
	default: // not the start or the end of an attempt
	}
}

// classRows returns the rows of the table in the order of the classes.
func (d *runData) classRows() []classRow {
	byClass := map[string]*classRow{}
	for _, class := range d.classes {
		byClass[class] = &classRow{Class: class}
	}
	sentAt := map[string]int64{}              // by attemptKey
	firstTokenTimes := map[string][]float64{} // by class, in milliseconds
	for i := range d.Entries {
		e := &d.Entries[i]
		row := byClass[e.Class]
		if row == nil {
			continue
		}
		row.count(e)
		switch e.Kind {
		case eventlog.RequestSent:
			sentAt[attemptKey(e)] = e.At
		case eventlog.FirstToken:
			millis := float64(e.At-sentAt[attemptKey(e)]) / 1e6
			firstTokenTimes[e.Class] = append(firstTokenTimes[e.Class], millis)
		default: // not relevant for first tokens
		}
	}
	var rows []classRow
	for _, class := range d.classes {
		row := byClass[class]
		if times := firstTokenTimes[class]; len(times) > 0 {
			row.P50 = fmt.Sprintf("%.0f", quantile(times, 0.5))
			row.P99 = fmt.Sprintf("%.0f", quantile(times, 0.99))
		}
		rows = append(rows, *row)
	}
	return rows
}
