package node

import (
	"fmt"
	"strings"
	"testing"
)

// TestWireBytes checks the exact bytes of every kind of message to servers and to discovery.
func TestWireBytes(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	watch := h.startInService()
	const firstCall = "GET /registry/instances?watch=1&from=41 HTTP/1.1\r\nHost: 127.0.1.1:80\r\n\r\n"
	if !strings.HasSuffix(h.trace.lines[1], fmt.Sprintf("received %q\n", firstCall)) {
		t.Errorf("discovery received %s, want %q", h.trace.lines[:2], firstCall)
	}
	client := h.connectClient()
	client.send(request(requestID(1), "X-Lane: chat\r\n", "X-Lane: chat\r\nIdempotency-Key: k-17\r\n"))
	attempt := func(server string) string {
		return "POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: " + server + "\r\nContent-Type: application/json\r\n" +
			"X-Txn: " + requestID(1) + "\r\nIdempotency-Key: k-17\r\nX-Remaining: 4.800\r\n" +
			contentLength + "\r\n\r\n" + requestBody
	}
	prefillConn := prefill.accept()
	prefillConn.expectBytes(attempt("r1"))
	prefillConn.send(prefillResponse)
	decodeConn := decode.accept()
	decodeConn.expectBytes(attempt("w1"))
	h.waitUntilReusable() // the connection of the prefill attempt
	client.close()
	prefillConn.expectBytes("DELETE /state/" + requestID(1) + " HTTP/1.1\r\nHost: r1\r\n\r\n")
	watch.close()
	h.discovery.accept().expectBytes("GET /registry/instances?watch=1&from=42 HTTP/1.1\r\nHost: 127.0.1.1:80\r\n\r\n")
	newDiscovery := h.newServer()
	h.reloadWithDiscovery(newDiscovery) // it has versions of its own, so it is asked for the full list
	newDiscovery.accept().expectBytes(
		"GET /registry/instances?watch=1 HTTP/1.1\r\nHost: " + newDiscovery.addr.String() + "\r\n\r\n")
}

// expectBytes waits for as many bytes as want has, compares the whole input with want, and removes it.
func (c *scriptedConn) expectBytes(want string) {
	c.h.t.Helper()
	line, _, _ := strings.Cut(want, "\r\n")
	c.h.waitUntil("a message like "+line, func() bool { return len(c.input) >= len(want) || c.peerClosed })
	if string(c.input) != want {
		c.h.t.Errorf("got  %q\nwant %q", c.input, want)
	}
	c.input = nil
}
