package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of held state in simulated time: what is read is released in time whatever becomes of its attempts and releases. The same on real
// processes: cmd/docksail TestHeldStateOnLoopback.

// maxHeldTime is how long a state may be held: the release time of the settings and what the rule allows beyond it.
const maxHeldTime = 1300 * time.Millisecond

// nonIdempotent makes the class one of which an attempt that may have run is not sent again: a silent one stays out.
var nonIdempotent = []string{`"effect":"idempotent"`, `"effect":"at_most_once"`}

// firstAttemptAt gives when the first read was answered.
func (s *scriptedServer) firstAttemptAt() (at int64) {
	s.h.t.Helper()
	s.h.waitUntil("a read", func() bool {
		for _, r := range s.requests {
			if !r.isRelease() {
				at = r.at
				return true
			}
		}
		return false
	})
	return at
}

// startWithPrefill starts a dispatcher before a prefill server that is scripted and a decode server that answers, with a request whose read has come to the
// first.
func (h *harness) startWithPrefill(change ...string) (prefill, decode *scriptedServer, client, prefillConn *scriptedConn) {
	h.t.Helper()
	prefill, decode = h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	decode.response = decodeResponse
	h.startInService()
	client = h.connectClient()
	client.send(request(requestID(1), change...))
	prefillConn = prefill.accept()
	prefillConn.readRequest()
	return prefill, decode, client, prefillConn
}

// expectReleaseBetween wants a release of a request, at any of some servers, after a time and no later than another.
func (h *harness) expectReleaseBetween(name string, after, by int64, servers ...*scriptedServer) {
	h.t.Helper()
	h.advance(time.Duration(by - h.now()))
	var seen []string
	for _, p := range servers {
		for _, r := range p.releases() {
			if !strings.Contains(r.line, name) {
				continue
			}
			seen = append(seen, time.Duration(r.at).String())
			if r.at > after && r.at <= by {
				return
			}
		}
	}
	h.t.Errorf("releases of %s at %v, want one after %v and by %v", name, seen, time.Duration(after), time.Duration(by))
}

// A write on a new connection that is cut before its bytes arrive does not hold the state beyond its time.
func TestReleaseBesideLostDecodeAttempt(t *testing.T) {
	h := newHarness(t, simulated, nonIdempotent...)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	client := h.connectClient()
	client.send(request(requestID(1)))
	h.waitUntil("the write's connection is made", func() bool { return decode.acceptedCount == 1 })
	h.advance(transitTime) // the dispatcher knows it too; what it writes now does not arrive
	decode.partition(true)
	h.waitUntil("the write is out", func() bool { return h.node.backend.Conns() == 2 })
	read := prefill.firstAttemptAt()
	h.expectReleaseBetween(requestID(1), read, read+int64(maxHeldTime), prefill)
}

// A write whose connection does not come up in a long connect time does not hold the state beyond its time either.
func TestReleaseWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)...)
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	decode.partition(true)
	client := h.connectClient()
	client.send(request(requestID(1)))
	read := prefill.firstAttemptAt()
	h.expectReleaseBetween(requestID(1), read, read+int64(maxHeldTime), prefill)
}

// A read that was given up while its server was cut off is released once more when that server shows that it is over.
func TestReleaseAfterPrefillEnds(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, client, prefillConn := h.startWithPrefill()
	prefill.partition(true)
	client.close()
	h.waitUntil("a first release", func() bool { return len(decode.requests) > 0 })
	h.advance(9 * time.Second) // longer than the read was told that it has
	prefill.partition(false)
	prefillConn.waitForClose()
	prefillConn.close()
	over := h.now()
	h.expectReleaseBetween(requestID(1), over, over+int64(maxHeldTime), decode)
}

// While a server may still work on a read whose connection broke, its state is released from time to time.
func TestReleaseRepeatsAfterConnLost(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent, `"max_attempts":6`, `"max_attempts":1`)...)
	_, decode, _, prefillConn := h.startWithPrefill()
	prefillConn.close()
	broke := h.now()
	for at := broke; at < broke+int64(3*time.Second); at += int64(maxHeldTime) {
		h.expectReleaseBetween(requestID(1), at, at+int64(maxHeldTime), decode)
	}
}

// What becomes owed while the next read of the request is out, which may never come to its server, does not wait for that read's end.
func TestReleaseBesideNextPrefill(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, other := h.addServer("r1", "prefill"), h.addServer("w1", "decode"), h.addServer("w2", "decode")
	other.response = decodeResponse
	prefill.respond = func(r *scriptedRequest) {
		if r.number == 1 {
			r.write(prefillResponse)
		}
	}
	watch := h.startInService()
	h.sendList(watch, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("w2")}}) // it takes releases alone
	client := h.connectClient()
	client.send(request(requestID(1)))
	decodeConn := decode.accept()
	decodeConn.readRequest()
	decode.partition(true) // it does not hear that the write is given up
	h.waitUntil("the prompt is read anew", func() bool { return prefill.attemptCount() == 2 })
	prefill.partition(true)
	h.advance(100 * time.Millisecond)
	decode.partition(false)
	decodeConn.waitForClose()
	decodeConn.close()
	over := h.now()
	h.expectReleaseBetween(requestID(1), over, over+int64(maxHeldTime), other, decode)
}

// A read that was given up for its time may run yet: while its server is cut off, its state is released from time to time for as long as the longest
// deadline of the settings.
func TestReleaseRepeatsAfterTimeout(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode, _, _ := h.startWithPrefill("X-Remaining: 4.800", "X-Remaining: 0.800")
	prefill.partition(true)
	h.waitUntil("the read is given up", func() bool { return h.node.dispatcher.Counts.TimedOut > 0 })
	given := h.now()
	for at := given; at+int64(maxHeldTime) < given+int64(6*time.Second); at += int64(maxHeldTime) {
		h.expectReleaseBetween(requestID(1), at, at+int64(maxHeldTime), decode)
	}
}

// Only a server that says that a release is done has done it.
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
	h.waitUntilReusable() // the read's connection may be used again
	client.close()
	release := prefillConn
	if line := release.readRequest(); !strings.HasPrefix(line, "DELETE ") {
		t.Fatalf("%q, want a release", line)
	}
	release.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	if line := decode.accept().readRequest(); line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
		t.Errorf("%q, want the release at another server", line)
	}
}

// Attempts that fill the connections to servers do not keep states from being released.
func TestReleaseAtConnLimit(t *testing.T) {
	h := newHarness(t, simulated, append(nonIdempotent, `"cancel":true`, `"cancel":false`)...)
	h.descriptors = 96 // a third of them for servers: 32
	prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
	prefill.response = prefillResponse
	h.startInService()
	const requests = 36
	for n := range requests {
		h.connectClient().send(request(requestID(n), "7f3a9c21e0b4d655", fmt.Sprint(n)))
	}
	h.waitUntil("the writes are out", func() bool { return decode.acceptedCount == 30 })
	h.onLoop(func() {
		if h.node.backend.Counts.NoRoom == 0 {
			t.Error("connections are not full: the test shows nothing")
		}
	})
	for _, r := range append([]*scriptedRequest(nil), prefill.requests...) {
		if !r.isRelease() {
			h.expectReleaseBetween(r.field("X-Txn"), r.at, max(r.at+int64(maxHeldTime), h.now()), prefill)
		}
	}
}
