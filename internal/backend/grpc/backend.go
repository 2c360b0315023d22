// Package grpc is the backend for engines that speak gRPC (docksail.v1.Engine) and for their endpoint list, which
// comes from a discovery server (docksail.v1.Fleet) or from a file. It implements dispatch.Backend.
//
// An engine has a few connections, each of which carries many attempts as HTTP/2 streams. Package decide/keepalive
// decides how many connections there are, when they are pinged and when they are closed.
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

	// pauseOutputBytes is the number of bytes queued for a socket above which messages wait in their streams.
	pauseOutputBytes = 256 << 10
	// maxOutputBytes is the number of bytes queued for a socket above which the connection is closed, as the engine does
	// not read.
	maxOutputBytes = 32 << 20
)

// Config configures a backend. Durations are in nanoseconds.
type Config struct {
	ConnectTimeout int64
	Limits         h2.Limits
	// List is the endpoint list. The module uses its IDs of zones and cells.
	List      *endpointlist.List
	Discovery DiscoveryConfig
}

// Backend sends attempts and releases to engines over gRPC. It must be used on the event loop's goroutine only.
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

	unflushed    []*conn                // connections with output to be queued on their sockets
	connStatuses []keepalive.ConnStatus // buffer of connForAttempt
	scratch      []byte                 // buffer for the message that is being encoded
}

// New returns the backend of a dispatcher. Both use the same loop.
func New(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, log *slog.Logger, config *Config) *Backend {
	b := &Backend{
		loop: loop, log: log, dispatcher: dispatcher, list: config.List,
		servers:        make(map[policy.ServerID]*server),
		keepalive:      keepalive.EnginePolicy,
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

// IsIdle implements dispatch.Backend. It always returns true: releases that wait for a connection are abandoned, as
// engines drop held state after their own timeout.
func (b *Backend) IsIdle() bool { return true }

// IsPrefill implements dispatch.Backend.
func (b *Backend) IsPrefill(id policy.ServerID) (isPrefill, known bool) {
	s := b.servers[id]
	return s != nil && s.role == policy.Prefill, s != nil
}

// ServerName implements dispatch.Backend. The name of a server is its ID in the endpoint list.
func (b *Backend) ServerName(id policy.ServerID) string { return strconv.FormatUint(uint64(id), 10) }

// Flush implements dispatch.Backend.
func (b *Backend) Flush() {
	for _, c := range b.unflushed {
		c.flushScheduled = false
		c.flush()
	}
	b.unflushed = b.unflushed[:0]
}

// StartAttempt implements dispatch.Backend. An attempt waits while its connection is being established and while the
// server's restart throttle allows no further attempt. A request waits for a throttle only once, as a second wait
// could use up the time until the client's deadline.
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
		a.limitThrottleWait(now)
	}
	return a
}

// Release implements dispatch.Backend. It sends the release on the connection of the attempt if possible, so that the
// engine receives them in order.
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

// findWaiting returns the attempt of a request if it still waits on connection c, or nil.
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
