package admission

import (
	"fmt"

	"docksail/internal/decide/background"
)

// maxAdmissionsPerIteration is how many requests may be admitted in one iteration of the event loop, so that the loop
// can measure the duration of the iteration and read new input in between.
const maxAdmissionsPerIteration = 16

const (
	// maxUnsent is the upper bound of the limit of unsent requests: those admitted and not yet sent to a server.
	maxUnsent = 4
	// unsentIncrease is how much the limit of unsent requests grows with each request that is sent. A request that
	// could not be sent halves the limit.
	unsentIncrease = 1.0 / 8
	// unsentHold is how long an unsent request prevents further admissions. By then the policy module has looked for a
	// server for it once more.
	unsentHold = Nanos(60e6)
	// overloadedIteration is the duration of an iteration of the event loop from which the loop is overloaded. A request
	// takes about four, and clients are owed each event of a stream within 0.3 s.
	overloadedIteration = Nanos(75e6)
	// shedFraction is the fraction of the waiting requests that is shed after an overloaded iteration.
	shedFraction = 1.0 / 8
	// backgroundFraction is the size of the queue of background requests as a fraction of MaxWaiting.
	backgroundFraction = 1.0 / 4
	// extraFlows is how many flows may exist in addition to one for each waiting request.
	extraFlows = 1024
)

// Config configures a queue.
type Config struct {
	MaxWaiting      int           // interactive requests that may wait; background requests have a limit of their own
	MaxKnownClients int           // clients whose served requests are counted
	Signer          *TicketSigner // signs reservations; if nil, none are made
	FIFO            bool          // admit interactive requests in order of arrival, as a baseline for experiments
}

// Queue holds the requests that wait for admission, interactive and background ones separately. Create it with New.
type Queue struct {
	interactive       *fairQueue
	background        *fairQueue
	backgroundLimiter *background.Limiter
	unsentLimit       float64 // how many requests may be admitted and not yet sent
}

// New returns an empty queue without tenants. It returns an error if a number in config is less than 1.
func New(config Config) (*Queue, error) {
	if config.MaxWaiting < 1 || config.MaxKnownClients < 1 {
		return nil, fmt.Errorf("max waiting is %d and max known clients %d, each must be at least 1",
			config.MaxWaiting, config.MaxKnownClients)
	}
	maxFlows := config.MaxWaiting + extraFlows
	backgroundConfig := Config{
		MaxWaiting:      max(int(backgroundFraction*float64(config.MaxWaiting)), 1),
		MaxKnownClients: 1,
		Signer:          config.Signer,
	}
	return &Queue{
		interactive:       newFairQueue(config, maxFlows),
		background:        newFairQueue(backgroundConfig, maxFlows),
		backgroundLimiter: background.New(),
		unsentLimit:       maxUnsent,
	}, nil
}

// SetTenant adds tenant number, which must be the next one, or changes the limits of an existing one, also for
// requests that are already waiting. The tenant's limits on rate, waiting and running requests do not apply to
// background requests.
func (q *Queue) SetTenant(number int, limits TenantLimits) error {
	if err := q.interactive.setTenant(number, limits); err != nil {
		return err
	}
	return q.background.setTenant(number, TenantLimits{Weight: limits.Weight, MaxPromptTokens: limits.MaxPromptTokens})
}

// TenantCounts returns the counters of a tenant's interactive requests.
func (q *Queue) TenantCounts(number int) TenantCounts { return q.interactive.tenants[number].counts }

// TenantLoad returns how many interactive requests of a tenant are waiting, and how many were admitted and have not
// ended.
func (q *Queue) TenantLoad(number int) (waiting, running int) {
	t := q.interactive.tenants[number]
	return t.waiting, t.running
}

// Waiting returns the number of waiting requests, including background requests.
func (q *Queue) Waiting() int { return q.interactive.waiting() + q.background.waiting() }

// BackgroundWaiting returns the number of waiting background requests.
func (q *Queue) BackgroundWaiting() int { return q.background.waiting() }

// BackgroundInFlight returns the number of background requests that were admitted and have not ended.
func (q *Queue) BackgroundInFlight() int { return q.backgroundLimiter.InFlight() }

// BackgroundLimit returns how many background requests may be in flight.
func (q *Queue) BackgroundLimit() float64 { return q.backgroundLimiter.Limit() }

// FlowCount returns the number of flows of interactive requests.
func (q *Queue) FlowCount() int { return q.interactive.flowCount }

// queueFor returns the queue to which a request belongs.
func (q *Queue) queueFor(request *Request) *fairQueue {
	if request.Background {
		return q.background
	}
	return q.interactive
}

// queueHolding returns the queue in which a request waits, or the interactive queue if the request does not wait.
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

// CanAdmit reports whether another request may be admitted. unsentAges holds, for each request that was admitted and
// not yet sent, the time since its admission.
//
// A recently admitted request prevents further admissions until it is sent, which usually happens in the same
// iteration of the event loop: so requests are sent in the order of the queue. One that has waited longer is delayed
// by the policy module or cannot be placed, and only counts towards the limit of unsent requests.
func (q *Queue) CanAdmit(unsentAges []Nanos) bool {
	recent := 0
	for _, age := range unsentAges {
		if age <= unsentHold {
			recent++
		}
	}
	return recent == 0 && len(unsentAges) < int(q.unsentLimit)
}

