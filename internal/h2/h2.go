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
	Streams      uint32 // open at once, as a server
	StreamWindow uint32 // bytes a peer may send on a stream before they are used
	ConnWindow   uint32 // and on all together, at least 65,535
	HeaderBytes  uint32 // of one header list
	MessageBytes uint32 // of one message
}

// Usual limits: a stream's window holds a few thousand tokens, a message a prompt of some megabytes.
var Usual = Limits{
	Streams: 10000, StreamWindow: 64 << 10, ConnWindow: 4 << 20, HeaderBytes: 16 << 10,
	MessageBytes: 4 << 20,
}

// Budget bounds the bytes of messages that have come in part, over all connections that share it. One connection may
// have an eighth of it. It belongs to the loop that feeds them.
type Budget struct {
	Most    int64
	Refused uint64 // streams ended because it was spent
	used    int64
}

// Used is how much of it is in use.
func (b *Budget) Used() int64 { return b.used }

// App is what a connection belongs to. Slices are valid during the call only.
type App interface {
	// Headers: a request has come (server), or the headers of a response (client).
	Headers(s *Stream, h *Header)
	// Message: one whole message. True keeps its bytes uncredited until Stream.Credit; meanwhile the peer's
	// window shrinks, which holds it back.
	Message(s *Stream, p []byte) (held bool)
	// HalfClosed: the client sends no more (server).
	HalfClosed(s *Stream)
	// Finished: the stream ended with a status (client).
	Finished(s *Stream, code codes.Code, message string, trailer *Header)
	// Reset: the stream is over without one: reset by the peer, refused before anything was done, or lost with
	// the connection.
	Reset(s *Stream, why http2.ErrCode, refused bool)
	// Room: all that was sent on the stream has left for the socket.
	Room(s *Stream)
	// GoingAway: the peer takes no new streams on this connection.
	GoingAway()
	// Pong: a ping was answered.
	Pong()
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
	Ref uint64 // the App's own
	Tag any    // the App's own

	c          *Conn
	id         uint32
	used       bool
	sendWin    int64
	recvWin    int64
	owed       int64 // consumed, not yet credited to the peer
	debt       int64 // credited ahead of its use
	part       []byte
	pend       []byte // to be sent
	waits      bool   // stands in the connection's line
	headed     bool   // our headers are sent
	gotHead    bool   // the peer's headers have come
	remoteDone bool
	localDone  bool
	endAfter   bool // pend is to be followed by the end
	trailer    []hpack.HeaderField
	length     int64 // content-length told; -1 = none
	got        int64
}

// ID is the stream's number.
func (s *Stream) ID() uint32 { return s.id }

// Conn is one end of a connection.
type Conn struct {
	server    bool
	lim       Limits
	app       App
	now       int64
	in        []byte
	out       []byte
	fr        *http2.Framer
	rd        bytes.Reader
	dec       *hpack.Decoder
	enc       *hpack.Encoder
	encBuf    bytes.Buffer
	guard     abuse.Guard
	streams   map[uint32]*Stream
	free      []*Stream
	line      []*Stream // streams with output that waits for a window or for the socket, in turn
	head      Header
	headSize  uint32
	headBad   string // what is wrong with the header list under way
	regular   bool   // a regular field has come
	headID    uint32
	headEnd   bool
	preface   int
	settled   bool // the peer's first settings have come
	nextID    uint32
	lastID    uint32 // highest stream of the peer's
	sendWin   int64
	recvWin   int64
	recvOwed  int64
	peerWin   int64
	peerMost  uint32
	peerFrame uint32
	congested bool
	leaving   bool // GOAWAY sent
	left      bool // GOAWAY received
	draining  bool // first of two GOAWAYs sent
	over      error
	pumping   bool
	acked     bool // the peer has taken our settings
	resets    uint64
	budget    *Budget
	partial   int64 // bytes of messages that have come in part
}

const preface = http2.ClientPreface

var (
	drainPing = [8]byte{'d', 'r', 'a', 'i', 'n'}
	alivePing = [8]byte{'a', 'l', 'i', 'v', 'e'}
)

// NewServer makes the server's end.
func NewServer(lim Limits, app App) *Conn { return newConn(true, lim, app) }

// NewClient makes the client's end.
func NewClient(lim Limits, app App) *Conn { return newConn(false, lim, app) }

