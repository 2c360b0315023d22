package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// ErrOutputLimit is the reason of a connection's end when its peer does not read and the queued output exceeds the
// limit set by SetOutputLimit.
var ErrOutputLimit = errors.New("output queue limit exceeded: the peer does not read")

// Handler receives the events of one connection, on the loop's goroutine.
type Handler interface {
	// Opened reports that the connection is made.
	Opened(now Nanos)
	// Received passes bytes from the peer; they are valid during the call only.
	Received(now Nanos, p []byte)
	// PeerHalfClosed reports that the peer sends no more; it may still read.
	PeerHalfClosed(now Nanos)
	// OutputFlushed reports that all queued output has been written.
	OutputFlushed(now Nanos)
	// Closed reports the end of the connection: err is nil after Close and CloseAfterFlush. It is called once, never from
	// inside a call to the Conn, and nothing is called after it.
	Closed(now Nanos, err error)
}

// Conn is one connection. Write queues output, which the loop writes at the end of the iteration.
type Conn struct {
	loop         *Loop
	fd           int // -1 once the connection has ended
	handler      Handler
	interest     uint32 // events that epoll reports for fd
	connecting   bool
	connectTimer Timer
	counted      bool  // in the loop's connCount
	closeErr     error // for Handler.Closed

	output               []byte // queued output; taken from the loop's buffers while there is any
	written              int    // bytes of output that are written already
	outputLimit          int    // most bytes that may be queued; 0 = no limit
	flushQueued          bool   // stands in the loop's flushQueue
	writeBlocked         bool   // the socket took less than there was
	closeAfterFlush      bool
	closeWriteAfterFlush bool

	readOpen                   bool // the peer has not ended its half
	readPaused                 bool
	notifyHalfCloseWhilePaused bool

	sim simulatedConn
}

// newConn returns a connection on a socket; its events are not registered yet.
func newConn(l *Loop, fd int) *Conn {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // only latency depends on it
	return &Conn{loop: l, fd: fd, interest: unix.EPOLLIN | unix.EPOLLRDHUP, readOpen: true}
}

// addConn counts a connection until it ends.
func (l *Loop) addConn(c *Conn) {
	l.connCount++
	c.counted = true
}

// SetOutputLimit sets how many bytes of output may be queued. A Write that exceeds it ends the connection with
// ErrOutputLimit.
func (c *Conn) SetOutputLimit(limit int) { c.outputLimit = limit }

// QueuedBytes returns how many bytes of output are not written yet.
func (c *Conn) QueuedBytes() int { return len(c.output) - c.written }

// WriteBlocked reports whether the socket did not take all output when it was last written.
func (c *Conn) WriteBlocked() bool { return c.writeBlocked }

// IsOpen reports whether the connection is made and has not ended.
func (c *Conn) IsOpen() bool { return c.fd >= 0 && !c.connecting }

// Write queues a copy of p. It does nothing once the connection has ended or its output is to be closed.
func (c *Conn) Write(p []byte) {
	if c.fd < 0 || c.closeAfterFlush || c.closeWriteAfterFlush || len(p) == 0 {
		return
	}
	if c.output == nil {
		c.output = c.loop.buffers.get()
	}
	c.output = append(c.output, p...)
	if c.outputLimit > 0 && c.QueuedBytes() > c.outputLimit {
		c.terminate(ErrOutputLimit)
		return
	}
	c.queueFlush()
}

// queueFlush has the loop flush the connection at the end of the iteration.
func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// Close ends the connection at once; queued output is lost.
func (c *Conn) Close() { c.terminate(nil) }

// CloseAfterFlush ends the connection once all queued output is written.
func (c *Conn) CloseAfterFlush() {
	if c.fd >= 0 {
		c.closeAfterFlush = true
		c.queueFlush()
	}
}

// CloseWriteAfterFlush ends this side's half of the connection once all queued output is written. The peer may go on to
// send: closing a socket with unread input would make the kernel discard output that the peer has not read.
func (c *Conn) CloseWriteAfterFlush() {
	if c.fd >= 0 {
		c.closeWriteAfterFlush = true
		c.queueFlush()
	}
}

// InputEmpty reports whether the connection is open and nothing from the peer waits to be read, its end included.
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

// NotifyHalfCloseWhilePaused makes the handler learn of the peer's end also while reading is paused, ahead of input
// that is not read yet: a client that has left need not be read to its end.
func (c *Conn) NotifyHalfCloseWhilePaused() { c.notifyHalfCloseWhilePaused = true }

// SetReadPaused stops or resumes reading from the peer.
func (c *Conn) SetReadPaused(paused bool) {
	c.readPaused = paused
	if c.IsOpen() {
		c.updateInterest()
	}
}

// terminate ends the connection. Its handler is notified at the end of the iteration, never from inside its own call.
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
	c.loop.buffers.put(c.output)
	c.output, c.written = nil, 0
	if c.counted {
		c.counted = false
		c.loop.connCount--
	}
	c.loop.closedConns = append(c.loop.closedConns, c)
}

// closeSocket closes the descriptor of a connection that ends with err.
func (c *Conn) closeSocket(err error) {
	c.loop.unregister(c.fd)
	if errors.Is(err, ErrOutputLimit) { // output that the peer did not read must not stay in the kernel
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	unix.Close(c.fd)
}
