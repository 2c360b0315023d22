package platform

import (
	"bytes"
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/serverconn"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"encoding/json"
	"math/bits"
	"slices"
	"strconv"
)

// conn is one connection to a server. It carries an attempt, a release, or nothing.
type conn struct {
	backend   *Backend
	server    *server
	socket    *eventloop.Conn
	decoder   h1.Decoder
	feeder    h1.InputBuffer
	number    uint64
	connected bool
	idle      bool
	removed   bool
	idleSince eventloop.Nanos // idle since then
	heapIndex int
	useCount  int // how often
	timer     eventloop.Timer
	onTimer   func(eventloop.Nanos)

	request         *dispatch.Request
	release         *releaseTracker    // whose release it carries
	lingersFor      *releaseTracker    // the one that waits for the end of an attempt given up on it ...
	abandonedAt     eventloop.Nanos    // ... then
	operation       inflight.Operation // what it carries, or carried last
	sentAt          eventloop.Nanos    // what it carries was written then
	written         bool               // to its last byte
	responseStarted bool               // something came back
	headReceived    bool               // its answer's head has come
	isStream        bool               // which is that of a stream
	chunkCount      int                // pieces of it
	buffered        []byte             // what has come of a read's answer, or of the first event of a stream
	loadReport      policy.LoadReport
}

// idleBucket gives the place of a time at rest in the counts.
func idleBucket(span int64) int {
	return min(bits.Len64(uint64(span>>24)), len(Counts{}.IdleBeforeReuse)-1)
}

// retire closes a connection that carries nothing.
func (c *conn) retire() {
	c.backend.Counts.IdleClosed++
	c.idle = false
	c.backend.idleConns.Remove(c)
	c.socket.Close()
	c.detach()
}

// detach takes the connection off its server, at once: it must not be counted or chosen any more.
func (c *conn) detach() {
	if c.removed {
		return
	}
	c.removed = true
	c.backend.loop.CancelTimer(&c.timer)
	c.backend.idleConns.Remove(c)
	c.backend.openConns--
	if i := slices.Index(c.server.conns, c); i >= 0 {
		c.server.conns = slices.Delete(c.server.conns, i, i+1)
	}
	c.backend.removeIfUnused(c.server)
}

// handleTimer closes it when it has stood idle for long enough. If it carries an attempt that is to take a state and is not known to have come to its
// server, the state is released: beside the attempt, if that may be on its way; else the attempt has come too late.
func (c *conn) handleTimer(now eventloop.Nanos) {
	req := c.request
	switch {
	case c.idle:
		c.retire()
	case req == nil || c.operation.IsAcknowledged():
	case c.operation.State() < inflight.Sending:
		c.abandonAndClose()
		c.backend.dispatcher.FinishAttempt(now, req, policy.Unreachable, "", policy.NoLoadReport)
		c.backend.loop.SkipNextWait()
	default:
		c.backend.Counts.ReleasedEarly++
		c.backend.dispatcher.ReleaseEarly(now, req)
	}
}

// armEarlyRelease sets the time at which the state that the attempt is to take has to be released if there is no sign of its arrival.
func (c *conn) armEarlyRelease(now eventloop.Nanos) {
	if at, due := c.request.EarlyReleaseTime(c.operation.State(), c.backend.releaseTime); due {
		c.backend.loop.SetTimer(&c.timer, max(at, now+1), c.onTimer)
	}
}

func (c *conn) beginExchange(now eventloop.Nanos) {
	c.decoder = h1.NewResponseDecoder(h1.Limits{HeadBytes: maxHeadBytes, BodyBytes: 0, ChunkBytes: maxChunkBytes})
	c.useCount++
	if c.useCount > 1 {
		c.backend.Counts.IdleBeforeReuse[idleBucket(now-c.idleSince)]++
	}
	c.responseStarted = false
	c.advance(inflight.Sending)
	c.sentAt, c.written, c.headReceived, c.isStream, c.buffered, c.loadReport, c.chunkCount = now, false, false, false, c.buffered[:0], policy.NoLoadReport, 0
}

// writeAttempt writes the request as its client sent it; false: it must not be written, and the connection is closed.
func (c *conn) writeAttempt(now eventloop.Nanos) bool {
	req := c.request
	if err := c.mayWrite(now); err != nil {
		if err != inflight.ErrStartDeadlinePassed {
			c.backend.recordViolation(req.ClientRequestID, c.server, err)
		}
		c.abandonAndClose()
		return false
	}
	c.beginExchange(now)
	b := append(c.backend.scratch[:0], "POST "...)
	b = append(append(b, req.Path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.server.name...), "\r\nContent-Type: application/json\r\nX-Txn: "...)
	b = append(append(b, req.ClientRequestID...), "\r\n"...)
	b = append(append(b, req.Header...), "X-Remaining: "...)
	ms := (req.AttemptTimeLeft(now) + 1e6 - 1) / 1e6
	b = strconv.AppendInt(b, ms/1000, 10)
	b = append(b, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(req.Raw)), 10)
	b = append(append(b, "\r\n\r\n"...), req.Raw...)
	c.backend.scratch = b
	c.socket.Write(b)
	return true
}