func newConn(server bool, lim Limits, app App) *Conn {
	lim.ConnWindow = max(lim.ConnWindow, 65535)
	c := &Conn{
		server: server, lim: lim, app: app, streams: make(map[uint32]*Stream), sendWin: 65535,
		recvWin: int64(lim.ConnWindow), peerWin: 65535, peerMost: 1 << 30, peerFrame: 16384, nextID: 1,
	}
	c.fr = http2.NewFramer(outBuf{c}, &c.rd)
	c.fr.SetReuseFrames()
	c.fr.SetMaxReadFrameSize(16384)
	c.dec = hpack.NewDecoder(4096, c.field)
	c.dec.SetMaxStringLength(4 * int(lim.HeaderBytes)) // longer than a list may be: it is refused, not the connection
	c.enc = hpack.NewEncoder(&c.encBuf)
	set := []http2.Setting{
		{ID: http2.SettingInitialWindowSize, Val: lim.StreamWindow},
		{ID: http2.SettingMaxHeaderListSize, Val: lim.HeaderBytes},
	}
	if server {
		set = append(set, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: lim.Streams})
	} else {
		c.out = append(c.out, preface...)
		set = append(set, http2.Setting{ID: http2.SettingEnablePush, Val: 0})
		c.preface = len(preface)
	}
	c.fr.WriteSettings(set...)
	if lim.ConnWindow > 65535 {
		c.fr.WriteWindowUpdate(0, lim.ConnWindow-65535)
	}
	return c
}

type outBuf struct{ c *Conn }

func (o outBuf) Write(p []byte) (int, error) {
	o.c.out = append(o.c.out, p...)
	return len(p), nil
}

// SetBudget has a connection draw on a budget for messages that have come in part.
func (c *Conn) SetBudget(b *Budget) { c.budget = b }

// hold counts bytes of a message that has come in part; false if there may be no more.
func (c *Conn) hold(n int64) bool {
	if c.budget == nil {
		return true
	}
	if n > 0 && (c.budget.used+n > c.budget.Most || c.partial+n > c.budget.Most/8) {
		c.budget.Refused++
		return false
	}
	c.partial += n
	c.budget.used += n
	return true
}

// Take gives what is to be written to the socket, and forgets it; the bytes are valid until the next call.
func (c *Conn) Take() []byte {
	p := c.out
	c.out = c.out[:0]
	if cap(p) > 256<<10 {
		c.out = nil
	}
	return p
}

// Waiting tells that Take has something to give.
func (c *Conn) Waiting() bool { return len(c.out) > 0 }

// Open counts the streams that are open.
func (c *Conn) Open() int { return len(c.streams) }

// Resets counts streams that the peer reset.
func (c *Conn) Resets() uint64 { return c.resets }

// Over is why the connection has to end, if it has to: the socket is to be closed once output is written.
func (c *Conn) Over() error { return c.over }

// Each calls f for every open stream, in the order of their numbers where n is small enough to matter.
func (c *Conn) Each(f func(s *Stream)) {
	for _, s := range c.sorted() {
		if s.used {
			f(s)
		}
	}
}

func (c *Conn) sorted() []*Stream {
	list := make([]*Stream, 0, len(c.streams))
	for _, s := range c.streams {
		list = append(list, s)
	}
	sortStreams(list)
	return list
}

// A connError ends the connection.
type connError struct {
	code http2.ErrCode
	why  string
}

func (e connError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.why) }

// Feed hands over bytes from the socket at a time in nanoseconds. An error, the same that Over gives from then
// on, says that the connection is at its end.
func (c *Conn) Feed(now int64, p []byte) error {
	if c.over != nil {
		return c.over
	}
	c.now = now
	if c.preface < len(preface) {
		n := min(len(p), len(preface)-c.preface)
		if string(p[:n]) != preface[c.preface:c.preface+n] {
			if c.preface == 0 {
				c.out = append(c.out[:0], "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\n"+
					"\r\nthis port speaks gRPC over HTTP/2\n"...)
			}
			c.over = errors.New("peer does not begin with the HTTP/2 preface")
			return c.over
		}
		c.preface += n
		p = p[n:]
	}
	if len(c.in) > 0 {
		c.in = append(c.in, p...)
		p = c.in
	}
	for len(p) >= 9 && c.over == nil {
		n := 9 + int(p[0])<<16 + int(p[1])<<8 + int(p[2])
		if n > 9+16384 {
			c.fail(connError{http2.ErrCodeFrameSize, "frame longer than allowed"})
			break
		}
		if len(p) < n {
			break
		}
		c.rd.Reset(p[:n])
		p = p[n:]
		f, err := c.fr.ReadFrame()
		if err == nil {
			err = c.frame(f)
		}
		if err != nil {
			c.handle(err)
		}
	}
	if c.over != nil {
		c.in = nil
		return c.over
	}
	if len(p) == 0 {
		if cap(c.in) > 64<<10 {
			c.in = nil
		}
		c.in = c.in[:0]
	} else {
		c.in = append(c.in[:0], p...)
	}
	return nil
}

