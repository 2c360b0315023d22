package platform

import (
	"errors"
	"net/http"

	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/memory"
	"docksail/internal/h1"
)

// overflow is what a client has pipelined beyond clientconn.MaxPipelinedBytes. Its requests are not kept: they are
// counted as they arrive and refused in their order, after those that are kept. So reading goes on, and the client's
// close, which comes behind its bytes, is noticed in time.
type overflow struct {
	decoder  h1.Decoder
	input    h1.InputBuffer // the beginning of an incomplete part of a message
	complete int            // requests that have arrived completely and are not refused yet
	err      error          // the input that follows cannot be decoded and is discarded
}

// newOverflow decodes pipelined input that exceeds the limit. It returns how much of it is kept: whole requests of at
// most limit bytes.
func newOverflow(input []byte, limit int) (o *overflow, kept int) {
	o = &overflow{decoder: newRequestDecoder()}
	position := 0
	o.decode(input, func(n int) {
		if position += n; position <= limit {
			kept, o.complete = position, 0
		}
	})
	return o, kept
}

// receive decodes further input.
func (o *overflow) receive(p []byte) { o.decode(p, func(int) {}) }

// decode decodes input. It calls onRequest with the size of each request that is complete, after counting it.
func (o *overflow) decode(p []byte, onRequest func(size int)) {
	o.input.Process(p, func(p []byte) int {
		requestStart, consumed := 0, 0
		for o.err == nil {
			event, _, n, err := o.decoder.Next(p[consumed:])
			consumed += n
			switch {
			case err != nil:
				o.err = err
			case event == h1.NeedData:
				return consumed
			case event == h1.MessageEnd:
				o.complete++
				onRequest(consumed - requestStart)
				requestStart = consumed
			}
		}
		return len(p)
	})
}

// betweenRequests reports whether no request has arrived in part, and none can be refused.
func (o *overflow) betweenRequests() bool {
	return o.complete == 0 && o.err == nil && o.decoder.AtMessageStart()
}

// mayKeepPipelined reports whether n more bytes that have arrived behind the request in flight may be kept.
func (c *conn) mayKeepPipelined(n int) bool {
	return c.incoming.buffer.Len()+n <= clientconn.MaxPipelinedBytes && c.hasMemoryFor(n)
}

// hasMemoryFor reports whether the budget has room for n more bytes of input.
func (c *conn) hasMemoryFor(n int) bool {
	return c.server.limits.Memory.Admits(memory.PartialRequests, int64(c.incoming.buffer.Len()), int64(n))
}

// beginOverflow handles input behind the request in flight that must not be kept. Of what is kept already and of p,
// whole requests of at most limit bytes stay.
func (c *conn) beginOverflow(p []byte, limit int) {
	in := &c.incoming
	in.buffer.Append(p)
	overflow, kept := newOverflow(in.buffer.Bytes(), limit)
	in.overflow = overflow
	in.buffer.Truncate(kept)
	c.server.Counts.PipelineOverflows++
	c.checkOverflowMemory()
}

// errOutOfMemory ends the decoding of an overflow for whose incomplete head the budget has no room.
var errOutOfMemory = errors.New("too many bytes of incomplete requests")

// checkOverflowMemory gives up decoding the overflow if the budget has no room for the incomplete head in it. The
// connection then ends with the refusal of that request.
func (c *conn) checkOverflowMemory() {
	o := c.incoming.overflow
	c.chargeInput()
	if o.input.Len() > 0 && !c.hasMemoryFor(0) {
		o.err = errOutOfMemory
		o.input.Truncate(0)
		c.chargeInput()
	}
}

// refuseOverflow refuses requests of the overflow, once no request is in flight and none is kept. It ends the overflow
// when it has caught up with the client between two requests. It reports whether the turn ended before that.
func (c *conn) refuseOverflow() (turnOver bool) {
	o := c.incoming.overflow
	for turn := 0; o.complete > 0 && c.mayDecode(turn); turn++ {
		o.complete--
		c.server.Counts.PipelinedRequestsRefused++
		c.respond(http.StatusServiceUnavailable, 0, "too much is pipelined")
	}
	switch {
	case !c.isBetweenRequests():
	case o.complete > 0:
		return true
	case o.err != nil:
		c.rejectInvalid(statusOf(o.err), o.err.Error())
	case o.betweenRequests():
		c.incoming.overflow, c.incoming.firstByteAt = nil, c.now
		c.decode(o.input.Bytes())
	case c.lifecycle.state != clientconn.StateReadingRequest:
		c.setState(clientconn.StateReadingRequest)
	}
	return false
}
