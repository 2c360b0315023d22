// Package grpc is the front for clients that speak gRPC: it decodes a call, asks the core and gives the answer
// in gRPC's words. It reaches no engine and decides nothing.
package grpc

import (
	"encoding/base64"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"docksail/internal/decide/connlimit"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h2"
	"docksail/policy"
)

const (
	busyOutput  = 256 << 10 // bytes queued for a socket from which on messages wait in their streams
	greetWithin = int64(10 * time.Second)
	generate    = "/docksail.v1.Generation/Generate"
)

// Server accepts clients on a loop.
type Server struct {
	l          *eventloop.Loop
	dispatcher frontend.Dispatcher
	lim        h2.Limits
	crowd      *connlimit.Limiter
	budget     *h2.PartialMessageBudget
	output     int // bytes queued for one
	conns      map[*conn]struct{}
	dirty      []*conn
	ln         *eventloop.Listener
	leaving    bool
	req        frontend.Request
	counts     Counts
}

// Counts are what the front counted since its start.
type Counts struct {
	Calls                  uint64
	InvalidCalls           uint64 `json:"Bad"`
	OutputOverflows        uint64 `json:"Overflows"`
	Connections            connlimit.Counts
	PartialMessagesRefused uint64 `json:"PartialRefused"` // messages refused because too many bytes had come in part
}

// New makes a front; it opens with Listen. partial bounds the bytes of messages that have come in part, over all
// connections.
func New(l *eventloop.Loop, core frontend.Dispatcher, lim h2.Limits, connections, output, partial int) (*Server, error) {
	c, err := connlimit.New(connections)
	if err != nil {
		return nil, err
	}
	return &Server{
		l: l, dispatcher: core, lim: lim, crowd: c, budget: &h2.PartialMessageBudget{MaxBytes: int64(partial)}, output: output,
		conns: make(map[*conn]struct{}),
	}, nil
}

// Listen opens the listener.
func (s *Server) Listen(at netip.AddrPort, share bool) (netip.AddrPort, error) {
	ln, err := s.l.Listen(at, share, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.ln = ln
	return ln.Addr(), nil
}

// Counts gives what was counted.
func (s *Server) Counts() Counts {
	c := s.counts
	c.Connections, c.PartialMessagesRefused = s.crowd.Counts, s.budget.RejectedStreams
	return c
}

// ConnCount counts open connections.
func (s *Server) ConnCount() int { return len(s.conns) }

// Drain closes the listener: no new connections, no new streams on those there are.
func (s *Server) Drain() {
	s.leaving = true
	s.ln.Close()
	for c := range s.conns {
		c.h.ForEachStream(func(st *h2.Stream) {
			if a, ok := st.UserData.(*aside); ok { // what only watches must not keep us
				if a.path == healthWatch {
					send(st, &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_NOT_SERVING})
				}
				st.EndWithStatus(codes.Unavailable, "dispatcher leaves")
			}
		})
		c.h.StartDrain()
		c.touch()
	}
}

// Flush queues on the sockets what has come together in this turn.
func (s *Server) Flush() {
	for _, c := range s.dirty {
		c.dirty = false
		c.flush()
	}
	s.dirty = s.dirty[:0]
}

// IsIdle tells that no connection has output waiting.
func (s *Server) IsIdle() bool {
	for c := range s.conns {
		if c.h.OpenStreamCount() > 0 || c.lc.QueuedBytes() > 0 {
			return false
		}
	}
	return true
}

func (s *Server) accept(lc *eventloop.Conn, from netip.AddrPort) eventloop.Handler {
	source := connlimit.SourceOf(from.Addr().As16())
	if s.crowd.Accept(s.l.Now(), source) != connlimit.Accepted {
		return nil
	}
	c := &conn{s: s, lc: lc, from: source}
	c.h = h2.NewServerConn(s.lim, c)
	c.h.SetPartialMessageBudget(s.budget)
	lc.SetOutputLimit(s.output)
	s.conns[c] = struct{}{}
	return c
}

// conn is one client's connection.
type conn struct {
	s     *Server
	lc    *eventloop.Conn
	h     *h2.Conn
	now   eventloop.Nanos
	dirty bool
	heard bool
	from  connlimit.Source
	greet eventloop.Timer
}

