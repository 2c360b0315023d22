package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Tests of held state: the state that a prefill attempt leaves is released in time, whatever becomes of attempts and
// releases. TestHeldStateOnLoopback of cmd/docksail has the same on real processes.

// maxHeldTime is how long state may be held: the release time of the settings and the tolerance.
const maxHeldTime = 1300 * time.Millisecond

// nonIdempotent replaces the class by one of which an attempt that may have run is not retried: a silent one stays in
// flight.
var nonIdempotent = []string{`"effect":"idempotent"`, `"effect":"at_most_once"`}

// startWithPrefill starts the dispatcher, with a prefill server that does not respond and a decode server that does,
// and a request whose prefill attempt has come to the former.
func (h *harness) startWithPrefill(
	replaced ...string,
) (prefill, decode *scriptedServer, client, prefillConn *scriptedConn) {
	h.t.Helper()
	prefill, decode = h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	decode.response = decodeResponse
	h.startInService()
	client = h.connectClient()
	client.send(request(requestID(1), replaced...))
	prefillConn = prefill.accept()
	prefillConn.readRequest()
	return prefill, decode, client, prefillConn
}

// expectReleaseBetween waits until a time, by which a release of a request must have come to any of the servers since
// the time before.
func (h *harness) expectReleaseBetween(id string, after, by int64, servers ...*scriptedServer) {
	h.t.Helper()
	h.advance(time.Duration(by - h.now()))
	var seen []string
	for _, s := range servers {
		for _, r := range s.releases() {
			if !strings.Contains(r.line, id) {
				continue
			}
			seen = append(seen, time.Duration(r.at).String())
			if r.at > after && r.at <= by {
				return
			}
		}
	}
	h.t.Errorf("releases of %s at %v, want one after %v and by %v", id, seen, time.Duration(after), time.Duration(by))
}

// TestReleaseBesideLostDecodeAttempt: a decode attempt on a new connection, which is cut before its bytes arrive,
// does not hold the state for longer.
func TestReleaseBesideLostDecodeAttempt(t *testing.T) {
	h := newHarness(t, simulated, nonIdempotent...)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitUntil("the decode attempt's connection is up", func() bool { return decode.acceptedCount == 1 })
	h.advance(transitTime) // until the dispatcher knows; what it sends now does not arrive
	decode.partition(true)
	h.waitUntil("the decode attempt is in flight", func() bool { return h.node.backend.ConnCount() == 2 })
	prefilledAt := prefill.firstAttemptAt()
	h.expectReleaseBetween(requestID(1), prefilledAt, prefilledAt+int64(maxHeldTime), prefill)
}

