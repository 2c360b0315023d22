package policy

import "fmt"

// Action says what a Decision asks of the caller.
type Action uint8

// The actions.
const (
	SendAttempt    Action = iota + 1 // send Request to Server; the attempt times out after Duration
	CancelAttempt                    // cancel attempt Attempt of Request
	RejectRequest                    // answer Request finally: rejected, to be retried after Duration
	FailRequest                      // answer Request finally: failed
	ReleaseState                     // have the KV state that is held for Request released
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
	EjectedFailing     EjectionReason = iota // its attempts fail far more often than its peers'
	EjectedUnreachable                       // no connection could be established
	EjectedSlow                              // its latencies are far above its peers'
	EjectedSilent                            // it did not answer an attempt
)

// String returns the reason in lower case.
func (r EjectionReason) String() string {
	return nameOf(r, "failing", "not reached", "slow to answer", "silent")
}

// Ejection says that a server gets no new requests for a time.
type Ejection struct {
	Server   ServerID
	Class    ClassID // the server gets no requests of this class; NoClass means all classes
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

// Decision is one thing for the caller to do now. Action says which of the other fields apply.
type Decision struct {
	Action   Action
	Request  RequestID
	Server   ServerID
	Attempt  AttemptNumber
	Duration Nanos // the timeout of an attempt, the delay of a timer, or the Retry-After of a rejection; 0 means none

	// CachedTokens is the number of prompt tokens that the server of a prefill attempt is expected to have cached.
	CachedTokens int64

	// SendBefore is the time from which on the caller must not begin to write the attempt; 0 means any time.
	SendBefore Nanos

	Ejection Ejection
}
