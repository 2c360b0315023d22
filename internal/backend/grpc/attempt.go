package grpc

import (
	"golang.org/x/net/http2"

	"docksail/internal/decide/inflight"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
)

// attempt is the attempt of a request at an engine. It is kept with the request's record and used again, for the
// request's further attempts and for later requests.
type attempt struct {
	request      *dispatch.Request
	conn         *conn      // nil = none is outstanding
	lastConn     *conn      // connection of the last attempt
	stream       *h2.Stream // nil while the attempt waits
	sent         bool
	wasThrottled bool // an attempt of the request has waited for an engine's restart throttle
}

// attemptOf returns what the backend keeps with a request.
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

// limitWait has the attempt wait for its engine's throttle, for a short time only: KV state may be held for it
// meanwhile.
func (a *attempt) limitWait(now eventloop.Nanos) {
	a.wasThrottled = true
	b, req := a.conn.backend, a.request
	b.dispatcher.SetAttemptTimer(req, min(req.SentAt+req.AttemptTimeout, now+b.keepalive.MaxHoldTime()))
}

// Finish implements dispatch.Attempt. It resets the stream if the engine has not ended it.
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

// AfterFinish implements dispatch.Attempt. The end of this attempt may let others be sent.
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

// DeliveryState implements dispatch.Attempt. What was written on a connection with keepalive counts as received: an
// engine that is cut off is noticed, and drops what it holds by itself.
func (a *attempt) DeliveryState() inflight.DeliveryState {
	switch {
	case a.stream != nil:
		return inflight.Acknowledged
	case a.conn.connected:
		return inflight.Planned
	}
	return inflight.Connecting
}

// ServerResponsive implements dispatch.Attempt. Keepalive closes the connections of an engine that is not.
func (a *attempt) ServerResponsive() bool { return a.conn != nil && a.conn.connected }
