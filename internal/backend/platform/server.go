package platform

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// server is a model server of the endpoint list and the connections to it.
type server struct {
	backend   *Backend
	id        policy.ServerID
	name      string
	listing   listing // the latest valid entry whose state was not Gone
	role      policy.Role
	health    policy.Health
	startedAt int64 // Unix nanoseconds, the latest of all listings
	conns     []*conn

	lastHeardAt  eventloop.Nanos // when data last came from it, on any connection
	loadReport   policy.LoadReport
	loadReportAt eventloop.Nanos
}

// addServer adds a server that is listed for the first time.
func (b *Backend) addServer(name string) *server {
	srv := &server{backend: b, id: b.newServerID(name), name: name, loadReport: policy.NoLoadReport}
	b.servers = append(b.servers, srv)
	b.byName[name], b.byID[srv.id] = srv, srv
	return srv
}

// newServerID derives the ID of a server from its name. The ID is the same in every dispatcher and after a restart,
// except for names whose hashes collide.
func (b *Backend) newServerID(name string) policy.ServerID {
	id := policy.ServerID(xxhash.Sum64String(name))
	for b.byID[id] != nil {
		id++
	}
	return id
}

// removeIfUnused removes a server that is gone and has no connections left.
func (b *Backend) removeIfUnused(srv *server) {
	if srv.health != policy.Gone || len(srv.conns) > 0 || b.byID[srv.id] != srv {
		return
	}
	delete(b.byID, srv.id)
	delete(b.byName, srv.name)
	if i := slices.Index(b.servers, srv); i >= 0 {
		b.servers = slices.Delete(b.servers, i, i+1)
	}
}

// applyHealth ends the attempts and closes the connections that the server's health no longer permits.
func (s *server) applyHealth(now eventloop.Nanos) {
	if s.health != policy.Serving {
		s.failUnsentAttempts(now)
	}
	if s.health == policy.Gone {
		s.closeIdleConns()
		s.dropLingering(now)
		s.backend.removeIfUnused(s)
	}
}

// failUnsentAttempts ends the attempts that wait for a connection or a release. The server is draining or gone and
// would not accept them.
func (s *server) failUnsentAttempts(now eventloop.Nanos) {
	trackers := s.backend.releaseTrackers
	for _, id := range slices.Sorted(maps.Keys(trackers)) { // sorted, so that the order is deterministic
		tracker := trackers[id]
		if req := tracker.waiting.request; req != nil && req.Server == s.id {
			tracker.waiting.request = nil
			s.backend.dispatcher.ReplaceAttempt(now, req, nil)
		}
	}
	for _, c := range slices.Clone(s.conns) {
		if req := c.exchange.request; req != nil && !c.connected {
			c.abandonAndClose()
			s.backend.dispatcher.FinishAttempt(now, req, policy.NotSent, "", policy.NoLoadReport)
		}
	}
}

// closeIdleConns closes the idle connections to the server.
func (s *server) closeIdleConns() {
	for _, c := range slices.Clone(s.conns) {
		if c.idle {
			c.closeIdle()
		}
	}
}

// dropLingering closes the lingering connections to a server that is gone. KV state that it held is gone too.
func (s *server) dropLingering(now eventloop.Nanos) {
	for _, c := range slices.Clone(s.conns) {
		if c.lingerTracker != nil {
			c.dropLingering(now, "server gone")
		}
	}
}
