package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// TestOversizedBodyIsAnswered checks that the response reaches a client that is still sending a body that is too
// large.
func TestOversizedBodyIsAnswered(t *testing.T) {
	h := newNetHarness(t)
	h.start(1024)
	client := h.dial()
	h.write(client, request(requestID(1), contentLength, "Content-Length: 60000000"))
	sent := make(chan error, 1)
	go func() { _, err := io.CopyN(client, zeroReader{}, 20e6); sent <- err }()
	if err := <-sent; err != nil {
		t.Fatalf("the connection failed before the body was sent: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %v, %v, want status 413", response, err)
	}
}

// zeroReader is an endless source of zeros.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestDisconnectWithUnreadInput checks that the dispatcher notices at once that a client has disconnected, even if the
// client has sent more than is read while its request is in flight.
func TestDisconnectWithUnreadInput(t *testing.T) {
	h := newNetHarness(t)
	finished := make(chan bool)
	h.addServer("reader", "prefill", func(net.Conn) error { <-finished; return io.EOF })
	h.addServer("writer", "decode", respondWith(decodeResponse))
	h.start(1024)
	defer close(finished)
	client := h.dial()
	h.write(client, request(requestID(1)))
	waitUntil(t, "the prefill attempt to be in flight", func() bool { return h.attemptsAt("reader") == 1 })
	for range 3 { // more than the dispatcher reads, less than socket buffers hold
		h.write(client, string(make([]byte, 50<<10)))
		time.Sleep(20 * time.Millisecond)
	}
	if err := client.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request to end", func() bool {
		status, _ := h.node.Status()
		return status.Dispatch.ClientDisconnects == 1 && status.Requests == 0
	})
}

// TestDrain checks that a draining dispatcher serves the clients that have connected and those that still connect, and
// ends when the last of them has disconnected.
func TestDrain(t *testing.T) {
	h := newNetHarness(t)
	h.addServer("reader", "prefill", respondWith(prefillResponse))
	proceed := make(chan bool)
	h.addServer("writer", "decode", func(conn net.Conn) error { <-proceed; return respondWith(decodeResponse)(conn) })
	h.start(1024)
	idle, busy := h.dial(), h.dial()
	if got := roundTrip(idle, readyRequest); got.status != http.StatusOK {
		t.Fatalf("readiness probe: got status %d, want 200", got.status)
	}
	busyResponse := make(chan netResponse, 1)
	go func() { busyResponse <- roundTrip(busy, request(requestID(1))) }()
	waitUntil(t, "the decode attempt to be in flight", func() bool { return h.attemptsAt("writer") == 1 })
	h.node.Drain()
	waitUntil(t, "the readiness probe to fail", func() bool {
		return roundTrip(h.dial(), readyRequest).status == http.StatusServiceUnavailable
	})
	waiting := make([]net.Conn, 50) // in the listener's queue when it closes
	for i := range waiting {
		waiting[i] = h.dial()
		h.write(waiting[i], request(requestID(100+i)))
	}
	close(proceed)
	if got := <-busyResponse; got.body != streamBody {
		t.Errorf("request in flight: got body %q", got.body)
	}
	for i, client := range waiting {
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("client %d: got %v, %v, want status 200 and Connection: close", i, response, err)
		}
		client.Close()
	}
	if b, err := io.ReadAll(idle); len(b) > 0 || err != nil {
		t.Errorf("idle connection: got %q, %v, want it closed", b, err)
	}
	busy.Close()
	select {
	case <-h.node.Done():
	case <-time.After(netTimeout):
		t.Error("the dispatcher has not ended")
	}
}

// TestDescriptorShortage checks that idle and silent clients are disconnected in favor of clients that send requests
// when the dispatcher runs out of file descriptors.
func TestDescriptorShortage(t *testing.T) {
	h := newNetHarness(t)
	h.addServer("reader", "prefill", respondWith(prefillResponse))
	h.addServer("writer", "decode", respondWith(decodeResponse))
	h.start(64)
	for range 200 {
		h.dial()
	}
	for n := range 40 {
		h.expectServed(h.dial(), n)
	}
	if status, _ := h.node.Status(); status.Clients > 64 || status.Frontend.ConnectionLimitHits == 0 {
		t.Errorf("got %d connections with the limit hit %d times, want at most 64 and at least once",
			status.Clients, status.Frontend.ConnectionLimitHits)
	}
}

// TestIdleClientsWhileDiscoveryUnavailable checks that idle clients that use all file descriptors while discovery is
// unavailable leave descriptors for the watch and for clients that send requests.
func TestIdleClientsWhileDiscoveryUnavailable(t *testing.T) {
	h := newNetHarness(t)
	h.addServer("r1", "prefill", respondWith(prefillResponse))
	h.addServer("w1", "decode", respondWith(decodeResponse))
	h.start(64)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closedListener.Addr().String()
	closedListener.Close() // connections to the address are refused now
	changed := *h.config
	changed.Discovery = netip.MustParseAddrPort(addr)
	h.node.Reload(&changed)
	for range 200 {
		h.dial()
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	watch, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	if _, err := http.ReadRequest(bufio.NewReader(watch)); err != nil {
		t.Fatal(err)
	}
	before, _ := h.node.Status()
	h.write(watch, watchHead+chunk(listText(backend.EndpointList{Version: 3, Full: true, Endpoints: h.endpoints})))
	waitUntil(t, "the list to be applied", func() bool {
		status, _ := h.node.Status()
		return status.Backend.ListUpdates > before.Backend.ListUpdates
	})
	h.expectServed(h.dial(), 1)
}
