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
	exit      *Exit
	server    *server
	conn      *eventloop.Conn
	decoder   h1.Decoder
	feed      h1.Feeder
	number    uint64
	ready     bool
	idle      bool
	gone      bool
	idleSince eventloop.Nanos // idle since then
	heapIndex int
	uses      int // how often
	timer     eventloop.Timer
	onTimer   func(eventloop.Nanos)

	request    *dispatch.Request
	release    *settlement     // whose release it carries
	settles    *settlement     // the one that waits for the end of an attempt given up on it ...
	givenUpAt  eventloop.Nanos // ... then
	effect     inflight.Effect // what it carries, or carried last
	sentAt     eventloop.Nanos // what it carries was written then
	written    bool            // to its last byte
	answered   bool            // something came back
	headSeen   bool            // its answer's head has come
	stream     bool            // which is that of a stream
	events     int             // pieces of it
	firstBytes []byte          // what has come of a read's answer, or of the first event of a stream
	load       policy.Load
}

// restedFor gives the place of a time at rest in the counts.
func restedFor(span int64) int { return min(bits.Len64(uint64(span>>24)), len(Counts{}.Rested)-1) }

// retire closes a connection that carries nothing.
func (c *conn) retire() {
	c.exit.Counts.Retired++
	c.idle = false
	c.exit.idle.Take(c)
	c.conn.Close()
	c.leave()
}

// leave takes the connection off its server, at once: it must not be counted or chosen any more.
func (c *conn) leave() {
	if c.gone {
		return
	}
	c.gone = true
	c.exit.loop.Cancel(&c.timer)
	c.exit.idle.Take(c)
	c.exit.conns--
	if i := slices.Index(c.server.conns, c); i >= 0 {
		c.server.conns = slices.Delete(c.server.conns, i, i+1)
	}
	c.exit.forgetGone(c.server)
}

// due closes it when it has stood idle for long enough. If it carries an attempt that is to take a state and is not known to have come to its
// server, the state is released: beside the attempt, if that may be on its way; else the attempt has come too late.
func (c *conn) due(now eventloop.Nanos) {
	req := c.request
	switch {
	case c.idle:
		c.retire()
	case req == nil || c.effect.KnownArrived():
	case c.effect.Stage() < inflight.Writing:
		c.drop()
		c.exit.dispatcher.Finish(now, req, policy.Unreachable, "", policy.NoLoad)
		c.exit.loop.Again()
	default:
		c.exit.Counts.ReleasedEarly++
		c.exit.dispatcher.ReleaseEarly(now, req)
	}
}

// armEarlyRelease sets the time at which the state that the attempt is to take has to be released if there is no sign of its arrival.
func (c *conn) armEarlyRelease(now eventloop.Nanos) {
	if at, due := c.request.EarlyRelease(c.effect.Stage(), c.exit.releaseTime); due {
		c.exit.loop.At(&c.timer, max(at, now+1), c.onTimer)
	}
}

func (c *conn) begin(now eventloop.Nanos) {
	c.decoder = h1.NewClient(h1.Limits{Head: headMost, Body: 0, Chunk: chunkMost})
	c.uses++
	if c.uses > 1 {
		c.exit.Counts.Rested[restedFor(now-c.idleSince)]++
	}
	c.answered = false
	c.advance(inflight.Writing)
	c.sentAt, c.written, c.headSeen, c.stream, c.firstBytes, c.load, c.events = now, false, false, false, c.firstBytes[:0], policy.NoLoad, 0
}

// writeAttempt writes the request as its client sent it; false: it must not be written, and the connection is closed.
func (c *conn) writeAttempt(now eventloop.Nanos) bool {
	req := c.request
	if err := c.mayWrite(now); err != nil {
		if err != inflight.ErrTooLate {
			c.exit.violated(req.ClientID, c.server, err)
		}
		c.drop()
		return false
	}
	c.begin(now)
	b := append(c.exit.scratch[:0], "POST "...)
	b = append(append(b, req.Path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.server.name...), "\r\nContent-Type: application/json\r\nX-Txn: "...)
	b = append(append(b, req.ClientID...), "\r\n"...)
	b = append(append(b, req.Header...), "X-Remaining: "...)
	ms := (req.TimeLeft(now) + 1e6 - 1) / 1e6
	b = strconv.AppendInt(b, ms/1000, 10)
	b = append(b, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(req.Raw)), 10)
	b = append(append(b, "\r\n\r\n"...), req.Raw...)
	c.exit.scratch = b
	c.conn.Write(b)
	return true
}

