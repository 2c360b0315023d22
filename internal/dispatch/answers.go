package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// ClientDisconnected implements frontend.Dispatcher: the client of a request is gone.
func (d *Dispatcher) ClientDisconnected(now eventloop.Nanos, id policy.RequestID) {
	req := d.requests.Find(id)
	if req == nil || req.Answered() {
		return
	}
	if d.debug {
		attempt, outstanding := req.OutstandingAttempt()
		d.log.Debug("client disconnected", "request_id", req.logID(), "attempt", attempt, "outstanding", outstanding,
			"streaming", req.IsStreaming())
	}
	if d.markAnswered(req) {
		d.answerGiven(req, &d.Counts.ClientDisconnects, false)
	}
	d.cancelRequest(now, req)
}

// ClientWritable implements frontend.Dispatcher: the client has taken all of the answer so far, and a server that was
// held back for it gets its credit.
func (d *Dispatcher) ClientWritable(now eventloop.Nanos, id policy.RequestID) {
	req := d.requests.Find(id)
	if req == nil || req.heldBackBytes == 0 || req.attempt == nil {
		return
	}
	n := req.heldBackBytes
	req.heldBackBytes, req.lastTokenAt = 0, now
	req.attempt.CreditWindow(n)
	d.loop.SkipNextWait()
}

// complete ends a request whose answer was served in full.
func (d *Dispatcher) complete(req *Request) {
	if d.markAnswered(req) {
		req.response.Complete(req.ID)
		d.answerGiven(req, &d.Counts.Served, true)
	}
}

// reject answers a request that may be tried again.
func (d *Dispatcher) reject(req *Request, rejection frontend.RejectionError) {
	if d.markAnswered(req) {
		req.response.Reject(req.ID, rejection)
		d.answerGiven(req, &d.Counts.Rejected, false)
	}
}

// fail answers a request that may have run.
func (d *Dispatcher) fail(req *Request, reason string) {
	if d.markAnswered(req) {
		req.response.Fail(req.ID, reason)
		d.answerGiven(req, &d.Counts.Failed, false)
	}
}

// markAnswered records that a request gets its final answer now. It reports false if it has one already.
func (d *Dispatcher) markAnswered(req *Request) bool {
	if err := req.MarkAnswered(); err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("invalid decision", "request_id", req.logID(), "error", err)
		return false
	}
	d.loop.CancelTimer(&req.answerTimer)
	return true
}

// answerGiven follows the final answer of a request.
func (d *Dispatcher) answerGiven(req *Request, count *uint64, served bool) {
	req.response = nil
	*count++
	d.admission.answered(req, served)
}

// abort gives a request its final answer without a decision of the module, which is told that the request is canceled.
func (d *Dispatcher) abort(now eventloop.Nanos, req *Request, reason string) {
	isRepeatable := d.classTimes[req.class].idempotent && !req.IsStreaming()
	if intake.OutcomeAtDrainDeadline(isRepeatable, req.mayHaveRun) == intake.Rejected {
		d.reject(req, frontend.RejectionError{Reason: reason})
	} else {
		d.fail(req, reason)
	}
	d.cancelRequest(now, req)
}

// cancelRequest follows the end of a request that the module has not decided on: the queue or the module is told, and
// an attempt ends that nobody reads or that has not been written yet.
func (d *Dispatcher) cancelRequest(now eventloop.Nanos, req *Request) {
	if d.admission.cancel(now, req) {
		d.removeIfDone(req)
		return
	}
	d.module.RequestCanceled(d.ModuleTime(now), req.ID)
	switch {
	case req.IsStreaming():
		d.endAttempt(now, req, policy.Canceled, true, policy.NoLoadReport)
	case req.attempt != nil && req.attempt.DeliveryState() < inflight.Sending:
		// It is never begun, not even where the module lets attempts that have begun run on.
		d.endAttempt(now, req, policy.NotSent, true, policy.NoLoadReport)
	}
	d.removeIfDone(req)
}

// removeIfDone removes a request that is answered, has no attempt outstanding and no KV state held for it.
func (d *Dispatcher) removeIfDone(req *Request) {
	if req.Done() {
		d.loop.CancelTimer(&req.attemptTimer)
		d.loop.CancelTimer(&req.answerTimer)
		d.requests.Remove(req.ID)
	}
}

// answerDeadlineMissed ends a request that is neither answered nor streaming some time after its deadline. The module
// answers every request before that, so this only happens through a fault of the program.
func (req *Request) answerDeadlineMissed(now eventloop.Nanos) {
	d := req.dispatcher
	_, outstanding := req.OutstandingAttempt()
	d.Counts.MissedDeadlines++
	d.log.Error("request deadline missed", "request_id", req.logID(), "attempts", req.AttemptCount(),
		"outstanding", outstanding, "server_id", d.backend.ServerName(req.Server))
	id := req.ID
	d.abort(now, req, deadlineExceededReason)
	if req = d.requests.Find(id); req != nil && outstanding {
		d.endAttempt(now, req, policy.Canceled, true, policy.NoLoadReport)
		d.removeIfDone(req)
	}
}

const deadlineExceededReason = "its time is up"
