// Package admission decides in what order requests that wait in the admission queue go in, which are refused, and when those come back.
//
// Requests wait in flows: a tenant, and within it a client. Service is shared by start-time fair queueing on both
// levels: tenants by weight, a tenant's flows evenly, each request at its cost in what it takes of the fleet. Clients that
// are not known yet share flows by the source they come from, so that made-up names bring nothing; a client is
// known once enough of its requests were served. Everything is bounded: requests waiting, flows, clients known.
//
// The package does no I/O and reads no clock. Equal calls give equal decisions.
package admission

import (
	"docksail/internal/decide/background"
	"docksail/internal/indexedheap"
	"fmt"
	"slices"
)

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// RequestID is a request's name at the server of this package.
type RequestID uint64

// Request is what is known of a request that comes.
type Request struct {
	ID               RequestID
	Tenant           int
	Client           uint64 // keyed hash of its client's name; 0 = none is named
	Source           uint64 // keyed hash of where it comes from
	PromptTokens     int64  // tokens to read
	MaxAnswerTokens  int64  // most tokens of the answer
	LatencyObjective Nanos  // expected time of its first token
	Deadline         Nanos  // an answer has to have left by then
	Ticket           *Ticket

	Background bool // it fills what is idle, and yields to all others
}

// Verdict says why a request is refused.
type Verdict uint8

const (
	Queued             Verdict = iota
	QueueFull                  // the queue holds all the requests it may
	TenantQueueFull            // this tenant's requests waiting are at their limit
	TenantRateExceeded         // the tenant asks faster than it may
	PromptTooLong              // the prompt is longer than the tenant's may be
	TooLate                    // it could not be let in in time
	UnknownTenant              // no such tenant
	Overloaded                 // the dispatcher itself is overloaded
	verdictCount
)

func (v Verdict) String() string {
	return [...]string{
		"admitted", "too many requests waiting", "too many requests of the tenant waiting", "faster than the tenant may ask",
		"prompt longer than the tenant's may be", "no chance to be in time", "unknown tenant", "dispatcher overloaded",
	}[v]
}

// IsTenantLimit tells that a limit of the caller's own was met.
func (v Verdict) IsTenantLimit() bool {
	return v == TenantQueueFull || v == TenantRateExceeded || v == PromptTooLong
}

// MaxAdmissionsPerTurn is how many requests may be let in within one turn of the server's loop: a turn that took long must be seen, and
// what has come meanwhile be heard, before the next.
const MaxAdmissionsPerTurn = 16

const (
	// answerCost is what a token of an answer costs, in tokens read: a token written takes a step of its own, a token
	// read a share of one with some hundred others; slots and memory level it to this.
	answerCost = 8
	// expectedAnswerPart of the most tokens of an answer is what is charged before its length is known.
	expectedAnswerPart = 0.5
	// knownAfter requests served, a client has a flow of its own: a made-up name would have to be used as often.
	knownAfter = 3
	// forgetAfter so many expected times without a request, a client is not known any more.
	forgetAfter = 600
	// newcomers is the weight of all clients of one source that are not known, in clients: there may be many.
	newcomers = 4
	// shedLag of the shortest expected time that one turn of the loop works is overload of the dispatcher itself: a
	// request takes several turns; shedPart of what waits goes then, at each such turn.
	shedLag  = 1.0 / 8
	shedPart = 1.0 / 8
	// bookedRoom is the part of the queue that is kept for those who come back as advised.
	bookedRoom = 1.0 / 8
	// unsentWait of the shortest expected time after a request was let in, and not sent, another may follow it: half
	// of the time for which the module itself lets a request wait.
	unsentWait = 1.0 / 16
	// maxUnsent requests may be let in and not sent; half as many after each that the module could not place, one
	// at least, and admittedStep more with each attempt: a refusal weighs as many attempts as make it rare.
	maxUnsent    = 4
	admittedStep = 1.0 / 8
	// backgroundRoom of the queue's room is there for background requests besides: they bring their own timeout.
	backgroundRoom = 1.0 / 4
	// burstSeconds of its rate a tenant may ask at once.
	burstSeconds = 1
	// rateMemory is how fast the measured drain follows, in expected times: some, so that one gap says little.
	rateMemory = 4
	// hopeless is the share of its expected time, or of what its client has left, within which a request has to be let
	// in: the rest is for the work, and an answer that comes later is worth little.
	hopeless = 0.5
)