// mayWrite tells whether the attempt that the connection carries may be written.
func (c *conn) mayWrite(now eventloop.Nanos) error {
	tracker := c.backend.releaseTrackers[c.request.ID]
	return c.request.CheckSend(inflight.SendConditions{
		Now: now, StartDeadline: c.request.StartDeadline, ServerServing: c.server.health == policy.Serving,
		ReleaseInFlight: tracker != nil && len(tracker.pending) > 0 && !tracker.besidePrefill,
	})
}

// abandonAndClose takes what the connection carries off it and closes it.
func (c *conn) abandonAndClose() {
	c.abandon()
	c.request, c.release = nil, nil
	c.socket.Close()
	c.detach()
}

// writeRelease writes the release that the connection carries.
func (c *conn) writeRelease(now eventloop.Nanos) {
	tracker := c.release
	permit, out := c.backend.dispatcher.ReleasePermission(tracker.requestID)
	if err := inflight.CheckSendRelease(permit, tracker.besidePrefill); err != nil {
		if err != inflight.ErrReleaseSuperseded {
			c.backend.recordViolation(tracker.clientID, c.server, err)
		}
		tracker.cancel(c)
		tracker.schedule(now)
		return
	}
	tracker.decisions.ReleaseStarted(out)
	c.beginExchange(now)
	b := append(c.backend.scratch[:0], "DELETE /state/"...)
	b = append(append(b, tracker.clientID...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.server.name...), "\r\n\r\n"...)
	c.backend.scratch = b
	c.socket.Write(b)
}

// ---- What the loop tells.

func (c *conn) Opened(now eventloop.Nanos) {
	c.connected = true
	switch {
	case c.request != nil:
		if req := c.request; !c.writeAttempt(now) {
			c.backend.dispatcher.FinishAttempt(now, req, policy.NotSent, "", policy.NoLoadReport)
		}
	case c.release != nil:
		c.writeRelease(now)
	default:
		c.socket.Close()
	}
}

func (c *conn) OutputFlushed(eventloop.Nanos) {
	c.written = true
	if c.isBusy() {
		c.advance(inflight.Sent)
	}
	if c.isBusy() && c.responseStarted {
		c.advance(inflight.Acknowledged)
	}
}

func (c *conn) PeerHalfClosed(now eventloop.Nanos) {
	if c.lingersFor != nil {
		c.confirmEnd(now)
		return
	}
	if piece, err := c.decoder.EndOfInput(); err == nil && piece == h1.MessageEnd && c.headReceived {
		c.finishExchange(now, false)
		return
	}
	c.socket.Close()
}

func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.server.lastHeardAt = now
	if c.lingersFor != nil { // an answer to what was given up: that is over
		c.confirmEnd(now)
		return
	}
	if !c.isBusy() { // nobody asked for that
		c.backend.Counts.ExtraBytes++
		c.socket.Close()
		c.detach()
		return
	}
	if !c.responseStarted && c.written {
		c.advance(inflight.Acknowledged)
	}
	c.responseStarted = true
	c.feeder.Process(p, func(p []byte) int { return c.decodeResponse(now, p) })
}

// decodeResponse takes the answer apart.
func (c *conn) decodeResponse(now eventloop.Nanos, p []byte) (n int) {
	for !c.removed && (c.request != nil || c.release != nil) {
		piece, data, k, err := c.decoder.Next(p[n:])
		n += k
		switch {
		case err != nil:
			c.failInvalidResponse(now, err)
			return len(p)
		case piece == h1.NeedData:
			return n
		case piece == h1.MessageHead:
			c.handleHead()
		case piece == h1.BodyData && c.isStream:
			c.relayChunk(now, data)
		case piece == h1.BodyData && c.request != nil && c.request.IsPrefill && len(c.buffered)+len(data) <= maxPrefillBodyBytes:
			c.buffered = append(c.buffered, data...)
		case piece == h1.MessageEnd:
			c.finishExchange(now, n == len(p))
			return len(p)
		}
	}
	return len(p)
}

