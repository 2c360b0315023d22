package node

import (
	"bufio"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// Tests of requests from client to servers and back.

// addRespondingServers adds a server of each kind that responds to every request.
func (h *harness) addRespondingServers() (prefill, decode *scriptedServer) {
	prefill, decode = h.addServer("reader", "prefill"), h.addServer("writer", "decode")
	prefill.response, decode.response = prefillResponse, decodeResponse
	return prefill, decode
}

// TestServes: a request is sent to a prefill server and to a decode server as its client sent it, and the events of the
// response are relayed unchanged. Connections are reused.
func TestServes(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		c := h.connectClient()
		for n := range 5 {
			c.expectServed(n)
			h.waitUntilReusable()
		}
		conns := prefill.acceptedCount + decode.acceptedCount
		if prefill.attempts() != 5 || decode.attempts() != 5 || conns != 2 {
			h.t.Errorf("%d prefill and %d decode attempts on %d connections, want 5 and 5 on 2",
				prefill.attempts(), decode.attempts(), conns)
		}
		for _, r := range prefill.requests {
			if !strings.Contains(r.line, "?v=1 ") || !strings.Contains(r.head, "X-Remaining: ") {
				h.t.Errorf("the prefill server got %q", r.head)
			}
		}
	})
}

// TestBadRequests: an invalid request is answered with an error and sent to no server.
func TestBadRequests(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		id := requestID(1)
		requests := map[string]string{
			"no id":           request(id, "X-Txn: "+id+"\r\n", ""),
			"two ids":         request(id, "X-Lane", "X-Txn: "+requestID(2)+"\r\nX-Lane"),
			"odd id":          request("zz"),
			"unknown class":   request(id, "X-Lane: chat", "X-Lane: none"),
			"no deadline":     request(id, "X-Remaining: 4.800\r\n", ""),
			"NaN":             request(id, "4.800", "NaN"),
			"negative time":   request(id, "4.800", "-1"),
			"infinite time":   request(id, "4.800", "1e999"),
			"labels":          request(id, "prompt_len=5120", "prompt_len=-5"),
			"prefix too long": request(id, "prefix_len=2048", "prefix_len=9999"),
			"no JSON":         request(id, `"model"`, `model""`),
			"no messages":     request(id, `"messages":[{`, `"messagez":[{`),
			"content":         request(id, `"abcd"`, `123456`),
			"two lengths":     request(id, "Content-Length", "Content-Length: 5\r\nContent-Length"),
			"smuggled":        request(id, "Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
			"60 MB":           request(id, contentLength, "Content-Length: 60000000"),
			"path":            request(id, "/v1/chat", "/v2/chat"),
			"method":          request(id, "POST", "PUT"),
			"no host":         request(id, "Host: api.internal\r\n", ""),
			"noise":           "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
			"endless head":    "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 20<<10),
		}
		for _, name := range slices.Sorted(maps.Keys(requests)) {
			got := h.connectClient().exchange(requests[name])
			if got.StatusCode < 400 || got.StatusCode > 505 || got.StatusCode == http.StatusServiceUnavailable {
				h.t.Errorf("%s: %d, %v", name, got.StatusCode, got.err)
			}
		}
		if n := len(prefill.requests) + len(decode.requests); n > 0 {
			h.t.Errorf("servers got %d requests", n)
		}
		h.connectClient().expectServed(1)
	})
}

// TestSameID: a request with the ID of one in hand is refused, and the one in hand goes on.
func TestSameID(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("reader", "prefill").response = prefillResponse
		decode := h.addServer("writer", "decode")
		h.startInService()
		first := h.connectClient()
		first.send(request(requestID(1)))
		decodeConn := decode.accept()
		decodeConn.readRequest()
		if got := h.connectClient().exchange(request(requestID(1))); got.StatusCode != http.StatusConflict {
			h.t.Errorf("the same ID: %d, want 409", got.StatusCode)
		}
		decodeConn.send(decodeResponse)
		if got := first.readResponse(); got.body != streamBody {
			h.t.Errorf("the request in hand: %q", got.body)
		}
	})
}

// TestPipelined: a request that follows another on the same connection waits for the end of the first.
func TestPipelined(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addRespondingServers()
		h.startInService()
		c := h.connectClient()
		c.send(request(requestID(1)) + request(requestID(2)))
		for n := range 2 {
			if got := c.readResponse(); got.body != streamBody || got.err != nil {
				h.t.Errorf("response %d: %q, %v", n, got.body, got.err)
			}
		}
	})
}

// TestReject: a request for which there is no server is rejected at once, with Retry-After.
func TestReject(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("reader", "prefill").stopListening()
		h.startInService()
		got := h.connectClient().exchange(request(requestID(1)))
		retryAfter := got.Header.Get("Retry-After")
		if got.StatusCode != http.StatusServiceUnavailable || retryAfter != "0.750" {
			h.t.Errorf("%d, Retry-After %q, want 503 and 0.750", got.StatusCode, retryAfter)
		}
	})
}

// TestHeaderFieldsAreForwarded: end-to-end header fields are forwarded to servers unchanged, such as the key by which
// they recognize retries.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		got := h.connectClient().exchange(request(requestID(1), "X-Lane: chat\r\n",
			"X-Lane: chat\r\nIdempotency-Key: k-17\r\nx-trace: a\r\nX-Trace: b\r\n"+
				"X-Hop: h\r\nConnection: keep-alive, x-hop\r\nTE: trailers\r\n"))
		if got.body != streamBody || got.err != nil {
			h.t.Fatalf("%q, %v", got.body, got.err)
		}
		for _, p := range []*scriptedServer{prefill, decode} {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(p.requests[0].head + "\r\n\r\n")))
			if err != nil {
				h.t.Fatal(err)
			}
			f := r.Header
			forwarded := f.Get("Idempotency-Key") == "k-17" && slices.Equal(f["X-Trace"], []string{"a", "b"})
			removed := f["X-Hop"] == nil && f["Te"] == nil && len(f["Connection"]) == 0
			if !forwarded || !removed || len(f["X-Remaining"]) != 1 || len(f["X-Txn"]) != 1 {
				h.t.Errorf("the server got %v", f)
			}
		}
	})
}

// TestTenants: a request may name a tenant of the settings; one that names another is refused.
func TestTenants(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addRespondingServers()
		h.startInService()
		statuses := map[string]int{"north": 200, "south": 200, "": 200, "west": 400}
		for _, name := range slices.Sorted(maps.Keys(statuses)) {
			want, field := statuses[name], ""
			if name != "" {
				field = "X-Org: " + name + "\r\n"
			}
			got := h.connectClient().exchange(request(requestID(1), "X-Lane", field+"X-Lane"))
			if got.StatusCode != want || got.err != nil {
				h.t.Errorf("tenant %q: %d, %v, want %d", name, got.StatusCode, got.err, want)
			}
		}
	}, `"tenants":[]`, `"tenants":[{"name":"north","allowance_per_s":5},{"name":"south","allowance_per_s":1}]`)
}
