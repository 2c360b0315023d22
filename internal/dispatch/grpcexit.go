package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/policy"

	"golang.org/x/net/http2"
)

const (
	pathRead    = "/docksail.v1.Engine/Read"
	pathWrite   = "/docksail.v1.Engine/Write"
	pathRelease = "/docksail.v1.Engine/Release"
	pathWatch   = "/docksail.v1.Fleet/Watch"

	busyOutput = 256 << 10 // bytes queued for a socket from which on messages wait in their streams
	linkOutput = 32 << 20  // at which a connection to an engine that takes nothing is given up
)

// grpcExit is the way out to engines that speak gRPC.
type grpcExit struct {
	d       *Dispatcher
	servers map[policy.ServerID]*grpcServer
	list    *endpointlist.List
	lister  listWatch
	keeper  keepalive.Policy
	connect int64
	lim     h2.Limits
	dirty   []*serverConn
	facts   []keepalive.ConnStatus
	scratch []byte
}

func (x *grpcExit) Start(eventloop.Nanos)              { x.lister.start() }
func (x *grpcExit) WatchEndpoints(now eventloop.Nanos) { x.lister.watch(now) }
func (x *grpcExit) Close()                             { x.lister.close() }

// IsIdle implements Exit: releases that wait for a connection are left to the engines' own time.
func (x *grpcExit) IsIdle() bool { return true }

func (x *grpcExit) IsPrefill(server policy.ServerID) (reads, known bool) {
	srv := x.servers[server]
	return srv != nil && srv.role == policy.Prefill, srv != nil
}

func (x *grpcExit) Flush() {
	for _, k := range x.dirty {
		k.dirty = false
		k.flush()
	}
	x.dirty = x.dirty[:0]
}

func (x *grpcExit) Release(now eventloop.Nanos, req *Request, at policy.ServerID, attempt policy.AttemptNumber, _ eventloop.Nanos) {
	if srv := x.servers[at]; srv != nil {
		on := req.grpcAttempt.last // the attempt's own keeps the order
		if on != nil && on.server != srv {
			on = nil
		}
		srv.release(now, on, req.ID, attempt)
	}
}

func (x *grpcExit) StartAttempt(now eventloop.Nanos, req *Request, attempt policy.AttemptNumber) Attempt {
	srv := x.servers[req.Server]
	k := srv.linkFor(now)
	if k != nil && k.ready && req.grpcAttempt.queuedBehind && !srv.trial.Allows(srv.onWire()) { // once is enough: its time is the client's
		k = nil
	}
	if k == nil {
		return nil
	}
	req.grpcAttempt.conn, req.grpcAttempt.last = k, nil
	k.streams++
	k.usedAt, k.sentAt = now, now
	if k.streams == 1 && k.ready && k.pingedAt <= k.heardAt {
		x.d.loop.SetTimer(&k.timer, x.keeper.FirstCheck(now), k.onKeep)
	}
	if k.ready && srv.trial.Allows(srv.onWire()) {
		k.send(now, req, attempt)
		return &req.grpcAttempt
	}
	k.queue = append(k.queue, req.ID)
	if k.ready {
		req.grpcAttempt.wait(now)
	}
	return &req.grpcAttempt
}

// grpcAttempt is an attempt that is out to an engine.
type grpcAttempt struct {
	request      *Request
	conn         *serverConn // nil: none is out
	last         *serverConn // where the last one was
	stream       *h2.Stream  // nil while its connection is under way
	onWire       bool        // it was sent
	queuedBehind bool        // one of the request's attempts has waited for an engine's trial
}

// wait has an attempt wait for its engine's trial: not for long, as what it is to fetch is held meanwhile.
func (s *grpcAttempt) wait(now eventloop.Nanos) {
	s.queuedBehind = true
	s.request.d.loop.SetTimer(&s.request.timer, min(s.request.SentAt+s.request.AttemptTimeout, now+s.conn.server.exit.keeper.MaxHoldTime()), s.request.onTimer)
}

func (s *grpcAttempt) Finish(now eventloop.Nanos) bool {
	k, cut := s.conn, s.stream != nil
	if cut {
		s.stream.UserID = 0
		s.stream.Reset(http2.ErrCodeCancel)
	}
	k.streams--
	if s.onWire {
		k.wired--
	}
	k.usedAt = now
	k.touch()
	s.conn, s.last, s.stream, s.onWire = nil, k, nil, false
	return cut
}

func (s *grpcAttempt) AfterFinish(now eventloop.Nanos) {
	if k := s.last; k != nil && len(k.queue) > 0 {
		k.server.sendQueued(now)
	}
}

func (s *grpcAttempt) CreditWindow(n int) {
	if s.stream != nil {
		s.stream.CreditWindow(n)
		s.conn.touch()
	}
}

// DeliveryState implements Attempt. On a connection that is asked for signs of life, what was written is taken to have come: a server that is cut
// off is noticed, and frees what it holds by its own time.
func (s *grpcAttempt) DeliveryState() inflight.DeliveryState {
	switch {
	case s.stream != nil:
		return inflight.Acknowledged
	case s.conn.ready:
		return inflight.Planned
	}
	return inflight.Connecting
}

// ServerResponsive implements Attempt: connections are asked for signs of life.
func (s *grpcAttempt) ServerResponsive() bool { return s.conn != nil && s.conn.ready }
