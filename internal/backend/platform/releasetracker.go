package platform

import (
	"slices"
	"time"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// releaseTracker releases the state that attempts of one request may have left at servers. It carries out the decisions
// of inflight.ReleaseTracker: it sends releases, and keeps the connections of abandoned attempts open until the end of
// the attempts is confirmed. It outlives the request.
type releaseTracker struct {
	backend   *Backend
	decisions inflight.ReleaseTracker
	requestID policy.RequestID
	clientID  []byte // the client's name for the request
	timer     eventloop.Timer
	onTimer   func(eventloop.Nanos)
	running   bool // run is on the call stack
	ended     bool

	// Releases, which are sent in rounds.
	pending       []*conn // connections that carry a release without a response
	duringPrefill bool    // the round was started while a prefill attempt was unacknowledged
	round         int     // number of rounds since a release was last accepted
	triedServers  []policy.ServerID
	nextRoundAt   eventloop.Nanos

	lingering []*conn // connections that await the end of an abandoned attempt
	waiting   waitingAttempt
}

// trackerFor returns the release tracker of a request and creates it if there is none. It returns nil if the limit of
// trackers is reached.
func (b *Backend) trackerFor(req *dispatch.Request) *releaseTracker {
	if tracker := b.releaseTrackers[req.ID]; tracker != nil {
		return tracker
	}
	if !inflight.CanAddTracker(len(b.releaseTrackers)) {
		b.recordReleaseLost(req.ClientRequestID, "too many releases in progress", 0, 0)
		return nil
	}
	tracker := &releaseTracker{
		backend:   b,
		decisions: inflight.NewReleaseTracker(b.releaseTime, b.connPolicy.IdleTimeout),
		requestID: req.ID,
		clientID:  slices.Clone(req.ClientRequestID),
	}
	tracker.onTimer = tracker.run
	b.releaseTrackers[req.ID] = tracker
	b.chargeTrackers()
	return tracker
}

// chargeTrackers charges the release trackers to the budget. They are never refused for it: what is held must be
// released.
func (b *Backend) chargeTrackers() {
	b.trackerMemory.Set(int64(len(b.releaseTrackers)) * serverconn.TrackerBytes)
}

// Release implements dispatch.Backend. Any server accepts a release, whichever one holds the state.
func (b *Backend) Release(
	now eventloop.Nanos, req *dispatch.Request, _ policy.ServerID, _ policy.AttemptNumber, heldSince eventloop.Nanos,
) {
	tracker := b.trackerFor(req)
	if tracker == nil {
		return
	}
	b.Counts.Releases++
	tracker.decisions.RequestRelease(now, heldSince)
	tracker.schedule(now)
}

// releasePending reports whether a release is due or in flight. A prefill attempt must not be sent before that release:
// the release would drop the attempt's state if it reached the server later.
func (t *releaseTracker) releasePending() bool {
	return t.decisions.ReleasePending() || len(t.pending) > 0
}

// schedule has the loop call run when it fires its timers, so that other events about the request are applied first.
func (t *releaseTracker) schedule(now eventloop.Nanos) {
	t.backend.loop.SetTimer(&t.timer, now, t.onTimer)
}

// run carries out the next action that the tracker decides on.
func (t *releaseTracker) run(now eventloop.Nanos) {
	if t.running || t.ended {
		return
	}
	t.running = true
	defer func() { t.running = false }()
	b := t.backend
	permission, attemptInFlight := b.dispatcher.ReleasePermission(t.requestID)
	if t.decisions.DetectLoss(now) {
		b.recordReleaseLost(t.clientID, "not accepted in time", len(t.triedServers), t.decisions.HeldFor(now))
	}
	action, at := t.decisions.NextAction(now, permission, attemptInFlight)
	switch action {
	case inflight.ActionSend:
		if now >= t.nextRoundAt {
			t.duringPrefill = permission == inflight.ReleaseIfUrgent
			t.sendRound(now)
		}
		b.loop.SetTimer(&t.timer, max(t.nextRoundAt, now+1), t.onTimer)
	case inflight.ActionWait:
		b.loop.SetTimer(&t.timer, max(at, now+1), t.onTimer)
		t.sendWaitingPrefill(now)
	case inflight.ActionExpire:
		t.logExpired(now)
		t.end(now)
	case inflight.ActionDone:
		t.end(now)
	}
}

// end removes the tracker and sends the waiting prefill attempt, if any.
func (t *releaseTracker) end(now eventloop.Nanos) {
	b := t.backend
	t.ended = true
	b.loop.CancelTimer(&t.timer)
	delete(b.releaseTrackers, t.requestID)
	b.chargeTrackers()
	t.cancelPending()
	for _, c := range t.lingering {
		b.Counts.Unconfirmed++
		c.lingerTracker = nil
		c.close()
	}
	t.lingering = nil
	t.sendWaitingPrefill(now)
	b.loop.SkipNextWait()
}

// logExpired logs that the tracker has expired, so that state may be left at a server.
func (t *releaseTracker) logExpired(now eventloop.Nanos) {
	if t.decisions.ReleasePending() {
		t.backend.log.Warn("release given up", "request_id", string(t.clientID), "tries", len(t.triedServers),
			"held", time.Duration(t.decisions.HeldFor(now)))
		return
	}
	t.backend.log.Info("end of attempt not confirmed", "request_id", string(t.clientID), "connections", len(t.lingering))
}

// recordReleaseLost counts and logs that state is left to the servers' own timeout, or is held for too long. It copies
// clientID, since the log is written by another goroutine.
func (b *Backend) recordReleaseLost(clientID []byte, reason string, tries int, held eventloop.Nanos) {
	b.Counts.ReleasesLost++
	b.log.Warn("release lost", "request_id", string(clientID), "reason", reason, "tries", tries,
		"held", time.Duration(held))
}

// sendWaitingPrefill sends the waiting prefill attempt, if any, unless a release is pending.
func (t *releaseTracker) sendWaitingPrefill(now eventloop.Nanos) {
	req := t.waiting.request
	if req == nil || t.releasePending() {
		return
	}
	t.waiting.request = nil
	var attempt dispatch.Attempt
	if c := t.backend.sendAttempt(now, req); c != nil {
		attempt = c
	}
	t.backend.dispatcher.ReplaceAttempt(now, req, attempt)
	t.backend.loop.SkipNextWait()
}

// waitingAttempt is a prefill attempt that waits until no release of its request is pending. It implements
// dispatch.Attempt.
type waitingAttempt struct {
	request *dispatch.Request // nil if none waits
}

// Finish implements dispatch.Attempt.
func (w *waitingAttempt) Finish(eventloop.Nanos) (mayHaveBeenReceived bool) {
	w.request = nil
	return false
}

// AfterFinish implements dispatch.Attempt.
func (w *waitingAttempt) AfterFinish(eventloop.Nanos) {}

// CreditWindow implements dispatch.Attempt.
func (w *waitingAttempt) CreditWindow(int) {}

// DeliveryState implements dispatch.Attempt.
func (w *waitingAttempt) DeliveryState() inflight.DeliveryState { return inflight.Planned }

// ServerResponsive implements dispatch.Attempt.
func (w *waitingAttempt) ServerResponsive() bool { return false }
