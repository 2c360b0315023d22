package platform

import (
	"bytes"
	"errors"
	"net/http"

	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h1"
)

const (
	pathCompletions = "/v1/chat/completions"
	pathReady       = "/health/ready"
	pathLive        = "/health/live"
)

// decode decodes the buffered input followed by p, and then the overflow, until a request is in flight or the turn of
// the connection is over. In the latter case reading pauses until its next turn.
func (c *conn) decode(p []byte) {
	in := &c.incoming
	in.decoding = true
	in.buffer.Process(p, c.decodeRequests)
	in.decoding = false
	turnOver := in.buffer.Len() > 0 && !in.needsData
	if !turnOver && in.overflow != nil && c.isBetweenRequests() {
		in.decoding = true
		turnOver = c.refuseOverflow()
		in.decoding = false
	}
	if c.closed || c.lifecycle.state == clientconn.StateLingering {
		return
	}
	turnOver = turnOver && c.isBetweenRequests()
	c.transport.SetReadPaused(turnOver)
	if turnOver && !c.outputIsBlocked() { // otherwise OutputFlushed schedules it
		c.scheduleDecode()
	}
}

// isBetweenRequests reports whether the connection can begin a request.
func (c *conn) isBetweenRequests() bool {
	return !c.closed && c.lifecycle.state != clientconn.StateActive && c.lifecycle.state != clientconn.StateLingering
}

// outputIsBlocked reports whether so much output waits for the client that no further request is decoded.
func (c *conn) outputIsBlocked() bool {
	return c.transport.QueuedBytes() > c.server.limits.Memory.PauseThreshold()
}

// scheduleDecode gives the connection a turn to decode pipelined input in the next iteration of the loop, so that
// clients that pipeline delay no others.
func (c *conn) scheduleDecode() {
	in := &c.incoming
	if c.closed || in.scheduled || !c.hasPipelinedInput() {
		return
	}
	in.scheduled = true
	c.server.scheduleTurn(c)
}

// takeTurn decodes pipelined input, if no request is in flight.
func (c *conn) takeTurn(now eventloop.Nanos) {
	c.incoming.scheduled = false
	c.now = now
	switch {
	case !c.isBetweenRequests():
	case c.transport.PeerHasClosed(): // what it has pipelined may come again on another connection
		c.transport.Close()
	default:
		c.decode(nil)
	}
}

// mayDecode reports whether the connection may decode another request in its turn, in which it has decoded some.
func (c *conn) mayDecode(decoded int) bool {
	return c.isBetweenRequests() && decoded < clientconn.MaxRequestsPerTurn && !c.outputIsBlocked()
}

// decodeRequests decodes requests from the front of p until one is in flight or the turn is over. It returns how many
// bytes it consumed.
func (c *conn) decodeRequests(p []byte) (consumed int) {
	c.incoming.needsData = len(p) == 0
	for turn := 0; !c.closed && c.lifecycle.state != clientconn.StateActive; {
		if c.incoming.decoder.AtMessageStart() && !c.mayDecode(turn) && c.lifecycle.state != clientconn.StateLingering {
			return consumed
		}
		if c.lifecycle.state == clientconn.StateLingering {
			return len(p)
		}
		atStart := consumed < len(p) && c.incoming.decoder.AtMessageStart()
		if atStart && c.lifecycle.state != clientconn.StateReadingRequest {
			c.setState(clientconn.StateReadingRequest)
		}
		event, data, n, err := c.incoming.decoder.Next(p[consumed:])
		consumed += n
		if err != nil {
			c.rejectInvalid(statusOf(err), err.Error())
			continue
		}
		switch event {
		case h1.NeedData:
			c.incoming.needsData = true
			return consumed
		case h1.MessageHead:
			turn++
			c.handleHead()
		case h1.BodyData:
			c.appendBody(data)
		case h1.MessageEnd:
			c.incoming.pipelinedBytes = len(p) - consumed
			c.handleMessageEnd()
		}
	}
	return consumed
}