func (c *conn) touch() {
	if !c.dirty {
		c.dirty = true
		c.s.dirty = append(c.s.dirty, c)
	}
}

func (c *conn) Opened(now eventloop.Nanos) {
	c.s.l.SetTimer(&c.greet, now+greetWithin, func(eventloop.Nanos) { c.lc.Close() })
	c.touch()
}

func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.now = now
	if !c.heard {
		c.heard = true
		c.s.l.CancelTimer(&c.greet)
	}
	c.h.Feed(now, p)
	c.touch()
}

func (c *conn) PeerHalfClosed(eventloop.Nanos) { c.lc.Close() } // HTTP/2 has no use for half a connection

func (c *conn) OutputFlushed(now eventloop.Nanos) {
	c.now = now
	c.h.SetOutputPaused(false)
	c.flush()
	if c.s.leaving { // this may have been the last that we waited for
		c.s.l.SkipNextWait()
	}
}

func (c *conn) Closed(now eventloop.Nanos, err error) {
	c.now = now
	if errors.Is(err, eventloop.ErrOutputLimit) {
		c.s.counts.OutputOverflows++
	}
	c.s.l.CancelTimer(&c.greet)
	c.h.TransportClosed()
	delete(c.s.conns, c)
	c.s.crowd.Closed(c.from)
}

func (c *conn) flush() {
	if c.h.HasOutput() {
		c.lc.Write(c.h.TakeOutput())
	}
	if c.h.Err() != nil {
		c.lc.CloseAfterFlush()
	} else if c.lc.QueuedBytes() > busyOutput {
		c.h.SetOutputPaused(true)
	}
}

// ---- What HTTP/2 tells.

func (c *conn) HeadersReceived(s *h2.Stream, h *h2.Header) {
	path := h.Get(":path")
	if path != generate {
		c.aside(s, path)
		return
	}
	call := &waiting{}
	if v := h.Get("grpc-timeout"); v != "" {
		t, err := h2.ParseTimeout(v)
		if err != nil {
			c.bad(s, err)
			return
		}
		if call.timeout = t; t == 0 {
			s.EndWithStatus(codes.DeadlineExceeded, "the call's time is up")
			return
		}
	}
	if v := h.Get("grpc-encoding"); v != "" && v != "identity" {
		s.EndWithStatus(codes.Unimplemented, "grpc-encoding "+v+": this server takes none but identity")
		return
	}
	if v := h.Get("grpc-previous-rpc-attempts"); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			c.bad(s, errors.New("grpc-previous-rpc-attempts "+strconv.Quote(v)+": want a number"))
			return
		}
		call.repeat = int64(n)
	}
	if v := h.Get(ticketHeader); v != "" {
		if t, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(v, "=")); err == nil {
			call.ticket = t
		}
	}
	call.background = h.Get(backgroundHeader) != ""
	call.trace = h.Get("traceparent")
	call.came = c.now
	s.UserData = call
}

// waiting is a call whose message has not come yet.
type waiting struct {
	call            responseWriter
	timeout, repeat int64
	came            eventloop.Nanos
	trace           string
	ticket          []byte
	background      bool
}

func (c *conn) bad(s *h2.Stream, err error) {
	c.s.counts.InvalidCalls++
	s.EndWithStatus(codes.InvalidArgument, err.Error())
}

func (c *conn) MessageReceived(s *h2.Stream, p []byte) bool {
	switch tag := s.UserData.(type) {
	case *aside:
		tag.message(c, s, p)
	case *waiting:
		r := &c.s.req
		if err := decode(r, p); err != nil {
			c.bad(s, err)
			return false
		}
		r.CallTimeout, r.PreviousAttempts, r.TraceParent, r.Ticket, r.Background, r.Source = tag.timeout, tag.repeat, tag.trace, tag.ticket, tag.background, c.from
		if r.CallTimeout > 0 {
			r.CallTimeout = max(1, r.CallTimeout-(c.now-tag.came))
		}
		s.UserData = nil
		c.s.counts.Calls++
		tag.call = responseWriter{c, s}
		id, err := c.s.dispatcher.Submit(c.now, &tag.call, r)
		var no frontend.RejectionError
		switch {
		case err == nil:
			s.UserID = uint64(id)
		case errors.As(err, &no):
			tag.call.Reject(0, no)
		default:
			c.bad(s, err)
		}
	default:
		if s.UserID != 0 {
			id := policy.RequestID(s.UserID)
			c.bad(s, errors.New("a second message: Generate takes one"))
			c.s.dispatcher.ClientDisconnected(c.now, id)
		}
	}
	return false
}

