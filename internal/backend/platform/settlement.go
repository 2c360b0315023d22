package platform

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
	"slices"
)

// releaseTracker carries out what effects.Settlement decides for one request: it sends releases, and watches the connections of
// attempts that were given up for their end. It outlives the request.
type releaseTracker struct {
	backend        *Backend
	decisions      inflight.ReleaseTracker
	requestID      policy.RequestID
	clientID       []byte            // the client's name for the request
	pending        []*conn           // that carry a release without an answer
	besidePrefill  bool              // they were begun while a read was out
	round          int               // of tries since one was answered
	triedServers   []policy.ServerID // in these rounds
	nextRoundAt    eventloop.Nanos   // the next round
	lingering      []*conn           // that show the end of an attempt given up
	timer          eventloop.Timer
	onTimer        func(eventloop.Nanos)
	waitingPrefill *dispatch.Request // a read of the request that waits for its release
	acting         bool
	ended          bool
}

// trackerFor gives that of a request, made if there is none; nil if there may be no more.
func (b *Backend) trackerFor(req *dispatch.Request) *releaseTracker {
	if tracker := b.releaseTrackers[req.ID]; tracker != nil {
		return tracker
	}
	if !inflight.CanAddTracker(len(b.releaseTrackers)) {
		b.recordReleaseLost(req.ClientRequestID, "too many are under way", 0, 0)
		return nil
	}
	tracker := &releaseTracker{backend: b, decisions: inflight.NewReleaseTracker(b.releaseTime, b.keeper.IdleTimeout), requestID: req.ID, clientID: slices.Clone(req.ClientRequestID)}
	tracker.onTimer = tracker.run
	b.releaseTrackers[req.ID] = tracker
	return tracker
}

// Release implements dispatch.Backend: any server that runs takes a release.
func (b *Backend) Release(now eventloop.Nanos, req *dispatch.Request, _ policy.ServerID, _ policy.AttemptNumber, since eventloop.Nanos) {
	tracker := b.trackerFor(req)
	if tracker == nil {
		return
	}
	b.Counts.Releases++
	tracker.decisions.RequestRelease(now, since)
	tracker.schedule(now)
}

// releasePending tells that a release is owed or under way: a read that passed it would lose its state to it.
func (t *releaseTracker) releasePending() bool {
	return t.decisions.ReleasePending() || len(t.pending) > 0
}

// schedule has the settlement act at the end of the turn: what else becomes of the request in it is known by then.
func (t *releaseTracker) schedule(now eventloop.Nanos) {
	t.backend.loop.SetTimer(&t.timer, now, t.onTimer)
}

// run does what is due now.
func (t *releaseTracker) run(now eventloop.Nanos) {
	if t.acting || t.ended {
		return
	}
	t.acting = true
	defer func() { t.acting = false }()
	x := t.backend
	permit, out := x.dispatcher.ReleasePermission(t.requestID)
	if t.decisions.DetectLoss(now) {
		x.recordReleaseLost(t.clientID, "no server has taken it in time", len(t.triedServers), t.decisions.HeldFor(now))
	}
	action, at := t.decisions.NextAction(now, permit, out)
	switch action {
	case inflight.ActionSend:
		if now >= t.nextRoundAt {
			t.besidePrefill = permit == inflight.ReleaseIfUrgent
			t.sendRound(now)
		}
		x.loop.SetTimer(&t.timer, max(t.nextRoundAt, now+1), t.onTimer)
	case inflight.ActionWait:
		x.loop.SetTimer(&t.timer, max(at, now+1), t.onTimer)
		t.sendWaitingPrefill(now)
	case inflight.ActionExpire:
		t.logExpired(now)
		t.end(now)
	case inflight.ActionDone:
		t.end(now)
	}
}

// sendRound sends the release by some servers that have not been asked yet, and passes over those to which there is no connection to be had.
func (t *releaseTracker) sendRound(now eventloop.Nanos) {
	t.nextRoundAt = now + t.decisions.RoundTimeout(t.round)
	for sent, anew := 0, false; sent < inflight.ParallelReleases(t.round); {
		srv, again := t.chooseServer(now)
		if srv == nil {
			break
		}
		if again { // all have been asked: the next round begins with any, this one only if no server has it
			t.triedServers = t.triedServers[:0]
			if anew || len(t.pending) > 0 {
				break
			}
			anew = true
		}
		t.triedServers = append(t.triedServers, srv.id)
		if t.sendVia(now, srv) {
			sent++
		}
	}
	t.round++
}

