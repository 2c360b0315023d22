package admission

import "slices"

// displacement is a waiting request that has to be removed in favor of another. The zero value is none.
type displacement struct {
	request *queuedRequest
	reason  Verdict
}

// displacedRequest is a request that was removed in favor of another and has not been rejected yet.
type displacedRequest struct {
	Request
	cost   float64
	reason Verdict
}

// displaceable returns the waiting request of victimTenant to remove in favor of a new request of flow f of tenant t.
// It is the newest request without a reservation in the flow of victimTenant with the most load. displaceable returns
// nil if there is none, or unless that flow has more load, relative to its tenant's weight, than f would have with the
// new request. f is nil if the flow does not exist yet.
//
// Without displacement, a flood that fills the queue would shut out the requests that fair queueing favors.
func (q *fairQueue) displaceable(now Nanos, victimTenant, t *tenant, f *flow, request pricedRequest) *queuedRequest {
	if q.fifo || victimTenant == nil || victimTenant.flowsByLoad.Len() == 0 {
		return nil
	}
	mostLoaded := victimTenant.flowsByLoad.Min()
	if mostLoaded == f {
		return nil
	}
	load := q.loadWithRequest(now, t, f, request)
	if load/t.Weight >= mostLoaded.load()/victimTenant.Weight {
		return nil
	}
	return mostLoaded.newest(false)
}

// loadWithRequest returns the load that flow f would have with another request. f is nil if the flow does not exist
// yet.
func (q *fairQueue) loadWithRequest(now Nanos, t *tenant, f *flow, request pricedRequest) float64 {
	if f != nil {
		return float64(f.requests.Len()+1) / f.weight
	}
	_, weight := q.clientKey(now, t, request.Request)
	return 1 / weight
}

// mostLoadedTenant returns the tenant that has the flow with the most load relative to its tenant's weight; nil if no
// request waits.
func (q *fairQueue) mostLoadedTenant() *tenant {
	var mostLoaded *tenant
	maxLoad := 0.0
	for _, t := range q.tenants {
		if t.flowsByLoad.Len() == 0 {
			continue
		}
		if load := t.flowsByLoad.Min().load() / t.Weight; load > maxLoad {
			mostLoaded, maxLoad = t, load
		}
	}
	return mostLoaded
}

// displace removes a waiting request in favor of another. popDisplaced returns it later.
func (q *fairQueue) displace(victim displacement) {
	queued := victim.request
	q.displacedRequests = append(q.displacedRequests, displacedRequest{queued.Request, queued.cost, victim.reason})
	queued.flow.tenant.counts.Rejected[victim.reason]++
	q.remove(queued)
}

// popDisplaced removes and returns the request that was displaced first, and whether there is one.
func (q *fairQueue) popDisplaced(now Nanos) (RequestID, RetryAdvice, bool) {
	if len(q.displacedRequests) == 0 {
		return 0, RetryAdvice{}, false
	}
	displaced := q.displacedRequests[0]
	q.displacedRequests = slices.Delete(q.displacedRequests, 0, 1)
	t, request := q.tenants[displaced.Tenant], pricedRequest{&displaced.Request, displaced.cost}
	return displaced.ID, q.reserveRetry(now, t, request, displaced.reason, 0), true
}

// dropDisplaced discards a displaced request whose client has left.
func (q *fairQueue) dropDisplaced(id RequestID) {
	i := slices.IndexFunc(q.displacedRequests, func(d displacedRequest) bool { return d.ID == id })
	if i >= 0 {
		q.displacedRequests = slices.Delete(q.displacedRequests, i, i+1)
	}
}

// nextToShed returns the newest request of the flow with the most load, and whether any request waits.
func (q *fairQueue) nextToShed() (RequestID, bool) {
	t := q.mostLoadedTenant()
	if t == nil {
		return 0, false
	}
	return t.flowsByLoad.Min().newest(true).ID, true
}
