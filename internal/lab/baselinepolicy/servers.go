package baselinepolicy

import (
	"cmp"
	"slices"

	"docksail/policy"
)

// server is an endpoint of the list.
type server struct {
	id       policy.ServerID
	role     policy.Role
	serving  bool
	inFlight int // attempts
}

// serves reports whether a request can be sent to the server for its next stage.
func (s *server) serves(r *request) bool {
	return s.serving && r.needsPrefill == (s.role != policy.Decode) && !slices.Contains(r.tried, s.id)
}

// ListUpdateStarted begins an update of the endpoint list, which is complete or has changes only.
func (p *Policy) ListUpdateStarted(complete bool) {
	p.listed = nil
	if complete {
		p.listed = map[policy.ServerID]bool{}
	}
}

// ServerListed adds or changes a server. Zone, cell and start time mean nothing to the policies.
func (p *Policy) ServerListed(id policy.ServerID, _ policy.ZoneID, kind policy.KindID, _ policy.CellID,
	health policy.Health, _ policy.Nanos,
) {
	s := p.servers[id]
	if s == nil {
		s = &server{id: id}
		p.servers[id] = s
		i, _ := slices.BinarySearchFunc(p.byID, id, func(s *server, id policy.ServerID) int { return cmp.Compare(s.id, id) })
		p.byID = slices.Insert(p.byID, i, s)
	}
	s.role, s.serving = policy.Role(kind), health == policy.Serving
	if p.listed != nil {
		p.listed[id] = true
	}
}

// ListUpdateEnded ends an update. Servers that a complete list does not name get no requests any more.
func (p *Policy) ListUpdateEnded(policy.Nanos) {
	if p.listed == nil {
		return
	}
	for _, s := range p.byID {
		s.serving = s.serving && p.listed[s.id]
	}
}

// ListUpdateFailed has the endpoint list watched again after a delay.
func (p *Policy) ListUpdateFailed(policy.Nanos) {
	p.watchAgain = true
	p.decide(policy.Decision{Action: policy.SetTimer, Duration: retryDelay})
}

// TimerFired starts the watch that ListUpdateFailed has delayed.
func (p *Policy) TimerFired(policy.Nanos) {
	if p.watchAgain {
		p.watchAgain = false
		p.decide(policy.Decision{Action: policy.WatchEndpoints})
	}
}

// selectServer returns the server for the next stage of a request, or nil if there is none.
func (p *Policy) selectServer(r *request) *server {
	var candidates []*server
	for _, s := range p.byID {
		if s.serves(r) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	p.turn++
	first := p.turn % len(candidates)
	switch p.name {
	case randomServer:
		return candidates[p.random.IntN(len(candidates))]
	case leastOutstanding:
		return leastLoaded(candidates, first, func(s *server) int { return s.inFlight })
	case trueLoad:
		return leastLoaded(candidates, first, func(s *server) int { return p.loadFor(s, r) })
	default:
		return candidates[first]
	}
}

// loadFor returns the load of a server that counts for the next stage of a request.
func (p *Policy) loadFor(s *server, r *request) int {
	unreadTokens, requests := p.oracle(s.id)
	if r.needsPrefill {
		return unreadTokens
	}
	return requests
}

// leastLoaded returns the server with the least load. Of several it prefers the one at index first, then the first of
// the list.
func leastLoaded(servers []*server, first int, load func(*server) int) *server {
	best := servers[first]
	bestLoad := load(best)
	for _, s := range servers {
		if l := load(s); l < bestLoad {
			best, bestLoad = s, l
		}
	}
	return best
}
