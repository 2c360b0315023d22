package platform

import (
	"net/http"
	"unsafe"

	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/memory"
	"docksail/internal/h1"
	"docksail/internal/indexedheap"
)

const (
	maxPooledBodyBytes = 32 << 10 // larger buffers for bodies are freed
	maxPooledBodies    = 16
	// maxKeptHeadBytes is the most memory for the parsed head that a connection keeps for its next request.
	maxKeptHeadBytes = 4 << 10
)

// chargeInput charges the buffers of a connection's input to the budget.
func (c *conn) chargeInput() {
	if c.closed {
		return
	}
	in := &c.incoming
	held := in.buffer.Cap() + cap(in.body) + in.head.capacity() + fieldsCapacity(&in.decoder)
	if in.overflow != nil {
		held += int(unsafe.Sizeof(*in.overflow)) + in.overflow.input.Cap() + fieldsCapacity(&in.overflow.decoder)
	}
	c.inputMemory.Set(int64(held))
}

// fieldsCapacity returns the memory that a decoder holds for the fields of a head.
func fieldsCapacity(d *h1.Decoder) int { return cap(d.Head.Fields) * int(unsafe.Sizeof(h1.Field{})) }

// capacity returns the memory of the buffers.
func (r *requestHead) capacity() int {
	return cap(r.id) + cap(r.path) + cap(r.class) + cap(r.session) + cap(r.prefix) + cap(r.tenant) +
		cap(r.forwardedFields)
}

// newHolderHeap returns an empty heap of connections that hold the body of an incomplete request.
func newHolderHeap() indexedheap.Heap[*conn] {
	heap := newConnHeap()
	heap.Index = func(c *conn) *int { return &c.incoming.holderIndex }
	return heap
}

// appendBody appends data to the body of the request that is being read. If the budget has no room for it, the oldest
// incomplete request is refused, or this one if there is none.
func (c *conn) appendBody(data []byte) {
	s, body := c.server, c.incoming.body
	if last := len(s.bodyPool) - 1; body == nil && last >= 0 && len(data) <= cap(s.bodyPool[last]) {
		body, s.bodyPool = s.bodyPool[last], s.bodyPool[:last]
		s.chargeBodyPool()
	}
	if size := len(body) + len(data); size > cap(body) {
		grown := clientconn.GrownBodyBytes(size, c.incoming.decoder.Head.ContentLength, maxBodyBytes)
		if !s.makeRoom(c, cap(body), grown-cap(body)) {
			c.rejectInvalid(http.StatusServiceUnavailable, "too many bytes of incomplete requests")
			return
		}
		body = append(make([]byte, 0, grown), body...)
	}
	body = append(body, data...)
	c.incoming.body = body
	s.holders.PushOrFix(c)
	c.chargeInput()
}

// checkInputMemory refuses what the last input has begun, if the budget has no room for it: a request whose head is
// incomplete, or those behind the one that is in flight now.
func (c *conn) checkInputMemory() {
	if c.closed || c.incoming.buffer.Len() == 0 {
		return
	}
	c.chargeInput()
	switch c.lifecycle.state {
	case clientconn.StateReadingRequest:
		if c.incoming.decoder.AtMessageStart() && !c.server.makeRoom(c, c.incoming.buffer.Cap(), 0) {
			c.rejectInvalid(http.StatusServiceUnavailable, "too many bytes of incomplete requests")
		}
	case clientconn.StateActive:
		if !c.mayKeepPipelined(0) {
			c.beginOverflow(nil, 0)
		}
	default: // it has its turns to be decoded
	}
}

// dropInput frees the input of a connection that reads no further request.
func (c *conn) dropInput() {
	if !c.incoming.decoding { // otherwise the decoding ends with all of its input
		c.incoming.buffer.Truncate(0)
	}
	c.incoming.overflow = nil
	c.chargeInput()
}

// makeRoom reports whether a connection may hold n more bytes of an incomplete request, of which it holds some. If the
// budget has no room, it refuses the requests of others that have been incomplete for longest.
func (s *Server) makeRoom(c *conn, held, n int) bool {
	for !s.limits.Memory.Admits(memory.PartialRequests, int64(held), int64(n)) {
		if s.holders.Len() == 0 {
			return false
		}
		oldest := s.holders.Min()
		if oldest == c || !clientconn.MayRefuseIncomplete(s.loop.Now(), oldest.lifecycle.stateSince) {
			return false
		}
		s.Counts.IncompleteRequestsRefused++
		oldest.now = c.now
		oldest.rejectInvalid(http.StatusServiceUnavailable, "too many bytes of incomplete requests")
	}
	return true
}

// releaseBody drops the body of the request that is being read. It returns the buffer to the pool, so that idle
// connections hold none.
func (c *conn) releaseBody() {
	s, body := c.server, c.incoming.body
	if cap(body) > 0 && cap(body) <= maxPooledBodyBytes && len(s.bodyPool) < maxPooledBodies {
		s.bodyPool = append(s.bodyPool, body[:0])
		s.chargeBodyPool()
	}
	c.incoming.body = nil
	s.holders.Remove(c)
	c.chargeInput()
}

// releaseHead drops the buffers of a parsed head that are too large to be kept for the next request.
func (c *conn) releaseHead() {
	in := &c.incoming
	if in.head.capacity()+fieldsCapacity(&in.decoder) > maxKeptHeadBytes {
		in.head = requestHead{}
		in.decoder.Head.Fields = nil
	}
	c.chargeInput()
}

// chargeBodyPool charges the unused buffers to the budget.
func (s *Server) chargeBodyPool() {
	held := 0
	for _, body := range s.bodyPool {
		held += cap(body)
	}
	s.bodyPoolMemory.Set(int64(held))
}
