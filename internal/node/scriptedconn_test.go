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
	input      []byte // received and not read by the test yet
	opened     bool
	peerClosed bool // the dispatcher has closed the connection or its sending side
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

// respond responds to the complete requests in the input, as the server is scripted.
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

// sendSlowly sends the pieces one by one at an interval for as long as the connection is open.
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
	c.h.waitUntil("the connection to be closed", func() bool { return c.peerClosed })
}

// expect waits for a text in the input, and removes and returns the input up to the end of the text. The test fails if
// the connection ends before that.
func (c *scriptedConn) expect(text string) (got string) {
	c.h.t.Helper()
	closed := false
	c.h.waitUntil("the text "+text, func() bool {
		before, after, found := bytes.Cut(c.input, []byte(text))
		if found {
			got, c.input = string(before)+text, after
		}
		closed = c.peerClosed
		return found || closed
	})
	if !strings.HasSuffix(got, text) {
		c.h.t.Fatalf("the connection ended before %q was received", text)
	}
	return got
}

// expectSoon is expect for a text that has been sent already. On the simulated network the test fails if the text
// takes longer than the latency explains.
func (c *scriptedConn) expectSoon(text string) {
	c.h.t.Helper()
	start := c.h.now()
	c.expect(text)
	if took := c.h.elapsedSince(start); c.h.network != nil && took > 4*networkLatency {
		c.h.t.Errorf("received %q after %v", text, took)
	}
}

// expectStatus waits for the status line of a response and checks its status.
func (c *scriptedConn) expectStatus(status int) {
	c.h.t.Helper()
	if line := c.expect("\r\n"); !strings.Contains(line, fmt.Sprintf(" %d ", status)) {
		c.h.t.Errorf("the client got %q, want status %d", line, status)
	}
}

// expectNoAttempt fails the test if an attempt was received on the connection.
func (c *scriptedConn) expectNoAttempt() {
	c.h.t.Helper()
	c.h.onLoop(func() {
		if bytes.Contains(c.input, []byte("POST ")) {
			c.h.t.Errorf("received %q, want no attempt", c.input)
		}
	})
}

// expectNoInput fails the test if there is input that it has not read.
func (c *scriptedConn) expectNoInput() {
	c.h.t.Helper()
	c.h.onLoop(func() {
		if len(c.input) > 0 {
			c.h.t.Errorf("received %q, want nothing", c.input)
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

// clientResponse is the response that a client has received. If err is set, it is incomplete or invalid.
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
		input := bytes.NewReader(c.input)
		buffered := bufio.NewReader(input)
		got = clientResponse{}
		if got.Response, got.err = http.ReadResponse(buffered, nil); got.err == nil {
			var body []byte
			body, got.err = io.ReadAll(got.Body)
			got.body = string(body)
		}
		if got.err != nil {
			return c.peerClosed
		}
		c.input = c.input[len(c.input)-input.Len()-buffered.Buffered():]
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
		c.h.t.Fatalf("request %d: got status %d, body %q, error %v; want it served", n, got.StatusCode, got.body, got.err)
	}
}
