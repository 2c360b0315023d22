package policy

const (
	// shortPromptTokens bounds the uncached tokens of a prompt that a mixed server may read itself (docs/design.md).
	shortPromptTokens = 2000
	// loadReportTargets is the time, in shortest latency targets, over which a load report loses its weight.
	loadReportTargets = 8
	// overLinkPenalty is added to the cache distance of servers whose KV state would cross an overloaded link.
	overLinkPenalty = 3
)

// backlog returns the design's load signal of a prefill server: the prompt tokens that this dispatcher has queued there
// and those that the server has reported lately.
func (r *Router) backlog(now Nanos, srv *server) int64 {
	age := float64(now-srv.loadReportedAt) / float64(loadReportTargets*r.shortestTarget)
	if srv.load.QueuedPromptTokens > 0 && age < 1 {
		return srv.queuedTokens + int64(srv.load.QueuedPromptTokens*(1-age))
	}
	return srv.queuedTokens
}

// pickPrefill returns, among the prefill servers that hold the request's prefix and are not overloaded, the one with
// the fewest queued prompt tokens, the uncached ones of this prompt included. A server that has read this session
// before holds the longest prefix and takes precedence: a session that moves is read anew each time, and what it leaves
// behind evicts what others need.
func (r *Router) pickPrefill(now Nanos, req *requestState, pass selectionPass) int32 {
	lowest := r.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return r.backlog(now, srv), srv.role == Prefill
	})
	fullQueue := affinityYield * (lowest + req.PromptTokens)
	r.findReplicas(now, req, Prefill, pass, fullQueue)
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		if srv.role != Prefill || !r.eligible(now, req, i, pass) {
			return rank{}, false
		}
		queue, cached := r.backlog(now, srv), r.affinity.cachedTokens(now, req, i)
		distance, remote := holdsNothing, int64(1)
		if queue < fullQueue {
			distance = r.cacheDistance(now, req, i)
		}
		if srv.zone == r.config.Self.Zone {
			remote = 0
		}
		if r.needsOverloadedLink(now, req, &r.locality.cells[srv.cellIndex]) {
			distance += overLinkPenalty
		}
		if r.inSlowStart(now, srv) && r.manyInSlowStart(Prefill) {
			distance = -1 // see slowStartAllows
		}
		return rank{distance, queue + req.PromptTokens - cached, remote}, true
	})
}

// needsOverloadedLink reports whether a request that is read in a cell would have to be answered outside it while the
// cell's link is overloaded.
func (r *Router) needsOverloadedLink(now Nanos, req *requestState, c *cellState) bool {
	staysInside := hashFraction(uint64(req.ID)) < c.localCapacity
	return c.link.limit > 0 && !staysInside && !c.link.allows(now, r.shortestTarget)
}

// pickMixed implements the design's rule for short prompts: the mixed server with the fewest streams of this dispatcher
// reads them itself. While there are too few streams to compare, it does so only when the prefill servers are
// overloaded: hundreds of dispatchers would each find it empty, and what it reads slows its streams. The rule also
// applies where no prefill server is listed.
func (r *Router) pickMixed(now Nanos, req *requestState, pass selectionPass) int32 {
	if req.PromptTokens-req.PrefixTokens >= shortPromptTokens {
		return noServer
	}
	fewest := r.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return streamCount(srv), srv.role != Prefill
	})
	overloaded := r.prefillOverloaded(now, req, pass)
	maxStreams := fewest + localityStreams
	if overloaded {
		maxStreams *= affinityYield
	} else if fewest < comparableStreams {
		return noServer
	}
	r.findReplicas(now, req, Mixed, pass, int64(Never))
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		admitted := srv.role == Mixed && streamCount(srv) <= maxStreams &&
			(overloaded || srv.highLatency <= slowFloor)
		distance := r.cacheDistance(now, req, i)
		admitted = admitted && (distance < holdsNothing || req.PromptTokens < shortPromptTokens)
		return rank{distance, streamCount(srv)}, admitted && r.eligible(now, req, i, pass)
	})
}

// prefillOverloaded reports whether no prefill server is likely to read this request in good time: each is being
// probed, has more tokens queued than the class's allowance for prompt length gives time for, or has answered late.
// This covers pools that shrink and load that this dispatcher cannot see.
func (r *Router) prefillOverloaded(now Nanos, req *requestState, pass selectionPass) bool {
	class := &r.config.Classes[req.Class]
	maxWait := Nanos(queuedLatency * float64(class.LatencyTarget))
	for i := range r.servers {
		srv := &r.servers[i]
		if srv.role != Prefill || srv.halfOpen || !r.eligible(now, req, int32(i), pass) {
			continue
		}
		late := srv.outstanding > 0 && (srv.lastLatency > queuedLatency || now-srv.lastAnswerAt > maxWait)
		if !late && Nanos(r.backlog(now, srv))*class.LatencyTargetPer1k/1000 < maxWait {
			return false
		}
	}
	return true
}

// pickWithoutPrefill returns a server for a request while no prefill server is in service: a mixed server whatever the
// prompt's length, or a decode server where those may read prompts.
func (r *Router) pickWithoutPrefill(now Nanos, req *requestState, pass selectionPass) int32 {
	if r.counts.serving[Prefill] > 0 {
		return noServer
	}
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		canPrefill := srv.role == Mixed || srv.role == Decode && r.config.Attempts.DecodeCanPrefill
		return rank{streamCount(srv)}, canPrefill && r.eligible(now, req, i, pass)
	})
}
