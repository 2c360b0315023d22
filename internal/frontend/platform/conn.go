package platform

import (
	"errors"

	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
	"docksail/policy"
)

// conn is one client's connection. It is the frontend.ResponseWriter of the request in flight on it.
type conn struct {
	server    *Server
	transport *eventloop.Conn
	sequence  uint64          // number of the connection in the order of acceptance
	now       eventloop.Nanos // time of the event that is being handled
	closed    bool            // the transport has ended

	lifecycle lifecycle
	incoming  incomingRequest
	response  response

	stateMemory memory.Account // of the connection itself
	inputMemory memory.Account // of incoming
}

// incomingRequest is the input of a connection and the state of the request that is being read.
type incomingRequest struct {
	decoder  h1.Decoder
	buffer   h1.InputBuffer
	overflow *overflow // what the client has pipelined beyond what buffer may hold; nil = nothing
	// scheduled is set while the connection waits in Server.scheduled for its next turn to decode.
	scheduled bool
	// firstByteAt is when the first byte of the request arrived, or of the input pipelined behind the request in flight.
	firstByteAt eventloop.Nanos
	// decoding is set while decodeRequests runs. Meanwhile pipelinedBytes is the number of bytes that follow the request
	// being handled.
	decoding       bool
	needsData      bool // the decoder waits for more input than it has
	pipelinedBytes int
	head           requestHead
	healthPath     string // path of a health check, which is not submitted to the dispatcher; "" = no health check
	body           []byte
	holderIndex    int // in Server.holders
}

// response is the state of the response that is being written.
type response struct {
	requestID  policy.RequestID // request in flight; 0 = none
	headSent   bool             // the head of a streamed response was sent
	closeAfter bool             // the connection closes after this response
}

// Opened implements eventloop.Handler.
func (c *conn) Opened(now eventloop.Nanos) {
	c.now = now
	c.setState(clientconn.StateNew)
}

// Received implements eventloop.Handler.
func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.now = now
	if c.lifecycle.state == clientconn.StateLingering {
		c.discard(len(p))
		return
	}
	defer c.chargeInput()
	if c.incoming.overflow != nil {
		c.incoming.overflow.receive(p)
		c.checkOverflowMemory()
		c.decode(nil)
		return
	}
	buffered := c.incoming.buffer.Len()
	if c.lifecycle.state != clientconn.StateReadingRequest && buffered == 0 {
		c.incoming.firstByteAt = now
	}
	if c.lifecycle.state != clientconn.StateActive {
		c.decode(p)
		c.checkInputMemory()
		return
	}
	switch {
	case c.mayKeepPipelined(len(p)):
		c.incoming.buffer.Append(p)
	case c.hasMemoryFor(len(p)):
		c.beginOverflow(p, clientconn.MaxPipelinedBytes)
	default:
		c.beginOverflow(p, buffered) // what was kept before stays
	}
}

// PeerHalfClosed implements eventloop.Handler. A client that closes its half counts as disconnected.
func (c *conn) PeerHalfClosed(now eventloop.Nanos) {
	c.now = now
	c.transport.Close()
}

// OutputFlushed implements eventloop.Handler.
func (c *conn) OutputFlushed(now eventloop.Nanos) {
	c.now = now
	if c.response.requestID != 0 {
		c.server.dispatcher.ClientWritable(now, c.response.requestID)
		return
	}
	c.scheduleDecode()
}

// Closed implements eventloop.Handler.
func (c *conn) Closed(now eventloop.Nanos, err error) {
	c.now, c.closed = now, true
	if errors.Is(err, eventloop.ErrOutputLimit) {
		c.server.Counts.OutputOverflows++
	}
	if heap := c.server.heapOf(c.lifecycle.state); heap != nil {
		heap.Remove(c)
	}
	c.server.loop.CancelTimer(&c.lifecycle.timer)
	c.releaseBody()
	c.stateMemory.Set(0)
	c.inputMemory.Set(0)
	c.server.connCount--
	if id := c.response.requestID; id != 0 {
		c.clearRequest()
		c.server.dispatcher.ClientDisconnected(now, id)
	}
	if c.server.phase >= phaseDraining { // the drain may wait for this connection only
		c.server.loop.SkipNextWait()
	}
}

// clearRequest records that no request is in flight on the connection.
func (c *conn) clearRequest() {
	c.response.requestID = 0
	delete(c.server.requestIDs, string(c.incoming.head.id))
}
