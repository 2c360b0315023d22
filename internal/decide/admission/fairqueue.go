package admission

import (
	"docksail/internal/indexedheap"
)

const (
	// reservedPlacesPart is the part of the queue that is kept for requests that come with a reservation.
	reservedPlacesPart = 1.0 / 8
	// maxWaitPart is the part of a request's latency objective, or of the time until its deadline if that is shorter,
	// within which it must be admitted: the rest is needed for the work, and a later answer is worth little.
	maxWaitPart = 0.5
	// clientMemory is how long a client is known after its last request, in latency objectives.
	clientMemory = 600
)

// fairQueue is a queue of waiting requests in the order of start-time fair queueing.
type fairQueue struct {
	fifo             bool
	maxWaiting       int
	maxFlows         int
	latencyObjective Nanos

	tenants           []*tenant
	activeTenants     indexedheap.Heap[*tenant] // those of which a request may be admitted, by start tag
	virtualTime       float64                   // among tenants
	requests          map[RequestID]*queuedRequest
	byExpiry          indexedheap.Heap[*queuedRequest]
	displacedRequests []displacedRequest
	waitingCost       float64

	clients      knownClients
	throughput   throughputMeter
	reservations *reservationTable

	lastSequence  uint64 // the last sequence number that a request or a flow was given
	flowCount     int
	nextFlowSweep uint64 // sequence number
	freeRequests  []*queuedRequest
	freeFlows     []*flow
}

// queuedRequest is a request that waits.
type queuedRequest struct {
	Request
	cost           float64
	enqueuedAt     Nanos
	flow           *flow
	dueAt          Nanos // orders the requests of a flow
	admitBy        Nanos // from then on it is too late to admit it
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
		fifo:             config.FIFO,
		maxWaiting:       config.MaxWaiting,
		maxFlows:         maxFlows,
		latencyObjective: config.LatencyObjective,
		activeTenants:    newTenantHeap(),
		requests:         make(map[RequestID]*queuedRequest),
		byExpiry:         newExpiryHeap(),
		clients:          newKnownClients(config.MaxKnownClients),
		throughput:       throughputMeter{timeConstant: throughputMemory * config.LatencyObjective},
		reservations:     newReservationTable(config.Signer, config.LatencyObjective),
	}
}

func (q *fairQueue) waiting() int { return len(q.requests) }

func (q *fairQueue) contains(id RequestID) bool { return q.requests[id] != nil }

// tenant returns a tenant by its number; nil if there is none.
func (q *fairQueue) tenant(number int) *tenant {
	if number < 0 || number >= len(q.tenants) {
		return nil
	}
	return q.tenants[number]
}

// latestAdmission returns the time from which on it is too late to admit a request that arrives now.
func latestAdmission(now Nanos, request *Request) Nanos {
	return now + Nanos(maxWaitPart*float64(min(request.LatencyObjective, request.Deadline-now)))
}

// enqueue adds a request, or rejects it and returns when its client should retry.
func (q *fairQueue) enqueue(now Nanos, request *Request) (Verdict, RetryAdvice) {
	t := q.tenant(request.Tenant)
	if t == nil {
		return UnknownTenant, RetryAdvice{}
	}
	t.counts.Arrived++
	reserved := q.redeemTicket(now, t, request)
	priced := newPricedRequest(request)
	displaced, verdict := q.check(now, t, priced, reserved)
	if verdict != Queued {
		t.counts.Rejected[verdict]++
		if verdict == PromptTooLong { // a retry would not help
			return verdict, RetryAdvice{}
		}
		return verdict, q.reserveRetry(now, t, priced, verdict, 0)
	}
	if displaced != nil {
		q.displace(now, displaced)
	}
	if t.RequestsPerSecond > 0 {
		t.tokens--
	}
	q.insert(now, t, priced, reserved)
	return Queued, RetryAdvice{}
}

// redeemTicket reports whether a request comes with a valid reservation, which can be used once.
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

// check returns the verdict on a request that arrives, and, if it may wait, the request that it displaces; nil if there
// is a free place.
func (q *fairQueue) check(
	now Nanos, t *tenant, request pricedRequest, reserved bool,
) (displaced *queuedRequest, verdict Verdict) {
	if t.MaxPromptTokens > 0 && request.PromptTokens > t.MaxPromptTokens {
		return nil, PromptTooLong
	}
	t.refillTokens(now)
	if t.RequestsPerSecond > 0 && t.tokens < 1 && !reserved {
		return nil, TenantRateExceeded
	}
	f := q.findFlow(now, t, request.Request)
	if t.MaxWaiting > 0 && t.waiting >= t.MaxWaiting {
		if displaced = q.displaceable(now, t, t, f, request); displaced == nil {
			return nil, TenantQueueFull
		}
	}
	if displaced == nil && len(q.requests) >= q.places(reserved) {
		if displaced = q.displaceable(now, q.heaviestTenant(), t, f, request); displaced == nil {
			return nil, QueueFull
		}
	}
	if !reserved && q.estimatedWait(now, t, f, request.cost) > latestAdmission(now, request.Request)-now {
		return nil, TooLate
	}
	return displaced, Queued
}

