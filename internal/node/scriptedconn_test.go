package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"docksail/internal/eventloop"
)

// scriptedConn is one connection of a scripted server or client.
type scriptedConn struct {
	h          *harness
	server     *scriptedServer // nil for a client
	loop       *eventloop.Loop
	socket     *eventloop.Conn
	input      []byte // that the test has not read yet
	opened     bool
	peerClosed bool // the dispatcher sends no more
}

// Opened implements eventloop.Handler.
func (c *scriptedConn) Opened(eventloop.Nanos) {
	c.opened = true
	c.record("opened", "")
}

// Received implements eventloop.Handler.
func (c *scriptedConn) Received(_ eventloop.Nanos, p []byte) {
	c.record("received", string(p))
	c.input = append(c.input, p...)
	if c.server != nil && (c.server.response != "" || c.server.respond != nil) {
		c.respond()
	}
}

// PeerHalfClosed implements eventloop.Handler.
func (c *scriptedConn) PeerHalfClosed(eventloop.Nanos) {
	c.peerClosed = true
	c.record("half-closed", "")
}

// OutputFlushed implements eventloop.Handler.
func (c *scriptedConn) OutputFlushed(eventloop.Nanos) {}

// Closed implements eventloop.Handler.
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

// respond has the server respond to the complete requests of the input.
func (c *scriptedConn) respond() {
	for {
		head, rest, complete := bytes.Cut(c.input, []byte("\r\n\r\n"))
		hasBody := bytes.Contains(head, []byte("Content-Length: "))
		if !complete || hasBody && len(rest) < len(requestBody) {
			return
		}
		if hasBody {
			rest = rest[len(requestBody):]
		}
		c.input = rest
		c.server.handleRequest(c, string(head))
	}
}

// send sends a text.
func (c *scriptedConn) send(text string) {
	c.loop.Post(func() { c.socket.Write([]byte(text)) })
}

// sendSlowly sends one piece each interval for as long as the connection is open.
func (c *scriptedConn) sendSlowly(pieces []string, interval time.Duration) {
	for _, piece := range pieces {
		if !c.isOpen() {
			return
		}
		c.send(piece)
		c.h.advance(interval)
	}
}

// close closes the connection.
func (c *scriptedConn) close() { c.loop.Post(func() { c.socket.Close() }) }

// isOpen reports whether the dispatcher has not closed the connection.
func (c *scriptedConn) isOpen() (open bool) {
	c.h.onLoop(func() { open = !c.peerClosed })
	return open
}

// waitForClose waits until the dispatcher has closed the connection.
func (c *scriptedConn) waitForClose() {
	c.h.t.Helper()
	c.h.waitUntil("the connection ends", func() bool { return c.peerClosed })
}

// expect waits for a text and returns the input up to its end, which it removes. The test fails if the connection ends
// before.
func (c *scriptedConn) expect(text string) (got string) {
	c.h.t.Helper()
	closed := false
	c.h.waitUntil("want "+text, func() bool {
		before, after, found := bytes.Cut(c.input, []byte(text))
		if found {
			got, c.input = string(before)+text, after
		}
		closed = c.peerClosed
		return found || closed
	})
	if !strings.HasSuffix(got, text) {
		c.h.t.Fatalf("the connection ended, want %q", text)
	}
	return got
}

// expectSoon is expect for what was sent before: on the simulated network it may take no longer than the transit.
func (c *scriptedConn) expectSoon(text string) {
	c.h.t.Helper()
	began := c.h.now()
	c.expect(text)
	if took := c.h.elapsedSince(began); c.h.network != nil && took > 4*transitTime {
		c.h.t.Errorf("%q came after %v", text, took)
	}
}

// expectStatus waits for the status line of a response and checks its status.
func (c *scriptedConn) expectStatus(status int) {
	c.h.t.Helper()
	if line := c.expect("\r\n"); !strings.Contains(line, fmt.Sprintf(" %d ", status)) {
		c.h.t.Errorf("the client got %q, want %d", line, status)
	}
}

// expectNoAttempt fails the test if an attempt has come on the connection.
func (c *scriptedConn) expectNoAttempt() {
	c.h.t.Helper()
	c.h.onLoop(func() {
		if bytes.Contains(c.input, []byte("POST ")) {
			c.h.t.Errorf("there came %q", c.input)
		}
	})
}

// expectNoInput fails the test if anything has come that it has not read.
func (c *scriptedConn) expectNoInput() {
	c.h.t.Helper()
	c.h.onLoop(func() {
		if len(c.input) > 0 {
			c.h.t.Errorf("there came %q", c.input)
		}
	})
}

// readRequest waits for a request with its body and returns its request line.
func (c *scriptedConn) readRequest() string {
	c.h.t.Helper()
	head := c.expect("\r\n\r\n")
	if strings.Contains(head, "Content-Length: ") {
		c.expect(requestBody)
	}
	line, _, _ := strings.Cut(head, "\r\n")
	return line
}

// clientResponse is what a client has received: a response with its body as far as it came, and how it ended.
type clientResponse struct {
	*http.Response
	body string
	err  error
}

// exchange sends a request and waits for the response, or for the end of the connection.
func (c *scriptedConn) exchange(text string) clientResponse {
	c.h.t.Helper()
	c.send(text)
	return c.readResponse()
}

// readResponse waits for a response, or for the end of the connection.
func (c *scriptedConn) readResponse() (got clientResponse) {
	c.h.t.Helper()
	c.h.waitUntil("a response", func() bool {
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

// expectServed sends the n-th request, which must be served.
func (c *scriptedConn) expectServed(n int) {
	c.h.t.Helper()
	got := c.exchange(request(requestID(n)))
	if got.StatusCode != http.StatusOK || got.body != streamBody || got.err != nil {
		c.h.t.Fatalf("request %d: %d %q, %v", n, got.StatusCode, got.body, got.err)
	}
}
