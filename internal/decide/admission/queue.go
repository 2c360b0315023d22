package admission

import (
	"fmt"

	"docksail/internal/decide/background"
)

// MaxAdmissionsPerTurn is how many requests may be admitted in one iteration of the event loop: before more are, the
// loop must notice how long the iteration took, and read what has arrived meanwhile.
const MaxAdmissionsPerTurn = 16

const (
	// maxUnsent is the most requests that may have been admitted and not sent to a server yet.
	maxUnsent = 4
	// unsentIncrease is how much the limit of unsent requests grows with each one sent. A request that could not be sent
	// halves it, so many attempts make up for one rejection.
	unsentIncrease = 1.0 / 8
	// unsentGracePart is how long an unsent request keeps others from being admitted, as a part of the latency
	// objective: half of the time for which the policy module lets a request wait.
	unsentGracePart = 1.0 / 16
	// overloadPart is the part of the latency objective that one iteration of the event loop may take: a request needs
	// several of them.
	overloadPart = 1.0 / 8
	// shedPart is the part of the waiting requests that one overloaded iteration sheds.
	shedPart = 1.0 / 8
	// backgroundPart is the size of the queue of background requests as a part of MaxWaiting.
	backgroundPart = 1.0 / 4
	// spareFlows is how many flows may be remembered beside one for each waiting request.
	spareFlows = 1024
)

// Config configures a queue.
type Config struct {
	MaxWaiting       int           // interactive requests that may wait; background requests have places of their own
	MaxKnownClients  int           // clients that are remembered
	LatencyObjective Nanos         // the shortest of the classes; the queue measures durations by it
	Signer           *TicketSigner // signs reservations; if nil, rejected requests get none
	FIFO             bool          // admit interactive requests in order of arrival: a baseline for experiments
}

// Queue holds the requests that wait for admission, interactive and background ones apart. Create it with New.
type Queue struct {
	latencyObjective  Nanos
	interactive       *fairQueue
	background        *fairQueue
	backgroundLimiter *background.Limiter
	unsentLimit       float64 // requests that may have been admitted and not sent yet
}

// New returns an empty queue without tenants. It returns an error if a number in config is not above 0.
func New(config Config) (*Queue, error) {
	if config.MaxWaiting < 1 || config.MaxKnownClients < 1 || config.LatencyObjective < 1 {
		return nil, fmt.Errorf("admission queue for %d requests and %d clients, latency objective %d: want all above 0",
			config.MaxWaiting, config.MaxKnownClients, config.LatencyObjective)
	}
	maxFlows := config.MaxWaiting + spareFlows
	backgroundConfig := Config{
		MaxWaiting:       max(int(backgroundPart*float64(config.MaxWaiting)), 1),
		MaxKnownClients:  1,
		LatencyObjective: config.LatencyObjective,
		Signer:           config.Signer,
	}
	return &Queue{
		latencyObjective:  config.LatencyObjective,
		interactive:       newFairQueue(config, maxFlows),
		background:        newFairQueue(backgroundConfig, maxFlows),
		backgroundLimiter: background.New(config.LatencyObjective),
		unsentLimit:       maxUnsent,
	}, nil
}

// SetTenant adds tenant number, which must be the next one, or changes the limits of an existing tenant, also for
// requests that wait already. Background requests are not subject to its rate and its numbers of requests.
func (q *Queue) SetTenant(number int, limits TenantLimits) error {
	if err := q.interactive.setTenant(number, limits); err != nil {
		return err
	}
	return q.background.setTenant(number, TenantLimits{Weight: limits.Weight, MaxPromptTokens: limits.MaxPromptTokens})
}

// TenantCounts returns the counters of a tenant's interactive requests.
func (q *Queue) TenantCounts(number int) TenantCounts { return q.interactive.tenants[number].counts }

// TenantLoad returns how many interactive requests of a tenant wait, and how many were admitted and have not ended.
func (q *Queue) TenantLoad(number int) (waiting, running int) {
	t := q.interactive.tenants[number]
	return t.waiting, t.running
}

// Waiting returns the number of waiting requests, background ones included.
func (q *Queue) Waiting() int { return q.interactive.waiting() + q.background.waiting() }

