package policy

import "slices"

// selectionPass says which servers a selection excludes. A selection without a result is repeated with the next pass,
// which excludes fewer.
type selectionPass int

const (
	// passStrict excludes servers at which the request has failed, and those that are being probed or are stalled.
	passStrict selectionPass = iota
	// passAllowAvoided also allows servers at which the request has failed.
	passAllowAvoided
	// passAllowSuspect also allows servers that are being probed or are stalled.
	passAllowSuspect
	selectionPasses
)

// eligible reports whether a server may be sent a request now.
func (r *Router) eligible(now Nanos, req *requestState, i int32, pass selectionPass) bool {
	srv := &r.servers[i]
	switch {
	case srv.health != Serving, !r.recognizesRepeat(req, srv), !r.slowStartAllows(now, srv):
		return false // hard constraints: rules two, three and four
	case now < srv.fullUntil, now < srv.ejectedUntil, now < srv.byClass[req.Class].ejectedUntil:
		return false
	case !r.roleAllows(now, srv.role):
		return false
	case pass < passAllowSuspect && (srv.halfOpen && srv.outstanding > 0 || r.stalled(now, srv, req.Class)):
		return false
	}
	return pass >= passAllowAvoided || !req.avoids(i)
}

// roleAllows reports whether the limit on attempts at the servers of a role permits one more.
func (r *Router) roleAllows(now Nanos, role Role) bool {
	return r.roleLimits[role].allows(now, r.latency.attemptTime[role])
}

// anyRoleAllows reports whether the limit on attempts permits one more at the servers of any role that requests of a
// phase may go to.
func (r *Router) anyRoleAllows(now Nanos, phase phase) bool {
	allows := func(role Role) bool { return r.counts.listed[role] > 0 && r.roleAllows(now, role) }
	if allows(Mixed) || phase == awaitingDecode {
		return allows(Mixed) || allows(Decode)
	}
	return allows(Prefill) || r.config.Attempts.DecodeCanPrefill && allows(Decode)
}

// hasEligibleDecodeServer reports whether a server may be sent the answer of a request now.
func (r *Router) hasEligibleDecodeServer(now Nanos, req *requestState, pass selectionPass) bool {
	for i := range r.servers {
		if r.servers[i].role != Prefill && r.eligible(now, req, int32(i), pass) {
			return true
		}
	}
	return false
}

// roleStage is, for each role, the stage whose service time stands for the attempts at its servers.
var roleStage = [roleCount]stage{Prefill: prefillStage, Decode: transferWithinCell, Mixed: combinedStage}

// rank orders the servers of a selection: the lowest rank wins. Earlier elements take precedence.
type rank [3]int64

// pickLowestRank returns the server with the lowest rank among those that rankOf admits, or noServer. Ties are broken
// at random.
func (r *Router) pickLowestRank(rankOf func(i int32, srv *server) (rank, bool)) int32 {
	best, ties, lowest := noServer, int32(0), rank{}
	for i := range r.servers {
		srvRank, admitted := rankOf(int32(i), &r.servers[i])
		if !admitted {
			continue
		}
		comparison := slices.Compare(srvRank[:], lowest[:])
		if best == noServer || comparison < 0 {
			best, ties, lowest = int32(i), 1, srvRank
		} else if comparison == 0 {
			if ties++; r.random.intn(ties) == 0 {
				best = int32(i)
			}
		}
	}
	return best
}

// lowestEligible returns the lowest value of a metric over the eligible servers that metric admits, or Never if
// there are none.
func (r *Router) lowestEligible(now Nanos, req *requestState, pass selectionPass,
	metric func(srv *server) (int64, bool),
) int64 {
	lowest := int64(Never)
	for i := range r.servers {
		if x, admitted := metric(&r.servers[i]); admitted && r.eligible(now, req, int32(i), pass) {
			lowest = min(lowest, x)
		}
	}
	return lowest
}
