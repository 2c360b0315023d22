package h2

import (
	"strconv"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/decide/abuse"
)

// maxKeptMessageBytes is the largest capacity of a buffer for partial messages that is kept for reuse.
const maxKeptMessageBytes = 64 << 10

func (c *Conn) handleData(f *http2.DataFrame) error {
	frameBytes := int64(f.Length)
	if err := c.consumeRecvWindow(frameBytes); err != nil {
		return err
	}
	s := c.streams[f.StreamID]
	if s == nil {
		return c.checkNotIdle(f.StreamID, "data on an idle stream")
	}
	if s.remoteClosed {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeStreamClosed}
	}
	if !s.headersReceived {
		return protocolError(s.id)
	}
	if s.recvWindow -= frameBytes; s.recvWindow < 0 {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeFlowControl}
	}
	p := f.Data()
	if len(p) > 0 {
		c.abuseLimiter.AddCredit()
	} else if !f.StreamEnded() {
		if err := c.checkAbuse(abuse.EmptyFrame); err != nil {
			return err
		}
	}
	padding := frameBytes - int64(len(p))
	s.creditWindow(padding)
	if !s.addReceivedBytes(len(p), f.StreamEnded()) {
		return protocolError(s.id)
	}
	if s.receiveMessages(p) && f.StreamEnded() {
		c.handleStreamEnd(s)
	}
	return nil
}

// consumeRecvWindow counts received bytes against the connection's window and returns them to the peer without waiting
// for their consumption, so that a slow reader of one stream does not block the others. The streams' own windows bound
// the unconsumed bytes.
func (c *Conn) consumeRecvWindow(n int64) error {
	if c.recvWindow -= n; c.recvWindow < 0 {
		return connectionError{http2.ErrCodeFlowControl, "more than the connection's window"}
	}
	if c.uncredited += n; c.uncredited >= int64(c.limits.ConnWindow)/4 {
		c.frames.writeWindowUpdate(0, uint32(c.uncredited))
		c.recvWindow += c.uncredited
		c.uncredited = 0
	}
	return nil
}

// addReceivedBytes counts received bytes of the stream. It reports whether the total is consistent with the request's
// Content-Length.
func (s *Stream) addReceivedBytes(n int, ended bool) bool {
	s.receivedBytes += int64(n)
	if s.contentLength == unknownContentLength {
		return true
	}
	return s.receivedBytes < s.contentLength && !ended || s.receivedBytes == s.contentLength
}

// receiveMessages splits received data into messages and passes them to the Handler. It returns false if the Handler
// has ended the stream or a message was rejected.
func (s *Stream) receiveMessages(p []byte) bool {
	for len(p) > 0 {
		var n int
		var ok bool
		if len(s.partialMessage) == 0 && s.hasCompleteMessage(p) { // delivered without a copy
			n = messagePrefixBytes + int(messageLength(p))
			ok = s.deliverMessage(p[:n], 0)
		} else {
			n, ok = s.receivePart(p)
		}
		if !ok {
			return false
		}
		p = p[n:]
	}
	return true
}

// hasCompleteMessage reports whether p begins with a complete message of an allowed length.
func (s *Stream) hasCompleteMessage(p []byte) bool {
	if len(p) < messagePrefixBytes {
		return false
	}
	length := messageLength(p)
	return length <= s.conn.limits.MaxMessageBytes && int(length) <= len(p)-messagePrefixBytes
}

// receivePart appends the beginning of p to the partial message, up to the end of the prefix or of the message, and
// delivers the message if it is complete. It returns the number of consumed bytes; ok is the same as the result of
// receiveMessages.
func (s *Stream) receivePart(p []byte) (n int, ok bool) {
	wantBytes := messagePrefixBytes
	if len(s.partialMessage) >= messagePrefixBytes {
		wantBytes += int(messageLength(s.partialMessage))
	}
	n = min(wantBytes-len(s.partialMessage), len(p))
	if !s.conn.reservePartialBytes(int64(n)) {
		s.rejectMessage(codes.ResourceExhausted, "too many messages have come in part")
		return n, false
	}
	s.partialMessage = append(s.partialMessage, p[:n]...)
	if len(s.partialMessage) < messagePrefixBytes {
		s.creditEarly(n)
		return n, true
	}
	length := messageLength(s.partialMessage)
	switch {
	case length > s.conn.limits.MaxMessageBytes:
		s.rejectMessage(codes.ResourceExhausted, "message of "+strconv.Itoa(int(length))+" bytes, at most "+
			strconv.Itoa(int(s.conn.limits.MaxMessageBytes)))
		return n, false
	case len(s.partialMessage) < messagePrefixBytes+int(length):
		s.creditEarly(n)
		return n, true
	default:
		return n, s.deliverPartialMessage(n)
	}
}

