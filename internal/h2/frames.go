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

var calm = func(a abuse.Act) error {
	return connError{http2.ErrCodeEnhanceYourCalm, "too many " + a.String()}
}

// frame takes one frame of the peer's.
func (c *Conn) frame(f http2.Frame) error {
	if !c.settled {
		if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
			return connError{http2.ErrCodeProtocol, "first frame is no settings"}
		}
	}
	switch f := f.(type) {
	case *http2.DataFrame:
		return c.data(f)
	case *http2.HeadersFrame:
		if f.HasPriority() && f.Priority.StreamDep == f.StreamID {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
		}
		if c.server && f.StreamID%2 == 0 {
			return connError{http2.ErrCodeProtocol, "even number for a client's stream"}
		}
		c.head.Fields, c.headSize, c.headBad, c.regular = c.head.Fields[:0], 0, "", false
		c.headID, c.headEnd = f.StreamID, f.StreamEnded()
		return c.fragment(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.ContinuationFrame:
		if len(f.HeaderBlockFragment()) == 0 && !c.guard.Allow(c.now, abuse.Empty) {
			return calm(abuse.Empty)
		}
		return c.fragment(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.SettingsFrame:
		return c.settings(f)
	case *http2.WindowUpdateFrame:
		return c.update(f)
	case *http2.RSTStreamFrame:
		return c.reset(f)
	case *http2.PingFrame:
		return c.ping(f)
	case *http2.GoAwayFrame:
		c.left = true
		if !c.server {
			for _, s := range c.sorted() {
				if s.used && s.id > f.LastStreamID {
					c.drop(s)
					c.app.Reset(s, http2.ErrCodeRefusedStream, true)
				}
			}
		}
		c.app.GoingAway()
		return nil
	case *http2.PushPromiseFrame:
		return connError{http2.ErrCodeProtocol, "push is not allowed"}
	default: // PRIORITY, unknown kinds
		if !c.guard.Allow(c.now, abuse.Empty) {
			return calm(abuse.Empty)
		}
		return nil
	}
}

func (c *Conn) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		if !c.acked {
			c.acked = true
			for _, s := range c.streams {
				s.recvWin -= max(0, 65535-int64(c.lim.StreamWindow))
			}
		}
		return nil
	}
	if c.settled && !c.guard.Allow(c.now, abuse.Settings) {
		return calm(abuse.Settings)
	}
	c.settled = true
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingInitialWindowSize:
			by := int64(s.Val) - c.peerWin
			c.peerWin = int64(s.Val)
			for _, st := range c.streams {
				if st.sendWin += by; st.sendWin > 1<<31-1 {
					return connError{http2.ErrCodeFlowControl, "window above its most"}
				}
			}
			for _, st := range c.sorted() {
				if len(st.pend) > 0 {
					c.wait(st)
				}
			}
		case http2.SettingMaxFrameSize:
			c.peerFrame = min(s.Val, 16384)
		case http2.SettingMaxConcurrentStreams:
			c.peerMost = s.Val
		case http2.SettingHeaderTableSize:
			c.enc.SetMaxDynamicTableSizeLimit(min(s.Val, 4096))
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.fr.WriteSettingsAck()
	c.pump()
	return nil
}

func (c *Conn) update(f *http2.WindowUpdateFrame) error {
	if !c.guard.Allow(c.now, abuse.Update) {
		return calm(abuse.Update)
	}
	if f.StreamID == 0 {
		if c.sendWin += int64(f.Increment); c.sendWin > 1<<31-1 {
			return connError{http2.ErrCodeFlowControl, "window above its most"}
		}
	} else if s := c.streams[f.StreamID]; s != nil {
		if s.sendWin += int64(f.Increment); s.sendWin > 1<<31-1 {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
		}
		if len(s.pend) > 0 {
			c.wait(s)
		}
	} else if c.idle(f.StreamID) {
		return connError{http2.ErrCodeProtocol, "window update on an idle stream"}
	}
	c.pump()
	return nil
}

