package platform

import (
	"errors"
	"slices"
	"time"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// sendRound sends the release to as many servers as the round permits, first to those that have not been tried. It
// skips servers to which no connection can be opened.
func (t *releaseTracker) sendRound(now eventloop.Nanos) {
	t.nextRoundAt = now + t.decisions.RoundTimeout(t.round)
	for sent, restarted := 0, false; sent < inflight.ParallelReleases(t.round); {
		srv, tried := t.chooseServer(now)
		if srv == nil {
			break
		}
		if tried { // all were tried: start over, in this round only if no release is pending
			t.triedServers = t.triedServers[:0]
			if restarted || len(t.pending) > 0 {
				break
			}
			restarted = true
		}
		t.triedServers = append(t.triedServers, srv.id)
		if t.sendVia(now, srv) == nil {
			sent++
		}
	}
	t.round++
}

// chooseServer returns the server to which the release is sent next, or nil, and whether it was tried already.
func (t *releaseTracker) chooseServer(now eventloop.Nanos) (srv *server, tried bool) {
	b := t.backend
	for {
		b.candidates = b.candidates[:0]
		for _, srv := range b.servers {
			b.candidates = append(b.candidates, serverconn.ReleaseCandidate{
				LastHeardAt: srv.lastHeardAt,
				HasIdleConn: srv.latestIdleConn(now) != nil,
				Tried:       slices.Contains(t.triedServers, srv.id),
				Gone:        srv.health == policy.Gone,
			})
		}
		i := serverconn.SelectReleaseServer(b.candidates, t.round)
		if i < 0 {
			return nil, false
		}
		// If its idle connections turn out to be unusable, they are closed and the selection is repeated.
		if srv := b.servers[i]; !b.candidates[i].HasIdleConn || srv.usableIdleConn(now) != nil {
			return srv, b.candidates[i].Tried
		}
	}
}

// sendVia sends the release to a server. It returns an error if no connection to it can be opened.
func (t *releaseTracker) sendVia(now eventloop.Nanos, srv *server) error {
	c, err := t.backend.acquireConn(now, srv, t.backend.maxConns, true)
	if err != nil {
		return err
	}
	t.backend.Counts.ReleaseAttempts++
	if len(t.pending) >= inflight.MaxPendingReleases {
		t.cancel(t.pending[0])
	}
	c.exchange.release = t
	t.pending = append(t.pending, c)
	c.startOperation(inflight.StateRelease)
	if c.connected {
		c.writeRelease(now)
	}
	return nil
}

// writeRelease writes the release that is assigned to the connection, or cancels it if it must not be sent any more.
func (c *conn) writeRelease(now eventloop.Nanos) {
	tracker := c.exchange.release
	permission, attemptInFlight := c.backend.dispatcher.ReleasePermission(tracker.requestID)
	if err := inflight.CheckReleaseSend(permission, tracker.duringPrefill); err != nil {
		if !errors.Is(err, inflight.ErrReleaseSuperseded) {
			c.backend.recordViolation(tracker.clientID, c.server, err)
		}
		tracker.cancel(c)
		tracker.schedule(now)
		return
	}
	tracker.decisions.ReleaseStarted(attemptInFlight)
	c.beginExchange(now)
	b := c.backend.scratch[:0]
	b = append(b, "DELETE /state/"...)
	b = append(b, tracker.clientID...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.server.name...)
	b = append(b, "\r\n\r\n"...)
	c.backend.scratch = b
	c.socket.Write(b)
}

// handleResponse handles a server's response to a release. Only a 2xx status confirms that the state is released.
func (t *releaseTracker) handleResponse(now eventloop.Nanos, c *conn, statusCode int) {
	b := t.backend
	t.removePending(c)
	if statusCode/100 != 2 {
		b.Counts.ReleasesRefused++
		b.log.Info("release refused", "request_id", string(t.clientID), "server_id", c.server.name, "status", statusCode)
		t.schedule(now)
		return
	}
	t.recordAccepted(now, c)
	t.decisions.ReleaseAccepted(c.exchange.sentAt)
	t.cancelPending()
	t.round, t.triedServers, t.nextRoundAt = 0, t.triedServers[:0], 0
	t.run(now)
	b.loop.SkipNextWait()
}

// recordAccepted counts and logs that a server has accepted a release.
func (t *releaseTracker) recordAccepted(now eventloop.Nanos, c *conn) {
	b := t.backend
	due, held := t.decisions.ReleasePending(), t.decisions.HeldFor(now)
	if due {
		b.Counts.ReleaseSlowest = max(b.Counts.ReleaseSlowest, held)
	} else {
		b.Counts.ReleasesRepeated++
	}
	if due && held > b.releaseTime+inflight.HoldTolerance {
		b.Counts.ReleasesLate++
		b.log.Warn("release late", "request_id", string(t.clientID), "server_id", c.server.name,
			"held", time.Duration(held), "tries", len(t.triedServers))
	}
	if b.debug {
		b.log.Debug("release accepted", "request_id", string(t.clientID), "server_id", c.server.name,
			"held", time.Duration(held), "tries", len(t.triedServers), "due", due)
	}
}

// handleConnLost handles the loss of a connection that carried a release. Other servers are tried in the next round,
// which begins at once if no release is pending and not all servers were tried.
func (t *releaseTracker) handleConnLost(now eventloop.Nanos, c *conn) {
	t.removePending(c)
	if len(t.pending) == 0 && len(t.triedServers) < len(t.backend.servers) {
		t.nextRoundAt = now
	}
	t.schedule(now)
}

// cancelPending cancels all pending releases.
func (t *releaseTracker) cancelPending() {
	for len(t.pending) > 0 {
		t.cancel(t.pending[0])
	}
}

// cancel cancels a pending release and closes its connection.
func (t *releaseTracker) cancel(c *conn) {
	t.removePending(c)
	c.abandonAndClose()
}

// removePending removes a connection from the pending ones, if it is one of them.
func (t *releaseTracker) removePending(c *conn) {
	if i := slices.Index(t.pending, c); i >= 0 {
		t.pending = slices.Delete(t.pending, i, i+1)
	}
}
