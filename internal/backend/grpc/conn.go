package grpc

import (
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/policy"
)

// conn is one connection to an engine. It implements eventloop.Handler here and h2.Handler in stream.go.
type conn struct {
	backend *Backend
	server  *server
	conn    *eventloop.Conn
	http2   *h2.Conn
	now     eventloop.Nanos // time of the event that is being handled

	connected    bool
	closed       bool
	closedUnused bool // keepalive closed it because nothing used it
	retired      bool // the engine has another address now: no more attempts
	flushPending bool

	sentAttempts int                // outstanding attempts that have been sent
	waiting      []policy.RequestID // attempts that wait for the connection or for the engine's throttle
	activity     keepalive.ConnStatus
	timer        eventloop.Timer
	onKeepalive  func(eventloop.Nanos)
}

// status returns what keepalive decides by.
func (c *conn) status() keepalive.ConnStatus {
	status := c.activity
	status.Ready = c.connected && !c.retired && c.http2.CanOpenStream()
	status.Connecting = !c.connected && !c.closed && !c.retired
	return status
}

// scheduleFlush has the output of the connection written at the end of this iteration of the loop.
func (c *conn) scheduleFlush() {
	if !c.flushPending && !c.closed {
		c.flushPending = true
		c.backend.unflushed = append(c.backend.unflushed, c)
	}
}

func (c *conn) flush() {
	if c.closed {
		return
	}
	if c.connected && c.http2.HasOutput() {
		c.conn.Write(c.http2.TakeOutput())
	}
	if c.http2.Err() != nil {
		c.conn.CloseAfterFlush()
	} else if c.conn.QueuedBytes() > pauseOutputBytes {
		c.http2.SetOutputPaused(true)
	}
}

// checkKeepalive pings or closes the connection if keepalive says so, and sets the timer of the next check.
func (c *conn) checkKeepalive(now eventloop.Nanos) {
	if c.closed {
		return
	}
	b := c.backend
	verdict, nextCheck := b.keepalive.Check(now, c.status())
	switch verdict {
	case keepalive.KeepConn:
	case keepalive.SendPing:
		b.dispatcher.Counts.Pings++
		c.activity.LastPingAt = now
		c.activity.PingsWithoutData++
		c.http2.Ping()
		c.scheduleFlush()
	case keepalive.CloseDead:
		b.dispatcher.Counts.DeadConnections++
		b.log.Warn("keepalive failed", "server_id", c.server.id, "attempts", c.activity.StreamCount)
		c.conn.Close()
		return
	case keepalive.CloseUnused:
		c.closedUnused = true
		c.conn.Close()
		return
	}
	b.loop.SetTimer(&c.timer, nextCheck, c.onKeepalive)
}

// finishWaiting ends the attempts that wait on the connection. None of them was sent.
func (c *conn) finishWaiting(now eventloop.Nanos, outcome policy.Outcome) {
	waiting := c.waiting
	c.waiting = nil
	for _, id := range waiting {
		if a := c.backend.findWaiting(c, id); a != nil {
			c.backend.dispatcher.FinishAttempt(now, a.request, outcome, "", policy.NoLoadReport)
		}
	}
}

// Opened implements eventloop.Handler: the connection is up.
func (c *conn) Opened(now eventloop.Nanos) {
	c.now, c.connected, c.activity.LastReceivedAt = now, true, now
	c.server.sendWaiting(now)
	for _, id := range c.waiting { // the throttle holds these back
		if a := c.backend.findWaiting(c, id); a != nil {
			a.limitWait(now)
		}
	}
	c.server.sendPendingReleases(c)
	c.scheduleFlush()
	c.backend.loop.SetTimer(&c.timer, now+c.backend.keepalive.LatencyTarget, c.onKeepalive)
}

// Received implements eventloop.Handler.
func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.now, c.activity.LastReceivedAt = now, now
	_ = c.http2.Feed(now, p) // flush looks at the error
	c.scheduleFlush()
}

// PeerHalfClosed implements eventloop.Handler.
func (c *conn) PeerHalfClosed(eventloop.Nanos) { c.conn.Close() }

// OutputFlushed implements eventloop.Handler.
func (c *conn) OutputFlushed(now eventloop.Nanos) {
	c.now = now
	c.http2.SetOutputPaused(false)
	c.flush()
}

// Closed implements eventloop.Handler: the connection is gone or could not be made.
func (c *conn) Closed(now eventloop.Nanos, err error) {
	c.now, c.closed = now, true
	c.backend.loop.CancelTimer(&c.timer)
	c.server.removeConn(c)
	if !c.connected {
		c.backend.log.Info("connect failed", "server_id", c.server.id, "error", err)
		c.server.dropPendingReleases()
	}
	c.finishWaiting(now, policy.Unreachable)
	c.connected = false
	c.http2.TransportClosed()
}
