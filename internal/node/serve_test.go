package node

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// Tests of requests from end to end, over simulated and over loopback connections.

// addRespondingServers makes a server of each kind that answers each request as a sound one does.
func (h *harness) addRespondingServers() (prefill, decode *scriptedServer) {
	prefill, decode = h.addServer("reader", "prefill"), h.addServer("writer", "decode")
	prefill.response, decode.response = prefillResponse, decodeResponse
	return prefill, decode
}

// A request is read at a prefill server and written at a decode server as its client sent it, and its events pass unchanged;
// connections are used again.
func TestServes(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		c := h.connectClient()
		for n := range 5 {
			c.expectServed(n)
			h.waitUntilReusable()
		}
		if prefill.attempts() != 5 || decode.attempts() != 5 || prefill.acceptedCount+decode.acceptedCount != 2 {
			h.t.Errorf("%d reads, %d writes on %d connections, want 5 and 5 on 2", prefill.attempts(), decode.attempts(), prefill.acceptedCount+decode.acceptedCount)
		}
		for _, r := range prefill.requests {
			if !strings.Contains(r.line, "?v=1 ") || !strings.Contains(r.head, "X-Remaining: ") {
				h.t.Errorf("the prefill server got %q", r.head)
			}
		}
	})
}

// What is no request of the platform's is answered as an error, and no server hears of it.
func TestBadRequests(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		name := requestID(1)
		for what, text := range map[string]string{
			"no id":           request(name, "X-Txn: "+name+"\r\n", ""),
			"two ids":         request(name, "X-Lane", "X-Txn: "+requestID(2)+"\r\nX-Lane"),
			"odd id":          request("zz"),
			"unknown class":   request(name, "X-Lane: chat", "X-Lane: none"),
			"no deadline":     request(name, "X-Remaining: 4.800\r\n", ""),
			"NaN":             request(name, "4.800", "NaN"),
			"negative time":   request(name, "4.800", "-1"),
			"infinite time":   request(name, "4.800", "1e999"),
			"labels":          request(name, "prompt_len=5120", "prompt_len=-5"),
			"prefix too long": request(name, "prefix_len=2048", "prefix_len=9999"),
			"no JSON":         request(name, `"model"`, `model""`),
			"no messages":     request(name, `"messages":[{`, `"messagez":[{`),
			"content":         request(name, `"abcd"`, `123456`),
			"two lengths":     request(name, "Content-Length", "Content-Length: 5\r\nContent-Length"),
			"smuggled":        request(name, "Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
			"60 MB":           request(name, contentLength, "Content-Length: 60000000"),
			"path":            request(name, "/v1/chat", "/v2/chat"),
			"method":          request(name, "POST", "PUT"),
			"no host":         request(name, "Host: api.internal\r\n", ""),
			"noise":           "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
			"endless head":    "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 20<<10),
		} {
			if got := h.connectClient().exchange(text); got.StatusCode < 400 || got.StatusCode > 505 || got.StatusCode == 503 {
				h.t.Errorf("%s: %d, %v", what, got.StatusCode, got.err)
			}
		}
		if n := len(prefill.requests) + len(decode.requests); n > 0 {
			h.t.Errorf("servers heard of %d requests", n)
		}
		h.connectClient().expectServed(1)
	})
}

// The id of a request in hand is refused elsewhere, and the one in hand goes on.
func TestSameID(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("reader", "prefill").response = prefillResponse
		decode := h.addServer("writer", "decode")
		h.startInService()
		first := h.connectClient()
		first.send(request(requestID(1)))
		decodeConn := decode.accept()
		decodeConn.readRequest()
		if got := h.connectClient().exchange(request(requestID(1))); got.StatusCode != 409 {
			h.t.Errorf("the same id: %d, want 409", got.StatusCode)
		}
		decodeConn.send(decodeResponse)
		if got := first.readResponse(); got.body != streamBody {
			h.t.Errorf("the request in hand: %q", got.body)
		}
	})
}

