// Package h2 implements HTTP/2 and gRPC's message framing for clients and servers. It does no I/O: the owner of a Conn
// passes input to Feed and writes the bytes that TakeOutput returns. Frames are parsed and written by
// golang.org/x/net/http2.
//
// A Conn is one end of a connection. It calls its Handler from inside Feed. A Stream is valid until the Handler has
// been notified of its end by StreamFinished or StreamReset, or has ended it by Reset or, on a server, by
// EndWithStatus. The Stream is then reused for another stream.
package h2

import (
	"bytes"
	"io"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"docksail/internal/decide/abuse"
)

const (
	clientPreface = http2.ClientPreface

	initialWindow        = 65535 // flow-control window of streams and connections before any settings
	maxWindow            = 1<<31 - 1
	maxStreamID          = 1<<31 - 1
	headerTableBytes     = 4096    // size of HPACK's dynamic table
	unlimitedPeerStreams = 1 << 30 // stream limit of a peer that has not set one

	maxKeptInputBytes  = 64 << 10  // larger input buffers are left to the garbage collector
	maxKeptOutputBytes = 256 << 10 // larger output buffers are left to the garbage collector
)

// http1Response is sent to a client that does not use HTTP/2.
const http1Response = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\n" +
	"\r\nthis port speaks gRPC over HTTP/2\n"

// The data of the pings that this end sends, which distinguishes their acknowledgements.
var (
	drainPingData     = [8]byte{'d', 'r', 'a', 'i', 'n'}
	keepalivePingData = [8]byte{'a', 'l', 'i', 'v', 'e'}
)

// Conn is one end of a connection. NewServerConn and NewClientConn return one.
type Conn struct {
	isServer bool
	limits   Limits
	handler  Handler
	err      error // why the connection must be closed; nil while it is usable
	now      int64 // time of the last Feed, in nanoseconds

	input        []byte // incomplete frame, kept from the last Feed
	output       []byte
	framer       *http2.Framer
	frames       frameWriter  // writes with framer
	frameReader  bytes.Reader // input of framer: one frame
	prefaceBytes int          // received bytes of the client preface

	headerDecoder *hpack.Decoder
	headerBlock   headerBlock // the header block that is being received
	headerEncoder *hpack.Encoder
	headerBuffer  bytes.Buffer // output of headerEncoder

	streams          map[uint32]*Stream
	freeStreams      []*Stream // for reuse
	nextStreamID     uint32    // ID of the next stream that a client opens
	lastPeerStreamID uint32    // the highest ID of the streams that the peer has opened
	peerResetCount   uint64    // open streams that the peer has reset

	sendQueue    []*Stream // streams that have output or their end to send, in round-robin order
	flushing     bool      // flushStreams is running
	outputPaused bool
	sendWindow   int64 // bytes that this end may send on all streams together
	recvWindow   int64 // bytes that the peer may send on all streams together
	uncredited   int64 // received bytes that no WINDOW_UPDATE has returned to the peer yet

	settingsReceived  bool // the peer's first settings have arrived
	settingsAcked     bool // the peer has acknowledged this end's settings
	peerInitialWindow int64
	peerMaxStreams    uint32
	peerMaxFrameBytes uint32

	draining        bool // the first of the two GOAWAY frames of a drain has been sent
	finalGoAwaySent bool
	goAwayReceived  bool

	abuseLimiter abuse.Limiter
	budget       *PartialMessageBudget // nil = no limit
	partialBytes int64                 // bytes of the budget that this connection uses
}

// NewServerConn returns the server's end of a connection.
func NewServerConn(limits Limits, handler Handler) *Conn {
	c := newConn(limits, handler)
	c.isServer = true
	c.writeFirstFrames(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: limits.MaxStreams})
	return c
}

// NewClientConn returns the client's end of a connection.
func NewClientConn(limits Limits, handler Handler) *Conn {
	c := newConn(limits, handler)
	c.prefaceBytes = len(clientPreface) // a server sends no preface
	c.output = append(c.output, clientPreface...)
	c.writeFirstFrames(http2.Setting{ID: http2.SettingEnablePush, Val: 0})
	return c
}

func newConn(limits Limits, handler Handler) *Conn {
	limits.ConnWindow = max(limits.ConnWindow, initialWindow)
	c := &Conn{
		limits:            limits,
		handler:           handler,
		streams:           make(map[uint32]*Stream),
		nextStreamID:      1,
		sendWindow:        initialWindow,
		recvWindow:        int64(limits.ConnWindow),
		peerInitialWindow: initialWindow,
		peerMaxStreams:    unlimitedPeerStreams,
		peerMaxFrameBytes: maxFrameBytes,
	}
	c.framer = http2.NewFramer(outputWriter{c}, &c.frameReader)
	c.framer.SetReuseFrames()
	c.framer.SetMaxReadFrameSize(maxFrameBytes)
	c.frames = frameWriter{c.framer}
	c.headerDecoder = hpack.NewDecoder(headerTableBytes, c.addHeaderField)
	// A string longer than MaxHeaderListBytes ends its stream; a far longer one ends the connection.
	c.headerDecoder.SetMaxStringLength(headerDecodeFactor * int(limits.MaxHeaderListBytes))
	c.headerEncoder = hpack.NewEncoder(&c.headerBuffer)
	return c
}

