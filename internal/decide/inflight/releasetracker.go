package inflight

// ReleaseTracker decides when KV state that the attempts of one request may have left on servers is released, and when
// all of it has been. An abandoned attempt may still run on its server: a prefill attempt may finish and leave state, a
// decode attempt may keep the state that it waits for. A release is sent when one is requested, again when the end of
// such an attempt is confirmed, and repeatedly while a server may still run one.
type ReleaseTracker struct {
	releaseTime   int64
	watchDuration int64 // how long connections are kept open to observe the end of abandoned attempts

	requested           bool  // there is, or may be, KV state to release
	oldestHeldSince     int64 // since when the oldest such state has been held
	releaseNeededSince  int64 // a release started before this time may have missed state
	latestAcceptedStart int64 // when the latest accepted release was started

	watchedCount           int   // abandoned attempts whose connections are kept open to observe their end
	watchedRunUntil        int64 // servers may run watched attempts until this time
	unwatchedRunUntil      int64 // servers may run other abandoned attempts until this time
	watchUntil             int64 // watched connections are kept open until this time
	confirmationGraceUntil int64 // a release waits for the ends of watched attempts until this time

	sentDuringAttempt bool // a release was sent during an attempt, which may have kept the state
	lossReported      bool // DetectLoss has reported the pending release
}

// TrackerAction is what a ReleaseTracker asks its caller to do.
type TrackerAction uint8

// The actions.
const (
	ActionWait   TrackerAction = iota // call NextAction again at the returned time
	ActionSend                        // send a release
	ActionDone                        // remove the tracker: all state is released
	ActionExpire                      // remove the tracker: a release was not accepted or an end not confirmed in time
)

// PeerClose says how the server closed a watched connection.
type PeerClose uint8

// The ways in which a peer closes a connection.
const (
	CleanClose PeerClose = iota // an orderly close
	ConnReset                   // a reset or another error
)

// never is a time later than any other.
const never = int64(1) << 62

const (
	// roundsPerReleaseTime is the number of rounds in which releases are sent within one release time until one is
	// accepted.
	roundsPerReleaseTime = 10
	// repeatIntervalFraction is the interval, as a fraction of the release time, at which an accepted release is repeated
	// while a server may still run an abandoned attempt. State that appears right after a release is held for one
	// interval; the rest of the release time allows for servers that do not answer.
	repeatIntervalFraction = 0.8
	// lossMultiple is the number of release times after which a release that no server has accepted counts as lost.
	// Sending continues.
	lossMultiple = 2
	// HoldTolerance is how much longer than the release time KV state may be held, in nanoseconds.
	HoldTolerance = int64(300e6)
	// defaultWatchDuration is how long watched connections are kept open if the servers' idle timeout is unknown, in
	// nanoseconds.
	defaultWatchDuration = int64(10e9)
	// maxTrackers bounds the trackers of a process. State of further requests is held until the servers' own timeout.
	maxTrackers = 4096
	// maxParallelReleases bounds the servers to which a release is sent in one round.
	maxParallelReleases = 4
	// MaxPendingReleases bounds the unanswered releases of one request; a further one replaces the oldest.
	MaxPendingReleases = 2 * maxParallelReleases
)

// NewReleaseTracker returns a tracker for one request. releaseTime is how long KV state may be held unused, idleTimeout
// the time after which servers close idle connections, or 0 if that is unknown.
func NewReleaseTracker(releaseTime, idleTimeout int64) ReleaseTracker {
	if idleTimeout <= 0 {
		idleTimeout = defaultWatchDuration
	}
	return ReleaseTracker{
		releaseTime: releaseTime, watchDuration: idleTimeout, oldestHeldSince: never, latestAcceptedStart: -1,
	}
}

// CanAddTracker reports whether another tracker may be created when count trackers exist.
func CanAddTracker(count int) bool { return count < maxTrackers }

// ReleaseTimeout returns how long a release waits for its answer before it is sent to further servers.
func (t *ReleaseTracker) ReleaseTimeout() int64 { return t.releaseTime / roundsPerReleaseTime }

