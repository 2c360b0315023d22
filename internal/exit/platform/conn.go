package platform

import (
	"bytes"
	"encoding/json"
	"math/bits"
	"slices"
	"strconv"

	"docksail/internal/decide/pool"
	"docksail/internal/dispatch"
	"docksail/internal/enlist"
	"docksail/internal/h1"
	"docksail/internal/loop"
	"docksail/policy"
)

// conn is one connection to a host. It carries a launch, a release, or nothing.
type conn struct {
	x       *Exit
	h       *host
	lc      *loop.Conn
	dec     h1.Decoder
	feed    h1.Feeder
	number  uint64
	ready   bool
	idle    bool
	gone    bool
	since   loop.Nanos // idle since then
	place   int
	used    int // how often
	timer   loop.Timer
	onTimer func(loop.Nanos)

	j       *dispatch.Job
	r       *release
	sent    loop.Nanos // what it carries was written then
	written bool       // to its last byte
	heard   bool       // something came back
	headed  bool       // its answer's head has come
	stream  bool       // which is that of a stream
	events  int        // pieces of it
	first   []byte     // what has come of a stream's first event
	load    policy.Load
}

// restedFor gives the place of a time at rest in the counts.
func restedFor(span int64) int { return min(bits.Len64(uint64(span>>24)), len(Counts{}.Rested)-1) }

// retire closes a connection that carries nothing.
func (c *conn) retire() {
	c.x.Counts.Retired++
	c.idle = false
	c.x.idle.Take(c)
	c.lc.Close()
	c.leave()
}

// leave takes the connection off its host, at once: it must not be counted or chosen any more.
func (c *conn) leave() {
	if c.gone {
		return
	}
	c.gone = true
	c.x.l.Cancel(&c.timer)
	c.x.idle.Take(c)
	c.x.n--
	if i := slices.Index(c.h.conns, c); i >= 0 {
		c.h.conns = slices.Delete(c.h.conns, i, i+1)
	}
	c.x.forgetGone(c.h)
}

// due closes it when it has stood idle for long enough. If it carries a launch that is to take a state, and no sign has
// come that the host got it, the state is let go of meanwhile: a launch that waits for it at its writer keeps it all the same.
func (c *conn) due(now loop.Nanos) {
	switch {
	case c.idle:
		c.retire()
	case c.j != nil && !c.Reached():
		c.x.Counts.Freed++
		c.x.d.Free(now, c.j)
	}
}

func (c *conn) begin(now loop.Nanos) {
	c.dec = h1.NewClient(h1.Limits{Head: headMost, Body: 0, Chunk: chunkMost})
	c.used++
	if c.used > 1 {
		c.x.Counts.Rested[restedFor(now-c.since)]++
	}
	c.heard = false
	c.sent, c.written, c.headed, c.stream, c.first, c.load, c.events = now, false, false, false, c.first[:0], policy.NoLoad, 0
}

// writeLaunch writes the job's request as its client sent it.
func (c *conn) writeLaunch(now loop.Nanos) {
	j := c.j
	c.begin(now)
	b := append(c.x.scratch[:0], "POST "...)
	b = append(append(b, j.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.h.name...), "\r\nContent-Type: application/json\r\nX-Txn: "...)
	b = append(append(b, j.Named...), "\r\n"...)
	b = append(append(b, j.Fields...), "X-Remaining: "...)
	ms := (j.TimeLeft(now) + 1e6 - 1) / 1e6
	b = strconv.AppendInt(b, ms/1000, 10)
	b = append(b, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(j.Raw)), 10)
	b = append(append(b, "\r\n\r\n"...), j.Raw...)
	c.x.scratch = b
	c.lc.Write(b)
	if _, held := j.Held(); held && !c.Reached() {
		c.x.l.At(&c.timer, max(c.x.keeper.Free(j.ReadAt), now+1), c.onTimer)
	}
}

func (c *conn) writeRelease() {
	c.begin(c.x.l.Now())
	b := append(c.x.scratch[:0], "DELETE /state/"...)
	b = append(append(b, c.r.name...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.h.name...), "\r\n\r\n"...)
	c.x.scratch = b
	c.lc.Write(b)
}

// ---- What the loop tells.

