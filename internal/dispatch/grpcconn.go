package dispatch

import (
	"encoding/base64"
	"net/netip"
	"strconv"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"docksail/internal/decide/keepalive"
	"docksail/internal/h2"
	"docksail/internal/loop"
	"docksail/internal/state/fleet"
	"docksail/policy"
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
	list    *fleet.List
	lister  listWatch
	keeper  keepalive.Keeper
	connect int64
	lim     h2.Limits
	dirty   []*serverConn
	facts   []keepalive.Conn
	scratch []byte
}

func (x *grpcExit) Start(loop.Nanos)     { x.lister.start() }
func (x *grpcExit) Watch(now loop.Nanos) { x.lister.watch(now) }
func (x *grpcExit) Close()               { x.lister.close() }

// Idle implements Exit: releases that wait for a connection are left to the engines' own time.
func (x *grpcExit) Idle() bool { return true }

func (x *grpcExit) IsPrefill(host policy.ServerID) (reads, known bool) {
	srv := x.servers[host]
	return srv != nil && srv.role == policy.Prefill, srv != nil
}

func (x *grpcExit) Flush() {
	for _, k := range x.dirty {
		k.dirty = false
		k.flush()
	}
	x.dirty = x.dirty[:0]
}

func (x *grpcExit) Release(now loop.Nanos, req *Request, at policy.ServerID, attempt policy.AttemptNumber) {
	if srv := x.servers[at]; srv != nil {
		on := req.grpcAttempt.last // the attempt's own keeps the order
		if on != nil && on.server != srv {
			on = nil
		}
		srv.release(now, on, req.ID, attempt)
	}
}

