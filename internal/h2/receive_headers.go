package h2

import (
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"

	"docksail/internal/decide/abuse"
)

const (
	// headerDecodeFactor is how many times its allowed size a header list may have before it ends the connection. A list
	// that is too long for its stream is decoded nevertheless, to keep the decoder's table right.
	headerDecodeFactor = 4

	// headerFragmentBytes is what each fragment of a header block counts beside its fields, so that fragments that decode
	// to little are bounded as well.
	headerFragmentBytes = 32
)

// Header is a decoded header list.
type Header struct{ Fields []hpack.HeaderField }

// Get returns the value of the first field of a name, which is in lower case, or "" if there is none.
func (h *Header) Get(name string) string {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return h.Fields[i].Value
		}
	}
	return ""
}

// has reports whether there is a field of a name.
func (h *Header) has(name string) bool {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return true
		}
	}
	return false
}

// isPost reports whether the pseudo fields are those of a POST request.
func (h *Header) isPost() bool {
	return h.Get(":method") == "POST" && h.Get(":path") != "" && h.Get(":scheme") != ""
}

// headerFault says why a header list cannot be accepted.
type headerFault uint8

const (
	headerValid headerFault = iota
	headerMalformed
	headerTooLong
)

// headerBlock is the header list of a HEADERS frame and the CONTINUATION frames after it.
type headerBlock struct {
	streamID         uint32
	endsStream       bool
	header           Header
	listBytes        uint32 // size of the list so far, as HTTP/2 counts it
	regularFieldSeen bool   // a field that is not a pseudo field has come
	fault            headerFault
}

// begin makes the block ready for the list of a frame. The memory of the last list is used again.
func (b *headerBlock) begin(f *http2.HeadersFrame) {
	*b = headerBlock{
		streamID:   f.StreamID,
		endsStream: f.StreamEnded(),
		header:     Header{Fields: b.header.Fields[:0]},
	}
}

// isWellFormed reports whether a field may follow those before it.
func (b *headerBlock) isWellFormed(f hpack.HeaderField) bool {
	if f.IsPseudo() {
		return !b.regularFieldSeen && !b.header.has(f.Name)
	}
	switch f.Name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		return false
	case "grpc-timeout", "content-type", "content-length":
		if b.header.has(f.Name) {
			return false
		}
	}
	return f.Name != "" && strings.ToLower(f.Name) == f.Name
}

