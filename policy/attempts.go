package policy

// firstResponse classifies the first response to an attempt, or its absence, as a sample of latency.
type firstResponse uint8

const (
	responseSucceeded firstResponse = iota // the prompt was processed, or the stream began
	responseTooSlow                        // it timed out or was canceled: the latency is a lower bound
	responseFailed                         // the latency is not recorded
)

// firstResponseOf classifies the outcome of a request's outstanding attempt.
func firstResponseOf(req *requestState, outcome Outcome) firstResponse {
	switch {
	case outcome == Prefilled || outcome == Served:
		return responseSucceeded
	case outcome == TimedOut || req.cancelSent:
		return responseTooSlow
	}
	return responseFailed
}

// isCurrentAttempt reports whether an attempt is the outstanding one of a request. It is not if req is nil.
func isCurrentAttempt(req *requestState, attempt AttemptNumber) bool {
	return req != nil && req.attemptOutstanding && attempt == AttemptNumber(req.attempts-1)
}

// sendAttempt records an attempt of a request at a server, and returns the decision to send it.
func (r *Router) sendAttempt(now Nanos, req *requestState, to int32) Decision {
	srv := &r.servers[to]
	srv.attemptSent(now, req.Class)
	r.roleLimits[srv.role].attemptSent(now)
	promptAllowance := req.latencyTarget - r.config.Classes[req.Class].LatencyTarget
	srv.maxPromptAllowance = max(srv.maxPromptAllowance, promptAllowance)
	srv.creditSpent++
	if srv.role != Prefill {
		srv.streams++
	}
	cached := int64(0)
	if req.phase == awaitingDecode {
		if from := &r.servers[req.prefillServer]; !from.inCellOf(srv) {
			r.locality.cells[from.cellIndex].link.attemptSent(now)
		}
	} else {
		cached = r.affinity.cachedTokens(now, req, to)
		req.combined = srv.role != Prefill
		req.queuedTokens = req.PromptTokens - cached
		srv.queuedTokens += req.queuedTokens
		r.recordCached(now, req, to)
	}
	req.attemptOutstanding, req.cancelSent, req.attemptServer, req.sentAt = true, false, to, now
	if req.attempts++; req.attempts == 1 {
		r.activeCount++
	}
	return Decision{
		Action: SendAttempt, Request: req.ID, Server: srv.id, CachedTokens: cached,
		Duration: r.attemptTimeout(now, req, srv.role), SendBefore: r.sendBefore(req, srv),
	}
}

// StreamStarted reports that the stream of an attempt has begun. elapsed is the time since the attempt was sent. From
// then on the request has no deadline.
func (r *Router) StreamStarted(now Nanos, id RequestID, attempt AttemptNumber, elapsed Nanos) {
	_, req := r.requests.find(id)
	if !isCurrentAttempt(req, attempt) || req.phase == streaming {
		return
	}
	r.recordFirstResponse(now, req, elapsed, responseSucceeded)
	r.wakeWaiting(wokenPerEvent)
	req.phase, req.stateHeld, req.reviewAt = streaming, false, Never
}

// AttemptEnded reports the outcome of an attempt. elapsed is the time since the attempt was sent, answered says
// whether the request has its final answer, and load is the report that came with the response.
func (r *Router) AttemptEnded(now Nanos, id RequestID, attempt AttemptNumber, outcome Outcome, elapsed Nanos,
	answered bool, load LoadReport,
) {
	slot, req := r.requests.find(id)
	if !isCurrentAttempt(req, attempt) {
		return
	}
	srv := &r.servers[req.attemptServer]
	if load != NoLoadReport {
		srv.load, srv.loadReportedAt = load, now
	}
	r.recordOutcome(now, srv, req, outcome)
	if req.phase != streaming {
		r.recordFirstResponse(now, req, elapsed, firstResponseOf(req, outcome))
	}
	if req.phase != awaitingPrefill || req.combined {
		srv.streams--
	}
	if outcome.mayHaveRun() && srv.role != Prefill && !req.mayHaveRun {
		req.mayHaveRun, req.firstRunServer, req.firstRunAt = true, req.attemptServer, req.sentAt
	}
	if outcome.shouldAvoidServer() && (outcome != ConnectionLost || r.failsMoreThanPeers(srv)) {
		req.avoid(req.attemptServer)
	}
	req.applyOutcome(now, outcome)
	req.finished = req.finished || answered
	req.attemptOutstanding, req.attemptServer, req.combined = false, noServer, false
	r.setUrgency(now, req)
	r.requests.enqueue(slot)
	r.wakeWaiting(wokenPerEvent)
}

// applyOutcome updates the phase and the KV state of a request after an attempt.
func (req *requestState) applyOutcome(now Nanos, outcome Outcome) {
	switch {
	case outcome == Prefilled:
		req.phase, req.prefillServer, req.stateHeld, req.heldSince = awaitingDecode, req.attemptServer, true, now
	case outcome == StateMissing: // the state may still exist: it is released before the next prefill
		req.phase, req.heldSince = awaitingPrefill, now
		req.avoid(req.prefillServer)
	case req.phase == streaming:
		req.finished = true
	case !req.stateHeld:
		req.phase = awaitingPrefill
	case outcome != NotSent && outcome != StaleConnection:
		req.heldSince = now
	}
}

// recordFirstResponse records the first response to the outstanding attempt of a request, or its end without one.
func (r *Router) recordFirstResponse(now Nanos, req *requestState, elapsed Nanos, response firstResponse) {
	srv := &r.servers[req.attemptServer]
	srv.firstResponseReceived(now, req.Class)
	r.roleLimits[srv.role].outstanding--
	srv.queuedTokens = max(srv.queuedTokens-req.queuedTokens, 0)
	req.queuedTokens = 0
	if srv.outstanding == 0 {
		srv.maxPromptAllowance = 0
	}
	latency := float64(elapsed) / float64(req.latencyTarget)
	if req.phase == awaitingDecode {
		r.recordTransfer(now, req, srv, latency, response)
	}
	switch response {
	case responseSucceeded:
		r.recordSuccessfulResponse(now, req, srv, latency)
	case responseTooSlow:
		r.latency.samples[srv.role].add(now, latency)
	case responseFailed:
	}
}

// recordTransfer records the latency of the transfer of a KV state to a decode server, and adjusts the limit of the
// prefill cell's link.
func (r *Router) recordTransfer(now Nanos, req *requestState, to *server, latency float64, response firstResponse) {
	from, scope := &r.servers[req.prefillServer], transferWithinCell
	c := &r.locality.cells[from.cellIndex]
	if !from.inCellOf(to) {
		scope = transferBetweenCells
		c.link.outstanding--
	}
	if response == responseFailed {
		return
	}
	r.transferLatencies[scope].add(now, latency)
	if scope == transferBetweenCells {
		c.link.adjust(latency, c.share[Prefill]*r.counts.serving[Prefill], r.config.Self.Count)
	}
}

// recordSuccessfulResponse records the latency of a successful first response, as a share of the request's latency
// target, and adjusts the limits by it.
func (r *Router) recordSuccessfulResponse(now Nanos, req *requestState, srv *server, latency float64) {
	srv.lastLatency = latency
	if !r.inSlowStart(now, srv) {
		r.throughput.warmAnswers[srv.role]++
	}
	r.roleLimits[srv.role].adjust(latency, r.counts.serving[srv.role], r.config.Self.Count)
	r.latency.samples[srv.role].add(now, latency)
	if r.transferSlow(now, req) {
		return
	}
	srv.addLatency(now, latency)
	r.requestLimit.recordAnswer(latency > lateLatency)
}
