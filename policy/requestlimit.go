package policy

const (
	// limitInterval is the time between two adjustments of the limit, in which the last one takes effect.
	limitInterval = Nanos(500e6)
	// lateWeight is the weight of the last answer in the moving average of late answers. Two late ones of three are
	// noticed.
	lateWeight = 1.0 / 4
	// maxLateShare is the share of late answers above which the servers are overloaded. One unhealthy server alone
	// stays below it.
	maxLateShare = 1.0 / 4
	// overQuotaShare is the share of the request limit that is available to tenants over their quota.
	overQuotaShare = 3.0 / 4
	// limitIncreaseShare is the share of the request limit that is added when it grows; it grows slower than it
	// decreases.
	limitIncreaseShare = 1.0 / 16
)

// requestLimiter limits the active requests to what the servers can handle.
type requestLimiter struct {
	limit     float64
	lateShare float64 // moving average of the share of late or missing answers
	answered  bool    // an answer was recorded since the last adjustment
	adjustAt  Nanos   // no adjustment before this time
}

// limitFor returns the limit that applies to a request. It is lower for tenants over their quota, to leave capacity
// for the others. Without overload the quota has no effect.
func (l *requestLimiter) limitFor(overQuota bool) float64 {
	if overQuota {
		return overQuotaShare * l.limit
	}
	return l.limit
}

// recordAnswer records whether an answer was missing or came too late for its caller.
func (l *requestLimiter) recordAnswer(late bool) {
	l.answered = true
	l.lateShare -= l.lateShare * lateWeight
	if late {
		l.lateShare += lateWeight
	}
}

// adjust adapts the limit: it decreases while many answers are late or missing, and otherwise grows while more than
// half of it is in use. It guards against overload, whether load has grown or capacity has shrunk. It can do harm if
// answers are late for a reason other than load.
func (l *requestLimiter) adjust(now Nanos, activeCount int32) {
	if now < l.adjustAt {
		return
	}
	active := float64(activeCount)
	if l.lateShare > maxLateShare && l.answered {
		l.limit = max(limitDecreaseFactor*min(l.limit, active), 1)
	} else if active > l.limit/2 {
		l.limit += limitIncreaseShare*l.limit + 1
	}
	l.answered, l.adjustAt = false, now+limitInterval
}

// tokenBucket measures whether a tenant is within its quota. It fills at the rate of the quota, up to the tokens of
// one second.
type tokenBucket struct {
	level     float64
	updatedAt Nanos
}

// take takes one token and reports whether there was one.
func (b *tokenBucket) take(now Nanos, perSecond float64) bool {
	b.level = min(b.level+float64(now-b.updatedAt)/1e9*perSecond, max(perSecond, 1))
	b.updatedAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
