package policy

const (
	// queuedLatency is the share of the latency target from which on a prompt must have waited in a queue.
	queuedLatency = 1.0 / 4
	// unansweredPerServer attempts, of all dispatchers together, may always wait at a server.
	unansweredPerServer = 3.0
	// limitDecrease is the factor by which a limit is cut.
	limitDecrease = 0.85
)

// concurrencyLimit bounds the outstanding attempts at the servers of a role, or the transfers over the link of a cell,
// by the latency of the last one. A queue at a prefill server makes sessions come back after their prefix was evicted,
// which makes more to read; on a link, transfers slow each other down until none ends in time.
type concurrencyLimit struct {
	limit       float64 // 0 = none yet; below 1 it means pauses between attempts
	outstanding int32
	lastSentAt  Nanos
}

// attemptSent records that an attempt was sent.
func (l *concurrencyLimit) attemptSent(now Nanos) {
	l.outstanding++
	l.lastSentAt = now
}

// adjust adapts the limit to the latency of the last attempt, as a share of the latency target (additive increase,
// multiplicative decrease). The first late answer sets the limit. It is cut to no less than what lets all dispatchers
// together keep a few attempts waiting at each server.
func (l *concurrencyLimit) adjust(latency, servers float64, dispatchers int32) {
	if latency > queuedLatency {
		if l.limit == 0 {
			l.limit = float64(l.outstanding + 1)
		}
		l.limit = max(limitDecrease*l.limit, unansweredPerServer*servers/float64(dispatchers))
	} else if l.limit > 0 {
		l.limit += min(1, 1/l.limit)
	}
}

// allows reports whether the limit permits one more attempt. target is the shortest latency target, which scales the
// pauses between attempts.
func (l *concurrencyLimit) allows(now, target Nanos) bool {
	switch {
	case l.limit == 0:
		return true
	case l.limit >= 1:
		return float64(l.outstanding) < l.limit
	}
	pause := Nanos(queuedLatency * float64(target) / l.limit)
	return l.outstanding == 0 && now >= l.lastSentAt+pause
}
