package policy

// NextDecision returns the next decision, and whether there is one.
func (r *Router) NextDecision(now Nanos) (Decision, bool) {
	if n := len(r.ejections); n > 0 {
		ejection := r.ejections[n-1]
		r.ejections = r.ejections[:n-1]
		return Decision{Action: LogEjection, Ejection: ejection}, true
	}
	if decision, ok := r.nextRequestDecision(now); ok {
		return decision, true
	}
	if !r.watching && now >= r.watchAt {
		r.watching = true
		return Decision{Action: WatchEndpoints}, true
	}
	if r.reviewAt < r.timerAt {
		r.timerAt = max(r.reviewAt, now+1)
		return Decision{Action: SetTimer, Duration: r.timerAt - now}, true
	}
	return Decision{}, false
}

// TimerFired reports that the timer of the last SetTimer has fired.
func (r *Router) TimerFired(now Nanos) {
	r.timerAt = Never
	if now >= r.reviewAt {
		r.review(now)
	}
}

// nextRequestDecision returns the next decision about a request in the work queue, and whether there is one.
func (r *Router) nextRequestDecision(now Nanos) (Decision, bool) {
	for {
		slot, ok := r.requests.peek()
		if !ok {
			return Decision{}, false
		}
		if decision, ok := r.decide(now, &r.requests.entries[slot]); ok {
			r.requests.enqueue(slot) // its urgency may have changed
			return decision, true
		}
		r.requests.dequeue(slot)
		r.removeIfFinished(slot)
	}
}

// removeIfFinished removes a request that is finished and has no outstanding attempt.
func (r *Router) removeIfFinished(slot int32) {
	req := &r.requests.entries[slot]
	if !req.used || !req.finished || req.attemptOutstanding {
		return
	}
	if req.attempts > 0 {
		r.activeCount--
	}
	r.requests.remove(slot)
}

// decide returns the next decision about a request, and whether there is one.
func (r *Router) decide(now Nanos, req *requestState) (Decision, bool) {
	switch {
	case req.finished:
		r.stopWaiting(req)
		return r.decideFinished(req)
	case req.phase == streaming:
		return Decision{}, false
	case req.attemptOutstanding:
		return r.decideOutstanding(now, req)
	case req.phase == awaitingPrefill && req.stateHeld:
		return r.releaseState(req)
	case r.shouldGiveUp(now, req):
		return r.giveUp(now, req)
	case req.attempts == 0 && float64(r.activeCount) >= r.requestLimit.limitFor(req.overQuota):
		return r.startWaiting(now, req) // a request that was sent holds its place under the limit until it is finished
	}
	to := r.pickServer(now, req)
	switch {
	case to == noServer && req.stateHeld && r.heldTooLong(now, req):
		return r.releaseToReadAnew(now, req)
	case to == noServer:
		return r.startWaiting(now, req)
	}
	r.stopWaiting(req)
	return r.sendAttempt(now, req, to), true
}

// decideFinished cancels the outstanding attempt of a finished request and releases its KV state, however it ended
// (rule five).
func (r *Router) decideFinished(req *requestState) (Decision, bool) {
	req.reviewAt = Never
	switch {
	case !req.attemptOutstanding && req.stateHeld:
		return r.releaseState(req)
	case req.attemptOutstanding && req.phase != streaming && r.config.Attempts.CanCancel && !req.cancelSent:
		return r.cancelAttempt(req)
	}
	return Decision{}, false
}

// decideOutstanding decides about a request that has an outstanding attempt without a response yet.
func (r *Router) decideOutstanding(now Nanos, req *requestState) (Decision, bool) {
	// The grace is the platform's; half of it is left for the final answer to reach the client.
	finalAnswerAt := req.Deadline + r.config.Responses.DeadlineGrace/2
	if now >= finalAnswerAt { // the final answer is given even if the outcome never comes
		return r.giveUp(now, req)
	}
	if r.shouldCancel(now, req) {
		return r.cancelAttempt(req)
	}
	r.scheduleReview(now, req, min(finalAnswerAt, now+r.reviewInterval))
	return Decision{}, false
}

// shouldCancel reports whether to cancel the outstanding attempt of a request because its server is stalled.
func (r *Router) shouldCancel(now Nanos, req *requestState) bool {
	if !r.config.Attempts.CanCancel || req.cancelSent || !r.mayRetryAfterCancel(req) {
		return false
	}
	srv := &r.servers[req.attemptServer]
	return (srv.role != Prefill || srv.outstanding >= minUnansweredToCancel) && r.stalled(now, srv, req.Class)
}

// cancelAttempt returns the decision to cancel the outstanding attempt of a request.
func (r *Router) cancelAttempt(req *requestState) (Decision, bool) {
	req.cancelSent = true
	return Decision{Action: CancelAttempt, Request: req.ID, Attempt: AttemptNumber(req.attempts - 1)}, true
}

// shouldGiveUp reports whether a request must not be sent again or could not be answered in time.
func (r *Router) shouldGiveUp(now Nanos, req *requestState) bool {
	return req.givenUp || req.unreachable ||
		r.timeLeft(now, req) <= 0 ||
		req.attempts >= r.config.Attempts.MaxAttempts ||
		!r.mayAttempt(now, req) ||
		r.deadlineTooClose(now, req)
}

// pickServer returns the server for the next stage of a request, or noServer.
func (r *Router) pickServer(now Nanos, req *requestState) int32 {
	if !r.anyRoleAllows(now, req.phase) {
		return noServer
	}
	for pass := range selectionPasses {
		if to := r.pickServerInPass(now, req, pass); to != noServer {
			return to
		}
	}
	return noServer
}

// pickServerInPass returns the server for the next stage of a request under the restrictions of a pass, or noServer.
func (r *Router) pickServerInPass(now Nanos, req *requestState, pass selectionPass) int32 {
	if req.phase == awaitingDecode {
		return r.pickDecode(now, req, pass)
	}
	if req.awaitsDecodeServer && !r.hasEligibleDecodeServer(now, req, pass) {
		return noServer
	}
	if to := r.pickMixed(now, req, pass); to != noServer {
		return to
	}
	if to := r.pickPrefill(now, req, pass); to != noServer {
		return to
	}
	return r.pickWithoutPrefill(now, req, pass)
}
