package node

import (
	"bytes"
	"net/netip"
	"strings"

	"docksail/internal/eventloop"
)

// scriptedServer is a model server or the discovery of a harness. It responds to requests with response or respond; if
// neither is set, the test accepts its connections and responds on them.
type scriptedServer struct {
	h         *harness
	addr      netip.AddrPort
	loop      *eventloop.Loop
	listener  *eventloop.Listener
	newConns  []*scriptedConn          // connections that the test has not accepted yet
	connCount int                      // connections that the listener has accepted
	response  string                   // to every attempt
	respond   func(r *scriptedRequest) // called on the loop for every attempt, instead of response
	requests  []*scriptedRequest       // that the server has responded to, including releases
}

// scriptedRequest is a request to which a scripted server responds.
type scriptedRequest struct {
	conn       *scriptedConn
	line       string // request line
	head       string // including the request line
	ordinal    int    // among the server's attempts, from 1
	receivedAt int64  // as harness.now returns it
}

// isRelease reports whether the request is a release, not an attempt.
func (r *scriptedRequest) isRelease() bool { return strings.HasPrefix(r.line, "DELETE ") }

// field returns the value of a header field.
func (r *scriptedRequest) field(name string) string {
	_, rest, _ := strings.Cut(r.head, name+":")
	value, _, _ := strings.Cut(rest, "\r\n")
	return strings.TrimSpace(value)
}

// write writes a piece of the response. It must be called on the loop.
func (r *scriptedRequest) write(text string) { r.conn.socket.Write([]byte(text)) }

// closeAfterFlush closes the connection once the response is written. It must be called on the loop.
func (r *scriptedRequest) closeAfterFlush() { r.conn.socket.CloseAfterFlush() }

// handleRequest responds to one request.
func (s *scriptedServer) handleRequest(c *scriptedConn, head string) {
	line, _, _ := strings.Cut(head, "\r\n")
	r := &scriptedRequest{conn: c, line: line, head: head, receivedAt: s.h.now()}
	s.requests = append(s.requests, r)
	r.ordinal = s.attemptCount()
	switch {
	case r.isRelease():
		r.write(releaseResponse)
	case s.respond != nil:
		s.respond(r)
	default:
		r.write(s.response)
	}
}

// attempts returns how many attempts the server has responded to.
func (s *scriptedServer) attempts() (count int) {
	s.h.onLoop(func() { count = s.attemptCount() })
	return count
}

// attemptCount returns how many attempts the server has responded to. It must be called on the loop.
func (s *scriptedServer) attemptCount() int {
	count := 0
	for _, r := range s.requests {
		if !r.isRelease() {
			count++
		}
	}
	return count
}

// releases returns the releases that the server has responded to.
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

// firstAttemptAt waits for the first attempt and returns when it was received.
func (s *scriptedServer) firstAttemptAt() (at int64) {
	s.h.t.Helper()
	s.h.waitUntil("an attempt", func() bool {
		for _, r := range s.requests {
			if !r.isRelease() {
				at = r.receivedAt
				return true
			}
		}
		return false
	})
	return at
}

// stopListening closes the listener, so that connections are refused.
func (s *scriptedServer) stopListening() { s.h.onLoop(s.listener.Close) }

// partition starts or ends a network partition between the dispatcher and the server.
func (s *scriptedServer) partition(partitioned bool) {
	s.h.network.SetPartitioned(s.h.loop, s.loop, partitioned)
}

// accept waits for the next connection and returns it.
func (s *scriptedServer) accept() (c *scriptedConn) {
	s.h.t.Helper()
	s.h.waitUntil("a connection", func() bool {
		if len(s.newConns) == 0 {
			return false
		}
		c, s.newConns = s.newConns[0], s.newConns[1:]
		return true
	})
	return c
}

// hasNoNewConns reports whether the test has accepted all connections.
func (s *scriptedServer) hasNoNewConns() (none bool) {
	s.h.onLoop(func() { none = len(s.newConns) == 0 })
	return none
}

// expectNoRequest fails the test if a request is received on a connection that the test has not accepted. On the
// simulated network it waits for noRequestWait first.
func (s *scriptedServer) expectNoRequest() {
	s.h.t.Helper()
	s.expectNoInputWith("")
}

// expectNoAttempt is expectNoRequest for attempts only.
func (s *scriptedServer) expectNoAttempt() {
	s.h.t.Helper()
	s.expectNoInputWith("POST ")
}

// expectNoInputWith is expectNoRequest for input that contains a text.
func (s *scriptedServer) expectNoInputWith(text string) {
	s.h.t.Helper()
	if s.h.network != nil {
		s.h.advance(noRequestWait)
	}
	s.h.onLoop(func() {
		for _, c := range s.newConns {
			if len(c.input) > 0 && bytes.Contains(c.input, []byte(text)) {
				s.h.t.Errorf("server at %v got %q, want nothing", s.addr, c.input)
			}
		}
	})
}
