package policy

import "slices"

// selectionPass says which advice against servers a selection heeds. Later passes are made when no other server is
// left.
type selectionPass int

const (
	// passStrict heeds all advice.
	passStrict selectionPass = iota
	// passAvoided also allows servers at which the request has failed.
	passAvoided
	// passSuspect also allows servers that are being probed or are stalled.
	passSuspect
	selectionPasses
)

// eligible reports whether a server may be sent a request now.
func (r *Router) eligible(now Nanos, req *requestState, i int32, pass selectionPass) bool {
	srv := &r.servers[i]
	switch {
	case srv.health != Serving, !r.recognizesRepeat(req, srv), !r.slowStartAllows(now, srv):
		return false // rules two, three and four
	case now < srv.fullUntil, now < srv.ejectedUntil, now < srv.byClass[req.Class].ejectedUntil:
		return false
	case !r.roleLimits[srv.role].allows(now, r.shortestTarget):
		return false
	case pass < passSuspect && (srv.halfOpen && srv.outstanding > 0 || r.stalled(now, srv, req.Class)):
		return false
	}
	return pass >= passAvoided || !req.avoids(i)
}

// rank orders servers in a selection: the lowest wins. Earlier figures take precedence.
type rank [3]int64

// pickLowestRank returns the server with the lowest rank among those that rankOf admits, or noServer. It breaks ties at
// random.
func (r *Router) pickLowestRank(rankOf func(i int32, srv *server) (rank, bool)) int32 {
	best, ties, lowest := noServer, int32(0), rank{}
	for i := range r.servers {
		order, admitted := rankOf(int32(i), &r.servers[i])
		if !admitted {
			continue
		}
		comparison := slices.Compare(order[:], lowest[:])
		if best == noServer || comparison < 0 {
			best, ties, lowest = int32(i), 1, order
		} else if comparison == 0 {
			if ties++; r.random.intn(ties) == 0 {
				best = int32(i)
			}
		}
	}
	return best
}

// lowestEligible returns the lowest value of a figure over the eligible servers that figure admits, or Never.
func (r *Router) lowestEligible(now Nanos, req *requestState, pass selectionPass,
	figure func(srv *server) (int64, bool),
) int64 {
	lowest := int64(Never)
	for i := range r.servers {
		if x, admitted := figure(&r.servers[i]); admitted && r.eligible(now, req, int32(i), pass) {
			lowest = min(lowest, x)
		}
	}
	return lowest
}
