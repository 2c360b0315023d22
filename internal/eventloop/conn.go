package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// ErrOutputLimit is the error of a connection that was closed because its queued output exceeded the limit set by
// SetOutputLimit.
var ErrOutputLimit = errors.New("output queue limit exceeded: the peer does not read")

// Handler receives the events of one connection, on the loop's goroutine.
type Handler interface {
	// Opened reports that the connection is established.
	Opened(now Nanos)
	// Received passes bytes from the peer. They are valid only during the call.
	Received(now Nanos, p []byte)
	// PeerHalfClosed reports that the peer has closed its sending side. It may still read.
	PeerHalfClosed(now Nanos)
	// OutputFlushed reports that all queued output has been written.
	OutputFlushed(now Nanos)
	// Closed reports that the connection has been closed. err is nil after Close and CloseAfterFlush. Closed is called
	// once, as the last method, and never from inside a method of the Conn.
	Closed(now Nanos, err error)
}

// Conn is a TCP connection or a simulated one. Output is queued and written at the end of the iteration.
type Conn struct {
	loop         *Loop
	fd           int // -1 once the connection is closed
	handler      Handler
	interest     uint32 // epoll events that fd is registered for
	connecting   bool
	connectTimer Timer
	counted      bool  // included in the loop's connCount
	closeErr     error // passed to Handler.Closed

	output               []byte // queued output, in a buffer of the loop's pool; nil if there is none
	written              int    // bytes of output that have been written
	shared               []byte // queued behind output, in memory of the caller of WriteShared
	outputLimit          int    // maximum of queued bytes; 0 = no limit
	hadOutput            bool   // output has been queued since the last flush of all of it
	flushQueued          bool   // is in the loop's flushQueue
	writeBlocked         bool   // the last write left output queued
	closeAfterFlush      bool
	closeWriteAfterFlush bool

	readOpen                   bool // the peer has not closed its sending side
	readPaused                 bool
	readLimit                  int // bytes of one read; 0 = maxReadBytes
	notifyHalfCloseWhilePaused bool

	sim simulatedConn
}

// newConn returns a connection on a socket. The caller registers the socket with epoll.
func newConn(l *Loop, fd int) *Conn {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // a failure only costs latency
	return &Conn{loop: l, fd: fd, interest: unix.EPOLLIN | unix.EPOLLRDHUP, readOpen: true}
}

// countConn includes a connection in connCount until it is closed.
func (l *Loop) countConn(c *Conn) {
	l.connCount++
	c.counted = true
}

// SetOutputLimit sets how many bytes of output may be queued; 0 means no limit. A Write that exceeds the limit closes
// the connection with ErrOutputLimit.
func (c *Conn) SetOutputLimit(limit int) { c.outputLimit = limit }

// QueuedBytes returns the number of bytes of output that have not been written yet.
func (c *Conn) QueuedBytes() int { return len(c.output) - c.written + len(c.shared) }

// WriteBlocked reports whether the socket's buffer was full at the last write, so that output is still queued.
func (c *Conn) WriteBlocked() bool { return c.writeBlocked }

// IsOpen reports whether the connection is established and not closed.
func (c *Conn) IsOpen() bool { return c.fd >= 0 && !c.connecting }

// Write queues a copy of p. It does nothing after the connection has been closed or after CloseAfterFlush or
// CloseWriteAfterFlush.
func (c *Conn) Write(p []byte) {
	if c.fd < 0 || c.closeAfterFlush || c.closeWriteAfterFlush || len(p) == 0 {
		return
	}
	if len(c.shared) > 0 { // keeps the order
		c.appendOutput(c.shared)
		c.shared = nil
	}
	c.appendOutput(p)
	if c.outputLimit > 0 && c.QueuedBytes() > c.outputLimit {
		c.terminate(ErrOutputLimit)
		return
	}
	c.queueFlush()
}

// WriteShared queues p like Write, but without a copy: p must not change until it has been written or the connection is
// closed.
func (c *Conn) WriteShared(p []byte) {
	if c.loop.isSimulated() || len(c.shared) > 0 {
		c.Write(p)
		return
	}
	if c.fd < 0 || c.closeAfterFlush || c.closeWriteAfterFlush || len(p) == 0 {
		return
	}
	c.shared, c.hadOutput = p, true
	c.queueFlush()
}