// EstimatedCost of a request in tokens read, as charged before its answer is known.
func EstimatedCost(prompt, answer int64) float64 {
	return max(float64(prompt)+answerCost*expectedAnswerPart*float64(answer), 1)
}

// Queue is the queue. Make it with New.
type Queue struct {
	// FIFO lets requests in as they came, whoever sent them: a baseline to measure against. It is set before the
	// first request comes.
	FIFO bool

	limit             int
	limitPerFlow      int
	tenants           []*tenant
	active            indexedheap.Heap[*tenant]
	virtual           float64
	requests          map[RequestID]*queuedRequest
	displacedRequests []displaced
	overdue           indexedheap.Heap[*queuedRequest]
	free              []*queuedRequest
	freeFlow          []*flow
	flows             int
	known             known
	orders            uint64
	sweepAt           uint64
	target            Nanos // shortest expected time
	rate              serviceRate
	book              bookings
	total             float64 // cost waiting
	admitted          float64 // so many may be let in and not sent
	backgroundQueue   *Queue  // where background requests wait; nil in that one itself
	BackgroundLimiter *background.Limiter
}

// New makes a queue for so many waiting requests, with so many known clients remembered. expected is the shortest
// expected time of the classes, by which spans are measured. tickets signs advice; nil gives none.
func New(most, clients int, expected Nanos, tickets *TicketSigner) (*Queue, error) {
	if most < 1 || clients < 1 || expected < 1 {
		return nil, fmt.Errorf("admission queue for %d requests, %d clients, target %d: want all above 0", most, clients, expected)
	}
	q := &Queue{
		admitted: maxUnsent, limit: most, limitPerFlow: most + 1024, requests: make(map[RequestID]*queuedRequest), target: expected,
		active: tenantHeap(), overdue: lateHeap(),
	}
	q.BackgroundLimiter = background.New(expected)
	q.known.init(clients)
	q.rate.memory = rateMemory * expected
	q.book.init(tickets, expected)
	q.backgroundQueue = &Queue{
		admitted: maxUnsent, limit: max(int(backgroundRoom*float64(most)), 1), limitPerFlow: most + 1024, requests: make(map[RequestID]*queuedRequest), target: expected,
		active: tenantHeap(), overdue: lateHeap(),
	}
	q.backgroundQueue.known.init(1)
	q.backgroundQueue.rate.memory = q.rate.memory
	q.backgroundQueue.book.init(tickets, expected)
	return q, nil
}

// Waiting counts requests in the admission queue, Background those of them that yield to all others.
func (q *Queue) Waiting() int {
	if q.backgroundQueue == nil {
		return len(q.requests)
	}
	return len(q.requests) + len(q.backgroundQueue.requests)
}

// BackgroundWaiting counts the background requests in the admission queue.
func (q *Queue) BackgroundWaiting() int { return len(q.backgroundQueue.requests) }

// of gives the queue in which a request waits.
func (q *Queue) of(id RequestID) *Queue {
	if q.backgroundQueue != nil && q.backgroundQueue.requests[id] != nil {
		return q.backgroundQueue
	}
	return q
}

// FlowCount counts flows that are remembered.
func (q *Queue) FlowCount() int { return q.flows }

// CanAdmit tells whether another request may be let in, by how long ago those were that the module has not sent yet. One
// is enough: the next follows within the same turn once it is sent, and the order stays the queue's. Those that
// wait for long are such as the module can't place, or it is slow; the others need not stand behind them.
func (q *Queue) CanAdmit(inside []Nanos) bool {
	fresh := 0
	for _, t := range inside {
		if t <= Nanos(unsentWait*float64(q.target)) {
			fresh++
		}
	}
	return fresh == 0 && len(inside) < int(q.admitted)
}

// RecordNotSent tells that the module refused a request that was let in and never sent: fewer stand before it at once, so
// that the next attempt is not fought over by requests that the queue has put in order already.
func (q *Queue) RecordNotSent() { q.admitted = max(q.admitted/2, 1) }

