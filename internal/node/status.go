package node

import (
	backend "docksail/internal/backend/platform"
	"docksail/internal/decide/memory"
	"docksail/internal/dispatch"
	frontend "docksail/internal/frontend/platform"
	"docksail/policy"
)

// Status is the state of a dispatcher. The names of the fields are keys of the log record "counts".
type Status struct {
	Requests       int // in flight
	Clients        int // open connections
	Servers        int
	ServerConns    int // open connections
	Dispatch       dispatch.Counts
	Frontend       frontend.Counts
	Backend        backend.Counts
	Memory         memory.Status
	HeapMB         float64
	ServerStatuses []ServerStatus `json:"-"`
}

// ServerStatus combines the policy's estimate of a server with the statistics of its connections.
type ServerStatus struct {
	policy.ServerEstimate
	backend.ServerStats
}

// HasMismatch reports whether the estimate and the statistics differ in the number of attempts in flight, which
// indicates a bug.
func (s *ServerStatus) HasMismatch() bool {
	if s.Prefill {
		return int(s.UnansweredAttempts) != s.InFlightAttempts
	}
	return int(s.Streams) != s.InFlightAttempts
}

// InUse reports whether the dispatcher has an attempt in flight at the server or an idle connection to it, or has
// ejected it, or its numbers do not match.
func (s *ServerStatus) InUse() bool {
	return s.UnansweredAttempts > 0 || s.Streams > 0 || s.InFlightAttempts > 0 || s.IdleConns > 0 ||
		s.Ejected || s.HasMismatch()
}

// Status returns the current state, which it reads on the loop's goroutine. It reports false if the loop has ended or
// its queue of calls is full. It must not be called by the loop's goroutine.
func (n *Node) Status() (Status, bool) {
	result := make(chan Status, 1)
	if !n.loop.Post(func() { result <- n.status() }) {
		return Status{}, false
	}
	select {
	case status := <-result:
		return status, true
	case <-n.done:
		return Status{}, false
	}
}

// status returns the state. It must be called by the loop's goroutine.
func (n *Node) status() Status {
	return Status{
		Requests:       n.dispatcher.InFlight(),
		Clients:        n.frontend.ConnCount(),
		Servers:        n.backend.ServerCount(),
		ServerConns:    n.backend.ConnCount(),
		Dispatch:       n.dispatcher.Counts,
		Frontend:       n.frontend.Counts,
		Backend:        n.backend.Counts,
		Memory:         n.memory.budget.Status(),
		HeapMB:         float64(n.memory.heapBytes()) / (1 << 20),
		ServerStatuses: n.serverStatuses(),
	}
}

// serverStatuses returns the status of each server that the policy knows. It must be called by the loop's goroutine.
func (n *Node) serverStatuses() []ServerStatus {
	var statuses []ServerStatus
	now := n.loop.Now()
	n.backend.EachServer(now, func(stats backend.ServerStats) {
		if estimate, ok := n.policy.EstimateServer(n.dispatcher.ModuleTime(now), stats.ID); ok {
			statuses = append(statuses, ServerStatus{estimate, stats})
		}
	})
	return statuses
}