// A request behind another on the same connection waits for its end.
func TestPipelined(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addRespondingServers()
		h.startInService()
		c := h.connectClient()
		c.send(request(requestID(1)) + request(requestID(2)))
		for n := range 2 {
			if got := c.readResponse(); got.body != streamBody || got.err != nil {
				h.t.Errorf("answer %d: %q, %v", n, got.body, got.err)
			}
		}
	})
}

// A stream spoilt before its first event is an attempt that failed; one spoilt later ends the client's connection without
// the last chunk; one with more than belongs to it serves, and its connection is not used again.
func TestInvalidStreams(t *testing.T) {
	for what, c := range map[string]struct {
		says  string
		ends  bool
		extra bool
	}{
		"noise":          {says: "\xb5\r7\xd6\b\x9b\x0f\r\n\r\n"},
		"odd status":     {says: "HTTP/1.1 2x0 OK\r\n\r\n"},
		"endless head":   {says: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 20<<10)},
		"first chunk":    {says: streamHead + "zz\r\n"},
		"half an event":  {says: streamHead + chunk(event1[:9]) + "-1\r\n"},
		"no event":       {says: streamHead + "0\r\n\r\n"},
		"later chunk":    {says: streamHead + chunk(event1) + "zz\r\n", ends: true},
		"3 GB":           {says: streamHead + chunk(event1) + "BB800000\r\n" + strings.Repeat("a", 1<<10), ends: true},
		"does not fit":   {says: streamHead + chunk(event1) + "5\r\n" + event2, ends: true},
		"reset":          {says: streamHead + chunk(event1) + "RESET", ends: true},
		"1xx in front":   {says: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\n", extra: true},
		"odd report":     {says: streamHead + chunk(event1) + chunk(event2) + chunk(": X-Pressure: {nonsense\n") + "0\r\n\r\n", extra: true},
		"second answer":  {says: streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", extra: true},
		"trailing bytes": {says: streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\n\x00\x01", extra: true},
	} {
		t.Run(what, func(t *testing.T) {
			onEachNetwork(t, func(h *harness) {
				h.addServer("reader", "prefill").response = prefillResponse
				w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
				odd := func(r *scriptedRequest) {
					if w1.attemptCount()+w2.attemptCount() > 1 {
						r.write(decodeResponse)
						return
					}
					text, reset := strings.CutSuffix(c.says, "RESET")
					if r.write(text); reset {
						r.closeAfterFlush()
					}
				}
				w1.respond, w2.respond = odd, odd
				h.startInService()
				began := h.now()
				got := h.connectClient().exchange(request(requestID(1)))
				attempts := w1.attempts() + w2.attempts()
				switch {
				case c.ends:
					if got.StatusCode != 200 || got.body != event1 || got.err == nil || attempts != 1 || h.elapsedSince(began) > time.Second {
						h.t.Errorf("%d %q, %v after %v, %d attempts", got.StatusCode, got.body, got.err, h.elapsedSince(began), attempts)
					}
				case c.extra:
					if got.StatusCode != 200 || !strings.HasPrefix(got.body, streamBody) || got.err != nil || attempts != 1 {
						h.t.Errorf("%d %q, %v, %d attempts", got.StatusCode, got.body, got.err, attempts)
					}
					for n := 2; n < 6; n++ {
						h.waitUntilReusable()
						h.connectClient().expectServed(n)
					}
				default:
					if got.StatusCode != 200 || got.body != streamBody || got.err != nil || attempts != 2 {
						h.t.Errorf("%d %q, %v, %d attempts", got.StatusCode, got.body, got.err, attempts)
					}
				}
			})
		})
	}
}

// A connection that its server closed while it stood idle is not written to, and one to a server that cannot be reached
// costs the request nothing but another attempt.
func TestStaleAndUnreachable(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		once := func(text string) func(*scriptedRequest) {
			return func(r *scriptedRequest) { r.write(text); r.closeAfterFlush() }
		}
		prefill, decode := h.addServer("r1", "prefill"), h.addServer("w1", "decode")
		prefill.respond, decode.respond = once(prefillResponse), once(decodeResponse)
		h.addServer("r2", "prefill").stopListening()
		h.addServer("w2", "decode").stopListening()
		h.startInService()
		c := h.connectClient()
		for n := range 8 {
			c.expectServed(n)
			h.waitUntilReusable()
		}
		if prefill.attempts() != 8 || decode.attempts() != 8 {
			h.t.Errorf("%d reads, %d writes, want 8 each", prefill.attempts(), decode.attempts())
		}
	})
}

