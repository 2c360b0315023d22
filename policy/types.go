package policy

// Nanos is a point on the caller's clock or a duration, in nanoseconds.
type Nanos int64

// Never is later than every time on the caller's clock.
const Never = Nanos(1 << 62)

// RequestID identifies a request. The caller assigns it.
type RequestID uint64

// ServerID identifies a server. The endpoint list assigns it.
type ServerID uint32

// SessionKey identifies a conversation; 0 means none.
type SessionKey uint64

// PrefixKey identifies a prompt prefix that sessions share; 0 means none.
type PrefixKey uint64

// ClassID is an index into Config.Classes.
type ClassID int32

// NoClass stands for no particular class.
const NoClass = ClassID(-1)

// TenantID is an index into Config.Tenants; -1 means none.
type TenantID int32

// ZoneID identifies a zone. The caller numbers zones from 0.
type ZoneID int32

// KindID is an index into Config.Roles: the kind of machine that a server runs on.
type KindID int32

// CellID identifies, within its zone, a cell: the servers on one network link.
type CellID int64

// AttemptNumber counts the attempts of one request from 0.
type AttemptNumber int32

// Role says which stages of a request a server can do.
type Role uint8

// The roles of servers.
const (
	Prefill Role = iota // reads prompts
	Decode              // writes answers
	Mixed               // does both
	roleCount
)

// String returns the role in lower case.
func (r Role) String() string { return nameOf(r, "prefill", "decode", "mixed") }

// Idempotency says what running a request twice does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may run any number of times
	Deduplicated                     // servers within DedupScope drop repeats, for as long as DedupWindow
	NonIdempotent                    // must never run twice
)

// String returns the idempotency in lower case.
func (i Idempotency) String() string {
	return nameOf(i, "idempotent", "deduplicated", "non-idempotent")
}

// DedupScope is the set of servers that recognize each other's repeats of a Deduplicated request.
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
	Draining               // finishes what it has
	Gone                   // no longer exists
)

// String returns the state in lower case.
func (h Health) String() string { return nameOf(h, "serving", "draining", "gone") }

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of attempts.
const (
	Served          Outcome = iota // the answer is complete
	Prefilled                      // the prompt has been read; its KV state waits at the prefill server
	Rejected                       // the server refused: full or draining
	StateMissing                   // the decode server refused: it could not fetch the KV state
	Unreachable                    // no connection could be established; the request never ran
	NotSent                        // the request never left the dispatcher
	Failed                         // the server returned an error
	TimedOut                       // the attempt's timeout passed
	ConnectionLost                 // the connection broke
	Canceled                       // this dispatcher cancelled the attempt
	StaleConnection                // a reused connection turned out to be dead; the request may have run
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return nameOf(o, "served", "prefilled", "rejected", "state missing", "unreachable", "not sent", "failed",
		"timed out", "connection lost", "canceled", "stale connection")
}

// mayHaveRun reports whether a request may have been executed by an attempt with this outcome.
func (o Outcome) mayHaveRun() bool {
	return o == Failed || o == TimedOut || o == ConnectionLost || o == Canceled || o == StaleConnection
}

// blamesServer reports whether the request should avoid the server of an attempt with this outcome.
func (o Outcome) blamesServer() bool {
	return o != Prefilled && o != StateMissing && o != StaleConnection
}

// nameOf returns the name of an enumerated value, or "unknown".
func nameOf[T ~uint8](value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "unknown"
}

// Request describes a request of a client. No decision depends on MaxOutputTokens, ExpectedDuration and IsRetry.
type Request struct {
	ID               RequestID
	Class            ClassID
	Tenant           TenantID
	Session          SessionKey
	Prefix           PrefixKey
	PromptTokens     int64 // length of the prompt
	PrefixTokens     int64 // length of the shared prefix, which is part of the prompt
	MaxOutputTokens  int64 // upper bound of the answer's length
	Deadline         Nanos // the client gives up at this time
	ExpectedDuration Nanos // the client's rough estimate for the answer; 0 means none
	IsRetry          bool  // the client has sent the request before
}

// LoadReport is a server's own report of its load. A negative value means that it was not reported.
type LoadReport struct {
	Requests           float64 // requests at the server
	MemoryUtilization  float64 // used share of the KV memory
	QueuedPromptTokens float64 // prompt tokens that wait to be read or fetched
}

// NoLoadReport is the report of a server that reports nothing.
var NoLoadReport = LoadReport{Requests: -1, MemoryUtilization: -1, QueuedPromptTokens: -1}
