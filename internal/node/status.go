package node

import (
	"runtime/metrics"

	backend "docksail/internal/backend/platform"
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
		status.HeapMB = float64(heapBytes()) / (1 << 20)
		return status, true
	case <-n.done:
		return Status{}, false
	}
}

// status returns the state without the heap. It must be called by the loop's goroutine.
func (n *Node) status() Status {
	return Status{
		Requests:       n.dispatcher.InFlight(),
		Clients:        n.frontend.ConnCount(),
		Servers:        n.backend.ServerCount(),
		ServerConns:    n.backend.ConnCount(),
		Dispatch:       n.dispatcher.Counts,
		Frontend:       n.frontend.Counts,
		Backend:        n.backend.Counts,
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

// heapBytes returns the memory that objects occupy on the heap. Unlike runtime.ReadMemStats, it does not stop the
// program.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
