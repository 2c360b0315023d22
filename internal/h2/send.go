package h2

import (
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

// OpenStream opens a stream on a client. path is /service/method. A timeout above 0 is sent as grpc-timeout. The names
// of the extra headers must be in lower case. The caller must have checked CanOpenStream.
func (c *Conn) OpenStream(path, authority string, timeoutNanos int64, extra ...hpack.HeaderField) *Stream {
	s := c.allocateStream(c.nextStreamID)
	c.nextStreamID += 2
	c.headerBuffer.Reset()
	c.encodeField(":method", "POST")
	c.encodeField(":scheme", "http")
	c.encodeField(":path", path)
	c.encodeField(":authority", authority)
	c.encodeField("content-type", grpcContentType)
	c.encodeField("te", "trailers")
	if timeoutNanos > 0 { // Sensitive keeps the value out of the dynamic table, because timeouts rarely repeat
		timeout := hpack.HeaderField{Name: "grpc-timeout", Value: FormatTimeout(timeoutNanos), Sensitive: true}
		c.encodeFields(timeout)
	}
	c.encodeFields(extra...)
	c.writeHeaders(s, false)
	s.headersSent = true
	return s
}

// encodeField appends a field to the header block in headerBuffer.
func (c *Conn) encodeField(name, value string) {
	c.encodeFields(hpack.HeaderField{Name: name, Value: value})
}

func (c *Conn) encodeFields(fields ...hpack.HeaderField) {
	for _, f := range fields {
		_ = c.headerEncoder.WriteField(f) // writing to a bytes.Buffer cannot fail
	}
}

// writeHeaders writes the header block in headerBuffer.
func (c *Conn) writeHeaders(s *Stream, endStream bool) {
	c.frames.writeHeaders(s.id, c.headerBuffer.Bytes(), int(c.peerMaxFrameBytes), endStream)
}

// encodeResponseHeaders appends the headers of a gRPC response to the header block.
func (c *Conn) encodeResponseHeaders() {
	c.encodeField(":status", "200")
	c.encodeField("content-type", grpcContentType)
}

// SendHeaders sends the response headers on a server. It does nothing if they have been sent already.
func (s *Stream) SendHeaders(extra ...hpack.HeaderField) {
	c := s.conn
	if s.headersSent || !s.active || !c.isServer || c.err != nil {
		return
	}
	s.headersSent = true
	c.headerBuffer.Reset()
	c.encodeResponseHeaders()
	c.encodeFields(extra...)
	c.writeHeaders(s, false)
}

// SendMessage sends a copy of one message. last is set by a client to close its sending side after the message.
func (s *Stream) SendMessage(message []byte, last bool) {
	c := s.conn
	if !s.active || s.localClosed || s.endAfterOutput || c.err != nil {
		return
	}
	if c.isServer {
		s.SendHeaders()
		c.abuseLimiter.AddCredit()
	}
	if s.canSendAtOnce(len(message)) {
		s.writeMessage(message, last)
		return
	}
	prefix := messagePrefix(len(message))
	s.pendingOutput = append(s.pendingOutput, prefix[:]...)
	s.pendingOutput = append(s.pendingOutput, message...)
	s.endAfterOutput = last
	c.enqueue(s)
	c.flushStreams()
}

// canSendAtOnce reports whether a message can be sent now in a single frame.
func (s *Stream) canSendAtOnce(messageBytes int) bool {
	c := s.conn
	n := int64(messagePrefixBytes + messageBytes)
	return len(s.pendingOutput) == 0 && !c.outputPaused &&
		n <= s.sendWindow && n <= c.sendWindow && n <= int64(c.peerMaxFrameBytes)
}

// writeMessage writes a message in one DATA frame directly to the output, bypassing pendingOutput.
func (s *Stream) writeMessage(message []byte, last bool) {
	c := s.conn
	n := messagePrefixBytes + len(message)
	s.sendWindow -= int64(n)
	c.sendWindow -= int64(n)
	if last {
		s.localClosed = true
	}
	prefix := messagePrefix(len(message))
	c.output = appendDataHeader(c.output, s.id, n, last)
	c.output = append(c.output, prefix[:]...)
	c.output = append(c.output, message...)
}

// CloseSend closes a client's sending side of the stream without a further message.
func (s *Stream) CloseSend() {
	if s.active && !s.localClosed && !s.endAfterOutput {
		s.endAfterOutput = true
		s.conn.enqueue(s)
		s.conn.flushStreams()
	}
}

// EndWithStatus ends a stream on a server with a status, after all its messages have been sent. extra are additional
// trailers. The Handler is not called for the stream again.
func (s *Stream) EndWithStatus(code codes.Code, message string, extra ...hpack.HeaderField) {
	c := s.conn
	if !s.active || s.endAfterOutput || s.localClosed || c.err != nil {
		return
	}
	s.endAfterOutput = true
	s.trailer = append(s.trailer[:0], hpack.HeaderField{Name: "grpc-status", Value: strconv.Itoa(int(code))})
	if message != "" {
		s.trailer = append(s.trailer, hpack.HeaderField{Name: "grpc-message", Value: percentEncode(message)})
	}
	s.trailer = append(s.trailer, extra...)
	s.UserData, s.UserID = nil, 0
	if len(s.pendingOutput) == 0 {
		c.writeStreamEnd(s)
		return
	}
	c.enqueue(s)
	c.flushStreams()
}

// writeStreamEnd writes the trailers on a server, or an empty DATA frame with END_STREAM on a client.
func (c *Conn) writeStreamEnd(s *Stream) {
	s.localClosed = true
	if !c.isServer {
		c.frames.writeData(s.id, true, nil)
		return
	}
	c.headerBuffer.Reset()
	if !s.headersSent {
		c.encodeResponseHeaders()
	}
	c.encodeFields(s.trailer...)
	c.writeHeaders(s, true)
	if !s.remoteClosed { // the rest of the request is not needed
		c.frames.writeRSTStream(s.id, http2.ErrCodeNo)
	}
	c.abuseLimiter.AddCredit()
	c.removeStream(s)
}

// SetOutputPaused pauses or resumes the sending of messages, for example while the socket is blocked. Meanwhile,
// messages are queued in their streams.
func (c *Conn) SetOutputPaused(paused bool) {
	c.outputPaused = paused
	if !paused {
		c.flushStreams()
	}
}

// enqueue adds a stream to the sendQueue. A stream whose own window is exhausted is enqueued once the peer raises the
// window.
func (c *Conn) enqueue(s *Stream) {
	if !s.queued && (s.sendWindow > 0 || len(s.pendingOutput) == 0) {
		s.queued = true
		c.sendQueue = append(c.sendQueue, s)
	}
}

// flushStreams sends pending output as far as the windows and the socket allow, round-robin with one frame per stream.
func (c *Conn) flushStreams() {
	if c.flushing { // called by the Handler from inside the loop below, which sends the new output too
		return
	}
	c.flushing = true
	defer func() { c.flushing = false }()
	for len(c.sendQueue) > 0 && !c.outputPaused && c.err == nil {
		s := c.sendQueue[0]
		if s.active && len(s.pendingOutput) > 0 && s.sendWindow > 0 && c.sendWindow <= 0 {
			return
		}
		c.sendQueue[0] = nil
		c.sendQueue = c.sendQueue[1:]
		s.queued = false
		if !s.active {
			c.recycleStream(s)
			continue
		}
		c.flushStream(s)
	}
}

// flushStream sends one frame of a stream's output. If output remains, the stream is enqueued again. Otherwise the end
// of the stream is written if it is pending, or else the Handler is notified.
func (c *Conn) flushStream(s *Stream) {
	n := min(int64(len(s.pendingOutput)), s.sendWindow, c.sendWindow, int64(c.peerMaxFrameBytes))
	if n > 0 {
		s.sendWindow -= n
		c.sendWindow -= n
		last := s.endAfterOutput && !c.isServer && int(n) == len(s.pendingOutput)
		c.frames.writeData(s.id, last, s.pendingOutput[:n])
		s.pendingOutput = s.pendingOutput[:copy(s.pendingOutput, s.pendingOutput[n:])]
		s.localClosed = s.localClosed || last
	}
	switch {
	case len(s.pendingOutput) > 0:
		c.enqueue(s)
	case s.endAfterOutput && !s.localClosed:
		c.writeStreamEnd(s)
	case s.active && !s.endAfterOutput:
		c.handler.StreamFlushed(s)
	}
}
