// Package grpc is the frontend for gRPC clients: it decodes a call, submits the request to the dispatcher and relays
// the response. It does not connect to servers and makes no routing decisions.
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
	// backpressureBytes is the number of bytes queued for a socket above which messages wait in their streams.
	backpressureBytes = 256 << 10
	// firstByteTimeout is how long a new connection may send nothing, in nanoseconds.
	firstByteTimeout = int64(10 * time.Second)
)

// Limits bounds the resources that clients may use.
type Limits struct {
	HTTP2               h2.Limits // of one connection
	Connections         int
	OutputBytes         int // queued output of one connection
	PartialMessageBytes int // incomplete messages of all connections together
}

// Counts counts events since the start. Its JSON names are keys of the status file.
type Counts struct {
	Calls                  uint64 // calls submitted to the dispatcher
	InvalidCalls           uint64 `json:"Bad"`
	OutputOverflows        uint64 `json:"Overflows"` // connections closed because the client did not read its output
	Connections            connlimit.Counts
	PartialMessagesRefused uint64 `json:"PartialRefused"` // calls ended to stay within Limits.PartialMessageBytes
}

// Server accepts clients on an event loop. It must be used on the loop's goroutine only.
type Server struct {
	loop                 *eventloop.Loop
	dispatcher           frontend.Dispatcher
	limits               Limits
	connLimiter          *connlimit.Limiter
	partialMessageBudget *h2.PartialMessageBudget
	listener             *eventloop.Listener
	draining             bool
	conns                map[*conn]struct{}
	unflushed            []*conn          // connections with output to be queued on their sockets
	request              frontend.Request // the request that is being submitted
	counts               Counts
}

// New returns a frontend, which accepts clients from the call of Listen on. It returns an error if limits.Connections
// is out of range.
func New(loop *eventloop.Loop, dispatcher frontend.Dispatcher, limits Limits) (*Server, error) {
	limiter, err := connlimit.New(limits.Connections)
	if err != nil {
		return nil, err
	}
	return &Server{
		loop:                 loop,
		dispatcher:           dispatcher,
		limits:               limits,
		connLimiter:          limiter,
		partialMessageBudget: &h2.PartialMessageBudget{MaxBytes: int64(limits.PartialMessageBytes)},
		conns:                make(map[*conn]struct{}),
	}, nil
}

// Listen implements dispatch.Frontend.
func (s *Server) Listen(addr netip.AddrPort, sharePort bool) (netip.AddrPort, error) {
	listener, err := s.loop.Listen(addr, sharePort, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.listener = listener
	return listener.Addr(), nil
}

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	counts := s.counts
	counts.Connections, counts.PartialMessagesRefused = s.connLimiter.Counts, s.partialMessageBudget.RejectedStreams
	return counts
}

// ConnCount implements dispatch.Frontend.
func (s *Server) ConnCount() int { return len(s.conns) }

// Drain implements dispatch.Frontend. It closes the listener, accepts no new streams on open connections and ends the
// calls of the health and reflection services, as a health watch would never end by itself.
func (s *Server) Drain() {
	s.draining = true
	s.listener.Close()
	for c := range s.conns {
		c.http2.ForEachStream(endServiceCall)
		c.http2.StartDrain()
		c.scheduleFlush()
	}
}

// endServiceCall ends a stream if it is a call of the health or reflection service.
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
		if c.http2.OpenStreamCount() > 0 || c.transport.QueuedBytes() > 0 {
			return false
		}
	}
	return true
}

// accept returns the handler of a new connection, or nil to close it.
func (s *Server) accept(transport *eventloop.Conn, remoteAddr netip.AddrPort) eventloop.Handler {
	source := connlimit.SourceOf(remoteAddr.Addr().As16())
	if s.connLimiter.Accept(s.loop.Now(), source) != connlimit.Accepted {
		return nil
	}
	c := &conn{server: s, transport: transport, source: source}
	c.http2 = h2.NewServerConn(s.limits.HTTP2, c)
	c.http2.SetPartialMessageBudget(s.partialMessageBudget)
	transport.SetOutputLimit(s.limits.OutputBytes)
	s.conns[c] = struct{}{}
	return c
}
