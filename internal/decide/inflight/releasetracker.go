package inflight

// ReleaseTracker decides when KV state that the attempts of one request may have left on servers is released, and when
// that is complete. An abandoned attempt may still run on its server: a prefill attempt may finish and leave state, a
// decode attempt may keep the state that it waits for. A release is sent when one is requested, again when the end of
// such an attempt is confirmed, and repeatedly as long as a server may still run one.
type ReleaseTracker struct {
	releaseTime   int64
	watchDuration int64 // for so long connections are kept open to see the end of abandoned attempts

	requested       bool  // there is, or may be, KV state to release
	oldestHeldSince int64 // when the hold of the oldest such state began
	lastEventAt     int64 // releases begun before this time may have missed some state
	lastAcceptedAt  int64 // when the latest release that a server accepted was begun

	watchedCount          int   // abandoned attempts whose connections are open to see their end
	watchedRunUntil       int64 // servers may run watched attempts until then
	unwatchedRunUntil     int64 // servers may run abandoned attempts that are not watched until then
	watchUntil            int64 // watched connections are kept until then
	confirmationGraceEnds int64 // until then a release waits for the ends of watched attempts

	sentDuringAttempt bool // a release was sent while an attempt was outstanding, which may have kept the state
	lossReported      bool
}

// TrackerAction is what a ReleaseTracker asks its caller to do.
type TrackerAction uint8

// The actions.
const (
	ActionWait   TrackerAction = iota // ask again at the time that comes with it
	ActionSend                        // send a release
	ActionDone                        // end the tracker: nothing is left
	ActionExpire                      // end the tracker: no server took the release, or the end of an attempt never showed
)

// PeerClose is how the server's side of a watched connection ended.
type PeerClose uint8

// The ways in which a peer ends a connection.
const (
	CleanClose PeerClose = iota // an orderly end
	ConnReset                   // a reset or another error
)

// never is later than any time.
const never = int64(1) << 62

const (
	// roundsPerReleaseTime is how many rounds of releases are sent in one release time while none is accepted.
	roundsPerReleaseTime = 10
	// repeatIntervalFraction is the interval, as a fraction of the release time, at which an accepted release is repeated
	// while a server may still run an abandoned attempt. State that appears just after a release is then held for one
	// interval; the rest of the release time covers servers that do not answer.
	repeatIntervalFraction = 0.8
	// lossMultiple is the number of release times after which a release that no server has accepted counts as lost.
	// It is still sent.
	lossMultiple = 2
	// HoldTolerance is how much longer than the release time KV state may be held, in nanoseconds.
	HoldTolerance = int64(300e6)
	// defaultWatchDuration is how long watched connections are kept where the settings do not say after which time
	// servers close idle connections.
	defaultWatchDuration = int64(10e9)
	// maxTrackers bounds the trackers of a process. Beyond it, state is left to the servers' own timeout.
	maxTrackers = 4096
	// maxParallelReleases bounds the servers that are asked at once.
	maxParallelReleases = 4
	// MaxPendingReleases bounds the unanswered releases of one request; the oldest is dropped for a new one.
	MaxPendingReleases = 2 * maxParallelReleases
)

// NewReleaseTracker returns the tracker of a request. idleTimeout is the time after which servers close idle
// connections, 0 if unknown.
func NewReleaseTracker(releaseTime, idleTimeout int64) ReleaseTracker {
	if idleTimeout <= 0 {
		idleTimeout = defaultWatchDuration
	}
	return ReleaseTracker{
		releaseTime: releaseTime, watchDuration: idleTimeout, oldestHeldSince: never, lastAcceptedAt: -1,
	}
}

// CanAddTracker reports whether another tracker may be created beside count existing ones.
func CanAddTracker(count int) bool { return count < maxTrackers }

// ReleaseTimeout returns how long a release waits for its answer before other servers are asked as well.
func (t *ReleaseTracker) ReleaseTimeout() int64 { return t.releaseTime / roundsPerReleaseTime }