// mayWrite tells whether the attempt that the connection carries may be written.
func (c *conn) mayWrite(now eventloop.Nanos) error {
	s := c.exit.settlements[c.request.ID]
	return c.request.MayWrite(inflight.WriteFacts{
		Now: now, Before: c.request.WriteBefore, Serving: c.server.health == policy.Serving,
		Releasing: s != nil && len(s.tries) > 0 && !s.besideRead,
	})
}

// drop takes what the connection carries off it and closes it.
func (c *conn) drop() {
	c.abandon()
	c.request, c.release = nil, nil
	c.conn.Close()
	c.leave()
}

// writeRelease writes the release that the connection carries.
func (c *conn) writeRelease(now eventloop.Nanos) {
	s := c.release
	permit, out := c.exit.dispatcher.MayRelease(s.request)
	if err := inflight.MayWriteRelease(permit, s.besideRead); err != nil {
		if err != inflight.ErrOvertaken {
			c.exit.violated(s.name, c.server, err)
		}
		s.dropTry(c)
		s.actSoon(now)
		return
	}
	s.account.Began(out)
	c.begin(now)
	b := append(c.exit.scratch[:0], "DELETE /state/"...)
	b = append(append(b, s.name...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.server.name...), "\r\n\r\n"...)
	c.exit.scratch = b
	c.conn.Write(b)
}

// ---- What the loop tells.

func (c *conn) Opened(now eventloop.Nanos) {
	c.ready = true
	switch {
	case c.request != nil:
		if req := c.request; !c.writeAttempt(now) {
			c.exit.dispatcher.Finish(now, req, policy.NotSent, "", policy.NoLoad)
		}
	case c.release != nil:
		c.writeRelease(now)
	default:
		c.conn.Close()
	}
}

func (c *conn) Drained(eventloop.Nanos) {
	c.written = true
	if c.carries() {
		c.advance(inflight.Written)
	}
	if c.carries() && c.answered {
		c.advance(inflight.Arrived)
	}
}

func (c *conn) PeerDone(now eventloop.Nanos) {
	if c.settles != nil {
		c.confirm(now)
		return
	}
	if piece, err := c.decoder.End(); err == nil && piece == h1.Whole && c.headSeen {
		c.answerComplete(now, false)
		return
	}
	c.conn.Close()
}

func (c *conn) Data(now eventloop.Nanos, p []byte) {
	c.server.heardAt = now
	if c.settles != nil { // an answer to what was given up: that is over
		c.confirm(now)
		return
	}
	if !c.carries() { // nobody asked for that
		c.exit.Counts.ExtraBytes++
		c.conn.Close()
		c.leave()
		return
	}
	if !c.answered && c.written {
		c.advance(inflight.Arrived)
	}
	c.answered = true
	c.feed.Feed(p, func(p []byte) int { return c.take(now, p) })
}

// take takes the answer apart.
func (c *conn) take(now eventloop.Nanos, p []byte) (n int) {
	for !c.gone && (c.request != nil || c.release != nil) {
		piece, data, k, err := c.decoder.Next(p[n:])
		n += k
		switch {
		case err != nil:
			c.invalidAnswer(now, err)
			return len(p)
		case piece == h1.None:
			return n
		case piece == h1.Start:
			c.start()
		case piece == h1.Data && c.stream:
			c.event(now, data)
		case piece == h1.Data && c.request != nil && c.request.Prefill && len(c.firstBytes)+len(data) <= foundMost:
			c.firstBytes = append(c.firstBytes, data...)
		case piece == h1.Whole:
			c.answerComplete(now, n == len(p))
			return len(p)
		}
	}
	return len(p)
}

// start reads the head of an answer.
func (c *conn) start() {
	srv := &c.decoder.Head
	c.headSeen = true
	c.stream = c.request != nil && !c.request.Prefill && srv.Status == 200 && srv.Chunked
	if v := srv.Get("x-pressure"); v != nil {
		c.report(v)
	}
}

