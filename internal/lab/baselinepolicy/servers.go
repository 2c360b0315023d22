package baselinepolicy

import (
	"cmp"
	"slices"

	"docksail/policy"
)

// server is a server of the endpoint list.
type server struct {
	id       policy.ServerID
	role     policy.Role
	serving  bool
	inFlight int // number of attempts in flight
}

// serves reports whether the current stage of a request can be sent to the server.
func (s *server) serves(r *request) bool {
	return s.serving && r.needsPrefill == (s.role != policy.Decode) && !slices.Contains(r.triedServers, s.id)
}

// ListUpdateStarted begins an update of the endpoint list, which holds either the complete list or only changes.
func (p *Policy) ListUpdateStarted(complete bool) {
	p.listedServers = nil
	if complete {
		p.listedServers = map[policy.ServerID]bool{}
	}
}

// ServerListed adds or changes a server. The policies ignore its zone, cell and start time.
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
	if p.listedServers != nil {
		p.listedServers[id] = true
	}
}

// ListUpdateEnded ends an update. Servers that are missing in a complete list no longer receive requests.
func (p *Policy) ListUpdateEnded(policy.Nanos) {
	if p.listedServers == nil {
		return
	}
	for _, s := range p.byID {
		s.serving = s.serving && p.listedServers[s.id]
	}
}

// ListUpdateFailed schedules a new watch of the endpoint list after a delay.
func (p *Policy) ListUpdateFailed(policy.Nanos) {
	p.watchPending = true
	p.queueDecision(policy.Decision{Action: policy.SetTimer, Duration: retryDelay})
}

// TimerFired starts the watch that ListUpdateFailed has scheduled.
func (p *Policy) TimerFired(policy.Nanos) {
	if p.watchPending {
		p.watchPending = false
		p.queueDecision(policy.Decision{Action: policy.WatchEndpoints})
	}
}

// selectServer returns the server for the current stage of a request, or nil if there is none.
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
	p.selectionCount++
	preferred := p.selectionCount % len(candidates)
	switch p.name {
	case randomServer:
		return candidates[p.random.IntN(len(candidates))]
	case leastOutstanding:
		return leastLoaded(candidates, preferred, func(s *server) int { return s.inFlight })
	case trueLoad:
		return leastLoaded(candidates, preferred, func(s *server) int { return p.loadFor(s, r) })
	default:
		return candidates[preferred]
	}
}

// loadFor returns the load of a server that is relevant for the current stage of a request.
func (p *Policy) loadFor(s *server, r *request) int {
	queuedTokens, requests := p.oracle(s.id)
	if r.needsPrefill {
		return queuedTokens
	}
	return requests
}

// leastLoaded returns the server with the least load. Ties go to the server at index preferred, then to the first one
// in the list.
func leastLoaded(servers []*server, preferred int, load func(*server) int) *server {
	best := servers[preferred]
	bestLoad := load(best)
	for _, s := range servers {
		if l := load(s); l < bestLoad {
			best, bestLoad = s, l
		}
	}
	return best
}
