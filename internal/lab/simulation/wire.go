package simulation

import (
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/eventloop"
	"docksail/internal/h2"
)

// grpcConn is one connection of a stand-in: HTTP/2 on a simulated socket. What happens on it is told to on.
type grpcConn struct {
	loop      *eventloop.Loop
	transport *eventloop.Conn
	http2     *h2.Conn
	handler   connHandler
	isOpen    bool
	isClosed  bool
}

// connHandler is what a stand-in does about its streams.
type connHandler interface {
	opened(w *grpcConn)
	headers(w *grpcConn, s *h2.Stream, h *h2.Header)
	message(w *grpcConn, s *h2.Stream, p []byte)
	finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header)
	reset(s *h2.Stream)
	closed(w *grpcConn)
}

func serveConn(l *eventloop.Loop, lc *eventloop.Conn, on connHandler) *grpcConn {
	w := &grpcConn{loop: l, transport: lc, handler: on}
	w.http2 = h2.NewServerConn(h2.DefaultLimits, w)
	return w
}

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

// What the loop tells.

func (c *grpcConn) Opened(eventloop.Nanos) {
	c.isOpen = true
	c.handler.opened(c)
	c.flush()
}

func (c *grpcConn) Received(now eventloop.Nanos, p []byte) {
	c.http2.Feed(now, p)
	c.flush()
}

func (c *grpcConn) PeerHalfClosed(eventloop.Nanos) { c.transport.Close() }
func (c *grpcConn) OutputFlushed(eventloop.Nanos)  {}

func (c *grpcConn) Closed(eventloop.Nanos, error) {
	c.isClosed = true
	c.http2.TransportClosed()
	c.handler.closed(c)
}

// What HTTP/2 tells.

func (c *grpcConn) HeadersReceived(s *h2.Stream, h *h2.Header) { c.handler.headers(c, s, h) }

func (c *grpcConn) MessageReceived(s *h2.Stream, p []byte) bool {
	c.handler.message(c, s, p)
	return false
}
func (c *grpcConn) RequestEnded(*h2.Stream) {}
func (c *grpcConn) StreamFinished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	c.handler.finished(s, code, message, trailer)
}
func (c *grpcConn) StreamReset(s *h2.Stream, _ http2.ErrCode, _ bool) { c.handler.reset(s) }
func (c *grpcConn) StreamFlushed(*h2.Stream)                          {}
func (c *grpcConn) GoAwayReceived()                                   {}
func (c *grpcConn) PingAcked()                                        {}
