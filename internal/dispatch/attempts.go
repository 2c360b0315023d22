package dispatch

import (
	"fmt"
	"math"
	"slices"

	"docksail/internal/decide/streamwatch"
	"docksail/internal/front"
	"docksail/internal/loop"
	"docksail/policy"
)

// What the module decides about requests, and how its attempts go.

func (d *Dispatcher) carryOut(now loop.Nanos, decision policy.Decision) {
	switch decision.Verb {
	case policy.Wake:
		d.loop.At(&d.wakeTimer, now+loop.Nanos(decision.For), d.onWake)
		return
	case policy.Watch:
		d.exit.Watch(now)
		return
	case policy.Log:
		d.log.Info("module", "says", decision.Text)
		return
	}
	req := d.requests.Find(decision.Request)
	if req == nil {
		d.Counts.InvalidDecisions++
		d.log.Error("decision about a request that is over", "request", decision.Request, "verb", int(decision.Verb))
		return
	}
	switch decision.Verb {
	case policy.Attempt:
		req.ExpectedCached = decision.Kept
		req.WriteBefore = math.MaxInt64
		if decision.Before > 0 {
			req.WriteBefore = int64(decision.Before) - d.clockStart
		}
		d.sendAttempt(now, req, decision.Server, int64(decision.For))
	case policy.Cancel:
		if attempt, out := req.Outstanding(); out && attempt == decision.Attempt {
			d.Counts.Cancels++
			d.attemptEnded(now, req, policy.Canceled, false, policy.NoLoad)
		}
	case policy.Reject:
		no := front.Refusal{Reason: "no engine could take it in time"}
		if d.unsentIndex(req.ID) >= 0 {
			d.queue.NotSent()
		}
		no.RetryAfter = min(int64(decision.For), d.maxRetryAfter)
		if decision.For > 0 && !d.direct { // that at least; the admission queue books a place
			no = d.refusal(no.Reason, false, d.queue.RetryAfter(now, req.queueRequest, loop.Nanos(decision.For)))
		}
		d.answer(req, func() { req.call.Reject(req.ID, no) }, &d.Counts.Rejected)
	case policy.Fail:
		d.answer(req, func() { req.call.Fail(req.ID, "its time is up") }, &d.Counts.Failed)
	case policy.Release:
		if at, held := req.StateHeld(); held {
			d.logRelease(now, req, "decided", at)
			req.ReleaseState()
			d.exit.Release(now, req, at, policy.AttemptNumber(req.Attempts()-1))
		}
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", decision.Verb))
	}
	d.dropIfDone(req)
}

// attempt sends a request to a server.
func (d *Dispatcher) sendAttempt(now loop.Nanos, req *Request, to policy.ServerID, within int64) {
	attempt, err := req.BeginAttempt()
	if err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("attempt refused", "request", req.ID, "server", to, "err", err)
		return
	}
	d.Counts.Attempts++
	if i := d.unsentIndex(req.ID); i >= 0 {
		d.unsent = slices.Delete(d.unsent, i, i+1)
		d.queue.Sent(now, req.queueRequest)
	}
	req.Server, req.SentAt, req.Timeout, req.attempt = to, now, within, nil
	known := false
	if req.Prefill, known = d.exit.IsPrefill(to); known {
		req.mayHaveRun = req.mayHaveRun || !req.Prefill
		d.loop.At(&req.timer, now+within, req.onTimer)
		req.attempt = d.exit.Send(now, req, attempt)
	}
	if req.attempt == nil {
		d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoad)
	}
}

// logRelease logs why the state of a request is released, and how long ago its last read ended.
func (d *Dispatcher) logRelease(now loop.Nanos, req *Request, why string, at policy.ServerID) {
	if !d.debug {
		return
	}
	d.log.Debug("release", "request", string(req.ClientID), "why", why, "server", at, "since_read", now-req.PrefilledAt, "answered", req.Answered())
}

