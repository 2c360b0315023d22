// Package platform is the frontend for clients that speak the platform's protocol over HTTP/1.1: it checks a request,
// submits it to the dispatcher and writes the response. It reaches no server and decides nothing.
package platform

import (
	"net/netip"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h1"
	"docksail/internal/indexedheap"
)

const (
	maxHeadBytes   = 16 << 10
	maxBodyBytes   = 256 << 10
	maxOutputBytes = 1 << 20 // queued for one client; above it the connection is closed
	// backpressureBytes is the output queued for one client above which its server is held back.
	backpressureBytes = 128 << 10
	// maxPipelinedBytes is the input behind a request in flight above which reading stops.
	maxPipelinedBytes = 64 << 10
)

// Limits bound what clients may use.
type Limits struct {
	Connections         int
	PartialRequestBytes int64 // of the bodies of incomplete requests, over all connections
}

// Counts are the events counted since the start.
type Counts struct {
	Requests               uint64 // complete and valid
	InvalidRequests        uint64 // answered with an error of the client's, or not taken for want of memory
	DuplicateIDs           uint64 // requests with the id of one in flight
	ConnectionLimitHits    uint64 // new connections that met the limit
	ConnectionsRefused     uint64 // those for which no other connection was closed
	OutputOverflows        uint64 // connections closed because their client did not read
	StreamsTruncated       uint64 // responses that ended without their last chunk
	ResponsesByStatusClass [6]uint64
}

// Server accepts clients on an event loop, to which all of its state belongs.
type Server struct {
	Counts Counts

	loop       *eventloop.Loop
	dispatcher frontend.Dispatcher
	limits     Limits
	isReady    func() bool
	listener   *eventloop.Listener
	phase      phase
	phaseTimer eventloop.Timer

	connCount    int
	lastSequence uint64                  // of the last connection
	incomplete   indexedheap.Heap[*conn] // connections without a complete request yet, by stateSince
	idle         indexedheap.Heap[*conn] // connections between requests, by stateSince
	requestIDs   map[string]struct{}     // of the requests in flight
	request      frontend.Request        // the one that is being submitted
	partialBytes int64                   // of the bodies of incomplete requests
	bodyPool     [][]byte                // buffers for bodies
	scratch      []byte                  // for the response that is being written
}

// New returns a frontend that opens with Listen. isReady reports whether the dispatcher can take requests.
func New(loop *eventloop.Loop, dispatcher frontend.Dispatcher, limits Limits, isReady func() bool) *Server {
	return &Server{
		loop:       loop,
		dispatcher: dispatcher,
		limits:     limits,
		isReady:    isReady,
		incomplete: newConnHeap(),
		idle:       newConnHeap(),
		requestIDs: make(map[string]struct{}),
	}
}

// Listen opens the listener and returns its address.
func (s *Server) Listen(at netip.AddrPort, share bool) (netip.AddrPort, error) {
	listener, err := s.loop.Listen(at, share, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.listener = listener
	return listener.Addr(), nil
}

// PauseAccepting sets whether new connections wait in the system's queue instead of being accepted.
func (s *Server) PauseAccepting(paused bool) { s.listener.SetAcceptPaused(paused) }

// Flush implements dispatch.Frontend. Output is queued as it is written.
func (s *Server) Flush() {}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int { return s.connCount }

// accept returns the handler of a new connection; nil closes it.
func (s *Server) accept(transport *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
	if s.connCount >= s.limits.Connections && !s.evict() {
		s.Counts.ConnectionsRefused++
		return nil
	}
	s.connCount++
	s.lastSequence++
	limits := h1.Limits{HeadBytes: maxHeadBytes, BodyBytes: maxBodyBytes}
	c := &conn{server: s, transport: transport, sequence: s.lastSequence}
	c.incoming.decoder = h1.NewRequestDecoder(limits)
	c.lifecycle.onTimer = c.stateTimedOut
	transport.SetOutputLimit(maxOutputBytes)
	transport.NotifyHalfCloseWhilePaused()
	return c
}
