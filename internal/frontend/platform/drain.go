package platform

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
)

// phase is how far the graceful shutdown has come. Phases follow each other in this order; clientconn decides when.
type phase uint8

const (
	phaseServing        phase = iota
	phaseDraining             // responses tell clients to close; new connections are still accepted
	phaseListenerClosed       // requests on open connections are still served
	phaseRejecting            // requests are rejected: the process may be killed before it could answer them
)

// Drain implements dispatch.Frontend: responses tell clients to close, and the listener is closed after the time in
// which new clients still arrive. It must be called at most once.
func (s *Server) Drain() {
	s.phase = phaseDraining
	s.loop.SetTimer(&s.phaseTimer, clientconn.ListenerCloseTime(s.loop.Now()), s.closeListener)
}

// closeListener accepts the connections that wait, closes the listener and ends idle connections.
func (s *Server) closeListener(now eventloop.Nanos) {
	s.listener.AcceptPendingAndClose()
	s.phase = phaseListenerClosed
	s.endIdleConns(now)
	s.loop.SetTimer(&s.phaseTimer, clientconn.RejectionStartTime(now), s.startRejecting)
	s.loop.SkipNextWait()
}

// endIdleConns ends the connections between requests. One whose next request has arrived already gets a response first.
func (s *Server) endIdleConns(now eventloop.Nanos) {
	for n := s.idle.Len(); n > 0; n-- {
		c := s.idle.Min()
		c.now = now
		c.enterNextState()
	}
}

func (s *Server) startRejecting(eventloop.Nanos) { s.phase = phaseRejecting }

// IsIdle implements dispatch.Frontend. It reports whether no client is connected and none can connect.
func (s *Server) IsIdle() bool { return s.phase >= phaseListenerClosed && s.connCount == 0 }
