package node

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Tests of valid, invalid and missing responses of servers, and of the outcomes of attempts.

// TestInvalidStreams checks that an attempt is retried if its stream is invalid before the first event, that the
// client's response is cut off if it is invalid later, and that extra bytes affect neither it nor later responses.
func TestInvalidStreams(t *testing.T) {
	const last = "0\r\n\r\n"
	complete := streamHead + chunk(event1) + chunk(event2)
	begun := streamHead + chunk(event1)
	for name, c := range map[string]struct {
		response string // of the first decode attempt; a final "RESET" closes the connection
		broken   bool   // invalid after the first event
		extra    bool   // complete, with additional bytes
	}{
		"noise":           {response: "\xb5\r7\xd6\b\x9b\x0f\r\n\r\n"},
		"odd status":      {response: "HTTP/1.1 2x0 OK\r\n\r\n"},
		"endless head":    {response: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 20<<10)},
		"first chunk":     {response: streamHead + "zz\r\n"},
		"half an event":   {response: streamHead + chunk(event1[:9]) + "-1\r\n"},
		"no event":        {response: streamHead + last},
		"later chunk":     {response: begun + "zz\r\n", broken: true},
		"3 GB":            {response: begun + "BB800000\r\n" + strings.Repeat("a", 1<<10), broken: true},
		"does not fit":    {response: begun + "5\r\n" + event2, broken: true},
		"reset":           {response: begun + "RESET", broken: true},
		"1xx before":      {response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + complete + last, extra: true},
		"bad report":      {response: complete + chunk(": X-Pressure: {nonsense\n") + last, extra: true},
		"second response": {response: complete + last + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", extra: true},
		"trailing bytes":  {response: complete + last + "\x00\x01", extra: true},
	} {
		t.Run(name, func(t *testing.T) {
			onEachNetwork(t, func(h *harness) {
				h.addServer("reader", "prefill").response = prefillResponse
				w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
				invalidFirst := func(r *scriptedRequest) {
					if w1.attemptCount()+w2.attemptCount() > 1 {
						r.write(decodeResponse)
						return
					}
					text, reset := strings.CutSuffix(c.response, "RESET")
					if r.write(text); reset {
						r.closeAfterFlush()
					}
				}
				w1.respond, w2.respond = invalidFirst, invalidFirst
				h.startInService()
				start := h.now()
				got := h.connectClient().exchange(request(requestID(1)))
				attempts := w1.attempts() + w2.attempts()
				var expected bool
				switch {
				case c.broken:
					expected = got.body == event1 && got.err != nil && attempts == 1 && h.elapsedSince(start) <= time.Second
				case c.extra:
					expected = strings.HasPrefix(got.body, streamBody) && got.err == nil && attempts == 1
				default:
					expected = got.body == streamBody && got.err == nil && attempts == 2
				}
				if !expected || got.StatusCode != http.StatusOK {
					h.t.Errorf("got status %d, body %q, error %v after %v and %d attempts",
						got.StatusCode, got.body, got.err, h.elapsedSince(start), attempts)
				}
				if c.extra {
					for n := 2; n < 6; n++ {
						h.waitUntilReusable()
						h.connectClient().expectServed(n)
					}
				}
			})
		})
	}
}

// TestStaleAndUnreachable checks that an idle connection that its server has closed is not reused, and that a server
// that cannot be reached costs a request no more than another attempt.
func TestStaleAndUnreachable(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		respondAndClose := func(text string) func(*scriptedRequest) {
			return func(r *scriptedRequest) { r.write(text); r.closeAfterFlush() }
		}
		prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
		prefill.respond, decode.respond = respondAndClose(prefillResponse), respondAndClose(decodeResponse)
		h.addServer("r2", "prefill").stopListening()
		h.addServer("w2", "decode").stopListening()
		h.startInService()
		client := h.connectClient()
		for n := range 8 {
			client.expectServed(n)
			h.waitUntilReusable()
		}
		if prefill.attempts() != 8 || decode.attempts() != 8 {
			h.t.Errorf("got %d prefill and %d decode attempts, want 8 each", prefill.attempts(), decode.attempts())
		}
	})
}

