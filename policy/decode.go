package policy

const (
	// streamTolerance is the number of streams above the fewest up to which decode servers count as equally loaded, so
	// that locality decides between them (docs/design.md).
	streamTolerance = 1
	// minComparableStreams is the number of streams per decode server below which a difference between servers is
	// random rather than a difference in load.
	minComparableStreams = 4
	// memoryRankSteps is the number of steps that the memory utilization of decode servers is rounded down to.
	memoryRankSteps = 100
)

// The transfers of KV state whose times are compared.
const (
	nearTransfer = iota // within a cell
	farTransfer         // between cells
)

const (
	// transferWindow is the time for which a transfer says how fast the links are.
	transferWindow = Nanos(4e9)
	// minSlowTransfer is the time up to which no transfer between cells is slow: another decode server would hardly
	// begin the answer earlier.
	minSlowTransfer = Nanos(150e6)
)

// The distances between a decode server and a prefill server. A smaller one is better.
const (
	sameCell int64 = iota
	sameZone
	otherZone
)

// distanceBetween returns the distance between two servers.
func distanceBetween(a, b *server) int64 {
	switch {
	case a.inCellOf(b):
		return sameCell
	case a.zone == b.zone:
		return sameZone
	}
	return otherZone
}

// pickDecode returns the decode server with the fewest streams of this dispatcher. Among servers within
// streamTolerance of the fewest, the prefill server's cell takes precedence, then its zone. While transfers between
// cells are slow, the maximum number of streams for this is multiplied by affinityYieldFactor. While the link of the
// prefill server's cell is at its limit, only servers of the cell are used.
func (r *Router) pickDecode(now Nanos, req *requestState, pass selectionPass) int32 {
	from := &r.servers[req.prefillServer]
	linkFull := !r.linkAllows(now, &r.locality.cells[from.cellIndex])
	fewest := r.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return streamCount(srv), srv.role != Prefill && (!linkFull || srv.inCellOf(from))
	})
	maxStreams, localityFactor := fewest+streamTolerance, 1.0
	if r.remoteTransfersSlow(now) {
		maxStreams, localityFactor = maxStreams*affinityYieldFactor, affinityYieldFactor
	}
	preferredDistance := sameCell
	if fewest < minComparableStreams {
		preferredDistance = r.drawDistance(&r.locality.cells[from.cellIndex], localityFactor)
	}
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		distance := distanceBetween(srv, from)
		srvRank := rank{distance, 2 * streamCount(srv), int64(srv.load.MemoryUtilization * memoryRankSteps)}
		if r.inSlowStart(now, srv) && r.manyInSlowStart(srv.role) {
			srvRank[1]-- // see slowStartAllows
		}
		if preferredDistance != sameCell && distance == preferredDistance && r.drawAcceptance(srv, distance) {
			srvRank[0] = -1
		}
		linkAllows := !linkFull || distance == sameCell
		admitted := srv.role != Prefill && linkAllows && streamCount(srv) <= maxStreams
		return srvRank, admitted && r.eligible(now, req, i, pass)
	})
}

// drawDistance draws the preferred distance of the decode server from the prefill server, for use while there are too
// few streams to compare. It draws the cell, then the zone, with a probability of factor times the share of requests
// that its decode servers can answer.
func (r *Router) drawDistance(c *cellState, factor float64) int64 {
	switch {
	case r.random.fraction() < factor*c.localCapacity:
		return sameCell
	case r.random.fraction() < factor*c.zoneCapacity:
		return sameZone
	}
	return otherZone
}

// drawAcceptance draws whether a server accepts a request from a prefill server at a distance. The probability is the
// spare decode capacity of its cell for that distance.
func (r *Router) drawAcceptance(srv *server, distance int64) bool {
	return r.random.fraction() < r.locality.cells[srv.cellIndex].spareCapacity[distance-sameZone]
}

// linkAllows reports whether the limit on transfers from a cell to others permits one more.
func (r *Router) linkAllows(now Nanos, c *cellState) bool {
	return c.link.allows(now, r.latency.attemptTime[Decode])
}

// remoteTransfersSlow reports whether transfers of KV state between cells take far longer than those within a cell,
// and long enough to matter. Only recent transfers count.
func (r *Router) remoteTransfersSlow(now Nanos) bool {
	since := now - transferWindow
	far := r.transferTimes[farTransfer].quantile(since, 0.5)
	return far > float64(minSlowTransfer) &&
		far > affinityYieldFactor*r.transferTimes[nearTransfer].quantile(since, 0.5)
}

// transferSlow reports whether the outstanding attempt transfers its KV state over slow links. Its latency then says
// nothing about the decode server or the load.
func (r *Router) transferSlow(now Nanos, req *requestState) bool {
	if req.phase != awaitingDecode {
		return false
	}
	from, to := &r.servers[req.prefillServer], &r.servers[req.attemptServer]
	return !from.inCellOf(to) && r.remoteTransfersSlow(now)
}
