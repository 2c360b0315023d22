package node

import (
	"docksail/internal/eventloop"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// watchHead begins the answer to a watch.
const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// releaseResponse answers a release.
const releaseResponse = "HTTP/1.1 204 No Content\r\n\r\n"

// harness is a dispatcher between scripted servers and clients: nothing happens but what the test has happen. On the
// simulated network a wait takes no time and what depends on time has the same verdict on any machine; on the loopback
// network the same script runs over real connections.
type harness struct {
	t            *testing.T
	world        *eventloop.SimulatedNetwork // nil = loopback
	loop         *eventloop.Loop             // the dispatcher's; on loopback, that of all
	iteration    func(eventloop.Nanos)
	startedAt    time.Time
	node         *Node
	config       *Config
	discovery    *scriptedServer
	endpoints    []backend.Endpoint
	replaced     []string // pieces of the settings and what stands in their place, pairwise
	addressCount byte     // given out so far
	descriptors  int      // descriptors of the dispatcher
	trace        *trace   // on the simulated network: what the scripted peers saw
}

// network is what connections of a harness run over.
type network int

const (
	simulated network = iota
	loopback
)

const (
	simulationStart = 1_700_000_000_000_000_000 // Unix nanoseconds
	simulationPort  = 80                        // of every server
	transitTime     = 100 * time.Microsecond    // of bytes on the simulated network
	// scriptTimeout ends a wait for what does not come.
	scriptTimeout = 20 * time.Second
)

// onEachNetwork runs a test on the simulated network and over real connections. The pieces of the settings in replaced are
// replaced, pairwise.
func onEachNetwork(t *testing.T, test func(h *harness), replaced ...string) {
	t.Helper()
	t.Run("simulated", func(t *testing.T) { test(newHarness(t, simulated, replaced...)) })
	t.Run("loopback", func(t *testing.T) { test(newHarness(t, loopback, replaced...)) })
}

func newHarness(t *testing.T, on network, replaced ...string) *harness {
	t.Helper()
	h := &harness{t: t, startedAt: time.Now(), replaced: replaced, descriptors: 1024}
	if on == simulated {
		h.trace = &trace{conns: map[*scriptedConn]int{}}
		t.Cleanup(func() { h.trace.check(t) })
		h.world = eventloop.NewSimulatedNetwork(simulationStart, int64(transitTime))
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
			if h.iteration != nil {
				h.iteration(now)
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

// onLoop runs something where the loops' state may be touched.
func (h *harness) onLoop(action func()) {
	h.t.Helper()
	if h.world != nil {
		action()
		return
	}
	done := make(chan struct{})
	h.loop.Post(func() { action(); close(done) })
	select {
	case <-done:
	case <-time.After(scriptTimeout):
		h.t.Fatal("the loop does not turn")
	}
}

// newEndpoint gives a loop at an address of its own, with any port where the network has others.
func (h *harness) newEndpoint() (*eventloop.Loop, netip.AddrPort) {
	if h.world == nil {
		return h.loop, netip.MustParseAddrPort("127.0.0.1:0")
	}
	h.addressCount++
	at := netip.AddrFrom4([4]byte{127, 0, 1, h.addressCount})
	return h.world.NewLoop(at, nil), netip.AddrPortFrom(at, simulationPort)
}

// newServer makes a scripted server.
func (h *harness) newServer() *scriptedServer {
	h.t.Helper()
	p := &scriptedServer{h: h}
	var at netip.AddrPort
	p.loop, at = h.newEndpoint()
	h.onLoop(func() {
		listener, err := p.loop.Listen(at, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
			conn := &scriptedConn{h: h, server: p, loop: p.loop, conn: c}
			p.conns = append(p.conns, conn)
			p.acceptedCount++
			return conn
		})
		if err != nil {
			h.t.Error(err)
			return
		}
		p.listener, p.addr = listener, listener.Addr()
	})
	return p
}

// addServer makes a scripted model server and adds it to the list.
func (h *harness) addServer(name, kind string) *scriptedServer {
	h.t.Helper()
	p := h.newServer()
	h.endpoints = append(h.endpoints, backend.Endpoint{ID: name, Addr: p.addr.String(), Zone: "z", Kind: kind, State: "Ready"})
	return p
}

// start puts the dispatcher into service. Discovery takes its watch, and has told nothing yet.
func (h *harness) start() (watch *scriptedConn) {
	h.t.Helper()
	h.config = &Config{
		Name: "n0", Discovery: h.discovery.addr, Seed: "8c1f30d27a5be964",
		Settings: json.RawMessage(strings.NewReplacer(h.replaced...).Replace(testSettings)),
	}
	h.config.Limits.Descriptors, h.config.Limits.MemoryMB = h.descriptors, 96
	h.config.InitialList = backend.EndpointList{Version: 41, Full: true, Endpoints: h.endpoints}
	h.loop, h.config.Listen = h.newEndpoint()
	h.onLoop(func() {
		var err error
		if h.node, err = New(h.loop, h.config, 1, slog.New(slog.DiscardHandler)); err != nil {
			h.t.Error(err)
			return
		}
		h.iteration = h.node.dispatcher.RunIteration
	})
	if h.world != nil {
		h.loop.SetOnIteration(h.node.dispatcher.RunIteration)
		h.loop.Post(func() {})
	}
	watch = h.discovery.accept()
	watch.readRequest()
	return watch
}

// startInService is start with discovery's first word, after which clients are taken.
func (h *harness) startInService() (watch *scriptedConn) {
	h.t.Helper()
	watch = h.start()
	watch.send(watchHead)
	h.sendList(watch, backend.EndpointList{Version: 42, Full: true, Endpoints: h.endpoints})
	return watch
}

// now is the time that passes for the dispatcher, in nanoseconds.
func (h *harness) now() int64 {
	if h.world != nil {
		return h.world.Now()
	}
	return int64(time.Since(h.startedAt))
}

// elapsedSince tells how much time has passed.
func (h *harness) elapsedSince(at int64) time.Duration { return time.Duration(h.now() - at) }

// advance has time pass.
func (h *harness) advance(span time.Duration) {
	if h.world != nil {
		h.world.RunUntil(h.world.Now() + int64(span))
		return
	}
	time.Sleep(span)
}

// waitUntil has time pass until something is so; is may touch the loops' state.
func (h *harness) waitUntil(what string, is func() bool) {
	h.t.Helper()
	for began := h.now(); ; h.advance(transitTime) {
		so := false
		h.onLoop(func() { so = is() })
		if so {
			return
		}
		if h.elapsedSince(began) > scriptTimeout {
			h.t.Fatalf("%s: not within %v", what, scriptTimeout)
		}
	}
}

// waitForListUpdate waits until discovery has told something more often than so many times.
func (h *harness) waitForListUpdate(had uint64) {
	h.t.Helper()
	h.waitUntil("the list is taken", func() bool { return h.node.backend.Counts.ListUpdates > had })
}

// listUpdates counts what discovery has told so far.
func (h *harness) listUpdates() (count uint64) {
	h.onLoop(func() { count = h.node.backend.Counts.ListUpdates })
	return count
}

// sendList sends a list over a watch and waits until it has been taken.
func (h *harness) sendList(watch *scriptedConn, list backend.EndpointList) {
	h.t.Helper()
	had := h.listUpdates()
	watch.send(chunk(listText(list)))
	h.waitForListUpdate(had)
}

// setDiscovery has the dispatcher look for discovery at another address.
func (h *harness) setDiscovery(p *scriptedServer) {
	changed := *h.config
	changed.Discovery = p.addr
	h.node.Reload(&changed)
}

// dialClient has a client connect to the dispatcher; what it sends meanwhile waits.
func (h *harness) dialClient() *scriptedConn {
	h.t.Helper()
	c := &scriptedConn{h: h}
	c.loop, _ = h.newEndpoint()
	c.loop.Post(func() {
		var err error
		if c.conn, err = c.loop.Dial(h.node.addr, int64(scriptTimeout), c); err != nil {
			h.t.Error(err)
		}
	})
	return c
}

// connectClient connects a client to the dispatcher.
func (h *harness) connectClient() *scriptedConn {
	h.t.Helper()
	c := h.dialClient()
	h.waitUntil("the client is connected", func() bool { return c.opened })
	return c
}

// waitForAttempt waits until an attempt is out to a server.
func (h *harness) waitForAttempt(name string) {
	h.t.Helper()
	h.waitUntil("an attempt is out to "+name, func() bool {
		out := 0
		h.node.backend.EachServer(h.loop.Now(), func(v backend.ServerStats) {
			if v.Name == name {
				out = v.InFlightAttempts
			}
		})
		return out == 1
	})
}

// drainingEndpoint gives a server's entry with the state in which it takes nothing new.
func (h *harness) drainingEndpoint(name string) backend.Endpoint {
	for _, server := range h.endpoints {
		if server.ID == name {
			server.State = "Terminating"
			return server
		}
	}
	h.t.Fatalf("no server %q", name)
	return backend.Endpoint{}
}

// expectRejected asks for something, which no server may be there for.
func (h *harness) expectRejected() {
	h.t.Helper()
	client := h.connectClient()
	client.send(request(requestID(99)))
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		h.t.Errorf("the client got %q, want 503", status)
	}
}

// waitUntilReusable has time pass in which a connection becomes one that may be used again.
func (h *harness) waitUntilReusable() { h.advance(15 * time.Millisecond) }

// listText is the text of a list as discovery writes it: an empty fleet is an empty array.
func listText(list backend.EndpointList) string {
	if list.Endpoints == nil {
		list.Endpoints = []backend.Endpoint{}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return string(text)
}
