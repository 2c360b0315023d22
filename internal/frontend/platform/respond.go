package platform

import (
	"encoding/json"
	"net/http"
	"strconv"

	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

const statusClassOK = 2 // index of 2xx in Counts.ResponsesByStatusClass

// rejectInvalid answers a request, complete or not, with an error status and ends the connection.
func (c *conn) rejectInvalid(status int, reason string) {
	c.server.Counts.InvalidRequests++
	c.server.logEvent(c, "request refused", reason)
	c.response.closeAfter = true
	c.respond(status, 0, reason)
}

// respond writes a complete response that is not streamed. retryAfter is the time after which the client may retry; if
// it is 0, the response does not state one.
func (c *conn) respond(status int, retryAfter eventloop.Nanos, reason string) {
	c.server.Counts.ResponsesByStatusClass[status/100]++
	c.response.closeAfter = c.response.closeAfter || c.isLastResponse()
	b := c.server.scratch[:0]
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nContent-Type: application/json\r\n"...)
	if retryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, retryAfter)
		b = append(b, "\r\n"...)
	}
	if c.response.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	body := responseBody(reason)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, body...)
	c.server.scratch = b
	c.transport.Write(b)
	c.finishResponse()
}

// responseBody returns the JSON body of a response that is not streamed. reason is the error message; "" = no error.
func responseBody(reason string) []byte {
	if reason == "" {
		return []byte("{}")
	}
	quoted, err := json.Marshal(reason)
	if err != nil {
		return []byte("{}")
	}
	body := append([]byte(`{"error":{"message":`), quoted...)
	return append(body, "}}"...)
}

// isLastResponse reports whether the server drains and no further request has arrived, so that the connection ends
// with this response.
func (c *conn) isLastResponse() bool {
	return c.server.phase >= phaseDraining && !c.hasPipelinedInput()
}

// appendSeconds appends a duration in seconds with three decimals, rounded up.
func appendSeconds(b []byte, duration eventloop.Nanos) []byte {
	ms := (duration + 1e6 - 1) / 1e6
	b = strconv.AppendInt(b, ms/1000, 10)
	return append(b, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
}

// finishResponse ends a response and enters the connection's next state. Input that has arrived meanwhile is decoded in
// the next iteration of the loop.
func (c *conn) finishResponse() {
	if c.response.requestID != 0 {
		c.clearRequest()
	}
	c.releaseBody()
	c.releaseHead()
	c.response.headSent = false
	c.enterNextState()
	if c.lifecycle.state != clientconn.StateLingering && !c.incoming.decoding {
		c.scheduleDecode()
	}
}

// WriteTokens implements frontend.ResponseWriter. It writes the head of the response before the first piece.
func (c *conn) WriteTokens(_ policy.RequestID, p []byte) (blocked bool) {
	if c.closed {
		return false
	}
	if !c.response.headSent {
		c.writeStreamHead()
	}
	b := strconv.AppendInt(c.server.scratch[:0], int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	b = append(b, "\r\n"...)
	c.server.scratch = b
	c.transport.Write(b)
	return c.outputIsBlocked()
}

// writeStreamHead writes the head of a streamed response.
func (c *conn) writeStreamHead() {
	c.response.headSent = true
	c.server.Counts.ResponsesByStatusClass[statusClassOK]++
	c.response.closeAfter = c.response.closeAfter || c.isLastResponse()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
	c.transport.Write([]byte(head))
	if c.response.closeAfter {
		c.transport.Write([]byte("Connection: close\r\n"))
	}
	c.transport.Write([]byte("Transfer-Encoding: chunked\r\n\r\n"))
}

// Complete implements frontend.ResponseWriter.
func (c *conn) Complete(policy.RequestID) {
	if c.closed {
		return
	}
	c.transport.Write([]byte("0\r\n\r\n"))
	c.finishResponse()
}

// Fail implements frontend.ResponseWriter. A stream that has begun ends without its last chunk, which tells the client
// that it is truncated.
func (c *conn) Fail(_ policy.RequestID, reason string) {
	switch {
	case c.closed:
	case c.response.headSent:
		c.server.Counts.StreamsTruncated++
		c.response.closeAfter = true
		c.finishResponse()
	default:
		c.respond(http.StatusGatewayTimeout, 0, reason)
	}
}

// Reject implements frontend.ResponseWriter.
func (c *conn) Reject(_ policy.RequestID, rejection frontend.RejectionError) {
	if !c.closed {
		c.server.logEvent(c, "request rejected", rejection.Reason)
		c.respond(http.StatusServiceUnavailable, rejection.RetryAfter, rejection.Reason)
	}
}
