// Package platform is the way to model servers that speak the platform's protocol over HTTP/1.1, and to the platform's
// discovery. What becomes of attempts is told to the dispatcher; what is decided stands in decide/effects (attempts, releases) and
// decide/serverconn (connections).
package platform

import (
	"context"
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/indexedheap"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxHeadBytes          = 16 << 10  // of an answer
	maxChunkBytes         = 64 << 10  // of a stream: events are a few hundred bytes
	smallMost             = 256 << 10 // of an answer that is no stream
	maxPrefillBodyBytes   = 256       // of what a read's answer tells
	defaultConnectTimeout = int64(250e6)
)

// Counts are what the exit counted since its start.
type Counts struct {
	Dialed, Reused, IdleUnusable, IdleClosed, NoRoom uint64
	InvalidResponses, ExtraBytes                     uint64 // answers that could not be read; bytes that belong to none
	Releases, ReleaseAttempts, ReleasesLost          uint64
	Confirmed, Unconfirmed, LingeringDropped         uint64 // ends of attempts given up that their servers have shown, or not; connections given up that were to show one
	ReleasesRepeated                                 uint64 // sent once more, as something may have been left after the one before
	ReleasesRefused                                  uint64 // answered by a server with something else than that it was done
	ReleasesLate                                     uint64 // answered after the time in which the state had to be gone
	ReleaseSlowest                                   int64  // the longest that one took, nanoseconds
	Violations                                       uint64 // changes that the rules forbid: faults of the program
	LoadReports, StaleConnections                    uint64
	ReleasedEarly                                    uint64     // states released beside an attempt that may not have come to its server
	IdleBeforeReuse                                  [12]uint64 // attempts on connections used before, by how long those had rested: under 16 ms, 32, ...
	IdleBeforeStale                                  [12]uint64 // of these, the ones that lapsed
	ListUpdates, DiscoveryWatches                    uint64
	PrefixCache                                      PrefixCacheStats
}

// PrefixCacheStats compares, over the reads that ended well and told, what servers had kept of prompts with what was expected. All but
// Reads are prompt tokens.
type PrefixCacheStats struct {
	Prefills, Prompt, Shared uint64
	Expected, Found          uint64
	Missed                   uint64 // expected and not found
	Unexpected               uint64 // found and not expected
}

// recordPrefill takes down one read.
func (s *PrefixCacheStats) recordPrefill(prompt, shared, expected, found int64) {
	s.Prefills++
	s.Prompt += uint64(prompt)
	s.Shared += uint64(shared)
	s.Expected += uint64(expected)
	s.Found += uint64(found)
	s.Missed += uint64(max(expected-found, 0))
	s.Unexpected += uint64(max(found-expected, 0))
}

// Backend reaches the servers on a loop.
type Backend struct {
	Counts Counts

	loop            *eventloop.Loop
	dispatcher      *dispatch.Dispatcher
	log             *slog.Logger
	debug           bool // the log takes lines of single requests
	zones           []string
	kinds           []string
	roles           []policy.Role
	keeper          serverconn.ConnPolicy
	connectTimeout  int64
	maxConns        int // connections
	openConns       int
	servers         []*server // in the order in which they were first listed
	byName          map[string]*server
	byID            map[policy.ServerID]*server
	idleConns       indexedheap.Heap[*conn] // by since when
	releaseTrackers map[policy.RequestID]*releaseTracker
	releaseTime     int64
	maxClassTimeout int64 // of the classes: a server may work for so long on what was given up
	discovery       discovery
	rng             *rand.Rand
	scratch         []byte
	candidates      []serverconn.ReleaseCandidate
	lastConnNumber  uint64
}

// New makes the way to the servers for a dispatcher: at most so many connections, discovery at an address.
func New(l *eventloop.Loop, d *dispatch.Dispatcher, log *slog.Logger, m *platformconfig.Config, maxConns int, discovery netip.AddrPort) *Backend {
	b := &Backend{
		loop: l, dispatcher: d, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), zones: m.Zones, kinds: m.Kinds, roles: m.Roles, maxConns: maxConns, connectTimeout: int64(m.ConnectTimeout),
		keeper: serverconn.ConnPolicy{IdleTimeout: int64(m.IdleTimeout)}, releaseTime: int64(m.ReleaseTime), byName: make(map[string]*server),
		byID: make(map[policy.ServerID]*server), releaseTrackers: make(map[policy.RequestID]*releaseTracker),
	}
	if b.connectTimeout <= 0 {
		b.connectTimeout = defaultConnectTimeout
	}
	b.keeper.ConnectTimeout = b.connectTimeout
	b.idleConns = indexedheap.Heap[*conn]{
		Index: func(c *conn) *int { return &c.heapIndex },
		Less: func(a, b *conn) bool {
			return a.idleSince < b.idleSince || a.idleSince == b.idleSince && a.number < b.number
		},
	}
	for _, class := range m.Classes {
		b.maxClassTimeout = max(b.maxClassTimeout, int64(class.Timeout))
	}
	b.rng = rand.New(rand.NewPCG(m.Seed, 0))
	b.discovery.init(b, discovery, m.ListOnRequest)
	return b
}