// timerDue is the timer of a request: its attempt's time, or, once the answer streams, the time to look at it.
func (req *Request) timerDue(now loop.Nanos) {
	d := req.d
	if req.firstTokenAt == 0 {
		if _, out := req.Outstanding(); out {
			d.Counts.TimedOut++
			outcome := policy.Late
			switch req.attempt.Stage() {
			case Queued: // others stood before it
				outcome = policy.NotSent
			case Connecting:
				outcome = policy.Unreachable
			}
			d.attemptEnded(now, req, outcome, false, policy.NoLoad)
			d.dropIfDone(req)
		}
		return
	}
	d.checkStream(now, req)
}

// checkStream has the pace of a running answer judged.
func (d *Dispatcher) checkStream(now loop.Nanos, req *Request) {
	t := &d.classTimes[req.class]
	verdict, again := streamwatch.Check(now, streamwatch.Stream{FirstAt: req.firstTokenAt, LastAt: req.lastTokenAt, TokenGap: t.tokenGap, Target: t.target,
		CallEnds: req.callEnds, AnswerAhead: d.answerAhead, SilenceLimit: d.silenceLimit, Unread: req.unread > 0})
	if verdict == streamwatch.Continue {
		d.loop.At(&req.timer, again, req.onTimer)
		return
	}
	if !req.Answered() {
		d.answer(req, func() { req.call.Fail(req.ID, verdict.String()) }, &d.Counts.Failed)
	}
	outcome := policy.Late
	if verdict == streamwatch.Unread {
		outcome = policy.Canceled
	}
	d.attemptEnded(now, req, outcome, true, policy.NoLoad)
	d.dropIfDone(req)
}

// streamBegan tells of the first token.
func (d *Dispatcher) streamBegan(now loop.Nanos, req *Request) {
	attempt, _ := req.Outstanding()
	req.firstTokenAt, req.lastTokenAt = now, now
	d.loop.Cancel(&req.overdueTimer)
	if req.admitted {
		d.queue.FirstToken(now, req.queueRequest, now-req.arrivedAt)
	}
	req.ReleaseState()
	d.module.StreamBegan(d.Time(now), req.ID, attempt, policy.Nanos(now-req.SentAt))
	d.checkStream(now, req)
}

// attemptEnded tells how the attempt that is out has ended; where the engine has not ended it, its stream is reset
// first, so that it is no longer out. The request may be over by this.
func (d *Dispatcher) attemptEnded(now loop.Nanos, req *Request, outcome policy.Outcome, over bool, load policy.Load) {
	attempt, out := req.Outstanding()
	if !out {
		return
	}
	d.loop.Cancel(&req.timer)
	sent := req.attempt
	lost := !req.Prefill && req.firstTokenAt == 0 && (sent == nil || !sent.Reached())
	cut := sent != nil && sent.End(now)
	// A read that was cut off may have ended all the same: what it left is released.
	cut = req.Prefill && (cut || outcome == policy.Broken || outcome == policy.Late || outcome == policy.StaleConnection)
	req.attempt, req.unread = nil, 0
	req.EndAttempt(attempt)
	if d.debug {
		d.log.Debug("attempt over", "request", string(req.ClientID), "attempt", attempt, "server", req.Server, "read", req.Prefill, "how", outcome, "sent", d.Time(req.SentAt), "took", now-req.SentAt,
			"begun", req.firstTokenAt > 0, "answered", req.Answered())
	}
	switch outcome {
	case policy.Read:
		req.HoldState(req.Server)
		req.PrefilledAt = now
	case policy.Broken:
		d.Counts.Broken++
	}
	if cut {
		d.logRelease(now, req, "the read may have ended", req.Server)
		d.exit.Release(now, req, req.Server, attempt)
	}
	d.module.AttemptEnded(d.Time(now), req.ID, attempt, outcome, policy.Nanos(now-req.SentAt), over || req.Answered(), load)
	if lost {
		since := policy.Never
		if _, held := req.StateHeld(); held {
			since = d.Time(req.PrefilledAt)
		}
		d.module.HeldSince(d.Time(now), req.ID, since)
	}
	if sent != nil {
		sent.Ended(now)
	}
}
