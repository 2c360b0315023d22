package h2

import (
	"cmp"
	"docksail/internal/decide/abuse"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

func sortStreams(list []*Stream) {
	slices.SortFunc(list, func(a, b *Stream) int { return cmp.Compare(a.id, b.id) })
}

var abuseError = func(a abuse.Event) error {
	return connectionError{http2.ErrCodeEnhanceYourCalm, "too many " + a.String()}
}

// handleFrame takes one frame of the peer's.
func (c *Conn) handleFrame(f http2.Frame) error {
	if !c.settingsReceived {
		if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
			return connectionError{http2.ErrCodeProtocol, "first frame is no settings"}
		}
	}
	switch f := f.(type) {
	case *http2.DataFrame:
		return c.handleData(f)
	case *http2.HeadersFrame:
		if f.HasPriority() && f.Priority.StreamDep == f.StreamID {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
		}
		if c.isServer && f.StreamID%2 == 0 {
			return connectionError{http2.ErrCodeProtocol, "even number for a client's stream"}
		}
		c.header.Fields, c.headerListBytes, c.headerFault, c.regularFieldSeen = c.header.Fields[:0], 0, "", false
		c.headerStreamID, c.headerEndsStream = f.StreamID, f.StreamEnded()
		return c.handleHeaderFragment(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.ContinuationFrame:
		if len(f.HeaderBlockFragment()) == 0 && !c.abuseGuard.Allow(c.now, abuse.EmptyFrame) {
			return abuseError(abuse.EmptyFrame)
		}
		return c.handleHeaderFragment(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.SettingsFrame:
		return c.handleSettings(f)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(f)
	case *http2.RSTStreamFrame:
		return c.handleReset(f)
	case *http2.PingFrame:
		return c.handlePing(f)
	case *http2.GoAwayFrame:
		c.goAwayReceived = true
		if !c.isServer {
			for _, s := range c.sortedStreams() {
				if s.active && s.id > f.LastStreamID {
					c.removeStream(s)
					c.handler.StreamReset(s, http2.ErrCodeRefusedStream, true)
				}
			}
		}
		c.handler.GoAwayReceived()
		return nil
	case *http2.PushPromiseFrame:
		return connectionError{http2.ErrCodeProtocol, "push is not allowed"}
	default: // PRIORITY, unknown kinds
		if !c.abuseGuard.Allow(c.now, abuse.EmptyFrame) {
			return abuseError(abuse.EmptyFrame)
		}
		return nil
	}
}

func (c *Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		if !c.settingsAcked {
			c.settingsAcked = true
			for _, s := range c.streams {
				s.recvWindow -= max(0, 65535-int64(c.limits.StreamWindow))
			}
		}
		return nil
	}
	if c.settingsReceived && !c.abuseGuard.Allow(c.now, abuse.RepeatedSettings) {
		return abuseError(abuse.RepeatedSettings)
	}
	c.settingsReceived = true
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingInitialWindowSize:
			by := int64(s.Val) - c.peerInitialWindow
			c.peerInitialWindow = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWindow += by; st.sendWindow > 1<<31-1 {
					return connectionError{http2.ErrCodeFlowControl, "window above its most"}
				}
			}
			for _, st := range c.sortedStreams() {
				if len(st.pendingOutput) > 0 {
					c.enqueue(st)
				}
			}
		case http2.SettingMaxFrameSize:
			c.peerMaxFrameBytes = min(s.Val, 16384)
		case http2.SettingMaxConcurrentStreams:
			c.peerMaxStreams = s.Val
		case http2.SettingHeaderTableSize:
			c.headerEncoder.SetMaxDynamicTableSizeLimit(min(s.Val, 4096))
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.framer.WriteSettingsAck()
	c.flushStreams()
	return nil
}

func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	if !c.abuseGuard.Allow(c.now, abuse.WindowUpdate) {
		return abuseError(abuse.WindowUpdate)
	}
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > 1<<31-1 {
			return connectionError{http2.ErrCodeFlowControl, "window above its most"}
		}
	} else if s := c.streams[f.StreamID]; s != nil {
		if s.sendWindow += int64(f.Increment); s.sendWindow > 1<<31-1 {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
		}
		if len(s.pendingOutput) > 0 {
			c.enqueue(s)
		}
	} else if c.isIdleStream(f.StreamID) {
		return connectionError{http2.ErrCodeProtocol, "window update on an idle stream"}
	}
	c.flushStreams()
	return nil
}

