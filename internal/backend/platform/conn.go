package platform

import (
	"slices"
	"unsafe"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/memory"
	"docksail/internal/decide/serverconn"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
	"docksail/policy"
)

// conn is one connection to a server: its socket, its place in the pool, and the exchange that it carries.
//
// It is connecting, busy with an exchange, idle in the pool, or lingering: the exchange was abandoned, the output is
// closed, and the connection stays open until the server confirms the end of the exchange. It implements
// eventloop.Handler, and dispatch.Attempt for the attempt that it carries.
type conn struct {
	backend   *Backend
	server    *server
	socket    *eventloop.Conn
	number    uint64 // numbers connections in the order in which they were dialed
	connected bool
	removed   bool // closed, and no longer counted in Backend.openConns
	input     h1.InputBuffer
	memory    memory.Account // of the input and the response

	// In the pool.
	idle      bool
	idleSince eventloop.Nanos // start of the current or the last idle time
	heapIndex int             // in Backend.idleConns
	useCount  int             // exchanges that it has carried
	timer     eventloop.Timer // see handleTimer
	onTimer   func(eventloop.Nanos)

	exchange exchange // the current or the last one

	// Lingering.
	lingerTracker *releaseTracker // of the request whose attempt was abandoned; nil = not lingering
	abandonedAt   eventloop.Nanos
}

// close closes the connection at once.
func (c *conn) close() {
	c.socket.Close()
	c.detach()
}

// detach removes the connection from its server and from the counts at once, since Closed is called only in a later
// iteration of the loop.
func (c *conn) detach() {
	if c.removed {
		return
	}
	c.removed = true
	c.backend.loop.CancelTimer(&c.timer)
	c.backend.idleConns.Remove(c)
	c.backend.openConns--
	c.memory.Set(0)
	if i := slices.Index(c.server.conns, c); i >= 0 {
		c.server.conns = slices.Delete(c.server.conns, i, i+1)
	}
	c.backend.removeIfUnused(c.server)
}

// handleTimer closes the connection if it is idle. If it carries an unacknowledged attempt that needs held state, the
// attempt ends if it was not written yet; else it may be on its way to the server, so the state is released meanwhile.
func (c *conn) handleTimer(now eventloop.Nanos) {
	req := c.exchange.request
	switch {
	case c.idle:
		c.closeIdle()
	case req == nil || c.exchange.operation.IsAcknowledged():
	case c.exchange.operation.State() < inflight.Sending:
		c.abandonAndClose()
		c.backend.dispatcher.FinishAttempt(now, req, policy.Unreachable, "", policy.NoLoadReport)
		c.backend.loop.SkipNextWait()
	default:
		c.backend.Counts.ReleasedEarly++
		c.backend.dispatcher.ReleaseEarly(now, req)
	}
}

// Opened implements eventloop.Handler.
func (c *conn) Opened(now eventloop.Nanos) {
	c.connected = true
	switch {
	case c.exchange.request != nil:
		req := c.exchange.request
		if err := c.writeAttempt(now); err != nil {
			c.backend.dispatcher.FinishAttempt(now, req, policy.NotSent, "", policy.NoLoadReport)
		}
	case c.exchange.release != nil:
		c.writeRelease(now)
	default:
		c.socket.Close()
	}
}

// OutputFlushed implements eventloop.Handler.
func (c *conn) OutputFlushed(eventloop.Nanos) {
	c.exchange.written = true
	if c.exchange.inProgress() {
		c.advance(inflight.Sent)
	}
	if c.exchange.inProgress() && c.exchange.response.started {
		c.advance(inflight.Acknowledged)
	}
}

// Received implements eventloop.Handler.
func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.server.lastHeardAt = now
	if c.lingerTracker != nil { // a response confirms the end of the abandoned attempt
		c.confirmEnd(now)
		return
	}
	if !c.exchange.inProgress() {
		c.backend.Counts.ExtraBytes++
		c.close()
		return
	}
	if !c.exchange.response.started && c.exchange.written {
		c.advance(inflight.Acknowledged)
	}
	c.exchange.response.started = true
	if req := c.exchange.request; req != nil && req.IsStreaming() {
		c.backend.dispatcher.StreamBytesReceived(now, req)
	}
	c.input.Process(p, func(p []byte) int { return c.decodeResponse(now, p) })
	c.chargeInput(now)
}

// chargeInput charges the bytes that the server has sent, and that are still held, to the budget. If there is no room
// for them, the exchange ends.
func (c *conn) chargeInput(now eventloop.Nanos) {
	if c.removed {
		return
	}
	response := &c.exchange.response
	fields := cap(response.decoder.Head.Fields) * int(unsafe.Sizeof(h1.Field{}))
	held := int64(serverconn.ConnectionBytes + c.input.Cap() + cap(response.buffered) + fields)
	before := c.memory.Bytes()
	admitted := held <= before || c.backend.memory.Admits(memory.Responses, before, held-before)
	c.memory.Set(held)
	if !admitted && c.exchange.inProgress() {
		c.backend.Counts.ResponsesOutOfMemory++
		c.failInvalidResponse(now, errOutOfMemory)
	}
}

// PeerHalfClosed implements eventloop.Handler. The end of input completes a response without a length.
func (c *conn) PeerHalfClosed(now eventloop.Nanos) {
	if c.lingerTracker != nil {
		c.confirmEnd(now)
		return
	}
	response := &c.exchange.response
	event, err := response.decoder.EndOfInput()
	if err == nil && event == h1.MessageEnd && response.headReceived {
		c.finishExchange(now, connNotReusable)
		return
	}
	c.socket.Close()
}

// Closed implements eventloop.Handler.
func (c *conn) Closed(now eventloop.Nanos, err error) {
	if c.removed {
		return
	}
	if c.lingerTracker != nil {
		c.handleLingeringClosed(now)
		return
	}
	if !c.connected {
		c.backend.log.Debug("connect failed", "server_id", c.server.name, "error", err)
	}
	c.failExchange(now, connectionLost)
}
