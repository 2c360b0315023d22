package baselinepolicy

import "docksail/policy"

// request is the state of a request that has not ended.
type request struct {
	policy.Request
	triedServers []policy.ServerID    // servers to which the current stage was sent
	needsPrefill bool                 // the current stage is the prefill
	server       policy.ServerID      // of the last attempt
	inFlight     bool                 // an attempt is in flight
	stateHeld    bool                 // a prefill server holds the KV state
	streaming    bool                 // the answer has started
	canceled     bool                 // the client no longer waits for an answer
	attempts     policy.AttemptNumber // attempts sent so far
}

// RequestArrived sends the prefill of a new request to a server.
func (p *Policy) RequestArrived(now policy.Nanos, incoming policy.Request) {
	p.requests[incoming.ID] = &request{Request: incoming, needsPrefill: true}
	p.sendAttempt(now, incoming.ID)
}

// sendAttempt sends the current stage of a request to a server. It rejects the request if there is no server or no
// attempt left, or if its deadline has passed.
func (p *Policy) sendAttempt(now policy.Nanos, id policy.RequestID) {
	r := p.requests[id]
	s := p.selectServer(r)
	if s == nil || len(r.triedServers) >= maxAttempts || now >= r.Deadline {
		p.endUnserved(id, policy.RejectRequest)
		return
	}
	s.inFlight++
	r.triedServers, r.server, r.inFlight = append(r.triedServers, s.id), s.id, true
	r.attempts++
	p.queueDecision(policy.Decision{Action: policy.SendAttempt, Request: id, Server: s.id, Duration: r.Deadline - now})
}

// endUnserved ends a request without an answer: action is RejectRequest if the client may safely retry, and
// FailRequest otherwise.
func (p *Policy) endUnserved(id policy.RequestID, action policy.Action) {
	p.releaseState(id)
	p.queueDecision(policy.Decision{Action: action, Request: id, Duration: retryDelay})
	delete(p.requests, id)
}

// releaseState releases the KV state of a request, if one is held.
func (p *Policy) releaseState(id policy.RequestID) {
	if p.requests[id].stateHeld {
		p.queueDecision(policy.Decision{Action: policy.ReleaseState, Request: id})
	}
}

// StreamStarted records that the answer of a request has started. The decode server has fetched the state by then.
func (p *Policy) StreamStarted(_ policy.Nanos, id policy.RequestID, _ policy.AttemptNumber, _ policy.Nanos) {
	if r := p.requests[id]; r != nil {
		r.streaming, r.stateHeld = true, false
	}
}

// StateHeldSince does nothing: the policies do not limit how long a state is held.
func (p *Policy) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {}

// AttemptEnded continues a request whose attempt has ended: it sends the next stage, retries, or ends the request.
func (p *Policy) AttemptEnded(now policy.Nanos, id policy.RequestID, _ policy.AttemptNumber, outcome policy.Outcome,
	_ policy.Nanos, final bool, _ policy.LoadReport,
) {
	r := p.requests[id]
	if r == nil || !r.inFlight {
		return
	}
	r.inFlight = false
	s := p.servers[r.server]
	s.inFlight--
	didNotRun := outcome == policy.Rejected || outcome == policy.Unreachable || outcome == policy.NotSent
	switch {
	case final || r.canceled:
		p.releaseState(id)
		delete(p.requests, id)
	case outcome == policy.Prefilled:
		r.needsPrefill, r.stateHeld, r.triedServers = false, true, r.triedServers[:0]
		p.sendAttempt(now, id)
	case outcome == policy.StateMissing:
		r.needsPrefill, r.stateHeld, r.triedServers = true, false, r.triedServers[:0]
		p.sendAttempt(now, id)
	case s.role == policy.Prefill || didNotRun:
		p.sendAttempt(now, id)
	default: // the request may have run
		p.endUnserved(id, policy.FailRequest)
	}
}

// RequestCanceled ends a request whose client has canceled it or disconnected: immediately, or when the attempt in
// flight ends. An attempt that streams its answer is not canceled.
func (p *Policy) RequestCanceled(_ policy.Nanos, id policy.RequestID) {
	r := p.requests[id]
	if r == nil {
		return
	}
	r.canceled = true
	switch {
	case !r.inFlight:
		p.releaseState(id)
		delete(p.requests, id)
	case !r.streaming:
		p.queueDecision(policy.Decision{Action: policy.CancelAttempt, Request: id, Attempt: r.attempts - 1})
	}
}
