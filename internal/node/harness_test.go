package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
	"docksail/internal/eventloop"
)

// harness is a dispatcher between scripted servers, a scripted discovery and scripted clients, which do only what the
// test has them do. On the simulated network time passes only when the test waits, and results do not depend on the
// machine; on the loopback network the same test runs over real connections.
type harness struct {
	t            *testing.T
	network      *eventloop.SimulatedNetwork // nil for loopback
	loop         *eventloop.Loop             // the dispatcher's; on loopback, that of all
	onIteration  func(eventloop.Nanos)       // on loopback, the dispatcher's part of an iteration
	startedAt    time.Time
	node         *Node
	config       *Config
	discovery    *scriptedServer
	endpoints    []backend.Endpoint
	replaced     []string // pieces of the settings and their replacements, pairwise
	addressCount byte     // of addresses on the simulated network
	descriptors  int      // the dispatcher's limit
	trace        *trace   // on the simulated network, what the scripted peers saw
}

// networkKind is what the connections of a harness run over.
type networkKind int

const (
	simulated networkKind = iota
	loopback
)

const (
	simulationStart = 1_700_000_000_000_000_000 // Unix nanoseconds
	simulationPort  = 80                        // of every server
	transitTime     = 100 * time.Microsecond    // of bytes on the simulated network
	// scriptTimeout ends a wait for what does not come.
	scriptTimeout = 20 * time.Second
	// unexpectedWait is how long a test on the simulated network looks for what must not come.
	unexpectedWait = 2 * time.Second
)

// onEachNetwork runs a test on the simulated network and over real connections. The pieces of the settings in replaced
// are replaced, pairwise.
func onEachNetwork(t *testing.T, test func(h *harness), replaced ...string) {
	t.Helper()
	t.Run("simulated", func(t *testing.T) { test(newHarness(t, simulated, replaced...)) })
	t.Run("loopback", func(t *testing.T) { test(newHarness(t, loopback, replaced...)) })
}

// newHarness returns a harness whose dispatcher is not started yet.
func newHarness(t *testing.T, kind networkKind, replaced ...string) *harness {
	t.Helper()
	h := &harness{t: t, startedAt: time.Now(), replaced: replaced, descriptors: 1024}
	if kind == simulated {
		h.trace = &trace{conns: map[*scriptedConn]int{}}
		t.Cleanup(func() { h.trace.check(t) })
		h.network = eventloop.NewSimulatedNetwork(simulationStart, int64(transitTime))
	} else {
		h.runLoop()
	}
	h.discovery = h.newServer()
	return h
}

// runLoop starts the one loop of a harness on loopback.
func (h *harness) runLoop() {
	h.t.Helper()
	var err error
	if h.loop, err = eventloop.New(); err != nil {
		h.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		done <- h.loop.Run(func(now eventloop.Nanos) {
			if h.onIteration != nil {
				h.onIteration(now)
			}
		})
	}()
	h.t.Cleanup(func() {
		h.loop.Stop()
		if err := <-done; err != nil {
			h.t.Error(err)
		}
		h.loop.Close()
	})
}

// onLoop runs f where it may access the state of loops.
func (h *harness) onLoop(f func()) {
	h.t.Helper()
	if h.network != nil {
		f()
		return
	}
	done := make(chan struct{})
	h.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(scriptTimeout):
		h.t.Fatal("the loop does not respond")
	}
}

// newEndpoint returns a loop and an address to listen on: one of its own on the simulated network, else any free port.
func (h *harness) newEndpoint() (*eventloop.Loop, netip.AddrPort) {
	if h.network == nil {
		return h.loop, netip.MustParseAddrPort("127.0.0.1:0")
	}
	h.addressCount++
	addr := netip.AddrFrom4([4]byte{127, 0, 1, h.addressCount})
	return h.network.NewLoop(addr, nil), netip.AddrPortFrom(addr, simulationPort)
}

// newServer starts a scripted server.
func (h *harness) newServer() *scriptedServer {
	h.t.Helper()
	s := &scriptedServer{h: h}
	var addr netip.AddrPort
	s.loop, addr = h.newEndpoint()
	h.onLoop(func() {
		listener, err := s.loop.Listen(addr, false, func(socket *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
			c := &scriptedConn{h: h, server: s, loop: s.loop, socket: socket}
			s.newConns = append(s.newConns, c)
			s.acceptedCount++
			return c
		})
		if err != nil {
			h.t.Error(err)
			return
		}
		s.listener, s.addr = listener, listener.Addr()
	})
	return s
}

// addServer starts a scripted model server and adds it to the list.
func (h *harness) addServer(name, kind string) *scriptedServer {
	h.t.Helper()
	s := h.newServer()
	h.endpoints = append(h.endpoints, backend.Endpoint{
		ID: name, Addr: s.addr.String(), Zone: "z", Kind: kind, State: "Ready",
	})
	return s
}

// start starts the dispatcher and returns its watch, on which discovery has sent nothing yet.
func (h *harness) start() (watch *scriptedConn) {
	h.t.Helper()
	h.config = &Config{
		Name:        "n0",
		Discovery:   h.discovery.addr,
		Seed:        "8c1f30d27a5be964",
		Limits:      Limits{Descriptors: h.descriptors, MemoryMB: 96},
		InitialList: backend.EndpointList{Version: 41, Full: true, Endpoints: h.endpoints},
		Settings:    json.RawMessage(strings.NewReplacer(h.replaced...).Replace(testSettings)),
	}
	h.loop, h.config.Listen = h.newEndpoint()
	h.onLoop(func() {
		var err error
		if h.node, err = New(h.loop, h.config, 1, slog.New(slog.DiscardHandler)); err != nil {
			h.t.Error(err)
			return
		}
		h.onIteration = h.node.dispatcher.RunIteration
	})
	if h.network != nil {
		h.loop.SetOnIteration(h.node.dispatcher.RunIteration)
		h.loop.Post(func() {})
	}
	watch = h.discovery.accept()
	watch.readRequest()
	return watch
}