// places returns how many places the queue has for requests with or without a reservation.
func (q *fairQueue) places(reserved bool) int {
	places := q.maxWaiting
	if !reserved {
		places -= int(reservedPlacesPart * float64(q.maxWaiting))
	}
	return max(places, 1)
}

// insert adds a request that may wait.
func (q *fairQueue) insert(now Nanos, t *tenant, request pricedRequest, reserved bool) {
	f := q.findOrAddFlow(now, t, request.Request)
	w := q.newQueuedRequest()
	*w = queuedRequest{
		Request: *request.Request, cost: request.cost, enqueuedAt: now, flow: f, dueAt: now + request.LatencyObjective,
		sequence: q.nextSequence(), hasReservation: reserved, admitBy: latestAdmission(now, request.Request),
	}
	w.Ticket = nil
	if q.fifo || reserved { // a request with a reservation has waited at its client
		w.dueAt = now
	}
	if q.waitingCost <= 0 {
		q.throughput.start(now)
	}
	q.requests[request.ID] = w
	q.byExpiry.PushOrFix(w)
	q.waitingCost += request.cost
	t.waiting++
	if f.requests.Len() == 0 {
		f.startTag = max(f.startTag, t.virtualTime)
		if t.waiting == 1 {
			t.startTag = max(t.startTag, q.virtualTime)
		}
	}
	f.requests.PushOrFix(w)
	q.updateFlow(f)
	q.updateTenant(t)
}

// remove takes a waiting request out of the queue. The memory of w is used again.
func (q *fairQueue) remove(now Nanos, w *queuedRequest) {
	f, t := w.flow, w.flow.tenant
	f.requests.Remove(w)
	q.byExpiry.Remove(w)
	t.waiting--
	q.waitingCost = max(q.waitingCost-w.cost, 0)
	delete(q.requests, w.ID)
	if len(q.requests) == 0 {
		q.waitingCost = 0
		q.throughput.stop(now)
	}
	q.freeRequests = append(q.freeRequests, w)
	q.updateFlow(f)
	q.updateTenant(t)
	if f.isForgettable() {
		q.forgetFlow(f)
	}
}

func (q *fairQueue) newQueuedRequest() *queuedRequest {
	n := len(q.freeRequests)
	if n == 0 {
		return new(queuedRequest)
	}
	w := q.freeRequests[n-1]
	q.freeRequests = q.freeRequests[:n-1]
	return w
}

// nextSequence returns the sequence number of a new request or flow, by which ties are broken.
func (q *fairQueue) nextSequence() uint64 {
	q.lastSequence++
	return q.lastSequence
}

// nextAdmissible returns the first request of the flow and the tenant with the least start tags.
func (q *fairQueue) nextAdmissible() (RequestID, bool) {
	if q.activeTenants.Len() == 0 {
		return 0, false
	}
	return q.activeTenants.Min().activeFlows.Min().requests.Min().ID, true
}

// admit removes a request, charges its cost and returns how long it waited; false if it does not wait.
func (q *fairQueue) admit(now Nanos, id RequestID) (wait Nanos, ok bool) {
	w := q.requests[id]
	if w == nil {
		return 0, false
	}
	f, t := w.flow, w.flow.tenant
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.virtualTime = max(t.virtualTime, f.startTag)
	f.startTag += w.cost / f.weight
	t.startTag += w.cost / t.Weight
	wait = now - w.enqueuedAt
	t.counts.recordAdmitted(w, wait)
	t.running++
	q.remove(now, w)
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
		q.clients.recordServed(now, t.number, request.Client, clientMemory*q.latencyObjective)
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
func (q *fairQueue) cancel(now Nanos, id RequestID) bool {
	w := q.requests[id]
	if w == nil {
		return false
	}
	w.flow.tenant.counts.Cancelled++
	q.remove(now, w)
	return true
}

// reject removes a request and returns when its client should retry; no advice if it does not wait.
func (q *fairQueue) reject(now Nanos, id RequestID, reason Verdict) RetryAdvice {
	w := q.requests[id]
	if w == nil {
		return RetryAdvice{}
	}
	request, t, cost := w.Request, w.flow.tenant, w.cost // w is used again once it is removed
	t.counts.Rejected[reason]++
	q.remove(now, w)
	return q.reserveRetry(now, t, pricedRequest{&request, cost}, reason, 0)
}

// nextExpired returns a request for which it is too late, and whether there is one.
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