// RecordSent tells that the module has sent a request that was let in: this is the pace of what stands behind the queue.
func (q *Queue) RecordSent(now Nanos, request Request) {
	q.rate.taken(now, EstimatedCost(request.PromptTokens, request.MaxAnswerTokens))
	q.admitted = min(q.admitted+admittedStep, maxUnsent)
}

// tooLateAt is when it is too late to let a request in.
func tooLateAt(now Nanos, request *Request) Nanos {
	return now + Nanos(hopeless*float64(min(request.LatencyObjective, request.Deadline-now)))
}

// Enqueue takes a request to wait, or refuses it with the time to stay away; a Ticket goes with advice if the queue gives
// any.
func (q *Queue) Enqueue(now Nanos, request Request) (Verdict, RetryAdvice) {
	if request.Background && q.backgroundQueue != nil {
		return q.backgroundQueue.Enqueue(now, request)
	}
	if request.Tenant < 0 || request.Tenant >= len(q.tenants) || q.tenants[request.Tenant].gone {
		return UnknownTenant, RetryAdvice{}
	}
	t := q.tenants[request.Tenant]
	t.Counts.Arrived++
	booked := q.redeem(now, t, &request)
	cost := EstimatedCost(request.PromptTokens, request.MaxAnswerTokens)
	gives, cause := q.admission(now, t, &request, cost, booked)
	if cause != Queued {
		return q.turnAway(now, t, cause, &request, cost)
	}
	if gives != nil {
		q.displacedRequests = append(q.displacedRequests, displaced{gives.Request, gives.cost})
		gives.flow.tenant.Counts.Rejected[QueueFull]++
		q.remove(now, gives)
	}
	if t.RequestsPerSecond > 0 {
		t.tokens--
	}
	q.insert(now, t, request, cost, booked)
	return Queued, RetryAdvice{}
}

// redeem tells whether a request comes back with a ticket that holds.
func (q *Queue) redeem(now Nanos, t *tenant, request *Request) bool {
	if request.Ticket == nil {
		return false
	}
	if q.book.redeem(now, request.Tenant, request.Client, request.Ticket) {
		t.Counts.ReservationsRedeemed++
		return true
	}
	t.Counts.ReservationsInvalid++
	return false
}

// admission tells whether a request may wait, and which one has to make room for it; nil = none has to.
func (q *Queue) admission(now Nanos, t *tenant, request *Request, cost float64, booked bool) (gives *queuedRequest, cause Verdict) {
	if t.MaxPromptTokens > 0 && request.PromptTokens > t.MaxPromptTokens {
		return nil, PromptTooLong
	}
	t.fill(now)
	if t.RequestsPerSecond > 0 && t.tokens < 1 && !booked {
		return nil, TenantRateExceeded
	}
	mine := q.flowOf(now, t, request, false)
	if t.MaxWaiting > 0 && t.waiting >= t.MaxWaiting {
		if gives = q.displaces(now, t, t, mine, request); gives == nil {
			return nil, TenantQueueFull
		}
	}
	room := q.limit
	if !booked {
		room -= int(bookedRoom * float64(q.limit))
	}
	if len(q.requests) >= max(room, 1) && gives == nil {
		if gives = q.displaces(now, t, q.heaviest(), mine, request); gives == nil {
			return nil, QueueFull
		}
	}
	if !booked && q.wait(now, t, mine, cost) > tooLateAt(now, request)-now {
		return nil, TooLate
	}
	return gives, Queued
}

// turnAway counts a refusal and gives advice when to come back.
func (q *Queue) turnAway(now Nanos, t *tenant, cause Verdict, request *Request, cost float64) (Verdict, RetryAdvice) {
	t.Counts.Rejected[cause]++
	if cause == PromptTooLong {
		return cause, RetryAdvice{}
	}
	if !cause.IsTenantLimit() {
		q.refused(now)
	}
	a := q.advise(now, t, cause, request, cost, 0)
	if a.Ticket != nil {
		t.Counts.ReservationsGranted++
	}
	return cause, a
}

