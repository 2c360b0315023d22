package policy

// scheduleReview schedules the next review of a request, at a time after now.
func (r *Router) scheduleReview(now Nanos, req *requestState, at Nanos) {
	req.reviewAt = max(at, now+1)
	r.reviewAt = min(r.reviewAt, req.reviewAt)
}

// review does the periodic work: it enqueues the requests that are due, ejects slow servers, adjusts limits and
// removes expired hints.
func (r *Router) review(now Nanos) {
	r.reviewRequests(now)
	previous := r.reviewedAt
	r.reviewedAt = now
	measuredCount := r.summarizeLatencies(now - latencyWindow)
	recounted := r.countServers(now)
	settings := &r.config.SlowStart
	decayTime := 2 * settings.WarmupTime // longer than any slow start
	r.throughput.measure(now-previous, settings.OverloadWindow, decayTime, &r.counts.warm)
	r.ejectSlowServers(now, measuredCount)
	if r.countServers(now) || recounted { // servers have been ejected, or the fleet has changed
		r.locality.computeCapacities()
	}
	r.requestLimit.adjust(now, r.activeCount)
	r.reviewWaiting(now)
	r.prefixes.removeExpired(now)
	r.prefixes.decay(max(0, 1-float64(now-previous)/cacheHintLifetime))
}

// reviewRequests enqueues the requests that are due, and schedules the next review by the others.
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
