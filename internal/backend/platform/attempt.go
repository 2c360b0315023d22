package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/memory"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// StartAttempt implements dispatch.Backend. A prefill attempt waits until no release of the request is pending, since
// a release that reaches the server after the attempt would also release the attempt's state.
func (b *Backend) StartAttempt(
	now eventloop.Nanos, req *dispatch.Request, _ policy.AttemptNumber,
) dispatch.Attempt {
	if tracker := b.releaseTrackers[req.ID]; tracker != nil && req.IsPrefill && tracker.releasePending() {
		tracker.waiting.request = req
		tracker.schedule(now) // deferred: the dispatcher records the attempt after this call
		return &tracker.waiting
	}
	if c := b.sendAttempt(now, req); c != nil {
		return c
	}
	return nil
}

// sendAttempt sends the request's attempt to its server and returns the connection that carries it. It returns nil if
// the attempt cannot be sent: there is no connection, or the server has begun to drain while the attempt waited.
func (b *Backend) sendAttempt(now eventloop.Nanos, req *dispatch.Request) *conn {
	srv := b.byID[req.Server]
	if srv == nil || srv.health != policy.Serving {
		return nil
	}
	c, err := b.acquireConn(now, srv, serverconn.MaxAttemptConns(b.maxConns),
		serverconn.MayUseIdleConn(req.ConsecutiveStaleConns))
	if err != nil {
		return nil
	}
	c.exchange.request = req
	kind := inflight.DecodeAttempt
	if req.IsPrefill {
		kind = inflight.PrefillAttempt
	}
	c.startOperation(kind)
	c.armEarlyRelease(now)
	if c.connected {
		if err := c.writeAttempt(now); err != nil {
			return nil
		}
	}
	return c
}

// armEarlyRelease sets the timer that releases the state which the attempt needs, unless the attempt is acknowledged by
// then.
func (c *conn) armEarlyRelease(now eventloop.Nanos) {
	at, due := c.exchange.request.EarlyReleaseTime(c.exchange.operation.State(), c.backend.releaseTime)
	if due {
		c.backend.loop.SetTimer(&c.timer, max(at, now+1), c.onTimer)
	}
}

// writeAttempt writes the request as its client sent it. If it must not be sent any more, writeAttempt closes the
// connection and returns the reason.
func (c *conn) writeAttempt(now eventloop.Nanos) error {
	req := c.exchange.request
	if err := c.checkSend(now); err != nil {
		if !errors.Is(err, inflight.ErrStartDeadlinePassed) {
			c.backend.recordViolation(req.ClientRequestID, c.server, err)
		}
		c.abandonAndClose()
		return err
	}
	c.beginExchange(now)
	b := c.backend.scratch[:0]
	b = append(b, "POST "...)
	b = append(b, req.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.server.name...)
	b = append(b, "\r\nContent-Type: application/json\r\nX-Txn: "...)
	b = append(b, req.ClientRequestID...)
	b = append(b, "\r\n"...)
	b = append(b, req.Header...)
	b = append(b, "X-Remaining: "...)
	b = appendSeconds(b, req.AttemptTimeLeft(now))
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(req.Raw)), 10)
	b = append(b, "\r\n\r\n"...)
	if !memory.IsLarge(len(req.Raw)) {
		b = append(b, req.Raw...)
	}
	c.backend.scratch = b
	c.socket.Write(b)
	if memory.IsLarge(len(req.Raw)) {
		c.socket.WriteShared(req.Raw)
	}
	return nil
}

