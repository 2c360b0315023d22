package node

import (
	"fmt"
	"strings"
	"testing"
)

// TestWireBytes holds every kind of message that the dispatcher sends to servers and to discovery, byte for byte.
func TestWireBytes(t *testing.T) {
	h := newHarness(t, simulated)
	prefill, decode := h.server("r1", "prefill"), h.server("w1", "decode")
	watch := h.startInService()
	const firstCall = "GET /registry/instances?watch=1&from=41 HTTP/1.1\r\nHost: 127.0.1.1:80\r\n\r\n"
	if !strings.HasSuffix(h.trace.lines[1], fmt.Sprintf("received %q\n", firstCall)) {
		t.Errorf("discovery saw %s, want %q", h.trace.lines[:2], firstCall)
	}
	client := h.client()
	client.send(request(jobName(1), "X-Lane: chat\r\n", "X-Lane: chat\r\nIdempotency-Key: k-17\r\n"))
	attempt := func(server string) string {
		return "POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: " + server + "\r\nContent-Type: application/json\r\nX-Txn: " + jobName(1) +
			"\r\nIdempotency-Key: k-17\r\nX-Remaining: 3.600\r\n" +
			length + "\r\n\r\n" + body
	}
	reading := prefill.accept()
	reading.wantBytes(attempt("r1"))
	reading.send(prefillAnswer)
	writing := decode.accept()
	writing.wantBytes(attempt("w1"))
	h.rest() // the prefill attempt's connection may be used again
	client.close()
	reading.wantBytes("DELETE /state/" + jobName(1) + " HTTP/1.1\r\nHost: r1\r\n\r\n")
	watch.close()
	h.discovery.accept().wantBytes("GET /registry/instances?watch=1&from=42 HTTP/1.1\r\nHost: 127.0.1.1:80\r\n\r\n")
	moved := h.newServer()
	h.reload(moved) // versions are those of one discovery: another one is asked for the whole list
	moved.accept().wantBytes("GET /registry/instances?watch=1 HTTP/1.1\r\nHost: " + moved.addr.String() + "\r\n\r\n")
}

// wantBytes waits for as many bytes as are wanted and compares all that have come; it takes them.
func (c *scriptedConn) wantBytes(want string) {
	c.h.t.Helper()
	c.h.until("bytes like "+strings.SplitN(want, "\r\n", 2)[0], func() bool { return len(c.in) >= len(want) || c.ended })
	if string(c.in) != want {
		c.h.t.Errorf("got  %q\nwant %q", c.in, want)
	}
	c.in = nil
}
