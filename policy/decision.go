package policy

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
	LogMessage                       // write Text to the log
)

// String returns the action in lower case.
func (a Action) String() string {
	return nameOf(a, "none", "send attempt", "cancel attempt", "reject request", "fail request", "release state",
		"set timer", "watch endpoints", "log message")
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
	Text       string
}
