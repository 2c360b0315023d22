package platform

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
)

// phase is how far the graceful shutdown has progressed. The phases follow each other in this order, at times that
// package clientconn decides.
type phase uint8

const (
	phaseServing        phase = iota
	phaseDraining             // responses tell clients to close; new connections are still accepted
	phaseListenerClosed       // requests on open connections are still served
	phaseRejecting            // requests are rejected, as the process may be killed before it has served them
)

// Drain implements dispatch.Frontend: responses tell clients to close, and the listener is closed once new clients are
// no longer expected. It must be called at most once.
func (s *Server) Drain() {
	s.phase = phaseDraining
	s.loop.SetTimer(&s.phaseTimer, clientconn.ListenerCloseTime(s.loop.Now()), s.closeListener)
}

// closeListener accepts the pending connections, closes the listener and ends idle connections.
func (s *Server) closeListener(now eventloop.Nanos) {
	s.listener.AcceptPendingAndClose()
	s.phase = phaseListenerClosed
	s.endIdleConns(now)
	s.loop.SetTimer(&s.phaseTimer, clientconn.RejectionStartTime(now), s.startRejecting)
	s.loop.SkipNextWait()
}

// endIdleConns ends the idle connections. One whose next request has already arrived gets a response first.
func (s *Server) endIdleConns(now eventloop.Nanos) {
	for n := s.idle.Len(); n > 0; n-- {
		c := s.idle.Min()
		c.now = now
		c.enterNextState()
	}
}

func (s *Server) startRejecting(eventloop.Nanos) { s.phase = phaseRejecting }

// IsIdle implements dispatch.Frontend. It reports whether no client is connected and no client can connect.
func (s *Server) IsIdle() bool { return s.phase >= phaseListenerClosed && s.connCount == 0 }
