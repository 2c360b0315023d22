package policy

// reviewLater has a request reviewed at a time, which must be in the future.
func (r *Router) reviewLater(now Nanos, req *requestState, at Nanos) {
	req.reviewAt = max(at, now+1)
	r.reviewAt = min(r.reviewAt, req.reviewAt)
}

// review goes over everything in hand: requests that are due, servers against their peers, limits and expired marks.
func (r *Router) review(now Nanos) {
	r.reviewRequests(now)
	previous := r.reviewedAt
	r.reviewedAt = now
	measuredCount := r.summarizeLatencies(now - latencyTargets*r.shortestTarget)
	recounted := r.countServers(now)
	settings := &r.config.SlowStart
	memory := 2 * settings.WarmupTime // outlasts any slow start
	r.throughput.measure(now-previous, settings.OverloadWindow, memory, &r.counts.warm)
	r.ejectSlowServers(now, measuredCount)
	if r.countServers(now) || recounted { // some were ejected just now, or the fleet has changed before
		r.locality.shareCapacity()
	}
	r.requestLimit.adjust(now, r.activeCount, r.shortestTarget/2)
	r.prefixes.removeExpired(now)
	r.prefixes.decay(max(0, 1-float64(now-previous)/prefixMarkLifetime))
}

// reviewRequests enqueues the requests that are due, and schedules the next review for the others.
func (r *Router) reviewRequests(now Nanos) {
	r.reviewAt = Never
	for i := range r.requests.entries {
		req := &r.requests.entries[i]
		switch {
		case !req.used || req.reviewAt >= Never:
		case req.reviewAt <= now:
			r.requests.enqueue(int32(i))
		default:
			r.reviewAt = min(r.reviewAt, req.reviewAt, now+r.reviewInterval)
		}
	}
}
