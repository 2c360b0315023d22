package dispatch

import (
	"docksail/internal/decide/memory"
	"docksail/internal/decide/streamwatch"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// RelayTokens is called by the backend with a piece of the answer to a request. wireBytes is its size on the
// connection to the server. It reports whether the server must be paused until Attempt.CreditWindow is called.
// The request may be removed by the call.
func (d *Dispatcher) RelayTokens(now eventloop.Nanos, req *Request, piece []byte, wireBytes int) (pause bool) {
	if req.Answered() { // nobody reads it
		d.endAttempt(now, req, policy.Canceled, true, policy.NoLoadReport)
		d.removeIfDone(req)
		return false
	}
	if !req.IsStreaming() {
		d.streamStarted(now, req)
	}
	req.lastTokenAt = now
	req.relayedMessages++
	d.Counts.Messages++
	if !req.response.WriteTokens(req.ID, piece) {
		return false
	}
	req.uncreditedBytes += wireBytes
	return true
}

// StreamBytesReceived is called by the backend when bytes of a streaming answer have come, whether or not they complete
// a piece for RelayTokens.
func (d *Dispatcher) StreamBytesReceived(now eventloop.Nanos, req *Request) { req.lastByteAt = now }

// streamStarted records the first token of an answer and reports it to the admission control and the module.
func (d *Dispatcher) streamStarted(now eventloop.Nanos, req *Request) {
	attempt, _ := req.OutstandingAttempt()
	req.firstTokenAt, req.lastTokenAt = now, now
	d.loop.CancelTimer(&req.answerTimer)
	d.admission.firstTokenReceived(now, req)
	req.MarkAnswerStarted()
	req.releaseMessage() // nothing is sent for a request whose answer has begun
	req.chargeMemory(memory.RequestBytes)
	d.module.StreamStarted(d.ModuleTime(now), req.ID, attempt, policy.Nanos(now-req.StartedAt))
	d.checkStream(now, req)
}

// checkStream ends a streaming answer if the server or the client has stalled or the deadline is reached. Otherwise it
// sets the timer of the next check.
func (d *Dispatcher) checkStream(now eventloop.Nanos, req *Request) {
	verdict, nextCheck := streamwatch.Check(now, streamwatch.Stream{
		FirstTokenAt: req.firstTokenAt, LastTokenAt: req.lastTokenAt, LastByteAt: req.lastByteAt,
		CallDeadline: req.callDeadline, AnswerLeadTime: d.answerLeadTime, MaxSilence: d.maxSilence,
		ClientBlocked: req.uncreditedBytes > 0,
	})
	if verdict == streamwatch.Continue {
		d.SetAttemptTimer(req, nextCheck)
		return
	}
	if !req.Answered() {
		d.fail(req, verdict.String())
	}
	outcome := policy.TimedOut
	if verdict == streamwatch.ClientNotReading {
		outcome = policy.Canceled
	}
	d.endAttempt(now, req, outcome, true, policy.NoLoadReport)
	d.removeIfDone(req)
}
