package dispatch

import (
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/policy"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/encoding/protowire"
)

// serverConn is one connection to an engine.
type serverConn struct {
	d        *Dispatcher
	server   *grpcServer
	conn     *eventloop.Conn
	http2    *h2.Conn
	ready    bool
	gone     bool
	spare    bool // it was closed because nothing needed it
	retired  bool // its engine has moved: no more attempts
	dirty    bool
	streams  int
	wired    int                // attempts that were sent, of those out
	queue    []policy.RequestID // attempts that wait for the connection, or for the engine's trial
	now      eventloop.Nanos
	heardAt  eventloop.Nanos
	pingedAt eventloop.Nanos
	pings    int
	usedAt   eventloop.Nanos
	sentAt   eventloop.Nanos
	timer    eventloop.Timer
	onKeep   func(eventloop.Nanos)
}

func (k *serverConn) facts() keepalive.ConnStatus {
	return keepalive.ConnStatus{
		Ready: k.ready && !k.retired && k.http2.CanOpenStream(), Connecting: !k.ready && !k.gone && !k.retired, StreamCount: k.streams, LastReceivedAt: k.heardAt,
		LastPingAt: k.pingedAt, PingsWithoutData: k.pings, LastUsedAt: k.usedAt, LastSentAt: k.sentAt,
	}
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
	if k.ready && k.http2.HasOutput() {
		k.conn.Write(k.http2.TakeOutput())
	}
	if k.http2.Err() != nil {
		k.conn.CloseAfterFlush()
	} else if k.conn.QueuedBytes() > busyOutput {
		k.http2.SetOutputPaused(true)
	}
}

// keep has the connection judged.
func (k *serverConn) keep(now eventloop.Nanos) {
	if k.gone {
		return
	}
	verdict, again := k.server.exit.keeper.Check(now, k.facts())
	switch verdict {
	case keepalive.SendPing:
		k.d.Counts.Pings++
		k.pingedAt = now
		k.pings++
		k.http2.Ping()
		k.touch()
	case keepalive.CloseDead:
		k.d.Counts.DeadConnections++
		k.d.log.Warn("engine does not answer a ping", "server", k.server.id, "attempts", k.streams)
		k.conn.Close()
		return
	case keepalive.CloseUnused:
		k.spare = true
		k.conn.Close()
		return
	}
	k.d.loop.SetTimer(&k.timer, again, k.onKeep)
}

// ---- What the loop tells.

func (k *serverConn) Opened(now eventloop.Nanos) {
	k.now, k.ready, k.heardAt = now, true, now
	k.server.sendQueued(now)
	for _, id := range k.queue {
		if req := k.d.requests.Find(id); req != nil && req.grpcAttempt.conn == k && req.grpcAttempt.stream == nil {
			req.grpcAttempt.wait(now)
		}
	}
	for _, o := range k.server.releases {
		if k.http2.CanOpenStream() {
			k.sendRelease(o.request, o.attempt)
		}
	}
	k.server.releases = k.server.releases[:0]
	k.touch()
	k.d.loop.SetTimer(&k.timer, now+k.server.exit.keeper.LatencyTarget, k.onKeep)
}

func (k *serverConn) Received(now eventloop.Nanos, p []byte) {
	k.now, k.heardAt = now, now
	k.http2.Feed(now, p)
	k.touch()
}

func (k *serverConn) PeerHalfClosed(eventloop.Nanos) { k.conn.Close() }

func (k *serverConn) OutputFlushed(now eventloop.Nanos) {
	k.now = now
	k.http2.SetOutputPaused(false)
	k.flush()
}

func (k *serverConn) Closed(now eventloop.Nanos, err error) {
	k.now, k.gone = now, true
	d := k.d
	d.loop.CancelTimer(&k.timer)
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
		for _, release := range k.server.releases {
			d.log.Warn("release lost", "request", d.requestName(release.request), "server", k.server.id, "why", "not reached")
		}
		k.server.releases = k.server.releases[:0]
	}
	queue := k.queue
	k.queue = nil
	for _, id := range queue { // none of them was sent
		if req := d.requests.Find(id); req != nil && req.grpcAttempt.conn == k && req.grpcAttempt.stream == nil {
			d.attemptEnded(now, req, policy.Unreachable, false, policy.NoLoadReport)
			d.dropIfDone(req)
		}
	}
	k.ready = false
	k.http2.TransportClosed()
}

// ---- What is sent.

