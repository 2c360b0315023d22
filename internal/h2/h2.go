// Package h2 speaks HTTP/2 and gRPC's framing for both ends of a connection, without a socket: bytes are fed
// in and calls come out; calls go in and bytes come out by Take. The frames themselves are golang.org/x/net's.
//
// One Conn is one connection. Its App is called from inside Feed and may call back into the Conn and its
// streams, but for Feed. A Stream is valid until the App was told of its end (Finished or Reset) or has ended
// it by Reset or, on a server, End; then its place is used again.
package h2

import (
	"bytes"
	"docksail/internal/decide/abuse"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

// Limits bound what one connection may hold.
type Limits struct {
	MaxStreams         uint32 // open at once, as a server
	StreamWindow       uint32 // bytes a peer may send on a stream before they are used
	ConnWindow         uint32 // and on all together, at least 65,535
	MaxHeaderListBytes uint32 // of one header list
	MaxMessageBytes    uint32 // of one message
}

// DefaultLimits limits: a stream's window holds a few thousand tokens, a message a prompt of some megabytes.
var DefaultLimits = Limits{
	MaxStreams: 10000, StreamWindow: 64 << 10, ConnWindow: 4 << 20, MaxHeaderListBytes: 16 << 10,
	MaxMessageBytes: 4 << 20,
}

// PartialMessageBudget bounds the bytes of messages that have come in part, over all connections that share it. One connection may
// have an eighth of it. It belongs to the loop that feeds them.
type PartialMessageBudget struct {
	MaxBytes        int64
	RejectedStreams uint64 // streams ended because it was spent
	usedBytes       int64
}

// UsedBytes is how much of it is in use.
func (b *PartialMessageBudget) UsedBytes() int64 { return b.usedBytes }

// Handler is what a connection belongs to. Slices are valid during the call only.
type Handler interface {
	// Headers: a request has come (server), or the headers of a response (client).
	HeadersReceived(s *Stream, h *Header)
	// Message: one whole message. True keeps its bytes uncredited until Stream.CreditWindow; meanwhile the peer's
	// window shrinks, which holds it back.
	MessageReceived(s *Stream, p []byte) (held bool)
	// RequestEnded: the client sends no more (server).
	RequestEnded(s *Stream)
	// Finished: the stream ended with a status (client).
	StreamFinished(s *Stream, code codes.Code, message string, trailer *Header)
	// Reset: the stream is over without one: reset by the peer, refused before anything was done, or lost with
	// the connection.
	StreamReset(s *Stream, why http2.ErrCode, refused bool)
	// Room: all that was sent on the stream has left for the socket.
	StreamFlushed(s *Stream)
	// GoAwayReceived: the peer takes no new streams on this connection.
	GoAwayReceived()
	// Pong: a ping was answered.
	PingAcked()
}

// Header is a decoded header list.
type Header struct{ Fields []hpack.HeaderField }

// Get is the value of the first field of that name, in lower case; empty if there is none.
func (h *Header) Get(name string) string {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Stream is one call.
type Stream struct {
	UserID   uint64 // the App's own
	UserData any    // the App's own

	conn            *Conn
	id              uint32
	active          bool
	sendWindow      int64
	recvWindow      int64
	uncredited      int64 // consumed, not yet credited to the peer
	creditedAhead   int64 // credited ahead of its use
	partialMessage  []byte
	pendingOutput   []byte // to be sent
	queued          bool   // stands in the connection's line
	headersSent     bool   // our headers are sent
	headersReceived bool   // the peer's headers have come
	remoteClosed    bool
	localClosed     bool
	endAfterOutput  bool // pend is to be followed by the end
	trailer         []hpack.HeaderField
	contentLength   int64 // content-length told; -1 = none
	receivedBytes   int64
}

// ID is the stream's number.
func (s *Stream) ID() uint32 { return s.id }

// Conn is one end of a connection.
type Conn struct {
	isServer          bool
	limits            Limits
	handler           Handler
	now               int64
	input             []byte
	output            []byte
	framer            *http2.Framer
	frameReader       bytes.Reader
	headerDecoder     *hpack.Decoder
	headerEncoder     *hpack.Encoder
	headerBuffer      bytes.Buffer
	abuseGuard        abuse.Limiter
	streams           map[uint32]*Stream
	freeStreams       []*Stream
	sendQueue         []*Stream // streams with output that waits for a window or for the socket, in turn
	header            Header
	headerListBytes   uint32
	headerFault       string // what is wrong with the header list under way
	regularFieldSeen  bool   // a regular field has come
	headerStreamID    uint32
	headerEndsStream  bool
	prefaceBytes      int
	settingsReceived  bool // the peer's first settings have come
	nextStreamID      uint32
	lastPeerStreamID  uint32 // highest stream of the peer's
	sendWindow        int64
	recvWindow        int64
	uncredited        int64
	peerInitialWindow int64
	peerMaxStreams    uint32
	peerMaxFrameBytes uint32
	outputPaused      bool
	finalGoAwaySent   bool // GOAWAY sent
	goAwayReceived    bool // GOAWAY received
	draining          bool // first of two GOAWAYs sent
	err               error
	flushing          bool
	settingsAcked     bool // the peer has taken our settings
	peerResetCount    uint64
	budget            *PartialMessageBudget
	partialBytes      int64 // bytes of messages that have come in part
}

const clientPreface = http2.ClientPreface

var (
	drainPingData     = [8]byte{'d', 'r', 'a', 'i', 'n'}
	keepalivePingData = [8]byte{'a', 'l', 'i', 'v', 'e'}
)

// NewServerConn makes the server's end.
func NewServerConn(lim Limits, app Handler) *Conn { return newConn(true, lim, app) }

// NewClientConn makes the client's end.
func NewClientConn(lim Limits, app Handler) *Conn { return newConn(false, lim, app) }

func newConn(server bool, lim Limits, app Handler) *Conn {
	lim.ConnWindow = max(lim.ConnWindow, 65535)
	c := &Conn{
		isServer: server, limits: lim, handler: app, streams: make(map[uint32]*Stream), sendWindow: 65535,
		recvWindow: int64(lim.ConnWindow), peerInitialWindow: 65535, peerMaxStreams: 1 << 30, peerMaxFrameBytes: 16384, nextStreamID: 1,
	}
	c.framer = http2.NewFramer(outputWriter{c}, &c.frameReader)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(16384)
	c.headerDecoder = hpack.NewDecoder(4096, c.addHeaderField)
	c.headerDecoder.SetMaxStringLength(4 * int(lim.MaxHeaderListBytes)) // longer than a list may be: it is refused, not the connection
	c.headerEncoder = hpack.NewEncoder(&c.headerBuffer)
	set := []http2.Setting{
		{ID: http2.SettingInitialWindowSize, Val: lim.StreamWindow},
		{ID: http2.SettingMaxHeaderListSize, Val: lim.MaxHeaderListBytes},
	}
	if server {
		set = append(set, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: lim.MaxStreams})
	} else {
		c.output = append(c.output, clientPreface...)
		set = append(set, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
		c.prefaceBytes = len(clientPreface)
	}
	c.framer.WriteSettings(set...)
	if lim.ConnWindow > 65535 {
		c.framer.WriteWindowUpdate(0, lim.ConnWindow-65535)
	}
	return c
}

type outputWriter struct{ c *Conn }

func (o outputWriter) Write(p []byte) (int, error) {
	o.c.output = append(o.c.output, p...)
	return len(p), nil
}

// SetPartialMessageBudget has a connection draw on a budget for messages that have come in part.
func (c *Conn) SetPartialMessageBudget(b *PartialMessageBudget) { c.budget = b }

// reservePartialBytes counts bytes of a message that has come in part; false if there may be no more.
func (c *Conn) reservePartialBytes(n int64) bool {
	if c.budget == nil {
		return true
	}
	if n > 0 && (c.budget.usedBytes+n > c.budget.MaxBytes || c.partialBytes+n > c.budget.MaxBytes/8) {
		c.budget.RejectedStreams++
		return false
	}
	c.partialBytes += n
	c.budget.usedBytes += n
	return true
}

// TakeOutput gives what is to be written to the socket, and forgets it; the bytes are valid until the next call.
func (c *Conn) TakeOutput() []byte {
	p := c.output
	c.output = c.output[:0]
	if cap(p) > 256<<10 {
		c.output = nil
	}
	return p
}

// HasOutput tells that Take has something to give.
func (c *Conn) HasOutput() bool { return len(c.output) > 0 }

// OpenStreamCount counts the streams that are open.
func (c *Conn) OpenStreamCount() int { return len(c.streams) }

// PeerResetCount counts streams that the peer reset.
func (c *Conn) PeerResetCount() uint64 { return c.peerResetCount }

// Err is why the connection has to end, if it has to: the socket is to be closed once output is written.
func (c *Conn) Err() error { return c.err }

// ForEachStream calls f for every open stream, in the order of their numbers where n is small enough to matter.
func (c *Conn) ForEachStream(f func(s *Stream)) {
	for _, s := range c.sortedStreams() {
		if s.active {
			f(s)
		}
	}
}

func (c *Conn) sortedStreams() []*Stream {
	list := make([]*Stream, 0, len(c.streams))
	for _, s := range c.streams {
		list = append(list, s)
	}
	sortStreams(list)
	return list
}

// A connectionError ends the connection.
type connectionError struct {
	code   http2.ErrCode
	reason string
}

func (e connectionError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.reason) }

// Feed hands over bytes from the socket at a time in nanoseconds. An error, the same that Over gives from then
// on, says that the connection is at its end.
func (c *Conn) Feed(now int64, p []byte) error {
	if c.err != nil {
		return c.err
	}
	c.now = now
	if c.prefaceBytes < len(clientPreface) {
		n := min(len(p), len(clientPreface)-c.prefaceBytes)
		if string(p[:n]) != clientPreface[c.prefaceBytes:c.prefaceBytes+n] {
			if c.prefaceBytes == 0 {
				c.output = append(c.output[:0], "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\n"+
					"\r\nthis port speaks gRPC over HTTP/2\n"...)
			}
			c.err = errors.New("peer does not begin with the HTTP/2 preface")
			return c.err
		}
		c.prefaceBytes += n
		p = p[n:]
	}
	if len(c.input) > 0 {
		c.input = append(c.input, p...)
		p = c.input
	}
	for len(p) >= 9 && c.err == nil {
		n := 9 + int(p[0])<<16 + int(p[1])<<8 + int(p[2])
		if n > 9+16384 {
			c.fail(connectionError{http2.ErrCodeFrameSize, "frame longer than allowed"})
			break
		}
		if len(p) < n {
			break
		}
		c.frameReader.Reset(p[:n])
		p = p[n:]
		f, err := c.framer.ReadFrame()
		if err == nil {
			err = c.handleFrame(f)
		}
		if err != nil {
			c.handleError(err)
		}
	}
	if c.err != nil {
		c.input = nil
		return c.err
	}
	if len(p) == 0 {
		if cap(c.input) > 64<<10 {
			c.input = nil
		}
		c.input = c.input[:0]
	} else {
		c.input = append(c.input[:0], p...)
	}
	return nil
}

// handleError turns an error of the framer or of a frame into what the peer is told.
func (c *Conn) handleError(err error) {
	var se http2.StreamError
	var ce http2.ConnectionError
	var mine connectionError
	switch {
	case errors.As(err, &se):
		if !c.abuseGuard.Allow(c.now, abuse.StreamError) {
			c.fail(connectionError{http2.ErrCodeEnhanceYourCalm, "too many stream errors"})
			return
		}
		if s := c.streams[se.StreamID]; s != nil {
			c.framer.WriteRSTStream(se.StreamID, se.Code)
			c.removeStream(s)
			c.handler.StreamReset(s, se.Code, false)
		} else {
			c.framer.WriteRSTStream(se.StreamID, se.Code)
		}
	case errors.As(err, &mine):
		c.fail(mine)
	case errors.As(err, &ce):
		c.fail(connectionError{http2.ErrCode(ce), "bad frame"})
	case errors.Is(err, http2.ErrFrameTooLarge):
		c.fail(connectionError{http2.ErrCodeFrameSize, "frame longer than allowed"})
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		c.fail(connectionError{http2.ErrCodeFrameSize, "frame shorter than its kind needs"})
	default:
		c.fail(connectionError{http2.ErrCodeProtocol, err.Error()})
	}
}

func (c *Conn) fail(err connectionError) {
	if c.err == nil {
		c.framer.WriteGoAway(c.lastPeerStreamID, err.code, []byte(err.reason))
		c.err = err
	}
}

// TransportClosed tells that the socket is gone: every open stream is reset.
func (c *Conn) TransportClosed() {
	if c.err == nil {
		c.err = io.ErrUnexpectedEOF
	}
	for _, s := range c.sortedStreams() {
		if s.active {
			c.removeStream(s)
			c.handler.StreamReset(s, http2.ErrCodeInternal, false)
		}
	}
}

// SetOutputPaused stops, or lets go on, the flow of messages into Take, for a socket that takes no more. What is sent
// meanwhile waits in its stream.
func (c *Conn) SetOutputPaused(yes bool) {
	c.outputPaused = yes
	if !yes {
		c.flushStreams()
	}
}

// Ping asks the peer for a sign of life.
func (c *Conn) Ping() {
	if c.err == nil {
		c.framer.WritePing(false, keepalivePingData)
	}
}

// StartDrain asks the peer to open no more streams. Those that cross with this are still served; the answer to a
// ping ends that time.
func (c *Conn) StartDrain() {
	if c.err == nil && !c.draining {
		c.draining = true
		c.framer.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil)
		c.framer.WritePing(false, drainPingData)
	}
}