func (c *Conn) handleHeaders(f *http2.HeadersFrame) error {
	if f.HasPriority() && f.Priority.StreamDep == f.StreamID {
		return protocolError(f.StreamID)
	}
	if c.isServer && f.StreamID%2 == 0 {
		return connectionError{http2.ErrCodeProtocol, "even number for a client's stream"}
	}
	c.headerBlock.begin(f)
	return c.handleHeaderFragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

func (c *Conn) handleContinuation(f *http2.ContinuationFrame) error {
	if len(f.HeaderBlockFragment()) == 0 {
		if err := c.checkAbuse(abuse.EmptyFrame); err != nil {
			return err
		}
	}
	return c.handleHeaderFragment(f.HeaderBlockFragment(), f.HeadersEnded())
}

// addHeaderField takes one field from the decoder.
func (c *Conn) addHeaderField(f hpack.HeaderField) {
	b := &c.headerBlock
	b.listBytes += f.Size()
	if b.listBytes > c.limits.MaxHeaderListBytes {
		b.fault = headerTooLong
		return
	}
	if !b.isWellFormed(f) {
		b.fault = headerMalformed
	}
	if !f.IsPseudo() {
		b.regularFieldSeen = true
	}
	b.header.Fields = append(b.header.Fields, f)
}

// handleHeaderFragment decodes a fragment of a header block, and handles the list if it is the last one.
func (c *Conn) handleHeaderFragment(fragment []byte, last bool) error {
	if _, err := c.headerDecoder.Write(fragment); err != nil {
		return connectionError{http2.ErrCodeCompression, err.Error()}
	}
	if !last {
		c.headerBlock.listBytes += headerFragmentBytes
	}
	if c.headerBlock.listBytes > headerDecodeFactor*c.limits.MaxHeaderListBytes {
		return connectionError{http2.ErrCodeEnhanceYourCalm, reasonEndlessHeaders}
	}
	if !last {
		return nil
	}
	if err := c.headerDecoder.Close(); err != nil {
		return connectionError{http2.ErrCodeCompression, err.Error()}
	}
	if c.isServer {
		return c.handleRequestHeaders()
	}
	return c.handleResponseHeaders()
}

// handleRequestHeaders handles the header list of a new request, or the trailers of one.
func (c *Conn) handleRequestHeaders() error {
	id := c.headerBlock.streamID
	if s := c.streams[id]; s != nil {
		return c.handleRequestTrailers(s)
	}
	if id <= c.lastPeerStreamID {
		return nil // crossed with the end of its stream
	}
	c.lastPeerStreamID = id
	if c.finalGoAwaySent {
		c.frames.writeRSTStream(id, http2.ErrCodeRefusedStream)
		return nil
	}
	if uint32(len(c.streams)) >= c.limits.MaxStreams {
		if err := c.checkAbuse(abuse.StreamError); err != nil {
			return err
		}
		c.frames.writeRSTStream(id, http2.ErrCodeRefusedStream)
		return nil
	}
	s := c.allocateStream(id)
	s.headersReceived, s.remoteClosed = true, c.headerBlock.endsStream
	return c.startRequest(s)
}

func (c *Conn) handleRequestTrailers(s *Stream) error {
	if !c.headerBlock.endsStream || s.remoteClosed || c.headerBlock.fault != headerValid {
		return protocolError(s.id)
	}
	c.handleStreamEnd(s)
	return nil
}

// startRequest checks the headers of a new request and passes it to the Handler.
func (c *Conn) startRequest(s *Stream) error {
	b, id := &c.headerBlock, s.id
	if b.fault == headerTooLong {
		s.EndWithStatus(codes.ResourceExhausted,
			"headers longer than "+strconv.Itoa(int(c.limits.MaxHeaderListBytes))+" bytes")
		return nil
	}
	if b.fault != headerValid || !b.header.isPost() || !s.setContentLength(&b.header) {
		return protocolError(id)
	}
	switch b.header.Get("content-type") {
	case grpcContentType, grpcProtoContentType:
	default:
		c.rejectContentType(s)
		return nil
	}
	c.handler.HeadersReceived(s, &b.header)
	if b.endsStream && s.isActiveAs(id) {
		c.handleStreamEnd(s)
	}
	return nil
}

// setContentLength notes the content length that a request announces. It reports false if that is no number.
func (s *Stream) setContentLength(h *Header) bool {
	value := h.Get("content-length")
	if value == "" {
		return true
	}
	length, err := strconv.ParseInt(value, 10, 63)
	if err != nil {
		return false
	}
	s.contentLength = length
	return true
}

// rejectContentType answers a request that is not gRPC.
func (c *Conn) rejectContentType(s *Stream) {
	c.headerBuffer.Reset()
	c.encodeField(":status", "415")
	c.writeHeaders(s, true)
	c.removeStream(s)
}

// handleResponseHeaders handles the headers or the trailers of a response.
func (c *Conn) handleResponseHeaders() error {
	b := &c.headerBlock
	s := c.streams[b.streamID]
	if s == nil {
		return c.checkNotIdle(b.streamID, "headers on an idle stream")
	}
	if b.fault != headerValid {
		return protocolError(s.id)
	}
	if s.headersReceived {
		if !b.endsStream {
			return protocolError(s.id)
		}
		c.finishResponse(s, &b.header)
		return nil
	}
	status := b.header.Get(":status")
	if isInformational(status) && !b.endsStream {
		return nil
	}
	s.headersReceived = true
	switch {
	case status != "200":
		s.Reset(http2.ErrCodeCancel)
		c.handler.StreamFinished(s, codeFromHTTPStatus(status), "HTTP status "+status, &b.header)
	case b.endsStream:
		c.finishResponse(s, &b.header)
	default:
		c.handler.HeadersReceived(s, &b.header)
	}
	return nil
}

// finishResponse ends a client's stream with the status in its trailers.
func (c *Conn) finishResponse(s *Stream, trailer *Header) {
	code, message := statusFromTrailer(trailer)
	if code == codes.OK && len(s.partialMessage) > 0 {
		code, message = codes.Internal, "message cut off"
	}
	s.remoteClosed = true
	if !s.localClosed { // the server does not read what is still to be sent
		c.frames.writeRSTStream(s.id, http2.ErrCodeNo)
	}
	c.removeStream(s)
	c.handler.StreamFinished(s, code, message, trailer)
}
