package grpc

import (
	"google.golang.org/grpc/codes"

	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// pendingRelease is a release of the KV state that an attempt left at a server.
type pendingRelease struct {
	request policy.RequestID
	attempt policy.AttemptNumber
}

// sendRelease sends a release on a connection, which may be nil, or on another one. Without a usable connection the
// release waits for the next one.
func (s *server) sendRelease(now eventloop.Nanos, c *conn, release pendingRelease) {
	if c == nil || c.closed || c.retired || !c.http2.CanOpenStream() {
		c = s.usableConn()
	}
	if c != nil {
		c.sendRelease(release)
		return
	}
	if !keepalive.MayQueueRelease(len(s.releases)) || s.connForAttempt(now) == nil {
		s.releaseLost(release, "no connection")
		return
	}
	s.releases = append(s.releases, release)
}

// sendPendingReleases sends the releases that waited on a connection that is up now.
func (s *server) sendPendingReleases(c *conn) {
	for _, release := range s.releases {
		if c.http2.CanOpenStream() {
			c.sendRelease(release)
		}
	}
	s.releases = s.releases[:0]
}

// dropPendingReleases gives up the releases that waited: the engine is out of reach. Either it has ended or it drops
// the state after a time of its own.
func (s *server) dropPendingReleases() {
	for _, release := range s.releases {
		s.releaseLost(release, "not reached")
	}
	s.releases = s.releases[:0]
}

// releaseAnswered records the engine's answer to a release.
func (s *server) releaseAnswered(release pendingRelease, code codes.Code) {
	if code != codes.OK {
		s.releaseLost(release, code.String())
	}
}

// releaseLost records a release that had no effect: the engine drops the state after a time of its own.
func (s *server) releaseLost(release pendingRelease, reason string) {
	d := s.backend.dispatcher
	d.Counts.ReleasesLost++
	s.backend.log.Warn("release lost", "request_id", d.RequestName(release.request), "attempt", release.attempt,
		"server_id", s.id, "reason", reason)
}
