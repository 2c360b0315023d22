package grpc

import (
	"errors"

	"docksail/internal/decide/connlimit"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
)

// conn is one client's connection. It handles the events of its socket and of HTTP/2.
type conn struct {
	server         *Server
	transport      *eventloop.Conn
	http2          *h2.Conn
	now            eventloop.Nanos // time of the event that is being handled
	source         connlimit.Source
	flushScheduled bool
	receivedAny    bool
	firstByteTimer eventloop.Timer
}

// scheduleFlush makes the next Server.Flush queue the connection's output on its socket.
func (c *conn) scheduleFlush() {
	if !c.flushScheduled {
		c.flushScheduled = true
		c.server.unflushed = append(c.server.unflushed, c)
	}
}

// flush queues output on the socket. After an HTTP/2 error it closes the connection once the output is sent.
func (c *conn) flush() {
	if c.http2.HasOutput() {
		c.transport.Write(c.http2.TakeOutput())
	}
	if c.http2.Err() != nil {
		c.transport.CloseAfterFlush()
	} else if c.transport.QueuedBytes() > backpressureBytes {
		c.http2.SetOutputPaused(true)
	}
}

// Opened implements eventloop.Handler.
func (c *conn) Opened(now eventloop.Nanos) {
	c.server.loop.SetTimer(&c.firstByteTimer, now+firstByteTimeout, func(eventloop.Nanos) { c.transport.Close() })
	c.scheduleFlush()
}

// Received implements eventloop.Handler.
func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.now = now
	if !c.receivedAny {
		c.receivedAny = true
		c.server.loop.CancelTimer(&c.firstByteTimer)
	}
	_ = c.http2.Feed(now, p) // flush closes the connection after an error
	c.scheduleFlush()
}

// PeerHalfClosed implements eventloop.Handler. It closes the connection, as HTTP/2 needs both directions.
func (c *conn) PeerHalfClosed(eventloop.Nanos) { c.transport.Close() }

// OutputFlushed implements eventloop.Handler.
func (c *conn) OutputFlushed(now eventloop.Nanos) {
	c.now = now
	c.http2.SetOutputPaused(false)
	c.flush()
	if c.server.draining { // this may be the last output that the drain waits for
		c.server.loop.SkipNextWait()
	}
}

// Closed implements eventloop.Handler.
func (c *conn) Closed(now eventloop.Nanos, err error) {
	c.now = now
	if errors.Is(err, eventloop.ErrOutputLimit) {
		c.server.counts.OutputOverflows++
	}
	c.server.loop.CancelTimer(&c.firstByteTimer)
	c.http2.TransportClosed()
	delete(c.server.conns, c)
	c.server.connLimiter.Closed(c.source)
}
