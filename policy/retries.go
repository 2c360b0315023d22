package policy

// mayAttempt reports whether a request may be sent. One that may have run is sent again only if it is idempotent, or
// if the servers still recognize the repeat (rule two).
func (r *Router) mayAttempt(now Nanos, req *requestState) bool {
	class := &r.config.Classes[req.Class]
	if !req.mayHaveRun || class.Idempotency == Idempotent {
		return true
	}
	return class.Idempotency == Deduplicated && now < req.firstRunAt+class.DedupWindow
}

// sendBefore returns the SendBefore of an attempt, or 0. A repeat has to arrive while its servers still remember the
// first run; establishing its connection may take longer.
func (r *Router) sendBefore(req *requestState, srv *server) Nanos {
	class := &r.config.Classes[req.Class]
	if req.mayHaveRun && class.Idempotency == Deduplicated && srv.role != Prefill {
		return req.firstRunAt + class.DedupWindow
	}
	return 0
}

// mayRetryAfterCancel reports whether a request may be sent again once its outstanding attempt is canceled.
func (r *Router) mayRetryAfterCancel(req *requestState) bool {
	class := &r.config.Classes[req.Class]
	harmless := class.Idempotency == Idempotent || r.servers[req.attemptServer].role == Prefill
	return req.attempts < r.config.Attempts.MaxAttempts && harmless
}

// recognizesRepeat reports whether a server would recognize a repeat of a deduplicated request. It also reports true if
// the request cannot have run or is not deduplicated.
func (r *Router) recognizesRepeat(req *requestState, srv *server) bool {
	class := &r.config.Classes[req.Class]
	if !req.mayHaveRun || class.Idempotency != Deduplicated {
		return true
	}
	first := &r.servers[req.firstRunServer]
	switch class.DedupScope {
	case DedupScopeZone:
		return srv.zone == first.zone
	case DedupScopeCell:
		return srv.inCellOf(first)
	case DedupScopeAll:
		return true
	}
	return false
}

// deadlineTooClose reports whether the deadline leaves less time than the rest of the request usually takes. The work
// for such requests is wasted, and many of their clients retry at once.
func (r *Router) deadlineTooClose(now Nanos, req *requestState) bool {
	return r.timeLeft(now, req) < r.workLeft(now, req)
}

// attemptTimeout returns the timeout of an attempt. It leaves a retry the time that the work usually takes. Where
// there is not enough time for two, or no retry is permitted, the attempt gets all of it but what is to be done
// afterwards. If attempts cannot be canceled, it is also the time after which a server counts as stalled.
func (r *Router) attemptTimeout(now Nanos, req *requestState, to int32) Nanos {
	remaining, work := req.Deadline-now, r.workLeft(now, req)
	timeout := remaining
	if req.phase == awaitingPrefill && r.servers[to].role == Prefill {
		timeout -= r.handOverTime(req.PromptTokens)
	}
	if remaining >= 2*work && (r.mayRetryAfterCancel(req) || r.mayRepeatAt(now, req, now+remaining-work)) {
		timeout = remaining - work
	}
	if !r.config.Attempts.CanCancel {
		timeout = min(timeout, r.maxSilence(&r.servers[to], req.Class))
	}
	return timeout
}

// mayRepeatAt reports whether the outstanding attempt of a deduplicated request, which was sent now, may be followed by
// another at a time: the servers still remember the first run then.
func (r *Router) mayRepeatAt(now Nanos, req *requestState, at Nanos) bool {
	class := &r.config.Classes[req.Class]
	firstRunAt := now
	if req.mayHaveRun {
		firstRunAt = req.firstRunAt
	}
	return class.Idempotency == Deduplicated && req.attempts < r.config.Attempts.MaxAttempts &&
		at < firstRunAt+class.DedupWindow
}

// giveUp ends a request: it first releases a held KV state, then gives the final answer. This is a failure if an
// attempt is still outstanding at the deadline or a retry by the client may do harm, and a rejection otherwise.
func (r *Router) giveUp(now Nanos, req *requestState) (Decision, bool) {
	req.givenUp = true
	r.stopWaiting(req)
	if req.stateHeld && !req.attemptOutstanding {
		return r.releaseState(req)
	}
	req.finished = true
	if now >= req.Deadline && req.attemptOutstanding || r.repeatMayHarm(req) {
		return Decision{Action: FailRequest, Request: req.ID}, true
	}
	retryAfter := Nanos(0)
	if r.config.Responses.SendRetryAfter {
		retryAfter = r.RetryAfter()
	}
	return Decision{Action: RejectRequest, Request: req.ID, Duration: retryAfter}, true
}

// repeatMayHarm reports whether it may do harm if the client sends the request again.
func (r *Router) repeatMayHarm(req *requestState) bool {
	runsNow := req.attemptOutstanding && r.servers[req.attemptServer].role != Prefill
	if !req.mayHaveRun && !runsNow {
		return false
	}
	class := &r.config.Classes[req.Class]
	return class.Idempotency == NonIdempotent ||
		class.Idempotency == Deduplicated && class.DedupScope != DedupScopeAll
}
