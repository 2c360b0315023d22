package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// fakeDispatcher takes every request. The test, or the play of a request, answers it. It belongs to the loop.
type fakeDispatcher struct {
	writers      []frontend.ResponseWriter // of the requests that were submitted
	disconnects  int                       // clients that left a request in flight
	onSubmission func(id policy.RequestID, w frontend.ResponseWriter, r *frontend.Request) error
}

// Submit implements frontend.Dispatcher.
func (d *fakeDispatcher) Submit(
	_ eventloop.Nanos, w frontend.ResponseWriter, r *frontend.Request,
) (policy.RequestID, error) {
	d.writers = append(d.writers, w)
	id := policy.RequestID(len(d.writers))
	if d.onSubmission != nil {
		if err := d.onSubmission(id, w, r); err != nil {
			return 0, err
		}
	}
	return id, nil
}

// ClientDisconnected implements frontend.Dispatcher.
func (d *fakeDispatcher) ClientDisconnected(eventloop.Nanos, policy.RequestID) { d.disconnects++ }

// ClientWritable implements frontend.Dispatcher.
func (*fakeDispatcher) ClientWritable(eventloop.Nanos, policy.RequestID) {}

// RequestName implements frontend.Dispatcher.
func (*fakeDispatcher) RequestName(policy.RequestID) string { return "" }

// testServer is a Server on a loop of its own, with a dispatcher that the test plays.
type testServer struct {
	t          *testing.T
	loop       *eventloop.Loop
	server     *Server
	dispatcher *fakeDispatcher
	addr       netip.AddrPort
}

// startServer starts a server for at most maxConns connections.
func startServer(t *testing.T, maxConns int) *testServer {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, loop: loop, dispatcher: &fakeDispatcher{}}
	limits := Limits{Connections: maxConns, PartialRequestBytes: 1 << 20}
	s.server = New(loop, s.dispatcher, limits, func() bool { return true })
	if s.addr, err = s.server.Listen(netip.MustParseAddrPort("127.0.0.1:0"), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- loop.Run(nil) }()
	t.Cleanup(func() {
		loop.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		loop.Close()
	})
	return s
}

// do runs a call on the loop and waits for it.
func (s *testServer) do(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// until waits until a condition, which is evaluated on the loop, holds.
func (s *testServer) until(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		var ok bool
		if s.do(func() { ok = condition() }); ok {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// dial connects a client.
func (s *testServer) dial() *net.TCPConn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr.String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// send writes text to a connection.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// exchange sends input and returns what comes back until the server ends the connection or says nothing for a while.
func exchange(t *testing.T, c net.Conn, input string) string {
	t.Helper()
	send(t, c, input)
	return receive(t, c, 500*time.Millisecond)
}

// receive returns what comes until the connection ends, or until nothing has come for so long. How it ended stands
// behind that.
func receive(t *testing.T, c net.Conn, quiet time.Duration) string {
	t.Helper()
	var out strings.Builder
	p := make([]byte, 64<<10)
	for {
		if err := c.SetReadDeadline(time.Now().Add(quiet)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Read(p)
		out.Write(p[:n])
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return out.String() + "<open>"
		case errors.Is(err, io.EOF):
			return out.String() + "<end>"
		case err != nil:
			return out.String() + "<reset>"
		}
	}
}

const validBody = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

// completionRequest returns a request of a session with a body and more header lines.
func completionRequest(session, body string, lines ...string) string {
	head := "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 00000000000000aa\r\nX-Lane: chat\r\n" +
		"X-Remaining: 5\r\nX-Entity: " + session + "\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// getRequest returns a GET request with more header lines.
func getRequest(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\n"
}
