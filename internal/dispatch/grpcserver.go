package dispatch

import (
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/policy"
	"net/netip"
)

// grpcServer is a server of the list and the connections to it.
type grpcServer struct {
	d              *Dispatcher
	exit           *grpcExit
	id             policy.ServerID
	addr           netip.AddrPort
	name           string // its address, as :authority has it
	role           policy.Role
	links          []*serverConn
	releases       []pendingRelease
	trial          keepalive.RestartThrottle
	lostConnection bool // its last connection ended, or could not be made
}

// onWire counts the attempts that were sent to it and are out.
func (srv *grpcServer) onWire() int {
	n := 0
	for _, k := range srv.links {
		n += k.wired
	}
	return n
}

// sendQueued sends attempts that wait, as far as the engine's trial lets them.
func (srv *grpcServer) sendQueued(now eventloop.Nanos) {
	for _, k := range srv.links {
		for k.ready && !k.gone && len(k.queue) > 0 && srv.trial.Allows(srv.onWire()) {
			id := k.queue[0]
			k.queue = k.queue[1:]
			req := k.d.requests.Find(id)
			if req == nil || req.grpcAttempt.conn != k || req.grpcAttempt.stream != nil {
				continue
			}
			attempt, out := req.OutstandingAttempt()
			switch {
			case !out:
			case k.http2.CanOpenStream() && now < req.StartDeadline:
				k.send(now, req, attempt)
			default:
				k.d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoadReport)
				k.d.dropIfDone(req)
			}
		}
	}
}

// linkFor gives the connection for an attempt; nil if there may be none.
func (srv *grpcServer) linkFor(now eventloop.Nanos) *serverConn {
	d := srv.d
	srv.exit.facts = srv.exit.facts[:0]
	for _, k := range srv.links {
		srv.exit.facts = append(srv.exit.facts, k.facts())
	}
	choice, index := keepalive.SelectConn(srv.exit.facts)
	switch choice {
	case keepalive.NoConn:
		return nil
	case keepalive.UseConn:
		return srv.links[index]
	case keepalive.DialConn: // below
	}
	k := &serverConn{d: d, server: srv, heardAt: now, usedAt: now}
	k.onKeep = k.keep
	k.http2 = h2.NewClientConn(srv.exit.lim, k)
	lc, err := d.loop.Dial(srv.addr, srv.exit.connect, k)
	if err != nil {
		d.log.Warn("engine", "server", srv.id, "err", err)
		return nil
	}
	k.conn = lc
	lc.SetOutputLimit(linkOutput)
	if len(srv.links) == 0 && (srv.lostConnection || srv.exit.lister.lost()) { // what was known of it may be over
		srv.trial.ConnLost()
	}
	srv.links = append(srv.links, k)
	return k
}

func (srv *grpcServer) readyLink() *serverConn {
	for _, k := range srv.links {
		if k.ready && !k.retired && k.http2.CanOpenStream() {
			return k
		}
	}
	return nil
}

// pendingRelease is something to be released that found no connection.
type pendingRelease struct {
	request policy.RequestID
	attempt policy.AttemptNumber
}

// release has what an attempt left at the engine released: now, or as soon as there is a connection.
func (srv *grpcServer) release(now eventloop.Nanos, on *serverConn, id policy.RequestID, attempt policy.AttemptNumber) {
	srv.d.Counts.Releases++
	srv.releaseBy(now, on, id, attempt)
}

// releaseBy sends a release by a connection that is fit, or remembers it until there is one.
func (srv *grpcServer) releaseBy(now eventloop.Nanos, on *serverConn, id policy.RequestID, attempt policy.AttemptNumber) {
	if on == nil || on.gone || on.retired || !on.http2.CanOpenStream() { // the attempt's own keeps the order
		on = srv.readyLink()
	}
	if on != nil {
		on.sendRelease(id, attempt)
		return
	}
	if !keepalive.MayQueueRelease(len(srv.releases)) || srv.linkFor(now) == nil {
		srv.d.Counts.ReleasesLost++
		srv.d.log.Warn("release lost", "request", srv.d.requestName(id), "server", srv.id, "why", "no connection")
		return
	}
	srv.releases = append(srv.releases, pendingRelease{id, attempt})
}

// dropQueued ends attempts that wait for a connection: the server drains, and by the time the connection is made it
// may be too late to send them.
func (srv *grpcServer) dropQueued(now eventloop.Nanos) {
	for _, k := range srv.links {
		queue := k.queue
		k.queue = nil
		for _, id := range queue {
			if req := srv.d.requests.Find(id); req != nil && req.grpcAttempt.conn == k && req.grpcAttempt.stream == nil {
				srv.d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoadReport)
				srv.d.dropIfDone(req)
			}
		}
	}
}