// FinalGoAwaySent tells that the peer has been asked to go and knows.
func (c *Conn) FinalGoAwaySent() bool { return c.finalGoAwaySent }

// CanOpenStream tells whether a client may open another stream.
func (c *Conn) CanOpenStream() bool {
	return c.err == nil && !c.goAwayReceived && uint32(len(c.streams)) < c.peerMaxStreams && c.nextStreamID < 1<<31-1
}

// OpenStream opens a stream as a client: path is /service/method; timeoutNS, if above 0, goes with it as
// grpc-timeout; extra are further headers, in lower case. CanOpenStream must hold.
func (c *Conn) OpenStream(path, authority string, timeoutNS int64, extra ...hpack.HeaderField) *Stream {
	s := c.allocateStream(c.nextStreamID)
	c.nextStreamID += 2
	c.headerBuffer.Reset()
	c.encodeField(":method", "POST")
	c.encodeField(":scheme", "http")
	c.encodeField(":path", path)
	c.encodeField(":authority", authority)
	c.encodeField("content-type", "application/grpc")
	c.encodeField("te", "trailers")
	if timeoutNS > 0 {
		c.headerEncoder.WriteField(hpack.HeaderField{Name: "grpc-timeout", Value: FormatTimeout(timeoutNS), Sensitive: true})
	}
	for _, f := range extra {
		c.headerEncoder.WriteField(f)
	}
	c.writeHeaders(s, false)
	s.headersSent = true
	return s
}

