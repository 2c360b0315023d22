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
)

// waitingList holds the requests that wait for a server, in the order in which they are served.
type waitingList struct {
	slots []int32
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
	}
}

func (l *waitingList) remove(entries []requestState, slot int32) {
	if i, found := l.find(entries, slot); found {
		l.slots = slices.Delete(l.slots, i, i+1)
	}
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
}

// startWaiting lets a request wait for a server as long as its caller has time for the work.
func (r *Router) startWaiting(now Nanos, req *requestState) (Decision, bool) {
	if req.isWaiting && now >= req.startBy { // the work takes less long of late
		r.stopWaiting(req)
		r.setUrgency(now, req)
	}
	if !req.isWaiting {
		req.isWaiting = true
		r.waiting[req.phase].add(r.requests.entries, r.requests.byID[req.ID])
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
	r.waiting[req.phase].remove(r.requests.entries, r.requests.byID[req.ID])
}