// RoundTimeout returns how long a round of releases, counted from 0, waits for an answer before the next round. Rounds
// are less frequent once the release time has passed.
func (t *ReleaseTracker) RoundTimeout(round int) int64 {
	if round >= roundsPerReleaseTime {
		return t.repeatInterval()
	}
	return t.ReleaseTimeout()
}

// ParallelReleases returns how many servers are asked at once in a round, counted from 0. It grows, so that servers
// that do not answer cannot use up the release time one after another.
func ParallelReleases(round int) int { return min(1<<min(round, 8), maxParallelReleases) }

// repeatInterval returns the interval at which an accepted release is repeated.
func (t *ReleaseTracker) repeatInterval() int64 {
	return int64(repeatIntervalFraction * float64(t.releaseTime))
}

// RequestRelease records that KV state is held, or may be, that is to be released; its hold began at heldSince.
func (t *ReleaseTracker) RequestRelease(now, heldSince int64) {
	if t.watchedCount > 0 {
		t.confirmationGraceEnds = now + t.ReleaseTimeout()
	}
	t.requested, t.lastEventAt, t.lossReported = true, now, false
	t.oldestHeldSince = min(t.oldestHeldSince, heldSince)
}

// AttemptAbandoned records that an attempt has ended here whose server may run it until runUntil, and whose connection
// is gone.
func (t *ReleaseTracker) AttemptAbandoned(now, runUntil int64) {
	t.unwatchedRunUntil = max(t.unwatchedRunUntil, runUntil)
	t.noteEvent(now)
}

// WatchedAttemptAbandoned records that an attempt has ended here whose server may run it until runUntil, and whose
// connection is kept open to see its end. EndConfirmed or WatchLost follows.
func (t *ReleaseTracker) WatchedAttemptAbandoned(now, runUntil int64) {
	t.watchedCount++
	t.watchedRunUntil, t.watchUntil = max(t.watchedRunUntil, runUntil), now+t.watchDuration
	t.noteEvent(now)
}

// noteEvent records that releases begun before now may have missed state. It does nothing while no release is
// requested.
func (t *ReleaseTracker) noteEvent(now int64) {
	if t.requested {
		t.lastEventAt = now
	}
}

// EndConfirmed records that a watched connection has shown the end of its attempt. State that the attempt left is still
// to be released.
func (t *ReleaseTracker) EndConfirmed(now int64) {
	t.watchedCount--
	t.noteEvent(now)
}

// ConfirmsEnd reports whether the end of a watched connection shows that the server has noticed the end of its attempt,
// which was abandoned at abandonedAt. A clean close does. A reset does only if it follows at once, as servers reset
// what they cancel; a later one may come from a device in between.
func (t *ReleaseTracker) ConfirmsEnd(now, abandonedAt int64, peerClose PeerClose) bool {
	return peerClose == CleanClose || now-abandonedAt <= t.ReleaseTimeout()
}

// WatchLost records that a watched connection has ended without showing the end of its attempt.
func (t *ReleaseTracker) WatchLost() {
	t.watchedCount--
	t.unwatchedRunUntil = max(t.unwatchedRunUntil, t.watchedRunUntil)
}

// runUntil returns until when servers may run abandoned attempts that are not known to be over.
func (t *ReleaseTracker) runUntil() int64 {
	if t.watchedCount > 0 {
		return max(t.unwatchedRunUntil, t.watchedRunUntil)
	}
	return t.unwatchedRunUntil
}

// ReleaseStarted records that a release is sent. attemptOutstanding reports whether an attempt of the request is
// outstanding: a server may keep the state that the attempt seems to need, so another release follows its end.
func (t *ReleaseTracker) ReleaseStarted(attemptOutstanding bool) {
	t.sentDuringAttempt = t.sentDuringAttempt || attemptOutstanding
}

// ReleaseAccepted records that a server has accepted a release that was begun at startedAt.
func (t *ReleaseTracker) ReleaseAccepted(startedAt int64) {
	t.lastAcceptedAt = max(t.lastAcceptedAt, startedAt)
	if !t.ReleasePending() {
		t.oldestHeldSince = never
	}
}

// ReleasePending reports whether a release is requested that no server has accepted.
func (t *ReleaseTracker) ReleasePending() bool {
	return t.requested && t.lastAcceptedAt < t.lastEventAt
}