// idle tells that a stream number has not been used yet.
func (c *Conn) idle(id uint32) bool {
	if c.server == (id%2 == 1) {
		return id > c.lastID
	}
	return id >= c.nextID
}

func (c *Conn) reset(f *http2.RSTStreamFrame) error {
	s := c.streams[f.StreamID]
	if s == nil {
		if c.idle(f.StreamID) {
			return connError{http2.ErrCodeProtocol, "reset of an idle stream"}
		}
		if !c.guard.Allow(c.now, abuse.Crossed) {
			return calm(abuse.Crossed)
		}
		return nil
	}
	c.resets++
	ending := s.Ending()
	c.drop(s)
	if !ending {
		c.app.Reset(s, f.ErrCode, f.ErrCode == http2.ErrCodeRefusedStream)
	}
	if c.server && !c.guard.Allow(c.now, abuse.Reset) {
		return calm(abuse.Reset)
	}
	return nil
}

func (c *Conn) ping(f *http2.PingFrame) error {
	if !f.IsAck() {
		if !c.guard.Allow(c.now, abuse.Ping) {
			return calm(abuse.Ping)
		}
		return c.fr.WritePing(true, f.Data)
	}
	switch f.Data {
	case drainPing:
		if c.draining && !c.leaving {
			c.leaving = true
			c.fr.WriteGoAway(c.lastID, http2.ErrCodeNo, nil)
		}
	case alivePing:
		c.app.Pong()
	default:
		if !c.guard.Allow(c.now, abuse.Ping) {
			return calm(abuse.Ping)
		}
	}
	return nil
}

func (c *Conn) data(f *http2.DataFrame) error {
	n := int64(f.Length)
	if c.recvWin -= n; c.recvWin < 0 {
		return connError{http2.ErrCodeFlowControl, "more than the connection's window"}
	}
	// The connection's window is given back at once: a stream whose reader is slow must not stop the others.
	// What they hold is bounded by their own windows.
	if c.recvOwed += n; c.recvOwed >= int64(c.lim.ConnWindow)/4 {
		c.fr.WriteWindowUpdate(0, uint32(c.recvOwed))
		c.recvWin += c.recvOwed
		c.recvOwed = 0
	}
	s := c.streams[f.StreamID]
	if s == nil {
		if c.idle(f.StreamID) {
			return connError{http2.ErrCodeProtocol, "data on an idle stream"}
		}
		return nil // crossed with our reset
	}
	if s.remoteDone {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeStreamClosed}
	}
	if !s.gotHead {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	if s.recvWin -= n; s.recvWin < 0 {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeFlowControl}
	}
	p := f.Data()
	if len(p) > 0 {
		c.guard.Used()
	} else if !f.StreamEnded() && !c.guard.Allow(c.now, abuse.Empty) {
		return calm(abuse.Empty)
	}
	s.credit(n - int64(len(p))) // padding
	if s.got += int64(len(p)); s.length >= 0 && (s.got > s.length || f.StreamEnded() && s.got != s.length) {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	id := s.id
	if !s.messages(p) || !s.used || s.id != id {
		return nil
	}
	if f.StreamEnded() {
		return c.ended(s)
	}
	return nil
}

