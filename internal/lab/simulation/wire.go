package simulation

import (
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/eventloop"
	"docksail/internal/h2"
)

// wire is one connection of a stand-in: HTTP/2 on a simulated socket. What happens on it is told to on.
type wire struct {
	l    *eventloop.Loop
	lc   *eventloop.Conn
	h    *h2.Conn
	on   end
	open bool
	gone bool
}

// end is what a stand-in does about its streams.
type end interface {
	opened(w *wire)
	headers(w *wire, s *h2.Stream, h *h2.Header)
	message(w *wire, s *h2.Stream, p []byte)
	finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header)
	reset(s *h2.Stream)
	closed(w *wire)
}

func serveWire(l *eventloop.Loop, lc *eventloop.Conn, on end) *wire {
	w := &wire{l: l, lc: lc, on: on}
	w.h = h2.NewServerConn(h2.DefaultLimits, w)
	return w
}

func (w *wire) flush() {
	if w.gone || !w.open {
		return
	}
	if w.h.HasOutput() {
		w.lc.Write(w.h.TakeOutput())
	}
	if w.h.Err() != nil {
		w.lc.CloseAfterFlush()
	}
}

// What the loop tells.

func (w *wire) Opened(eventloop.Nanos) {
	w.open = true
	w.on.opened(w)
	w.flush()
}

func (w *wire) Received(now eventloop.Nanos, p []byte) {
	w.h.Feed(now, p)
	w.flush()
}

func (w *wire) PeerHalfClosed(eventloop.Nanos) { w.lc.Close() }
func (w *wire) OutputFlushed(eventloop.Nanos)  {}

func (w *wire) Closed(eventloop.Nanos, error) {
	w.gone = true
	w.h.TransportClosed()
	w.on.closed(w)
}

// What HTTP/2 tells.

func (w *wire) HeadersReceived(s *h2.Stream, h *h2.Header) { w.on.headers(w, s, h) }

func (w *wire) MessageReceived(s *h2.Stream, p []byte) bool {
	w.on.message(w, s, p)
	return false
}
func (w *wire) RequestEnded(*h2.Stream) {}
func (w *wire) StreamFinished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	w.on.finished(s, code, message, trailer)
}
func (w *wire) StreamReset(s *h2.Stream, _ http2.ErrCode, _ bool) { w.on.reset(s) }
func (w *wire) StreamFlushed(*h2.Stream)                          {}
func (w *wire) GoAwayReceived()                                   {}
func (w *wire) PingAcked()                                        {}