// server is a model server of the list, and the connections to it.
type server struct {
	backend      *Backend
	id           policy.ServerID
	name         string
	entry        Endpoint // its entry of the list in force
	addr         netip.AddrPort
	role         policy.Role
	health       policy.Health
	startedAt    int64
	conns        []*conn
	lastHeardAt  eventloop.Nanos   // last bytes from it
	loadReport   policy.LoadReport // its last report ...
	loadReportAt eventloop.Nanos   // ... and when that came
}

// newServerID gives a server's number by its name, the same at every dispatcher and in every life but for names whose hashes
// collide.
func (b *Backend) newServerID(name string) policy.ServerID {
	id := policy.ServerID(xxhash.Sum64String(name))
	for b.byID[id] != nil {
		id++
	}
	return id
}

// Start implements dispatch.Backend.
func (b *Backend) Start(now eventloop.Nanos) { b.discovery.watch(now) }

// OnFirstList has f called with the first news of this process.
func (b *Backend) OnFirstList(f func()) { b.discovery.onFirstList = f }

// WatchEndpoints implements dispatch.Backend.
func (b *Backend) WatchEndpoints(now eventloop.Nanos) { b.discovery.watch(now) }

// Flush implements dispatch.Backend; what is written is queued already.
func (b *Backend) Flush() {}

// IsIdle implements dispatch.Backend: what is to be released is seen to its end, which is bounded.
func (b *Backend) IsIdle() bool {
	for _, tracker := range b.releaseTrackers {
		if tracker.decisions.ReleaseRequested() {
			return false
		}
	}
	return true
}

// Close implements dispatch.Backend.
func (b *Backend) Close() {}

// Conns counts open connections to servers.
func (b *Backend) Conns() int { return b.openConns }

// Servers counts the servers that are known.
func (b *Backend) Servers() int { return len(b.servers) }

// ServerStats is what crosses the sockets to a server.
type ServerStats struct {
	ID               policy.ServerID
	Name             string
	Prefill          bool
	InFlightAttempts int // attempts on connections to it, or waiting for a release
	IdleConns        int // connections that carry nothing
	LoadReport       policy.LoadReport
	LoadReportAge    int64 // nanoseconds since that report; -1 = none has come
}

// EachServer calls f for every server that is known.
func (b *Backend) EachServer(now eventloop.Nanos, f func(ServerStats)) {
	for _, srv := range b.servers {
		v := ServerStats{ID: srv.id, Name: srv.name, Prefill: srv.role == policy.Prefill, LoadReport: srv.loadReport, LoadReportAge: -1}
		if srv.loadReport != policy.NoLoadReport {
			v.LoadReportAge = now - srv.loadReportAt
		}
		for _, c := range srv.conns {
			if c.request != nil {
				v.InFlightAttempts++
			} else if c.idle {
				v.IdleConns++
			}
		}
		for _, tracker := range b.releaseTrackers {
			if tracker.waitingPrefill != nil && tracker.waitingPrefill.Server == srv.id {
				v.InFlightAttempts++
			}
		}
		f(v)
	}
}

// IsPrefill implements dispatch.Backend.
func (b *Backend) IsPrefill(id policy.ServerID) (reads, known bool) {
	srv := b.byID[id]
	return srv != nil && srv.role == policy.Prefill, srv != nil
}

// StartAttempt implements dispatch.Backend. A read waits until what was to be released for the request before is gone: a release
// that came after it would take its state away.
func (b *Backend) StartAttempt(now eventloop.Nanos, req *dispatch.Request, _ policy.AttemptNumber) dispatch.Attempt {
	if tracker := b.releaseTrackers[req.ID]; tracker != nil && req.IsPrefill && tracker.releasePending() {
		tracker.waitingPrefill = req
		tracker.schedule(now) // not at once: the dispatcher does not know yet that the attempt is held here
		return tracker
	}
	if c := b.sendAttempt(now, req); c != nil {
		return c
	}
	return nil
}

