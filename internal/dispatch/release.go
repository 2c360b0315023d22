package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// ReleaseEarly releases the KV state of a request while an attempt that needs it is outstanding, because the attempt
// may never reach its server.
func (d *Dispatcher) ReleaseEarly(now eventloop.Nanos, req *Request) {
	d.releaseState(now, req, "attempt may not arrive")
}

// releaseState starts to release the KV state that is held for a request, if any.
func (d *Dispatcher) releaseState(now eventloop.Nanos, req *Request, reason string) {
	holder, _ := req.StateHolder()
	heldSince := req.HeldSince()
	if err := req.MarkStateReleased(); err != nil {
		return // no state is held
	}
	d.logRelease(now, req, reason, holder)
	d.backend.Release(now, req, holder, policy.AttemptNumber(req.AttemptCount()-1), heldSince)
}

// logRelease logs that a release is requested, and why.
func (d *Dispatcher) logRelease(now eventloop.Nanos, req *Request, reason string, server policy.ServerID) {
	if !d.debug {
		return
	}
	d.log.Debug("release requested", "request_id", req.logID(),
		"server_id", d.backend.ServerName(server), "reason", reason,
		"since_prefill", now-req.prefilledAt, "answered", req.Answered())
}

// ReleasePermission returns whether a release may be sent now for a request, and whether an attempt of it may be at a
// server or on its way there. The request may have been removed already.
func (d *Dispatcher) ReleasePermission(id policy.RequestID,
) (permission inflight.ReleasePermission, attemptInFlight bool) {
	req := d.requests.Find(id)
	if req == nil {
		return inflight.ReleaseAllowed, false
	}
	_, outstanding := req.OutstandingAttempt()
	state := req.deliveryState()
	responsive := req.attempt != nil && req.attempt.ServerResponsive()
	return req.ReleasePermission(state, responsive), outstanding && state > inflight.Planned
}
