package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Tests of held state: the state that a prefill attempt leaves at a server is released in time, even if attempts or
// releases fail. TestHeldStateOnLoopback of cmd/docksail covers the same with real processes.

// maxHeldTime is how long state may be held: the release time of testSettings plus inflight.HoldTolerance.
const maxHeldTime = 1300 * time.Millisecond

// nonIdempotent makes the class of testSettings non-idempotent: an attempt that may have run is not retried, and stays
// in flight while its server does not respond.
var nonIdempotent = []string{`"effect":"idempotent"`, `"effect":"at_most_once"`}

// startWithPrefill starts the dispatcher with a prefill server that does not respond and a decode server that does. It
// sends a request and returns when the prefill attempt has reached its server.
func (h *harness) startWithPrefill(
	replacements ...string,
) (prefill, decode *scriptedServer, client, prefillConn *scriptedConn) {
	h.t.Helper()
	prefill, decode = h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	decode.response = decodeResponse
	h.startInService()
	client = h.connectClient()
	client.send(request(requestID(1), replacements...))
	prefillConn = prefill.accept()
	prefillConn.readRequest()
	return prefill, decode, client, prefillConn
}

// expectReleaseBetween waits until end. The test fails unless one of the servers has received a release of the request
// after start and by end.
func (h *harness) expectReleaseBetween(id string, start, end int64, servers ...*scriptedServer) {
	h.t.Helper()
	h.advance(time.Duration(end - h.now()))
	var receivedTimes []string
	for _, server := range servers {
		for _, r := range server.releases() {
			if !strings.Contains(r.line, id) {
				continue
			}
			receivedTimes = append(receivedTimes, time.Duration(r.receivedAt).String())
			if r.receivedAt > start && r.receivedAt <= end {
				return
			}
		}
	}
	h.t.Errorf("got releases of %s at %v, want one after %v and by %v",
		id, receivedTimes, time.Duration(start), time.Duration(end))
}

// TestReleaseBesideLostDecodeAttempt checks that a decode attempt on a new connection, which a partition cuts off
// before the attempt arrives, does not delay the release of the state.
func TestReleaseBesideLostDecodeAttempt(t *testing.T) {
	h := newHarness(t, simulated, nonIdempotent...)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitUntil("the decode attempt's connection to be accepted", func() bool { return decode.connCount == 1 })
	h.advance(networkLatency) // the dispatcher is connected now; what it sends does not arrive
	decode.partition(true)
	h.waitUntil("the decode attempt to be in flight", func() bool { return h.node.backend.ConnCount() == 2 })
	prefilledAt := prefill.firstAttemptAt()
	h.expectReleaseBetween(requestID(1), prefilledAt, prefilledAt+int64(maxHeldTime), prefill)
}

// TestReleaseWhileConnecting checks that a decode attempt whose connection is not established within a long connect
// timeout does not delay the release of the state.
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

// TestReleaseAfterPrefillEnds checks that the state of a prefill attempt that was abandoned while its server was
// partitioned is released again when the server confirms that the attempt has ended.
func TestReleaseAfterPrefillEnds(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, client, prefillConn := h.startWithPrefill()
	prefill.partition(true)
	client.close()
	h.waitUntil("a first release", func() bool { return len(decode.requests) > 0 })
	h.advance(9 * time.Second) // longer than the attempt's timeout
	prefill.partition(false)
	prefillConn.waitForClose()
	prefillConn.close()
	endedAt := h.now()
	h.expectReleaseBetween(requestID(1), endedAt, endedAt+int64(maxHeldTime), decode)
}

// TestReleaseRepeatsAfterConnLost checks that releases are repeated while a server may still run a prefill attempt
// whose connection was lost.
func TestReleaseRepeatsAfterConnLost(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent, `"max_attempts":6`, `"max_attempts":1`)...)
	_, decode, _, prefillConn := h.startWithPrefill()
	prefillConn.close()
	lostAt := h.now()
	for at := lostAt; at < lostAt+int64(3*time.Second); at += int64(maxHeldTime) {
		h.expectReleaseBetween(requestID(1), at, at+int64(maxHeldTime), decode)
	}
}