func (c *conn) Opened(now loop.Nanos) {
	c.ready = true
	c.h.heard = now
	switch {
	case c.j != nil && now >= c.j.Before: // it took too long to come up
		j := c.j
		c.j = nil
		c.lc.Close()
		c.leave()
		c.x.d.Finish(now, j, policy.NotSent, "", policy.NoLoad)
	case c.j != nil:
		c.writeLaunch(now)
	case c.r != nil:
		c.writeRelease()
	default:
		c.lc.Close()
	}
}

func (c *conn) Drained(loop.Nanos) { c.written = true }

func (c *conn) PeerDone(now loop.Nanos) {
	if piece, err := c.dec.End(); err == nil && piece == h1.Whole && c.headed {
		c.answered(now, false)
		return
	}
	c.lc.Close()
}

func (c *conn) Data(now loop.Nanos, p []byte) {
	c.h.heard = now
	if c.j == nil && c.r == nil { // nobody asked for that
		c.x.Counts.Extra++
		c.lc.Close()
		c.leave()
		return
	}
	c.heard = true
	c.feed.Feed(p, func(p []byte) int { return c.take(now, p) })
}

// take takes the answer apart.
func (c *conn) take(now loop.Nanos, p []byte) (n int) {
	for !c.gone && (c.j != nil || c.r != nil) {
		piece, data, k, err := c.dec.Next(p[n:])
		n += k
		switch {
		case err != nil:
			c.spoilt(now, err)
			return len(p)
		case piece == h1.None:
			return n
		case piece == h1.Start:
			c.start()
		case piece == h1.Data && c.stream:
			c.event(now, data)
		case piece == h1.Data && c.j != nil && c.j.Reads && len(c.first)+len(data) <= foundMost:
			c.first = append(c.first, data...)
		case piece == h1.Whole:
			c.answered(now, n == len(p))
			return len(p)
		}
	}
	return len(p)
}

// start reads the head of an answer.
func (c *conn) start() {
	h := &c.dec.Head
	c.headed = true
	c.stream = c.j != nil && !c.j.Reads && h.Status == 200 && h.Chunked
	if v := h.Get("x-pressure"); v != nil {
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
			enlist.Report(&load, name, x)
		}
	}
	c.load = load
	c.h.load, c.h.loadAt = load, c.x.l.Now()
	c.x.Counts.Reports++
}

var loadLine = []byte(": X-Pressure: ")

// event passes on a piece of a stream; the first is held until an event is whole, as a stream that is spoilt before is
// a launch that failed.
func (c *conn) event(now loop.Nanos, data []byte) {
	if i := bytes.Index(data, loadLine); i == 0 || i > 0 && data[i-1] == '\n' {
		line, _, _ := bytes.Cut(data[i+len(loadLine):], []byte{'\n'})
		c.report(bytes.TrimSpace(line))
	}
	c.events++
	if !c.j.Begun() {
		c.first = append(c.first, data...)
		if !bytes.Contains(c.first, []byte("\n\n")) && !bytes.Contains(c.first, []byte("\r\n\r\n")) {
			if len(c.first) > chunkMost {
				c.spoilt(now, h1.ErrTooLarge)
			}
			return
		}
		if !bytes.Contains(c.first, []byte("data:")) {
			c.spoilt(now, h1.ErrBad)
			return
		}
		data = c.first
	}
	if c.x.d.Tokens(now, c.j, data, len(data)) && !c.gone {
		c.lc.Pause(true)
	}
}

// spoilt ends a launch or release whose answer cannot be read.
func (c *conn) spoilt(now loop.Nanos, err error) {
	c.x.Counts.Spoilt++
	c.x.log.Info("answer spoilt", "host", c.h.name, "begun", c.j != nil && c.j.Begun(), "after", now-c.sent, "events", c.events, "err", err)
	c.ended(now, true)
}

