package grpc

import (
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/policy"
)

// conn is one connection to an engine. It implements eventloop.Handler here and h2.Handler in stream.go.
type conn struct {
	backend   *Backend
	server    *server
	transport *eventloop.Conn
	http2     *h2.Conn
	now       eventloop.Nanos // time of the event that is being handled

	connected      bool
	closed         bool
	closedUnused   bool // keepalive closed it because it was unused
	retired        bool // takes no further attempts, as the engine's address has changed
	flushScheduled bool

	sentAttempts int                // outstanding attempts that have been sent
	waiting      []policy.RequestID // attempts that wait for the connection or for the engine's throttle
	activity     keepalive.ConnStatus
	timer        eventloop.Timer
	onKeepalive  func(eventloop.Nanos) // checkKeepalive
}

// status returns the status by which package keepalive decides.
func (c *conn) status() keepalive.ConnStatus {
	status := c.activity
	status.Ready = c.connected && !c.retired && c.http2.CanOpenStream()
	status.Connecting = !c.connected && !c.closed && !c.retired
	return status
}

// scheduleFlush makes the next Backend.Flush queue the connection's output on its socket.
func (c *conn) scheduleFlush() {
	if !c.flushScheduled && !c.closed {
		c.flushScheduled = true
		c.backend.unflushed = append(c.backend.unflushed, c)
	}
}

func (c *conn) flush() {
	if c.closed {
		return
	}
	if c.connected && c.http2.HasOutput() {
		c.transport.Write(c.http2.TakeOutput())
	}
	if c.http2.Err() != nil {
		c.transport.CloseAfterFlush()
	} else if c.transport.QueuedBytes() > pauseOutputBytes {
		c.http2.SetOutputPaused(true)
	}
}

// checkKeepalive pings or closes the connection if package keepalive decides so, and sets the timer of the next check.
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
		c.transport.Close()
		return
	case keepalive.CloseUnused:
		c.closedUnused = true
		c.transport.Close()
		return
	}
	b.loop.SetTimer(&c.timer, nextCheck, c.onKeepalive)
}

// finishWaiting finishes the attempts that wait on the connection with an outcome. None of them was sent.
func (c *conn) finishWaiting(now eventloop.Nanos, outcome policy.Outcome) {
	waiting := c.waiting
	c.waiting = nil
	for _, id := range waiting {
		if a := c.backend.findWaiting(c, id); a != nil {
			c.backend.dispatcher.FinishAttempt(now, a.request, outcome, "", policy.NoLoadReport)
		}
	}
}

// Opened implements eventloop.Handler. It sends the attempts and releases that waited for the connection.
func (c *conn) Opened(now eventloop.Nanos) {
	c.now, c.connected, c.activity.LastReceivedAt = now, true, now
	c.server.sendWaiting(now)
	for _, id := range c.waiting { // these wait for the throttle
		if a := c.backend.findWaiting(c, id); a != nil {
			a.limitThrottleWait(now)
		}
	}
	c.server.sendPendingReleases(c)
	c.scheduleFlush()
	c.backend.loop.SetTimer(&c.timer, now+c.backend.keepalive.PingTimeout, c.onKeepalive)
}

// Received implements eventloop.Handler.
func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.now, c.activity.LastReceivedAt = now, now
	_ = c.http2.Feed(now, p) // flush closes the connection after an error
	c.scheduleFlush()
}

// PeerHalfClosed implements eventloop.Handler.
func (c *conn) PeerHalfClosed(eventloop.Nanos) { c.transport.Close() }

// OutputFlushed implements eventloop.Handler.
func (c *conn) OutputFlushed(now eventloop.Nanos) {
	c.now = now
	c.http2.SetOutputPaused(false)
	c.flush()
}

// Closed implements eventloop.Handler. The connection has ended or could not be established.
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