// TestReleaseBesideNextPrefill checks that a release that becomes due while the next prefill attempt of the request is
// in flight does not wait for the end of that attempt, which may never reach its server.
func TestReleaseBesideNextPrefill(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	releaseServer := h.addServer("w2", "decode")
	releaseServer.response = decodeResponse
	prefill.respond = func(r *scriptedRequest) {
		if r.ordinal == 1 {
			r.write(prefillResponse)
		}
	}
	watch := h.startInService()
	h.sendChange(watch, 43, h.drainingEndpoint("w2")) // w2 accepts only releases
	client := h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decode.partition(true) // w1 does not learn that the attempt is abandoned
	h.waitUntil("the prompt to be prefilled again", func() bool { return prefill.attemptCount() == 2 })
	prefill.partition(true)
	h.advance(100 * time.Millisecond)
	decode.partition(false)
	decodeConn.waitForClose()
	decodeConn.close()
	endedAt := h.now()
	h.expectReleaseBetween(requestID(1), endedAt, endedAt+int64(maxHeldTime), releaseServer, decode)
}

// TestReleaseRepeatsAfterTimeout checks that releases are repeated for as long as the longest timeout of the settings
// while a server is partitioned, since it may still run a prefill attempt that has timed out.
func TestReleaseRepeatsAfterTimeout(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, _, _ := h.startWithPrefill("X-Remaining: 4.800", "X-Remaining: 0.800")
	prefill.partition(true)
	h.waitUntil("the prefill attempt to time out", func() bool { return h.node.dispatcher.Counts.TimedOut > 0 })
	timedOutAt := h.now()
	for at := timedOutAt; at+int64(maxHeldTime) < timedOutAt+int64(6*time.Second); at += int64(maxHeldTime) {
		h.expectReleaseBetween(requestID(1), at, at+int64(maxHeldTime), decode)
	}
}

// TestReleaseRefused checks that a release that a server refuses is sent to another.
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
	h.waitUntilReusable() // the connection of the prefill attempt
	client.close()
	if line := prefillConn.readRequest(); !strings.HasPrefix(line, "DELETE ") {
		t.Fatalf("got %q, want a release", line)
	}
	prefillConn.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	if line := decode.accept().readRequest(); line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
		t.Errorf("got %q, want the release at another server", line)
	}
}

// TestReleaseAtConnLimit checks that releases can still connect when attempts use all connections that they may have.
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
	h.waitUntil("30 decode attempts to be in flight", func() bool { return decode.connCount == 30 })
	h.onLoop(func() {
		if h.node.backend.Counts.NoRoom == 0 {
			t.Error("the limit of connections was not reached")
		}
	})
	for _, r := range append([]*scriptedRequest(nil), prefill.requests...) {
		if !r.isRelease() {
			h.expectReleaseBetween(r.field("X-Txn"), r.receivedAt, max(r.receivedAt+int64(maxHeldTime), h.now()), prefill)
		}
	}
}

// TestReleaseBesideSilence checks that the state is released in time if a decode server does not respond on a reused
// connection, since it may be partitioned and not have received the attempt.
func TestReleaseBesideSilence(t *testing.T) {
	h := newHarness(t, simulated, `"on_time_ns":1500000000`, `"on_time_ns":6000000000`) // so that no attempt is canceled
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
	start := h.now()
	decodeConn.readRequest() // no response is sent
	h.waitUntil("a release", func() bool {
		last := prefill.requests[len(prefill.requests)-1]
		return last.line == "DELETE /state/"+requestID(2)+" HTTP/1.1"
	})
	if took := h.elapsedSince(start); took > maxHeldTime {
		t.Errorf("released after %v, want at most %v", took, maxHeldTime)
	}
}