// What may have run is sent again where that does no harm; a 400 of a server is the request's own fault.
func TestOutcomes(t *testing.T) {
	says := func(text string) func(*scriptedRequest) { return func(r *scriptedRequest) { r.write(text) } }
	for what, c := range map[string]struct {
		does   func(*scriptedRequest)
		status int
		writes int
	}{
		"reset after the last byte": {(*scriptedRequest).closeAfterFlush, 200, 2},
		"error":                     {says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), 200, 2},
		"turned away":               {says("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), 200, 2},
		"state gone":                {says("HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), 200, 2},
		"unusable":                  {says("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"), 504, 1},
	} {
		t.Run(what, func(t *testing.T) {
			onEachNetwork(t, func(h *harness) {
				r1, r2 := h.addServer("r1", "prefill"), h.addServer("r2", "prefill")
				r1.response, r2.response = prefillResponse, prefillResponse
				w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
				first := func(r *scriptedRequest) {
					if w1.attemptCount()+w2.attemptCount() > 1 {
						r.write(decodeResponse)
						return
					}
					c.does(r)
				}
				w1.respond, w2.respond = first, first
				h.startInService()
				got := h.connectClient().exchange(request(requestID(1)))
				if writes := w1.attempts() + w2.attempts(); got.StatusCode != c.status || writes != c.writes || got.err != nil {
					h.t.Errorf("%d after %d writes, %v, want %d after %d", got.StatusCode, writes, got.err, c.status, c.writes)
				}
				if what == "state gone" {
					expectReleaseBetweenPrefills(h.t, []*scriptedServer{r1, r2}, []*scriptedServer{w1, w2})
				}
			})
		})
	}
}

// expectReleaseBetweenPrefills wants two reads at prefill servers, and one release, by any server, after the first and before
// the second.
func expectReleaseBetweenPrefills(t *testing.T, prefill, decode []*scriptedServer) {
	t.Helper()
	var reads, releases []int64
	for _, p := range append(slices.Clone(prefill), decode...) {
		p.h.onLoop(func() {
			for _, r := range p.requests {
				switch {
				case r.isRelease():
					releases = append(releases, r.at)
				case slices.Contains(prefill, p):
					reads = append(reads, r.at)
				}
			}
		})
	}
	slices.Sort(reads)
	if len(reads) != 2 || len(releases) != 1 || releases[0] < reads[0] || releases[0] > reads[1] {
		t.Errorf("reads at %v, releases at %v: want a release between two reads", reads, releases)
	}
}

// A client that is gone ends its request: the attempt's connection is closed and what was read is released, by a server that
// is heard, as the one that holds it is silent.
func TestReleaseByAnotherServer(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		silent, decode := h.addServer("r1", "prefill"), h.addServer("writer", "decode")
		decode.response = decodeResponse
		h.startInService()
		c := h.connectClient()
		c.send(request(requestID(1)))
		silent.accept().readRequest()
		c.close()
		h.waitUntil("a release", func() bool { return len(decode.requests) > 0 })
		if line := decode.releases()[0].line; line != "DELETE /state/"+requestID(1)+" HTTP/1.1" {
			h.t.Errorf("%q", line)
		}
	})
}

// What a read found cached is set beside what the module expected to be cached there.
func TestPrefixCache(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, _ := h.addRespondingServers()
		bodies := []string{`{"cached_tokens":100}`, `{"cached_tokens":2000}`, `{"cached_tokens":-1}`, `{"cached_tokens":"x"}`, `{}`}
		prefill.respond = func(r *scriptedRequest) {
			text := bodies[r.number-1]
			r.write("HTTP/1.1 202 Accepted\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
		}
		h.startInService()
		for n := range bodies {
			h.connectClient().expectServed(n)
		}
		h.onLoop(func() {
			k := h.node.backend.Counts.PrefixCache
			if k.Prefills != 2 || k.Prompt != 2*5120 || k.Shared != 2*2048 || k.Expected != 5120 || k.Found != 2100 || k.Unexpected != 100 || k.Missed != 3120 {
				h.t.Errorf("%+v", k) // the second read's whole prompt was read there before
			}
		})
	})
}

