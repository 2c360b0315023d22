package grpc

import (
	"golang.org/x/net/http2"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/keepalive"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
)

// attempt holds the state of a request's outstanding attempt at an engine. It is the BackendState of the request's
// record, and is reused for the request's further attempts and for later requests.
type attempt struct {
	request      *dispatch.Request
	conn         *conn      // nil = no attempt is outstanding
	lastConn     *conn      // connection of the last finished attempt
	stream       *h2.Stream // nil while the attempt waits and once the engine has ended the stream
	sent         bool
	wasThrottled bool // an attempt of the request has waited for an engine's restart throttle
}

// attemptOf returns the attempt in the BackendState of a request, which it creates if necessary.
func attemptOf(req *dispatch.Request) *attempt {
	if a, ok := req.BackendState.(*attempt); ok {
		return a
	}
	a := &attempt{request: req}
	req.BackendState = a
	return a
}

// Reset implements dispatch.BackendState.
func (a *attempt) Reset() { *a = attempt{request: a.request} }

// limitThrottleWait bounds the time for which the attempt waits for its engine's throttle. It is short, as KV state
// may be held for the attempt meanwhile.
func (a *attempt) limitThrottleWait(now eventloop.Nanos) {
	a.wasThrottled = true
	b, req := a.conn.backend, a.request
	b.dispatcher.SetAttemptTimer(req, min(req.StartedAt+req.AttemptTimeout, now+keepalive.MaxThrottleWait))
}

// Finish implements dispatch.Attempt. It resets the stream if the engine has not ended it, and reports whether it did
// so.
func (a *attempt) Finish(now eventloop.Nanos) bool {
	c, canceled := a.conn, a.stream != nil
	if canceled {
		a.stream.UserID = 0
		a.stream.Reset(http2.ErrCodeCancel)
	}
	c.activity.StreamCount--
	if a.sent {
		c.sentAttempts--
	}
	c.activity.LastUsedAt = now
	c.scheduleFlush()
	a.conn, a.lastConn, a.stream, a.sent = nil, c, nil, false
	return canceled
}

// AfterFinish implements dispatch.Attempt. It sends waiting attempts that the end of this one allows.
func (a *attempt) AfterFinish(now eventloop.Nanos) {
	if c := a.lastConn; c != nil && len(c.waiting) > 0 {
		c.server.sendWaiting(now)
	}
}

// CreditWindow implements dispatch.Attempt.
func (a *attempt) CreditWindow(bytes int) {
	if a.stream != nil {
		a.stream.CreditWindow(bytes)
		a.conn.scheduleFlush()
	}
}

// DeliveryState implements dispatch.Attempt. An attempt that was written counts as received: keepalive detects an
// engine that cannot be reached, and such an engine drops its held state after its own timeout.
func (a *attempt) DeliveryState() inflight.DeliveryState {
	switch {
	case a.stream != nil && !a.stream.SendClosed(): // it waits for flow control or a blocked socket
		return inflight.Sending
	case a.stream != nil:
		return inflight.Acknowledged
	case a.sent: // the engine has ended the stream, or its connection is lost
		return inflight.Completed
	case a.conn.connected:
		return inflight.Planned
	}
	return inflight.Connecting
}

// ServerResponsive implements dispatch.Attempt. An engine with an open connection counts as responsive, as keepalive
// closes the connections of one that is not.
func (a *attempt) ServerResponsive() bool { return a.conn != nil && a.conn.connected }