// sendVia sends the release by a server; false: there is no connection to be had.
func (t *releaseTracker) sendVia(now eventloop.Nanos, srv *server) bool {
	x := t.backend
	c := x.acquireConn(now, srv, x.maxConns, true)
	if c == nil {
		return false
	}
	x.Counts.ReleaseAttempts++
	if len(t.pending) >= inflight.MaxPendingReleases {
		t.cancel(t.pending[0])
	}
	c.release = t
	t.pending = append(t.pending, c)
	c.startOperation(inflight.StateRelease)
	if c.connected {
		c.writeRelease(now)
	}
	return true
}

// chooseServer gives the server by which a release goes next; nil if there is none. again: it has been asked already.
func (t *releaseTracker) chooseServer(now eventloop.Nanos) (srv *server, again bool) {
	x := t.backend
	for {
		x.candidates = x.candidates[:0]
		for _, srv := range x.servers {
			x.candidates = append(x.candidates, serverconn.ReleaseCandidate{
				LastHeardAt: srv.lastHeardAt, HasIdleConn: srv.reusableConn(now) != nil,
				Tried: slices.Contains(t.triedServers, srv.id), Gone: srv.health == policy.Gone,
			})
		}
		i := serverconn.SelectReleaseServer(x.candidates, t.round)
		if i < 0 {
			return nil, false
		}
		if srv := x.servers[i]; !x.candidates[i].HasIdleConn || srv.takeReusableConn(now) != nil {
			return srv, x.candidates[i].Tried
		}
	}
}

// handleResponse is when a server has answered a release.
func (t *releaseTracker) handleResponse(now eventloop.Nanos, c *conn, status int) {
	x := t.backend
	t.removePending(c)
	if status/100 != 2 {
		x.Counts.ReleasesRefused++
		x.log.Info("release refused", "request", string(t.clientID), "server", c.server.name, "status", status)
		t.schedule(now)
		return
	}
	owed, held := t.decisions.ReleasePending(), t.decisions.HeldFor(now)
	if !owed {
		x.Counts.ReleasesRepeated++
	}
	if owed {
		x.Counts.ReleaseSlowest = max(x.Counts.ReleaseSlowest, held)
	}
	if owed && held > x.releaseTime+inflight.HoldTolerance {
		x.Counts.ReleasesLate++
		x.log.Warn("release late", "request", string(t.clientID), "server", c.server.name, "held", held, "tries", len(t.triedServers))
	}
	if x.debug {
		x.log.Debug("release answered", "request", string(t.clientID), "server", c.server.name, "tries", len(t.triedServers), "held", held, "owed", owed)
	}
	t.decisions.ReleaseAccepted(c.sentAt)
	t.cancelPending()
	t.round, t.triedServers, t.nextRoundAt = 0, t.triedServers[:0], 0
	t.run(now)
	x.loop.SkipNextWait()
}

// handleConnLost is when the connection of a release has ended without an answer. Other servers are asked when the round is over; at once if
// none has it.
func (t *releaseTracker) handleConnLost(now eventloop.Nanos, c *conn) {
	t.removePending(c)
	if len(t.pending) == 0 && len(t.triedServers) < len(t.backend.servers) {
		t.nextRoundAt = now
	}
	t.schedule(now)
}

// removePending takes a try off the settlement.
func (t *releaseTracker) removePending(c *conn) {
	if i := slices.Index(t.pending, c); i >= 0 {
		t.pending = slices.Delete(t.pending, i, i+1)
	}
}

// cancelPending gives up the releases that have no answer.
func (t *releaseTracker) cancelPending() {
	for len(t.pending) > 0 {
		t.cancel(t.pending[0])
	}
}

// cancel gives up a release that has no answer.
func (t *releaseTracker) cancel(c *conn) {
	t.removePending(c)
	c.abandonAndClose()
}

// sendWaitingPrefill sends the read that waits, once no release is under way that could take its state.
func (t *releaseTracker) sendWaitingPrefill(now eventloop.Nanos) {
	req := t.waitingPrefill
	if req == nil || t.releasePending() {
		return
	}
	t.waitingPrefill = nil
	x := t.backend
	var sent dispatch.Attempt
	if c := x.sendAttempt(now, req); c != nil {
		sent = c
	}
	x.dispatcher.ReplaceAttempt(now, req, sent)
	x.loop.SkipNextWait()
}