// appendSeconds appends a duration in seconds with three decimals, rounded up.
func appendSeconds(b []byte, d eventloop.Nanos) []byte {
	ms := (d + 1e6 - 1) / 1e6
	b = strconv.AppendInt(b, ms/1000, 10)
	return append(b, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
}

// checkSend returns why the attempt must not be sent now, or nil.
func (c *conn) checkSend(now eventloop.Nanos) error {
	req := c.exchange.request
	tracker := c.backend.releaseTrackers[req.ID]
	return req.CheckSend(inflight.SendConditions{
		Now:             now,
		StartDeadline:   req.StartDeadline,
		ServerServing:   c.server.health == policy.Serving,
		ReleaseInFlight: tracker != nil && len(tracker.pending) > 0 && !tracker.duringPrefill,
	})
}

// attemptResult describes the complete response to an attempt.
type attemptResult struct {
	statusCode int
	rejected   bool // the server reports that it has not run the request
	isStream   bool
	streaming  bool // events of the stream have been relayed
}

// outcome returns the outcome of the attempt.
func (r attemptResult) outcome(prefill bool) policy.Outcome {
	switch {
	case r.isStream && r.streaming:
		return policy.Served
	case r.isStream: // the stream ended before its first event
		return policy.ConnectionLost
	case r.statusCode == http.StatusAccepted && prefill:
		return policy.Prefilled
	case r.statusCode == http.StatusGone && r.rejected && !prefill:
		return policy.StateMissing
	case (r.statusCode == http.StatusServiceUnavailable || r.statusCode == http.StatusGatewayTimeout) && r.rejected:
		return policy.Rejected
	}
	return policy.Failed
}

// refusesRequest reports whether the server found the request itself invalid, as any other server would.
func (r attemptResult) refusesRequest() bool {
	return !r.isStream && (r.statusCode == http.StatusBadRequest || r.statusCode == http.StatusNotFound)
}

// finishAttempt reports the end of an attempt whose response is complete.
func (c *conn) finishAttempt(now eventloop.Nanos, req *dispatch.Request, result attemptResult) {
	if result.refusesRequest() {
		c.backend.log.Warn("request refused by server", "server_id", c.server.name, "status", result.statusCode)
		c.backend.dispatcher.FailInvalidRequest(now, req, "the server cannot use the request")
		return
	}
	outcome := result.outcome(req.IsPrefill)
	if outcome == policy.Prefilled {
		c.recordCachedTokens(req)
	}
	c.backend.dispatcher.FinishAttempt(now, req, outcome, "", c.exchange.response.loadReport)
}

// recordCachedTokens counts how many tokens of a prompt the server had cached, if the response to the prefill attempt
// states a valid number.
func (c *conn) recordCachedTokens(req *dispatch.Request) {
	var body struct {
		CachedTokens *int64 `json:"cached_tokens"`
	}
	if json.Unmarshal(c.exchange.response.buffered, &body) != nil || body.CachedTokens == nil {
		return
	}
	cached, r := *body.CachedTokens, req.PolicyRequest()
	if cached < 0 || cached > r.PromptTokens {
		return
	}
	c.backend.Counts.PrefixCache.recordPrefill(r.PromptTokens, r.PrefixTokens, req.ExpectedCachedTokens, cached)
	if c.backend.debug {
		c.backend.log.Debug("prefill completed", "request_id", string(req.ClientRequestID), "server_id", c.server.name,
			"prefix", r.Prefix, "session", r.Session, "prompt_tokens", r.PromptTokens, "prefix_tokens", r.PrefixTokens,
			"expected_cached_tokens", req.ExpectedCachedTokens, "cached_tokens", cached)
	}
}

// trackLostAttempt tracks an attempt whose connection was lost, since its server may still run it.
func (c *conn) trackLostAttempt(now eventloop.Nanos, req *dispatch.Request) {
	if tracker := c.backend.trackerFor(req); tracker != nil {
		tracker.decisions.AttemptAbandoned(now, now+c.backend.maxClassTimeout)
		tracker.schedule(now)
	}
}

// Finish implements dispatch.Attempt. It abandons an attempt that is still in progress and closes the connection or
// only its output, by which the server learns that the attempt is canceled.
func (c *conn) Finish(now eventloop.Nanos) (mayHaveBeenReceived bool) {
	req := c.exchange.request
	if req == nil {
		return false
	}
	operation := &c.exchange.operation
	mayHaveBeenReceived = operation.MayHaveBeenReceived()
	closeMode := operation.CloseMode(c.exchange.response.started, req.IsStreaming())
	c.abandon()
	c.exchange.request = nil
	var tracker *releaseTracker
	if closeMode == inflight.AwaitPeerClose {
		tracker = c.backend.trackerFor(req)
	}
	if tracker != nil {
		c.linger(now, tracker)
	} else {
		c.close()
	}
	if c.connected && serverconn.ShouldCloseIdleConns(c.exchange.sentAt, c.server.lastHeardAt) {
		c.server.closeIdleConns()
	}
	return mayHaveBeenReceived
}

// AfterFinish implements dispatch.Attempt.
func (c *conn) AfterFinish(eventloop.Nanos) {}

// CreditWindow implements dispatch.Attempt: it resumes reading the server's output.
func (c *conn) CreditWindow(int) {
	if !c.removed {
		c.socket.SetReadPaused(false)
	}
}

// DeliveryState implements dispatch.Attempt.
func (c *conn) DeliveryState() inflight.DeliveryState { return c.exchange.operation.State() }

// ServerResponsive implements dispatch.Attempt.
func (c *conn) ServerResponsive() bool {
	return c.DeliveryState() >= inflight.Sending && c.server.lastHeardAt > c.exchange.sentAt
}
