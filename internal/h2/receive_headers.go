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
	// headerDecodeFactor is the multiple of MaxHeaderListBytes above which a header list ends the connection. A list
	// between the two limits ends only its stream, but is decoded to keep the dynamic table in step with the peer.
	headerDecodeFactor = 4

	// headerFragmentBytes is added to the size of a header list for each fragment, to bound the number of fragments that
	// decode to few bytes.
	headerFragmentBytes = 32
)

// Header is a decoded header list.
type Header struct{ Fields []hpack.HeaderField }

// Get returns the value of the first field with the given name, or "" if there is none. name must be in lower case.
func (h *Header) Get(name string) string {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return h.Fields[i].Value
		}
	}
	return ""
}

// has reports whether there is a field with the given name.
func (h *Header) has(name string) bool {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return true
		}
	}
	return false
}

// isPost reports whether the pseudo-header fields are those of a POST request.
func (h *Header) isPost() bool {
	return h.Get(":method") == "POST" && h.Get(":path") != "" && h.Get(":scheme") != ""
}

// headerValidity is the result of validating a header list.
type headerValidity uint8

const (
	headerValid headerValidity = iota
	headerMalformed
	headerTooLong
)

// headerBlock is the header list of a HEADERS frame and the CONTINUATION frames that follow it.
type headerBlock struct {
	streamID         uint32
	endsStream       bool
	header           Header
	listBytes        uint32 // size of the list so far, as defined for SETTINGS_MAX_HEADER_LIST_SIZE
	regularFieldSeen bool   // the list contains a field that is not a pseudo-header field
	validity         headerValidity
}

// begin resets the block for the list of a HEADERS frame. It reuses the memory of the previous list.
func (b *headerBlock) begin(f *http2.HeadersFrame) {
	*b = headerBlock{
		streamID:   f.StreamID,
		endsStream: f.StreamEnded(),
		header:     Header{Fields: b.header.Fields[:0]},
	}
}

// isWellFormed reports whether a field is valid after the fields received before it.
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

// addHeaderField adds a decoded field to the header block. headerDecoder calls it.
func (c *Conn) addHeaderField(f hpack.HeaderField) {
	b := &c.headerBlock
	b.listBytes += f.Size()
	if b.listBytes > c.limits.MaxHeaderListBytes {
		b.validity = headerTooLong
		return
	}
	if !b.isWellFormed(f) {
		b.validity = headerMalformed
	}
	if !f.IsPseudo() {
		b.regularFieldSeen = true
	}
	b.header.Fields = append(b.header.Fields, f)
}

// handleHeaderFragment decodes a fragment of a header block. After the last fragment it handles the header list.
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

// handleRequestHeaders handles the headers of a new request, or the trailers of an open one.
func (c *Conn) handleRequestHeaders() error {
	id := c.headerBlock.streamID
	if s := c.streams[id]; s != nil {
		return c.handleRequestTrailers(s)
	}
	if id <= c.lastPeerStreamID {
		return nil // sent before the peer learned of the end of the stream
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
	if !c.headerBlock.endsStream || s.remoteClosed || c.headerBlock.validity != headerValid {
		return protocolError(s.id)
	}
	c.handleStreamEnd(s)
	return nil
}

// startRequest validates the headers of a new request and passes them to the Handler.
func (c *Conn) startRequest(s *Stream) error {
	b, id := &c.headerBlock, s.id
	if b.validity == headerTooLong {
		s.EndWithStatus(codes.ResourceExhausted,
			"headers longer than "+strconv.Itoa(int(c.limits.MaxHeaderListBytes))+" bytes")
		return nil
	}
	if b.validity != headerValid || !b.header.isPost() || !s.setContentLength(&b.header) {
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

// setContentLength records the Content-Length of a request, if there is one. It returns false if it is not a number.
func (s *Stream) setContentLength(h *Header) bool {
	value := h.Get("content-length")
	if value == "" {
		return true
	}
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return false
	}
	s.contentLength = int64(length)
	return true
}

// rejectContentType responds to a request that is not gRPC with HTTP status 415.
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
	if b.validity != headerValid {
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

// finishResponse ends a client's stream with the status in the trailers.
func (c *Conn) finishResponse(s *Stream, trailer *Header) {
	code, message := statusFromTrailer(trailer)
	if code == codes.OK && len(s.partialMessage) > 0 {
		code, message = codes.Internal, "message cut off"
	}
	s.remoteClosed = true
	if !s.localClosed { // the server does not read the rest of the request
		c.frames.writeRSTStream(s.id, http2.ErrCodeNo)
	}
	c.removeStream(s)
	c.handler.StreamFinished(s, code, message, trailer)
}