// isIdleStream tells that a stream number has not been used yet.
func (c *Conn) isIdleStream(id uint32) bool {
	if c.isServer == (id%2 == 1) {
		return id > c.lastPeerStreamID
	}
	return id >= c.nextStreamID
}

func (c *Conn) handleReset(f *http2.RSTStreamFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		if c.isIdleStream(f.StreamID) {
			return connectionError{http2.ErrCodeProtocol, "reset of an idle stream"}
		}
		if !c.abuseGuard.Allow(c.now, abuse.ClosedStreamReset) {
			return abuseError(abuse.ClosedStreamReset)
		}
		return nil
	}
	c.peerResetCount++
	ending := s.IsEnding()
	c.removeStream(s)
	if !ending {
		c.handler.StreamReset(s, f.ErrCode, f.ErrCode == http2.ErrCodeRefusedStream)
	}
	if c.isServer && !c.abuseGuard.Allow(c.now, abuse.StreamReset) {
		return abuseError(abuse.StreamReset)
	}
	return nil
}

func (c *Conn) handlePing(f *http2.PingFrame) error {
	if !f.IsAck() {
		if !c.abuseGuard.Allow(c.now, abuse.Ping) {
			return abuseError(abuse.Ping)
		}
		return c.framer.WritePing(true, f.Data)
	}
	switch f.Data {
	case drainPingData:
		if c.draining && !c.finalGoAwaySent {
			c.finalGoAwaySent = true
			c.framer.WriteGoAway(c.lastPeerStreamID, http2.ErrCodeNo, nil)
		}
	case keepalivePingData:
		c.handler.PingAcked()
	default:
		if !c.abuseGuard.Allow(c.now, abuse.Ping) {
			return abuseError(abuse.Ping)
		}
	}
	return nil
}

func (c *Conn) handleData(f *http2.DataFrame) error {
	n := int64(f.Length)
	if c.recvWindow -= n; c.recvWindow < 0 {
		return connectionError{http2.ErrCodeFlowControl, "more than the connection's window"}
	}
	// The connection's window is given back at once: a stream whose reader is slow must not stop the others.
	// What they hold is bounded by their own windows.
	if c.uncredited += n; c.uncredited >= int64(c.limits.ConnWindow)/4 {
		c.framer.WriteWindowUpdate(0, uint32(c.uncredited))
		c.recvWindow += c.uncredited
		c.uncredited = 0
	}
	s := c.streams[f.StreamID]
	if s == nil {
		if c.isIdleStream(f.StreamID) {
			return connectionError{http2.ErrCodeProtocol, "data on an idle stream"}
		}
		return nil // crossed with our reset
	}
	if s.remoteClosed {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeStreamClosed}
	}
	if !s.headersReceived {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	if s.recvWindow -= n; s.recvWindow < 0 {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeFlowControl}
	}
	p := f.Data()
	if len(p) > 0 {
		c.abuseGuard.AddCredit()
	} else if !f.StreamEnded() && !c.abuseGuard.Allow(c.now, abuse.EmptyFrame) {
		return abuseError(abuse.EmptyFrame)
	}
	s.creditWindow(n - int64(len(p))) // padding
	if s.receivedBytes += int64(len(p)); s.contentLength >= 0 && (s.receivedBytes > s.contentLength || f.StreamEnded() && s.receivedBytes != s.contentLength) {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	id := s.id
	if !s.receiveData(p) || !s.active || s.id != id {
		return nil
	}
	if f.StreamEnded() {
		return c.handleStreamEnd(s)
	}
	return nil
}

