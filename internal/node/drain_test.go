package node

import (
	"strings"
	"testing"
	"time"
)

// Tests of graceful shutdown on the simulated network. TestDrain covers it on real sockets.

// TestDrainReleases checks that a draining dispatcher without clients does not end before held state is released, by
// another server if the one that holds the state does not respond.
func TestDrainReleases(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	watch := h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	prefill.accept().readRequest()
	h.node.Drain()
	h.advance(600 * time.Millisecond) // the listener is closed by now
	client.close()
	release := decode.accept()
	if line := release.readRequest(); line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
		t.Errorf("got %q, want a release", line)
	}
	if !watch.isOpen() {
		t.Fatal("the dispatcher ended before its release was accepted")
	}
	release.send(releaseResponse)
	watch.waitForClose() // the dispatcher has ended
}

// TestDrainWithStreams checks that a stream that began before the drain is relayed completely, and that a request
// received late in the drain is rejected at once, as the process may be killed before a response.
func TestDrainWithStreams(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	watch := h.startInService()
	client, lateClient := h.connectClient(), h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decodeConn.send(streamHead + chunk(event1))
	if got := client.expect("oqvh"); strings.Contains(got, "Connection: close") {
		t.Fatalf("the client got %q", got)
	}
	text := request(requestID(2))
	lateClient.send(text[:20])
	h.node.Drain()
	h.advance(700 * time.Millisecond) // requests are rejected from now on
	lateClient.send(text[20:])
	if got := lateClient.expect("\r\n\r\n"); !strings.Contains(got, " 503 ") ||
		!strings.Contains(got, "Connection: close") {
		t.Errorf("late request: got %q, want status 503 and Connection: close", got)
	}
	lateClient.waitForClose()
	decodeConn.send(chunk(event2) + "0\r\n\r\n")
	client.expect("0\r\n\r\n")
	client.send(request(requestID(3)))
	client.waitForClose()
	client.expectNoInput()
	watch.waitForClose() // the dispatcher has ended
	if len(prefill.newConns) != 1 {
		t.Errorf("got %d connections to the prefill server, want only that of the first request", len(prefill.newConns))
	}
}

// TestDrainBeforeFirstList checks that a dispatcher that drains before discovery has sent a list serves the waiting
// clients by its initial list, and that a second drain has no effect.
func TestDrainBeforeFirstList(t *testing.T) {
	h := newHarness(t, simulated)
	h.addServer("r1", "prefill").response = prefillResponse
	h.addServer("w1", "decode").response = decodeResponse
	watch := h.start()
	client := h.dialClient()
	client.send(request(requestID(1)))
	h.advance(networkLatency)
	h.node.Drain()
	h.node.Drain()
	got := client.expect("0\r\n\r\n")
	if !strings.Contains(got, " 200 ") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the client got %q", got)
	}
	client.close()
	watch.waitForClose() // the dispatcher has ended
}