// statusOf returns the HTTP status for an error of the decoder.
func statusOf(err error) int {
	switch {
	case errors.Is(err, h1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, h1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errOutOfMemory):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// hasPipelinedInput reports whether input has arrived after the request that is in flight or was the last one.
func (c *conn) hasPipelinedInput() bool { return c.pipelinedBytes() > 0 || c.incoming.overflow != nil }

// pipelinedBytes returns how many bytes have arrived after the request that is in flight or was the last one.
func (c *conn) pipelinedBytes() int {
	if c.incoming.decoding {
		return c.incoming.pipelinedBytes
	}
	return c.incoming.buffer.Len()
}

// handleHead checks the head of a request and answers Expect: 100-continue.
func (c *conn) handleHead() {
	head := &c.incoming.decoder.Head
	c.response.closeAfter = head.Close
	if err := c.incoming.checkHead(head); err != nil {
		c.rejectInvalid(err.status, err.reason)
		return
	}
	if head.ExpectContinue && c.incoming.healthPath == "" {
		c.transport.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// invalidRequestError describes why a request is answered with an error status.
type invalidRequestError struct {
	status int
	reason string
}

func (e *invalidRequestError) Error() string { return e.reason }

// checkHead sets the members that the head determines. It returns an error if the request cannot be served.
func (r *incomingRequest) checkHead(head *h1.Head) *invalidRequestError {
	r.healthPath = ""
	path, _, _ := bytes.Cut(head.Target, []byte{'?'})
	switch {
	case string(path) == pathReady:
		return r.checkHealthHead(head, pathReady)
	case string(path) == pathLive:
		return r.checkHealthHead(head, pathLive)
	case string(path) != pathCompletions:
		return &invalidRequestError{http.StatusNotFound, "no such path"}
	case string(head.Method) != http.MethodPost:
		return &invalidRequestError{http.StatusMethodNotAllowed, "want POST"}
	case head.HTTP10:
		return &invalidRequestError{http.StatusHTTPVersionNotSupported, "HTTP version must be 1.1"}
	case head.ContentLength < 0 && !head.Chunked:
		return &invalidRequestError{http.StatusLengthRequired, "Content-Length is missing"}
	}
	if err := r.head.parse(head); err != nil {
		return &invalidRequestError{http.StatusBadRequest, err.Error()}
	}
	return nil
}

// checkHealthHead checks the head of a health check and sets healthPath.
func (r *incomingRequest) checkHealthHead(head *h1.Head, path string) *invalidRequestError {
	if string(head.Method) != http.MethodGet || head.ContentLength > 0 || head.Chunked {
		return &invalidRequestError{http.StatusMethodNotAllowed, "health checks must be GET requests without a body"}
	}
	r.healthPath = path
	return nil
}

// handleMessageEnd answers a health check, or submits the complete request to the dispatcher if it is valid.
func (c *conn) handleMessageEnd() {
	if c.incoming.healthPath != "" {
		c.respond(c.healthStatus(), 0, "")
		return
	}
	s, in := c.server, &c.incoming
	if err := in.head.buildRequest(&s.request, in.body, c.now-in.firstByteAt); err != nil {
		c.rejectInvalid(http.StatusBadRequest, err.Error())
		return
	}
	if _, inFlight := s.requestIDs[string(in.head.id)]; inFlight {
		s.Counts.DuplicateIDs++
		c.rejectInvalid(http.StatusConflict, "a request with this id is in hand")
		return
	}
	s.Counts.Requests++
	if s.requestLog != nil {
		s.requestLog.Debug("request received", "request_id", string(in.head.id))
	}
	c.setState(clientconn.StateActive)
	if s.phase == phaseRejecting {
		c.releaseBody()
		c.Reject(0, frontend.RejectionError{Reason: "the dispatcher leaves"})
		return
	}
	c.submit()
}

// healthStatus returns the HTTP status for a health check.
func (c *conn) healthStatus() int {
	notReady := c.server.phase >= phaseDraining || !c.server.isReady()
	if c.incoming.healthPath == pathReady && notReady {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// submit submits Server.request to the dispatcher.
func (c *conn) submit() {
	request := &c.server.request
	request.RawHandedOver = memory.IsLarge(len(request.Raw))
	id, err := c.server.dispatcher.Submit(c.now, c, request)
	if err == nil && request.RawHandedOver {
		c.incoming.body = nil
	}
	c.releaseBody()
	var rejection frontend.RejectionError
	switch {
	case err == nil:
		c.response.requestID = id
		c.server.requestIDs[string(c.incoming.head.id)] = struct{}{}
	case errors.As(err, &rejection):
		c.Reject(0, rejection)
	default:
		c.rejectInvalid(http.StatusBadRequest, err.Error())
	}
}
