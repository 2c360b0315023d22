package h2

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/net/http2"

	"docksail/internal/decide/abuse"
)

// errNoPreface ends a connection whose client does not use HTTP/2.
var errNoPreface = errors.New("peer does not begin with the HTTP/2 preface")

// connectionError is an error that ends the connection. The peer receives its code and reason in a GOAWAY frame.
type connectionError struct {
	code   http2.ErrCode
	reason string
}

func (e connectionError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.reason) }

// Reasons that are used in several places. They are sent to the peer, so their texts must not change.
const (
	reasonFrameTooLong   = "frame longer than allowed"
	reasonWindowTooLarge = "window above its most"
	reasonEndlessHeaders = "endless headers"
)

// protocolError returns the error that ends one stream because of a protocol violation.
func protocolError(streamID uint32) error {
	return http2.StreamError{StreamID: streamID, Code: http2.ErrCodeProtocol}
}

// checkAbuse counts an event that costs this end more than the peer. It returns the error that ends the connection if
// the peer has caused too many such events.
func (c *Conn) checkAbuse(event abuse.Event) error {
	if c.abuseLimiter.Allow(c.now, event) {
		return nil
	}
	return connectionError{http2.ErrCodeEnhanceYourCalm, "too many " + event.String()}
}

// checkNotIdle returns the error that ends the connection if a frame refers to a stream that was never opened. A closed
// stream is no error: the peer may have sent the frame before it learned of the close.
func (c *Conn) checkNotIdle(streamID uint32, reason string) error {
	if c.isIdleStream(streamID) {
		return connectionError{http2.ErrCodeProtocol, reason}
	}
	return nil
}

// handleError ends a stream or the connection because of an error from the framer or from the handling of a frame.
func (c *Conn) handleError(err error) {
	var streamError http2.StreamError
	var ownError connectionError
	var framerError http2.ConnectionError
	switch {
	case errors.As(err, &streamError):
		c.handleStreamError(streamError)
	case errors.As(err, &ownError):
		c.fail(ownError)
	case errors.As(err, &framerError):
		c.fail(connectionError{http2.ErrCode(framerError), "bad frame"})
	case errors.Is(err, http2.ErrFrameTooLarge):
		c.fail(connectionError{http2.ErrCodeFrameSize, reasonFrameTooLong})
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		c.fail(connectionError{http2.ErrCodeFrameSize, "frame shorter than its kind needs"})
	default:
		c.fail(connectionError{http2.ErrCodeProtocol, err.Error()})
	}
}

// handleStreamError resets a stream, or ends the connection if the peer has caused too many stream errors.
func (c *Conn) handleStreamError(err http2.StreamError) {
	if abuseErr := c.checkAbuse(abuse.StreamError); abuseErr != nil {
		c.handleError(abuseErr)
		return
	}
	c.frames.writeRSTStream(err.StreamID, err.Code)
	if s := c.streams[err.StreamID]; s != nil {
		c.removeStream(s)
		s.reportReset(err.Code, false)
	}
}

// fail ends the connection and sends the reason to the peer.
func (c *Conn) fail(err connectionError) {
	if c.err == nil {
		c.frames.writeGoAway(c.lastPeerStreamID, err.code, []byte(err.reason))
		c.err = err
	}
}
