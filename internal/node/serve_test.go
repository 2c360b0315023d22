package node

import (
	"bufio"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// Tests of requests from clients to servers, and of the responses.

// addRespondingServers adds a prefill server and a decode server that respond to every request.
func (h *harness) addRespondingServers() (prefill, decode *scriptedServer) {
	prefill, decode = h.addServer("reader", "prefill"), h.addServer("writer", "decode")
	prefill.response, decode.response = prefillResponse, decodeResponse
	return prefill, decode
}

// TestServes checks that a request is sent to a prefill server and to a decode server as its client sent it, that the
// events of the response are relayed unchanged, and that connections are reused.
func TestServes(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		client := h.connectClient()
		for n := range 5 {
			client.expectServed(n)
			h.waitUntilReusable()
		}
		conns := prefill.connCount + decode.connCount
		if prefill.attempts() != 5 || decode.attempts() != 5 || conns != 2 {
			h.t.Errorf("got %d prefill and %d decode attempts on %d connections, want 5 and 5 on 2",
				prefill.attempts(), decode.attempts(), conns)
		}
		for _, r := range prefill.requests {
			if !strings.Contains(r.line, "?v=1 ") || !strings.Contains(r.head, "X-Remaining: ") {
				h.t.Errorf("the prefill server got %q", r.head)
			}
		}
	})
}

// TestBadRequests checks that an invalid request is answered with an error and sent to no server.
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
				h.t.Errorf("%s: got status %d, error %v, want an error status other than 503", name, got.StatusCode, got.err)
			}
		}
		if n := len(prefill.requests) + len(decode.requests); n > 0 {
			h.t.Errorf("servers got %d requests, want 0", n)
		}
		h.connectClient().expectServed(1)
	})
}

// TestSameID checks that a request with the ID of a request in flight is refused, and the one in flight is served.
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
			h.t.Errorf("request with the same ID: got status %d, want 409", got.StatusCode)
		}
		decodeConn.send(decodeResponse)
		if got := first.readResponse(); got.body != streamBody {
			h.t.Errorf("request in flight: got body %q", got.body)
		}
	})
}

// TestPipelined checks that requests sent together on one connection are served one after the other.
func TestPipelined(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addRespondingServers()
		h.startInService()
		client := h.connectClient()
		client.send(request(requestID(1)) + request(requestID(2)))
		for n := range 2 {
			if got := client.readResponse(); got.body != streamBody || got.err != nil {
				h.t.Errorf("response %d: got body %q, error %v", n, got.body, got.err)
			}
		}
	})
}

// TestReject checks that a request for which no server can be reached is rejected while its client still waits, with
// Retry-After.
func TestReject(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addServer("reader", "prefill").stopListening()
		h.startInService()
		got := h.connectClient().exchange(request(requestID(1)))
		retryAfter := got.Header.Get("Retry-After")
		if got.StatusCode != http.StatusServiceUnavailable || retryAfter != "0.500" {
			h.t.Errorf("got status %d, Retry-After %q, want 503 and 0.500", got.StatusCode, retryAfter)
		}
	})
}

// TestHeaderFieldsAreForwarded checks that end-to-end header fields, such as the key by which servers recognize
// retries, are forwarded unchanged, and that hop-by-hop fields are removed.
func TestHeaderFieldsAreForwarded(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		prefill, decode := h.addRespondingServers()
		h.startInService()
		got := h.connectClient().exchange(request(requestID(1), "X-Lane: chat\r\n",
			"X-Lane: chat\r\nIdempotency-Key: k-17\r\nx-trace: a\r\nX-Trace: b\r\n"+
				"X-Hop: h\r\nConnection: keep-alive, x-hop\r\nTE: trailers\r\n"))
		if got.body != streamBody || got.err != nil {
			h.t.Fatalf("got body %q, error %v", got.body, got.err)
		}
		for _, server := range []*scriptedServer{prefill, decode} {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(server.requests[0].head + "\r\n\r\n")))
			if err != nil {
				h.t.Fatal(err)
			}
			header := r.Header
			forwarded := header.Get("Idempotency-Key") == "k-17" && slices.Equal(header["X-Trace"], []string{"a", "b"})
			removed := header["X-Hop"] == nil && header["Te"] == nil && len(header["Connection"]) == 0
			if !forwarded || !removed || len(header["X-Remaining"]) != 1 || len(header["X-Txn"]) != 1 {
				h.t.Errorf("the server got %v", header)
			}
		}
	})
}

// TestTenants checks that a request may name a tenant of the settings, and is refused if it names another.
func TestTenants(t *testing.T) {
	onEachNetwork(t, func(h *harness) {
		h.addRespondingServers()
		h.startInService()
		wantStatuses := map[string]int{"north": 200, "south": 200, "": 200, "west": 400}
		for _, name := range slices.Sorted(maps.Keys(wantStatuses)) {
			want, field := wantStatuses[name], ""
			if name != "" {
				field = "X-Org: " + name + "\r\n"
			}
			got := h.connectClient().exchange(request(requestID(1), "X-Lane", field+"X-Lane"))
			if got.StatusCode != want || got.err != nil {
				h.t.Errorf("tenant %q: got status %d, error %v, want %d", name, got.StatusCode, got.err, want)
			}
		}
	}, `"tenants":[]`, `"tenants":[{"name":"north","allowance_per_s":5},{"name":"south","allowance_per_s":1}]`)
}
