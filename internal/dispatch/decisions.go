package dispatch

import (
	"fmt"
	"time"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// execute carries out a decision of the module.
func (d *Dispatcher) execute(now eventloop.Nanos, decision policy.Decision) {
	switch decision.Action {
	case policy.SetTimer:
		d.loop.SetTimer(&d.policyTimer, now+eventloop.Nanos(decision.Duration), d.onPolicyTimeout)
	case policy.WatchEndpoints:
		d.backend.WatchEndpoints(now)
	case policy.LogEjection:
		d.logEjection(decision.Ejection)
	default:
		d.executeForRequest(now, decision)
	}
}

// logEjection logs that a server is ejected, from all classes or from one.
func (d *Dispatcher) logEjection(ejection policy.Ejection) {
	attributes := []any{
		"server_id", d.backend.ServerName(ejection.Server), "reason", ejection.Reason.String(),
		"duration", time.Duration(ejection.Duration),
	}
	if ejection.Class != policy.NoClass {
		attributes = append(attributes, "class", d.classNames[ejection.Class])
	}
	d.log.Info("endpoint ejected", attributes...)
}

// executeForRequest carries out a decision about a request. The request may be removed by the call.
func (d *Dispatcher) executeForRequest(now eventloop.Nanos, decision policy.Decision) {
	req := d.requests.Find(decision.Request)
	if req == nil {
		d.Counts.InvalidDecisions++
		d.log.Error("invalid decision", "request_id", d.RequestName(decision.Request), "action", int(decision.Action),
			"error", "request is done")
		return
	}
	switch decision.Action {
	case policy.SendAttempt:
		req.ExpectedCachedTokens = decision.CachedTokens
		req.setStartDeadline(decision.SendBefore)
		d.startAttempt(now, req, decision.Server, int64(decision.Duration))
	case policy.CancelAttempt:
		d.cancelAttempt(now, req, decision.Attempt)
	case policy.RejectRequest:
		d.reject(req, d.admission.policyRejection(now, req, int64(decision.Duration)))
	case policy.FailRequest:
		d.fail(req, failureReason(d.ModuleTime(now), req))
	case policy.ReleaseState:
		d.releaseState(now, req, "decision")
	default:
		panic(fmt.Sprintf("decision with unknown action %d", decision.Action))
	}
	d.removeIfDone(req)
}

// cancelAttempt ends an attempt, unless it has ended already.
func (d *Dispatcher) cancelAttempt(now eventloop.Nanos, req *Request, canceled policy.AttemptNumber) {
	if attempt, outstanding := req.OutstandingAttempt(); outstanding && attempt == canceled {
		d.Counts.Cancels++
		d.endAttempt(now, req, policy.Canceled, false, policy.NoLoadReport)
	}
}
