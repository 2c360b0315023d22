// Package policy decides, for one dispatcher, where the prompt of each request is read (prefill) and where
// its answer is written (decode). This file is its interface: ids, settings, events and decisions.
package policy

// Nanos is a time on the caller's clock, or a span of it, in whole nanoseconds.
type Nanos int64

// Never is later than every time on the caller's clock.
const Never = Nanos(1 << 62)

type (
	RequestID     uint64 // a request, as the caller names it
	ServerID      uint32 // a server, as the list names it
	SessionKey    uint64 // a conversation; 0 = none
	PrefixKey     uint64 // a prefix shared with other sessions; 0 = none
	ClassID       int32  // an index into the classes given at start
	TenantID      int32  // an index into the tenants given at start; -1 = none
	ZoneID        int32  // an index into the zones of the settings
	KindID        int32  // an index into the kinds of server given at start
	CellID        int64  // servers on one link, within a zone
	AttemptNumber int32  // the number of an attempt within its request, from 0
)

// Role is what a kind of server can do.
type Role uint8

const (
	Prefill Role = iota
	Decode
	Mixed
	roleCount
)

// Idempotency says what a repeated run of a request would do.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // repeats are known and dropped within a group of servers, for a time
	NonIdempotent                    // must never run twice
)

// DedupScope is the set of servers that knows a deduplicated request's repeats.
type DedupScope uint8

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Health is what the list says of a server's process.
type Health uint8

const (
	Serving Health = iota
	Draining
	Gone
)

// Outcome is how an attempt ended.
type Outcome uint8

const (
	Served          Outcome = iota // answered to the end
	Prefilled                      // the prompt is read, its state waits at the prefill server
	Rejected                       // turned away: full, draining
	StateMissing                   // turned away: there was no state to fetch
	Unreachable                    // no connection; it never ran
	NotSent                        // never left the dispatcher
	Failed                         // the server returned an error
	TimedOut                       // its time ran out
	ConnectionLost                 // the connection broke
	Canceled                       // cancelled by this dispatcher
	StaleConnection                // lost with a connection kept from before, dead by then: it may have run
)

// Class is one class of requests.
type Class struct {
	LatencyTarget      Nanos // first token wanted within this time of arrival ...
	LatencyTargetPer1k Nanos // ... and so much more for each 1,000 prompt tokens
	Timeout            Nanos // the client's whole time, all its tries together
	Value              float64
	LateValue          float64 // share paid after the target
	InterTokenTarget   Nanos   // wanted between tokens
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        Nanos // for this long the group remembers a deduplicated request
}

// Tenant is one payer and what it is entitled to, over all dispatchers.
type Tenant struct{ RequestsPerSecond float64 }

// Identity tells a dispatcher which one of them it is.
type Identity struct {
	Number, Count int32
	Zone          ZoneID
}

// SlowStart describes servers that have just started, and what makes them fail.
type SlowStart struct {
	InitialCapacity float64 // share of its capacity with which a server starts, at least
	WarmupTime      Nanos   // warm after this time
	OverloadFactor  float64 // sent this multiple of what it can do ...
	OverloadWindow  Nanos   // ... over this long, it falls over
}

// AttemptLimits bounds what may be sent.
type AttemptLimits struct {
	MaxAttempts      int32 // attempts for one request
	CanCancel        bool
	DecodeCanPrefill bool // decode servers read a prompt themselves when no state waits
}

// ResponseSettings bounds final answers.
type ResponseSettings struct {
	DeadlineGrace  Nanos // still accepted so long after the client's deadline
	RoundInterval  Nanos // time between two rounds of events
	SendRetryAfter bool  // clients are told when to come back
	MaxRetryAfter  Nanos
}

// Discovery says how the list of servers is come by.
type Discovery struct {
	OnRequest   bool  // only on request
	MaxInterval Nanos // to be asked for at least so often
}

// Request is what the client tells of a request.
type Request struct {
	ID               RequestID
	Class            ClassID
	Tenant           TenantID
	Session          SessionKey
	Prefix           PrefixKey
	PromptTokens     int64 // tokens of the prompt
	PrefixTokens     int64 // how many of them are the shared prefix
	MaxOutputTokens  int64 // most tokens in the answer
	Deadline         Nanos // the client gives this try up then
	ExpectedDuration Nanos // rough length of the answer; 0 = none
	IsRetry          bool
}

// LoadReport is a server's own report; a negative value was not reported.
type LoadReport struct {
	Requests           float64 // held now
	MemoryUtilization  float64 // share held
	QueuedPromptTokens float64 // prompt tokens waiting to be read or fetched
}

// NoLoadReport is the report of a server that reports nothing.
var NoLoadReport = LoadReport{-1, -1, -1}

// Action names what a decision asks of the caller.
type Action uint8

const (
	SendAttempt    Action = iota + 1 // send Request to Server, for at most For
	CancelAttempt                    // cancel the attempt Attempt of Request
	RejectRequest                    // final: refused, may come back after For
	FailRequest                      // final: failed
	ReleaseState                     // have the KV state that is held for Request released
	SetTimer                         // call Woken after For
	WatchEndpoints                   // subscribe to the list
	LogMessage                       // write Text to the log
)

// Decision is one thing to be done now.
type Decision struct {
	Action       Action
	Request      RequestID
	Server       ServerID
	Attempt      AttemptNumber
	Duration     Nanos
	CachedTokens int64 // of an attempt that reads: prompt tokens expected to be kept there

	// SendBefore is until when an attempt may begin to be written; 0 = that does not matter.
	SendBefore Nanos
	Text       string
}