// startInService is start and the first list of discovery, after which the dispatcher accepts clients.
func (h *harness) startInService() (watch *scriptedConn) {
	h.t.Helper()
	watch = h.start()
	watch.send(watchHead)
	h.sendList(watch, backend.EndpointList{Version: 42, Full: true, Endpoints: h.endpoints})
	return watch
}

// now returns the time as it passes for the dispatcher, in nanoseconds.
func (h *harness) now() int64 {
	if h.network != nil {
		return h.network.Now()
	}
	return int64(time.Since(h.startedAt))
}

// elapsedSince returns the time since a result of now.
func (h *harness) elapsedSince(at int64) time.Duration { return time.Duration(h.now() - at) }

// advance lets time pass.
func (h *harness) advance(d time.Duration) {
	if h.network != nil {
		h.network.RunUntil(h.network.Now() + int64(d))
		return
	}
	time.Sleep(d)
}

// waitUntil lets time pass until a condition holds, which may access the state of loops.
func (h *harness) waitUntil(what string, condition func() bool) {
	h.t.Helper()
	for began := h.now(); ; h.advance(transitTime) {
		holds := false
		h.onLoop(func() { holds = condition() })
		if holds {
			return
		}
		if h.elapsedSince(began) > scriptTimeout {
			h.t.Fatalf("%s: not within %v", what, scriptTimeout)
		}
	}
}

// waitUntilReusable lets the time pass after which an idle connection to a server may be reused.
func (h *harness) waitUntilReusable() { h.advance(15 * time.Millisecond) }

// listUpdates returns how many lists and changes the dispatcher has applied.
func (h *harness) listUpdates() (count uint64) {
	h.onLoop(func() { count = h.node.backend.Counts.ListUpdates })
	return count
}

// waitForListUpdate waits until the dispatcher has applied more than so many lists and changes.
func (h *harness) waitForListUpdate(before uint64) {
	h.t.Helper()
	h.waitUntil("the list is applied", func() bool { return h.node.backend.Counts.ListUpdates > before })
}

// sendList sends a list over a watch and waits until the dispatcher has applied it.
func (h *harness) sendList(watch *scriptedConn, list backend.EndpointList) {
	h.t.Helper()
	before := h.listUpdates()
	watch.send(chunk(listText(list)))
	h.waitForListUpdate(before)
}

// sendChange is sendList for a change of the list.
func (h *harness) sendChange(watch *scriptedConn, version int64, endpoints ...backend.Endpoint) {
	h.t.Helper()
	h.sendList(watch, backend.EndpointList{Version: version, Endpoints: endpoints})
}

// setDiscovery reloads the configuration with another address of discovery.
func (h *harness) setDiscovery(s *scriptedServer) {
	changed := *h.config
	changed.Discovery = s.addr
	h.node.Reload(&changed)
}

// moveDiscovery reloads the configuration with another discovery and returns the watch on it, on which the response has
// begun. The watch must ask for the complete list.
func (h *harness) moveDiscovery() (watch *scriptedConn) {
	h.t.Helper()
	moved := h.newServer()
	h.setDiscovery(moved)
	watch = moved.accept()
	if line := watch.readRequest(); strings.Contains(line, "from=") {
		h.t.Errorf("%q, want a call for the complete list", line)
	}
	watch.send(watchHead)
	return watch
}

// dialClient begins the connection of a client to the dispatcher. The client may send before it is accepted.
func (h *harness) dialClient() *scriptedConn {
	h.t.Helper()
	c := &scriptedConn{h: h}
	c.loop, _ = h.newEndpoint()
	c.loop.Post(func() {
		var err error
		if c.socket, err = c.loop.Dial(h.node.addr, int64(scriptTimeout), c); err != nil {
			h.t.Error(err)
		}
	})
	return c
}

// connectClient returns a client that is connected to the dispatcher.
func (h *harness) connectClient() *scriptedConn {
	h.t.Helper()
	c := h.dialClient()
	h.waitUntil("the client is connected", func() bool { return c.opened })
	return c
}

// waitForAttempt waits until one attempt is in flight to a server.
func (h *harness) waitForAttempt(server string) {
	h.t.Helper()
	h.waitUntil("an attempt is in flight to "+server, func() bool {
		inFlight := 0
		h.node.backend.EachServer(h.loop.Now(), func(stats backend.ServerStats) {
			if stats.Name == server {
				inFlight = stats.InFlightAttempts
			}
		})
		return inFlight == 1
	})
}

// drainingEndpoint returns the entry of a server with the state in which it takes no new requests.
func (h *harness) drainingEndpoint(server string) backend.Endpoint {
	h.t.Helper()
	for _, endpoint := range h.endpoints {
		if endpoint.ID == server {
			endpoint.State = "Terminating"
			return endpoint
		}
	}
	h.t.Fatalf("no server %q", server)
	return backend.Endpoint{}
}

// expectRejected sends a request, which must be rejected as no server takes it.
func (h *harness) expectRejected() {
	h.t.Helper()
	client := h.connectClient()
	client.send(request(requestID(99)))
	client.expectStatus(http.StatusServiceUnavailable)
}
