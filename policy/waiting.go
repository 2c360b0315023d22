package policy

import (
	"cmp"
	"slices"
)

const (
	// wokenPerEvent is the number of waiting requests that are looked at when a server may have become available, and
	// before a new request. More rarely find a server as well; the next event or review looks at them.
	wokenPerEvent = 4
	// wokenPerReview is the number of waiting requests that a review looks at.
	wokenPerReview = 64
	// defaultRetryAfter is the Retry-After while no pace is known.
	defaultRetryAfter = Nanos(500e6)
	// requestTokens is the work of a request besides its prompt, in prompt tokens.
	requestTokens = 256
)

// waitingList holds the requests that wait for a server, in the order in which they are served.
type waitingList struct {
	slots         []int32
	cost          float64 // work of all of them
	overQuotaCost float64 // work of those of tenants over their quota
}

// compareUrgency orders requests by the time at which their work has to begin, those of tenants over their quota after
// all others: the quota is the tenants' promise to each other.
func compareUrgency(a, b *requestState) int {
	if a.overQuota != b.overQuota {
		if b.overQuota {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.startBy, b.startBy), cmp.Compare(a.ID, b.ID))
}

// find returns the position at which a request waits, or would wait.
func (l *waitingList) find(entries []requestState, slot int32) (int, bool) {
	return slices.BinarySearchFunc(l.slots, &entries[slot], func(other int32, req *requestState) int {
		return compareUrgency(&entries[other], req)
	})
}

func (l *waitingList) add(entries []requestState, slot int32) {
	if i, found := l.find(entries, slot); !found {
		l.slots = slices.Insert(l.slots, i, slot)
		l.addCost(&entries[slot], 1)
	}
}

func (l *waitingList) remove(entries []requestState, slot int32) {
	if i, found := l.find(entries, slot); found {
		l.slots = slices.Delete(l.slots, i, i+1)
		l.addCost(&entries[slot], -1)
	}
}

// addCost adds the work of a request to the sums, or subtracts it if sign is -1.
func (l *waitingList) addCost(req *requestState, sign float64) {
	l.cost += sign * req.cost
	if req.overQuota {
		l.overQuotaCost += sign * req.cost
	}
}

// costForAll returns the work that a request shares the servers with, whoever is served first: that of all requests,
// but that of tenants over their quota only for their own.
func (l *waitingList) costForAll(req *requestState) float64 {
	if req.overQuota {
		return l.cost
	}
	return l.cost - l.overQuotaCost
}

// costAhead returns the work of the requests that are served before a request.
func (l *waitingList) costAhead(entries []requestState, slot int32) float64 {
	end, _ := l.find(entries, slot)
	cost := 0.0
	for _, other := range l.slots[:end] {
		cost += entries[other].cost
	}
	return cost
}

// wakeWaiting enqueues the requests that are served next, up to a number for each stage: a server may have become
// available to them.
func (r *Router) wakeWaiting(count int) {
	for i := range r.waiting {
		list := &r.waiting[i]
		for _, slot := range list.slots[:min(count, len(list.slots))] {
			r.requests.enqueue(slot)
		}
	}
}

// setUrgency computes when the rest of a request has to begin. It must be called before the request is enqueued or
// waits, and not while it does.
func (r *Router) setUrgency(now Nanos, req *requestState) {
	req.startBy = r.latestStart(now, req)
	if req.stateHeld {
		req.startBy = min(req.startBy, r.releaseBy(req))
	}
	req.cost = 1
	if req.phase == awaitingPrefill {
		req.cost = float64(requestTokens + r.uncachedTokens(now, req))
	}
}

// waitIsInVain reports whether a request should not begin to wait: if the work of the requests before it, at the pace
// at which requests are sent, and its own take longer than its caller waits, or if the queue of those whose prompts
// have to be processed stands.
func (r *Router) waitIsInVain(now Nanos, req *requestState, costAhead float64) bool {
	meter := &r.pace[req.phase]
	if now+Nanos(meter.Wait(costAhead)) > req.startBy {
		return true
	}
	if req.phase != awaitingPrefill {
		return false
	}
	waiting := &r.waiting[req.phase]
	meter.ObserveQueue(int64(now), waiting.cost, int64(r.workLeft(now, req)))
	return meter.IsTooLong(waiting.costForAll(req))
}

// startWaiting lets a request wait for a server, or gives it up if it would wait in vain.
func (r *Router) startWaiting(now Nanos, req *requestState) (Decision, bool) {
	slot := r.requests.byID[req.ID]
	list := &r.waiting[req.phase]
	if req.isWaiting && now >= req.startBy { // the work takes less long of late
		r.stopWaiting(req)
		r.setUrgency(now, req)
	}
	if !req.isWaiting {
		if r.waitIsInVain(now, req, list.costAhead(r.requests.entries, slot)) {
			return r.giveUp(now, req)
		}
		req.isWaiting = true
		list.add(r.requests.entries, slot)
		r.pace[req.phase].SetWaiting(true)
	}
	r.scheduleReview(now, req, req.startBy)
	r.reviewAt = min(r.reviewAt, now+r.reviewInterval)
	return Decision{}, false
}

// stopWaiting removes a request from the waiting ones.
func (r *Router) stopWaiting(req *requestState) {
	if !req.isWaiting {
		return
	}
	req.isWaiting = false
	list := &r.waiting[req.phase]
	list.remove(r.requests.entries, r.requests.byID[req.ID])
	r.pace[req.phase].SetWaiting(len(list.slots) > 0)
}

// reviewWaiting enqueues the requests that cannot be reached in time behind those before them, to be given up, and the
// first ones, for which there may be a server now.
func (r *Router) reviewWaiting(now Nanos) {
	for i := range r.waiting {
		perNano, ahead := r.pace[i].CostPerNano(), 0.0
		for _, slot := range r.waiting[i].slots {
			req := &r.requests.entries[slot]
			if perNano > 0 && float64(req.startBy-now)*perNano < ahead {
				req.unreachable = true
				r.requests.enqueue(slot)
				continue
			}
			ahead += req.cost
		}
	}
	r.wakeWaiting(wokenPerReview)
}

// RetryAfter returns when the client of a rejected request may find room: once the work of the requests that wait now
// is done, at the pace at which requests are sent.
func (r *Router) RetryAfter() Nanos {
	wait := defaultRetryAfter
	for i := range r.waiting {
		wait = max(wait, Nanos(r.pace[i].Wait(r.waiting[i].cost)))
	}
	return min(wait, r.config.Responses.MaxRetryAfter)
}
