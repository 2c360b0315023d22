package simulation

import (
	"docksail/internal/eventloop"
	"docksail/internal/h2"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
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
	w.h = h2.NewServer(h2.Usual, w)
	return w
}

func (w *wire) flush() {
	if w.gone || !w.open {
		return
	}
	if w.h.Waiting() {
		w.lc.Write(w.h.Take())
	}
	if w.h.Over() != nil {
		w.lc.CloseSoon()
	}
}

// What the loop tells.

func (w *wire) Opened(eventloop.Nanos) {
	w.open = true
	w.on.opened(w)
	w.flush()
}

func (w *wire) Data(now eventloop.Nanos, p []byte) {
	w.h.Feed(now, p)
	w.flush()
}

func (w *wire) PeerDone(eventloop.Nanos) { w.lc.Close() }
func (w *wire) Drained(eventloop.Nanos)  {}

func (w *wire) Closed(eventloop.Nanos, error) {
	w.gone = true
	w.h.Lost()
	w.on.closed(w)
}

// What HTTP/2 tells.

func (w *wire) Headers(s *h2.Stream, h *h2.Header) { w.on.headers(w, s, h) }

func (w *wire) Message(s *h2.Stream, p []byte) bool {
	w.on.message(w, s, p)
	return false
}
func (w *wire) HalfClosed(*h2.Stream) {}
func (w *wire) Finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	w.on.finished(s, code, message, trailer)
}
func (w *wire) Reset(s *h2.Stream, _ http2.ErrCode, _ bool) { w.on.reset(s) }
func (w *wire) Room(*h2.Stream)                             {}
func (w *wire) GoingAway()                                  {}
func (w *wire) Pong()                                       {}
