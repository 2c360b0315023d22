package inflight

// Settlement follows what the attempts of one request may have left at servers until it is gone for sure. An attempt that was given up
// may still run there, as its server has not heard of it: a read may end, and a write may keep the state that it waits for. A release goes out when
// one is wanted, again when the end of such an attempt is confirmed, and meanwhile from time to time for as long as its server may work on it.
type Settlement struct {
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

// Action is what a settlement asks for.
type Action uint8

const (
	Wait    Action = iota // nothing until a time
	Send                  // send a release
	Settled               // nothing is left to be done
	Expired               // it is given up: the server of an attempt has said nothing, or no server has taken the release
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
	// HeldSlack is how much longer than the release time a state may be held.
	HeldSlack = int64(300e6)
	// keepWatched is how long connections are kept to see the end of an attempt where the settings name no time after which servers close
	// what stands idle.
	keepWatched = int64(10e9)
	// mostSettlements may be under way at once; more are left to the servers' own time.
	mostSettlements = 4096
	// mostParallel is how many servers at most are asked at once.
	mostParallel = 4
	// MostTries is how many releases of a request may be without an answer at once; the oldest gives way.
	MostTries = 2 * mostParallel
)

// NewSettlement makes the settlement of a request. idle is the time after which servers close idle connections; 0 = not told.
func NewSettlement(releaseTime, idle int64) Settlement {
	if idle <= 0 {
		idle = keepWatched
	}
	return Settlement{releaseTime: releaseTime, keepFor: idle, heldSince: never, covered: -1}
}

// MaySettle tells whether one more settlement may be begun beside n.
func MaySettle(n int) bool { return n < mostSettlements }

// ReleaseTimeout is how long a release waits for its answer before other servers are asked as well.
func (s *Settlement) ReleaseTimeout() int64 { return s.releaseTime / releaseTries }

// RoundTimeout is how long a round of releases, counted from 0, waits for an answer before the next: once the release time is over, there
// is no haste any more.
func (s *Settlement) RoundTimeout(round int) int64 {
	if round >= releaseTries {
		return s.repeatInterval()
	}
	return s.ReleaseTimeout()
}

// Parallel is how many servers are asked at once in a round, counted from 0: those that are silent must not use up the time one after
// another.
func Parallel(round int) int { return min(1<<min(round, 8), mostParallel) }

func (s *Settlement) repeatInterval() int64 { return int64(repeatShare * float64(s.releaseTime)) }

// Want has a release sent: a state is held, or may be, whose clock runs since then.
func (s *Settlement) Want(now, heldSince int64) {
	if s.watched > 0 {
		s.graceEnds = now + s.ReleaseTimeout()
	}
	s.wanted, s.event, s.lost = true, now, false
	s.heldSince = min(s.heldSince, heldSince)
}

// GivenUp tells that an attempt has ended here which its server may have, and can be expected to work on until a time: the platform's page
// says of an attempt whose time is over that it may run yet. watched: its connection is kept to see its end.
func (s *Settlement) GivenUp(now, until int64, watched bool) {
	if watched {
		s.watched++
		s.watchedTo, s.keepUntil = max(s.watchedTo, until), now+s.keepFor
	} else {
		s.working = max(s.working, until)
	}
	if s.wanted {
		s.event = now
	}
}

// Confirmed tells that a watched connection has shown the end of its attempt; what that left is still to be released.
func (s *Settlement) Confirmed(now int64) {
	s.watched--
	if s.wanted {
		s.event = now
	}
}

// ShowsEnd tells whether the loss of a watched connection shows that the server knows of the end of its attempt, which was given up then: an orderly end does;
// a reset does if it follows at once, as servers reset what they cancel. A later one may come from whatever stands between.
func (s *Settlement) ShowsEnd(now, givenUp int64, orderly bool) bool {
	return orderly || now-givenUp <= s.ReleaseTimeout()
}

// Unwatched tells that a watched connection is gone without a sign.
func (s *Settlement) Unwatched() {
	s.watched--
	s.working = max(s.working, s.watchedTo)
}

// workedOn is until when servers may work on what was given up and is not known to be over.
func (s *Settlement) workedOn() int64 {
	if s.watched > 0 {
		return max(s.working, s.watchedTo)
	}
	return s.working
}

// Began tells that a release is written; out: while an attempt of the request is out. A server may keep what such an attempt is taken to need, so
// that another follows when it is over.
func (s *Settlement) Began(out bool) { s.shadowed = s.shadowed || out }

// Answered tells that a server has taken a release that was begun then.
func (s *Settlement) Answered(begun int64) {
	if s.covered = max(s.covered, begun); !s.Owed() {
		s.heldSince = never
	}
}

// Owed tells that a release is owed that no server has taken yet.
func (s *Settlement) Owed() bool { return s.wanted && s.covered < s.event }

// Wanted tells that something has to be released, be it once more.
func (s *Settlement) Wanted() bool { return s.wanted }

// HeldFor is for how long the state has been held that a release has reached now.
func (s *Settlement) HeldFor(now int64) int64 { return max(now-s.heldSince, 0) }

// Lost tells, once, that what is owed has not been taken for so long that it counts as lost.
func (s *Settlement) Lost(now int64) bool {
	if s.lost || !s.Owed() || now < s.event+lostAfter*s.releaseTime {
		return false
	}
	s.lost = true
	return true
}

// ends is when the settlement is given up.
func (s *Settlement) ends() int64 { return max(s.event, s.keepUntil-s.keepFor) + s.keepFor }

// Next tells what to do, and where that is to wait, until when. permit is how freely a release may be sent; out: an attempt of the request is out.
func (s *Settlement) Next(now int64, permit Permit, out bool) (action Action, at int64) {
	if s.shadowed && !out {
		s.shadowed, s.event = false, now
		s.heldSince = min(s.heldSince, now)
	}
	switch {
	case !s.wanted && s.watched == 0 && now >= s.working:
		return Settled, 0
	case !s.wanted && s.watched == 0:
		return Wait, s.working
	case !s.wanted && now >= s.keepUntil:
		return Settled, 0
	case !s.wanted:
		return Wait, s.keepUntil
	case s.Owed() && now >= s.ends():
		return Expired, 0
	case s.Owed() && permit == Forbidden:
		return Wait, now + s.ReleaseTimeout()
	case s.Owed() && permit == Reluctantly && now < s.urgentAt():
		return Wait, min(now+s.ReleaseTimeout(), s.urgentAt())
	case s.Owed() && s.watched > 0 && now < s.graceEnds:
		return Wait, s.graceEnds
	case s.Owed():
		return Send, 0
	}
	return s.nextRepeat(now, permit)
}

// urgentAt is when an owed release goes also beside a read that may be on its way.
func (s *Settlement) urgentAt() int64 {
	return s.event + int64(earlyReleaseShare*float64(s.releaseTime))
}

// nextRepeat is Next once a server has taken the release.
func (s *Settlement) nextRepeat(now int64, permit Permit) (Action, int64) {
	working := s.workedOn()
	switch {
	case s.shadowed && s.covered >= working:
		return Wait, now + s.ReleaseTimeout()
	case s.watched == 0 && s.covered >= working:
		return Settled, 0
	case s.covered >= working && now >= s.keepUntil:
		return Expired, 0
	case s.covered >= working:
		return Wait, s.keepUntil
	}
	due := min(s.covered+s.repeatInterval(), working)
	switch {
	case now < due:
		return Wait, due
	case permit != Free: // it may be for nothing, and would spoil a read for sure
		return Wait, now + s.ReleaseTimeout()
	}
	return Send, 0
}
