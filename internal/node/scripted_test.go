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

// clientResponse is what a client got: its status, its body as far as it came, and how that ended.
type clientResponse struct {
	*http.Response
	body string
	err  error
}

// exchange sends a request on a connection and waits for the answer, or for the end of the connection.
func (c *scriptedConn) exchange(text string) (got clientResponse) {
	c.h.t.Helper()
	c.send(text)
	return c.readResponse()
}

// readResponse waits for an answer, or for the end of the connection.
func (c *scriptedConn) readResponse() (got clientResponse) {
	c.h.t.Helper()
	c.h.waitUntil("an answer", func() bool {
		in := bytes.NewReader(c.input)
		buffered := bufio.NewReader(in)
		got = clientResponse{}
		if got.Response, got.err = http.ReadResponse(buffered, nil); got.err == nil {
			var b []byte
			b, got.err = io.ReadAll(got.Body)
			got.body = string(b)
		}
		if got.err != nil {
			return c.peerClosed
		}
		c.input = c.input[len(c.input)-in.Len()-buffered.Buffered():]
		return true
	})
	if got.Response == nil {
		got.Response = &http.Response{}
	}
	return got
}

// expectServed asks for something and wants it served.
func (c *scriptedConn) expectServed(n int) {
	c.h.t.Helper()
	if got := c.exchange(request(requestID(n))); got.StatusCode != 200 || got.body != streamBody || got.err != nil {
		c.h.t.Fatalf("request %d: %d %q, %v", n, got.StatusCode, got.body, got.err)
	}
}

// scriptedServer is a scripted server.
type scriptedServer struct {
	h        *harness
	addr     netip.AddrPort
	loop     *eventloop.Loop
	listener *eventloop.Listener
	conns    []*scriptedConn // that nobody has taken yet
	response string          // to every request; empty = the test answers
	// respond is asked for each request instead of reply; a release is answered for it.
	respond       func(r *scriptedRequest)
	requests      []*scriptedRequest // that were replied to, releases too
	acceptedCount int                // connections
}

// scriptedRequest is a request that a scripted server replies to.
type scriptedRequest struct {
	conn   *scriptedConn
	line   string
	head   string // with its line
	number int    // of the server's requests but releases, from 1
	at     int64
}

// isRelease tells that it has the state of a request dropped.
func (r *scriptedRequest) isRelease() bool { return strings.HasPrefix(r.line, "DELETE ") }

// field gives a field of its head.
func (r *scriptedRequest) field(name string) string {
	_, rest, _ := strings.Cut(r.head, name+":")
	value, _, _ := strings.Cut(rest, "\r\n")
	return strings.TrimSpace(value)
}

// write writes a piece of an answer. It belongs to the loop, as answer does.
func (r *scriptedRequest) write(text string) { r.conn.conn.Write([]byte(text)) }

// closeAfterFlush closes the connection once all is written, as a server does that answers once a connection.
func (r *scriptedRequest) closeAfterFlush() { r.conn.conn.CloseAfterFlush() }

// attempts counts the requests but releases that a server has replied to.
func (s *scriptedServer) attempts() (count int) {
	s.h.onLoop(func() { count = s.attemptCount() })
	return count
}

func (s *scriptedServer) attemptCount() int {
	count := 0
	for _, r := range s.requests {
		if !r.isRelease() {
			count++
		}
	}
	return count
}

// releases gives the releases that came.
func (s *scriptedServer) releases() (found []*scriptedRequest) {
	s.h.onLoop(func() {
		for _, r := range s.requests {
			if r.isRelease() {
				found = append(found, r)
			}
		}
	})
	return found
}

// stopListening has the server take no connections, as one whose process is gone.
func (s *scriptedServer) stopListening() { s.h.onLoop(s.listener.Close) }

// accept gives the next connection.
func (s *scriptedServer) accept() (c *scriptedConn) {
	s.h.t.Helper()
	s.h.waitUntil("a connection comes", func() bool {
		if len(s.conns) == 0 {
			return false
		}
		c, s.conns = s.conns[0], s.conns[1:]
		return true
	})
	return c
}

// hasNoNewConns tells that no connection waits to be taken.
func (s *scriptedServer) hasNoNewConns() (none bool) {
	s.h.onLoop(func() { none = len(s.conns) == 0 })
	return none
}

// expectNoRequest looks for requests, of which none may come; on the simulated network it waits for them.
func (s *scriptedServer) expectNoRequest() {
	s.h.t.Helper()
	if s.h.world != nil {
		s.h.advance(2 * time.Second)
	}
	s.h.onLoop(func() {
		for _, c := range s.conns {
			if len(c.input) > 0 {
				s.h.t.Errorf("%v got %q", s.addr, c.input)
			}
		}
	})
}

// partition stops, or lets pass again, all that is under way between the dispatcher and this peer.
func (s *scriptedServer) partition(yes bool) { s.h.world.SetPartitioned(s.h.loop, s.loop, yes) }

// scriptedConn is one connection of a scripted peer in simulated time.
type scriptedConn struct {
	h          *harness
	server     *scriptedServer // nil for a client
	loop       *eventloop.Loop
	conn       *eventloop.Conn
	input      []byte // that came and was not taken yet
	opened     bool
	peerClosed bool // the dispatcher sends no more
}

