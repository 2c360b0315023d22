package platform

import (
	"math/bits"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// Counts are totals since the start of the process. The names of the fields appear in the log record "counts"; those
// that docs/platform.md lists for operators may not change.
type Counts struct {
	// Connections.
	Dialed           uint64
	Reused           uint64
	IdleUnusable     uint64 // idle connections that were closed or had unexpected input when they were to be reused
	IdleClosed       uint64 // idle connections that this side has closed
	WatchesDropped   uint64 // lingering connections that were evicted
	NoRoom           uint64 // connections that were not opened because of the limit
	StaleConnections uint64 // attempts lost because the server had closed the reused connection
	IdleBeforeReuse  idleTimeHistogram
	IdleBeforeStale  idleTimeHistogram // those of StaleConnections

	// Responses.
	InvalidResponses uint64 // responses that could not be decoded
	ExtraBytes       uint64 // inputs that belong to no response
	// ResponsesOutOfMemory counts those InvalidResponses that ended because the budget had no room for more of them.
	ResponsesOutOfMemory uint64
	LoadReports          uint64
	PrefixCache          PrefixCacheStats

	// Releases.
	Releases         uint64
	ReleaseAttempts  uint64
	ReleasesLost     uint64
	ReleasesRepeated uint64 // accepted again, as state may have been left after the previous one
	ReleasesRefused  uint64 // answered with a status other than 2xx
	ReleasesLate     uint64 // accepted after the release time and its tolerance
	ReleaseSlowest   int64  // longest time for which state was held, nanoseconds
	ReleasedEarly    uint64 // requested during an attempt that may not have reached its server
	Confirmed        uint64 // abandoned attempts whose end the server has confirmed
	Unconfirmed      uint64 // abandoned attempts whose end was not confirmed

	// Endpoint list.
	ListUpdates      uint64
	DiscoveryWatches uint64

	Violations uint64 // actions that the rules of inflight forbid; each indicates a bug
}

// idleTimeHistogram counts connections by how long they were idle. The first bucket counts times under 2^24 ns
// (16.8 ms); the limit of each further bucket is twice that of the previous one.
type idleTimeHistogram [12]uint64

// firstBucketBits is the maximum number of bits of a time in nanoseconds that the first bucket counts.
const firstBucketBits = 24

// add counts an idle time.
func (h *idleTimeHistogram) add(idle eventloop.Nanos) {
	h[min(bits.Len64(uint64(idle>>firstBucketBits)), len(h)-1)]++
}

// PrefixCacheStats compares the cached tokens that prefill servers reported with those that were expected, over the
// prefill attempts that succeeded with a report. All fields but Prefills are prompt tokens.
type PrefixCacheStats struct {
	Prefills   uint64
	Prompt     uint64
	Shared     uint64 // in prefixes that prompts share
	Expected   uint64
	Found      uint64
	Missed     uint64 // expected and not found
	Unexpected uint64 // found and not expected
}

// recordPrefill counts one prefill attempt.
func (s *PrefixCacheStats) recordPrefill(prompt, shared, expected, found int64) {
	s.Prefills++
	s.Prompt += uint64(prompt)
	s.Shared += uint64(shared)
	s.Expected += uint64(expected)
	s.Found += uint64(found)
	s.Missed += uint64(max(expected-found, 0))
	s.Unexpected += uint64(max(found-expected, 0))
}

// ServerStats describes the use of a server's connections, and its latest load report.
type ServerStats struct {
	ID               policy.ServerID
	Name             string
	Prefill          bool
	InFlightAttempts int // on connections to it, or waiting for a release
	IdleConns        int
	LoadReport       policy.LoadReport
	LoadReportAge    int64 // nanoseconds; -1 = there is no report
}

// EachServer calls f for each known server, in the order in which they were first listed.
func (b *Backend) EachServer(now eventloop.Nanos, f func(ServerStats)) {
	for _, srv := range b.servers {
		f(b.statsOf(now, srv))
	}
}

// statsOf returns the statistics of a server.
func (b *Backend) statsOf(now eventloop.Nanos, srv *server) ServerStats {
	stats := ServerStats{
		ID:            srv.id,
		Name:          srv.name,
		Prefill:       srv.role == policy.Prefill,
		LoadReport:    srv.loadReport,
		LoadReportAge: -1,
	}
	if srv.loadReport != policy.NoLoadReport {
		stats.LoadReportAge = now - srv.loadReportAt
	}
	for _, c := range srv.conns {
		switch {
		case c.exchange.request != nil:
			stats.InFlightAttempts++
		case c.idle:
			stats.IdleConns++
		}
	}
	for _, tracker := range b.releaseTrackers {
		if waiting := tracker.waiting.request; waiting != nil && waiting.Server == srv.id {
			stats.InFlightAttempts++
		}
	}
	return stats
}

// ConnCount returns the number of open connections to servers.
func (b *Backend) ConnCount() int { return b.openConns }

// ServerCount returns the number of servers that are known.
func (b *Backend) ServerCount() int { return len(b.servers) }
