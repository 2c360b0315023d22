package admission

import (
	"docksail/internal/indexedheap"
)

const (
	// unknownClientsWeight is the weight of the flow that the unknown clients of one source share. That of a known
	// client is 1.
	unknownClientsWeight = 4
	// flowSweepDivisor bounds the amortized cost of sweeps: after a sweep of n flows, at least n/flowSweepDivisor
	// requests or flows must be added before the next.
	flowSweepDivisor = 16
)

// overflowKey is the key of the flow that new clients of a tenant share while the maximum number of flows exists.
var overflowKey = flowKey{hash: ^uint64(0)}

// flow holds the waiting requests of one known client, or of the unknown clients of one source.
type flow struct {
	key         flowKey
	tenant      *tenant
	weight      float64
	requests    indexedheap.Heap[*queuedRequest]
	startTag    float64 // virtual time at which the service of its next request starts
	sequence    uint64
	activeIndex int // in tenant.activeFlows
	loadIndex   int // in tenant.flowsByLoad
}

// flowKey identifies a flow within its tenant.
type flowKey struct {
	known bool   // the client is known
	hash  uint64 // of the client's name if it is known, else of its source
}

// load returns the number of waiting requests divided by the weight of the flow.
func (f *flow) load() float64 { return float64(f.requests.Len()) / f.weight }

// isRemovable reports whether the flow has no requests, and no charge that would delay its next request.
func (f *flow) isRemovable() bool {
	return f.requests.Len() == 0 && f.startTag <= f.tenant.virtualTime
}

// newest returns the request of the flow that arrived last; nil if there is none. Requests with a reservation are
// skipped unless includeReserved is true.
func (f *flow) newest(includeReserved bool) *queuedRequest {
	var newest *queuedRequest
	for _, queued := range f.requests.Items() {
		if (includeReserved || !queued.hasReservation) && (newest == nil || queued.sequence > newest.sequence) {
			newest = queued
		}
	}
	return newest
}

// clientKey returns the flow key of the client of a request, and its weight.
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

// findOrAddFlow returns the flow to which a request belongs, and adds it if it does not exist.
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

// sweepFlows removes the flows that are no longer needed, unless the last sweep was too recent. It reports whether a
// flow may be added.
func (q *fairQueue) sweepFlows() bool {
	if q.lastSequence < q.nextFlowSweep {
		return false
	}
	q.nextFlowSweep = q.lastSequence + uint64(q.flowCount/flowSweepDivisor)
	for _, t := range q.tenants {
		for _, f := range t.flows { // the result does not depend on the order of the map
			if f.isRemovable() {
				q.removeFlow(f)
			}
		}
	}
	return q.flowCount < q.maxFlows
}

func (q *fairQueue) removeFlow(f *flow) {
	delete(f.tenant.flows, f.key)
	q.flowCount--
	f.tenant = nil
	q.freeFlows = append(q.freeFlows, f)
}