// handleHead reads the head of an answer.
func (c *conn) handleHead() {
	srv := &c.decoder.Head
	c.headReceived = true
	c.isStream = c.request != nil && !c.request.IsPrefill && srv.StatusCode == 200 && srv.Chunked
	if v := srv.Get("x-pressure"); v != nil {
		c.recordLoadReport(v)
	}
}

// recordLoadReport takes a load report; one that cannot be read is passed over.
func (c *conn) recordLoadReport(v []byte) {
	var figures map[string]json.RawMessage
	if len(v) > maxHeadBytes || json.Unmarshal(v, &figures) != nil {
		return
	}
	load := policy.NoLoadReport
	for name, text := range figures { // each goes to a place of its own
		if x, err := strconv.ParseFloat(string(text), 64); err == nil && x >= 0 && x < 1e12 {
			platformconfig.SetLoadReportField(&load, name, x)
		}
	}
	c.loadReport = load
	c.server.loadReport, c.server.loadReportAt = load, c.backend.loop.Now()
	c.backend.Counts.LoadReports++
}

var loadReportPrefix = []byte(": X-Pressure: ")

// relayChunk passes on a piece of a stream; the first is held until an event is whole, as a stream that is spoilt before is
// an attempt that failed.
func (c *conn) relayChunk(now eventloop.Nanos, data []byte) {
	if i := bytes.Index(data, loadReportPrefix); i == 0 || i > 0 && data[i-1] == '\n' {
		line, _, _ := bytes.Cut(data[i+len(loadReportPrefix):], []byte{'\n'})
		c.recordLoadReport(bytes.TrimSpace(line))
	}
	c.chunkCount++
	if !c.request.IsStreaming() {
		c.buffered = append(c.buffered, data...)
		if !bytes.Contains(c.buffered, []byte("\n\n")) && !bytes.Contains(c.buffered, []byte("\r\n\r\n")) {
			if len(c.buffered) > maxChunkBytes {
				c.failInvalidResponse(now, h1.ErrBodyTooLarge)
			}
			return
		}
		if !bytes.Contains(c.buffered, []byte("data:")) {
			c.failInvalidResponse(now, h1.ErrMalformed)
			return
		}
		data = c.buffered
	}
	if c.backend.dispatcher.RelayTokens(now, c.request, data, len(data)) && !c.removed {
		c.socket.SetReadPaused(true)
	}
}

// failInvalidResponse ends an attempt or release whose answer cannot be read.
func (c *conn) failInvalidResponse(now eventloop.Nanos, err error) {
	c.backend.Counts.InvalidResponses++
	c.backend.log.Info("answer invalid", "server", c.server.name, "begun", c.request != nil && c.request.IsStreaming(), "after", now-c.sentAt, "events", c.chunkCount, "err", err)
	c.failExchange(now, true)
}

// failExchange tells what carried on the connection that it is of no more use: spoilt by what came on it, or lost.
func (c *conn) failExchange(now eventloop.Nanos, spoilt bool) {
	req, tracker := c.request, c.release
	c.abandonAndClose()
	switch {
	case req != nil:
		outcome := policy.ConnectionLost
		switch {
		case spoilt:
		case c.backend.keeper.IsStale(c.useCount, c.written, c.responseStarted, now-c.sentAt):
			outcome = policy.StaleConnection
			c.backend.Counts.StaleConnections++
			c.backend.Counts.IdleBeforeStale[idleBucket(c.sentAt-c.idleSince)]++
		case !c.written:
			outcome = policy.Unreachable
		}
		if !spoilt && outcome != policy.StaleConnection {
			c.backend.log.Info("attempt lost with its connection", "server", c.server.name, "ready", c.connected, "written", c.written, "begun", req.IsStreaming(),
				"after", now-c.sentAt, "rested", c.sentAt-c.idleSince, "used", c.useCount)
		}
		if c.operation.MayContinueOnServer(req.IsStreaming()) {
			c.trackLostAttempt(now, req)
		}
		c.backend.dispatcher.FinishAttempt(now, req, outcome, "", c.loadReport)
		c.backend.loop.SkipNextWait()
	case tracker != nil:
		tracker.handleConnLost(now, c)
	}
}

