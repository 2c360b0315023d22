package platform

import (
	"errors"

	"docksail/internal/decide/memory"
	"docksail/internal/decide/serverconn"
	"docksail/internal/eventloop"
	"docksail/internal/indexedheap"
	"docksail/policy"
)

// errConnLimit is returned if a new connection would exceed the limit and none can be evicted.
var errConnLimit = errors.New("limit of connections to servers reached")

// newIdleHeap returns an empty heap of idle connections. The longest idle one is first.
func newIdleHeap() indexedheap.Heap[*conn] {
	return indexedheap.Heap[*conn]{
		Index: func(c *conn) *int { return &c.heapIndex },
		Less: func(a, b *conn) bool {
			return a.idleSince < b.idleSince || a.idleSince == b.idleSince && a.number < b.number
		},
	}
}

// acquireConn returns a connection to a server without an exchange: an idle one if mayReuse is true and one is usable,
// else a new one. It returns errConnLimit if maxConns are open and none can be evicted.
func (b *Backend) acquireConn(now eventloop.Nanos, srv *server, maxConns int, mayReuse bool) (*conn, error) {
	if mayReuse {
		if c := srv.usableIdleConn(now); c != nil {
			b.Counts.Reused++
			b.idleConns.Remove(c)
			b.loop.CancelTimer(&c.timer)
			c.idle = false
			return c, nil
		}
	}
	if b.openConns >= maxConns && !b.evictConn(now) {
		b.Counts.NoRoom++
		return nil, errConnLimit
	}
	return b.dial(srv)
}

// dial starts to connect to a server. The loop calls conn.Opened or conn.Closed with the result.
func (b *Backend) dial(srv *server) (*conn, error) {
	b.lastConnNumber++
	c := &conn{
		backend: b, server: srv, number: b.lastConnNumber, memory: b.memory.NewAccount(memory.Responses),
	}
	c.onTimer = c.handleTimer
	socket, err := b.loop.Dial(srv.listing.addr, b.connectTimeout, c)
	if err != nil {
		b.log.Warn("connect failed", "server_id", srv.name, "error", err)
		return nil, err
	}
	b.Counts.Dialed++
	b.openConns++
	c.socket = socket
	c.socket.SetReadLimit(serverconn.MaxReadBytes)
	c.memory.Set(serverconn.ConnectionBytes)
	srv.conns = append(srv.conns, c)
	return c, nil
}

// evictConn closes a connection so that another can be opened: the longest idle one, else the oldest lingering one. It
// reports whether there was one.
func (b *Backend) evictConn(now eventloop.Nanos) bool {
	if b.idleConns.Len() > 0 {
		b.idleConns.Min().closeIdle()
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
	b.Counts.WatchesDropped++
	oldest.dropLingering(now, "descriptor needed")
	return true
}

// latestIdleConn returns the reusable idle connection that was used last, or nil. It does not check whether the server
// has closed it.
func (s *server) latestIdleConn(now eventloop.Nanos) (latest *conn) {
	for _, c := range s.conns {
		reusable := c.idle && s.backend.connPolicy.IsReusable(now, c.idleSince)
		if reusable && (latest == nil || c.idleSince > latest.idleSince) {
			latest = c
		}
	}
	return latest
}

// usableIdleConn returns the reusable idle connection that was used last and has no unread input, or nil. It closes
// connections with unread input.
func (s *server) usableIdleConn(now eventloop.Nanos) *conn {
	for {
		c := s.latestIdleConn(now)
		if c == nil || c.socket.InputEmpty() {
			return c
		}
		s.backend.Counts.IdleUnusable++
		c.closeIdle()
	}
}

// becomeIdle returns the connection to the pool after an exchange.
func (c *conn) becomeIdle(now eventloop.Nanos) {
	if c.server.health == policy.Gone {
		c.closeIdle()
		return
	}
	c.socket.SetReadPaused(false) // reading may be paused for the client of the exchange
	c.idle, c.idleSince = true, now
	c.backend.idleConns.PushOrFix(c)
	c.backend.loop.SetTimer(&c.timer, c.backend.connPolicy.IdleDeadline(now), c.onTimer)
}

// closeIdle closes a connection that has no exchange in progress.
func (c *conn) closeIdle() {
	c.backend.Counts.IdleClosed++
	c.idle = false
	c.backend.idleConns.Remove(c)
	c.close()
}