// RoundTimeout returns how long a round of releases, counted from 0, waits for an answer before the next round. The
// wait is longer once the release time has passed.
func (t *ReleaseTracker) RoundTimeout(round int) int64 {
	if round >= roundsPerReleaseTime {
		return t.repeatInterval()
	}
	return t.ReleaseTimeout()
}

// ParallelReleases returns to how many servers a release is sent in a round, counted from 0. The number grows, so that
// servers that do not answer cannot use up the release time one after another.
func ParallelReleases(round int) int { return min(1<<min(round, 8), maxParallelReleases) }

// repeatInterval returns the interval at which an accepted release is repeated.
func (t *ReleaseTracker) repeatInterval() int64 {
	return int64(repeatIntervalFraction * float64(t.releaseTime))
}

// RequestRelease records that there is, or may be, KV state to release that has been held since heldSince.
func (t *ReleaseTracker) RequestRelease(now, heldSince int64) {
	if t.watchedCount > 0 {
		t.confirmationGraceUntil = now + t.ReleaseTimeout()
	}
	t.requested, t.releaseNeededSince, t.lossReported = true, now, false
	t.oldestHeldSince = min(t.oldestHeldSince, heldSince)
}

// AttemptAbandoned records that an attempt was abandoned whose server may run it until runUntil, and whose connection
// is closed.
func (t *ReleaseTracker) AttemptAbandoned(now, runUntil int64) {
	t.unwatchedRunUntil = max(t.unwatchedRunUntil, runUntil)
	t.requireNewRelease(now)
}

// WatchedAttemptAbandoned records that an attempt was abandoned whose server may run it until runUntil, and whose
// connection is kept open to observe its end. EndConfirmed or WatchLost must be called later.
func (t *ReleaseTracker) WatchedAttemptAbandoned(now, runUntil int64) {
	t.watchedCount++
	t.watchedRunUntil, t.watchUntil = max(t.watchedRunUntil, runUntil), now+t.watchDuration
	t.requireNewRelease(now)
}

// requireNewRelease records that releases started before now may have missed state. It does nothing if no release was
// requested.
func (t *ReleaseTracker) requireNewRelease(now int64) {
	if t.requested {
		t.releaseNeededSince = now
	}
}

// EndConfirmed records that a watched connection has confirmed the end of its attempt. State that the attempt left has
// still to be released.
func (t *ReleaseTracker) EndConfirmed(now int64) {
	t.watchedCount--
	t.requireNewRelease(now)
}

// ConfirmsEnd reports whether the close of a watched connection at now confirms that the server has ended the attempt,
// which was abandoned at abandonedAt. A clean close does. A reset does only if it follows at once, as servers reset
// what they cancel; a later reset may come from a network device.
func (t *ReleaseTracker) ConfirmsEnd(now, abandonedAt int64, peerClose PeerClose) bool {
	return peerClose == CleanClose || now-abandonedAt <= t.ReleaseTimeout()
}

// WatchLost records that a watched connection has ended without confirming the end of its attempt.
func (t *ReleaseTracker) WatchLost() {
	t.watchedCount--
	t.unwatchedRunUntil = max(t.unwatchedRunUntil, t.watchedRunUntil)
}

// runUntil returns until when servers may run abandoned attempts whose end is not confirmed.
func (t *ReleaseTracker) runUntil() int64 {
	if t.watchedCount > 0 {
		return max(t.unwatchedRunUntil, t.watchedRunUntil)
	}
	return t.unwatchedRunUntil
}

// ReleaseStarted records that a release is sent. If attemptOutstanding, a server may keep the state because the
// outstanding attempt may need it, so another release follows the end of that attempt.
func (t *ReleaseTracker) ReleaseStarted(attemptOutstanding bool) {
	t.sentDuringAttempt = t.sentDuringAttempt || attemptOutstanding
}

