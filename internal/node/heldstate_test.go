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

// heldMost is how long a state may be held: the release time of the settings and what the rule allows beyond it.
const heldMost = 1300 * time.Millisecond

// notRepeated makes the class one of which an attempt that may have run is not sent again: a silent one stays out.
var notRepeated = []string{`"effect":"idempotent"`, `"effect":"at_most_once"`}

// readAt gives when the first read was answered.
func (p *scriptedServer) readAt() (at int64) {
	p.h.t.Helper()
	p.h.until("a read", func() bool {
		for _, r := range p.requests {
			if !r.isRelease() {
				at = r.at
				return true
			}
		}
		return false
	})
	return at
}

// inRead starts a dispatcher before a prefill server that is scripted and a decode server that answers, with a request whose read has come to the
// first.
func (h *harness) inRead(change ...string) (reader, writer *scriptedServer, client, reading *scriptedConn) {
	h.t.Helper()
	reader, writer = h.server("r1", "prefill"), h.server("w1", "decode")
	writer.reply = decodeAnswer
	h.startInService()
	client = h.client()
	client.send(request(jobName(1), change...))
	reading = reader.accept()
	reading.request()
	return reader, writer, client, reading
}

// wantReleaseBy wants a release of a request, at any of some servers, after a time and no later than another.
func (h *harness) wantReleaseBy(name string, after, by int64, servers ...*scriptedServer) {
	h.t.Helper()
	h.run(time.Duration(by - h.now()))
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
func TestReleaseBesideLostFirstWrite(t *testing.T) {
	h := newHarness(t, simulated, notRepeated...)
	reader, writer := h.server("r1", "prefill"), h.server("w1", "decode")
	reader.reply = prefillAnswer
	h.startInService()
	client := h.client()
	client.send(request(jobName(1)))
	h.until("the write's connection is made", func() bool { return writer.accepted == 1 })
	h.run(transitTime) // the dispatcher knows it too; what it writes now does not arrive
	writer.cut(true)
	h.until("the write is out", func() bool { return h.node.backend.Conns() == 2 })
	read := reader.readAt()
	h.wantReleaseBy(jobName(1), read, read+int64(heldMost), reader)
}

// A write whose connection does not come up in a long connect time does not hold the state beyond its time either.
func TestReleaseWhileConnecting(t *testing.T) {
	h := newHarness(t, simulated, append(notRepeated, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`)...)
	reader, writer := h.server("r1", "prefill"), h.server("w1", "decode")
	reader.reply = prefillAnswer
	h.startInService()
	writer.cut(true)
	client := h.client()
	client.send(request(jobName(1)))
	read := reader.readAt()
	h.wantReleaseBy(jobName(1), read, read+int64(heldMost), reader)
}

// A read that was given up while its server was cut off is released once more when that server shows that it is over.
func TestReleaseAfterTheReadIsOver(t *testing.T) {
	h := newHarness(t, simulated)
	reader, writer, client, reading := h.inRead()
	reader.cut(true)
	client.close()
	h.until("a first release", func() bool { return len(writer.requests) > 0 })
	h.run(9 * time.Second) // longer than the read was told that it has
	reader.cut(false)
	reading.untilEnd()
	reading.close()
	over := h.now()
	h.wantReleaseBy(jobName(1), over, over+int64(heldMost), writer)
}

// While a server may still work on a read whose connection broke, its state is released from time to time.
func TestReleaseRepeatsAfterABreak(t *testing.T) {
	h := newHarness(t, simulated, append(notRepeated, `"max_attempts":6`, `"max_attempts":1`)...)
	_, writer, _, reading := h.inRead()
	reading.close()
	broke := h.now()
	for at := broke; at < broke+int64(3*time.Second); at += int64(heldMost) {
		h.wantReleaseBy(jobName(1), at, at+int64(heldMost), writer)
	}
}

// What becomes owed while the next read of the request is out, which may never come to its server, does not wait for that read's end.
func TestReleaseBesideNextRead(t *testing.T) {
	h := newHarness(t, simulated)
	reader, writer, other := h.server("r1", "prefill"), h.server("w1", "decode"), h.server("w2", "decode")
	other.reply = decodeAnswer
	reader.answer = func(r *scriptedRequest) {
		if r.nth == 1 {
			r.say(prefillAnswer)
		}
	}
	watch := h.startInService()
	h.tell(watch, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.draining("w2")}}) // it takes releases alone
	client := h.client()
	client.send(request(jobName(1)))
	writing := writer.accept()
	writing.request()
	writer.cut(true) // it does not hear that the write is given up
	h.until("the prompt is read anew", func() bool { return reader.postCount() == 2 })
	reader.cut(true)
	h.run(100 * time.Millisecond)
	writer.cut(false)
	writing.untilEnd()
	writing.close()
	over := h.now()
	h.wantReleaseBy(jobName(1), over, over+int64(heldMost), other, writer)
}

// A read that was given up for its time may run yet: while its server is cut off, its state is released from time to time for as long as the longest
// deadline of the settings.
func TestReleaseRepeatsAfterTimeout(t *testing.T) {
	h := newHarness(t, simulated)
	reader, writer, _, _ := h.inRead("X-Remaining: 4.800", "X-Remaining: 0.800")
	reader.cut(true)
	h.until("the read is given up", func() bool { return h.node.dispatcher.Counts.TimedOut > 0 })
	given := h.now()
	for at := given; at+int64(heldMost) < given+int64(6*time.Second); at += int64(heldMost) {
		h.wantReleaseBy(jobName(1), at, at+int64(heldMost), writer)
	}
}

// Only a server that says that a release is done has done it.
func TestReleaseRefused(t *testing.T) {
	h := newHarness(t, simulated)
	reader, writer := h.server("r1", "prefill"), h.server("w1", "decode")
	h.startInService()
	client := h.client()
	client.send(request(jobName(1)))
	reading := reader.accept()
	reading.request()
	reading.send(prefillAnswer)
	writing := writer.accept()
	writing.request()
	h.rest() // the read's connection may be used again
	client.close()
	release := reading
	if line := release.request(); !strings.HasPrefix(line, "DELETE ") {
		t.Fatalf("%q, want a release", line)
	}
	release.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	if line := writer.accept().request(); line != "DELETE /state/"+jobName(1)+" HTTP/1.1" {
		t.Errorf("%q, want the release at another server", line)
	}
}

// Attempts that fill the connections to servers do not keep states from being released.
func TestReleaseWhereConnectionsAreFull(t *testing.T) {
	h := newHarness(t, simulated, append(notRepeated, `"cancel":true`, `"cancel":false`)...)
	h.sockets = 96 // a third of them for servers: 32
	reader, writer := h.server("r1", "prefill"), h.server("w1", "decode")
	reader.reply = prefillAnswer
	h.startInService()
	const requests = 36
	for n := range requests {
		h.client().send(request(jobName(n), "7f3a9c21e0b4d655", fmt.Sprint(n)))
	}
	h.until("the writes are out", func() bool { return writer.accepted == 30 })
	h.do(func() {
		if h.node.backend.Counts.NoRoom == 0 {
			t.Error("connections are not full: the test shows nothing")
		}
	})
	for _, r := range append([]*scriptedRequest(nil), reader.requests...) {
		if !r.isRelease() {
			h.wantReleaseBy(r.field("X-Txn"), r.at, max(r.at+int64(heldMost), h.now()), reader)
		}
	}
}
