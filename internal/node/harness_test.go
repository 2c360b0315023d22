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

// noContent answers a release.
const noContent = "HTTP/1.1 204 No Content\r\n\r\n"

// harness is a dispatcher between scripted servers and clients: nothing happens but what the test has happen. On the
// simulated network a wait takes no time and what depends on time has the same verdict on any machine; on the loopback
// network the same script runs over real connections.
type harness struct {
	t         *testing.T
	world     *eventloop.SimulatedNetwork // nil = loopback
	loop      *eventloop.Loop             // the dispatcher's; on loopback, that of all
	round     func(eventloop.Nanos)
	began     time.Time
	node      *Node
	config    *Config
	discovery *scriptedServer
	servers   []backend.Endpoint
	replaced  []string // pieces of the settings and what stands in their place, pairwise
	addresses byte     // given out so far
	sockets   int      // descriptors of the dispatcher
	trace     *trace   // on the simulated network: what the scripted peers saw
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

// onEachNetwork runs a script over simulated and over real connections.
func onEachNetwork(t *testing.T, script func(t *testing.T, on network)) {
	t.Run("simulated", func(t *testing.T) { script(t, simulated) })
	t.Run("loopback", func(t *testing.T) { script(t, loopback) })
}

func newHarness(t *testing.T, on network, replaced ...string) *harness {
	t.Helper()
	h := &harness{t: t, began: time.Now(), replaced: replaced, sockets: 1024}
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
			if h.round != nil {
				h.round(now)
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

// do runs something where the loops' state may be touched.
func (h *harness) do(action func()) {
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

// endpoint gives a loop at an address of its own, with any port where the network has others.
func (h *harness) endpoint() (*eventloop.Loop, netip.AddrPort) {
	if h.world == nil {
		return h.loop, netip.MustParseAddrPort("127.0.0.1:0")
	}
	h.addresses++
	at := netip.AddrFrom4([4]byte{127, 0, 1, h.addresses})
	return h.world.NewLoop(at, nil), netip.AddrPortFrom(at, simulationPort)
}

// newServer makes a scripted server.
func (h *harness) newServer() *scriptedServer {
	h.t.Helper()
	p := &scriptedServer{h: h}
	var at netip.AddrPort
	p.loop, at = h.endpoint()
	h.do(func() {
		listener, err := p.loop.Listen(at, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
			conn := &scriptedConn{h: h, server: p, loop: p.loop, conn: c}
			p.conns = append(p.conns, conn)
			p.accepted++
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

// server makes a scripted model server and adds it to the list.
func (h *harness) server(name, kind string) *scriptedServer {
	h.t.Helper()
	p := h.newServer()
	h.servers = append(h.servers, backend.Endpoint{ID: name, Addr: p.addr.String(), Zone: "z", Kind: kind, State: "Ready"})
	return p
}

// start puts the dispatcher into service. Discovery takes its watch, and has told nothing yet.
func (h *harness) start() (watch *scriptedConn) {
	h.t.Helper()
	h.config = &Config{
		Name: "n0", Discovery: h.discovery.addr, Seed: "8c1f30d27a5be964",
		Settings: json.RawMessage(strings.NewReplacer(h.replaced...).Replace(settings)),
	}
	h.config.Limits.Descriptors, h.config.Limits.MemoryMB = h.sockets, 96
	h.config.InitialList = backend.EndpointList{Version: 41, Full: true, Endpoints: h.servers}
	h.loop, h.config.Listen = h.endpoint()
	h.do(func() {
		var err error
		if h.node, err = New(h.loop, h.config, 1, slog.New(slog.DiscardHandler)); err != nil {
			h.t.Error(err)
			return
		}
		h.round = h.node.dispatcher.RunIteration
	})
	if h.world != nil {
		h.loop.SetOnIteration(h.node.dispatcher.RunIteration)
		h.loop.Post(func() {})
	}
	watch = h.discovery.accept()
	watch.request()
	return watch
}

// startInService is start with discovery's first word, after which clients are taken.
func (h *harness) startInService() (watch *scriptedConn) {
	h.t.Helper()
	watch = h.start()
	watch.send(watchHead)
	h.tell(watch, backend.EndpointList{Version: 42, Full: true, Endpoints: h.servers})
	return watch
}

// now is the time that passes for the dispatcher, in nanoseconds.
func (h *harness) now() int64 {
	if h.world != nil {
		return h.world.Now()
	}
	return int64(time.Since(h.began))
}

// since tells how much time has passed.
func (h *harness) since(at int64) time.Duration { return time.Duration(h.now() - at) }

// run has time pass.
func (h *harness) run(span time.Duration) {
	if h.world != nil {
		h.world.RunUntil(h.world.Now() + int64(span))
		return
	}
	time.Sleep(span)
}

// until has time pass until something is so; is may touch the loops' state.
func (h *harness) until(what string, is func() bool) {
	h.t.Helper()
	for began := h.now(); ; h.run(transitTime) {
		so := false
		h.do(func() { so = is() })
		if so {
			return
		}
		if h.since(began) > scriptTimeout {
			h.t.Fatalf("%s: not within %v", what, scriptTimeout)
		}
	}
}

// untilNews waits until discovery has told something more often than so many times.
func (h *harness) untilNews(had uint64) {
	h.t.Helper()
	h.until("the list is taken", func() bool { return h.node.backend.Counts.ListUpdates > had })
}

// news counts what discovery has told so far.
func (h *harness) news() (count uint64) {
	h.do(func() { count = h.node.backend.Counts.ListUpdates })
	return count
}

// tell sends a list over a watch and waits until it has been taken.
func (h *harness) tell(watch *scriptedConn, list backend.EndpointList) {
	h.t.Helper()
	had := h.news()
	watch.send(chunk(listText(list)))
	h.untilNews(had)
}

// reload has the dispatcher look for discovery at another address.
func (h *harness) reload(p *scriptedServer) {
	changed := *h.config
	changed.Discovery = p.addr
	h.node.Reload(&changed)
}

// dial has a client connect to the dispatcher; what it sends meanwhile waits.
func (h *harness) dial() *scriptedConn {
	h.t.Helper()
	c := &scriptedConn{h: h}
	c.loop, _ = h.endpoint()
	c.loop.Post(func() {
		var err error
		if c.conn, err = c.loop.Dial(h.node.addr, int64(scriptTimeout), c); err != nil {
			h.t.Error(err)
		}
	})
	return c
}

// client connects a client to the dispatcher.
func (h *harness) client() *scriptedConn {
	h.t.Helper()
	c := h.dial()
	h.until("the client is connected", func() bool { return c.opened })
	return c
}

// untilOut waits until an attempt is out to a server.
func (h *harness) untilOut(name string) {
	h.t.Helper()
	h.until("an attempt is out to "+name, func() bool {
		out := 0
		h.node.backend.EachServer(h.loop.Now(), func(v backend.ServerStats) {
			if v.Name == name {
				out = v.InFlightAttempts
			}
		})
		return out == 1
	})
}

// draining gives a server's entry with the state in which it takes nothing new.
func (h *harness) draining(name string) backend.Endpoint {
	for _, server := range h.servers {
		if server.ID == name {
			server.State = "Terminating"
			return server
		}
	}
	h.t.Fatalf("no server %q", name)
	return backend.Endpoint{}
}

// wantRefused asks for something, which no server may be there for.
func (h *harness) wantRefused() {
	h.t.Helper()
	client := h.client()
	client.send(request(jobName(99)))
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		h.t.Errorf("the client got %q, want 503", status)
	}
}

// rest has time pass in which a connection becomes one that may be used again.
func (h *harness) rest() { h.run(15 * time.Millisecond) }

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