// Requests that find no server are answered at once, with when to come back.
func TestReject(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("reader", "prefill").stopListening()
		h.startInService()
		if got := h.connectClient().exchange(request(requestID(1))); got.StatusCode != 503 || got.Header.Get("Retry-After") != "0.750" {
			h.t.Errorf("%d, Retry-After %q, want 503 and 0.750", got.StatusCode, got.Header.Get("Retry-After"))
		}
	})
}

// A server that begins to drain gets no new request; the list is heeded also from another address after a change of the
// configuration, and the old one is released.
func TestListAndReload(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("r1", "prefill").response = prefillResponse
		w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
		w1.response, w2.response = decodeResponse, decodeResponse
		old := h.startInService()
		h.connectClient().expectServed(1)
		h.sendList(old, backend.EndpointList{Version: 43, Endpoints: []backend.Endpoint{h.drainingEndpoint("w1")}})
		had := w1.attempts()
		for n := 2; n < 8; n++ {
			h.connectClient().expectServed(n)
		}
		if w1.attempts() != had {
			h.t.Error("a server that drains got a request")
		}
		fresh := h.newServer()
		h.setDiscovery(fresh)
		watch := fresh.accept()
		if line := watch.readRequest(); strings.Contains(line, "from=") {
			h.t.Errorf("%q, want a whole list asked for", line)
		}
		watch.send(watchHead)
		h.sendList(watch, backend.EndpointList{Version: 44, Full: true, Endpoints: h.endpoints})
		old.waitForClose()
	})
}

// Servers that are replaced under new names leave nothing behind.
func TestReplacedServers(t *testing.T) {
	h := newHarness(t, simulated)
	h.addRespondingServers()
	watch := h.startInService()
	c := h.connectClient()
	for n := range 200 {
		list := backend.EndpointList{Version: int64(43 + n)}
		for i, server := range h.endpoints {
			gone := server
			gone.State = "Gone"
			server.ID = "h" + requestID(2*n+i)
			h.endpoints[i] = server
			list.Endpoints = append(list.Endpoints, gone, server)
		}
		h.sendList(watch, list)
		if n%20 == 0 {
			c.expectServed(n)
		}
	}
	if servers, conns := h.node.backend.Servers(), h.node.backend.Conns(); servers > 2 || conns > 4 {
		t.Errorf("%d servers known, %d connections, want 2 and few", servers, conns)
	}
}

// Servers that drop kept connections without a word cost an attempt, not their standing: a session stays at its prefill server.
func TestIdleConnsThatDied(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		// a connection that is lost counts as lost at once within a fiftieth of this
		dies := func(text string) func(*scriptedRequest) { // every second request of a connection meets its end
			answered := map[*scriptedConn]bool{}
			return func(r *scriptedRequest) {
				if answered[r.conn] {
					r.conn.conn.Close()
					return
				}
				answered[r.conn] = true
				r.write(text)
			}
		}
		var prefills []*scriptedServer
		for _, name := range []string{"r1", "r2", "r3"} {
			prefill := h.addServer(name, "prefill")
			prefill.respond = dies(prefillResponse)
			prefills = append(prefills, prefill)
		}
		h.addServer("w1", "decode").respond = dies(decodeResponse)
		h.addServer("w2", "decode").respond = dies(decodeResponse)
		h.startInService()
		c := h.connectClient()
		for n := range 20 {
			c.expectServed(n)
			h.waitUntilReusable()
		}
		h.onLoop(func() {
			if h.node.backend.Counts.StaleConnections == 0 {
				h.t.Error("no kept connection died")
			}
		})
		used := 0
		for _, prefill := range prefills {
			if prefill.attempts() > 0 {
				used++
			}
		}
		if used != 1 {
			h.t.Errorf("the session was read at %d prefill servers, want one", used)
		}
	}, `"connect_timeout_ns":250000000`, `"connect_timeout_ns":10000000000`)
}

