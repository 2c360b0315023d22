// Package platform is the frontend for clients that speak the platform's protocol over HTTP/1.1: it checks a request,
// submits it to the dispatcher and writes the response. It does not connect to servers and makes no routing decisions.
package platform

import (
	"context"
	"log/slog"
	"net/netip"

	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h1"
	"docksail/internal/indexedheap"
)

const (
	maxHeadBytes   = 16 << 10
	maxBodyBytes   = 256 << 10
	maxOutputBytes = 1 << 20 // queued output of one connection above which it is closed
)

// Limits bounds the resources that clients may use.
type Limits struct {
	Connections int
	Memory      *memory.Budget // for the bytes that connections hold; nil = not limited
}

// Counts counts events since the start.
type Counts struct {
	Requests                   uint64 // complete requests with a valid head and body, without DuplicateIDs
	InvalidRequests            uint64 // requests with an error of the client, and incomplete ones beyond Limits.Memory
	DuplicateIDs               uint64 // requests with the ID of one in flight
	ConnectionLimitHits        uint64 // new connections beyond Limits.Connections
	ConnectionsRefused         uint64 // new connections beyond the limit for which no other was closed
	LingeringConnectionsClosed uint64 // lingering connections that were closed for a new one
	OutputOverflows            uint64 // connections closed because the client did not read its output
	// IncompleteRequestsRefused counts the incomplete requests that were refused to make room for others.
	IncompleteRequestsRefused uint64
	PipelineOverflows         uint64 // times that a client pipelined more than is kept
	// PipelinedRequestsRefused counts the requests that were refused because of that. They are no InvalidRequests.
	PipelinedRequestsRefused uint64
	StreamsTruncated         uint64 // responses that ended without their last chunk
	ResponsesByStatusClass   [6]uint64
}

// Server accepts clients on an event loop. It must be used on the loop's goroutine only.
type Server struct {
	Counts Counts

	loop       *eventloop.Loop
	dispatcher frontend.Dispatcher
	limits     Limits
	isReady    func() bool
	listener   *eventloop.Listener
	phase      phase
	phaseTimer eventloop.Timer

	connCount      int
	lastSequence   uint64                  // conn.sequence of the connection accepted last
	incomplete     indexedheap.Heap[*conn] // connections without a complete request yet, by stateSince
	idle           indexedheap.Heap[*conn] // connections between requests, by stateSince
	lingering      indexedheap.Heap[*conn] // connections whose last response was written, by stateSince
	requestIDs     map[string]struct{}     // clients' IDs of the requests in flight
	request        frontend.Request        // the request that is being submitted
	requestLog     *slog.Logger            // nil = single requests are not logged
	holders        indexedheap.Heap[*conn] // connections that hold the body of an incomplete request, by stateSince
	bodyPool       [][]byte                // unused buffers for bodies
	bodyPoolMemory memory.Account
	scratch        []byte  // buffer for the response that is being written
	scheduled      []*conn // connections that decode pipelined input in the next iteration
	// nextScheduled is the memory of scheduled while its connections take their turns.
	nextScheduled []*conn
	turnTimer     eventloop.Timer
}

// New returns a frontend, which accepts clients from the call of Listen on. isReady reports whether the dispatcher can
// serve requests.
func New(loop *eventloop.Loop, dispatcher frontend.Dispatcher, limits Limits, isReady func() bool) *Server {
	return &Server{
		loop:       loop,
		dispatcher: dispatcher,
		limits:     limits,
		isReady:    isReady,
		incomplete: newConnHeap(),
		idle:       newConnHeap(),
		lingering:  newConnHeap(),
		requestIDs: make(map[string]struct{}),
		holders:    newHolderHeap(),

		bodyPoolMemory: limits.Memory.NewAccount(memory.PartialRequests),
	}
}

// Listen opens the listener and returns its address.
func (s *Server) Listen(addr netip.AddrPort, sharePort bool) (netip.AddrPort, error) {
	listener, err := s.loop.Listen(addr, sharePort, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.listener = listener
	return listener.Addr(), nil
}

// LogRequests makes the server log each request that it has read, if the logger's level is debug.
func (s *Server) LogRequests(log *slog.Logger) {
	if log.Enabled(context.Background(), slog.LevelDebug) {
		s.requestLog = log
	}
}

// logEvent logs what happened to a connection, or to the request on it, and why, if single requests are logged.
func (s *Server) logEvent(c *conn, event, reason string) {
	if s.requestLog != nil {
		s.requestLog.Debug(event, "conn", c.sequence, "request_id", string(c.incoming.head.id), "reason", reason)
	}
}

// PauseAccepting sets whether new connections wait in the kernel's accept queue instead of being accepted.
func (s *Server) PauseAccepting(paused bool) { s.listener.SetAcceptPaused(paused) }

// Flush implements dispatch.Frontend. It does nothing, as responses are queued on their sockets when they are written.
func (s *Server) Flush() {}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int { return s.connCount }

// newRequestDecoder returns a decoder for the requests of a connection.
func newRequestDecoder() h1.Decoder {
	return h1.NewRequestDecoder(h1.Limits{
		HeadBytes: maxHeadBytes, HeadFields: clientconn.MaxHeadFields, BodyBytes: maxBodyBytes,
	})
}

// scheduleTurn has a connection decode pipelined input in the next iteration of the loop.
func (s *Server) scheduleTurn(c *conn) {
	s.scheduled = append(s.scheduled, c)
	if !s.turnTimer.IsSet() {
		s.loop.SetTimer(&s.turnTimer, s.loop.Now()+1, s.takeTurns)
	}
}

// takeTurns gives each scheduled connection its turn. Connections that need another one get it in the next iteration.
func (s *Server) takeTurns(now eventloop.Nanos) {
	conns := s.scheduled
	s.scheduled = s.nextScheduled[:0]
	for _, c := range conns {
		c.takeTurn(now)
	}
	clear(conns)
	s.nextScheduled = conns
}

// accept returns the handler of a new connection, or nil to close it.
func (s *Server) accept(transport *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
	if s.connCount >= s.limits.Connections && !s.evict() {
		s.Counts.ConnectionsRefused++
		return nil
	}
	s.connCount++
	s.lastSequence++
	c := &conn{
		server: s, transport: transport, sequence: s.lastSequence,
		stateMemory: s.limits.Memory.NewAccount(memory.Connections),
		inputMemory: s.limits.Memory.NewAccount(memory.PartialRequests),
	}
	c.stateMemory.Set(memory.ConnectionBytes)
	c.incoming.decoder = newRequestDecoder()
	c.lifecycle.onTimer = c.stateTimedOut
	transport.SetOutputLimit(maxOutputBytes)
	transport.NotifyHalfCloseWhilePaused()
	return c
}