// logExpired takes down that something may be left.
func (t *releaseTracker) logExpired(now eventloop.Nanos) {
	if t.decisions.ReleasePending() {
		t.backend.log.Warn("release given up", "request", string(t.clientID), "tries", len(t.triedServers), "held", t.decisions.HeldFor(now))
		return
	}
	t.backend.log.Info("end of an attempt not confirmed", "request", string(t.clientID), "connections", len(t.lingering))
}

// end ends the settlement: a read that waits is sent.
func (t *releaseTracker) end(now eventloop.Nanos) {
	x := t.backend
	t.ended = true
	x.loop.CancelTimer(&t.timer)
	delete(x.releaseTrackers, t.requestID)
	t.cancelPending()
	for _, c := range t.lingering {
		x.Counts.Unconfirmed++
		c.lingersFor = nil
		c.socket.Close()
		c.detach()
	}
	t.lingering = nil
	t.sendWaitingPrefill(now)
	x.loop.SkipNextWait()
}

// recordReleaseLost takes down that a state is left to the servers' own time, or is longer than it may be. What it logs are values: the log is written beside.
func (b *Backend) recordReleaseLost(name []byte, why string, tried int, held int64) {
	b.Counts.ReleasesLost++
	b.log.Warn("release lost", "request", string(name), "why", why, "tries", tried, "held", held)
}

// ---- A read that waits for the release, as the dispatcher holds it.

// Finish implements dispatch.Attempt for a read that waits.
func (t *releaseTracker) Finish(eventloop.Nanos) bool {
	t.waitingPrefill = nil
	return false
}

// AfterFinish implements dispatch.Attempt.
func (t *releaseTracker) AfterFinish(eventloop.Nanos) {}

// CreditWindow implements dispatch.Attempt.
func (t *releaseTracker) CreditWindow(int) {}

// DeliveryState implements dispatch.Attempt.
func (t *releaseTracker) DeliveryState() inflight.DeliveryState { return inflight.Planned }

// ServerResponsive implements dispatch.Attempt.
func (t *releaseTracker) ServerResponsive() bool { return false }

// ---- Connections of attempts that were given up.

// linger keeps the connection of an attempt that is given up: its sending is ended, which is how the server learns of it, and the server's
// own end tells that it has.
func (c *conn) linger(now eventloop.Nanos, tracker *releaseTracker) {
	c.lingersFor, c.abandonedAt = tracker, now
	c.backend.loop.CancelTimer(&c.timer)
	c.socket.SetReadPaused(false)
	c.socket.CloseWriteAfterFlush()
	tracker.lingering = append(tracker.lingering, c)
	tracker.decisions.WatchedAttemptAbandoned(now, now+c.backend.maxClassTimeout)
	tracker.schedule(now)
}

// dropLingering gives up a connection that was to show the end of an attempt.
func (c *conn) dropLingering(now eventloop.Nanos, why string) {
	tracker := c.lingersFor
	c.stopLingering(tracker)
	c.backend.Counts.Unconfirmed++
	if c.backend.debug {
		c.backend.log.Debug("attempt not confirmed over", "request", string(tracker.clientID), "server", c.server.name, "conn", c.number, "why", why)
	}
	tracker.decisions.WatchLost()
	tracker.schedule(now)
}

// handleLingeringLost is when a watched connection broke.
func (c *conn) handleLingeringLost(now eventloop.Nanos) {
	if c.lingersFor.decisions.ConfirmsEnd(now, c.abandonedAt, inflight.ConnReset) {
		c.confirmEnd(now)
		return
	}
	c.dropLingering(now, "the connection broke")
}

// confirmEnd takes down that the server has shown the end of an attempt that was given up.
func (c *conn) confirmEnd(now eventloop.Nanos) {
	tracker := c.lingersFor
	c.stopLingering(tracker)
	c.backend.Counts.Confirmed++
	if c.backend.debug {
		c.backend.log.Debug("effect", "request", string(tracker.clientID), "kind", c.operation.Kind, "from", inflight.Abandoned, "to", inflight.Completed, "server", c.server.name, "conn", c.number, "uses", c.useCount)
	}
	tracker.decisions.EndConfirmed(now)
	tracker.schedule(now)
}

func (c *conn) stopLingering(tracker *releaseTracker) {
	c.lingersFor = nil
	if i := slices.Index(tracker.lingering, c); i >= 0 {
		tracker.lingering = slices.Delete(tracker.lingering, i, i+1)
	}
	c.socket.Close()
	c.detach()
}
