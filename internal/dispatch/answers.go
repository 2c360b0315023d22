package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/intake"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// ClientDisconnected implements frontend.Dispatcher: it ends a request whose client has disconnected.
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
		d.recordAnswer(req, &d.Counts.ClientDisconnects, false)
	}
	d.cancelRequest(now, req)
}

// ClientWritable implements frontend.Dispatcher: all of the answer so far was sent to the client, so a server that was
// paused for it gets flow-control credit again.
func (d *Dispatcher) ClientWritable(now eventloop.Nanos, id policy.RequestID) {
	req := d.requests.Find(id)
	if req == nil || req.uncreditedBytes == 0 || req.attempt == nil {
		return
	}
	n := req.uncreditedBytes
	req.uncreditedBytes, req.lastTokenAt = 0, now
	req.attempt.CreditWindow(n)
	d.loop.SkipNextWait()
}

// complete ends a request whose answer was served in full.
func (d *Dispatcher) complete(req *Request) {
	if d.markAnswered(req) {
		req.response.Complete(req.ID)
		d.recordAnswer(req, &d.Counts.Served, true)
	}
}

// reject answers a request that its client may safely retry: no server has run it, or running it again does no harm.
func (d *Dispatcher) reject(req *Request, rejection frontend.RejectionError) {
	if d.markAnswered(req) {
		req.response.Reject(req.ID, rejection)
		d.recordAnswer(req, &d.Counts.Rejected, false)
	}
}

// fail answers a request that cannot be served. A server may have run it.
func (d *Dispatcher) fail(req *Request, reason string) {
	if d.markAnswered(req) {
		req.response.Fail(req.ID, reason)
		d.recordAnswer(req, &d.Counts.Failed, false)
	}
}

// markAnswered records that a request gets its final answer now. It reports false if the request has one already.
func (d *Dispatcher) markAnswered(req *Request) bool {
	if err := req.MarkAnswered(); err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("invalid decision", "request_id", req.logID(), "error", err)
		return false
	}
	d.loop.CancelTimer(&req.answerTimer)
	return true
}

// recordAnswer counts the final answer of a request and reports it to the admission control.
func (d *Dispatcher) recordAnswer(req *Request, count *uint64, served bool) {
	req.response = nil
	*count++
	d.admission.answered(req, served)
}

// abort gives a request its final answer without a decision of the module, and cancels the request.
func (d *Dispatcher) abort(now eventloop.Nanos, req *Request, reason string) {
	isRetryable := d.classSettings[req.class].idempotent && !req.IsStreaming()
	if intake.OutcomeAtDrainDeadline(isRetryable, req.MayHaveRun(req.deliveryState())) == intake.Rejected {
		d.reject(req, frontend.RejectionError{Reason: reason})
	} else {
		d.fail(req, reason)
	}
	d.cancelRequest(now, req)
}

// cancelRequest cancels a request in the admission queue or in the module. It also ends the outstanding attempt if that
// is streaming, as nobody reads the stream any more, or has not been sent completely yet.
func (d *Dispatcher) cancelRequest(now eventloop.Nanos, req *Request) {
	if d.admission.cancel(now, req) {
		d.removeIfDone(req)
		return
	}
	d.module.RequestCanceled(d.ModuleTime(now), req.ID)
	switch {
	case req.IsStreaming():
		d.endAttempt(now, req, policy.Canceled, true, policy.NoLoadReport)
	case req.attempt != nil && req.attempt.DeliveryState() < inflight.Sent:
		// An attempt that was not sent completely never is, even if the module lets a sent one complete.
		d.endAttempt(now, req, policy.NotSent, true, policy.NoLoadReport)
	}
	d.removeIfDone(req)
}

// removeIfDone removes a request that is answered, has no attempt outstanding and no KV state held for it. The message
// of a request that is answered is dropped before that, once no attempt is being sent.
func (d *Dispatcher) removeIfDone(req *Request) {
	switch {
	case req.Done():
		d.loop.CancelTimer(&req.attemptTimer)
		d.loop.CancelTimer(&req.answerTimer)
		req.releaseMessage()
		req.chargeMemory(0)
		d.requests.Remove(req.ID)
	case req.Answered() && (req.attempt == nil || req.attempt.DeliveryState() >= inflight.Sent):
		req.releaseMessage()
		req.chargeMemory(memory.RequestBytes)
	}
}

// answerDeadlinePassed ends a request that is neither answered nor streaming intake.OverdueMarginNanos after its
// deadline. The module decides every request before that, unless the process was held up: so it first gets the events
// and timers of this iteration.
func (req *Request) answerDeadlinePassed(now eventloop.Nanos) {
	if !req.isOverdue {
		req.isOverdue = true
		req.dispatcher.loop.SetTimer(&req.answerTimer, now+1, req.onAnswerDeadline)
		return
	}
	req.answerDeadlineMissed(now)
}

// answerDeadlineMissed ends a request that the module has not decided. Each call indicates a bug.
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

// The reasons that clients receive for a request that the module fails, or does not decide before its deadline.
const (
	deadlineExceededReason = "its time is up"
	mayHaveRunReason       = "it may have run and is not sent again"
)

// failureReason returns the reason of a request that the module fails now: before its deadline it does so only for one
// whose repetition may do harm.
func failureReason(now policy.Nanos, req *Request) string {
	if now < req.policyRequest.Deadline {
		return mayHaveRunReason
	}
	return deadlineExceededReason
}
