package platform

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
	"docksail/internal/indexedheap"
)

// newConnHeap returns a heap of connections. Its minimum is the one that has been in its state for longest.
func newConnHeap() indexedheap.Heap[*conn] {
	return indexedheap.Heap[*conn]{
		Index: func(c *conn) *int { return &c.lifecycle.heapIndex },
		Less: func(a, b *conn) bool {
			if a.lifecycle.stateSince != b.lifecycle.stateSince {
				return a.lifecycle.stateSince < b.lifecycle.stateSince
			}
			return a.sequence < b.sequence
		},
	}
}

// heapOf returns the heap that holds the connections in a state, or nil if there is none.
func (s *Server) heapOf(state clientconn.ConnState) *indexedheap.Heap[*conn] {
	switch state {
	case clientconn.StateNew, clientconn.StateReadingRequest:
		return &s.incomplete
	case clientconn.StateIdle:
		return &s.idle
	case clientconn.StateLingering:
		return &s.lingering
	default:
		return nil
	}
}

// evict closes a connection to make room for a new one. It reports whether it found one to close.
func (s *Server) evict() bool {
	s.Counts.ConnectionLimitHits++
	incomplete, idle := oldestClosable(&s.incomplete), oldestClosable(&s.idle)
	lingering := oldestClosable(&s.lingering)
	var c *conn
	switch clientconn.ChooseEviction(
		s.loop.Now(), stateSinceOrZero(incomplete), stateSinceOrZero(idle), stateSinceOrZero(lingering),
	) {
	case clientconn.EvictOldestIncomplete:
		c = incomplete
	case clientconn.EvictOldestIdle:
		c = idle
	case clientconn.EvictOldestLingering:
		c = lingering
		s.Counts.LingeringConnectionsClosed++
	default:
		return false
	}
	s.logEvent(c, "connection closed", "a new connection needs its place")
	s.heapOf(c.lifecycle.state).Remove(c)
	c.transport.Close()
	return true
}

// isClosable reports whether closing the connection costs its client no answer: there is no unread input, as closing
// would reset the connection, and no unsent output. The input of a lingering connection does not matter once its client
// has received the answer.
func (c *conn) isClosable() bool {
	if c.lifecycle.state == clientconn.StateLingering {
		return c.transport.PeerHasOutput()
	}
	return c.transport.InputEmpty() && c.transport.QueuedBytes() == 0 && !c.incoming.scheduled
}

// oldestClosable returns the connection of a heap that has been longest in its state, or nil. It skips connections that
// must not be closed, and examines at most clientconn.MaxEvictionCandidates.
func oldestClosable(heap *indexedheap.Heap[*conn]) (found *conn) {
	var skipped [clientconn.MaxEvictionCandidates]*conn
	n := 0
	for ; n < clientconn.MaxEvictionCandidates && heap.Len() > 0 && found == nil; n++ {
		c := heap.Min()
		if c.isClosable() {
			found = c
			break
		}
		heap.Remove(c)
		skipped[n] = c
	}
	for _, c := range skipped[:n] {
		heap.PushOrFix(c)
	}
	return found
}

// stateSinceOrZero returns since when a connection has been in its state, or 0 if c is nil.
func stateSinceOrZero(c *conn) eventloop.Nanos {
	if c == nil {
		return 0
	}
	return max(c.lifecycle.stateSince, 1)
}