// receiveData cuts the bytes of a stream into messages; false if that ended the stream.
func (s *Stream) receiveData(p []byte) bool {
	id := s.id
	for len(p) > 0 {
		if len(s.partialMessage) == 0 && len(p) >= 5 { // whole in this frame: no copy
			if size := messageLength(p); size <= s.conn.limits.MaxMessageBytes && int(size) <= len(p)-5 {
				if !s.deliverMessage(p[:5+size], 0) || !s.active || s.id != id {
					return false
				}
				p = p[5+size:]
				continue
			}
		}
		had := len(s.partialMessage)
		want := 5
		if had >= 5 {
			want = 5 + int(messageLength(s.partialMessage))
		}
		take := min(want-had, len(p))
		if !s.conn.reservePartialBytes(int64(take)) {
			s.rejectMessage(codes.ResourceExhausted, "too many messages have come in part")
			return false
		}
		s.partialMessage = append(s.partialMessage, p[:take]...)
		p = p[take:]
		if len(s.partialMessage) >= 5 && messageLength(s.partialMessage) > s.conn.limits.MaxMessageBytes {
			s.rejectMessage(codes.ResourceExhausted, "message of "+strconv.Itoa(int(messageLength(s.partialMessage)))+" bytes, at most "+
				strconv.Itoa(int(s.conn.limits.MaxMessageBytes)))
			return false
		}
		if len(s.partialMessage) < 5 || len(s.partialMessage) < 5+int(messageLength(s.partialMessage)) {
			s.creditedAhead += int64(take) // credited before its use, or a message longer than the window never came
			s.creditWindow(int64(take))
			continue
		}
		ahead := int64(len(s.partialMessage) - take)
		s.creditedAhead -= ahead
		whole := s.partialMessage
		s.partialMessage = nil // its bytes are no longer in part, whatever becomes of the stream in the call
		s.conn.reservePartialBytes(-int64(len(whole)))
		if !s.deliverMessage(whole, ahead) || !s.active || s.id != id {
			return false
		}
		if s.partialMessage = whole[:0]; cap(whole) > 64<<10 {
			s.partialMessage = nil
		}
	}
	return true
}

// deliverMessage hands over one message with its prefix, of which ahead bytes have been credited.
func (s *Stream) deliverMessage(p []byte, ahead int64) bool {
	if p[0] != 0 {
		s.rejectMessage(codes.Unimplemented, "compressed message: this end takes none")
		return false
	}
	id := s.id
	if s.conn.handler.MessageReceived(s, p[5:]) {
		if s.active && s.id == id {
			s.creditedAhead += ahead
		}
		return true
	}
	if s.active && s.id == id {
		s.creditWindow(int64(len(p)) - ahead)
	}
	return true
}

// rejectMessage ends a stream whose messages can't be taken. The App learns of it as a reset.
func (s *Stream) rejectMessage(code codes.Code, why string) {
	c := s.conn
	if c.isServer {
		c.handler.StreamReset(s, http2.ErrCodeCancel, false)
		s.EndWithStatus(code, why)
		return
	}
	s.Reset(http2.ErrCodeCancel)
	c.handler.StreamFinished(s, code, why, &Header{})
}

func messageLength(p []byte) uint32 {
	return uint32(p[1])<<24 | uint32(p[2])<<16 | uint32(p[3])<<8 | uint32(p[4])
}

// ended: the peer's half is over.
func (c *Conn) handleStreamEnd(s *Stream) error {
	s.remoteClosed = true
	if c.isServer {
		if len(s.partialMessage) > 0 {
			s.rejectMessage(codes.Internal, "message cut off")
			return nil
		}
		c.handler.RequestEnded(s)
		return nil
	}
	c.removeStream(s) // a response must end in trailers
	c.handler.StreamFinished(s, codes.Internal, "stream ended without a status", &Header{})
	return nil
}

// addHeaderField takes one decoded header field.
func (c *Conn) addHeaderField(f hpack.HeaderField) {
	c.headerListBytes += f.Size()
	if c.headerListBytes > c.limits.MaxHeaderListBytes {
		c.headerFault = "too long"
		return
	}
	if f.IsPseudo() {
		if c.regularFieldSeen {
			c.headerFault = "pseudo field after others"
		}
		for i := range c.header.Fields {
			if c.header.Fields[i].Name == f.Name {
				c.headerFault = "field twice: " + f.Name
			}
		}
	} else {
		c.regularFieldSeen = true
		switch f.Name {
		case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
			c.headerFault = "field not allowed: " + f.Name
		case "grpc-timeout", "content-type", "content-length":
			for i := range c.header.Fields {
				if c.header.Fields[i].Name == f.Name {
					c.headerFault = "field twice: " + f.Name
				}
			}
		}
		if strings.ToLower(f.Name) != f.Name || f.Name == "" {
			c.headerFault = "field name not in lower case"
		}
	}
	c.header.Fields = append(c.header.Fields, f)
}

