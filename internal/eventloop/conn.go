package eventloop

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Conn is one connection. Output is queued by Write and written at the end of the turn.
type Conn struct {
	loop                       *Loop
	fd                         int
	handler                    Handler
	closeErr                   error
	output                     []byte // queued; taken from the loop's pool while there is any
	written                    int    // of out, written already
	outputLimit                int    // most bytes queued; 0 = no bound
	interest                   uint32
	connecting                 bool
	flushQueued                bool
	counted                    bool
	readPaused                 bool
	notifyHalfCloseWhilePaused bool // the peer's end is told also while reading is paused
	closeAfterFlush            bool // to be closed once all is written
	closeWriteAfterFlush       bool // its output is to be ended once all is written
	writeBlocked               bool // the socket took less than there was
	readOpen                   bool // the peer has not ended its half
	connectTimer               Timer

	// In a world:
	peer              *Conn
	simulatedID       uint64
	heapIndex         int
	lastArrival       Nanos
	inFlightBytes     int // bytes that the peer has not taken
	unreadInput       []byte
	deliveryScheduled bool
	blackholed        bool
	tap               Tap
}

func newConn(l *Loop, fd int) *Conn {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &Conn{loop: l, fd: fd, interest: unix.EPOLLIN | unix.EPOLLRDHUP, readOpen: true}
}

// Dial begins a connection; the handler's Opened or Closed tells what became of it, the latter with
// os.ErrDeadlineExceeded if it was not made within the time. An error is returned if it could not even begin for want of
// something of this machine's own.
func (l *Loop) Dial(to netip.AddrPort, within Nanos, h Handler) (*Conn, error) {
	if l.network != nil {
		return l.dialSimulated(to, within, h)
	}
	fd, err := newSocket(to)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	err = unix.Connect(fd, sockaddr(to))
	c := newConn(l, fd)
	c.handler, c.connecting, c.interest = h, true, unix.EPOLLOUT
	switch err {
	case nil, unix.EINPROGRESS:
	case unix.ECONNREFUSED, unix.ECONNRESET, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT: // the peer's answer, at once
		c.terminate(os.NewSyscallError("connect", err))
		return c, nil
	default: // a want of ours, as of ports
		unix.Close(fd)
		return nil, fmt.Errorf("connect to %s: %w", to, os.NewSyscallError("connect", err))
	}
	if err := l.register(fd, c.interest, c); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.connCount++
	c.counted = true
	l.SetTimer(&c.connectTimer, l.now+within, func(Nanos) { c.terminate(os.ErrDeadlineExceeded) })
	return c, nil
}

// SetOutputLimit sets how many bytes of output may be queued; at the bound the connection ends with ErrOutputLimit.
func (c *Conn) SetOutputLimit(limit int) { c.outputLimit = limit }

// QueuedBytes is how many bytes of output wait.
func (c *Conn) QueuedBytes() int { return len(c.output) - c.written }

// WriteBlocked tells that the peer has not taken all that was written so far.
func (c *Conn) WriteBlocked() bool { return c.writeBlocked }

// IsOpen tells that the connection is neither under way nor over.
func (c *Conn) IsOpen() bool { return c.fd >= 0 && !c.connecting }

// Write queues bytes; it copies them.
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