// appendOutput copies p to the end of the output.
func (c *Conn) appendOutput(p []byte) {
	c.hadOutput = true
	if c.output == nil {
		c.output = c.loop.buffers.get(len(p))
		c.loop.outputBytes += cap(c.output)
	}
	before := cap(c.output)
	c.output = append(c.output, p...)
	c.loop.outputBytes += cap(c.output) - before
}

// releaseOutput drops the queued output and returns its buffer to the pool.
func (c *Conn) releaseOutput() {
	c.loop.outputBytes -= cap(c.output)
	c.loop.buffers.put(c.output)
	c.output, c.written, c.shared = nil, 0, nil
}

// queueFlush makes the loop flush the connection at the end of the iteration.
func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// Close closes the connection at once. Queued output is discarded.
func (c *Conn) Close() { c.terminate(nil) }

// CloseAfterFlush closes the connection once all queued output is written.
func (c *Conn) CloseAfterFlush() {
	if c.fd >= 0 {
		c.closeAfterFlush = true
		c.queueFlush()
	}
}

// CloseWriteAfterFlush closes the sending side of the connection once all queued output is written. Input is still
// read: closing a socket with unread input would make the kernel discard output that the peer has not read yet.
func (c *Conn) CloseWriteAfterFlush() {
	if c.fd >= 0 {
		c.closeWriteAfterFlush = true
		c.queueFlush()
	}
}

// InputEmpty reports whether the connection is open and neither input nor a close by the peer is waiting to be read.
func (c *Conn) InputEmpty() bool {
	if !c.IsOpen() {
		return false
	}
	if c.loop.isSimulated() {
		return len(c.sim.unreadInput) == 0
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// PeerHasClosed reports whether the peer has closed its sending side or reset the connection, even if that comes behind
// input which has not been read. On a simulated connection it reports false until that input was read.
func (c *Conn) PeerHasClosed() bool {
	if !c.IsOpen() || !c.readOpen {
		return true
	}
	if c.loop.isSimulated() {
		return false
	}
	poll := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0
}

// PeerHasOutput reports whether the peer's system has received all output.
func (c *Conn) PeerHasOutput() bool {
	if !c.IsOpen() || c.QueuedBytes() > 0 {
		return false
	}
	if c.loop.isSimulated() {
		return c.sim.inFlightBytes == 0
	}
	unacknowledged, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	return err == nil && unacknowledged == 0
}

// NotifyHalfCloseWhilePaused makes the loop call PeerHalfClosed even while reading is paused. The input that precedes
// the half-close is then not read: it is of no use once the client has left. Simulated connections are reset instead.
func (c *Conn) NotifyHalfCloseWhilePaused() { c.notifyHalfCloseWhilePaused = true }

// SetReadLimit bounds the bytes of one read, so that a handler which pauses reading receives little more. 0 means
// maxReadBytes.
func (c *Conn) SetReadLimit(limit int) { c.readLimit = limit }

// SetReadPaused pauses or resumes reading from the peer.
func (c *Conn) SetReadPaused(paused bool) {
	c.readPaused = paused
	if c.IsOpen() {
		c.updateInterest()
	}
}

// terminate closes the connection. The handler's Closed is called later in the iteration, never from inside a method of
// the Conn.
func (c *Conn) terminate(err error) {
	if c.fd < 0 {
		return
	}
	c.loop.CancelTimer(&c.connectTimer)
	if c.loop.isSimulated() {
		c.closeSimulated()
	} else {
		c.closeSocket(err)
	}
	c.fd, c.closeErr = -1, err
	c.releaseOutput()
	if c.counted {
		c.counted = false
		c.loop.connCount--
	}
	c.loop.closedConns = append(c.loop.closedConns, c)
}

// closeSocket closes the descriptor of a connection that is closed with err.
func (c *Conn) closeSocket(err error) {
	c.loop.unregister(c.fd)
	if errors.Is(err, ErrOutputLimit) { // makes the kernel discard the output that the peer has not read
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	unix.Close(c.fd)
}