// writeFirstFrames writes this end's settings, including the one that only clients or only servers send, and raises the
// connection's window to its configured size.
func (c *Conn) writeFirstFrames(ownSetting http2.Setting) {
	c.frames.writeSettings([]http2.Setting{
		{ID: http2.SettingInitialWindowSize, Val: c.limits.StreamWindow},
		{ID: http2.SettingMaxHeaderListSize, Val: c.limits.MaxHeaderListBytes},
		ownSetting,
	})
	if c.limits.ConnWindow > initialWindow {
		c.frames.writeWindowUpdate(0, c.limits.ConnWindow-initialWindow)
	}
}

// TakeOutput removes and returns the bytes to be written to the socket. They are valid until the next call of a method
// of the Conn or its streams.
func (c *Conn) TakeOutput() []byte {
	p := c.output
	c.output = c.output[:0]
	if cap(p) > maxKeptOutputBytes {
		c.output = nil
	}
	return p
}

// HasOutput reports whether TakeOutput has bytes to return.
func (c *Conn) HasOutput() bool { return len(c.output) > 0 }

// Err returns why the connection must be closed, or nil. The caller closes the socket after writing the output.
func (c *Conn) Err() error { return c.err }

// Feed handles bytes from the socket. now is their time of arrival in nanoseconds. Feed returns the same as Err.
func (c *Conn) Feed(now int64, p []byte) error {
	if c.err != nil {
		return c.err
	}
	c.now = now
	p = c.readPreface(p)
	if c.err != nil {
		return c.err
	}
	if len(c.input) > 0 {
		c.input = append(c.input, p...)
		p = c.input
	}
	rest := c.readFrames(p)
	if c.err != nil {
		c.input = nil
		return c.err
	}
	c.keepInput(rest)
	return nil
}

// readPreface consumes the client preface from the input, checks it, and returns the remaining input.
func (c *Conn) readPreface(p []byte) []byte {
	if c.prefaceBytes == len(clientPreface) {
		return p
	}
	n := min(len(p), len(clientPreface)-c.prefaceBytes)
	if string(p[:n]) != clientPreface[c.prefaceBytes:c.prefaceBytes+n] {
		if c.prefaceBytes == 0 {
			c.output = append(c.output[:0], http1Response...)
		}
		c.err = errNoPreface
		return nil
	}
	c.prefaceBytes += n
	return p[n:]
}

// readFrames handles the complete frames of the input, until one ends the connection, and returns the remaining input.
func (c *Conn) readFrames(p []byte) []byte {
	for len(p) >= frameHeaderBytes && c.err == nil {
		length := int(p[0])<<16 + int(p[1])<<8 + int(p[2])
		if length > maxFrameBytes {
			c.fail(connectionError{http2.ErrCodeFrameSize, reasonFrameTooLong})
			return nil
		}
		if len(p) < frameHeaderBytes+length {
			break
		}
		c.frameReader.Reset(p[:frameHeaderBytes+length])
		p = p[frameHeaderBytes+length:]
		frame, err := c.framer.ReadFrame()
		if err == nil {
			err = c.handleFrame(frame)
		}
		if err != nil {
			c.handleError(err)
		}
	}
	return p
}

// keepInput keeps an incomplete frame for the next Feed. rest may be a slice of c.input.
func (c *Conn) keepInput(rest []byte) {
	if len(rest) == 0 && cap(c.input) > maxKeptInputBytes {
		c.input = nil
		return
	}
	c.input = append(c.input[:0], rest...)
}

// TransportClosed ends the connection because its socket has been closed. All open streams are reset.
func (c *Conn) TransportClosed() {
	if c.err == nil {
		c.err = io.ErrUnexpectedEOF
	}
	for _, s := range c.sortedStreams() {
		if s.active {
			c.removeStream(s)
			s.reportReset(http2.ErrCodeInternal, false)
		}
	}
}

// Ping sends a keepalive ping. Handler.PingAcked reports its acknowledgement.
func (c *Conn) Ping() {
	if c.err == nil {
		c.frames.writePing(false, keepalivePingData)
	}
}

// StartDrain asks the peer to open no more streams. Streams that the peer opens before it learns of the drain are still
// accepted: the final GOAWAY, after which streams are refused, is sent when the peer has acknowledged a ping.
func (c *Conn) StartDrain() {
	if c.err == nil && !c.draining {
		c.draining = true
		c.frames.writeGoAway(maxStreamID, http2.ErrCodeNo, nil)
		c.frames.writePing(false, drainPingData)
	}
}
