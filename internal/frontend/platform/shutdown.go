package platform

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
)

// phase is how far the front has come in its shutdown. Each follows the one before; when, clientconn says.
type phase uint8

const (
	serving  phase = iota // as usual
	draining              // clients are told to go elsewhere by the answers that they get; new ones are still accepted
	closed                // the listener is closed; requests on open connections are still served
	refusing              // requests are refused: the process may be killed before it could answer them
)

// Drain implements dispatch.Frontend: it has clients told to go elsewhere, and closes the listener after the time in which
// new ones still come. It is called once.
func (s *Server) Drain() {
	s.phase = draining
	s.loop.SetTimer(&s.phaseEnds, clientconn.ListenerCloseTime(s.loop.Now()), s.closeListener)
}

// closeListener accepts whoever waits, then takes no new connections and ends those that rest.
func (s *Server) closeListener(now eventloop.Nanos) {
	s.listener.AcceptPendingAndClose()
	s.phase = closed
	s.endResting(now)
	s.loop.SetTimer(&s.phaseEnds, clientconn.RejectionStartTime(now), s.refuseRequests)
	s.loop.SkipNextWait()
}

// endResting ends the connections between requests. One whose next request has come already has an answer first.
func (s *Server) endResting(now eventloop.Nanos) {
	resting := s.heap(clientconn.StateIdle)
	for n := resting.Len(); n > 0; n-- {
		c := resting.Min()
		c.now = now
		c.answerDone()
	}
}

func (s *Server) refuseRequests(eventloop.Nanos) { s.phase = refusing }

// IsIdle implements dispatch.Frontend: nobody is connected any more, and nobody can connect.
func (s *Server) IsIdle() bool { return s.phase >= closed && s.conns == 0 }
