package clientconn

// MaxEvictionCandidates bounds the connections of a kind that are examined to find one that may be evicted.
const MaxEvictionCandidates = 4

// Eviction is which connection is closed when a new one exceeds the limit.
type Eviction uint8

// The evictions.
const (
	RejectNewConn         Eviction = iota // the new connection
	EvictOldestIncomplete                 // the oldest one without a complete request
	EvictOldestIdle                       // the one idle for longest
)

// ChooseEviction returns which connection is closed for a new one. incompleteSince and idleSince are since when the
// oldest connections of the two kinds are in their state, 0 if there is none; only connections count that have neither
// unread input nor unwritten output. The client of an idle connection makes another one for its next request, whereas
// one whose first request was not read fails: so an idle one is evicted unless another has long been silent. This keeps
// crowds of connections from locking out other clients.
func ChooseEviction(now, incompleteSince, idleSince int64) Eviction {
	hasIncomplete, hasIdle := incompleteSince > 0, idleSince > 0
	switch {
	case hasIncomplete && now-incompleteSince >= minIncompleteTime:
		return EvictOldestIncomplete
	case hasIdle:
		return EvictOldestIdle
	case hasIncomplete:
		return EvictOldestIncomplete
	}
	return RejectNewConn
}
