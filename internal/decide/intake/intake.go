// Package intake decides whether a dispatcher accepts a request at all, before package policy sees it, and how the
// requests that are still in progress at the deadline of a drain end.
//
// The package does no I/O and reads no clock. All times are nanoseconds.
package intake

// Verdict is the decision on a request: Accepted, or the reason for its rejection.
type Verdict uint8

// The verdicts.
const (
	Accepted            Verdict = iota
	Draining                    // the dispatcher drains
	AtCapacity                  // the dispatcher has its maximum number of requests in progress
	PromptTooLong               // the prompt exceeds the token limit
	DeadlineTooClose            // no answer could reach the client before its deadline
	EndpointListUnknown         // no endpoint list has been received yet
	OutOfMemory                 // the memory for requests in progress is in use
)

// verdictTexts are part of the interface: clients receive them as the reason for a rejection.
var verdictTexts = [...]string{
	Accepted:            "accepted",
	Draining:            "dispatcher drains",
	AtCapacity:          "too many requests in hand",
	PromptTooLong:       "prompt too long",
	DeadlineTooClose:    "no time left",
	EndpointListUnknown: "no engines known",
	OutOfMemory:         "too many bytes in hand",
}

// String returns the text of the verdict. Clients receive that of a rejection.
func (v Verdict) String() string { return verdictTexts[v] }

// IsRetryable reports whether the same request may be accepted later, so that the client can be told when to retry.
func (v Verdict) IsRetryable() bool { return v != PromptTooLong }

// Limits holds the limits and the state of a dispatcher that decide whether it accepts a request.
type Limits struct {
	MaxRequests       int   // in progress
	MaxPromptTokens   int64 // per request
	Draining          bool  // the dispatcher drains
	EndpointListKnown bool  // an endpoint list has been received
}

// Arrival describes an arriving request.
type Arrival struct {
	PromptTokens int64
	TimeLeft     int64 // until the client's deadline, less the time that an answer takes to reach the client
	Work         int64 // time that it usually takes until the answer begins; 0 = unknown
	RetryAfter   int64 // after this time the client of a rejected request may find room
}

// Check decides on a request while inProgress others are in progress. retryAfter is how long the client should wait
// before it retries. It is 0 in a drain, as other dispatchers accept the request at once.
func (l *Limits) Check(inProgress int, arrival Arrival) (verdict Verdict, retryAfter int64) {
	switch {
	case arrival.PromptTokens > l.MaxPromptTokens:
		return PromptTooLong, 0
	case l.Draining:
		return Draining, 0
	case arrival.TimeLeft <= 0 || arrival.TimeLeft < arrival.Work:
		return DeadlineTooClose, 0
	case !l.EndpointListKnown:
		return EndpointListUnknown, arrival.RetryAfter
	case inProgress >= l.MaxRequests:
		return AtCapacity, arrival.RetryAfter
	}
	return Accepted, 0
}

// OverdueMarginNanos is how long after its client's deadline a request without an answer counts as overdue. Every
// answer that was decided is given before that; an answer still counts until half a second after the deadline.
const OverdueMarginNanos = 100e6

// DrainOutcome is how a request ends that is still in progress at the deadline of a drain.
type DrainOutcome uint8

// The outcomes.
const (
	Rejected DrainOutcome = iota // the request may be retried safely
	Failed                       // the request may have run and must not run twice
)

// OutcomeAtDrainDeadline returns the outcome of a request. idempotent reports whether it may run twice, mayHaveRun
// whether an attempt was sent to a server that produces answers.
func OutcomeAtDrainDeadline(idempotent, mayHaveRun bool) DrainOutcome {
	if idempotent || !mayHaveRun {
		return Rejected
	}
	return Failed
}
