package admission

import "slices"

// displacedRequest is a request that gave up its place and has not been rejected yet.
type displacedRequest struct {
	Request
	cost float64
}

// displaceable returns the request of tenant from that makes room for a new request of flow f of tenant t: the newest
// request without a reservation of the flow with the most load, if that flow has more load for its tenant's weight than
// f would have. It returns nil if there is none. Without displacement, a flood that fills the queue would keep out the
// requests that the order within the queue favors. f is nil if the flow does not exist yet.
func (q *fairQueue) displaceable(now Nanos, from, t *tenant, f *flow, request pricedRequest) *queuedRequest {
	if q.fifo || from == nil || from.flowsByLoad.Len() == 0 {
		return nil
	}
	heaviest := from.flowsByLoad.Min()
	if heaviest == f {
		return nil
	}
	load := q.loadWith(now, t, f, request)
	if load/t.Weight >= heaviest.load()/from.Weight {
		return nil
	}
	return heaviest.newest(false)
}

// loadWith returns the load that flow f, which is nil if the flow does not exist yet, would have with another request.
func (q *fairQueue) loadWith(now Nanos, t *tenant, f *flow, request pricedRequest) float64 {
	if f != nil {
		return float64(f.requests.Len()+1) / f.weight
	}
	_, weight := q.clientKey(now, t, request.Request)
	return 1 / weight
}

// heaviestTenant returns the tenant whose flow with the most load has more load for the tenant's weight than those of
// other tenants; nil if no request waits.
func (q *fairQueue) heaviestTenant() *tenant {
	var heaviest *tenant
	maxLoad := 0.0
	for _, t := range q.tenants {
		if t.flowsByLoad.Len() == 0 {
			continue
		}
		if load := t.flowsByLoad.Min().load() / t.Weight; load > maxLoad {
			heaviest, maxLoad = t, load
		}
	}
	return heaviest
}

// displace removes a request in favor of another; popDisplaced returns it.
func (q *fairQueue) displace(now Nanos, w *queuedRequest) {
	q.displacedRequests = append(q.displacedRequests, displacedRequest{w.Request, w.cost})
	w.flow.tenant.counts.Rejected[QueueFull]++
	q.remove(now, w)
}

// popDisplaced returns the displaced request that was first, and whether there is one.
func (q *fairQueue) popDisplaced(now Nanos) (RequestID, RetryAdvice, bool) {
	if len(q.displacedRequests) == 0 {
		return 0, RetryAdvice{}, false
	}
	displaced := q.displacedRequests[0]
	q.displacedRequests = slices.Delete(q.displacedRequests, 0, 1)
	t, request := q.tenants[displaced.Tenant], pricedRequest{&displaced.Request, displaced.cost}
	return displaced.ID, q.reserveRetry(now, t, request, QueueFull, 0), true
}

// dropDisplaced forgets a displaced request whose client has left.
func (q *fairQueue) dropDisplaced(id RequestID) {
	i := slices.IndexFunc(q.displacedRequests, func(d displacedRequest) bool { return d.ID == id })
	if i >= 0 {
		q.displacedRequests = slices.Delete(q.displacedRequests, i, i+1)
	}
}

// nextToShed returns the newest request of the flow with the most load, and whether any request waits.
func (q *fairQueue) nextToShed() (RequestID, bool) {
	t := q.heaviestTenant()
	if t == nil {
		return 0, false
	}
	return t.flowsByLoad.Min().newest(true).ID, true
}
