package baselinepolicy

import "docksail/policy"

// request is a request that is not answered yet.
type request struct {
	policy.Request
	tried        []policy.ServerID // servers that its present stage was sent to
	needsPrefill bool              // the attempt in flight, or else the next one, is a prefill
	server       policy.ServerID   // of the last attempt
	inFlight     bool              // an attempt is
	stateHeld    bool              // a prefill server holds its state
	streaming    bool              // its answer has started
	answered     bool              // the client needs no answer any more
	attempts     policy.AttemptNumber
}

// RequestArrived sends a new request to a server.
func (p *Policy) RequestArrived(now policy.Nanos, given policy.Request) {
	p.requests[given.ID] = &request{Request: given, needsPrefill: true}
	p.sendAttempt(now, given.ID)
}

// sendAttempt sends a request to a server for its next stage, or rejects it.
func (p *Policy) sendAttempt(now policy.Nanos, id policy.RequestID) {
	r := p.requests[id]
	s := p.selectServer(r)
	if s == nil || len(r.tried) >= maxAttempts || now >= r.Deadline {
		p.endUnserved(id, policy.RejectRequest)
		return
	}
	s.inFlight++
	r.tried, r.server, r.inFlight = append(r.tried, s.id), s.id, true
	r.attempts++
	p.decide(policy.Decision{Action: policy.SendAttempt, Request: id, Server: s.id, Duration: r.Deadline - now})
}

// endUnserved answers a request that is not served: by RejectRequest if a retry is harmless, else by FailRequest.
func (p *Policy) endUnserved(id policy.RequestID, action policy.Action) {
	p.releaseState(id)
	p.decide(policy.Decision{Action: action, Request: id, Duration: retryDelay})
	delete(p.requests, id)
}

// releaseState releases the state of a request, if one is held.
func (p *Policy) releaseState(id policy.RequestID) {
	if p.requests[id].stateHeld {
		p.decide(policy.Decision{Action: policy.ReleaseState, Request: id})
	}
}

// StreamStarted records that the answer of a request has started, for which its state was fetched.
func (p *Policy) StreamStarted(_ policy.Nanos, id policy.RequestID, _ policy.AttemptNumber, _ policy.Nanos) {
	if r := p.requests[id]; r != nil {
		r.streaming, r.stateHeld = true, false
	}
}

// StateHeldSince does nothing: the policies do not bound how long a state is held.
func (p *Policy) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {}

// AttemptEnded goes on with a request whose attempt has ended: with its next stage, a retry, or an answer that it was
// not served.
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
	case final || r.answered:
		p.releaseState(id)
		delete(p.requests, id)
	case outcome == policy.Prefilled:
		r.needsPrefill, r.stateHeld, r.tried = false, true, r.tried[:0]
		p.sendAttempt(now, id)
	case outcome == policy.StateMissing:
		r.needsPrefill, r.stateHeld, r.tried = true, false, r.tried[:0]
		p.sendAttempt(now, id)
	case s.role == policy.Prefill || didNotRun:
		p.sendAttempt(now, id)
	default: // the request may have run
		p.endUnserved(id, policy.FailRequest)
	}
}

// RequestCanceled ends a request whose client has gone: at once, or when its attempt has ended. An answer that has
// started is not canceled here.
func (p *Policy) RequestCanceled(_ policy.Nanos, id policy.RequestID) {
	r := p.requests[id]
	if r == nil {
		return
	}
	r.answered = true
	switch {
	case !r.inFlight:
		p.releaseState(id)
		delete(p.requests, id)
	case !r.streaming:
		p.decide(policy.Decision{Action: policy.CancelAttempt, Request: id, Attempt: r.attempts - 1})
	}
}
