package serverconn

// ReleaseCandidate describes a server that may be sent the release of a request's KV state.
type ReleaseCandidate struct {
	LastHeardAt int64 // when data was last received from it; 0 if never
	HasIdleConn bool  // an idle connection to it can be reused
	Tried       bool  // it was sent this release without success
	Gone        bool  // its state in the endpoint list is Gone
}

// SelectReleaseServer returns the index of the server to which a release is sent next, or -1 if there is none. A server
// that was not tried is preferred, then one with an idle connection, then the one that was heard from most recently.
// After the first round, the time at which a server was heard from comes before idle connections, as these may be dead.
func SelectReleaseServer(candidates []ReleaseCandidate, round int) int {
	best := -1
	for i, candidate := range candidates {
		if !candidate.Gone && (best < 0 || candidate.precedes(candidates[best], round)) {
			best = i
		}
	}
	return best
}

// precedes reports whether the candidate is preferred to the other one in this round, counted from 0.
func (c ReleaseCandidate) precedes(other ReleaseCandidate, round int) bool {
	switch {
	case c.Tried != other.Tried:
		return !c.Tried
	case c.HasIdleConn != other.HasIdleConn && (round == 0 || c.LastHeardAt == other.LastHeardAt):
		return c.HasIdleConn
	}
	return c.LastHeardAt > other.LastHeardAt
}
