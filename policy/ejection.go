package policy

const (
	// slowFactor times the peers' median makes a server slow: uneven load makes 2, a fault 4 and more.
	slowFactor = 3.0
	// slowFloor is the share of the latency target under which no latency counts as slow.
	slowFloor = 1.0 / 3
	// stallFactor times the high latency without an answer is no chance.
	stallFactor = 2.0
	// stallFloor is the least high latency by which a stall is measured, as a share of the latency target.
	stallFloor = 1.0 / 6
	// manyUnanswered attempts at a prefill server that answers none: a queue would move.
	manyUnanswered = 6
	// failureDecay is the weight of the past in a server's share of failures.
	failureDecay = 0.8
	// maxFailureShare is exceeded by two failures in a row, or by one attempt in three.
	maxFailureShare = 0.3
	// failureFactor times the peers' median share of failures: what happens to all is not one server's fault.
	failureFactor = 3.0
	// maxEjectedPart: at most one server in so many is ejected for latency or failures.
	maxEjectedPart = 3
	// ejectionMemory is the time, in lengths of the last ejection, after which the next one is short again.
	ejectionMemory = 4
)

// recordOutcome updates a server's share of failures and ejects it if it fails too often. This covers servers that fail
// fast, hang, or are gone before the list says so. A rejection is no failure: the server is full and says so.
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
		r.roleLimits[srv.role].adjust(1, r.counts.serving[srv.role], r.config.Self.Count)
		srv.fullUntil = now + req.latencyTarget/8
		return
	case NotSent, StateMissing, StaleConnection: // a reused connection that was dead says nothing of the server
		return
	case Served, Prefilled:
		srv.halfOpen = false
		if srv.unreachable { // it is back, since an unknown time: treated as just started
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

// recordNoAnswer records an attempt that timed out or was cancelled. The server is ejected for the request's class
// unless there is another reason for the silence.
func (r *Router) recordNoAnswer(now Nanos, srv *server, req *requestState, outcome Outcome) {
	excused := r.transferSlow(now, req) || req.phase == streaming || req.finished
	if !excused && (req.cancelSent || r.stalled(now, srv, req.Class)) {
		r.ejectForClass(now, srv, req)
		return
	}
	if outcome == TimedOut {
		r.requestLimit.recordAnswer(true)
	}
}

// failsMoreThanPeers reports whether a server fails far more often than its peers. Where attempts fail at all servers
// alike, because of the network or of what is sent, ejecting some only leaves fewer; and a server that has begun to
// read a prompt keeps its prefix, so a request whose prefill broke may go there again.
func (r *Router) failsMoreThanPeers(srv *server) bool {
	typical := r.medianOverServers(srv.role, func(peer *server) float64 { return peer.failureShare + 1e-9 })
	return srv.failureShare > failureFactor*typical
}

// ejectSlowServers ejects those of the first count servers whose latencies are far above their peers'.
func (r *Router) ejectSlowServers(now Nanos, count int) {
	for i := range count {
		srv := &r.servers[i]
		if srv.highLatency <= max(slowFloor, slowFactor*r.latency.medianHigh[srv.role]) {
			continue
		}
		if srv.health == Serving && now >= srv.ejectedUntil && !r.inSlowStart(now, srv) {
			r.ejectOutlier(now, srv, EjectedSlow)
		}
	}
}

// ejectOutlier ejects a server that differs from its peers, unless too many are ejected.
func (r *Router) ejectOutlier(now Nanos, srv *server, reason EjectionReason) {
	if !r.tooManyEjected(now, srv.role) {
		r.eject(now, srv, reason)
	}
}

// eject keeps new requests from a server for a time; after that, one request at a time probes it. An ejection that soon
// follows another lasts twice as long, up to the time in which a server warms up, so that a long outage costs few
// probes.
func (r *Router) eject(now Nanos, srv *server, reason EjectionReason) {
	if now > srv.ejectedUntil+ejectionMemory*srv.ejectionTime {
		srv.ejectionTime = 0
	}
	srv.ejectionTime = min(max(2*srv.ejectionTime, r.shortestTarget/2), r.maxEjectionTime())
	srv.ejectedUntil, srv.halfOpen, r.counts.stale = now+srv.ejectionTime, true, true
	srv.forgetLatencies()
	r.ejections = append(r.ejections, Ejection{srv.id, NoClass, reason, srv.ejectionTime})
}

// maxEjectionTime returns the longest time for which a server is ejected.
func (r *Router) maxEjectionTime() Nanos { return max(r.config.SlowStart.WarmupTime, r.shortestTarget) }

// tooManyEjected reports whether no more servers of a stage may be ejected but those that cannot be reached. Decode and
// mixed servers are one stage.
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
	return ejected*maxEjectedPart > total
}

// ejectForClass keeps requests of one class from a server that did not answer one, for times that double; it may well
// serve other classes. Unless it has answered another request since, all requests are kept from it for a moment.
func (r *Router) ejectForClass(now Nanos, srv *server, req *requestState) {
	c := &srv.byClass[req.Class]
	if now > c.ejectedUntil+ejectionMemory*c.ejectionTime {
		c.ejectionTime = 0
	}
	// An ejection shorter than the time between two answers would never be noticed.
	answerInterval := r.throughput.answerInterval(srv.role, r.config.SlowStart.OverloadWindow)
	c.ejectionTime = min(max(2*c.ejectionTime, r.shortestTarget/2, answerInterval), r.maxEjectionTime())
	c.ejectedUntil, srv.halfOpen = now+c.ejectionTime, true
	if srv.lastAnswerAt <= req.sentAt {
		srv.ejectedUntil, r.counts.stale = max(srv.ejectedUntil, now+r.shortestTarget/2), true
	}
	r.ejections = append(r.ejections, Ejection{srv.id, req.Class, EjectedSilent, c.ejectionTime})
}

// stalled reports whether a server has outstanding attempts of a class and has not answered any for far longer than its
// role takes: it hangs, is cut off, or is gone and the list does not say so yet. Its first answer ends the stall. A
// stalled prefill server gets no new request, but an attempt there is cancelled only where many are outstanding: a few
// have mostly queued, and read again elsewhere they lengthen that queue too.
func (r *Router) stalled(now Nanos, srv *server, class ClassID) bool {
	latency := max(r.latency.high[srv.role], stallFloor)
	maxSilence := stallFactor * latency * float64(r.config.Classes[class].LatencyTarget)
	c := &srv.byClass[class]
	return c.outstanding > 0 && now-c.lastAnswerAt > Nanos(maxSilence)+srv.maxPromptAllowance
}
