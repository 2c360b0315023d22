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
func TestDrainWhileReadWaitsForRelease(t *testing.T) {
	onEachNetwork(t, func(t *testing.T, on network) {
		h := newHarness(t, on)
		reader := h.server("r1", "prefill")
		watch := h.startInService()
		client := h.client()
		client.send(request(jobName(1)))
		first := reader.accept()
		first.request()
		first.close() // it may have ended well: what it left is to be released
		release := reader.accept()
		if line := release.request(); !strings.HasPrefix(line, "DELETE ") {
			t.Fatalf("%q, want a release", line)
		}
		h.untilOut("r1")
		h.tell(watch, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.draining("r1")}})
		release.send(noContent)
		if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
			t.Errorf("the client got %q, want 503", status)
		}
		release.wantNoAttempt() // releases are repeated: the server that cut the first read off may still work on it
		reader.wantNoAttempt()
	})
}

// An entry that cannot be read does not cost the others, and its server stays as it was.
func TestUnreadableEntry(t *testing.T) {
	onEachNetwork(t, func(t *testing.T, on network) {
		h := newHarness(t, on)
		h.server("r1", "prefill").reply = prefillAnswer
		h.server("w1", "decode").reply = decodeAnswer
		leftOut := h.server("w2", "decode")
		watch := h.startInService()
		taken := h.news()
		list := listText(backend.EndpointList{Version: 43, Full: true, Endpoints: h.servers[:2]})
		watch.send(chunk(strings.Replace(list, `"cell":0`, `"cell":"x"`, 1))) // of r1
		h.untilNews(taken)
		for n := range 4 {
			client := h.client()
			client.send(request(jobName(n)))
			client.expect("[DONE]")
		}
		if !leftOut.idle() {
			t.Error("a server that the list leaves out got a request")
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
			onEachNetwork(t, func(t *testing.T, on network) {
				h := newHarness(t, on)
				h.server("r1", "prefill").reply = prefillAnswer
				h.server("w1", "decode").reply = decodeAnswer
				watch := h.startInService()
				taken := h.news()
				watch.send(chunk(c.list))
				if !c.kept {
					h.untilNews(taken)
					h.wantRefused()
					return
				}
				if strings.Contains(c.list, "true") {
					if line := h.discovery.accept().request(); !strings.Contains(line, "from=42") {
						t.Errorf("%q, want what came after version 42", line)
					}
				}
				client := h.client()
				client.send(request(jobName(1)))
				client.expect("[DONE]")
			})
		})
	}
}

// A repeat whose connection comes up when its group may no longer remember the first run is not written.
func TestRepeatAfterWindow(t *testing.T) {
	h := newHarness(t, simulated, `"effect":"idempotent"`, `"effect":"deduplicated"`, `"window_ns":5000000000`, `"window_ns":700000000`,
		`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)
	h.server("r1", "prefill").reply = prefillAnswer
	first := h.server("w1", "decode")
	watch := h.startInService()
	second := h.server("w2", "decode")
	client := h.client()
	client.send(request(jobName(1)))
	attempt := first.accept()
	attempt.request()
	h.tell(watch, backend.EndpointList{Version: 43, Endpoints: h.servers[2:]}) // only now: the first attempt is to go to w1
	second.cut(true)
	attempt.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	h.untilOut("w2")
	h.run(700 * time.Millisecond) // the window is over
	second.cut(false)
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
	second.wantNoRequest()
}

// An attempt whose connection is still under way as its client leaves does not begin, also where what has begun may not be
// withdrawn.
func TestClientLeavesWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, `"cancel":true`, `"cancel":false`, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`,
		`"on_time_ns":1500000000`, `"on_time_ns":12000000000`) // so long that the attempt is not given up for its time
	reader := h.server("r1", "prefill")
	h.startInService()
	reader.cut(true)
	client := h.client()
	client.send(request(jobName(1)))
	h.untilOut("r1")
	client.close()
	h.until("its client is gone", func() bool { return h.node.dispatcher.Counts.ClientDisconnects == 1 })
	reader.cut(false)
	reader.wantNoRequest()
}

// An attempt whose connection comes up after its server was told to drain does not begin.
func TestDrainWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)
	reader := h.server("r1", "prefill")
	watch := h.startInService()
	reader.cut(true)
	client := h.client()
	client.send(request(jobName(1)))
	h.untilOut("r1")
	h.tell(watch, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.draining("r1")}})
	reader.cut(false)
	if status := client.expect("\r\n"); !strings.Contains(status, " 503 ") {
		t.Errorf("the client got %q, want 503", status)
	}
	reader.wantNoRequest()
}

// A server that has started anew under its address is not sent anything on a connection to the process before.
func TestServerStartedAnew(t *testing.T) {
	onEachNetwork(t, func(t *testing.T, on network) {
		h := newHarness(t, on)
		h.server("r1", "prefill").reply = prefillAnswer
		writer := h.server("w1", "decode")
		watch := h.startInService()
		for n, started := range []float64{1, 2} {
			client := h.client()
			client.send(request(jobName(n)))
			conn := writer.accept()
			conn.request()
			conn.send(decodeAnswer)
			client.expect("0\r\n\r\n")
			anew := h.servers[1]
			anew.StartedMS = started
			h.tell(watch, backend.EndpointList{Version: 43 + int64(n), Endpoints: []backend.Endpoint{anew}})
			conn.untilEnd()
		}
	})
}

// Half a line that a server writes on a resting connection is no beginning of the next answer: that connection goes.
func TestHalfLineOnRestingConnection(t *testing.T) {
	onEachNetwork(t, func(t *testing.T, on network) {
		h := newHarness(t, on)
		h.server("r1", "prefill").reply = prefillAnswer
		writer := h.server("w1", "decode")
		h.startInService()
		for n := range 2 {
			client := h.client()
			client.send(request(jobName(n)))
			conn := writer.accept()
			conn.request()
			conn.send(decodeAnswer)
			if got := client.expect("0\r\n\r\n"); strings.Count(got, "[DONE]") != 1 {
				t.Errorf("the client got %q", got)
			}
			conn.send("HTTP/1.1 2")
			conn.untilEnd()
		}
	})
}

// An event is passed on when it is whole, whatever is still to come.
func TestEventsPassAtOnce(t *testing.T) {
	onEachNetwork(t, func(t *testing.T, on network) {
		h := newHarness(t, on)
		h.server("r1", "prefill").reply = prefillAnswer
		writer := h.server("w1", "decode")
		h.startInService()
		client := h.client()
		client.send(request(jobName(1)))
		conn := writer.accept()
		conn.request()
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
	s := newStage(t)
	s.host("r1", "prefill", read)
	s.host("w1", "decode", write)
	s.start(64)
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := away.Addr().String()
	away.Close() // nobody listens there
	changed := *s.told
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
	say(watch, watchHead+chunk(listText(backend.EndpointList{Version: 3, Full: true, Endpoints: s.hosts})))
	until(t, "the list", func() bool { v, _ := s.node.Status(); return v.Backend.ListUpdates > had.Backend.ListUpdates })
	s.served(s.dial(), 1)
}
