// Package intake decides whether a dispatcher takes a request at all, before its module sees it, and how requests end that
// are still in hand when the dispatcher has to go. It does no I/O and reads no clock.
package intake

// Verdict says why a request is not taken.
type Verdict uint8

const (
	Accepted         Verdict = iota
	Draining                 // the dispatcher drains
	AtCapacity               // it has as many requests in hand as it may
	PromptTooLong            // its prompt is longer than any may be
	DeadlineTooClose         // its time is up before an answer could leave
	NoServersKnown           // no list of engines is known yet
)

func (v Verdict) String() string {
	return [...]string{
		"taken", "dispatcher drains", "too many requests in hand", "prompt too long", "no time left",
		"no engines known",
	}[v]
}

// IsRetryable tells that the request may be tried again as it is: the request is rejected, with advice when to come back.
func (v Verdict) IsRetryable() bool { return v != PromptTooLong }

// Limits is the state of the dispatcher that counts here.
type Limits struct {
	MaxRequests     int   // requests in hand
	MaxPromptTokens int64 // tokens of a prompt
	Draining        bool
	ListKnown       bool // a list of engines is known
}

// Check decides on a request. left is the client's time less what an answer needs to arrive; expected the request's
// expected time. The advice is how long to stay away, in nanoseconds: half an expected time, about what a
// burst's head takes to pass; a dispatcher that leaves advises none, as others take the request at once.
func (l *Limits) Check(inHand int, prompt, left, expected int64) (Verdict, int64) {
	switch {
	case prompt > l.MaxPromptTokens:
		return PromptTooLong, 0
	case l.Draining:
		return Draining, 0
	case left <= 0:
		return DeadlineTooClose, 0
	case !l.ListKnown:
		return NoServersKnown, expected
	case inHand >= l.MaxRequests:
		return AtCapacity, expected / 2
	}
	return Accepted, 0
}

// OverdueMargin is how long after its client's deadline a request without an answer is taken for forgotten, in nanoseconds:
// later than any answer that was decided, and well within the half second in which an answer still counts as given.
const OverdueMargin = 100e6

// DrainOutcome is how a request ends that is in hand when the dispatcher's time to drain is up.
type DrainOutcome uint8

const (
	Rejected DrainOutcome = iota // it never ran: trying again is harmless
	Failed                       // it may have run
)

// OutcomeAtDrainDeadline decides that end from whether any attempt of the request was sent to a server that answers.
func OutcomeAtDrainDeadline(redoable, mayHaveRun bool) DrainOutcome {
	if redoable || !mayHaveRun {
		return Rejected
	}
	return Failed
}
