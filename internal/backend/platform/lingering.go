package platform

import (
	"slices"

	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
)

// linger keeps the connection of an abandoned attempt open, but closes its output, which tells the server that the
// attempt is abandoned. Data from the server, or its closing of the connection, then confirms that it has ended the
// attempt.
func (c *conn) linger(now eventloop.Nanos, tracker *releaseTracker) {
	c.lingerTracker, c.abandonedAt = tracker, now
	c.backend.loop.CancelTimer(&c.timer)
	c.socket.SetReadPaused(false)
	c.socket.CloseWriteAfterFlush()
	tracker.lingering = append(tracker.lingering, c)
	tracker.decisions.WatchedAttemptAbandoned(now, now+c.backend.maxClassTimeout)
	tracker.schedule(now)
}

// handleLingeringClosed handles the loss of a lingering connection that the server did not close cleanly.
func (c *conn) handleLingeringClosed(now eventloop.Nanos) {
	if c.lingerTracker.decisions.ConfirmsEnd(now, c.abandonedAt, inflight.ConnReset) {
		c.confirmEnd(now)
		return
	}
	c.dropLingering(now, "connection lost")
}

// confirmEnd records that the server has ended the abandoned attempt, and closes the connection.
func (c *conn) confirmEnd(now eventloop.Nanos) {
	tracker := c.lingerTracker
	c.stopLingering()
	c.backend.Counts.Confirmed++
	c.backend.logDeliveryState(tracker.clientID, c, inflight.Abandoned, inflight.Completed)
	tracker.decisions.EndConfirmed(now)
	tracker.schedule(now)
}

// dropLingering closes a lingering connection although the end of the attempt is not confirmed.
func (c *conn) dropLingering(now eventloop.Nanos, reason string) {
	tracker := c.lingerTracker
	c.stopLingering()
	c.backend.Counts.Unconfirmed++
	if c.backend.debug {
		c.backend.log.Debug("end of attempt not confirmed", "request_id", string(tracker.clientID),
			"server_id", c.server.name, "conn", c.number, "reason", reason)
	}
	tracker.decisions.WatchLost()
	tracker.schedule(now)
}

// stopLingering removes the connection from its tracker and closes it.
func (c *conn) stopLingering() {
	tracker := c.lingerTracker
	c.lingerTracker = nil
	if i := slices.Index(tracker.lingering, c); i >= 0 {
		tracker.lingering = slices.Delete(tracker.lingering, i, i+1)
	}
	c.close()
}
