package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/streamwatch"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"fmt"
	"math"
	"slices"
)

// What the module decides about requests, and how its attempts go.

func (d *Dispatcher) carryOut(now eventloop.Nanos, decision policy.Decision) {
	switch decision.Action {
	case policy.SetTimer:
		d.loop.SetTimer(&d.wakeTimer, now+eventloop.Nanos(decision.Duration), d.onWake)
		return
	case policy.WatchEndpoints:
		d.exit.WatchEndpoints(now)
		return
	case policy.LogMessage:
		d.log.Info("module", "says", decision.Text)
		return
	}
	req := d.requests.Find(decision.Request)
	if req == nil {
		d.Counts.InvalidDecisions++
		d.log.Error("decision about a request that is over", "request", decision.Request, "verb", int(decision.Action))
		return
	}
	switch decision.Action {
	case policy.SendAttempt:
		req.ExpectedCachedTokens = decision.CachedTokens
		req.StartDeadline = math.MaxInt64
		if decision.SendBefore > 0 {
			req.StartDeadline = int64(decision.SendBefore) - d.clockStart
		}
		d.sendAttempt(now, req, decision.Server, int64(decision.Duration))
	case policy.CancelAttempt:
		if attempt, out := req.OutstandingAttempt(); out && attempt == decision.Attempt {
			d.Counts.Cancels++
			d.attemptEnded(now, req, policy.Canceled, false, policy.NoLoadReport)
		}
	case policy.RejectRequest:
		no := frontend.RejectionError{Reason: "no engine could take it in time"}
		if d.unsentIndex(req.ID) >= 0 {
			d.queue.RecordNotSent()
		}
		no.RetryAfter = min(int64(decision.Duration), d.maxRetryAfter)
		if decision.Duration > 0 && !d.direct { // that at least; the admission queue books a place
			no = d.refusal(no.Reason, false, d.queue.ReserveRetry(now, req.queueRequest, eventloop.Nanos(decision.Duration)))
		}
		d.answer(req, func() { req.call.Reject(req.ID, no) }, &d.Counts.Rejected)
	case policy.FailRequest:
		d.answer(req, func() { req.call.Fail(req.ID, "its time is up") }, &d.Counts.Failed)
	case policy.ReleaseState:
		d.releaseHeld(now, req, "decided")
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", decision.Action))
	}
	d.dropIfDone(req)
}

// attempt sends a request to a server.
func (d *Dispatcher) sendAttempt(now eventloop.Nanos, req *Request, to policy.ServerID, within int64) {
	reads, known := d.exit.IsPrefill(to)
	kind := inflight.DecodeAttempt
	if reads {
		kind = inflight.PrefillAttempt
	}
	attempt, err := req.BeginAttempt(kind)
	if err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("attempt refused", "request", req.ID, "server", to, "err", err)
		return
	}
	d.Counts.Attempts++
	if i := d.unsentIndex(req.ID); i >= 0 {
		d.unsent = slices.Delete(d.unsent, i, i+1)
		d.queue.RecordSent(now, req.queueRequest)
	}
	req.Server, req.SentAt, req.AttemptTimeout, req.attempt = to, now, within, nil
	req.IsPrefill = reads
	if known {
		req.mayHaveRun = req.mayHaveRun || !req.IsPrefill
		d.loop.SetTimer(&req.timer, now+within, req.onTimer)
		req.attempt = d.exit.StartAttempt(now, req, attempt)
	}
	if req.attempt == nil {
		d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoadReport)
	}
}

// logRelease logs why the state of a request is released, and how long ago its last read ended.
func (d *Dispatcher) logRelease(now eventloop.Nanos, req *Request, why string, at policy.ServerID) {
	if !d.debug {
		return
	}
	d.log.Debug("release", "request", string(req.ClientRequestID), "why", why, "server", at, "since_read", now-req.PrefilledAt, "answered", req.Answered())
}

// timerDue is the timer of a request: its attempt's time, or, once the answer streams, the time to look at it.
func (req *Request) timerDue(now eventloop.Nanos) {
	d := req.d
	if req.firstTokenAt == 0 {
		if _, out := req.OutstandingAttempt(); out {
			d.Counts.TimedOut++
			outcome := policy.TimedOut
			switch req.attempt.DeliveryState() {
			case inflight.Planned: // others stood before it
				outcome = policy.NotSent
			case inflight.Connecting:
				outcome = policy.Unreachable
			}
			d.attemptEnded(now, req, outcome, false, policy.NoLoadReport)
			d.dropIfDone(req)
		}
		return
	}
	d.checkStream(now, req)
}

