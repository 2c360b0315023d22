package admission

import (
	"docksail/internal/decide/pace"
	"docksail/internal/indexedheap"
)

const (
	// reservedCapacityFraction is the fraction of the queue that is kept free for requests with a reservation.
	reservedCapacityFraction = 1.0 / 8
	// clientRetention is how long a client is remembered after its last served request.
	clientRetention = Nanos(600e9)
)

// fairQueue is a queue of requests that are admitted in the order of start-time fair queueing.
type fairQueue struct {
	fifo       bool
	maxWaiting int
	maxFlows   int

	tenants           []*tenant
	activeTenants     indexedheap.Heap[*tenant] // tenants with admissible requests, by start tag
	virtualTime       float64                   // among tenants
	requests          map[RequestID]*queuedRequest
	byExpiry          indexedheap.Heap[*queuedRequest]
	displacedRequests []displacedRequest
	waitingCost       float64

	clients      knownClients
	throughput   pace.Meter // of the cost that is sent while requests wait
	reservations *reservationTable

	lastSequence  uint64 // last sequence number given to a request or a flow
	flowCount     int
	nextFlowSweep uint64           // sequence number from which flows may be swept again
	freeRequests  []*queuedRequest // for reuse
	freeFlows     []*flow          // for reuse
}

// queuedRequest is a waiting request.
type queuedRequest struct {
	Request
	cost           float64
	enqueuedAt     Nanos
	flow           *flow
	dueAt          Nanos // order within the flow
	admitBy        Nanos // time from which it is too late to admit the request
	sequence       uint64
	flowIndex      int // in flow.requests
	expiryIndex    int // in fairQueue.byExpiry
	hasReservation bool
}

// pricedRequest is a request with its estimated cost.
type pricedRequest struct {
	*Request
	cost float64
}

func newPricedRequest(request *Request) pricedRequest {
	return pricedRequest{Request: request, cost: EstimatedCost(request.PromptTokens, request.MaxAnswerTokens)}
}

func newFairQueue(config Config, maxFlows int) *fairQueue {
	return &fairQueue{
		fifo:          config.FIFO,
		maxWaiting:    config.MaxWaiting,
		maxFlows:      maxFlows,
		activeTenants: newTenantHeap(),
		requests:      make(map[RequestID]*queuedRequest),
		byExpiry:      newExpiryHeap(),
		clients:       newKnownClients(config.MaxKnownClients),
		reservations:  newReservationTable(config.Signer),
	}
}

func (q *fairQueue) waiting() int { return len(q.requests) }

func (q *fairQueue) contains(id RequestID) bool { return q.requests[id] != nil }

// tenant returns the tenant with the given number; nil if it does not exist.
func (q *fairQueue) tenant(number int) *tenant {
	if number < 0 || number >= len(q.tenants) {
		return nil
	}
	return q.tenants[number]
}

// latestAdmission returns the time from which it is too late to admit a request: its caller has no time for the work.
func latestAdmission(request *Request) Nanos { return request.Deadline - request.Work }

// enqueue adds a request, or rejects it and returns when its client should retry.
func (q *fairQueue) enqueue(now Nanos, request *Request) (Verdict, RetryAdvice) {
	t := q.tenant(request.Tenant)
	if t == nil {
		return UnknownTenant, RetryAdvice{}
	}
	t.counts.Arrived++
	reserved := q.redeemTicket(now, t, request)
	priced := newPricedRequest(request)
	victim, verdict := q.check(now, t, priced, reserved)
	if verdict != Queued {
		t.counts.Rejected[verdict]++
		if verdict == PromptTooLong { // a retry would not help
			return verdict, RetryAdvice{}
		}
		advice := q.reserveRetry(now, t, priced, verdict, 0)
		if reserved && advice.Ticket == nil {
			advice = q.keepTicket(now, t, request.Ticket, advice)
		}
		return verdict, advice
	}
	if victim.request != nil {
		q.displace(victim)
	}
	if t.RequestsPerSecond > 0 {
		t.tokens--
	}
	q.insert(now, t, priced, reserved)
	return Queued, RetryAdvice{}
}