// BackgroundWaiting returns the number of waiting background requests.
func (q *Queue) BackgroundWaiting() int { return q.background.waiting() }

// BackgroundInFlight returns the number of background requests that were admitted and have not ended.
func (q *Queue) BackgroundInFlight() int { return q.backgroundLimiter.InFlight() }

// BackgroundLimit returns how many background requests may be in flight.
func (q *Queue) BackgroundLimit() float64 { return q.backgroundLimiter.Limit() }

// FlowCount returns the number of flows of interactive requests that are remembered.
func (q *Queue) FlowCount() int { return q.interactive.flowCount }

// queueFor returns the queue in which a request belongs.
func (q *Queue) queueFor(request *Request) *fairQueue {
	if request.Background {
		return q.background
	}
	return q.interactive
}

// queueHolding returns the queue in which a request waits; the interactive one if it does not wait.
func (q *Queue) queueHolding(id RequestID) *fairQueue {
	if q.background.contains(id) {
		return q.background
	}
	return q.interactive
}

// Enqueue adds a request, or rejects it and returns when its client should retry. If the verdict is Queued, another
// request may have been displaced: the caller must call PopDisplaced.
func (q *Queue) Enqueue(now Nanos, request Request) (Verdict, RetryAdvice) {
	verdict, advice := q.queueFor(&request).enqueue(now, &request)
	if !request.Background && (verdict == QueueFull || verdict == TooLate) {
		q.backgroundLimiter.ObserveRejection(now)
	}
	return verdict, advice
}

// CanAdmit reports whether another request may be admitted, given for how long the requests that were admitted and not
// sent have been waiting for it. While one of them is fresh, none may: the next follows in the same iteration once it
// is sent, so that the order stays that of the queue. Those that have waited longer are held up by the policy module or
// cannot be placed; they do not keep others back.
func (q *Queue) CanAdmit(unsentAges []Nanos) bool {
	fresh := 0
	for _, age := range unsentAges {
		if age <= Nanos(unsentGracePart*float64(q.latencyObjective)) {
			fresh++
		}
	}
	return fresh == 0 && len(unsentAges) < int(q.unsentLimit)
}

// NextAdmissible returns the next request to admit, and whether there is one, while unsentCount admitted requests are
// not sent yet. A background request is next if no interactive one waits, no request is unsent and there is capacity to
// spare. The request keeps waiting until Admit is called.
func (q *Queue) NextAdmissible(now Nanos, unsentCount int) (RequestID, bool) {
	if id, ok := q.interactive.nextAdmissible(); ok {
		return id, true
	}
	if q.interactive.waiting() == 0 && unsentCount == 0 && q.backgroundLimiter.CanAdmit(now) {
		return q.background.nextAdmissible()
	}
	return 0, false
}

// Admit removes a request that NextAdmissible returned from the queue.
func (q *Queue) Admit(now Nanos, id RequestID) {
	queue := q.queueHolding(id)
	wait, admitted := queue.admit(now, id)
	switch {
	case !admitted:
	case queue == q.background:
		q.backgroundLimiter.RecordAdmitted()
	default:
		q.backgroundLimiter.ObserveQueueWait(now, wait)
	}
}

// RecordSent records that an admitted request was sent to a server. It measures the throughput behind the queue.
func (q *Queue) RecordSent(now Nanos, request Request) {
	q.interactive.throughput.record(now, EstimatedCost(request.PromptTokens, request.MaxAnswerTokens))
	q.unsentLimit = min(q.unsentLimit+unsentIncrease, maxUnsent)
}

// RecordNotSent records that the policy module rejected an admitted request without sending it. Fewer requests may be
// unsent from then on, so that they do not compete for the next attempt outside the order of the queue.
func (q *Queue) RecordNotSent() { q.unsentLimit = max(q.unsentLimit/2, 1) }

// RecordFirstToken records the time to first token of an admitted request.
func (q *Queue) RecordFirstToken(now Nanos, request Request, timeToFirstToken Nanos) {
	if request.Background {
		q.backgroundLimiter.RecordStarted()
	} else {
		q.backgroundLimiter.ObserveFirstToken(now, timeToFirstToken, request.LatencyObjective)
	}
}