// insert has a request wait.
func (q *Queue) insert(now Nanos, t *tenant, request Request, cost float64, booked bool) {
	f := q.flowOf(now, t, &request, true)
	w := q.newRequest()
	*w = queuedRequest{
		Request: request, cost: cost, arrivedAt: now, flow: f, startBy: now + request.LatencyObjective, order: q.nextOrder(),
		in: booked, tooLateAt: tooLateAt(now, &request),
	}
	w.Ticket = nil
	if q.FIFO || booked { // who comes back has waited its time elsewhere
		w.startBy = now
	}
	q.rate.begin(now, q.total > 0)
	q.requests[request.ID] = w
	q.overdue.PushOrFix(w)
	q.total += cost
	t.waiting++
	if f.requests.Len() == 0 {
		f.start = max(f.start, t.virtual)
		if t.waiting == 1 {
			t.start = max(t.start, q.virtual)
		}
	}
	f.requests.PushOrFix(w)
	q.placeFlow(f)
	q.place(t)
}

// NextAdmissible gives the next request to let in, if there is one, while so many that were let in are not sent yet. A background
// request comes when no other may, the module has nothing to place, and there is something to spare. It changes nothing:
// Let does.
func (q *Queue) NextAdmissible(now Nanos, inside int) (RequestID, bool) {
	if q.active.Len() == 0 {
		if q.backgroundQueue != nil && len(q.requests) == 0 && inside == 0 && q.BackgroundLimiter.CanAdmit(now) {
			return q.backgroundQueue.NextAdmissible(now, 0)
		}
		return 0, false
	}
	return q.active.Min().active.Min().requests.Min().ID, true
}

// Admit takes the request that Next gave out of the queue: it has been let in.
func (q *Queue) Admit(now Nanos, id RequestID) {
	if b := q.of(id); b != q {
		b.Admit(now, id)
		q.BackgroundLimiter.RecordAdmitted()
		return
	}
	w := q.requests[id]
	if w == nil {
		return
	}
	f, t := w.flow, w.flow.tenant
	q.virtual = max(q.virtual, t.start)
	t.virtual = max(t.virtual, f.start)
	f.start += w.cost / f.weight
	t.start += w.cost / t.Weight
	waited := now - w.arrivedAt
	if q.BackgroundLimiter != nil {
		q.BackgroundLimiter.ObserveQueueWait(now, waited)
	}
	t.Counts.Admitted++
	t.Counts.TotalWait += waited
	t.Counts.MaxWait = max(t.Counts.MaxWait, waited)
	t.Counts.AdmittedCost += w.cost
	if w.in {
		t.Counts.ReservationsAdmitted++
	}
	t.running++
	q.remove(now, w)
}

// RecordFinished tells that a request that was let in is over: tenant and what it was charged by, and what it truly took. The
// difference is charged to its flow.
func (q *Queue) RecordFinished(now Nanos, request Request, served bool, answered int64) {
	if request.Background && q.backgroundQueue != nil {
		q.backgroundQueue.RecordFinished(now, request, served, answered)
		q.BackgroundLimiter.RecordFinished(now, background.Outcome{Started: answered > 0, Served: served})
		return
	}
	if request.Tenant < 0 || request.Tenant >= len(q.tenants) {
		return
	}
	t := q.tenants[request.Tenant]
	t.running = max(t.running-1, 0)
	if served {
		q.known.served(now, t.n, request.Client, forgetAfter*q.target)
	}
	truly := float64(request.PromptTokens) + answerCost*float64(answered)
	if f := q.flowOf(now, t, &request, false); f != nil && served {
		by := truly - EstimatedCost(request.PromptTokens, request.MaxAnswerTokens)
		f.start = max(f.start+by/f.weight, t.virtual)
		t.start = max(t.start+by/t.Weight, q.virtual)
		q.placeFlow(f)
	}
	q.place(t)
}