// redeemTicket reports whether a request presents a valid reservation, and marks the reservation as used.
func (q *fairQueue) redeemTicket(now Nanos, t *tenant, request *Request) bool {
	if request.Ticket == nil {
		return false
	}
	if !q.reservations.redeem(now, request.Tenant, request.Client, request.Ticket) {
		t.counts.ReservationsInvalid++
		return false
	}
	t.counts.ReservationsRedeemed++
	return true
}

// keepTicket returns the advice for a rejected request that presented a ticket and gets no new one: its client may
// present the ticket again while it is valid.
func (q *fairQueue) keepTicket(now Nanos, t *tenant, ticket *Ticket, advice RetryAdvice) RetryAdvice {
	validFor := q.reservations.restore(now, ticket)
	t.counts.ReservationsRedeemed--
	return RetryAdvice{RetryAfter: min(advice.RetryAfter, validFor), Ticket: ticket}
}

// check returns the verdict on a new request. If it may wait, check also returns the request that has to be displaced
// for it, if one has to.
func (q *fairQueue) check(
	now Nanos, t *tenant, request pricedRequest, reserved bool,
) (victim displacement, verdict Verdict) {
	if t.MaxPromptTokens > 0 && request.PromptTokens > t.MaxPromptTokens {
		return victim, PromptTooLong
	}
	t.refillTokens(now)
	if t.RequestsPerSecond > 0 && t.tokens < 1 && !reserved {
		return victim, TenantRateExceeded
	}
	f := q.findFlow(now, t, request.Request)
	if t.MaxWaiting > 0 && t.waiting >= t.MaxWaiting {
		victim = displacement{q.displaceable(now, t, t, f, request), TenantQueueFull}
	} else if len(q.requests) >= q.capacity(reserved) {
		victim = displacement{q.displaceable(now, q.mostLoadedTenant(), t, f, request), QueueFull}
	}
	if victim.request == nil && victim.reason != Queued {
		return victim, victim.reason
	}
	if !reserved && q.waitIsInVain(now, t, f, request) {
		return victim, TooLate
	}
	return victim, Queued
}

// waitIsInVain reports whether a new request should not wait: if it could not be admitted early enough to be answered
// in time, or if the queue stands and it would wait longer in its flow than the work of a request takes.
func (q *fairQueue) waitIsInVain(now Nanos, t *tenant, f *flow, request pricedRequest) bool {
	if q.estimatedWait(t, f, request.cost) > latestAdmission(request.Request)-now {
		return true
	}
	q.throughput.ObserveQueue(now, q.waitingCost, request.Work)
	return q.throughput.IsTooLong(q.costUntil(t, f, request.cost))
}

// capacity returns the number of waiting requests at which the queue is full for a new request. It is lower for one
// without a reservation.
func (q *fairQueue) capacity(reserved bool) int {
	capacity := q.maxWaiting
	if !reserved {
		capacity -= int(reservedCapacityFraction * float64(q.maxWaiting))
	}
	return max(capacity, 1)
}

// insert adds a request to the queue.
func (q *fairQueue) insert(now Nanos, t *tenant, request pricedRequest, reserved bool) {
	f := q.findOrAddFlow(now, t, request.Request)
	queued := q.newQueuedRequest()
	*queued = queuedRequest{
		Request: *request.Request, cost: request.cost, enqueuedAt: now, flow: f,
		sequence: q.nextSequence(), hasReservation: reserved, admitBy: latestAdmission(request.Request),
	}
	queued.Ticket, queued.dueAt = nil, queued.admitBy
	if q.fifo || reserved { // a request with a reservation has already waited at its client
		queued.dueAt = now
	}
	q.throughput.SetWaiting(true)
	q.requests[request.ID] = queued
	q.byExpiry.PushOrFix(queued)
	q.waitingCost += request.cost
	t.waiting++
	if f.requests.Len() == 0 {
		f.startTag = max(f.startTag, t.virtualTime)
		if t.waiting == 1 {
			t.startTag = max(t.startTag, q.virtualTime)
		}
	}
	f.requests.PushOrFix(queued)
	q.updateFlow(f)
	q.updateTenant(t)
}

// remove removes a waiting request from the queue. The caller must not use queued afterwards: its memory is reused.
func (q *fairQueue) remove(queued *queuedRequest) {
	f, t := queued.flow, queued.flow.tenant
	f.requests.Remove(queued)
	q.byExpiry.Remove(queued)
	t.waiting--
	q.waitingCost = max(q.waitingCost-queued.cost, 0)
	delete(q.requests, queued.ID)
	if len(q.requests) == 0 {
		q.waitingCost = 0
		q.throughput.SetWaiting(false)
	}
	q.freeRequests = append(q.freeRequests, queued)
	q.updateFlow(f)
	q.updateTenant(t)
	if f.isRemovable() {
		q.removeFlow(f)
	}
}

