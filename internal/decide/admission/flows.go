package admission

import (
	"docksail/internal/indexedheap"
	"slices"
)

type queuedRequest struct {
	Request
	cost         float64
	arrivedAt    Nanos
	flow         *flow
	startBy      Nanos // what orders it within its flow
	tooLateAt    Nanos // from then on it is too late to let it in
	order        uint64
	at           int  // place in the flow's heap
	overdueIndex int  // place among all by late
	in           bool // it came back as advised
}

// flow is the waiting requests of one client, or of the newcomers from one source.
type flow struct {
	key      flowKey
	tenant   *tenant
	weight   float64
	requests indexedheap.Heap[*queuedRequest]
	start    float64 // start tag of its next request
	order    uint64
	at       int // place in the tenant's heap
	last     Nanos

	heavyAt int // place among the tenant's by load
}

type flowKey struct {
	known bool
	key   uint64
}

type tenant struct {
	TenantLimits
	n       int
	flows   map[flowKey]*flow
	active  indexedheap.Heap[*flow]
	heavy   indexedheap.Heap[*flow] // the same, the heaviest first
	virtual float64                 // virtual time of its flows
	start   float64                 // start tag of its next request among tenants
	at      int                     // place in the queue's heap
	waiting int
	running int
	tokens  float64 // of its rate
	tokenAt Nanos
	gone    bool
	Counts  TenantCounts
}

// displaced is a request that gave up its place and is not answered yet.
type displaced struct {
	Request
	cost float64
}

// displaces gives the request that makes room for one of a flow of t (nil: it has none yet), among those of a tenant: the
// newest of its heaviest flow that is not back as advised, if that flow has more for its weight than the newcomer's
// would have. Else a flood would keep out, by filling the queue, those to whom the order inside it is fair.
func (q *Queue) displaces(now Nanos, t, from *tenant, mine *flow, request *Request) *queuedRequest {
	if from == nil || from.heavy.Len() == 0 {
		return nil
	}
	worst, load := from.heavy.Min(), 1.0
	if mine != nil {
		load = float64(mine.requests.Len()+1) / mine.weight
	} else if !q.FIFO && !(request.Client != 0 && q.known.is(now, t.n, request.Client)) {
		load = 1.0 / newcomers
	}
	if q.FIFO || worst == mine || load/t.Weight >= worst.load()/from.Weight {
		return nil
	}
	return worst.newest(false)
}

// heaviest gives the tenant whose heaviest flow has most waiting for its weight.
func (q *Queue) heaviest() *tenant {
	var worst *tenant
	most := 0.0
	for _, t := range q.tenants {
		if t.heavy.Len() > 0 {
			if by := t.heavy.Min().load() / t.Weight; by > most {
				worst, most = t, by
			}
		}
	}
	return worst
}

// newest gives the request of a flow that came last; those that are back as advised count only if told so.
func (f *flow) newest(booked bool) *queuedRequest {
	var newest *queuedRequest
	for _, w := range f.requests.Items() {
		if (booked || !w.in) && (newest == nil || w.order > newest.order) {
			newest = w
		}
	}
	return newest
}

// PopDisplaced gives a request that waited and made room for another, and how its client is to be answered; the server pulls
// until there is none.
func (q *Queue) PopDisplaced(now Nanos) (RequestID, RetryAdvice, bool) {
	if len(q.displacedRequests) == 0 {
		if q.backgroundQueue != nil {
			return q.backgroundQueue.PopDisplaced(now)
		}
		return 0, RetryAdvice{}, false
	}
	w := q.displacedRequests[0]
	q.displacedRequests = slices.Delete(q.displacedRequests, 0, 1)
	t := q.tenants[w.Tenant]
	a := q.advise(now, t, QueueFull, &w.Request, w.cost, 0)
	if a.Ticket != nil {
		t.Counts.ReservationsGranted++
	}
	return w.ID, a, true
}

// NextToShed gives the newest request of the flow that has most waiting for its weight, to be shed first.
func (q *Queue) NextToShed() (RequestID, bool) {
	if q.backgroundQueue != nil && len(q.backgroundQueue.requests) > 0 { // what yields to all others goes first
		return q.backgroundQueue.NextToShed()
	}
	t := q.heaviest()
	if t == nil {
		return 0, false
	}
	return t.heavy.Min().newest(true).ID, true
}

// remove takes a request out of its flow.
func (q *Queue) remove(now Nanos, w *queuedRequest) {
	f, t := w.flow, w.flow.tenant
	f.requests.Remove(w)
	q.overdue.Remove(w)
	f.last = now
	t.waiting--
	q.total = max(q.total-w.cost, 0)
	delete(q.requests, w.ID)
	if len(q.requests) == 0 {
		q.total = 0
		q.rate.end(now)
	}
	q.free = append(q.free, w)
	q.placeFlow(f)
	q.place(t)
	if f.requests.Len() == 0 && f.start <= t.virtual {
		q.forget(f)
	}
}

func (q *Queue) newRequest() *queuedRequest {
	if n := len(q.free); n > 0 {
		w := q.free[n-1]
		q.free = q.free[:n-1]
		return w
	}
	return new(queuedRequest)
}

func (q *Queue) nextOrder() uint64 {
	q.orders++
	return q.orders
}

// flowOf gives the flow of a request; with create it is made if there is none.
func (q *Queue) flowOf(now Nanos, t *tenant, request *Request, create bool) *flow {
	key := flowKey{known: request.Client != 0 && q.known.is(now, t.n, request.Client), key: request.Client}
	weight := 1.0
	if q.FIFO {
		key = flowKey{}
	} else if !key.known {
		key.key, weight = request.Source, newcomers
	}
	f := t.flows[key]
	if f != nil || !create {
		return f
	}
	if q.flows >= q.limitPerFlow && !q.makeRoom() {
		key = flowKey{key: ^uint64(0)} // what finds no room shares one flow
		if f = t.flows[key]; f != nil {
			return f
		}
	}
	if n := len(q.freeFlow); n > 0 {
		f, q.freeFlow = q.freeFlow[n-1], q.freeFlow[:n-1]
	} else {
		f = &flow{requests: requestHeap()}
	}
	*f = flow{key: key, tenant: t, weight: weight, requests: f.requests, start: t.virtual, order: q.nextOrder(), last: now}
	t.flows[key] = f
	q.flows++
	return f
}

// makeRoom forgets flows that owe nothing any more. It looks at all of them, so only after as many arrivals as
// make that little for each.
func (q *Queue) makeRoom() bool {
	if q.orders < q.sweepAt {
		return false
	}
	q.sweepAt = q.orders + uint64(q.flows/16)
	for _, t := range q.tenants {
		for _, f := range t.flows { // which go does not depend on the order
			if f.requests.Len() == 0 && f.start <= t.virtual {
				q.forget(f)
			}
		}
	}
	return q.flows < q.limitPerFlow
}

func (q *Queue) forget(f *flow) {
	delete(f.tenant.flows, f.key)
	q.flows--
	f.tenant = nil
	q.freeFlow = append(q.freeFlow, f)
}

func (t *tenant) fill(now Nanos) {
	if t.RequestsPerSecond > 0 {
		t.tokens = min(t.tokens+float64(now-t.tokenAt)/1e9*t.RequestsPerSecond, max(burstSeconds*t.RequestsPerSecond, 1))
	}
	t.tokenAt = now
}
