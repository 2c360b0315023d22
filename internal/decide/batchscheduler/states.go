package batchscheduler

import (
	"fmt"
	"slices"
)

// Effect says what a second attempt of a request does.
type Effect uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Effect = iota
	// Deduplicated requests run once within the deduplication window of their idempotency key.
	Deduplicated
	// NonIdempotent requests act again at each run.
	NonIdempotent
)

// BatchState is the state of a batch. Its values are stored, its texts are those of the batch API.
type BatchState uint8

const (
	// StateValidating is the state of a new batch, whose input file is being checked.
	StateValidating BatchState = iota
	// StateFailed means that the input file was not accepted.
	StateFailed
	// StateInProgress means that lines are sent.
	StateInProgress
	// StateFinalizing means that all lines have ended and the result files are being written.
	StateFinalizing
	// StateCompleted means that all lines have ended by themselves.
	StateCompleted
	// StateExpired means that the completion window ended first.
	StateExpired
	// StateCancelling means that the batch was cancelled and lines may still be in flight.
	StateCancelling
	// StateCancelled means that the batch was cancelled and its result files are written.
	StateCancelled
	batchStateCount
)

var batchStateNames = [batchStateCount]string{
	"validating", "failed", "in_progress", "finalizing", "completed", "expired", "cancelling", "cancelled",
}

func (s BatchState) String() string {
	if s >= batchStateCount {
		return "unknown"
	}
	return batchStateNames[s]
}

// IsTerminal reports whether no state may follow.
func (s BatchState) IsTerminal() bool {
	return s == StateFailed || s == StateCompleted || s == StateExpired || s == StateCancelled
}

// validTransitions holds the states that may follow each state.
var validTransitions = [batchStateCount][]BatchState{
	StateValidating: {StateFailed, StateInProgress, StateCancelling},
	StateInProgress: {StateFinalizing, StateCancelling},
	StateFinalizing: {StateCompleted, StateExpired, StateCancelled},
	StateCancelling: {StateFinalizing, StateCancelled},
}

// TransitionError reports that a batch's state may not follow another.
type TransitionError struct{ From, To BatchState }

func (e *TransitionError) Error() string {
	return fmt.Sprintf("a batch that is %v cannot become %v", e.From, e.To)
}

// CheckTransition returns a *TransitionError if the state to may not follow the state from.
func CheckTransition(from, to BatchState) error {
	if from < batchStateCount && slices.Contains(validTransitions[from], to) {
		return nil
	}
	return &TransitionError{from, to}
}

// LineState is the state of a line. Its values are stored.
type LineState uint8

const (
	// LineWaiting means that no attempt is in flight.
	LineWaiting LineState = iota
	// LineInFlight means that an attempt may be in flight.
	LineInFlight
	// LineCompleted means that the line's answer is stored.
	LineCompleted
	// LineFailed means that the line ended without an answer; the reason is stored.
	LineFailed
)

func (s LineState) String() string {
	switch s {
	case LineWaiting:
		return "waiting"
	case LineInFlight:
		return "in_flight"
	case LineCompleted:
		return "completed"
	case LineFailed:
		return "failed"
	}
	return "unknown"
}

// RecoverLine returns the state of a stored line after a restart. The attempt of a line in flight ended with the client
// that sent it: the line waits again, unless it must not run twice; then it has failed and mayHaveRun is true.
func RecoverLine(state LineState, effect Effect) (recovered LineState, mayHaveRun bool) {
	switch {
	case state != LineInFlight:
		return state, false
	case effect == NonIdempotent:
		return LineFailed, true
	default:
		return LineWaiting, false
	}
}
