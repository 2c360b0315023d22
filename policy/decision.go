package policy

import "fmt"

// Action is what a Decision asks the caller to do.
type Action uint8

// The actions.
const (
	SendAttempt    Action = iota + 1 // send Request to Server; the attempt times out after Duration
	CancelAttempt                    // cancel attempt Attempt of Request
	RejectRequest                    // give Request its final answer: rejected, the client may retry after Duration
	FailRequest                      // give Request its final answer: failed
	ReleaseState                     // release the KV state that is held for Request
	SetTimer                         // call TimerFired after Duration
	WatchEndpoints                   // subscribe to the endpoint list
	LogEjection                      // write Ejection to the log
)

// String returns the action in lower case.
func (a Action) String() string {
	return nameOf(a, "none", "send attempt", "cancel attempt", "reject request", "fail request", "release state",
		"set timer", "watch endpoints", "log ejection")
}

// EjectionReason says why a server was ejected.
type EjectionReason uint8

// The reasons for ejections.
const (
	EjectedFailing     EjectionReason = iota // its attempts fail far more often than those of its peers
	EjectedUnreachable                       // no connection to it could be established
	EjectedSlow                              // its latencies are far above those of its peers
	EjectedSilent                            // it did not respond to an attempt
)

// String returns the reason in lower case.
func (r EjectionReason) String() string {
	return nameOf(r, "failing", "not reached", "slow to answer", "silent")
}

// Ejection reports that a server gets no new requests for a time.
type Ejection struct {
	Server   ServerID
	Class    ClassID // the class that the server is ejected for; NoClass means all classes
	Reason   EjectionReason
	Duration Nanos
}

// String describes the ejection in one line.
func (e Ejection) String() string {
	milliseconds := e.Duration / 1e6
	if e.Class == NoClass {
		return fmt.Sprintf("server %d ejected for %d ms: %s", e.Server, milliseconds, e.Reason)
	}
	return fmt.Sprintf("server %d %s to class %d, left alone for %d ms", e.Server, e.Reason, e.Class, milliseconds)
}

// Decision is one action for the caller to carry out. Action determines which of the other fields are set.
type Decision struct {
	Action   Action
	Request  RequestID
	Server   ServerID
	Attempt  AttemptNumber
	Duration Nanos // the timeout of an attempt, the delay of a timer, or the Retry-After of a rejection; 0 means none

	// CachedTokens is the number of prompt tokens that the server of a prefill attempt is expected to have cached.
	CachedTokens int64

	// SendBefore is the time before which the caller must begin to write the attempt, or else not send it; 0 means
	// no limit.
	SendBefore Nanos

	Ejection Ejection
}