// messages cuts the bytes of a stream into messages; false if that ended the stream.
func (s *Stream) messages(p []byte) bool {
	id := s.id
	for len(p) > 0 {
		if len(s.part) == 0 && len(p) >= 5 { // whole in this frame: no copy
			if size := length(p); size <= s.c.lim.MessageBytes && int(size) <= len(p)-5 {
				if !s.deliver(p[:5+size], 0) || !s.used || s.id != id {
					return false
				}
				p = p[5+size:]
				continue
			}
		}
		had := len(s.part)
		want := 5
		if had >= 5 {
			want = 5 + int(length(s.part))
		}
		take := min(want-had, len(p))
		if !s.c.hold(int64(take)) {
			s.refuse(codes.ResourceExhausted, "too many messages have come in part")
			return false
		}
		s.part = append(s.part, p[:take]...)
		p = p[take:]
		if len(s.part) >= 5 && length(s.part) > s.c.lim.MessageBytes {
			s.refuse(codes.ResourceExhausted, "message of "+strconv.Itoa(int(length(s.part)))+" bytes, at most "+
				strconv.Itoa(int(s.c.lim.MessageBytes)))
			return false
		}
		if len(s.part) < 5 || len(s.part) < 5+int(length(s.part)) {
			s.debt += int64(take) // credited before its use, or a message longer than the window never came
			s.credit(int64(take))
			continue
		}
		ahead := int64(len(s.part) - take)
		s.debt -= ahead
		whole := s.part
		s.part = nil // its bytes are no longer in part, whatever becomes of the stream in the call
		s.c.hold(-int64(len(whole)))
		if !s.deliver(whole, ahead) || !s.used || s.id != id {
			return false
		}
		if s.part = whole[:0]; cap(whole) > 64<<10 {
			s.part = nil
		}
	}
	return true
}

// deliver hands over one message with its prefix, of which ahead bytes have been credited.
func (s *Stream) deliver(p []byte, ahead int64) bool {
	if p[0] != 0 {
		s.refuse(codes.Unimplemented, "compressed message: this end takes none")
		return false
	}
	id := s.id
	if s.c.app.Message(s, p[5:]) {
		if s.used && s.id == id {
			s.debt += ahead
		}
		return true
	}
	if s.used && s.id == id {
		s.credit(int64(len(p)) - ahead)
	}
	return true
}

// refuse ends a stream whose messages can't be taken. The App learns of it as a reset.
func (s *Stream) refuse(code codes.Code, why string) {
	c := s.c
	if c.server {
		c.app.Reset(s, http2.ErrCodeCancel, false)
		s.End(code, why)
		return
	}
	s.Reset(http2.ErrCodeCancel)
	c.app.Finished(s, code, why, &Header{})
}

func length(p []byte) uint32 {
	return uint32(p[1])<<24 | uint32(p[2])<<16 | uint32(p[3])<<8 | uint32(p[4])
}

// ended: the peer's half is over.
func (c *Conn) ended(s *Stream) error {
	s.remoteDone = true
	if c.server {
		if len(s.part) > 0 {
			s.refuse(codes.Internal, "message cut off")
			return nil
		}
		c.app.HalfClosed(s)
		return nil
	}
	c.drop(s) // a response must end in trailers
	c.app.Finished(s, codes.Internal, "stream ended without a status", &Header{})
	return nil
}

// field takes one decoded header field.
func (c *Conn) field(f hpack.HeaderField) {
	c.headSize += f.Size()
	if c.headSize > c.lim.HeaderBytes {
		c.headBad = "too long"
		return
	}
	if f.IsPseudo() {
		if c.regular {
			c.headBad = "pseudo field after others"
		}
		for i := range c.head.Fields {
			if c.head.Fields[i].Name == f.Name {
				c.headBad = "field twice: " + f.Name
			}
		}
	} else {
		c.regular = true
		switch f.Name {
		case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
			c.headBad = "field not allowed: " + f.Name
		case "grpc-timeout", "content-type", "content-length":
			for i := range c.head.Fields {
				if c.head.Fields[i].Name == f.Name {
					c.headBad = "field twice: " + f.Name
				}
			}
		}
		if strings.ToLower(f.Name) != f.Name || f.Name == "" {
			c.headBad = "field name not in lower case"
		}
	}
	c.head.Fields = append(c.head.Fields, f)
}

