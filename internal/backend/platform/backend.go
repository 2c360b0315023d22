// Package platform connects the dispatcher to model servers over HTTP/1.1 in the platform's protocol and to the
// platform's discovery service.
//
// A Backend belongs to one event loop; all of its methods and callbacks run there. It holds the servers of the
// endpoint list (server), the pool of connections to them (conn), the request that each connection carries
// (exchange) and the releases of state that attempts may have left behind (releaseTracker). It reports what
// becomes of attempts to the dispatcher. What may be sent, repeated or closed is decided in
// internal/decide/inflight, the use of connections in internal/decide/serverconn, and the timing of discovery in
// internal/decide/discovery.
package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/indexedheap"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

// defaultConnectTimeout applies if the settings name no timeout.
const defaultConnectTimeout = eventloop.Nanos(250e6)

// Backend sends attempts and releases to the platform's model servers. It implements dispatch.Backend.
type Backend struct {
	Counts Counts

	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	log        *slog.Logger
	debug      bool // records of single requests are logged

	// Names of the settings, by number.
	zones []string
	kinds []string
	roles []policy.Role // of the kinds

	servers   []*server // in the order in which they were first listed
	byName    map[string]*server
	byID      map[policy.ServerID]*server
	discovery discovery

	connPolicy     serverconn.ConnPolicy
	connectTimeout eventloop.Nanos
	maxConns       int
	openConns      int
	lastConnNumber uint64
	idleConns      indexedheap.Heap[*conn] // the one that has been idle for longest first

	releaseTrackers map[policy.RequestID]*releaseTracker
	releaseTime     eventloop.Nanos // within which the state of an ended attempt must be released
	maxClassTimeout eventloop.Nanos // the longest for which a server may work on an abandoned attempt

	rng        *rand.Rand
	scratch    []byte                        // for the message that is being written
	candidates []serverconn.ReleaseCandidate // scratch of chooseServer
}

// New returns a backend with at most maxConns connections to servers, which asks for its endpoint list at
// discoveryAddr.
func New(
	l *eventloop.Loop, d *dispatch.Dispatcher, log *slog.Logger, config *platformconfig.Config,
	maxConns int, discoveryAddr netip.AddrPort,
) *Backend {
	b := &Backend{
		loop:            l,
		dispatcher:      d,
		log:             log,
		debug:           log.Enabled(context.Background(), slog.LevelDebug),
		zones:           config.Zones,
		kinds:           config.Kinds,
		roles:           config.Roles,
		byName:          make(map[string]*server),
		byID:            make(map[policy.ServerID]*server),
		connectTimeout:  int64(config.ConnectTimeout),
		maxConns:        maxConns,
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
func (b *Backend) Start(now eventloop.Nanos) { b.discovery.watch(now) }

// WatchEndpoints implements dispatch.Backend.
func (b *Backend) WatchEndpoints(now eventloop.Nanos) { b.discovery.watch(now) }

// SetDiscoveryAddr has the endpoint list watched at another address. The watch in force ends when the new one has
// delivered a list. Versions are those of one discovery service, so the new one is asked for its complete list.
func (b *Backend) SetDiscoveryAddr(now eventloop.Nanos, addr netip.AddrPort) {
	b.discovery.setAddr(now, addr)
}

// OnFirstList has f called once, after the first list that discovery sends to this process.
func (b *Backend) OnFirstList(f func()) { b.discovery.onFirstList = f }

// IsPrefill implements dispatch.Backend.
func (b *Backend) IsPrefill(id policy.ServerID) (prefill, known bool) {
	srv := b.byID[id]
	return srv != nil && srv.role == policy.Prefill, srv != nil
}

// ServerName implements dispatch.Backend. It returns the server's name in the endpoint list, or its ID if the backend
// does not keep the server any more.
func (b *Backend) ServerName(id policy.ServerID) string {
	if srv := b.byID[id]; srv != nil {
		return srv.name
	}
	return strconv.FormatUint(uint64(id), 10)
}

// Flush implements dispatch.Backend. It does nothing: connections write at the end of the iteration by themselves.
func (b *Backend) Flush() {}

// IsIdle implements dispatch.Backend. It reports whether no release is requested; each is pursued for a bounded time.
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

// recordViolation counts and logs an action that the rules of inflight forbid: a fault of the program.
func (b *Backend) recordViolation(clientID []byte, srv *server, err error) {
	b.Counts.Violations++
	b.log.Error("rule violated", "request_id", string(clientID), "server_id", srv.name, "error", err)
}

// logDeliveryState logs that an operation of a request has reached another state; c carries or carried it.
func (b *Backend) logDeliveryState(clientID []byte, c *conn, from, to inflight.DeliveryState) {
	if b.debug {
		b.log.Debug("delivery state changed", "request_id", string(clientID), "operation", c.exchange.operation.Kind,
			"from", from, "to", to, "server_id", c.server.name, "conn", c.number, "use_count", c.useCount)
	}
}