// report takes a load report; one that cannot be read is passed over.
func (c *conn) report(v []byte) {
	var figures map[string]json.RawMessage
	if len(v) > headMost || json.Unmarshal(v, &figures) != nil {
		return
	}
	load := policy.NoLoad
	for name, text := range figures { // each goes to a place of its own
		if x, err := strconv.ParseFloat(string(text), 64); err == nil && x >= 0 && x < 1e12 {
			platformconfig.Report(&load, name, x)
		}
	}
	c.load = load
	c.server.load, c.server.loadAt = load, c.exit.loop.Now()
	c.exit.Counts.Reports++
}

var loadLine = []byte(": X-Pressure: ")

// event passes on a piece of a stream; the first is held until an event is whole, as a stream that is spoilt before is
// an attempt that failed.
func (c *conn) event(now eventloop.Nanos, data []byte) {
	if i := bytes.Index(data, loadLine); i == 0 || i > 0 && data[i-1] == '\n' {
		line, _, _ := bytes.Cut(data[i+len(loadLine):], []byte{'\n'})
		c.report(bytes.TrimSpace(line))
	}
	c.events++
	if !c.request.Streaming() {
		c.firstBytes = append(c.firstBytes, data...)
		if !bytes.Contains(c.firstBytes, []byte("\n\n")) && !bytes.Contains(c.firstBytes, []byte("\r\n\r\n")) {
			if len(c.firstBytes) > chunkMost {
				c.invalidAnswer(now, h1.ErrTooLarge)
			}
			return
		}
		if !bytes.Contains(c.firstBytes, []byte("data:")) {
			c.invalidAnswer(now, h1.ErrBad)
			return
		}
		data = c.firstBytes
	}
	if c.exit.dispatcher.Tokens(now, c.request, data, len(data)) && !c.gone {
		c.conn.Pause(true)
	}
}

// invalidAnswer ends an attempt or release whose answer cannot be read.
func (c *conn) invalidAnswer(now eventloop.Nanos, err error) {
	c.exit.Counts.InvalidAnswers++
	c.exit.log.Info("answer invalid", "server", c.server.name, "begun", c.request != nil && c.request.Streaming(), "after", now-c.sentAt, "events", c.events, "err", err)
	c.ended(now, true)
}

// ended tells what carried on the connection that it is of no more use: spoilt by what came on it, or lost.
func (c *conn) ended(now eventloop.Nanos, spoilt bool) {
	req, r := c.request, c.release
	c.drop()
	switch {
	case req != nil:
		outcome := policy.Broken
		switch {
		case spoilt:
		case c.exit.keeper.Stale(c.uses, c.written, c.answered, now-c.sentAt):
			outcome = policy.StaleConnection
			c.exit.Counts.StaleConnections++
			c.exit.Counts.StaleAfter[restedFor(c.sentAt-c.idleSince)]++
		case !c.written:
			outcome = policy.Unreachable
		}
		if !spoilt && outcome != policy.StaleConnection {
			c.exit.log.Info("attempt lost with its connection", "server", c.server.name, "ready", c.ready, "written", c.written, "begun", req.Streaming(),
				"after", now-c.sentAt, "rested", c.sentAt-c.idleSince, "used", c.uses)
		}
		if c.effect.LeavesBehind(req.Streaming()) {
			c.leftBehind(now, req)
		}
		c.exit.dispatcher.Finish(now, req, outcome, "", c.load)
		c.exit.loop.Again()
	case r != nil:
		r.tryLost(now, c)
	}
}