// TestIdleConnsThatDied checks that a server is not avoided because attempts are lost on its stale connections: a
// session stays at its prefill server.
func TestIdleConnsThatDied(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		closeOnSecondRequest := func(text string) func(*scriptedRequest) {
			answered := map[*scriptedConn]bool{}
			return func(r *scriptedRequest) {
				if answered[r.conn] {
					r.conn.socket.Close()
					return
				}
				answered[r.conn] = true
				r.write(text)
			}
		}
		var prefills []*scriptedServer
		for _, name := range []string{"r1", "r2", "r3"} {
			prefill := h.addServer(name, "prefill")
			prefill.respond = closeOnSecondRequest(prefillResponse)
			prefills = append(prefills, prefill)
		}
		h.addServer("w1", "decode").respond = closeOnSecondRequest(decodeResponse)
		h.addServer("w2", "decode").respond = closeOnSecondRequest(decodeResponse)
		h.startInService()
		client := h.connectClient()
		for n := range 20 {
			client.expectServed(n)
			h.waitUntilReusable()
		}
		h.onLoop(func() {
			if h.node.backend.Counts.StaleConnections == 0 {
				h.t.Error("no attempt was lost on a stale connection")
			}
		})
		usedServers := 0
		for _, prefill := range prefills {
			if prefill.attempts() > 0 {
				usedServers++
			}
		}
		if usedServers != 1 {
			h.t.Errorf("the session was sent to %d prefill servers, want one", usedServers)
		}
		// A connection counts as stale if it is lost within a fiftieth of the connect timeout, which is long here so
		// that a slow machine does not matter.
	}, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":10000000000`)
}

// TestOutcomes checks that an attempt of an idempotent request is retried even if it may have run, unless the server
// finds the request invalid.
func TestOutcomes(t *testing.T) {
	respond := func(text string) func(*scriptedRequest) { return func(r *scriptedRequest) { r.write(text) } }
	for name, c := range map[string]struct {
		respond  func(*scriptedRequest) // to the first decode attempt
		status   int
		attempts int // at decode servers
	}{
		"reset after the last byte": {(*scriptedRequest).closeAfterFlush, 200, 2},
		"error":                     {respond("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), 200, 2},
		"rejected":                  {respond("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), 200, 2},
		"state gone":                {respond("HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), 200, 2},
		"invalid":                   {respond("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"), 504, 1},
	} {
		t.Run(name, func(t *testing.T) {
			onEachNetwork(t, func(h *harness) {
				r1, r2 := h.addServer("r1", "prefill"), h.addServer("r2", "prefill")
				r1.response, r2.response = prefillResponse, prefillResponse
				w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
				respondFirst := func(r *scriptedRequest) {
					if w1.attemptCount()+w2.attemptCount() > 1 {
						r.write(decodeResponse)
						return
					}
					c.respond(r)
				}
				w1.respond, w2.respond = respondFirst, respondFirst
				h.startInService()
				got := h.connectClient().exchange(request(requestID(1)))
				attempts := w1.attempts() + w2.attempts()
				if got.StatusCode != c.status || attempts != c.attempts || got.err != nil {
					h.t.Errorf("got status %d after %d attempts, error %v, want %d after %d",
						got.StatusCode, attempts, got.err, c.status, c.attempts)
				}
				if name == "state gone" {
					expectReleaseBetweenPrefills(h.t, []*scriptedServer{r1, r2}, []*scriptedServer{w1, w2})
				}
			})
		})
	}
}

// expectReleaseBetweenPrefills fails the test unless the servers have received two prefill attempts and, between them,
// one release.
func expectReleaseBetweenPrefills(t *testing.T, prefillServers, decodeServers []*scriptedServer) {
	t.Helper()
	var prefills, releases []int64
	for _, server := range append(slices.Clone(prefillServers), decodeServers...) {
		server.h.onLoop(func() {
			for _, r := range server.requests {
				switch {
				case r.isRelease():
					releases = append(releases, r.receivedAt)
				case slices.Contains(prefillServers, server):
					prefills = append(prefills, r.receivedAt)
				}
			}
		})
	}
	slices.Sort(prefills)
	if len(prefills) != 2 || len(releases) != 1 || releases[0] < prefills[0] || releases[0] > prefills[1] {
		t.Errorf("got prefill attempts at %v and releases at %v, want one release between two attempts", prefills, releases)
	}
}

// TestReleaseByAnotherServer checks that an attempt is abandoned when its client disconnects, and that the state that
// it may leave is released by another server if the one that holds it does not respond.
func TestReleaseByAnotherServer(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		silent, decode := h.addServer("r1", "prefill"), h.addServer("writer", "decode")
		decode.response = decodeResponse
		h.startInService()
		client := h.connectClient()
		client.send(request(requestID(1)))
		silent.accept().readRequest()
		client.close()
		h.waitUntil("a release", func() bool { return len(decode.requests) > 0 })
		if line := decode.releases()[0].line; line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
			h.t.Errorf("got %q, want a release", line)
		}
	})
}
