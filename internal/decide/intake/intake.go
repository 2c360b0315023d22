// Package intake decides whether a dispatcher accepts a request at all, before package policy sees it, and how requests
// in progress end when the time for a drain is up.
//
// The package does no I/O and reads no clock. All times are nanoseconds.
package intake

// Verdict is whether a request is accepted, or why it is rejected.
type Verdict uint8

// The verdicts.
const (
	Accepted         Verdict = iota
	Draining                 // the dispatcher drains
	AtCapacity               // the dispatcher has as many requests in progress as it may
	PromptTooLong            // the prompt is longer than any may be
	DeadlineTooClose         // an answer could not reach the client before its deadline
	NoServersKnown           // no endpoint list was received yet
)

// verdictTexts are part of the interface: clients receive them as the reason of a rejection.
var verdictTexts = [...]string{
	Accepted:         "taken",
	Draining:         "dispatcher drains",
	AtCapacity:       "too many requests in hand",
	PromptTooLong:    "prompt too long",
	DeadlineTooClose: "no time left",
	NoServersKnown:   "no engines known",
}

// String returns the reason as clients receive it.
func (v Verdict) String() string { return verdictTexts[v] }

// IsRetryable reports whether the same request may be accepted later, so that the client is told when to retry.
func (v Verdict) IsRetryable() bool { return v != PromptTooLong }

// Limits is the state of the dispatcher by which requests are accepted.
type Limits struct {
	MaxRequests     int   // requests in progress
	MaxPromptTokens int64 // tokens of one prompt
	Draining        bool  // the dispatcher drains
	ListKnown       bool  // an endpoint list was received
}

// Check decides about a request while inProgress others are in progress. timeLeft is the time to the client's deadline
// less the time that an answer needs to arrive; latencyTarget is the request's own.
//
// retryAfter is how long the client should wait before it retries: half a latency target at capacity, about the time in
// which the head of a burst passes, and one target without an endpoint list. It is 0 in a drain, as other dispatchers
// accept the request at once.
func (l *Limits) Check(inProgress int, promptTokens, timeLeft, latencyTarget int64) (
	verdict Verdict, retryAfter int64,
) {
	switch {
	case promptTokens > l.MaxPromptTokens:
		return PromptTooLong, 0
	case l.Draining:
		return Draining, 0
	case timeLeft <= 0:
		return DeadlineTooClose, 0
	case !l.ListKnown:
		return NoServersKnown, latencyTarget
	case inProgress >= l.MaxRequests:
		return AtCapacity, latencyTarget / 2
	}
	return Accepted, 0
}

// OverdueMargin is how long after its client's deadline a request without an answer counts as overlooked. It is later
// than any answer that was decided, and well within the half second in which an answer still counts as given.
const OverdueMargin = 100e6

// DrainOutcome is how a request ends that is in progress when the time for a drain is up.
type DrainOutcome uint8

// The outcomes.
const (
	Rejected DrainOutcome = iota // a retry is harmless
	Failed                       // the request may have run, and must not run twice
)

// OutcomeAtDrainDeadline returns how such a request ends. idempotent reports whether it may run twice, mayHaveRun
// whether an attempt was sent to a server that produces answers.
func OutcomeAtDrainDeadline(idempotent, mayHaveRun bool) DrainOutcome {
	if idempotent || !mayHaveRun {
		return Rejected
	}
	return Failed
}