// TestReleaseWhileConnecting: a decode attempt whose connection does not come up, with a long connect timeout, does not
// hold the state for longer.
func TestReleaseWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent,
		`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)...)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	decode.partition(true)
	client := h.connectClient()
	client.send(request(requestID(1)))
	prefilledAt := prefill.firstAttemptAt()
	h.expectReleaseBetween(requestID(1), prefilledAt, prefilledAt+int64(maxHeldTime), prefill)
}

// TestReleaseAfterPrefillEnds: the state of a prefill attempt that was abandoned while its server was cut off is
// released once more when the server confirms that the attempt has ended.
func TestReleaseAfterPrefillEnds(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, client, prefillConn := h.startWithPrefill()
	prefill.partition(true)
	client.close()
	h.waitUntil("a first release", func() bool { return len(decode.requests) > 0 })
	h.advance(9 * time.Second) // longer than the attempt's time
	prefill.partition(false)
	prefillConn.waitForClose()
	prefillConn.close()
	endedAt := h.now()
	h.expectReleaseBetween(requestID(1), endedAt, endedAt+int64(maxHeldTime), decode)
}

// TestReleaseRepeatsAfterConnLost: releases are repeated while a server may still work on a prefill attempt whose
// connection was lost.
func TestReleaseRepeatsAfterConnLost(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent, `"max_attempts":6`, `"max_attempts":1`)...)
	_, decode, _, prefillConn := h.startWithPrefill()
	prefillConn.close()
	lostAt := h.now()
	for at := lostAt; at < lostAt+int64(3*time.Second); at += int64(maxHeldTime) {
		h.expectReleaseBetween(requestID(1), at, at+int64(maxHeldTime), decode)
	}
}

// TestReleaseBesideNextPrefill: a release that becomes due while the next prefill attempt of the request is in flight
// does not wait for the end of that attempt, which may never reach its server.
func TestReleaseBesideNextPrefill(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	other := h.addServer("w2", "decode")
	other.response = decodeResponse
	prefill.respond = func(r *scriptedRequest) {
		if r.number == 1 {
			r.write(prefillResponse)
		}
	}
	watch := h.startInService()
	h.sendChange(watch, 43, h.drainingEndpoint("w2")) // it takes releases only
	client := h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decode.partition(true) // it does not learn that the attempt is abandoned
	h.waitUntil("the prompt is prefilled again", func() bool { return prefill.attemptCount() == 2 })
	prefill.partition(true)
	h.advance(100 * time.Millisecond)
	decode.partition(false)
	decodeConn.waitForClose()
	decodeConn.close()
	endedAt := h.now()
	h.expectReleaseBetween(requestID(1), endedAt, endedAt+int64(maxHeldTime), other, decode)
}

// TestReleaseRepeatsAfterTimeout: a prefill attempt that has timed out may still run. While its server is cut off,
// releases are repeated for as long as the longest timeout of the settings.
func TestReleaseRepeatsAfterTimeout(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, _, _ := h.startWithPrefill("X-Remaining: 4.800", "X-Remaining: 0.800")
	prefill.partition(true)
	h.waitUntil("the prefill attempt has timed out", func() bool { return h.node.dispatcher.Counts.TimedOut > 0 })
	timedOutAt := h.now()
	for at := timedOutAt; at+int64(maxHeldTime) < timedOutAt+int64(6*time.Second); at += int64(maxHeldTime) {
		h.expectReleaseBetween(requestID(1), at, at+int64(maxHeldTime), decode)
	}
}

// TestReleaseRefused: a release that a server refuses is sent to another.
func TestReleaseRefused(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	prefillConn := prefill.accept()
	prefillConn.readRequest()
	prefillConn.send(prefillResponse)
	decodeConn := decode.accept()
	decodeConn.readRequest()
	h.waitUntilReusable() // of the prefill attempt
	client.close()
	if line := prefillConn.readRequest(); !strings.HasPrefix(line, "DELETE ") {
		t.Fatalf("%q, want a release", line)
	}
	prefillConn.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	if line := decode.accept().readRequest(); line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
		t.Errorf("%q, want the release at another server", line)
	}
}

// TestReleaseAtConnLimit: attempts that take all the connections that they may have leave some for releases.
func TestReleaseAtConnLimit(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent, `"cancel":true`, `"cancel":false`)...)
	h.descriptors = 96 // 32 of them for servers
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	const requests = 36
	for n := range requests {
		h.connectClient().send(request(requestID(n), "7f3a9c21e0b4d655", fmt.Sprint(n)))
	}
	h.waitUntil("the decode attempts are in flight", func() bool { return decode.acceptedCount == 30 })
	h.onLoop(func() {
		if h.node.backend.Counts.NoRoom == 0 {
			t.Error("the limit is not reached: the test shows nothing")
		}
	})
	for _, r := range append([]*scriptedRequest(nil), prefill.requests...) {
		if !r.isRelease() {
			h.expectReleaseBetween(r.field("X-Txn"), r.at, max(r.at+int64(maxHeldTime), h.now()), prefill)
		}
	}
}

// TestReleaseBesideSilence: a decode server that falls silent on a reused connection may be cut off and not have
// received the attempt, so the state is released in time.
func TestReleaseBesideSilence(t *testing.T) {
	h := newHarness(t, simulated, `"on_time_ns":1500000000`, `"on_time_ns":6000000000`) // so that nothing is canceled
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decodeConn.send(decodeResponse)
	client.expect("0\r\n\r\n")
	h.waitUntilReusable()
	client.send(request(requestID(2)))
	began := h.now()
	decodeConn.readRequest() // there is no response
	h.waitUntil("a release", func() bool {
		last := prefill.requests[len(prefill.requests)-1]
		return last.line == "DELETE /state/"+requestID(2)+" HTTP/1.1"
	})
	if took := h.elapsedSince(began); took > maxHeldTime {
		t.Errorf("released after %v, want %v at most", took, maxHeldTime)
	}
}
