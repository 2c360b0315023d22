// Package grpc is the frontend for clients that speak gRPC: it decodes a call, submits it to the dispatcher and relays
// the response. It reaches no server and decides nothing.
package grpc

import (
	"net/netip"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"

	"docksail/internal/decide/connlimit"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h2"
)

const (
	// backpressureBytes is the output queued for a socket above which messages wait in their streams.
	backpressureBytes = 256 << 10
	// firstByteTimeout is how long a new connection may be silent.
	firstByteTimeout = int64(10 * time.Second)
)

// Limits bound what clients may use.
type Limits struct {
	HTTP2               h2.Limits // of one connection
	Connections         int
	OutputBytes         int // queued for one connection
	PartialMessageBytes int // of incomplete messages, over all connections
}

// Counts are the events counted since the start. The JSON names are those of the status file.
type Counts struct {
	Calls                  uint64 // submitted to the dispatcher
	InvalidCalls           uint64 `json:"Bad"`
	OutputOverflows        uint64 `json:"Overflows"` // connections closed because their client did not read
	Connections            connlimit.Counts
	PartialMessagesRefused uint64 `json:"PartialRefused"` // for want of memory for incomplete messages
}

// Server accepts clients on an event loop, to which all of its state belongs.
type Server struct {
	loop        *eventloop.Loop
	dispatcher  frontend.Dispatcher
	limits      Limits
	connLimiter *connlimit.Limiter
	budget      *h2.PartialMessageBudget
	listener    *eventloop.Listener
	draining    bool
	conns       map[*conn]struct{}
	unflushed   []*conn          // connections with output to be queued on their sockets
	request     frontend.Request // the one that is being submitted
	counts      Counts
}

// New returns a frontend that opens with Listen. It returns an error if the limit of connections is out of range.
func New(loop *eventloop.Loop, dispatcher frontend.Dispatcher, limits Limits) (*Server, error) {
	limiter, err := connlimit.New(limits.Connections)
	if err != nil {
		return nil, err
	}
	return &Server{
		loop:        loop,
		dispatcher:  dispatcher,
		limits:      limits,
		connLimiter: limiter,
		budget:      &h2.PartialMessageBudget{MaxBytes: int64(limits.PartialMessageBytes)},
		conns:       make(map[*conn]struct{}),
	}, nil
}

// Listen implements dispatch.Frontend.
func (s *Server) Listen(at netip.AddrPort, sharePort bool) (netip.AddrPort, error) {
	listener, err := s.loop.Listen(at, sharePort, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.listener = listener
	return listener.Addr(), nil
}

// Counts returns what was counted so far.
func (s *Server) Counts() Counts {
	counts := s.counts
	counts.Connections, counts.PartialMessagesRefused = s.connLimiter.Counts, s.budget.RejectedStreams
	return counts
}

// ConnCount implements dispatch.Frontend.
func (s *Server) ConnCount() int { return len(s.conns) }

// Drain implements dispatch.Frontend. It closes the listener, lets no new streams in on open connections and ends the
// calls of health and reflection, as a health watch would never end by itself.
func (s *Server) Drain() {
	s.draining = true
	s.listener.Close()
	for c := range s.conns {
		c.protocol.ForEachStream(endServiceCall)
		c.protocol.StartDrain()
		c.scheduleFlush()
	}
}

// endServiceCall ends a stream that is a call of health or reflection.
func endServiceCall(stream *h2.Stream) {
	call, ok := stream.UserData.(*serviceCall)
	if !ok {
		return
	}
	if call.path == pathHealthWatch {
		notServing := grpc_health_v1.HealthCheckResponse_NOT_SERVING
		sendMessage(stream, &grpc_health_v1.HealthCheckResponse{Status: notServing})
	}
	stream.EndWithStatus(codes.Unavailable, "dispatcher leaves")
}

// Flush implements dispatch.Frontend.
func (s *Server) Flush() {
	for _, c := range s.unflushed {
		c.flushScheduled = false
		c.flush()
	}
	s.unflushed = s.unflushed[:0]
}

// IsIdle implements dispatch.Frontend.
func (s *Server) IsIdle() bool {
	for c := range s.conns {
		if c.protocol.OpenStreamCount() > 0 || c.transport.QueuedBytes() > 0 {
			return false
		}
	}
	return true
}

// accept returns the handler of a new connection; nil closes it.
func (s *Server) accept(transport *eventloop.Conn, from netip.AddrPort) eventloop.Handler {
	source := connlimit.SourceOf(from.Addr().As16())
	if s.connLimiter.Accept(s.loop.Now(), source) != connlimit.Accepted {
		return nil
	}
	c := &conn{server: s, transport: transport, source: source}
	c.protocol = h2.NewServerConn(s.limits.HTTP2, c)
	c.protocol.SetPartialMessageBudget(s.budget)
	transport.SetOutputLimit(s.limits.OutputBytes)
	s.conns[c] = struct{}{}
	return c
}
