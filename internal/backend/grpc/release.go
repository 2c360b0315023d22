package grpc

import (
	"google.golang.org/grpc/codes"

	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// pendingRelease identifies the attempt whose KV state a server is to release.
type pendingRelease struct {
	request policy.RequestID
	attempt policy.AttemptNumber
}

// sendRelease sends a release on connection c if it is usable, else on another one. c may be nil. If no connection is
// usable, the release waits for the next one.
func (s *server) sendRelease(now eventloop.Nanos, c *conn, release pendingRelease) {
	if c == nil || c.closed || c.retired || !c.http2.CanOpenStream() {
		c = s.usableConn()
	}
	if c != nil {
		c.sendRelease(release)
		return
	}
	if !keepalive.MayQueueRelease(len(s.releases)) || s.connForAttempt(now) == nil {
		s.recordReleaseLost(release, "no connection")
		return
	}
	s.releases = append(s.releases, release)
}

// sendPendingReleases sends the waiting releases on a connection that has just been established.
func (s *server) sendPendingReleases(c *conn) {
	for _, release := range s.releases {
		if c.http2.CanOpenStream() {
			c.sendRelease(release)
		} else {
			s.recordReleaseLost(release, "no free stream")
		}
	}
	s.releases = s.releases[:0]
}

// dropPendingReleases abandons the waiting releases, as the engine cannot be reached: it has ended, or it drops the
// state after its own timeout.
func (s *server) dropPendingReleases() {
	for _, release := range s.releases {
		s.recordReleaseLost(release, "not reached")
	}
	s.releases = s.releases[:0]
}

// handleReleaseStatus records a release as lost if the engine has answered it with an error.
func (s *server) handleReleaseStatus(release pendingRelease, code codes.Code) {
	if code != codes.OK {
		s.recordReleaseLost(release, code.String())
	}
}

// recordReleaseLost counts and logs a release that had no effect. The engine drops the state after its own timeout.
func (s *server) recordReleaseLost(release pendingRelease, reason string) {
	d := s.backend.dispatcher
	d.Counts.ReleasesLost++
	s.backend.log.Warn("release lost", "request_id", d.RequestName(release.request), "attempt", release.attempt,
		"server_id", s.id, "reason", reason)
}