// finishExchange deals with an answer that has come whole; clean tells that nothing came behind it.
func (c *conn) finishExchange(now eventloop.Nanos, clean bool) {
	req, tracker := c.request, c.release
	srv := &c.decoder.Head
	status, turned, begun := srv.StatusCode, srv.Get("x-turned-away") != nil, req != nil && req.IsStreaming()
	c.advance(inflight.Completed)
	c.request, c.release = nil, nil
	if clean && c.written && !srv.Close {
		c.becomeIdle(now)
	} else {
		if !clean {
			c.backend.Counts.ExtraBytes++
		}
		c.socket.Close()
		c.detach()
	}
	if tracker != nil {
		tracker.handleResponse(now, c, status)
		return
	}
	outcome := policy.Failed
	switch {
	case c.isStream && begun:
		outcome = policy.Served
	case c.isStream: // it ended before its first event
		outcome = policy.ConnectionLost
	case status == 202 && req.IsPrefill:
		outcome = policy.Prefilled
		c.recordCachedTokens(req)
	case status == 410 && turned && !req.IsPrefill:
		outcome = policy.StateMissing
	case (status == 503 || status == 504) && turned:
		outcome = policy.Rejected
	case status == 400 || status == 404:
		c.backend.log.Warn("server cannot use a request", "server", c.server.name, "status", status)
		c.backend.dispatcher.FailInvalidRequest(now, req, "the server cannot use the request")
		return
	}
	c.backend.dispatcher.FinishAttempt(now, req, outcome, "", c.loadReport)
}

// recordCachedTokens takes down how much of a prompt the server had kept, if the answer to its read tells.
func (c *conn) recordCachedTokens(req *dispatch.Request) {
	var told struct {
		Cached *int64 `json:"cached_tokens"`
	}
	g := req.PolicyRequest()
	if json.Unmarshal(c.buffered, &told) != nil || told.Cached == nil || *told.Cached < 0 || *told.Cached > g.PromptTokens {
		return
	}
	c.backend.Counts.PrefixCache.recordPrefill(g.PromptTokens, g.PrefixTokens, req.ExpectedCachedTokens, *told.Cached)
	if c.backend.debug {
		c.backend.log.Debug("read", "request", string(req.ClientRequestID), "server", c.server.name, "prefix", g.Prefix, "session", g.Session, "prompt", g.PromptTokens, "shared", g.PrefixTokens,
			"expected", req.ExpectedCachedTokens, "found", *told.Cached)
	}
}

// becomeIdle keeps the connection for the next request.
func (c *conn) becomeIdle(now eventloop.Nanos) {
	if c.server.health == policy.Gone {
		c.retire()
		return
	}
	c.socket.SetReadPaused(false) // it may have been held back for its last client
	c.idle, c.idleSince = true, now
	c.backend.idleConns.PushOrFix(c)
	c.backend.loop.SetTimer(&c.timer, c.backend.keeper.IdleDeadline(now), c.onTimer)
}

func (c *conn) Closed(now eventloop.Nanos, err error) {
	if c.removed {
		return
	}
	if c.lingersFor != nil {
		c.handleLingeringLost(now)
		return
	}
	if !c.connected {
		c.backend.log.Debug("server not reached", "server", c.server.name, "err", err)
	}
	c.failExchange(now, false)
}

// ---- What the dispatcher asks of an attempt.

// Finish implements dispatch.Attempt. Ending the sending on a connection, or closing it, is how a server learns that an attempt is given up.
func (c *conn) Finish(now eventloop.Nanos) bool {
	req := c.request
	if req == nil {
		return false
	}
	written, parting := c.operation.MayHaveBeenReceived(), c.operation.CloseMode(c.responseStarted, req.IsStreaming())
	c.abandon()
	c.request = nil
	srv, sent, wired := c.server, c.sentAt, c.connected
	var tracker *releaseTracker
	if parting == inflight.AwaitPeerClose {
		tracker = c.backend.trackerFor(req)
	}
	if tracker != nil {
		c.linger(now, tracker)
	} else {
		c.socket.Close()
		c.detach()
	}
	if wired && serverconn.ShouldCloseIdleConns(sent, srv.lastHeardAt) {
		srv.closeIdleConns()
	}
	return written
}

// trackLostAttempt takes down that an attempt was lost with its connection: its server may work on it.
func (c *conn) trackLostAttempt(now eventloop.Nanos, req *dispatch.Request) {
	if tracker := c.backend.trackerFor(req); tracker != nil {
		tracker.decisions.AttemptAbandoned(now, now+c.backend.maxClassTimeout, false)
		tracker.schedule(now)
	}
}

// AfterFinish implements dispatch.Attempt.
func (c *conn) AfterFinish(eventloop.Nanos) {}

// CreditWindow implements dispatch.Attempt.
func (c *conn) CreditWindow(int) {
	if !c.removed {
		c.socket.SetReadPaused(false)
	}
}

// DeliveryState implements dispatch.Attempt.
func (c *conn) DeliveryState() inflight.DeliveryState { return c.operation.State() }

// ServerResponsive implements dispatch.Attempt.
func (c *conn) ServerResponsive() bool {
	return c.operation.State() >= inflight.Sending && c.server.lastHeardAt > c.sentAt
}
