package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// netHarness is a dispatcher in service between servers, a discovery and clients on real sockets, with goroutines of
// their own. It is for tests of what the system's sockets do; other tests have harness.
type netHarness struct {
	t         *testing.T
	node      *Node
	config    *Config
	endpoints []backend.Endpoint
	mu        sync.Mutex
	attempts  map[string]int // that have come to the servers
}

const (
	// netTimeout ends a wait for what does not come.
	netTimeout = 5 * time.Second
	// clientTimeout ends what a client does.
	clientTimeout = 10 * time.Second
	// heartbeatInterval is how often discovery sends a blank line.
	heartbeatInterval = 500 * time.Millisecond
)

func newNetHarness(t *testing.T) *netHarness {
	t.Helper()
	return &netHarness{t: t, attempts: map[string]int{}}
}

// responder responds to an attempt. The connection is closed if it returns an error.
type responder func(c net.Conn) error

// respondWith returns a responder that writes a response.
func respondWith(response string) responder {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, response)
		return err
	}
}

// addServer starts a server that has attempts responded to and accepts every release, and adds it to the list.
func (h *netHarness) addServer(name, kind string, respond responder) {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	h.endpoints = append(h.endpoints, backend.Endpoint{
		ID: name, Addr: listener.Addr().String(), Zone: "z", Kind: kind, State: "Ready",
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(c, name, respond)
		}
	}()
}

// serve serves one connection of a server until it ends.
func (h *netHarness) serve(c net.Conn, name string, respond responder) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Method == http.MethodDelete {
			err = respondWith(releaseResponse)(c)
		} else {
			h.mu.Lock()
			h.attempts[name]++
			h.mu.Unlock()
			err = respond(c)
		}
		if err != nil {
			return
		}
	}
}

// attemptsAt returns how many attempts have come to a server.
func (h *netHarness) attemptsAt(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attempts[name]
}

// startDiscovery starts a discovery whose watches stay open and deliver no list, and returns its address.
func (h *netHarness) startDiscovery() netip.AddrPort {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(keepWatchOpen)}
	done := make(chan error)
	go func() { done <- server.Serve(listener) }()
	h.t.Cleanup(func() {
		server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			h.t.Error(err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// keepWatchOpen responds to a watch with blank lines until its connection ends.
func keepWatchOpen(w http.ResponseWriter, r *http.Request) {
	for {
		w.(http.Flusher).Flush()
		select {
		case <-time.After(heartbeatInterval):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
	}
}

// start starts the dispatcher with so many descriptors and returns once it takes clients.
func (h *netHarness) start(descriptors int) {
	h.t.Helper()
	h.config = &Config{
		Name:        "n0",
		Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
		Discovery:   h.startDiscovery(),
		Seed:        "8c1f30d27a5be964",
		Limits:      Limits{Descriptors: descriptors, MemoryMB: 96},
		InitialList: backend.EndpointList{Version: 41, Full: true, Endpoints: h.endpoints},
		Settings:    json.RawMessage(testSettings),
	}
	n, err := Start(h.config, slog.New(slog.DiscardHandler))
	if err != nil {
		h.t.Fatal(err)
	}
	h.node = n
	h.t.Cleanup(func() { n.loop.Stop(); <-n.done })
	if got := roundTrip(h.dial(), readyRequest); got.err != nil {
		h.t.Fatal(got.err)
	}
}

// dial connects a client to the dispatcher.
func (h *netHarness) dial() net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.node.addr.String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		h.t.Fatal(err)
	}
	return c
}

// write writes what a client or a server sends.
func (h *netHarness) write(c net.Conn, text string) {
	h.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		h.t.Fatal(err)
	}
}

// netResponse is what a client has received.
type netResponse struct {
	status int
	body   string
	err    error // with which it ended
}

// roundTrip sends a client's request and returns the response.
func roundTrip(c net.Conn, text string) netResponse {
	if _, err := io.WriteString(c, text); err != nil {
		return netResponse{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return netResponse{err: err}
	}
	body, err := io.ReadAll(r.Body)
	return netResponse{status: r.StatusCode, body: string(body), err: err}
}

// expectServed sends the n-th request on a client's connection, which must be served.
func (h *netHarness) expectServed(c net.Conn, n int) {
	h.t.Helper()
	got := roundTrip(c, request(requestID(n)))
	if got.status != http.StatusOK || got.body != streamBody || got.err != nil {
		h.t.Fatalf("request %d: %d %q, %v", n, got.status, got.body, got.err)
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(netTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, netTimeout)
		}
	}
}