// ReleaseRequested reports whether a release was ever requested.
func (t *ReleaseTracker) ReleaseRequested() bool { return t.requested }

// HeldFor returns for how long the state that a release reaches now has been held.
func (t *ReleaseTracker) HeldFor(now int64) int64 { return max(now-t.oldestHeldSince, 0) }

// DetectLoss reports whether the pending release counts as lost from now on, as no server has accepted it for too long.
// It reports each loss once.
func (t *ReleaseTracker) DetectLoss(now int64) bool {
	if t.lossReported || !t.ReleasePending() || now < t.lastEventAt+lossMultiple*t.releaseTime {
		return false
	}
	t.lossReported = true
	return true
}

// expiry returns when the tracker gives up a pending release.
func (t *ReleaseTracker) expiry() int64 {
	return max(t.lastEventAt, t.watchUntil-t.watchDuration) + t.watchDuration
}

// NextAction returns what to do now. With ActionWait, at is the time to ask again; otherwise it is 0.
// attemptOutstanding reports whether an attempt of the request is outstanding.
func (t *ReleaseTracker) NextAction(now int64, permission ReleasePermission, attemptOutstanding bool) (
	action TrackerAction, at int64,
) {
	if t.sentDuringAttempt && !attemptOutstanding { // the attempt may have kept state, which is released anew
		t.sentDuringAttempt, t.lastEventAt = false, now
		t.oldestHeldSince = min(t.oldestHeldSince, now)
	}
	switch {
	case !t.requested:
		return t.nextUnrequested(now)
	case t.ReleasePending():
		return t.nextPending(now, permission)
	}
	return t.nextRepeat(now, permission)
}

// nextUnrequested is NextAction while no release is requested: abandoned attempts are followed to their end.
func (t *ReleaseTracker) nextUnrequested(now int64) (TrackerAction, int64) {
	deadline := t.watchUntil
	if t.watchedCount == 0 {
		deadline = t.unwatchedRunUntil
	}
	if now >= deadline {
		return ActionDone, 0
	}
	return ActionWait, deadline
}

// nextPending is NextAction while a release is requested that no server has accepted.
func (t *ReleaseTracker) nextPending(now int64, permission ReleasePermission) (TrackerAction, int64) {
	switch {
	case now >= t.expiry():
		return ActionExpire, 0
	case permission == ReleaseForbidden:
		return ActionWait, now + t.ReleaseTimeout()
	case permission == ReleaseIfUrgent && now < t.urgentAt():
		return ActionWait, min(now+t.ReleaseTimeout(), t.urgentAt())
	case t.watchedCount > 0 && now < t.confirmationGraceEnds:
		return ActionWait, t.confirmationGraceEnds
	}
	return ActionSend, 0
}

// urgentAt returns when a pending release is sent even beside a prefill attempt that may be on its way.
func (t *ReleaseTracker) urgentAt() int64 {
	return t.lastEventAt + int64(earlyReleaseFraction*float64(t.releaseTime))
}

// nextRepeat is NextAction once a server has accepted the release: it is repeated while a server may run an abandoned
// attempt.
func (t *ReleaseTracker) nextRepeat(now int64, permission ReleasePermission) (TrackerAction, int64) {
	runUntil := t.runUntil()
	switch {
	case t.sentDuringAttempt && t.lastAcceptedAt >= runUntil:
		return ActionWait, now + t.ReleaseTimeout()
	case t.watchedCount == 0 && t.lastAcceptedAt >= runUntil:
		return ActionDone, 0
	case t.lastAcceptedAt >= runUntil && now >= t.watchUntil:
		return ActionExpire, 0
	case t.lastAcceptedAt >= runUntil:
		return ActionWait, t.watchUntil
	}
	repeatAt := min(t.lastAcceptedAt+t.repeatInterval(), runUntil)
	switch {
	case now < repeatAt:
		return ActionWait, repeatAt
	case permission != ReleaseAllowed: // it may be needless, but would certainly destroy the result of a prefill attempt
		return ActionWait, now + t.ReleaseTimeout()
	}
	return ActionSend, 0
}