func (c *Conn) encodeField(name, value string) {
	c.headerEncoder.WriteField(hpack.HeaderField{Name: name, Value: value})
}

// writeHeaders sends the encoded block, split as the peer's frame size wants.
func (c *Conn) writeHeaders(s *Stream, end bool) {
	block := c.headerBuffer.Bytes()
	first := block[:min(len(block), int(c.peerMaxFrameBytes))]
	block = block[len(first):]
	c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: s.id, BlockFragment: first, EndStream: end,
		EndHeaders: len(block) == 0,
	})
	for len(block) > 0 {
		part := block[:min(len(block), int(c.peerMaxFrameBytes))]
		block = block[len(part):]
		c.framer.WriteContinuation(s.id, len(block) == 0, part)
	}
}

func (c *Conn) allocateStream(id uint32) *Stream {
	var s *Stream
	if n := len(c.freeStreams); n > 0 {
		s, c.freeStreams = c.freeStreams[n-1], c.freeStreams[:n-1]
		*s = Stream{partialMessage: s.partialMessage[:0], pendingOutput: s.pendingOutput[:0], trailer: s.trailer[:0]}
	} else {
		s = &Stream{}
	}
	s.conn, s.id, s.active, s.sendWindow, s.recvWindow, s.contentLength = c, id, true, c.peerInitialWindow, int64(c.limits.StreamWindow), -1
	if !c.settingsAcked { // the peer may still go by the window that holds before any settings
		s.recvWindow = max(s.recvWindow, 65535)
	}
	c.streams[id] = s
	return s
}

