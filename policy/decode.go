package policy

const (
	// localityStreams: of decode servers within so many streams of the fewest, locality chooses (docs/design.md).
	localityStreams = 1
	// comparableStreams is the number of streams per decode server from which on a difference of one is no chance.
	comparableStreams = 4
	// memoryRankSteps is the number of steps in which the memory utilization of decode servers is compared.
	memoryRankSteps = 100
)

// transferScope says whether a KV state is transferred within a cell or between cells.
type transferScope int

const (
	transferWithinCell transferScope = iota
	transferBetweenCells
)

// The distances of a decode server from a prefill server. Less is better.
const (
	sameCell int64 = iota
	sameZone
	otherZone
)

// distanceBetween returns the distance between two servers.
func distanceBetween(a, b *server) int64 {
	switch {
	case a.cell == b.cell:
		return sameCell
	case a.zone == b.zone:
		return sameZone
	}
	return otherZone
}

// pickDecode returns the decode server with the fewest streams of this dispatcher; within localityStreams of the
// fewest, the prefill server's cell takes precedence, then its zone. While transfers between cells are slow, locality
// yields only where a near server has twice the fewest. While the link of the prefill server's cell is at its limit,
// only servers of the cell are used.
func (r *Router) pickDecode(now Nanos, req *requestState, pass selectionPass) int32 {
	from := &r.servers[req.prefillServer]
	linkFull := !r.locality.cells[from.cellIndex].link.allows(now, r.shortestTarget)
	fewest := r.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return streamCount(srv), srv.role != Prefill && (!linkFull || srv.cell == from.cell)
	})
	maxStreams, localityFactor := fewest+localityStreams, 1.0
	if r.remoteTransfersSlow(now) {
		maxStreams, localityFactor = maxStreams*affinityYield, affinityYield
	}
	reach := sameCell
	if fewest < comparableStreams {
		reach = r.randomReach(&r.locality.cells[from.cellIndex], localityFactor)
	}
	return r.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		distance := distanceBetween(srv, from)
		order := rank{distance, 2 * streamCount(srv), int64(srv.load.MemoryUtilization * memoryRankSteps)}
		if r.inSlowStart(now, srv) && r.manyInSlowStart(srv.role) {
			order[1]-- // see slowStartAllows
		}
		if reach != sameCell && distance == reach && r.hasSpareCapacity(srv, distance) {
			order[0] = -1
		}
		linkAllows := !linkFull || distance == sameCell
		admitted := srv.role != Prefill && linkAllows && streamCount(srv) <= maxStreams
		return order, admitted && r.eligible(now, req, i, pass)
	})
}

// randomReach returns how far from the prefill server the decode server should be while there are too few streams to
// compare. It draws the cell, then the zone, as often as their decode servers can bear if all dispatchers do so.
func (r *Router) randomReach(c *cellState, factor float64) int64 {
	switch {
	case r.random.fraction() < factor*c.localCapacity:
		return sameCell
	case r.random.fraction() < factor*c.zoneCapacity:
		return sameZone
	}
	return otherZone
}

// hasSpareCapacity draws whether a server takes a request from a prefill server at a distance, as often as its cell has
// more decode servers than its prefill servers need.
func (r *Router) hasSpareCapacity(srv *server, distance int64) bool {
	return r.random.fraction() < r.locality.cells[srv.cellIndex].spareCapacity[distance-sameZone]
}

// remoteTransfersSlow reports whether transfers of KV state between cells take far longer than those within one, and
// long enough to matter. It ends with a few quick ones, or when none was seen for some time.
func (r *Router) remoteTransfersSlow(now Nanos) bool {
	since := now - 4*r.shortestTarget
	between := r.transferLatencies[transferBetweenCells].quantile(since, 0.5)
	return between > slowFloor/2 &&
		between > affinityYield*r.transferLatencies[transferWithinCell].quantile(since, 0.5)
}

// transferSlow reports whether the outstanding attempt transfers its KV state over slow links: then neither its decode
// server nor the load is to blame for its latency.
func (r *Router) transferSlow(now Nanos, req *requestState) bool {
	if req.phase != awaitingDecode {
		return false
	}
	from, to := &r.servers[req.prefillServer], &r.servers[req.attemptServer]
	return from.cell != to.cell && r.remoteTransfersSlow(now)
}