// handle turns an error of the framer or of a frame into what the peer is told.
func (c *Conn) handle(err error) {
	var se http2.StreamError
	var ce http2.ConnectionError
	var mine connError
	switch {
	case errors.As(err, &se):
		if !c.guard.Allow(c.now, abuse.Fault) {
			c.fail(connError{http2.ErrCodeEnhanceYourCalm, "too many stream errors"})
			return
		}
		if s := c.streams[se.StreamID]; s != nil {
			c.fr.WriteRSTStream(se.StreamID, se.Code)
			c.drop(s)
			c.app.Reset(s, se.Code, false)
		} else {
			c.fr.WriteRSTStream(se.StreamID, se.Code)
		}
	case errors.As(err, &mine):
		c.fail(mine)
	case errors.As(err, &ce):
		c.fail(connError{http2.ErrCode(ce), "bad frame"})
	case errors.Is(err, http2.ErrFrameTooLarge):
		c.fail(connError{http2.ErrCodeFrameSize, "frame longer than allowed"})
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		c.fail(connError{http2.ErrCodeFrameSize, "frame shorter than its kind needs"})
	default:
		c.fail(connError{http2.ErrCodeProtocol, err.Error()})
	}
}

func (c *Conn) fail(err connError) {
	if c.over == nil {
		c.fr.WriteGoAway(c.lastID, err.code, []byte(err.why))
		c.over = err
	}
}

// Lost tells that the socket is gone: every open stream is reset.
func (c *Conn) Lost() {
	if c.over == nil {
		c.over = io.ErrUnexpectedEOF
	}
	for _, s := range c.sorted() {
		if s.used {
			c.drop(s)
			c.app.Reset(s, http2.ErrCodeInternal, false)
		}
	}
}

// Congested stops, or lets go on, the flow of messages into Take, for a socket that takes no more. What is sent
// meanwhile waits in its stream.
func (c *Conn) Congested(yes bool) {
	c.congested = yes
	if !yes {
		c.pump()
	}
}

// Ping asks the peer for a sign of life.
func (c *Conn) Ping() {
	if c.over == nil {
		c.fr.WritePing(false, alivePing)
	}
}

// Leave asks the peer to open no more streams. Those that cross with this are still served; the answer to a
// ping ends that time.
func (c *Conn) Leave() {
	if c.over == nil && !c.draining {
		c.draining = true
		c.fr.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil)
		c.fr.WritePing(false, drainPing)
	}
}

// Leaving tells that the peer has been asked to go and knows.
func (c *Conn) Leaving() bool { return c.leaving }

// CanOpen tells whether a client may open another stream.
func (c *Conn) CanOpen() bool {
	return c.over == nil && !c.left && uint32(len(c.streams)) < c.peerMost && c.nextID < 1<<31-1
}

// OpenStream opens a stream as a client: path is /service/method; timeoutNS, if above 0, goes with it as
// grpc-timeout; extra are further headers, in lower case. CanOpen must hold.
func (c *Conn) OpenStream(path, authority string, timeoutNS int64, extra ...hpack.HeaderField) *Stream {
	s := c.place(c.nextID)
	c.nextID += 2
	c.encBuf.Reset()
	c.put(":method", "POST")
	c.put(":scheme", "http")
	c.put(":path", path)
	c.put(":authority", authority)
	c.put("content-type", "application/grpc")
	c.put("te", "trailers")
	if timeoutNS > 0 {
		c.enc.WriteField(hpack.HeaderField{Name: "grpc-timeout", Value: Timeout(timeoutNS), Sensitive: true})
	}
	for _, f := range extra {
		c.enc.WriteField(f)
	}
	c.writeHeaders(s, false)
	s.headed = true
	return s
}

