// Package platform connects the dispatcher to model servers over HTTP/1.1 in the platform's protocol and to the
// platform's discovery service.
//
// A Backend belongs to one event loop; all of its methods and callbacks run there. It holds the servers of the
// endpoint list (server), the pool of connections to them (conn), the message that each connection carries
// (exchange) and the releases of state that attempts may have left behind (releaseTracker). It reports the outcomes of
// attempts to the dispatcher. Package inflight decides what may be sent, repeated or closed, package serverconn how
// connections are used, and package discovery when discovery is called; all three are in internal/decide.
package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/memory"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/indexedheap"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

// defaultConnectTimeout applies if the settings have no connect timeout.
const defaultConnectTimeout = eventloop.Nanos(250e6)

// Backend sends attempts and releases to the platform's model servers. It implements dispatch.Backend.
type Backend struct {
	Counts Counts

	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	log        *slog.Logger
	debug      bool // records about single requests are logged

	// Names in the settings, indexed by the module's IDs.
	zones []string
	kinds []string
	roles []policy.Role // by kind

	servers   []*server // in the order in which they were first listed
	byName    map[string]*server
	byID      map[policy.ServerID]*server
	discovery discovery

	connPolicy     serverconn.ConnPolicy
	connectTimeout eventloop.Nanos
	maxConns       int
	memory         *memory.Budget // for the bytes that servers send; nil = not limited
	openConns      int
	lastConnNumber uint64
	idleConns      indexedheap.Heap[*conn] // the longest idle one is first

	releaseTrackers map[policy.RequestID]*releaseTracker
	trackerMemory   memory.Account  // of releaseTrackers
	releaseTime     eventloop.Nanos // time within which the state of an ended attempt must be released
	maxClassTimeout eventloop.Nanos // how long a server may run an abandoned attempt at most

	rng        *rand.Rand
	scratch    []byte                        // buffer for the message that is being written
	candidates []serverconn.ReleaseCandidate // scratch buffer of chooseServer
}

// New returns a backend with at most maxConns connections to servers, which charge what servers send to budget. It
// fetches the endpoint list from the discovery service at discoveryAddr.
func New(
	loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, log *slog.Logger, config *platformconfig.Config,
	budget *memory.Budget, maxConns int, discoveryAddr netip.AddrPort,
) *Backend {
	b := &Backend{
		loop:            loop,
		dispatcher:      dispatcher,
		log:             log,
		debug:           log.Enabled(context.Background(), slog.LevelDebug),
		zones:           config.Zones,
		kinds:           config.Kinds,
		roles:           config.Roles,
		byName:          make(map[string]*server),
		byID:            make(map[policy.ServerID]*server),
		connectTimeout:  int64(config.ConnectTimeout),
		maxConns:        maxConns,
		memory:          budget,
		trackerMemory:   budget.NewAccount(memory.Requests),
		idleConns:       newIdleHeap(),
		releaseTrackers: make(map[policy.RequestID]*releaseTracker),
		releaseTime:     int64(config.ReleaseTime),
		rng:             rand.New(rand.NewPCG(config.Seed, 0)),
	}
	if b.connectTimeout <= 0 {
		b.connectTimeout = defaultConnectTimeout
	}
	b.connPolicy = serverconn.ConnPolicy{IdleTimeout: int64(config.IdleTimeout), ConnectTimeout: b.connectTimeout}
	for _, class := range config.Classes {
		b.maxClassTimeout = max(b.maxClassTimeout, int64(class.Timeout))
	}
	b.discovery.init(b, discoveryAddr, config.ListOnRequest)
	return b
}

// Start implements dispatch.Backend: it begins to watch the endpoint list.
func (b *Backend) Start(now eventloop.Nanos) { b.discovery.openWatch(now) }

// WatchEndpoints implements dispatch.Backend.
func (b *Backend) WatchEndpoints(now eventloop.Nanos) { b.discovery.openWatch(now) }

// SetDiscoveryAddr changes the address of discovery. The current watch ends when the one at the new address is
// established. Versions of lists are specific to a discovery service, so the new one is asked for a full list.
func (b *Backend) SetDiscoveryAddr(now eventloop.Nanos, addr netip.AddrPort) {
	b.discovery.setAddr(now, addr)
}

// OnFirstList sets a function that is called once, after the first list that discovery sends to this process.
func (b *Backend) OnFirstList(f func()) { b.discovery.onFirstList = f }

// IsPrefill implements dispatch.Backend.
func (b *Backend) IsPrefill(id policy.ServerID) (prefill, known bool) {
	srv := b.byID[id]
	return srv != nil && srv.role == policy.Prefill, srv != nil
}

// ServerName implements dispatch.Backend. It returns the server's name in the endpoint list, or its ID if the server
// was removed.
func (b *Backend) ServerName(id policy.ServerID) string {
	if srv := b.byID[id]; srv != nil {
		return srv.name
	}
	return strconv.FormatUint(uint64(id), 10)
}

// Flush implements dispatch.Backend. It does nothing: connections write at the end of the iteration by themselves.
func (b *Backend) Flush() {}

// IsIdle implements dispatch.Backend. It reports whether no release is requested. Releases expire after a limited time.
func (b *Backend) IsIdle() bool {
	for _, tracker := range b.releaseTrackers {
		if tracker.decisions.ReleaseRequested() {
			return false
		}
	}
	return true
}

// Close implements dispatch.Backend. It does nothing: the event loop closes the connections.
func (b *Backend) Close() {}

// recordViolation counts and logs an action that the rules of inflight forbid, which indicates a bug.
func (b *Backend) recordViolation(clientID []byte, srv *server, err error) {
	b.Counts.Violations++
	b.log.Error("rule violated", "request_id", string(clientID), "server_id", srv.name, "error", err)
}

// logDeliveryState logs that an operation has reached another state. c carries or carried the operation.
func (b *Backend) logDeliveryState(clientID []byte, c *conn, from, to inflight.DeliveryState) {
	if b.debug {
		b.log.Debug("delivery state changed", "request_id", string(clientID), "operation", c.exchange.operation.Kind,
			"from", from, "to", to, "server_id", c.server.name, "conn", c.number, "use_count", c.useCount)
	}
}
