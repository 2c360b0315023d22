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

// harness runs a dispatcher with scripted servers, discovery and clients, which act only as the test directs. On the
// simulated network time passes only while the test waits, so that results do not depend on the machine; on the
// loopback network the same test runs over real connections.
type harness struct {
	t            *testing.T
	network      *eventloop.SimulatedNetwork // nil for loopback
	loop         *eventloop.Loop             // the dispatcher's; on loopback, that of all peers too
	onIteration  func(eventloop.Nanos)       // on loopback, called in each iteration of the loop
	startedAt    time.Time                   // on loopback, the origin of now
	node         *Node
	config       *Config
	discovery    *scriptedServer
	endpoints    []backend.Endpoint
	replacements []string // old and new texts in the settings, in pairs
	addressCount byte     // number of addresses in use on the simulated network
	descriptors  int      // limit of the dispatcher's file descriptors
	trace        *trace   // what the scripted peers received; nil for loopback
}

// networkKind is what the connections of a harness run over.
type networkKind int

const (
	simulated networkKind = iota
	loopback
)

const (
	simulationStart = 1_700_000_000_000_000_000 // Unix nanoseconds
	simulationPort  = 80                        // of every simulated address
	networkLatency  = 100 * time.Microsecond    // one way, on the simulated network
	// scriptTimeout limits the wait for a condition.
	scriptTimeout = 20 * time.Second
	// noRequestWait is how long a test on the simulated network waits for a request that must not be sent.
	noRequestWait = 2 * time.Second
)

// onEachNetwork runs a test on the simulated network and over real connections. replacements are pairs of old and new
// texts in the settings.
func onEachNetwork(t *testing.T, test func(h *harness), replacements ...string) {
	t.Helper()
	t.Run("simulated", func(t *testing.T) { test(newHarness(t, simulated, replacements...)) })
	t.Run("loopback", func(t *testing.T) { test(newHarness(t, loopback, replacements...)) })
}

