package batchclient

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Batch is a batch as the API returns it.
type Batch struct {
	ID           string
	Status       string
	OutputFileID string        `json:"output_file_id"`
	ErrorFileID  string        `json:"error_file_id"`
	ForecastAt   int64         `json:"forecast_at"` // expected end, Unix seconds; 0 = unknown
	ExpiresAt    int64         `json:"expires_at"`  // Unix seconds
	Counts       RequestCounts `json:"request_counts"`
	Errors       ErrorList     `json:"errors"`
}

// RequestCounts has the number of lines of a batch, in total and by result.
type RequestCounts struct{ Total, Completed, Failed int }

// ErrorList holds the validation errors of a batch's input file.
type ErrorList struct {
	Data []LineError
}

// LineError is a validation error of a line of an input file.
type LineError struct {
	Line    int // from 1; 0 = the whole file
	Message string
}

// IsTerminal reports whether the batch is in a state that it will not leave.
func (b *Batch) IsTerminal() bool {
	switch b.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	}
	return false
}

// progressWidth is the width of the progress bar in characters.
const progressWidth = 30

// PrintProgress writes the batch's state and progress as one line without a line break.
func (b *Batch) PrintProgress(w io.Writer) {
	filled := 0
	if b.Counts.Total > 0 {
		filled = progressWidth * (b.Counts.Completed + b.Counts.Failed) / b.Counts.Total
	}
	bar := strings.Repeat("#", filled) + strings.Repeat(".", progressWidth-filled)
	fmt.Fprintf(w, "%s %-11s [%s] %d completed, %d failed of %d",
		b.ID, b.Status, bar, b.Counts.Completed, b.Counts.Failed, b.Counts.Total)
	if b.ForecastAt == 0 {
		return
	}
	fmt.Fprintf(w, ", expected to end at about %s", time.Unix(b.ForecastAt, 0).Format(time.TimeOnly))
	if b.ForecastAt > b.ExpiresAt {
		fmt.Fprint(w, ", AFTER its completion window")
	}
}
