package node

import (
	"bufio"
	"bytes"
	"docksail/internal/eventloop"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// The servers and clients of a harness.

// response is what a client got: its status, its body as far as it came, and how that ended.
type response struct {
	*http.Response
	text string
	err  error
}

// ask sends a request on a connection and waits for the answer, or for the end of the connection.
func (c *scriptedConn) ask(text string) (got response) {
	c.h.t.Helper()
	c.send(text)
	return c.response()
}

// response waits for an answer, or for the end of the connection.
func (c *scriptedConn) response() (got response) {
	c.h.t.Helper()
	c.h.until("an answer", func() bool {
		in := bytes.NewReader(c.in)
		buffered := bufio.NewReader(in)
		got = response{}
		if got.Response, got.err = http.ReadResponse(buffered, nil); got.err == nil {
			var b []byte
			b, got.err = io.ReadAll(got.Body)
			got.text = string(b)
		}
		if got.err != nil {
			return c.ended
		}
		c.in = c.in[len(c.in)-in.Len()-buffered.Buffered():]
		return true
	})
	if got.Response == nil {
		got.Response = &http.Response{}
	}
	return got
}

// served asks for something and wants it served.
func (c *scriptedConn) served(n int) {
	c.h.t.Helper()
	if got := c.ask(request(jobName(n))); got.StatusCode != 200 || got.text != answer || got.err != nil {
		c.h.t.Fatalf("request %d: %d %q, %v", n, got.StatusCode, got.text, got.err)
	}
}

// scriptedServer is a scripted server.
type scriptedServer struct {
	h        *harness
	addr     netip.AddrPort
	loop     *eventloop.Loop
	listener *eventloop.Listener
	conns    []*scriptedConn // that nobody has taken yet
	reply    string          // to every request; empty = the test answers
	// answer is asked for each request instead of reply; a release is answered for it.
	answer   func(r *scriptedRequest)
	requests []*scriptedRequest // that were replied to, releases too
	accepted int                // connections
}

// scriptedRequest is a request that a scripted server replies to.
type scriptedRequest struct {
	conn *scriptedConn
	line string
	head string // with its line
	nth  int    // of the server's requests but releases, from 1
	at   int64
}

// isRelease tells that it has the state of a request dropped.
func (r *scriptedRequest) isRelease() bool { return strings.HasPrefix(r.line, "DELETE ") }

// field gives a field of its head.
func (r *scriptedRequest) field(name string) string {
	_, rest, _ := strings.Cut(r.head, name+":")
	value, _, _ := strings.Cut(rest, "\r\n")
	return strings.TrimSpace(value)
}

// say writes a piece of an answer. It belongs to the loop, as answer does.
func (r *scriptedRequest) say(text string) { r.conn.conn.Write([]byte(text)) }

// end closes the connection once all is written, as a server does that answers once a connection.
func (r *scriptedRequest) end() { r.conn.conn.CloseAfterFlush() }

// posts counts the requests but releases that a server has replied to.
func (p *scriptedServer) posts() (count int) {
	p.h.do(func() { count = p.postCount() })
	return count
}

func (p *scriptedServer) postCount() int {
	count := 0
	for _, r := range p.requests {
		if !r.isRelease() {
			count++
		}
	}
	return count
}

// releases gives the releases that came.
func (p *scriptedServer) releases() (found []*scriptedRequest) {
	p.h.do(func() {
		for _, r := range p.requests {
			if r.isRelease() {
				found = append(found, r)
			}
		}
	})
	return found
}

// shut has the server take no connections, as one whose process is gone.
func (p *scriptedServer) shut() { p.h.do(p.listener.Close) }

// accept gives the next connection.
func (p *scriptedServer) accept() (c *scriptedConn) {
	p.h.t.Helper()
	p.h.until("a connection comes", func() bool {
		if len(p.conns) == 0 {
			return false
		}
		c, p.conns = p.conns[0], p.conns[1:]
		return true
	})
	return c
}

// idle tells that no connection waits to be taken.
func (p *scriptedServer) idle() (none bool) {
	p.h.do(func() { none = len(p.conns) == 0 })
	return none
}

// wantNoRequest looks for requests, of which none may come; on the simulated network it waits for them.
func (p *scriptedServer) wantNoRequest() {
	p.h.t.Helper()
	if p.h.world != nil {
		p.h.run(2 * time.Second)
	}
	p.h.do(func() {
		for _, c := range p.conns {
			if len(c.in) > 0 {
				p.h.t.Errorf("%v got %q", p.addr, c.in)
			}
		}
	})
}

// cut stops, or lets pass again, all that is under way between the dispatcher and this peer.
func (p *scriptedServer) cut(yes bool) { p.h.world.SetPartitioned(p.h.loop, p.loop, yes) }

// scriptedConn is one connection of a scripted peer in simulated time.
type scriptedConn struct {
	h      *harness
	server *scriptedServer // nil for a client
	loop   *eventloop.Loop
	conn   *eventloop.Conn
	in     []byte // that came and was not taken yet
	opened bool
	ended  bool // the dispatcher sends no more
}

func (c *scriptedConn) Opened(eventloop.Nanos) {
	c.opened = true
	c.record("opened", "")
}

func (c *scriptedConn) Received(_ eventloop.Nanos, p []byte) {
	c.record("received", string(p))
	c.in = append(c.in, p...)
	if c.server != nil && (c.server.reply != "" || c.server.answer != nil) {
		c.reply()
	}
}

func (c *scriptedConn) PeerHalfClosed(eventloop.Nanos) {
	c.ended = true
	c.record("half-closed", "")
}

func (c *scriptedConn) OutputFlushed(eventloop.Nanos) {}

func (c *scriptedConn) Closed(_ eventloop.Nanos, err error) {
	c.ended = true
	if err != nil {
		c.record("failed", "")
		return
	}
	c.record("closed", "")
}

// record adds an event of the connection to the trace of its harness.
func (c *scriptedConn) record(event, data string) {
	if c.h.trace != nil {
		c.h.trace.add(c.h.now(), c, event, data)
	}
}

// reply answers the requests that have come whole as its peer does.
func (c *scriptedConn) reply() {
	for {
		head, rest, whole := bytes.Cut(c.in, []byte("\r\n\r\n"))
		withBody := bytes.Contains(head, []byte("Content-Length: "))
		if !whole || withBody && len(rest) < len(body) {
			return
		}
		if withBody {
			rest = rest[len(body):]
		}
		c.in = rest
		c.server.replyTo(c, string(head))
	}
}

// replyTo answers one request.
func (p *scriptedServer) replyTo(c *scriptedConn, head string) {
	line, _, _ := strings.Cut(head, "\r\n")
	r := &scriptedRequest{conn: c, line: line, head: head, at: p.h.now()}
	p.requests = append(p.requests, r)
	r.nth = p.postCount()
	switch {
	case r.isRelease():
		r.say(noContent)
	case p.answer != nil:
		p.answer(r)
	default:
		r.say(p.reply)
	}
}

// expect takes what came up to the end of a text, which has to come.
func (c *scriptedConn) expect(text string) (got string) {
	c.h.t.Helper()
	ended := false
	c.h.until("want "+text, func() bool {
		before, after, found := bytes.Cut(c.in, []byte(text))
		if found {
			got, c.in = string(before)+text, after
		}
		ended = c.ended
		return found || ended
	})
	if !strings.HasSuffix(got, text) {
		c.h.t.Fatalf("the connection ended, want %q", text)
	}
	return got
}

// wantNoAttempt looks for attempts, of which none may come on connections that nobody has taken; on the simulated network it waits for them.
func (p *scriptedServer) wantNoAttempt() {
	p.h.t.Helper()
	if p.h.world != nil {
		p.h.run(2 * time.Second)
	}
	p.h.do(func() {
		for _, c := range p.conns {
			if bytes.Contains(c.in, []byte("POST ")) {
				p.h.t.Errorf("%v got %q", p.addr, c.in)
			}
		}
	})
}

// wantNoAttempt looks for an attempt on the connection, of which there may be none.
func (c *scriptedConn) wantNoAttempt() {
	c.h.t.Helper()
	c.h.do(func() {
		if bytes.Contains(c.in, []byte("POST ")) {
			c.h.t.Errorf("there came %q", c.in)
		}
	})
}

// wantNothing looks for bytes that nobody took, of which there may be none.
func (c *scriptedConn) wantNothing() {
	c.h.t.Helper()
	c.h.do(func() {
		if len(c.in) > 0 {
			c.h.t.Errorf("there came %q", c.in)
		}
	})
}

// stands tells that the dispatcher has not ended the connection.
func (c *scriptedConn) stands() (so bool) {
	c.h.do(func() { so = !c.ended })
	return so
}

// request takes one request with its body and gives its request line.
func (c *scriptedConn) request() string {
	c.h.t.Helper()
	head := c.expect("\r\n\r\n")
	if strings.Contains(head, "Content-Length: ") {
		c.expect(body)
	}
	line, _, _ := strings.Cut(head, "\r\n")
	return line
}

// expectSoon is expect for what has been sent already: on the simulated network no time passes but that on the way.
func (c *scriptedConn) expectSoon(text string) {
	c.h.t.Helper()
	began := c.h.now()
	c.expect(text)
	if took := c.h.since(began); c.h.world != nil && took > 4*transitTime {
		c.h.t.Errorf("%q came after %v", text, took)
	}
}

// untilEnd waits until the dispatcher has ended the connection.
func (c *scriptedConn) untilEnd() {
	c.h.t.Helper()
	c.h.until("the connection ends", func() bool { return c.ended })
}

func (c *scriptedConn) send(text string) {
	c.loop.Post(func() { c.conn.Write([]byte(text)) })
}

func (c *scriptedConn) close() { c.loop.Post(func() { c.conn.Close() }) }

// sendSlowly sends pieces, one each interval, for as long as the connection stands.
func (c *scriptedConn) sendSlowly(pieces []string, interval time.Duration) {
	for _, piece := range pieces {
		if !c.stands() {
			return
		}
		c.send(piece)
		c.h.run(interval)
	}
}