// Result is how an admitted request ended.
type Result struct {
	Served       bool // it was answered in full
	AnswerTokens int64
}

// RecordFinished records the end of an admitted request. The difference between its actual and its estimated cost is
// charged to its flow and its tenant.
func (q *Queue) RecordFinished(now Nanos, request Request, result Result) {
	q.queueFor(&request).recordFinished(now, &request, result)
	if request.Background {
		outcome := background.Outcome{Started: result.AnswerTokens > 0, Served: result.Served}
		q.backgroundLimiter.RecordFinished(now, outcome)
	}
}

// Cancel removes a request whose client has left or whose time is up. It reports whether the request was waiting. A
// request that was displaced is not returned by PopDisplaced any more.
func (q *Queue) Cancel(now Nanos, id RequestID) bool {
	if q.queueHolding(id).cancel(now, id) {
		return true
	}
	q.background.dropDisplaced(id)
	q.interactive.dropDisplaced(id)
	return false
}

// PopDisplaced removes and returns a request that was displaced by another, with the advice for its client, and whether
// there is one. The caller must reject it.
func (q *Queue) PopDisplaced(now Nanos) (RequestID, RetryAdvice, bool) {
	if id, advice, ok := q.interactive.popDisplaced(now); ok {
		return id, advice, true
	}
	return q.background.popDisplaced(now)
}

// NextExpired returns a waiting request for which it is too late, and whether there is one. The caller must call
// Reject.
func (q *Queue) NextExpired(now Nanos) (RequestID, bool) {
	if id, ok := q.interactive.nextExpired(now); ok {
		return id, true
	}
	return q.background.nextExpired(now)
}

// NextWakeup returns the earliest time at which NextExpired or NextAdmissible may return something else without another
// call, and whether there is one.
func (q *Queue) NextWakeup(now Nanos) (at Nanos, ok bool) {
	at, ok = q.interactive.nextExpiry()
	backgroundExpiry, backgroundWaits := q.background.nextExpiry()
	if !backgroundWaits {
		return at, ok
	}
	if !ok || backgroundExpiry < at {
		at = backgroundExpiry
	}
	if end, paused := q.backgroundLimiter.PausedUntil(now); paused && end < at {
		at = end
	}
	return at, true
}

// Reject removes a waiting request and returns when its client should retry. It returns no advice if the request does
// not wait.
func (q *Queue) Reject(now Nanos, id RequestID, reason Verdict) RetryAdvice {
	if q.interactive.contains(id) {
		q.backgroundLimiter.ObserveRejection(now)
	}
	return q.queueHolding(id).reject(now, id, reason)
}

// ReserveRetry returns when the client of a request that was admitted and then rejected by the policy module should
// retry, minDelay from now at the earliest, and makes a reservation for it.
func (q *Queue) ReserveRetry(now Nanos, request Request, minDelay Nanos) RetryAdvice {
	queue := q.queueFor(&request)
	t := queue.tenant(request.Tenant)
	if t == nil {
		return RetryAdvice{}
	}
	if !request.Background {
		q.backgroundLimiter.ObserveRejection(now)
	}
	return queue.reserveRetry(now, t, newPricedRequest(&request), QueueFull, minDelay)
}

// ShedCount returns how many waiting requests should be rejected as Overloaded after an iteration of the event loop
// that took the given time, while memoryUsed bytes are in use: an event loop that lags makes every request late, so
// waiting requests are rejected before running ones suffer. maxMemory is 0 if memory is not limited.
func (q *Queue) ShedCount(iteration Nanos, memoryUsed, maxMemory uint64) int {
	slow := iteration >= Nanos(overloadPart*float64(q.latencyObjective))
	memoryShort := maxMemory > 0 && memoryUsed > maxMemory
	if !slow && !memoryShort || q.Waiting() == 0 {
		return 0
	}
	return max(1, int(shedPart*float64(q.Waiting())))
}

// NextToShed returns the request that should be shed first, and whether any waits: a background request before
// others, then the newest request of the flow with the most waiting requests for its weight.
func (q *Queue) NextToShed() (RequestID, bool) {
	if q.background.waiting() > 0 {
		return q.background.nextToShed()
	}
	return q.interactive.nextToShed()
}
