package batchscheduler

import (
	"fmt"
	"slices"
)

// Idempotency says whether a request may run more than once. Its values are ordered: a lower one permits less, and the
// zero value permits least.
type Idempotency uint8

const (
	// NonIdempotent requests have a further effect each time they run.
	NonIdempotent Idempotency = iota
	// Deduplicated requests run at most once within the dedup window of their idempotency key.
	Deduplicated
	// Idempotent requests may run repeatedly without harm.
	Idempotent
)

// idempotencyNames are stored with batches.
var idempotencyNames = []string{NonIdempotent: "non_idempotent", Deduplicated: "deduplicated", Idempotent: "idempotent"}

// String returns the name of i.
func (i Idempotency) String() string {
	if int(i) >= len(idempotencyNames) {
		return "unknown"
	}
	return idempotencyNames[i]
}

// ParseIdempotency returns the idempotency with a name, and false if there is none.
func ParseIdempotency(name string) (Idempotency, bool) {
	i := slices.Index(idempotencyNames, name)
	return Idempotency(max(i, 0)), i >= 0
}

// BatchState is the state of a batch. Its numeric values are stored; its texts are part of the batch API.
type BatchState uint8

const (
	// StateValidating means that the batch is new and its input file is being validated.
	StateValidating BatchState = iota
	// StateFailed means that the input file is invalid.
	StateFailed
	// StateInProgress means that lines are being sent.
	StateInProgress
	// StateFinalizing means that no line is in flight or will be sent, and the result files are being written.
	StateFinalizing
	// StateCompleted means that every line has ended with a response or a failure of its own.
	StateCompleted
	// StateExpired means that the completion window ended before all lines did.
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

// IsTerminal reports whether the state has no valid transition.
func (s BatchState) IsTerminal() bool {
	return s == StateFailed || s == StateCompleted || s == StateExpired || s == StateCancelled
}

// validTransitions maps each state to the states that may follow it.
var validTransitions = [batchStateCount][]BatchState{
	StateValidating: {StateFailed, StateInProgress, StateCancelling},
	StateInProgress: {StateFinalizing, StateCancelling},
	StateFinalizing: {StateCompleted, StateExpired, StateCancelled},
	StateCancelling: {StateFinalizing, StateCancelled},
}

// TransitionError reports an invalid transition between states of a batch.
type TransitionError struct{ From, To BatchState }

func (e *TransitionError) Error() string {
	return fmt.Sprintf("a batch that is %v cannot become %v", e.From, e.To)
}

// CheckTransition returns a *TransitionError if the transition from one state to the other is invalid.
func CheckTransition(from, to BatchState) error {
	if from < batchStateCount && slices.Contains(validTransitions[from], to) {
		return nil
	}
	return &TransitionError{from, to}
}

// LineState is the state of a line. Its numeric values are stored.
type LineState uint8

const (
	// LineWaiting means that no attempt is in flight.
	LineWaiting LineState = iota
	// LineInFlight means that an attempt may be in flight.
	LineInFlight
	// LineCompleted means that the line's response is stored.
	LineCompleted
	// LineFailed means that the line ended without a response; the reason is stored.
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