func (c *Conn) put(name, value string) { c.enc.WriteField(hpack.HeaderField{Name: name, Value: value}) }

// writeHeaders sends the encoded block, split as the peer's frame size wants.
func (c *Conn) writeHeaders(s *Stream, end bool) {
	block := c.encBuf.Bytes()
	first := block[:min(len(block), int(c.peerFrame))]
	block = block[len(first):]
	c.fr.WriteHeaders(http2.HeadersFrameParam{
		StreamID: s.id, BlockFragment: first, EndStream: end,
		EndHeaders: len(block) == 0,
	})
	for len(block) > 0 {
		part := block[:min(len(block), int(c.peerFrame))]
		block = block[len(part):]
		c.fr.WriteContinuation(s.id, len(block) == 0, part)
	}
}

func (c *Conn) place(id uint32) *Stream {
	var s *Stream
	if n := len(c.free); n > 0 {
		s, c.free = c.free[n-1], c.free[:n-1]
		*s = Stream{part: s.part[:0], pend: s.pend[:0], trailer: s.trailer[:0]}
	} else {
		s = &Stream{}
	}
	s.c, s.id, s.used, s.sendWin, s.recvWin, s.length = c, id, true, c.peerWin, int64(c.lim.StreamWindow), -1
	if !c.acked { // the peer may still go by the window that holds before any settings
		s.recvWin = max(s.recvWin, 65535)
	}
	c.streams[id] = s
	return s
}

const keepFree = 256 // streams kept for reuse on a connection

// drop forgets a stream; its place is used again once it has left the line.
func (c *Conn) drop(s *Stream) {
	if !s.used {
		return
	}
	s.used = false
	delete(c.streams, s.id)
	c.hold(-int64(len(s.part)))
	s.part = s.part[:0]
	if !s.waits {
		c.release(s)
	}
}

func (c *Conn) release(s *Stream) {
	if len(c.free) < keepFree {
		if cap(s.part) > 16<<10 {
			s.part = nil
		}
		if cap(s.pend) > 16<<10 {
			s.pend = nil
		}
		c.free = append(c.free, s)
	}
}

// Pending is how many bytes wait to be sent on the stream.
func (s *Stream) Pending() int { return len(s.pend) }

// SendHeaders sends a server's response headers; later ones are not sent again.
func (s *Stream) SendHeaders(extra ...hpack.HeaderField) {
	c := s.c
	if s.headed || !s.used || !c.server || c.over != nil {
		return
	}
	s.headed = true
	c.encBuf.Reset()
	c.put(":status", "200")
	c.put("content-type", "application/grpc")
	for _, f := range extra {
		c.enc.WriteField(f)
	}
	c.writeHeaders(s, false)
}

// Send sends one message, copying it; last says that nothing more comes from this client.
func (s *Stream) Send(p []byte, last bool) {
	c := s.c
	if !s.used || s.localDone || s.endAfter || c.over != nil {
		return
	}
	if c.server {
		s.SendHeaders()
		c.guard.Used()
	}
	prefix := [5]byte{0, byte(len(p) >> 24), byte(len(p) >> 16), byte(len(p) >> 8), byte(len(p))}
	n := int64(len(p) + 5)
	if len(s.pend) == 0 && !c.congested && n <= s.sendWin && n <= c.sendWin && n <= int64(c.peerFrame) {
		s.sendWin -= n
		c.sendWin -= n
		flags := byte(0)
		if last {
			flags = byte(http2.FlagDataEndStream)
			s.localDone = true
		}
		c.out = append(c.out, byte(n>>16), byte(n>>8), byte(n), byte(http2.FrameData), flags,
			byte(s.id>>24), byte(s.id>>16), byte(s.id>>8), byte(s.id))
		c.out = append(c.out, prefix[:]...)
		c.out = append(c.out, p...)
		return
	}
	s.pend = append(s.pend, prefix[:]...)
	s.pend = append(s.pend, p...)
	s.endAfter = last
	c.wait(s)
	c.pump()
}

// Close ends a client's sending without a last message.
func (s *Stream) Close() {
	if s.used && !s.localDone && !s.endAfter {
		s.endAfter = true
		s.c.wait(s)
		s.c.pump()
	}
}

