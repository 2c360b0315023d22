package platform

import (
	"time"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
	"docksail/policy"
)

// exchange is one message to a server, an attempt or a release, and the response to it.
type exchange struct {
	request   *dispatch.Request  // of the attempt in progress, or nil
	release   *releaseTracker    // of the release in progress, or nil
	operation inflight.Operation // the current or the last one
	sentAt    eventloop.Nanos    // when the message was queued
	written   bool               // the operating system has accepted the whole message
	response  response
}

// inProgress reports whether the exchange carries an attempt or a release.
func (e *exchange) inProgress() bool { return e.request != nil || e.release != nil }

// clientID returns the client's name for the request that the exchange belongs to, or nil if none is in progress.
func (e *exchange) clientID() []byte {
	switch {
	case e.request != nil:
		return e.request.ClientRequestID
	case e.release != nil:
		return e.release.clientID
	}
	return nil
}

// startOperation assigns an operation to the connection, which may be up or connecting.
func (c *conn) startOperation(kind inflight.OperationKind) {
	c.exchange.operation = inflight.NewOperation(kind)
	if !c.connected {
		c.advance(inflight.Connecting)
	}
}

// beginExchange prepares the connection for the message that is written next and for its response.
func (c *conn) beginExchange(now eventloop.Nanos) {
	c.useCount++
	if c.useCount > 1 {
		c.backend.Counts.IdleBeforeReuse.add(now - c.idleSince)
	}
	c.advance(inflight.Sending)
	c.exchange.sentAt, c.exchange.written = now, false
	c.exchange.response.reset()
}

// advance records that the operation has reached a state. An invalid transition is counted and logged.
func (c *conn) advance(to inflight.DeliveryState) {
	from := c.exchange.operation.State()
	clientID := c.exchange.clientID()
	if err := c.exchange.operation.Advance(to); err != nil {
		c.backend.recordViolation(clientID, c.server, err)
		return
	}
	c.backend.logDeliveryState(clientID, c, from, to)
}

// abandon records that this side ends the operation. The operation is complete if the server cannot have received it;
// otherwise the server may still work on it.
func (c *conn) abandon() {
	operation := &c.exchange.operation
	switch {
	case !c.exchange.inProgress() || operation.State() == inflight.Completed:
	case operation.MayHaveBeenReceived():
		c.advance(inflight.Abandoned)
	default:
		c.advance(inflight.Completed)
	}
}

// abandonAndClose abandons the exchange and closes the connection.
func (c *conn) abandonAndClose() {
	c.abandon()
	c.exchange.request, c.exchange.release = nil, nil
	c.close()
}

// exchangeFailure is the cause of a failed exchange.
type exchangeFailure uint8

const (
	connectionLost exchangeFailure = iota
	invalidResponse
)

// failExchange ends the exchange whose connection was lost or whose response is invalid, and closes the connection.
func (c *conn) failExchange(now eventloop.Nanos, failure exchangeFailure) {
	req, tracker := c.exchange.request, c.exchange.release
	c.abandonAndClose()
	switch {
	case req != nil:
		c.failAttempt(now, req, failure)
	case tracker != nil:
		tracker.handleConnLost(now, c)
	}
}

// failAttempt reports the end of an attempt whose connection was lost or whose response is invalid.
func (c *conn) failAttempt(now eventloop.Nanos, req *dispatch.Request, failure exchangeFailure) {
	outcome := policy.ConnectionLost
	if failure == connectionLost {
		outcome = c.lostOutcome(now)
	}
	if failure == connectionLost && outcome != policy.StaleConnection {
		c.backend.log.Info("attempt connection lost", "server_id", c.server.name, "connected", c.connected,
			"written", c.exchange.written, "streaming", req.IsStreaming(), "duration", time.Duration(now-c.exchange.sentAt),
			"idle_before", time.Duration(c.exchange.sentAt-c.idleSince), "use_count", c.useCount)
	}
	if c.exchange.operation.MayContinueOnServer(req.IsStreaming()) {
		c.trackLostAttempt(now, req)
	}
	c.backend.dispatcher.FinishAttempt(now, req, outcome, "", c.exchange.response.loadReport)
	c.backend.loop.SkipNextWait()
}

// lostOutcome returns the outcome of an attempt whose connection was lost, and counts it if the connection was stale.
func (c *conn) lostOutcome(now eventloop.Nanos) policy.Outcome {
	e := &c.exchange
	lost := serverconn.LostConn{
		UseCount:         c.useCount,
		RequestSent:      e.written,
		ResponseStarted:  e.response.started,
		LostAfterSending: now - e.sentAt,
	}
	switch {
	case c.backend.connPolicy.IsStale(lost):
		c.backend.Counts.StaleConnections++
		c.backend.Counts.IdleBeforeStale.add(e.sentAt - c.idleSince)
		return policy.StaleConnection
	case !e.written:
		return policy.Unreachable
	}
	return policy.ConnectionLost
}

// connReuse tells whether a connection may carry another exchange after a complete response.
type connReuse uint8

const (
	connReusable    connReuse = iota
	connNotReusable           // more input or the end of input followed the response
)

// reuseAfter returns whether a connection is reusable when remaining bytes of input follow a complete response.
func reuseAfter(remaining int) connReuse {
	if remaining > 0 {
		return connNotReusable
	}
	return connReusable
}

// finishExchange ends the exchange whose response is complete.
func (c *conn) finishExchange(now eventloop.Nanos, reuse connReuse) {
	req, tracker := c.exchange.request, c.exchange.release
	head := &c.exchange.response.decoder.Head
	// The head is read first, as the connection may be reused before the outcome is reported.
	result := attemptResult{
		statusCode: head.StatusCode,
		rejected:   head.Get("x-turned-away") != nil,
		isStream:   c.exchange.response.isStream,
		streaming:  req != nil && req.IsStreaming(),
	}
	c.advance(inflight.Completed)
	c.exchange.request, c.exchange.release = nil, nil
	c.reuseOrClose(now, reuse, head)
	if tracker != nil {
		tracker.handleResponse(now, c, result.statusCode)
		return
	}
	c.finishAttempt(now, req, result)
}

// reuseOrClose returns the connection to the pool after a complete response, or closes it.
func (c *conn) reuseOrClose(now eventloop.Nanos, reuse connReuse, head *h1.Head) {
	if reuse == connReusable && c.exchange.written && !head.Close {
		c.becomeIdle(now)
		return
	}
	if reuse == connNotReusable {
		c.backend.Counts.ExtraBytes++
	}
	c.close()
}
