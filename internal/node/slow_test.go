package node

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of what takes long: slow clients and servers, and the end of a process. They run in simulated time.

// Half a request and silence are ended in time, whatever comes drop by drop.
func TestSlowClients(t *testing.T) {
	h := newHarness(t, simulated)
	h.startInService()
	silent, half, drops := h.connectClient(), h.connectClient(), h.connectClient()
	began := h.now()
	half.send(request(requestID(1))[:200])
	drops.sendSlowly(strings.Split(strings.Repeat("P", 60), ""), 50*time.Millisecond)
	if took := h.elapsedSince(began); took >= 3*time.Second {
		t.Errorf("the one that sends drop by drop was ended after %v", took)
	}
	if status := half.expect("\r\n"); !strings.Contains(status, " 408 ") {
		t.Errorf("half a request got %q, want 408", status)
	}
	half.waitForClose()
	silent.waitForClose()
	if took := h.elapsedSince(began); took >= 3*time.Second {
		t.Errorf("the others were ended after %v", took)
	}
}

// A decode server that falls silent on a kept connection may be cut off, and never have heard of the request: what was
// read is released in its time all the same.
func TestReleaseBesideSilence(t *testing.T) {
	h := newHarness(t, simulated, `"on_time_ns":1500000000`, `"on_time_ns":6000000000`) // so long that nothing is cancelled
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decodeConn.send(decodeResponse)
	client.expect("0\r\n\r\n")
	h.advance(15 * time.Millisecond) // so long a connection rests before it is used again
	client.send(request(requestID(2)))
	began := h.now()
	decodeConn.readRequest() // it says nothing to that
	h.waitUntil("a release", func() bool {
		last := prefill.requests[len(prefill.requests)-1]
		return last.line == "DELETE /state/"+requestID(2)+" HTTP/1.1"
	})
	if took := h.elapsedSince(began); took > 1300*time.Millisecond {
		t.Errorf("released after %v, want 1 s and what the rule allows", took)
	}
}

// An answer that takes long, as its connection's last, goes out whole.
func TestLongLastAnswer(t *testing.T) {
	h := newHarness(t, simulated)
	h.addServer("r1", "prefill").response = prefillResponse
	decode := h.addServer("w1", "decode")
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1), "Host: api.internal\r\n", "Host: api.internal\r\nConnection: close\r\n"))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decodeConn.send(streamHead + chunk(event1))
	h.advance(3200 * time.Millisecond) // longer than what comes after a last answer is thrown away
	decodeConn.send(chunk(event2) + "0\r\n\r\n")
	if got := client.expect("0\r\n\r\n"); !strings.Contains(got, " 200 ") || !strings.HasSuffix(got, chunk(event1)+chunk(event2)+"0\r\n\r\n") {
		t.Errorf("the client got %q", got)
	}
	client.waitForClose()
}

// A dispatcher that leaves with its last client sees to it first that what it had read is released, by a server that is
// heard where the one that holds it is silent.
func TestDrainReleases(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	watch := h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	prefill.accept().readRequest()
	h.node.Drain()
	h.advance(600 * time.Millisecond) // the listener is closed
	client.close()
	release := decode.accept()
	if line := release.readRequest(); line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
		t.Errorf("%q, want a release", line)
	}
	if !watch.isOpen() {
		t.Fatal("the process has ended before its release was answered")
	}
	release.send(releaseResponse)
	watch.waitForClose() // the process has ended
}

// A stream that had begun before the dispatcher was told to leave goes out whole and is its connection's last; whatever
// comes late is refused at once, as the process may be killed before an answer.
func TestDrainWithStreams(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	watch := h.startInService()
	client, slow := h.connectClient(), h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decodeConn.send(streamHead + chunk(event1))
	if got := client.expect("oqvh"); strings.Contains(got, "Connection: close") {
		t.Fatalf("the client got %q", got)
	}
	text := request(requestID(2))
	slow.send(text[:20])
	h.node.Drain()
	h.advance(700 * time.Millisecond) // past the time in which requests are still served
	slow.send(text[20:])
	if got := slow.expect("\r\n\r\n"); !strings.Contains(got, " 503 ") || !strings.Contains(got, "Connection: close") {
		t.Errorf("a request that came late got %q", got)
	}
	slow.waitForClose()
	decodeConn.send(chunk(event2) + "0\r\n\r\n")
	client.expect("0\r\n\r\n")
	client.send(request(requestID(3)))
	client.waitForClose()
	client.expectNoInput()
	watch.waitForClose() // the process has ended
	if len(prefill.conns) != 1 {
		t.Errorf("%d connections to the prefill server, want the one of the first request", len(prefill.conns))
	}
}

// Lists come in any form of JSON and in pieces; one that cannot be read leaves the one in force.
func TestListForms(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill")
		watch := h.startInService()
		text, err := json.MarshalIndent(backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("r1")}}, "", "\t")
		if err != nil {
			h.t.Fatal(err)
		}
		watch.send(chunk("\n \r\n" + string(text[:7])))
		h.advance(5 * time.Millisecond)
		watch.send(chunk(string(text[7:60])))
		h.advance(5 * time.Millisecond)
		watch.send(chunk(string(text[60:]) + "\n{\"version\":44,\"full\":false,\"servers\":[]}"))
		h.waitForListUpdate(2)
		watch.send(chunk("{\"version\": 45, \"servers\": [}]}"))
		if line := h.discovery.accept().readRequest(); !strings.Contains(line, "from=44") {
			h.t.Errorf("%q, want what came after version 44", line)
		}
		h.expectRejected()
	})
}