const maxFreeStreams = 256 // streams kept for reuse on a connection

// removeStream forgets a stream; its place is used again once it has left the line.
func (c *Conn) removeStream(s *Stream) {
	if !s.active {
		return
	}
	s.active = false
	delete(c.streams, s.id)
	c.reservePartialBytes(-int64(len(s.partialMessage)))
	s.partialMessage = s.partialMessage[:0]
	if !s.queued {
		c.recycleStream(s)
	}
}

func (c *Conn) recycleStream(s *Stream) {
	if len(c.freeStreams) < maxFreeStreams {
		if cap(s.partialMessage) > 16<<10 {
			s.partialMessage = nil
		}
		if cap(s.pendingOutput) > 16<<10 {
			s.pendingOutput = nil
		}
		c.freeStreams = append(c.freeStreams, s)
	}
}

// PendingBytes is how many bytes wait to be sent on the stream.
func (s *Stream) PendingBytes() int { return len(s.pendingOutput) }

// SendHeaders sends a server's response headers; later ones are not sent again.
func (s *Stream) SendHeaders(extra ...hpack.HeaderField) {
	c := s.conn
	if s.headersSent || !s.active || !c.isServer || c.err != nil {
		return
	}
	s.headersSent = true
	c.headerBuffer.Reset()
	c.encodeField(":status", "200")
	c.encodeField("content-type", "application/grpc")
	for _, f := range extra {
		c.headerEncoder.WriteField(f)
	}
	c.writeHeaders(s, false)
}

