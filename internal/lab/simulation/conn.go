package simulation

import (
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/eventloop"
	"docksail/internal/h2"
)

// grpcConn is one end of a gRPC connection of a simulated server or client. It passes its events and those of its
// streams to its handler.
type grpcConn struct {
	loop      *eventloop.Loop
	transport *eventloop.Conn
	http2     *h2.Conn
	handler   connHandler
	isOpen    bool
	isClosed  bool
}

// connHandler handles the events of connections and their streams.
type connHandler interface {
	opened(c *grpcConn)
	headers(c *grpcConn, s *h2.Stream, h *h2.Header)
	message(c *grpcConn, s *h2.Stream, p []byte)
	finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header)
	reset(s *h2.Stream)
	closed(c *grpcConn)
}

// serveConn returns the server's end of an accepted connection.
func serveConn(loop *eventloop.Loop, transport *eventloop.Conn, handler connHandler) *grpcConn {
	c := &grpcConn{loop: loop, transport: transport, handler: handler}
	c.http2 = h2.NewServerConn(h2.DefaultLimits, c)
	return c
}

// flush writes pending output and closes the connection after a protocol error.
func (c *grpcConn) flush() {
	if c.isClosed || !c.isOpen {
		return
	}
	if c.http2.HasOutput() {
		c.transport.Write(c.http2.TakeOutput())
	}
	if c.http2.Err() != nil {
		c.transport.CloseAfterFlush()
	}
}

// Opened implements eventloop.Handler, as do the next four methods.
func (c *grpcConn) Opened(eventloop.Nanos) {
	c.isOpen = true
	c.handler.opened(c)
	c.flush()
}

// Received passes received bytes to HTTP/2.
func (c *grpcConn) Received(now eventloop.Nanos, p []byte) {
	_ = c.http2.Feed(now, p) // flush handles the error, which the connection stores
	c.flush()
}

// PeerHalfClosed closes the connection.
func (c *grpcConn) PeerHalfClosed(eventloop.Nanos) { c.transport.Close() }

// OutputFlushed does nothing: simulated peers do not limit their output.
func (c *grpcConn) OutputFlushed(eventloop.Nanos) {}

// Closed ends all streams and tells the handler.
func (c *grpcConn) Closed(eventloop.Nanos, error) {
	c.isClosed = true
	c.http2.TransportClosed()
	c.handler.closed(c)
}

// HeadersReceived implements h2.Handler, as do the methods below.
func (c *grpcConn) HeadersReceived(s *h2.Stream, h *h2.Header) { c.handler.headers(c, s, h) }

// MessageReceived passes a message to the handler.
func (c *grpcConn) MessageReceived(s *h2.Stream, p []byte) bool {
	c.handler.message(c, s, p)
	return false
}

// RequestEnded does nothing: requests consist of one message.
func (c *grpcConn) RequestEnded(*h2.Stream) {}

// StreamFinished passes the end of a stream to the handler.
func (c *grpcConn) StreamFinished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	c.handler.finished(s, code, message, trailer)
}

// StreamReset passes the reset of a stream to the handler.
func (c *grpcConn) StreamReset(s *h2.Stream, _ http2.ErrCode, _ bool) { c.handler.reset(s) }

// StreamFlushed does nothing.
func (c *grpcConn) StreamFlushed(*h2.Stream) {}

// GoAwayReceived does nothing: clients call CanOpenStream before they reuse a connection.
func (c *grpcConn) GoAwayReceived() {}

// PingAcked does nothing.
func (c *grpcConn) PingAcked() {}
