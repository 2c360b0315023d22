package policy

const (
	// slowFactor is the multiple of the median of its peers above which a server's high latency counts as slow. Uneven
	// load makes 2, a fault 4 and more.
	slowFactor = 3.0
	// minSlowTime is the time up to which no server is slow: its clients gain more from the prefixes that it caches.
	minSlowTime = Nanos(300e6)
	// stallFactor is the multiple of the high latency of its role after which a server without a response is stalled.
	stallFactor = 2.0
	// minStallTime is the silence up to which no server is stalled: a lost packet is sent again after 200 ms, and the
	// response still takes its time.
	minStallTime = Nanos(300e6)
	// minEjectionTime is the duration of a first ejection. A server that answers again is soon found by the probe.
	minEjectionTime = Nanos(500e6)
	// fullServerPause is the time for which a server that has rejected a request gets no other: some of its requests
	// will have ended.
	fullServerPause = Nanos(100e6)
	// minUnansweredToCancel is the minimum number of unanswered attempts at a stalled prefill server for them to be
	// canceled. Fewer may only have queued.
	minUnansweredToCancel = 6
	// failureDecay is the weight of the earlier outcomes in the moving average of a server's failures.
	failureDecay = 0.8
	// maxFailureShare is the share of failures above which a server is ejected. Two failures in a row exceed it,
	// and so does one attempt in three.
	maxFailureShare = 0.3
	// failureFactor is the multiple of the median of its peers above which a server's share of failures is an outlier.
	// What happens to all servers is not the fault of one.
	failureFactor = 3.0
	// serversPerEjection is the number of serving servers of a stage for each one that may be ejected as an outlier.
	serversPerEjection = 3
	// ejectionResetFactor is the multiple of an ejection's duration after which the next one is short again.
	ejectionResetFactor = 4
)

// recordOutcome updates a server's share of failures and ejects it if it fails too often. This covers servers that
// fail fast, hang, or are gone before the list reports it. A rejection is not a failure: the server is full.
func (r *Router) recordOutcome(now Nanos, srv *server, req *requestState, outcome Outcome) {
	failure := 0.0
	switch outcome {
	case Failed, ConnectionLost:
		failure = 1
	case TimedOut, Canceled:
		r.recordNoAnswer(now, srv, req, outcome)
		return
	case Unreachable:
		failure = 1
		srv.failureShare = max(srv.failureShare, 2*maxFailureShare)
		srv.unreachable = true
	case Rejected:
		r.requestLimit.recordAnswer(true)
		r.roleLimits[srv.role].adjust(true, r.counts.serving[srv.role], r.config.Self.Count)
		srv.fullUntil = now + fullServerPause
		return
	case NotSent, StateMissing, StaleConnection: // say nothing about the server's health
		return
	case Served, Prefilled:
		srv.halfOpen = false
		if srv.unreachable { // may have restarted in the meantime: treated as just started
			srv.unreachable, srv.startedAt, r.counts.stale = false, now, true
		}
	}
	srv.failureShare = srv.failureShare*failureDecay + failure*(1-failureDecay)
	switch {
	case failure == 0 || srv.failureShare <= maxFailureShare || now < srv.ejectedUntil:
	case outcome == Unreachable:
		r.eject(now, srv, EjectedUnreachable)
	case r.failsMoreThanPeers(srv):
		r.ejectOutlier(now, srv, EjectedFailing)
	}
}

// recordNoAnswer records an attempt that timed out or was canceled. The server is ejected for the request's class if
// it is stalled, or was when the attempt was canceled, unless the missing response has another cause.
func (r *Router) recordNoAnswer(now Nanos, srv *server, req *requestState, outcome Outcome) {
	otherCause := r.transferSlow(now, req) || req.phase == streaming || req.finished
	if !otherCause && (req.cancelSent || r.stalled(now, srv, req.Class)) {
		r.ejectForClass(now, srv, req)
		return
	}
	if outcome == TimedOut {
		r.requestLimit.recordAnswer(true)
	}
}

// failsMoreThanPeers reports whether a server fails far more often than its peers. Where attempts fail at all servers
// alike, because of the network or the requests, ejections only reduce capacity. A retry may then go to the same
// prefill server, which has cached part of the prompt.
func (r *Router) failsMoreThanPeers(srv *server) bool {
	medianShare := r.medianOverServers(srv.role, func(peer *server) float64 { return peer.failureShare + 1e-9 })
	return srv.failureShare > failureFactor*medianShare
}

