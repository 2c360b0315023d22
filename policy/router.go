// Package policy decides, for one dispatcher, which prefill server processes the prompt of each request and which
// decode server generates its answer, and when requests are retried, rejected or failed.
//
// A Router is a state machine. Its caller reports events:
//
//   - the endpoint list: ListUpdateStarted, ServerListed, ListUpdateEnded, ListUpdateFailed
//   - requests: RequestArrived, RequestCanceled
//   - attempts: StreamStarted, AttemptEnded, StateHeldSince
//   - time: TimerFired
//
// After one or more events the caller calls NextDecision until there is no further decision, and carries out each
// one. The caller passes the current time, which must not go backwards; a timer that is due must be reported before
// NextDecision is called. The package does no I/O and reads no clock. A Router is not safe for concurrent use.
package policy

import (
	"math"

	"docksail/internal/decide/pace"
)

const (
	// reviewsPerRelease is the number of periodic reviews within the time for which a KV state may be held.
	reviewsPerRelease = 16
	// maxReviewInterval is the longest time between two periodic reviews while requests wait.
	maxReviewInterval = Nanos(60e6)
)

// Router makes the decisions of one dispatcher. It shares no state with the routers of other dispatchers.
type Router struct {
	config Config

	requests     requestTable
	waiting      [waitingPhases]waitingList // by phase
	pace         [waitingPhases]pace.Meter  // at which waiting requests are sent
	activeCount  int32                      // requests that have been sent to a server and are not finished
	requestLimit requestLimiter
	quotas       []tokenBucket // by tenant

	servers     []server
	serverIndex map[ServerID]int32 // index into servers
	listUpdates uint64             // number of list updates so far
	counts      serverCounts
	locality    localityIndex
	roleLimits  [roleCount]concurrencyLimit // limits on the unanswered attempts, by role of the server

	latency       latencyStats
	transferTimes [2]sampleRing // nanoseconds until first responses of decode servers, near and far
	throughput    throughputStats
	work          workModel

	prefixes prefixIndex
	affinity affinityLookup

	reviewInterval Nanos // longest time between two reviews
	reviewedAt     Nanos // last review
	reviewAt       Nanos // next review
	timerAt        Nanos // when the timer fires; Never = no timer is set
	watching       bool  // the endpoint list is being watched
	watchAt        Nanos // earliest time to request the endpoint list again

	random    pcg
	ejections []Ejection // to be logged
	scratch   []float64  // reused by medianOverServers
}

// New returns a router without servers and requests.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	reviewInterval := min(config.ReleaseTime/reviewsPerRelease, maxReviewInterval)
	r := &Router{
		config:         config,
		requests:       newRequestTable(),
		requestLimit:   requestLimiter{limit: math.MaxInt32},
		quotas:         make([]tokenBucket, len(config.Tenants)),
		serverIndex:    make(map[ServerID]int32),
		locality:       newLocalityIndex(),
		prefixes:       newPrefixIndex(),
		reviewInterval: max(reviewInterval, config.Responses.RoundInterval, 1),
		reviewAt:       Never,
		timerAt:        Never,
		watching:       !config.Discovery.OnRequest,
		random:         pcg{config.Seed},
	}
	r.random.intn(1) // discards the first output, which is hardly random for a small seed
	return r, nil
}

// ServerEstimate is a router's estimate of the state of a server.
type ServerEstimate struct {
	QueuedPromptTokens int64 // prompt tokens sent by this dispatcher and not processed yet
	UnansweredAttempts int32 // attempts of this dispatcher without a response yet
	Streams            int32 // requests of this dispatcher whose answers the server generates or will generate
	Ejected            bool  // gets no new requests, or only one at a time as a probe
}

// EstimateServer returns the estimate of a server's state, and whether the router knows the server.
func (r *Router) EstimateServer(now Nanos, id ServerID) (ServerEstimate, bool) {
	i, ok := r.serverIndex[id]
	if !ok {
		return ServerEstimate{}, false
	}
	srv := &r.servers[i]
	return ServerEstimate{
		QueuedPromptTokens: srv.queuedTokens,
		UnansweredAttempts: srv.outstanding,
		Streams:            srv.streams,
		Ejected:            now < srv.ejectedUntil || srv.halfOpen,
	}, true
}
