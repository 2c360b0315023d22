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

// netHarness runs a dispatcher with servers, discovery and clients on real sockets, each with goroutines of its own.
// It is for tests that depend on the operating system's sockets; other tests use harness.
type netHarness struct {
	t         *testing.T
	node      *Node
	config    *Config
	endpoints []backend.Endpoint
	mu        sync.Mutex
	attempts  map[string]int // received, by server name
}

const (
	// netTimeout limits the wait for a condition.
	netTimeout = 5 * time.Second
	// clientTimeout limits the reads and writes of a client.
	clientTimeout = 10 * time.Second
	// heartbeatInterval is how often discovery sends a blank line.
	heartbeatInterval = 500 * time.Millisecond
)

func newNetHarness(t *testing.T) *netHarness {
	t.Helper()
	return &netHarness{t: t, attempts: map[string]int{}}
}

// responder responds to an attempt. The connection is closed if it returns an error.
type responder func(conn net.Conn) error

// respondWith returns a responder that writes a response.
func respondWith(response string) responder {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, response)
		return err
	}
}

// addServer starts a server, which responds to attempts with respond and accepts every release, and adds it to the
// endpoint list.
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
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn, name, respond)
		}
	}()
}

// serve responds to the requests on one connection of a server until it ends.
func (h *netHarness) serve(conn net.Conn, name string, respond responder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Method == http.MethodDelete {
			err = respondWith(releaseResponse)(conn)
		} else {
			h.mu.Lock()
			h.attempts[name]++
			h.mu.Unlock()
			err = respond(conn)
		}
		if err != nil {
			return
		}
	}
}

// attemptsAt returns how many attempts a server has received.
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

// start starts the dispatcher with a limit of file descriptors and returns when it accepts clients.
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
	node, err := Start(h.config, slog.New(slog.DiscardHandler))
	if err != nil {
		h.t.Fatal(err)
	}
	h.node = node
	h.t.Cleanup(func() { node.loop.Stop(); <-node.done })
	if got := roundTrip(h.dial(), readyRequest); got.err != nil {
		h.t.Fatal(got.err)
	}
}

// dial connects a client to the dispatcher.
func (h *netHarness) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.node.addr.String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// write writes a text to a connection.
func (h *netHarness) write(conn net.Conn, text string) {
	h.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		h.t.Fatal(err)
	}
}

// netResponse is the response that a client has received.
type netResponse struct {
	status int
	body   string
	err    error // that ended the response early
}

// roundTrip sends a client's request and returns the response.
func roundTrip(conn net.Conn, text string) netResponse {
	if _, err := io.WriteString(conn, text); err != nil {
		return netResponse{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return netResponse{err: err}
	}
	body, err := io.ReadAll(r.Body)
	return netResponse{status: r.StatusCode, body: string(body), err: err}
}

// expectServed sends the n-th request on a client's connection, which must be served.
func (h *netHarness) expectServed(conn net.Conn, n int) {
	h.t.Helper()
	got := roundTrip(conn, request(requestID(n)))
	if got.status != http.StatusOK || got.body != streamBody || got.err != nil {
		h.t.Fatalf("request %d: got status %d, body %q, error %v; want it served", n, got.status, got.body, got.err)
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, awaited string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(netTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waiting for %s: timed out after %v", awaited, netTimeout)
		}
	}
}