// SendMessage sends one message, copying it; last says that nothing more comes from this client.
func (s *Stream) SendMessage(p []byte, last bool) {
	c := s.conn
	if !s.active || s.localClosed || s.endAfterOutput || c.err != nil {
		return
	}
	if c.isServer {
		s.SendHeaders()
		c.abuseGuard.AddCredit()
	}
	prefix := [5]byte{0, byte(len(p) >> 24), byte(len(p) >> 16), byte(len(p) >> 8), byte(len(p))}
	n := int64(len(p) + 5)
	if len(s.pendingOutput) == 0 && !c.outputPaused && n <= s.sendWindow && n <= c.sendWindow && n <= int64(c.peerMaxFrameBytes) {
		s.sendWindow -= n
		c.sendWindow -= n
		flags := byte(0)
		if last {
			flags = byte(http2.FlagDataEndStream)
			s.localClosed = true
		}
		c.output = append(c.output, byte(n>>16), byte(n>>8), byte(n), byte(http2.FrameData), flags,
			byte(s.id>>24), byte(s.id>>16), byte(s.id>>8), byte(s.id))
		c.output = append(c.output, prefix[:]...)
		c.output = append(c.output, p...)
		return
	}
	s.pendingOutput = append(s.pendingOutput, prefix[:]...)
	s.pendingOutput = append(s.pendingOutput, p...)
	s.endAfterOutput = last
	c.enqueue(s)
	c.flushStreams()
}

// CloseSend ends a client's sending without a last message.
func (s *Stream) CloseSend() {
	if s.active && !s.localClosed && !s.endAfterOutput {
		s.endAfterOutput = true
		s.conn.enqueue(s)
		s.conn.flushStreams()
	}
}

// EndWithStatus ends a server's stream with a status, after all that was sent; extra are further trailers. The stream
// is the App's no longer.
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

// IsEnding tells that a server's stream has been ended and only its output is still on its way.
func (s *Stream) IsEnding() bool { return s.endAfterOutput && s.conn.isServer }

// Reset ends a stream at once. The App is not called for it again.
func (s *Stream) Reset(code http2.ErrCode) {
	if s.active {
		if s.conn.err == nil {
			s.conn.framer.WriteRSTStream(s.id, code)
		}
		s.conn.removeStream(s)
	}
}