// checkStream has the pace of a running answer judged.
func (d *Dispatcher) checkStream(now eventloop.Nanos, req *Request) {
	t := &d.classTimes[req.class]
	verdict, again := streamwatch.Check(now, streamwatch.Stream{
		FirstTokenAt: req.firstTokenAt, LastTokenAt: req.lastTokenAt, TargetTokenGap: t.tokenGap, FirstTokenTarget: t.target,
		CallDeadline: req.callEnds, AnswerLeadTime: d.answerAhead, MaxSilence: d.silenceLimit, ClientBlocked: req.unread > 0,
	})
	if verdict == streamwatch.Continue {
		d.loop.SetTimer(&req.timer, again, req.onTimer)
		return
	}
	if !req.Answered() {
		d.answer(req, func() { req.call.Fail(req.ID, verdict.String()) }, &d.Counts.Failed)
	}
	outcome := policy.TimedOut
	if verdict == streamwatch.ClientNotReading {
		outcome = policy.Canceled
	}
	d.attemptEnded(now, req, outcome, true, policy.NoLoadReport)
	d.dropIfDone(req)
}

// streamBegan tells of the first token.
func (d *Dispatcher) streamBegan(now eventloop.Nanos, req *Request) {
	attempt, _ := req.OutstandingAttempt()
	req.firstTokenAt, req.lastTokenAt = now, now
	d.loop.CancelTimer(&req.overdueTimer)
	if req.admitted {
		d.queue.RecordFirstToken(now, req.queueRequest, now-req.arrivedAt)
	}
	req.MarkAnswerStarted()
	d.module.StreamStarted(d.ModuleTime(now), req.ID, attempt, policy.Nanos(now-req.SentAt))
	d.checkStream(now, req)
}

// attemptEnded tells how the attempt that is out has ended; where the engine has not ended it, its stream is reset
// first, so that it is no longer out. The request may be over by this.
func (d *Dispatcher) attemptEnded(now eventloop.Nanos, req *Request, outcome policy.Outcome, over bool, load policy.LoadReport) {
	attempt, out := req.OutstandingAttempt()
	if !out {
		return
	}
	d.loop.CancelTimer(&req.timer)
	sent, stage := req.attempt, req.stage()
	written := sent != nil && sent.Finish(now)
	req.attempt, req.unread = nil, 0
	ending, err := req.EndAttempt(now, attempt, inflight.AttemptResult{
		Outcome: outcome, Server: req.Server, State: stage, MayHaveBeenReceived: written,
	})
	if err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("end of an attempt refused", "request", req.ID, "err", err)
	}
	if d.debug {
		d.log.Debug("attempt over", "request", string(req.ClientRequestID), "attempt", attempt, "server", req.Server, "read", req.IsPrefill, "how", outcome, "stage", stage, "sent", d.ModuleTime(req.SentAt), "took", now-req.SentAt,
			"begun", req.firstTokenAt > 0, "answered", req.Answered())
	}
	if req.ConsecutiveStaleConns++; outcome != policy.StaleConnection {
		req.ConsecutiveStaleConns = 0
	}
	switch outcome {
	case policy.Prefilled:
		req.PrefilledAt = now
	case policy.ConnectionLost:
		d.Counts.Broken++
	}
	if ending.NeedsRelease {
		d.logRelease(now, req, "the attempt may have left it", req.Server)
		d.exit.Release(now, req, req.Server, attempt, now)
	}
	d.module.AttemptEnded(d.ModuleTime(now), req.ID, attempt, outcome, policy.Nanos(now-req.SentAt), over || req.Answered(), load)
	switch {
	case ending.StateLost:
		d.module.StateHeldSince(d.ModuleTime(now), req.ID, policy.Never)
	case ending.HoldClockUnchanged:
		d.module.StateHeldSince(d.ModuleTime(now), req.ID, d.ModuleTime(ending.HeldSince))
	}
	if sent != nil {
		sent.AfterFinish(now)
	}
}
