package node

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Tests of slow clients and servers.

// TestSlowClients checks that connections of clients that send nothing, part of a request, or single bytes at
// intervals are closed in time.
func TestSlowClients(t *testing.T) {
	h := newHarness(t, simulated)
	h.startInService()
	silent, partial, trickling := h.connectClient(), h.connectClient(), h.connectClient()
	start := h.now()
	partial.send(request(requestID(1))[:200])
	trickling.sendSlowly(strings.Split(strings.Repeat("P", 60), ""), 50*time.Millisecond)
	if took := h.elapsedSince(start); took >= 3*time.Second {
		t.Errorf("the client that sends single bytes was disconnected after %v, want less than 3 s", took)
	}
	partial.expectStatus(http.StatusRequestTimeout)
	partial.waitForClose()
	silent.waitForClose()
	if took := h.elapsedSince(start); took >= 3*time.Second {
		t.Errorf("the other clients were disconnected after %v, want less than 3 s", took)
	}
}

// TestLongLastAnswer checks that a long response is relayed completely before its connection is closed.
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
	h.advance(3200 * time.Millisecond) // longer than a connection lingers after its last response
	decodeConn.send(chunk(event2) + "0\r\n\r\n")
	got := client.expect("0\r\n\r\n")
	if !strings.Contains(got, " 200 ") || !strings.HasSuffix(got, chunk(event1)+chunk(event2)+"0\r\n\r\n") {
		t.Errorf("the client got %q", got)
	}
	client.waitForClose()
}
