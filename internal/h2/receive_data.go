package h2

import (
	"strconv"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/decide/abuse"
)

// maxKeptMessageBytes is how large a buffer for partial messages may be to be used again.
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

// consumeRecvWindow counts received bytes against the connection's window and raises it again at once: a stream whose
// reader is slow must not stop the others. What streams hold is bounded by their own windows.
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

// addReceivedBytes counts the bytes of the stream's content. It reports whether they agree with the content length.
func (s *Stream) addReceivedBytes(n int, ended bool) bool {
	s.receivedBytes += int64(n)
	if s.contentLength < 0 { // unknown; a negative number in the request counts as none
		return true
	}
	return s.receivedBytes < s.contentLength && !ended || s.receivedBytes == s.contentLength
}

// receiveMessages cuts content of the stream into messages and passes them to the Handler. It returns false if the
// Handler has ended the stream or a message was rejected.
func (s *Stream) receiveMessages(p []byte) bool {
	for len(p) > 0 {
		var n int
		var ok bool
		if len(s.partialMessage) == 0 && s.hasCompleteMessage(p) { // no copy
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

// receivePart adds the beginning of p to the partial message, up to the end of the message or of its prefix. A message
// that is complete is delivered. It returns how many bytes it took; ok is false as in receiveMessages.
func (s *Stream) receivePart(p []byte) (n int, ok bool) {
	want := messagePrefixBytes
	if len(s.partialMessage) >= messagePrefixBytes {
		want += int(messageLength(s.partialMessage))
	}
	n = min(want-len(s.partialMessage), len(p))
	if !s.conn.reservePartialBytes(int64(n)) {
		s.rejectMessage(codes.ResourceExhausted, "too many messages have come in part")
		return n, false
	}
	s.partialMessage = append(s.partialMessage, p[:n]...)
	if len(s.partialMessage) < messagePrefixBytes {
		s.creditAhead(n)
		return n, true
	}
	length := messageLength(s.partialMessage)
	switch {
	case length > s.conn.limits.MaxMessageBytes:
		s.rejectMessage(codes.ResourceExhausted, "message of "+strconv.Itoa(int(length))+" bytes, at most "+
			strconv.Itoa(int(s.conn.limits.MaxMessageBytes)))
		return n, false
	case len(s.partialMessage) < messagePrefixBytes+int(length):
		s.creditAhead(n)
		return n, true
	default:
		return n, s.deliverPartialMessage(n)
	}
}

// creditAhead gives the peer the window of bytes that are not consumed yet: otherwise a message longer than the window
// would never arrive.
func (s *Stream) creditAhead(n int) {
	s.creditedAhead += int64(n)
	s.creditWindow(int64(n))
}

// deliverPartialMessage delivers the partial message, which is now complete; its last n bytes are not credited yet. It
// returns false as receiveMessages does.
func (s *Stream) deliverPartialMessage(n int) bool {
	message := s.partialMessage
	ahead := int64(len(message) - n)
	s.creditedAhead -= ahead
	s.partialMessage = nil // it does not count as partial any more, whatever becomes of the stream in the call
	s.conn.reservePartialBytes(-int64(len(message)))
	if !s.deliverMessage(message, ahead) {
		return false
	}
	if cap(message) <= maxKeptMessageBytes {
		s.partialMessage = message[:0]
	}
	return true
}

// deliverMessage passes a message, with its prefix, to the Handler. credited says how many of its bytes have been
// credited to the peer already. It returns false as receiveMessages does.
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
		s.creditedAhead += credited
	} else {
		s.creditWindow(int64(len(p)) - credited)
	}
	return true
}

// CreditWindow gives the peer back n bytes of the stream's window, those of messages that the Handler has retained.
func (s *Stream) CreditWindow(n int) {
	if s.active {
		alreadyCredited := min(int64(n), s.creditedAhead)
		s.creditedAhead -= alreadyCredited
		s.creditWindow(int64(n) - alreadyCredited)
	}
}

// creditWindow counts consumed bytes and raises the peer's window once they are half of it.
func (s *Stream) creditWindow(n int64) {
	s.uncredited += n
	if s.uncredited >= int64(s.conn.limits.StreamWindow)/2 && !s.remoteClosed && s.conn.err == nil {
		s.conn.frames.writeWindowUpdate(s.id, uint32(s.uncredited))
		s.recvWindow += s.uncredited
		s.uncredited = 0
	}
}

// rejectMessage ends a stream whose message cannot be accepted. On a server the Handler learns of it as a reset, on a
// client as a status.
func (s *Stream) rejectMessage(code codes.Code, reason string) {
	c := s.conn
	if c.isServer {
		c.handler.StreamReset(s, http2.ErrCodeCancel, false)
		s.EndWithStatus(code, reason)
		return
	}
	s.Reset(http2.ErrCodeCancel)
	c.handler.StreamFinished(s, code, reason, &Header{})
}

// handleStreamEnd handles the end of the peer's half of a stream.
func (c *Conn) handleStreamEnd(s *Stream) {
	s.remoteClosed = true
	switch {
	case !c.isServer: // a response must end in trailers
		c.removeStream(s)
		c.handler.StreamFinished(s, codes.Internal, "stream ended without a status", &Header{})
	case len(s.partialMessage) > 0:
		s.rejectMessage(codes.Internal, "message cut off")
	default:
		c.handler.RequestEnded(s)
	}
}
