package policy

const (
	// shortPromptTokens is the number of uncached prompt tokens below which a prompt is short (docs/design.md).
	shortPromptTokens = 2000
	// loadReportLifetime is the time in which the weight of a load report falls to 0.
	loadReportLifetime = Nanos(8e9)
	// overloadedLinkPenalty is added to the cache distance of servers whose KV state would cross an overloaded link.
	// It exceeds all cache distances.
	overloadedLinkPenalty = 3
)

// backlog returns the load of a prefill server: the prompt tokens that this dispatcher has queued there, and those of
// the server's last report, which lose weight with its age.
func (r *Router) backlog(now Nanos, srv *server) int64 {
	age := float64(now-srv.loadReportedAt) / float64(loadReportLifetime)
	if srv.load.QueuedPromptTokens > 0 && age < 1 {
		return srv.queuedTokens + int64(srv.load.QueuedPromptTokens*(1-age))
	}
	return srv.queuedTokens
}

// pickPrefill returns, among the prefill servers with the smallest cache distance, the one with the fewest queued
// prompt tokens, including the uncached ones of this prompt. A server with a long queue counts as having cached
// nothing. A server that has processed the session before takes precedence: the prompt of a session that moves is
// processed again in full, and its copies evict the prefixes of others.
func (r *Router) pickPrefill(now Nanos, req *requestState, pass selectionPass) int32 {
	lowest := r.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return r.backlog(now, srv), srv.role == Prefill
	})
	fullQueue := affinityYieldFactor * (lowest + req.PromptTokens)
	r.findReplicas(now, req, Prefill, pass, fullQueue)
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		if srv.role != Prefill || !r.eligible(now, req, i, pass) {
			return rank{}, false
		}
		queue, cached := r.backlog(now, srv), r.affinity.cachedTokens(now, req, i)
		distance, remote := nothingCached, int64(1)
		if queue < fullQueue {
			distance = r.cacheDistance(now, req, i)
		}
		if srv.zone == r.config.Self.Zone {
			remote = 0
		}
		if r.needsOverloadedLink(now, req, &r.locality.cells[srv.cellIndex]) {
			distance += overloadedLinkPenalty
		}
		if r.inSlowStart(now, srv) && r.manyInSlowStart(Prefill) {
			distance = -1 // see slowStartAllows
		}
		return rank{distance, queue + req.PromptTokens - cached, remote}, true
	})
}

// needsOverloadedLink reports whether the KV state of a request, if a cell's prefill server processes its prompt,
// would have to leave the cell while the cell's link is overloaded.
func (r *Router) needsOverloadedLink(now Nanos, req *requestState, c *cellState) bool {
	staysInside := hashFraction(uint64(req.ID)) < c.localCapacity
	return c.link.limit > 0 && !staysInside && !r.linkAllows(now, c)
}

// pickMixed returns, for a short prompt, the mixed server with the fewest streams of this dispatcher, or noServer.
// While there are too few streams to compare, it only does so if the prefill servers are overloaded or not listed:
// each of many dispatchers would take an unused server to be idle, and prefills slow down the server's streams
// (docs/design.md).
func (r *Router) pickMixed(now Nanos, req *requestState, pass selectionPass) int32 {
	if req.PromptTokens-req.PrefixTokens >= shortPromptTokens {
		return noServer
	}
	fewest := r.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return streamCount(srv), srv.role != Prefill
	})
	overloaded := r.prefillOverloaded(now, req, pass)
	maxStreams := fewest + streamTolerance
	if overloaded {
		maxStreams *= affinityYieldFactor
	} else if fewest < minComparableStreams {
		return noServer
	}
	r.findReplicas(now, req, Mixed, pass, int64(Never))
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		admitted := srv.role == Mixed && streamCount(srv) <= maxStreams &&
			(overloaded || srv.highLatency <= slowFactor)
		distance := r.cacheDistance(now, req, i)
		admitted = admitted && (distance < nothingCached || req.PromptTokens < shortPromptTokens)
		return rank{distance, streamCount(srv)}, admitted && r.eligible(now, req, i, pass)
	})
}

// prefillOverloaded reports whether this request's prompt would queue at every prefill server: each is being probed,
// attempts queue there, or it has more tokens queued than this prompt has. This covers pools that shrink and load that
// this dispatcher does not see.
func (r *Router) prefillOverloaded(now Nanos, req *requestState, pass selectionPass) bool {
	own := float64(r.work.serviceTime(prefillStage, req.PromptTokens))
	for i := range r.servers {
		srv := &r.servers[i]
		if srv.role != Prefill || srv.halfOpen || !r.eligible(now, req, int32(i), pass) {
			continue
		}
		late := srv.outstanding > 0 && (srv.lastQueued || hasQueued(now-srv.lastResponseAt, float64(srv.longestWork)))
		behindQueue := r.work.serviceTime(prefillStage, r.backlog(now, srv)+req.PromptTokens)
		if !late && !hasQueued(behindQueue, own) {
			return false
		}
	}
	return true
}

// pickWithoutPrefill returns a server for a request while no prefill server is in service: a mixed server for a prompt
// of any length, or a decode server if decode servers can process prompts.
func (r *Router) pickWithoutPrefill(now Nanos, req *requestState, pass selectionPass) int32 {
	if r.counts.serving[Prefill] > 0 {
		return noServer
	}
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		canPrefill := srv.role == Mixed || srv.role == Decode && r.config.Attempts.DecodeCanPrefill
		return rank{streamCount(srv)}, canPrefill && r.eligible(now, req, i, pass)
	})
}