func (c *conn) StreamFinished(*h2.Stream, codes.Code, string, *h2.Header) {}

func (c *conn) StreamReset(s *h2.Stream, _ http2.ErrCode, _ bool) {
	if id := policy.RequestID(s.UserID); id != 0 {
		s.UserID = 0
		c.s.dispatcher.ClientDisconnected(c.now, id)
	}
}

func (c *conn) StreamFlushed(s *h2.Stream) {
	if s.UserID != 0 {
		c.s.dispatcher.ClientWritable(c.now, policy.RequestID(s.UserID))
	}
}

func (c *conn) GoAwayReceived() {}
func (c *conn) PingAcked()      {}

// responseWriter is the client's end of a request.
type responseWriter struct {
	c *conn
	s *h2.Stream
}

// WriteTokens relays one message. True says that it waits for the client: the engine is to be held back until the
// core's Room.
func (a *responseWriter) WriteTokens(id policy.RequestID, p []byte) (waits bool) {
	if !a.s.HeadersSent() {
		a.s.SendHeaders(hpack.HeaderField{Name: "docksail-job", Value: a.c.s.dispatcher.RequestName(id)})
	}
	a.s.SendMessage(p, false)
	a.c.touch()
	return a.s.PendingBytes() > 0
}

// Complete ends the call with OK.
func (a *responseWriter) Complete(id policy.RequestID) { a.end(id, codes.OK, "") }

// Fail ends the call with ABORTED: nothing is promised.
func (a *responseWriter) Fail(id policy.RequestID, why string) {
	a.end(id, codes.Aborted, "abandoned: "+why, hpack.HeaderField{Name: "grpc-retry-pushback-ms", Value: "-1"})
}

// Reject ends the call with UNAVAILABLE, or RESOURCE_EXHAUSTED where a limit of the caller's own was met: trying again
// is harmless, best after so many nanoseconds.
func (a *responseWriter) Reject(id policy.RequestID, no frontend.RejectionError) {
	ms := (no.RetryAfter + 1e6 - 1) / 1e6
	why, code := "nacked: "+no.Reason, codes.Unavailable
	if no.TenantLimitExceeded {
		code = codes.ResourceExhausted
	}
	extra := []hpack.HeaderField{
		{Name: "grpc-retry-pushback-ms", Value: strconv.FormatInt(ms, 10)},
		{Name: "grpc-status-details-bin", Value: details(code, why, no.RetryAfter)},
	}
	if no.Ticket != nil {
		extra = append(extra, hpack.HeaderField{Name: ticketHeader, Value: base64.RawStdEncoding.EncodeToString(no.Ticket)})
	}
	a.end(id, code, why, extra...)
}

const (
	ticketHeader     = "docksail-ticket-bin"
	backgroundHeader = "docksail-background" // any value: the request fills what is idle and yields to all others
)

func (a *responseWriter) end(id policy.RequestID, code codes.Code, why string, extra ...hpack.HeaderField) {
	if id != 0 && !a.s.HeadersSent() {
		extra = append(extra, hpack.HeaderField{Name: "docksail-job", Value: a.c.s.dispatcher.RequestName(id)})
	}
	a.s.EndWithStatus(code, why, extra...)
	a.c.touch()
}

// details encodes a google.rpc.Status with RetryInfo as grpc-status-details-bin has it.
func details(code codes.Code, why string, after eventloop.Nanos) string {
	info, err := anypb.New(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(after))})
	if err != nil {
		return ""
	}
	b, err := proto.Marshal(&status.Status{Code: int32(code), Message: why, Details: []*anypb.Any{info}})
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(b)
}
