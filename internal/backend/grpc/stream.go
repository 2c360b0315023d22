package grpc

import (
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/decide/keepalive"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/policy"
)

// messageHeaderBytes is the length of the header that precedes each message on a gRPC stream.
const messageHeaderBytes = 5

// sendWaitingAttempt sends an attempt that has waited. It finishes the attempt as not sent if its start deadline has
// passed or no further stream can be opened on the connection.
func (c *conn) sendWaitingAttempt(now eventloop.Nanos, a *attempt) {
	number, outstanding := a.request.OutstandingAttempt()
	switch {
	case !outstanding:
	case c.http2.CanOpenStream() && now < a.request.StartDeadline:
		c.sendAttempt(now, a, number)
	default:
		c.backend.dispatcher.FinishAttempt(now, a.request, policy.NotSent, "", policy.NoLoadReport)
	}
}

// sendAttempt opens the stream of an attempt and sends the request.
func (c *conn) sendAttempt(now eventloop.Nanos, a *attempt, number policy.AttemptNumber) {
	b, req := c.backend, a.request
	path, timeout := pathDecode, int64(0)
	if req.IsPrefill {
		path, timeout = pathPrefill, req.AttemptTimeLeft(now)
	}
	header, n := attemptHeader(b.dispatcher.RequestName(req.ID), number, req.TraceParent)
	s := c.http2.OpenStream(path, c.server.name, timeout, header[:n]...)
	b.scratch = b.appendAttempt(b.scratch[:0], now, req, number)
	s.UserID = uint64(req.ID)
	s.SendMessage(b.scratch, true)
	a.stream, a.sent = s, true
	b.dispatcher.SetAttemptTimer(req, max(req.StartedAt+req.AttemptTimeout, now+1))
	c.sentAttempts++
	c.scheduleFlush()
}

// sendRelease sends a release. If the connection closes before the engine has answered, StreamReset sends the release
// again on another connection.
func (c *conn) sendRelease(release pendingRelease) {
	b := c.backend
	s := c.http2.OpenStream(pathRelease, c.server.name, keepalive.ReleaseTimeout)
	b.scratch = appendAttemptID(b.scratch[:0], b.dispatcher.Incarnation(), release.request, release.attempt)
	s.UserData = release
	s.SendMessage(b.scratch, true)
	c.scheduleFlush()
}

// requestOf returns the request whose outstanding attempt uses a stream, or nil.
func (c *conn) requestOf(s *h2.Stream) *dispatch.Request {
	if s.UserID == 0 {
		return nil
	}
	req := c.backend.dispatcher.FindRequest(policy.RequestID(s.UserID))
	if req == nil || attemptOf(req).stream != s {
		return nil
	}
	return req
}

// detachStream dissociates a stream that has ended from its attempt.
func detachStream(s *h2.Stream, req *dispatch.Request) {
	s.UserID = 0
	attemptOf(req).stream = nil
}

// HeadersReceived implements h2.Handler.
func (c *conn) HeadersReceived(*h2.Stream, *h2.Header) { c.activity.PingsWithoutData = 0 }

// MessageReceived implements h2.Handler. It relays a piece of an answer to the client.
func (c *conn) MessageReceived(s *h2.Stream, p []byte) bool {
	c.activity.PingsWithoutData = 0
	req := c.requestOf(s)
	if req == nil || req.IsPrefill {
		return false
	}
	if !req.Answered() && !req.IsStreaming() {
		c.server.throttle.AnswerReceived()
		c.server.sendWaiting(c.now)
	}
	return c.backend.dispatcher.RelayTokens(c.now, req, p, len(p)+messageHeaderBytes)
}

// RequestEnded implements h2.Handler.
func (c *conn) RequestEnded(*h2.Stream) {}

// StreamFinished implements h2.Handler. The engine has ended the stream with a status.
func (c *conn) StreamFinished(s *h2.Stream, code codes.Code, _ string, trailer *h2.Header) {
	c.activity.PingsWithoutData = 0
	if release, ok := s.UserData.(pendingRelease); ok {
		s.UserData = nil
		c.server.handleReleaseStatus(release, code)
		return
	}
	req := c.requestOf(s)
	if req == nil {
		return
	}
	detachStream(s, req)
	outcome := outcomeOf(req, code)
	if outcome == policy.Prefilled {
		c.server.throttle.AnswerReceived()
	}
	c.backend.dispatcher.FinishAttempt(c.now, req, outcome, ": "+code.String(), c.backend.loadReport(trailer))
	c.scheduleFlush()
}

// outcomeOf returns the outcome of an attempt that the engine has ended with a status code.
func outcomeOf(req *dispatch.Request, code codes.Code) policy.Outcome {
	_, stateHeld := req.StateHolder()
	switch {
	case code == codes.OK && req.IsPrefill:
		return policy.Prefilled
	case code == codes.OK:
		return policy.Served
	case req.IsStreaming():
		return policy.ConnectionLost
	case code == codes.ResourceExhausted:
		return policy.Rejected
	case code == codes.FailedPrecondition && stateHeld:
		return policy.StateMissing
	case code == codes.DeadlineExceeded:
		return policy.TimedOut
	}
	return policy.Failed
}

// StreamReset implements h2.Handler. The stream was reset, or its connection is lost. If refused is true, the engine
// has not processed the stream.
func (c *conn) StreamReset(s *h2.Stream, _ http2.ErrCode, refused bool) {
	if release, ok := s.UserData.(pendingRelease); ok && c.closed {
		s.UserData = nil
		c.server.sendRelease(c.now, nil, release)
		return
	}
	req := c.requestOf(s)
	if req == nil {
		return
	}
	detachStream(s, req)
	c.backend.dispatcher.FinishAttempt(c.now, req, resetOutcome(s, refused), "", policy.NoLoadReport)
}

// resetOutcome returns the outcome of an attempt whose stream was reset or whose connection is lost. An engine does not
// begin a request that it has not received completely.
func resetOutcome(s *h2.Stream, refused bool) policy.Outcome {
	switch {
	case refused:
		return policy.Rejected
	case !s.SendClosed():
		return policy.Unreachable
	}
	return policy.ConnectionLost
}

// StreamFlushed implements h2.Handler.
func (c *conn) StreamFlushed(*h2.Stream) {}

// GoAwayReceived implements h2.Handler. The engine accepts no new streams on the connection; open streams continue.
func (c *conn) GoAwayReceived() { c.scheduleFlush() }

// PingAcked implements h2.Handler.
func (c *conn) PingAcked() {}