// NextAdmissible returns the next request to admit, and whether there is one, while unsentCount admitted requests have
// not been sent yet. A background request is next only if no interactive request waits, no request is unsent and there
// is idle capacity. The request remains in the queue until Admit is called.
func (q *Queue) NextAdmissible(now Nanos, unsentCount int) (RequestID, bool) {
	if id, ok := q.interactive.nextAdmissible(); ok {
		return id, true
	}
	if q.interactive.waiting() == 0 && unsentCount == 0 && q.backgroundLimiter.CanAdmit(now) {
		return q.background.nextAdmissible()
	}
	return 0, false
}

// Admit admits a request that NextAdmissible returned, which removes it from the queue.
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

// RecordSent records that an admitted request was sent to a server. The throughput behind the queue is measured by
// these calls.
func (q *Queue) RecordSent(now Nanos, request Request) {
	q.interactive.throughput.Record(now, EstimatedCost(request.PromptTokens, request.MaxAnswerTokens))
	q.unsentLimit = min(q.unsentLimit+unsentIncrease, maxUnsent)
}

// RecordNotSent records that the policy module rejected an admitted request without sending it. It lowers the limit of
// unsent requests, because these compete for the next attempt regardless of the order of the queue.
func (q *Queue) RecordNotSent() { q.unsentLimit = max(q.unsentLimit/2, 1) }

// RecordFirstToken records the time to first token of an admitted request.
func (q *Queue) RecordFirstToken(now Nanos, request Request, timeToFirstToken Nanos) {
	if request.Background {
		q.backgroundLimiter.RecordStarted()
	} else {
		q.backgroundLimiter.ObserveFirstToken(now, timeToFirstToken, request.QueuedAfter)
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

// Cancel removes a request whose client has left or whose deadline has passed. It reports whether the request was
// waiting. PopDisplaced no longer returns a canceled request that was displaced.
func (q *Queue) Cancel(_ Nanos, id RequestID) bool {
	if q.queueHolding(id).cancel(id) {
		return true
	}
	q.background.dropDisplaced(id)
	q.interactive.dropDisplaced(id)
	return false
}

// PopDisplaced removes and returns a request that was displaced by another, with the advice for its client, and
// whether there is one. The caller must reject the request.
func (q *Queue) PopDisplaced(now Nanos) (RequestID, RetryAdvice, bool) {
	if id, advice, ok := q.interactive.popDisplaced(now); ok {
		return id, advice, true
	}
	return q.background.popDisplaced(now)
}

// NextExpired returns a waiting request that it is too late to admit, and whether there is one. The caller must call
// Reject for it.
func (q *Queue) NextExpired(now Nanos) (RequestID, bool) {
	if id, ok := q.interactive.nextExpired(now); ok {
		return id, true
	}
	return q.background.nextExpired(now)
}

// NextWakeup returns the earliest time at which the result of NextExpired or NextAdmissible may change without another
// call in between, and whether there is one.
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

// Reject removes a waiting request and returns when its client should retry. The advice is empty if the request does
// not wait.
func (q *Queue) Reject(now Nanos, id RequestID, reason Verdict) RetryAdvice {
	if q.interactive.contains(id) {
		q.backgroundLimiter.ObserveRejection(now)
	}
	return q.queueHolding(id).reject(now, id, reason)
}

// ReserveRetry makes a reservation, if possible, for the retry of a request that was admitted and then rejected by the
// policy module. It returns when its client should retry: about minDelay from now at the earliest.
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

// MaxAdmissions returns how many requests may be admitted in an iteration of the event loop, after one that took the
// given time. While the loop is overloaded, one at a time: KV states are held and streams wait for their events
// meanwhile.
func (q *Queue) MaxAdmissions(lastIteration Nanos) int {
	if lastIteration >= overloadedIteration {
		return 1
	}
	return maxAdmissionsPerIteration
}

// ShedCount returns how many waiting requests should be rejected as Overloaded after an iteration of the event loop
// that took the given time, while memoryUsed bytes are in use. A slow event loop delays every request, so waiting
// requests are shed to protect the running ones. maxMemory is 0 if memory is not limited.
func (q *Queue) ShedCount(iteration Nanos, memoryUsed, maxMemory uint64) int {
	slow := iteration >= overloadedIteration
	overMemoryLimit := maxMemory > 0 && memoryUsed > maxMemory
	if !slow && !overMemoryLimit || q.Waiting() == 0 {
		return 0
	}
	return max(1, int(shedFraction*float64(q.Waiting())))
}

// NextToShed returns the request that should be shed first, and whether any waits. Background requests are shed before
// interactive ones, then the newest request of the flow with the most load.
func (q *Queue) NextToShed() (RequestID, bool) {
	if q.background.waiting() > 0 {
		return q.background.nextToShed()
	}
	return q.interactive.nextToShed()
}
