package clientconn

// MayRefuseIncomplete reports whether a request that has been incomplete since then may be refused to make room for the
// bytes of others.
func MayRefuseIncomplete(now, incompleteSince int64) bool {
	return now-incompleteSince >= minIncompleteTime
}

// MaxEvictionCandidates bounds the connections in one state that are examined to find one that may be evicted.
const MaxEvictionCandidates = 4

// Eviction says which connection is closed when a new one exceeds the limit.
type Eviction uint8

// The evictions.
const (
	RejectNewConn         Eviction = iota // close the new connection
	EvictOldestIncomplete                 // close the oldest connection without a complete request
	EvictOldestIdle                       // close the connection that has been idle for longest
	EvictOldestLingering                  // close the connection that has lingered for longest
)

// ChooseEviction returns which connection is closed for a new one, so that no client can lock out others by opening
// many connections. incompleteSince is when the oldest connection without a complete request entered its state,
// idleSince the same for the oldest idle connection, lingeringSince for the oldest lingering one; 0 means that there is
// none. Connections with unwritten output must not be counted, nor those with unread input unless they linger.
//
// A lingering connection, whose client has its last answer, is evicted first. An idle connection is evicted before one
// without a complete request: its client can open another one for its next request, whereas a client whose first
// request is not read sees a failure. If the latter has been incomplete for minIncompleteTime, it is evicted first.
func ChooseEviction(now, incompleteSince, idleSince, lingeringSince int64) Eviction {
	hasIncomplete, hasIdle := incompleteSince > 0, idleSince > 0
	switch {
	case lingeringSince > 0:
		return EvictOldestLingering
	case hasIncomplete && now-incompleteSince >= minIncompleteTime:
		return EvictOldestIncomplete
	case hasIdle:
		return EvictOldestIdle
	case hasIncomplete:
		return EvictOldestIncomplete
	}
	return RejectNewConn
}
