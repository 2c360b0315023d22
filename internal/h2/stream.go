package h2

import (
	"cmp"
	"slices"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	maxFreeStreams       = 256      // ended streams that a connection keeps for reuse
	maxFreeStreamBytes   = 16 << 10 // larger buffers of free streams are left to the garbage collector
	unknownContentLength = -1
)

// Stream is one HTTP/2 stream, which carries one gRPC call.
type Stream struct {
	UserID   uint64 // for use by the Handler
	UserData any    // for use by the Handler

	conn   *Conn
	id     uint32
	active bool // false once the stream has ended

	headersSent     bool
	headersReceived bool
	localClosed     bool // this end has sent END_STREAM
	remoteClosed    bool // the peer has sent END_STREAM

	sendWindow     int64 // bytes that this end may send
	pendingOutput  []byte
	queued         bool // is in the connection's sendQueue
	endAfterOutput bool // END_STREAM is to be sent after pendingOutput
	trailer        []hpack.HeaderField

	recvWindow     int64 // bytes that the peer may send
	uncredited     int64 // consumed bytes that no WINDOW_UPDATE has returned to the peer yet
	creditedEarly  int64 // unconsumed bytes that have already been credited to the peer
	partialMessage []byte
	contentLength  int64 // Content-Length of the request, or unknownContentLength
	receivedBytes  int64
}

// ID returns the stream's identifier, which is unique on its connection.
func (s *Stream) ID() uint32 { return s.id }

// PendingBytes returns the number of bytes that are queued on the stream.
func (s *Stream) PendingBytes() int { return len(s.pendingOutput) }

// SendClosed reports whether this end has written its last frame of the stream to the connection's output. Before that
// the peer cannot have the complete message of a unary call.
func (s *Stream) SendClosed() bool { return s.localClosed }

// HeadersSent reports whether this end has sent its headers on the stream.
func (s *Stream) HeadersSent() bool { return s.headersSent }

// isActiveAs reports whether the Stream is still the active stream with this id. A Handler may have ended that stream,
// and the Stream may have been reused since.
func (s *Stream) isActiveAs(id uint32) bool { return s.active && s.id == id }

// isEnding reports whether EndWithStatus was called on a server and output of the stream is still pending.
func (s *Stream) isEnding() bool { return s.endAfterOutput && s.conn.isServer }

// reportReset tells the Handler that the stream was reset, unless this end has ended it before.
func (s *Stream) reportReset(code http2.ErrCode, refused bool) {
	if !s.isEnding() {
		s.conn.handler.StreamReset(s, code, refused)
	}
}

// Reset ends the stream at once. The Handler is not called for it again.
func (s *Stream) Reset(code http2.ErrCode) {
	if !s.active {
		return
	}
	if s.conn.err == nil {
		s.conn.frames.writeRSTStream(s.id, code)
	}
	s.conn.removeStream(s)
}

// OpenStreamCount returns the number of open streams.
func (c *Conn) OpenStreamCount() int { return len(c.streams) }

// CanOpenStream reports whether a client may open another stream.
func (c *Conn) CanOpenStream() bool {
	return c.err == nil && !c.goAwayReceived && uint32(len(c.streams)) < c.peerMaxStreams && c.nextStreamID < maxStreamID
}

// ForEachStream calls f for each open stream, in order of identifiers.
func (c *Conn) ForEachStream(f func(s *Stream)) {
	for _, s := range c.sortedStreams() {
		if s.active {
			f(s)
		}
	}
}

// sortedStreams returns the open streams in order of identifiers.
func (c *Conn) sortedStreams() []*Stream {
	list := make([]*Stream, 0, len(c.streams))
	for _, s := range c.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Stream) int { return cmp.Compare(a.id, b.id) })
	return list
}

// isIdleStream reports whether no stream with this id has been opened yet.
func (c *Conn) isIdleStream(id uint32) bool {
	openedByPeer := c.isServer == (id%2 == 1)
	if openedByPeer {
		return id > c.lastPeerStreamID
	}
	return id >= c.nextStreamID
}

// allocateStream returns a new open stream. It reuses an ended Stream if there is one.
func (c *Conn) allocateStream(id uint32) *Stream {
	var s *Stream
	if n := len(c.freeStreams); n > 0 {
		s, c.freeStreams = c.freeStreams[n-1], c.freeStreams[:n-1]
		*s = Stream{
			partialMessage: s.partialMessage[:0],
			pendingOutput:  s.pendingOutput[:0],
			trailer:        s.trailer[:0],
		}
	} else {
		s = &Stream{}
	}
	s.conn, s.id, s.active = c, id, true
	s.sendWindow = c.peerInitialWindow
	s.recvWindow = int64(c.limits.StreamWindow)
	s.contentLength = unknownContentLength
	if !c.settingsAcked { // the peer may still use the initial window of the protocol
		s.recvWindow = max(s.recvWindow, initialWindow)
	}
	c.streams[id] = s
	return s
}

// removeStream ends a stream. Its memory is reused once the stream has left the sendQueue.
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

// recycleStream keeps an ended Stream for reuse, unless enough of them are kept.
func (c *Conn) recycleStream(s *Stream) {
	if len(c.freeStreams) >= maxFreeStreams {
		return
	}
	if cap(s.partialMessage) > maxFreeStreamBytes {
		s.partialMessage = nil
	}
	if cap(s.pendingOutput) > maxFreeStreamBytes {
		s.pendingOutput = nil
	}
	c.freeStreams = append(c.freeStreams, s)
}