// ejectSlowServers ejects those of the first count servers whose latencies are far above those of their peers.
func (r *Router) ejectSlowServers(now Nanos, count int) {
	for i := range count {
		srv := &r.servers[i]
		if srv.highLatency <= slowFactor*r.latency.medianHigh[srv.role] || !r.callersNotice(srv) {
			continue
		}
		if srv.health == Serving && now >= srv.ejectedUntil && !r.inSlowStart(now, srv) {
			r.ejectOutlier(now, srv, EjectedSlow)
		}
	}
}

// callersNotice reports whether callers would notice how slow a server is.
func (r *Router) callersNotice(srv *server) bool {
	usual := float64(r.work.meanServiceTime(roleStage[srv.role]))
	return srv.highLatency*usual > float64(minSlowTime)
}

// ejectOutlier ejects a server that differs from its peers, unless too many servers are ejected.
func (r *Router) ejectOutlier(now Nanos, srv *server, reason EjectionReason) {
	if !r.tooManyEjected(now, srv.role) {
		r.eject(now, srv, reason)
	}
}

// eject keeps new requests from a server for a time; after that, one request at a time probes it. An ejection that
// soon follows another lasts twice as long, up to maxEjectionTime, so that few requests probe a server during a long
// outage.
func (r *Router) eject(now Nanos, srv *server, reason EjectionReason) {
	if now > srv.ejectedUntil+ejectionResetFactor*srv.ejectionTime {
		srv.ejectionTime = 0
	}
	srv.ejectionTime = min(max(2*srv.ejectionTime, minEjectionTime), r.maxEjectionTime())
	srv.ejectedUntil, srv.halfOpen, r.counts.stale = now+srv.ejectionTime, true, true
	srv.forgetLatencies()
	r.ejections = append(r.ejections, Ejection{srv.id, NoClass, reason, srv.ejectionTime})
}

// maxEjectionTime returns the longest duration of an ejection.
func (r *Router) maxEjectionTime() Nanos {
	return max(r.config.SlowStart.WarmupTime, 2*minEjectionTime)
}

// tooManyEjected reports whether no further outlier of a stage may be ejected. Decode and mixed servers are one stage.
func (r *Router) tooManyEjected(now Nanos, role Role) bool {
	ejected, total := 1, 0
	for i := range r.servers {
		srv := &r.servers[i]
		if (srv.role == Prefill) != (role == Prefill) || srv.health != Serving {
			continue
		}
		if total++; now < srv.ejectedUntil {
			ejected++
		}
	}
	return ejected*serversPerEjection > total
}

// ejectForClass keeps requests of one class from a server that did not answer a request of that class; it may still
// serve other classes. The duration doubles as in eject. If the server has answered nothing since the request was
// sent, all classes are kept from it for a short time.
func (r *Router) ejectForClass(now Nanos, srv *server, req *requestState) {
	c := &srv.byClass[req.Class]
	if now > c.ejectedUntil+ejectionResetFactor*c.ejectionTime {
		c.ejectionTime = 0
	}
	// An ejection shorter than the time between two answers would have no effect.
	answerInterval := r.throughput.answerInterval(srv.role, r.config.SlowStart.OverloadWindow)
	c.ejectionTime = min(max(2*c.ejectionTime, minEjectionTime, answerInterval), r.maxEjectionTime())
	c.ejectedUntil, srv.halfOpen = now+c.ejectionTime, true
	if srv.lastResponseAt <= req.sentAt {
		srv.ejectedUntil, r.counts.stale = max(srv.ejectedUntil, now+minEjectionTime), true
	}
	r.ejections = append(r.ejections, Ejection{srv.id, req.Class, EjectedSilent, c.ejectionTime})
}

// stalled reports whether a server has outstanding attempts of a class and has answered none for far longer than
// servers of its role take: it hangs, is unreachable, or is gone and the list does not report it yet. The next
// response ends the stall. A stalled prefill server gets no new requests, but its attempts are canceled only if many
// are outstanding: a few have probably only queued, and would lengthen the queues of other servers.
func (r *Router) stalled(now Nanos, srv *server, class ClassID) bool {
	c := &srv.byClass[class]
	return c.outstanding > 0 && now-c.lastResponseAt > r.maxSilence(srv, class)
}

// maxSilence returns how long a server with outstanding attempts of a class may take for a response before it is
// stalled. While nothing is known of how long the work takes, that is half of the time for which callers of the class
// wait, so that an attempt elsewhere may take as long.
func (r *Router) maxSilence(srv *server, class ClassID) Nanos {
	if srv.longestWork == 0 {
		return r.config.Classes[class].Timeout / 2
	}
	usual := max(r.latency.high[srv.role], 1) * float64(srv.longestWork)
	return max(Nanos(stallFactor*usual), minStallTime)
}
