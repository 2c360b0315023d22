package platform

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"encoding/json"
	"net/http"
	"strconv"
)

// refuse answers a request that cannot be taken, whatever still comes of it, and ends the connection.
func (c *conn) refuse(status int, why string) {
	c.server.Counts.InvalidRequests++
	c.closeAfter = true
	c.answer(status, 0, why)
}

// answer gives an answer that is no stream; after is when to come back, 0 = not told.
func (c *conn) answer(status int, after eventloop.Nanos, why string) {
	c.server.Counts.ResponsesByStatusClass[status/100]++
	c.closeAfter = c.closeAfter || c.isLastAnswer()
	b := append(c.server.scratch[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), http.StatusText(status)...), "\r\nContent-Type: application/json\r\n"...)
	if after > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, after)
		b = append(b, "\r\n"...)
	}
	if c.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	text := []byte("{}")
	if why != "" {
		if quoted, err := json.Marshal(why); err == nil {
			text = append(append([]byte(`{"error":{"message":`), quoted...), "}}"...)
		}
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(text)), 10)
	b = append(append(b, "\r\n\r\n"...), text...)
	c.server.scratch = b
	c.conn.Write(b)
	c.endAnswer()
}

// isLastAnswer tells that the answer under way is the connection's last: the dispatcher leaves, and no request stands behind it.
func (c *conn) isLastAnswer() bool { return c.server.phase >= draining && c.pipelinedWaiting() == 0 }

// appendSeconds writes a span in seconds with three decimals, rounded up.
func appendSeconds(b []byte, span eventloop.Nanos) []byte {
	ms := (span + 1e6 - 1) / 1e6
	b = strconv.AppendInt(b, ms/1000, 10)
	return append(b, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
}

// endAnswer follows the end of an answer: the connection stands for its next request, or ends once what was written is read.
func (c *conn) endAnswer() {
	if c.id != 0 {
		c.forgetRequest()
	}
	c.dropBody()
	c.headSent = false
	if c.answerDone(); c.stage == clientconn.StateLingering {
		return
	}
	if !c.requestOpen { // what has come meanwhile
		c.conn.SetReadPaused(false)
		c.parse(nil)
	}
}

// WriteTokens implements front.Call.
func (c *conn) WriteTokens(_ policy.RequestID, p []byte) bool {
	if c.gone {
		return false
	}
	if !c.headSent {
		c.headSent = true
		c.server.Counts.ResponsesByStatusClass[2]++
		c.closeAfter = c.closeAfter || c.isLastAnswer()
		c.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"))
		if c.closeAfter {
			c.conn.Write([]byte("Connection: close\r\n"))
		}
		c.conn.Write([]byte("Transfer-Encoding: chunked\r\n\r\n"))
	}
	b := strconv.AppendInt(c.server.scratch[:0], int64(len(p)), 16)
	b = append(append(append(b, "\r\n"...), p...), "\r\n"...)
	c.server.scratch = b
	c.conn.Write(b)
	return c.conn.QueuedBytes() > outputBusy
}

// Complete implements front.Call.
func (c *conn) Complete(policy.RequestID) {
	if c.gone {
		return
	}
	c.conn.Write([]byte("0\r\n\r\n"))
	c.endAnswer()
}

// Fail implements front.Call. A stream that has begun ends without its last chunk.
func (c *conn) Fail(_ policy.RequestID, why string) {
	switch {
	case c.gone:
	case c.headSent:
		c.server.Counts.StreamsTruncated++
		c.closeAfter = true
		c.endAnswer()
	default:
		c.answer(504, 0, why)
	}
}

// Reject implements front.Call.
func (c *conn) Reject(_ policy.RequestID, no frontend.RejectionError) {
	if !c.gone {
		c.answer(503, no.RetryAfter, no.Reason)
	}
}