// What the module believes of servers agrees with what crosses the connections, with requests in every stage and after some
// were lost.
func TestServerStatuses(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		var held []func()
		r1, r2 := h.addServer("r1", "prefill"), h.addServer("r2", "prefill")
		w1, w2 := h.addServer("w1", "decode"), h.addServer("w2", "decode")
		r2.response, w2.response = prefillResponse, decodeResponse
		r1.respond = func(r *scriptedRequest) {
			finish := func() { r.write(prefillResponse) }
			if r.number%3 == 0 {
				finish = r.closeAfterFlush
			}
			if r.number%4 == 0 {
				held = append(held, finish)
				return
			}
			finish()
		}
		w1.respond = func(r *scriptedRequest) {
			if r.number%3 == 0 {
				r.write(streamHead + chunk(event1))
				held = append(held, r.closeAfterFlush)
				return
			}
			r.write(decodeResponse)
		}
		h.startInService()
		agree := func() (out int) {
			h.onLoop(func() {
				beliefs := h.node.serverStatuses()
				if len(beliefs) != 4 {
					h.t.Errorf("beliefs of %d servers", len(beliefs))
				}
				for _, b := range beliefs {
					if b.HasMismatch() {
						h.t.Errorf("%s: %d unanswered and %d streams are believed, %d are out", b.Name, b.UnansweredAttempts, b.Streams, b.InFlightAttempts)
					}
					out += b.InFlightAttempts
				}
			})
			return out
		}
		for n := range 24 {
			c := h.connectClient()
			c.send(request(requestID(n), "7f3a9c21e0b4d655", requestID(n), "5c0f6e1a2b3d4c59", requestID(n)))
			if n%5 == 4 {
				h.advance(5 * time.Millisecond)
				c.close()
			}
			agree()
		}
		h.advance(20 * time.Millisecond)
		if agree() == 0 {
			h.t.Error("nothing is out: the test shows nothing")
		}
		h.onLoop(func() {
			for _, finish := range held {
				finish()
			}
			r1.respond, w1.respond = nil, nil
			r1.response, w1.response = prefillResponse, decodeResponse
		})
		for began := h.now(); agree() > 0; h.advance(time.Millisecond) {
			if h.elapsedSince(began) > scriptTimeout {
				h.t.Fatal("something is out for ever")
			}
		}
	})
}

// Header fields that are not the connection's own go on to servers unchanged, such as the key by which repeats are known.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		got := h.connectClient().exchange(request(requestID(1), "X-Lane: chat\r\n",
			"X-Lane: chat\r\nIdempotency-Key: k-17\r\nx-trace: a\r\nX-Trace: b\r\nX-Hop: h\r\nConnection: keep-alive, x-hop\r\nTE: trailers\r\n"))
		if got.body != streamBody || got.err != nil {
			h.t.Fatalf("%q, %v", got.body, got.err)
		}
		for _, p := range []*scriptedServer{prefill, decode} {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(p.requests[0].head + "\r\n\r\n")))
			if err != nil {
				h.t.Fatal(err)
			}
			f := r.Header
			if f.Get("Idempotency-Key") != "k-17" || len(f["X-Trace"]) != 2 || f["X-Trace"][1] != "b" || f["X-Hop"] != nil || f["Te"] != nil ||
				len(f["X-Remaining"]) != 1 || len(f["X-Txn"]) != 1 || len(f["Connection"]) > 0 {
				h.t.Errorf("the server got %v", f)
			}
		}
	})
}

// Requests count for the tenant that they name; one that the settings don't have is refused.
func TestTenants(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addRespondingServers()
		h.startInService()
		for name, want := range map[string]int{"north": 200, "south": 200, "": 200, "west": 400} {
			field := ""
			if name != "" {
				field = "X-Org: " + name + "\r\n"
			}
			if got := h.connectClient().exchange(request(requestID(1), "X-Lane", field+"X-Lane")); got.StatusCode != want || got.err != nil {
				h.t.Errorf("tenant %q: %d, %v, want %d", name, got.StatusCode, got.err, want)
			}
		}
	}, `"tenants":[]`, `"tenants":[{"name":"north","allowance_per_s":5},{"name":"south","allowance_per_s":1}]`)
}
