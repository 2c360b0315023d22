package platform

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"docksail/internal/decide/serverconn"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
	"docksail/policy"
)

const (
	maxHeadBytes        = 16 << 10 // of the head of a response
	maxChunkBytes       = 64 << 10 // of one chunk of a stream, or of its start up to the first event
	maxPrefillBodyBytes = 256      // of the body of the response to a prefill attempt that are kept
	maxKeptBufferBytes  = 1 << 10  // of the buffer that a connection keeps for its next response
)

// responseLimits bound the response of a server.
var responseLimits = h1.Limits{
	HeadBytes: maxHeadBytes, HeadFields: serverconn.MaxHeadFields, ChunkBytes: maxChunkBytes,
}

// errOutOfMemory ends a response for whose bytes the budget has no room.
var errOutOfMemory = errors.New("no memory for more of the response")

// response is the part of the response to an exchange that has been received.
type response struct {
	decoder      h1.Decoder
	started      bool // at least one byte was received
	headReceived bool
	isStream     bool   // a decode server's stream of events
	chunkCount   int    // of the stream
	buffered     []byte // a prefill server's body, or a stream's start up to its first complete event
	loadReport   policy.LoadReport
}

// reset prepares for the response to another message.
func (r *response) reset() {
	*r = response{
		decoder:    h1.NewResponseDecoder(responseLimits),
		buffered:   r.keptBuffer(),
		loadReport: policy.NoLoadReport,
	}
}

// keptBuffer returns the buffer for the next response: the present one, unless it is large.
func (r *response) keptBuffer() []byte {
	if cap(r.buffered) > maxKeptBufferBytes {
		return nil
	}
	return r.buffered[:0]
}

// decodeResponse decodes bytes of the response and returns how many it has consumed.
func (c *conn) decodeResponse(now eventloop.Nanos, p []byte) (n int) {
	response := &c.exchange.response
	for !c.removed && c.exchange.inProgress() {
		event, data, size, err := response.decoder.Next(p[n:])
		n += size
		if err != nil {
			c.failInvalidResponse(now, err)
			return len(p)
		}
		switch event {
		case h1.NeedData:
			return n
		case h1.MessageHead:
			c.handleHead()
		case h1.BodyData:
			c.handleBody(now, data)
		case h1.MessageEnd:
			c.finishExchange(now, reuseAfter(len(p)-n))
			return len(p)
		}
	}
	return len(p)
}

// handleHead handles the head of the response.
func (c *conn) handleHead() {
	response := &c.exchange.response
	head := &response.decoder.Head
	response.headReceived = true
	isDecode := c.exchange.request != nil && !c.exchange.request.IsPrefill
	response.isStream = isDecode && head.StatusCode == http.StatusOK && head.Chunked
	if report := head.Get("x-pressure"); report != nil {
		c.recordLoadReport(report)
	}
}

// handleBody handles a piece of the body. Bodies other than a stream's and a prefill attempt's are ignored.
func (c *conn) handleBody(now eventloop.Nanos, data []byte) {
	response, req := &c.exchange.response, c.exchange.request
	switch {
	case response.isStream:
		c.relayChunk(now, data)
	case req != nil && req.IsPrefill && len(response.buffered)+len(data) <= maxPrefillBodyBytes:
		response.buffered = append(response.buffered, data...)
	}
}

// relayChunk relays one chunk of a stream. The start of a stream is buffered until its first event is complete, so that
// the attempt can be retried if the start is invalid.
func (c *conn) relayChunk(now eventloop.Nanos, data []byte) {
	if report := loadReportLine(data); report != nil {
		c.recordLoadReport(report)
	}
	response, req := &c.exchange.response, c.exchange.request
	response.chunkCount++
	if !req.IsStreaming() {
		response.buffered = append(response.buffered, data...)
		data = response.buffered
		if !hasCompleteEvent(data) {
			if len(data) > maxChunkBytes {
				c.failInvalidResponse(now, h1.ErrBodyTooLarge)
			}
			return
		}
		if !bytes.Contains(data, []byte("data:")) {
			c.failInvalidResponse(now, h1.ErrMalformed)
			return
		}
	}
	pause := c.backend.dispatcher.RelayTokens(now, req, data, len(data))
	if pause && !c.removed {
		c.socket.SetReadPaused(true)
	}
}

// hasCompleteEvent reports whether the start of a stream contains the blank line that ends an event.
func hasCompleteEvent(stream []byte) bool {
	return bytes.Contains(stream, []byte("\n\n")) || bytes.Contains(stream, []byte("\r\n\r\n"))
}

// failInvalidResponse ends the exchange, whose response cannot be decoded.
func (c *conn) failInvalidResponse(now eventloop.Nanos, err error) {
	req := c.exchange.request
	c.backend.Counts.InvalidResponses++
	c.backend.log.Info("invalid response", "server_id", c.server.name, "streaming", req != nil && req.IsStreaming(),
		"duration", time.Duration(now-c.exchange.sentAt), "chunks", c.exchange.response.chunkCount, "error", err)
	c.failExchange(now, invalidResponse)
}