// fragment takes a piece of a header block.
func (c *Conn) fragment(p []byte, last bool) error {
	if _, err := c.dec.Write(p); err != nil {
		return connError{http2.ErrCodeCompression, err.Error()}
	}
	if c.headSize > 4*c.lim.HeaderBytes { // decoded only to keep the table right; not without end
		return connError{http2.ErrCodeEnhanceYourCalm, "endless headers"}
	}
	if !last {
		// Pieces that decode to little are bounded as well: each is worth a frame.
		if c.headSize += 32; c.headSize > 4*c.lim.HeaderBytes {
			return connError{http2.ErrCodeEnhanceYourCalm, "endless headers"}
		}
		return nil
	}
	if err := c.dec.Close(); err != nil {
		return connError{http2.ErrCodeCompression, err.Error()}
	}
	if c.server {
		return c.request()
	}
	return c.response()
}

func (c *Conn) request() error {
	id := c.headID
	if s := c.streams[id]; s != nil { // trailers of a request
		if !c.headEnd || s.remoteDone || c.headBad != "" {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		return c.ended(s)
	}
	if id <= c.lastID {
		return nil // crossed with our reset or end
	}
	c.lastID = id
	if c.leaving {
		c.fr.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		return nil
	}
	if uint32(len(c.streams)) >= c.lim.Streams {
		if !c.guard.Allow(c.now, abuse.Fault) {
			return calm(abuse.Fault)
		}
		c.fr.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		return nil
	}
	s := c.place(id)
	s.gotHead, s.remoteDone = true, c.headEnd
	h := &c.head
	if c.headBad == "" && (h.Get(":path") == "" || h.Get(":scheme") == "" || h.Get(":method") == "") {
		c.headBad = "pseudo field missing"
	}
	if c.headBad == "too long" {
		s.End(codes.ResourceExhausted, "headers longer than "+strconv.Itoa(int(c.lim.HeaderBytes))+" bytes")
		return nil
	}
	if c.headBad != "" {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
	}
	if v := h.Get("content-length"); v != "" {
		n, err := strconv.ParseInt(v, 10, 63)
		if err != nil {
			return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
		}
		s.length = n
	}
	if h.Get(":method") != "POST" {
		return http2.StreamError{StreamID: id, Code: http2.ErrCodeProtocol}
	}
	if t := h.Get("content-type"); t != "application/grpc" && t != "application/grpc+proto" {
		c.encBuf.Reset()
		c.put(":status", "415")
		c.writeHeaders(s, true)
		c.drop(s)
		return nil
	}
	c.app.Headers(s, h)
	if s.used && s.id == id && c.headEnd {
		return c.ended(s)
	}
	return nil
}

func (c *Conn) response() error {
	s := c.streams[c.headID]
	if s == nil {
		if c.idle(c.headID) {
			return connError{http2.ErrCodeProtocol, "headers on an idle stream"}
		}
		return nil // crossed with our reset
	}
	if c.headBad != "" {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	h := &c.head
	if !s.gotHead {
		status := h.Get(":status")
		if len(status) == 3 && status[0] == '1' && !c.headEnd {
			return nil
		}
		s.gotHead = true
		if status != "200" {
			s.Reset(http2.ErrCodeCancel)
			c.app.Finished(s, httpCode(status), "HTTP status "+status, h)
			return nil
		}
		if !c.headEnd {
			c.app.Headers(s, h)
			return nil
		}
	} else if !c.headEnd {
		return http2.StreamError{StreamID: s.id, Code: http2.ErrCodeProtocol}
	}
	code, message := codes.Unknown, "no grpc-status in the trailers"
	if v := h.Get("grpc-status"); v != "" {
		if n, err := strconv.ParseUint(v, 10, 31); err == nil && n <= uint64(codes.Unauthenticated) {
			code, message = codes.Code(n), unpercent(h.Get("grpc-message"))
		}
	}
	if len(s.part) > 0 && code == codes.OK {
		code, message = codes.Internal, "message cut off"
	}
	s.remoteDone = true
	if !s.localDone { // nobody reads what we would still send
		c.fr.WriteRSTStream(s.id, http2.ErrCodeNo)
	}
	c.drop(s)
	c.app.Finished(s, code, message, h)
	return nil
}

// httpCode is the status that gRPC gives a plain HTTP answer.
func httpCode(status string) codes.Code {
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