// sendAttempt has a connection to the request's server carry its attempt; nil if the server takes none, as it may have begun to drain
// while the attempt waited behind a release.
func (b *Backend) sendAttempt(now eventloop.Nanos, req *dispatch.Request) *conn {
	srv := b.byID[req.Server]
	if srv == nil || srv.health != policy.Serving {
		return nil
	}
	c := b.acquireConn(now, srv, serverconn.MaxAttemptConns(b.maxConns), serverconn.MayUseIdleConn(req.ConsecutiveStaleConns))
	if c == nil {
		return nil
	}
	c.request = req
	kind := inflight.DecodeAttempt
	if req.IsPrefill {
		kind = inflight.PrefillAttempt
	}
	c.startOperation(kind)
	c.armEarlyRelease(now)
	if c.connected && !c.writeAttempt(now) {
		return nil
	}
	return c
}

// acquireConn gives a connection that carries nothing: one that is at hand, if it may be used, else a new one, of so many at most; nil if there can
// be none.
func (b *Backend) acquireConn(now eventloop.Nanos, srv *server, maxConns int, mayReuse bool) *conn {
	var c *conn
	if mayReuse {
		c = srv.takeReusableConn(now)
	}
	if c != nil {
		b.Counts.Reused++
		b.idleConns.Remove(c)
		b.loop.CancelTimer(&c.timer)
		c.idle = false
		return c
	}
	if b.openConns >= maxConns && !b.evictConn(now) {
		b.Counts.NoRoom++
		return nil
	}
	c = &conn{backend: b, server: srv}
	c.onTimer = c.handleTimer
	b.lastConnNumber++
	c.number = b.lastConnNumber
	lc, err := b.loop.Dial(srv.addr, b.connectTimeout, c)
	if err != nil {
		b.log.Warn("server", "name", srv.name, "err", err)
		return nil
	}
	b.Counts.Dialed++
	b.openConns++
	c.socket = lc
	srv.conns = append(srv.conns, c)
	return c
}

// evictConn ends a connection that carries nothing: one that rests, else one that is only watched.
func (b *Backend) evictConn(now eventloop.Nanos) bool {
	if b.idleConns.Len() > 0 {
		b.idleConns.Min().retire()
		return true
	}
	var oldest *conn
	for _, tracker := range b.releaseTrackers {
		for _, c := range tracker.lingering {
			if oldest == nil || c.number < oldest.number {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	b.Counts.LingeringDropped++
	oldest.dropLingering(now, "its descriptor is needed")
	return true
}

// reusableConn gives the unused connection that was used last, if one may be used again; it may have ended unseen.
func (s *server) reusableConn(now eventloop.Nanos) (best *conn) {
	for _, c := range s.conns {
		if c.idle && s.backend.keeper.IsReusable(now, c.idleSince) && (best == nil || c.idleSince > best.idleSince) {
			best = c
		}
	}
	return best
}

// takeReusableConn gives the unused connection that was used last, if one is fit; what is found to have ended is dropped.
func (s *server) takeReusableConn(now eventloop.Nanos) *conn {
	for {
		best := s.reusableConn(now)
		if best == nil || best.socket.InputEmpty() {
			return best
		}
		s.backend.Counts.IdleUnusable++
		best.retire()
	}
}

// dropLingering gives up the connections that were to show the end of an attempt: the server is gone, and what it held with it.
func (s *server) dropLingering(now eventloop.Nanos) {
	for _, c := range slices.Clone(s.conns) {
		if c.lingersFor != nil {
			c.dropLingering(now, "its server is gone")
		}
	}
}

// closeIdleConns drops the unused connections to a server.
func (s *server) closeIdleConns() {
	for _, c := range slices.Clone(s.conns) {
		if c.idle {
			c.retire()
		}
	}
}

// failUnsentAttempts ends attempts to the server whose connections are not up yet, or that wait behind a release: it drains, and by
// then it may be too late.
func (s *server) failUnsentAttempts(now eventloop.Nanos) {
	for _, id := range slices.Sorted(maps.Keys(s.backend.releaseTrackers)) { // in an order that does not change from run to run
		tracker := s.backend.releaseTrackers[id]
		if req := tracker.waitingPrefill; req != nil && req.Server == s.id {
			tracker.waitingPrefill = nil
			s.backend.dispatcher.ReplaceAttempt(now, req, nil)
		}
	}
	for _, c := range slices.Clone(s.conns) {
		if req := c.request; req != nil && !c.connected {
			c.abandonAndClose()
			s.backend.dispatcher.FinishAttempt(now, req, policy.NotSent, "", policy.NoLoadReport)
		}
	}
}
