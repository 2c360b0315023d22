package node

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Tests of races: each forces the order of two events in which one could spoil the other.

// TestDrainWhilePrefillWaitsForRelease: a prefill attempt that waits for a release is not sent to a server that has
// begun to drain meanwhile.
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
			h.t.Fatalf("%q, want a release", line)
		}
		h.waitForAttempt("r1")
		h.sendChange(watch, 43, h.drainingEndpoint("r1"))
		release.send(releaseResponse)
		client.expectStatus(http.StatusServiceUnavailable)
		// Releases are repeated, as the server that closed the first attempt's connection may still work on it.
		release.expectNoAttempt()
		prefill.expectNoAttempt()
	})
}

// TestRetryAfterDedupWindow: a retry is not sent if its connection comes up when the servers may no longer remember the
// first attempt.
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

// TestDisconnectWhileConnecting: an attempt whose connection is not up yet when its client disconnects is not sent,
// even if attempts may not be canceled.
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
	h.waitUntil("its client is gone", func() bool { return h.node.dispatcher.Counts.ClientDisconnects == 1 })
	prefill.partition(false)
	prefill.expectNoRequest()
}

// TestDrainWhileConnecting: an attempt whose connection comes up after its server has begun to drain is not sent.
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

// TestPartialLineOnIdleConn: part of a line that a server sends on an idle connection is not taken for the start of the
// next response: the connection is closed.
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

// TestEventsAreRelayedAtOnce: an event is relayed when it is complete, whatever is still to come.
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
		client.expectSoon("oqvh") // nothing more was sent
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
