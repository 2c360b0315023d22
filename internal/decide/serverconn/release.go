package serverconn

// ReleaseCandidate is what is known about a server that may be asked to release the KV state of a request.
type ReleaseCandidate struct {
	LastHeardAt int64 // when data was last received from it; 0 if never
	HasIdleConn bool  // a connection to it can be reused
	Tried       bool  // it was asked for this release without success
	Gone        bool  // the endpoint list has it as gone
}

// SelectReleaseServer returns the index of the server that is asked for a release, or -1 if there is none. A server
// that was not tried comes first, then one with an idle connection, then the one that was heard from last. After a
// first round without success, a server that was heard from later precedes one with an idle connection, as idle
// connections may be dead.
func SelectReleaseServer(candidates []ReleaseCandidate, round int) int {
	best := -1
	for i, candidate := range candidates {
		if !candidate.Gone && (best < 0 || candidate.precedes(candidates[best], round)) {
			best = i
		}
	}
	return best
}

// precedes reports whether the candidate is preferred to another one in this round.
func (c ReleaseCandidate) precedes(other ReleaseCandidate, round int) bool {
	switch {
	case c.Tried != other.Tried:
		return !c.Tried
	case c.HasIdleConn != other.HasIdleConn && (round == 0 || c.LastHeardAt == other.LastHeardAt):
		return c.HasIdleConn
	}
	return c.LastHeardAt > other.LastHeardAt
}