// creditEarly returns window to the peer for bytes of a partial message, before they are consumed. Otherwise a message
// longer than the window could never be received.
func (s *Stream) creditEarly(n int) {
	s.creditedEarly += int64(n)
	s.creditWindow(int64(n))
}

// deliverPartialMessage delivers the partial message, which is now complete. Its last n bytes have not been credited
// yet. The result is the same as that of receiveMessages.
func (s *Stream) deliverPartialMessage(n int) bool {
	message := s.partialMessage
	alreadyCredited := int64(len(message) - n)
	s.creditedEarly -= alreadyCredited
	s.partialMessage = nil // the Handler may end the stream, which must not release the reserved bytes again
	s.conn.reservePartialBytes(-int64(len(message)))
	if !s.deliverMessage(message, alreadyCredited) {
		return false
	}
	if cap(message) <= maxKeptMessageBytes {
		s.partialMessage = message[:0]
	}
	return true
}

// deliverMessage passes the message in p, which includes the prefix, to the Handler. credited is the number of its
// bytes that have been credited to the peer already. The result is the same as that of receiveMessages.
func (s *Stream) deliverMessage(p []byte, credited int64) bool {
	if p[0] != 0 {
		s.rejectMessage(codes.Unimplemented, "compressed message: this end takes none")
		return false
	}
	id := s.id
	retained := s.conn.handler.MessageReceived(s, p[messagePrefixBytes:])
	if !s.isActiveAs(id) {
		return false
	}
	if retained {
		s.creditedEarly += credited
	} else {
		s.creditWindow(int64(len(p)) - credited)
	}
	return true
}

// CreditWindow returns n bytes of the stream's window to the peer. The Handler calls it once it has consumed messages
// that it retained.
func (s *Stream) CreditWindow(n int) {
	if s.active {
		alreadyCredited := min(int64(n), s.creditedEarly)
		s.creditedEarly -= alreadyCredited
		s.creditWindow(int64(n) - alreadyCredited)
	}
}

// creditWindow counts consumed bytes and returns them to the peer once they are half of the stream's window.
func (s *Stream) creditWindow(n int64) {
	s.uncredited += n
	if s.uncredited >= int64(s.conn.limits.StreamWindow)/2 && !s.remoteClosed && s.conn.err == nil {
		s.conn.frames.writeWindowUpdate(s.id, uint32(s.uncredited))
		s.recvWindow += s.uncredited
		s.uncredited = 0
	}
}

// rejectMessage ends a stream because of an invalid message. The Handler is notified by StreamReset on a server and by
// StreamFinished on a client.
func (s *Stream) rejectMessage(code codes.Code, reason string) {
	c := s.conn
	if c.isServer {
		s.reportReset(http2.ErrCodeCancel, false)
		s.EndWithStatus(code, reason)
		return
	}
	s.Reset(http2.ErrCodeCancel)
	c.handler.StreamFinished(s, code, reason, &Header{})
}

// handleStreamEnd handles the peer's END_STREAM flag.
func (c *Conn) handleStreamEnd(s *Stream) {
	s.remoteClosed = true
	switch {
	case !c.isServer: // a response must end with trailers
		c.removeStream(s)
		c.handler.StreamFinished(s, codes.Internal, "stream ended without a status", &Header{})
	case len(s.partialMessage) > 0:
		s.rejectMessage(codes.Internal, "message cut off")
	default:
		c.handler.RequestEnded(s)
	}
}
