package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// FindRequest returns the request in flight with an ID, or nil if there is none.
func (d *Dispatcher) FindRequest(id policy.RequestID) *Request { return d.requests.Find(id) }

// SetAttemptTimer sets the time at which the outstanding attempt of a request times out unless its answer has begun. A
// backend may change the time while the attempt waits to be sent.
func (d *Dispatcher) SetAttemptTimer(req *Request, at eventloop.Nanos) {
	d.loop.SetTimer(&req.attemptTimer, at, req.onAttemptTimer)
}

// startAttempt begins an attempt of a request at a server.
func (d *Dispatcher) startAttempt(now eventloop.Nanos, req *Request, server policy.ServerID, timeout int64) {
	isPrefill, known := d.backend.IsPrefill(server)
	kind := inflight.DecodeAttempt
	if isPrefill {
		kind = inflight.PrefillAttempt
	}
	attempt, err := req.BeginAttempt(kind)
	if err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("invalid decision", "request_id", req.logID(), "server_id", d.backend.ServerName(server), "error", err)
		return
	}
	d.Counts.Attempts++
	d.admission.attemptStarted(now, req)
	req.Server, req.StartedAt, req.AttemptTimeout, req.IsPrefill = server, now, timeout, isPrefill
	req.attempt = nil
	if known {
		d.SetAttemptTimer(req, now+timeout)
		req.attempt = d.backend.StartAttempt(now, req, attempt)
	}
	if req.attempt == nil {
		d.endAttempt(now, req, policy.NotSent, false, policy.NoLoadReport)
	}
}

// ReplaceAttempt makes attempt the backend's record of the outstanding attempt of a request. If it is nil, the attempt
// could not be sent and is ended. The request may be removed by the call.
func (d *Dispatcher) ReplaceAttempt(now eventloop.Nanos, req *Request, attempt Attempt) {
	req.attempt = attempt
	if attempt == nil {
		d.endAttempt(now, req, policy.NotSent, false, policy.NoLoadReport)
		d.removeIfDone(req)
	}
}

// FinishAttempt is called by the backend when the outstanding attempt of a request has ended. If its answer has begun
// but is not complete, the request fails, and detail is appended to the reason that the client receives. The request
// may be removed by the call.
func (d *Dispatcher) FinishAttempt(now eventloop.Nanos, req *Request, outcome policy.Outcome, detail string,
	load policy.LoadReport,
) {
	streaming := req.IsStreaming()
	switch {
	case req.Answered():
	case outcome == policy.Served:
		d.complete(req)
	case streaming:
		d.fail(req, "the stream broke"+detail)
	}
	d.endAttempt(now, req, outcome, outcome == policy.Served || streaming, load)
	d.removeIfDone(req)
}

// FailInvalidRequest is called by the backend when a server reports that the request itself is invalid. The request is
// not retried, as no other server would accept it, and the attempt does not count as a failure of the server. The
// request may be removed by the call.
func (d *Dispatcher) FailInvalidRequest(now eventloop.Nanos, req *Request, reason string) {
	if !req.Answered() {
		d.fail(req, reason)
	}
	d.endAttempt(now, req, policy.NotSent, true, policy.NoLoadReport)
	d.removeIfDone(req)
}

// attemptTimerFired ends an attempt that has timed out or, once the answer streams, checks the stream.
func (req *Request) attemptTimerFired(now eventloop.Nanos) {
	d := req.dispatcher
	if req.IsStreaming() {
		d.checkStream(now, req)
		return
	}
	if _, outstanding := req.OutstandingAttempt(); !outstanding {
		return
	}
	d.Counts.TimedOut++
	outcome := inflight.TimeoutOutcome(req.deliveryState())
	d.endAttempt(now, req, outcome, false, policy.NoLoadReport)
	d.removeIfDone(req)
}

// endAttempt ends the outstanding attempt of a request, if there is one, and reports it to the module. An attempt
// that the server has not ended is canceled there first. final tells the module not to send another attempt. The
// caller must call removeIfDone afterwards.
func (d *Dispatcher) endAttempt(now eventloop.Nanos, req *Request, outcome policy.Outcome, final bool,
	load policy.LoadReport,
) {
	number, outstanding := req.OutstandingAttempt()
	if !outstanding {
		return
	}
	d.loop.CancelTimer(&req.attemptTimer)
	attempt, state := req.attempt, req.deliveryState()
	mayHaveBeenReceived := attempt != nil && attempt.Finish(now)
	req.attempt, req.uncreditedBytes = nil, 0
	end, err := req.EndAttempt(now, number, inflight.AttemptResult{
		Outcome: outcome, Server: req.Server, State: state, MayHaveBeenReceived: mayHaveBeenReceived,
	})
	if err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("invalid end of an attempt", "request_id", req.logID(), "attempt", number, "error", err)
	}
	if d.debug {
		d.log.Debug("attempt ended", "request_id", req.logID(), "attempt", number,
			"server_id", d.backend.ServerName(req.Server), "prefill", req.IsPrefill,
			"outcome", outcome, "state", state, "sent_at", d.ModuleTime(req.StartedAt),
			"duration", now-req.StartedAt, "streaming", req.IsStreaming(), "answered", req.Answered())
	}
	d.recordOutcome(now, req, outcome)
	if end.NeedsRelease {
		d.logRelease(now, req, "attempt may have left state", req.Server)
		d.backend.Release(now, req, req.Server, number, now)
	}
	d.module.AttemptEnded(d.ModuleTime(now), req.ID, number, outcome, policy.Nanos(now-req.StartedAt),
		final || req.Answered(), load)
	switch {
	case end.StateLost:
		d.module.StateHeldSince(d.ModuleTime(now), req.ID, policy.Never)
	case end.HoldClockUnchanged:
		d.module.StateHeldSince(d.ModuleTime(now), req.ID, d.ModuleTime(end.HeldSince))
	}
	if attempt != nil {
		attempt.AfterFinish(now)
	}
}

// recordOutcome updates the request and the counters by the outcome of an attempt.
func (d *Dispatcher) recordOutcome(now eventloop.Nanos, req *Request, outcome policy.Outcome) {
	if outcome == policy.StaleConnection {
		req.ConsecutiveStaleConns++
	} else {
		req.ConsecutiveStaleConns = 0
	}
	if outcome == policy.Prefilled {
		req.prefilledAt = now
	}
	if outcome == policy.ConnectionLost {
		d.Counts.Broken++
	}
}
