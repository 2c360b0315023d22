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

// Drain implements dispatch.Entry: it has clients told to go elsewhere, and closes the listener after the time in which
// new ones still come. It is called once.
func (s *Server) Drain() {
	s.phase = draining
	s.loop.At(&s.phaseEnds, clientconn.CloseListenerAfter(s.loop.Now()), s.closeListener)
}

// closeListener accepts whoever waits, then takes no new connections and ends those that rest.
func (s *Server) closeListener(now eventloop.Nanos) {
	s.listener.Finish()
	s.phase = closed
	s.endResting(now)
	s.loop.At(&s.phaseEnds, clientconn.RefuseAfter(now), s.refuseRequests)
	s.loop.Again()
}

// endResting ends the connections between requests. One whose next request has come already has an answer first.
func (s *Server) endResting(now eventloop.Nanos) {
	resting := s.heap(clientconn.Resting)
	for n := resting.Len(); n > 0; n-- {
		c := resting.Min()
		c.now = now
		c.answerDone()
	}
}

func (s *Server) refuseRequests(eventloop.Nanos) { s.phase = refusing }

// Idle implements dispatch.Entry: nobody is connected any more, and nobody can connect.
func (s *Server) Idle() bool { return s.phase >= closed && s.conns == 0 }
