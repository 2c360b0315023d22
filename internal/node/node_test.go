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

// TestLargeBodyIsAnswered: the response reaches a client that goes on to send a body that is too large.
func TestLargeBodyIsAnswered(t *testing.T) {
	h := newNetHarness(t)
	h.start(1024)
	c := h.dial()
	h.write(c, request(requestID(1), contentLength, "Content-Length: 60000000"))
	sent := make(chan error, 1)
	go func() { _, err := io.CopyN(c, zeroReader{}, 20e6); sent <- err }()
	if err := <-sent; err != nil {
		t.Fatalf("the body is cut off: %v", err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("%v, %v, want 413", res, err)
	}
}

// zeroReader reads zeros without an end.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestDisconnectBehindUnreadBytes: a client that has sent more than is read while its request is in hand, and closes
// its connection, is noticed at once.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	h := newNetHarness(t)
	hung := make(chan bool)
	h.addServer("reader", "prefill", func(net.Conn) error { <-hung; return io.EOF })
	h.addServer("writer", "decode", respondWith(decodeResponse))
	h.start(1024)
	defer close(hung)
	c := h.dial()
	h.write(c, request(requestID(1)))
	waitUntil(t, "the prefill attempt is in flight", func() bool { return h.attemptsAt("reader") == 1 })
	for range 3 { // more than is read, less than the system holds
		h.write(c, string(make([]byte, 50<<10)))
		time.Sleep(20 * time.Millisecond)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request has ended", func() bool {
		status, _ := h.node.Status()
		return status.Dispatch.ClientDisconnects == 1 && status.Requests == 0
	})
}

// TestDrain: a dispatcher that drains serves the clients that have come and still come, and ends with the last of them.
func TestDrain(t *testing.T) {
	h := newNetHarness(t)
	h.addServer("reader", "prefill", respondWith(prefillResponse))
	proceed := make(chan bool)
	h.addServer("writer", "decode", func(c net.Conn) error { <-proceed; return respondWith(decodeResponse)(c) })
	h.start(1024)
	idle, busy := h.dial(), h.dial()
	if got := roundTrip(idle, readyRequest); got.status != http.StatusOK {
		t.Fatalf("ready: %d", got.status)
	}
	inHand := make(chan netResponse, 1)
	go func() { inHand <- roundTrip(busy, request(requestID(1))) }()
	waitUntil(t, "the decode attempt is in flight", func() bool { return h.attemptsAt("writer") == 1 })
	h.node.Drain()
	waitUntil(t, "it is not ready", func() bool {
		return roundTrip(h.dial(), readyRequest).status == http.StatusServiceUnavailable
	})
	waiting := make([]net.Conn, 50) // they are in the listener's queue when it closes
	for i := range waiting {
		waiting[i] = h.dial()
		h.write(waiting[i], request(requestID(100+i)))
	}
	close(proceed)
	if got := <-inHand; got.body != streamBody {
		t.Errorf("the request in hand: %q", got.body)
	}
	for i, c := range waiting {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("client %d: %v, %v", i, res, err)
		}
		c.Close()
	}
	if b, err := io.ReadAll(idle); len(b) > 0 || err != nil {
		t.Errorf("the idle connection: %q, %v", b, err)
	}
	busy.Close()
	select {
	case <-h.node.Done():
	case <-time.After(netTimeout):
		t.Error("it has not ended")
	}
}

// TestDescriptorShortage: when descriptors are short, idle and silent clients are closed for those that send requests.
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
	if v, _ := h.node.Status(); v.Clients > 64 || v.Frontend.ConnectionLimitHits == 0 {
		t.Errorf("%d connections, the limit was hit %d times", v.Clients, v.Frontend.ConnectionLimitHits)
	}
}

// TestIdleClientsWhileDiscoveryIsAway: idle clients that fill the descriptors while discovery is away leave one for the
// watch, and for clients that send requests.
func TestIdleClientsWhileDiscoveryIsAway(t *testing.T) {
	h := newNetHarness(t)
	h.addServer("r1", "prefill", respondWith(prefillResponse))
	h.addServer("w1", "decode", respondWith(decodeResponse))
	h.start(64)
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := away.Addr().String()
	away.Close() // nobody listens there
	changed := *h.config
	changed.Discovery = netip.MustParseAddrPort(addr)
	h.node.Reload(&changed)
	for range 200 {
		h.dial()
	}
	back, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	watch, err := back.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	if _, err := http.ReadRequest(bufio.NewReader(watch)); err != nil {
		t.Fatal(err)
	}
	before, _ := h.node.Status()
	h.write(watch, watchHead+chunk(listText(backend.EndpointList{Version: 3, Full: true, Endpoints: h.endpoints})))
	waitUntil(t, "the list is applied", func() bool {
		status, _ := h.node.Status()
		return status.Backend.ListUpdates > before.Backend.ListUpdates
	})
	h.expectServed(h.dial(), 1)
}
