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
	r.pace[req.phase].Record(int64(now), req.cost)
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
	req.stage, req.workTokens = r.stageOf(req, srv), req.PromptTokens
	if req.phase != awaitingDecode {
		req.workTokens = req.queuedTokens
	}
	srv.longestWork = max(srv.longestWork, r.work.serviceTime(req.stage, req.workTokens))
	req.attemptOutstanding, req.cancelSent, req.attemptServer, req.sentAt = true, false, to, now
	if req.attempts++; req.attempts == 1 {
		r.activeCount++
	}
	return Decision{
		Action: SendAttempt, Request: req.ID, Server: srv.id, CachedTokens: cached,
		Duration: r.attemptTimeout(now, req, to), SendBefore: r.sendBefore(req, srv),
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
		srv.longestWork = 0
	}
	switch response {
	case responseSucceeded:
		multiple, queued := r.work.addSample(req.stage, req.workTokens, elapsed)
		r.recordTransfer(now, req, srv, elapsed, queued)
		r.recordSuccessfulResponse(now, req, srv, multiple, queued)
	case responseTooSlow:
		r.recordTransfer(now, req, srv, elapsed, true)
		r.latency.samples[srv.role].add(now, r.work.multiple(req.stage, req.workTokens, elapsed))
	case responseFailed:
		r.endTransfer(req, srv)
	}
}

// endTransfer records that the outstanding attempt, if it transfers a KV state between cells, uses the link no more. It
// returns the cell of the prefill server, or nil.
func (r *Router) endTransfer(req *requestState, to *server) *cellState {
	if req.phase != awaitingDecode {
		return nil
	}
	from := &r.servers[req.prefillServer]
	if from.inCellOf(to) {
		return nil
	}
	c := &r.locality.cells[from.cellIndex]
	c.link.outstanding--
	return c
}

// recordTransfer records how long the transfer of a KV state to a decode server took, and adjusts the limit of the
// prefill cell's link.
func (r *Router) recordTransfer(now Nanos, req *requestState, to *server, elapsed Nanos, queued bool) {
	if req.phase != awaitingDecode {
		return
	}
	c := r.endTransfer(req, to)
	if c == nil {
		r.transferTimes[nearTransfer].add(now, float64(elapsed))
		return
	}
	r.transferTimes[farTransfer].add(now, float64(elapsed))
	c.link.adjust(queued, c.share[Prefill]*r.counts.serving[Prefill], r.config.Self.Count)
}

// recordSuccessfulResponse records the latency of a successful first response, as a multiple of the service time of its
// work, and adjusts the limits by whether it has queued at its server.
func (r *Router) recordSuccessfulResponse(now Nanos, req *requestState, srv *server, multiple float64, queued bool) {
	srv.lastQueued = queued
	if !r.inSlowStart(now, srv) {
		r.throughput.warmAnswers[srv.role]++
	}
	r.roleLimits[srv.role].adjust(queued, r.counts.serving[srv.role], r.config.Self.Count)
	r.latency.samples[srv.role].add(now, multiple)
	if r.transferSlow(now, req) {
		return
	}
	srv.addLatency(now, multiple)
	r.requestLimit.recordAnswer(r.leavesTooLittleTime(now, req))
}

// leavesTooLittleTime reports whether the successful response to the outstanding attempt has come so late that the rest
// of the request can hardly be in time. A stream that has begun is in time.
func (r *Router) leavesTooLittleTime(now Nanos, req *requestState) bool {
	return req.stage == prefillStage && r.timeLeft(now, req) < r.handOverTime(req.PromptTokens)
}