// handleHeaderFragment takes a piece of a header block.
func (c *Conn) handleHeaderFragment(p []byte, last bool) error {
	if _, err := c.headerDecoder.Write(p); err != nil {
		return connectionError{http2.ErrCodeCompression, err.Error()}
	}
	if c.headerListBytes > 4*c.limits.MaxHeaderListBytes { // decoded only to keep the table right; not without end
		return connectionError{http2.ErrCodeEnhanceYourCalm, "endless headers"}
	}
	if !last {
		// Pieces that decode to little are bounded as well: each is worth a frame.
		if c.headerListBytes += 32; c.headerListBytes > 4*c.limits.MaxHeaderListBytes {
			return connectionError{http2.ErrCodeEnhanceYourCalm, "endless headers"}
		}
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

func (c *Conn) handleRequestHeaders() error {
	id := c.headerStreamID
	if s := c.streams[id]; s != nil { // trailers of a request
		if !c.headerEndsStream || s.remoteClosed || c.headerFault != "" {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.handleStreamEnd(s)
	}
	if id <= c.lastPeerStreamID {
		return nil // crossed with our reset or end
	}
	c.lastPeerStreamID = id
	if c.finalGoAwaySent {
		c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		return nil
	}
	if uint32(len(c.streams)) >= c.limits.MaxStreams {
		if !c.abuseGuard.Allow(c.now, abuse.StreamError) {
			return abuseError(abuse.StreamError)
		}
		c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		return nil
	}
	s := c.allocateStream(id)
	s.headersReceived, s.remoteClosed = true, c.headerEndsStream
	h := &c.header
	if c.headerFault == "" && (h.Get(":path") == "" || h.Get(":scheme") == "" || h.Get(":method") == "") {
		c.headerFault = "pseudo field missing"
	}
	if c.headerFault == "too long" {
		s.EndWithStatus(codes.ResourceExhausted, "headers longer than "+strconv.Itoa(int(c.limits.MaxHeaderListBytes))+" bytes")
		return nil
	}
	if c.headerFault != "" {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
	}
	if v := h.Get("content-length"); v != "" {
		n, err := strconv.ParseInt(v, 10, 63)
		if err != nil {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		s.contentLength = n
	}
	if h.Get(":method") != "POST" {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
	}
	if t := h.Get("content-type"); t != "application/grpc" && t != "application/grpc+proto" {
		c.headerBuffer.Reset()
		c.encodeField(":status", "415")
		c.writeHeaders(s, true)
		c.removeStream(s)
		return nil
	}
	c.handler.HeadersReceived(s, h)
	if s.active && s.id == id && c.headerEndsStream {
		return c.handleStreamEnd(s)
	}
	return nil
}

func (c *Conn) handleResponseHeaders() error {
	s := c.streams[c.headerStreamID]
	if s == nil {
		if c.isIdleStream(c.headerStreamID) {
			return connectionError{http2.ErrCodeProtocol, "headers on an idle stream"}
		}
		return nil // crossed with our reset
	}
	if c.headerFault != "" {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	h := &c.header
	if !s.headersReceived {
		status := h.Get(":status")
		if len(status) == 3 && status[0] == '1' && !c.headerEndsStream {
			return nil
		}
		s.headersReceived = true
		if status != "200" {
			s.Reset(http2.ErrCodeCancel)
			c.handler.StreamFinished(s, codeFromHTTPStatus(status), "HTTP status "+status, h)
			return nil
		}
		if !c.headerEndsStream {
			c.handler.HeadersReceived(s, h)
			return nil
		}
	} else if !c.headerEndsStream {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	code, message := codes.Unknown, "no grpc-status in the trailers"
	if v := h.Get("grpc-status"); v != "" {
		if n, err := strconv.ParseUint(v, 10, 31); err == nil && n <= uint64(codes.Unauthenticated) {
			code, message = codes.Code(n), percentDecode(h.Get("grpc-message"))
		}
	}
	if len(s.partialMessage) > 0 && code == codes.OK {
		code, message = codes.Internal, "message cut off"
	}
	s.remoteClosed = true
	if !s.localClosed { // nobody reads what we would still send
		c.framer.WriteRSTStream(s.id, http2.ErrCodeNo)
	}
	c.removeStream(s)
	c.handler.StreamFinished(s, code, message, h)
	return nil
}

// codeFromHTTPStatus is the status that gRPC gives a plain HTTP answer.
func codeFromHTTPStatus(status string) codes.Code {
	switch status {
	case "400":
		return codes.Internal
	case "401":
		return codes.Unauthenticated
	case "403":
		return codes.PermissionDenied
	case "404":
		return codes.Unimplemented
	case "429", "502", "503", "504":
		return codes.Unavailable
	}
	return codes.Unknown
}
