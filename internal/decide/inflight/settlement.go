package inflight

// ReleaseTracker follows what the attempts of one request may have left at servers until it is gone for sure. An attempt that was given up
// may still run there, as its server has not heard of it: a read may end, and a write may keep the state that it waits for. A release goes out when
// one is wanted, again when the end of such an attempt is confirmed, and meanwhile from time to time for as long as its server may work on it.
type ReleaseTracker struct {
	releaseTime int64
	keepFor     int64 // watched connections are kept for so long

	wanted    bool  // a state is, or may be, to be released
	heldSince int64 // the clock of the oldest state that is to be released runs from then
	event     int64 // a release that was begun before does not count
	covered   int64 // the last release that a server has answered was begun then
	graceEnds int64 // until then a release waits for the ends of attempts to be confirmed
	watched   int   // attempts given up whose connections are still open to see their end
	working   int64 // until then servers may work on attempts that were given up and are not watched ...
	watchedTo int64 // ... and on those that are
	keepUntil int64 // until then watched connections are kept
	shadowed  bool  // a release was sent while an attempt was out, which may have kept the state
	lost      bool  // it was counted as lost
}

// TrackerAction is what a settlement asks for.
type TrackerAction uint8

const (
	ActionWait   TrackerAction = iota // nothing until a time
	ActionSend                        // send a release
	ActionDone                        // nothing is left to be done
	ActionExpire                      // it is given up: the server of an attempt has said nothing, or no server has taken the release
)

const never = int64(1) << 62

const (
	// releaseTries is how many servers are asked one after another in the release time.
	releaseTries = 10
	// repeatShare of the release time after a release was taken it is repeated, while a server may still work on what was given up: what is
	// left of a state that has been held since just after it is for servers that do not answer.
	repeatShare = 0.8
	// lostAfter release times without a server that has taken a release, it counts as lost; it is tried on, though.
	lostAfter = 2
	// HoldTolerance is how much longer than the release time a state may be held.
	HoldTolerance = int64(300e6)
	// keepWatched is how long connections are kept to see the end of an attempt where the settings name no time after which servers close
	// what stands idle.
	keepWatched = int64(10e9)
	// mostSettlements may be under way at once; more are left to the servers' own time.
	mostSettlements = 4096
	// mostParallel is how many servers at most are asked at once.
	mostParallel = 4
	// MaxPendingReleases is how many releases of a request may be without an answer at once; the oldest gives way.
	MaxPendingReleases = 2 * mostParallel
)

// NewReleaseTracker makes the settlement of a request. idle is the time after which servers close idle connections; 0 = not told.
func NewReleaseTracker(releaseTime, idle int64) ReleaseTracker {
	if idle <= 0 {
		idle = keepWatched
	}
	return ReleaseTracker{releaseTime: releaseTime, keepFor: idle, heldSince: never, covered: -1}
}

// CanAddTracker tells whether one more settlement may be begun beside n.
func CanAddTracker(n int) bool { return n < mostSettlements }

// ReleaseTimeout is how long a release waits for its answer before other servers are asked as well.
func (t *ReleaseTracker) ReleaseTimeout() int64 { return t.releaseTime / releaseTries }

// RoundTimeout is how long a round of releases, counted from 0, waits for an answer before the next: once the release time is over, there
// is no haste any more.
func (t *ReleaseTracker) RoundTimeout(round int) int64 {
	if round >= releaseTries {
		return t.repeatInterval()
	}
	return t.ReleaseTimeout()
}

// ParallelReleases is how many servers are asked at once in a round, counted from 0: those that are silent must not use up the time one after
// another.
func ParallelReleases(round int) int { return min(1<<min(round, 8), mostParallel) }

func (t *ReleaseTracker) repeatInterval() int64 { return int64(repeatShare * float64(t.releaseTime)) }

// RequestRelease has a release sent: a state is held, or may be, whose clock runs since then.
func (t *ReleaseTracker) RequestRelease(now, heldSince int64) {
	if t.watched > 0 {
		t.graceEnds = now + t.ReleaseTimeout()
	}
	t.wanted, t.event, t.lost = true, now, false
	t.heldSince = min(t.heldSince, heldSince)
}

// AttemptAbandoned tells that an attempt has ended here which its server may have, and can be expected to work on until a time: the platform's page
// says of an attempt whose time is over that it may run yet. watched: its connection is kept to see its end.
func (t *ReleaseTracker) AttemptAbandoned(now, until int64, watched bool) {
	if watched {
		t.watched++
		t.watchedTo, t.keepUntil = max(t.watchedTo, until), now+t.keepFor
	} else {
		t.working = max(t.working, until)
	}
	if t.wanted {
		t.event = now
	}
}