// ReleaseAccepted records that a server has accepted the release that was started at startedAt.
func (t *ReleaseTracker) ReleaseAccepted(startedAt int64) {
	t.latestAcceptedStart = max(t.latestAcceptedStart, startedAt)
	if !t.ReleasePending() {
		t.oldestHeldSince = never
	}
}

// ReleasePending reports whether a release is requested that no server has accepted.
func (t *ReleaseTracker) ReleasePending() bool {
	return t.requested && t.latestAcceptedStart < t.releaseNeededSince
}

// ReleaseRequested reports whether a release was ever requested.
func (t *ReleaseTracker) ReleaseRequested() bool { return t.requested }

// HeldFor returns for how long the oldest state that is to be released has been held.
func (t *ReleaseTracker) HeldFor(now int64) int64 { return max(now-t.oldestHeldSince, 0) }

// DetectLoss reports whether the pending release counts as lost, as no server has accepted it for too long. It reports
// each loss once.
func (t *ReleaseTracker) DetectLoss(now int64) bool {
	if t.lossReported || !t.ReleasePending() || now < t.releaseNeededSince+lossMultiple*t.releaseTime {
		return false
	}
	t.lossReported = true
	return true
}

// expiry returns when the tracker abandons a pending release.
func (t *ReleaseTracker) expiry() int64 {
	return max(t.releaseNeededSince, t.watchUntil-t.watchDuration) + t.watchDuration
}

// NextAction returns what to do now. With ActionWait, at is the time to call it again; otherwise at is 0.
// attemptOutstanding says whether an attempt of the request is outstanding.
func (t *ReleaseTracker) NextAction(now int64, permission ReleasePermission, attemptOutstanding bool) (
	action TrackerAction, at int64,
) {
	if t.sentDuringAttempt && !attemptOutstanding { // the attempt may have kept state: another release is needed
		t.sentDuringAttempt, t.releaseNeededSince = false, now
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

// nextUnrequested is NextAction if no release was requested: the tracker remains until abandoned attempts have ended.
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

// nextPending is NextAction while no server has accepted the requested release.
func (t *ReleaseTracker) nextPending(now int64, permission ReleasePermission) (TrackerAction, int64) {
	switch {
	case now >= t.expiry():
		return ActionExpire, 0
	case permission == ReleaseForbidden:
		return ActionWait, now + t.ReleaseTimeout()
	case permission == ReleaseIfUrgent && now < t.urgentTime():
		return ActionWait, min(now+t.ReleaseTimeout(), t.urgentTime())
	case t.watchedCount > 0 && now < t.confirmationGraceUntil:
		return ActionWait, t.confirmationGraceUntil
	}
	return ActionSend, 0
}

// urgentTime returns when a pending release is sent even if a prefill attempt may just be arriving at its server.
func (t *ReleaseTracker) urgentTime() int64 {
	return t.releaseNeededSince + int64(earlyReleaseFraction*float64(t.releaseTime))
}

// nextRepeat is NextAction once a server has accepted the release, which is repeated while a server may still run an
// abandoned attempt.
func (t *ReleaseTracker) nextRepeat(now int64, permission ReleasePermission) (TrackerAction, int64) {
	runUntil := t.runUntil()
	switch {
	case t.sentDuringAttempt && t.latestAcceptedStart >= runUntil:
		return ActionWait, now + t.ReleaseTimeout()
	case t.watchedCount == 0 && t.latestAcceptedStart >= runUntil:
		return ActionDone, 0
	case t.latestAcceptedStart >= runUntil && now >= t.watchUntil:
		return ActionExpire, 0
	case t.latestAcceptedStart >= runUntil:
		return ActionWait, t.watchUntil
	}
	repeatAt := min(t.latestAcceptedStart+t.repeatInterval(), runUntil)
	switch {
	case now < repeatAt:
		return ActionWait, repeatAt
	case permission != ReleaseAllowed: // a repeat may be unnecessary, but would destroy a prefill attempt's result
		return ActionWait, now + t.ReleaseTimeout()
	}
	return ActionSend, 0
}
