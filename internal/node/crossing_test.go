package node

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of events that cross: each forces the order in which one spoils the other, in simulated time.

// A read that waits behind a release is not sent to a server that has begun to drain meanwhile.
func TestDrainWhilePrefillWaitsForRelease(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill := h.addServer("r1", "prefill")
		watch := h.startInService()
		client := h.connectClient()
		client.send(request(requestID(1)))
		first := prefill.accept()
		first.readRequest()
		first.close() // it may have ended well: what it left is to be released
		release := prefill.accept()
		if line := release.readRequest(); !strings.HasPrefix(line, "DELETE ") {
			h.t.Fatalf("%q, want a release", line)
		}
		h.waitForAttempt("r1")
		h.sendList(watch, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("r1")}})
		release.send(releaseResponse)
		if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
			h.t.Errorf("the client got %q, want 503", status)
		}
		release.expectNoAttempt() // releases are repeated: the server that cut the first read off may still work on it
		prefill.expectNoAttempt()
	})
}

// An entry that cannot be read does not cost the others, and its server stays as it was.
func TestUnreadableEntry(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		h.addServer("w1", "decode").response = decodeResponse
		leftOut := h.addServer("w2", "decode")
		watch := h.startInService()
		taken := h.listUpdates()
		list := listText(backend.EndpointList{Version: 43, Full: true, Endpoints: h.endpoints[:2]})
		watch.send(chunk(strings.Replace(list, `"cell":0`, `"cell":"x"`, 1))) // of r1
		h.waitForListUpdate(taken)
		for n := range 4 {
			client := h.connectClient()
			client.send(request(requestID(n)))
			client.expect("[DONE]")
		}
		if !leftOut.hasNoNewConns() {
			h.t.Error("a server that the list leaves out got a request")
		}
	})
}

