package node

import (
	"runtime/metrics"

	backend "docksail/internal/backend/platform"
	"docksail/internal/dispatch"
	frontend "docksail/internal/frontend/platform"
	"docksail/policy"
)

// Status is the state of a dispatcher. The names of the fields appear in the log record "counts".
type Status struct {
	Requests       int // in hand
	Clients        int // open connections
	Servers        int
	ServerConns    int // open connections
	Dispatch       dispatch.Counts
	Frontend       frontend.Counts
	Backend        backend.Counts
	HeapMB         float64
	ServerStatuses []ServerStatus `json:"-"`
}

// ServerStatus is what the policy assumes of a server beside what its connections show.
type ServerStatus struct {
	policy.ServerEstimate
	backend.ServerStats
}

// HasMismatch reports whether the two differ in the attempts in flight: a fault of the program.
func (s *ServerStatus) HasMismatch() bool {
	if s.Prefill {
		return int(s.UnansweredAttempts) != s.InFlightAttempts
	}
	return int(s.Streams) != s.InFlightAttempts
}

// InUse reports whether the dispatcher has an attempt or a connection at the server, or keeps requests from it.
func (s *ServerStatus) InUse() bool {
	return s.UnansweredAttempts > 0 || s.Streams > 0 || s.InFlightAttempts > 0 || s.IdleConns > 0 ||
		s.Ejected || s.HasMismatch()
}

// Status returns the present state, which it asks the loop for. It reports false if the loop has ended or its queue of
// calls is full. It may be called by any goroutine but the loop's.
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

// status returns the state but for the heap. It belongs to the loop.
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

// serverStatuses returns the status of every server that the policy knows. It belongs to the loop.
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

// heapBytes returns the memory that objects take. Other than runtime.ReadMemStats it does not stop the program.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
