package policy

const (
	// minUnansweredPerServer is the number of unanswered attempts per server, of all dispatchers together, that a
	// limit always permits.
	minUnansweredPerServer = 3.0
	// limitDecreaseFactor is the factor that a limit is multiplied by when it decreases.
	limitDecreaseFactor = 0.85
)

// concurrencyLimit bounds the outstanding attempts at the servers of a role, or the transfers over the link of a cell.
// It adapts to whether they queue there. It guards against two effects of overload that reinforce themselves: prefixes
// that are evicted while their sessions queue, and transfers that slow each other down until none ends in time.
type concurrencyLimit struct {
	limit       float64 // 0 = not set yet; a limit below 1 means pauses between attempts
	outstanding int32
	lastSentAt  Nanos
}

// attemptSent records that an attempt was sent.
func (l *concurrencyLimit) attemptSent(now Nanos) {
	l.outstanding++
	l.lastSentAt = now
}

// adjust adapts the limit to whether the last attempt has queued (additive increase, multiplicative decrease). The
// first attempt that has queued sets the limit. It decreases no further than to this dispatcher's part of
// minUnansweredPerServer attempts at each server.
func (l *concurrencyLimit) adjust(queued bool, servers float64, dispatchers int32) {
	if queued {
		if l.limit == 0 {
			l.limit = float64(l.outstanding + 1)
		}
		l.limit = max(limitDecreaseFactor*l.limit, minUnansweredPerServer*servers/float64(dispatchers))
	} else if l.limit > 0 {
		l.limit += min(1, 1/l.limit)
	}
}

// allows reports whether the limit permits one more attempt. Below one attempt, each is followed by a pause, so that on
// average limit attempts are outstanding, each for attemptTime.
func (l *concurrencyLimit) allows(now, attemptTime Nanos) bool {
	switch {
	case l.limit == 0:
		return true
	case l.limit >= 1:
		return float64(l.outstanding) < l.limit
	}
	pause := Nanos(float64(attemptTime) / l.limit)
	return l.outstanding == 0 && now >= l.lastSentAt+pause
}
