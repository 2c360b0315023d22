package node

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Tests of race conditions. Each test forces the order of two events that could cause a fault.

// TestDrainWhilePrefillWaitsForRelease checks that a prefill attempt that waits for a release is not sent if its
// server begins to drain in the meantime.
func TestDrainWhilePrefillWaitsForRelease(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill := h.addServer("r1", "prefill")
		watch := h.startInService()
		client := h.connectClient()
		client.send(request(requestID(1)))
		first := prefill.accept()
		first.readRequest()
		first.close() // it may have succeeded: the state that it may have left must be released
		release := prefill.accept()
		if line := release.readRequest(); !strings.HasPrefix(line, "DELETE ") {
			h.t.Fatalf("got %q, want a release", line)
		}
		h.waitForAttempt("r1")
		h.sendChange(watch, 43, h.drainingEndpoint("r1"))
		release.send(releaseResponse)
		client.expectStatus(http.StatusServiceUnavailable)
		// Releases are repeated, as the server that closed the first attempt's connection may still run it.
		release.expectNoAttempt()
		prefill.expectNoAttempt()
	})
}

// TestRetryAfterDedupWindow checks that a retry is not sent if its connection is established after the dedup window,
// as the servers may no longer remember the first attempt.
func TestRetryAfterDedupWindow(t *testing.T) {
	h := newHarness(t, simulated, `"effect":"idempotent"`, `"effect":"deduplicated"`,
		`"window_ns":5000000000`, `"window_ns":700000000`,
		`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)
	h.addServer("r1", "prefill").response = prefillResponse
	first := h.addServer("w1", "decode")
	watch := h.startInService()
	second := h.addServer("w2", "decode")
	client := h.connectClient()
	client.send(request(requestID(1)))
	attempt := first.accept()
	attempt.readRequest()
	h.sendChange(watch, 43, h.endpoints[2:]...) // only now, so that the first attempt goes to w1
	second.partition(true)
	attempt.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	h.waitForAttempt("w2")
	h.advance(700 * time.Millisecond) // the window is over
	second.partition(false)
	client.expectStatus(http.StatusServiceUnavailable)
	second.expectNoRequest()
}

// TestDisconnectWhileConnecting checks that an attempt whose connection is not established yet when its client
// disconnects is not sent, even if attempts may not be canceled.
func TestDisconnectWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, `"cancel":true`, `"cancel":false`,
		`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`,
		`"on_time_ns":1500000000`, `"on_time_ns":12000000000`) // so that the attempt does not time out
	prefill := h.addServer("r1", "prefill")
	h.startInService()
	prefill.partition(true)
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitForAttempt("r1")
	client.close()
	h.waitUntil("the disconnect to be noticed", func() bool { return h.node.dispatcher.Counts.ClientDisconnects == 1 })
	prefill.partition(false)
	prefill.expectNoRequest()
}

// TestDrainWhileConnecting checks that an attempt is not sent if its server begins to drain before its connection is
// established.
func TestDrainWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)
	prefill := h.addServer("r1", "prefill")
	watch := h.startInService()
	prefill.partition(true)
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitForAttempt("r1")
	h.sendChange(watch, 43, h.drainingEndpoint("r1"))
	prefill.partition(false)
	client.expectStatus(http.StatusServiceUnavailable)
	prefill.expectNoRequest()
}

// TestPartialLineOnIdleConn checks that an idle connection is closed if the server sends part of a line on it, which
// would otherwise be taken for the start of the next response.
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

// TestEventsAreRelayedAtOnce checks that a complete event is relayed at once, without waiting for more input.
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
		client.expectSoon("oqvh") // nothing was sent after the event
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
