package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
)

// overfill answers the first request of a connection with a stream that the client's socket cannot take completely, and
// returns the stream's length.
func (s *testServer) overfill(c net.Conn, lines ...string) (length int) {
	s.t.Helper()
	send(s.t, c, completionRequest("", validBody, lines...))
	s.until("the request is submitted", func() bool { return len(s.dispatcher.writers) == 1 })
	piece := make([]byte, 60<<10)
	writer := s.dispatcher.writers[0]
	for queued := 0; queued == 0; {
		s.do(func() { writer.WriteTokens(1, piece) })
		length += len(piece)
		s.do(func() { queued = writer.(*conn).transport.QueuedBytes() })
	}
	s.do(func() { writer.Complete(1) })
	return length
}

// streamLength reads a stream to its end and returns its length.
func streamLength(t *testing.T, c net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("the stream was truncated: %v", err)
	}
	return len(b)
}

// TestSlowClientGetsLastAnswer checks that a client which is slow to read its connection's last response gets it
// completely.
func TestSlowClientGetsLastAnswer(t *testing.T) {
	s := startServer(t, 10)
	c := s.dial()
	length := s.overfill(c, "Connection: close")
	serverConn := s.dispatcher.writers[0].(*conn)
	s.until("the connection has lingered", func() bool {
		deadline := clientconn.StateDeadline(clientconn.StateLingering, serverConn.lifecycle.stateSince)
		return serverConn.closed || s.loop.Now() > deadline+100e6
	})
	if got := streamLength(t, c); got != length {
		t.Errorf("got %d bytes, want %d", got, length)
	}
	c.Close()
	s.until("the connection is closed", func() bool { return s.server.ConnCount() == 0 })
}

// TestEvictionSparesUnreadResponse checks that an idle connection whose client has not read its response yet is not
// closed for a new connection.
func TestEvictionSparesUnreadResponse(t *testing.T) {
	s := startServer(t, 1)
	c := s.dial()
	length := s.overfill(c)
	other := s.dial()
	if b, _ := io.ReadAll(other); len(b) > 0 {
		t.Errorf("the new client got %q", b)
	}
	if got := streamLength(t, c); got != length {
		t.Errorf("got %d bytes, want %d", got, length)
	}
}

// TestRequestAsFirstByteTimeoutExpires checks that a connection is not closed for silence over a request that arrives
// at that moment.
func TestRequestAsFirstByteTimeoutExpires(t *testing.T) {
	s := startServer(t, 10)
	c := s.dial()
	s.until("it is connected", func() bool { return s.server.ConnCount() == 1 })
	s.do(func() {
		var timer eventloop.Timer // fires in the same iteration, before the connection's own
		silent := s.server.incomplete.Min()
		deadline := clientconn.StateDeadline(clientconn.StateNew, silent.lifecycle.stateSince)
		s.loop.SetTimer(&timer, deadline-1, func(eventloop.Nanos) {
			if _, err := io.WriteString(c, completionRequest("", validBody)); err != nil {
				t.Error(err)
			}
		})
	})
	submitted := 0
	s.until("the request is submitted", func() bool {
		submitted = len(s.dispatcher.writers)
		return submitted == 1 || s.server.ConnCount() == 0
	})
	if submitted != 1 {
		t.Error("the connection was closed over it")
	}
}

// TestAgeOfPipelinedRequest checks that the time of a request which waits behind another runs from its arrival.
func TestAgeOfPipelinedRequest(t *testing.T) {
	s := startServer(t, 10)
	c := s.dial()
	send(t, c, completionRequest("", validBody))
	s.until("the first is submitted", func() bool { return len(s.dispatcher.writers) == 1 })
	send(t, c, strings.Replace(completionRequest("", validBody), "00aa", "00bb", 1))
	first := s.dispatcher.writers[0].(*conn)
	s.until("the second is read", func() bool { return first.pipelinedBytes() > 0 })
	var arrival, now eventloop.Nanos
	s.do(func() { arrival = s.loop.Now() })
	s.until("50 ms have passed", func() bool { now = s.loop.Now(); return now > arrival+50e6 })
	s.do(func() { first.Reject(1, frontend.RejectionError{}) })
	s.until("the second is submitted", func() bool { return len(s.dispatcher.writers) == 2 })
	if left := s.server.request.FirstTokenTimeout; left > int64(5e9)-50e6 {
		t.Errorf("%d ms left of 5 s after 50 ms", left/1e6)
	}
}