// ended tells what carried on the connection that it is of no more use: spoilt by what came on it, or lost.
func (c *conn) ended(now loop.Nanos, spoilt bool) {
	j, r := c.j, c.r
	c.j, c.r = nil, nil
	c.lc.Close()
	c.leave()
	switch {
	case j != nil:
		how := policy.Broken
		switch {
		case spoilt:
		case c.x.keeper.Lapsed(c.used, c.written, c.heard, now-c.sent):
			how = policy.StaleConnection
			c.x.Counts.Lapsed++
			c.x.Counts.LapsedAt[restedFor(c.sent-c.since)]++
		case !c.written:
			how = policy.Unreachable
		}
		if !spoilt && how != policy.StaleConnection {
			c.x.log.Info("launch lost with its connection", "host", c.h.name, "ready", c.ready, "written", c.written, "begun", j.Begun(),
				"after", now-c.sent, "rested", c.sent-c.since, "used", c.used)
		}
		c.x.d.Finish(now, j, how, "", c.load)
		c.x.l.Again()
	case r != nil:
		r.on = nil
		r.try(now)
	}
}

// answered deals with an answer that has come whole; clean tells that nothing came behind it.
func (c *conn) answered(now loop.Nanos, clean bool) {
	j, r := c.j, c.r
	h := &c.dec.Head
	status, turned, begun := h.Status, h.Get("x-turned-away") != nil, j != nil && j.Begun()
	c.j, c.r = nil, nil
	if clean && c.written && !h.Close {
		c.rest(now)
	} else {
		if !clean {
			c.x.Counts.Extra++
		}
		c.lc.Close()
		c.leave()
	}
	if r != nil {
		r.done(now)
		return
	}
	how := policy.Failed
	switch {
	case c.stream && begun:
		how = policy.Served
	case c.stream: // it ended before its first event
		how = policy.Broken
	case status == 202 && j.Reads:
		how = policy.Read
		c.found(j)
	case status == 410 && turned && !j.Reads:
		how = policy.Stateless
	case (status == 503 || status == 504) && turned:
		how = policy.Rejected
	case status == 400 || status == 404:
		c.x.log.Warn("host cannot use a request", "host", c.h.name, "status", status)
		c.x.d.Unusable(now, j, "the host cannot use the request")
		return
	}
	c.x.d.Finish(now, j, how, "", c.load)
}

// found takes down how much of a prompt the host had kept, if the answer to its read tells.
func (c *conn) found(j *dispatch.Job) {
	var told struct {
		Cached *int64 `json:"cached_tokens"`
	}
	g := j.Given()
	if json.Unmarshal(c.first, &told) != nil || told.Cached == nil || *told.Cached < 0 || *told.Cached > g.Prompt {
		return
	}
	c.x.Counts.Kept.read(g.Prompt, g.Shared, j.Kept, *told.Cached)
	if c.x.traces {
		c.x.log.Debug("read", "job", string(j.Named), "host", c.h.name, "prefix", g.Prefix, "session", g.Session, "prompt", g.Prompt, "shared", g.Shared,
			"expected", j.Kept, "found", *told.Cached)
	}
}

// rest keeps the connection for the next request.
func (c *conn) rest(now loop.Nanos) {
	if c.h.health == policy.Gone {
		c.retire()
		return
	}
	c.lc.Pause(false) // it may have been held back for its last client
	c.idle, c.since = true, now
	c.x.idle.Put(c)
	c.x.l.At(&c.timer, c.x.keeper.Until(now), c.onTimer)
}

func (c *conn) Closed(now loop.Nanos, err error) {
	if c.gone {
		return
	}
	if !c.ready {
		c.x.log.Debug("host not reached", "host", c.h.name, "err", err)
	}
	c.ended(now, false)
}

// ---- What the dispatcher asks of a launch.

// End implements dispatch.Sent: closing the connection is how a host learns that a launch is given up.
func (c *conn) End(loop.Nanos) bool {
	if c.j == nil {
		return false
	}
	c.j = nil
	c.lc.Close()
	wired := c.ready
	h, sent := c.h, c.sent
	c.leave()
	if wired && pool.Distrust(sent, h.heard) {
		h.distrust()
	}
	return wired
}

// Over implements dispatch.Sent.
func (c *conn) Over(loop.Nanos) {}

// Credit implements dispatch.Sent.
func (c *conn) Credit(int) {
	if !c.gone {
		c.lc.Pause(false)
	}
}

// Reached implements dispatch.Sent.
func (c *conn) Reached() bool { return c.ready && pool.Reached(c.used, c.sent, c.h.heard) }

// Stage implements dispatch.Sent.
func (c *conn) Stage() dispatch.Stage {
	if c.ready {
		return dispatch.Wired
	}
	return dispatch.Connecting
}