// End ends a server's stream with a status, after all that was sent; extra are further trailers. The stream
// is the App's no longer.
func (s *Stream) End(code codes.Code, message string, extra ...hpack.HeaderField) {
	c := s.c
	if !s.used || s.endAfter || s.localDone || c.over != nil {
		return
	}
	s.endAfter = true
	s.trailer = append(s.trailer[:0], hpack.HeaderField{Name: "grpc-status", Value: strconv.Itoa(int(code))})
	if message != "" {
		s.trailer = append(s.trailer, hpack.HeaderField{Name: "grpc-message", Value: percent(message)})
	}
	s.trailer = append(s.trailer, extra...)
	s.Tag, s.Ref = nil, 0
	if len(s.pend) == 0 {
		c.finish(s)
		return
	}
	c.wait(s)
	c.pump()
}

// Ending tells that a server's stream has been ended and only its output is still on its way.
func (s *Stream) Ending() bool { return s.endAfter && s.c.server }

// Reset ends a stream at once. The App is not called for it again.
func (s *Stream) Reset(code http2.ErrCode) {
	if s.used {
		if s.c.over == nil {
			s.c.fr.WriteRSTStream(s.id, code)
		}
		s.c.drop(s)
	}
}

// Credit gives the peer back n bytes of the stream's window, those of messages that Message held.
func (s *Stream) Credit(n int) {
	if s.used {
		pay := min(int64(n), s.debt)
		s.debt -= pay
		s.credit(int64(n) - pay)
	}
}

func (s *Stream) credit(n int64) {
	s.owed += n
	if s.owed >= int64(s.c.lim.StreamWindow)/2 && !s.remoteDone && s.c.over == nil {
		s.c.fr.WriteWindowUpdate(s.id, uint32(s.owed))
		s.recvWin += s.owed
		s.owed = 0
	}
}

// wait puts a stream in line, unless only its own window's opening can help it.
func (c *Conn) wait(s *Stream) {
	if !s.waits && (s.sendWin > 0 || len(s.pend) == 0) {
		s.waits = true
		c.line = append(c.line, s)
	}
}

// finish writes a server's trailers, or a client's empty last frame.
func (c *Conn) finish(s *Stream) {
	s.localDone = true
	if !c.server {
		c.fr.WriteData(s.id, true, nil)
		return
	}
	c.encBuf.Reset()
	if !s.headed {
		c.put(":status", "200")
		c.put("content-type", "application/grpc")
	}
	for _, f := range s.trailer {
		c.enc.WriteField(f)
	}
	c.writeHeaders(s, true)
	if !s.remoteDone { // the rest of the request is not wanted
		c.fr.WriteRSTStream(s.id, http2.ErrCodeNo)
	}
	c.guard.Used()
	c.drop(s)
}

// pump moves waiting output as far as the windows and the socket allow, one frame a stream in turn.
func (c *Conn) pump() {
	if c.pumping { // called by the App from inside the turn that goes on
		return
	}
	c.pumping = true
	defer func() { c.pumping = false }()
	for len(c.line) > 0 && !c.congested && c.over == nil {
		s := c.line[0]
		if s.used && len(s.pend) > 0 && s.sendWin > 0 && c.sendWin <= 0 {
			return
		}
		c.line[0] = nil
		c.line = c.line[1:]
		s.waits = false
		if !s.used {
			c.release(s)
			continue
		}
		if n := min(int64(len(s.pend)), s.sendWin, c.sendWin, int64(c.peerFrame)); n > 0 {
			s.sendWin -= n
			c.sendWin -= n
			last := s.endAfter && !c.server && int(n) == len(s.pend)
			c.fr.WriteData(s.id, last, s.pend[:n])
			s.pend = s.pend[:copy(s.pend, s.pend[n:])]
			s.localDone = s.localDone || last
		}
		switch {
		case len(s.pend) > 0:
			c.wait(s)
		case s.endAfter && !s.localDone:
			c.finish(s)
		case s.used && !s.endAfter:
			c.app.Room(s)
		}
	}
}

// Timeout is a span in nanoseconds as grpc-timeout has it: at most eight digits and a unit, rounded up.
func Timeout(ns int64) string {
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

// percent encodes a grpc-message.
func percent(s string) string {
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

func unpercent(s string) string {
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

// Headed tells that our headers have been sent.
func (s *Stream) Headed() bool { return s.headed }