func (c *scriptedConn) Opened(eventloop.Nanos) {
	c.opened = true
	c.record("opened", "")
}

func (c *scriptedConn) Received(_ eventloop.Nanos, p []byte) {
	c.record("received", string(p))
	c.input = append(c.input, p...)
	if c.server != nil && (c.server.response != "" || c.server.respond != nil) {
		c.respond()
	}
}

func (c *scriptedConn) PeerHalfClosed(eventloop.Nanos) {
	c.peerClosed = true
	c.record("half-closed", "")
}

func (c *scriptedConn) OutputFlushed(eventloop.Nanos) {}

func (c *scriptedConn) Closed(_ eventloop.Nanos, err error) {
	c.peerClosed = true
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

// respond answers the requests that have come whole as its peer does.
func (c *scriptedConn) respond() {
	for {
		head, rest, whole := bytes.Cut(c.input, []byte("\r\n\r\n"))
		withBody := bytes.Contains(head, []byte("Content-Length: "))
		if !whole || withBody && len(rest) < len(requestBody) {
			return
		}
		if withBody {
			rest = rest[len(requestBody):]
		}
		c.input = rest
		c.server.handleRequest(c, string(head))
	}
}

// handleRequest answers one request.
func (s *scriptedServer) handleRequest(c *scriptedConn, head string) {
	line, _, _ := strings.Cut(head, "\r\n")
	r := &scriptedRequest{conn: c, line: line, head: head, at: s.h.now()}
	s.requests = append(s.requests, r)
	r.number = s.attemptCount()
	switch {
	case r.isRelease():
		r.write(releaseResponse)
	case s.respond != nil:
		s.respond(r)
	default:
		r.write(s.response)
	}
}

// expect takes what came up to the end of a text, which has to come.
func (c *scriptedConn) expect(text string) (got string) {
	c.h.t.Helper()
	ended := false
	c.h.waitUntil("want "+text, func() bool {
		before, after, found := bytes.Cut(c.input, []byte(text))
		if found {
			got, c.input = string(before)+text, after
		}
		ended = c.peerClosed
		return found || ended
	})
	if !strings.HasSuffix(got, text) {
		c.h.t.Fatalf("the connection ended, want %q", text)
	}
	return got
}

// expectNoAttempt looks for attempts, of which none may come on connections that nobody has taken; on the simulated network it waits for them.
func (s *scriptedServer) expectNoAttempt() {
	s.h.t.Helper()
	if s.h.world != nil {
		s.h.advance(2 * time.Second)
	}
	s.h.onLoop(func() {
		for _, c := range s.conns {
			if bytes.Contains(c.input, []byte("POST ")) {
				s.h.t.Errorf("%v got %q", s.addr, c.input)
			}
		}
	})
}

// expectNoAttempt looks for an attempt on the connection, of which there may be none.
func (c *scriptedConn) expectNoAttempt() {
	c.h.t.Helper()
	c.h.onLoop(func() {
		if bytes.Contains(c.input, []byte("POST ")) {
			c.h.t.Errorf("there came %q", c.input)
		}
	})
}

// expectNoInput looks for bytes that nobody took, of which there may be none.
func (c *scriptedConn) expectNoInput() {
	c.h.t.Helper()
	c.h.onLoop(func() {
		if len(c.input) > 0 {
			c.h.t.Errorf("there came %q", c.input)
		}
	})
}

// isOpen tells that the dispatcher has not ended the connection.
func (c *scriptedConn) isOpen() (so bool) {
	c.h.onLoop(func() { so = !c.peerClosed })
	return so
}

// readRequest takes one request with its body and gives its request line.
func (c *scriptedConn) readRequest() string {
	c.h.t.Helper()
	head := c.expect("\r\n\r\n")
	if strings.Contains(head, "Content-Length: ") {
		c.expect(requestBody)
	}
	line, _, _ := strings.Cut(head, "\r\n")
	return line
}

// expectSoon is expect for what has been sent already: on the simulated network no time passes but that on the way.
func (c *scriptedConn) expectSoon(text string) {
	c.h.t.Helper()
	began := c.h.now()
	c.expect(text)
	if took := c.h.elapsedSince(began); c.h.world != nil && took > 4*transitTime {
		c.h.t.Errorf("%q came after %v", text, took)
	}
}

// waitForClose waits until the dispatcher has ended the connection.
func (c *scriptedConn) waitForClose() {
	c.h.t.Helper()
	c.h.waitUntil("the connection ends", func() bool { return c.peerClosed })
}

func (c *scriptedConn) send(text string) {
	c.loop.Post(func() { c.conn.Write([]byte(text)) })
}

func (c *scriptedConn) close() { c.loop.Post(func() { c.conn.Close() }) }

// sendSlowly sends pieces, one each interval, for as long as the connection stands.
func (c *scriptedConn) sendSlowly(pieces []string, interval time.Duration) {
	for _, piece := range pieces {
		if !c.isOpen() {
			return
		}
		c.send(piece)
		c.h.advance(interval)
	}
}
