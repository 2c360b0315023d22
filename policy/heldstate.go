package policy

// maxHeldShare is the share of Config.ReleaseTime for which a held KV state may wait for a decode server.
const maxHeldShare = 0.6

// StateHeldSince reports, after the end of an attempt that may not have reached its server, since when the KV state of
// its request has been held; Never means that the state has been released. Attempts at decode servers that do not
// respond must not extend the time within which a state has to be released (rule five). A state that is too old for
// another attempt is released, and its prompt is processed again.
func (r *Router) StateHeldSince(now Nanos, id RequestID, since Nanos) {
	slot, req := r.requests.find(id)
	if req != nil {
		r.stopWaiting(req)
	}
	switch {
	case req == nil || !req.stateHeld || req.attemptOutstanding:
	case since == Never:
		req.stateHeld, req.phase = false, awaitingPrefill
	default:
		req.heldSince = since
		if r.heldTooLong(now, req) {
			req.phase = awaitingPrefill
		}
	}
	if req != nil {
		r.setUrgency(now, req)
		r.requests.enqueue(slot)
	}
}

// heldTooLong reports whether the KV state of a request is too old to wait for a decode server.
func (r *Router) heldTooLong(now Nanos, req *requestState) bool {
	return now >= r.releaseBy(req)
}

// releaseBy returns when the KV state of a request has to be released if no decode server has been found.
func (r *Router) releaseBy(req *requestState) Nanos {
	return req.heldSince + Nanos(maxHeldShare*float64(r.config.ReleaseTime))
}

// releaseToReadAnew releases the KV state of a request for which no decode server has been found in time. While its
// caller waits, its prompt is read again once there is a decode server.
func (r *Router) releaseToReadAnew(now Nanos, req *requestState) (Decision, bool) {
	r.stopWaiting(req)
	r.requestLimit.recordAnswer(true)
	req.phase, req.awaitsDecodeServer = awaitingPrefill, true
	decision, ok := r.releaseState(req)
	r.setUrgency(now, req)
	return decision, ok
}

// releaseState returns the decision to release the KV state of a request.
func (r *Router) releaseState(req *requestState) (Decision, bool) {
	req.stateHeld = false
	return Decision{Action: ReleaseState, Request: req.ID}, true
}