// newHarness returns a harness whose dispatcher is not started yet.
func newHarness(t *testing.T, kind networkKind, replacements ...string) *harness {
	t.Helper()
	h := &harness{t: t, startedAt: time.Now(), replacements: replacements, descriptors: 1024}
	if kind == simulated {
		h.trace = &trace{conns: map[*scriptedConn]int{}}
		t.Cleanup(func() { h.trace.check(t) })
		h.network = eventloop.NewSimulatedNetwork(simulationStart, int64(networkLatency))
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

// onLoop runs f where it may access the state of loops: on the loop's goroutine or, on the simulated network, on the
// test's.
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

// newLoopAndAddr returns a loop and an address to listen on. On the simulated network both are new; on loopback the
// loop is shared and the port is any free one.
func (h *harness) newLoopAndAddr() (*eventloop.Loop, netip.AddrPort) {
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
	server := &scriptedServer{h: h}
	var addr netip.AddrPort
	server.loop, addr = h.newLoopAndAddr()
	h.onLoop(func() {
		listener, err := server.loop.Listen(addr, false, func(socket *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
			conn := &scriptedConn{h: h, server: server, loop: server.loop, socket: socket}
			server.newConns = append(server.newConns, conn)
			server.connCount++
			return conn
		})
		if err != nil {
			h.t.Error(err)
			return
		}
		server.listener, server.addr = listener, listener.Addr()
	})
	return server
}

// addServer starts a scripted model server and adds it to the endpoint list.
func (h *harness) addServer(name, kind string) *scriptedServer {
	h.t.Helper()
	server := h.newServer()
	h.endpoints = append(h.endpoints, backend.Endpoint{
		ID: name, Addr: server.addr.String(), Zone: "z", Kind: kind, State: "Ready",
	})
	return server
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
		Settings:    json.RawMessage(strings.NewReplacer(h.replacements...).Replace(testSettings)),
	}
	h.loop, h.config.Listen = h.newLoopAndAddr()
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

// startInService starts the dispatcher and sends it the first list of discovery, after which it accepts clients.
func (h *harness) startInService() (watch *scriptedConn) {
	h.t.Helper()
	watch = h.start()
	watch.send(watchHead)
	h.sendList(watch, backend.EndpointList{Version: 42, Full: true, Endpoints: h.endpoints})
	return watch
}

// now returns the time in nanoseconds, simulated or real. Its origin is arbitrary.
func (h *harness) now() int64 {
	if h.network != nil {
		return h.network.Now()
	}
	return int64(time.Since(h.startedAt))
}

// elapsedSince returns the time since start, which now returned.
func (h *harness) elapsedSince(start int64) time.Duration { return time.Duration(h.now() - start) }

// advance lets time pass.
func (h *harness) advance(d time.Duration) {
	if h.network != nil {
		h.network.RunUntil(h.network.Now() + int64(d))
		return
	}
	time.Sleep(d)
}

// waitUntil lets time pass until a condition holds, which may access the state of loops.
func (h *harness) waitUntil(awaited string, condition func() bool) {
	h.t.Helper()
	for start := h.now(); ; h.advance(networkLatency) {
		holds := false
		h.onLoop(func() { holds = condition() })
		if holds {
			return
		}
		if h.elapsedSince(start) > scriptTimeout {
			h.t.Fatalf("waiting for %s: timed out after %v", awaited, scriptTimeout)
		}
	}
}

// waitUntilReusable waits until an idle connection to a server may be reused.
func (h *harness) waitUntilReusable() { h.advance(15 * time.Millisecond) }

// listUpdates returns how many lists and changes the dispatcher has applied.
func (h *harness) listUpdates() (count uint64) {
	h.onLoop(func() { count = h.node.backend.Counts.ListUpdates })
	return count
}

// waitForListUpdate waits until the dispatcher has applied more lists and changes than before.
func (h *harness) waitForListUpdate(before uint64) {
	h.t.Helper()
	h.waitUntil("the list to be applied", func() bool { return h.node.backend.Counts.ListUpdates > before })
}

// sendList sends a list over a watch and waits until the dispatcher has applied it.
func (h *harness) sendList(watch *scriptedConn, list backend.EndpointList) {
	h.t.Helper()
	before := h.listUpdates()
	watch.send(chunk(listText(list)))
	h.waitForListUpdate(before)
}

// sendChange sends a change of the list over a watch and waits until the dispatcher has applied it.
func (h *harness) sendChange(watch *scriptedConn, version int64, endpoints ...backend.Endpoint) {
	h.t.Helper()
	h.sendList(watch, backend.EndpointList{Version: version, Endpoints: endpoints})
}

// reloadWithDiscovery reloads the configuration with the address of another discovery.
func (h *harness) reloadWithDiscovery(discovery *scriptedServer) {
	changed := *h.config
	changed.Discovery = discovery.addr
	h.node.Reload(&changed)
}

// moveDiscovery starts another discovery, reloads the configuration with its address, and returns the watch on it. The
// watch must ask for the full list; its response has begun.
func (h *harness) moveDiscovery() (watch *scriptedConn) {
	h.t.Helper()
	newDiscovery := h.newServer()
	h.reloadWithDiscovery(newDiscovery)
	watch = newDiscovery.accept()
	if line := watch.readRequest(); strings.Contains(line, "from=") {
		h.t.Errorf("got %q, want a call for the full list", line)
	}
	watch.send(watchHead)
	return watch
}

// dialClient starts to connect a client to the dispatcher. The client may send before it is accepted.
func (h *harness) dialClient() *scriptedConn {
	h.t.Helper()
	client := &scriptedConn{h: h}
	client.loop, _ = h.newLoopAndAddr()
	client.loop.Post(func() {
		var err error
		if client.socket, err = client.loop.Dial(h.node.addr, int64(scriptTimeout), client); err != nil {
			h.t.Error(err)
		}
	})
	return client
}

// connectClient returns a client that is connected to the dispatcher.
func (h *harness) connectClient() *scriptedConn {
	h.t.Helper()
	client := h.dialClient()
	h.waitUntil("the client to be connected", func() bool { return client.opened })
	return client
}

// waitForAttempt waits until one attempt is in flight to a server.
func (h *harness) waitForAttempt(server string) {
	h.t.Helper()
	h.waitUntil("an attempt to be in flight to "+server, func() bool {
		inFlight := 0
		h.node.backend.EachServer(h.loop.Now(), func(stats backend.ServerStats) {
			if stats.Name == server {
				inFlight = stats.InFlightAttempts
			}
		})
		return inFlight == 1
	})
}

// drainingEndpoint returns the endpoint list entry of a server, with the state in which it accepts no new requests.
func (h *harness) drainingEndpoint(server string) backend.Endpoint {
	h.t.Helper()
	for _, endpoint := range h.endpoints {
		if endpoint.ID == server {
			endpoint.State = "Terminating"
			return endpoint
		}
	}
	h.t.Fatalf("server %q is not in the endpoint list", server)
	return backend.Endpoint{}
}

// expectRejected sends a request, which must be rejected as no server takes it.
func (h *harness) expectRejected() {
	h.t.Helper()
	client := h.connectClient()
	client.send(request(requestID(99)))
	client.expectStatus(http.StatusServiceUnavailable)
}