// A whole list of which nothing can be read leaves the servers that there are, and is asked for again; one that says that
// there are none is taken as it is said.
func TestUnreadableWholeList(t *testing.T) {
	for name, c := range map[string]struct {
		list string
		kept bool
	}{
		"no servers named":   {`{"version":43,"full":true}`, true},
		"null":               {`{"version":43,"full":true,"servers":null}`, true},
		"no entry readable":  {`{"version":43,"full":true,"servers":[{"id":5},7]}`, true},
		"an empty fleet":     {`{"version":43,"full":true,"servers":[]}`, false},
		"no changes, a name": {`{"version":43,"full":false}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			onEachNetwork(t, func(h *harness) {
				h.addServer("r1", "prefill").response = prefillResponse
				h.addServer("w1", "decode").response = decodeResponse
				watch := h.startInService()
				taken := h.listUpdates()
				watch.send(chunk(c.list))
				if !c.kept {
					h.waitForListUpdate(taken)
					h.expectRejected()
					return
				}
				if strings.Contains(c.list, "true") {
					if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=42") {
						h.t.Errorf("%q, want what came after version 42", line)
					}
				}
				client := h.connectClient()
				client.send(request(requestID(1)))
				client.expect("[DONE]")
			})
		})
	}
}

// A repeat whose connection comes up when its group may no longer remember the first run is not written.
func TestRetryAfterDedupWindow(t *testing.T) {
	h := newHarness(t, simulated, `"effect":"idempotent"`, `"effect":"deduplicated"`, `"window_ns":5000000000`, `"window_ns":700000000`,
		`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)
	h.addServer("r1", "prefill").response = prefillResponse
	first := h.addServer("w1", "decode")
	watch := h.startInService()
	second := h.addServer("w2", "decode")
	client := h.connectClient()
	client.send(request(requestID(1)))
	attempt := first.accept()
	attempt.readRequest()
	h.sendList(watch, backend.EndpointList{Version: 43, Endpoints: h.endpoints[2:]}) // only now: the first attempt is to go to w1
	second.partition(true)
	attempt.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	h.waitForAttempt("w2")
	h.advance(700 * time.Millisecond) // the window is over
	second.partition(false)
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
	second.expectNoRequest()
}

// An attempt whose connection is still under way as its client leaves does not begin, also where what has begun may not be
// withdrawn.
func TestDisconnectWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, `"cancel":true`, `"cancel":false`, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`,
		`"on_time_ns":1500000000`, `"on_time_ns":12000000000`) // so long that the attempt is not given up for its time
	prefill := h.addServer("r1", "prefill")
	h.startInService()
	prefill.partition(true)
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitForAttempt("r1")
	client.close()
	h.waitUntil("its client is gone", func() bool { return h.node.dispatcher.Counts.ClientDisconnects == 1 })
	prefill.partition(false)
	prefill.expectNoRequest()
}

// An attempt whose connection comes up after its server was told to drain does not begin.
func TestDrainWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)
	prefill := h.addServer("r1", "prefill")
	watch := h.startInService()
	prefill.partition(true)
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitForAttempt("r1")
	h.sendList(watch, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("r1")}})
	prefill.partition(false)
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
	prefill.expectNoRequest()
}

// A server that has started anew under its address is not sent anything on a connection to the process before.
func TestServerRestarted(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		decode := h.addServer("w1", "decode")
		watch := h.startInService()
		for n, started := range []float64{1, 2} {
			client := h.connectClient()
			client.send(request(requestID(n)))
			conn := decode.accept()
			conn.readRequest()
			conn.send(decodeResponse)
			client.expect("0\r\n\r\n")
			anew := h.endpoints[1]
			anew.StartedMS = started
			h.sendList(watch, backend.EndpointList{Version: 43 + int64(n), Endpoints: []backend.Endpoint{anew}})
			conn.waitForClose()
		}
	})
}

// Half a line that a server writes on a resting connection is no beginning of the next answer: that connection goes.
func TestPartialLineOnIdleConn(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		decode := h.addServer("w1", "decode")
		h.startInService()
		for n := range 2 {
			client := h.connectClient()
			client.send(request(requestID(n)))
			conn := decode.accept()
			conn.readRequest()
			conn.send(decodeResponse)
			if got := client.expect("0\r\n\r\n"); strings.Count(got, "[DONE]") != 1 {
				h.t.Errorf("the client got %q", got)
			}
			conn.send("HTTP/1.1 2")
			conn.waitForClose()
		}
	})
}

// An event is passed on when it is whole, whatever is still to come.
func TestEventsAreRelayedAtOnce(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		decode := h.addServer("w1", "decode")
		h.startInService()
		client := h.connectClient()
		client.send(request(requestID(1)))
		conn := decode.accept()
		conn.readRequest()
		first := chunk(event1)
		conn.send(streamHead + first[:len(first)-1])
		conn.send(first[len(first)-1:])
		client.expectSoon("oqvh") // nothing more was written
		for range 3 {
			conn.send(chunk(event1) + chunk(event2)[:9])
			client.expectSoon("oqvh")
			conn.send(chunk(event2)[9:])
			client.expectSoon("[DONE]")
		}
		conn.send("0\r\n\r\n")
		client.expect("0\r\n\r\n")
	})
}

// TestIdleClientsWhileDiscoveryIsAway clients that fill the descriptors while discovery is away leave one for the watch, and for those that ask. It is the
// system's limits that matter here: sockets, not simulated ones.
func TestIdleClientsWhileDiscoveryIsAway(t *testing.T) {
	s := newNetHarness(t)
	s.addServer("r1", "prefill", respondPrefill)
	s.addServer("w1", "decode", respondDecode)
	s.start(64)
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := away.Addr().String()
	away.Close() // nobody listens there
	changed := *s.config
	changed.Discovery = netip.MustParseAddrPort(at)
	s.node.Reload(&changed)
	for range 200 {
		s.dial()
	}
	back, err := net.Listen("tcp", at)
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
	had, _ := s.node.Status()
	writeText(watch, watchHead+chunk(listText(backend.EndpointList{Version: 3, Full: true, Endpoints: s.endpoints})))
	waitUntil(t, "the list", func() bool { v, _ := s.node.Status(); return v.Backend.ListUpdates > had.Backend.ListUpdates })
	s.expectServed(s.dial(), 1)
}
