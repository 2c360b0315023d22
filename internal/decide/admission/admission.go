// Package admission decides in what order waiting requests are admitted, which ones are rejected, and when the clients
// of rejected requests should retry.
//
// Requests wait in flows, one for each client of a tenant. Start-time fair queueing shares the service on two levels:
// among tenants by weight, and among the flows of a tenant evenly. Each request is charged its estimated cost. Clients
// that are not known yet share one flow for each source they connect from, so invented client names gain nothing; a
// client is known once enough of its requests were served. The numbers of waiting requests, flows, known clients and
// reservations are bounded.
//
// The package does no I/O and reads no clock. Equal calls lead to equal decisions.
package admission

// Nanos is a point in time or a duration in nanoseconds.
type Nanos = int64

// RequestID identifies a request.
type RequestID uint64

// Request describes a request to the queue.
type Request struct {
	ID               RequestID
	Tenant           int    // number of its tenant, see Queue.SetTenant
	Client           uint64 // keyed hash of the client's name; 0 if it gave none
	Source           uint64 // keyed hash of the address it comes from
	PromptTokens     int64
	MaxAnswerTokens  int64
	LatencyObjective Nanos   // time to first token within which the answer has its full value
	Deadline         Nanos   // time by which the answer must have begun
	Ticket           *Ticket // the reservation that the client presents; nil without one
	Background       bool    // admitted only into capacity that no other request needs
}

// Verdict is the decision on a request: Queued, or the reason for its rejection.
type Verdict uint8

// The verdicts.
const (
	Queued             Verdict = iota
	QueueFull                  // the queue holds as many requests as it may
	TenantQueueFull            // as many requests of the tenant wait as may
	TenantRateExceeded         // the tenant sends more requests a second than it may
	PromptTooLong              // the prompt is longer than the tenant's may be
	TooLate                    // the request cannot be admitted early enough to be answered in time
	UnknownTenant              // there is no such tenant
	Overloaded                 // the dispatcher itself is overloaded
	verdictCount
)

// String returns the text that clients are sent.
func (v Verdict) String() string {
	return [...]string{
		"admitted", "too many requests waiting", "too many requests of the tenant waiting",
		"faster than the tenant may ask", "prompt longer than the tenant's may be", "no chance to be in time",
		"unknown tenant", "dispatcher overloaded",
	}[v]
}

// IsTenantLimit reports whether the request met a limit of its own tenant.
func (v Verdict) IsTenantLimit() bool {
	return v == TenantQueueFull || v == TenantRateExceeded || v == PromptTooLong
}

// RetryAdvice tells the client of a rejected request when to retry.
type RetryAdvice struct {
	RetryAfter Nanos
	Ticket     *Ticket // the reservation to present then; nil if none could be made
}

const (
	// answerTokenCost is the cost of a token of an answer in prompt tokens: it takes a decode step of its own, while a
	// prompt token takes a part of a prefill step with some hundred others; slots and memory level it to this.
	answerTokenCost = 8
	// expectedAnswerPart is the part of MaxAnswerTokens that is charged before the length of the answer is known.
	expectedAnswerPart = 0.5
	// minCost is the least that a request is charged.
	minCost = 1
)

// EstimatedCost returns the cost in prompt tokens that a request is charged before its answer is known.
func EstimatedCost(promptTokens, maxAnswerTokens int64) float64 {
	return max(float64(promptTokens)+answerTokenCost*expectedAnswerPart*float64(maxAnswerTokens), minCost)
}

// actualCost returns the cost in prompt tokens of a request that was answered with answerTokens.
func actualCost(promptTokens, answerTokens int64) float64 {
	return float64(promptTokens) + answerTokenCost*float64(answerTokens)
}
