package admission

import (
	"docksail/internal/indexedheap"
)

const (
	// unknownClientsWeight is the weight of the flow that the unknown clients of one source share, in clients.
	unknownClientsWeight = 4
	// flowSweepPart is the part of the flows that must be added before a sweep looks at all of them again, so that the
	// work of a sweep is small for each.
	flowSweepPart = 16
)

// overflowKey is the key of the flow that new clients of a tenant share while there are too many flows.
var overflowKey = flowKey{hash: ^uint64(0)}

// flow is the waiting requests of one known client, or of the unknown clients of one source.
type flow struct {
	key         flowKey
	tenant      *tenant
	weight      float64
	requests    indexedheap.Heap[*queuedRequest]
	startTag    float64 // virtual time at which its next request starts
	sequence    uint64
	activeIndex int // in tenant.activeFlows
	loadIndex   int // in tenant.flowsByLoad
}

// flowKey identifies a flow within its tenant.
type flowKey struct {
	known bool   // the client is known
	hash  uint64 // of the client's name if it is known, else of its source
}

// load returns the number of waiting requests for the weight of the flow.
func (f *flow) load() float64 { return float64(f.requests.Len()) / f.weight }

// isForgettable reports whether the flow has no requests and no charge that its next request would have to wait for.
func (f *flow) isForgettable() bool {
	return f.requests.Len() == 0 && f.startTag <= f.tenant.virtualTime
}

// newest returns the request of the flow that arrived last; nil if there is none. Requests with a reservation are
// skipped unless includeReserved is true.
func (f *flow) newest(includeReserved bool) *queuedRequest {
	var newest *queuedRequest
	for _, w := range f.requests.Items() {
		if (includeReserved || !w.hasReservation) && (newest == nil || w.sequence > newest.sequence) {
			newest = w
		}
	}
	return newest
}

// clientKey returns the key under which the client of a request is accounted for, and its weight.
func (q *fairQueue) clientKey(now Nanos, t *tenant, request *Request) (key flowKey, weight float64) {
	if request.Client != 0 && q.clients.isKnown(now, t.number, request.Client) {
		return flowKey{known: true, hash: request.Client}, 1
	}
	return flowKey{hash: request.Source}, unknownClientsWeight
}

// flowKey returns the key and the weight of the flow to which a request belongs.
func (q *fairQueue) flowKey(now Nanos, t *tenant, request *Request) (key flowKey, weight float64) {
	if q.fifo {
		return flowKey{}, 1
	}
	return q.clientKey(now, t, request)
}

// findFlow returns the flow to which a request belongs; nil if it does not exist.
func (q *fairQueue) findFlow(now Nanos, t *tenant, request *Request) *flow {
	key, _ := q.flowKey(now, t, request)
	return t.flows[key]
}

// findOrAddFlow returns the flow to which a request belongs and adds it if it does not exist.
func (q *fairQueue) findOrAddFlow(now Nanos, t *tenant, request *Request) *flow {
	key, weight := q.flowKey(now, t, request)
	if f := t.flows[key]; f != nil {
		return f
	}
	if q.flowCount >= q.maxFlows && !q.sweepFlows() {
		key = overflowKey
		if f := t.flows[key]; f != nil {
			return f
		}
	}
	f := q.newFlow()
	*f = flow{
		key: key, tenant: t, weight: weight, requests: f.requests, startTag: t.virtualTime, sequence: q.nextSequence(),
	}
	t.flows[key] = f
	q.flowCount++
	return f
}

func (q *fairQueue) newFlow() *flow {
	n := len(q.freeFlows)
	if n == 0 {
		return &flow{requests: newRequestHeap()}
	}
	f := q.freeFlows[n-1]
	q.freeFlows = q.freeFlows[:n-1]
	return f
}

// sweepFlows forgets the flows that can be forgotten, unless the last sweep was too recent. It reports whether a flow
// may be added.
func (q *fairQueue) sweepFlows() bool {
	if q.lastSequence < q.nextFlowSweep {
		return false
	}
	q.nextFlowSweep = q.lastSequence + uint64(q.flowCount/flowSweepPart)
	for _, t := range q.tenants {
		for _, f := range t.flows { // the result does not depend on the order of the map
			if f.isForgettable() {
				q.forgetFlow(f)
			}
		}
	}
	return q.flowCount < q.maxFlows
}

func (q *fairQueue) forgetFlow(f *flow) {
	delete(f.tenant.flows, f.key)
	q.flowCount--
	f.tenant = nil
	q.freeFlows = append(q.freeFlows, f)
}
