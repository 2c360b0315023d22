package policy

// Nanos is a point on the caller's clock or a duration, in nanoseconds.
type Nanos int64

// Never is a time later than any on the caller's clock.
const Never = Nanos(1 << 62)

// RequestID identifies a request. The caller assigns it.
type RequestID uint64

// ServerID identifies a server. The endpoint list assigns it.
type ServerID uint32

// SessionKey identifies a conversation; 0 means none.
type SessionKey uint64

// PrefixKey identifies a prompt prefix shared by several sessions; 0 means none.
type PrefixKey uint64

// ClassID is an index into Config.Classes.
type ClassID int32

// NoClass means that no class is given.
const NoClass = ClassID(-1)

// TenantID is an index into Config.Tenants; -1 means none.
type TenantID int32

// ZoneID identifies a zone. The caller numbers zones from 0.
type ZoneID int32

// KindID identifies the kind of machine that a server runs on. It is an index into Config.Roles.
type KindID int32

// CellID identifies a cell within its zone. The servers of a cell share one network link.
type CellID int64

// AttemptNumber counts the attempts of one request from 0.
type AttemptNumber int32

// Role says which stages of a request a server can execute.
type Role uint8

// The roles of servers.
const (
	Prefill Role = iota // processes prompts
	Decode              // generates answers
	Mixed               // both
	roleCount
)

// String returns the role in lower case.
func (r Role) String() string { return nameOf(r, "prefill", "decode", "mixed") }

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The levels of idempotency.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // the servers of DedupScope drop repeats within DedupWindow
	NonIdempotent                    // must not run more than once
)

// String returns the level of idempotency in lower case.
func (i Idempotency) String() string {
	return nameOf(i, "idempotent", "deduplicated", "non-idempotent")
}

// DedupScope is the set of servers that share their record of Deduplicated requests and so recognize repeats.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupScopeAll  DedupScope = iota // all servers
	DedupScopeZone                   // servers of one zone
	DedupScopeCell                   // servers of one cell
)

// String returns the scope in lower case.
func (s DedupScope) String() string { return nameOf(s, "all", "zone", "cell") }

// Health is the state of a server in the endpoint list.
type Health uint8

// The states of servers.
const (
	Serving  Health = iota // accepts requests
	Draining               // finishes its requests, accepts no new ones
	Gone                   // no longer exists
)

// String returns the state in lower case.
func (h Health) String() string { return nameOf(h, "serving", "draining", "gone") }

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of attempts.
const (
	Served          Outcome = iota // the answer is complete
	Prefilled                      // the prompt has been processed; the prefill server holds its KV state
	Rejected                       // the server refused the request: it is full or draining
	StateMissing                   // the decode server could not fetch the KV state
	Unreachable                    // no connection could be established; the request did not run
	NotSent                        // the dispatcher did not send the request
	Failed                         // the server returned an error
	TimedOut                       // the attempt's timeout passed
	ConnectionLost                 // the connection broke
	Canceled                       // this dispatcher canceled the attempt
	StaleConnection                // a reused connection was already closed; the request may have run
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return nameOf(o, "served", "prefilled", "rejected", "state missing", "unreachable", "not sent", "failed",
		"timed out", "connection lost", "canceled", "stale connection")
}

// mayHaveRun reports whether an attempt with this outcome may have executed the request.
func (o Outcome) mayHaveRun() bool {
	return o == Failed || o == TimedOut || o == ConnectionLost || o == Canceled || o == StaleConnection
}

// shouldAvoidServer reports whether a retry should avoid the server of an attempt with this outcome.
func (o Outcome) shouldAvoidServer() bool {
	return o != Prefilled && o != StateMissing && o != StaleConnection
}

// nameOf returns the name of an enumerated value, or "unknown".
func nameOf[T ~uint8](value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "unknown"
}

// Request describes a client's request. Decisions do not depend on MaxOutputTokens, ExpectedDuration or IsRetry.
type Request struct {
	ID               RequestID
	Class            ClassID
	Tenant           TenantID
	Session          SessionKey
	Prefix           PrefixKey
	PromptTokens     int64 // length of the prompt
	PrefixTokens     int64 // length of the shared prefix at the start of the prompt
	MaxOutputTokens  int64 // maximum length of the answer
	Deadline         Nanos // the client gives up at this time
	ExpectedDuration Nanos // the client's estimate of the answer's duration; 0 means none
	IsRetry          bool  // the client has sent the request before
}

// LoadReport is the load that a server reports of itself. A negative value was not reported.
type LoadReport struct {
	Requests           float64 // requests at the server
	MemoryUtilization  float64 // share of the KV memory in use
	QueuedPromptTokens float64 // prompt tokens waiting to be processed or fetched
}

// NoLoadReport is a LoadReport without any reported value.
var NoLoadReport = LoadReport{Requests: -1, MemoryUtilization: -1, QueuedPromptTokens: -1}
