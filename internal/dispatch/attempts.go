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
	switch decision.Verb {
	case policy.Wake:
		d.loop.At(&d.wakeTimer, now+eventloop.Nanos(decision.For), d.onWake)
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
		no := frontend.Refusal{Reason: "no engine could take it in time"}
		if d.unsentIndex(req.ID) >= 0 {
			d.queue.NotSent()
		}
		no.RetryAfter = min(int64(decision.For), d.maxRetryAfter)
		if decision.For > 0 && !d.direct { // that at least; the admission queue books a place
			no = d.refusal(no.Reason, false, d.queue.RetryAfter(now, req.queueRequest, eventloop.Nanos(decision.For)))
		}
		d.answer(req, func() { req.call.Reject(req.ID, no) }, &d.Counts.Rejected)
	case policy.Fail:
		d.answer(req, func() { req.call.Fail(req.ID, "its time is up") }, &d.Counts.Failed)
	case policy.Release:
		d.releaseHeld(now, req, "decided")
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", decision.Verb))
	}
	d.dropIfDone(req)
}

// attempt sends a request to a server.
func (d *Dispatcher) sendAttempt(now eventloop.Nanos, req *Request, to policy.ServerID, within int64) {
	reads, known := d.exit.IsPrefill(to)
	kind := inflight.Write
	if reads {
		kind = inflight.Read
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
		d.queue.Sent(now, req.queueRequest)
	}
	req.Server, req.SentAt, req.Timeout, req.attempt = to, now, within, nil
	req.Prefill = reads
	if known {
		req.mayHaveRun = req.mayHaveRun || !req.Prefill
		d.loop.At(&req.timer, now+within, req.onTimer)
		req.attempt = d.exit.Send(now, req, attempt)
	}
	if req.attempt == nil {
		d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoad)
	}
}

// logRelease logs why the state of a request is released, and how long ago its last read ended.
func (d *Dispatcher) logRelease(now eventloop.Nanos, req *Request, why string, at policy.ServerID) {
	if !d.debug {
		return
	}
	d.log.Debug("release", "request", string(req.ClientID), "why", why, "server", at, "since_read", now-req.PrefilledAt, "answered", req.Answered())
}

// timerDue is the timer of a request: its attempt's time, or, once the answer streams, the time to look at it.
func (req *Request) timerDue(now eventloop.Nanos) {
	d := req.d
	if req.firstTokenAt == 0 {
		if _, out := req.Outstanding(); out {
			d.Counts.TimedOut++
			outcome := policy.Late
			switch req.attempt.Stage() {
			case inflight.Planned: // others stood before it
				outcome = policy.NotSent
			case inflight.Connecting:
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
func (d *Dispatcher) checkStream(now eventloop.Nanos, req *Request) {
	t := &d.classTimes[req.class]
	verdict, again := streamwatch.Check(now, streamwatch.Stream{
		FirstAt: req.firstTokenAt, LastAt: req.lastTokenAt, TokenGap: t.tokenGap, Target: t.target,
		CallEnds: req.callEnds, AnswerAhead: d.answerAhead, SilenceLimit: d.silenceLimit, Unread: req.unread > 0,
	})
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
func (d *Dispatcher) streamBegan(now eventloop.Nanos, req *Request) {
	attempt, _ := req.Outstanding()
	req.firstTokenAt, req.lastTokenAt = now, now
	d.loop.Cancel(&req.overdueTimer)
	if req.admitted {
		d.queue.FirstToken(now, req.queueRequest, now-req.arrivedAt)
	}
	req.Begun()
	d.module.StreamBegan(d.Time(now), req.ID, attempt, policy.Nanos(now-req.SentAt))
	d.checkStream(now, req)
}

// attemptEnded tells how the attempt that is out has ended; where the engine has not ended it, its stream is reset
// first, so that it is no longer out. The request may be over by this.
func (d *Dispatcher) attemptEnded(now eventloop.Nanos, req *Request, outcome policy.Outcome, over bool, load policy.Load) {
	attempt, out := req.Outstanding()
	if !out {
		return
	}
	d.loop.Cancel(&req.timer)
	sent, stage := req.attempt, req.stage()
	written := sent != nil && sent.End(now)
	req.attempt, req.unread = nil, 0
	ending, err := req.EndAttempt(now, attempt, outcome, req.Server, stage, written)
	if err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("end of an attempt refused", "request", req.ID, "err", err)
	}
	if d.debug {
		d.log.Debug("attempt over", "request", string(req.ClientID), "attempt", attempt, "server", req.Server, "read", req.Prefill, "how", outcome, "stage", stage, "sent", d.Time(req.SentAt), "took", now-req.SentAt,
			"begun", req.firstTokenAt > 0, "answered", req.Answered())
	}
	if req.Stale++; outcome != policy.StaleConnection {
		req.Stale = 0
	}
	switch outcome {
	case policy.Read:
		req.PrefilledAt = now
	case policy.Broken:
		d.Counts.Broken++
	}
	if ending.Release {
		d.logRelease(now, req, "the attempt may have left it", req.Server)
		d.exit.Release(now, req, req.Server, attempt, now)
	}
	d.module.AttemptEnded(d.Time(now), req.ID, attempt, outcome, policy.Nanos(now-req.SentAt), over || req.Answered(), load)
	switch {
	case ending.Lost:
		d.module.HeldSince(d.Time(now), req.ID, policy.Never)
	case ending.ClockRuns:
		d.module.HeldSince(d.Time(now), req.ID, d.Time(ending.Since))
	}
	if sent != nil {
		sent.Ended(now)
	}
}
