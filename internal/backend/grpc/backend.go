// Package grpc is the backend for engines that speak gRPC (docksail.v1.Engine) and for their endpoint list, which
// comes from a discovery server (docksail.v1.Fleet) or from a file. It implements dispatch.Backend.
//
// An engine has a few connections, and each of them carries many attempts as HTTP/2 streams. How many there are, when
// they are pinged and when they are closed is decided by decide/keepalive.
package grpc

import (
	"log/slog"
	"strconv"

	"docksail/internal/decide/keepalive"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/policy"
)

const (
	pathPrefill = "/docksail.v1.Engine/Read"
	pathDecode  = "/docksail.v1.Engine/Write"
	pathRelease = "/docksail.v1.Engine/Release"
	pathWatch   = "/docksail.v1.Fleet/Watch"

	// pauseOutputBytes queued for a socket make further messages wait in their streams.
	pauseOutputBytes = 256 << 10
	// maxOutputBytes queued for a socket close the connection: the engine takes nothing.
	maxOutputBytes = 32 << 20
)

// Config describes a backend. Durations are in nanoseconds.
type Config struct {
	// LatencyTarget is the shortest of the classes' latency targets. Keepalive times are derived from it.
	LatencyTarget  int64
	ConnectTimeout int64
	Limits         h2.Limits
	// List is the endpoint list. Its zones and cells are those that the module knows.
	List      *endpointlist.List
	Discovery DiscoveryConfig
}

// Backend reaches engines by gRPC. All of it belongs to the goroutine of the event loop.
type Backend struct {
	loop           *eventloop.Loop
	log            *slog.Logger
	dispatcher     *dispatch.Dispatcher
	list           *endpointlist.List
	watcher        endpointWatcher
	servers        map[policy.ServerID]*server
	keepalive      keepalive.Policy
	connectTimeout int64
	limits         h2.Limits

	unflushed []*conn // connections with output of this iteration of the loop
	statuses  []keepalive.ConnStatus
	scratch   []byte
}

// New returns the backend of a dispatcher on its loop.
func New(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, log *slog.Logger, config *Config) *Backend {
	b := &Backend{
		loop: loop, log: log, dispatcher: dispatcher, list: config.List,
		servers:        make(map[policy.ServerID]*server),
		keepalive:      keepalive.Policy{LatencyTarget: config.LatencyTarget},
		connectTimeout: config.ConnectTimeout, limits: config.Limits,
	}
	b.watcher.init(b, config.Discovery)
	return b
}

// Start implements dispatch.Backend.
func (b *Backend) Start(eventloop.Nanos) { b.watcher.start() }

// WatchEndpoints implements dispatch.Backend.
func (b *Backend) WatchEndpoints(now eventloop.Nanos) { b.watcher.connect(now) }

// Close implements dispatch.Backend.
func (b *Backend) Close() { b.watcher.close() }

// IsIdle implements dispatch.Backend. It is always true: releases that wait for a connection are left to the engines,
// which drop state after a time of their own.
func (b *Backend) IsIdle() bool { return true }

// IsPrefill implements dispatch.Backend.
func (b *Backend) IsPrefill(id policy.ServerID) (isPrefill, known bool) {
	s := b.servers[id]
	return s != nil && s.role == policy.Prefill, s != nil
}

// ServerName implements dispatch.Backend. Servers are named by their number in the endpoint list.
func (b *Backend) ServerName(id policy.ServerID) string { return strconv.FormatUint(uint64(id), 10) }

// Flush implements dispatch.Backend.
func (b *Backend) Flush() {
	for _, c := range b.unflushed {
		c.flushPending = false
		c.flush()
	}
	b.unflushed = b.unflushed[:0]
}

// StartAttempt implements dispatch.Backend. An attempt waits while its connection is being made and while the
// server's restart throttle allows no more. A request waits for a throttle once only: a second wait would use up the
// client's time.
func (b *Backend) StartAttempt(now eventloop.Nanos, req *dispatch.Request, number policy.AttemptNumber,
) dispatch.Attempt {
	s := b.servers[req.Server]
	c := s.connForAttempt(now)
	if c == nil {
		return nil
	}
	a := attemptOf(req)
	if c.connected && a.wasThrottled && !s.throttle.Allows(s.sentAttempts()) {
		return nil
	}
	a.conn, a.lastConn = c, nil
	c.activity.StreamCount++
	c.activity.LastUsedAt, c.activity.LastSentAt = now, now
	if c.activity.StreamCount == 1 && c.connected && c.activity.LastPingAt <= c.activity.LastReceivedAt {
		b.loop.SetTimer(&c.timer, b.keepalive.FirstCheck(now), c.onKeepalive)
	}
	if c.connected && s.throttle.Allows(s.sentAttempts()) {
		c.sendAttempt(now, a, number)
		return a
	}
	c.waiting = append(c.waiting, req.ID)
	if c.connected {
		a.limitWait(now)
	}
	return a
}

// Release implements dispatch.Backend. The release goes on the connection of the attempt if it can, so that the engine
// receives them in order.
func (b *Backend) Release(now eventloop.Nanos, req *dispatch.Request, id policy.ServerID, number policy.AttemptNumber,
	_ eventloop.Nanos,
) {
	s := b.servers[id]
	if s == nil {
		return
	}
	c := attemptOf(req).lastConn
	if c != nil && c.server != s {
		c = nil
	}
	b.dispatcher.Counts.Releases++
	s.sendRelease(now, c, pendingRelease{request: req.ID, attempt: number})
}

// findWaiting returns the attempt of a request that waits on a connection, or nil if it does not wait there any more.
func (b *Backend) findWaiting(c *conn, id policy.RequestID) *attempt {
	req := b.dispatcher.FindRequest(id)
	if req == nil {
		return nil
	}
	if a := attemptOf(req); a.conn == c && a.stream == nil {
		return a
	}
	return nil
}