func (c *Conn) queueFlush() {
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// Close ends the connection at once; queued output is lost.
func (c *Conn) Close() { c.terminate(nil) }

// CloseAfterFlush ends the connection once all output is written.
func (c *Conn) CloseAfterFlush() {
	if c.fd >= 0 {
		c.closeAfterFlush = true
		c.queueFlush()
	}
}

// CloseWriteAfterFlush ends the half of the connection that we write once all output is written; the peer may go on to send, and
// whoever has unread input closed on it would lose what we wrote.
func (c *Conn) CloseWriteAfterFlush() {
	if c.fd >= 0 {
		c.closeWriteAfterFlush = true
		c.queueFlush()
	}
}

// InputEmpty tells that the peer has sent nothing that is not read yet, its end included.
func (c *Conn) InputEmpty() bool {
	if c.fd < 0 || c.connecting {
		return false
	}
	if c.loop.network != nil {
		return len(c.unreadInput) == 0
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// NotifyHalfCloseWhilePaused has the peer's end told while reading is paused, ahead of what it sent before and is not read yet: who asks and
// goes need not be read to the end.
func (c *Conn) NotifyHalfCloseWhilePaused() { c.notifyHalfCloseWhilePaused = true }

// SetReadPaused stops, or lets go on, reading from the peer.
func (c *Conn) SetReadPaused(paused bool) {
	if c.readPaused = paused; c.fd >= 0 && !c.connecting {
		c.updateInterest()
	}
}

func (c *Conn) updateInterest() {
	if c.loop.network != nil {
		c.resumeSimulated()
		return
	}
	want := uint32(0)
	if c.readOpen && !c.readPaused {
		want |= unix.EPOLLIN | unix.EPOLLRDHUP
	} else if c.readOpen && c.notifyHalfCloseWhilePaused {
		want |= unix.EPOLLRDHUP
	}
	if c.writeBlocked {
		want |= unix.EPOLLOUT
	}
	if want != c.interest {
		c.interest = want
		c.loop.setInterest(c.fd, want)
	}
}

// terminate ends a connection; its handler is told at the end of the turn, never from inside its own call.
func (c *Conn) terminate(err error) {
	if c.fd < 0 {
		return
	}
	c.loop.CancelTimer(&c.connectTimer)
	if c.loop.network != nil {
		c.closeSimulated()
	} else {
		c.loop.unregister(c.fd)
		if err == ErrOutputLimit { // what the peer did not take must not linger in the kernel
			unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		unix.Close(c.fd)
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

func (c *Conn) handleEvents(l *Loop, events uint32) {
	if c.connecting {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.terminate(os.NewSyscallError("connect", err))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		l.CancelTimer(&c.connectTimer)
		c.connecting, c.interest = false, 0
		c.updateInterest()
		c.handler.Opened(l.now)
		if c.fd >= 0 {
			c.queueFlush()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 && c.fd >= 0 {
		c.flush()
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) == 0 || c.fd < 0 {
		return
	}
	if c.readPaused || !c.readOpen {
		switch {
		case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.terminate(unix.ECONNRESET)
		case events&unix.EPOLLRDHUP != 0 && c.readOpen && c.notifyHalfCloseWhilePaused:
			c.readOpen = false
			c.updateInterest()
			c.handler.PeerHalfClosed(l.now)
		}
		return
	}
	if events&unix.EPOLLRDHUP == 0 {
		c.read()
		return
	}
	for n := 0; n < maxReadsAtHalfClose && c.fd >= 0 && c.readOpen && !c.readPaused; n++ {
		if !c.read() {
			return
		}
	}
}

// read hands over what has come, a bounded part of it; false: there is no more.
func (c *Conn) read() bool {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.terminate(os.NewSyscallError("read", err))
		return false
	case n == 0:
		c.readOpen = false
		c.updateInterest()
		c.handler.PeerHalfClosed(c.loop.now)
		return false
	}
	c.handler.Received(c.loop.now, c.loop.readBuffer[:n])
	return true
}

func (c *Conn) flush() {
	for c.loop.network != nil && c.written < len(c.output) {
		n := c.writeSimulated(c.output[c.written:])
		c.written += n
		if n == 0 {
			c.writeBlocked = true
			c.compactOutput()
			return
		}
	}
	for c.written < len(c.output) {
		n, err := unix.Write(c.fd, c.output[c.written:])
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			c.writeBlocked = true
			c.updateInterest()
			c.compactOutput()
			return
		}
		if err != nil {
			c.terminate(os.NewSyscallError("write", err))
			return
		}
		c.written += n
	}
	had := c.output != nil
	c.loop.buffers.put(c.output)
	c.output, c.written = nil, 0
	if c.writeBlocked {
		c.writeBlocked = false
		c.updateInterest()
	}
	if c.closeAfterFlush {
		if c.loop.network == nil {
			unix.Shutdown(c.fd, unix.SHUT_WR)
		}
		c.terminate(nil)
		return
	}
	if c.closeWriteAfterFlush {
		c.closeWriteAfterFlush = false
		if c.loop.network != nil {
			c.sendToPeer(eventPeerClosed, nil)
		} else {
			unix.Shutdown(c.fd, unix.SHUT_WR)
		}
	}
	if had {
		c.handler.OutputFlushed(c.loop.now)
	}
}

// compactOutput moves what is left to the front once more than half has been written.
func (c *Conn) compactOutput() {
	if c.written > len(c.output)/2 {
		c.output = c.output[:copy(c.output, c.output[c.written:])]
		c.written = 0
	}
}

const (
	pooledBufferBytes    = 4 << 10  // a pooled buffer starts with this much
	maxPooledBufferBytes = 32 << 10 // larger ones are not kept
	maxPooledBuffers     = 128      // nor more of them: more are rarely queued in one turn
)

// bufferPool keeps buffers for reuse.
type bufferPool struct{ free [][]byte }

func (p *bufferPool) get() []byte {
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, pooledBufferBytes)
}

func (p *bufferPool) put(b []byte) {
	if cap(b) > 0 && cap(b) <= maxPooledBufferBytes && len(p.free) < maxPooledBuffers {
		p.free = append(p.free, b[:0])
	}
}
