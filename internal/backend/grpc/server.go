package grpc

import (
	"net/netip"
	"slices"

	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/policy"
)

// server is an engine of the endpoint list and the connections to it.
type server struct {
	backend  *Backend
	id       policy.ServerID
	addr     netip.AddrPort
	name     string // addr as text, also the :authority of calls
	role     policy.Role
	conns    []*conn
	releases []pendingRelease // releases that wait for a connection
	// throttle limits attempts after a connection was lost, as the engine may have restarted.
	throttle     keepalive.RestartThrottle
	lostLastConn bool // the connection that ended last was lost or could not be established
}

// update applies an update of the server's entry in the endpoint list.
func (s *server) update(now eventloop.Nanos, endpoint *endpointlist.Endpoint) {
	s.role = endpoint.Role
	if s.addr != endpoint.Address {
		s.addr, s.name = endpoint.Address, endpoint.Address.String()
		for _, c := range s.conns { // outstanding attempts at the former address continue
			c.retired = true
		}
	}
	if endpoint.Health != policy.Serving || s.throttle.IsActive() { // the module decides again with the update
		s.dropWaiting(now)
	}
	s.throttle.ListUpdated()
}

// sentAttempts counts the outstanding attempts that have been sent.
func (s *server) sentAttempts() int {
	n := 0
	for _, c := range s.conns {
		n += c.sentAttempts
	}
	return n
}

// connForAttempt returns the connection for an attempt, which may still be connecting, or nil if there is none and
// none can be dialed.
func (s *server) connForAttempt(now eventloop.Nanos) *conn {
	b := s.backend
	b.connStatuses = b.connStatuses[:0]
	for _, c := range s.conns {
		b.connStatuses = append(b.connStatuses, c.status())
	}
	choice, index := keepalive.SelectConn(b.connStatuses)
	switch choice {
	case keepalive.UseConn:
		return s.conns[index]
	case keepalive.DialConn:
		return s.dial(now)
	case keepalive.NoConn:
	}
	return nil
}

// dial starts to connect to the server. It returns nil if the loop reports an error, such as a lack of descriptors.
func (s *server) dial(now eventloop.Nanos) *conn {
	b := s.backend
	c := &conn{backend: b, server: s, activity: keepalive.ConnStatus{LastReceivedAt: now, LastUsedAt: now}}
	c.onKeepalive = c.checkKeepalive
	c.http2 = h2.NewClientConn(b.limits, c)
	var err error
	if c.transport, err = b.loop.Dial(s.addr, b.connectTimeout, c); err != nil {
		b.log.Warn("connect failed", "server_id", s.id, "error", err)
		return nil
	}
	c.transport.SetOutputLimit(maxOutputBytes)
	if len(s.conns) == 0 && (s.lostLastConn || b.watcher.mayBeStale()) {
		s.throttle.Start()
	}
	s.conns = append(s.conns, c)
	return c
}

// removeConn removes a connection that has closed.
func (s *server) removeConn(c *conn) {
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
	s.lostLastConn = !c.closedUnused && !c.retired
}

// usableConn returns a connection on which another stream can be opened, or nil.
func (s *server) usableConn() *conn {
	for _, c := range s.conns {
		if c.connected && !c.retired && c.http2.CanOpenStream() {
			return c
		}
	}
	return nil
}

// sendWaiting sends as many waiting attempts as the server's throttle allows.
func (s *server) sendWaiting(now eventloop.Nanos) {
	for _, c := range s.conns {
		for c.connected && !c.closed && len(c.waiting) > 0 && s.throttle.Allows(s.sentAttempts()) {
			id := c.waiting[0]
			c.waiting = c.waiting[1:]
			if a := s.backend.findWaiting(c, id); a != nil {
				c.sendWaitingAttempt(now, a)
			}
		}
	}
}

// dropWaiting finishes the waiting attempts as not sent, so that the module can place their requests elsewhere.
func (s *server) dropWaiting(now eventloop.Nanos) {
	for _, c := range s.conns {
		c.finishWaiting(now, policy.NotSent)
	}
}