func (q *fairQueue) newQueuedRequest() *queuedRequest {
	n := len(q.freeRequests)
	if n == 0 {
		return new(queuedRequest)
	}
	queued := q.freeRequests[n-1]
	q.freeRequests = q.freeRequests[:n-1]
	return queued
}

// nextSequence returns the sequence number of a new request or flow. Sequence numbers break ties.
func (q *fairQueue) nextSequence() uint64 {
	q.lastSequence++
	return q.lastSequence
}

// nextAdmissible returns the first request of the flow with the least start tag of the tenant with the least start
// tag, and whether any request may be admitted.
func (q *fairQueue) nextAdmissible() (RequestID, bool) {
	if q.activeTenants.Len() == 0 {
		return 0, false
	}
	return q.activeTenants.Min().activeFlows.Min().requests.Min().ID, true
}

// admit removes a waiting request, charges its cost and returns how long it waited. ok is false if the request does
// not wait.
func (q *fairQueue) admit(now Nanos, id RequestID) (wait Nanos, ok bool) {
	queued := q.requests[id]
	if queued == nil {
		return 0, false
	}
	f, t := queued.flow, queued.flow.tenant
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.virtualTime = max(t.virtualTime, f.startTag)
	f.startTag += queued.cost / f.weight
	t.startTag += queued.cost / t.Weight
	wait = now - queued.enqueuedAt
	t.counts.recordAdmitted(queued, wait)
	t.running++
	q.remove(queued)
	return wait, true
}

// recordFinished records the end of an admitted request; see Queue.RecordFinished.
func (q *fairQueue) recordFinished(now Nanos, request *Request, result Result) {
	t := q.tenant(request.Tenant)
	if t == nil {
		return
	}
	t.running = max(t.running-1, 0)
	if result.Served {
		q.clients.recordServed(now, t.number, request.Client, clientRetention)
		q.correctCharge(now, t, request, result.AnswerTokens)
	}
	q.updateTenant(t)
}

// correctCharge charges the difference between the actual and the estimated cost of a request to its flow and tenant.
func (q *fairQueue) correctCharge(now Nanos, t *tenant, request *Request, answerTokens int64) {
	f := q.findFlow(now, t, request)
	if f == nil {
		return
	}
	difference := actualCost(request.PromptTokens, answerTokens) -
		EstimatedCost(request.PromptTokens, request.MaxAnswerTokens)
	f.startTag = max(f.startTag+difference/f.weight, t.virtualTime)
	t.startTag = max(t.startTag+difference/t.Weight, q.virtualTime)
	q.updateFlow(f)
}

// cancel removes a request and reports whether it was waiting.
func (q *fairQueue) cancel(id RequestID) bool {
	queued := q.requests[id]
	if queued == nil {
		return false
	}
	queued.flow.tenant.counts.Cancelled++
	q.remove(queued)
	return true
}

// reject removes a waiting request and returns when its client should retry; the advice is empty if the request does
// not wait.
func (q *fairQueue) reject(now Nanos, id RequestID, reason Verdict) RetryAdvice {
	queued := q.requests[id]
	if queued == nil {
		return RetryAdvice{}
	}
	request, t, cost := queued.Request, queued.flow.tenant, queued.cost // remove reuses queued
	t.counts.Rejected[reason]++
	q.remove(queued)
	return q.reserveRetry(now, t, pricedRequest{&request, cost}, reason, 0)
}

// nextExpired returns a waiting request that it is too late to admit, and whether there is one.
func (q *fairQueue) nextExpired(now Nanos) (RequestID, bool) {
	if q.byExpiry.Len() == 0 || now < q.byExpiry.Min().admitBy {
		return 0, false
	}
	return q.byExpiry.Min().ID, true
}

// nextExpiry returns the time at which the next request expires, and whether any waits.
func (q *fairQueue) nextExpiry() (Nanos, bool) {
	if q.byExpiry.Len() == 0 {
		return 0, false
	}
	return q.byExpiry.Min().admitBy, true
}
