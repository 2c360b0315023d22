// Package admission decides in what order waiting requests are admitted, which ones are rejected, and when the clients
// of rejected requests should retry.
//
// Requests wait in flows, one for each client of a tenant. Start-time fair queueing shares the service on two levels:
// among tenants by weight, and among the flows of a tenant evenly. Each request is charged its estimated cost. Clients
// that are not known yet share one flow for each source they connect from, so inventing client names gains nothing; a
// client is known once enough of its requests have been served. The numbers of waiting requests, flows, known clients
// and reservations are bounded.
//
// The package does no I/O and reads no clock. Its decisions are deterministic.
package admission

// Nanos is a point in time or a duration in nanoseconds.
type Nanos = int64

// RequestID identifies a request.
type RequestID uint64

// Request describes a request to the queue.
type Request struct {
	ID              RequestID
	Tenant          int    // number of the tenant, see Queue.SetTenant
	Client          uint64 // keyed hash of the client's name; 0 without one
	Source          uint64 // keyed hash of the client's address
	PromptTokens    int64
	MaxAnswerTokens int64
	Deadline        Nanos   // time by which the answer must have begun
	Work            Nanos   // time that it usually takes from the admission until the answer begins; 0 if unknown
	QueuedAfter     Nanos   // time to first token above which it has queued at a server; 0 if unknown
	RetryAfter      Nanos   // when its client may find room if it is rejected before a pace is known
	Ticket          *Ticket // the reservation that the client presents; nil if none
	Background      bool    // admitted only to capacity that no interactive request needs
}

// Verdict is the decision on a request: Queued, or the reason for its rejection.
type Verdict uint8

// The verdicts.
const (
	Queued             Verdict = iota
	QueueFull                  // the queue holds its maximum number of requests
	TenantQueueFull            // the tenant has its maximum number of waiting requests
	TenantRateExceeded         // the tenant sends more requests per second than allowed
	PromptTooLong              // the prompt exceeds the tenant's limit
	TooLate                    // the request cannot be admitted early enough to be answered in time
	UnknownTenant              // the tenant number does not exist
	Overloaded                 // the dispatcher itself is overloaded
	verdictCount
)

// String returns the text of the verdict. Clients receive that of a rejection.
func (v Verdict) String() string {
	return [...]string{
		"admitted", "too many requests waiting", "too many requests of the tenant waiting",
		"faster than the tenant may ask", "prompt longer than the tenant's may be", "no chance to be in time",
		"unknown tenant", "dispatcher overloaded",
	}[v]
}

// IsTenantLimit reports whether the request exceeded a limit of its tenant.
func (v Verdict) IsTenantLimit() bool {
	return v == TenantQueueFull || v == TenantRateExceeded || v == PromptTooLong
}

// RetryAdvice tells the client of a rejected request when to retry.
type RetryAdvice struct {
	RetryAfter Nanos
	Ticket     *Ticket // the reservation to present in the retry; nil if none was made
}

const (
	// answerTokenCost is the cost of an answer token in prompt tokens. An answer token needs a decode step of its own,
	// while a prompt token shares a prefill step with many others. Batch slots and memory bring the ratio down to this.
	answerTokenCost = 8
	// expectedAnswerFraction is the fraction of MaxAnswerTokens that is charged before the length of the answer is
	// known.
	expectedAnswerFraction = 0.5
	// minCost is the minimum cost of a request.
	minCost = 1
)

// EstimatedCost returns the cost, in prompt tokens, that a request is charged before its answer is known.
func EstimatedCost(promptTokens, maxAnswerTokens int64) float64 {
	return max(float64(promptTokens)+answerTokenCost*expectedAnswerFraction*float64(maxAnswerTokens), minCost)
}

// actualCost returns the cost, in prompt tokens, of a request that was answered with answerTokens.
func actualCost(promptTokens, answerTokens int64) float64 {
	return float64(promptTokens) + answerTokenCost*float64(answerTokens)
}
