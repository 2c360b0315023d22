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
	name     string // addr, as :authority has it
	role     policy.Role
	conns    []*conn
	releases []pendingRelease // releases that wait for a connection
	// throttle holds attempts back after a connection was lost: the engine may have restarted.
	throttle     keepalive.RestartThrottle
	lostLastConn bool // the last connection was lost or could not be made
}

// update applies the entry of the server in the endpoint list.
func (s *server) update(now eventloop.Nanos, endpoint *endpointlist.Endpoint) {
	s.role = endpoint.Role
	if s.addr != endpoint.Address {
		s.addr, s.name = endpoint.Address, endpoint.Address.String()
		for _, c := range s.conns { // attempts at the former address run to their end
			c.retired = true
		}
	}
	if endpoint.Health != policy.Serving || s.throttle.IsActive() { // the module decides again, by what it knows now
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

// connForAttempt returns the connection for an attempt, which may still have to be made; nil if there can be none.
func (s *server) connForAttempt(now eventloop.Nanos) *conn {
	b := s.backend
	b.statuses = b.statuses[:0]
	for _, c := range s.conns {
		b.statuses = append(b.statuses, c.status())
	}
	choice, index := keepalive.SelectConn(b.statuses)
	switch choice {
	case keepalive.UseConn:
		return s.conns[index]
	case keepalive.DialConn:
		return s.dial(now)
	case keepalive.NoConn:
	}
	return nil
}

// dial begins to connect to the server. It returns nil if no socket can be had.
func (s *server) dial(now eventloop.Nanos) *conn {
	b := s.backend
	c := &conn{backend: b, server: s, activity: keepalive.ConnStatus{LastReceivedAt: now, LastUsedAt: now}}
	c.onKeepalive = c.checkKeepalive
	c.http2 = h2.NewClientConn(b.limits, c)
	var err error
	if c.conn, err = b.loop.Dial(s.addr, b.connectTimeout, c); err != nil {
		b.log.Warn("connect failed", "server_id", s.id, "error", err)
		return nil
	}
	c.conn.SetOutputLimit(maxOutputBytes)
	if len(s.conns) == 0 && (s.lostLastConn || b.watcher.isOutOfDate()) {
		s.throttle.ConnLost()
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

// usableConn returns a connection that takes another stream, or nil.
func (s *server) usableConn() *conn {
	for _, c := range s.conns {
		if c.connected && !c.retired && c.http2.CanOpenStream() {
			return c
		}
	}
	return nil
}

// sendWaiting sends waiting attempts as far as the server's throttle allows.
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

// dropWaiting ends the attempts that wait. By the time they could be sent it may be too late for them.
func (s *server) dropWaiting(now eventloop.Nanos) {
	for _, c := range s.conns {
		c.finishWaiting(now, policy.NotSent)
	}
}
