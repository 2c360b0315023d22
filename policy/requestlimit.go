package policy

const (
	// lateLatency is the share of the latency target from which on one of the two stages was late.
	lateLatency = 1.0 / 2
	// lateWeight is the weight of the last answer in the share of late ones: two late of three are noticed.
	lateWeight = 1.0 / 4
	// maxLateShare is the share of late answers that one unhealthy server does not cause: the servers are overloaded.
	maxLateShare = 1.0 / 4
	// overQuotaLimit is the part of the request limit that is open to tenants over their quota.
	overQuotaLimit = 3.0 / 4
	// limitIncrease is the part of the request limit that is added at a time: it grows slower than it is cut.
	limitIncrease = 1.0 / 16
)

// requestLimiter bounds the requests in hand by what the servers bear.
type requestLimiter struct {
	limit     float64
	lateShare float64 // moving average of the share of late or missing answers
	answered  bool    // an answer was recorded since the last adjustment
	adjustAt  Nanos   // no adjustment before this time
}

// limitFor returns the limit that applies to a request. Its last part is kept from requests of tenants over their
// quota, so that the others find room. Without overload the quota has no effect.
func (l *requestLimiter) limitFor(overQuota bool) float64 {
	if overQuota {
		return overQuotaLimit * l.limit
	}
	return l.limit
}

// recordAnswer records whether an answer was late or missing. The average is short so that a few answers are noticed.
func (l *requestLimiter) recordAnswer(late bool) {
	l.answered = true
	l.lateShare -= l.lateShare * lateWeight
	if late {
		l.lateShare += lateWeight
	}
}

// adjust adapts the limit (additive increase, multiplicative decrease): it is cut when many answers are late or
// rejected, else it grows. It guards against overload, whether load has grown or capacity has shrunk. It may do harm
// when answers are late for a reason that fewer requests do not cure.
func (l *requestLimiter) adjust(now Nanos, activeCount int32, interval Nanos) {
	if now < l.adjustAt {
		return
	}
	active := float64(activeCount)
	if l.lateShare > maxLateShare && l.answered {
		l.limit = max(limitDecrease*min(l.limit, active), 1)
	} else if active > l.limit/2 {
		l.limit += limitIncrease*l.limit + 1
	}
	l.answered, l.adjustAt = false, now+interval
}

// tokenBucket measures whether a tenant stays within its quota. It fills at the quota's rate up to one second's worth.
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