// EndConfirmed tells that a watched connection has shown the end of its attempt; what that left is still to be released.
func (t *ReleaseTracker) EndConfirmed(now int64) {
	t.watched--
	if t.wanted {
		t.event = now
	}
}

// ConfirmsEnd tells whether the loss of a watched connection shows that the server knows of the end of its attempt, which was given up then: an orderly end does;
// a reset does if it follows at once, as servers reset what they cancel. A later one may come from whatever stands between.
func (t *ReleaseTracker) ConfirmsEnd(now, givenUp int64, orderly bool) bool {
	return orderly || now-givenUp <= t.ReleaseTimeout()
}

// WatchLost tells that a watched connection is gone without a sign.
func (t *ReleaseTracker) WatchLost() {
	t.watched--
	t.working = max(t.working, t.watchedTo)
}

// workedOn is until when servers may work on what was given up and is not known to be over.
func (t *ReleaseTracker) workedOn() int64 {
	if t.watched > 0 {
		return max(t.working, t.watchedTo)
	}
	return t.working
}

// ReleaseStarted tells that a release is written; out: while an attempt of the request is out. A server may keep what such an attempt is taken to need, so
// that another follows when it is over.
func (t *ReleaseTracker) ReleaseStarted(out bool) { t.shadowed = t.shadowed || out }

// ReleaseAccepted tells that a server has taken a release that was begun then.
func (t *ReleaseTracker) ReleaseAccepted(begun int64) {
	if t.covered = max(t.covered, begun); !t.ReleasePending() {
		t.heldSince = never
	}
}

// ReleasePending tells that a release is owed that no server has taken yet.
func (t *ReleaseTracker) ReleasePending() bool { return t.wanted && t.covered < t.event }

// ReleaseRequested tells that something has to be released, be it once more.
func (t *ReleaseTracker) ReleaseRequested() bool { return t.wanted }

// HeldFor is for how long the state has been held that a release has reached now.
func (t *ReleaseTracker) HeldFor(now int64) int64 { return max(now-t.heldSince, 0) }

// DetectLoss tells, once, that what is owed has not been taken for so long that it counts as lost.
func (t *ReleaseTracker) DetectLoss(now int64) bool {
	if t.lost || !t.ReleasePending() || now < t.event+lostAfter*t.releaseTime {
		return false
	}
	t.lost = true
	return true
}

// ends is when the settlement is given up.
func (t *ReleaseTracker) ends() int64 { return max(t.event, t.keepUntil-t.keepFor) + t.keepFor }

// NextAction tells what to do, and where that is to wait, until when. permit is how freely a release may be sent; out: an attempt of the request is out.
func (t *ReleaseTracker) NextAction(now int64, permit ReleasePermission, out bool) (action TrackerAction, at int64) {
	if t.shadowed && !out {
		t.shadowed, t.event = false, now
		t.heldSince = min(t.heldSince, now)
	}
	switch {
	case !t.wanted && t.watched == 0 && now >= t.working:
		return ActionDone, 0
	case !t.wanted && t.watched == 0:
		return ActionWait, t.working
	case !t.wanted && now >= t.keepUntil:
		return ActionDone, 0
	case !t.wanted:
		return ActionWait, t.keepUntil
	case t.ReleasePending() && now >= t.ends():
		return ActionExpire, 0
	case t.ReleasePending() && permit == ReleaseForbidden:
		return ActionWait, now + t.ReleaseTimeout()
	case t.ReleasePending() && permit == ReleaseIfUrgent && now < t.urgentAt():
		return ActionWait, min(now+t.ReleaseTimeout(), t.urgentAt())
	case t.ReleasePending() && t.watched > 0 && now < t.graceEnds:
		return ActionWait, t.graceEnds
	case t.ReleasePending():
		return ActionSend, 0
	}
	return t.nextRepeat(now, permit)
}

// urgentAt is when an owed release goes also beside a read that may be on its way.
func (t *ReleaseTracker) urgentAt() int64 {
	return t.event + int64(earlyReleaseShare*float64(t.releaseTime))
}

// nextRepeat is Next once a server has taken the release.
func (t *ReleaseTracker) nextRepeat(now int64, permit ReleasePermission) (TrackerAction, int64) {
	working := t.workedOn()
	switch {
	case t.shadowed && t.covered >= working:
		return ActionWait, now + t.ReleaseTimeout()
	case t.watched == 0 && t.covered >= working:
		return ActionDone, 0
	case t.covered >= working && now >= t.keepUntil:
		return ActionExpire, 0
	case t.covered >= working:
		return ActionWait, t.keepUntil
	}
	due := min(t.covered+t.repeatInterval(), working)
	switch {
	case now < due:
		return ActionWait, due
	case permit != ReleaseAllowed: // it may be for nothing, and would spoil a read for sure
		return ActionWait, now + t.ReleaseTimeout()
	}
	return ActionSend, 0
}
