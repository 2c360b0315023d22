package node

import (
	"strings"
	"testing"
	"time"
)

// Tests of graceful shutdown; TestDrain has it on real sockets.

// TestDrainReleases: a dispatcher that drains does not end with its last client before held state is released, by a
// server that responds if the one that holds the state does not.
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
		t.Fatal("the process has ended before its release was accepted")
	}
	release.send(releaseResponse)
	watch.waitForClose() // the process has ended
}

// TestDrainWithStreams: a stream that had begun before the drain is relayed completely, and its connection closed. A
// request that comes late is rejected at once, as the process may be killed before a response.
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
	h.advance(700 * time.Millisecond) // past the time in which requests are still accepted
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
	if len(prefill.newConns) != 1 {
		t.Errorf("%d connections to the prefill server, want the one of the first request", len(prefill.newConns))
	}
}

// TestDrainBeforeFirstList: a dispatcher that drains before discovery has sent a list serves the clients that wait by
// its initial list. A second drain has no effect.
func TestDrainBeforeFirstList(t *testing.T) {
	h := newHarness(t, simulated)
	h.addServer("r1", "prefill").response = prefillResponse
	h.addServer("w1", "decode").response = decodeResponse
	watch := h.start()
	client := h.dialClient()
	client.send(request(requestID(1)))
	h.advance(transitTime)
	h.node.Drain()
	h.node.Drain()
	got := client.expect("0\r\n\r\n")
	if !strings.Contains(got, " 200 ") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the client got %q", got)
	}
	client.close()
	watch.waitForClose() // the process has ended
}