// CreditWindow gives the peer back n bytes of the stream's window, those of messages that Message held.
func (s *Stream) CreditWindow(n int) {
	if s.active {
		pay := min(int64(n), s.creditedAhead)
		s.creditedAhead -= pay
		s.creditWindow(int64(n) - pay)
	}
}

func (s *Stream) creditWindow(n int64) {
	s.uncredited += n
	if s.uncredited >= int64(s.conn.limits.StreamWindow)/2 && !s.remoteClosed && s.conn.err == nil {
		s.conn.framer.WriteWindowUpdate(s.id, uint32(s.uncredited))
		s.recvWindow += s.uncredited
		s.uncredited = 0
	}
}

// enqueue puts a stream in line, unless only its own window's opening can help it.
func (c *Conn) enqueue(s *Stream) {
	if !s.queued && (s.sendWindow > 0 || len(s.pendingOutput) == 0) {
		s.queued = true
		c.sendQueue = append(c.sendQueue, s)
	}
}

// writeStreamEnd writes a server's trailers, or a client's empty last frame.
func (c *Conn) writeStreamEnd(s *Stream) {
	s.localClosed = true
	if !c.isServer {
		c.framer.WriteData(s.id, true, nil)
		return
	}
	c.headerBuffer.Reset()
	if !s.headersSent {
		c.encodeField(":status", "200")
		c.encodeField("content-type", "application/grpc")
	}
	for _, f := range s.trailer {
		c.headerEncoder.WriteField(f)
	}
	c.writeHeaders(s, true)
	if !s.remoteClosed { // the rest of the request is not wanted
		c.framer.WriteRSTStream(s.id, http2.ErrCodeNo)
	}
	c.abuseGuard.AddCredit()
	c.removeStream(s)
}

// flushStreams moves waiting output as far as the windows and the socket allow, one frame a stream in turn.
func (c *Conn) flushStreams() {
	if c.flushing { // called by the App from inside the turn that goes on
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
		if n := min(int64(len(s.pendingOutput)), s.sendWindow, c.sendWindow, int64(c.peerMaxFrameBytes)); n > 0 {
			s.sendWindow -= n
			c.sendWindow -= n
			last := s.endAfterOutput && !c.isServer && int(n) == len(s.pendingOutput)
			c.framer.WriteData(s.id, last, s.pendingOutput[:n])
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
}

// FormatTimeout is a span in nanoseconds as grpc-timeout has it: at most eight digits and a unit, rounded up.
func FormatTimeout(ns int64) string {
	const most = 99999999
	for _, u := range []struct {
		unit string
		ns   int64
	}{{"n", 1}, {"u", 1e3}, {"m", 1e6}, {"S", 1e9}, {"M", 60e9}, {"H", 3600e9}} {
		if v := (ns + u.ns - 1) / u.ns; v <= most {
			return strconv.FormatInt(v, 10) + u.unit
		}
	}
	return strconv.Itoa(most) + "H"
}

// ParseTimeout reads a grpc-timeout, in nanoseconds.
func ParseTimeout(s string) (int64, error) {
	units := map[byte]int64{'n': 1, 'u': 1e3, 'm': 1e6, 'S': 1e9, 'M': 60e9, 'H': 3600e9}
	if len(s) < 2 || len(s) > 9 {
		return 0, fmt.Errorf("grpc-timeout %q: want one to eight digits and a unit", s)
	}
	unit, ok := units[s[len(s)-1]]
	n, err := strconv.ParseUint(s[:len(s)-1], 10, 63)
	if !ok || err != nil {
		return 0, fmt.Errorf("grpc-timeout %q: want one to eight digits and a unit of H, M, S, m, u, n", s)
	}
	if int64(n) > (1<<62)/unit {
		return 1 << 62, nil
	}
	return int64(n) * unit, nil
}

// percentEncode encodes a grpc-message.
func percentEncode(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c > '~' || c == '%' {
			fmt.Fprintf(&b, "%%%02X", c)
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}

func percentDecode(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if v, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(v))
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

// HeadersSent tells that our headers have been sent.
func (s *Stream) HeadersSent() bool { return s.headersSent }