// Cancel takes back a request that waits, as its client left or its time is up; false if it does not wait.
func (q *Queue) Cancel(now Nanos, id RequestID) bool {
	if b := q.of(id); b != q {
		return b.Cancel(now, id)
	}
	w := q.requests[id]
	if w == nil {
		if q.backgroundQueue != nil {
			q.backgroundQueue.Cancel(now, id) // it may have been displaced there
		}
		if i := slices.IndexFunc(q.displacedRequests, func(o displaced) bool { return o.ID == id }); i >= 0 {
			q.displacedRequests = slices.Delete(q.displacedRequests, i, i+1)
		}
		return false
	}
	w.flow.tenant.Counts.Cancelled++
	q.remove(now, w)
	return true
}

// NextExpired gives a waiting request for which it has become too late: the server refuses it, after Refuse has said how.
func (q *Queue) NextExpired(now Nanos) (RequestID, bool) {
	if q.overdue.Len() == 0 || now < q.overdue.Min().tooLateAt {
		if q.backgroundQueue != nil {
			return q.backgroundQueue.NextExpired(now)
		}
		return 0, false
	}
	return q.overdue.Min().ID, true
}

// NextWakeup is when time alone changes something at the earliest: Expired has a request to give, or background work may go
// on; false if nothing waits.
func (q *Queue) NextWakeup(now Nanos) (Nanos, bool) {
	at, some := Nanos(0), false
	if q.overdue.Len() > 0 {
		at, some = q.overdue.Min().tooLateAt, true
	}
	if q.backgroundQueue != nil && len(q.backgroundQueue.requests) > 0 {
		if t, ok := q.backgroundQueue.NextWakeup(now); ok && (!some || t < at) {
			at, some = t, true
		}
		if t, ok := q.BackgroundLimiter.PausedUntil(now); ok && t < at {
			at = t
		}
	}
	return at, some
}

// Reject takes a waiting request out and says how its client is to be answered.
func (q *Queue) Reject(now Nanos, id RequestID, c Verdict) RetryAdvice {
	if b := q.of(id); b != q {
		return b.Reject(now, id, c)
	}
	w := q.requests[id]
	if w == nil {
		return RetryAdvice{}
	}
	q.refused(now)
	t, request, cost := w.flow.tenant, w.Request, w.cost
	t.Counts.Rejected[c]++
	q.remove(now, w)
	a := q.advise(now, t, c, &request, cost, 0)
	if a.Ticket != nil {
		t.Counts.ReservationsGranted++
	}
	return a
}

// ReserveRetry says when a request should come back that was let in and then refused by the module, which asks for least from
// now, and books it in.
func (q *Queue) ReserveRetry(now Nanos, request Request, least Nanos) RetryAdvice {
	if request.Tenant < 0 || request.Tenant >= len(q.tenants) {
		return RetryAdvice{}
	}
	if request.Background && q.backgroundQueue != nil {
		return q.backgroundQueue.ReserveRetry(now, request, least)
	}
	q.refused(now)
	t := q.tenants[request.Tenant]
	a := q.advise(now, t, QueueFull, &request, EstimatedCost(request.PromptTokens, request.MaxAnswerTokens), least)
	if a.Ticket != nil {
		t.Counts.ReservationsGranted++
	}
	return a
}

// refused tells that a request that somebody waits for found no place.
func (q *Queue) refused(now Nanos) {
	if q.BackgroundLimiter != nil {
		q.BackgroundLimiter.ObserveRejection(now)
	}
}

// RecordFirstToken tells of a request's first token, so long after it came.
func (q *Queue) RecordFirstToken(now Nanos, request Request, took Nanos) {
	if request.Background {
		q.BackgroundLimiter.RecordStarted()
	} else {
		q.BackgroundLimiter.ObserveFirstToken(now, took, request.LatencyObjective)
	}
}

// ShedCount is how many waiting requests the server should refuse, the heaviest flow's first, after a turn of its loop worked
// for so long: a loop that lags makes every request late, so what waits goes before what runs suffers.
// The same holds while more memory is in use than there should be; most is 0 where that is not bounded.
func (q *Queue) ShedCount(worked Nanos, memory, most uint64) int {
	if worked < Nanos(shedLag*float64(q.target)) && (most == 0 || memory <= most) || q.Waiting() == 0 {
		return 0
	}
	return max(1, int(shedPart*float64(q.Waiting())))
}