// answerComplete deals with an answer that has come whole; clean tells that nothing came behind it.
func (c *conn) answerComplete(now eventloop.Nanos, clean bool) {
	req, r := c.request, c.release
	srv := &c.decoder.Head
	status, turned, begun := srv.Status, srv.Get("x-turned-away") != nil, req != nil && req.Streaming()
	c.advance(inflight.Over)
	c.request, c.release = nil, nil
	if clean && c.written && !srv.Close {
		c.becomeIdle(now)
	} else {
		if !clean {
			c.exit.Counts.ExtraBytes++
		}
		c.conn.Close()
		c.leave()
	}
	if r != nil {
		r.releaseAnswered(now, c, status)
		return
	}
	outcome := policy.Failed
	switch {
	case c.stream && begun:
		outcome = policy.Served
	case c.stream: // it ended before its first event
		outcome = policy.Broken
	case status == 202 && req.Prefill:
		outcome = policy.Read
		c.recordCached(req)
	case status == 410 && turned && !req.Prefill:
		outcome = policy.Stateless
	case (status == 503 || status == 504) && turned:
		outcome = policy.Rejected
	case status == 400 || status == 404:
		c.exit.log.Warn("server cannot use a request", "server", c.server.name, "status", status)
		c.exit.dispatcher.Unacceptable(now, req, "the server cannot use the request")
		return
	}
	c.exit.dispatcher.Finish(now, req, outcome, "", c.load)
}

// recordCached takes down how much of a prompt the server had kept, if the answer to its read tells.
func (c *conn) recordCached(req *dispatch.Request) {
	var told struct {
		Cached *int64 `json:"cached_tokens"`
	}
	g := req.PolicyRequest()
	if json.Unmarshal(c.firstBytes, &told) != nil || told.Cached == nil || *told.Cached < 0 || *told.Cached > g.Prompt {
		return
	}
	c.exit.Counts.PrefixCache.read(g.Prompt, g.Shared, req.ExpectedCached, *told.Cached)
	if c.exit.debug {
		c.exit.log.Debug("read", "request", string(req.ClientID), "server", c.server.name, "prefix", g.Prefix, "session", g.Session, "prompt", g.Prompt, "shared", g.Shared,
			"expected", req.ExpectedCached, "found", *told.Cached)
	}
}

// becomeIdle keeps the connection for the next request.
func (c *conn) becomeIdle(now eventloop.Nanos) {
	if c.server.health == policy.Gone {
		c.retire()
		return
	}
	c.conn.Pause(false) // it may have been held back for its last client
	c.idle, c.idleSince = true, now
	c.exit.idle.Put(c)
	c.exit.loop.At(&c.timer, c.exit.keeper.IdleUntil(now), c.onTimer)
}

func (c *conn) Closed(now eventloop.Nanos, err error) {
	if c.gone {
		return
	}
	if c.settles != nil {
		c.watchLost(now)
		return
	}
	if !c.ready {
		c.exit.log.Debug("server not reached", "server", c.server.name, "err", err)
	}
	c.ended(now, false)
}

// ---- What the dispatcher asks of an attempt.

// End implements dispatch.Attempt. Ending the sending on a connection, or closing it, is how a server learns that an attempt is given up.
func (c *conn) End(now eventloop.Nanos) bool {
	req := c.request
	if req == nil {
		return false
	}
	written, parting := c.effect.MayHaveArrived(), c.effect.Parting(c.answered, req.Streaming())
	c.abandon()
	c.request = nil
	srv, sent, wired := c.server, c.sentAt, c.ready
	var s *settlement
	if parting == inflight.WatchForEnd {
		s = c.exit.settlement(req)
	}
	if s != nil {
		c.watch(now, s)
	} else {
		c.conn.Close()
		c.leave()
	}
	if wired && serverconn.CloseIdle(sent, srv.heardAt) {
		srv.closeIdle()
	}
	return written
}

// leftBehind takes down that an attempt was lost with its connection: its server may work on it.
func (c *conn) leftBehind(now eventloop.Nanos, req *dispatch.Request) {
	if s := c.exit.settlement(req); s != nil {
		s.account.GivenUp(now, now+c.exit.longestWait, false)
		s.actSoon(now)
	}
}

// Ended implements dispatch.Attempt.
func (c *conn) Ended(eventloop.Nanos) {}

// Credit implements dispatch.Attempt.
func (c *conn) Credit(int) {
	if !c.gone {
		c.conn.Pause(false)
	}
}

// Stage implements dispatch.Attempt.
func (c *conn) Stage() inflight.Stage { return c.effect.Stage() }

// ServerHeard implements dispatch.Attempt.
func (c *conn) ServerHeard() bool {
	return c.effect.Stage() >= inflight.Writing && c.server.heardAt > c.sentAt
}