func (x *grpcExit) Send(now loop.Nanos, req *Request, attempt policy.AttemptNumber) Attempt {
	srv := x.servers[req.Server]
	k := srv.linkFor(now)
	if k != nil && k.ready && req.grpcAttempt.queuedBehind && !srv.trial.May(srv.onWire()) { // once is enough: its time is the client's
		k = nil
	}
	if k == nil {
		return nil
	}
	req.grpcAttempt.conn, req.grpcAttempt.last = k, nil
	k.streams++
	k.usedAt, k.sentAt = now, now
	if k.streams == 1 && k.ready && k.pingedAt <= k.heardAt {
		x.d.loop.At(&k.timer, x.keeper.Begin(now), k.onKeep)
	}
	if k.ready && srv.trial.May(srv.onWire()) {
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
func (s *grpcAttempt) wait(now loop.Nanos) {
	s.queuedBehind = true
	s.request.d.loop.At(&s.request.timer, min(s.request.SentAt+s.request.Timeout, now+s.conn.server.exit.keeper.Hold()), s.request.onTimer)
}

func (s *grpcAttempt) End(now loop.Nanos) bool {
	k, cut := s.conn, s.stream != nil
	if cut {
		s.stream.Ref = 0
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

func (s *grpcAttempt) Ended(now loop.Nanos) {
	if k := s.last; k != nil && len(k.queue) > 0 {
		k.server.sendQueued(now)
	}
}

func (s *grpcAttempt) Credit(n int) {
	if s.stream != nil {
		s.stream.Credit(n)
		s.conn.touch()
	}
}

// Reached implements Sent: on a connection that is asked for signs of life, what was written is taken to have come.
func (s *grpcAttempt) Reached() bool { return s.Stage() == OnWire }

// Stage implements Sent.
func (s *grpcAttempt) Stage() Stage {
	switch {
	case s.stream != nil:
		return OnWire
	case s.conn.ready:
		return Queued
	}
	return Connecting
}

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
	trial          keepalive.Probe
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
func (srv *grpcServer) sendQueued(now loop.Nanos) {
	for _, k := range srv.links {
		for k.ready && !k.gone && len(k.queue) > 0 && srv.trial.May(srv.onWire()) {
			id := k.queue[0]
			k.queue = k.queue[1:]
			req := k.d.requests.Find(id)
			if req == nil || req.grpcAttempt.conn != k || req.grpcAttempt.stream != nil {
				continue
			}
			attempt, out := req.Outstanding()
			switch {
			case !out:
			case k.http2.CanOpen() && now < req.WriteBefore:
				k.send(now, req, attempt)
			default:
				k.d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoad)
				k.d.dropIfDone(req)
			}
		}
	}
}

// linkFor gives the connection for an attempt; nil if there may be none.
func (srv *grpcServer) linkFor(now loop.Nanos) *serverConn {
	d := srv.d
	srv.exit.facts = srv.exit.facts[:0]
	for _, k := range srv.links {
		srv.exit.facts = append(srv.exit.facts, k.facts())
	}
	i, dial, none := keepalive.Pick(srv.exit.facts)
	switch {
	case none:
		return nil
	case !dial:
		return srv.links[i]
	}
	k := &serverConn{d: d, server: srv, heardAt: now, usedAt: now}
	k.onKeep = k.keep
	k.http2 = h2.NewClient(srv.exit.lim, k)
	lc, err := d.loop.Dial(srv.addr, srv.exit.connect, k)
	if err != nil {
		d.log.Warn("engine", "server", srv.id, "err", err)
		return nil
	}
	k.conn = lc
	lc.Bound(linkOutput)
	if len(srv.links) == 0 && (srv.lostConnection || srv.exit.lister.lost()) { // what was known of it may be over
		srv.trial.Lost()
	}
	srv.links = append(srv.links, k)
	return k
}

func (srv *grpcServer) readyLink() *serverConn {
	for _, k := range srv.links {
		if k.ready && !k.retired && k.http2.CanOpen() {
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
func (srv *grpcServer) release(now loop.Nanos, on *serverConn, id policy.RequestID, attempt policy.AttemptNumber) {
	srv.d.Counts.Releases++
	srv.releaseBy(now, on, id, attempt)
}

// releaseBy sends a release by a connection that is fit, or remembers it until there is one.
func (srv *grpcServer) releaseBy(now loop.Nanos, on *serverConn, id policy.RequestID, attempt policy.AttemptNumber) {
	if on == nil || on.gone || on.retired || !on.http2.CanOpen() { // the attempt's own keeps the order
		on = srv.readyLink()
	}
	if on != nil {
		on.sendRelease(id, attempt)
		return
	}
	if !keepalive.MayRelease(len(srv.releases)) || srv.linkFor(now) == nil {
		srv.d.Counts.ReleasesLost++
		return
	}
	srv.releases = append(srv.releases, pendingRelease{id, attempt})
}

// dropQueued ends attempts that wait for a connection: the server drains, and by the time the connection is made it
// may be too late to send them.
func (srv *grpcServer) dropQueued(now loop.Nanos) {
	for _, k := range srv.links {
		queue := k.queue
		k.queue = nil
		for _, id := range queue {
			if req := srv.d.requests.Find(id); req != nil && req.grpcAttempt.conn == k && req.grpcAttempt.stream == nil {
				srv.d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoad)
				srv.d.dropIfDone(req)
			}
		}
	}
}

// serverConn is one connection to an engine.
type serverConn struct {
	d        *Dispatcher
	server   *grpcServer
	conn     *loop.Conn
	http2    *h2.Conn
	ready    bool
	gone     bool
	spare    bool // it was closed because nothing needed it
	retired  bool // its engine has moved: no more attempts
	dirty    bool
	streams  int
	wired    int                // attempts that were sent, of those out
	queue    []policy.RequestID // attempts that wait for the connection, or for the engine's trial
	now      loop.Nanos
	heardAt  loop.Nanos
	pingedAt loop.Nanos
	pings    int
	usedAt   loop.Nanos
	sentAt   loop.Nanos
	timer    loop.Timer
	onKeep   func(loop.Nanos)
}

func (k *serverConn) facts() keepalive.Conn {
	return keepalive.Conn{Ready: k.ready && !k.retired && k.http2.CanOpen(), Connecting: !k.ready && !k.gone && !k.retired, Streams: k.streams, HeardAt: k.heardAt,
		PingedAt: k.pingedAt, Pings: k.pings, UsedAt: k.usedAt, SentAt: k.sentAt}
}

func (k *serverConn) touch() {
	if !k.dirty && !k.gone {
		k.dirty = true
		k.server.exit.dirty = append(k.server.exit.dirty, k)
	}
}

func (k *serverConn) flush() {
	if k.gone {
		return
	}
	if k.ready && k.http2.Waiting() {
		k.conn.Write(k.http2.Take())
	}
	if k.http2.Over() != nil {
		k.conn.CloseSoon()
	} else if k.conn.Queued() > busyOutput {
		k.http2.Congested(true)
	}
}

// keep has the connection judged.
func (k *serverConn) keep(now loop.Nanos) {
	if k.gone {
		return
	}
	verdict, again := k.server.exit.keeper.Check(now, k.facts())
	switch verdict {
	case keepalive.Ping:
		k.d.Counts.Pings++
		k.pingedAt = now
		k.pings++
		k.http2.Ping()
		k.touch()
	case keepalive.Dead:
		k.d.Counts.DeadConnections++
		k.d.log.Warn("engine does not answer a ping", "server", k.server.id, "attempts", k.streams)
		k.conn.Close()
		return
	case keepalive.Spare:
		k.spare = true
		k.conn.Close()
		return
	}
	k.d.loop.At(&k.timer, again, k.onKeep)
}

// ---- What the loop tells.

func (k *serverConn) Opened(now loop.Nanos) {
	k.now, k.ready, k.heardAt = now, true, now
	k.server.sendQueued(now)
	for _, id := range k.queue {
		if req := k.d.requests.Find(id); req != nil && req.grpcAttempt.conn == k && req.grpcAttempt.stream == nil {
			req.grpcAttempt.wait(now)
		}
	}
	for _, o := range k.server.releases {
		if k.http2.CanOpen() {
			k.sendRelease(o.request, o.attempt)
		}
	}
	k.server.releases = k.server.releases[:0]
	k.touch()
	k.d.loop.At(&k.timer, now+k.server.exit.keeper.Target, k.onKeep)
}

func (k *serverConn) Data(now loop.Nanos, p []byte) {
	k.now, k.heardAt = now, now
	k.http2.Feed(now, p)
	k.touch()
}

func (k *serverConn) PeerDone(loop.Nanos) { k.conn.Close() }

func (k *serverConn) Drained(now loop.Nanos) {
	k.now = now
	k.http2.Congested(false)
	k.flush()
}

func (k *serverConn) Closed(now loop.Nanos, err error) {
	k.now, k.gone = now, true
	d := k.d
	d.loop.Cancel(&k.timer)
	for i, other := range k.server.links {
		if other == k {
			k.server.links = append(k.server.links[:i], k.server.links[i+1:]...)
			break
		}
	}
	k.server.lostConnection = !k.spare && !k.retired
	if !k.ready {
		d.log.Info("engine not reached", "server", k.server.id, "err", err)
		d.Counts.ReleasesLost += uint64(len(k.server.releases)) // its process has ended, or lets go by its own time
		k.server.releases = k.server.releases[:0]
	}
	queue := k.queue
	k.queue = nil
	for _, id := range queue { // none of them was sent
		if req := d.requests.Find(id); req != nil && req.grpcAttempt.conn == k && req.grpcAttempt.stream == nil {
			d.attemptEnded(now, req, policy.Unreachable, false, policy.NoLoad)
			d.dropIfDone(req)
		}
	}
	k.ready = false
	k.http2.Lost()
}

// ---- What is sent.

// send opens the stream of an attempt.
func (k *serverConn) send(now loop.Nanos, req *Request, attempt policy.AttemptNumber) {
	d, x := k.d, k.server.exit
	path, timeout := pathWrite, int64(0)
	if req.Prefill {
		path, timeout = pathRead, max(req.Timeout-(now-req.SentAt), 1)
	}
	extra := [3]hpack.HeaderField{
		{Name: "docksail-job", Value: d.requestName(req.ID), Sensitive: true},
		{Name: "docksail-shot", Value: strconv.Itoa(int(attempt))}}
	n := 2
	if req.Trace != "" {
		extra[2] = hpack.HeaderField{Name: "traceparent", Value: req.Trace, Sensitive: true}
		n = 3
	}
	s := k.http2.OpenStream(path, k.server.name, timeout, extra[:n]...)
	b := x.scratch[:0]
	b = protowire.AppendTag(b, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, d.incarnation)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(req.ID))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(attempt))
	b = protowire.AppendTag(b, 4, protowire.BytesType)
	b = protowire.AppendBytes(b, req.Raw)
	if at, held := req.StateHeld(); held && !req.Prefill {
		if srv := k.server.exit.servers[at]; srv != nil {
			b = protowire.AppendTag(b, 5, protowire.BytesType)
			b = protowire.AppendString(b, srv.name)
		}
	}
	b = protowire.AppendTag(b, 6, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(max(req.Timeout-(now-req.SentAt), 1)))
	if req.Repeat > 0 {
		b = protowire.AppendTag(b, 7, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(req.Repeat))
	}
	x.scratch = b
	s.Ref = uint64(req.ID)
	s.Send(b, true)
	req.grpcAttempt.stream, req.grpcAttempt.onWire = s, true
	d.loop.At(&req.timer, max(req.SentAt+req.Timeout, now+1), req.onTimer)
	k.wired++
	k.touch()
}

// sendRelease releases what a server holds. If it is lost with its connection it is sent again by another, as long as
// the engine can be reached.
func (k *serverConn) sendRelease(id policy.RequestID, attempt policy.AttemptNumber) {
	s := k.http2.OpenStream(pathRelease, k.server.name, k.server.exit.keeper.Target)
	b := k.server.exit.scratch[:0]
	b = protowire.AppendTag(b, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, k.d.incarnation)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(id))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(attempt))
	k.server.exit.scratch = b
	s.Tag = pendingRelease{id, attempt}
	s.Send(b, true)
	k.touch()
}

// ---- What HTTP/2 tells.

// request of a stream, if the stream is still its attempt.
func (k *serverConn) job(s *h2.Stream) *Request {
	if s.Ref == 0 {
		return nil
	}
	if req := k.d.requests.Find(policy.RequestID(s.Ref)); req != nil && req.grpcAttempt.stream == s {
		return req
	}
	return nil
}

func (k *serverConn) Headers(*h2.Stream, *h2.Header) { k.pings = 0 }

func (k *serverConn) Message(s *h2.Stream, p []byte) bool {
	k.pings = 0
	req := k.job(s)
	if req == nil || req.Prefill {
		return false
	}
	if !req.Answered() && !req.Streaming() {
		k.server.trial.Heard()
		k.server.sendQueued(k.now)
	}
	return k.d.Tokens(k.now, req, p, len(p)+5)
}

func (k *serverConn) HalfClosed(*h2.Stream) {}

func (k *serverConn) Finished(s *h2.Stream, code codes.Code, _ string, trailer *h2.Header) {
	k.pings = 0
	req := k.job(s)
	if req == nil {
		return
	}
	s.Ref = 0
	req.grpcAttempt.stream = nil // it is over by itself
	_, held := req.StateHeld()
	outcome := policy.Failed
	switch {
	case code == codes.OK && req.Prefill:
		outcome = policy.Read
		k.server.trial.Heard()
	case code == codes.OK:
		outcome = policy.Served
	case req.Streaming():
		outcome = policy.Broken
	case code == codes.ResourceExhausted:
		outcome = policy.Rejected
	case code == codes.FailedPrecondition && held:
		outcome = policy.Stateless
	case code == codes.DeadlineExceeded:
		outcome = policy.Late
	}
	k.d.Finish(k.now, req, outcome, ": "+code.String(), k.server.exit.load(trailer))
	k.touch()
}

func (k *serverConn) Reset(s *h2.Stream, _ http2.ErrCode, refused bool) {
	if o, ok := s.Tag.(pendingRelease); ok && k.gone {
		s.Tag = nil
		k.server.releaseBy(k.now, nil, o.request, o.attempt)
		return
	}
	req := k.job(s)
	if req == nil {
		return
	}
	s.Ref = 0
	req.grpcAttempt.stream = nil
	outcome := policy.Broken
	if refused { // nothing was done for it
		outcome = policy.Rejected
	}
	k.d.Finish(k.now, req, outcome, "", policy.NoLoad)
}

func (k *serverConn) Room(*h2.Stream) {}

// GoingAway: the engine wants no more on this connection; what runs on it ends there.
func (k *serverConn) GoingAway() { k.touch() }

func (k *serverConn) Pong() {}

// load reads an ORCA report from a trailer; one that is too old counts as none.
func (x *grpcExit) load(trailer *h2.Header) policy.Load {
	text := trailer.Get("endpoint-load-metrics-bin")
	if text == "" {
		return policy.NoLoad
	}
	b, err := base64.RawStdEncoding.DecodeString(trimPadding(text))
	if err != nil {
		return policy.NoLoad
	}
	var r orca.OrcaLoadReport
	if proto.Unmarshal(b, &r) != nil {
		return policy.NoLoad
	}
	x.d.Counts.Reports++
	load := policy.NoLoad
	if r.MemUtilization > 0 {
		load.Memory = r.MemUtilization
	}
	if v, ok := r.NamedMetrics["requests"]; ok {
		load.Requests = v
	}
	if v, ok := r.NamedMetrics["unread_tokens"]; ok {
		load.Unread = v
	}
	if age, ok := r.NamedMetrics["age_ms"]; ok && !x.keeper.Fresh(int64(age*1e6)) {
		x.d.Counts.LateReports++
		return policy.NoLoad
	}
	return load
}

func trimPadding(s string) string {
	for len(s) > 0 && s[len(s)-1] == '=' {
		s = s[:len(s)-1]
	}
	return s
}