// send opens the stream of an attempt.
func (k *serverConn) send(now eventloop.Nanos, req *Request, attempt policy.AttemptNumber) {
	d, x := k.d, k.server.exit
	path, timeout := pathWrite, int64(0)
	if req.IsPrefill {
		path, timeout = pathRead, max(req.AttemptTimeout-(now-req.SentAt), 1)
	}
	extra := [3]hpack.HeaderField{
		{Name: "docksail-job", Value: d.requestName(req.ID), Sensitive: true},
		{Name: "docksail-shot", Value: strconv.Itoa(int(attempt))},
	}
	n := 2
	if req.TraceParent != "" {
		extra[2] = hpack.HeaderField{Name: "traceparent", Value: req.TraceParent, Sensitive: true}
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
	if at, held := req.StateHolder(); held && !req.IsPrefill {
		if srv := k.server.exit.servers[at]; srv != nil {
			b = protowire.AppendTag(b, 5, protowire.BytesType)
			b = protowire.AppendString(b, srv.name)
		}
	}
	b = protowire.AppendTag(b, 6, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(max(req.AttemptTimeout-(now-req.SentAt), 1)))
	if req.PreviousAttempts > 0 {
		b = protowire.AppendTag(b, 7, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(req.PreviousAttempts))
	}
	x.scratch = b
	s.UserID = uint64(req.ID)
	s.SendMessage(b, true)
	req.grpcAttempt.stream, req.grpcAttempt.onWire = s, true
	d.loop.SetTimer(&req.timer, max(req.SentAt+req.AttemptTimeout, now+1), req.onTimer)
	k.wired++
	k.touch()
}

// sendRelease releases what a server holds. If it is lost with its connection it is sent again by another, as long as
// the engine can be reached.
func (k *serverConn) sendRelease(id policy.RequestID, attempt policy.AttemptNumber) {
	s := k.http2.OpenStream(pathRelease, k.server.name, k.server.exit.keeper.LatencyTarget)
	b := k.server.exit.scratch[:0]
	b = protowire.AppendTag(b, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, k.d.incarnation)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(id))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(attempt))
	k.server.exit.scratch = b
	s.UserData = pendingRelease{id, attempt}
	s.SendMessage(b, true)
	k.touch()
}

// releaseAnswered takes down a release that an engine did not take: what it holds ends by its own time.
func (k *serverConn) releaseAnswered(release pendingRelease, code codes.Code) {
	if code == codes.OK {
		return
	}
	k.d.Counts.ReleasesLost++
	k.d.log.Warn("release lost", "request", k.d.requestName(release.request), "server", k.server.id, "why", code.String())
}

// ---- What HTTP/2 tells.

// request of a stream, if the stream is still its attempt.
func (k *serverConn) request(s *h2.Stream) *Request {
	if s.UserID == 0 {
		return nil
	}
	if req := k.d.requests.Find(policy.RequestID(s.UserID)); req != nil && req.grpcAttempt.stream == s {
		return req
	}
	return nil
}

func (k *serverConn) HeadersReceived(*h2.Stream, *h2.Header) { k.pings = 0 }

func (k *serverConn) MessageReceived(s *h2.Stream, p []byte) bool {
	k.pings = 0
	req := k.request(s)
	if req == nil || req.IsPrefill {
		return false
	}
	if !req.Answered() && !req.IsStreaming() {
		k.server.trial.AnswerReceived()
		k.server.sendQueued(k.now)
	}
	return k.d.RelayTokens(k.now, req, p, len(p)+5)
}

func (k *serverConn) RequestEnded(*h2.Stream) {}

func (k *serverConn) StreamFinished(s *h2.Stream, code codes.Code, _ string, trailer *h2.Header) {
	k.pings = 0
	if release, ok := s.UserData.(pendingRelease); ok {
		s.UserData = nil
		k.releaseAnswered(release, code)
		return
	}
	req := k.request(s)
	if req == nil {
		return
	}
	s.UserID = 0
	req.grpcAttempt.stream = nil // it is over by itself
	_, held := req.StateHolder()
	outcome := policy.Failed
	switch {
	case code == codes.OK && req.IsPrefill:
		outcome = policy.Prefilled
		k.server.trial.AnswerReceived()
	case code == codes.OK:
		outcome = policy.Served
	case req.IsStreaming():
		outcome = policy.ConnectionLost
	case code == codes.ResourceExhausted:
		outcome = policy.Rejected
	case code == codes.FailedPrecondition && held:
		outcome = policy.StateMissing
	case code == codes.DeadlineExceeded:
		outcome = policy.TimedOut
	}
	k.d.FinishAttempt(k.now, req, outcome, ": "+code.String(), k.server.exit.load(trailer))
	k.touch()
}

func (k *serverConn) StreamReset(s *h2.Stream, _ http2.ErrCode, refused bool) {
	if o, ok := s.UserData.(pendingRelease); ok && k.gone {
		s.UserData = nil
		k.server.releaseBy(k.now, nil, o.request, o.attempt)
		return
	}
	req := k.request(s)
	if req == nil {
		return
	}
	s.UserID = 0
	req.grpcAttempt.stream = nil
	outcome := policy.ConnectionLost
	if refused { // nothing was done for it
		outcome = policy.Rejected
	}
	k.d.FinishAttempt(k.now, req, outcome, "", policy.NoLoadReport)
}

func (k *serverConn) StreamFlushed(*h2.Stream) {}

// GoingAway: the engine wants no more on this connection; what runs on it ends there.
func (k *serverConn) GoAwayReceived() { k.touch() }

func (k *serverConn) PingAcked() {}
