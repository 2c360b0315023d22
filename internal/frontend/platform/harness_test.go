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

	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// fakeDispatcher accepts every request unless onSubmit returns an error. The test or onSubmit answers the requests. It
// must be used on the loop's goroutine only.
type fakeDispatcher struct {
	writers     []frontend.ResponseWriter // of the submitted requests, in that order
	disconnects int                       // clients that disconnected with a request in flight
	onSubmit    func(id policy.RequestID, w frontend.ResponseWriter, r *frontend.Request) error
}

// Submit implements frontend.Dispatcher.
func (d *fakeDispatcher) Submit(
	_ eventloop.Nanos, w frontend.ResponseWriter, r *frontend.Request,
) (policy.RequestID, error) {
	d.writers = append(d.writers, w)
	id := policy.RequestID(len(d.writers))
	if d.onSubmit != nil {
		if err := d.onSubmit(id, w, r); err != nil {
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

// testServer is a Server on its own loop, with a fake dispatcher.
type testServer struct {
	t          *testing.T
	loop       *eventloop.Loop
	server     *Server
	dispatcher *fakeDispatcher
	addr       netip.AddrPort
}

// startServer starts a server that accepts at most maxConns connections.
func startServer(t *testing.T, maxConns int) *testServer {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, loop: loop, dispatcher: &fakeDispatcher{}}
	limits := Limits{Connections: maxConns, Memory: memory.New(64 << 20)}
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

// runOnLoop calls f on the loop's goroutine and waits until it has returned.
func (s *testServer) runOnLoop(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// waitUntil waits until a condition holds, which it evaluates on the loop. It fails the test after 10 s.
func (s *testServer) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		var ok bool
		if s.runOnLoop(func() { ok = condition() }); ok {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after 10 s waiting until %s", what)
		}
	}
}

// dial returns a new client connection to the server.
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

// exchange sends input and returns what receive returns then.
func exchange(t *testing.T, c net.Conn, input string) string {
	t.Helper()
	send(t, c, input)
	return receive(t, c, 500*time.Millisecond)
}

// receive returns the text that arrives until the connection ends or nothing arrives for silenceTimeout. It appends
// <end>, <reset> or, if the connection is still open, <open>.
func receive(t *testing.T, c net.Conn, silenceTimeout time.Duration) string {
	t.Helper()
	var out strings.Builder
	p := make([]byte, 64<<10)
	for {
		if err := c.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
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

// completionRequest returns a completion request of a session with a body and further header lines.
func completionRequest(session, body string, lines ...string) string {
	head := "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 00000000000000aa\r\nX-Lane: chat\r\n" +
		"X-Remaining: 5\r\nX-Entity: " + session + "\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// getRequest returns a GET request with further header lines.
func getRequest(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\n"
}
