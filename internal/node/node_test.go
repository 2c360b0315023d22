package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// An answer reaches a client that goes on to send a body nobody wants.
func TestLargeBodyIsAnswered(t *testing.T) {
	s := newNetHarness(t)
	s.start(1024)
	c := s.dial()
	io.WriteString(c, request(requestID(1), contentLength, "Content-Length: 60000000"))
	sent := make(chan error, 1)
	go func() { _, err := io.CopyN(c, zeroReader{}, 20e6); sent <- err }()
	if err := <-sent; err != nil {
		t.Fatalf("the body is cut off: %v", err)
	}
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != 413 {
		t.Errorf("%v, %v, want 413", res, err)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// A client that has sent more than is read while its request is in hand, and goes, is gone at once.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	s := newNetHarness(t)
	hung := make(chan bool)
	s.addServer("reader", "prefill", func(net.Conn, *http.Request, int) bool { <-hung; return false })
	s.addServer("writer", "decode", respondDecode)
	s.start(1024)
	defer close(hung)
	c := s.dial()
	io.WriteString(c, request(requestID(1)))
	waitUntil(t, "the read is out", func() bool { return s.attemptsAt("reader") == 1 })
	for range 3 { // more than is read, less than the system holds
		c.Write(make([]byte, 50<<10))
		time.Sleep(20 * time.Millisecond)
	}
	c.(*net.TCPConn).CloseWrite()
	waitUntil(t, "the job is over", func() bool { v, _ := s.node.Status(); return v.Dispatch.ClientDisconnects == 1 && v.Requests == 0 })
}

// A dispatcher told to leave serves who has come and still comes, and ends when nobody is left.
func TestDrain(t *testing.T) {
	s := newNetHarness(t)
	s.addServer("reader", "prefill", respondPrefill)
	let := make(chan bool)
	s.addServer("writer", "decode", func(c net.Conn, r *http.Request, n int) bool { <-let; return respondDecode(c, r, n) })
	s.start(1024)
	resting, busy := s.dial(), s.dial()
	if status, _, _, _ := roundTrip(resting, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Fatalf("ready: %d", status)
	}
	first := make(chan string, 1)
	go func() { _, got, _, _ := roundTrip(busy, request(requestID(1))); first <- got }()
	waitUntil(t, "the job is out", func() bool { return s.attemptsAt("writer") == 1 })
	s.node.Drain()
	waitUntil(t, "it is not ready any more", func() bool {
		status, _, _, _ := roundTrip(s.dial(), "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 503
	})
	waiting := make([]net.Conn, 50) // they lie in the accept queue as the door closes
	for i := range waiting {
		waiting[i] = s.dial()
		io.WriteString(waiting[i], request(requestID(100+i)))
	}
	close(let)
	if got := <-first; got != streamBody {
		t.Errorf("the request in hand: %q", got)
	}
	for i, c := range waiting {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != 200 || !res.Close {
			t.Errorf("client %d: %v, %v", i, res, err)
		}
		c.Close()
	}
	if b, err := io.ReadAll(resting); len(b) > 0 || err != nil {
		t.Errorf("the resting connection: %q, %v", b, err)
	}
	busy.Close()
	select {
	case <-s.node.Done():
	case <-time.After(5 * time.Second):
		t.Error("it has not ended")
	}
}

// Where descriptors are short, clients that say nothing and such as rest give way to those that ask.
func TestDescriptorShortage(t *testing.T) {
	s := newNetHarness(t)
	s.addServer("reader", "prefill", respondPrefill)
	s.addServer("writer", "decode", respondDecode)
	s.start(64)
	for range 200 {
		s.dial()
	}
	for n := range 40 {
		c := s.dial()
		s.expectServed(c, n)
	}
	if v, _ := s.node.Status(); v.Clients > 64 || v.Frontend.ConnectionLimitHits == 0 {
		t.Errorf("%d connections, %d times crowded", v.Clients, v.Frontend.ConnectionLimitHits)
	}
}
